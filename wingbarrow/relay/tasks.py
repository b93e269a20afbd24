"""The request table: every task that owners sent, its one state, its one final answer, the release it is owed.

States change only by the table; a step that the table lacks is counted and changes nothing, so that late or doubled
news can do no harm. No sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.decide.connection_limits import OwnerConnection
from wingbarrow.decide.idempotency import EarlierAttempt


class State(Enum):
    """Where a task stands."""

    ASKED = "asked"  # a final answer is owed
    RUNNING = "running"  # a release is owed once it is over
    OVER = "over"


class Step(Enum):
    """What may happen to a task."""

    START = "start"  # the machine's answer is passed on
    REFUSE = "refuse"
    FAIL = "fail"
    WITHDRAW = "withdraw"  # its owner gave it up, or released it
    END = "end"  # its run is over
    MOVE = "move"


_TABLE: dict[tuple[State, Step], State] = {
    (State.ASKED, Step.START): State.RUNNING,
    (State.ASKED, Step.REFUSE): State.OVER,
    (State.ASKED, Step.FAIL): State.OVER,
    (State.ASKED, Step.WITHDRAW): State.OVER,
    (State.RUNNING, Step.WITHDRAW): State.OVER,
    (State.RUNNING, Step.END): State.OVER,
    (State.RUNNING, Step.MOVE): State.OVER,
}


class Asker(Protocol):
    """The connection that a set-up came on, as far as the task needs it."""

    connection: OwnerConnection
    number: int  # of the connection, for logs
    tasks: dict[int, Task]  # open set-ups, by id

    def write(self, data: bytes) -> bool:
        """Send; False where the connection is of no use any more."""

    def has_stale_input(self, now_us: int) -> bool:
        """Whether something that came a while ago may not have been read: its owner may have gone."""

    def when_read(self, call: Callable[[], None]) -> None:
        """Call once that has been read."""


@dataclass(slots=True, eq=False)
class Task:
    """One set-up; `request` is its number with the module, `ident` its id on the wire."""

    request: int
    ident: int
    cls: api.TaskClass
    arrival: api.TaskArrived
    owner: Asker | None  # the connection it came on, as long as a final answer is owed
    passed_on: dict[
        int, bytes
    ]  # parameters that go to machines unchanged; empty once no answer is owed
    state: State = State.ASKED
    binds: int = 0
    earlier: EarlierAttempt | None = None  # its first attempt that may have run


class RequestTable:
    """All tasks of one placer that are not over, by id and by request."""

    def __init__(self) -> None:
        self.by_ident: dict[int, Task] = {}
        self.by_request: dict[int, Task] = {}
        self._next = 1
        self.pending = 0  # tasks that wait for a final answer
        self.answered = 0  # final answers so far
        self.odd: Counter[str] = Counter()

    def next_request(self) -> int:
        """A number for the module that no task of this life had."""
        self._next += 1
        return self._next - 1

    def add(self, task: Task) -> None:
        """Take a task in; the caller has seen that its id is not open."""
        self.by_ident[task.ident] = self.by_request[task.request] = task
        self.pending += task.state is State.ASKED

    def step(self, task: Task, step: Step) -> bool:
        """Change a task's state; False, and counted, where the table lacks the step."""
        after = _TABLE.get((task.state, step))
        if after is None:
            self.odd[f"{step.value} while {task.state.value}"] += 1
            return False
        if task.state is State.ASKED:
            self.pending -= 1
            self.answered += step is not Step.WITHDRAW
            task.passed_on, task.owner = {}, None
        task.state = after
        if after is State.OVER:
            if self.by_ident.get(task.ident) is task:
                del self.by_ident[task.ident]
            self.by_request.pop(task.request, None)
        return True
