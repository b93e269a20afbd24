"""Cancel scopes and tasks: cancellation is level-triggered as in trio.

Once a scope is cancelled, every blocking call inside it raises `Cancelled` until the scope is left.
"""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING

from greenlet import getcurrent, greenlet

if TYPE_CHECKING:
    from wingbarrow.transport.domain import Domain
    from wingbarrow.transport.hub import Hub, Timer


class Cancelled(BaseException):
    """Raised in a task whose scope was cancelled; only that scope's exit may swallow it.

    It derives from BaseException so that `except Exception` does not catch it.
    """

    def __init__(self, scope: CancelScope) -> None:
        super().__init__(scope)
        self.scope = scope


class CancelScope:
    """A `with` block that can be cancelled, by `cancel` or by its deadline (microseconds on the hub's clock)."""

    __slots__ = ("_tasks", "_timer", "cancelled", "caught", "deadline_us", "hub")

    def __init__(self, hub: Hub, deadline_us: int | None = None) -> None:
        self.hub = hub
        self.deadline_us = deadline_us
        self.cancelled = False
        self.caught = False  # whether the scope was left through its own cancellation
        self._timer: Timer | None = None
        self._tasks: dict[Task, None] = {}

    def cancel(self) -> None:
        """Make every blocking call inside the scope raise `Cancelled`."""
        if not self.cancelled:
            self.cancelled = True
            for task in list(self._tasks):
                task._interrupt()

    def __enter__(self) -> CancelScope:
        task = self.hub.current()
        task.scopes.append(self)
        self._tasks[task] = None
        if self.deadline_us is not None:
            self._timer = self.hub.call_at(self.deadline_us, self.cancel)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        task = self.hub.current()
        task.scopes.remove(self)
        self._tasks.pop(task, None)
        if self._timer is not None:
            self._timer.cancel()
        if isinstance(error, Cancelled) and error.scope is self:
            self.caught = True
            return True
        return False


class Task:
    """A greenlet with its scopes; `done` is whether it has ended, `error` the exception that ended it."""

    __slots__ = (
        "domain",
        "done",
        "error",
        "glet",
        "hub",
        "last_empty_us",
        "name",
        "on_end",
        "own_scope",
        "scopes",
        "undo_wait",
        "urgent",
    )

    def __init__(
        self, hub: Hub, call: Callable[[], None] | None, domain: Domain | None, name: str
    ) -> None:
        self.hub = hub
        self.name = name
        self.glet: greenlet = greenlet(call, hub._loop) if call else getcurrent()
        self.scopes: list[CancelScope] = []
        self.own_scope = CancelScope(hub)
        self.domain = domain
        # Runs before other ready tasks: for cheap tasks that pass on answers which are due.
        self.urgent = False
        self.last_empty_us = 0  # start of the latest poll that found its descriptor not ready
        self.done = False
        self.error: BaseException | None = None
        self.undo_wait: Callable[[], None] | None = None  # withdraws its wait; None unless blocked
        self.on_end: list[Callable[[Task], None]] = []

    def cancel(self) -> None:
        """Cancel the whole task through its own scope."""
        self.own_scope.cancel()

    def _interrupt(self) -> None:
        scope = next((each for each in self.scopes if each.cancelled), None)
        if scope is not None and self.undo_wait is not None:
            undo, self.undo_wait = self.undo_wait, None
            undo()
            self.hub._wake(self, Cancelled(scope))
