"""The platform's binary messages: codec and framer without I/O.

message   = length:2 type:1 task:8 parameters      length counts the bytes after it; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

MAX_BODY_BYTES = 16 * 1024  # of a message after its length field
MIN_BODY_BYTES = 9  # a type and a task
MAX_PARAMETERS = 64


class Kind(IntEnum):
    """Message types."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_HEARD = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53


class Code(IntEnum):
    """Parameter codes."""

    CLASS = 3
    PATIENCE = 6  # milliseconds
    RETRY = 12
    NAME = 15
    FIGURES = 18
    STAY_AWAY = 21  # milliseconds
    REMARK = 24
    REPORT = 30
    HINT = 33  # milliseconds
    LEVEL = 39
    CAUSE = 45  # one byte
    DESCRIPTION = 48


class Cause(IntEnum):
    """Causes of releases. A test and its result use 0 and 1 instead."""

    GIVEN_UP = 16  # of a set-up, abandoned by its sender
    OVER = 16  # of a placed task that has ended, sent by its machine
    CANCELLED = 31
    FULL = 34
    RESET = 41
    BUSY = 42  # refused by the placer; a retry is safe
    ERROR = 47
    MOOT = 102


_KINDS = frozenset(int(kind) for kind in Kind)


class BadMessage(Exception):
    """The bytes are not a valid message; nothing after them on the connection can be decoded."""


@dataclass(frozen=True, slots=True)
class Message:
    """One message: the task's id as on the wire, and parameter values as bytes by code."""

    kind: int
    task: int
    values: Mapping[int, bytes]

    def text(self, code: int) -> str | None:
        """A parameter as text; None if it is absent. Raises BadMessage if it is not UTF-8."""
        value = self.values.get(code)
        if value is None:
            return None
        try:
            return value.decode("utf-8")
        except UnicodeDecodeError:
            raise BadMessage(f"parameter {code} is not UTF-8 text") from None

    @property
    def cause(self) -> int:
        """The cause. Raises BadMessage if it is absent or not one byte long."""
        value = self.values.get(Code.CAUSE)
        if value is None or len(value) != 1:
            raise BadMessage("the cause parameter is absent or not one byte long")
        return value[0]


def encode(kind: int, task: int, values: Mapping[int, bytes]) -> bytes:
    """Encode a message. Raises ValueError if it would exceed MAX_BODY_BYTES."""
    body = b"".join(
        code.to_bytes(1, "big") + len(value).to_bytes(2, "big") + value
        for code, value in values.items()
    )
    if MIN_BODY_BYTES + len(body) > MAX_BODY_BYTES:
        raise ValueError(
            f"message has {MIN_BODY_BYTES + len(body)} bytes, at most {MAX_BODY_BYTES} are allowed"
        )
    return (
        (MIN_BODY_BYTES + len(body)).to_bytes(2, "big")
        + bytes((kind,))
        + task.to_bytes(8, "big")
        + body
    )


def with_cause(kind: int, task: int, cause: int, more: Mapping[int, bytes] | None = None) -> bytes:
    """Encode a message whose first parameter is its cause."""
    return encode(kind, task, {Code.CAUSE: bytes((cause,)), **(more or {})})


def decode(body: bytes) -> Message:
    """Decode a message from the bytes after its length field. Raises BadMessage with the reason if it is malformed."""
    if body[0] not in _KINDS:
        raise BadMessage(f"unknown message type {body[0]}")
    values: dict[int, bytes] = {}
    at, end = MIN_BODY_BYTES, len(body)
    while at < end:
        if end - at < 3:
            raise BadMessage(f"{end - at} bytes left for a parameter, at least 3 expected")
        code, length = body[at], int.from_bytes(body[at + 1 : at + 3], "big")
        at += 3
        if length > end - at:
            raise BadMessage(
                f"parameter {code} has {length} bytes, but {end - at} are left in the message"
            )
        if code in values or len(values) >= MAX_PARAMETERS:
            raise BadMessage(
                f"parameter {code} is a duplicate or exceeds {MAX_PARAMETERS} parameters"
            )
        values[code] = body[at : at + length]
        at += length
    return Message(body[0], int.from_bytes(body[1:9], "big"), values)


class Framer:
    """Splits one direction of a connection into messages: `feed` takes bytes, `next` returns a message or None.

    Buffers what `next` has not returned yet: at most one read and a partial message. After a BadMessage, every call of
    `next` raises it again.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._error: BadMessage | None = None

    @property
    def buffered(self) -> int:
        """Number of bytes fed and not yet returned."""
        return len(self._buffer)

    @property
    def ready(self) -> bool:
        """Whether `next` has a complete message or an error to report."""
        buffer = self._buffer
        return len(buffer) >= 2 and len(buffer) >= 2 + int.from_bytes(buffer[:2], "big")

    def feed(self, data: bytes) -> None:
        """Add received bytes; the caller first drains `next` before it reads more from the connection."""
        self._buffer += data

    def next(self) -> Message | None:
        """The next message, or None until more bytes are fed. Raises BadMessage on malformed data."""
        if self._error is not None:
            raise self._error
        buffer = self._buffer
        if len(buffer) < 2:
            return None
        length = int.from_bytes(buffer[:2], "big")
        try:
            # Danger: with an invalid length, the connection would wait for bytes that never arrive.
            if not MIN_BODY_BYTES <= length <= MAX_BODY_BYTES:
                raise BadMessage(
                    f"message length {length} is not from {MIN_BODY_BYTES} to {MAX_BODY_BYTES}"
                )
            if len(buffer) >= 3 and buffer[2] not in _KINDS:
                raise BadMessage(f"unknown message type {buffer[2]}")
            if len(buffer) < 2 + length:
                return None
            body = bytes(buffer[2 : 2 + length])
            del buffer[: 2 + length]
            return decode(body)
        except BadMessage as error:
            self._error = error
            self._buffer.clear()
            raise
