"""Effects that `Raft` returns to its host, which carries them out in order: see `Raft`, "The host's duties"."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus.entries import LogEntry
from wingbarrow.decide.effects import Effect


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    """Apply committed entries to the state machine; each index is delivered once, in order, from `first_index` on."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """Replace the state machine's state by that of a snapshot, which covers all entries up to and including `index`."""

    index: int
    state: str


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """A majority has responded to this leader since `confirm_leadership` was called with `read_id` (ReadIndex, 6.4)."""

    read_id: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This voter was elected leader, or has stepped down."""

    is_leader: bool


Effects = list[
    Effect | EntriesCommitted | SnapshotRestored | LeadershipConfirmed | LeadershipChanged
]
