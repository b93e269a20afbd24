"""A voter's log and what is said about it: entries, messages, what is on disk, and what `raft` hands to its owner."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.effects import Effect, Persist

APPEND_CHARS = 256 * 1024  # of entries in one message
TERMS_LEFT = 1_000_000  # for elections of voters that were lost
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

    voters: tuple[str, ...]  # as of `base`
    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    state: str = ""
    log: list[LogEntry] = field(default_factory=list)

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.base + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not kept, or not there."""
        if index == self.base:
            return self.base_term
        return self.log[index - self.base - 1].term if self.base < index <= self.last else None

    def after(self, index: int, most: int) -> tuple[LogEntry, ...]:
        """Some entries after an index; few where they are long, so that they fit a mail."""
        size = 0
        out: list[LogEntry] = []
        for entry in self.log[index - self.base : index - self.base + most]:
            size += len(entry.body)
            if out and size > APPEND_CHARS:
                break
            out.append(entry)
        return tuple(out)

    def keep(self, what: Persist) -> None:
        """Take what was asked to be on disk, as a store does it."""
        self.term, self.vote = what.term, what.vote
        if what.snapshot is not None:
            self.base, self.base_term, voters, self.state = what.snapshot
            self.voters, self.log = tuple(voters.split()), []
        if what.first is not None:
            self.log = self.log[: what.first - self.base - 1] + list(what.entries)

    def voters_now(self) -> tuple[str, ...]:
        """By the latest entry about it, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return tuple(entry.body.split())
        return self.voters


def alone(me: str, disk: PersistentState, kind: str) -> Persist:
    """What makes one voter the only one, whatever the others decided: for a majority that is lost for good.

    Danger: entries that were not decided may come to be, and those decided without this voter are gone. `kind` is of
    an entry that has the replicated state leave room for what it does not know of.
    """
    term = disk.term + TERMS_LEFT
    return Persist(
        term, "", disk.last + 1, (LogEntry(term, VOTERS, me), LogEntry(term, kind, "{}")), None
    )


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    """Entries, with the index of the first, that are decided: for the replicated state, once and in order."""

    first: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """The replicated state begins anew from a snapshot."""

    index: int
    state: str


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """A majority followed this leader after the `confirm` of that number was asked for."""

    number: int


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This voter leads from now on; or does so no longer."""

    on: bool


Effects = list[
    Effect | EntriesCommitted | SnapshotRestored | LeadershipConfirmed | LeadershipChanged
]
