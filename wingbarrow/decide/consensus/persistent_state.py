"""A voter's persistent state (Ongaro 2014, figure 3.1): current term, vote, log, and the snapshot before the log.

Indexes are those of the whole log, from 1 on; the first entry kept is the one after `snapshot_index`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.consensus.entries import VOTERS, LogEntry, Snapshot, voters_of
from wingbarrow.decide.effects import Persist

MAX_APPEND_CHARS = 256 * 1024  # total length of the entry bodies in one message
RECOVERY_TERM_GAP = 1_000_000  # terms skipped, as the lost voters may have held elections


@dataclass(slots=True)
class PersistentState:
    """The term and vote, the snapshot up to `snapshot_index`, and all log entries after it."""

    snapshot_voters: tuple[str, ...]
    term: int = 0
    vote: str = ""  # votedFor in `term`; "" for none
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: str = ""
    log: list[LogEntry] = field(default_factory=list)

    @property
    def last_log_index(self) -> int:
        """The index of the last entry, or of the snapshot if the log is empty."""
        return self.snapshot_index + len(self.log)

    @property
    def last_log_term(self) -> int:
        """The term of the last entry, or of the snapshot if the log is empty."""
        return self.term_at(self.last_log_index) or 0

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot before the log."""
        return Snapshot(
            self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot_state
        )

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if it was compacted away or does not exist."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_log_index:
            return self.log[index - self.snapshot_index - 1].term
        return None

    def entries_from(self, first_index: int) -> tuple[LogEntry, ...]:
        """All entries from `first_index` on."""
        return tuple(self.log[first_index - self.snapshot_index - 1 :])

    def next_entries(self, prev_index: int, max_entries: int) -> tuple[LogEntry, ...]:
        """Entries after `prev_index` for one message: one if any, and more while they fit in `MAX_APPEND_CHARS`."""
        size = 0
        entries: list[LogEntry] = []
        offset = prev_index - self.snapshot_index
        for entry in self.log[offset : offset + max_entries]:
            size += len(entry.body)
            if entries and size > MAX_APPEND_CHARS:
                break
            entries.append(entry)
        return tuple(entries)

    def replace_from(self, first_index: int, entries: tuple[LogEntry, ...]) -> None:
        """Replace all entries from `first_index` on."""
        self.log = self.log[: first_index - self.snapshot_index - 1] + list(entries)

    def replace_snapshot(self, snapshot: Snapshot, log: list[LogEntry]) -> None:
        """Replace the snapshot, and the log by the entries that follow it."""
        self.snapshot_index = snapshot.index
        self.snapshot_term = snapshot.term
        self.snapshot_voters = snapshot.voters
        self.snapshot_state = snapshot.state
        self.log = log

    def persist(self, update: Persist) -> None:
        """Apply an update as a store does, for hosts that keep a voter's state in memory."""
        self.term = update.term
        self.vote = update.vote
        if update.snapshot is not None:
            self.replace_snapshot(update.snapshot, [])
        if update.first_index is not None:
            self.replace_from(update.first_index, update.entries)

    def latest_voters(self) -> tuple[str, ...]:
        """The configuration in effect: the latest in the log, committed or not (4.1)."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return voters_of(entry)
        return self.snapshot_voters

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The configuration as of the entry `index`."""
        for entry in reversed(self.log[: index - self.snapshot_index]):
            if entry.kind == VOTERS:
                return voters_of(entry)
        return self.snapshot_voters

    def has_configuration_after(self, index: int) -> bool:
        """Whether the log contains a configuration entry after `index`."""
        return any(entry.kind == VOTERS for entry in self.log[index - self.snapshot_index :])


def sole_voter_update(name: str, persistent: PersistentState, recovery_kind: str) -> Persist:
    """The update that makes `name` the only voter, for recovery after a majority was lost permanently.

    Danger: uncommitted entries may become committed, and entries that were committed without this voter are lost. An
    entry of `recovery_kind` follows the configuration entry, so that the state machine can account for missing entries.
    """
    term = persistent.term + RECOVERY_TERM_GAP
    entries = (LogEntry(term, VOTERS, name), LogEntry(term, recovery_kind, "{}"))
    return Persist(term, "", persistent.last_log_index + 1, entries, None)
