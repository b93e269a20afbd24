"""Messages about sessions and leased Jobs between placers. Field names are wire names.

`SessionsReport` and `SessionsResponse` are parts of a request for a lease and of its grant. The others are sent at most
once, and again, under a new number, until answered. Durations and ages in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.session import EndedSession, Session

MAX_HELD_SESSIONS = 512  # in one report
MAX_ENDED_PER_RESPONSE = 64
MAX_RESOLVE_UIDS = 512  # in one request

# -- with a lease request and its grant


@dataclass(frozen=True, slots=True)
class HeldRecords:
    """How many Jobs of another placer's session a replica holder has, and the least `after` among their specs."""

    session: Session
    jobs: int
    after_us: int


@dataclass(frozen=True, slots=True)
class SessionsReport:
    """A placer's report with a lease request.

    serial: of its present session, 0 before its first; the incarnation is the request's.
    leased: Jobs under that session.
    keeping: replicas for other sessions, at most MAX_HELD_SESSIONS.
    heard: latest epoch that it knows.
    deaf: no grant has arrived for so long that it may send nothing.
    """

    region: str
    serial: int
    leased: int
    keeping: tuple[HeldRecords, ...] = ()
    heard: int = 0
    deaf: bool = False


@dataclass(frozen=True, slots=True)
class SessionsResponse:
    """The leader's response, with a grant.

    open: whether this renews the session `(life, serial)` of the requester, for `lease_us` from its request.
    epoch: up to which the requester knows every end with this response.
    ended: the ends that changed after the reported epoch, in that order, at most MAX_ENDED_PER_RESPONSE.
    life: of the session: the process's incarnation, or a later one where a wall clock was set back.
    """

    open: bool
    serial: int
    lease_us: int
    epoch: int
    ended: tuple[EndedSession, ...] = ()
    life: int = 0


# -- between a primary and a replica holder


@dataclass(frozen=True, slots=True)
class ReplicateRequest:
    """Store these records in place of earlier ones, and drop those of the uids in `gone`.

    `life` and `serial` are of the receiver's session as the sender knows it. A receiver in another session rejects the
    request: it has lost or doubts its records, and a late message must not pass for a new one.
    """

    number: int
    session: Session
    records: tuple[LeasedJobRecord, ...] = ()
    gone: tuple[str, ...] = ()
    life: int = 0
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ReplicateResponse:
    """Whether all of a request is stored, and if not, why.

    over: the sender's session has ended.
    life, serial: of the responding placer's session.
    taken: uid, epoch and holder of Jobs in the request that another placer holds at a later epoch: not stored.
    later: records that the responding placer had of reissued Jobs, without manifests: the new holder may know less.
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


# -- after the end of a session


@dataclass(frozen=True, slots=True)
class ResolveRequest:
    """A returning holder asks a successor or a replica holder for the outcome of Jobs of an ended session."""

    number: int
    session: Session
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResolveResponse:
    """For each Job its uid, epoch and outcome: a value of `FailoverState` or `ReissueDecision`, or not known here."""

    number: int
    session: Session
    fates: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class MachineQuery:
    """Ask a placer in a machine's region to fence a Job there at `epoch`, and to report whether it holds the Job."""

    number: int
    machine: str
    uid: str
    epoch: int


@dataclass(frozen=True, slots=True)
class MachineReport:
    """The machine's answer. reached: whether it answered. boot_age_us: how long the machine has been up."""

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
