"""An HTTP/1.1 parser without I/O (RFC 9112), for servers and clients; strict wherever leniency is a security risk."""

from __future__ import annotations

import re
from enum import Enum, auto

from wingbarrow.http.message import END, BadMessage, Data, Event, Limits, Request, Response

_FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n"
)
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(\d)\.(\d)\r\n")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r\n")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_FRAMING_FIELDS = frozenset(("host", "content-length", "transfer-encoding", "connection", "expect"))
_FIELD_NAMES: dict[bytes, str] = {}
_MAX_FIELD_NAMES = 512
# Of a line of the chunked coding: a chunk size with its extensions, or a trailer field.
_MAX_LINE_BYTES = 1024


class _State(Enum):
    HEAD = auto()
    LENGTH = auto()  # a body of known length
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()  # the CRLF after a chunk
    TRAILERS = auto()
    UNTIL_CLOSE = auto()
    MESSAGE_END = auto()
    BROKEN = auto()


class Parser:
    """Parses one direction of a connection: requests if `requests`, else responses.

    `feed` adds bytes and `feed_end` the end of stream; `next` returns the next event, or None when it needs more
    bytes. After a BadMessage, every later `next` raises it again.
    """

    def __init__(self, requests: bool, limits: Limits = Limits()) -> None:
        self._requests = requests
        self._limits = limits
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._remaining = 0
        self._body_bytes = 0  # of this message so far, trailers included
        self._ended = False
        self._scanned_bytes = 0
        self._error: BadMessage | None = None
        self.no_body = False  # the next response answers HEAD (RFC 9112, 6.3)

    @property
    def idle(self) -> bool:
        """Whether the parser is between messages and has no byte of the next one."""
        return self._state is _State.HEAD and not self._buffer

    @property
    def buffered(self) -> int:
        """The number of bytes fed and not yet consumed by events."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add bytes. The caller bounds the buffer: it should not read more while `next` returns events."""
        self._buffer += data

    def feed_end(self) -> None:
        """Add the end of the stream."""
        self._ended = True

    def next(self) -> Event | None:
        """The next event, or None if it needs more bytes; raises BadMessage."""
        if self._error is not None:
            raise self._error
        try:
            event = self._next()
            if event is None and self._ended and not self.idle:
                raise BadMessage(400, "the stream ended inside a message")
            return event
        except BadMessage as error:
            self._error = error
            self._state = _State.BROKEN
            raise

    def _next(self) -> Event | None:
        buffer = self._buffer
        while True:
            state = self._state
            if state is _State.HEAD:
                return self._head()
            if state is _State.LENGTH or state is _State.CHUNK_DATA:
                if not buffer:
                    return None
                part = bytes(buffer[: self._remaining])
                del buffer[: self._remaining]
                self._remaining -= len(part)
                if not self._remaining:
                    self._state = _State.MESSAGE_END if state is _State.LENGTH else _State.CHUNK_END
                return Data(part)
            if state is _State.MESSAGE_END:
                self._state = _State.HEAD
                self._body_bytes = self._scanned_bytes = 0
                return END
            if state is _State.UNTIL_CLOSE:
                if buffer:
                    part = bytes(buffer)
                    buffer.clear()
                    self._count_body(len(part))
                    return Data(part)
                if not self._ended:
                    return None
                self._state = _State.MESSAGE_END
            elif state is _State.CHUNK_END:
                if len(buffer) < 2:
                    if buffer and buffer[0] != 13:
                        raise BadMessage(400, "no CRLF behind a chunk")
                    return None
                if buffer[:2] != b"\r\n":
                    raise BadMessage(400, "no CRLF behind a chunk")
                del buffer[:2]
                self._state = _State.CHUNK_SIZE
            elif state is _State.CHUNK_SIZE:
                line = self._line()
                if line is None:
                    return None
                match = _CHUNK_SIZE.fullmatch(line)
                if match is None:
                    raise BadMessage(400, "a bad chunk size")
                self._remaining = int(match[1], 16)
                self._count_body(self._remaining)
                self._state = _State.CHUNK_DATA if self._remaining else _State.TRAILERS
            else:  # TRAILERS: validated and discarded (RFC 9110, 6.5)
                line = self._line()
                if line is None:
                    return None
                self._body_bytes += len(line)
                if not line:
                    self._state = _State.MESSAGE_END
                elif not _FIELD.fullmatch(line + b"\r\n"):
                    raise BadMessage(400, "a bad trailer field")
                elif self._body_bytes > self._limits.body + self._limits.head:
                    raise BadMessage(431, "too many trailers")

    def _line(self) -> bytes | None:
        end = self._buffer.find(b"\n", 0, _MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= _MAX_LINE_BYTES:
                raise BadMessage(400, "a line of the chunked coding is too long")
            return None
        if end == 0 or self._buffer[end - 1] != 13:
            raise BadMessage(400, "a bare LF")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _count_body(self, more: int) -> None:
        self._body_bytes += more
        if self._body_bytes > self._limits.body:
            raise BadMessage(413, f"a body of more than {self._limits.body} bytes")

    def _head(self) -> Event | None:
        buffer, limits = self._buffer, self._limits
        while buffer.startswith(b"\r\n"):  # empty lines before a message (RFC 9112, 2.2)
            del buffer[:2]
            self._scanned_bytes = 0
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3), limits.head)
        if end < 0:
            self._scanned_bytes = len(buffer)
            if len(buffer) > limits.line and buffer.find(b"\r\n", 0, limits.line + 2) < 0:
                raise BadMessage(414 if self._requests else 400, "the first line is too long")
            if len(buffer) >= limits.head:
                raise BadMessage(431, f"a head of more than {limits.head} bytes")
            return None
        head = bytes(buffer[: end + 2])
        del buffer[: end + 4]
        self._scanned_bytes = 0
        match = (_REQUEST_LINE if self._requests else _STATUS_LINE).match(head)
        first = head.find(b"\r\n")
        if first > limits.line:
            raise BadMessage(414 if self._requests else 400, "the first line is too long")
        if match is None:
            raise BadMessage(400, "the first line is unreadable")
        fields: list[tuple[str, str]] = []
        framing: list[tuple[str, str]] = []  # fields that determine framing and persistence
        position, known_names = match.end(), _FIELD_NAMES
        for found in _FIELD.finditer(head, position):
            begin, end = found.span()
            if begin != position:
                break
            position = end
            raw, value = found.groups()
            name = known_names.get(raw) or _field_name(raw)
            entry = name, value.decode("latin-1")
            fields.append(entry)
            if name in _FRAMING_FIELDS:
                framing.append(entry)
        if len(fields) > limits.fields:
            raise BadMessage(431, f"more than {limits.fields} fields")
        if position != len(head):
            line = head[position : head.find(b"\r\n", position)]
            raise BadMessage(400, _describe_bad_field(line))
        if self._requests:
            return self._request(match, fields, framing)
        return self._response(match, fields, framing)

    def _framing(self, fields: list[tuple[str, str]]) -> tuple[int | None, bool, bool, str]:
        """Content-Length, whether the body is chunked, whether any transfer coding is given, Connection options."""
        length: int | None = None
        chunked = coded = False
        connection = ""
        for name, value in fields:
            if name == "content-length":
                for part in value.split(","):
                    digits = part.strip().encode("latin-1")
                    if not _DIGITS.fullmatch(digits):
                        raise BadMessage(400, "a bad Content-Length")
                    if length is not None and length != int(digits):
                        raise BadMessage(400, "differing Content-Lengths")
                    length = int(digits)
            elif name == "transfer-encoding":
                if chunked:
                    raise BadMessage(400, "a coding behind chunked")
                codings = [part.strip().lower() for part in value.split(",")]
                coded = True
                if codings[-1] == "chunked" and len(codings) == 1:
                    chunked = True
                else:
                    raise BadMessage(501, "a transfer coding other than chunked")
            elif name == "connection":
                connection += "," + value.lower()
        if coded and length is not None:
            raise BadMessage(400, "both Content-Length and Transfer-Encoding")
        return length, chunked, coded, connection

    def _request(
        self, match: re.Match[bytes], fields: list[tuple[str, str]], framing: list[tuple[str, str]]
    ) -> Request:
        if match[3] != b"1":
            raise BadMessage(505, "not HTTP/1.x")
        minor = int(match[4])
        hosts = sum([name == "host" for name, _ in framing])
        if hosts > 1 or (not hosts and minor >= 1):
            raise BadMessage(400, "exactly one Host field is needed")
        length, chunked, coded, connection = self._framing(framing)
        if coded and minor == 0:
            raise BadMessage(400, "Transfer-Encoding in HTTP/1.0")
        keep = _is_persistent(connection, minor)
        expects = False
        for name, value in framing:
            if name == "expect" and minor >= 1:
                if value.lower() != "100-continue":
                    raise BadMessage(417, "an unknown expectation")
                expects = True
        self._body(length, chunked)
        return Request(
            match[1].decode("ascii"),
            match[2].decode("ascii"),
            fields,
            minor,
            keep,
            expects and (chunked or bool(length)),
        )

    def _response(
        self, match: re.Match[bytes], fields: list[tuple[str, str]], framing: list[tuple[str, str]]
    ) -> Response:
        if match[1] != b"1":
            raise BadMessage(505, "not HTTP/1.x")
        status, minor = int(match[3]), int(match[2])
        length, chunked, _, connection = self._framing(framing)
        keep = _is_persistent(connection, minor)
        if status < 200 or status in (204, 304) or self.no_body:
            self._state = _State.MESSAGE_END
        elif length is None and not chunked:
            self._state, keep = _State.UNTIL_CLOSE, False
        else:
            self._body(length, chunked)
        return Response(status, fields, minor, keep)

    def _body(self, length: int | None, chunked: bool) -> None:
        if chunked:
            self._state = _State.CHUNK_SIZE
        elif length:
            self._remaining = length
            self._count_body(length)
            self._state = _State.LENGTH
        else:
            self._state = _State.MESSAGE_END


def _is_persistent(connection: str, minor: int) -> bool:
    if not connection:
        return minor >= 1
    options = [part.strip() for part in connection.split(",")]
    return "close" not in options and (minor >= 1 or "keep-alive" in options)


def _field_name(raw: bytes) -> str:
    """A field's name in lower case; names are cached, up to 512 of at most 64 bytes."""
    name = raw.decode("ascii").lower()
    if len(_FIELD_NAMES) < _MAX_FIELD_NAMES and len(raw) <= 64:
        _FIELD_NAMES[raw] = name
    return name


def _describe_bad_field(line: bytes) -> str:
    if line[:1] in (b" ", b"\t"):
        return "obsolete line folding"
    if b"\r" in line or b"\n" in line:
        return "a bare CR or LF"
    name = line.partition(b":")[0]
    if name != name.rstrip():
        return "white space before the colon"
    return "an unreadable field"
