"""Who is to hold how much of a limit: max-min fair shares, and the next step from what is allocated towards them.

Pure functions of what the leader knows. An allocation changes by more than one part in `STEADY_DIVISOR`, or not at
all, unless its holder is short: shares do not flap. A size goes up only by what nobody else can have in use; a size
that goes down leaves `reserved` as it is, until the holder is known to hold no more (`allocations`).
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.quotas.entries import Allocation, LimitAllocations, OutstandingAllocation
from wingbarrow.decide.quotas.escrow import max_min_fair
from wingbarrow.decide.quotas.limits import FleetLimit

STEADY_DIVISOR = 8


@dataclass(slots=True)
class HolderUse:
    """What a placer reported of one limit, and was granted in the response."""

    reported: int  # the larger of its share and what it has in use
    in_use: int
    demand: int
    granted: int = 0

    @property
    def held(self) -> int:
        """What it may use or have in use since."""
        return max(self.reported, self.granted)


@dataclass(slots=True)
class LimitView:
    """One limit as the leader sees it: allocations as far as they are proven, and reports of holders in touch."""

    limit: FleetLimit
    proven: dict[str, Allocation]
    uses: dict[str, HolderUse]
    outstanding: list[OutstandingAllocation]
    members: frozenset[str]  # who the limit is shared among

    @property
    def total_outstanding(self) -> int:
        """What former incarnations may have in use."""
        return sum(each.amount for each in self.outstanding)

    @property
    def unreserved(self) -> int:
        """What nobody can have in use; negative where a limit was lowered."""
        reserved = sum(each.reserved for each in self.proven.values())
        return self.limit.most - self.total_outstanding - reserved


def target_sizes(view: LimitView) -> dict[str, int]:
    """Fair shares, among the holders in touch, of what the others cannot have in use."""
    reserved_elsewhere = sum(
        each.reserved for name, each in view.proven.items() if name not in view.uses
    )
    pool = max(0, view.limit.most - view.total_outstanding - reserved_elsewhere)
    demand = {name: use.demand for name, use in view.uses.items() if name in view.members}
    targets = max_min_fair(pool, demand) if demand else {}
    in_use = {name: use.in_use for name, use in view.uses.items()}
    spendable = {name: max(0, target - in_use[name]) for name, target in targets.items()}
    room = max(0, pool - sum(in_use.values()))
    total_spendable = sum(spendable.values())
    if total_spendable > room:
        for name, each in spendable.items():
            if each:
                targets[name] = in_use[name] + each * room // total_spendable
    return {**dict.fromkeys(view.uses, 0), **targets}


def next_allocations(view: LimitView, decided: LimitAllocations) -> LimitAllocations:
    """The allocations to propose, in place of those that are decided."""
    targets = _steadied(view, target_sizes(view))
    room = view.unreserved
    planned: dict[str, Allocation] = {}
    # Smallest first: what is left goes to those that have least.
    for name, current in sorted(view.proven.items(), key=lambda item: item[1].size):
        size, reserved = current
        target = targets.get(name, size)
        if target > size:
            more = min(target - size, reserved - size + max(0, room))
            room -= max(0, size + more - reserved)
            size += more
            reserved = max(reserved, size)
        else:
            size = target
        if size or reserved or (name in view.members and name in decided.by_holder):
            planned[name] = current.changed(size, reserved)
    return LimitAllocations(dict(sorted(planned.items())), view.outstanding)


def _steadied(view: LimitView, targets: dict[str, int]) -> dict[str, int]:
    """The targets, without changes that are small and that nobody needs."""
    sizes = {name: view.proven[name].size for name in targets}
    small = {
        name
        for name, target in targets.items()
        if name in view.members
        and abs(target - sizes[name]) * STEADY_DIVISOR <= max(sizes[name], target)
    }
    # Danger: where each of many has a little too much, one could be left with far too little.
    is_tight = view.unreserved < sum(
        max(0, target - sizes[name]) for name, target in targets.items() if name not in small
    )
    for name in small:
        size = sizes[name]
        is_needed = view.uses[name].demand > size if targets[name] > size else is_tight
        if not is_needed:
            targets[name] = size
    return targets
