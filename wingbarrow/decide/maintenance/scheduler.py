"""The leader's part of maintenance: a replicated subsystem that proposes each slot's next entry.

Whatever it goes by beside the log is its own and learned anew after an election: what placers reported
(`reports`), until when each may act (`emptiness`), and who holds a slot (`watches`). A machine is given out only with
the proof that it is empty, and only if the budgets have room for it, whatever else was lost meanwhile.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.maintenance.budgets import BudgetUse
from wingbarrow.decide.maintenance.emptiness import EmptinessProof
from wingbarrow.decide.maintenance.entries import (
    CALENDAR,
    CountedSlot,
    Entry,
    SlotClosing,
    SlotRequested,
    SlotsQueued,
    SlotTerms,
    WindowTerms,
    decode_entry,
)
from wingbarrow.decide.maintenance.messages import (
    MaintenanceReport,
    MaintenanceResponse,
    SlotRequest,
)
from wingbarrow.decide.maintenance.reports import PlacerReports, rendezvous_weight
from wingbarrow.decide.maintenance.slots import Slot, SlotQueue, SlotState
from wingbarrow.decide.maintenance.steps import Round, StepRules, failed_zones_note
from wingbarrow.decide.maintenance.timing import SECOND, MaintenanceTiming
from wingbarrow.decide.maintenance.watches import SlotWatch, SlotWatches
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

MAX_REQUESTED_PER_GRANT = 64  # requested slots that a grant names, beside all active ones
MAX_PROPOSALS = 16  # entries of one round
ROUND_INTERVAL_US = SECOND // 4


def _no_reserve(now_us: int, region: str) -> float:
    return 0.0


class MaintenanceScheduler:
    """The subsystem `turns` of the replicated state. `wall_us` gives the wall clock at a time of the host's clock."""

    name = "turns"

    def __init__(
        self,
        me: str,
        wall_us: Callable[[int], int],
        timing: MaintenanceTiming = MaintenanceTiming(),
    ) -> None:
        self.me = me
        self.timing = timing
        self.queue = SlotQueue()
        self.reserved_machines: Callable[[int, str], float] = _no_reserve  # by time and region
        self.leads = False
        self._wall_us = wall_us
        self._reports = PlacerReports(timing.view_us)
        self._proof = EmptinessProof(self._reports, timing)
        self._watches = SlotWatches(self.queue, timing)
        self._steps = StepRules(self._reports, self._proof, timing)
        self._requests: dict[str, tuple[str, SlotRequest]] = {}  # by ident: region, request
        self._contacts: dict[int, tuple[int, str]] = {}  # by slot: as of when, who
        self._last_round_us = -ROUND_INTERVAL_US

    # The voters' side

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply a decided entry; MaintenanceEntryError if it cannot be read, and then nothing changed."""
        self.queue.apply(decode_entry(kind, value))

    def snapshot(self) -> str:
        """The queue's text."""
        return self.queue.text()

    def restore(self, text: str) -> None:
        """Replace the queue's state by that of a snapshot."""
        self.queue.restore(text)

    # The leader's side

    @property
    def blocked(self) -> Mapping[int, str]:
        """Why slots that wait do not go on, by number, as of the last round."""
        return self._steps.blocked

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """Begin anew: no report to an earlier leader counts."""
        self.leads = is_leader
        self._proof.on_leadership_change(now_us)
        self._reports.clear()
        self._watches.clear()
        self._requests = {}
        self._contacts = {}
        self._steps.blocked = {}
        self._last_round_us = now_us - ROUND_INTERVAL_US

    def on_report(self, now_us: int, sender: Requester, report: MaintenanceReport | None) -> None:
        """Take a placer's report in place of its last one; late and duplicate ones are dropped."""
        if report is None or not self._reports.record(now_us, sender, report):
            return
        for each in report.wants:
            if len(self._requests) < MAX_PROPOSALS and not self.queue.is_known(each.ident):
                self._requests[each.ident] = (report.region, each)
        if sender.placer == self.me:
            self._watches.confirm_renewals(report.at_us)

    def response_for(self, now_us: int, requester: Requester) -> MaintenanceResponse:
        """The response that goes with a grant: its holder may act from now on until the grant has lapsed."""
        self._proof.on_grant(now_us, requester.placer)
        report = self._reports.last_report(requester.placer)
        region = report.region if report is not None else ""
        active = sorted(self.queue.active(), key=lambda each: each.number)
        requested = [
            each
            for each in self.queue.slots.values()
            if each.state == SlotState.ASKED and each.region in ("", region)
        ]
        rows = [
            (each.number, each.machine, each.state.value, self.contact(now_us, each))
            for each in active
        ]
        rows += [
            (each.number, each.machine, each.state.value, "")
            for each in requested[:MAX_REQUESTED_PER_GRANT]
        ]
        return MaintenanceResponse(
            version=self.queue.version,
            turns=tuple(rows),
            silent=tuple(self.silent(now_us)),
            tell=self._region_reporter(now_us, region) == requester.placer,
        )

    def contact(self, now_us: int, slot: Slot) -> str:
        """The placer that speaks with a slot's machine and tries it: one of its region; "" if none is in reach."""
        chosen_us, held = self._contacts.get(slot.number, (now_us - ROUND_INTERVAL_US, ""))
        if now_us - chosen_us < ROUND_INTERVAL_US:
            return held
        able = []
        for placer in self._reports.placers_in_reach(now_us, slot.region):
            report = self._reports.last_report(placer)
            if report is not None and slot.number not in report.gone:
                able.append(placer)
        subject = f"{slot.number}/{slot.machine}"
        chosen = max(able, key=lambda placer: rendezvous_weight(subject, placer), default="")
        self._contacts[slot.number] = (now_us, chosen)
        return chosen

    def _region_reporter(self, now_us: int, region: str) -> str:
        """The placer that reports a region's view and requests: this one, if it is of the region."""
        able = self._reports.placers_in_reach(now_us, region)
        if self.me in able:
            return self.me
        return max(able, key=lambda placer: rendezvous_weight(region, placer), default="")

    def renew(self, now_us: int, number: int) -> None:
        """A slot's operator renews its lease; it holds it once `renewed_us` is no earlier than now."""
        self._watches.renew(now_us, number)

    def renewed_us(self, number: int) -> int:
        """When the operator's latest confirmed renewal was made; 0 for none."""
        return self._watches.renewed_us(number)

    def silent(self, now_us: int) -> Iterator[int]:
        """Slots whose machine is out and whose operator let its lease lapse."""
        return self._watches.silent(now_us)

    def unproved(self, now_us: int, slot: Slot) -> str:
        """What is missing for the proof that a slot's machine is empty, in words; "" if it is complete."""
        return self._proof.missing(now_us, slot.number)

    def state_counts(self) -> Mapping[str, int]:
        """How many slots are in each state."""
        return Counter(each.state.value for each in self.queue.slots.values())

    # Proposals

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Requests that were reported, each slot's next entry, and then, if there are none, which slots close."""
        if not self._requests and not self.queue.live():
            return [], None
        next_round_us = self._last_round_us + ROUND_INTERVAL_US
        if now_us < next_round_us:
            return [], next_round_us
        self._last_round_us = now_us
        self._forget_unknown()
        wall_us = max(0, self._wall_us(now_us))
        entries: list[Entry] = list(self._requested(wall_us))
        current = Round(now_us, wall_us, rules, self._budget_use(now_us, rules))
        entries += self._due_entries(current)
        if not entries:  # which slots close depends on all other entries: they are decided first
            entries += self._closing(current)
        proposals = [Proposal(each.kind, each.to_json()) for each in entries[:MAX_PROPOSALS]]
        return proposals, now_us + ROUND_INTERVAL_US

    def _forget_unknown(self) -> None:
        self._watches.forget_unknown()
        for number in self._contacts.keys() - self.queue.slots.keys():
            del self._contacts[number]

    def _budget_use(self, now_us: int, rules: RuleSet) -> BudgetUse:
        return BudgetUse(
            rules.plan.rules(()).budgets,
            self._reports.views_in_reach(now_us),
            self.queue.active(),
            lambda region: self.reserved_machines(now_us, region),
        )

    def _requested(self, wall_us: int) -> list[SlotRequested]:
        """Entries of the requests that were reported since the last round and can be taken."""
        found = []
        for region, request in self._requests.values():
            entry = _requested_entry(region, request, wall_us)
            if not self.queue.is_known(request.ident) and not self.queue.refusal(entry):
                found.append(entry)
        self._requests = {}
        return found

    def _due_entries(self, current: Round) -> list[Entry]:
        entries: list[Entry] = []
        counted: list[CountedSlot] = []
        for slot in sorted(self.queue.live(), key=lambda each: each.number):
            watch = self._watches.watch(current.now_us, slot.number)
            assert watch is not None
            self._watch_listing(current.now_us, slot, watch)
            if slot.state == SlotState.ASKED:
                count = self._steps.counted(current.now_us, slot, watch)
                counted += [count] if count is not None else []
            entry = self._steps.next_transition(current, slot, watch)
            if entry is not None:
                entries.append(entry)
        if counted:
            entries.append(SlotsQueued(at_us=current.wall_us, slots=tuple(counted)))
        return entries

    def _watch_listing(self, now_us: int, slot: Slot, watch: SlotWatch) -> None:
        """Since when no list of its region, or of any if that is unknown yet, has a slot's machine."""
        is_nowhere = not slot.region and slot.state == SlotState.ASKED
        if not is_nowhere and not self._reports.is_unlisted(now_us, slot.region, slot.number):
            watch.unlisted_since_us = None
        elif watch.unlisted_since_us is None:
            watch.unlisted_since_us = now_us

    def _closing(self, current: Round) -> Iterator[SlotClosing]:
        """The slots that close now, in the queue's order.

        One that cannot close holds up nobody; but one that waited longer than `patience_us`, and could close if no slot
        were active, keeps its capacity from those behind it.
        """
        self._keep_blocked()
        in_reach = self._reports.views_in_reach(current.now_us)
        budgets = current.budgets
        closed = 0
        for slot in self.queue.queued():
            watch = self._watches.watch(current.now_us, slot.number)
            if slot.region not in in_reach:
                self._steps.blocked[slot.number] = f"region {slot.region!r} is out of reach"
                continue
            if watch is not None and watch.unlisted_since_us is not None:
                self._steps.blocked[slot.number] = "no list has its machine now"
                continue
            failed = budgets.failed_zones(slot, current.rules.plan.failed_share)
            reason = failed_zones_note(failed) or budgets.refusal(slot)
            if not reason and closed < MAX_PROPOSALS:
                closed += 1
                budgets.take(slot)
                yield SlotClosing(number=slot.number, at_us=current.wall_us)
                continue
            self._steps.blocked[slot.number] = reason or "others close first"
            is_impatient = current.wall_us - slot.asked_us >= self.timing.patience_us
            if is_impatient and not budgets.refusal(slot, with_slots=False):
                budgets.take(slot)

    def _keep_blocked(self) -> None:
        """Drop the reasons of all but those whose state gives them outside of the queue's order."""
        kept = (SlotState.ASKED, SlotState.EMPTY)
        slots = self.queue.slots
        self._steps.blocked = {
            number: reason
            for number, reason in self._steps.blocked.items()
            if number in slots and slots[number].state in kept
        }


def _requested_entry(region: str, request: SlotRequest, wall_us: int) -> SlotRequested:
    """The entry of a request that a region's reporter made, checked as an operator's is."""
    unchecked = SlotRequested(
        ident=request.ident,
        is_calendar=request.why == CALENDAR,
        at_us=wall_us,
        terms=SlotTerms(
            machine=request.machine,
            region=region,
            zone=request.zone,
            cell=request.cell,
            why=request.why,
            urgency=request.urgency,
            latest_us=request.latest_us,
            lasts_us=request.lasts_us,
            worker="",
            window=WindowTerms(request.unsafe, request.ends_us, request.from_us),
        ),
    )
    return SlotRequested.from_json(unchecked.to_json())
