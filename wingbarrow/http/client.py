"""A client pool for one address: bounded connections, every wait bounded, and for each way to fail its meaning.

What matters to the caller is whether the peer may have acted: `NotSent` is raised only where no byte of the
request left this process; everything else that fails is `MaybeDone`.
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
    """How a call failed."""

    REFUSED = "connection refused"
    NO_CONNECT = "no connection in time"
    NO_TURN = "no free connection in time"
    WITHDRAWN = "withdrawn before it was sent"
    RESET_BEFORE = "reset before any byte of the answer"
    RESET_AFTER = "reset inside the answer"
    SILENT = "no answer in time"
    GARBAGE = "the answer is not HTTP"


class CallFailed(Exception):
    """A call has no answer."""

    def __init__(self, reason: FailureReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}{': ' + detail if detail else ''}")
        self.reason = reason


class NotSent(CallFailed):
    """No byte of the request left this process: the peer cannot have acted on it."""


class MaybeDone(CallFailed):
    """The peer may have acted on the request."""


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of a pool; times in microseconds."""

    connections: int = 16
    waiting: int = 256
    connect_us: int = SECOND
    first_byte_us: int = 10 * SECOND
    idle_us: int = 30 * SECOND
    message: Limits = Limits(body=64 << 20)


class _Line:
    """One connection and its parser."""

    def __init__(self, stream: Stream, limits: Limits) -> None:
        self.stream = stream
        self.parser = Parser(False, limits)
        self.since_us = 0


