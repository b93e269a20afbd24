"""Actions that the scheduler answers; part of interface.py.

Times are microseconds on the caller's clock. A figure that was not told is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a machine; the attempt is abandoned at `give_up_us`."""

    request: int
    machine: int
    give_up_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the owner may try again without harm."""

    request: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise as to the effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task; its owner asks for it again."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerDue at the given time."""

    at_us: int
    name: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its report."""

    machine: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask discovery for the machines and for their changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the on-call staff."""

    text: str


Action: TypeAlias = Bind | Refuse | Fail | Move | SetTimer | Probe | WatchList | Log
