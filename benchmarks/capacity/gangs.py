"""What grows with the size of a gang: a Job of so many tasks side by side (`spec.parallelism`), given to one placer.

Placer, machines and list source are the real ones of the laboratory (`wingbarrow.lab.cluster`) on the hub's virtual
clock, in this process; a task takes 1 core and 1 GiB, and a cold program some 300 ms to start. Processor time is told
apart by the hub's tasks: "processor: placer" is that of the placer's own tasks, without its timers, which run in the
hub's loop and are in "processor: all" with the machines.

No gang is started as a whole: each task is placed by itself. Measures with "room for one less" show what that means:
the machines have room for all but one task. Those with "two at once" give two gangs of that size to machines with room
for two tasks less than both want.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import greenlet

from benchmarks.capacity.gather import Figure, repeated
from benchmarks.capacity.results import Point
from wingbarrow.core.job_store import RUNNING, JobRecord, State, TaskRecord
from wingbarrow.core.logs import silent
from wingbarrow.http.client import Pool
from wingbarrow.http.watching import call
from wingbarrow.kube import names
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import Cluster
from wingbarrow.lab.limits import raise_descriptors
from wingbarrow.lab.workload import TaskSpec, job_value
from wingbarrow.transport import Hub, VirtualClock

DEFAULT_SIZES = (1, 8, 64, 512)
SECOND = 1_000_000
JOBS = "/apis/batch/v1/namespaces/default/jobs"
CLASS = "gang"
CLASS_TEXT = f'class "{CLASS}" effect="safe" patience="20s" worth=1.0 priority=0 {{\n    served calm=0.8 fade=0.2\n}}\n'
MACHINES = 24  # where all fit
MACHINE = Build(kind="large", cores=48.0, memory=96.0, slots=6, queue_length=64)
MACHINE_MIB = 96 * 1024
SHARE_MOST = 8  # tasks that fill a machine, where not all fit
PATIENCE_US, RUNS_US = 20 * SECOND, 120 * SECOND
WARM_UP_US, ANSWER_MOST_US, AFTER_US = 3 * SECOND, 40 * SECOND, 5 * SECOND
TWO_MOST = 64  # the largest gang of which two are tried at once


class Times:
    """Processor time by domain of the hub's tasks, taken at each switch of greenlets."""

    def __init__(self, hub: Hub) -> None:
        self._hub, self._now, self._since = hub, "", time.process_time_ns()
        self.used_ns: Counter[str] = Counter()

    def _switched(self, event: str, between: Any) -> None:
        now = time.process_time_ns()
        self.used_ns[self._now] += now - self._since
        try:
            domain = self._hub.current().domain
        except KeyError:  # the hub's own loop
            domain = None
        self._now, self._since = domain.name if domain is not None else "", now

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Count within the block, begun by a task of no domain."""
        self._since, before = time.process_time_ns(), greenlet.settrace(self._switched)
        try:
            yield
        finally:
            greenlet.settrace(before)
            self.used_ns[self._now] += time.process_time_ns() - self._since


class Play:
    """Some machines, one placer, and Jobs that are given to it."""

    def __init__(self, machines: int, seed: int) -> None:
        raise_descriptors(machines, 1)
        self.hub = Hub(VirtualClock())
        self.cluster = Cluster(self.hub, machines, 1, seed, silent, lambda _: MACHINE)
        self.cluster.source.lag_us = 0
        self.slot = self.cluster.placers[0]
        self.slot.extra = CLASS_TEXT
        self.placed_us: list[int] = []
        self.times = Times(self.hub)

    def run(self, script: Callable[[], None]) -> None:
        """The script as the main task, once the placer has its list."""

        def main() -> None:
            self.cluster.start()
            self.hub.sleep(WARM_UP_US)
            self.book.state_listeners.append(self._step)
            try:
                script()
            finally:
                for domain in (
                    self.slot.domain,
                    *(machine.domain for machine in self.cluster.machines),
                    self.cluster.source.domain,
                ):
                    domain.kill()

        try:
            self.hub.run(main)
        finally:
            self.cluster.close()

    @property
    def book(self) -> Any:
        """The placer's."""
        assert self.slot.service is not None
        return self.slot.service.placer.job_store

    def _step(self, task: TaskRecord, before: State) -> None:
        if task.state is State.PLACED:
            self.placed_us.append(self.hub.now_us())

    def submit(self, name: str, tasks: int, memory_mib: int = 1024) -> JobRecord:
        """A gang, through the placer's front."""
        want = TaskSpec(0, name, CLASS, name, 1.0, memory_mib / 1024, RUNS_US)
        value = job_value(want, name, PATIENCE_US)
        value["spec"]["parallelism"] = tasks
        uid = call(Pool(self.hub, "127.0.0.1", self.slot.port), "POST", JOBS, names.encode(value))[
            "metadata"
        ]["uid"]
        found: JobRecord = next(each for each in self.book.jobs.values() if each.uid == uid)
        return found

    def answered(self, *jobs: JobRecord) -> None:
        """Wait until each of their tasks has its answer, or for as long as that may take."""
        until = self.hub.now_us() + ANSWER_MOST_US
        while any(job.unanswered for job in jobs) and self.hub.now_us() < until:
            self.hub.sleep(10_000)


