"""Admission, deletion and eviction of Jobs, independent of the client protocol.

A Job is admitted after these checks, in this order: manifest, name, overload and deadline, limits of this placer,
limits of the whole fleet (which may wait), federation spec, and for a leased Job a replica that holds its record (which
may wait). Nothing of the Job is kept until the last check has passed.
"""

from __future__ import annotations

from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.drain_schedule import DrainSchedule
from wingbarrow.core.job_manifest import JobRequest, job_value, read_job
from wingbarrow.core.job_store import OPEN, JobLease, JobStore, State, Step, TaskRecord
from wingbarrow.core.leased_jobs import LeaseCandidate, LeasedJobs
from wingbarrow.core.remote_regions import RemoteRegions
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide import retries
from wingbarrow.decide.federation.spec import Spec
from wingbarrow.decide.overload import OverloadControl, Rejected
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, not_found


def _named_spec(value: dict[str, Any]) -> str:
    """The federation spec that a Job names; "" if it names none."""
    return str((value["metadata"].get("annotations") or {}).get(names.FEDERATION, ""))


class JobAdmission:
    """Admits, deletes and evicts; every limit on new Jobs is checked here."""

    def __init__(
        self,
        context: CoreContext,
        jobs: JobStore,
        attempts: Attempts,
        objects: ApiObjects,
        requests: Requests,
        runs: Runs,
        stops: Stops,
        drain_schedule: DrainSchedule,
        active_rules: ActiveRules,
        leased_jobs: LeasedJobs | None = None,
        remote_regions: RemoteRegions | None = None,
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._attempts = attempts
        self._objects = objects
        self._requests = requests
        self._runs = runs
        self._stops = stops
        self._drain_schedule = drain_schedule
        self._active_rules = active_rules
        self._leased_jobs = leased_jobs
        self._remote_regions = remote_regions
        self._overload = OverloadControl(context.settings.scheduler.tick_us)

    def check_overload(self, arrived_us: int) -> None:
        """Called for each Job before its body is read; raises ApiError 429 where the placer is overloaded."""
        rejected = self._overload.check_wait(
            self._context.hub.now_us(),
            arrived_us,
            self._context.hub.lag_us(),
            self._jobs.unanswered,
        )
        if rejected is not None:
            raise self._overload_error(rejected)

    def submit(
        self,
        value: dict[str, Any],
        namespace: str,
        *,
        dry_run: bool = False,
        arrived_us: int | None = None,
    ) -> dict[str, Any]:
        """Admit a Job and return it as published. ApiError gives the reason for a rejection, which leaves no trace.

        The owner's patience starts at `arrived_us`, a time no later than the request's arrival; by default now.
        """
        return self._admit(value, namespace, dry_run, arrived_us, is_forwarded=False)

    def submit_forwarded(self, value: dict[str, Any], namespace: str) -> None:
        """Admit a Job that another region's placer forwarded; it is not forwarded again."""
        self._admit(value, namespace, dry_run=False, arrived_us=None, is_forwarded=True)

    def _admit(
        self,
        value: dict[str, Any],
        namespace: str,
        dry_run: bool,
        arrived_us: int | None,
        is_forwarded: bool,
    ) -> dict[str, Any]:
        context = self._context
        self._active_rules.check_rules_permitted()
        generated_suffix = f"{context.random.randrange(36**5):05x}"[-5:]
        request = read_job(
            value, namespace, context.settings.classes, context.settings.limits, generated_suffix
        )
        key = f"{namespace}/{request.name}"
        self._check_name(key, request.name)
        now = context.hub.now_us()
        due_us = self._due_us(request, now, now if arrived_us is None else arrived_us)
        self._check_limits(namespace, request.count)
        if not dry_run:
            self._check_fleet_limits(request, now, due_us)
        if context.hub.now_us() > now:  # waited for quota: other Jobs may have been admitted
            self._check_name(key, request.name)
            self._check_limits(namespace, request.count)
        spec = None
        if self._leased_jobs is not None:
            spec = self._leased_jobs.spec_for(request, _named_spec(value))
        region = context.settings.region
        if spec is not None and self._remote_regions is not None and not dry_run:
            region = self._remote_regions.route(request, spec, is_forwarded)
        uid = names.uid(
            context.settings.name,
            context.incarnation,
            key,
            self._objects.store.version,
            context.random.random(),
        )
        published = job_value(value, request, uid, context.hub.clock.wall_us())
        if dry_run:
            return published
        is_local = region == context.settings.region
        lease = None
        if spec is not None and is_local:
            lease = self._lease(key, uid, request, spec, published, due_us)
        job = self._jobs.add(key, uid, request, published)
        if lease is not None and self._leased_jobs is not None:
            self._leased_jobs.accept(job, lease)
        self._objects.publish_new_job(job)
        if spec is not None and not is_local and self._remote_regions is not None:
            self._remote_regions.forward_job(job, due_us, region, spec.name)
            return published
        for task in job.tasks:
            self._requests.submit(task, due_us)
        return published

    # -- steps of admission; each raises ApiError where the Job is rejected

    def _check_name(self, key: str, name: str) -> None:
        if key in self._jobs.jobs or (
            self._leased_jobs is not None and key in self._leased_jobs.awaiting_replica
        ):
            raise ApiError(
                409, f'jobs.batch "{name}" already exists', "AlreadyExists", name=name, kind="jobs"
            )

    def _due_us(self, request: JobRequest, now_us: int, arrived_us: int) -> int:
        """The time at which the final answer is due."""
        due_us = self._overload.due_us(
            now_us,
            arrived_us,
            request.patience_us,
            self._context.hub.lag_us(),
            self._jobs.unanswered,
            self._jobs.answers.total(),
        )
        if isinstance(due_us, Rejected):
            raise self._overload_error(due_us)
        return due_us

    def _overload_error(self, rejected: Rejected) -> ApiError:
        counter = "turned_away:" + rejected.why.name.lower()
        self._context.counts[counter] += 1
        if self._context.counts[counter] % 1000 == 1:
            self._context.log(
                "job-rejected",
                level="warning",
                why=rejected.why.value,
                so_far=self._context.counts[counter],
            )
        return ApiError(429, rejected.why.value, retry_after_s=rejected.retry_after_s)

    def _check_limits(self, namespace: str, count: int) -> None:
        """Check this placer's own limits on open tasks and pending stops."""
        exceeded = self._jobs.admission.check(namespace, count, self._stops.pending)
        if exceeded is not None:
            self._context.counts["turned_away"] += 1
            self._context.log(
                "job-rejected", level="warning", what=exceeded.what, most=exceeded.limit
            )
            raise ApiError(
                429,
                f"more than {exceeded.limit} {exceeded.what}",
                retry_after_s=exceeded.retry_after_s,
            )

    def _check_fleet_limits(self, request: JobRequest, now_us: int, due_us: int) -> None:
        """Check the limits that placers agree on; waits for quota up to a third of the time that is left."""
        exceeded = self._active_rules.use_quota_or_wait(
            request.namespace,
            request.task_class.task_class.name,
            request.count,
            now_us + max(0, due_us - now_us) // 3,
        )
        if exceeded is None:
            return
        self._context.counts["turned_away:limit"] += 1
        # Random, so that clients that are rejected together do not retry together.
        raise ApiError(
            429,
            f"limit {exceeded.key} of the whole fleet: {exceeded.most}"
            + (f" in {exceeded.window_us / 1e6:g} s" if exceeded.window_us else " at once"),
            retry_after_s=self._context.random.randrange(1, 5),
        )

    def _lease(
        self,
        key: str,
        uid: str,
        request: JobRequest,
        spec: Spec,
        published: dict[str, Any],
        due_us: int,
    ) -> JobLease | None:
        """Replicate the record of a Job whose spec asks for failover, and wait for that. None if it asks for none."""
        if spec.failover is None or self._leased_jobs is None:
            return None
        manifest = {name: part for name, part in published.items() if name != "status"}
        candidate = LeaseCandidate(key, uid, request, spec, names.encode(manifest).decode())
        return self._leased_jobs.replicate(candidate, due_us)

    # -- deletion and eviction

    def delete_job(self, key: str) -> dict[str, Any]:
        """Delete a Job, stop its tasks, and return its last value; ApiError 404 where there is none."""
        job = self._jobs.jobs.get(key)
        if job is None:
            raise not_found("jobs.batch", key.rpartition("/")[2])
        self._jobs.delete(job)
        for task in job.tasks:
            self._withdraw(task)
        last = self._objects.jobs.delete(key)
        self._context.counts["jobs_deleted"] += 1
        return last.value if last else job.value

    def _withdraw(self, task: TaskRecord) -> None:
        state = task.state
        if state not in OPEN:
            return
        attempt = self._attempts.of(task.request)
        self._jobs.transition(task, Step.STOP)
        if self._remote_regions is not None and self._remote_regions.withdraw(task):
            return
        if state is State.RETRYING:
            self._runs.cancel_retry(task)
        elif state is State.PENDING:
            self._requests.withdraw(task)
            if attempt is None:
                return
            attempt.abandoned = True
            if attempt.awaiting_confirmation and self._leased_jobs is not None:
                self._leased_jobs.stop(attempt)
            elif attempt.stage is Stage.SENT:
                # Danger: the offer is in flight; without a stop, the pod that it starts would run without an owner. One
                # stop ends the pod on the machine, and that settles the offer.
                attempt.stopping = retries.RunEnd.STOPPED
                self._stops.request(
                    attempt.link,
                    task.job.request.namespace,
                    attempt.key,
                    is_settled=lambda: attempt.stage is Stage.ENDED,
                )
            elif attempt.scope is not None:
                attempt.scope.cancel()  # nothing was sent: no stop is needed
        elif attempt is not None:
            self._runs.stop(attempt, retries.RunEnd.STOPPED)

    def evict(self, pod: str) -> None:
        """Move one task by its pod's name (Eviction API); ApiError 404 for an unknown pod, 429 for an unsafe class."""
        attempt = self._attempts.by_key.get(pod)
        if attempt is None or attempt.stage is not Stage.PLACED:
            raise not_found("pods", pod)
        if attempt.task.job.request.task_class.task_class.effect is api.Effect.UNSAFE:
            raise ApiError(
                429,
                f"{pod} is of a class that must not start twice; it is never moved",
                retry_after_s=60,
            )
        self._drain_schedule.move_task(attempt.request, "evicted through the API")

    def namespaces(self) -> list[str]:
        """The namespaces of all stored Jobs, and `default`."""
        return sorted({"default", *(job.request.namespace for job in self._jobs.jobs.values())})

    def uid_of(self, key: str) -> str | None:
        """The uid of the Job of that key; None if there is none."""
        job = self._jobs.jobs.get(key)
        return job.uid if job is not None else None
