"""What the state machines among placers ask of their host. A host carries out a list of effects in its order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wingbarrow.decide.consensus.entries import LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another placer, at most once: it may be lost, delayed or duplicated.

    `ident` is the receiver's name, "" where only its address is known; `address` is "" where the host is to look it up.
    """

    ident: str
    address: str
    message: Any  # one of `wingbarrow.peers.message.KINDS`: each package has a union of its own


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `on_timer(now_us, key)` at `at_us` of the host's clock, or later; a key that is set again is moved."""

    key: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Notify:
    """An event for the placer's other components, its log and its history; `fields` by the event's name."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Persist:
    """Write a voter's state to disk, durably, before any later effect of the list is carried out.

    `entries` replace the log from `first_index` on (None: the log is unchanged). `snapshot` replaces the one before,
    and all entries up to its index with it (None: unchanged).
    """

    term: int
    vote: str
    first_index: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


Effect = Send | SetTimer | Notify | Persist
