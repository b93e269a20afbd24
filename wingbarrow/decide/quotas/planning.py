"""Planning of allocations of a limit: max-min fair target sizes, and the next step towards them.

Pure functions of the leader's state. To keep shares from flapping, an allocation does not change by one part in
`SMALL_CHANGE_DIVISOR` or less, unless a holder needs the change. A size is raised only by an amount that nobody else
can have in use; lowering a size leaves `reserved` unchanged until the holder is known to hold no more (`allocations`).
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.quotas.entries import Allocation, LimitAllocations, OutstandingAllocation
from wingbarrow.decide.quotas.escrow import max_min_fair
from wingbarrow.decide.quotas.limits import FleetLimit

SMALL_CHANGE_DIVISOR = 8


@dataclass(slots=True)
class HolderUse:
    """What a placer reported on one limit, and what the response granted to it."""

    reported: int  # the larger of its share and the amount in use
    in_use: int
    demand: int
    granted: int = 0

    @property
    def held(self) -> int:
        """The most that it may have in use since the report."""
        return max(self.reported, self.granted)


@dataclass(slots=True)
class LimitView:
    """The leader's view of one limit: allocations as far as they are proven, and reports of holders in contact."""

    limit: FleetLimit
    proven: dict[str, Allocation]
    uses: dict[str, HolderUse]
    outstanding: list[OutstandingAllocation]
    members: frozenset[str]  # the placers that share the limit

    @property
    def total_outstanding(self) -> int:
        """The amount that former incarnations may have in use."""
        return sum(each.amount for each in self.outstanding)

    @property
    def unreserved(self) -> int:
        """The amount that nobody can have in use; negative if the limit was lowered below what may be in use."""
        reserved = sum(each.reserved for each in self.proven.values())
        return self.limit.most - self.total_outstanding - reserved


def target_sizes(view: LimitView) -> dict[str, int]:
    """Fair shares, for the holders in contact, of the amount that nobody else can have in use."""
    reserved_elsewhere = sum(
        each.reserved for name, each in view.proven.items() if name not in view.uses
    )
    pool = max(0, view.limit.most - view.total_outstanding - reserved_elsewhere)
    demand = {name: use.demand for name, use in view.uses.items() if name in view.members}
    targets = max_min_fair(pool, demand) if demand else {}
    in_use = {name: use.in_use for name, use in view.uses.items()}
    spendable = {name: max(0, target - in_use[name]) for name, target in targets.items()}
    free = max(0, pool - sum(in_use.values()))
    total_spendable = sum(spendable.values())
    if total_spendable > free:
        for name, each in spendable.items():
            if each:
                targets[name] = in_use[name] + each * free // total_spendable
    return {**dict.fromkeys(view.uses, 0), **targets}


def next_allocations(view: LimitView, decided: LimitAllocations) -> LimitAllocations:
    """The allocations to propose, which replace the decided ones."""
    targets = _without_small_changes(view, target_sizes(view))
    free = view.unreserved
    planned: dict[str, Allocation] = {}
    # Smallest first, so that the unreserved amount goes to the holders with the least.
    for name, current in sorted(view.proven.items(), key=lambda item: item[1].size):
        size, reserved = current
        target = targets.get(name, size)
        if target > size:
            increase = min(target - size, reserved - size + max(0, free))
            free -= max(0, size + increase - reserved)
            size += increase
            reserved = max(reserved, size)
        else:
            size = target
        if size or reserved or (name in view.members and name in decided.by_holder):
            planned[name] = current.changed(size, reserved)
    return LimitAllocations(dict(sorted(planned.items())), view.outstanding)


def _without_small_changes(view: LimitView, targets: dict[str, int]) -> dict[str, int]:
    """The targets, without small changes that no holder needs."""
    sizes = {name: view.proven[name].size for name in targets}
    small = {
        name
        for name, target in targets.items()
        if name in view.members
        and abs(target - sizes[name]) * SMALL_CHANGE_DIVISOR <= max(sizes[name], target)
    }
    # Danger: if each of many holders kept a small excess, another could be left with far too little.
    is_tight = view.unreserved < sum(
        max(0, target - sizes[name]) for name, target in targets.items() if name not in small
    )
    for name in small:
        size = sizes[name]
        is_needed = view.uses[name].demand > size if targets[name] > size else is_tight
        if not is_needed:
            targets[name] = size
    return targets
