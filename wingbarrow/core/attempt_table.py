"""The life of attempts, whatever front they serve: an offer waits for its connection, goes out, ends or runs.

An attempt's stage changes only by `_NEXT`; answers that come late or twice are counted and dropped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, Generic, Protocol, TypeVar

from wingbarrow.decide.retries import RunEnd
from wingbarrow.transport import CancelScope


class Stage(Enum):
    """Where an attempt stands."""

    WAITING = "waiting for a connection"
    SENT = "sent"
    PLACED = "placed"
    ENDED = "ended"


_NEXT = {
    Stage.WAITING: (Stage.SENT, Stage.PLACED, Stage.ENDED),
    Stage.SENT: (Stage.PLACED, Stage.ENDED),
    Stage.PLACED: (Stage.ENDED,),
    Stage.ENDED: (),
}


class NamedMachine(Protocol):
    """A machine as attempts need it."""

    name: str


TaskT = TypeVar("TaskT")
LinkT = TypeVar("LinkT", bound=NamedMachine)
AttemptT = TypeVar("AttemptT", bound="AttemptRecord[Any, Any]")


@dataclass(slots=True, eq=False)
class AttemptRecord(Generic[TaskT, LinkT]):
    """One offer of one request to one machine; `number` counts a request's attempts from 0.

    `key` names the attempt among all of one placer; times are microseconds of the hub's clock.
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
    abandoned: bool = False  # nobody waits for its answer any longer
    launched_us: int | None = None  # the machine's last start as known when it was chosen


class AttemptTable(Generic[AttemptT]):
    """All attempts that are not over, by request, by key and by machine."""

    def __init__(self) -> None:
        self._by_request: dict[int, AttemptT] = {}
        self.by_key: dict[str, AttemptT] = {}
        self._on: dict[str, dict[str, AttemptT]] = {}
        self.unexpected_transitions: Counter[str] = Counter()

    def add(self, attempt: AttemptT) -> None:
        """A new attempt; the module sends one at a time."""
        self._by_request[attempt.request] = attempt
        self.by_key[attempt.key] = attempt
        self._on.setdefault(attempt.link.name, {})[attempt.key] = attempt

    def of(self, request: int) -> AttemptT | None:
        """The attempt of a request that is not over."""
        return self._by_request.get(request)

    def advance(self, attempt: AttemptT, stage: Stage) -> bool:
        """Change its stage; False, and counted, where it is past that."""
        if stage not in _NEXT[attempt.stage]:
            self.unexpected_transitions[f"{stage.value} after {attempt.stage.value}"] += 1
            return False
        attempt.stage = stage
        if stage is Stage.ENDED:
            self.by_key.pop(attempt.key, None)
            on = self._on.get(attempt.link.name, {})
            on.pop(attempt.key, None)
            if not on:
                self._on.pop(attempt.link.name, None)
            if self._by_request.get(attempt.request) is attempt:
                del self._by_request[attempt.request]
        return True

    def on(self, link: NamedMachine) -> list[AttemptT]:
        """Those on one machine."""
        return self.on_machine_named(link.name)

    def on_machine_named(self, machine: str) -> list[AttemptT]:
        """Those on the machine of that name."""
        return list(self._on.get(machine, {}).values())

    def __len__(self) -> int:
        return len(self.by_key)
