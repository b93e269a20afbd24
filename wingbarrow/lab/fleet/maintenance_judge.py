"""Judges maintenance turns from the decided entries, the tasks on machines and the work done, in true time.

It shares no code with the queue except the record type of a turn, so that a fault of the queue cannot hide here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wingbarrow.decide.maintenance.slots import Slot
from wingbarrow.lab.fleet.maintenance_simulation import SlotChange, WorkSample

CLOSED_STATES = ("closing", "empty", "out", "back")
STATE_ORDER = ("asked", "queued", "closing", "empty", "out", "back", "done")
AGING_INTERVAL_US = 600_000_000  # of waiting per level of urgency


@dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of turns, and of violations: `busy`, `stale`, `over`, `disorder`, `jumps`."""

    turns: int
    done: int
    works: int
    busy: int  # samples of work on a machine that had a task
    stale: int  # samples of work under a turn that was not in state "out"
    over: int  # turns that began closing, or went out, beyond a budget
    disorder: int  # waiting turns passed over by a later one although the budget had room
    jumps: int  # invalid state transitions, and machines with two live turns

    @property
    def clean(self) -> bool:
        """Whether no rule was broken."""
        return not (self.busy or self.stale or self.over or self.disorder or self.jumps)


def order_key(turn: Slot) -> tuple[int, int, int, int, str]:
    """The sort key of waiting turns, as documented: the lowest is served first."""
    return (
        turn.requested_us // AGING_INTERVAL_US - turn.urgency,
        turn.latest_us or 1 << 62,
        turn.requested_us,
        turn.tasks,
        turn.machine,
    )


class Judge:
    """Judges the turns of one scenario.

    `max_per_cell` and `max_all`: machines of a cell, and of the fleet, that may be out at once. `cells`: each machine's
    cell. `lost`: (time, machine, True if lost or False if back), by time. `loss_report_us`: the longest time until a
    leader knows of a loss.
    """

    def __init__(
        self,
        max_per_cell: int,
        max_all: int,
        cells: Mapping[str, str],
        lost: Iterable[tuple[int, str, bool]],
        loss_report_us: int,
    ) -> None:
        self._max_per_cell = max_per_cell
        self._max_all = max_all
        self._cells = cells
        self._loss_report_us = loss_report_us
        self._lost = list(lost)

    def _lost_throughout(self, at_us: int, since_us: int) -> set[str]:
        """Machines lost from `since_us` to `at_us` throughout: a leader knows them after a long enough span."""
        gone: dict[str, int] = {}
        back: set[str] = set()
        for at, machine, lost in self._lost:
            if at > at_us:
                break
            if lost:
                gone[machine] = at
            else:
                gone.pop(machine, None)
                back.add(machine)
        return {machine for machine, at in gone.items() if at <= since_us}

    def _possibly_lost(self, at_us: int) -> set[str]:
        """Machines lost now, or lost or back recently: a leader may still take them for lost."""
        out = self._lost_throughout(at_us, at_us)
        return out | {
            machine
            for at, machine, _ in self._lost
            if at_us - 2 * self._loss_report_us <= at <= at_us
        }

    def judge(self, entries: Iterable[SlotChange], works: Iterable[WorkSample]) -> Verdict:
        """Judge all decided entries, in order, and all samples of work."""
        turns: dict[int, Slot] = {}
        over = disorder = jumps = 0
        for entry in entries:
            before = dict(turns)
            for turn in entry.slots:
                jumps += not _is_valid_transition(before.get(turn.number), turn)
                turns[turn.number] = turn
            live = [
                each.machine for each in turns.values() if each.state not in ("done", "given-back")
            ]
            jumps += len(live) - len(set(live))
            began = [
                each
                for each in entry.slots
                if _enters_state(before.get(each.number), each, ("closing", "out"))
            ]
            over += sum(self._over(entry.at_us, each, turns) for each in began)
            closed = [
                each
                for each in entry.slots
                if _enters_state(before.get(each.number), each, ("closing",))
            ]
            disorder += sum(
                self._passed_over(entry.at_us, each, closed, before, turns)
                for each in before.values()
                if closed and each.state == "queued" and turns[each.number].state == "queued"
            )
        works = list(works)
        return Verdict(
            len(turns),
            sum(each.state == "done" for each in turns.values()),
            len(works),
            sum(each.tasks > 0 for each in works),
            sum(each.state != "out" for each in works),
            over,
            disorder,
            jumps,
        )

    def _over(self, at_us: int, turn: Slot, turns: Mapping[int, Slot]) -> bool:
        out = {
            each.machine for each in turns.values() if each.state in CLOSED_STATES
        } | self._lost_throughout(at_us, at_us - self._loss_report_us)
        cell = self._cells[turn.machine]
        return (
            sum(self._cells[each] == cell for each in out) > self._max_per_cell
            or len(out) > self._max_all
        )

    def _passed_over(
        self,
        at_us: int,
        turn: Slot,
        closed: list[Slot],
        before: Mapping[int, Slot],
        turns: Mapping[int, Slot],
    ) -> bool:
        """Whether later turns of its region closed while the budget certainly had room for this waiting turn."""
        later = {
            each.machine
            for each in closed
            if order_key(each) > order_key(turn) and each.region == turn.region
        }
        # Several entries may be decided between two polls: a machine out at either poll counts against the budget.
        out = {
            each.machine
            for each in (*before.values(), *turns.values())
            if each.state in CLOSED_STATES
        }
        # A lost machine counts against the budget with or without a turn; so its own turn needs no further room.
        out = (out - later | self._possibly_lost(at_us)) - {turn.machine}
        cell = self._cells[turn.machine]
        return (
            bool(later)
            and len(out) < self._max_all
            and (sum(self._cells[each] == cell for each in out) < self._max_per_cell)
        )


def _enters_state(before: Slot | None, after: Slot, states: tuple[str, ...]) -> bool:
    return after.state in states and (before is None or before.state != after.state)


def _is_valid_transition(before: Slot | None, after: Slot) -> bool:
    """Whether a turn may change so between two polls. States may be skipped, as several entries may be decided
    in between, but none may be undone.
    """
    was = before.state if before is not None else "asked"
    if after.state == "given-back":
        return was != "done"
    return was != "given-back" and STATE_ORDER.index(after.state) >= STATE_ORDER.index(was)
