"""Domains: groups of tasks that are suspended or killed together, like the threads of a process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wingbarrow.transport.lag import Lag

if TYPE_CHECKING:
    from wingbarrow.transport.hub import Hub
    from wingbarrow.transport.scopes import Task


class Domain:
    """Tasks, timers and sockets that are suspended or killed together, like those of a process.

    `hold` suspends every task and timer of the domain for a time, as SIGSTOP suspends a process; those that
    become ready meanwhile run when it ends. `kill` cancels all tasks and resets their sockets.
    """

    def __init__(self, hub: Hub, name: str) -> None:
        self.hub = hub
        self.name = name
        self.held_from_us = self.held_until_us = 0
        self.lag = Lag()
        self.dead = False
        self.deferred_tasks: deque[tuple[Task, BaseException | None]] = deque()
        self.deferred_calls: deque[tuple[bool, Callable[[], None]]] = deque()
        # Dicts keep insertion order. A set's order depends on memory addresses, so that `kill` would not be
        # reproducible from run to run.
        self.tasks: dict[Task, None] = {}
        self.endpoints: dict[Any, None] = {}

    def hold(self, for_us: int) -> None:
        """Suspend the domain for `for_us` microseconds from now; a longer suspension in effect stays."""
        if self.held_until_us <= self.hub.now_us():
            self.held_from_us = self.hub.now_us()
        self.held_until_us = max(self.held_until_us, self.hub.now_us() + for_us)
        self.hub._at(self.held_until_us, self._resume, None)

    def _resume(self) -> None:
        if self.hub.now_us() >= self.held_until_us:
            self.lag.note(self.hub.now_us(), self.hub.now_us() - self.held_from_us)
            # Urgent calls run before all others that came due during the suspension.
            deferred_calls, self.deferred_calls = (
                sorted(self.deferred_calls, key=lambda each: not each[0]),
                deque(),
            )
            for _, call in deferred_calls:
                if not self.dead:
                    call()
            self.hub._ready.extend(self.deferred_tasks)
            self.deferred_tasks.clear()

    def kill(self) -> None:
        """Cancel every task and reset the domain's sockets, without notifying anyone."""
        self.dead, self.held_until_us = True, 0
        # Tasks deferred by a suspension run, and raise Cancelled at their next blocking call.
        self.hub._ready.extend(self.deferred_tasks)
        self.deferred_tasks.clear()
        self.deferred_calls.clear()
        for endpoint in list(self.endpoints):
            endpoint.abort()
        for task in list(self.tasks):
            task.cancel()
