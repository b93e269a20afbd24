"""Three ways of choosing a region, played on the same arrivals: near its data, refused, waited, elsewhere.

    python -m benchmarks.federation_choice --seeds 10

This one (`decide.federation.region_choice`), a fixed order (the nearest region that has room by the news), and least
load (of all that are allowed). Simulated regions of 1,000 cores; news is as old as it is between placers (up to 1.4 s);
work that finds no room where it was sent waits for its patience there, and is refused. No way has a budget of
hand-overs.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

from wingbarrow.decide.federation.encoding import normalized
from wingbarrow.decide.federation.region_choice import RegionRequest, RegionStatus, choose_region
from wingbarrow.decide.federation.spec import DataSet, Federation, Need, Spec, allowed_regions

REGIONS = ("north", "south", "east")
CORES, LIFE_S, PATIENCE_S, AGAIN_S, NEWS_S, LAG_S = 1000.0, 20.0, 1.0, 0.25, 0.7, 0.7
BURST_EACH_S, BURST_S, BURST = (
    30.0,
    4.0,
    8.0,
)  # in the play of that name, one region after the other
LASTS_S, WARM_S = 300.0, 60.0
# Demand in each region, of its cores, before and after the middle of the play; "lost": one region is gone from then on.
PLAYS: dict[str, tuple[tuple[float, float, float], tuple[float, float, float]]] = {
    "calm": ((0.55, 0.55, 0.55), (0.55, 0.55, 0.55)),
    "one hot": ((0.5, 0.5, 0.5), (1.3, 0.5, 0.5)),
    "turning": ((1.1, 0.6, 0.3), (0.3, 0.6, 1.1)),
    "all hot": ((0.95, 0.95, 0.95), (0.95, 0.95, 0.95)),
    "bursts": ((0.55, 0.55, 0.55), (0.55, 0.55, 0.55)),
    "one lost": ((0.55, 0.55, 0.55), (0.55, 0.55, 0.55)),
}


def specs() -> Federation:
    """For each region as home: one that may go anywhere, one in two regions, one whose data two regions have."""
    out, sets = [], []
    for at, home in enumerate(REGIONS):
        second, third = REGIONS[(at + 1) % 3], REGIONS[(at + 2) % 3]
        sets += [
            DataSet(f"{home}-one", ((home, 0),)),
            DataSet(f"{home}-two", ((home, 0), (second, 60_000_000))),
        ]
        need = Need(f"{home}-one", mib=4096)
        out += [
            Spec(f"{home}-any", (home, second, third), data=(need,)),
            Spec(f"{home}-two", (home, third), data=(need,)),
            Spec(
                f"{home}-near",
                (home, third, second),
                data=(Need(f"{home}-two", "wanted", 4096, 120_000_000),),
            ),
        ]
    return normalized(Federation(tuple(out), tuple(sets)))


News = dict[str, RegionStatus]
Way = Callable[[Spec, Federation, RegionRequest, News, random.Random], str]


def ours(
    spec: Spec, federation: Federation, wanted: RegionRequest, news: News, rng: random.Random
) -> str:
    """The module's."""
    return choose_region(spec, federation, wanted, news, rng.random()).region


def in_order(
    spec: Spec, federation: Federation, wanted: RegionRequest, news: News, rng: random.Random
) -> str:
    """The first that has room, by its data and then by preference; the first of all where none has."""
    near = [region for region in allowed_regions(spec, federation) if not news[region].lost]
    near.sort(
        key=lambda region: (
            not _near(spec, federation, region),
            spec.preference_order(wanted.origin).index(region),
        )
    )
    return next(
        (region for region in near if news[region].free_cores >= wanted.cores),
        near[0] if near else "",
    )


def least(
    spec: Spec, federation: Federation, wanted: RegionRequest, news: News, rng: random.Random
) -> str:
    """The least loaded."""
    able = [region for region in allowed_regions(spec, federation) if not news[region].lost]
    return min(able, key=lambda region: news[region].load, default="")


WAYS: dict[str, Way] = {"this": ours, "fixed order": in_order, "least load": least}


def _near(spec: Spec, federation: Federation, region: str) -> bool:
    return all(
        dict(federation.datasets_by_name[each.dataset].copies).get(region, each.behind_us + 1)
        <= each.behind_us
        for each in spec.data
    )


@dataclass
class Counts:
    came: int = 0
    placed: int = 0
    near: int = 0
    refused: int = 0
    elsewhere: int = 0
    waited: int = 0


