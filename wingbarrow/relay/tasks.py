"""The request table: the state of every task that owners sent, and whether its final answer or release is due.

States change only by the transition table; a step without a transition is counted and changes nothing, so that late or
duplicate messages are harmless. No sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.decide.connection_limits import ConnectionActivity
from wingbarrow.decide.idempotency import EarlierAttempt


class State(Enum):
    """A task's state. Values appear in counters."""

    PENDING = "asked"  # its owner awaits the final answer
    RUNNING = "running"  # its owner must be sent a release when it ends
    ENDED = "over"


class Step(Enum):
    """An event that changes a task's state. Values appear in counters."""

    START = "start"  # the machine's answer was forwarded to the owner
    REFUSE = "refuse"
    FAIL = "fail"
    WITHDRAW = "withdraw"  # its owner abandoned or released it
    END = "end"  # its run ended
    MOVE = "move"  # it is stopped here and its owner submits it again


_TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.PENDING, Step.START): State.RUNNING,
    (State.PENDING, Step.REFUSE): State.ENDED,
    (State.PENDING, Step.FAIL): State.ENDED,
    (State.PENDING, Step.WITHDRAW): State.ENDED,
    (State.RUNNING, Step.WITHDRAW): State.ENDED,
    (State.RUNNING, Step.END): State.ENDED,
    (State.RUNNING, Step.MOVE): State.ENDED,
}


class OwnerConnection(Protocol):
    """The owner's connection on which a set-up arrived, as far as a task needs it."""

    activity: ConnectionActivity
    number: int  # identifies the connection in logs
    tasks: dict[int, Task]  # open set-ups, by id

    def write(self, data: bytes) -> bool:
        """Send `data`; False if the connection can no longer be used."""

    def has_stale_input(self, now_us: int) -> bool:
        """Whether data that arrived a while ago may be unread, such as the owner's close or release."""

    def when_read(self, call: Callable[[], None]) -> None:
        """Call `call` once that data has been read."""


@dataclass(slots=True, eq=False)
class Task:
    """One set-up; `request` is its number in the decision module, `ident` its id on the wire."""

    request: int
    ident: int
    cls: api.TaskClass
    arrival: api.TaskArrived
    owner: OwnerConnection | None  # the connection it arrived on, until the final answer
    asked_on: int  # the number of that connection
    # Parameters that are forwarded unchanged to machines; emptied by the final answer.
    passed_on: dict[int, bytes]
    state: State = State.PENDING
    binds: int = 0  # number of Binds, including dropped ones
    earlier_attempt: EarlierAttempt | None = None  # the first attempt that may have run
    # The machines of all attempts that may have run. What one of them says of such a run bears this task's id, too.
    may_have_run_on: set[int] = field(default_factory=set)

    @property
    def held_bytes(self) -> int:
        """The bytes of the parameters that are held for machines."""
        return sum(map(len, self.passed_on.values()))


class RequestTable:
    """All unfinished tasks of one placer, by id and by request number."""

    def __init__(self) -> None:
        self.by_ident: dict[int, Task] = {}
        self.by_request: dict[int, Task] = {}
        self._next = 1
        self.pending = 0  # tasks that await a final answer
        self.open_bytes = 0  # of the parameters that they hold
        self.answered = 0  # final answers sent so far
        self.unexpected_transitions: Counter[str] = Counter()

    def next_request(self) -> int:
        """A request number that no earlier task of this process had."""
        self._next += 1
        return self._next - 1

    def add(self, task: Task) -> None:
        """Add a task; the caller has checked that its id is not in use."""
        self.by_ident[task.ident] = self.by_request[task.request] = task
        if task.state is State.PENDING:
            self.pending += 1
            self.open_bytes += task.held_bytes

    def step(self, task: Task, step: Step) -> bool:
        """Apply a step to a task; False, and counted, if its state has no such transition."""
        after = _TRANSITIONS.get((task.state, step))
        if after is None:
            self.unexpected_transitions[f"{step.value} while {task.state.value}"] += 1
            return False
        if task.state is State.PENDING:
            self.pending -= 1
            self.open_bytes -= task.held_bytes
            self.answered += step is not Step.WITHDRAW
            task.passed_on, task.owner = {}, None
        task.state = after
        if after is State.ENDED:
            if self.by_ident.get(task.ident) is task:
                del self.by_ident[task.ident]
            self.by_request.pop(task.request, None)
        return True
