"""Entries of the replicated log, and the snapshot of its compacted prefix (Ongaro 2014, figures 3.1 and 5.3)."""

from __future__ import annotations

from dataclasses import dataclass

VOTERS = "voters"  # kind of a configuration entry; its body lists all voters, separated by spaces
NO_OP = ""  # kind of the entry that a leader appends at the start of its term


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log entry; `kind` and `body` are defined by the state machine, except for `VOTERS` and `NO_OP`."""

    term: int
    kind: str
    body: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State machine and configuration up to and including the entry `index`, which is of term `term`."""

    index: int
    term: int
    voters: tuple[str, ...]
    state: str


def voters_of(entry: LogEntry) -> tuple[str, ...]:
    """The configuration in the body of a `VOTERS` entry."""
    return tuple(entry.body.split())
