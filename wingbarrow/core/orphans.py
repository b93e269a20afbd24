"""Orphaned pods: running pods without an open attempt. Each is adopted, accepted as a placement, left alone or stopped.

`decide.orphans` chooses the action and this component carries it out. Orphans result from lost responses, from offers
that were accepted after they had been given up, and from an earlier incarnation of this placer.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core import saved_list
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.job_manifest import JobRequest, job_value
from wingbarrow.core.job_store import JobStore, State, Step, TaskRecord
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.pods import PodPhase, PodStatus, expected_run_time_us, pod_resources
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide import orphans, retries
from wingbarrow.kube import names


class Orphans:
    """Carries out the actions on orphans; holds the last heartbeat of the earlier incarnation."""

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        jobs: JobStore,
        attempts: Attempts,
        objects: ApiObjects,
        requests: Requests,
        runs: Runs,
        stops: Stops,
    ) -> None:
        self._context = context
        self._host = host
        self._jobs = jobs
        self._attempts = attempts
        self._objects = objects
        self._requests = requests
        self._runs = runs
        self._stops = stops
        # Whether a pod belongs to another placer by a lease in force.
        self.is_foreign: Callable[[MachineLink, PodStatus], bool] = lambda link, pod_status: False
        # Returns True where the placement belongs to a leased Job: it is answered once a replica has acknowledged it.
        self.place_leased: Callable[[MachineLink, str, TaskRecord, int | None], bool] = (
            lambda link, pod, task, left: False
        )
        state = context.settings.state
        self._last_heartbeat_us = saved_list.read_heartbeat(Path(state)) if state else None

    def on_pod(self, link: MachineLink, pod_status: PodStatus) -> None:
        """Handle a machine's report of a pod that has no open attempt."""
        if pod_status.phase is not PodPhase.RUNNING or self.is_foreign(link, pod_status):
            return
        job = self._jobs.jobs.get(pod_status.job_key)
        if job is not None and job.uid == pod_status.job_uid and pod_status.index < len(job.tasks):
            self.resolve(
                link, pod_status.name, pod_status.namespace, job.tasks[pod_status.index], pod_status
            )
        elif pod_status.name.startswith(f"t{self._context.incarnation}-") or self._jobs.was_deleted(
            pod_status.job_uid
        ):
            # Danger: adopting the pod would bring back a deleted Job. A pod of this incarnation whose Job is not known
            # has no owner; for pods of an earlier incarnation, the uids of deleted Jobs are remembered.
            self._stop(link, pod_status.namespace, pod_status.name)
        else:
            self._adopt_job(link, pod_status)

    def resolve(
        self,
        link: MachineLink,
        pod: str,
        namespace: str,
        task: TaskRecord,
        pod_status: PodStatus | None,
    ) -> None:
        """Carry out the action of `decide.orphans` on an orphan whose task is known."""
        job, state = task.job, task.state
        if job.lease is not None and not job.lease.session:
            return  # Danger: its session has ended. Its machine stops the pod, or a stop is already pending.
        action = orphans.action_for(
            orphans.Orphan(
                job.request.task_class.task_class.effect,
                True,
                not job.deleted,
                state in (State.PENDING, State.RETRYING),
                state is State.PENDING and self._attempts.of(task.request) is not None,
                state in (State.PLACED, State.ADOPTED),
                state in (State.DONE, State.STOPPED) and not job.adopted,
            )
        )
        self._context.counts["stray:" + action.value] += 1
        self._context.log(
            "stray",
            level="warning",
            job=job.key,
            task=task.index,
            machine=link.name,
            verdict=action.value,
        )
        if action is orphans.OrphanAction.STOP:
            self._stop(link, namespace, pod)
        elif action is orphans.OrphanAction.ADOPT:
            self._adopt(link, pod, task, pod_status)
        elif action is orphans.OrphanAction.PLACE:
            self._place_late(link, pod, task, pod_status)

    def _stop(self, link: MachineLink, namespace: str, pod: str) -> None:
        if not self._stops.is_pending(link, pod):
            self._context.counts["strays_stopped"] += 1
            self._stops.request(link, namespace, pod)

    def _place_late(
        self, link: MachineLink, pod: str, task: TaskRecord, pod_status: PodStatus | None
    ) -> None:
        """Answer the task's open request as placed, with the orphan as the placement."""
        left = (
            expected_run_time_us(pod_status.value) if pod_status else task.job.request.expected_us
        )
        if self.place_leased(link, pod, task, left):
            return
        if task.state is State.RETRYING:
            self._runs.cancel_retry(task)
            self._jobs.transition(task, Step.RETRY)
        else:
            self._requests.withdraw(task)
        self._jobs.transition(task, Step.PLACE)
        self._feed_found(link, pod, task, pod_status)

    def _adopt(
        self, link: MachineLink, pod: str, task: TaskRecord, pod_status: PodStatus | None
    ) -> None:
        if self._jobs.transition(task, Step.ADOPT):
            self._objects.record_event(
                task.job, "Normal", "FoundRunning", f"task {task.index} runs on {link.name}"
            )
            self._feed_found(link, pod, task, pod_status)

    def _feed_found(
        self, link: MachineLink, pod: str, task: TaskRecord, pod_status: PodStatus | None
    ) -> None:
        """Report a running task to the decision module as found; it counts as attempt 0."""
        now = self._context.hub.now_us()
        request = self._jobs.open_request(task, now)
        task.attempts_made, task.machine = 1, link.name
        attempt = Attempt(request, 0, task, link, pod, now, now, Stage.PLACED, now)
        self._attempts.add(attempt)
        self._requests.on_attempt_began(attempt)
        self._objects.mark_changed(task.job)
        left = (
            expected_run_time_us(pod_status.value) if pod_status else task.job.request.expected_us
        )
        self._host.feed(
            api.TaskFound(self._requests.arrived_event(task, request, left), link.ident)
        )

    def _adopt_job(self, link: MachineLink, pod_status: PodStatus) -> None:
        """Recreate the Job of a pod of an earlier incarnation from the pod, and adopt its task."""
        job_request = self._recreate_request(link, pod_status)
        if job_request is None or pod_status.job_key in self._jobs.jobs:
            self._context.counts["not_adopted"] += 1
            self._context.log(
                "pod-not-adopted", level="error", machine=link.name, job=pod_status.job_key
            )
            return
        job = self._jobs.add(
            pod_status.job_key,
            pod_status.job_uid,
            job_request,
            self._recreate_job(pod_status, job_request),
            adopted=True,
        )
        self._context.counts["jobs_adopted"] += 1
        task = job.tasks[pod_status.index]
        task.answer_uncertain = not retries.was_answered(
            pod_status.started_us, self._last_heartbeat_us, self._context.started_us
        )
        self._context.counts["adopted_in_doubt"] += task.answer_uncertain
        self._adopt(link, pod_status.name, task, pod_status)

    def _recreate_request(self, link: MachineLink, pod_status: PodStatus) -> JobRequest | None:
        value = pod_status.value
        labels, annotations = (
            value["metadata"].get("labels") or {},
            value["metadata"]["annotations"],
        )
        settings = self._context.settings.classes.get(labels.get(names.CLASS, ""))
        namespace, _, name = pod_status.job_key.partition("/")
        try:
            cores, memory = pod_resources(value)
        except ValueError as error:
            self._context.log(
                "unreadable-pod", level="warning", machine=link.name, field=str(error)
            )
            return None
        if settings is None:
            return None
        safe = settings.task_class.effect is not api.Effect.UNSAFE
        return JobRequest(
            namespace,
            name,
            settings,
            annotations.get(names.SERVICE, pod_status.job_key),
            pod_status.job_size,
            cores,
            memory,
            settings.patience_us,
            expected_run_time_us(value),
            settings.restarts if safe else 0,
        )

    def _recreate_job(self, pod_status: PodStatus, job_request: JobRequest) -> dict[str, Any]:
        value, annotations = pod_status.value, pod_status.value["metadata"]["annotations"]
        spec = {
            key: part for key, part in value["spec"].items() if key not in ("nodeName", "priority")
        }
        kept = {
            key: text
            for key, text in annotations.items()
            if key in (names.RUNS_FOR, names.EXPECTED, names.PATIENCE)
        }
        labels = {names.CLASS: job_request.task_class.task_class.name}
        return job_value(
            {
                "metadata": {"labels": labels, "annotations": kept},
                "spec": {"template": {"spec": spec}},
            },
            job_request,
            pod_status.job_uid,
            self._context.hub.clock.wall_us(),
        )
