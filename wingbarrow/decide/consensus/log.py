"""A voter's persistent state (Ongaro 2014, figure 3.1): current term, vote, log, and the snapshot before the log."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.consensus.entries import VOTERS, LogEntry, Snapshot, voters_of
from wingbarrow.decide.effects import Persist

MAX_APPEND_CHARS = 256 * 1024  # of the entries' bodies in one message
RECOVERY_TERM_GAP = 1_000_000  # left for elections among voters that were lost


@dataclass(slots=True)
class PersistentState:
    """Term and vote, the snapshot up to `snapshot_index`, and the log of all entries after it."""

    snapshot_voters: tuple[str, ...]
    term: int = 0
    vote: str = ""  # votedFor in `term`; "" for nobody
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: str = ""
    log: list[LogEntry] = field(default_factory=list)

    @property
    def last_log_index(self) -> int:
        """The index of the last entry; that of the snapshot where the log is empty."""
        return self.snapshot_index + len(self.log)

    @property
    def last_log_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_log_index) or 0

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot before the log."""
        return Snapshot(
            self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot_state
        )

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it was compacted away, or does not exist."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_log_index:
            return self.log[index - self.snapshot_index - 1].term
        return None

    def entries_from(self, first_index: int) -> tuple[LogEntry, ...]:
        """All entries of the log from an index on."""
        return tuple(self.log[first_index - self.snapshot_index - 1 :])

    def next_entries(self, prev_index: int, max_entries: int) -> tuple[LogEntry, ...]:
        """Entries after an index for one message: at least one, and no more than `MAX_APPEND_CHARS` with the others."""
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
        """Put entries in place of all that the log holds from an index on."""
        self.log = self.log[: first_index - self.snapshot_index - 1] + list(entries)

    def replace_snapshot(self, snapshot: Snapshot, log: list[LogEntry]) -> None:
        """Take a snapshot in place of the one before, with the log that follows it."""
        self.snapshot_index = snapshot.index
        self.snapshot_term = snapshot.term
        self.snapshot_voters = snapshot.voters
        self.snapshot_state = snapshot.state
        self.log = log

    def persist(self, update: Persist) -> None:
        """Apply an update as a store does: for hosts that keep a voter's state in memory."""
        self.term = update.term
        self.vote = update.vote
        if update.snapshot is not None:
            self.replace_snapshot(update.snapshot, [])
        if update.first_index is not None:
            self.replace_from(update.first_index, update.entries)

    def latest_voters(self) -> tuple[str, ...]:
        """The configuration in force: a voter uses the latest in its log, committed or not (4.1)."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return voters_of(entry)
        return self.snapshot_voters

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The configuration as of an entry of the log."""
        for entry in reversed(self.log[: index - self.snapshot_index]):
            if entry.kind == VOTERS:
                return voters_of(entry)
        return self.snapshot_voters

    def has_configuration_after(self, index: int) -> bool:
        """Whether the log changes the configuration after an index."""
        return any(entry.kind == VOTERS for entry in self.log[index - self.snapshot_index :])


def sole_voter_update(name: str, persistent: PersistentState, recovery_kind: str) -> Persist:
    """The update that makes one voter the only one, for a majority that is lost for good.

    Danger: entries that were not committed may become so, and entries that were committed without this voter are gone.
    An entry of `recovery_kind` follows the configuration, so that the state machine can allow for what it cannot know.
    """
    term = persistent.term + RECOVERY_TERM_GAP
    entries = (LogEntry(term, VOTERS, name), LogEntry(term, recovery_kind, "{}"))
    return Persist(term, "", persistent.last_log_index + 1, entries, None)
