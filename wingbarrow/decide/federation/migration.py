"""Which runs are moved to another region now: back to one that their spec prefers, or away from one that must give way.

Only what may start twice is moved: it is stopped here first, and its spec's `pace` bounds how many are on their way at
a time. What must not start twice, and what is keyed, ends where it runs. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wingbarrow.decide.federation.region_choice import (
    RegionRequest,
    RegionStatus,
    choose_region,
    failover_due,
)
from wingbarrow.decide.federation.spec import Federation


@dataclass(frozen=True, slots=True)
class MovableTask:
    """One that stands here, longest first in a list: its number with the caller, its spec's name, what it takes."""

    request: int
    spec: str
    cores: float
    memory: float
    effect: str
    is_forwarded: bool = False  # it was handed over to here


@dataclass(frozen=True, slots=True)
class Migration:
    """One that is to go, where to, and why: back, closed, refusing."""

    request: int
    region: str
    cause: str


def due_migrations(
    runs: Iterable[MovableTask],
    federation: Federation,
    here: str,
    news: Mapping[str, RegionStatus],
    under_way: Mapping[str, int],
) -> list[Migration]:
    """What goes now; `under_way` counts by spec those that were told to go and do not stand elsewhere yet.

    Room that a move will take counts as taken for the next one: news is older than that.
    """
    out: list[Migration] = []
    on_way = Counter(under_way)
    left = dict(news)
    own = news.get(here)
    for run in runs:
        spec = federation.specs_by_name.get(run.spec)
        if spec is None or run.effect != "safe" or on_way[spec.name] >= spec.back.pace:
            continue
        why = "back"
        if (
            own is not None
            and own.closed
            and failover_due(spec, "closed", spec.failover.after_us if spec.failover else 0)
        ):
            why = "closed"  # closing is planned: it has been told, and waits for nothing
        elif own is not None and failover_due(spec, "refusing", own.refusing_us):
            why = "refusing"
        elif spec.back.when == "never":
            continue
        wanted = RegionRequest(
            run.cores, run.memory, run.effect, here, "back" if why == "back" else "failover"
        )
        region = choose_region(spec, federation, wanted, left, 1.0).region
        if not region or region == here:
            continue
        if run.is_forwarded and (why != "back" or region != spec.preference_order(here)[0]):
            continue  # Danger: each hand-over leaves one that answers for it; only a way home ends that chain
        out.append(Migration(run.request, region, why))
        on_way[spec.name] += 1
        there = left[region]
        left[region] = replace(
            there,
            free_cores=there.free_cores - run.cores,
            free_memory=there.free_memory - run.memory,
        )
    return out
