"""JobLease Jobs in the core: what a replica must acknowledge before a Job is accepted, sent, or answered.

The answer within the owner's patience does not depend on any of it: the placer that accepted a Job answers it by
itself. Where an acknowledgement does not come in time, the answer is a failure with the reason `LeaseLost`, and what
was started is stopped. Jobs that are not leased never wait here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Stage
from wingbarrow.core.intake import JobRequest
from wingbarrow.core.job_components import JobComponents
from wingbarrow.core.job_store import OPEN, JobLease, JobRecord, State, Step, TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machine_leases import MachineLeases
from wingbarrow.core.pods import Ended
from wingbarrow.decide import retries
from wingbarrow.decide.federation.faults import effect_conflict
from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions
from wingbarrow.decide.regions.reports import MAX_LEASED_SPECS
from wingbarrow.decide.replication.records import ReplicationTerms
from wingbarrow.decide.sessions.leased_job_record import (
    OFFERED,
    RECORD_FORMAT,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, Cause, invalid
from wingbarrow.peers.replication import RecordReplication

# A new Job waits so long for its replica, and no longer than half of its patience.
MAX_REPLICATION_WAIT_US = 2_500_000
MAX_AWAITING_REPLICA = 1024  # Jobs
ANSWER_MARGIN_US = 20_000  # of the owner's patience, reserved for the answer itself
# The backoff of a run that found no capacity: doubles, and is spread over its upper half.
MIN_RETRY_US = 500_000
MAX_RETRY_US = 30_000_000
MAX_RETRY_DOUBLINGS = 10
UNKNOWN = names.PREFIX + "Unknown"  # condition of a Job that may have run, and is not tried again


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """A new Job that is to be leased. `manifest` is its JSON, as a successor would submit it."""

    key: str
    uid: str
    request: JobRequest
    spec: Spec
    manifest: str


class LeasedJobs:
    """Owns the Jobs that this placer runs under its present session. `federation`: the specs in force."""

    def __init__(
        self,
        components: JobComponents,
        leases: MachineLeases,
        records: RecordReplication,
        federation: Callable[[], Federation],
    ) -> None:
        self._base = components.base
        self._store = components.store
        self._attempts = components.attempts
        self._requests = components.requests
        self._runs = components.runs
        self._stops = components.stops
        self._leases = leases
        self.records = records
        self.federation = federation
        self.awaiting_replica: set[str] = set()  # keys of Jobs that are not accepted yet
        self.jobs: dict[str, JobRecord] = {}  # by uid; not over
        self._recorded_sends: set[str] = set()  # pods whose sending replicas have acknowledged
        self._store.state_listeners.append(self._on_step)
        self._store.delete_listeners.append(self._on_delete)
        self._requests.may_answer_placed = self._confirm
        self._requests.is_answered_by_lease = self._on_patience_over
        self._requests.on_attempt_began = self._on_attempt_began
        self._requests.on_leased_attempt_ended = self._on_attempt_ended

    # -- admission

    def spec_for(self, request: JobRequest, named: str) -> Spec | None:
        """The federation spec of a new Job, None for none; ApiError 422 where it allows no region."""
        federation = self.federation()
        task_class = request.task_class.task_class
        found = federation.spec_for(task_class.name, named)
        if found is None:
            if named:
                raise _unfit_error(request, f"there is no federation {named[:80]!r}")
            return None
        if not allowed_regions(found, federation):
            raise _unfit_error(request, f"spec {found.name!r} allows no region")
        why = effect_conflict(found, task_class.effect.value, self._leases.lease_us)
        if why:
            raise _unfit_error(request, f"spec {found.name!r} {why}")
        return found

    def leased_by_spec(self) -> tuple[tuple[str, float, float], ...]:
        """The cores and GiB that are leased here by each spec, the largest first."""
        sums: dict[str, list[float]] = {}
        for job in self.jobs.values():
            if job.leased is not None:
                capacity = sums.setdefault(job.leased.spec, [0.0, 0.0])
                capacity[0] += job.request.cores * job.open_tasks
                capacity[1] += job.request.memory * job.open_tasks
        rows = [(name, round(cores, 3), round(memory, 3)) for name, (cores, memory) in sums.items()]
        rows.sort(key=lambda row: (-row[1], row[0]))
        return tuple(rows[:MAX_LEASED_SPECS])

    def replicate(self, candidate: LeaseCandidate, due_us: int) -> JobLease:
        """Replicate a new Job, and wait for an acknowledgement.

        ApiError 503 where none comes in time; then no replica has the Job.
        """
        base = self._base
        session = self._leases.session
        if session is None or not self._leases.may_send(session.text()):
            raise self._unavailable("no lease", "this placer's lease does not hold now")
        if len(self.awaiting_replica) >= MAX_AWAITING_REPLICA:
            raise self._unavailable(
                "keepers behind", f"{MAX_AWAITING_REPLICA} Jobs wait for their keepers already"
            )
        spec = candidate.spec
        request = candidate.request
        assert spec.failover is not None
        record = self._new_record(candidate)
        now = base.hub.now_us()
        deadline_us = min(now + MAX_REPLICATION_WAIT_US, now + max(0, due_us - now) // 2)
        terms = ReplicationTerms(allowed_regions(spec, self.federation()), spec.failover.copies)
        class_name = request.task_class.task_class.name
        self.awaiting_replica.add(candidate.key)
        self._store.admission.add(request.namespace, request.count, class_name)
        good = False
        try:
            why = self.records.wait_for(
                lambda on_settled: self.records.replicate(record, terms, deadline_us, on_settled),
                deadline_us,
            )
            good = not why and self._leases.may_send(session.text())
        finally:
            self.awaiting_replica.discard(candidate.key)
            self._store.admission.remove(request.namespace, request.count, class_name)
            if not good:
                self.records.remove(candidate.uid)
        if not good:
            raise self._unavailable(
                "no keeper", why or "this placer's lease does not hold any more"
            )
        return JobLease(spec.name, session.text())

    def accept(self, job: JobRecord, leased: JobLease) -> None:
        """Accept a Job that is replicated."""
        job.leased = leased
        self.jobs[job.uid] = job
        self.records.record_answer(job.uid, "")  # it is accepted from now on

    def release(self, job: JobRecord) -> None:
        """Another placer runs it by a lease of its own."""
        job.leased = None
        self.jobs.pop(job.uid, None)
        self.records.remove(job.uid)

    def has_ended(self, session: str) -> bool:
        """Whether the voters ended a session, as far as this placer has heard."""
        return any(each.text() == session for each in self._leases.lease.ended)

    def _new_record(self, candidate: LeaseCandidate) -> LeasedJobRecord:
        request = candidate.request
        spec = candidate.spec
        task_class = request.task_class.task_class
        session = self._leases.session
        assert session is not None
        assert spec.failover is not None
        return LeasedJobRecord(
            form=RECORD_FORMAT,
            uid=candidate.uid,
            key=candidate.key,
            session=session,
            epoch=0,
            version=0,
            region=self._base.settings.region,
            spec=spec.name,
            effect=task_class.effect.value,
            group=task_class.group.value,
            window_us=task_class.window_us,
            after_us=spec.failover.after_us,
            priority=request.task_class.priority,
            cores=request.cores,
            memory=request.memory,
            count=request.count,
            manifest=candidate.manifest,
            keepers=(),
            answered=OFFERED,
            born_age_us=0,
        )

    def _unavailable(self, what: str, why: str) -> ApiError:
        self._base.counts["turned_away:" + what] += 1
        return ApiError(
            503,
            f"a Job whose federation spec has a failover is accepted once a keeper has it: {why}",
            "ServiceUnavailable",
            retry_after_s=self._base.random.randrange(1, 4),
        )

    # -- before an attempt is sent

    def may_send(self, job: JobRecord) -> bool:
        """Whether its first byte may be sent at this moment, by its lease."""
        return job.leased is None or self._leases.may_send(job.leased.session)

    def before_send(self, attempt: Attempt) -> Ended | None:
        """Have recorded what must be before a leased Job's attempt is sent, and wait; why it cannot be, or None."""
        job = attempt.task.job
        link = attempt.link
        if job.leased is None:
            return None
        self._on_attempt_began(attempt)
        if not self.may_send(job):
            return self._not_sent("the lease has lapsed")
        if not self._leases.has_recent_clock(link) and not self._leases.read_clock(link):
            # Danger: without its clock it cannot be given a lease, and would never stop the task by itself.
            return Ended(
                api.Outcome.UNREACHABLE, api.Reason.UNTOLD, "the machine does not tell its clock"
            )
        if job.request.task_class.task_class.effect is not api.Effect.UNSAFE:
            return None
        known = KnownTask(attempt.task.index, "about", link.name, attempt.key)
        deadline_us = attempt.deadline_us
        self._recorded_sends.add(attempt.key)
        why = self.records.wait_for(
            lambda on_settled: self.records.record_send(job.uid, known, deadline_us, on_settled),
            deadline_us,
        )
        return self._not_sent(f"its keeper does not know of it: {why}") if why else None

    def _not_sent(self, why: str) -> Ended:
        self._base.counts["held:no_lease"] += 1
        return Ended(api.Outcome.NOT_SENT, api.Reason.UNTOLD, why)

    def expiry(self, attempt: Attempt) -> str:
        """Until when an attempt may run, in its machine's clock; "" where it is not leased."""
        return self._leases.expiry(attempt.link) if attempt.task.job.leased is not None else ""

    def _on_attempt_began(self, attempt: Attempt) -> None:
        if attempt.task.job.leased is not None:
            attempt.session = attempt.task.job.leased.session
            self._leases.on_attempt_began(attempt, attempt.session)

    def _on_attempt_ended(self, attempt: Attempt, outcome: api.Outcome, words: str) -> None:
        if not attempt.session:
            return
        self._leases.on_attempt_ended(attempt, attempt.session)
        if words.startswith("LeaseLapsed"):
            # The machine may have restarted, and go by another clock.
            self._leases.forget_clock(attempt.link)
        is_recorded = attempt.key in self._recorded_sends
        self._recorded_sends.discard(attempt.key)
        if outcome in (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT):
            attempt.task.may_have_run = False
            if is_recorded:
                self.records.record_not_running(attempt.task.job.uid, attempt.task.index)

    # -- before an answer is given

    def _confirm(self, attempt: Attempt) -> bool:
        """A machine runs it: False where a replica must acknowledge that first; the answer follows by itself."""
        task = attempt.task
        if task.job.leased is None:
            return True
        if attempt.confirming:
            return False
        known = KnownTask(task.index, "placed", attempt.link.name, attempt.key)
        if task.answered:
            # Nobody is owed an answer: the run is not stopped for want of an acknowledgement.
            self.records.record_placed(task.job.uid, known, task.deadline_us, _ignore)
            return True
        attempt.confirming = True
        deadline_us = max(self._base.hub.now_us(), task.deadline_us - ANSWER_MARGIN_US)

        def on_settled(why: str) -> None:
            # Called by the task of the peers' host, which must not be delayed by what follows.
            self._base.spawn(
                lambda: self._on_placement_settled(attempt, why), "answers a leased Job"
            )

        self.records.record_placed(task.job.uid, known, deadline_us, on_settled)
        return False

    def _on_placement_settled(self, attempt: Attempt, why: str) -> None:
        if not attempt.confirming or attempt.stage is not Stage.SENT:
            return  # it has ended meanwhile, or its stop is under way
        if why:
            self.fail_lease_lost(attempt, f"no keeper knows that it was placed: {why}")
            return
        attempt.confirming = False
        self._mark_placed(attempt)

    def _mark_placed(self, attempt: Attempt) -> None:
        if self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._base.hub.now_us()
            if attempt.found:
                self._requests.on_found(attempt)
            else:
                self._requests.on_placed(attempt)

    def _on_patience_over(self, attempt: Attempt) -> bool:
        """The owner's patience is over: True where a copy runs that no replica has acknowledged."""
        if not attempt.confirming:
            return False
        self.fail_lease_lost(attempt, "no keeper knew in time that it was placed")
        return True

    def fail_lease_lost(self, attempt: Attempt, why: str) -> None:
        """Answer `LeaseLost`, and stop the copy that was started, whatever its effect.

        Danger: a copy that no replica knows would run beside the one that a successor starts.
        """
        task = attempt.task
        task.last_outcome = f"LeaseLost: {why}"[:300]
        task.job.lease_lost = True
        self._base.counts["leases:lost answers"] += 1
        self._requests.fail(task)
        self.stop(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Stop a copy that was sent, or runs, and whose request is over."""
        if attempt.confirming and self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._base.hub.now_us()
        attempt.confirming = False
        attempt.abandoned = True
        if attempt.stage is Stage.PLACED:
            self._runs.stop(attempt, retries.RunEnd.STOPPED)
        elif attempt.stage is Stage.SENT:
            attempt.stopping = retries.RunEnd.STOPPED
            self._stops.request(
                attempt.link,
                attempt.task.job.request.namespace,
                attempt.key,
                settled=lambda: attempt.stage is Stage.ENDED,
            )
        elif attempt.scope is not None:
            attempt.scope.cancel()  # nothing was sent: no call is owed

    def adopt(self, link: MachineLink, pod: str, task: TaskRecord, left_us: int | None) -> bool:
        """Adopt a running copy that was found for an open request; False where its Job is not leased."""
        if task.job.leased is None:
            return False
        now = self._base.hub.now_us()
        deadline_us = task.deadline_us
        if task.state is State.ASKED:
            self._requests.withdraw(task)
        else:
            self._runs.cancel_retry(task)
            self._store.transition(task, Step.RETRY)
            deadline_us = now + task.job.request.patience_us
        request = self._store.open_request(task, deadline_us)
        attempt = Attempt(
            request,
            0,
            task,
            link,
            pod,
            now,
            deadline_us,
            Stage.SENT,
            found=True,
            left_us=left_us,
        )
        task.attempts_made = 1
        self._attempts.add(attempt)
        self._on_attempt_began(attempt)
        if self._confirm(attempt):
            self._mark_placed(attempt)
        return True

    # -- changes that replicas receive afterwards

    def _on_delete(self, job: JobRecord) -> None:
        if not job.open_tasks and (job.leased is not None or job.conditions):
            self.jobs.pop(job.uid, None)
            self.records.remove(job.uid)

    def _on_step(self, task: TaskRecord, before: State) -> None:
        job = task.job
        if job.leased is None or not job.leased.session:
            return
        if task.state in (State.REFUSED, State.FAILED) and self._retry_run(task):
            return
        if task.state not in OPEN:
            if not job.open_tasks:
                self.jobs.pop(job.uid, None)
                self.records.remove(job.uid)
            elif before in OPEN:
                self.records.record_task_ended(job.uid, task.index)
        elif task.state is State.RETRYING:
            self.records.record_not_running(job.uid, task.index)
        if before is State.ASKED and not job.unanswered and job.open_tasks:
            failed = job.counts[State.FAILED] or job.counts[State.REFUSED]
            self.records.record_answer(job.uid, "failed" if failed else "placed")

    def _retry_run(self, task: TaskRecord) -> bool:
        """Whether a failed run is retried: one that was taken over, or was stopped as its lease lapsed."""
        job = task.job
        if job.leased is None:
            return False
        if not job.leased.previous_session and (not task.was_placed or self.may_send(job)):
            return False
        task_class = job.request.task_class.task_class
        may_have_started = task.state is State.FAILED and task.may_have_run
        if may_have_started and task_class.effect is api.Effect.UNSAFE:
            # Danger: a second start.
            job.conditions[UNKNOWN] = (
                "InDoubt",
                f"it may have started, and is not tried again: {task.last_outcome}",
            )
            return False
        pause_us = min(MAX_RETRY_US, MIN_RETRY_US << min(task.losses, MAX_RETRY_DOUBLINGS))
        task.losses += 1
        pause_us = pause_us // 2 + self._base.random.randrange(pause_us // 2 + 1)
        if may_have_started and task_class.effect is api.Effect.KEYED:
            pause_us += task_class.window_us
        if not self._store.transition(task, Step.SCHEDULE_RETRY):
            return False
        self._runs.schedule_retry(task, pause_us)
        return True


def _ignore(why: str) -> None:
    """The wait of a change whose acknowledgement nobody awaits."""


def _unfit_error(request: JobRequest, words: str) -> ApiError:
    return invalid(
        "Job",
        request.name,
        [Cause(f"metadata.annotations[{names.FEDERATION}]", "FieldValueNotSupported", words)],
    )
