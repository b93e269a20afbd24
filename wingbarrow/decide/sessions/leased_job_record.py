"""The record of a leased Job, as replica holders store it. Times in microseconds, as durations."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.sessions.session import Session

RECORD_FORMAT = 1
MAX_RECORD_BYTES = 16 * 1024  # bytes of a Job's record, its manifest included
MAX_REPLICAS = 2
EFFECTS = ("unsafe", "keyed", "safe")
OFFERED = "offered"  # to its keepers; its owner may yet be told that it is not accepted


@dataclass(frozen=True, slots=True)
class KnownTask:
    """What a keeper knows of one task: its phase, at which machine, by which attempt, since when."""

    index: int
    phase: str  # none, about, placed, over; doubt: whoever says so took it over and cannot know
    machine: str = ""
    attempt: str = ""  # the pod's name
    age_us: int = 0  # since the phase began, when this was said


TASK_PHASES = ("none", "about", "doubt", "placed", "over")


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
