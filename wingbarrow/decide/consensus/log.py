"""A voter's log and what is said about it: entries, messages, what is on disk, and what `raft` hands to its owner."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.effects import Effect, Persist

MAX_APPEND_CHARS = 256 * 1024  # of entries in one message
RECOVERY_TERM_GAP = 1_000_000  # for elections of voters that were lost
VOTERS = "voters"  # the kind of an entry that changes who votes


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One decision: `kind` and `body` are the replicated state's, but for VOTERS (names with spaces between)."""

    term: int
    kind: str
    body: str


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Elect me; `pre`: would you?"""

    term: int
    last_index: int
    last_term: int
    pre: bool


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Whether, in a term."""

    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after `prev_index`; none of them is a heartbeat. `round` counts what the leader sent."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Up to where the log is the leader's, or where to try next."""

    term: int
    ok: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """The state up to an index, in place of entries that are no longer kept."""

    term: int
    index: int
    last_term: int
    voters: str
    state: str
    round: int


Message = VoteRequest | VoteResponse | AppendRequest | AppendResponse | InstallSnapshot


@dataclass(slots=True)
class PersistentState:
    """What a voter has on disk: its term and vote, the log after `base`, and the state up to there."""

    snapshot_voters: tuple[str, ...]  # as of `base`
    term: int = 0
    vote: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: str = ""
    log: list[LogEntry] = field(default_factory=list)

    @property
    def last_log_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot_index + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not kept, or not there."""
        if index == self.snapshot_index:
            return self.snapshot_term
        return (
            self.log[index - self.snapshot_index - 1].term
            if self.snapshot_index < index <= self.last_log_index
            else None
        )

    def entries_after(self, index: int, most: int) -> tuple[LogEntry, ...]:
        """Some entries after an index; few where they are long, so that they fit a mail."""
        size = 0
        out: list[LogEntry] = []
        for entry in self.log[index - self.snapshot_index : index - self.snapshot_index + most]:
            size += len(entry.body)
            if out and size > MAX_APPEND_CHARS:
                break
            out.append(entry)
        return tuple(out)

    def persist(self, what: Persist) -> None:
        """Take what was asked to be on disk, as a store does it."""
        self.term, self.vote = what.term, what.vote
        if what.snapshot is not None:
            self.snapshot_index, self.snapshot_term, voters, self.snapshot_state = what.snapshot
            self.snapshot_voters, self.log = tuple(voters.split()), []
        if what.first_index is not None:
            self.log = self.log[: what.first_index - self.snapshot_index - 1] + list(what.entries)

    def latest_voters(self) -> tuple[str, ...]:
        """By the latest entry about it, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return tuple(entry.body.split())
        return self.snapshot_voters


def sole_voter_update(me: str, disk: PersistentState, kind: str) -> Persist:
    """What makes one voter the only one, whatever the others decided: for a majority that is lost for good.

    Danger: entries that were not decided may come to be, and those decided without this voter are gone. `kind` is of
    an entry that has the replicated state leave room for what it does not know of.
    """
    term = disk.term + RECOVERY_TERM_GAP
    return Persist(
        term,
        "",
        disk.last_log_index + 1,
        (LogEntry(term, VOTERS, me), LogEntry(term, kind, "{}")),
        None,
    )


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    """Entries, with the index of the first, that are decided: for the replicated state, once and in order."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """The replicated state begins anew from a snapshot."""

    index: int
    state: str


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """A majority followed this leader after the `confirm` of that number was asked for."""

    read_id: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This voter leads from now on; or does so no longer."""

    is_leader: bool


Effects = list[
    Effect | EntriesCommitted | SnapshotRestored | LeadershipConfirmed | LeadershipChanged
]
