"""Identity of a placer's session, the end of one, and who succeeds to its Jobs.

A *session* (Chubby's term, Burrows 2006) is a placer's lease on all of its leased Jobs at once. Each incarnation of a
placer has one, and a new one (`serial`) after the voters have ended one of an incarnation that goes on.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Session:
    """Identity of a session; ordered by placer, then by age, as incarnations (`life`) and serials grow."""

    placer: str
    life: int
    serial: int

    def text(self) -> str:
        """Return `placer/life/serial`, the form in the log, at machines and in annotations."""
        return f"{self.placer}/{self.life}/{self.serial}"


def parse_session(text: str) -> Session:
    """Read what `Session.text` gives; ValueError for anything else."""
    placer, life, serial = text.rsplit("/", 2)
    if not placer or not life.isdecimal() or not serial.isdecimal():
        raise ValueError(f"no session: {text[:80]!r}")
    return Session(placer, int(life), int(serial))


@dataclass(frozen=True, slots=True)
class EndedSession:
    """A session that the voters have ended, and the placers that succeed it.

    `epoch` is the fencing token: it counts ends and changes of successors over all sessions. `changed` is the epoch of
    the latest change of this end; a successor acts under the one with which it learned that it succeeds. Successors
    that hold replicas are named in `batches`, in the order in which they joined; `gone` are those whose own session has
    ended since.
    """

    epoch: int
    session: Session
    region: str
    batches: tuple[tuple[str, ...], ...] = ()
    gone: tuple[str, ...] = ()
    changed: int = 0


def successor_of(ended: EndedSession, replica_holders: tuple[str, ...]) -> str:
    """Return the successor for a Job, given its replica holders by rendezvous rank; "" while there is none.

    It is the first replica holder in the earliest batch that has one which is not gone: the same at every placer.
    """
    for batch in ended.batches:
        for name in replica_holders:
            if name in batch and name not in ended.gone:
                return name
    return ""
