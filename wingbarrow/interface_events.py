"""Events that the scheduler is told, and what it knows of machines; part of interface.py.

Times are microseconds on the caller's clock. A figure that was not told is None.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from wingbarrow.interface_settings import Settings


class Phase(Enum):
    """What the list says of a machine."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    """What kind of list event this is."""

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
    """What a note on a task tells."""

    RUNS = "runs"
    CORES_USED = "cores used"
    MEMORY_USED = "memory used"
    SERVED = "served"
    MACHINE_MEMORY = "machine memory"
    ARRIVED = "arrived"


@dataclass(frozen=True, slots=True)
class Report:
    """A machine's own figures: cores and memory that are free (not asked for, or not used)."""

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
    """Discovery tells of machines."""

    form: ListForm
    machines: tuple[ListedMachine, ...]


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task is to be placed; exactly one final answer is owed by the deadline."""

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
    """A task that already runs on a machine comes under this scheduler's care."""

    arrival: TaskArrived
    machine: int


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """The request has ended; nothing more is owed for it."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set earlier has come due."""

    name: str


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """The machine has taken the task; its end comes as AttemptEnded."""

    request: int
    attempt: int
    machine: int
    waited_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `closed` tells that the request has ended with it or before."""

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
    """News of a task that is still out or runs."""

    request: int
    attempt: int
    machine: int
    kind: NoteKind
    level: float


@dataclass(frozen=True, slots=True)
class LearnedMachine:
    """A machine as another instance knows it, weighed by its age; figures are (cores, memory).

    `warm_us`: programs and for how long they are trusted to stay; `rests_us`: strikes and time left,
    by class.
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
    """Another instance's knowledge of machines; shares of use and the own notes that each weighs."""

    machines: tuple[LearnedMachine, ...]
    ratio: tuple[float, float]
    notes: tuple[float, float]


@dataclass(frozen=True, slots=True)
class Planned:
    """Machines whose work is planned to end: by when, on the caller's clock; None takes the plan back."""

    closes_us: Mapping[int, int | None]


@dataclass(frozen=True, slots=True)
class MachineKnowledge:
    """What the scheduler knows of a machine; None where it knows nothing of the kind."""

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
    """All that is known of machines, and never of requests; times are ages."""

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