class Pool:
    """Connections to one address; `request` is a whole exchange, `stream` one whose answer goes on."""

    def __init__(
        self,
        hub: Hub,
        host: str,
        port: int,
        limits: PoolLimits = PoolLimits(),
        agent: str = "wingbarrow",
    ) -> None:
        self.hub = hub
        self.host, self.port = host, port
        self.limits = limits
        self._agent = agent
        self._idle: deque[_Line] = deque()
        self._open = 0
        self._waiting = 0
        self._asking: dict[_Line, None] = {}  # whose answer is being read whole
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
        """Exchange a request for its whole answer by `until_us`.

        `may_send` is asked once more when a connection is at hand, right before the first byte goes out; a
        body that is a call is made then.
        """
        line = self._take(until_us, may_send)
        self._asking[line] = None
        kept = False
        try:
            response = self._exchange(line, method, target, body, fields, until_us)
            parts: list[bytes] = []
            try:
                with self._until(until_us) as scope:
                    for part in self._body(line):
                        parts.append(part)
            except (PeerGone, BadMessage) as error:
                raise MaybeDone(FailureReason.RESET_AFTER, str(error)) from None
            if scope.caught:
                raise MaybeDone(FailureReason.SILENT)
            response.body = b"".join(parts)
            kept = response.keep_alive
            return response
        finally:
            del self._asking[line]
            self._give(line, kept)

    def has_unread(self, now_us: int, most_us: int) -> bool:
        """Whether part of an answer that `request` waits for may lie unread that came more than `most_us` ago."""
        return any(
            line.stream.has_unread(now_us, most_us) for line in self._asking if line.stream.open
        )

    def stream(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]] | None = None,
        until_us: int | None = None,
        silence_us: int | None = None,
    ) -> tuple[Response, Iterator[bytes]]:
        """Start an exchange whose body is read as it comes; the iterator raises MaybeDone when it breaks.

        `silence_us` ends it when no byte has come for so long. Closing the iterator closes the connection.
        """
        line = self._take(until_us, None)
        try:
            response = self._exchange(line, method, target, None, fields, until_us)
        except BaseException:
            self._give(line, False)
            raise
        return response, self._parts(line, silence_us)

    def _parts(self, line: _Line, silence_us: int | None) -> Iterator[bytes]:
        try:
            body = self._body(line)
            while True:
                part = None
                with self._until(
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
            self._give(line, False)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._drop(self._idle.popleft())

    def _until(self, until_us: int | None) -> CancelScope:
        return CancelScope(self.hub, until_us)

    def _drop(self, line: _Line) -> None:
        line.stream.close()
        self._open -= 1
        self._freed.notify()

    def _give(self, line: _Line, keep: bool) -> None:
        if keep and line.stream.open and line.parser.idle:
            line.since_us = self.hub.now_us()
            self._idle.append(line)
            self._freed.notify()
        else:
            self._drop(line)

    def _take(self, until_us: int | None, may_send: Callable[[], bool] | None) -> _Line:
        line: _Line | None = None
        with self._until(until_us) as scope:
            line = self._free()
        if line is None:
            raise NotSent(FailureReason.NO_TURN)
        if scope.caught or (may_send is not None and not may_send()):
            self._give(line, not scope.caught)
            raise NotSent(FailureReason.WITHDRAWN)
        return line

    def _free(self) -> _Line:
        while True:
            while self._idle:
                line = self._idle.pop()
                # A peer that closed in the meantime is found here, where nothing has been sent yet.
                if (
                    self.hub.now_us() - line.since_us <= self.limits.idle_us
                    and line.stream.is_quiet()
                ):
                    return line
                self._drop(line)
            if self._open < self.limits.connections:
                return self._connect()
            if self._waiting >= self.limits.waiting:
                raise NotSent(FailureReason.NO_TURN)
            self._waiting += 1
            try:
                self._freed.wait()
            finally:
                self._waiting -= 1

    def _connect(self) -> _Line:
        self._open += 1
        stream: Stream | None = None
        try:
            with self.hub.limit(self.limits.connect_us) as scope:
                stream = connect(self.hub, self.host, self.port)
            if stream is None or scope.caught:
                raise NotSent(FailureReason.NO_CONNECT)
            return _Line(stream, self.limits.message)
        except PeerGone as error:
            raise NotSent(FailureReason.REFUSED, str(error)) from None
        finally:
            if stream is None:
                self._open -= 1
                self._freed.notify()

    def _exchange(
        self,
        line: _Line,
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
            [("User-Agent", self._agent), *(fields or [])],
            body() if callable(body) else body,
        )
        answer: Response | None = None
        got_any = False
        limit = self.hub.now_us() + self.limits.first_byte_us
        with self._until(limit if until_us is None else min(limit, until_us)) as scope:
            try:
                line.stream.send(data)
            except PeerGone as error:
                if error.sent == 0:
                    raise NotSent(FailureReason.REFUSED, str(error)) from None
                raise MaybeDone(FailureReason.RESET_BEFORE, str(error)) from None
            line.parser.no_body = method == "HEAD"
            try:
                while answer is None:
                    event = line.parser.next()
                    if event is None:
                        part = line.stream.receive()
                        got_any = got_any or bool(part)
                        if not part:
                            raise MaybeDone(
                                FailureReason.RESET_AFTER
                                if got_any
                                else FailureReason.RESET_BEFORE,
                                "end of stream",
                            )
                        line.parser.feed(part)
                    elif isinstance(event, Response) and event.status >= 200:
                        answer = event
            except PeerGone as error:
                raise MaybeDone(
                    FailureReason.RESET_AFTER if got_any else FailureReason.RESET_BEFORE, str(error)
                ) from None
            except BadMessage as error:
                raise MaybeDone(FailureReason.GARBAGE, str(error)) from None
        if answer is None or scope.caught:
            raise MaybeDone(FailureReason.SILENT)
        return answer

    def _body(self, line: _Line) -> Iterator[bytes]:
        while True:
            event = line.parser.next()
            if event is None:
                part = line.stream.receive()
                if part:
                    line.parser.feed(part)
                else:
                    line.parser.feed_end()
            elif isinstance(event, Data):
                yield event.data
            elif isinstance(event, End):
                return


__all__ = ["CallFailed", "Cancelled", "FailureReason", "MaybeDone", "NotSent", "Pool", "PoolLimits"]
