"""Events that the scheduler handles, and its knowledge of machines; part of interface.py.

Times are microseconds on the caller's clock. A figure that is not known is None.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from wingbarrow.interface_settings import Settings


class Phase(Enum):
    """The phase of a machine in the list."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    """The form of a list: changes only, complete, the saved copy read at the start, or a failed request."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    DONE = "done"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Reason(Enum):
    """Why a machine refused or gave up a task."""

    UNTOLD = "untold"
    NO_CORES = "no cores"
    NO_MEMORY = "no memory"
    OFFERS_WAIT = "offers wait"
    NOT_HERE = "not here"
    EVICTED = "evicted"
    PUSHED_OUT = "pushed out"
    SENT_AWAY = "sent away"


class NoteKind(Enum):
    """What a note on a task reports."""

    RUNS = "runs"
    CORES_USED = "cores used"
    MEMORY_USED = "memory used"
    SERVED = "served"
    MACHINE_MEMORY = "machine memory"
    ARRIVED = "arrived"


@dataclass(frozen=True, slots=True)
class Report:
    """A machine's load report: free cores and memory, unallocated or unused (`Settings.reports_use`)."""

    free_cores: float | None
    free_memory: float | None


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """An entry of the list of machines."""

    machine: int
    kind: str
    cell: int
    zone: str
    phase: Phase
    launched_us: int
    free_cores: float
    free_memory: float


@dataclass(frozen=True, slots=True)
class MachineList:
    """A list of machines from discovery."""

    form: ListForm
    machines: tuple[ListedMachine, ...]


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task to place; exactly one final answer is due by the deadline."""

    request: int
    task_class: str
    service: str
    task: str
    cores: float
    memory: float
    deadline_us: int
    remaining_us: int | None


@dataclass(frozen=True, slots=True)
class TaskFound:
    """A task that already runs on a machine and is now this scheduler's responsibility."""

    arrival: TaskArrived
    machine: int


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """The request has ended; no answer is due any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """The machine has started the task; its end is reported by AttemptEnded."""

    request: int
    attempt: int
    machine: int
    waited_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `closed` means that the request ended with it or earlier."""

    request: int
    attempt: int
    machine: int
    outcome: Outcome
    reason: Reason
    closed: bool
    waited_us: int
    report: Report | None


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    machine: int
    outcome: Outcome
    report: Report | None


@dataclass(frozen=True, slots=True)
class TaskNote:
    """A note on a task that has an open attempt or is running; `level` is the value for its kind."""

    request: int
    attempt: int
    machine: int
    kind: NoteKind
    level: float


@dataclass(frozen=True, slots=True)
class LearnedMachine:
    """A machine as another instance knows it, weighted by age; pairs of figures are (cores, memory).

    `asked`: the allocation; `beyond`: measured use in excess of the usual share of it; `warm_us`: for how
    long each program is expected to stay; `rests_us`: strikes and time left of each backoff, by class.
    """

    machine: int
    asked: tuple[float, float] | None
    asked_age_us: int
    beyond: tuple[float, float] | None
    measured_age_us: int
    warm_us: Mapping[str, int]
    rests_us: Mapping[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class Learned:
    """Another instance's knowledge of machines.

    `ratio`: use per allocation of cores and memory; `notes`: the number of notes that each counts as.
    """

    machines: tuple[LearnedMachine, ...]
    ratio: tuple[float, float]
    notes: tuple[float, float]


@dataclass(frozen=True, slots=True)
class Planned:
    """When the work of machines is planned to end; None cancels the plan for a machine."""

    closes_us: Mapping[int, int | None]


@dataclass(frozen=True, slots=True)
class MachineKnowledge:
    """What the scheduler knows of a machine; None for a figure that it does not know."""

    machine: int
    gone: bool
    launched_us: int
    asked: tuple[float, float] | None
    asked_age_us: int | None
    beyond: tuple[float, float] | None
    measured_age_us: int | None
    warm_us: Mapping[str, int]
    rests_us: Mapping[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class Knowledge:
    """All that is known of machines, and nothing of requests; times are ages or times left."""

    machines: tuple[MachineKnowledge, ...]
    ratio: tuple[float, float]
    notes: tuple[float, float]


Event: TypeAlias = (
    MachineList
    | TaskArrived
    | TaskFound
    | TaskWithdrawn
    | TimerDue
    | TaskPlaced
    | AttemptEnded
    | Probed
    | TaskNote
    | Learned
    | Planned
    | Settings
)
