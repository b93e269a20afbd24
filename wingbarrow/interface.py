"""Settings, events and actions of the scheduler, in scheduling's own terms; decisions are in logic.py.

Times are microseconds on the caller's clock. A figure that was not told is None.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import isfinite
from typing import TypeAlias


class Effect(Enum):
    """What a second start of a task does: no harm, none within a group and window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Place(Enum):
    """A scope of machines: none at all, a single one, a cell (rack), a zone (hall), or the whole fleet."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class Discovery(Enum):
    """How the list of machines reaches the scheduler."""

    PUSH = "push"
    ASK = "ask"


class Reports(Enum):
    """Where load reports come from."""

    IN_ANSWERS = "in answers"
    ON_PROBES = "on probes"
    NONE = "none"


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
class MachineKind:
    """A kind of machine and its size."""

    name: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class TaskClass:
    """A class of tasks; `kind`: the machine kind it needs; `calm`, `fade`: its service when busy."""

    name: str
    effect: Effect
    group: Place
    window_us: int
    worth: float
    spread: Place
    spread_most: int
    kind: str | None
    calm: float
    fade: float


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of the result for each unit of what costs."""

    fleet: float
    probe: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What the scheduler is told at its start, and where rules change.

    Figures out of range raise ValueError with the key's name.
    """

    placers: int
    index: int
    classes: tuple[TaskClass, ...]
    kinds: tuple[MachineKind, ...]
    booking_cores: float
    booking_memory: float
    attempts_most: int
    discovery: Discovery
    may_probe: bool
    reports: Reports
    reports_use: bool
    room_in_list: bool
    tick_us: int
    ask_every_us: int
    cold_us: int
    fall_us: int
    fresh_offers: float
    prices: Prices
    arrivals_told: bool = False  # a note says when an offer has reached its machine

    def __post_init__(self) -> None:
        """Reject figures that no deployment can mean."""
        above_zero = ("placers", "booking_cores", "booking_memory", "attempts_most", "tick_us", "fall_us")
        for key in (*above_zero, "ask_every_us", "cold_us", "fresh_offers"):
            _check_range(key, getattr(self, key), key in above_zero)
        if not 0 <= self.index < self.placers:
            raise ValueError(f"index: out of range: {self.index}")
        for price in ("fleet", "probe"):
            _check_range(price, getattr(self.prices, price), False)
        for kind in self.kinds:
            _check_range("kinds.cores", kind.cores, True)
            _check_range("kinds.memory", kind.memory, True)
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for each in self.classes:
            for key in ("window_us", "worth", "calm", "fade"):
                _check_range(f"classes.{key}", getattr(each, key), False)
            if each.spread is not Place.NONE:
                _check_range("classes.spread_most", each.spread_most, True)


def _check_range(key: str, value: float, above_zero: bool) -> None:
    if not isfinite(value) or value < 0 or (above_zero and value == 0):
        raise ValueError(f"{key}: out of range: {value}")


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


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a machine; the attempt is abandoned at `give_up_us`."""

    request: int
    machine: int
    give_up_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the owner may try again without harm."""

    request: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise as to the effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task; its owner asks for it again."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerDue at the given time."""

    at_us: int
    name: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its report."""

    machine: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask discovery for the machines and for their changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the on-call staff."""

    text: str


Event: TypeAlias = (MachineList | TaskArrived | TaskFound | TaskWithdrawn | TimerDue | TaskPlaced
                    | AttemptEnded | Probed | TaskNote | Learned | Planned | Settings)
Action: TypeAlias = Bind | Refuse | Fail | Move | SetTimer | Probe | WatchList | Log
