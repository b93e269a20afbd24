"""Validation of specs against each other: cyclic failovers and missing failover capacity; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from wingbarrow.decide.federation.failover_capacity import Demand, allocate, home_regions
from wingbarrow.decide.federation.faults import Fault, ValidationContext
from wingbarrow.decide.federation.spec import Failover, Federation, allowed_regions


def failover_cycles(federation: Federation) -> list[Fault]:
    """Return a fault for each cycle of specs that fail over on "refusing", each to the home region of the next one.

    In such a cycle the tasks that one spec moves overload the next region, and so trigger the next failover.
    """
    edges: dict[str, list[tuple[str, int]]] = {}
    for at, spec in enumerate(federation.specs):
        if spec.ranked and spec.failover is not None and "refusing" in spec.failover.on:
            for home in home_regions(spec, federation):
                for region in [
                    each
                    for each in spec.failover_targets(home)
                    if each in allowed_regions(spec, federation)
                ][:1]:
                    edges.setdefault(home, []).append((region, at))
    out = []
    for start in sorted(edges):
        cycle = _shortest_cycle(start, edges)
        if cycle and start == min(region for region, _ in cycle):
            names = [federation.specs[at].name for _, at in cycle]
            path = " -> ".join(
                [
                    start,
                    *(f"{region} ({name})" for (region, _), name in zip(cycle, names, strict=True)),
                ]
            )
            last = max(at for _, at in cycle)
            out.append(
                Fault(
                    ("federation", last, "failover"),
                    'failover: orders in a circle, on "refusing": '
                    f"{path}: each failover triggers the next one",
                )
            )
    return out


def _shortest_cycle(
    start: str, edges: Mapping[str, list[tuple[str, int]]]
) -> list[tuple[str, int]]:
    """Return the shortest cycle through a region (breadth-first), (region, index of the spec) by step; [] for none."""
    predecessors: dict[str, tuple[str, int]] = {}
    queue = [start]
    for region in queue:
        for other, at in edges.get(region, ()):
            if other not in predecessors:
                predecessors[other] = (region, at)
                queue.append(other)
    if start not in predecessors:
        return []
    out: list[tuple[str, int]] = []
    region = start
    while not out or region != start:
        before, at = predecessors[region]
        out.append((region, at))
        region = before
    return out[::-1]


def capacity_faults(federation: Federation, known: ValidationContext) -> list[Fault]:
    """Return a fault for each spec whose minimum capacity does not fit the other regions when its home region is lost.

    The capacity of regions is that of the `room` nodes. Cores and memory are checked apart.
    """
    resources: tuple[tuple[str, Callable[[Failover], int], dict[str, int]], ...] = (
        (
            "cores",
            lambda over: over.cores,
            {region: int(cores) for region, cores, _ in known.capacities},
        ),
        ("MiB", lambda over: over.mib, {region: mib for region, _, mib in known.capacities}),
    )
    out: dict[int, Fault] = {}
    homes = {spec.name: home_regions(spec, federation) for spec in federation.specs}
    allowed = {spec.name: frozenset(allowed_regions(spec, federation)) for spec in federation.specs}
    for unit, amount_of, capacity in resources:
        free = dict(capacity)
        for spec in federation.specs:
            if spec.failover is not None and spec.ranked and homes[spec.name][0] in free:
                free[homes[spec.name][0]] -= amount_of(spec.failover)
        usable_by_share = {
            spec.failover.room: {
                region: max(0, amount) * spec.failover.room // 100
                for region, amount in free.items()
            }
            for spec in federation.specs
            if spec.failover is not None
        }
        for lost in known.regions:
            demands, index_by_name = [], {}
            for at, spec in enumerate(federation.specs):
                over = spec.failover
                if over is None or not amount_of(over) or lost not in homes[spec.name]:
                    continue
                targets = [
                    each for each in spec.failover_targets(lost) if each in allowed[spec.name]
                ]
                if not free.keys() >= set(targets):
                    continue  # a region without a stated capacity may have enough
                index_by_name[spec.name] = at
                usable = usable_by_share[over.room]
                demands.append(
                    Demand(
                        spec.name, amount_of(over), tuple((each, usable[each]) for each in targets)
                    )
                )
            allocation = allocate(
                demands,
                {region: max(0, amount) for region, amount in free.items() if region != lost},
            )
            for demand in demands:
                found = sum(
                    amount for (name, _), amount in allocation.items() if name == demand.name
                )
                if found < demand.amount:
                    where = ", ".join(f"{region} {limit}" for region, limit in demand.max_by_region)
                    out.setdefault(
                        index_by_name[demand.name],
                        Fault(
                            ("federation", index_by_name[demand.name], "failover"),
                            f"failover: room that does not exist: without {lost!r} {demand.amount} {unit} must "
                            f"find room, and {found} {unit} are there (at most {where})",
                        ),
                    )
    return list(out.values())
