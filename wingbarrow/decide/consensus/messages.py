"""What voters send each other: the calls of the Raft paper as messages without a reply channel.

The fields' names are those on the wire (`wingbarrow.peers.message`); the paper's stand beside them where they differ.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus.entries import LogEntry


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """RequestVote (3.4); with `pre` a pre-vote (9.6), for the term that its sender would begin."""

    term: int
    last_index: int  # lastLogIndex
    last_term: int  # lastLogTerm
    pre: bool


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answer to `VoteRequest`; `term` is the requested one where a pre-vote is granted."""

    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """AppendEntries (3.5): entries after `prev_index`; without entries a heartbeat.

    `round` numbers the leader's broadcasts and is echoed: it tells which of them a follower has answered.
    """

    term: int
    prev_index: int  # prevLogIndex
    prev_term: int  # prevLogTerm
    entries: tuple[LogEntry, ...]
    commit: int  # leaderCommit
    round: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answer to `AppendRequest` and `InstallSnapshot`.

    `match`: where `ok`, the last index up to which the logs agree; else the index to try next.
    """

    term: int
    ok: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """InstallSnapshot (chapter 5), in one piece, for a follower that lacks entries which were compacted away."""

    term: int
    index: int  # lastIncludedIndex
    last_term: int  # lastIncludedTerm
    voters: str  # names with spaces between
    state: str
    round: int


Message = VoteRequest | VoteResponse | AppendRequest | AppendResponse | InstallSnapshot
