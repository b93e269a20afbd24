"""The running tasks to move to another region now: back to a preferred one, or out of one that is closed or rejecting.

Only tasks of safe classes, which may start twice, are moved. Each is stopped here first, and the `pace` of its spec
limits how many are being moved at once. Tasks of keyed and unsafe classes run to their end where they are. No I/O.
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
    """A task that runs in this region, given longest running first: its request, spec, cores, GiB and effect."""

    request: int
    spec: str
    cores: float
    memory: float
    effect: str
    is_forwarded: bool = False  # to this region, by a placer of another one


@dataclass(frozen=True, slots=True)
class Migration:
    """A task to move, its target region, and the cause: back, closed or refusing."""

    request: int
    region: str
    cause: str


def due_migrations(
    tasks: Iterable[MovableTask],
    federation: Federation,
    here: str,
    statuses: Mapping[str, RegionStatus],
    under_way: Mapping[str, int],
) -> list[Migration]:
    """Return the tasks to move from region `here` now; `under_way` counts by spec those being moved already.

    Capacity that one migration will use counts as used for the next ones, since the statuses are older than both.
    """
    out: list[Migration] = []
    moving = Counter(under_way)
    updated = dict(statuses)
    own = statuses.get(here)
    for task in tasks:
        spec = federation.specs_by_name.get(task.spec)
        if spec is None or task.effect != "safe" or moving[spec.name] >= spec.back.pace:
            continue
        cause = "back"
        if (
            own is not None
            and own.closed
            and failover_due(spec, "closed", spec.failover.after_us if spec.failover else 0)
        ):
            cause = "closed"  # a planned closing was announced, so the delay of the failover does not apply
        elif own is not None and failover_due(spec, "refusing", own.refusing_us):
            cause = "refusing"
        elif spec.back.when == "never":
            continue
        request = RegionRequest(
            task.cores, task.memory, task.effect, here, "back" if cause == "back" else "failover"
        )
        region = choose_region(spec, federation, request, updated, 1.0).region
        if not region or region == here:
            continue
        # Danger: each forwarding leaves a placer that must answer for the task, so a forwarded task may only return to
        # its preferred region, which ends the chain.
        if task.is_forwarded and (cause != "back" or region != spec.preference_order(here)[0]):
            continue
        out.append(Migration(task.request, region, cause))
        moving[spec.name] += 1
        target = updated[region]
        updated[region] = replace(
            target,
            free_cores=target.free_cores - task.cores,
            free_memory=target.free_memory - task.memory,
        )
    return out
