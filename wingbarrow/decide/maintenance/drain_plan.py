"""Plans calendar drains: when each machine is out, within budgets and with enough capacity left; no I/O.

A plan is a pure function of its input. Occurrences are planned by start, then precedence; the machines of one
occurrence by name. Each machine gets the first slot of its window in which every budget holds, counting all other
machines that are out then; a machine without such a slot is refused with the reason. Budgets use the terms of
Kubernetes' PodDisruptionBudget (minAvailable, maxUnavailable).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from wingbarrow.decide.maintenance.windows import Blackout, Occurrence, Series

MACHINE_KIND = "kind"  # in a Place: all machines of one kind, instead of a scope
FLOAT_TOLERANCE = 1e-9  # rounding error allowed in sums of sizes


class Scope(Enum):
    """The set of machines that a budget applies to."""

    CELL = "cell"
    ZONE = "zone"
    REGION = "region"  # for maintenance slots only, which placers agree on
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Budget:
    """How many machines of each place of a scope may be out at once: a count, or with `is_share` a share of them."""

    scope: Scope
    max_unavailable: float | None = None  # a count, or with `is_share` a share from 0 to 1
    min_available: float | None = None
    is_share: bool = False

    def max_out(self, total: int) -> int:
        """Return how many of `total` may be out; shares of both forms round up, as in a PodDisruptionBudget."""
        if self.max_unavailable is not None:
            return self._count(self.max_unavailable, total)
        return max(0, total - self._count(self.min_available or 0, total))

    def _count(self, limit: float, total: int) -> int:
        return math.ceil(limit * total) if self.is_share else int(limit)


@dataclass(frozen=True, slots=True)
class MachineState:
    """The planner's input about a machine; `size` and `requested` are (cores, memory)."""

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
    """The constraints of a plan; `fill`: the share of the remaining machines' capacity that may be requested."""

    budgets: tuple[Budget, ...] = (Budget(Scope.CELL, 1), Budget(Scope.ZONE, 0.25, None, True))
    blackouts: tuple[Blackout, ...] = ()
    fill: float = 0.9
    kinds_needed: tuple[str, ...] = ()  # kinds that a class requires: one machine of each stays


class PlanOutcome(Enum):
    """Whether a machine got a slot in a window."""

    PLANNED = "planned"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Drain:
    """The drain of one machine in one occurrence; times in wall clock microseconds."""

    window: str
    occurrence: str
    machine: str
    outcome: PlanOutcome
    start_us: int
    end_us: int
    reason: str = ""

    @property
    def key(self) -> str:
        """Identifies the drain; the same in every plan."""
        return f"{self.occurrence}/{self.machine}"


Place = tuple[Scope | str, str]  # (scope, name), or (MACHINE_KIND, kind)


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A machine with the places that count it, and the limits of those places that have a budget."""

    machine: MachineState
    places: tuple[Place, ...]
    limits: tuple[tuple[Place, int], ...]


@dataclass(slots=True)
class _Outage:
    """The time that a machine is out of service, and the window that caused it."""

    start_us: int
    end_us: int
    candidate: _Candidate
    window: str


class _Grid:
    """The slots of one occurrence: how many machines, and how much capacity, are out in each.

    An outage of an earlier occurrence counts in full in every slot that it overlaps.
    """

    def __init__(self, occurrence: Occurrence, earlier: Sequence[_Outage]) -> None:
        series = occurrence.series
        self.slot_us = min(series.each_us or series.duration_us, series.duration_us)
        self.start_us = occurrence.start_us
        self.slots = int(series.duration_us // self.slot_us)
        self.outages: list[_Outage] = []  # of this occurrence
        self._out: dict[Place, list[int]] = {}
        self._out_size = [[0.0, 0.0] for _ in range(self.slots)]
        for outage in earlier:
            first = max(0, (outage.start_us - self.start_us) // self.slot_us)
            last = min(self.slots - 1, (outage.end_us - 1 - self.start_us) // self.slot_us)
            for slot in range(first, last + 1):
                self._count(outage.candidate, slot)

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
        """Return the first of a machine's places whose budget is exhausted in the slot, with its limit; else None."""
        for place, limit in candidate.limits:
            out = self._out.get(place)
            if (out[slot] if out else 0) >= limit:
                return place, limit
        return None

    def fits(self, machine: MachineState, slot: int, spare: tuple[float, float]) -> bool:
        """Whether the spare capacity covers this machine in addition to those already out in the slot."""
        cores, memory = self._out_size[slot]
        return (
            cores + machine.size[0] <= spare[0] + FLOAT_TOLERANCE
            and memory + machine.size[1] <= spare[1] + FLOAT_TOLERANCE
        )

    def take(self, candidate: _Candidate, slot: int, window: str) -> _Outage:
        """Assign a slot to a machine."""
        self._count(candidate, slot)
        begin_us = self.start_us + slot * self.slot_us
        outage = _Outage(begin_us, begin_us + self.slot_us, candidate, window)
        self.outages.append(outage)
        return outage


