"""Faults of several specs together: circles in which each moves the next, and room that does not exist; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from wingbarrow.decide.federation.failover_capacity import Demand, allocate, home_regions
from wingbarrow.decide.federation.faults import Fault, ValidationContext
from wingbarrow.decide.federation.spec import Failover, Federation, allowed_regions


def failover_cycles(federation: Federation) -> list[Fault]:
    """Specs that go over on refusing, each to where the next one comes from: what one moves makes the next one move."""
    ways: dict[str, list[tuple[str, int]]] = {}
    for at, spec in enumerate(federation.specs):
        if spec.ranked and spec.failover is not None and "refusing" in spec.failover.on:
            for home in home_regions(spec, federation):
                for region in [
                    each
                    for each in spec.failover_targets(home)
                    if each in allowed_regions(spec, federation)
                ][:1]:
                    ways.setdefault(home, []).append((region, at))
    out = []
    for start in sorted(ways):
        found = _way_back(start, ways)
        if found and start == min(region for region, _ in found):
            names = [federation.specs[at].name for _, at in found]
            told = " -> ".join(
                [
                    start,
                    *(f"{region} ({name})" for (region, _), name in zip(found, names, strict=True)),
                ]
            )
            last = max(at for _, at in found)
            out.append(
                Fault(
                    ("federation", last, "failover"),
                    'failover: orders in a circle, on "refusing": '
                    f"{told}: what one moves makes the next one move",
                )
            )
    return out


def _way_back(start: str, ways: Mapping[str, list[tuple[str, int]]]) -> list[tuple[str, int]]:
    """The shortest way from a region to itself, (region, spec) by step; empty where there is none."""
    came: dict[str, tuple[str, int]] = {}
    queue = [start]
    for region in queue:
        for other, at in ways.get(region, ()):
            if other not in came:
                came[other] = (region, at)
                queue.append(other)
    if start not in came:
        return []
    out: list[tuple[str, int]] = []
    region = start
    while not out or region != start:
        before, at = came[region]
        out.append((region, at))
        region = before
    return out[::-1]


def capacity_faults(federation: Federation, known: ValidationContext) -> list[Fault]:
    """What must find room when a region is lost, and finds none by what is said of rooms."""
    parts: tuple[tuple[str, Callable[[Failover], int], dict[str, int]], ...] = (
        (
            "cores",
            lambda over: over.cores,
            {region: int(cores) for region, cores, _ in known.capacities},
        ),
        ("MiB", lambda over: over.mib, {region: mib for region, _, mib in known.capacities}),
    )
    out: dict[int, Fault] = {}
    home = {spec.name: home_regions(spec, federation) for spec in federation.specs}
    can = {spec.name: frozenset(allowed_regions(spec, federation)) for spec in federation.specs}
    for unit, need, has in parts:
        free = dict(has)
        for spec in federation.specs:
            if spec.failover is not None and spec.ranked and home[spec.name][0] in free:
                free[home[spec.name][0]] -= need(spec.failover)
        parts_of = {
            spec.failover.room: {
                region: max(0, amount) * spec.failover.room // 100
                for region, amount in free.items()
            }
            for spec in federation.specs
            if spec.failover is not None
        }
        for lost in known.regions:
            loads, names = [], {}
            for at, spec in enumerate(federation.specs):
                over = spec.failover
                if over is None or not need(over) or lost not in home[spec.name]:
                    continue
                targets = [each for each in spec.failover_targets(lost) if each in can[spec.name]]
                if not free.keys() >= set(targets):
                    continue  # a region of which nothing is said may have all the room there is
                names[spec.name] = at
                part = parts_of[over.room]
                loads.append(
                    Demand(spec.name, need(over), tuple((each, part[each]) for each in targets))
                )
            dealt = allocate(
                loads, {region: max(0, amount) for region, amount in free.items() if region != lost}
            )
            for load in loads:
                found = sum(amount for (name, _), amount in dealt.items() if name == load.name)
                if found < load.amount:
                    where = ", ".join(f"{region} {most}" for region, most in load.max_by_region)
                    out.setdefault(
                        names[load.name],
                        Fault(
                            ("federation", names[load.name], "failover"),
                            f"failover: room that does not exist: without {lost!r} {load.amount} {unit} must "
                            f"find room, and {found} {unit} are there (at most {where})",
                        ),
                    )
    return list(out.values())
