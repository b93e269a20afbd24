"""The store of accepted Jobs and their tasks: each task has one state and one final answer. It does no I/O.

A task's state changes only by `_TRANSITIONS`. A step that the table lacks is counted in `unexpected_transitions` and
changes nothing, so that a late or duplicate answer has no effect.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wingbarrow.core.job_manifest import JobRequest
from wingbarrow.decide.admission import Admission

MAX_TOMBSTONES = 65_536  # uids

Condition = tuple[str, str]  # reason and message of a condition in a Job's status
StateListener = Callable[["TaskRecord", "State"], None]  # called with the state before the change


class State(Enum):
    """State of a task. Values appear in counters and logs."""

    PENDING = "asked"  # its request is with the decision module; its owner awaits the final answer
    PLACED = "placed"
    RETRYING = "again"  # lost or migrating; waits until it is requested again
    ADOPTED = "found"  # found running and managed by this placer, whatever its owner was answered
    REFUSED = "refused"
    FAILED = "failed"
    DONE = "done"
    LOST = "lost"
    STOPPED = "stopped"


class Step(Enum):
    """Event that changes a task's state."""

    PLACE = "place"
    REFUSE = "refuse"
    FAIL = "fail"
    DONE = "done"
    LOSE = "lose"
    SCHEDULE_RETRY = "wait"
    RETRY = "ask"
    STOP = "stop"
    ADOPT = "adopt"
    TAKE_OVER = "take over"


_TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.PENDING, Step.PLACE): State.PLACED,
    (State.PENDING, Step.REFUSE): State.REFUSED,
    (State.PENDING, Step.FAIL): State.FAILED,
    (State.PENDING, Step.STOP): State.STOPPED,
    (State.PLACED, Step.DONE): State.DONE,
    (State.PLACED, Step.LOSE): State.LOST,
    (State.PLACED, Step.SCHEDULE_RETRY): State.RETRYING,
    (State.PLACED, Step.STOP): State.STOPPED,
    (State.RETRYING, Step.RETRY): State.PENDING,
    (State.RETRYING, Step.STOP): State.STOPPED,
    (State.FAILED, Step.ADOPT): State.ADOPTED,
    (State.LOST, Step.ADOPT): State.ADOPTED,
    (State.STOPPED, Step.ADOPT): State.ADOPTED,
    (State.ADOPTED, Step.DONE): State.DONE,
    (State.ADOPTED, Step.LOSE): State.LOST,
    (State.ADOPTED, Step.STOP): State.STOPPED,
    (State.ADOPTED, Step.SCHEDULE_RETRY): State.RETRYING,
    # A task of a Job that failed over from another placer; no answer is owed for it.
    (State.STOPPED, Step.TAKE_OVER): State.PENDING,
    (State.REFUSED, Step.SCHEDULE_RETRY): State.RETRYING,
    (State.FAILED, Step.SCHEDULE_RETRY): State.RETRYING,
}
OPEN = (State.PENDING, State.PLACED, State.RETRYING, State.ADOPTED)
RUNNING = (State.PLACED, State.ADOPTED)


@dataclass(slots=True, eq=False)
class TaskRecord:
    """One task of a Job. `request` numbers its open or placed request to the decision module (0: none)."""

    job: JobRecord
    index: int
    state: State = State.PENDING
    request: int = 0
    deadline_us: int = 0
    resubmissions: int = 0  # new requests because the send gate held an offer back
    attempts_made: int = 0  # of the current request
    answered: bool = False  # its owner was given the first final answer
    was_placed: bool = False  # it was placed at least once
    may_have_run: bool = False  # an attempt was sent, and may have started the task
    restarts_left: int = 0
    losses: int = 0
    machine: str = ""
    answer_uncertain: bool = False  # an earlier incarnation may not have answered its owner
    last_outcome: str = ""  # how the latest attempt ended, in the text that its owner sees

    @property
    def name(self) -> str:
        """Name of the task, the same for each of its requests: "JOB-UID/INDEX"."""
        return f"{self.job.uid}/{self.index}"


@dataclass(frozen=True, slots=True)
class JobLease:
    """Lease of a Job: its federation spec, the session that runs it, and the epoch of its failover (0: none)."""

    spec: str
    session: str
    epoch: int = 0
    previous_session: str = ""  # the session that it failed over from; "" if it did not


@dataclass(slots=True, eq=False)
class JobRecord:
    """A Job and its tasks. `JobStore.transition` maintains `counts`, the number of tasks by state."""

    key: str
    uid: str
    request: JobRequest
    value: dict[str, Any]
    tasks: list[TaskRecord] = field(default_factory=list)
    counts: Counter[State] = field(default_factory=Counter)
    unanswered: int = 0
    adopted: bool = False
    deleted: bool = False
    lease: JobLease | None = None
    lease_lost: bool = False  # answered as failed: no replica acknowledged a placement in time
    causes: dict[State, str] = field(default_factory=dict)  # `last_outcome` of the first, by state
    conditions: dict[str, Condition] = field(default_factory=dict)  # additional ones, by type

    @property
    def open_tasks(self) -> int:
        """Number of tasks that have not ended."""
        return sum(self.counts[state] for state in OPEN)


