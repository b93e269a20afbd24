"""Actions that the scheduler returns for an event; part of interface.py.

Times are microseconds on the caller's clock. A figure that is not known is None.
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
    """Final answer: refused; a retry by the owner does no harm."""

    request: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the task may have run, so a retry may do harm."""

    request: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task to migrate it; its owner submits it again."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request the event TimerDue with this name at the given time."""

    at_us: int
    name: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from a machine."""

    machine: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Request the full list of machines from discovery, and its changes from then on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for operators."""

    text: str


Action: TypeAlias = Bind | Refuse | Fail | Move | SetTimer | Probe | WatchList | Log
