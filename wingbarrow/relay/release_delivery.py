"""Delivery of releases and moves to owners, as `decide.release_notices` decides; this module only writes them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.connection_limits import ReleaseRoute, release_route
from wingbarrow.decide.release_notices import EndedNotice, NoticeEnd, ReleaseNotices
from wingbarrow.relay.message import Kind, encode, with_cause
from wingbarrow.relay.tasks import OwnerConnection
from wingbarrow.relay.trace import Trace

# The platform gives 8 s after a task's end where no release could be sent; the rest is for the last sweep.
RELEASE_TTL_US = 8_500_000
MAX_PENDING_RELEASES = 8192


class ReleaseDelivery:
    """Tells owners that tasks are over; `connections` returns all of theirs, the most recently active first."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        connections: Callable[[], Iterable[OwnerConnection]],
        trace: Trace,
    ) -> None:
        self._runtime, self._connections, self._trace = runtime, connections, trace
        self._notices = ReleaseNotices(RELEASE_TTL_US, MAX_PENDING_RELEASES)

    def release(self, ident: int, cause: int) -> None:
        """Send a RELEASE for a task that ran, on any owner's connection, now or when one is available."""
        self._send_or_defer(ident, with_cause(Kind.RELEASE, ident, cause))

    def move(self, ident: int) -> None:
        """Send a MOVE: the task was stopped and its owner is to submit it again."""
        self._send_or_defer(ident, encode(Kind.MOVE, ident, {}))

    def _send_or_defer(self, ident: int, data: bytes) -> None:
        now = self._runtime.hub.now_us()
        self._count_ended(self._notices.add(now, ident, data))
        self._write_waiting()
        if self._notices.is_waiting(ident):
            self._runtime.counts["releases_waited"] += 1
            self._trace(ident, "release pending")

    def on_acknowledged(self, connection: OwnerConnection, ident: int) -> None:
        """A client says that it has heard of the end of a task."""
        was_told = self._notices.on_acknowledged(connection.number, ident)
        self._trace(ident, "release heard", owner=connection.number, counts=was_told)

    def on_proven(self, connection: OwnerConnection) -> None:
        """A connection has been answered for a placed task, and so is an owner's."""
        self._notices.on_proven(connection.number)
        self._write_waiting()

    def on_disconnected(self, closed: OwnerConnection) -> None:
        """Write what `closed` did not acknowledge to other connections."""
        for notice in self._notices.on_closed(closed.number):
            self._runtime.counts["releases_again"] += 1
            self._trace(notice.ident, "release again", gone=closed.number)
        self._write_waiting()

    def send_pending(self) -> None:
        """Forget what is too old, and write what waits to connections that it was not written to."""
        self._count_ended(self._notices.expire(self._runtime.hub.now_us()))
        self._write_waiting()

    def _write_waiting(self) -> None:
        if not self._notices.are_waiting:
            return
        routes = self._routes()
        for route, connection in routes:
            if route.is_owner:
                self._tell(connection)
        for route, connection in routes:
            if not self._notices.are_waiting:
                return
            if not route.is_owner:
                self._write_unproven(connection)

    def _routes(self) -> list[tuple[ReleaseRoute, OwnerConnection]]:
        """The connections that can carry a release, the best first."""
        found = []
        for connection in self._connections():
            route = release_route(connection.activity, len(connection.tasks))
            if route is not None:
                found.append((route, connection))
        return sorted(found, key=lambda each: each[0])

    def _tell(self, connection: OwnerConnection) -> None:
        for notice in self._notices.unwritten(connection.number):
            if not connection.write(notice.data):
                return
            self._notices.on_told(connection.number, notice)
            self._trace(notice.ident, "release told", owner=connection.number)

    def _write_unproven(self, connection: OwnerConnection) -> None:
        for notice in self._notices.unwritten(connection.number):
            if not connection.write(notice.data):
                return
            self._notices.on_written(connection.number, notice)
            self._runtime.counts["releases_unproven"] += 1
            self._trace(notice.ident, "release told unproven", owner=connection.number)

    def _count_ended(self, ended: list[EndedNotice]) -> None:
        for notice in ended:
            self._runtime.counts["releases_" + notice.reason.value] += 1
            self._trace(notice.ident, "release " + notice.reason.value)
            if notice.reason is not NoticeEnd.UNACKNOWLEDGED:
                self._runtime.log(
                    "release-" + notice.reason.value,
                    level="warning",
                    task=f"{notice.ident:016x}",
                    sent=notice.written_to,
                )
