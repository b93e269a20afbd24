"""Leased Jobs: what a replica must acknowledge before a Job is accepted, sent, or answered.

The owner gets an answer within its patience in any case, since the placer that accepted a Job answers it by itself.
Where no acknowledgement comes in time, the answer is a failure with the reason `LeaseLost`, and a task that was started
is stopped. Jobs without a lease never wait here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Stage
from wingbarrow.core.job_components import JobComponents
from wingbarrow.core.job_manifest import JobRequest
from wingbarrow.core.job_store import OPEN, JobLease, JobRecord, State, Step, TaskRecord
from wingbarrow.core.machine_leases import MachineLeases
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.pods import OfferFailure
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

# Bound of the wait for a replica of a new Job, which also ends after half of the Job's patience.
MAX_REPLICATION_WAIT_US = 2_500_000
MAX_AWAITING_REPLICA = 1024  # Jobs
ANSWER_MARGIN_US = 20_000  # reserved from the owner's patience for the answer itself
# Backoff of a run that found no capacity: it doubles with each loss, and is randomized over its upper half.
MIN_RETRY_US = 500_000
MAX_RETRY_US = 30_000_000
MAX_RETRY_DOUBLINGS = 10
UNKNOWN = names.PREFIX + "Unknown"  # condition of a Job that may have started, and is not retried


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """A new Job that needs a lease. `manifest` is its JSON, with which another placer submits it after a failover."""

    key: str
    uid: str
    request: JobRequest
    spec: Spec
    manifest: str


class LeasedJobs:
    """Owns the Jobs that this placer runs under its current session. `federation` returns the specs in force."""

    def __init__(
        self,
        components: JobComponents,
        leases: MachineLeases,
        records: RecordReplication,
        federation: Callable[[], Federation],
    ) -> None:
        self._context = components.context
        self._store = components.store
        self._attempts = components.attempts
        self._requests = components.requests
        self._runs = components.runs
        self._stops = components.stops
        self._leases = leases
        self.records = records
        self.federation = federation
        self.awaiting_replica: set[str] = set()  # keys of Jobs that are not accepted yet
        self.jobs: dict[str, JobRecord] = {}  # by uid; those that have not ended
        self._recorded_sends: set[str] = set()  # pods that records name as about to be sent
        self._store.state_listeners.append(self._on_step)
        self._store.delete_listeners.append(self._on_delete)
        self._requests.may_answer_placed = self._confirm
        self._requests.is_answered_by_lease = self._on_patience_over
        self._requests.on_attempt_began = self._on_attempt_began
        self._requests.on_leased_attempt_ended = self._on_attempt_ended

    # -- admission

    def spec_for(self, request: JobRequest, spec_name: str) -> Spec | None:
        """The federation spec of a new Job, None without one. `spec_name` is the one that the Job names, or "".

        Raises ApiError 422 where there is no such spec, or where it allows no region or does not fit the Job's class.
        """
        federation = self.federation()
        task_class = request.task_class.task_class
        spec = federation.spec_for(task_class.name, spec_name)
        if spec is None:
            if spec_name:
                raise _unfit_error(request, f"there is no federation {spec_name[:80]!r}")
            return None
        if not allowed_regions(spec, federation):
            raise _unfit_error(request, f"spec {spec.name!r} allows no region")
        why = effect_conflict(spec, task_class.effect.value, self._leases.lease_us)
        if why:
            raise _unfit_error(request, f"spec {spec.name!r} {why}")
        return spec

    def leased_by_spec(self) -> tuple[tuple[str, float, float], ...]:
        """Name of each spec, with cores and GiB of its open tasks here; the largest first, MAX_LEASED_SPECS at most."""
        sums: dict[str, list[float]] = {}
        for job in self.jobs.values():
            if job.lease is not None:
                capacity = sums.setdefault(job.lease.spec, [0.0, 0.0])
                capacity[0] += job.request.cores * job.open_tasks
                capacity[1] += job.request.memory * job.open_tasks
        rows = [(name, round(cores, 3), round(memory, 3)) for name, (cores, memory) in sums.items()]
        rows.sort(key=lambda row: (-row[1], row[0]))
        return tuple(rows[:MAX_LEASED_SPECS])

    def replicate(self, candidate: LeaseCandidate, due_us: int) -> JobLease:
        """Replicate a new Job that is due at `due_us`, and wait for an acknowledgement.

        Raises ApiError 503 where none comes in time; then no replica keeps the Job.
        """
        context = self._context
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
        now = context.hub.now_us()
        deadline_us = min(now + MAX_REPLICATION_WAIT_US, now + max(0, due_us - now) // 2)
        terms = ReplicationTerms(allowed_regions(spec, self.federation()), spec.failover.copies)
        class_name = request.task_class.task_class.name
        self.awaiting_replica.add(candidate.key)
        self._store.admission.add(request.namespace, request.count, class_name)
        is_replicated = False
        try:
            why = self.records.wait_for(
                lambda on_settled: self.records.replicate(record, terms, deadline_us, on_settled),
                deadline_us,
            )
            is_replicated = not why and self._leases.may_send(session.text())
        finally:
            self.awaiting_replica.discard(candidate.key)
            self._store.admission.remove(request.namespace, request.count, class_name)
            if not is_replicated:
                self.records.remove(candidate.uid)
        if not is_replicated:
            raise self._unavailable(
                "no keeper", why or "this placer's lease does not hold any more"
            )
        return JobLease(spec.name, session.text())

    def accept(self, job: JobRecord, lease: JobLease) -> None:
        """Accept a Job that has been replicated."""
        job.lease = lease
        self.jobs[job.uid] = job
        self.records.record_answer(job.uid, "")  # accepted, not yet answered

    def release(self, job: JobRecord) -> None:
        """Give up a Job's lease, since another placer runs the Job under a lease of its own."""
        job.lease = None
        self.jobs.pop(job.uid, None)
        self.records.remove(job.uid)

    def has_ended(self, session: str) -> bool:
        """Whether this placer knows that the voters ended a session."""
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
            region=self._context.settings.region,
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
        self._context.counts["turned_away:" + what] += 1
        return ApiError(
            503,
            f"a Job whose federation spec has a failover is accepted once a keeper has it: {why}",
            "ServiceUnavailable",
            retry_after_s=self._context.random.randrange(1, 4),
        )

    # -- before an attempt is sent

    def may_send(self, job: JobRecord) -> bool:
        """Whether its lease allows the first byte of an attempt to be sent at this moment."""
        return job.lease is None or self._leases.may_send(job.lease.session)

    def before_send(self, attempt: Attempt) -> OfferFailure | None:
        """Prepare a leased Job's attempt, and wait for what must be recorded first; None where it may be sent."""
        job = attempt.task.job
        link = attempt.link
        if job.lease is None:
            return None
        self._on_attempt_began(attempt)
        if not self.may_send(job):
            return self._not_sent("the lease has lapsed")
        if not self._leases.has_recent_clock(link) and not self._leases.read_clock(link):
            # Danger: without a reading of its clock, a machine cannot be given a lease, and would never stop the task.
            return OfferFailure(
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

    def _not_sent(self, why: str) -> OfferFailure:
        self._context.counts["held:no_lease"] += 1
        return OfferFailure(api.Outcome.NOT_SENT, api.Reason.UNTOLD, why)

    def expiry(self, attempt: Attempt) -> str:
        """When an attempt's lease expires, as a time of its machine's clock; "" for a Job without a lease."""
        return self._leases.expiry(attempt.link) if attempt.task.job.lease is not None else ""

    def _on_attempt_began(self, attempt: Attempt) -> None:
        if attempt.task.job.lease is not None:
            attempt.session = attempt.task.job.lease.session
            self._leases.on_attempt_began(attempt, attempt.session)

    def _on_attempt_ended(self, attempt: Attempt, outcome: api.Outcome, message: str) -> None:
        if not attempt.session:
            return
        self._leases.on_attempt_ended(attempt, attempt.session)
        if message.startswith("LeaseLapsed"):
            # The machine may have restarted, and then has another clock.
            self._leases.forget_clock(attempt.link)
        is_recorded = attempt.key in self._recorded_sends
        self._recorded_sends.discard(attempt.key)
        if outcome in (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT):
            attempt.task.may_have_run = False
            if is_recorded:
                self.records.record_not_running(attempt.task.job.uid, attempt.task.index)

    # -- before an answer is given

    def _confirm(self, attempt: Attempt) -> bool:
        """Whether an attempt that a machine runs is answered at once. If not, a replica must acknowledge it first."""
        task = attempt.task
        if task.job.lease is None:
            return True
        if attempt.awaiting_confirmation:
            return False
        known = KnownTask(task.index, "placed", attempt.link.name, attempt.key)
        if task.answered:
            # No owner awaits an answer, so a missing acknowledgement does not stop the run.
            self.records.record_placed(task.job.uid, known, task.deadline_us, _ignore)
            return True
        attempt.awaiting_confirmation = True
        deadline_us = max(self._context.hub.now_us(), task.deadline_us - ANSWER_MARGIN_US)

        def on_settled(why: str) -> None:
            # The caller is the background task that handles peers' messages, which must not be blocked.
            self._context.spawn(
                lambda: self._on_placement_settled(attempt, why), "answer a leased Job"
            )

        self.records.record_placed(task.job.uid, known, deadline_us, on_settled)
        return False

    def _on_placement_settled(self, attempt: Attempt, why: str) -> None:
        if not attempt.awaiting_confirmation or attempt.stage is not Stage.SENT:
            return  # it has ended meanwhile, or is being stopped
        if why:
            self.fail_lease_lost(attempt, f"no keeper knows that it was placed: {why}")
            return
        attempt.awaiting_confirmation = False
        self._mark_placed(attempt)

    def _mark_placed(self, attempt: Attempt) -> None:
        if self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._context.hub.now_us()
            if attempt.adopted:
                self._requests.on_found_running(attempt)
            else:
                self._requests.on_placed(attempt)

    def _on_patience_over(self, attempt: Attempt) -> bool:
        """Fail a task at the end of its owner's patience; False where its copy does not await an acknowledgement."""
        if not attempt.awaiting_confirmation:
            return False
        self.fail_lease_lost(attempt, "no keeper knew in time that it was placed")
        return True

    def fail_lease_lost(self, attempt: Attempt, why: str) -> None:
        """Answer `LeaseLost`, and stop the copy that was started, whatever the effect of its class.

        Danger: a copy that no replica knows would run beside the one that is started after a failover.
        """
        task = attempt.task
        task.last_outcome = f"LeaseLost: {why}"[:300]
        task.job.lease_lost = True
        self._context.counts["leases:lost answers"] += 1
        self._requests.fail(task)
        self.stop(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Stop a copy that was sent, or runs, and whose request has ended."""
        if attempt.awaiting_confirmation and self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._context.hub.now_us()
        attempt.awaiting_confirmation = False
        attempt.abandoned = True
        if attempt.stage is Stage.PLACED:
            self._runs.stop(attempt, retries.RunEnd.STOPPED)
        elif attempt.stage is Stage.SENT:
            attempt.stopping = retries.RunEnd.STOPPED
            self._stops.request(
                attempt.link,
                attempt.task.job.request.namespace,
                attempt.key,
                is_settled=lambda: attempt.stage is Stage.ENDED,
            )
        elif attempt.scope is not None:
            attempt.scope.cancel()  # nothing was sent, so that there is nothing to stop

    def adopt(
        self, link: MachineLink, pod: str, task: TaskRecord, remaining_us: int | None
    ) -> bool:
        """Adopt a running copy that was found for an open request; False for a Job without a lease.

        `remaining_us` is the run time that it has left, None if unknown.
        """
        if task.job.lease is None:
            return False
        now = self._context.hub.now_us()
        deadline_us = task.deadline_us
        if task.state is State.PENDING:
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
            adopted=True,
            remaining_us=remaining_us,
        )
        task.attempts_made = 1
        self._attempts.add(attempt)
        self._on_attempt_began(attempt)
        if self._confirm(attempt):
            self._mark_placed(attempt)
        return True

    # -- changes that replicas receive afterwards

    def _on_delete(self, job: JobRecord) -> None:
        if not job.open_tasks and (job.lease is not None or job.conditions):
            self.jobs.pop(job.uid, None)
            self.records.remove(job.uid)

    def _on_step(self, task: TaskRecord, before: State) -> None:
        job = task.job
        if job.lease is None or not job.lease.session:
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
        if before is State.PENDING and not job.unanswered and job.open_tasks:
            failed = job.counts[State.FAILED] or job.counts[State.REFUSED]
            self.records.record_answer(job.uid, "failed" if failed else "placed")

    def _retry_run(self, task: TaskRecord) -> bool:
        """Retry a run that failed over to this placer or stopped as its lease lapsed; False for any other."""
        job = task.job
        if job.lease is None:
            return False
        if not job.lease.previous_session and (not task.was_placed or self.may_send(job)):
            return False
        task_class = job.request.task_class.task_class
        may_have_started = task.state is State.FAILED and task.may_have_run
        if may_have_started and task_class.effect is api.Effect.UNSAFE:
            # Danger: a retry could start it a second time.
            job.conditions[UNKNOWN] = (
                "InDoubt",
                f"it may have started, and is not tried again: {task.last_outcome}",
            )
            return False
        pause_us = min(MAX_RETRY_US, MIN_RETRY_US << min(task.losses, MAX_RETRY_DOUBLINGS))
        task.losses += 1
        pause_us = pause_us // 2 + self._context.random.randrange(pause_us // 2 + 1)
        if may_have_started and task_class.effect is api.Effect.KEYED:
            pause_us += task_class.window_us
        if not self._store.transition(task, Step.SCHEDULE_RETRY):
            return False
        self._runs.schedule_retry(task, pause_us)
        return True


def _ignore(why: str) -> None:
    """Callback for a record whose acknowledgement is not awaited."""


def _unfit_error(request: JobRequest, message: str) -> ApiError:
    return invalid(
        "Job",
        request.name,
        [Cause(f"metadata.annotations[{names.FEDERATION}]", "FieldValueNotSupported", message)],
    )
