"""The table of attempts and their stages, for all fronts: an offer waits for a connection, is sent, is placed, or ends.

A stage changes only as `_TRANSITIONS` allows; late and duplicate responses are counted and dropped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, Generic, Protocol, TypeVar

from wingbarrow.decide.retries import RunEnd
from wingbarrow.transport import CancelScope


class Stage(Enum):
    """The stage of an attempt."""

    WAITING = "waiting for a connection"
    SENT = "sent"
    PLACED = "placed"
    ENDED = "ended"


_TRANSITIONS = {
    Stage.WAITING: (Stage.SENT, Stage.PLACED, Stage.ENDED),
    Stage.SENT: (Stage.PLACED, Stage.ENDED),
    Stage.PLACED: (Stage.ENDED,),
    Stage.ENDED: (),
}


class NamedMachine(Protocol):
    """The part of a machine that the table uses."""

    name: str


TaskT = TypeVar("TaskT")
LinkT = TypeVar("LinkT", bound=NamedMachine)
AttemptT = TypeVar("AttemptT", bound="AttemptRecord[Any, Any]")


@dataclass(slots=True, eq=False)
class AttemptRecord(Generic[TaskT, LinkT]):
    """One offer of one request to one machine; `number` counts a request's attempts from 0.

    `key` identifies the attempt within one placer; times are microseconds of the hub's clock.
    """

    request: int
    number: int
    task: TaskT
    link: LinkT
    key: str
    decided_us: int
    deadline_us: int
    stage: Stage = Stage.WAITING
    placed_us: int = 0
    scope: CancelScope | None = None
    stopping: RunEnd | None = None  # why it is being stopped
    abandoned: bool = False  # the request no longer waits for its response
    launched_us: int | None = None  # the machine's last start, as known when the machine was chosen


class AttemptTable(Generic[AttemptT]):
    """All attempts that have not ended, by request, by key and by machine."""

    def __init__(self) -> None:
        self._by_request: dict[int, AttemptT] = {}
        self.by_key: dict[str, AttemptT] = {}
        self._by_machine: dict[str, dict[str, AttemptT]] = {}
        self.unexpected_transitions: Counter[str] = Counter()

    def add(self, attempt: AttemptT) -> None:
        """Add an attempt; a request has at most one at a time."""
        self._by_request[attempt.request] = attempt
        self.by_key[attempt.key] = attempt
        self._by_machine.setdefault(attempt.link.name, {})[attempt.key] = attempt

    def of(self, request: int) -> AttemptT | None:
        """The attempt of a request; None where it has none that has not ended."""
        return self._by_request.get(request)

    def advance(self, attempt: AttemptT, stage: Stage) -> bool:
        """Change the attempt's stage; returns False and counts the transition where it is not allowed."""
        if stage not in _TRANSITIONS[attempt.stage]:
            self.unexpected_transitions[f"{stage.value} after {attempt.stage.value}"] += 1
            return False
        attempt.stage = stage
        if stage is Stage.ENDED:
            self.by_key.pop(attempt.key, None)
            attempts = self._by_machine.get(attempt.link.name, {})
            attempts.pop(attempt.key, None)
            if not attempts:
                self._by_machine.pop(attempt.link.name, None)
            if self._by_request.get(attempt.request) is attempt:
                del self._by_request[attempt.request]
        return True

    def on(self, link: NamedMachine) -> list[AttemptT]:
        """The attempts on one machine."""
        return self.on_machine_named(link.name)

    def on_machine_named(self, machine: str) -> list[AttemptT]:
        """The attempts on the machine of that name."""
        return list(self._by_machine.get(machine, {}).values())

    def __len__(self) -> int:
        return len(self.by_key)
