"""The judge of turns: from what was decided, what machines held and what workers did, in true time. It shares no code
with the queue but the turns' own record.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wingbarrow.decide.maintenance.slots import Slot
from wingbarrow.lab.fleet.maintenance_simulation import SlotChange, WorkSample

OUT = ("closing", "empty", "out", "back")
ORDER = ("asked", "queued", "closing", "empty", "out", "back", "done")
AGE_US = 600_000_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """What was found. Breaches: `busy`, `stale`, `over`, `disorder`, `jumps`."""

    turns: int
    done: int
    works: int
    busy: int  # moments of work on a machine with a task on it
    stale: int  # moments of work on a turn that was over
    over: int  # machines given out, or closed, beyond a budget
    disorder: int  # closed before one that stood earlier and had room
    jumps: int  # states that do not follow each other, or a machine with two turns

    @property
    def clean(self) -> bool:
        """Whether no rule was broken."""
        return not (self.busy or self.stale or self.over or self.disorder or self.jumps)


def level(turn: Slot) -> tuple[int, int, int, int, str]:
    """The order, as the docs state it."""
    return (
        turn.requested_us // AGE_US - turn.urgency,
        turn.latest_us or 1 << 62,
        turn.requested_us,
        turn.tasks,
        turn.machine,
    )


class Judge:
    """`most`: of a cell, and of the fleet, at once; `places`: each machine's cell; `lost`: when which machine was lost
    or came back; `known_us`: how long a loss may take to be known; `in_reach`: regions to whose turns order applies."""

    def __init__(
        self,
        most_cell: int,
        most_all: int,
        places: Mapping[str, str],
        lost: Iterable[tuple[int, str, bool]],
        known_us: int,
    ) -> None:
        self._most_cell, self._most_all, self._places, self._known_us = (
            most_cell,
            most_all,
            places,
            known_us,
        )
        self._lost = list(lost)

    def _gone(self, at_us: int, since_us: int) -> set[str]:
        """Machines that were lost during all of a span: any leader knows of these."""
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

    def _ever_gone(self, at_us: int) -> set[str]:
        """Machines that were lost at any time shortly before: a leader may take them for lost still."""
        out = self._gone(at_us, at_us)
        return out | {
            machine for at, machine, _ in self._lost if at_us - 2 * self._known_us <= at <= at_us
        }

    def judge(self, entries: Iterable[SlotChange], works: Iterable[WorkSample]) -> Verdict:
        """The verdict over all."""
        turns: dict[int, Slot] = {}
        over = disorder = jumps = 0
        for entry in entries:
            before = dict(turns)
            for turn in entry.slots:
                jumps += not _follows(before.get(turn.number), turn)
                turns[turn.number] = turn
            live = [
                each.machine for each in turns.values() if each.state not in ("done", "given-back")
            ]
            jumps += len(live) - len(set(live))
            began = [
                each
                for each in entry.slots
                if _enters(before.get(each.number), each, ("closing", "out"))
            ]
            over += sum(self._over(entry.at_us, each, turns) for each in began)
            closed = [
                each for each in entry.slots if _enters(before.get(each.number), each, ("closing",))
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
        out = {each.machine for each in turns.values() if each.state in OUT} | self._gone(
            at_us, at_us - self._known_us
        )
        cell = self._places[turn.machine]
        return (
            sum(self._places[each] == cell for each in out) > self._most_cell
            or len(out) > self._most_all
        )

    def _passed_over(
        self,
        at_us: int,
        turn: Slot,
        closed: list[Slot],
        before: Mapping[int, Slot],
        turns: Mapping[int, Slot],
    ) -> bool:
        """Whether one that waits had room for sure before later ones of its region closed."""
        later = {
            each.machine
            for each in closed
            if level(each) > level(turn) and each.region == turn.region
        }
        # Between two looks several entries may have been decided: what was out at either end was room for nobody.
        out = {each.machine for each in (*before.values(), *turns.values()) if each.state in OUT}
        # A lost machine spends its budget whether it has a turn or not, which it may then have at once.
        out = (out - later | self._ever_gone(at_us)) - {turn.machine}
        cell = self._places[turn.machine]
        return (
            bool(later)
            and len(out) < self._most_all
            and (sum(self._places[each] == cell for each in out) < self._most_cell)
        )


def _enters(before: Slot | None, after: Slot, states: tuple[str, ...]) -> bool:
    return after.state in states and (before is None or before.state != after.state)


def _follows(before: Slot | None, after: Slot) -> bool:
    """Several entries may have been decided between two looks; none may be undone."""
    was = before.state if before is not None else "asked"
    if after.state == "given-back":
        return was != "done"
    return was != "given-back" and ORDER.index(after.state) >= ORDER.index(was)
