"""A set-up as the module hears of it; what is wrong with one is named, and it never reaches a machine."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite

from wingbarrow import interface as api
from wingbarrow.relay.message import BadMessage, Code, Message

MAX_DURATION_MS = 1e12  # some thirty years: no owner waits so long, and no task has so long to go
BOUND_FACTOR = 100  # what the settings tell, for a bound
MIN_PATIENCE_BOUND_MS = 3_600_000  # of patience, as a bound
MAX_SIZE = 1e18  # in whatever unit the site counts cores and memory, bytes too
MIN_SIZE = 1e-12  # of cores
MAX_TOKEN_BYTES = 64  # bytes
_NAME = re.compile(r"[0-9a-fA-F]{16}")
# What an owner tells its placer; the rest goes on to the machine as it came, also what this program has no name for:
# keyed classes bring a parameter by which machines know a repeat, and the page does not list it.
_PLACER_CODES = frozenset({Code.PATIENCE, Code.RETRY, Code.HINT, Code.FIGURES})


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a figure may be at most; patience in milliseconds."""

    cores: float = MAX_SIZE
    memory: float = MAX_SIZE
    patience_ms: float = MAX_DURATION_MS

    @classmethod
    def of(cls, settings: api.Settings, deadline_us: int) -> Bounds:
        """Some way over what the site's largest machine has, and over its longest deadline.

        What is over could never be placed: held until its patience ends, it would wait for nothing.
        """

        def maximum(sizes: list[float], booking: float) -> float:
            return BOUND_FACTOR * max(1.0, booking) * max(sizes) if sizes else MAX_SIZE

        return cls(
            maximum([kind.cores for kind in settings.kinds], settings.booking_cores),
            maximum([kind.memory for kind in settings.kinds], settings.booking_memory),
            max(MIN_PATIENCE_BOUND_MS, BOUND_FACTOR * deadline_us / 1000),
        )


class BadSetUp(Exception):
    """The set-up can be read, but not be placed."""


@dataclass(frozen=True, slots=True)
class SetUp:
    """What an owner asks; `at` names the machine that holds the task already."""

    ident: int
    cls: api.TaskClass
    name: str
    service: str
    cores: float
    memory: float
    patience_us: int
    hint_us: int | None
    is_retry: bool
    running_on: str | None
    passed_on: dict[int, bytes]

    def arrival(self, request: int, deadline_us: int) -> api.TaskArrived:
        """The module's event."""
        return api.TaskArrived(
            request,
            self.cls.name,
            self.service,
            self.name,
            self.cores,
            self.memory,
            deadline_us,
            self.hint_us,
        )


def _is_token(text: str) -> bool:
    return text.split() == [text] and len(text.encode()) <= MAX_TOKEN_BYTES


def _number(text: str | None, field: str, minimum: float, maximum: float) -> float:
    try:
        value = float(text or "")
    except ValueError:
        raise BadSetUp(f"{field} is no number") from None
    if not (isfinite(value) and minimum <= value <= maximum):
        raise BadSetUp(f"{field} is out of range: {(text or '')[:20]}")
    return value


def read(message: Message, classes: dict[str, api.TaskClass], bounds: Bounds = Bounds()) -> SetUp:
    """A set-up from its message; BadSetUp says what is wrong."""
    try:
        cls = classes.get(message.text(Code.CLASS) or "")
        name = message.text(Code.NAME) or ""
        patience, hint = message.text(Code.PATIENCE), message.text(Code.HINT)
        is_retry = message.text(Code.RETRY) is not None
        figures = dict(
            pair.partition(":")[::2] for pair in (message.text(Code.FIGURES) or "").split(";")
        )
    except BadMessage as error:
        raise BadSetUp(str(error)) from None
    if cls is None:
        raise BadSetUp("an unknown class")
    if not _NAME.fullmatch(name):
        raise BadSetUp("no name of 16 hex digits")
    if Code.DESCRIPTION not in message.values:
        raise BadSetUp("no description")
    if not message.task:
        raise BadSetUp("no id")
    service, running_on = figures.get("service", ""), figures.get("at")
    if not _is_token(service):
        raise BadSetUp("no service")
    if running_on == "":  # the list holds machines of any name
        raise BadSetUp("at names no machine")
    # What a machine holds already wants no answer: its patience may be long over.
    patience_ms = (
        0.0 if running_on is not None else _number(patience, "patience", 0, bounds.patience_ms)
    )
    return SetUp(
        message.task,
        cls,
        name,
        service,
        _number(figures.get("cores"), "cores", MIN_SIZE, bounds.cores),
        _number(figures.get("memory"), "memory", 0, bounds.memory),
        int(patience_ms * 1000),
        None if hint is None else int(_number(hint, "hint", 0, MAX_DURATION_MS) * 1000),
        is_retry,
        running_on,
        {code: value for code, value in message.values.items() if code not in _PLACER_CODES},
    )
