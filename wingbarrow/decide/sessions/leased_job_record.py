"""The record of a leased Job, as its primary and its replica holders have it. Field names are wire names.

Durations and ages in microseconds: no clock crosses placers.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.session import Session

RECORD_FORMAT = 1
MAX_RECORD_BYTES = 16 * 1024  # manifest included
MAX_REPLICAS = 2
EFFECTS = (
    "unsafe",
    "keyed",
    "safe",
)  # of a class: never to be started twice; once a window; repeatable
OFFERED = "offered"  # value of `answered` before the owner's 201: it may yet be rejected
TASK_PHASES = ("none", "about", "doubt", "placed", "over")  # from least to most advanced


@dataclass(frozen=True, slots=True)
class KnownTask:
    """What a replica holder knows of one task.

    phase: `none` before any attempt, `about` before an attempt's first byte, `placed`, `over`; `doubt` where the Job
        was reissued, or its holder may have gone on with other replica holders.
    attempt: name of the pod.
    age_us: since the phase began, when this was sent.
    """

    index: int
    phase: str
    machine: str = ""
    attempt: str = ""
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class LeasedJobRecord:
    """One leased Job. A later `(epoch, version)` replaces an earlier one, whoever sends it.

    key: namespace/name.
    session: under which it is held.
    epoch: fencing token: 0 at its first placer, else the epoch under which it was reissued.
    version: counts changes within an epoch.
    region: where it runs, with the machines that its tasks name.
    spec: name of its federation spec.
    group: of a keyed class, within which a key holds: machine, cell, zone, all.
    manifest: JSON of the Job.
    keepers: its replica holders, by rendezvous rank.
    answered: to its owner: OFFERED before the 201, then "", placed, refused or failed.
    born_age_us: since it was accepted, when this was sent.
    others: placers that may have an older record, and have not yet confirmed that they dropped it.
    moves: how often the replica holders changed in this epoch; at 0 only `keepers` and `others` ever had the record.
    """

    form: int
    uid: str
    key: str
    session: Session
    epoch: int
    version: int
    region: str
    spec: str
    effect: str
    group: str
    window_us: int
    after_us: int
    priority: int
    cores: float
    memory: float
    count: int
    manifest: str
    keepers: tuple[str, ...]
    answered: str
    born_age_us: int
    tasks: tuple[KnownTask, ...] = ()
    others: tuple[str, ...] = ()
    moves: int = 0
