"""Bounded channels between tasks, and a signal that wakes every waiting task."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from wingbarrow.transport.hub import Hub
from wingbarrow.transport.scopes import Task

T = TypeVar("T")


class Closed(Exception):
    """The channel was closed and is empty."""


class Full(Exception):
    """The channel holds as many items as its capacity allows."""


class Signal:
    """Wakes the tasks that wait for it at the time of `notify`; a `notify` without waiters is lost."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._tasks: dict[Task, None] = {}

    def notify(self) -> None:
        """Wake every task that waits now."""
        tasks, self._tasks = self._tasks, {}
        for task in tasks:
            self._hub.wake(task)

    def wait(self) -> None:
        """Block until the next `notify`."""
        task = self._hub.current()
        self._tasks[task] = None
        self._hub.block(lambda: self._tasks.pop(task, None) and None)


class Channel(Generic[T]):
    """A FIFO queue of at most `capacity` items; `put` blocks when it is full, `offer` raises `Full`."""

    def __init__(self, hub: Hub, capacity: int) -> None:
        self._capacity = capacity
        self._items: deque[T] = deque()
        self._changed = Signal(hub)
        self.closed = False

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, item: T) -> None:
        """Append an item without waiting; raises Full or Closed."""
        if self.closed:
            raise Closed
        if len(self._items) >= self._capacity:
            raise Full
        self._items.append(item)
        self._changed.notify()

    def put(self, item: T) -> None:
        """Append an item, blocking while the channel is full; raises Closed."""
        while len(self._items) >= self._capacity and not self.closed:
            self._changed.wait()
        self.offer(item)

    def get(self) -> T:
        """Remove and return the oldest item, blocking while empty; raises Closed once closed and empty."""
        while not self._items:
            if self.closed:
                raise Closed
            self._changed.wait()
        item = self._items.popleft()
        self._changed.notify()
        return item

    def close(self) -> None:
        """Refuse further items; those in the channel can still be taken."""
        self.closed = True
        self._changed.notify()
