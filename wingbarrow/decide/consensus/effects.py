"""What `Raft` asks of its host, in the order in which the host must do it: see `Raft`, "The host's duties"."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus.entries import LogEntry
from wingbarrow.decide.effects import Effect


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    """Entries to apply to the state machine: each index comes once, in order, beginning with `first_index`."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """Replace the state machine's state by that of a snapshot, which includes the entry `index`."""

    index: int
    state: str


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """A majority has answered this leader since `confirm_leadership` was called with `read_id` (ReadIndex, 6.4)."""

    read_id: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This voter was elected, or has stepped down."""

    is_leader: bool


Effects = list[
    Effect | EntriesCommitted | SnapshotRestored | LeadershipConfirmed | LeadershipChanged
]
