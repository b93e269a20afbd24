"""What one decision costs: the module alone, at a growing number of machines.

    python -m benchmarks.decisions [MACHINES ...] [--tasks 2000]

Tasks of a few hundred services arrive, are placed and end; each machine's entry of the list changes now and then. Time
is processor time inside `Scheduler.handle`, by kind of event; nothing is sent anywhere.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from collections import defaultdict, deque

from wingbarrow import interface as api
from wingbarrow.config import load_text
from wingbarrow.lab.cluster import settings_text
from wingbarrow.scheduler import Scheduler

S = 1_000_000


def listed(number: int, free: float = 20.0) -> api.ListedMachine:
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


def run(machines: int, tasks: int) -> dict[str, float]:
    scheduler, rng = Scheduler(load_text(settings_text(0, 1, 1, 1)).scheduler, 1), random.Random(1)
    spent: dict[str, list[float]] = defaultdict(list)
    running: deque[tuple[int, int, int]] = deque()
    now = 100 * S

    def give(event: api.Event) -> list[api.Action]:
        begun = time.perf_counter_ns()
        actions = scheduler.handle(now, event)
        spent[type(event).__name__].append((time.perf_counter_ns() - begun) / 1000)
        return actions

    give(api.MachineList(api.ListForm.FULL, tuple(listed(i) for i in range(machines))))
    placed = 0
    for request in range(1, tasks + 1):
        now += 2_000
        service = f"s{min(rng.randrange(400), rng.randrange(400))}"
        actions = give(
            api.TaskArrived(
                request,
                "web",
                service,
                f"t{request}",
                rng.choice((0.5, 1.0, 2.0)),
                1.0,
                now + 5 * S,
                10 * S,
            )
        )
        for action in actions:
            if isinstance(action, api.Bind):
                placed += 1
                give(api.TaskPlaced(request, 0, action.machine, 1000))
                running.append((request, action.machine, now))
        while running and running[0][2] < now - 2 * S:
            ended, machine, _ = running.popleft()
            give(
                api.AttemptEnded(
                    ended, 0, machine, api.Outcome.DONE, api.Reason.UNTOLD, True, 1000, None
                )
            )
        if request % 10 == 0:
            give(
                api.MachineList(
                    api.ListForm.CHANGES, (listed(rng.randrange(machines), rng.uniform(5, 24)),)
                )
            )
    del spent["MachineList"][0]
    figures: dict[str, float] = {"machines": machines, "placed": placed}
    for name, values in spent.items():
        values.sort()
        figures[f"{name}_us_median"] = round(values[len(values) // 2], 1)
        figures[f"{name}_us_mean"] = round(sum(values) / len(values), 1)
    return figures


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("machines", nargs="*", type=int, default=[50, 500, 5000])
    parser.add_argument("--tasks", type=int, default=2000)
    options = parser.parse_args()
    for machines in options.machines:
        print(json.dumps(run(machines, options.tasks)))


if __name__ == "__main__":
    main()
