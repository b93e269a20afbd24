"""The record of a leased Job, as its primary and its replica holders store it. Field names are wire names.

Times are sent as durations and ages, in microseconds, because placers share no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.session import Session

RECORD_FORMAT = 1
MAX_RECORD_BYTES = 16 * 1024  # manifest included
MAX_REPLICAS = 2
# Effects of a class: must never start twice; at most once per key and window; may repeat.
EFFECTS = ("unsafe", "keyed", "safe")
# Value of `answered` before the owner is sent its 201: the Job may still be rejected.
OFFERED = "offered"
TASK_PHASES = ("none", "about", "doubt", "placed", "over")  # from least to most advanced


@dataclass(frozen=True, slots=True)
class KnownTask:
    """State of one task as a replica holder knows it.

    phase: `none` before any attempt, `about` before an attempt's first byte, `placed`, `over`; `doubt` if the Job was
        reissued, or if its holder may have continued with other replica holders.
    attempt: name of the pod.
    age_us: time since the phase began, when this was sent.
    """

    index: int
    phase: str
    machine: str = ""
    attempt: str = ""
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class LeasedJobRecord:
    """One leased Job. A record with a later `(epoch, version)` replaces an earlier one, whichever placer sends it.

    form: format version, RECORD_FORMAT.
    key: namespace/name.
    session: the session under which the Job is held.
    epoch: fencing token: 0 at its first placer, else the epoch under which it was reissued.
    version: number of changes within an epoch.
    region: region in which it runs, and in which the machines of its tasks are.
    spec: name of its federation spec.
    group: scope of a keyed class within which a key is unique: machine, cell, zone, all.
    manifest: JSON of the Job.
    keepers: names of its replica holders, in order of rendezvous rank.
    answered: status sent to the owner: OFFERED before the 201, then "", placed, refused or failed.
    born_age_us: time since it was accepted, when this was sent.
    others: placers that may have an older record, and have not yet confirmed that they dropped it.
    moves: number of changes of the replica holders in this epoch; at 0 only `keepers` and `others` ever had the record.
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
