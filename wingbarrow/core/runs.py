"""Runs of placed tasks: how they end, retries on the owner's behalf, moves and stops."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.requests import Requests
from wingbarrow.core.stops import Stops
from wingbarrow.decide import retries
from wingbarrow.transport import Timer


class Runs:
    """Owns the timers of scheduled retries, by task name."""

    def __init__(
        self,
        context: CoreContext,
        jobs: JobStore,
        attempts: Attempts,
        objects: ApiObjects,
        requests: Requests,
        stops: Stops,
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._attempts = attempts
        self._objects = objects
        self._requests = requests
        self._stops = stops
        self._retry_timers: dict[str, Timer] = {}

    def on_ended(
        self, attempt: Attempt, end: retries.RunEnd, reason: api.Reason, details: str
    ) -> None:
        """Handle the end of a placed task's run; `details` is shown to its owner."""
        task, job = attempt.task, attempt.task.job
        if attempt.stage is not Stage.PLACED:
            return
        if attempt.stopping is retries.RunEnd.STOPPED:
            # Its owner deleted the task, so it does not matter how the run ended before the stop arrived.
            end = retries.RunEnd.STOPPED
        outcome = (
            api.Outcome.DONE
            if end is retries.RunEnd.DONE
            else api.Outcome.CANCELLED
            if end in (retries.RunEnd.MOVED, retries.RunEnd.STOPPED)
            else api.Outcome.BROKEN
        )
        task.last_outcome = details
        if task.request == attempt.request:
            self._requests.close(task)
        self._objects.mark_changed(job)
        if end is retries.RunEnd.DONE:
            self._jobs.transition(task, Step.DONE)
        elif end is not retries.RunEnd.STOPPED:
            self._retry_or_lose(task, end, details)
        self._requests.on_attempt_ended(
            attempt, outcome, reason, self._context.hub.now_us() - attempt.placed_us
        )

    def on_lost(self, attempt: Attempt, details: str) -> None:
        """Handle the loss of a placed task: it is no longer on its machine, or its machine is gone."""
        end = attempt.stopping or retries.RunEnd.LOST
        self.on_ended(attempt, end, api.Reason.UNTOLD, f"{details} ({attempt.link.name})")

    def _retry_or_lose(self, task: TaskRecord, end: retries.RunEnd, details: str) -> None:
        effect = task.job.request.task_class.task_class.effect
        decision = retries.decide_retry(
            end, effect, task.restarts_left, task.losses, self._context.random
        )
        self._context.counts["run:" + end.value] += 1
        # The owner of a task of this incarnation that was found running already has another answer, failed or refused.
        # A task of an earlier incarnation is retried only where its owner was certainly answered `placed`.
        answered_otherwise = task.state is State.ADOPTED and (
            not task.job.adopted or task.answer_uncertain
        )
        if decision.delay_us is None or answered_otherwise:
            self._jobs.transition(task, Step.LOSE)
            self._objects.record_event(
                task.job, "Warning", "Lost", f"task {task.index}: {details}; not asked for again"
            )
            return
        if decision.uses_restart:
            task.restarts_left -= 1
            task.losses += 1
        self._jobs.transition(task, Step.SCHEDULE_RETRY)
        self._objects.record_event(
            task.job,
            "Normal",
            "Moved" if end is retries.RunEnd.MOVED else "Lost",
            f"task {task.index}: {details}; asked for again",
        )
        self.schedule_retry(task, decision.delay_us)

    def schedule_retry(self, task: TaskRecord, after_us: int) -> None:
        """Request a task again after a delay."""

        def on_due() -> None:
            self._retry_timers.pop(task.name, None)
            if self._jobs.transition(task, Step.RETRY):
                self._objects.mark_changed(task.job)
                self._requests.submit(task)

        self._retry_timers[task.name] = self._context.hub.call_at(
            self._context.hub.now_us() + after_us, on_due
        )

    def cancel_retry(self, task: TaskRecord) -> None:
        """Cancel a task's scheduled retry, if it has one."""
        timer = self._retry_timers.pop(task.name, None)
        if timer is not None:
            timer.cancel()

    def move(self, request: int) -> None:
        """Migrate a placed task within the region: stop it; it is then requested again."""
        attempt = self._attempts.of(request)
        # Danger: a task that is not retried would be lost, as the move stops it.
        if (
            attempt is None
            or attempt.stage is not Stage.PLACED
            or attempt.stopping is not None
            or attempt.task.answer_uncertain
        ):
            self._context.counts["moves_dropped"] += 1
            return
        self._context.counts["moves"] += 1
        self.stop(attempt, retries.RunEnd.MOVED)

    def stop(self, attempt: Attempt, end: retries.RunEnd) -> None:
        """Request the stop of a placed task; its run ends with `end` once the machine confirms the stop."""
        attempt.stopping = end

        def on_stopped() -> None:
            if attempt.stopping is not None:
                self.on_ended(
                    attempt,
                    attempt.stopping,
                    api.Reason.UNTOLD,
                    f"{attempt.stopping.value}, stopped on {attempt.link.name}",
                )

        self._stops.request(
            attempt.link,
            attempt.task.job.request.namespace,
            attempt.key,
            is_wanted=lambda: attempt.stage is Stage.PLACED,
            on_stopped=on_stopped,
        )
