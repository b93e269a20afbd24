"""The plan of calendar drains: which machine is out when, so that budgets hold and the rest has capacity; no I/O.

A plan is a function of its input alone. Occurrences are taken in order of their start, then precedence; within one,
machines by name. Each machine gets the first slot of its window in which every budget holds, counting whatever else is
out then; one that gets none is refused with the reason. Budgets have the terms of Kubernetes' PodDisruptionBudget
(minAvailable, maxUnavailable).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from wingbarrow.decide.maintenance.windows import Blackout, Occurrence, Series

KIND = "kind"  # marks the place of all machines of a kind
ROUNDING = 1e-9  # what sums of sizes may be off by


class Scope(Enum):
    """What a budget counts over."""

    CELL = "cell"
    ZONE = "zone"
    REGION = "region"  # where placers agree: for maintenance slots only
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Budget:
    """How many machines may be out at once in each place of a scope; with `is_share`, as a part of those there are."""

    scope: Scope
    max_unavailable: float | None = None  # a count, or with `is_share` a part of 1
    min_available: float | None = None
    is_share: bool = False

    def max_out(self, total: int) -> int:
        """How many of `total` may be out; shares round up, of both forms, as a PodDisruptionBudget's do."""
        if self.max_unavailable is not None:
            return self._count(self.max_unavailable, total)
        return max(0, total - self._count(self.min_available or 0, total))

    def _count(self, limit: float, total: int) -> int:
        return math.ceil(limit * total) if self.is_share else int(limit)


@dataclass(frozen=True, slots=True)
class MachineState:
    """A machine as the planner sees it; size and requested are (cores, memory)."""

    name: str
    cell: str
    zone: str
    kind: str
    labels: Mapping[str, str]
    size: tuple[float, float]
    requested: tuple[float, float]
    running: bool = True


@dataclass(frozen=True, slots=True)
class PlanRules:
    """What a plan must keep; `fill`: the share of the machines that stay which may be requested."""

    budgets: tuple[Budget, ...] = (Budget(Scope.CELL, 1), Budget(Scope.ZONE, 0.25, None, True))
    blackouts: tuple[Blackout, ...] = ()
    fill: float = 0.9
    kinds_needed: tuple[str, ...] = ()  # kinds that some class needs: never all out at once


class PlanOutcome(Enum):
    """Whether a machine has a slot in a window."""

    PLANNED = "planned"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Drain:
    """A machine's part in an occurrence; wall microseconds."""

    window: str
    occurrence: str
    machine: str
    outcome: PlanOutcome
    start_us: int
    end_us: int
    reason: str = ""

    @property
    def key(self) -> str:
        """The same in every plan."""
        return f"{self.occurrence}/{self.machine}"


Place = tuple[Scope | str, str]  # a scope's place, or a kind of machines


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A machine with the places in which it counts, and the budgets of those that have one."""

    machine: MachineState
    places: tuple[Place, ...]
    limits: tuple[tuple[Place, int], ...]


@dataclass(slots=True)
class _Span:
    """A machine that is out of service, and by which window."""

    start_us: int
    end_us: int
    candidate: _Candidate
    window: str


class _Grid:
    """The slots of one occurrence: what is out in each, by place and by size.

    Spans of earlier occurrences that overlap a slot count in it as a whole.
    """

    def __init__(self, occurrence: Occurrence, earlier: Sequence[_Span]) -> None:
        series = occurrence.series
        self.slot_us = min(series.each_us or series.duration_us, series.duration_us)
        self.start_us = occurrence.start_us
        self.slots = int(series.duration_us // self.slot_us)
        self.spans: list[_Span] = []  # of this occurrence
        self._out: dict[Place, list[int]] = {}
        self._out_size = [[0.0, 0.0] for _ in range(self.slots)]
        for span in earlier:
            first = max(0, (span.start_us - self.start_us) // self.slot_us)
            last = min(self.slots - 1, (span.end_us - 1 - self.start_us) // self.slot_us)
            for slot in range(first, last + 1):
                self._count(span.candidate, slot)

    def _count(self, candidate: _Candidate, slot: int) -> None:
        cores, memory = candidate.machine.size
        out_size = self._out_size[slot]
        out_size[0] += cores
        out_size[1] += memory
        for place in candidate.places:
            out = self._out.get(place)
            if out is None:
                out = [0] * self.slots
                self._out[place] = out
            out[slot] += 1

    def exhausted(self, candidate: _Candidate, slot: int) -> tuple[Place, int] | None:
        """The first of a machine's places whose budget is spent in the slot, with that budget."""
        for place, limit in candidate.limits:
            out = self._out.get(place)
            if (out[slot] if out else 0) >= limit:
                return place, limit
        return None

    def fits(self, machine: MachineState, slot: int, spare: tuple[float, float]) -> bool:
        """Whether the slot's machines and this one may be out by size."""
        cores, memory = self._out_size[slot]
        return (
            cores + machine.size[0] <= spare[0] + ROUNDING
            and memory + machine.size[1] <= spare[1] + ROUNDING
        )

    def take(self, candidate: _Candidate, slot: int, window: str) -> _Span:
        """Put a machine into a slot."""
        self._count(candidate, slot)
        begin_us = self.start_us + slot * self.slot_us
        span = _Span(begin_us, begin_us + self.slot_us, candidate, window)
        self.spans.append(span)
        return span


