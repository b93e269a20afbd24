"""What is said about leases: sessions, their ends, records in custody. Types alone; times in microseconds, durations.

A *session* is a placer's lease on all its leased Jobs at once: one for each life, and a new one (`serial`) after the
voters have ended one of a life that goes on. It is renewed with each grant. Three things lapse in this order, each by
its own clock, counted from when the grant was asked for: the holder's right to send (`RIGHT` of the lease), the
machines' word for what runs (the whole lease, in the machine's own clock), the voters' reckoning (`reckoned_us`).
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.session import EndedSession, Session


@dataclass(frozen=True, slots=True)
class HeldRecords:
    """What one placer keeps for another's session: so many Jobs, the least `after` among their specs."""

    session: Session
    jobs: int
    after_us: int


@dataclass(frozen=True, slots=True)
class SessionsReport:
    """With an ask."""

    region: str
    serial: int  # of its present session, 0 before the first; the life goes with the ask
    leased: int  # Jobs under it
    keeping: tuple[HeldRecords, ...] = ()  # at most KEPT_MOST
    heard: int = 0  # the latest epoch that it has heard of
    deaf: bool = False  # no grant has come to it for so long that it may send nothing


MAX_HELD_SESSIONS = 512  # in one report
MAX_RESOLVE_UIDS = 512  # in one request


@dataclass(frozen=True, slots=True)
class SessionsResponse:
    """With a grant. `open`: the asker's session is the one that is renewed by this, for `lease_us` from the ask."""

    open: bool
    serial: int  # that the asker's session has from now on
    lease_us: int
    epoch: int  # up to which the asker has heard all with this
    ended: tuple[
        EndedSession, ...
    ] = ()  # those that changed after what was heard, in their order: ENDED_MOST at a time
    life: int = (
        0  # of the asker's session: its process's, or a later one where a wall clock was set back
    )


MAX_ENDED_PER_RESPONSE = 64


# -- between holder and keeper, at most once, said again until answered


@dataclass(frozen=True, slots=True)
class ReplicateRequest:
    """Have these, in place of what you had of them; `gone`: uids that need no keeping any more.

    `life`, `serial`: of the keeper's session, as the holder knows it; a keeper of another refuses, as it has lost or
    doubts what it had, and late mail must not pass for new.
    """

    number: int
    session: Session
    records: tuple[LeasedJobRecord, ...] = ()
    gone: tuple[str, ...] = ()
    life: int = 0
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ReplicateResponse:
    """All of that number is kept; or not, and why (bounds, or this session has ended: `over`).

    `life`, `serial`: of the keeper's session. `taken`: uids of the mail that another holds by a later word, at which
    epoch and who: they were not kept. `later`: what stood at the keeper of uids that were taken over, without
    manifests: the new holder may have known less.
    """

    number: int
    session: Session
    good: bool
    why: str = ""
    over: bool = False
    life: int = 0
    serial: int = 0
    taken: tuple[tuple[str, int, str], ...] = ()
    later: tuple[LeasedJobRecord, ...] = ()


# -- after an end


@dataclass(frozen=True, slots=True)
class ResolveRequest:
    """One that came back asks a successor, or a keeper, what became of Jobs of an ended session."""

    number: int
    session: Session
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResolveResponse:
    """Of each Job: its epoch, and what became of it (run, waiting, asked, unknown, stopped, not known here)."""

    number: int
    session: Session
    fates: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class MachineQuery:
    """To a placer of the region in which a machine is: fence a Job there, and tell what it holds."""

    number: int
    machine: str
    uid: str
    epoch: int


@dataclass(frozen=True, slots=True)
class MachineReport:
    """What the machine said; `reached`: whether it did. `boot_age_us`: for how long it has been up."""

    number: int
    machine: str
    uid: str
    reached: bool
    holds: bool = False
    boot_age_us: int = 0


Message = (
    ReplicateRequest
    | ReplicateResponse
    | ResolveRequest
    | ResolveResponse
    | MachineQuery
    | MachineReport
)
