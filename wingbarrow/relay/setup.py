"""A set-up as the module hears of it; what is wrong with one is named, and it never reaches a machine."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite

from wingbarrow import interface as api
from wingbarrow.relay.message import BadMessage, Code, Message

PATIENCE_MOST_MS = 3_600_000
SIZE_MOST = 1e6
_NAME = re.compile(r"[0-9a-f]{16}")
_SERVICE = re.compile(r"[!-~]{1,64}")
_PASSED_ON = (Code.CLASS, Code.NAME, Code.DESCRIPTION)


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
    again: bool
    at: str | None
    passed_on: dict[int, bytes]

    def arrival(self, request: int, deadline_us: int) -> api.TaskArrived:
        """The module's event."""
        return api.TaskArrived(request, self.cls.name, self.service, self.name, self.cores, self.memory, deadline_us,
                               self.hint_us)


def _figure(text: str | None, what: str, least: float, most: float) -> float:
    try:
        value = float(text or "")
    except ValueError:
        raise BadSetUp(f"{what} is no number") from None
    if not (isfinite(value) and least <= value <= most):
        raise BadSetUp(f"{what} is out of range: {(text or '')[:20]}")
    return value


def read(message: Message, classes: dict[str, api.TaskClass]) -> SetUp:
    """A set-up from its message; BadSetUp says what is wrong."""
    try:
        cls = classes.get(message.text(Code.CLASS) or "")
        name = message.text(Code.NAME) or ""
        patience, hint = message.text(Code.PATIENCE), message.text(Code.HINT)
        again = message.text(Code.RETRY) is not None
        figures = dict(pair.partition(":")[::2] for pair in (message.text(Code.FIGURES) or "").split(";"))
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
    service, at = figures.get("service", ""), figures.get("at")
    if not _SERVICE.fullmatch(service):
        raise BadSetUp("no service")
    if at is not None and not _SERVICE.fullmatch(at):
        raise BadSetUp("at names no machine")
    # What a machine holds already wants no answer: its patience may be long over.
    patience_ms = 0.0 if at is not None else _figure(patience, "patience", 0, PATIENCE_MOST_MS)
    return SetUp(message.task, cls, name, service, _figure(figures.get("cores"), "cores", 1e-6, SIZE_MOST),
                 _figure(figures.get("memory"), "memory", 0, SIZE_MOST), int(patience_ms * 1000),
                 None if hint is None else int(_figure(hint, "hint", 0, 1e9) * 1000), again, at,
                 {int(code): message.values[code] for code in _PASSED_ON})
