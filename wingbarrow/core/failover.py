"""Jobs of other placers' ended sessions that this placer runs, as `decide.replication.replicator` decides.

This placer owes no answer for a Job that it takes over: only the placer that accepted the Job may have answered its
owner. The Job is published under its name, with the session that it was leased under. Its tasks are requested of the
module like lost tasks, within the free capacity of this region, until they are placed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.ended_session import TAKEN_OVER, EndedSessionJobs
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.job_components import JobComponents
from wingbarrow.core.job_manifest import JobRequest, read_job
from wingbarrow.core.job_store import JobLease, JobRecord, State, Step, TaskRecord
from wingbarrow.core.leased_jobs import UNKNOWN, LeasedJobs
from wingbarrow.core.machine_fences import MachineFences
from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions
from wingbarrow.decide.replication.records import ReplicationTerms
from wingbarrow.decide.sessions.failover import StartOrder
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import MachineQuery
from wingbarrow.decide.sessions.recovery import OwnJob
from wingbarrow.decide.sessions.reissue import ReissueDecision
from wingbarrow.decide.sessions.session import Session
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, not_found
from wingbarrow.peers.replication import RecoveredJob, ReissueEvent

MAX_PENDING_TASKS = 64  # tasks that were taken over and are not placed yet
FORMER_SESSION_ANNOTATION = names.PREFIX + "taken-over-from"
MAX_NAME_PREFIX_CHARS = 50  # kept of a Job's name if that is in use already
PERCENT = 100


class JobFailover:
    """Starts the Jobs that this placer takes over, and lists those that may or may not have run."""

    def __init__(self, components: JobComponents, fleet: Fleet, leased_jobs: LeasedJobs) -> None:
        self._context = components.context
        self._store = components.store
        self._objects = components.objects
        self._requests = components.requests
        self._fleet = fleet
        self._leased_jobs = leased_jobs
        self._records = leased_jobs.records
        self._pending: dict[str, TaskRecord] = {}  # taken over and not placed yet, by name
        self._store.state_listeners.append(self._on_transition)

    # -- federation specs

    def terms_of(self, record: LeasedJobRecord) -> ReplicationTerms:
        """The replication that a Job's present spec asks for; no regions if the spec has no failover."""
        federation = self._leased_jobs.federation()
        spec = _spec_of(record, federation)
        if spec is None or spec.failover is None:
            return ReplicationTerms((), 1)
        return ReplicationTerms(allowed_regions(spec, federation), spec.failover.copies)

    def _may_start(self, record: LeasedJobRecord, free: tuple[float, float]) -> bool:
        """Whether a Job's present spec lets it run here after its region is lost, within the spec's part of `free`."""
        federation = self._leased_jobs.federation()
        here = self._context.settings.region
        spec = _spec_of(record, federation)
        if spec is None or spec.failover is None or "lost" not in spec.failover.on:
            return False
        if here not in spec.failover_targets(record.region) or here not in allowed_regions(
            spec, federation
        ):
            return False
        part = spec.failover.room / PERCENT
        free_cores, free_memory = free
        namespace, _, _ = record.key.partition("/")
        return (
            record.cores * record.count <= free_cores * part
            and record.memory * record.count <= free_memory * part
            and self._store.admission.check(namespace, record.count) is None
        )

    # -- start of Jobs that are taken over

    def _free_capacity(self) -> tuple[float, float]:
        """The free cores and GiB of this region's machines, as its list reports them."""
        cores = memory = 0.0
        for entry in self._fleet.held.values():
            listed = entry.listed
            is_known = math.isfinite(listed.free_cores + listed.free_memory)
            if listed.phase is api.Phase.RUNNING and is_known:
                cores += max(0.0, listed.free_cores)
                memory += max(0.0, listed.free_memory)
        return cores, memory

    def on_startable(self) -> None:
        """Start ready Jobs, within the free capacity minus that of tasks taken over but not placed yet."""
        free = self._free_capacity()
        cores, memory = free
        for task in self._pending.values():
            cores -= task.job.request.cores
            memory -= task.job.request.memory
        if len(self._pending) >= MAX_PENDING_TASKS:
            cores = memory = 0.0  # a later call starts what is ready
        starts = self._records.next_starts(
            cores, memory, lambda record: self._may_start(record, free)
        )
        for start in starts:
            self._start(start)
        self._objects.flush()

    def _on_transition(self, task: TaskRecord, before: State) -> None:
        if task.job.lease is not None and task.job.lease.previous_session:
            if task.state in (State.PENDING, State.RETRYING):
                self._pending[task.name] = task
            else:
                self._pending.pop(task.name, None)

    def _start(self, start: StartOrder) -> None:
        record = start.record
        session = self._records.replicator.primary.session
        former = record.session.text()
        job = self._add_job(record)
        if job is None:
            return
        job.lease = JobLease(record.spec, session.text(), start.epoch, former)
        if UNKNOWN in job.conditions:
            job.conditions[UNKNOWN] = "Released", "an operator said that it never ran"
        job.conditions[TAKEN_OVER] = "Run", f"run here at epoch {start.epoch}; {former} held it"
        self._leased_jobs.jobs[record.uid] = job
        self._context.counts["taken over"] += 1
        for index in start.indexes:
            task = job.tasks[index]
            task.last_outcome = ""
            if self._store.transition(task, Step.TAKE_OVER):
                self._requests.submit(task)
        self._objects.mark_changed(job)

    def _add_job(self, record: LeasedJobRecord) -> JobRecord | None:
        """The Job of a record, added to the store if absent; None, and logged, if its manifest cannot be read here."""
        present = self._store.jobs.get(record.key)
        if present is not None and present.uid == record.uid:
            return present
        namespace, _, name = record.key.partition("/")
        try:
            value = names.decode(record.manifest)
            if present is not None:  # another Job here has that name
                name = f"{name[:MAX_NAME_PREFIX_CHARS]}-{record.uid[:8]}"
                value["metadata"]["name"] = name
            request = self._read(value, namespace)
        except (ApiError, ValueError, KeyError, TypeError) as error:
            self._context.counts["taken over:unreadable"] += 1
            self._context.log(
                "failover-manifest-unreadable",
                level="error",
                job=record.key,
                uid=record.uid,
                why=str(error)[:300],
            )
            return None
        metadata = value["metadata"]
        metadata["annotations"] = {
            **(metadata.get("annotations") or {}),
            FORMER_SESSION_ANNOTATION: record.session.text(),
        }
        value["status"] = {"startTime": names.short_time(self._context.hub.clock.wall_us())}
        job = self._store.add(f"{namespace}/{name}", record.uid, request, value, adopted=True)
        self._objects.publish_new_job(job)
        return job

    def _read(self, value: dict[str, Any], namespace: str) -> JobRequest:
        settings = self._context.settings
        return read_job(value, namespace, settings.classes, settings.limits, "")

    # -- decisions on Jobs of ended sessions

    def on_reissue(self, event: ReissueEvent) -> None:
        """Log a decision, publish a Job that is kept as unknown, and remove the record of one that has ended."""
        self._context.log(
            "reissue",
            job=event.key,
            uid=event.uid,
            verdict=event.verdict,
            epoch=event.epoch,
            why=event.why,
        )
        self._context.counts["reissue:" + event.verdict] += 1
        replicator = self._records.replicator
        if event.verdict == ReissueDecision.UNKNOWN.value:
            record = replicator.failover_record(event.uid)
            if record is not None:
                self._publish_unknown(record, event.why)
        elif (
            event.verdict == ReissueDecision.NOTHING.value
            and replicator.failover_outcome(event.uid) == event.verdict
        ):
            self._context.spawn(
                lambda: self._records.remove(event.uid), "remove the record of an ended Job"
            )

    def _publish_unknown(self, record: LeasedJobRecord, why: str) -> None:
        job = self._add_job(record)
        if job is None:
            return
        job.conditions[UNKNOWN] = (
            "Unknown",
            f"{why}; {record.session.text()} held it; neither started nor "
            "given up until an operator says that it never ran, or did",
        )
        self._objects.mark_changed(job)
        self._objects.flush()

    # -- unknown Jobs, for operators

    def unknown_jobs(self) -> list[dict[str, Any]]:
        """Jobs that must not start twice and may have started already, in the form of the API."""
        return [
            {
                "job": record.key,
                "uid": record.uid,
                "heldBy": record.session.text(),
                "region": record.region,
                "class": record.effect,
                "acceptedSecondsAgo": record.born_age_us // 1_000_000,
                "tasks": [
                    {
                        "index": task.index,
                        "phase": task.phase,
                        "machine": task.machine,
                        "pod": task.attempt,
                    }
                    for task in record.tasks
                ],
            }
            for record in self._records.replicator.unknown_jobs()
        ]

    def resolve_unknown_job(self, key: str, ran: bool) -> None:
        """Apply an operator's decision: start a Job that never ran, remove one that ran. ApiError 404 if not listed."""
        unknown = self._records.replicator.unknown_jobs()
        record = next((each for each in unknown if each.key == key), None)
        if record is None:
            raise not_found("unknown", key)
        self._context.log("unknown-job-resolved", level="warning", job=key, uid=record.uid, ran=ran)
        if not ran:
            self._records.confirm_never_ran(record.uid)
            return
        self._records.remove(record.uid)
        for job in [each for each in self._store.jobs.values() if each.uid == record.uid]:
            job.conditions[TAKEN_OVER] = "Ran", "an operator said that it ran"
            self._objects.mark_changed(job)
        self._objects.flush()


