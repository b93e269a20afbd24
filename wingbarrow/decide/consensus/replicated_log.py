"""One voter's copy of the replicated log: append, conflict resolution, commit and compaction.

Every change of the persistent state is made here and returns the `Persist` effect that makes it durable.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from wingbarrow.decide.consensus.effects import Effects, EntriesCommitted, SnapshotRestored
from wingbarrow.decide.consensus.entries import LogEntry, Snapshot
from wingbarrow.decide.consensus.messages import AppendRequest, InstallSnapshot
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.effects import Persist

MAX_LOG_ENTRIES = 512  # applied entries beyond which the log should be compacted


@dataclass(frozen=True, slots=True)
class AppendResult:
    """The result of an AppendEntries; `ok` and `match` as in `AppendResponse`."""

    ok: bool
    match: int
    effects: Effects


class ReplicatedLog:
    """The log of one voter in any role. Committed entries are delivered at once, so the commit index is lastApplied."""

    def __init__(self, persistent: PersistentState) -> None:
        self.persistent = persistent
        self.commit_index = persistent.snapshot_index

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed."""
        return self.persistent.term_at(self.commit_index) == self.persistent.term

    @property
    def has_uncommitted_configuration(self) -> bool:
        """Whether a configuration change is not committed yet."""
        return self.persistent.has_configuration_after(self.commit_index)

    @property
    def should_compact(self) -> bool:
        """Whether the log holds more than `MAX_LOG_ENTRIES` applied entries."""
        return self.commit_index - self.persistent.snapshot_index > MAX_LOG_ENTRIES

    # -- Term and vote

    def begin_term(self, term: int, vote: str) -> Persist:
        """Start a later term, with a vote in it ("" for none)."""
        self.persistent.term = term
        return self.vote_for(vote)

    def vote_for(self, candidate: str) -> Persist:
        """Record a vote in the current term."""
        self.persistent.vote = candidate
        return Persist(self.persistent.term, candidate, None, (), None)

    # -- Entries

    def append(self, kind: str, body: str) -> Persist:
        """At the leader: append an entry of the current term."""
        self.persistent.log.append(LogEntry(self.persistent.term, kind, body))
        return self._persist_from(self.persistent.last_log_index)

    def append_from_leader(self, request: AppendRequest) -> AppendResult:
        """At a follower: AppendEntries (3.5)."""
        persistent = self.persistent
        if request.prev_index < persistent.snapshot_index:
            # All entries in the snapshot are committed, so the logs match up to its end.
            skipped = persistent.snapshot_index - request.prev_index
            request = replace(
                request, prev_index=persistent.snapshot_index, entries=request.entries[skipped:]
            )
        elif persistent.term_at(request.prev_index) != request.prev_term:
            retry_index = min(persistent.last_log_index, request.prev_index - 1)
            return AppendResult(False, retry_index, [])
        effects = self._append_new_entries(request)
        last_new_index = request.prev_index + len(request.entries)
        effects += self.commit(min(request.commit, last_new_index))
        return AppendResult(True, last_new_index, effects)

    def _append_new_entries(self, request: AppendRequest) -> Effects:
        """Append entries that are not in the log yet, replacing conflicting entries, which were never committed."""
        for offset, entry in enumerate(request.entries):
            index = request.prev_index + offset + 1
            if self.persistent.term_at(index) != entry.term:
                self.persistent.replace_from(index, request.entries[offset:])
                return [self._persist_from(index)]
        return []

    def commit(self, index: int) -> Effects:
        """Advance the commit index and return the newly committed entries; the commit index never decreases."""
        if index <= self.commit_index:
            return []
        first_index = self.commit_index + 1
        entries = self.persistent.entries_from(first_index)
        self.commit_index = index
        return [EntriesCommitted(first_index, entries[: index - first_index + 1])]

    # -- Snapshots (chapter 5)

    def compact(self, state: str) -> Effects:
        """Replace the applied entries by `state`, a snapshot of the state machine."""
        persistent = self.persistent
        index = self.commit_index
        if index <= persistent.snapshot_index:
            return []
        term = persistent.term_at(index) or 0
        snapshot = Snapshot(index, term, persistent.voters_at(index), state)
        persistent.replace_snapshot(snapshot, list(persistent.entries_from(index + 1)))
        return [self._persist_snapshot()]

    def install_snapshot(self, message: InstallSnapshot) -> Effects:
        """At a follower: install the leader's snapshot unless its last entry is committed here already.

        Entries after the snapshot are kept if the log holds its last entry with the same term.
        """
        if message.index <= self.commit_index:
            return []
        persistent = self.persistent
        is_in_log = persistent.term_at(message.index) == message.last_term
        log = list(persistent.entries_from(message.index + 1)) if is_in_log else []
        voters = tuple(message.voters.split())
        snapshot = Snapshot(message.index, message.last_term, voters, message.state)
        persistent.replace_snapshot(snapshot, log)
        self.commit_index = message.index
        return [self._persist_snapshot(), SnapshotRestored(message.index, message.state)]

    def _persist_from(self, first_index: int) -> Persist:
        """Persist the term, the vote and the log from `first_index` on."""
        persistent = self.persistent
        entries = persistent.entries_from(first_index)
        return Persist(persistent.term, persistent.vote, first_index, entries, None)

    def _persist_snapshot(self) -> Persist:
        """Persist the whole state, the snapshot included."""
        persistent = self.persistent
        return Persist(
            persistent.term,
            persistent.vote,
            persistent.snapshot_index + 1,
            tuple(persistent.log),
            persistent.snapshot,
        )
