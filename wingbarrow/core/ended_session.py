"""This placer's Jobs after their session has ended, and running copies whose lease is not of the present session.

Successors decide about the Jobs of an ended session. Their copies here are stopped, except those of work that must not
start twice: stopping such work midway does harm too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Stage
from wingbarrow.core.job_components import JobComponents
from wingbarrow.core.job_store import RUNNING, JobRecord, State, Step, TaskRecord
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.pods import PodStatus
from wingbarrow.decide.sessions.recovery import OwnJob
from wingbarrow.decide.sessions.session import Session
from wingbarrow.kube import names
from wingbarrow.peers.replication import RecoveredJob

MAX_REMEMBERED_SESSIONS = 8  # ended sessions of this placer whose Jobs are remembered
MAX_LOGGED_ORPHANS = 4096
FLUSH_DELAY_US = 20_000  # outcomes within this delay are published together
TAKEN_OVER = names.PREFIX + "TakenOver"  # conditions of Jobs
LEASE_ENDED = names.PREFIX + "LeaseEnded"


@dataclass(frozen=True, slots=True)
class GivenUpJob:
    """A Job as it was when its session ended."""

    own: OwnJob
    job: JobRecord


class EndedSessionJobs:
    """Gives up Jobs whose lease is lost, and publishes their outcomes."""

    def __init__(self, components: JobComponents, leased_jobs: LeasedJobs) -> None:
        self._context = components.context
        self._store = components.store
        self._attempts = components.attempts
        self._objects = components.objects
        self._requests = components.requests
        self._runs = components.runs
        self._stops = components.stops
        self._leased_jobs = leased_jobs
        self._replicator = leased_jobs.records.replicator
        self._given_up: dict[str, dict[str, GivenUpJob]] = {}  # by session and uid
        self._logged_orphans: set[tuple[str, str]] = set()  # session and pod
        self._flush_is_due = False

    def own_jobs(self, session: Session) -> Mapping[str, OwnJob]:
        """The Jobs by uid that are leased under `session`, if it is this placer's; they are remembered from then on."""
        if session.placer != self._context.settings.name:
            return {}
        text = session.text()
        given_up = self._given_up.setdefault(text, {})
        primary = self._replicator.primary
        for job in self._leased_jobs.jobs.values():
            replicated = primary.jobs.get(job.uid) or primary.former_jobs.get(job.uid)
            if job.lease is not None and job.lease.session == text and replicated is not None:
                runs = any(task.state in RUNNING for task in job.tasks)
                given_up[job.uid] = GivenUpJob(OwnJob(replicated.record, runs), job)
        while len(self._given_up) > MAX_REMEMBERED_SESSIONS:
            del self._given_up[next(iter(self._given_up))]
        return {uid: each.own for uid, each in given_up.items()}

    def on_session_over(self, session: Session) -> None:
        """Give up all Jobs, as this placer's session has ended."""
        self.own_jobs(session)
        message = f"the lease {session.text()} was ended, others may run it by now"
        for job in list(self._leased_jobs.jobs.values()):
            self._give_up(job, LEASE_ENDED, "SessionEnded", message)
        self._objects.flush()

    def on_superseded(self, uid: str, primary: str) -> None:
        """Give up a Job that has another placer as its primary."""
        job = self._leased_jobs.jobs.get(uid)
        if job is not None:
            self._give_up(job, TAKEN_OVER, "TakenOver", f"{primary} holds it by now")
            self._objects.flush()

    def _give_up(self, job: JobRecord, condition: str, reason: str, message: str) -> None:
        """Send no more offers of a Job, and stop its copies unless it must not start twice."""
        is_unsafe = job.request.task_class.task_class.effect is api.Effect.UNSAFE
        self._leased_jobs.jobs.pop(job.uid, None)
        if job.lease is not None:
            job.lease = replace(job.lease, session="")
        job.conditions[condition] = reason, message
        for task in job.tasks:
            attempt = self._attempts.of(task.request) if task.request else None
            task.last_outcome = message
            if task.state is State.PENDING:
                job.lease_lost = True
                self._give_up_request(task, attempt, message, is_unsafe=is_unsafe)
            elif task.state is State.RETRYING:
                self._runs.cancel_retry(task)
                self._store.transition(task, Step.STOP)
            elif task.state in RUNNING and attempt is not None:
                if is_unsafe:
                    self._context.counts["leases:left running"] += 1
                else:
                    self._store.transition(task, Step.LOSE)
                    self._leased_jobs.stop(attempt)
        self._objects.mark_changed(job)

    def _give_up_request(
        self, task: TaskRecord, attempt: Attempt | None, message: str, *, is_unsafe: bool
    ) -> None:
        """Answer a task's open request as failed."""
        if attempt is None:
            self._requests.fail(task)
        elif is_unsafe and attempt.stage is Stage.SENT and not attempt.awaiting_confirmation:
            self._requests.fail(task)
            self._context.counts["leases:left in doubt"] += 1
        else:
            self._leased_jobs.fail_lease_lost(attempt, message)

    def on_recovered(self, recovered: RecoveredJob) -> None:
        """Publish the outcome of a Job of an ended session, as its successor reported it."""
        self._context.counts["healed:" + recovered.outcome] += 1
        if recovered.primary:
            where = f"{recovered.primary} has it at epoch {recovered.epoch}"
        else:
            where = "nobody has it"
        for jobs in self._given_up.values():
            given_up = jobs.get(recovered.uid)
            if given_up is not None and not given_up.job.deleted:
                reason = recovered.outcome.title().replace(" ", "")
                given_up.job.conditions[TAKEN_OVER] = reason, f"{where}; {recovered.why}"
                self._objects.mark_changed(given_up.job)
        self._flush_soon()

    def _flush_soon(self) -> None:
        """Publish the outcomes of a batch together."""
        if not self._flush_is_due:
            self._flush_is_due = True
            self._context.hub.call_at(self._context.hub.now_us() + FLUSH_DELAY_US, self._flush)

    def _flush(self) -> None:
        self._flush_is_due = False
        self._objects.flush()

    # -- running copies

    def is_leased_orphan(self, link: MachineLink, status: PodStatus) -> bool:
        """Whether a running copy is leased and belongs to no Job of this placer; it is then stopped, or logged once.

        Such a copy is of an earlier incarnation or of an ended session. It is never adopted: its machine stops it when
        its lease expires there, and successors decide about its Job.
        """
        session = status.session
        if not session:
            return False
        primary = self._replicator.primary
        is_current = session == primary.session.text() and not primary.session_ended
        if is_current and status.job_uid in self._leased_jobs.jobs:
            return False
        is_unsafe = self._is_unsafe(status)
        if not is_unsafe and self._leased_jobs.has_ended(session):
            self._stops.request(link, status.namespace, status.name)
            self._context.counts["leases:strays stopped"] += 1
        elif (session, status.name) not in self._logged_orphans and (
            len(self._logged_orphans) < MAX_LOGGED_ORPHANS
        ):
            self._logged_orphans.add((session, status.name))
            self._context.log(
                "leased-orphan",
                level="warning",
                machine=link.name,
                job=status.job_key,
                pod=status.name,
                session=session,
                left="running" if is_unsafe else "until its lease expires",
            )
        return True

    def _is_unsafe(self, status: PodStatus) -> bool:
        """Whether a copy must not start twice; one of an unknown class counts as such."""
        labels = status.value["metadata"].get("labels") or {}
        settings = self._context.settings.classes.get(str(labels.get(names.CLASS, "")))
        return settings is None or settings.task_class.effect is api.Effect.UNSAFE
