"""What the decision module alone pays for its list and its running tasks, in a fresh process.

    python -m benchmarks.capacity.module_cost MACHINES TASKS

The settings are one JSON string of KDL on standard input. As in `benchmarks.decisions`, nothing is sent anywhere: the
list is told, TASKS tasks arrive and are placed, then entries of the list change one by one. Time is wall time inside
`Scheduler.handle`; memory is by how much the resident memory has grown.
"""

from __future__ import annotations

import gc
import os
import random
import statistics
import sys
import time

import msgspec

from benchmarks.capacity.processes import InputLines, resident_mb, say
from wingbarrow import interface as api
from wingbarrow.config import load_text
from wingbarrow.scheduler import Scheduler

S = 1_000_000
CHANGES = 40
NEW_SERVICES = 10
SERVICES = 40  # few, so that most arrivals meet one that is known
_LONG_US = 3_600 * S


class ModuleCost(msgspec.Struct, frozen=True):
    """The module's memory for the list and for the tasks, and median times of its events.

    What a changed entry makes stale may be made anew only by the next arrival: that is told beside a plain one.
    """

    list_mb: float
    tasks_mb: float
    change_us: float
    arrival_us: float
    arrival_after_change_us: float
    first_arrival_us: float  # of a service that the module has not met
    placed: int


def listed(number: int, free: float = 20.0) -> api.ListedMachine:
    """An entry of the list: two halls, racks of three, each fourth large."""
    return api.ListedMachine(
        number,
        "large" if number % 4 == 3 else "small",
        number // 3,
        f"hall-{number % 2}",
        api.Phase.RUNNING,
        0,
        free,
        2 * free,
    )


class _Run:
    """A new scheduler that is told of machines, tasks and changes."""

    def __init__(self, settings: api.Settings, machines: int) -> None:
        self._scheduler, self._random = Scheduler(settings, 1), random.Random(1)
        self._machines, self._now_us, self._requests = machines, 100 * S, 0
        self.placed = 0

    def tell_list(self) -> None:
        """The whole list."""
        entries = tuple(listed(number) for number in range(self._machines))
        self._scheduler.handle(self._now_us, api.MachineList(api.ListForm.FULL, entries))

    def change(self) -> float:
        """One changed entry; microseconds."""
        entry = listed(self._random.randrange(self._machines), self._random.uniform(5, 24))
        return self._timed(api.MachineList(api.ListForm.CHANGES, (entry,)))[0]

    def arrive(self, service: str = "") -> float:
        """One task arrives, of any service unless told, and is placed; microseconds of its arrival."""
        self._requests += 1
        request, service = self._requests, service or f"s{self._random.randrange(SERVICES)}"
        spent_us, actions = self._timed(
            api.TaskArrived(
                request, "web", service, f"t{request}", 0.1, 0.1, self._now_us + 5 * S, _LONG_US
            )
        )
        for action in actions:
            if isinstance(action, api.Bind):
                self.placed += 1
                self._scheduler.handle(
                    self._now_us, api.TaskPlaced(request, 0, action.machine, 1000)
                )
        return spent_us

    def _timed(self, event: api.Event) -> tuple[float, list[api.Action]]:
        self._now_us += 2_000
        begun = time.perf_counter_ns()
        actions = self._scheduler.handle(self._now_us, event)
        return (time.perf_counter_ns() - begun) / 1000, actions


def measured(settings: api.Settings, machines: int, tasks: int) -> ModuleCost:
    """Tell a new scheduler of so many machines and tasks, then of changes."""
    bare_mb, run = _memory_mb(), _Run(settings, machines)
    run.tell_list()
    list_mb = _memory_mb()
    for _ in range(tasks):
        run.arrive()
    tasks_mb = _memory_mb()
    first = [run.arrive(f"new-{number}") for number in range(NEW_SERVICES)]
    changes, after_changes, plain = [], [], []
    for _ in range(CHANGES):
        changes.append(run.change())
        after_changes.append(run.arrive())
        plain.append(run.arrive())
    return ModuleCost(
        max(0.0, list_mb - bare_mb),
        max(0.0, tasks_mb - list_mb),
        statistics.median(changes),
        statistics.median(plain),
        statistics.median(after_changes),
        statistics.median(first),
        run.placed,
    )


def _memory_mb() -> float:
    gc.collect()
    return resident_mb(os.getpid())


def main() -> None:
    """Measure once and say it."""
    settings = load_text(msgspec.json.decode(InputLines().first(), type=str)).scheduler
    say(measured(settings, *map(int, sys.argv[1:])))


if __name__ == "__main__":
    main()
