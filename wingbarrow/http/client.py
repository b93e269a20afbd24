"""A connection pool for one address, with bounded connections and a timeout on every wait.

Errors tell whether the peer may have acted on the request: `NotSent` is raised only if no byte of it left this
process; every other failure is `MaybeDone`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from wingbarrow.http.message import BadMessage, Data, End, Limits, Response
from wingbarrow.http.parse import Parser
from wingbarrow.http.write import write_request
from wingbarrow.transport import Cancelled, CancelScope, Hub, PeerGone, Signal, Stream, connect

SECOND = 1_000_000


class FailureReason(Enum):
    """Why a call failed. Names are counted and reported; values are error texts."""

    REFUSED = "connection refused"
    NO_CONNECT = "no connection in time"
    NO_TURN = "no free connection in time"
    WITHDRAWN = "withdrawn before it was sent"
    RESET_BEFORE = "reset before any byte of the answer"
    RESET_AFTER = "reset inside the answer"
    SILENT = "no answer in time"
    GARBAGE = "the answer is not HTTP"


class CallFailed(Exception):
    """A call got no complete answer; `reason` is the cause."""

    def __init__(self, reason: FailureReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}{': ' + detail if detail else ''}")
        self.reason = reason


class NotSent(CallFailed):
    """No byte of the request left this process: the peer cannot have acted on it."""


class MaybeDone(CallFailed):
    """The peer may have acted on the request."""


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of a pool; times in microseconds. Where one is None, only `until_us` limits a request."""

    connections: int = 16
    waiting: int = 256
    connect_us: int | None = SECOND
    first_byte_us: int | None = 10 * SECOND
    max_idle: int | None = None  # connections kept open between requests; None: all
    idle_us: int = 30 * SECOND
    message: Limits = Limits(body=64 << 20)


class _Connection:
    """A connection of the pool, and its parser."""

    def __init__(self, stream: Stream, limits: Limits) -> None:
        self.stream = stream
        self.parser = Parser(False, limits)
        self.idle_since_us = 0


