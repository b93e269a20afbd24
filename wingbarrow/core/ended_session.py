"""This placer's own Jobs after its session has ended, and running copies that were leased under no present session.

Successors decide about the Jobs of an ended session. Their copies here are stopped, but for those of work that must not
start twice: a stop in the middle of that does harm, too.
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

MAX_ENDED_SESSIONS = 8  # of this placer's own whose Jobs it remembers
MAX_LOGGED_STRAYS = 4096
FLUSH_DELAY_US = 20_000  # outcomes that come within it are shown together
TAKEN_OVER = names.PREFIX + "TakenOver"  # conditions of Jobs
LEASE_ENDED = names.PREFIX + "LeaseEnded"


@dataclass(frozen=True, slots=True)
class GivenUpJob:
    """A Job as its session's end found it."""

    own: OwnJob
    job: JobRecord


class EndedSessionJobs:
    """Gives up Jobs whose lease is lost, and shows what became of them."""

    def __init__(self, components: JobComponents, leased_jobs: LeasedJobs) -> None:
        self._base = components.base
        self._store = components.store
        self._attempts = components.attempts
        self._objects = components.objects
        self._requests = components.requests
        self._runs = components.runs
        self._stops = components.stops
        self._leased_jobs = leased_jobs
        self._replicator = leased_jobs.records.replicator
        self._given_up: dict[str, dict[str, GivenUpJob]] = {}  # by session and uid
        self._logged_strays: set[tuple[str, str]] = set()  # session and pod
        self._flush_is_due = False

    def own_jobs(self, session: Session) -> Mapping[str, OwnJob]:
        """The Jobs, by uid, that were leased under a session of this placer's; remembered from then on."""
        if session.placer != self._base.settings.name:
            return {}
        text = session.text()
        given_up = self._given_up.setdefault(text, {})
        primary = self._replicator.primary
        for job in self._leased_jobs.jobs.values():
            replicated = primary.jobs.get(job.uid) or primary.former_jobs.get(job.uid)
            if job.lease is not None and job.lease.session == text and replicated is not None:
                runs = any(task.state in RUNNING for task in job.tasks)
                given_up[job.uid] = GivenUpJob(OwnJob(replicated.record, runs), job)
        while len(self._given_up) > MAX_ENDED_SESSIONS:
            del self._given_up[next(iter(self._given_up))]
        return {uid: each.own for uid, each in given_up.items()}

    def on_session_over(self, session: Session) -> None:
        """This placer's session has ended: give up all its Jobs."""
        self.own_jobs(session)
        words = f"the lease {session.text()} was ended, others may run it by now"
        for job in list(self._leased_jobs.jobs.values()):
            self._give_up(job, LEASE_ENDED, "SessionEnded", words)
        self._objects.flush()

    def on_superseded(self, uid: str, primary: str) -> None:
        """Another placer is primary of a Job: give it up."""
        job = self._leased_jobs.jobs.get(uid)
        if job is not None:
            self._give_up(job, TAKEN_OVER, "TakenOver", f"{primary} holds it by now")
            self._objects.flush()

    def _give_up(self, job: JobRecord, condition: str, reason: str, words: str) -> None:
        """Send nothing more of a Job, and stop its copies, unless it must not start twice."""
        is_unsafe = job.request.task_class.task_class.effect is api.Effect.UNSAFE
        self._leased_jobs.jobs.pop(job.uid, None)
        if job.lease is not None:
            job.lease = replace(job.lease, session="")
        job.conditions[condition] = reason, words
        for task in job.tasks:
            attempt = self._attempts.of(task.request) if task.request else None
            task.last_outcome = words
            if task.state is State.PENDING:
                job.lease_lost = True
                self._give_up_request(task, attempt, words, is_unsafe=is_unsafe)
            elif task.state is State.RETRYING:
                self._runs.cancel_retry(task)
                self._store.transition(task, Step.STOP)
            elif task.state in RUNNING and attempt is not None:
                if is_unsafe:
                    self._base.counts["leases:left running"] += 1
                else:
                    self._store.transition(task, Step.LOSE)
                    self._leased_jobs.stop(attempt)
        self._objects.mark(job)

    def _give_up_request(
        self, task: TaskRecord, attempt: Attempt | None, words: str, *, is_unsafe: bool
    ) -> None:
        """Answer a task's open request as failed."""
        if attempt is None:
            self._requests.fail(task)
        elif is_unsafe and attempt.stage is Stage.SENT and not attempt.confirming:
            self._requests.fail(task)
            self._base.counts["leases:left in doubt"] += 1
        else:
            self._leased_jobs.fail_lease_lost(attempt, words)

    def on_recovered(self, recovered: RecoveredJob) -> None:
        """Show the outcome of a Job of an ended session, as a successor answered it."""
        self._base.counts["healed:" + recovered.outcome] += 1
        if recovered.primary:
            where = f"{recovered.primary} has it at epoch {recovered.epoch}"
        else:
            where = "nobody has it"
        for jobs in self._given_up.values():
            given_up = jobs.get(recovered.uid)
            if given_up is not None and not given_up.job.deleted:
                reason = recovered.outcome.title().replace(" ", "")
                given_up.job.conditions[TAKEN_OVER] = reason, f"{where}; {recovered.why}"
                self._objects.mark(given_up.job)
        self._flush_soon()

    def _flush_soon(self) -> None:
        """Show together the outcomes of a batch."""
        if not self._flush_is_due:
            self._flush_is_due = True
            self._base.hub.call_at(self._base.hub.now_us() + FLUSH_DELAY_US, self._flush)

    def _flush(self) -> None:
        self._flush_is_due = False
        self._objects.flush()

    # -- running copies

    def is_stray(self, link: MachineLink, status: PodStatus) -> bool:
        """Whether a running copy is leased and no Job of this placer accounts for it; then it is dealt with here.

        It is of a former life, or of a session that has ended. It is never adopted: its machine stops it when its lease
        has expired there, and successors decide about its Job.
        """
        session = status.session
        if not session:
            return False
        primary = self._replicator.primary
        is_present = session == primary.session.text() and not primary.session_ended
        if is_present and status.job_uid in self._leased_jobs.jobs:
            return False
        is_unsafe = self._is_unsafe(status)
        if not is_unsafe and self._leased_jobs.has_ended(session):
            self._stops.request(link, status.namespace, status.name)
            self._base.counts["leases:strays stopped"] += 1
        elif (session, status.name) not in self._logged_strays and (
            len(self._logged_strays) < MAX_LOGGED_STRAYS
        ):
            self._logged_strays.add((session, status.name))
            self._base.log(
                "leased-stray",
                level="warning",
                machine=link.name,
                job=status.job_key,
                pod=status.name,
                session=session,
                left="running" if is_unsafe else "until its lease passes",
            )
        return True

    def _is_unsafe(self, status: PodStatus) -> bool:
        """Whether a copy's class must not start twice; one of an unknown class must not, either."""
        labels = status.value["metadata"].get("labels") or {}
        settings = self._base.settings.classes.get(str(labels.get(names.CLASS, "")))
        return settings is None or settings.task_class.effect is api.Effect.UNSAFE
