"""An HTTP/1.1 server: one task per connection, answers in order of requests, a timeout on every wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from wingbarrow.http.message import BadMessage, Data, Limits, Request
from wingbarrow.http.parse import Parser
from wingbarrow.http.write import LAST_CHUNK, write_chunk, write_response
from wingbarrow.transport import CancelScope, Hub, Listener, PeerGone, Signal, Stream, listen

SECOND = 1_000_000


@dataclass(slots=True)
class Answer:
    """A handler's answer: a whole body, or a `stream` callback that writes the body in chunks."""

    status: int
    body: bytes = b""
    fields: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json"
    stream: Callable[[ChunkWriter], None] | None = None


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of a server; times in microseconds."""

    connections: int = 4096
    message: Limits = Limits()
    head_us: int = 10 * SECOND  # from the first byte of a request to the end of its body
    idle_us: int = 60 * SECOND
    write_us: int = 10 * SECOND  # for one write; a client that reads too slowly is disconnected


class Buffers(Protocol):
    """Bounds the bytes that are held for all connections together; `decide.buffer_budget` decides."""

    def on_read(self, holder: Connection, held_bytes: int) -> list[Connection]:
        """A connection's unfinished request holds `held_bytes`, 0 once it is whole; returns those to refuse."""

    def on_answer(self, holder: Connection, held_bytes: int) -> list[Connection]:
        """A connection's answer waits for its client; returns those whose answers to break off."""

    def on_answer_ended(self, holder: Connection) -> None:
        """A connection's answer was taken, or given up."""

    def on_closed(self, holder: Connection) -> None:
        """A connection has ended."""


class _Unbounded:
    """No bound on all connections together."""

    def on_read(self, holder: Connection, held_bytes: int) -> list[Connection]:
        return []

    def on_answer(self, holder: Connection, held_bytes: int) -> list[Connection]:
        return []

    def on_answer_ended(self, holder: Connection) -> None:
        pass

    def on_closed(self, holder: Connection) -> None:
        pass


class ChunkWriter:
    """Writes the body of a streamed answer in chunks."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def write(self, data: bytes) -> None:
        """Write a chunk; raises PeerGone when the client has closed or does not read it within `write_us`."""
        self._connection.send(write_chunk(data))

    @property
    def gone(self) -> bool:
        """Whether the client has closed the connection."""
        return self._connection.reader_gone()


class Connection:
    """One client's connection."""

    def __init__(self, server: Server, stream: Stream) -> None:
        self.server = server
        self.stream = stream
        self.parser = Parser(True, server.limits.message)
        self._body = bytearray()  # of the request that is being read
        self._reading: CancelScope | None = None
        self._writing: CancelScope | None = None
        self._is_over_budget = False
        # Lower bounds of the arrival times of the latest bytes fed, and of the current request's first byte.
        self._last_empty_us = 0
        self._request_arrival_us = 0

    def send(self, data: bytes) -> None:
        """Write all; resets the connection and raises PeerGone when that takes longer than `write_us`."""
        unsent = memoryview(data)[self.stream.send_now(data) :]
        if not unsent:
            return
        for connection in self.server.buffers.on_answer(self, len(data)):
            connection.break_off_answer()
        try:
            with self.server.hub.limit(self.server.limits.write_us) as self._writing:
                self.stream.send(unsent)
        finally:
            self.server.buffers.on_answer_ended(self)
        if self._writing.caught:
            self.server.slow_readers += 1
            self.stream.abort()
            raise PeerGone("the reader takes nothing")

    def reader_gone(self) -> bool:
        """Whether the connection is closed, or has unread input (taken for an end of stream) and the parser none."""
        return not self.stream.open or (not self.parser.buffered and not self.stream.is_quiet())

    def read(self) -> Request | None:
        """The next whole request; None when the connection has ended or is idle too long; raises BadMessage."""
        limits, hub = self.server.limits, self.server.hub
        if self.parser.idle:
            with hub.limit(limits.idle_us) as scope:
                if not self._receive():
                    return None
            if scope.caught:
                return None
        # Bytes already in the parser came with the latest read, which also held the end of the previous request.
        self._request_arrival_us = self._last_empty_us
        with hub.limit(limits.head_us) as self._reading:
            return self._read_request()
        self._check_budget()
        raise BadMessage(408, "the request took too long")

    def refuse_unfinished(self) -> None:
        """Refuse the request that is being read, to free the bytes that it holds."""
        if self._reading is not None and not self._is_over_budget:
            self._is_over_budget = True
            self.server.count_over_budget("an unfinished request")
            self._reading.cancel()

    def break_off_answer(self) -> None:
        """Reset the connection, whose client does not take its answer, to free the bytes that it holds."""
        if self._writing is not None:
            self.server.count_over_budget("an answer")
            self._writing.cancel()

    def _check_budget(self) -> None:
        if self._is_over_budget:
            self._body = bytearray()
            raise BadMessage(429, "too many unfinished requests, and this one holds the most bytes")

    def _receive(self) -> bool:
        data = self.stream.receive()
        if data:
            self._last_empty_us = self.stream.last_empty_us
            self.parser.feed(data)
        else:
            self.parser.feed_end()
        return bool(data)

    def _count_unfinished(self) -> None:
        """Count the bytes of the request so far, and refuse those requests that hold too many."""
        held_bytes = self.parser.buffered + len(self._body)
        for connection in self.server.buffers.on_read(self, held_bytes):
            connection.refuse_unfinished()
        self._check_budget()

    def _read_request(self) -> Request | None:
        request: Request | None = None
        self._body.clear()
        while True:
            event = self.parser.next()
            if event is None:
                if (
                    request is not None
                    and request.expects_continue
                    and not self._body
                    and not self.parser.buffered
                ):
                    self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                    request.expects_continue = False
                self._count_unfinished()
                if not self._receive() and self.parser.idle:
                    return None
            elif isinstance(event, Request):
                request = event
            elif isinstance(event, Data):
                self._body += event.data
            elif request is not None:
                request.body = bytes(self._body)
                self._body = bytearray()
                self.server.buffers.on_read(self, 0)
                return request

    def run(self) -> None:
        """Answer requests until the connection ends."""
        while True:
            try:
                request = self.read()
            except BadMessage as error:
                self.server.bad_messages += 1
                answer = self.server.refuse(error.status, str(error))
                self.send(write_response(answer.status, _fields(answer), answer.body, False))
                self._linger()
                return
            if request is None or not self.answer(request):
                return
            if self.parser.buffered:
                # Danger: a client that sends the next requests unasked would hold up all others.
                self.server.hub.checkpoint()

    def _linger(self) -> None:
        """Read and discard input for at most a second: closing with unread input would reset the answer in flight."""
        self.stream.end_writing()
        with self.server.hub.limit(SECOND):
            for _ in range(64):
                if not self.stream.receive():
                    return

    def answer(self, request: Request) -> bool:
        """Answer a request; returns whether the connection is kept."""
        request.connection = self
        request.earliest_arrival_us = self._request_arrival_us
        answer = self.server.handle(request)
        self.server.requests += 1
        head_only, keep = request.method == "HEAD", request.keep_alive and self.server.listening
        if answer.stream is None:
            self.send(write_response(answer.status, _fields(answer), answer.body, keep, head_only))
            return keep
        chunked = request.minor >= 1
        keep = keep and chunked
        self.send(
            write_response(answer.status, _fields(answer), None if chunked else b"", keep, True)
        )
        if not head_only:
            if not chunked:
                return False
            answer.stream(ChunkWriter(self))
            self.send(LAST_CHUNK)
        return keep


