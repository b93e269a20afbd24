"""Identity of a placer's session, the end of one, and who succeeds to its Jobs.

A *session* (Chubby's term, Burrows 2006) is a placer's lease on all of its leased Jobs at once. Each incarnation of a
placer has one, and a new one (`serial`) after the voters have ended the one before while the process went on.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Session:
    """Whose it is. As text `placer/life/serial`; lives grow."""

    placer: str
    life: int
    serial: int

    def text(self) -> str:
        """As machines and annotations carry it."""
        return f"{self.placer}/{self.life}/{self.serial}"


def parse_session(text: str) -> Session:
    """ValueError for anything else."""
    placer, life, serial = text.rsplit("/", 2)
    if not placer or not life.isdecimal() or not serial.isdecimal():
        raise ValueError(f"no session: {text[:80]!r}")
    return Session(placer, int(life), int(serial))


@dataclass(frozen=True, slots=True)
class EndedSession:
    """A session that is over, by the voters' log. `epoch` counts ends, and changes of who succeeds.

    `changed` is the epoch of its own latest change: whoever takes over acts under that, as it heard it. Later
    successors come in later batches.

    A Job's successor is the first of its keepers that stands in the earliest batch in which one of them stands and is
    not `gone`: `successor` below, the same at everybody.
    """

    epoch: int
    session: Session
    region: str
    batches: tuple[tuple[str, ...], ...] = ()
    gone: tuple[str, ...] = ()  # successors whose own session has ended since
    changed: int = 0


def successor_of(ended: EndedSession, replica_holders: tuple[str, ...]) -> str:
    """Who takes over a Job with these keepers; "" while nobody does."""
    for batch in ended.batches:
        for name in replica_holders:
            if name in batch and name not in ended.gone:
                return name
    return ""
