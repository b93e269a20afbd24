"""A machine's connections that are half-closed here, and read until the machine closes its side.

A process that hangs has not read the half-close. Once it goes on, it reports ends of tasks on the connections that it
knows, and repeats them on the first one that waits to be accepted, so that all of them have to be read until then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.transport import Stream

# For the machine to close its side of a connection; longer while it runs tasks.
CLOSE_TIMEOUT_US = 1_000_000


class HalfClosable(Protocol):
    """A connection to a machine."""

    stream: Stream

    @property
    def has_read_all(self) -> bool:
        """Whether it is open and all that has arrived was read."""


ConnectionT = TypeVar("ConnectionT", bound=HalfClosable)


class HalfClosedConnections(Generic[ConnectionT]):
    """The half-closed connections to one machine.

    While `expects_reports()`, a connection is kept until the machine closes its side; else `close` is called with it
    after CLOSE_TIMEOUT_US, once nothing on it is unread. The caller calls `discard` for each connection that has ended,
    and does not call `add` while `is_full`.
    """

    def __init__(
        self,
        runtime: PlacerRuntime,
        max_connections: int,
        expects_reports: Callable[[], bool],
        close: Callable[[ConnectionT], None],
    ) -> None:
        self._runtime, self._max_connections = runtime, max_connections
        self._expects_reports, self._close = expects_reports, close
        self._connections: dict[ConnectionT, None] = {}

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter(self._connections)

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be added."""
        return len(self._connections) >= self._max_connections

    def add(self, connection: ConnectionT) -> None:
        """Half-close a connection; its owner continues to read from it."""
        self._connections[connection] = None
        connection.stream.end_writing()
        self._close_later(connection)

    def discard(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended; no effect if it is not half-closed."""
        self._connections.pop(connection, None)

    def _close_later(self, connection: ConnectionT, is_overdue: bool = False) -> None:
        def close() -> None:
            if not connection.stream.open:
                return
            if self._expects_reports():
                self._runtime.counts["closes_unanswered"] += not is_overdue
                self._close_later(connection, is_overdue=True)
            elif not connection.has_read_all:
                # Danger: after a stall of this process, data that arrived in time is still unread and would be lost.
                self._close_later(connection, is_overdue)
            else:
                self._close(connection)

        self._runtime.hub.call_at(self._runtime.hub.now_us() + CLOSE_TIMEOUT_US, close)
