"""Messages between voters: the RPCs of the Raft paper, with requests and responses as separate messages.

Field names are those on the wire (`wingbarrow.peers.message`); comments give the paper's names where they differ.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus.entries import LogEntry


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """RequestVote (3.4); with `pre` a pre-vote request (9.6) for the term that its sender would start."""

    term: int
    last_index: int  # lastLogIndex
    last_term: int  # lastLogTerm
    pre: bool


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Response to `VoteRequest`; `term` is the requested one if a pre-vote is granted, else the voter's current one."""

    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """AppendEntries (3.5): the entries after `prev_index`; a heartbeat if there are none.

    `round` is the number of the leader's broadcast; the response echoes it, so that the leader can match the two.
    """

    term: int
    prev_index: int  # prevLogIndex
    prev_term: int  # prevLogTerm
    entries: tuple[LogEntry, ...]
    commit: int  # leaderCommit
    round: int


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Response to `AppendRequest` and `InstallSnapshot`.

    `match` is the last index up to which the logs match if `ok`, else the index to try next.
    """

    term: int
    ok: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """InstallSnapshot (chapter 5), unchunked, for a follower that lacks entries which the leader compacted away."""

    term: int
    index: int  # lastIncludedIndex
    last_term: int  # lastIncludedTerm
    voters: str  # names, separated by spaces
    state: str
    round: int


Message = VoteRequest | VoteResponse | AppendRequest | AppendResponse | InstallSnapshot
