"""The store of accepted Jobs and their tasks: one state a task, one final answer; no I/O.

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

MAX_TOMBSTONES = 65_536

Condition = tuple[str, str]  # reason and message of a condition of a Job's status
StateListener = Callable[["TaskRecord", "State"], None]  # called with the state before the change


class State(Enum):
    """State of a task. Values appear in counters and logs."""

    ASKED = "asked"  # with the decision module; its owner awaits the final answer
    PLACED = "placed"
    RETRYING = "again"  # lost or migrated; waits for its next request
    ADOPTED = "found"  # an orphan that this placer looks after, whatever its owner was answered
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
    (State.ASKED, Step.PLACE): State.PLACED,
    (State.ASKED, Step.REFUSE): State.REFUSED,
    (State.ASKED, Step.FAIL): State.FAILED,
    (State.ASKED, Step.STOP): State.STOPPED,
    (State.PLACED, Step.DONE): State.DONE,
    (State.PLACED, Step.LOSE): State.LOST,
    (State.PLACED, Step.SCHEDULE_RETRY): State.RETRYING,
    (State.PLACED, Step.STOP): State.STOPPED,
    (State.RETRYING, Step.RETRY): State.ASKED,
    (State.RETRYING, Step.STOP): State.STOPPED,
    (State.FAILED, Step.ADOPT): State.ADOPTED,
    (State.LOST, Step.ADOPT): State.ADOPTED,
    (State.STOPPED, Step.ADOPT): State.ADOPTED,
    (State.ADOPTED, Step.DONE): State.DONE,
    (State.ADOPTED, Step.LOSE): State.LOST,
    (State.ADOPTED, Step.STOP): State.STOPPED,
    (State.ADOPTED, Step.SCHEDULE_RETRY): State.RETRYING,
    (
        State.STOPPED,
        Step.TAKE_OVER,
    ): State.ASKED,  # a run of another placer's Job; no answer is owed
    (State.REFUSED, Step.SCHEDULE_RETRY): State.RETRYING,  # of such a run
    (State.FAILED, Step.SCHEDULE_RETRY): State.RETRYING,
}
OPEN = (State.ASKED, State.PLACED, State.RETRYING, State.ADOPTED)
RUNNING = (State.PLACED, State.ADOPTED)


@dataclass(slots=True, eq=False)
class TaskRecord:
    """One task of a Job; `request` is its open or placed request with the decision module, 0 without one."""

    job: JobRecord
    index: int
    state: State = State.ASKED
    request: int = 0
    deadline_us: int = 0
    resubmissions: int = 0  # requests made anew because the send gate held an offer back
    attempts_made: int = 0  # attempts of the present request so far
    answered: bool = False  # its owner has the first final answer
    was_placed: bool = False  # it was placed at least once
    may_have_run: bool = False  # an attempt was sent and is not proven unstarted
    restarts_left: int = 0
    losses: int = 0
    machine: str = ""
    answer_uncertain: bool = False  # of an earlier incarnation that may not have answered its owner
    last_outcome: str = ""  # how the latest attempt ended, as shown to the owner

    @property
    def name(self) -> str:
        """The same whenever this task is asked for."""
        return f"{self.job.uid}/{self.index}"


@dataclass(frozen=True, slots=True)
class JobLease:
    """Lease of a Job: the session that runs it, the epoch of its failover (0: none), its federation spec."""

    spec: str
    session: str
    epoch: int = 0
    previous_session: str = ""  # the session that it failed over from


@dataclass(slots=True, eq=False)
class JobRecord:
    """A Job and its tasks. `counts` of tasks by state is maintained by `JobStore.transition`."""

    key: str
    uid: str
    request: JobRequest
    value: dict[str, Any]
    tasks: list[TaskRecord] = field(default_factory=list)
    counts: Counter[State] = field(default_factory=Counter)
    unanswered: int = 0
    adopted: bool = False
    deleted: bool = False
    leased: JobLease | None = None
    lease_lost: bool = False  # answered as failed: no replica acknowledged a placement in time
    causes: dict[State, str] = field(default_factory=dict)  # of the first task to reach a state
    conditions: dict[str, Condition] = field(default_factory=dict)  # beside the usual ones, by type

    @property
    def open_tasks(self) -> int:
        """Number of tasks that have not ended."""
        return sum(self.counts[state] for state in OPEN)


class JobStore:
    """All Jobs of one placer.

    Open tasks are bounded by `admission`, ended Jobs by `max_ended_jobs`, deleted Jobs of earlier incarnations by
    MAX_TOMBSTONES. Listeners run after each change, in the order in which they were added.
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
        """Replace the bounds; what was accepted before stays."""
        self._max_ended_jobs = max_ended_jobs
        self.admission.set_limits(tasks_open, per_namespace)

    def add(
        self, key: str, uid: str, asked: JobRequest, value: dict[str, Any], adopted: bool = False
    ) -> JobRecord:
        """Add a Job; the caller has checked `admission`. Tasks of an adopted Job begin as stopped."""
        job = JobRecord(key, uid, asked, value, adopted=adopted)
        start = State.STOPPED if adopted else State.ASKED
        job.tasks = [
            TaskRecord(job, index, start, restarts_left=asked.restarts, answered=adopted)
            for index in range(asked.count)
        ]
        job.counts[start] = asked.count
        job.unanswered = 0 if adopted else asked.count
        self.unanswered += job.unanswered
        self.jobs[key] = job
        if not adopted:
            self.admission.add(asked.namespace, asked.count, asked.task_class.task_class.name)
        return job

    def open_request(self, task: TaskRecord, deadline_us: int) -> int:
        """Give a task a new request number."""
        request = self._next_request
        self._next_request += 1
        task.request, task.deadline_us, task.attempts_made = request, deadline_us, 0
        self.by_request[request] = task
        return request

    def close_request(self, task: TaskRecord) -> None:
        """Forget a task's request number."""
        self.by_request.pop(task.request, None)
        task.request = 0

    def transition(self, task: TaskRecord, step: Step) -> bool:
        """Apply a step. Returns False, and counts it, where the step is not allowed in the task's state."""
        after = _TRANSITIONS.get((task.state, step))
        if after is None:
            self.unexpected_transitions[f"{step.value} while {task.state.value}"] += 1
            return False
        job, before = task.job, task.state
        task.state = after
        task.was_placed |= after is State.PLACED
        job.counts[before] -= 1
        job.counts[after] += 1
        self.unanswered += (after is State.ASKED) - (before is State.ASKED)
        if not task.answered and before is State.ASKED:
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
        """Forget a Job; the uid of an adopted one is remembered, since pods of it may still be reported.

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
        """Ended Jobs beyond the bound, oldest first."""
        out: list[JobRecord] = []
        for key in self._ended:
            if len(self.jobs) - len(out) <= self._max_ended_jobs:
                break
            out.append(self.jobs[key])
        return out
