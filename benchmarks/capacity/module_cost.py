"""What the decision module alone pays for its list and its running tasks, in a fresh process.

    python -m benchmarks.capacity.module_cost MACHINES TASKS

As `benchmarks.decisions` does, nothing is sent anywhere: the list is told, TASKS tasks arrive and are placed, then
entries of the list change one by one. Time is wall time inside `Scheduler.handle`; memory is resident memory.
"""

from __future__ import annotations

import gc
import os
import random
import statistics
import sys
import time

import msgspec

from benchmarks.capacity.processes import resident_mb, say
from benchmarks.decisions import listed
from wingbarrow import interface as api
from wingbarrow.config import load_text
from wingbarrow.lab.cluster import settings_text
from wingbarrow.logic import Scheduler

S = 1_000_000
CHANGES = 40
_LONG_US = 3_600 * S


class ModuleCost(msgspec.Struct, frozen=True):
    """The module's memory for the list and for the tasks, and the median time for one changed entry."""

    list_mb: float
    tasks_mb: float
    change_us: float
    placed: int


def measured(machines: int, tasks: int) -> ModuleCost:
    """Tell a new scheduler of so many machines and tasks."""
    text = settings_text(0, 1, 1, 1).replace('spread by="cell" most=3', 'spread by="none" most=1')
    settings = load_text(text).scheduler
    entries = [listed(number) for number in range(machines)]
    bare_mb, now, rng = _memory_mb(), 100 * S, random.Random(1)
    scheduler = Scheduler(settings, 1)
    scheduler.handle(now, api.MachineList(api.ListForm.FULL, tuple(entries)))
    list_mb = _memory_mb()
    placed = 0
    for request in range(1, tasks + 1):
        now += 2_000
        arrival = api.TaskArrived(request, "web", f"s{rng.randrange(400)}", f"t{request}", 0.1, 0.1, now + 5 * S,
                                  _LONG_US)
        for action in scheduler.handle(now, arrival):
            if isinstance(action, api.Bind):
                placed += 1
                scheduler.handle(now, api.TaskPlaced(request, 0, action.machine, 1000))
    tasks_mb = _memory_mb()
    spent = []
    for _ in range(CHANGES):
        now += 20_000
        change = api.MachineList(api.ListForm.CHANGES, (listed(rng.randrange(machines), rng.uniform(5, 24)),))
        begun = time.perf_counter_ns()
        scheduler.handle(now, change)
        spent.append((time.perf_counter_ns() - begun) / 1000)
    return ModuleCost(list_mb - bare_mb, tasks_mb - list_mb, statistics.median(spent), placed)


def _memory_mb() -> float:
    gc.collect()
    return resident_mb(os.getpid())


def main() -> None:
    """Measure once and say it."""
    say(measured(*map(int, sys.argv[1:])))


if __name__ == "__main__":
    main()