@dataclass
class Play:
    """One way over one play and seed."""

    way: Way
    name: str
    seed: int
    counts: Counts = field(default_factory=Counts)

    def run(self) -> Counts:
        federation, counts = specs(), self.counts
        arrivals, chances = (
            random.Random(f"{self.seed} {self.name}"),
            random.Random(f"{self.seed} chances"),
        )
        free = dict.fromkeys(REGIONS, CORES)
        asked = dict.fromkeys(REGIONS, 0.0)  # by those that wait
        lost: set[str] = set()
        told: list[tuple[float, News]] = []
        events: list[tuple[float, int, str, tuple[object, ...]]] = []
        number = 0

        def push(at_s: float, kind: str, *what: object) -> None:
            nonlocal number
            number += 1
            heapq.heappush(events, (at_s, number, kind, what))

        push(0.0, "news")
        for region in REGIONS:
            push(0.0, "next", region)
        if self.name == "one lost":
            push(LASTS_S / 2, "lost", REGIONS[0])
        while events:
            now_s, _, kind, what = heapq.heappop(events)
            if now_s > LASTS_S:
                break
            if kind == "news":
                told = [
                    *told[-3:],
                    (
                        now_s,
                        {
                            region: RegionStatus(
                                region,
                                0,
                                (CORES - free[region] + asked[region]) / CORES,
                                free[region] - asked[region],
                                1e9,
                                region in lost,
                                stable_us=1 << 40,
                            )
                            for region in REGIONS
                        },
                    ),
                ]
                push(now_s + NEWS_S, "news")
            elif kind == "lost":
                region = str(what[0])
                lost.add(region)
                free[region] = 0.0
            elif kind == "next":
                region = str(what[0])
                demand = PLAYS[self.name][now_s >= LASTS_S / 2][REGIONS.index(region)]
                if (
                    self.name == "bursts"
                    and now_s % BURST_EACH_S < BURST_S
                    and REGIONS[int(now_s / BURST_EACH_S) % 3] == region
                ):
                    demand *= BURST
                push(now_s + arrivals.expovariate(demand * CORES / (4.5 * LIFE_S)), "next", region)
                cores, life = float(arrivals.randint(1, 8)), arrivals.expovariate(1 / LIFE_S)
                spec = federation.specs[arrivals.randrange(len(federation.specs))]
                while not spec.name.startswith(region):
                    spec = federation.specs[arrivals.randrange(len(federation.specs))]
                here = region
                if region in lost:  # its users ask in another region
                    here = arrivals.choice([each for each in REGIONS if each not in lost])
                news = next(
                    (each for at, each in reversed(told) if at <= now_s - LAG_S), told[0][1]
                )
                where = self.way(
                    spec, federation, RegionRequest(cores, 1.0, "safe", here), news, chances
                )
                late = now_s >= WARM_S
                counts.came += late
                if not where:
                    counts.refused += late
                    continue
                asked[where] += cores
                push(now_s, "try", spec, cores, life, where, here, now_s, late)
            elif kind == "try":
                spec_, cores_, life_, where_, here_, came_s, late_ = what
                assert (
                    isinstance(spec_, Spec)
                    and isinstance(cores_, float)
                    and isinstance(life_, float)
                )
                assert isinstance(came_s, float) and isinstance(late_, bool)
                region = str(where_)
                if region not in lost and free[region] >= cores_:
                    asked[region] -= cores_
                    free[region] -= cores_
                    push(now_s + life_, "end", region, cores_)
                    counts.placed += late_
                    counts.near += late_ and _near(spec_, federation, region)
                    counts.elsewhere += late_ and region != here_
                    counts.waited += late_ and now_s > came_s
                elif now_s + AGAIN_S > came_s + PATIENCE_S:
                    asked[region] -= cores_
                    counts.refused += late_
                else:
                    push(now_s + AGAIN_S, "try", *what)
            else:
                region, done = str(what[0]), what[1]
                assert isinstance(done, float)
                if region not in lost:
                    free[region] += done
        return counts


def main() -> None:
    """A table on stdout, the figures as JSON in its last line."""
    asked = argparse.ArgumentParser()
    asked.add_argument("--seeds", type=int, default=10)
    seeds = asked.parse_args().seeds
    out = []
    for name in PLAYS:
        for way, choice in WAYS.items():
            found = [Play(choice, name, seed).run() for seed in range(1, seeds + 1)]
            figures = {"play": name, "way": way, "came": sum(each.came for each in found)}
            for what, share in (
                ("near", [each.near / max(1, each.placed) for each in found]),
                ("refused", [each.refused / max(1, each.came) for each in found]),
                ("waited", [each.waited / max(1, each.placed) for each in found]),
                ("elsewhere", [each.elsewhere / max(1, each.placed) for each in found]),
            ):
                figures[what] = [
                    round(figure, 4)
                    for figure in (statistics.median(share), min(share), max(share))
                ]
            out.append(figures)
            print(
                f"{name:9} {way:12} "
                + "  ".join(
                    f"{what} {figures[what][0]:.3f} ({figures[what][1]:.3f} to {figures[what][2]:.3f})"  # type: ignore[index]
                    for what in ("near", "refused", "waited", "elsewhere")
                ),
                flush=True,
            )
    print(json.dumps({"kind": "federation-choice", "seeds": seeds, "figures": out}))


if __name__ == "__main__":
    main()
