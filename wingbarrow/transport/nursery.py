"""Nurseries (structured concurrency as in trio): child tasks that do not outlive their block."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any

from wingbarrow.transport.domain import Domain
from wingbarrow.transport.hub import Hub
from wingbarrow.transport.scopes import Cancelled, CancelScope, Task


class Nursery:
    """Leaving the block waits for all children; the first failure cancels the rest and is raised on exit."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self.scope = CancelScope(hub)
        self._children: dict[Task, None] = {}
        self._waiter: Task | None = None
        self._error: BaseException | None = None
        self._outer: list[CancelScope] = []

    def __enter__(self) -> Nursery:
        self.scope.__enter__()
        self._outer = list(self.hub.current().scopes)
        return self

    def spawn(self, call: Callable[[], Any], name: str = "", domain: Domain | None = None) -> Task:
        """Start a child task."""
        task = self.hub.spawn(call, name, domain, self._outer)
        self._children[task] = None
        task.on_end.append(self._ended)
        return task

    def _ended(self, task: Task) -> None:
        self._children.pop(task, None)
        if task.error is not None and self._error is None:
            self._error = task.error
            self.scope.cancel()
        if self._waiter is not None and not self._children:
            self.hub.wake(self._waiter)

    def cancel(self) -> None:
        """Cancel all children and the block."""
        self.scope.cancel()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if error is not None:
            self.scope.cancel()
        cancelled: Cancelled | None = None
        while self._children:
            self._waiter = self.hub.current()
            try:
                if cancelled is not None or error is not None:
                    self._join_quietly()
                else:
                    self.hub.block(_no_undo)
            except Cancelled as signal:
                cancelled = signal
                self.scope.cancel()
            finally:
                self._waiter = None
        swallowed = self.scope.__exit__(kind, error, trace)
        if self._error is not None and (error is None or isinstance(error, Cancelled)):
            raise self._error
        if cancelled is not None and cancelled.scope is not self.scope and error is None:
            raise cancelled
        return swallowed

    def _join_quietly(self) -> None:
        """Wait for cancelled children with the scopes detached, so that the wait itself is not cancelled."""
        task = self.hub.current()
        kept, task.scopes = task.scopes, []
        try:
            self.hub.block(_no_undo)
        finally:
            task.scopes = kept


def _no_undo() -> None:
    """Undo nothing: no wait is registered."""
