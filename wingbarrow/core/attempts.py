"""The life of attempts: an offer waits for its connection, goes out, and ends or becomes a running task.

An attempt's state changes only by `_NEXT`; answers that come late or twice are counted and dropped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from wingbarrow.core.book import TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.decide.again import End
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


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of one request to one machine; `number` counts a request's attempts from 0."""

    request: int
    number: int
    task: TaskRecord
    link: MachineLink
    pod: str
    decided_us: int
    deadline_us: int
    stage: Stage = Stage.WAITING
    placed_us: int = 0
    scope: CancelScope | None = None
    stopping: End | None = None  # why it is being stopped
    abandoned: bool = False  # nobody waits for its answer any longer
    use: tuple[float, ...] = ()


class Attempts:
    """All attempts that are not over, by request and by pod."""

    def __init__(self) -> None:
        self._by_request: dict[int, Attempt] = {}
        self.by_pod: dict[str, Attempt] = {}
        self._on: dict[str, dict[str, Attempt]] = {}
        self.odd: Counter[str] = Counter()

    def add(self, attempt: Attempt) -> None:
        """A new attempt; the module sends one at a time."""
        self._by_request[attempt.request] = attempt
        self.by_pod[attempt.pod] = attempt
        self._on.setdefault(attempt.link.name, {})[attempt.pod] = attempt

    def of(self, request: int) -> Attempt | None:
        """The attempt of a request that is not over."""
        return self._by_request.get(request)

    def advance(self, attempt: Attempt, stage: Stage) -> bool:
        """Change its stage; False, and counted, where it is past that."""
        if stage not in _NEXT[attempt.stage]:
            self.odd[f"{stage.value} after {attempt.stage.value}"] += 1
            return False
        attempt.stage = stage
        if stage is Stage.ENDED:
            self.by_pod.pop(attempt.pod, None)
            on = self._on.get(attempt.link.name, {})
            on.pop(attempt.pod, None)
            if not on:
                self._on.pop(attempt.link.name, None)
            if self._by_request.get(attempt.request) is attempt:
                del self._by_request[attempt.request]
        return True

    def on(self, link: MachineLink) -> list[Attempt]:
        """Those on one machine."""
        return list(self._on.get(link.name, {}).values())

    def __len__(self) -> int:
        return len(self.by_pod)
