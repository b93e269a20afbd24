"""Planning of drains: which machine is out when, so that no budget is passed and the rest has room; no I/O.

A plan is a function of its input alone. Occurrences are taken in order of their start, then precedence; within one,
machines by name. Each machine gets the first slot of its window in which every budget holds, counting whatever else is
out then; one that gets none is refused with the reason. (PodDisruptionBudget's terms: minAvailable, maxUnavailable.)
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from wingbarrow.decide.maintenance.windows import Blackout, Occurrence


class Scope(Enum):
    """What a budget counts over."""

    CELL = "cell"
    ZONE = "zone"
    REGION = "region"  # where placers agree, in turns alone
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Budget:
    """At most so many machines out at once in each cell, each zone, or in all; a share is of those that there are."""

    scope: Scope
    max_unavailable: float | None = None  # a number, or with `share` a part of 1
    min_available: float | None = None
    share: bool = False

    def most_out(self, total: int) -> int:
        """How many of `total` may be out; shares round up, of maxUnavailable and of minAvailable alike, as there."""
        if self.max_unavailable is not None:
            return (
                math.ceil(self.max_unavailable * total) if self.share else int(self.max_unavailable)
            )
        least = (
            math.ceil((self.min_available or 0) * total)
            if self.share
            else int(self.min_available or 0)
        )
        return max(0, total - least)


@dataclass(frozen=True, slots=True)
class MachineState:
    """A machine as planning sees it; size and asked are (cores, memory)."""

    name: str
    cell: str
    zone: str
    kind: str
    labels: Mapping[str, str]
    size: tuple[float, float]
    asked: tuple[float, float]
    running: bool = True


@dataclass(frozen=True, slots=True)
class Rules:
    """What a plan must keep; `fill`: share of what stays that may be asked for."""

    budgets: tuple[Budget, ...] = (Budget(Scope.CELL, 1), Budget(Scope.ZONE, 0.25, None, True))
    blackouts: tuple[Blackout, ...] = ()
    fill: float = 0.9
    kinds_needed: tuple[str, ...] = ()  # kinds that some class needs: never all out at once


class Fate(Enum):
    """What became of a machine in a window."""

    PLANNED = "planned"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Drain:
    """A machine's part in an occurrence; wall microseconds."""

    window: str
    occurrence: str
    machine: str
    fate: Fate
    start_us: int
    end_us: int
    reason: str = ""

    @property
    def key(self) -> str:
        """The same in every plan."""
        return f"{self.occurrence}/{self.machine}"


class _Span:
    """A machine out of service: when, which, and by which window."""

    __slots__ = ("end", "machine", "start", "window")

    def __init__(self, start: int, end: int, machine: MachineState, window: str) -> None:
        self.start, self.end, self.machine, self.window = start, end, machine, window


