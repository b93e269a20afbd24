"""How many machines may be out at once, as turns count: by cell, zone, region and fleet; no I/O.

PodDisruptionBudget's terms (`decide.drains.Budget`). A machine counts as out once its turn has closed it, and as long
as it is lost, or closed by a verdict or by the list: who spends a budget does not matter. What belongs to a place is
what its region's teller said; a region whose teller is not heard of is out of reach, and counts with neither its
machines nor those of them that are out.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from wingbarrow.decide.drains import Budget, Scope
from wingbarrow.decide.maintenance.slots import RegionView, Slot

Place = tuple[Scope, str]


def places(region: str, zone: str, cell: str) -> tuple[Place, ...]:
    """Where a machine counts, the smallest first."""
    return (
        (Scope.CELL, f"{region}/{zone}/{cell}"),
        (Scope.ZONE, f"{region}/{zone}"),
        (Scope.REGION, region),
        (Scope.ALL, ""),
    )


class BudgetUse:
    """Budgets as they stand at one moment. `views`: of the regions in reach; `held_back`: machines' worth that a region
    keeps free for the loss of another."""

    def __init__(
        self,
        budgets: Iterable[Budget],
        views: Mapping[str, RegionView],
        turns: Iterable[Slot],
        held_back: Callable[[str], float] = lambda region: 0.0,
    ) -> None:
        self._views, self._held_back = views, held_back
        self.totals, self.lost, self.by_turns = Counter[Place](), Counter[Place](), Counter[Place]()
        self._failed: list[str] | None = None
        self._gone: set[tuple[str, str]] = set()
        for region, view in views.items():
            for zone, cell, count in view.cells:
                for place in places(region, zone, cell):
                    self.totals[place] += count
            for machine, zone, cell in view.lost:
                self._gone.add((region, machine))
                self.lost.update(places(region, zone, cell))
        for turn in turns:
            if turn.region in views:
                self.take(turn)
        self._most: dict[Scope, list[Budget]] = {}
        for budget in budgets:
            self._most.setdefault(budget.scope, []).append(budget)

    def take(self, turn: Slot) -> None:
        """Its machine is out by a turn from now on."""
        gone = (turn.region, turn.machine) in self._gone  # it counts already
        for place in places(turn.region, turn.zone, turn.cell):
            self.by_turns[place] += 1
            self.lost[place] -= gone

    def most(self, place: Place) -> int:
        """How many of a place may be out."""
        total = self.totals[place]
        return min((each.most_out(total) for each in self._most.get(place[0], ())), default=total)

    def full(self, turn: Slot, turns_too: bool = True, taken: bool = False) -> str:
        """Why a turn's machine cannot be out beside those that are; "" where it can. `taken`: it counts as out."""
        more = 0 if taken or (turn.region, turn.machine) in self._gone else 1
        for place in places(turn.region, turn.zone, turn.cell):
            out = self.lost[place] + (self.by_turns[place] if turns_too else 0)
            if out + more > self.most(place):
                where = f"{place[0].value} {place[1]!r}" if place[1] else "the fleet"
                return (
                    f"{where}: {out} machine(s) out, {self.lost[place]} of them lost or closed otherwise; "
                    f"{self.most(place)} may be"
                )
        return self._crowded(turn.region, turns_too, more)

    def failed(self, turn: Slot, share: float) -> list[str]:
        """Halls of its region, other than its own, of whose machines at least a share is gone without a turn."""
        if self._failed is None:
            self._failed = sorted(
                name
                for (scope, name), total in self.totals.items()
                if scope is Scope.ZONE
                and self.lost[scope, name]
                and self.lost[scope, name] >= share * total
            )
        own = f"{turn.region}/{turn.zone}"
        return [name for name in self._failed if name != own and name.startswith(f"{turn.region}/")]

    def _crowded(self, region: str, turns_too: bool, more: int) -> str:
        place, view = (Scope.REGION, region), self._views[region]
        stay = (
            self.totals[place]
            - self.lost[place]
            - (self.by_turns[place] if turns_too else 0)
            - more
        )
        wanted = view.used + self._held_back(region)
        if stay + 1e-9 < wanted:
            return (
                f"{stay} machine(s) of region {region!r} would stay; {math.ceil(wanted - 1e-9)} are wanted, "
                f"{self._held_back(region):g} of them for another region's loss"
            )
        return ""