class Pool:
    """Connections to one address; `request` returns a whole answer, `stream` one whose body is read as it arrives."""

    def __init__(
        self,
        hub: Hub,
        host: str,
        port: int,
        limits: PoolLimits = PoolLimits(),
        user_agent: str = "wingbarrow",
    ) -> None:
        self.hub = hub
        self.host, self.port = host, port
        self.limits = limits
        self._user_agent = user_agent
        self._idle: deque[_Connection] = deque()
        self._open = 0
        self._waiting = 0
        self._in_progress: dict[_Connection, None] = {}  # in use by `request`
        self._freed = Signal(hub)

    def request(
        self,
        method: str,
        target: str,
        body: bytes | Callable[[], bytes] | None = None,
        fields: list[tuple[str, str]] | None = None,
        until_us: int | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Send a request and return its whole answer by `until_us` (hub's clock); raises NotSent or MaybeDone.

        `may_send` is called when a connection has been acquired, right before the first byte is sent; False
        raises NotSent. A callable `body` is called at that time too.
        """
        connection = self._acquire(until_us, may_send)
        self._in_progress[connection] = None
        kept = False
        try:
            response = self._exchange(connection, method, target, body, fields, until_us)
            parts: list[bytes] = []
            try:
                with self._deadline_scope(until_us) as scope:
                    for part in self._body(connection):
                        parts.append(part)
            except (PeerGone, BadMessage) as error:
                raise MaybeDone(FailureReason.RESET_AFTER, str(error)) from None
            if scope.caught:
                raise MaybeDone(FailureReason.SILENT)
            response.body = b"".join(parts)
            kept = response.keep_alive
            return response
        finally:
            del self._in_progress[connection]
            self._release(connection, kept)

    def has_unread(self, now_us: int, max_age_us: int) -> bool:
        """Whether input for a running `request` may have been unread for more than `max_age_us`."""
        return any(
            connection.stream.has_unread(now_us, max_age_us)
            for connection in self._in_progress
            if connection.stream.open
        )

    def stream(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]] | None = None,
        until_us: int | None = None,
        silence_us: int | None = None,
    ) -> tuple[Response, Iterator[bytes]]:
        """Send a request whose answer's body is read as it arrives; the iterator raises MaybeDone when it breaks.

        `until_us` bounds the wait for the head of the answer; `silence_us` ends the body when nothing arrives
        for so long. Closing the iterator closes the connection. Raises NotSent or MaybeDone.
        """
        connection = self._acquire(until_us, None)
        try:
            response = self._exchange(connection, method, target, None, fields, until_us)
        except BaseException:
            self._release(connection, False)
            raise
        return response, self._stream_body(connection, silence_us)

    def _stream_body(self, connection: _Connection, silence_us: int | None) -> Iterator[bytes]:
        try:
            body = self._body(connection)
            while True:
                part = None
                with self._deadline_scope(
                    None if silence_us is None else self.hub.now_us() + silence_us
                ) as scope:
                    part = next(body, None)
                if scope.caught:
                    raise MaybeDone(FailureReason.SILENT)
                if part is None:
                    return
                yield part
        except (PeerGone, BadMessage) as error:
            raise MaybeDone(FailureReason.RESET_AFTER, str(error)) from None
        finally:
            self._release(connection, False)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.popleft())

    def _deadline_scope(self, until_us: int | None) -> CancelScope:
        return CancelScope(self.hub, until_us)

    def _after(self, limit_us: int | None) -> int | None:
        return None if limit_us is None else self.hub.now_us() + limit_us

    def _first_byte_deadline_us(self, until_us: int | None) -> int | None:
        limit_us = self._after(self.limits.first_byte_us)
        if limit_us is None or until_us is None:
            return until_us if limit_us is None else limit_us
        return min(limit_us, until_us)

    def _discard(self, connection: _Connection) -> None:
        connection.stream.close()
        self._open -= 1
        self._freed.notify()

    def _release(self, connection: _Connection, keep: bool) -> None:
        if keep and connection.stream.open and connection.parser.idle:
            connection.idle_since_us = self.hub.now_us()
            self._idle.append(connection)
            if self.limits.max_idle is not None and len(self._idle) > self.limits.max_idle:
                self._discard(self._idle.popleft())
            self._freed.notify()
        else:
            self._discard(connection)

    def _acquire(self, until_us: int | None, may_send: Callable[[], bool] | None) -> _Connection:
        connection: _Connection | None = None
        with self._deadline_scope(until_us) as scope:
            connection = self._find_free()
        if connection is None:
            raise NotSent(FailureReason.NO_TURN)
        if scope.caught or (may_send is not None and not may_send()):
            self._release(connection, not scope.caught)
            raise NotSent(FailureReason.WITHDRAWN)
        return connection

    def _find_free(self) -> _Connection:
        while True:
            while self._idle:
                connection = self._idle.pop()
                # A connection that the peer has closed is detected here, before anything is sent.
                if (
                    self.hub.now_us() - connection.idle_since_us <= self.limits.idle_us
                    and connection.stream.is_quiet()
                ):
                    return connection
                self._discard(connection)
            if self._open < self.limits.connections:
                return self._connect()
            if self._waiting >= self.limits.waiting:
                raise NotSent(FailureReason.NO_TURN)
            self._waiting += 1
            try:
                self._freed.wait()
            finally:
                self._waiting -= 1

    def _connect(self) -> _Connection:
        self._open += 1
        stream: Stream | None = None
        try:
            with self._deadline_scope(self._after(self.limits.connect_us)) as scope:
                stream = connect(self.hub, self.host, self.port)
            if stream is None or scope.caught:
                raise NotSent(FailureReason.NO_CONNECT)
            return _Connection(stream, self.limits.message)
        except PeerGone as error:
            raise NotSent(FailureReason.REFUSED, str(error)) from None
        finally:
            if stream is None:
                self._open -= 1
                self._freed.notify()

    def _exchange(
        self,
        connection: _Connection,
        method: str,
        target: str,
        body: bytes | Callable[[], bytes] | None,
        fields: list[tuple[str, str]] | None,
        until_us: int | None,
    ) -> Response:
        data = write_request(
            method,
            target,
            f"{self.host}:{self.port}",
            [("User-Agent", self._user_agent), *(fields or [])],
            body() if callable(body) else body,
        )
        answer: Response | None = None
        received_any = False
        with self._deadline_scope(self._first_byte_deadline_us(until_us)) as scope:
            try:
                connection.stream.send(data)
            except PeerGone as error:
                if error.sent == 0:
                    raise NotSent(FailureReason.REFUSED, str(error)) from None
                raise MaybeDone(FailureReason.RESET_BEFORE, str(error)) from None
            connection.parser.no_body = method == "HEAD"
            try:
                while answer is None:
                    event = connection.parser.next()
                    if event is None:
                        part = connection.stream.receive()
                        received_any = received_any or bool(part)
                        if not part:
                            raise MaybeDone(
                                FailureReason.RESET_AFTER
                                if received_any
                                else FailureReason.RESET_BEFORE,
                                "end of stream",
                            )
                        connection.parser.feed(part)
                    elif isinstance(event, Response) and event.status >= 200:
                        answer = event
                        answer.earliest_arrival_us = connection.stream.last_empty_us
            except PeerGone as error:
                raise MaybeDone(
                    FailureReason.RESET_AFTER if received_any else FailureReason.RESET_BEFORE,
                    str(error),
                ) from None
            except BadMessage as error:
                raise MaybeDone(FailureReason.GARBAGE, str(error)) from None
        if answer is None or scope.caught:
            raise MaybeDone(FailureReason.SILENT)
        return answer

    def _body(self, connection: _Connection) -> Iterator[bytes]:
        while True:
            event = connection.parser.next()
            if event is None:
                part = connection.stream.receive()
                if part:
                    connection.parser.feed(part)
                else:
                    connection.parser.feed_end()
            elif isinstance(event, Data):
                yield event.data
            elif isinstance(event, End):
                return


__all__ = ["CallFailed", "Cancelled", "FailureReason", "MaybeDone", "NotSent", "Pool", "PoolLimits"]