class _Grid:
    """The slots of one occurrence: what is out in each, by place, and in all by size.

    Spans of earlier occurrences that reach into a slot count in it whole.
    """

    def __init__(self, occurrence: Occurrence, earlier: Sequence[_Span]) -> None:
        series = occurrence.series
        self.each = min(series.each_us or series.lasts_us, series.lasts_us)
        self.start = occurrence.start_us
        self.slots = int(series.lasts_us // self.each)
        self._out: dict[object, list[int]] = {}
        self._size = [[0.0, 0.0] for _ in range(self.slots)]
        self.mine: list[_Span] = []
        for span in earlier:
            low = max(0, (span.start - self.start) // self.each)
            high = min(self.slots - 1, (span.end - 1 - self.start) // self.each)
            for slot in range(low, high + 1):
                self._count(span.machine, slot)

    def _count(
        self, machine: MachineState, slot: int, keys: tuple[object, ...] | None = None
    ) -> None:
        for key in keys or _keys(machine):
            self._out.setdefault(key, [0] * self.slots)[slot] += 1
        self._size[slot][0] += machine.size[0]
        self._size[slot][1] += machine.size[1]

    def full(self, slot: int, limited: Sequence[tuple[object, int]]) -> tuple[object, int] | None:
        """The first place whose budget has no room in the slot, and that budget."""
        for pair in limited:
            out = self._out.get(pair[0])
            if (out[slot] if out else 0) >= pair[1]:
                return pair
        return None

    def out(self, slot: int) -> list[float]:
        """Cores and memory of the machines out in the slot."""
        return self._size[slot]

    def take(
        self, machine: MachineState, slot: int, window: str, keys: tuple[object, ...]
    ) -> _Span:
        """Put a machine into a slot."""
        self._count(machine, slot, keys)
        begin = self.start + slot * self.each
        span = _Span(begin, begin + self.each, machine, window)
        self.mine.append(span)
        return span


def plan(
    occurrences: Sequence[Occurrence], machines: Sequence[MachineState], rules: Rules
) -> list[Drain]:
    """The drains of all occurrences, in order; each machine planned, or refused with the reason."""
    fleet = sorted(
        (machine for machine in machines if machine.running), key=lambda machine: machine.name
    )
    totals = Counter[object]()
    for machine in fleet:
        totals.update(_keys(machine))
    limits = _limits(rules, totals)
    size = [sum(machine.size[i] for machine in fleet) for i in (0, 1)]
    asked = [sum(machine.asked[i] for machine in fleet) for i in (0, 1)]
    # What may be out in all, by size, before what is asked for no longer fits on the rest.
    spare = (size[0] - asked[0] / rules.fill, size[1] - asked[1] / rules.fill)
    keyed = [
        (machine, keys, [(key, limits[key]) for key in keys if key in limits])
        for machine, keys in ((machine, _keys(machine)) for machine in fleet)
    ]
    meant: dict[int, list[tuple[MachineState, tuple[object, ...], list[tuple[object, int]]]]] = {}
    active: list[_Span] = []
    drains: list[Drain] = []
    for occurrence in occurrences:
        active = [span for span in active if span.end > occurrence.start_us]
        banned = _blackout(occurrence, rules.blackouts)
        grid = _Grid(occurrence, active)
        busy = {span.machine.name: span for span in active if span.start < occurrence.end_us}
        series = occurrence.series
        if id(series) not in meant:
            meant[id(series)] = [
                each
                for each in keyed
                if any(
                    selector.matches(each[0].name, each[0].cell, each[0].zone, each[0].labels)
                    for selector in series.selectors
                )
            ]
        ident = occurrence.ident
        for machine, keys, limited in meant[id(series)]:
            drains.append(
                _one(
                    occurrence,
                    ident,
                    machine,
                    banned,
                    keys,
                    limited,
                    grid,
                    spare,
                    busy.get(machine.name),
                )
            )
        active += grid.mine
    return drains


def _keys(machine: MachineState) -> tuple[object, ...]:
    return (
        (Scope.CELL, f"{machine.zone}/{machine.cell}"),
        (Scope.ZONE, machine.zone),
        (Scope.ALL, ""),
        ("kind", machine.kind),
    )


def _limits(rules: Rules, totals: Counter[object]) -> dict[object, int]:
    limits: dict[object, int] = {}
    for key, total in totals.items():
        scope = key[0] if isinstance(key, tuple) else None
        if scope == "kind":
            if isinstance(key, tuple) and key[1] in rules.kinds_needed:
                limits[key] = total - 1
            continue
        for budget in rules.budgets:
            if budget.scope is scope:
                limits[key] = min(limits.get(key, total), budget.most_out(total))
    return limits


def _blackout(occurrence: Occurrence, blackouts: Iterable[Blackout]) -> Blackout | None:
    return next(
        (each for each in blackouts if each.start_us <= occurrence.start_us < each.end_us), None
    )


def _one(
    occurrence: Occurrence,
    ident: str,
    machine: MachineState,
    banned: Blackout | None,
    keys: tuple[object, ...],
    limited: Sequence[tuple[object, int]],
    grid: _Grid,
    spare: tuple[float, float],
    busy: _Span | None,
) -> Drain:
    series = occurrence.series

    def refused(reason: str) -> Drain:
        return Drain(
            series.name,
            ident,
            machine.name,
            Fate.REFUSED,
            occurrence.start_us,
            occurrence.end_us,
            reason,
        )

    if banned is not None:
        return refused(f"it would start within the blackout {banned.name!r}")
    if busy is not None:
        return refused(f"window {busy.window!r} has the machine out at that time")
    why = "the window is shorter than one machine's turn"
    for slot in range(grid.slots):
        full = grid.full(slot, limited)
        if full is not None:
            why = _words(*full) if slot == grid.slots - 1 else why
            continue
        out = grid.out(slot)
        if out[0] + machine.size[0] > spare[0] + 1e-9 or out[1] + machine.size[1] > spare[1] + 1e-9:
            why = "what is asked for would not fit on the machines that stay"
            continue
        span = grid.take(machine, slot, series.name, keys)
        return Drain(series.name, ident, machine.name, Fate.PLANNED, span.start, span.end)
    return refused(f"no slot left in the window: {why}")


def _words(key: object, limit: int) -> str:
    scope, name = key if isinstance(key, tuple) else (None, "")
    if scope == "kind":
        return f"the last machine of kind {name!r}, which a class needs"
    where = f"{scope.value} {name!r}" if isinstance(scope, Scope) and name else "the fleet"
    return f"{limit} machine(s) of {where} may be out at once"
