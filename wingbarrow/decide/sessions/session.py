"""Identity of a placer's session, the end of a session, and the successors that get its Jobs.

A *session* (Chubby's term, Burrows 2006) is one lease of a placer for all of its leased Jobs. Each incarnation of a
placer has one session at a time, and opens another with the next `serial` after the voters have ended it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Session:
    """Identity of a session. `life` is the placer's incarnation. Sessions of a placer sort from oldest to newest."""

    placer: str
    life: int
    serial: int

    def text(self) -> str:
        """Return `placer/life/serial`, the form in the log, at machines and in annotations."""
        return f"{self.placer}/{self.life}/{self.serial}"


def parse_session(text: str) -> Session:
    """Parse the form of `Session.text`; raise ValueError for anything else."""
    placer, life, serial = text.rsplit("/", 2)
    if not placer or not life.isdecimal() or not serial.isdecimal():
        raise ValueError(f"session is not in the form PLACER/LIFE/SERIAL: {text[:80]!r}")
    return Session(placer, int(life), int(serial))


@dataclass(frozen=True, slots=True)
class EndedSession:
    """A session that the voters have ended, and its successors.

    epoch: fencing token of the end; it counts ends and changes of successors over all sessions.
    changed: epoch of the latest change of this end. A successor acts under the value with which it learned that it is
        the successor.
    batches: the successors, which hold replicas, in the order in which they joined.
    gone: successors whose own session has ended since.
    """

    epoch: int
    session: Session
    region: str
    batches: tuple[tuple[str, ...], ...] = ()
    gone: tuple[str, ...] = ()
    changed: int = 0


def successor_of(ended: EndedSession, replica_holders: tuple[str, ...]) -> str:
    """Return the successor for a Job, given its replica holders in order of rendezvous rank; "" if there is none.

    It is the first replica holder in the earliest batch that has one which is not gone. All placers compute the same.
    """
    for batch in ended.batches:
        for name in replica_holders:
            if name in batch and name not in ended.gone:
                return name
    return ""
