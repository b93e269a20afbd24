"""Parses and validates set-up messages; an invalid one is rejected and never sent to a machine."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite

from wingbarrow import interface as api
from wingbarrow.relay.message import BadMessage, Code, Message

MAX_DURATION_MS = 1e12  # about thirty years: limits patience and the expected duration
PATIENCE_BOUND_FACTOR = 100  # the upper bound of patience is this multiple of the longest deadline
MIN_PATIENCE_BOUND_MS = 3_600_000  # the upper bound of patience is at least one hour
MAX_SIZE = 1e18  # of cores and memory, in the site's own unit, which may be bytes
MIN_SIZE = 1e-12  # of cores
# As in the decision module: the size of a machine whose kind the settings do not list, and the tolerance of a fit.
UNLISTED_KIND_SIZE = 1.0
SIZE_TOLERANCE = 1e-6
MAX_TOKEN_BYTES = 64
_NAME = re.compile(r"[0-9a-fA-F]{16}")
# Parameters addressed to the placer. All others are forwarded to the machine unchanged, including unknown codes:
# keyed classes carry a deduplication parameter that the protocol description does not list.
_PLACER_CODES = frozenset({Code.PATIENCE, Code.RETRY, Code.HINT, Code.FIGURES})


@dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds of a set-up's values; cores and memory in the site's units, patience in milliseconds."""

    cores: float = MAX_SIZE
    memory: float = MAX_SIZE
    patience_ms: float = MAX_DURATION_MS

    @classmethod
    def of(cls, settings: api.Settings, deadline_us: int) -> Bounds:
        """What the site's largest machine can book, and a patience well above the longest deadline (`deadline_us`).

        A set-up above them could never be placed and would only wait until its patience ends.
        """

        def maximum(sizes: list[float], booking: float) -> float:
            if not sizes:
                return MAX_SIZE
            return booking * max(*sizes, UNLISTED_KIND_SIZE) + SIZE_TOLERANCE

        return cls(
            maximum([kind.cores for kind in settings.kinds], settings.booking_cores),
            maximum([kind.memory for kind in settings.kinds], settings.booking_memory),
            max(MIN_PATIENCE_BOUND_MS, PATIENCE_BOUND_FACTOR * deadline_us / 1000),
        )


class BadSetUp(Exception):
    """The message is readable, but its set-up is invalid; the message text names the field."""


@dataclass(frozen=True, slots=True)
class SetUp:
    """A validated set-up; `running_on` names the machine that already runs the task, if any."""

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

    @property
    def held_bytes(self) -> int:
        """The bytes of the parameters that have to be held for machines."""
        return sum(map(len, self.passed_on.values()))

    def arrival(self, request: int, deadline_us: int) -> api.TaskArrived:
        """The arrival event for the scheduler; `deadline_us` is an absolute time."""
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
        raise BadSetUp(f"{field} is not a number: {(text or '')[:20]!r}") from None
    if not (isfinite(value) and minimum <= value <= maximum):
        raise BadSetUp(
            f"{field} is out of range: {(text or '')[:20]}, expected {minimum:g} to {maximum:g}"
        )
    return value


def read(message: Message, classes: dict[str, api.TaskClass], bounds: Bounds = Bounds()) -> SetUp:
    """Parse a SET_UP message; raises BadSetUp naming the invalid field."""
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
        raise BadSetUp("unknown class")
    if not _NAME.fullmatch(name):
        raise BadSetUp("name is not 16 hex digits")
    if Code.DESCRIPTION not in message.values:
        raise BadSetUp("description is missing")
    if not message.task:
        raise BadSetUp("task id is missing or 0")
    service, running_on = figures.get("service", ""), figures.get("at")
    if not _is_token(service):
        raise BadSetUp(f"service is not a word of 1 to {MAX_TOKEN_BYTES} bytes")
    if running_on == "":  # any non-empty text may be a machine's name
        raise BadSetUp("at is empty, expected a machine name")
    # A task that already runs gets no answer, so its patience may have expired.
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
