"""Owners that fill a placer: Jobs of many tasks that run for an hour, one Job after the other.

    python -m benchmarks.capacity.jobs

Each line of standard input, `PORT TASKS PARALLELISM`, is answered with `Filled` once all of them are placed.
"""

from __future__ import annotations

import time
from functools import partial
from typing import Any

import msgspec

from benchmarks.capacity.processes import InputLines, MeasureFailed, say
from wingbarrow.http.client import Pool
from wingbarrow.http.watching import call
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.workload import TaskSpec, job_value
from wingbarrow.transport import Hub

SECOND = 1_000_000
PATIENCE_US = 600 * SECOND
RUNS_US = 3_600 * SECOND
LOOK_US = 50_000
TOO_MANY = 429
SERVICES = 40
_JOBS = "/apis/batch/v1/namespaces/default/jobs"


class Filled(msgspec.Struct, frozen=True):
    """What became of the tasks, and how long it took."""

    placed: int
    seconds: float


def fill(hub: Hub, port: int, tasks: int, parallelism: int) -> Filled:
    """Submit Jobs until so many tasks are placed; MeasureFailed where one of them is not."""
    pool, begun_s = Pool(hub, "127.0.0.1", port), time.monotonic()
    placed = number = 0
    while placed < tasks:
        count = min(parallelism, tasks - placed)
        name = f"fill-{number}"
        want = TaskSpec(0, name, "web", f"s{number % SERVICES}", 0.1, 0.1, RUNS_US)
        value = job_value(want, name, PATIENCE_US)
        value["spec"]["parallelism"] = count
        _submit(hub, pool, value)
        _wait_placed(hub, pool, name, count)
        placed, number = placed + count, number + 1
    return Filled(placed, time.monotonic() - begun_s)


def _submit(hub: Hub, pool: Pool, value: dict[str, Any]) -> None:
    """Submit a Job, again a second later where it is turned away."""
    while True:
        try:
            call(pool, "POST", _JOBS, names.encode(value))
            return
        except ApiError as error:
            if error.code != TOO_MANY:
                raise
            hub.sleep(SECOND)


def _wait_placed(hub: Hub, pool: Pool, name: str, count: int) -> None:
    """Wait for a Job's final answer, which comes within its patience."""
    while not (conditions := call(pool, "GET", f"{_JOBS}/{name}")["status"].get("conditions")):
        hub.sleep(LOOK_US)
    if conditions[0]["type"] != "Placed":
        raise MeasureFailed(f"Job {name} of {count} tasks: {conditions[0]['message']}")


def main() -> None:
    """Fill placers as told."""
    hub, lines = Hub(), InputLines()
    while (asked := lines.read()) is not None:
        for line in asked:
            port, tasks, parallelism = map(int, line.split())
            say(hub.run(partial(fill, hub, port, tasks, parallelism)))


if __name__ == "__main__":
    main()
