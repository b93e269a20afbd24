"""The request book: every accepted task, its one state, its one final answer; no sockets.

States change only by the table below; a step that the table lacks is counted and changes nothing, so a late or
doubled answer can do no harm.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wingbarrow.core.intake import JobRequest
from wingbarrow.decide.admission import Admission

TOMBSTONES = 65_536


class State(Enum):
    """Where a task stands."""

    ASKED = "asked"  # a final answer is owed
    PLACED = "placed"
    AGAIN = "again"  # lost or moved; it will be asked for again
    FOUND = (
        "found"  # runs under this placer's care, though its answer was another, or another life's
    )
    REFUSED = "refused"
    FAILED = "failed"
    DONE = "done"
    LOST = "lost"
    STOPPED = "stopped"


class Step(Enum):
    """What may happen to a task."""

    PLACE = "place"
    REFUSE = "refuse"
    FAIL = "fail"
    DONE = "done"
    LOSE = "lose"
    WAIT = "wait"
    ASK = "ask"
    STOP = "stop"
    ADOPT = "adopt"
    TAKE = "take over"


_TABLE: dict[tuple[State, Step], State] = {
    (State.ASKED, Step.PLACE): State.PLACED,
    (State.ASKED, Step.REFUSE): State.REFUSED,
    (State.ASKED, Step.FAIL): State.FAILED,
    (State.ASKED, Step.STOP): State.STOPPED,
    (State.PLACED, Step.DONE): State.DONE,
    (State.PLACED, Step.LOSE): State.LOST,
    (State.PLACED, Step.WAIT): State.AGAIN,
    (State.PLACED, Step.STOP): State.STOPPED,
    (State.AGAIN, Step.ASK): State.ASKED,
    (State.AGAIN, Step.STOP): State.STOPPED,
    (State.FAILED, Step.ADOPT): State.FOUND,
    (State.LOST, Step.ADOPT): State.FOUND,
    (State.STOPPED, Step.ADOPT): State.FOUND,
    (State.FOUND, Step.DONE): State.DONE,
    (State.FOUND, Step.LOSE): State.LOST,
    (State.FOUND, Step.STOP): State.STOPPED,
    (State.FOUND, Step.WAIT): State.AGAIN,
    (State.STOPPED, Step.TAKE): State.ASKED,  # a run of another placer's Job; no answer is owed
    (State.REFUSED, Step.WAIT): State.AGAIN,  # of such a run
    (State.FAILED, Step.WAIT): State.AGAIN,
}
OPEN = (State.ASKED, State.PLACED, State.AGAIN, State.FOUND)
RUNNING = (State.PLACED, State.FOUND)


@dataclass(slots=True, eq=False)
class TaskRecord:
    """One task of a Job; `request` is its open or placed request with the module, 0 without one."""

    job: JobRecord
    index: int
    state: State = State.ASKED
    request: int = 0
    deadline_us: int = 0
    anew: int = 0  # how often it was asked for anew because an offer of it was held
    binds: int = 0  # attempts of the present request so far
    answered: bool = False  # the first final answer was given
    placed: bool = False  # it was placed at least once
    left: bool = False  # an attempt left, and is not proven unrun
    restarts_left: int = 0
    losses: int = 0
    machine: str = ""
    doubtful: bool = False  # of a former life, and whether its owner was answered then is not known
    last: str = ""  # how the latest attempt ended, in words

    @property
    def name(self) -> str:
        """The same whenever this task is asked for."""
        return f"{self.job.uid}/{self.index}"


@dataclass(frozen=True, slots=True)
class Leased:
    """A Job that runs by its placer's lease: the session under which it was taken, at which epoch, by which spec."""

    spec: str
    session: str
    epoch: int = 0
    former: str = ""  # the session that it was taken over from


@dataclass(slots=True, eq=False)
class JobRecord:
    """A Job and its tasks; `counts` by state is kept, not recomputed."""

    key: str
    uid: str
    asked: JobRequest
    value: dict[str, Any]
    tasks: list[TaskRecord] = field(default_factory=list)
    counts: Counter[State] = field(default_factory=Counter)
    unanswered: int = 0
    adopted: bool = False
    deleted: bool = False
    leased: Leased | None = None
    lease_lost: bool = (
        False  # a task was placed, and no keeper said so in time: its owner was told that it failed
    )
    causes: dict[State, str] = field(
        default_factory=dict
    )  # the first task's cause by its end state
    notes: dict[str, tuple[str, str]] = field(
        default_factory=dict
    )  # more conditions: reason and words by type

    @property
    def open(self) -> int:
        """Tasks that are not over."""
        return sum(self.counts[state] for state in OPEN)