class JobStore:
    """All Jobs of one placer.

    `admission` bounds open tasks, `max_ended_jobs` ended Jobs, and MAX_TOMBSTONES deleted Jobs of earlier
    incarnations. Listeners are called after each change, in the order in which they were added.
    """

    def __init__(self, admission: Admission, max_ended_jobs: int) -> None:
        self.admission = admission
        self._max_ended_jobs = max_ended_jobs
        self.jobs: dict[str, JobRecord] = {}
        self.by_request: dict[int, TaskRecord] = {}
        self._ended: dict[str, None] = {}  # keys of Jobs that have ended, oldest first
        self._tombstones: dict[str, None] = {}  # uids of deleted Jobs of earlier incarnations
        self._next_request = 1
        self.unexpected_transitions: Counter[str] = Counter()
        self.answers: Counter[State] = Counter()
        self.unanswered = 0  # tasks whose owners await a final answer
        self.delete_listeners: list[Callable[[JobRecord], None]] = []
        self.state_listeners: list[StateListener] = []

    def set_limits(self, max_ended_jobs: int, tasks_open: int, per_namespace: int) -> None:
        """Replace the limits. Jobs that were accepted before stay, even beyond the new limits."""
        self._max_ended_jobs = max_ended_jobs
        self.admission.set_limits(tasks_open, per_namespace)

    def add(
        self, key: str, uid: str, request: JobRequest, value: dict[str, Any], adopted: bool = False
    ) -> JobRecord:
        """Add a Job, for which the caller has checked `admission`. Tasks of an adopted Job start as `STOPPED`."""
        job = JobRecord(key, uid, request, value, adopted=adopted)
        start = State.STOPPED if adopted else State.PENDING
        job.tasks = [
            TaskRecord(job, index, start, restarts_left=request.restarts, answered=adopted)
            for index in range(request.count)
        ]
        job.counts[start] = request.count
        job.unanswered = 0 if adopted else request.count
        self.unanswered += job.unanswered
        self.jobs[key] = job
        if not adopted:
            self.admission.add(request.namespace, request.count, request.task_class.task_class.name)
        return job

    def open_request(self, task: TaskRecord, deadline_us: int) -> int:
        """Give a task a new request number, and return it."""
        request = self._next_request
        self._next_request += 1
        task.request, task.deadline_us, task.attempts_made = request, deadline_us, 0
        self.by_request[request] = task
        return request

    def close_request(self, task: TaskRecord) -> None:
        """End a task's request, so that later events for its number have no effect."""
        self.by_request.pop(task.request, None)
        task.request = 0

    def transition(self, task: TaskRecord, step: Step) -> bool:
        """Apply a step. Returns False, and counts the step, where the task's state does not allow it."""
        after = _TRANSITIONS.get((task.state, step))
        if after is None:
            self.unexpected_transitions[f"{step.value} while {task.state.value}"] += 1
            return False
        job, before = task.job, task.state
        task.state = after
        task.was_placed |= after is State.PLACED
        job.counts[before] -= 1
        job.counts[after] += 1
        self.unanswered += (after is State.PENDING) - (before is State.PENDING)
        if not task.answered and before is State.PENDING:
            task.answered = True
            job.unanswered -= 1
            self.answers[after] += 1
        if after in (State.REFUSED, State.FAILED, State.LOST):
            job.causes.setdefault(after, task.last_outcome)
        if before in OPEN and after not in OPEN:
            self.admission.remove(job.request.namespace, 1, job.request.task_class.task_class.name)
            if not job.open_tasks and not job.deleted:
                self._ended[job.key] = None
        elif after in OPEN and before not in OPEN:
            self.admission.add(job.request.namespace, 1, job.request.task_class.task_class.name)
            self._ended.pop(job.key, None)
        for call in self.state_listeners:
            call(task, before)
        return True

    def delete(self, job: JobRecord) -> None:
        """Remove a Job. An adopted one leaves a tombstone, since machines may still report pods of it.

        Pods of this incarnation are recognized by their names and need no tombstone.
        """
        job.deleted = True
        self.jobs.pop(job.key, None)
        self._ended.pop(job.key, None)
        for call in self.delete_listeners:
            call(job)
        if not job.adopted:
            return
        self._tombstones[job.uid] = None
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def was_deleted(self, uid: str) -> bool:
        """Whether an adopted Job with this uid was deleted."""
        return uid in self._tombstones

    def expired_jobs(self) -> list[JobRecord]:
        """The oldest ended Jobs, as many as must go until at most `max_ended_jobs` Jobs remain, with the open ones."""
        out: list[JobRecord] = []
        for key in self._ended:
            if len(self.jobs) - len(out) <= self._max_ended_jobs:
                break
            out.append(self.jobs[key])
        return out