def plan(
    occurrences: Sequence[Occurrence], machines: Sequence[MachineState], rules: PlanRules
) -> list[Drain]:
    """Return the drains of all occurrences, in order; each machine is planned, or refused with the reason."""
    fleet = sorted((each for each in machines if each.running), key=lambda each: each.name)
    candidates = _candidates(fleet, rules)
    spare = _spare(fleet, rules.fill)
    selected: dict[int, list[_Candidate]] = {}
    active: list[_Outage] = []
    drains: list[Drain] = []
    for occurrence in occurrences:
        active = [outage for outage in active if outage.end_us > occurrence.start_us]
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
                outage.candidate.machine.name: outage
                for outage in active
                if outage.start_us < occurrence.end_us
            },
        )
        drains += [planner.drain(each) for each in selected[id(series)]]
        active += grid.outages
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
    """Return the cores and memory that may be out while the rest still fits what is requested."""
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
        (MACHINE_KIND, machine.kind),
    )


def _limits(rules: PlanRules, totals: Counter[Place]) -> dict[Place, int]:
    limits: dict[Place, int] = {}
    for place, total in totals.items():
        scope, name = place
        if scope == MACHINE_KIND:
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
    """Plans the machines of one occurrence, one after another. `busy`: outages of earlier occurrences, by machine."""

    def __init__(
        self,
        occurrence: Occurrence,
        grid: _Grid,
        spare: tuple[float, float],
        *,
        blackout: Blackout | None,
        busy: Mapping[str, _Outage],
    ) -> None:
        self._occurrence = occurrence
        self._ident = occurrence.ident
        self._grid = grid
        self._spare = spare
        self._blackout = blackout
        self._busy = busy

    def drain(self, candidate: _Candidate) -> Drain:
        """Return a machine's drain in the first slot that it fits, or its refusal with the reason."""
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
                reason = _budget_reason(*exhausted) if is_last else reason
            elif not self._grid.fits(candidate.machine, slot, self._spare):
                reason = "what is asked for would not fit on the machines that stay"
            else:
                return self._planned(candidate, slot)
        return self._refused(name, f"no slot left in the window: {reason}")

    def _planned(self, candidate: _Candidate, slot: int) -> Drain:
        window = self._occurrence.series.name
        outage = self._grid.take(candidate, slot, window)
        return Drain(
            window=window,
            occurrence=self._ident,
            machine=candidate.machine.name,
            outcome=PlanOutcome.PLANNED,
            start_us=outage.start_us,
            end_us=outage.end_us,
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


def _budget_reason(place: Place, limit: int) -> str:
    scope, name = place
    if scope == MACHINE_KIND:
        return f"the last machine of kind {name!r}, which a class needs"
    where = f"{scope.value} {name!r}" if isinstance(scope, Scope) and name else "the fleet"
    return f"{limit} machine(s) of {where} may be out at once"
