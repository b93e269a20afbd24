"""A replicated Job at its primary, and the pending acknowledgements of its changes."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.replication.records import ReplicationTerms
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord

# Reasons for which a token fails. Reasons that contain sizes or names are composed where they occur.
SESSION_OVER = "session over"
NOT_REPLICATED = "not held"
ALREADY_REPLICATED = "held already"
NO_REPLICA = "no keeper"
NO_CAPACITY = "no room at any keeper"
REMOVED = "dropped"
TAKEN_OVER = "taken"
MAX_NAMED_REPLICAS = 4  # in the reason of an expired token


@dataclass(slots=True)
class PendingAcknowledgement:
    """A change that has to be acknowledged: by one replica, or by every placer that may have the record.

    `version` is the least version of the record whose acknowledgement counts.
    """

    token: int
    version: int
    deadline_us: int
    requires_all: bool


@dataclass(slots=True)
class ReplicatedJob:
    """One Job of this primary.

    `former_replicas` may still have its record, or an older one, and are to remove it. `must_acknowledge` are the
    placers that may have a former primary's record, and have to store this primary's record first. `disputed_by` are
    the replicas that have the Job's record of another primary, at the same epoch.
    """

    record: LeasedJobRecord
    born_us: int
    phase_since_us: dict[int, int]  # by task index: when its phase began
    terms: ReplicationTerms
    size_bytes: int
    replicas: list[str]
    former_replicas: set[str] = field(default_factory=set)
    must_acknowledge: set[str] = field(default_factory=set)
    acknowledged: dict[str, int] = field(default_factory=dict)  # by replica: the latest version
    has_no_replica: bool = False
    disputed_by: set[str] = field(default_factory=set)
    reassigned_version: int = 0  # the version that its replicas last changed with
    pending: list[PendingAcknowledgement] = field(default_factory=list)

    def record_with_task(self, known: KnownTask, region: str) -> LeasedJobRecord:
        """Return the record with one task replaced; its region becomes `region` if the task is sent or placed."""
        tasks = [each for each in self.record.tasks if each.index != known.index]
        if known.phase != "none":
            tasks.append(known)
        tasks.sort(key=lambda each: each.index)
        task_region = region if known.phase in ("about", "placed") else self.record.region
        return replace(self.record, tasks=tuple(tasks), region=task_region)

    def record_at(self, now_us: int) -> LeasedJobRecord:
        """Return the record with its ages as of now, and with the former replicas in `others`."""
        tasks = tuple(
            replace(each, age_us=now_us - self.phase_since_us[each.index])
            for each in self.record.tasks
        )
        return replace(
            self.record,
            born_age_us=now_us - self.born_us,
            tasks=tasks,
            others=tuple(sorted(self.former_replicas)),
        )

    def has_acknowledged(self, name: str, version: int) -> bool:
        """Return whether a replica has acknowledged this version of the record, or a later one."""
        return self.acknowledged.get(name, -1) >= version

    def is_acknowledged(self, pending: PendingAcknowledgement) -> bool:
        """Return whether enough replicas have acknowledged a change."""
        acknowledgements = [
            self.has_acknowledged(name, pending.version)
            for name in (*self.replicas, *self.former_replicas)
        ]
        if pending.requires_all:
            return all(acknowledgements)
        return any(acknowledgements) or self.has_no_replica


def token_settled(token: int, reason: str = "") -> Notify:
    """Return the event that settles a token: as acknowledged, or as failed if there is a `reason`."""
    return Notify("kept", {"token": token, "good": not reason, "why": reason})


class PendingAcknowledgements:
    """Issues tokens, and settles each once: acknowledged, failed, or expired at its deadline."""

    def __init__(self) -> None:
        self._last_token = 0
        self._deadlines: list[tuple[int, int, str]] = []  # heap of deadline, token, uid

    def next_token(self) -> int:
        """Return a token that has not been issued before."""
        self._last_token += 1
        return self._last_token

    def add(self, job: ReplicatedJob, token: int, deadline_us: int, requires_all: bool) -> None:
        """Add a token for the acknowledgement of the Job's record as it is now."""
        job.pending.append(
            PendingAcknowledgement(token, job.record.version, deadline_us, requires_all)
        )
        heapq.heappush(self._deadlines, (deadline_us, token, job.record.uid))

    def settle_acknowledged(self, job: ReplicatedJob) -> list[Effect]:
        """Settle the Job's tokens that enough replicas have acknowledged."""
        out: list[Effect] = []
        for pending in list(job.pending):
            if job.is_acknowledged(pending):
                job.pending.remove(pending)
                out.append(token_settled(pending.token))
        return out

    def fail(self, job: ReplicatedJob, reason: str) -> list[Effect]:
        """Settle all of a Job's tokens as failed."""
        out: list[Effect] = [token_settled(each.token, reason) for each in job.pending]
        job.pending.clear()
        return out

    def expire(self, now_us: int, jobs: Mapping[str, ReplicatedJob]) -> list[Effect]:
        """Settle as failed the tokens whose deadline has passed; the reason names replicas that did not acknowledge."""
        out: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now_us:
            _, token, uid = heapq.heappop(self._deadlines)
            job = jobs.get(uid)
            if job is None:
                continue
            for pending in [each for each in job.pending if each.token == token]:
                job.pending.remove(pending)
                required = (*job.replicas, *sorted(job.former_replicas))
                silent = [
                    name for name in required if not job.has_acknowledged(name, pending.version)
                ]
                named = ", ".join(silent[:MAX_NAMED_REPLICAS])
                out.append(token_settled(token, f"no word in time from {named}"))
        return out

    def next_deadline(self) -> int | None:
        """Return when the next token expires; None if there is none."""
        return self._deadlines[0][0] if self._deadlines else None

    def clear(self) -> None:
        """Discard all deadlines."""
        self._deadlines.clear()
