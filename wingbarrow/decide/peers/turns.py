"""Turns: which machine may be worked on, and when. The replicated queue, its leader's part, and a placer's side.

    asked -> queued -> closing -> empty -> out -> back -> done; from any before `out`, and from `out` by its worker's
    or an operator's word, -> given back
"""

from __future__ import annotations

from dataclasses import dataclass

STATES = ("asked", "queued", "closing", "empty", "out", "back", "done", "given-back")
TURNS_MOST = 512


@dataclass(frozen=True, slots=True)
class Turn:
    """One request to take a machine out. Times by wall clock, in microseconds; `number` fences it at its machine."""

    number: int
    machine: str
    region: str
    zone: str
    cell: str
    why: str  # calendar, operator, verdict
    urgency: int  # 0 to 9, the greater the sooner
    latest_us: int  # it should have begun by then; 0: whenever
    asked_us: int
    lasts_us: int
    worker: str  # who does the work; holds the turn by a lease of its own
    state: str = "asked"


@dataclass(frozen=True, slots=True)
class TurnsSaid:
    """With an ask: of which closing turns nothing of this placer's is at the machine or on its way; what machines said.

    `clear`: numbers of turns; `empty`: turns whose machine told that it refuses new work under this very number, and
    holds nothing; `tried`: turns in `back` whose machine took a start of this placer's well.
    """

    clear: tuple[int, ...] = ()
    empty: tuple[int, ...] = ()
    tried: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class TurnsTold:
    """With a grant: turns that are closing, empty, out or back, as (number, machine, state, who tries it)."""

    version: int
    turns: tuple[tuple[int, str, str, str], ...] = ()