def plan(
    occurrences: Sequence[Occurrence], machines: Sequence[MachineState], rules: PlanRules
) -> list[Drain]:
    """The drains of all occurrences, in order; each machine planned, or refused with the reason."""
    fleet = sorted((each for each in machines if each.running), key=lambda each: each.name)
    candidates = _candidates(fleet, rules)
    spare = _spare(fleet, rules.fill)
    selected: dict[int, list[_Candidate]] = {}
    active: list[_Span] = []
    drains: list[Drain] = []
    for occurrence in occurrences:
        active = [span for span in active if span.end_us > occurrence.start_us]
        grid = _Grid(occurrence, active)
        series = occurrence.series
        if id(series) not in selected:
            selected[id(series)] = _selected(series, candidates)
        planner = _OccurrencePlanner(
            occurrence,
            grid,
            spare,
            blackout=_blackout(occurrence, rules.blackouts),
            busy={
                span.candidate.machine.name: span
                for span in active
                if span.start_us < occurrence.end_us
            },
        )
        drains += [planner.drain(each) for each in selected[id(series)]]
        active += grid.spans
    return drains


def _candidates(fleet: Sequence[MachineState], rules: PlanRules) -> list[_Candidate]:
    totals = Counter[Place]()
    for machine in fleet:
        totals.update(_places(machine))
    limits = _limits(rules, totals)
    found = []
    for machine in fleet:
        places = _places(machine)
        limited = tuple((place, limits[place]) for place in places if place in limits)
        found.append(_Candidate(machine, places, limited))
    return found


def _spare(fleet: Sequence[MachineState], fill: float) -> tuple[float, float]:
    """Cores and memory that may be out before what is requested no longer fits on the rest."""
    size = [sum(machine.size[i] for machine in fleet) for i in (0, 1)]
    requested = [sum(machine.requested[i] for machine in fleet) for i in (0, 1)]
    return size[0] - requested[0] / fill, size[1] - requested[1] / fill


def _selected(series: Series, candidates: Sequence[_Candidate]) -> list[_Candidate]:
    found = []
    for each in candidates:
        machine = each.machine
        if any(
            selector.matches(machine.name, machine.cell, machine.zone, machine.labels)
            for selector in series.selectors
        ):
            found.append(each)
    return found


def _places(machine: MachineState) -> tuple[Place, ...]:
    return (
        (Scope.CELL, f"{machine.zone}/{machine.cell}"),
        (Scope.ZONE, machine.zone),
        (Scope.ALL, ""),
        (KIND, machine.kind),
    )


def _limits(rules: PlanRules, totals: Counter[Place]) -> dict[Place, int]:
    limits: dict[Place, int] = {}
    for place, total in totals.items():
        scope, name = place
        if scope == KIND:
            if name in rules.kinds_needed:
                limits[place] = total - 1
            continue
        for budget in rules.budgets:
            if budget.scope is scope:
                limits[place] = min(limits.get(place, total), budget.max_out(total))
    return limits


def _blackout(occurrence: Occurrence, blackouts: Iterable[Blackout]) -> Blackout | None:
    found = (each for each in blackouts if each.start_us <= occurrence.start_us < each.end_us)
    return next(found, None)


class _OccurrencePlanner:
    """Plans the machines of one occurrence, one after another. `busy`: what earlier ones have out, by machine."""

    def __init__(
        self,
        occurrence: Occurrence,
        grid: _Grid,
        spare: tuple[float, float],
        *,
        blackout: Blackout | None,
        busy: Mapping[str, _Span],
    ) -> None:
        self._occurrence = occurrence
        self._ident = occurrence.ident
        self._grid = grid
        self._spare = spare
        self._blackout = blackout
        self._busy = busy

    def drain(self, candidate: _Candidate) -> Drain:
        """A machine's drain in the first slot that it fits, or refused with the reason."""
        name = candidate.machine.name
        if self._blackout is not None:
            return self._refused(
                name, f"it would start within the blackout {self._blackout.name!r}"
            )
        busy = self._busy.get(name)
        if busy is not None:
            return self._refused(name, f"window {busy.window!r} has the machine out at that time")
        reason = "the window is shorter than one machine's turn"
        for slot in range(self._grid.slots):
            exhausted = self._grid.exhausted(candidate, slot)
            if exhausted is not None:
                is_last = slot == self._grid.slots - 1
                reason = _budget_words(*exhausted) if is_last else reason
            elif not self._grid.fits(candidate.machine, slot, self._spare):
                reason = "what is asked for would not fit on the machines that stay"
            else:
                return self._planned(candidate, slot)
        return self._refused(name, f"no slot left in the window: {reason}")

    def _planned(self, candidate: _Candidate, slot: int) -> Drain:
        window = self._occurrence.series.name
        span = self._grid.take(candidate, slot, window)
        return Drain(
            window=window,
            occurrence=self._ident,
            machine=candidate.machine.name,
            outcome=PlanOutcome.PLANNED,
            start_us=span.start_us,
            end_us=span.end_us,
        )

    def _refused(self, machine: str, reason: str) -> Drain:
        return Drain(
            window=self._occurrence.series.name,
            occurrence=self._ident,
            machine=machine,
            outcome=PlanOutcome.REFUSED,
            start_us=self._occurrence.start_us,
            end_us=self._occurrence.end_us,
            reason=reason,
        )


def _budget_words(place: Place, limit: int) -> str:
    scope, name = place
    if scope == KIND:
        return f"the last machine of kind {name!r}, which a class needs"
    where = f"{scope.value} {name!r}" if isinstance(scope, Scope) and name else "the fleet"
    return f"{limit} machine(s) of {where} may be out at once"
