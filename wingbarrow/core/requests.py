"""Requests to the decision module: from a task's submission to its one final answer, and the ends of its attempts."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.waits import Waits


class Requests:
    """Opens, answers and closes requests; gives each exactly one final answer.

    Slow start, maintenance, leased Jobs and migrations set the callbacks. An outcome of None means that the task is
    running.
    """

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        jobs: JobStore,
        attempts: Attempts,
        objects: ApiObjects,
    ) -> None:
        self._context = context
        self._host = host
        self._jobs = jobs
        self._attempts = attempts
        self._objects = objects
        self.waits = Waits(lambda request: attempts.of(request) is not None)
        self.on_start_outcome: Callable[[str, api.Outcome | None], None] = (
            lambda machine, outcome: None
        )
        self.on_attempt_answered: Callable[[Attempt, api.Outcome | None], None] = (
            lambda attempt, outcome: None
        )
        # Callbacks of leased Jobs: whether `placed` may be answered at once; an attempt began; an attempt ended;
        # whether `LeasedJobs` gives the final answer to a request with an attempt in flight.
        self.may_answer_placed: Callable[[Attempt], bool] = lambda attempt: True
        self.on_attempt_began: Callable[[Attempt], None] = lambda attempt: None
        self.on_leased_attempt_ended: Callable[[Attempt, api.Outcome, str], None] = (
            lambda attempt, outcome, details: None
        )
        self.is_answered_by_lease: Callable[[Attempt], bool] = lambda attempt: False
        # Forwards a migrating task to another region; True where it did, and no request is to be opened here.
        self.try_forward: Callable[[TaskRecord], bool] = lambda task: False

    def submit(self, task: TaskRecord, due_us: int | None = None) -> None:
        """Open a task's request; its final answer is due at `due_us`, by default after its Job's patience from now."""
        if due_us is None and self.try_forward(task):
            return
        job_request = task.job.request
        if due_us is None:
            due_us = self._context.hub.now_us() + job_request.patience_us
        request = self._jobs.open_request(task, due_us)
        self.waits.add(task)
        self._host.feed(self.arrived_event(task, request, job_request.expected_us))

    def resubmit(self, attempt: Attempt) -> None:
        """Open a new request for a task whose offer the gate held only because of the machine's state.

        The due time is kept. Only for a task of which nothing was ever sent, as the module forgets the attempt.
        """
        task, due_us = attempt.task, attempt.task.deadline_us
        task.resubmissions += 1
        self.close(task)
        self.on_attempt_ended(attempt, api.Outcome.NOT_SENT, api.Reason.UNTOLD, 0)
        self.submit(task, due_us)

    def arrived_event(self, task: TaskRecord, request: int, left_us: int | None) -> api.TaskArrived:
        """The event that announces a task to the decision module; `left_us` is its expected remaining run time."""
        job_request = task.job.request
        return api.TaskArrived(
            request,
            job_request.task_class.task_class.name,
            job_request.service,
            task.name,
            job_request.cores,
            job_request.memory,
            task.deadline_us,
            left_us,
        )

    def close(self, task: TaskRecord) -> None:
        """Close a task's request: cancel its timer, and remove it from the waits and the Job store."""
        self._host.cancel_timer(task.request)
        self.waits.remove(task, task.request)
        self._jobs.close_request(task)

    def withdraw(self, task: TaskRecord) -> None:
        """Close a request without an answer, and notify the decision module."""
        request = task.request
        self.close(task)
        self._host.feed(api.TaskWithdrawn(request))

    def reject_or_fail(self, request: int, step: Step) -> None:
        """Give the module's final answer, refused or failed; dropped where the request already has its answer."""
        task = self._jobs.by_request.get(request)
        if task is None or task.state is not State.PENDING:
            self._context.counts["answers_dropped"] += 1
            return
        attempt = self._attempts.of(request)
        if attempt is not None and self.is_answered_by_lease(attempt):
            return
        self._answer(task, step, attempt)

    def fail(self, task: TaskRecord) -> None:
        """Give the final answer `failed` by the core's own decision, and notify the decision module."""
        request, attempt = task.request, self._attempts.of(task.request)
        self._answer(task, Step.FAIL, attempt)
        self._host.feed(api.TaskWithdrawn(request))

    def _answer(self, task: TaskRecord, step: Step, attempt: Attempt | None) -> None:
        request = task.request
        if not task.last_outcome:
            task.last_outcome = (
                "an offer was out when the owner's patience ended"
                if attempt
                else "no machine had room, or none was known, before the owner's patience ended"
            )
        self.close(task)
        if attempt is not None:
            attempt.abandoned = True
        self._jobs.transition(task, step)
        self._objects.mark_changed(task.job)
        reason = "Refused" if step is Step.REFUSE else "Failed"
        self._objects.record_event(
            task.job, "Warning", reason, f"task {task.index}: {task.last_outcome}"
        )
        self._context.log(
            "task-" + reason.lower(),
            request=request,
            job=task.job.key,
            task=task.index,
            why=task.last_outcome,
        )

    def on_placed(self, attempt: Attempt) -> None:
        """Answer the request with `placed`: a machine is running the attempt's task."""
        task = attempt.task
        task.machine = attempt.link.name
        self.on_start_outcome(attempt.link.name, None)
        self.on_attempt_answered(attempt, None)
        self._host.cancel_timer(attempt.request)
        self.waits.remove(task, attempt.request)
        self._jobs.transition(task, Step.PLACE)
        self._context.counts["placed"] += 1
        self._objects.mark_changed(task.job)
        self._context.log(
            "task-placed",
            level="debug",
            request=attempt.request,
            attempt=attempt.number,
            machine=attempt.link.name,
        )
        waited = attempt.placed_us - attempt.decided_us
        self._host.feed(api.TaskPlaced(attempt.request, attempt.number, attempt.link.ident, waited))

    def on_found_running(self, attempt: Attempt) -> None:
        """Like `on_placed`, for a task that was found running without the module having bound it."""
        task = attempt.task
        task.machine = attempt.link.name
        self._jobs.transition(task, Step.PLACE)
        self._context.counts["placed"] += 1
        self._objects.mark_changed(task.job)
        self._host.feed(
            api.TaskFound(
                self.arrived_event(task, attempt.request, attempt.remaining_us), attempt.link.ident
            )
        )

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason,
        waited_us: int,
        details: str = "",
    ) -> None:
        """End an attempt and notify the module; its request is closed too, unless it still awaits its final answer."""
        placed = attempt.stage is Stage.PLACED
        if not self._attempts.advance(attempt, Stage.ENDED):
            return
        self.on_leased_attempt_ended(attempt, outcome, details)
        if not placed:
            self.on_start_outcome(attempt.link.name, outcome)
            self.on_attempt_answered(attempt, outcome)
        closed = (
            placed
            or attempt.task.request != attempt.request
            or attempt.task.state is not State.PENDING
        )
        self._host.feed(
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.link.ident,
                outcome,
                reason,
                closed,
                waited_us,
                None,
            )
        )
