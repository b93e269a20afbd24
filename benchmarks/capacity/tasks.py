"""What one placer pays for the running tasks that it holds.

One real placer with 200 hollow machines (`benchmarks.capacity.rig`), filled over HTTP by Jobs of up to 1,000 tasks that
run for an hour; the limits on open tasks are raised to let them in, the spread over racks is taken out of the class,
and the window of changes for watchers is cut to `WINDOW`, as its memory is not that of the tasks. For each size, one
after the other, in processes of their own:

1. Memory before and after the tasks were placed, and by task; processor time by placed task.
2. Idle: the tasks run, their machines tell nothing of their use, nothing arrives.
3. Some tasks end well, as many on one machine as it has, machine after machine; the processor time beyond idle, by end.
4. The decision module alone with as many tasks, in a fresh process.

Where the memory lies is told by one more run at the smallest size under `tracemalloc`, by the file that asked for it:
the attempts' table (`core/attempts`, `core/attempt_table`), the book (`core/job_store`), the module, the rest of the
core, connections (`http`, `transport`), and objects shown to clients (`kube`). Connections and the window of changes
are bounded: they are a large part at few tasks. What each further task takes is the slope of the resident memory.

What a machine's agent pays for its tasks is not measured: hollow machines are no agents.
"""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass

from benchmarks.capacity import rig as rigs
from benchmarks.capacity.jobs import Filled
from benchmarks.capacity.placer import MEMORY_PARTS, Traced
from benchmarks.capacity.processes import MeasureFailed
from benchmarks.capacity.results import Point

DEFAULT_SIZES = (1_000, 3_000, 10_000, 30_000)
WINDOW = 512
FILL_S = 300.0
END_S = 60.0
MS_PER_S, US_PER_S, BYTES_PER_MB = 1_000, 1_000_000, 1_000_000


@dataclass(frozen=True)
class Extent:
    """How large and how long the parts are."""

    machines: int = 200
    parallelism: int = 1_000
    idle_s: float = 5.0
    ended_most: int = 500


def measure(
    sizes: Sequence[int], *, settings_extra: str = "", label: str = "", extent: Extent = Extent()
) -> Iterator[Point]:
    """Measure at each number of tasks in turn; ValueError for a size below 1, MeasureFailed where it goes wrong.

    `settings_extra` is KDL that is added to the placer's settings; `label` is added to the names of the measures.
    """
    rigs.check_sizes(tuple(sizes))
    for size in sizes:
        taken = _Size(size, label, extent)
        taken.take(settings_extra)
        if size == min(sizes):
            taken.trace(settings_extra)
        yield from taken.points


class _Size:
    """One size: its points as they are taken."""

    def __init__(self, size: int, label: str, extent: Extent) -> None:
        self._size, self._extent = size, extent
        self._suffix = f" ({label})" if label else ""
        self.points: list[Point] = []

    def _add(self, measure: str, unit: str, value: float) -> None:
        self.points.append(
            Point("placer", "tasks", self._size, measure + self._suffix, unit, value)
        )

    def take(self, settings_extra: str) -> None:
        """Fill a placer, let it idle, end some of its tasks."""
        with self._running(settings_extra) as rig:
            empty_mb, before = rig.memory_mb(), rig.figures()
            self._fill(rig)
            full_mb, after = rig.memory_mb(), rig.figures()
            self._add("resident memory", "MB", full_mb)
            self._add(
                "resident memory by task", "B", (full_mb - empty_mb) * BYTES_PER_MB / self._size
            )
            self._add(
                "processor for one task placed",
                "ms",
                (after.processor_s - before.processor_s) * MS_PER_S / self._size,
            )
            self._add("processor share idle", "share", idle_share := self._idle(rig))
            self._end(rig, idle_share)
        self._module()

    def _running(
        self, settings_extra: str, traced: bool = False
    ) -> AbstractContextManager[rigs.Rig]:
        most = self._size + self._extent.parallelism
        limits = {"tasks-open": most, "tasks-per-namespace": most, "window": WINDOW}
        return rigs.running(
            self._extent.machines, "jobs", limits, settings_extra, rigs.NO_SPREAD, traced
        )

    def _fill(self, rig: rigs.Rig) -> None:
        filled = rig.owners.ask(
            f"{rig.begun.port} {self._size} {self._extent.parallelism}", Filled, FILL_S
        )
        held = rig.figures().tasks_open
        if held != filled.placed:
            raise MeasureFailed(f"the placer holds {held} of {filled.placed} tasks")

    def _idle(self, rig: rigs.Rig) -> float:
        before = rig.figures()
        time.sleep(self._extent.idle_s)
        after = rig.figures()
        return (after.processor_s - before.processor_s) / (after.at_s - before.at_s)

    def _end(self, rig: rigs.Rig, idle_share: float) -> None:
        before = rig.figures()
        ended = rig.machines_do("end", min(self._size, self._extent.ended_most))
        left = before.tasks_open - ended
        after = rig.wait(
            lambda figures: figures.tasks_open <= left,
            END_S,
            f"knows that {ended} tasks have ended",
        )
        spent_s = after.processor_s - before.processor_s - idle_share * (after.at_s - before.at_s)
        self._add("processor for one task's end", "us", max(spent_s * US_PER_S / ended, 0.001))

    def _module(self) -> None:
        cost = rigs.module_cost(self._extent.machines, self._size)
        self._add("module's memory for running tasks", "MB", cost.tasks_mb)
        self._add("module's time for one arrival", "us", cost.arrival_us)

    def trace(self, settings_extra: str) -> None:
        """Fill a placer whose allocations are traced; bytes for one task, by part."""
        with self._running(settings_extra, traced=True) as rig:
            before = rig.placer.ask("trace", Traced)
            self._fill(rig)
            after = rig.placer.ask("trace", Traced)
        for part in MEMORY_PARTS:
            grown = after.bytes_by_part.get(part, 0) - before.bytes_by_part.get(part, 0)
            self._add(f"traced memory by task: {part}", "B", grown / self._size)
