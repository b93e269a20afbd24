"""Which placers hold which machines: rendezvous hashing beside deterministic subsetting and a random aperture.

    python -m benchmarks.subsets --machines 1000 4333 13000 --placers 16 24 48 --replicas 3 4 --seeds 5

The n-th count of machines goes with the n-th count of placers. For each way: how large the placers' subsets are, how
much a placer sees of cores, zones and racks, which part of all (machine, holder) entries ends when a placer leaves or
joins and when a machine joins, and what it costs one placer to compute its subset. Times drift with the machine's load.

Deterministic subsetting is that of "Site Reliability Engineering" (2016), chapter 20, with placers as the clients,
numbered among those that live, and with its remainders dealt out instead of left over. The random aperture is as in
Finagle: each placer takes its part at random and by itself; it grows and shrinks by one order of its own.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from heapq import nsmallest
from math import ceil

from wingbarrow.decide.subsets import SubsetRules, Subsets, expected_max_subset

RACK_MACHINES, ZONES = 20, 4
CORES = (16.0, 16.0, 16.0, 32.0, 32.0, 64.0)  # of one rack's machines; the last is the rarest kind
US_IN_S = 1_000_000

Holders = list[frozenset[str]]  # by machine


@dataclass(frozen=True, slots=True)
class Fleet:
    """Machines in racks of one kind each; racks are dealt to zones and kinds at random."""

    names: tuple[str, ...]
    rack: tuple[int, ...]
    zone: tuple[int, ...]
    cores: tuple[float, ...]


def fleet_of(machines: int, rng: random.Random) -> Fleet:
    racks = ceil(machines / RACK_MACHINES)
    zone, cores = rng.choices(range(ZONES), k=racks), rng.choices(CORES, k=racks)
    rack = tuple(index // RACK_MACHINES for index in range(machines))
    stamp = rng.randrange(10**6)
    return Fleet(
        tuple(f"node-{stamp}-{index:05}" for index in range(machines)),
        rack,
        tuple(zone[each] for each in rack),
        tuple(cores[each] for each in rack),
    )


# -- the three ways: all machines' holders, and one placer's own subset


class Rendezvous:
    def __init__(self, roster: Sequence[str], replicas: int) -> None:
        self._subsets = Subsets(SubsetRules(tuple(roster), replicas))

    def holders(self, machines: Sequence[str], living: Sequence[str]) -> Holders:
        alive = frozenset(living)
        return [frozenset(self._subsets.holders(machine, alive)) for machine in machines]

    def own(self, machines: Sequence[str], living: Sequence[str], placer: str) -> list[str]:
        alive = frozenset(living)
        return [machine for machine in machines if self._subsets.holds(placer, machine, alive)]


class Deterministic:
    def __init__(self, roster: Sequence[str], replicas: int) -> None:
        self._replicas = replicas

    def holders(self, machines: Sequence[str], living: Sequence[str]) -> Holders:
        found: dict[str, set[str]] = {machine: set() for machine in machines}
        for placer in living:
            for machine in self.own(machines, living, placer):
                found[machine].add(placer)
        return [frozenset(found[machine]) for machine in machines]

    def own(self, machines: Sequence[str], living: Sequence[str], placer: str) -> list[str]:
        count = max(1, len(living) // self._replicas)
        turn, part = divmod(sorted(living).index(placer), count)
        shuffled = list(machines)
        random.Random(turn).shuffle(shuffled)
        return shuffled[part * len(shuffled) // count : (part + 1) * len(shuffled) // count]


class RandomAperture:
    def __init__(self, roster: Sequence[str], replicas: int) -> None:
        self._replicas = replicas

    def holders(self, machines: Sequence[str], living: Sequence[str]) -> Holders:
        found: dict[str, set[str]] = {machine: set() for machine in machines}
        for placer in living:
            for machine in self.own(machines, living, placer):
                found[machine].add(placer)
        return [frozenset(found[machine]) for machine in machines]

    def own(self, machines: Sequence[str], living: Sequence[str], placer: str) -> list[str]:
        rng = random.Random(placer)
        scores = [(rng.random(), machine) for machine in machines]
        size = ceil(len(machines) * min(1.0, self._replicas / len(living)))
        return [machine for _, machine in nsmallest(size, scores)]


Way = Rendezvous | Deterministic | RandomAperture
WAYS: dict[str, Callable[[Sequence[str], int], Way]] = {
    "rendezvous": Rendezvous,
    "deterministic": Deterministic,
    "random aperture": RandomAperture,
}


# -- what is measured


@dataclass(frozen=True, slots=True)
class Measured:
    """One way, one seed. Parts are of 1; `cv` is the coefficient of variation over placers."""

    way: str
    machines: int
    placers: int
    replicas: int
    seed: int
    mean: float  # machines of a placer
    least: int
    most: int
    over_bound: int  # placers above `expected_max_subset`
    size_cv: float
    cores_cv: float
    zone_off: float  # worst of all placers and zones: |part of the zone in the subset / part in the fleet - 1|
    rare_off: float  # the same for the rarest kind
    racks_seen: float  # part of the racks of which a placer has at least one machine, mean
    unheld: float  # part of the machines without a holder
    left: float  # part of the entries that end as a placer leaves, its own among them
    left_needless: float  # the same, of machines that the leaver did not hold
    joined: float  # part that ends as a placer joins
    machine_joined: float  # part of the entries of the others that end as a machine joins
    first_us: float  # one placer's subset, computed for the first time
    again_us: float  # after another placer left


def measure(way: str, machines: int, placers: int, replicas: int, seed: int) -> Measured:
    rng = random.Random(f"{machines}-{placers}-{replicas}-{seed}")
    fleet, roster = (
        fleet_of(machines, rng),
        [f"placer-{seed}-{index:03}" for index in range(placers)],
    )
    one, leaver = rng.sample(roster, 2)
    rest = [placer for placer in roster if placer != leaver]
    made = WAYS[way](roster, replicas)
    first_us, again_us = timed(made, fleet.names, roster, one), timed(made, fleet.names, rest, one)
    old, new = made.holders(fleet.names, roster), made.holders(fleet.names, rest)
    entries = sum(map(len, old))
    more = made.holders((*fleet.names, "node-joining"), roster)[:-1]
    sizes = Counter(placer for holders in old for placer in holders)
    bound = expected_max_subset(machines, placers, replicas)
    return Measured(
        way,
        machines,
        placers,
        replicas,
        seed,
        entries / placers,
        min(sizes[each] for each in roster),
        max(sizes.values()),
        sum(size > bound for size in sizes.values()),
        spread([sizes[each] for each in roster]),
        **seen(fleet, roster, old),
        unheld=sum(not holders for holders in old) / machines,
        left=ended(old, new) / entries,
        left_needless=needless(old, new, leaver) / entries,
        joined=ended(new, old) / sum(map(len, new)),
        machine_joined=ended(old, more) / entries,
        first_us=first_us,
        again_us=again_us,
    )


def timed(way: Way, machines: Sequence[str], living: Sequence[str], placer: str) -> float:
    began = time.perf_counter()
    way.own(machines, living, placer)
    return (time.perf_counter() - began) * US_IN_S


def ended(old: Holders, new: Holders) -> int:
    return sum(len(before - after) for before, after in zip(old, new, strict=True))


def needless(old: Holders, new: Holders, leaver: str) -> int:
    return sum(
        len(before - after) for before, after in zip(old, new, strict=True) if leaver not in before
    )


def spread(figures: Sequence[float]) -> float:
    return statistics.pstdev(figures) / statistics.fmean(figures)


def seen(fleet: Fleet, roster: Sequence[str], holders: Holders) -> dict[str, float]:
    """How alike the placers' subsets are to the fleet."""
    held: dict[str, list[int]] = {placer: [] for placer in roster}
    for index, placers in enumerate(holders):
        for placer in placers:
            held[placer].append(index)
    cores = [sum(fleet.cores[index] for index in mine) for mine in held.values()]
    racks = len(set(fleet.rack))
    rare = [size == max(CORES) for size in fleet.cores]
    zones = [[zone == each for zone in fleet.zone] for each in sorted(set(fleet.zone))]
    return {
        "cores_cv": spread(cores),
        "zone_off": max(off(zone, mine) for zone in zones for mine in held.values()),
        "rare_off": max(off(rare, mine) for mine in held.values()),
        "racks_seen": statistics.fmean(
            len({fleet.rack[index] for index in mine}) / racks for mine in held.values()
        ),
    }


