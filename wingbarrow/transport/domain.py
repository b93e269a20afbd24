"""Domains: tasks that share one fate, as an operating system process would give it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wingbarrow.transport.lag import Lag

if TYPE_CHECKING:
    from wingbarrow.transport.hub import Hub
    from wingbarrow.transport.scopes import Task


class Domain:
    """Tasks that share one fate, as an operating system process would give it: held still, or killed.

    `hold_until` keeps every task of the domain from running, as a stopped process; what was ready runs when
    the time has come. `kill` ends all tasks and resets their sockets.
    """

    def __init__(self, hub: Hub, name: str) -> None:
        self.hub = hub
        self.name = name
        self.held_from_us = self.held_until_us = 0
        self.lag = Lag()
        self.dead = False
        self.deferred_tasks: deque[tuple[Task, BaseException | None]] = deque()
        self.deferred_calls: deque[tuple[bool, Callable[[], None]]] = deque()
        # In order of coming: a set's order hangs on addresses, and a kill would differ from run to run.
        self.tasks: dict[Task, None] = {}
        self.endpoints: dict[Any, None] = {}

    def hold(self, for_us: int) -> None:
        """Stop the domain for that long from now on."""
        if self.held_until_us <= self.hub.now_us():
            self.held_from_us = self.hub.now_us()
        self.held_until_us = max(self.held_until_us, self.hub.now_us() + for_us)
        self.hub._at(self.held_until_us, self._thaw, None)

    def _thaw(self) -> None:
        if self.hub.now_us() >= self.held_until_us:
            self.lag.note(self.hub.now_us(), self.hub.now_us() - self.held_from_us)
            # What is owed first, whatever else came due meanwhile.
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
        """End every task at once and reset the domain's sockets; nothing is said to anybody."""
        self.dead, self.held_until_us = True, 0
        self.hub._ready.extend(
            self.deferred_tasks
        )  # they meet their cancelled scope at the next blocking call
        self.deferred_tasks.clear()
        self.deferred_calls.clear()
        for endpoint in list(self.endpoints):
            endpoint.abort()
        for task in list(self.tasks):
            task.cancel()
