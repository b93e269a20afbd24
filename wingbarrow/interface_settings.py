"""Settings of the scheduler: classes of tasks, kinds of machines, bounds; part of interface.py.

Times are microseconds on the caller's clock. A figure that is not known is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import isfinite


class Effect(Enum):
    """The effect of a second start of a task: no harm, no harm within a group and window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Place(Enum):
    """A scope of machines: none, a single machine, a cell (rack), a zone (hall), or the whole fleet."""

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


@dataclass(frozen=True, slots=True)
class MachineKind:
    """A kind of machine and its size."""

    name: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class TaskClass:
    """A class of tasks.

    `group`, `window_us`: where and for how long repeated starts are deduplicated; `kind`: the machine kind
    that it needs, or None. Its service is full up to a use of `calm` times the machine's cores, and degrades
    over the next `fade` times the cores.
    """

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
    """Prices, in points of the result: of machines in use, and of one probe."""

    fleet: float
    probe: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the scheduler, given at its start and whenever the rules change.

    Raises ValueError naming the key for a figure that is out of range.
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
    # Whether an offer counts as arrived only when its machine says so, by a note, an answer or its end.
    arrivals_told: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError for figures that are out of range."""
        above_zero = (
            "placers",
            "booking_cores",
            "booking_memory",
            "attempts_most",
            "tick_us",
            "fall_us",
        )
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
