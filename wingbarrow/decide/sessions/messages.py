"""Messages about sessions and leased Jobs between placers. Field names are wire names.

`SessionsReport` and `SessionsResponse` are parts of a lease request and of its grant. Any other message is sent at most
once under one number; a request without a response is sent again under a new number. Durations and ages in
microseconds.
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
    """Number of Jobs of another placer's session that a replica holder has, and the smallest `after` of their specs."""

    session: Session
    jobs: int
    after_us: int


@dataclass(frozen=True, slots=True)
class SessionsReport:
    """A placer's report with a lease request.

    serial: serial of its latest session, 0 before the first; the incarnation is that of the request.
    leased: number of Jobs under that session.
    keeping: replicas held for other sessions, at most MAX_HELD_SESSIONS.
    heard: epoch up to which it knows all ends.
    deaf: no grant has arrived for so long that its holder lease has expired.
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

    open: whether this renews the requester's session `(life, serial)`, for `lease_us` from its request.
    epoch: epoch up to which the requester knows all ends with this response.
    ended: the ends that changed after the reported epoch, in order of change, at most MAX_ENDED_PER_RESPONSE.
    life: incarnation of the session: the process's, or a later one if the wall clock was set back.
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
    """Request to store these records in place of earlier ones, and to drop those of the uids in `gone`.

    `life` and `serial` identify the receiver's session as the sender knows it. A receiver in another session rejects
    the request: it has lost its records or cannot rely on them, and a delayed message must not be taken for a new one.
    """

    number: int
    session: Session
    records: tuple[LeasedJobRecord, ...] = ()
    gone: tuple[str, ...] = ()
    life: int = 0
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ReplicateResponse:
    """Response to a `ReplicateRequest`.

    good: whether all of the request is stored; otherwise `why` has the reason.
    over: the requester's session has ended.
    life, serial: identify the responding placer's session.
    taken: uid, epoch and holder of Jobs in the request that another placer holds at a later epoch; not stored.
    later: the responding placer's records of reissued Jobs, without manifests; they may have later states than the new
        holder's.
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
    """Request of a returning holder to a successor or replica holder: the outcome of Jobs of an ended session."""

    number: int
    session: Session
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResolveResponse:
    """Response with uid, epoch and outcome of each Job.

    The outcome is a value of `FailoverState` or `ReissueDecision`, or `UNKNOWN_HERE` of `replication.replica`.
    """

    number: int
    session: Session
    fates: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class MachineQuery:
    """Request to a placer in a machine's region: fence a Job there at `epoch`, report whether the machine holds it."""

    number: int
    machine: str
    uid: str
    epoch: int


@dataclass(frozen=True, slots=True)
class MachineReport:
    """Response to a `MachineQuery`.

    reached: whether the machine responded.
    holds: whether it holds the Job.
    boot_age_us: how long the machine has been up.
    """

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
