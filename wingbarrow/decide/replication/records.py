"""Records of leased Jobs: their size, age and order, the limits of replication, and the choice of replicas.

Replicas are chosen by rendezvous hashing (Thaler and Ravishankar 1998): when a placer leaves, only the Jobs whose
records it had get other replicas.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b

from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord

RECORD_BASE_BYTES = 1024  # reserved for a record's fields other than its manifest, names and tasks
MIN_BYTES_PER_TASK = 160  # reserved for each task, including the names of its machine and attempt


@dataclass(frozen=True, slots=True)
class ReplicationLimits:
    """Limits of one placer's primary and replica. Sizes in bytes, times in microseconds.

    A replica that has not answered for `response_timeout_us` is excluded: no Job is assigned to it for
    `exclusion_us`, and its Jobs are reassigned in batches.
    """

    max_records_per_peer: int = 20_000  # of one primary at one replica
    max_bytes_per_peer: int = 64 << 20
    max_total_bytes: int = 512 << 20  # of all primaries at one replica
    max_request_records: int = 64
    max_request_bytes: int = 256 << 10
    batch_window_us: int = 2_000  # changes within it are sent in one request
    min_retry_us: int = 200_000  # until the first retry of a request; doubled by each retry
    max_retry_us: int = 2_000_000
    response_timeout_us: int = 1_500_000
    exclusion_us: int = 30_000_000
    max_reassignments_per_batch: int = 64
    reassignment_interval_us: int = 50_000  # between batches

    def reassigned_within_us(self, records: int) -> int:
        """Return the time within which a silent replica's `records` are sent to other replicas, if there are any."""
        batches = 1 + records // self.max_reassignments_per_batch
        return self.response_timeout_us + self.reassignment_interval_us * batches


@dataclass(frozen=True, slots=True)
class ReplicationTerms:
    """What a Job's federation spec requires: the regions that may have its record, and the number of replicas."""

    allowed_regions: tuple[str, ...]
    copies: int


def record_size_bytes(record: LeasedJobRecord) -> int:
    """Return the size at which a record counts against limits: its content, and space reserved for its tasks."""
    names = sum(len(each) for each in (record.uid, record.key, record.spec, record.session.placer))
    tasks = sum(96 + len(each.machine) + len(each.attempt) for each in record.tasks)
    reserved = max(tasks, record.count * MIN_BYTES_PER_TASK)
    return RECORD_BASE_BYTES + names + len(record.manifest.encode()) + reserved


def with_ages_advanced(record: LeasedJobRecord, elapsed_us: int) -> LeasedJobRecord:
    """Return the record with all its ages increased by `elapsed_us`, to be sent that much later."""
    tasks = tuple(replace(each, age_us=each.age_us + elapsed_us) for each in record.tasks)
    return replace(record, born_age_us=record.born_age_us + elapsed_us, tasks=tasks)


def known_task(record: LeasedJobRecord, index: int) -> KnownTask:
    """Return the record's entry of a task; one of phase `none` if the record has no entry."""
    return next((each for each in record.tasks if each.index == index), KnownTask(index, "none"))


def with_tasks_in_doubt(record: LeasedJobRecord) -> LeasedJobRecord:
    """Return the record for a successor that cannot rule out later changes: each task that is not over is in doubt.

    A safe Job's record is returned unchanged, as its tasks may run again whatever happened.
    """
    if record.effect == "safe":
        return record
    tasks = (known_task(record, index) for index in range(record.count))
    in_doubt = tuple(
        each if each.phase == "over" else replace(each, phase="doubt") for each in tasks
    )
    return replace(record, tasks=in_doubt)


def version_order(record: LeasedJobRecord) -> tuple[int, int]:
    """Return the sort key of a Job's records; the later record has the greater key."""
    return record.epoch, record.version


def rendezvous_rank(uid: str, name: str) -> bytes:
    """Return the rank of a placer as replica of a Job; the lowest rank is preferred."""
    return blake2b(f"{uid}/{name}".encode(), digest_size=8).digest()


def choose_replicas(
    uid: str,
    region: str,
    terms: ReplicationTerms,
    placers_by_region: Mapping[str, Sequence[str]],
    excluded: Collection[str] = (),
) -> tuple[str, ...]:
    """Return the replicas of a Job that runs in `region`: `terms.copies` placers of other allowed regions, or fewer.

    No two of them are in the same region if there are enough regions.
    """
    ranked = sorted(
        (rendezvous_rank(uid, name), placer_region, name)
        for placer_region, names in placers_by_region.items()
        if placer_region != region and placer_region in terms.allowed_regions
        for name in names
        if name not in excluded
    )
    first_of_region: list[str] = []
    further_placers: list[str] = []
    seen_regions: set[str] = set()
    for _, placer_region, name in ranked:
        (further_placers if placer_region in seen_regions else first_of_region).append(name)
        seen_regions.add(placer_region)
    return tuple((first_of_region + further_placers)[: terms.copies])
