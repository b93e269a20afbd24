"""What is said about leases: sessions, their ends, records in custody. Types alone; times in microseconds, durations.

A *session* is a placer's lease on all its leased Jobs at once: one for each life, and a new one (`serial`) after the
voters have ended one of a life that goes on. It is renewed with each grant. Three things lapse in this order, each by
its own clock, counted from when the grant was asked for: the holder's right to send (`RIGHT` of the lease), the
machines' word for what runs (the whole lease, in the machine's own clock), the voters' reckoning (`reckoned_us`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.quotas.limits import drifted_us

FORM = 1
LEASE_US = 10_000_000  # by default
RIGHT = 0.8  # of the lease: until then a holder may send first bytes
RECORD_MOST = 16 * 1024  # bytes of a Job's record, its manifest included
KEEPERS_MOST = 2
EFFECTS = ("unsafe", "keyed", "safe")
OFFERED = "offered"  # to its keepers; its owner may yet be told that it is not accepted


def right_us(lease_us: int) -> int:
    """For how long after it asked a holder may send."""
    return int(lease_us * RIGHT)


def reckoned_us(lease_us: int, turn_us: int) -> int:
    """For how long after a grant the voters reckon with its session: whoever asked did so before."""
    return drifted_us(lease_us) + turn_us


@dataclass(frozen=True, slots=True, order=True)
class Session:
    """Whose it is. As text `placer/life/serial`; lives grow."""

    placer: str
    life: int
    serial: int

    def text(self) -> str:
        """As machines and annotations carry it."""
        return f"{self.placer}/{self.life}/{self.serial}"


def read_session(text: str) -> Session:
    """ValueError for anything else."""
    placer, life, serial = text.rsplit("/", 2)
    if not placer or not life.isdecimal() or not serial.isdecimal():
        raise ValueError(f"no session: {text[:80]!r}")
    return Session(placer, int(life), int(serial))


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


KEPT_MOST = 512


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


def successor_of(ended: EndedSession, keepers: tuple[str, ...]) -> str:
    """Who takes over a Job with these keepers; "" while nobody does."""
    for batch in ended.batches:
        for name in keepers:
            if name in batch and name not in ended.gone:
                return name
    return ""


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


ENDED_MOST = 64


@dataclass(frozen=True, slots=True)
class KnownTask:
    """What a keeper knows of one task: its phase, at which machine, by which attempt, since when."""

    index: int
    phase: str  # none, about, placed, over; doubt: whoever says so took it over and cannot know
    machine: str = ""
    attempt: str = ""  # the pod's name
    age_us: int = 0  # since the phase began, when this was said


PHASES = ("none", "about", "doubt", "placed", "over")


@dataclass(frozen=True, slots=True)
class LeasedJobRecord:
    """A leased Job as its keeper has it. Later `(epoch, version)` replaces earlier, whoever says it."""

    form: int
    uid: str
    key: str  # namespace/name
    session: Session  # that holds it
    epoch: int  # at which it was taken over; 0 by its first placer
    version: int  # counts changes within an epoch
    region: str  # where it runs, and the machines are that its tasks name
    spec: str  # name of its federation spec
    effect: str
    group: str  # of a keyed class: machine, cell, zone, all
    window_us: int
    after_us: int
    priority: int
    cores: float
    memory: float
    count: int
    manifest: str  # the Job's JSON
    keepers: tuple[str, ...]
    answered: str  # by its first placer: OFFERED before its 201, then "", placed, refused or failed
    born_age_us: int  # since it was accepted, when this was said
    tasks: tuple[KnownTask, ...] = field(default=())
    others: tuple[
        str, ...
    ] = ()  # placers that may have an older one, and have not forgotten it yet
    moves: int = 0  # how often its keepers changed in this epoch; 0: nobody but `keepers` and `others` ever had it


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
