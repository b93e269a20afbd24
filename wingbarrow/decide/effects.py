"""What a state machine among placers asks of its host, in the order in which it is to happen."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Send:
    """Give a message to another placer, at most once: it may be lost, late or doubled.

    `ident` may be empty where only an address is known.
    """

    ident: str
    address: str
    message: Any


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `on_timer(now, key)` at a time of the host's clock, or later; a key set again takes the new time."""

    key: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Notify:
    """Something that the placer's other components, its log and its history are to hear; `what` names it."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Persist:
    """Have this on disk before anything that follows in the list is done.

    `entries` replace the log from index `first` on (None: the log stays); `snapshot` is base, its term, voters, state.
    """

    term: int
    vote: str
    first_index: int | None
    entries: tuple[Any, ...]
    snapshot: tuple[int, int, str, str] | None


Effect = Send | SetTimer | Notify | Persist
