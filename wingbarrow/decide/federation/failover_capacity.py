"""Room that regions hold back for each other's loss: who would go where, and what finds none; no I/O.

One region's loss at a time. Cores and memory are reckoned apart, each as a flow from specs to the regions that they may
go to: a spec takes of a region's free room at most its own share, all together no more than there is. Specs come in the
order of their names, each to its targets in order, and those before give way where they have another place: what is
called short is short however it is dealt out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions


@dataclass(frozen=True, slots=True)
class Demand:
    """What must find room: so much, in any of some places, each with the most that it may take there."""

    name: str
    amount: int
    max_by_region: tuple[tuple[str, int], ...]  # by place, in order


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Room that cannot be had: of a spec, when a region is lost. Cores, and memory in GiB."""

    spec: str
    lost_region: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Reservations:
    """What each region holds back, in cores and GiB, and what finds no room anywhere."""

    reserved: dict[str, tuple[float, float]]
    shortfalls: tuple[Shortfall, ...] = ()


def allocate(loads: Sequence[Demand], free: Mapping[str, int]) -> dict[tuple[str, str], int]:
    """How much of each load goes where, (load, place) -> amount; as much as can be had of all, the first ones first."""
    taken = dict.fromkeys(free, 0)
    flow = {
        (load.name, load.max_by_region[0][0]): load.amount
        for load in loads
        if load.amount and load.max_by_region
    }
    for (_, place), amount in flow.items():
        taken[place] = taken.get(place, 0) + amount
    if all(
        not load.amount or (load.max_by_region and load.amount <= load.max_by_region[0][1])
        for load in loads
    ) and all(taken[place] <= free.get(place, 0) for place in taken):
        return flow  # each in its first place, as mostly
    flow, taken = {}, dict.fromkeys(free, 0)
    most = {
        (load.name, place): amount
        for load in loads
        for place, amount in load.max_by_region
        if free.get(place, 0) > 0
    }
    at: dict[str, list[str]] = {place: [] for place in free}  # loads that may be there
    places = {
        load.name: [place for place, _ in load.max_by_region if (load.name, place) in most]
        for load in loads
    }
    for load in loads:
        for place in places[load.name]:
            at[place].append(load.name)
        left = load.amount
        while left > 0:
            path = _path(load.name, places, at, flow, most, free, taken)
            if path is None:
                break
            amount = min(left, free[path[-1]] - taken[path[-1]])
            for index in range(0, len(path) - 1, 2):
                amount = min(
                    amount,
                    most[path[index], path[index + 1]]
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


def _path(
    name: str,
    places: Mapping[str, list[str]],
    at: Mapping[str, list[str]],
    flow: Mapping[tuple[str, str], int],
    most: Mapping[tuple[str, str], int],
    free: Mapping[str, int],
    taken: Mapping[str, int],
) -> list[str] | None:
    """The shortest way from a load to a place with room, by way of loads that would move: load, place, load, ..."""
    came: dict[str, str] = {}  # by place, the load before it; by load, the place before it
    queue, seen = deque([name]), {name}
    while queue:
        load = queue.popleft()
        for place in places[load]:
            if place in came or flow.get((load, place), 0) >= most[load, place]:
                continue
            came[place] = load
            if taken[place] < free[place]:
                out = [place]
                while True:
                    out.append(came[out[-1]])
                    if out[-1] == name:
                        return out[::-1]
                    out.append(came["\0" + out[-1]])
            for other in at[place]:
                if other not in seen and flow.get((other, place), 0) > 0:
                    seen.add(other)
                    came["\0" + other] = place
                    queue.append(other)
    return None


def home_regions(spec: Spec, federation: Federation) -> tuple[str, ...]:
    """Where its work may be asked for to begin with: the region that it prefers, or any."""
    can = allowed_regions(spec, federation)
    return can if not spec.ranked else can[:1]


def reserve_capacity(
    federation: Federation,
    rooms: Mapping[str, tuple[float, float]],
    leased: Mapping[tuple[str, str], tuple[float, float]],
) -> Reservations:
    """What each region holds back for the others' loss.

    `rooms`: what each region has that its own work does not take, cores and GiB; `leased`: what of each spec stands in
    each region, (spec, region) -> the same. A spec that says how much must find room counts as no less at home.
    """
    held: dict[str, tuple[float, float]] = {region: (0.0, 0.0) for region in rooms}
    short: list[Shortfall] = []
    for lost in sorted({*rooms, *(region for _, region in leased)}):
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
        parts = []
        for kind in (0, 1):
            free = {
                region: int(room[kind] * 1024) for region, room in rooms.items() if region != lost
            }
            loads = []
            for spec, cores, memory in needs:
                can, room = (
                    allowed_regions(spec, federation),
                    spec.failover.room if spec.failover else 0,
                )
                loads.append(
                    Demand(
                        spec.name,
                        int((cores, memory)[kind] * 1024),
                        tuple(
                            (region, free[region] * room // 100)
                            for region in spec.failover_targets(lost)
                            if region in can and region in free
                        ),
                    )
                )
            parts.append((loads, allocate(loads, free)))
        for region in held:
            cores, memory = (
                sum(amount for (_, place), amount in dealt.items() if place == region) / 1024
                for _, dealt in parts
            )
            held[region] = max(held[region][0], cores), max(held[region][1], memory)
        for index, (spec, _, _) in enumerate(needs):
            left = [
                (
                    loads[index].amount
                    - sum(amount for (name, _), amount in dealt.items() if name == spec.name)
                )
                / 1024
                for loads, dealt in parts
            ]
            if max(left) > 0:
                short.append(Shortfall(spec.name, lost, *left))
    return Reservations(held, tuple(short))
