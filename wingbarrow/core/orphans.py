"""Tasks that run though no open attempt accounts for them: adopted, taken as an answer, or stopped."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core import saved_list as saved
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.intake import JobRequest, job_value
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.core.pods import Phase, PodSight, expected_left_us, pod_resources
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide import orphans as strays
from wingbarrow.decide import retries as again
from wingbarrow.kube import names


class Orphans:
    """Owns what is known of this placer's former life."""

    def __init__(
        self,
        base: Base,
        host: Host,
        book: JobStore,
        attempts: Attempts,
        board: ApiObjects,
        requests: Requests,
        runs: Runs,
        stops: Stops,
    ) -> None:
        self._base, self._host, self._book, self._attempts, self._board = (
            base,
            host,
            book,
            attempts,
            board,
        )
        self._requests, self._runs, self._stops = requests, runs, stops
        self.foreign: Callable[[MachineLink, PodSight], bool] = (
            lambda link, sight: False
        )  # not by a present lease
        # A leased Job's: whether a keeper's word comes first, and then its answer.
        self.leased: Callable[[MachineLink, str, TaskRecord, int | None], bool] = (
            lambda link, pod, task, left: False
        )
        state = base.settings.state
        self._former_us = saved.last_alive(Path(state)) if state else None

    def seen(self, link: MachineLink, sight: PodSight) -> None:
        """A machine tells of a pod that no open attempt accounts for."""
        if sight.phase is not Phase.RUNNING or self.foreign(link, sight):
            return
        job = self._book.jobs.get(sight.job_key)
        if job is not None and job.uid == sight.job_uid and sight.index < len(job.tasks):
            self.judge(link, sight.name, sight.namespace, job.tasks[sight.index], sight)
        elif sight.name.startswith(f"t{self._base.life}-") or self._book.was_deleted(sight.job_uid):
            # Danger: what was deleted would come back. A pod of this life without a Job is nobody's; for those of a
            # former life the deleted Job's uid is remembered.
            self._stop(link, sight.namespace, sight.name)
        else:
            self._adopt_job(link, sight)

    def judge(
        self, link: MachineLink, pod: str, namespace: str, task: TaskRecord, sight: PodSight | None
    ) -> None:
        """Do with a known task's stray what `decide.orphans` says."""
        job, state = task.job, task.state
        if job.leased is not None and not job.leased.session:
            return  # Danger: this placer has no say over it any more; its machine stops it, or a stop is under way
        verdict = strays.judge(
            strays.Sight(
                job.asked.task_class.task_class.effect,
                True,
                not job.deleted,
                state in (State.ASKED, State.AGAIN),
                state is State.ASKED and self._attempts.of(task.request) is not None,
                state in (State.PLACED, State.FOUND),
                state in (State.DONE, State.STOPPED) and not job.adopted,
            )
        )
        self._base.counts["stray:" + verdict.value] += 1
        self._base.log(
            "stray",
            level="warning",
            job=job.key,
            task=task.index,
            machine=link.name,
            verdict=verdict.value,
        )
        if verdict is strays.Stray.STOP:
            self._stop(link, namespace, pod)
        elif verdict is strays.Stray.ADOPT:
            self._adopt(link, pod, task, sight)
        elif verdict is strays.Stray.PLACE:
            self._place_late(link, pod, task, sight)

    def _stop(self, link: MachineLink, namespace: str, pod: str) -> None:
        if not self._stops.owes(link, pod):
            self._base.counts["strays_stopped"] += 1
            self._stops.owe(link, namespace, pod)

    def _place_late(
        self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None
    ) -> None:
        """A copy runs that the open request can have as its own: it ends as placed."""
        left = expected_left_us(sight.value) if sight else task.job.asked.expected_us
        if self.leased(link, pod, task, left):
            return
        if task.state is State.AGAIN:
            self._runs.cancel_again(task)
            self._book.step(task, Step.ASK)
        else:
            self._requests.withdraw(task)
        self._book.step(task, Step.PLACE)
        self._hand_over(link, pod, task, sight)

    def _adopt(self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None) -> None:
        if self._book.step(task, Step.ADOPT):
            self._board.tell(
                task.job, "Normal", "FoundRunning", f"task {task.index} runs on {link.name}"
            )
            self._hand_over(link, pod, task, sight)

    def _hand_over(
        self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None
    ) -> None:
        """Give a running task to the module as found; attempt 0 is deemed made."""
        now = self._base.hub.now_us()
        request = self._book.open_request(task, now)
        task.binds, task.machine = 1, link.name
        attempt = Attempt(request, 0, task, link, pod, now, now, Stage.PLACED, now)
        self._attempts.add(attempt)
        self._requests.attempt_began(attempt)
        self._board.mark(task.job)
        left = expected_left_us(sight.value) if sight else task.job.asked.expected_us
        self._host.feed(api.TaskFound(self._requests.arrival(task, request, left), link.ident))

    def _adopt_job(self, link: MachineLink, sight: PodSight) -> None:
        """A former life's task: its Job is made anew from what the machine holds."""
        asked = self._read_former(link, sight)
        if asked is None or sight.job_key in self._book.jobs:
            self._base.counts["not_adopted"] += 1
            self._base.log("not-adopted", level="error", machine=link.name, job=sight.job_key)
            return
        job = self._book.add(
            sight.job_key, sight.job_uid, asked, self._former_value(sight, asked), adopted=True
        )
        self._base.counts["jobs_adopted"] += 1
        task = job.tasks[sight.index]
        task.doubtful = not again.was_answered(
            sight.started_us, self._former_us, self._base.born_us
        )
        self._base.counts["adopted_in_doubt"] += task.doubtful
        self._adopt(link, sight.name, task, sight)

    def _read_former(self, link: MachineLink, sight: PodSight) -> JobRequest | None:
        value = sight.value
        labels, notes = value["metadata"].get("labels") or {}, value["metadata"]["annotations"]
        settings = self._base.settings.classes.get(labels.get(names.CLASS, ""))
        namespace, _, name = sight.job_key.partition("/")
        try:
            cores, memory = pod_resources(value)
        except ValueError as error:
            self._base.log("bad-pod", level="warning", machine=link.name, field=str(error))
            return None
        if settings is None:
            return None
        safe = settings.task_class.effect is not api.Effect.UNSAFE
        return JobRequest(
            namespace,
            name,
            settings,
            notes.get(names.SERVICE, sight.job_key),
            sight.job_size,
            cores,
            memory,
            settings.patience_us,
            expected_left_us(value),
            settings.restarts if safe else 0,
        )

    def _former_value(self, sight: PodSight, asked: JobRequest) -> dict[str, Any]:
        value, notes = sight.value, sight.value["metadata"]["annotations"]
        spec = {
            key: part for key, part in value["spec"].items() if key not in ("nodeName", "priority")
        }
        kept = {
            key: text
            for key, text in notes.items()
            if key in (names.RUNS_FOR, names.EXPECTED, names.PATIENCE)
        }
        labels = {names.CLASS: asked.task_class.task_class.name}
        return job_value(
            {
                "metadata": {"labels": labels, "annotations": kept},
                "spec": {"template": {"spec": spec}},
            },
            asked,
            sight.job_uid,
            self._base.hub.clock.wall_us(),
        )
