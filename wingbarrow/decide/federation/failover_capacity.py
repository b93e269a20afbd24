"""Capacity that regions reserve for the loss of another region, and shortfalls of it; no I/O.

Losses are considered one region at a time, cores and memory apart. Each is a maximum-flow problem from specs to the
regions that they may fail over to: a spec may use at most its share of a region's free capacity, and all specs together
no more than there is. Specs are allocated by name, each to its targets in order, along augmenting paths that move
earlier allocations to other targets. So a shortfall exists under every possible allocation.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions


@dataclass(frozen=True, slots=True)
class Demand:
    """An amount of one resource that must be allocated to some regions, with a limit in each."""

    name: str
    amount: int
    max_by_region: tuple[tuple[str, int], ...]  # (region, limit), in order of preference


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Capacity that a spec lacks when a region is lost: cores, and memory in GiB."""

    spec: str
    lost_region: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Reservations:
    """The capacity that each region reserves, (cores, GiB), and what cannot be reserved anywhere."""

    reserved: dict[str, tuple[float, float]]
    shortfalls: tuple[Shortfall, ...] = ()


def allocate(demands: Sequence[Demand], free: Mapping[str, int]) -> dict[tuple[str, str], int]:
    """Allocate as much of all demands as possible (maximum flow), the first ones first.

    Returns the amount by (name of the demand, region).
    """
    taken = dict.fromkeys(free, 0)
    flow = {
        (demand.name, demand.max_by_region[0][0]): demand.amount
        for demand in demands
        if demand.amount and demand.max_by_region
    }
    for (_, region), amount in flow.items():
        taken[region] = taken.get(region, 0) + amount
    if all(
        not demand.amount or (demand.max_by_region and demand.amount <= demand.max_by_region[0][1])
        for demand in demands
    ) and all(taken[region] <= free.get(region, 0) for region in taken):
        return flow  # the usual case: each demand fits its first region
    flow, taken = {}, dict.fromkeys(free, 0)
    limits = {
        (demand.name, region): amount
        for demand in demands
        for region, amount in demand.max_by_region
        if free.get(region, 0) > 0
    }
    names_by_region: dict[str, list[str]] = {region: [] for region in free}
    regions_by_name = {
        demand.name: [
            region for region, _ in demand.max_by_region if (demand.name, region) in limits
        ]
        for demand in demands
    }
    for demand in demands:
        for region in regions_by_name[demand.name]:
            names_by_region[region].append(demand.name)
        left = demand.amount
        while left > 0:
            path = _augmenting_path(
                demand.name, regions_by_name, names_by_region, flow, limits, free, taken
            )
            if path is None:
                break
            amount = min(left, free[path[-1]] - taken[path[-1]])
            for index in range(0, len(path) - 1, 2):
                amount = min(
                    amount,
                    limits[path[index], path[index + 1]]
                    - flow.get((path[index], path[index + 1]), 0),
                )
            for index in range(1, len(path) - 1, 2):
                amount = min(amount, flow[path[index + 1], path[index]])
            for index in range(0, len(path) - 1, 2):
                flow[path[index], path[index + 1]] = (
                    flow.get((path[index], path[index + 1]), 0) + amount
                )
            for index in range(1, len(path) - 1, 2):
                flow[path[index + 1], path[index]] -= amount
            taken[path[-1]] += amount
            left -= amount
    return {pair: amount for pair, amount in flow.items() if amount}


def _augmenting_path(
    name: str,
    regions_by_name: Mapping[str, list[str]],
    names_by_region: Mapping[str, list[str]],
    flow: Mapping[tuple[str, str], int],
    limits: Mapping[tuple[str, str], int],
    free: Mapping[str, int],
    taken: Mapping[str, int],
) -> list[str] | None:
    """Return the shortest augmenting path from a demand to a region with free capacity: demand, region, demand, ...

    Each demand after the first one would move a part of its allocation from the region before it to the one after it.
    None where there is no path.
    """
    # By region the demand before it; by "\0" and the name of a demand the region before that.
    predecessors: dict[str, str] = {}
    queue, seen = deque([name]), {name}
    while queue:
        demand = queue.popleft()
        for region in regions_by_name[demand]:
            if region in predecessors or flow.get((demand, region), 0) >= limits[demand, region]:
                continue
            predecessors[region] = demand
            if taken[region] < free[region]:
                out = [region]
                while True:
                    out.append(predecessors[out[-1]])
                    if out[-1] == name:
                        return out[::-1]
                    out.append(predecessors["\0" + out[-1]])
            for other in names_by_region[region]:
                if other not in seen and flow.get((other, region), 0) > 0:
                    seen.add(other)
                    predecessors["\0" + other] = region
                    queue.append(other)
    return None


def home_regions(spec: Spec, federation: Federation) -> tuple[str, ...]:
    """Return the regions where a spec's tasks are placed initially: the preferred one, or all if they are unranked."""
    allowed = allowed_regions(spec, federation)
    return allowed if not spec.ranked else allowed[:1]


def reserve_capacity(
    federation: Federation,
    free_by_region: Mapping[str, tuple[float, float]],
    leased: Mapping[tuple[str, str], tuple[float, float]],
) -> Reservations:
    """Compute what each region reserves: the most that the loss of any other region would take there.

    free_by_region: capacity that a region's own tasks do not use, (cores, GiB).
    leased: what leased tasks use, (spec, region) -> (cores, GiB). In its home region, a spec counts with at least the
    minimum capacity of its failover.
    """
    reserved: dict[str, tuple[float, float]] = {region: (0.0, 0.0) for region in free_by_region}
    shortfalls: list[Shortfall] = []
    for lost in sorted({*free_by_region, *(region for _, region in leased)}):
        needs: list[tuple[Spec, float, float]] = []
        for spec in federation.specs:
            over = spec.failover
            if over is None or not over.on:
                continue
            cores, memory = leased.get((spec.name, lost), (0.0, 0.0))
            if spec.ranked and home_regions(spec, federation) == (lost,):
                cores, memory = max(cores, float(over.cores)), max(memory, over.mib / 1024)
            if cores > 0 or memory > 0:
                needs.append((spec, cores, memory))
        by_resource = []
        for resource in (0, 1):  # cores, memory
            free = {
                region: int(amounts[resource] * 1024)
                for region, amounts in free_by_region.items()
                if region != lost
            }
            demands = []
            for spec, cores, memory in needs:
                allowed, share = (
                    allowed_regions(spec, federation),
                    spec.failover.room if spec.failover else 0,
                )
                demands.append(
                    Demand(
                        spec.name,
                        int((cores, memory)[resource] * 1024),
                        tuple(
                            (region, free[region] * share // 100)
                            for region in spec.failover_targets(lost)
                            if region in allowed and region in free
                        ),
                    )
                )
            by_resource.append((demands, allocate(demands, free)))
        for region in reserved:
            cores, memory = (
                sum(amount for (_, target), amount in allocation.items() if target == region) / 1024
                for _, allocation in by_resource
            )
            reserved[region] = max(reserved[region][0], cores), max(reserved[region][1], memory)
        for index, (spec, _, _) in enumerate(needs):
            missing = [
                (
                    demands[index].amount
                    - sum(amount for (name, _), amount in allocation.items() if name == spec.name)
                )
                / 1024
                for demands, allocation in by_resource
            ]
            if max(missing) > 0:
                shortfalls.append(Shortfall(spec.name, lost, *missing))
    return Reservations(reserved, tuple(shortfalls))
