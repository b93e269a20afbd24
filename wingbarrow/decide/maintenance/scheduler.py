"""The leader's side of maintenance: a replicated subsystem that proposes the next entry of each slot.

Its state outside the log is volatile and is rebuilt after each election: the reports of placers (`reports`), until
when each placer may act (`emptiness`), and the leases of maintenance operators (`slot_tracker`). A machine is given out
only with the proof that it is empty, and only if the budgets allow it, counting every machine lost in the meantime.
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
from wingbarrow.decide.maintenance.slot_tracker import SlotTracker, TrackedSlot
from wingbarrow.decide.maintenance.slots import Slot, SlotQueue, SlotState
from wingbarrow.decide.maintenance.timing import SECOND, MaintenanceTiming
from wingbarrow.decide.maintenance.transitions import (
    SchedulingRound,
    TransitionRules,
    failed_zones_note,
)
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

MAX_REQUESTED_PER_GRANT = 64  # requested slots in a grant, in addition to all active ones
MAX_PROPOSALS = 16  # entries proposed in one round
ROUND_INTERVAL_US = SECOND // 4


def _no_reserve(now_us: int, region: str) -> float:
    return 0.0


class MaintenanceScheduler:
    """The replicated subsystem `turns`. `wall_us` converts a time of the host's clock to wall clock time."""

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
        self.is_leader = False
        self._wall_us = wall_us
        self._reports = PlacerReports(timing.report_max_age_us)
        self._proof = EmptinessProof(self._reports, timing)
        self._tracker = SlotTracker(self.queue, timing)
        self._transitions = TransitionRules(self._reports, self._proof, timing)
        self._requests: dict[str, tuple[str, SlotRequest]] = {}  # by ident: region, request
        self._contacts: dict[int, tuple[int, str]] = {}  # by slot number: when chosen, placer
        self._last_round_us = -ROUND_INTERVAL_US

    # Used by every voter

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply a decided entry; raise MaintenanceEntryError, without any change, if it cannot be read."""
        self.queue.apply(decode_entry(kind, value))

    def snapshot(self) -> str:
        """Return the queue's snapshot."""
        return self.queue.snapshot()

    def restore(self, text: str) -> None:
        """Replace the queue's state by that of a snapshot."""
        self.queue.restore(text)

    # Used by the leader

    @property
    def blocked(self) -> Mapping[int, str]:
        """Why slots do not advance, by slot number, as of the last round."""
        return self._transitions.blocked

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """Reset all state outside the log: reports to an earlier leader are not valid."""
        self.is_leader = is_leader
        self._proof.on_leadership_change(now_us)
        self._reports.clear()
        self._tracker.clear()
        self._requests = {}
        self._contacts = {}
        self._transitions.blocked = {}
        self._last_round_us = now_us - ROUND_INTERVAL_US

    def on_report(self, now_us: int, sender: Requester, report: MaintenanceReport | None) -> None:
        """Replace a placer's last report; late and duplicate reports are dropped."""
        if report is None or not self._reports.record(now_us, sender, report):
            return
        for each in report.wants:
            if len(self._requests) < MAX_PROPOSALS and not self.queue.is_known(each.ident):
                self._requests[each.ident] = (report.region, each)
        if sender.placer == self.me:
            self._tracker.confirm_renewals(report.at_us)

    def response_for(self, now_us: int, requester: Requester) -> MaintenanceResponse:
        """Return the response sent with a grant; the requester may act from now until the grant has lapsed."""
        self._proof.on_grant(now_us, requester.placer)
        report = self._reports.last_report(requester.placer)
        region = report.region if report is not None else ""
        active = sorted(self.queue.active(), key=lambda each: each.number)
        requested = [
            each
            for each in self.queue.slots.values()
            if each.state == SlotState.REQUESTED and each.region in ("", region)
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
            silent=tuple(self.lapsed_operator_slots(now_us)),
            tell=self._region_reporter(now_us, region) == requester.placer,
        )

    def contact(self, now_us: int, slot: Slot) -> str:
        """Return the placer of the region that calls a slot's machine and tries it; "" if none is in reach."""
        chosen_us, held = self._contacts.get(slot.number, (now_us - ROUND_INTERVAL_US, ""))
        if now_us - chosen_us < ROUND_INTERVAL_US:
            return held
        candidates = []
        for placer in self._reports.placers_in_reach(now_us, slot.region):
            report = self._reports.last_report(placer)
            if report is not None and slot.number not in report.gone:
                candidates.append(placer)
        subject = f"{slot.number}/{slot.machine}"
        chosen = max(candidates, key=lambda placer: rendezvous_weight(subject, placer), default="")
        self._contacts[slot.number] = (now_us, chosen)
        return chosen

    def _region_reporter(self, now_us: int, region: str) -> str:
        """Return the placer that reports a region's view and requests: this one if it is in the region."""
        candidates = self._reports.placers_in_reach(now_us, region)
        if self.me in candidates:
            return self.me
        return max(candidates, key=lambda placer: rendezvous_weight(region, placer), default="")

    def renew(self, now_us: int, number: int) -> None:
        """Renew the lease of a slot's operator; the renewal holds once `renewed_us` is at or after `now_us`."""
        self._tracker.renew(now_us, number)

    def renewed_us(self, number: int) -> int:
        """Return when the operator's latest confirmed renewal was made; 0 for none."""
        return self._tracker.renewed_us(number)

    def lapsed_operator_slots(self, now_us: int) -> Iterator[int]:
        """Yield the numbers of slots whose machine is out and whose operator's lease has lapsed."""
        return self._tracker.lapsed_operator_slots(now_us)

    def missing_proof(self, now_us: int, slot: Slot) -> str:
        """Return what the emptiness proof of a slot is missing, as text for operators; "" if it is complete."""
        return self._proof.missing(now_us, slot.number)

    def state_counts(self) -> Mapping[str, int]:
        """Return the number of slots in each state."""
        return Counter(each.state.value for each in self.queue.slots.values())

    # Proposals

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Return entries and the time of the next round, None if there is no slot and no request.

        Entries are those of reported requests and due transitions or, if there are none, of the slots that close.
        """
        if not self._requests and not self.queue.live():
            return [], None
        next_round_us = self._last_round_us + ROUND_INTERVAL_US
        if now_us < next_round_us:
            return [], next_round_us
        self._last_round_us = now_us
        self._forget_unknown()
        wall_us = max(0, self._wall_us(now_us))
        entries: list[Entry] = list(self._request_entries(wall_us))
        current = SchedulingRound(now_us, wall_us, rules, self._budget_use(now_us, rules))
        entries += self._due_entries(current)
        # Which slots close depends on all other entries, so those are decided first.
        if not entries:
            entries += self._closing_entries(current)
        proposals = [Proposal(each.kind, each.to_json()) for each in entries[:MAX_PROPOSALS]]
        return proposals, now_us + ROUND_INTERVAL_US

    def _forget_unknown(self) -> None:
        self._tracker.forget_unknown()
        for number in self._contacts.keys() - self.queue.slots.keys():
            del self._contacts[number]

    def _budget_use(self, now_us: int, rules: RuleSet) -> BudgetUse:
        return BudgetUse(
            rules.plan.rules(()).budgets,
            self._reports.views_in_reach(now_us),
            self.queue.active(),
            lambda region: self.reserved_machines(now_us, region),
        )

    def _request_entries(self, wall_us: int) -> list[SlotRequested]:
        """Return entries for the requests reported since the last round that can be accepted."""
        found = []
        for region, request in self._requests.values():
            entry = _requested_entry(region, request, wall_us)
            if not self.queue.is_known(request.ident) and not self.queue.refusal(entry):
                found.append(entry)
        self._requests = {}
        return found

    def _due_entries(self, current: SchedulingRound) -> list[Entry]:
        entries: list[Entry] = []
        counted_slots: list[CountedSlot] = []
        for slot in sorted(self.queue.live(), key=lambda each: each.number):
            tracked = self._tracker.tracked(current.now_us, slot.number)
            assert tracked is not None
            self._track_listing(current.now_us, slot, tracked)
            if slot.state == SlotState.REQUESTED:
                count = self._transitions.counted_slot(current.now_us, slot, tracked)
                counted_slots += [count] if count is not None else []
            entry = self._transitions.next_transition(current, slot, tracked)
            if entry is not None:
                entries.append(entry)
        if counted_slots:
            entries.append(SlotsQueued(at_us=current.wall_us, slots=tuple(counted_slots)))
        return entries

    def _track_listing(self, now_us: int, slot: Slot, tracked: TrackedSlot) -> None:
        """Record since when no list of the slot's region (of any, while that is unknown) contains its machine."""
        is_unknown = not slot.region and slot.state == SlotState.REQUESTED
        if not is_unknown and not self._reports.is_unlisted(now_us, slot.region, slot.number):
            tracked.unlisted_since_us = None
        elif tracked.unlisted_since_us is None:
            tracked.unlisted_since_us = now_us

    def _closing_entries(self, current: SchedulingRound) -> Iterator[SlotClosing]:
        """Yield entries for the slots that close now, in the queue's order.

        A slot that cannot close does not block those behind it, unless it has waited longer than `reserve_after_us` and
        could close if no slot were active: then its capacity stays reserved.
        """
        self._prune_blocked()
        in_reach = self._reports.views_in_reach(current.now_us)
        budgets = current.budgets
        closed = 0
        for slot in self.queue.queued():
            tracked = self._tracker.tracked(current.now_us, slot.number)
            if slot.region not in in_reach:
                self._transitions.blocked[slot.number] = f"region {slot.region!r} is out of reach"
                continue
            if tracked is not None and tracked.unlisted_since_us is not None:
                self._transitions.blocked[slot.number] = "no list has its machine now"
                continue
            failed = budgets.failed_zones(slot, current.rules.plan.failed_share)
            reason = failed_zones_note(failed) or budgets.refusal(slot)
            if not reason and closed < MAX_PROPOSALS:
                closed += 1
                budgets.reserve(slot)
                yield SlotClosing(number=slot.number, at_us=current.wall_us)
                continue
            self._transitions.blocked[slot.number] = reason or "others close first"
            has_waited_long = current.wall_us - slot.requested_us >= self.timing.reserve_after_us
            if has_waited_long and not budgets.refusal(slot, with_slots=False):
                budgets.reserve(slot)

    def _prune_blocked(self) -> None:
        """Drop the reasons of all slots except those in states whose reasons do not depend on the queue's order."""
        kept = (SlotState.REQUESTED, SlotState.EMPTY)
        slots = self.queue.slots
        self._transitions.blocked = {
            number: reason
            for number, reason in self._transitions.blocked.items()
            if number in slots and slots[number].state in kept
        }


def _requested_entry(region: str, request: SlotRequest, wall_us: int) -> SlotRequested:
    """Return the entry of a request by a region's reporter, checked like an operator's request."""
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