def running(job: JobRecord) -> int:
    """How many of its tasks run."""
    return sum(job.counts[state] for state in RUNNING)


def whole(tasks: int, seed: int) -> Iterator[Figure]:
    """All fit."""
    play, out = Play(MACHINES, seed), list[Figure]()

    def script() -> None:
        begun = play.hub.now_us()
        with play.times.taken():
            job = play.submit("all", tasks)
            play.answered(job)
        took = [(at - begun) / 1000 for at in play.placed_us]
        out.append(Figure("placer", "tasks placed", "tasks", running(job)))
        if took:
            out.append(Figure("placer", "time to place p50", "ms", statistics.median(took)))
            out.append(Figure("placer", "time until all are placed", "ms", max(took)))

    play.run(script)
    yield from out
    used = play.times.used_ns
    yield Figure(
        "placer", "processor: placer, each task", "us", used[play.slot.name] / 1000 / tasks
    )
    yield Figure("placer", "processor: all, each task", "us", sum(used.values()) / 1000 / tasks)


@dataclass(frozen=True, slots=True)
class Room:
    """Machines that so many tasks of a size fill exactly."""

    machines: int
    memory_mib: int


def room_for(tasks: int) -> Room:
    """By memory: as many on each machine as divide the number, up to `SHARE_MOST`."""
    share = max(each for each in range(1, SHARE_MOST + 1) if tasks % each == 0)
    return Room(tasks // share, MACHINE_MIB // share)


def short(tasks: int, seed: int) -> Iterator[Figure]:
    """There is room for all but one."""
    room, out = room_for(tasks - 1), list[Figure]()
    play = Play(room.machines, seed)

    def script() -> None:
        begun = play.hub.now_us()
        job = play.submit("short", tasks, room.memory_mib)
        play.answered(job)
        answered_s = (play.hub.now_us() - begun) / SECOND
        play.hub.sleep(AFTER_US)
        out.extend(
            (
                Figure("placer", "tasks running, room for one less", "tasks", running(job)),
                Figure(
                    "placer", "tasks refused, room for one less", "tasks", job.counts[State.REFUSED]
                ),
                Figure(
                    "placer", "tasks failed, room for one less", "tasks", job.counts[State.FAILED]
                ),
                Figure("placer", "time until answered, room for one less", "s", answered_s),
            )
        )

    play.run(script)
    yield from out


def two(tasks: int, seed: int) -> Iterator[Figure]:
    """Two gangs at once, and room for two tasks less than both want."""
    room, out = room_for(tasks - 1), list[Figure]()
    play = Play(2 * room.machines, seed)

    def script() -> None:
        jobs = [play.submit(name, tasks, room.memory_mib) for name in ("first", "second")]
        play.answered(*jobs)
        play.hub.sleep(AFTER_US)
        out.append(
            Figure(
                "placer",
                "gangs whole, two at once",
                "gangs",
                sum(running(job) == tasks for job in jobs),
            )
        )
        out.append(
            Figure(
                "placer",
                "tasks running of the other gang, two at once",
                "tasks",
                min(map(running, jobs)),
            )
        )

    play.run(script)
    yield from out


def measure(sizes: Sequence[int]) -> Iterator[Point]:
    """Points of each size."""
    for size in sizes:
        yield from repeated("gang", size, lambda seed, size=size: whole(size, seed))  # type: ignore[misc]
        if size > 1:
            yield from repeated("gang", size, lambda seed, size=size: short(size, seed))  # type: ignore[misc]
        if 1 < size <= TWO_MOST:
            yield from repeated("gang", size, lambda seed, size=size: two(size, seed))  # type: ignore[misc]
