"""The leader's rules for the transition due for a live slot, by its state; their only side effect is on `blocked`."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.maintenance.budgets import BudgetUse
from wingbarrow.decide.maintenance.emptiness import EmptinessProof
from wingbarrow.decide.maintenance.entries import (
    CALENDAR,
    CountedSlot,
    MachineEmptied,
    MachineOut,
    MachineReturned,
    SlotDone,
    SlotGivenBack,
    SlotTransition,
)
from wingbarrow.decide.maintenance.reports import PlacerReports
from wingbarrow.decide.maintenance.slot_tracker import TrackedSlot
from wingbarrow.decide.maintenance.slots import NO_DEADLINE, Slot, SlotState, short_ident
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.rulesets.ruleset import RuleSet

NOT_YET = "its time has not come yet"


@dataclass(frozen=True, slots=True)
class SchedulingRound:
    """One scheduling round over all slots: the time by both clocks, the rules in force, and the use of the budgets."""

    now_us: int
    wall_us: int
    rules: RuleSet
    budgets: BudgetUse


class TransitionRules:
    """Decides which entry is due for a slot. `blocked`: why slots do not advance, by number; owned by the scheduler."""

    def __init__(
        self,
        reports: PlacerReports,
        proof: EmptinessProof,
        timing: MaintenanceTiming,
    ) -> None:
        self._reports = reports
        self._proof = proof
        self._timing = timing
        self.blocked: dict[int, str] = {}

    def counted_slot(self, now_us: int, slot: Slot, tracked: TrackedSlot) -> CountedSlot | None:
        """Return a requested slot to queue, once its region's placers have counted tasks or the timeout has passed."""
        region, place = slot.region, None
        if not region:
            self.blocked[slot.number] = "no list that is heard of has such a machine"
            place = self._reports.place_of(now_us, slot.number)
            if place is None:
                return None
            region = place[0]
        counts = self._reports.task_counts(now_us, region, slot.number)
        is_waiting = now_us < tracked.since_us + self._timing.count_timeout_us
        if is_waiting and (not counts or None in counts):
            return None
        tasks = sum(each for each in counts if each is not None)
        return CountedSlot(slot.number, tasks, place)

    def next_transition(
        self, current: SchedulingRound, slot: Slot, tracked: TrackedSlot
    ) -> SlotTransition | None:
        """Return the transition that is due; None if there is none, or if the slot is to be queued or closed."""
        is_unlisted = (
            tracked.unlisted_since_us is not None
            and current.now_us >= tracked.unlisted_since_us + self._timing.unlisted_us
        )
        if slot.state == SlotState.RETURNED:
            return self._returned_transition(current, slot, tracked, is_unlisted=is_unlisted)
        if is_unlisted and slot.state != SlotState.OUT:
            return _transition(SlotGivenBack, current, slot, "no list has such a machine")
        step = self._calendar_transition(current, slot) if slot.why == CALENDAR else None
        if step is not None:
            return step
        rule = {
            SlotState.CLOSING: self._closing_transition,
            SlotState.EMPTY: self._empty_transition,
            SlotState.OUT: self._out_transition,
        }.get(slot.state)
        return rule(current, slot) if rule is not None else None

    def _calendar_transition(self, current: SchedulingRound, slot: Slot) -> SlotTransition | None:
        """Give back a calendar slot whose window was cancelled or is over, or if another zone has failed."""
        if _is_cancelled(current.rules, slot):
            return _transition(
                SlotGivenBack, current, slot, "its window was taken back", retry_ident=slot.ident
            )
        if slot.state == SlotState.OUT:
            return None
        reason = self._calendar_refusal(current, slot)
        return _transition(SlotGivenBack, current, slot, reason) if reason else None

    def _calendar_refusal(self, current: SchedulingRound, slot: Slot) -> str:
        if current.wall_us >= slot.latest_us > 0:
            if slot.state in (SlotState.REQUESTED, SlotState.QUEUED):
                return "its time passed before it began"
            if slot.unsafe == "give-up":
                return "tasks that must not start twice still run"
        if 0 < slot.ends_us <= current.wall_us:
            return "its window is over"
        plan = current.rules.plan
        if plan.take_back and slot.state == SlotState.CLOSING:
            # Danger: the remaining zones carry the whole load.
            return failed_zones_note(current.budgets.failed_zones(slot, plan.failed_share))
        return ""

    def _closing_transition(self, current: SchedulingRound, slot: Slot) -> SlotTransition | None:
        if not self._proof.is_complete(current.now_us, slot.number):
            return None
        return _transition(MachineEmptied, current, slot)

    def _empty_transition(self, current: SchedulingRound, slot: Slot) -> SlotTransition | None:
        if not self._proof.is_complete(current.now_us, slot.number):
            return None
        if slot.region not in self._reports.views_in_reach(current.now_us):
            return None
        reason = NOT_YET
        if current.wall_us >= slot.from_us:
            reason = current.budgets.refusal(slot, is_reserved=True)
        self.blocked[slot.number] = reason
        return None if reason else _transition(MachineOut, current, slot)

    def _out_transition(self, current: SchedulingRound, slot: Slot) -> SlotTransition | None:
        """Return a machine after the slot's duration; one with an operator or without a duration has to be returned."""
        if slot.worker or not slot.lasts_us:
            return None
        ends_us = min(slot.since_us + slot.lasts_us, slot.ends_us or NO_DEADLINE)
        if current.wall_us < ends_us:
            return None
        return _transition(MachineReturned, current, slot, "its time is over")

    def _returned_transition(
        self, current: SchedulingRound, slot: Slot, tracked: TrackedSlot, *, is_unlisted: bool
    ) -> SlotTransition | None:
        number = slot.number
        reports = list(self._reports.recent(current.now_us))
        if is_unlisted:
            return _transition(SlotDone, current, slot, "its machine has left the list")
        if any(number in each.tried for each in reports):
            return _transition(SlotDone, current, slot)
        if not any(number in each.open for each in reports):
            return None
        if not slot.out_us:
            # The machine was closed but never given out, so it need not be tried.
            return _transition(SlotDone, current, slot)
        has_failed_start = any(number in each.bad for each in reports)
        if has_failed_start or current.now_us < tracked.since_us + self._timing.trial_us:
            return None
        return _transition(SlotDone, current, slot, "nothing was there to try it with")


def failed_zones_note(zones: list[str]) -> str:
    """Return the reason to hold or give back slots while zones have failed; "" if none has."""
    return f"{', '.join(zones)} has failed" if zones else ""


def _is_cancelled(rules: RuleSet, slot: Slot) -> bool:
    window = slot.ident.rpartition("/")[0].rpartition("@")[0]
    if slot.ident in map(short_ident, rules.cancelled):
        return True
    return window not in {each.name for each in rules.windows}


def _transition(
    entry_type: type[SlotTransition],
    current: SchedulingRound,
    slot: Slot,
    note: str = "",
    retry_ident: str = "",
) -> SlotTransition:
    return entry_type(number=slot.number, at_us=current.wall_us, note=note, retry_ident=retry_ident)
