"""Records in custody: how large one is, how it grows older, who keeps it, and which of two is the later."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b

from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord

RECORD_BYTES = 1024  # of a record beside its manifest, its own names and its tasks
TASK_BYTES = 160  # kept free for each task, machine and attempt named


@dataclass(frozen=True, slots=True)
class ReplicationLimits:
    """What one placer keeps for another, or has another keep: records and bytes for each peer; figures of one mail.

    Times in microseconds. `slow_us`: a keeper that has not answered for so long is dropped, and chosen by nobody here
    for `rest_us`; what it kept goes to others, `moves` records each `every_us`.
    """

    records: int = 20_000
    bytes: int = 64 << 20
    all_bytes: int = 512 << 20  # that a keeper has of all
    mail_records: int = 64
    mail_bytes: int = 256 << 10
    wait_us: int = 2_000  # a turn of the hub: what comes within it goes in one mail
    first_us: int = 200_000  # until a mail is said again; doubles
    most_us: int = 2_000_000
    slow_us: int = 1_500_000
    rest_us: int = 30_000_000
    moves: int = 64
    every_us: int = 50_000

    def replaced_us(self, records: int) -> int:
        """Within which all records of a silent keeper are on their way to others, where there are any."""
        return self.slow_us + self.every_us * (1 + records // self.moves)


def size_of(record: LeasedJobRecord) -> int:
    """Bytes that a record counts for: what it has, and no less than what its tasks may come to."""
    names = sum(len(each) for each in (record.uid, record.key, record.spec, record.session.placer))
    tasks = sum(96 + len(each.machine) + len(each.attempt) for each in record.tasks)
    return (
        RECORD_BYTES + names + len(record.manifest.encode()) + max(tasks, record.count * TASK_BYTES)
    )


def aged(record: LeasedJobRecord, by_us: int) -> LeasedJobRecord:
    """The same, said so much later."""
    tasks = tuple(replace(each, age_us=each.age_us + by_us) for each in record.tasks)
    return replace(record, born_age_us=record.born_age_us + by_us, tasks=tasks)


def phase_of(record: LeasedJobRecord, index: int) -> KnownTask:
    """What is known of a task; nothing was said of it: none."""
    return next((each for each in record.tasks if each.index == index), KnownTask(index, "none"))


def doubted(record: LeasedJobRecord) -> LeasedJobRecord:
    """The same by one who cannot know whether more has happened since; of a safe Job that is no matter."""
    if record.effect == "safe":
        return record
    tasks = (phase_of(record, index) for index in range(record.count))
    return replace(
        record,
        tasks=tuple(
            each if each.phase == "over" else replace(each, phase="doubt") for each in tasks
        ),
    )


def order(record: LeasedJobRecord) -> tuple[int, int]:
    """The later of two records of a Job has the greater."""
    return record.epoch, record.version


def rank(uid: str, name: str) -> bytes:
    """Rendezvous: the keeper with the least is the first choice for a Job."""
    return blake2b(f"{uid}/{name}".encode(), digest_size=8).digest()


def choose(
    uid: str,
    region: str,
    allowed: Collection[str],
    by_region: Mapping[str, Sequence[str]],
    copies: int,
    without: Collection[str] = (),
) -> tuple[str, ...]:
    """Keepers of a Job that runs in `region`: of other regions that its spec allows, each of another while there is
    one; fewer than `copies` where there are no more, none where there is no keeper."""
    able = sorted(
        (rank(uid, name), where, name)
        for where, names in by_region.items()
        if where != region and where in allowed
        for name in names
        if name not in without
    )
    first: list[str] = []
    rest: list[str] = []
    seen: set[str] = set()
    for _, where, name in able:
        (rest if where in seen else first).append(name)
        seen.add(where)
    return tuple((first + rest)[:copies])
