"""Disruption budgets: how many machines of a cell, zone, region or the fleet may be out at once; no I/O.

Budgets follow Kubernetes' PodDisruptionBudget (`drain_plan.Budget`), applied to machines. A machine counts as out from
when its slot closes it, and for as long as it is lost, ejected as an outlier or drained by the machine list; all causes
spend the same budget. The machines of each place are those in the last view of the region's reporter. A region without
a recent view is out of reach: neither its machines nor the ones of them that are out are counted.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from wingbarrow.decide.maintenance.drain_plan import Budget, Scope
from wingbarrow.decide.maintenance.messages import RegionView
from wingbarrow.decide.maintenance.slots import Slot

Place = tuple[Scope, str]
FLOAT_TOLERANCE = 1e-9  # rounding error allowed in sums of shares of machines


def places_of(region: str, zone: str, cell: str) -> tuple[Place, ...]:
    """Return the places whose budgets count a machine, the smallest first."""
    return (
        (Scope.CELL, f"{region}/{zone}/{cell}"),
        (Scope.ZONE, f"{region}/{zone}"),
        (Scope.REGION, region),
        (Scope.ALL, ""),
    )


def _no_reserve(region: str) -> float:
    return 0.0


class BudgetUse:
    """Budgets and their use at one point in time.

    `views`: the regions in reach. `reserved_machines`: capacity, in machines, that a region keeps free in case another
    region is lost.
    """

    def __init__(
        self,
        budgets: Iterable[Budget],
        views: Mapping[str, RegionView],
        slots: Iterable[Slot],
        reserved_machines: Callable[[str], float] = _no_reserve,
    ) -> None:
        self._views = views
        self._reserved_machines = reserved_machines
        self._totals = Counter[Place]()
        self._lost = Counter[Place]()  # out for a cause other than a slot
        self._by_slots = Counter[Place]()  # out because of a slot
        self._lost_machines: set[tuple[str, str]] = set()
        self._failed_zones: list[str] | None = None
        self._budgets: dict[Scope, list[Budget]] = {}
        for budget in budgets:
            self._budgets.setdefault(budget.scope, []).append(budget)
        for region, view in views.items():
            self._count(region, view)
        for slot in slots:
            if slot.region in views:
                self.reserve(slot)

    def _count(self, region: str, view: RegionView) -> None:
        for zone, cell, machines in view.cells:
            for place in places_of(region, zone, cell):
                self._totals[place] += machines
        for machine, zone, cell in view.lost:
            self._lost_machines.add((region, machine))
            self._lost.update(places_of(region, zone, cell))

    def reserve(self, slot: Slot) -> None:
        """Count a slot's machine as out; a machine that is also lost counts once."""
        is_lost = (slot.region, slot.machine) in self._lost_machines
        for place in places_of(slot.region, slot.zone, slot.cell):
            self._by_slots[place] += 1
            self._lost[place] -= is_lost

    def max_out(self, place: Place) -> int:
        """Return how many machines of a place may be out at once."""
        scope, _ = place
        total = self._totals[place]
        allowed = (each.max_out(total) for each in self._budgets.get(scope, ()))
        return min(allowed, default=total)

    def refusal(self, slot: Slot, *, with_slots: bool = True, is_reserved: bool = False) -> str:
        """Return why a slot's machine may not be out in addition to the others, as text for operators; "" if it may.

        `with_slots`: count machines that are out because of slots. `is_reserved`: `reserve` already counts this one.
        """
        is_counted = is_reserved or (slot.region, slot.machine) in self._lost_machines
        more = 0 if is_counted else 1
        for place in places_of(slot.region, slot.zone, slot.cell):
            out = self._lost[place] + (self._by_slots[place] if with_slots else 0)
            allowed = self.max_out(place)
            if out + more > allowed:
                scope, name = place
                where = f"{scope.value} {name!r}" if name else "the fleet"
                return (
                    f"{where}: {out} machine(s) out, {self._lost[place]} of them lost or closed otherwise; "
                    f"{allowed} may be"
                )
        return self._capacity_refusal(slot.region, more, with_slots=with_slots)

    def failed_zones(self, slot: Slot, failed_share: float) -> list[str]:
        """Return the other zones of the slot's region of which at least a share is out without a slot."""
        if self._failed_zones is None:
            self._failed_zones = sorted(
                name
                for (scope, name), total in self._totals.items()
                if scope is Scope.ZONE
                and self._lost[scope, name]
                and self._lost[scope, name] >= failed_share * total
            )
        own = f"{slot.region}/{slot.zone}"
        region = f"{slot.region}/"
        return [each for each in self._failed_zones if each != own and each.startswith(region)]

    def _capacity_refusal(self, region: str, more: int, *, with_slots: bool) -> str:
        """Return why demand and reserve would not fit on the remaining machines; "" if they fit."""
        place = (Scope.REGION, region)
        by_slots = self._by_slots[place] if with_slots else 0
        staying = self._totals[place] - self._lost[place] - by_slots - more
        reserved = self._reserved_machines(region)
        demand = self._views[region].used + reserved
        if staying + FLOAT_TOLERANCE >= demand:
            return ""
        return (
            f"{staying} machine(s) of region {region!r} would stay; {math.ceil(demand - FLOAT_TOLERANCE)} are wanted, "
            f"{reserved:g} of them for another region's loss"
        )
