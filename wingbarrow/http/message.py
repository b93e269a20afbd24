"""HTTP/1.1 messages as values: heads, parts of bodies, limits, and the error for invalid ones (RFC 9110, 9112)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias


class BadMessage(Exception):
    """The peer violated the protocol; `status` is the server's answer before it closes the connection."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on one message: `fields` is a count, the others are bytes."""

    line: int = 8192
    head: int = 32768
    fields: int = 100
    body: int = 1 << 20


@dataclass(slots=True)
class Request:
    """The head of a request; field names are lower case, in order of arrival."""

    method: str
    target: str
    fields: list[tuple[str, str]]
    minor: int = 1
    keep_alive: bool = True
    expects_continue: bool = False
    body: bytes = b""
    connection: Any = None  # the server's connection that received it
    # Lower bound of the time at which its first byte arrived, on the hub's clock; 0 if unknown.
    earliest_arrival_us: int = 0

    def get(self, name: str) -> str | None:
        """The first value of a field, by lower-case name."""
        return next((value for key, value in self.fields if key == name), None)


@dataclass(slots=True)
class Response:
    """The head of a response; field names are lower case, in order of arrival."""

    status: int
    fields: list[tuple[str, str]] = field(default_factory=list)
    minor: int = 1
    keep_alive: bool = True
    body: bytes = b""
    # Lower bound of the time at which the end of its head arrived, on the hub's clock; 0 if unknown.
    earliest_arrival_us: int = 0

    def get(self, name: str) -> str | None:
        """The first value of a field, by lower-case name."""
        return next((value for key, value in self.fields if key == name), None)


@dataclass(frozen=True, slots=True)
class Data:
    """A part of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The end of a message."""


END = End()
Event: TypeAlias = Request | Response | Data | End