class JobStore:
    """All Jobs of one placer, with bounds on what is open and on what is remembered."""

    def __init__(self, admission: Admission, jobs_kept: int) -> None:
        self.admission = admission
        self._jobs_kept = jobs_kept
        self.jobs: dict[str, JobRecord] = {}
        self.by_request: dict[int, TaskRecord] = {}
        self._ended: dict[str, None] = {}  # Jobs that are over, oldest first
        self._tombstones: dict[str, None] = {}  # uids of Jobs that were deleted
        self._next_request = 1
        self.odd: Counter[str] = Counter()  # steps that the table lacks
        self.answers: Counter[State] = Counter()
        self.owed = 0  # tasks that wait for a final answer
        self.on_delete: list[Callable[[JobRecord], None]] = []
        self.on_step: list[
            Callable[[TaskRecord, State], None]
        ] = []  # called with the state before, after each step

    def take_limits(self, jobs_kept: int, tasks_open: int, per_namespace: int) -> None:
        """New bounds for what comes; nothing accepted is dropped."""
        self._jobs_kept = jobs_kept
        self.admission.take_limits(tasks_open, per_namespace)

    def add(
        self, key: str, uid: str, asked: JobRequest, value: dict[str, Any], adopted: bool = False
    ) -> JobRecord:
        """Take a Job in; the caller has asked `admission`."""
        job = JobRecord(key, uid, asked, value, adopted=adopted)
        start = State.STOPPED if adopted else State.ASKED
        job.tasks = [
            TaskRecord(job, index, start, restarts_left=asked.restarts, answered=adopted)
            for index in range(asked.count)
        ]
        job.counts[start] = asked.count
        job.unanswered = 0 if adopted else asked.count
        self.owed += job.unanswered
        self.jobs[key] = job
        if not adopted:
            self.admission.add(asked.namespace, asked.count, asked.task_class.task_class.name)
        return job

    def open_request(self, task: TaskRecord, deadline_us: int) -> int:
        """A fresh request for a task, asked or found."""
        request = self._next_request
        self._next_request += 1
        task.request, task.deadline_us, task.binds = request, deadline_us, 0
        self.by_request[request] = task
        return request

    def close_request(self, task: TaskRecord) -> None:
        """Its request has ended."""
        self.by_request.pop(task.request, None)
        task.request = 0

    def step(self, task: TaskRecord, step: Step) -> bool:
        """Change a task's state by the table; False, and counted, where the table lacks the step."""
        after = _TABLE.get((task.state, step))
        if after is None:
            self.odd[f"{step.value} while {task.state.value}"] += 1
            return False
        job, before = task.job, task.state
        task.state = after
        task.placed |= after is State.PLACED
        job.counts[before] -= 1
        job.counts[after] += 1
        self.owed += (after is State.ASKED) - (before is State.ASKED)
        if not task.answered and before is State.ASKED:
            task.answered = True
            job.unanswered -= 1
            self.answers[after] += 1
        if after in (State.REFUSED, State.FAILED, State.LOST):
            job.causes.setdefault(after, task.last)
        if before in OPEN and after not in OPEN:
            self.admission.remove(job.asked.namespace, 1, job.asked.task_class.task_class.name)
            if not job.open and not job.deleted:
                self._ended[job.key] = None
        elif after in OPEN and before not in OPEN:
            self.admission.add(job.asked.namespace, 1, job.asked.task_class.task_class.name)
            self._ended.pop(job.key, None)
        for call in self.on_step:
            call(task, before)
        return True

    def delete(self, job: JobRecord) -> None:
        """Forget a Job; of a former life's, the uid is remembered for what of it may still show up.

        This life's pods are known by their names. Adopted Jobs are open tasks, whose bound is far below TOMBSTONES.
        """
        job.deleted = True
        self.jobs.pop(job.key, None)
        self._ended.pop(job.key, None)
        for call in self.on_delete:
            call(job)
        if not job.adopted:
            return
        self._tombstones[job.uid] = None
        if len(self._tombstones) > TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def was_deleted(self, uid: str) -> bool:
        """Whether a former life's Job of that uid was deleted in this one."""
        return uid in self._tombstones

    def surplus(self) -> list[JobRecord]:
        """Ended Jobs beyond what is kept, oldest first."""
        out: list[JobRecord] = []
        for key in self._ended:
            if len(self.jobs) - len(out) <= self._jobs_kept:
                break
            out.append(self.jobs[key])
        return out
