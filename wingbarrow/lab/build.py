"""The parameters of a simulated machine, and a task on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wingbarrow.config import parse_duration, parse_size
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import Timer

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Build:
    """Capacity and behaviour of a machine; times in microseconds, memory in GiB."""

    kind: str = "small"
    cores: float = 24.0
    memory: float = 48.0
    zone: str = "hall-a"
    cell: str = "rack-0"
    booking_cores: float = 1.5
    booking_memory: float = 1.0
    admit_us: int = 8_000
    queue_length: int = 24  # offers and probes that may wait for admission
    slots: int = 4  # tasks that may be starting at a time
    start_us: int = (
        60_000  # start of a task whose program is cached; others take `setup` times this
    )
    setup: float = 6.0
    cached_programs: int = 8  # programs kept cached after their last task
    cold_from: float = 0.25  # fraction of the full start rate right after a cold launch
    cold_us: int = 18 * SECOND  # until the full start rate is reached
    fall_us: int = 2 * SECOND  # window over which offers to a cold machine are counted
    fresh_offers: int = 20  # offers within the window that any cold machine survives
    fall_multiple: float = 2.0  # offers that it survives, as a multiple of its present start rate
    preempts: bool = True
    drain: str = "paced"  # none, paced, at-once
    tick_us: int = 3 * SECOND


class Pod:
    """A task on a machine, parsed from its Pod object; `use` is the (cores, memory) fraction of its requests."""

    __slots__ = (
        "answered",
        "cores",
        "ended_us",
        "epoch",
        "gone",
        "lease",
        "memory",
        "name",
        "namespace",
        "phase",
        "priority",
        "runs_us",
        "service",
        "session",
        "started_us",
        "task",
        "task_class",
        "timer",
        "uid",
        "use_cores",
        "use_memory",
        "value",
        "verdict",
    )

    def __init__(self, value: dict[str, Any], use: tuple[float, float]) -> None:
        meta, notes = value["metadata"], value["metadata"].get("annotations", {})
        self.name, self.namespace, self.value = meta["name"], meta["namespace"], value
        self.task_class = meta.get("labels", {}).get(names.CLASS, "")
        self.service = notes.get(names.SERVICE, "")
        self.task = notes.get("lab/task", notes.get(names.TASK, ""))
        requests = [each["resources"]["requests"] for each in value["spec"]["containers"]]
        self.cores = sum(parse_size(str(each["cpu"])) for each in requests)
        self.memory = sum(parse_size(str(each["memory"])) for each in requests) / 2**30
        self.priority = int(value["spec"].get("priority", 0))
        self.runs_us = parse_duration(notes.get(names.RUNS_FOR, "10s"))
        self.uid = str(notes.get(names.PREFIX + "job-uid", ""))
        self.session, self.lease = (
            str(notes.get(names.SESSION, "")),
            str(notes.get(names.LEASE_UNTIL, "")),
        )
        epoch = str(notes.get(names.EPOCH, "0"))
        self.epoch = int(epoch) if epoch.isdecimal() else 0
        self.phase = "Pending"
        self.started_us = self.ended_us = 0
        self.verdict: ApiError | None = None
        self.timer: Timer | None = None  # fires at its end
        self.gone = False  # the client that offered it has closed its connection
        self.answered = False  # its offer is answered, or its connection closed
        self.use_cores, self.use_memory = use[0] * self.cores, use[1] * self.memory
