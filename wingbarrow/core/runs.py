"""Placed tasks: how their runs end, asking for them again, moves and stops."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.requests import Requests
from wingbarrow.core.stops import Stops
from wingbarrow.decide import retries as again
from wingbarrow.transport import Timer


class Runs:
    """Owns the timers of tasks that will be asked for again."""

    def __init__(
        self,
        base: Base,
        book: JobStore,
        attempts: Attempts,
        board: ApiObjects,
        requests: Requests,
        stops: Stops,
    ) -> None:
        self._base, self._jobs, self._attempts, self._objects = base, book, attempts, board
        self._requests, self._stops = requests, stops
        self._retry_timers: dict[str, Timer] = {}

    def on_ended(self, attempt: Attempt, end: again.RunEnd, reason: api.Reason, words: str) -> None:
        """A placed task's run is over."""
        task, job = attempt.task, attempt.task.job
        if attempt.stage is not Stage.PLACED:
            return
        if attempt.stopping is again.RunEnd.STOPPED:
            end = (
                again.RunEnd.STOPPED
            )  # its owner deleted it: how it ended before the stop came changes nothing
        outcome = (
            api.Outcome.DONE
            if end is again.RunEnd.DONE
            else api.Outcome.CANCELLED
            if end in (again.RunEnd.MOVED, again.RunEnd.STOPPED)
            else api.Outcome.BROKEN
        )
        task.last_outcome = words
        if task.request == attempt.request:
            self._requests.close(task)
        self._objects.mark(job)
        if end is again.RunEnd.DONE:
            self._jobs.transition(task, Step.DONE)
        elif end is not again.RunEnd.STOPPED:
            self._retry_or_lose(task, end, words)
        self._requests.on_attempt_ended(
            attempt, outcome, reason, self._base.hub.now_us() - attempt.placed_us
        )

    def on_lost(self, attempt: Attempt, words: str) -> None:
        """Its machine holds it no longer, or is gone."""
        end = attempt.stopping or again.RunEnd.LOST
        self.on_ended(attempt, end, api.Reason.UNTOLD, f"{words} ({attempt.link.name})")

    def _retry_or_lose(self, task: TaskRecord, end: again.RunEnd, words: str) -> None:
        effect = task.job.request.task_class.task_class.effect
        verdict = again.decide_retry(
            end, effect, task.restarts_left, task.losses, self._base.random
        )
        self._base.counts["run:" + end.value] += 1
        # A task found running in this life had its answer from its owner's point of view: failed, or refused. One of a
        # former life was placed, and its Job still wants it, where it is sure that its owner was told so.
        answered_otherwise = task.state is State.ADOPTED and (
            not task.job.adopted or task.answer_uncertain
        )
        if verdict.after_us is None or answered_otherwise:
            self._jobs.transition(task, Step.LOSE)
            self._objects.record_event(
                task.job, "Warning", "Lost", f"task {task.index}: {words}; not asked for again"
            )
            return
        if verdict.counts:
            task.restarts_left -= 1
            task.losses += 1
        self._jobs.transition(task, Step.SCHEDULE_RETRY)
        self._objects.record_event(
            task.job,
            "Normal",
            "Moved" if end is again.RunEnd.MOVED else "Lost",
            f"task {task.index}: {words}; asked for again",
        )
        self.schedule_retry(task, verdict.after_us)

    def schedule_retry(self, task: TaskRecord, after_us: int) -> None:
        """Ask for a task that waits, after a while."""

        def due() -> None:
            self._retry_timers.pop(task.name, None)
            if self._jobs.transition(task, Step.RETRY):
                self._objects.mark(task.job)
                self._requests.submit(task)

        self._retry_timers[task.name] = self._base.hub.call_at(
            self._base.hub.now_us() + after_us, due
        )

    def cancel_retry(self, task: TaskRecord) -> None:
        """It will not be asked for again after all."""
        timer = self._retry_timers.pop(task.name, None)
        if timer is not None:
            timer.cancel()

    def move(self, request: int) -> None:
        """Stop a placed task, which is then asked for again."""
        attempt = self._attempts.of(request)
        # Danger: a move of what is not asked for again would only stop it.
        if (
            attempt is None
            or attempt.stage is not Stage.PLACED
            or attempt.stopping is not None
            or attempt.task.answer_uncertain
        ):
            self._base.counts["moves_dropped"] += 1
            return
        self._base.counts["moves"] += 1
        self.stop(attempt, again.RunEnd.MOVED)

    def stop(self, attempt: Attempt, end: again.RunEnd) -> None:
        """Have a placed task stopped; its run ends so once the machine says that it is over."""
        attempt.stopping = end

        def stopped() -> None:
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
            wanted=lambda: attempt.stage is Stage.PLACED,
            done=stopped,
        )
