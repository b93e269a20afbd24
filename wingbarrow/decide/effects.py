"""Effects that the state machines between placers request from their host, which applies a list of them in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wingbarrow.decide.consensus.entries import LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another placer, at most once: it may be lost, delayed or duplicated.

    `ident` is the receiver's name, "" where only its address is known; `address` is "" where the host must resolve it.
    """

    ident: str
    address: str
    message: (
        Any  # one of `wingbarrow.peers.message.KINDS`; each package defines its own union of them
    )


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `on_timer(now_us, key)` at `at_us` of the host's clock, or later; setting a key again reschedules it."""

    key: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Notify:
    """An event for the placer's other components, its log and its history; `event` determines the keys of `fields`."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Persist:
    """Write a voter's state to disk, durably, before any later effect of the list is carried out.

    `entries` replace the log from `first_index` on (None: the log is unchanged). `snapshot` replaces the previous one
    and all entries up to its index (None: unchanged).
    """

    term: int
    vote: str
    first_index: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


Effect = Send | SetTimer | Notify | Persist
