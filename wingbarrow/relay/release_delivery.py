"""Delivery of releases and moves to owners: on any of their connections, until they are acknowledged or too old.

A message goes out on one proven connection. While there is none, it is sent on unproven ones, one after the other, and
remains pending until it is acknowledged or a proven connection takes it. Owners ignore duplicates.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.connection_limits import ReleaseRoute, release_route
from wingbarrow.relay.message import Kind, encode, with_cause
from wingbarrow.relay.tasks import OwnerConnection
from wingbarrow.relay.trace import Trace

# A message is resent if its connection ends within this time after sending without an acknowledgement.
ACK_TIMEOUT_US = 2_000_000
RELEASE_TTL_US = (
    8_500_000  # a message that waits for a proven connection is dropped after this time
)
MAX_PENDING_RELEASES = 8192  # waiting for a connection; unacknowledged ones are bounded alike
MAX_UNPROVEN_SENDS = 16  # of one message, each on another connection


@dataclass(slots=True)
class _Pending:
    """A message that no proven connection has taken, and the unproven connections that it was sent on."""

    data: bytes
    until_us: int
    sent_on: list[int] = field(default_factory=list)  # numbers of connections


@dataclass(slots=True)
class _Unacknowledged:
    """A message sent on a proven connection; it is resent if that ends before `until_us`."""

    data: bytes
    connection: OwnerConnection
    until_us: int


@dataclass(slots=True)
class _Routes:
    """The connections that can carry releases, the best first."""

    proven: list[OwnerConnection]
    unproven: list[OwnerConnection]


class ReleaseDelivery:
    """Tells owners that tasks are over; `connections` returns all of theirs, the most recently active first."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        connections: Callable[[], Iterable[OwnerConnection]],
        trace: Trace,
    ) -> None:
        self._runtime, self._connections, self._trace = runtime, connections, trace
        self._pending: OrderedDict[int, _Pending] = OrderedDict()  # by task id
        self._unacknowledged: OrderedDict[int, _Unacknowledged] = OrderedDict()  # by task id

    def release(self, ident: int, cause: int) -> None:
        """Send a RELEASE for a task that ran, on any owner's connection, now or when one is available."""
        self._send_or_defer(ident, with_cause(Kind.RELEASE, ident, cause))

    def move(self, ident: int) -> None:
        """Send a MOVE: the task was stopped and its owner is to submit it again."""
        self._send_or_defer(ident, encode(Kind.MOVE, ident, {}))

    def on_acknowledged(self, connection: OwnerConnection, ident: int) -> None:
        """An owner has received the release of a task."""
        self._unacknowledged.pop(ident, None)
        pending = self._pending.get(ident)
        # Danger: a client may acknowledge what it was not sent, and the owner would not be told.
        if pending is not None and connection.number in pending.sent_on:
            del self._pending[ident]
        self._trace(ident, "release heard", owner=connection.number)

    def on_disconnected(self, closed: OwnerConnection) -> None:
        """Resend what `closed` did not acknowledge on another connection."""
        self._forget_expired()
        if not closed.activity.proven:
            return
        lost = [ident for ident, sent in self._unacknowledged.items() if sent.connection is closed]
        for ident in lost:
            sent = self._unacknowledged.pop(ident)
            self._runtime.counts["releases_again"] += 1
            self._trace(ident, "release again", gone=closed.number)
            self._send_or_defer(ident, sent.data, sent.until_us)

    def _forget_expired(self) -> None:
        now = self._runtime.hub.now_us()
        while self._unacknowledged and next(iter(self._unacknowledged.values())).until_us <= now:
            self._unacknowledged.popitem(last=False)

    def send_pending(self) -> None:
        """Send what waits for a connection, and drop what has waited for too long."""
        if not self._pending:
            return
        now, routes = self._runtime.hub.now_us(), self._routes()
        for ident, pending in list(self._pending.items()):
            if now >= pending.until_us:
                self._expire(ident)
            elif self._send_on_proven(ident, pending.data, routes, sent_on=pending.sent_on):
                del self._pending[ident]
            else:
                self._send_on_unproven(ident, pending, routes)

    def _expire(self, ident: int) -> None:
        sent_on = self._pending.pop(ident).sent_on
        self._runtime.counts["releases_expired"] += 1
        self._runtime.log(
            "release-expired", level="warning", task=f"{ident:016x}", sent=len(sent_on)
        )
        self._trace(ident, "release expired")

    def _routes(self) -> _Routes:
        ranked: list[tuple[ReleaseRoute, OwnerConnection]] = []
        for connection in self._connections():
            route = release_route(connection.activity, len(connection.tasks))
            if route is not None:
                ranked.append((route, connection))
        ranked.sort(key=lambda each: each[0])
        return _Routes(
            [connection for route, connection in ranked if route.is_proven],
            [connection for route, connection in ranked if not route.is_proven],
        )

    def _send_or_defer(self, ident: int, data: bytes, until_us: int | None = None) -> None:
        routes = self._routes()
        if not self._send_on_proven(ident, data, routes, until_us):
            self._send_on_unproven(ident, self._defer(ident, data), routes)

    def _defer(self, ident: int, data: bytes) -> _Pending:
        if len(self._pending) >= MAX_PENDING_RELEASES:
            lost, _ = self._pending.popitem(last=False)
            self._trace(lost, "release dropped")
            self._runtime.counts["releases_dropped"] += 1
        pending = _Pending(data, self._runtime.hub.now_us() + RELEASE_TTL_US)
        self._pending[ident] = pending
        self._runtime.counts["releases_waited"] += 1
        self._trace(ident, "release pending")
        return pending

    def _send_on_proven(
        self,
        ident: int,
        data: bytes,
        routes: _Routes,
        until_us: int | None = None,
        sent_on: Iterable[int] = (),
    ) -> bool:
        """Send a message on a proven connection, unless it was `sent_on` there; False if there is none.

        It is resent if that connection ends before an acknowledgement, until `until_us` or for ACK_TIMEOUT_US.
        """
        taker = next(
            (each for each in routes.proven if each.number in sent_on or each.write(data)), None
        )
        if taker is None:
            return False
        self._trace(ident, "release told", owner=taker.number)
        until_us = until_us or self._runtime.hub.now_us() + ACK_TIMEOUT_US
        self._unacknowledged[ident] = _Unacknowledged(data, taker, until_us)
        if len(self._unacknowledged) > MAX_PENDING_RELEASES:
            self._unacknowledged.popitem(last=False)
        return True

    def _send_on_unproven(self, ident: int, pending: _Pending, routes: _Routes) -> None:
        """Send a message on the best unproven connection that it was not sent on, if any."""
        if len(pending.sent_on) >= MAX_UNPROVEN_SENDS:
            return
        for connection in routes.unproven:
            if connection.number not in pending.sent_on and connection.write(pending.data):
                pending.sent_on.append(connection.number)
                self._runtime.counts["releases_unproven"] += 1
                self._trace(ident, "release told unproven", owner=connection.number)
                return
