"""What the replicated log holds, and the snapshot that stands for its beginning (Ongaro 2014, figures 3.1 and 5.3)."""

from __future__ import annotations

from dataclasses import dataclass

VOTERS = "voters"  # kind of a configuration entry; its body names all voters, with spaces between
NO_OP = ""  # kind of the entry with which a leader begins its term


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry: `kind` and `body` are the state machine's own, but for `VOTERS` and `NO_OP`."""

    term: int
    kind: str
    body: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State machine and configuration as of the entry `index` of term `term`; that entry is included."""

    index: int
    term: int
    voters: tuple[str, ...]
    state: str


def voters_of(entry: LogEntry) -> tuple[str, ...]:
    """The configuration that a `VOTERS` entry brings."""
    return tuple(entry.body.split())
