"""Requests: a task asked of the module until its one final answer, and the ends of its attempts."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.waits import Waits


class Requests:
    """The way from a task to the module, and of the module's answers back."""

    def __init__(
        self, base: Base, host: Host, book: JobStore, attempts: Attempts, board: ApiObjects
    ) -> None:
        self._base, self._host, self._jobs, self._attempts, self._objects = (
            base,
            host,
            book,
            attempts,
            board,
        )
        self.waits = Waits(lambda request: attempts.of(request) is not None)
        self.on_start_outcome: Callable[[str, api.Outcome | None], None] = (
            lambda machine, outcome: None
        )  # None: it runs
        self.on_attempt_answered: Callable[[Attempt, api.Outcome | None], None] = (
            lambda attempt, outcome: None
        )  # None: it runs
        # Of leased Jobs: whether `placed` may be answered at once, what an attempt came to, whether the failure of a
        # request with an attempt out is answered by who keeps the lease.
        self.may_answer_placed: Callable[[Attempt], bool] = lambda attempt: True
        self.on_attempt_began: Callable[[Attempt], None] = lambda attempt: None
        self.on_leased_attempt_ended: Callable[[Attempt, api.Outcome, str], None] = (
            lambda attempt, outcome, words: None
        )
        self.is_answered_by_lease: Callable[[Attempt], bool] = lambda attempt: False
        self.try_forward: Callable[[TaskRecord], bool] = (
            lambda task: False
        )  # whether another region is asked instead

    def submit(self, task: TaskRecord, due_us: int | None = None) -> None:
        """Ask for a task; its final answer is due then, without a time after its Job's patience."""
        if due_us is None and self.try_forward(task):
            return
        asked = task.job.request
        if due_us is None:
            due_us = self._base.hub.now_us() + asked.patience_us
        request = self._jobs.open_request(task, due_us)
        self.waits.add(task)
        self._host.feed(self.arrival(task, request, asked.expected_us))

    def resubmit(self, attempt: Attempt) -> None:
        """An offer was held for a reason that lies with its machine alone: ask for its task as if it had not been made.

        Only of a task of which nothing was ever sent, as the module forgets that it tried. The answer is due as before.
        """
        task, due_us = attempt.task, attempt.task.deadline_us
        task.resubmissions += 1
        self.close(task)
        self.on_attempt_ended(attempt, api.Outcome.NOT_SENT, api.Reason.UNTOLD, 0)
        self.submit(task, due_us)

    def arrival(self, task: TaskRecord, request: int, left_us: int | None) -> api.TaskArrived:
        """A task as the module hears of it."""
        asked = task.job.request
        return api.TaskArrived(
            request,
            asked.task_class.task_class.name,
            asked.service,
            task.name,
            asked.cores,
            asked.memory,
            task.deadline_us,
            left_us,
        )

    def close(self, task: TaskRecord) -> None:
        """Its request has ended."""
        self._host.cancel_timer(task.request)
        self.waits.remove(task, task.request)
        self._jobs.close_request(task)

    def withdraw(self, task: TaskRecord) -> None:
        """Nobody wants the answer any longer."""
        request = task.request
        self.close(task)
        self._host.feed(api.TaskWithdrawn(request))

    def reject_or_fail(self, request: int, step: Step) -> None:
        """The final answer to a request that is not placed."""
        task = self._jobs.by_request.get(request)
        if task is None or task.state is not State.ASKED:
            self._base.counts["answers_dropped"] += 1
            return
        attempt = self._attempts.of(request)
        if attempt is not None and self.is_answered_by_lease(attempt):
            return
        self._answer(task, step, attempt)

    def fail(self, task: TaskRecord) -> None:
        """The final answer is a failure, whatever the module thinks of it."""
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
        self._objects.mark(task.job)
        reason = "Refused" if step is Step.REFUSE else "Failed"
        self._objects.record_event(
            task.job, "Warning", reason, f"task {task.index}: {task.last_outcome}"
        )
        self._base.log(
            "task-" + reason.lower(),
            request=request,
            job=task.job.key,
            task=task.index,
            why=task.last_outcome,
        )

    def on_placed(self, attempt: Attempt) -> None:
        """A machine runs it: its request ends as placed, with its attempt."""
        task = attempt.task
        task.machine = attempt.link.name
        self.on_start_outcome(attempt.link.name, None)
        self.on_attempt_answered(attempt, None)
        self._host.cancel_timer(attempt.request)
        self.waits.remove(task, attempt.request)
        self._jobs.transition(task, Step.PLACE)
        self._base.counts["placed"] += 1
        self._objects.mark(task.job)
        self._base.log(
            "task-placed",
            level="debug",
            request=attempt.request,
            attempt=attempt.number,
            machine=attempt.link.name,
        )
        waited = attempt.placed_us - attempt.decided_us
        self._host.feed(api.TaskPlaced(attempt.request, attempt.number, attempt.link.ident, waited))

    def on_found(self, attempt: Attempt) -> None:
        """As `placed`, of one that the module has not sent."""
        task = attempt.task
        task.machine = attempt.link.name
        self._jobs.transition(task, Step.PLACE)
        self._base.counts["placed"] += 1
        self._objects.mark(task.job)
        self._host.feed(
            api.TaskFound(self.arrival(task, attempt.request, attempt.left_us), attempt.link.ident)
        )

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason,
        waited_us: int,
        words: str = "",
    ) -> None:
        """Tell the module that an attempt is over; the request too, unless its answer is still owed."""
        placed = attempt.stage is Stage.PLACED
        if not self._attempts.advance(attempt, Stage.ENDED):
            return
        self.on_leased_attempt_ended(attempt, outcome, words)
        if not placed:
            self.on_start_outcome(attempt.link.name, outcome)
            self.on_attempt_answered(attempt, outcome)
        closed = (
            placed
            or attempt.task.request != attempt.request
            or attempt.task.state is not State.ASKED
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