def off(marked: Sequence[bool], mine: Sequence[int]) -> float:
    """How far the part of the marked in a subset is from their part in the fleet, as a part of the latter."""
    if not any(marked) or not mine:
        return 0.0
    return abs(sum(marked[index] for index in mine) / len(mine) / (sum(marked) / len(marked)) - 1)


# -- the table

HEAD = (
    "machines, placers, r | way | size mean | least | most (bound) | CV | cores CV | zone off | rare kind off "
    "| racks seen | no holder | leaves (needless) | joins | machine joins | first ms | again ms"
)


def row(found: Sequence[Measured]) -> str:
    """Over the seeds: extremes of sizes and of what is off, means of the rest, medians of times."""
    one = found[0]
    bound = expected_max_subset(one.machines, one.placers, one.replicas)

    def part(name: str) -> str:
        return f"{100 * statistics.fmean(getattr(each, name) for each in found):.1f}%"

    def worst(name: str) -> str:
        return f"{100 * max(getattr(each, name) for each in found):.0f}%"

    def ms(name: str) -> str:
        return f"{statistics.median(getattr(each, name) for each in found) / 1000:.1f}"

    return " | ".join(
        (
            f"{one.machines:,}, {one.placers}, {one.replicas}",
            one.way,
            f"{statistics.fmean(e.mean for e in found):.1f}",
            str(min(each.least for each in found)),
            f"{max(each.most for each in found)} ({bound})",
            part("size_cv"),
            part("cores_cv"),
            worst("zone_off"),
            worst("rare_off"),
            part("racks_seen"),
            part("unheld"),
            f"{part('left')} ({part('left_needless')})",
            part("joined"),
            part("machine_joined"),
            ms("first_us"),
            ms("again_us"),
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--machines", type=int, nargs="+", default=[1000, 4333, 13000])
    parser.add_argument("--placers", type=int, nargs="+", default=[16, 24, 48])
    parser.add_argument("--replicas", type=int, nargs="+", default=[3, 4])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--out", help="a file for all figures, one JSON object a line")
    chosen = parser.parse_args()
    if len(chosen.machines) != len(chosen.placers):
        parser.error("--machines and --placers: one count of placers for each count of machines")
    if min(chosen.placers) <= max(chosen.replicas) or min(chosen.machines) < 1 or chosen.seeds < 1:
        parser.error("more placers than replicas, and at least one machine and one seed")
    print(f"| {HEAD} |\n|{' --- |' * (HEAD.count('|') + 1)}")
    kept: list[Measured] = []
    for machines, placers in zip(chosen.machines, chosen.placers, strict=True):
        for replicas in chosen.replicas:
            for way in WAYS:
                found = [
                    measure(way, machines, placers, replicas, seed) for seed in range(chosen.seeds)
                ]
                print(f"| {row(found)} |", flush=True)
                kept += found
    if chosen.out:
        with open(chosen.out, "w") as file:
            file.writelines(json.dumps(asdict(each)) + "\n" for each in kept)


if __name__ == "__main__":
    main()