class FailoverListener:
    """Passes replication events (`peers.replication.ReplicationListener`) to the components that handle them."""

    def __init__(
        self, failover: JobFailover, own_jobs: EndedSessionJobs, fences: MachineFences
    ) -> None:
        self._failover = failover
        self._own_jobs = own_jobs
        self._fences = fences

    def on_startable(self) -> None:
        """Start Jobs that were taken over."""
        self._failover.on_startable()

    def on_reissue(self, event: ReissueEvent) -> None:
        """Handle a decision on a Job of an ended session."""
        self._failover.on_reissue(event)

    def on_machine_query(self, ident: str, query: MachineQuery) -> None:
        """Fence a Job at a machine of this region."""
        self._fences.on_machine_query(ident, query)

    def on_superseded(self, uid: str, primary: str) -> None:
        """Give up a Job that another placer runs."""
        self._own_jobs.on_superseded(uid, primary)

    def on_recovered(self, job: RecoveredJob) -> None:
        """Publish the outcome of a Job of an ended session."""
        self._own_jobs.on_recovered(job)

    def on_session_over(self, session: Session) -> None:
        """Give up all Jobs of this placer's ended session."""
        self._own_jobs.on_session_over(session)

    def own_jobs(self, session: Session) -> Mapping[str, OwnJob]:
        """The Jobs by uid that were leased under `session`, if it is this placer's."""
        return self._own_jobs.own_jobs(session)

    def terms_of(self, record: LeasedJobRecord) -> ReplicationTerms:
        """The replication that a Job's present spec asks for."""
        return self._failover.terms_of(record)


def _spec_of(record: LeasedJobRecord, federation: Federation) -> Spec | None:
    """The present spec of a record. If none has its name any longer, the one for the Job's annotation and class."""
    spec = federation.specs_by_name.get(record.spec)
    if spec is not None:
        return spec
    try:
        metadata = names.decode(record.manifest)["metadata"]
        spec_name = str((metadata.get("annotations") or {}).get(names.FEDERATION, ""))
        class_name = str((metadata.get("labels") or {}).get(names.CLASS, ""))
        return federation.spec_for(class_name, spec_name)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