def _fields(answer: Answer) -> list[tuple[str, str]]:
    return [("Content-Type", answer.content_type), *answer.fields]


class Server:
    """Serves one listener with `handler`; an exception of the handler is answered with 500 and logged."""

    def __init__(
        self,
        hub: Hub,
        host: str,
        port: int,
        handler: Callable[[Request], Answer],
        log: Callable[[str], None],
        limits: ServerLimits = ServerLimits(),
        refuse: Callable[[int, str], Answer] | None = None,
        buffers: Buffers | None = None,
    ) -> None:
        self.hub = hub
        self.limits = limits
        self.buffers: Buffers = buffers or _Unbounded()
        self.over_budget = (
            0  # requests refused, and answers broken off, for the bytes that they held
        )
        self._handler = handler
        self._log = log
        self.refuse = refuse or _plain_text_answer
        self.listener: Listener = listen(hub, host, port, log)
        self.port: int = self.listener.port
        self.listening = True
        self.connections = 0
        self.requests = self.bad_messages = self.slow_readers = self.turned_away = 0
        self._logged: deque[str] = deque(maxlen=32)
        self._connection_closed = Signal(hub)

    def handle(self, request: Request) -> Answer:
        """The handler's answer, or 500 if it raises; an error text is not logged again while among the last 32."""
        try:
            return self._handler(request)
        except PeerGone:
            raise
        except Exception as error:
            where = f"{request.method} {request.target.partition('?')[0]}"
            self._log_once(f"a request handler failed: {where}: {type(error).__name__}: {error}")
            return self.refuse(500, "internal error")

    def count_over_budget(self, what: str) -> None:
        """Count, and log once, that `what` was given up, as the bytes held for clients exceed the budget."""
        self.over_budget += 1
        self._log_once(f"{what} was given up, as too many bytes are held for clients")

    def _log_once(self, text: str) -> None:
        if text not in self._logged:
            self._logged.append(text)
            self._log(text)

    def serve(self) -> None:
        """Accept until cancelled or closed."""
        self.listener.serve(self._connection)

    def _connection(self, stream: Stream) -> None:
        if self.connections >= self.limits.connections:
            self.turned_away += 1
            answer = self.refuse(503, "too many connections")
            fields = [*_fields(answer), ("Retry-After", "1")]
            with self.hub.limit(SECOND):
                stream.send(write_response(503, fields, answer.body, False))
            return
        self.connections += 1
        connection = Connection(self, stream)
        try:
            connection.run()
        finally:
            self.connections -= 1
            self.buffers.on_closed(connection)

    def close(self) -> None:
        """Stop accepting; open connections close after their current answer."""
        self.listening = False
        self.listener.close()


def _plain_text_answer(status: int, why: str) -> Answer:
    return Answer(status, why.encode(), content_type="text/plain")
