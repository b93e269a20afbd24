"""Leased Jobs in the core: what must be with a keeper before a Job is accepted, an attempt leaves, an answer is given.

Rule 1 rests on none of it: the placer that took a Job answers it in its patience by itself. Where a keeper's word does
not come in time, the answer is a failure with the reason `LeaseLost`, and what was started is stopped. Jobs that are
not leased never wait here.
"""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.intake import JobRequest
from wingbarrow.core.job_store import OPEN, JobLease, JobRecord, JobStore, State, Step, TaskRecord
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machine_leases import MachineLeases
from wingbarrow.core.pods import Ended
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide import retries as again
from wingbarrow.decide.federation.faults import unfit
from wingbarrow.decide.federation.spec import Federation, Spec, allowed
from wingbarrow.decide.regions.reports import MAX_LEASED_SPECS
from wingbarrow.decide.sessions.leased_job_record import (
    OFFERED,
    RECORD_FORMAT,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, Cause, invalid
from wingbarrow.peers.replication import RecordReplication

KEEPER_US = (
    2_500_000  # a new Job waits so long for its keeper, and no longer than half of its patience
)
COMING_MOST = 1024  # Jobs that wait for their keeper
ANSWER_US = 20_000  # of the owner's patience, kept for the answer itself


class LeasedJobs:
    """`federation` tells the specs in force."""

    def __init__(
        self,
        base: Base,
        host: Host,
        book: JobStore,
        attempts: Attempts,
        requests: Requests,
        runs: Runs,
        stops: Stops,
        leases: MachineLeases,
        records: RecordReplication,
        federation: Callable[[], Federation],
    ) -> None:
        self._base, self._host, self._book, self._attempts = base, host, book, attempts
        self._requests, self._runs, self._stops, self._leases = requests, runs, stops, leases
        self.records, self.federation = records, federation
        self.coming: set[str] = set()  # keys of Jobs that wait for their keeper
        self.jobs: dict[
            str, JobRecord
        ] = {}  # by uid: leased Jobs under this placer's present session, not over
        self.goes_on: Callable[[TaskRecord], bool] = (
            lambda task: False
        )  # a run that was taken over goes on
        self._told: set[str] = (
            set()
        )  # pods of which a keeper was told that they are about to be sent
        book.state_listeners.append(self._stepped)
        book.delete_listeners.append(self._deleted)
        requests.may_answer_placed, requests.is_answered_by_lease = self._confirm, self._failing
        requests.on_attempt_began, requests.on_leased_attempt_ended = (
            self._attempt_began,
            self._attempt_ended,
        )

    # -- intake

    def spec(self, asked: JobRequest, named: str) -> Spec | None:
        """What a new Job goes by, None for none; ApiError 422 where that lets it run nowhere."""
        federation = self.federation()
        found = federation.spec_for(asked.task_class.task_class.name, named)
        if found is None and named:
            raise _unfit(asked, f"there is no federation {named[:80]!r}")
        if found is not None and not allowed(found, federation):
            raise _unfit(asked, f"spec {found.name!r} allows no region")
        if found is not None:
            why = unfit(found, asked.task_class.task_class.effect.value, self._leases.lease_us)
            if why:
                raise _unfit(asked, f"spec {found.name!r} {why}")
        return found

    def held(self) -> tuple[tuple[str, float, float], ...]:
        """What is leased here by each spec, cores and GiB, the largest first."""
        sums: dict[str, list[float]] = {}
        for job in self.jobs.values():
            if job.leased is not None:
                found = sums.setdefault(job.leased.spec, [0.0, 0.0])
                found[0] += job.request.cores * job.open_tasks
                found[1] += job.request.memory * job.open_tasks
        return tuple(
            sorted(
                (
                    (name, round(cores, 3), round(memory, 3))
                    for name, (cores, memory) in sums.items()
                ),
                key=lambda each: (-each[1], each[0]),
            )[:MAX_LEASED_SPECS]
        )

    def take_in(
        self, key: str, uid: str, asked: JobRequest, spec: Spec, manifest: str, due_us: int
    ) -> JobLease:
        """Have a Job with a keeper; waits. ApiError 503 where that cannot be, and then no keeper keeps it."""
        base, session = self._base, self._leases.session
        if session is None or not self._leases.may_send(session.text()):
            raise self._away("no lease", "this placer's lease does not hold now")
        if len(self.coming) >= COMING_MOST:
            raise self._away("keepers behind", f"{COMING_MOST} Jobs wait for their keepers already")
        assert spec.failover is not None
        record = self.record(key, uid, asked, spec, manifest)
        now = base.hub.now_us()
        until = min(now + KEEPER_US, now + max(0, due_us - now) // 2)
        where, copies = allowed(spec, self.federation()), spec.failover.copies
        self.coming.add(key)
        self._book.admission.add(asked.namespace, asked.count, asked.task_class.task_class.name)
        good = False
        try:
            why = self.records.wait(
                lambda then: self.records.hold(record, where, copies, until, then), until
            )
            good = not why and self._leases.may_send(session.text())
        finally:
            self.coming.discard(key)
            self._book.admission.remove(
                asked.namespace, asked.count, asked.task_class.task_class.name
            )
            if not good:
                self.records.drop(uid)
        if not good:
            raise self._away("no keeper", why or "this placer's lease does not hold any more")
        return JobLease(spec.name, session.text())

    def hold(self, job: JobRecord, leased: JobLease) -> None:
        """A Job that a keeper has is accepted."""
        job.leased = leased
        self.jobs[job.uid] = job
        self.records.answered(job.uid, "")  # it is accepted from now on

    def release(self, job: JobRecord) -> None:
        """Another placer holds it by a lease of its own."""
        job.leased = None
        self.jobs.pop(job.uid, None)
        self.records.drop(job.uid)

    def ended(self, session: str) -> bool:
        """Whether the voters ended a session, as far as was heard here."""
        return any(each.text() == session for each in self._leases.lease.ended)

    def record(
        self, key: str, uid: str, asked: JobRequest, spec: Spec, manifest: str
    ) -> LeasedJobRecord:
        """A Job as its keeper is to have it."""
        told, session = asked.task_class.task_class, self._leases.session
        assert session is not None
        assert spec.failover is not None
        return LeasedJobRecord(
            RECORD_FORMAT,
            uid,
            key,
            session,
            0,
            0,
            self._base.settings.region,
            spec.name,
            told.effect.value,
            told.group.value,
            told.window_us,
            spec.failover.after_us,
            asked.task_class.priority,
            asked.cores,
            asked.memory,
            asked.count,
            manifest,
            (),
            OFFERED,
            0,
        )

    def _away(self, what: str, why: str) -> ApiError:
        self._base.counts["turned_away:" + what] += 1
        return ApiError(
            503,
            f"a Job whose federation spec has a failover is accepted once a keeper has it: {why}",
            "ServiceUnavailable",
            retry_after_s=self._base.random.randrange(1, 4),
        )

    # -- before an attempt leaves

    def may_send(self, job: JobRecord) -> bool:
        """Whether its first byte may leave at this moment, by its lease."""
        return job.leased is None or self._leases.may_send(job.leased.session)

    def before(self, attempt: Attempt) -> Ended | None:
        """What must be known before a leased Job's attempt leaves; waits. Why it cannot leave, None where it may."""
        job, link = attempt.task.job, attempt.link
        if job.leased is None:
            return None
        self._attempt_began(attempt)
        if not self.may_send(job):
            return self._unsent("the lease has lapsed")
        if not self._leases.knows(link) and not self._leases.ask(link):
            # Danger: without its clock no lease can be told to it, and it would never stop by itself.
            return Ended(
                api.Outcome.UNREACHABLE, api.Reason.UNTOLD, "the machine does not tell its clock"
            )
        if job.request.task_class.task_class.effect is not api.Effect.UNSAFE:
            return None
        known, until = (
            KnownTask(attempt.task.index, "about", link.name, attempt.key),
            attempt.deadline_us,
        )
        self._told.add(attempt.key)
        why = self.records.wait(lambda then: self.records.about(job.uid, known, until, then), until)
        return self._unsent(f"its keeper does not know of it: {why}") if why else None

    def _unsent(self, words: str) -> Ended:
        self._base.counts["held:no_lease"] += 1
        return Ended(api.Outcome.NOT_SENT, api.Reason.UNTOLD, words)

    def until(self, attempt: Attempt) -> str:
        """Until when it may run, in its machine's clock."""
        return self._leases.until(attempt.link) if attempt.task.job.leased is not None else ""

    def _attempt_began(self, attempt: Attempt) -> None:
        if attempt.task.job.leased is not None:
            attempt.session = attempt.task.job.leased.session
            self._leases.began(attempt, attempt.session)

    def _attempt_ended(self, attempt: Attempt, outcome: api.Outcome, words: str) -> None:
        job = attempt.task.job
        if not attempt.session:
            return
        self._leases.over(attempt, attempt.session)
        if words.startswith("LeaseLapsed"):
            self._leases.forget(attempt.link)  # it may have started anew, and goes by another clock
        told = attempt.key in self._told
        self._told.discard(attempt.key)
        if outcome in (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT):
            attempt.task.may_have_run = False
            if told:
                self.records.back(job.uid, attempt.task.index)

    # -- before an answer is given

    def _confirm(self, attempt: Attempt) -> bool:
        """A machine runs it: False where a keeper is to know that first; then the answer comes by itself."""
        task = attempt.task
        if task.job.leased is None:
            return True
        if attempt.confirming:
            return False
        known = KnownTask(task.index, "placed", attempt.link.name, attempt.key)
        if task.answered:
            # A run, of which nobody is owed an answer: it is not stopped for want of a keeper's word.
            self.records.placed(task.job.uid, known, task.deadline_us, lambda why: None)
            return True
        attempt.confirming = True
        until = max(self._base.hub.now_us(), task.deadline_us - ANSWER_US)

        def then(why: str) -> None:
            # Called by the host of what placers say: its own task, which must not be held up by what follows.
            self._base.spawn(lambda: self._confirmed(attempt, why), "answers a leased Job")

        self.records.placed(task.job.uid, known, until, then)
        return False

    def _confirmed(self, attempt: Attempt, why: str) -> None:
        if not attempt.confirming or attempt.stage is not Stage.SENT:
            return  # it has ended meanwhile, or its stop is under way
        if why:
            self.lose(attempt, f"no keeper knows that it was placed: {why}")
            return
        attempt.confirming = False
        self._stands(attempt)

    def _stands(self, attempt: Attempt) -> None:
        if self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._base.hub.now_us()
            if attempt.found:
                self._requests.on_found(attempt)
            else:
                self._requests.on_placed(attempt)

    def _failing(self, attempt: Attempt) -> bool:
        """The owner's patience is over, and a copy runs of which no keeper knows yet."""
        if not attempt.confirming:
            return False
        self.lose(attempt, "no keeper knew in time that it was placed")
        return True

    def lose(self, attempt: Attempt, why: str) -> None:
        """Answer that the lease is lost, and stop the copy that was started, whatever its effect.

        Danger: a copy that no keeper knows of would run beside the one that a successor starts.
        """
        task = attempt.task
        task.last_outcome = f"LeaseLost: {why}"[:300]
        task.job.lease_lost = True
        self._base.counts["leases:lost answers"] += 1
        self._requests.fail(task)
        self.stop(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Have a copy stopped that was sent, or runs, and whose request is over."""
        if attempt.confirming and self._attempts.advance(attempt, Stage.PLACED):
            attempt.placed_us = self._base.hub.now_us()
        attempt.confirming, attempt.abandoned = False, True
        if attempt.stage is Stage.PLACED:
            self._runs.stop(attempt, again.RunEnd.STOPPED)
        elif attempt.stage is Stage.SENT:
            attempt.stopping = again.RunEnd.STOPPED
            self._stops.request(
                attempt.link,
                attempt.task.job.request.namespace,
                attempt.key,
                settled=lambda: attempt.stage is Stage.ENDED,
            )
        elif attempt.scope is not None:
            attempt.scope.cancel()  # nothing went out: no call is owed

    def place_late(
        self, link: MachineLink, pod: str, task: TaskRecord, left_us: int | None
    ) -> bool:
        """A copy was found that an open request can have as its own; False where its Job needs no keeper's word."""
        if task.job.leased is None:
            return False
        deadline, now = task.deadline_us, self._base.hub.now_us()
        if task.state is State.ASKED:
            self._requests.withdraw(task)
        else:
            self._runs.cancel_retry(task)
            self._book.transition(task, Step.RETRY)
            deadline = now + task.job.request.patience_us
        request = self._book.open_request(task, deadline)
        attempt = Attempt(
            request, 0, task, link, pod, now, deadline, Stage.SENT, found=True, left_us=left_us
        )
        task.attempts_made = 1
        self._attempts.add(attempt)
        self._attempt_began(attempt)
        if self._confirm(attempt):
            self._stands(attempt)
        return True

    # -- what the keeper hears afterwards

    def _deleted(self, job: JobRecord) -> None:
        if not job.open_tasks and (job.leased is not None or job.conditions):
            self.jobs.pop(job.uid, None)
            self.records.drop(job.uid)

    def _stepped(self, task: TaskRecord, before: State) -> None:
        job = task.job
        if job.leased is None or not job.leased.session:
            return
        if task.state in (State.REFUSED, State.FAILED) and self.goes_on(task):
            return
        if task.state not in OPEN:
            if not job.open_tasks:
                self.jobs.pop(job.uid, None)
                self.records.drop(job.uid)
            elif before in OPEN:
                self.records.over(job.uid, task.index)
        elif task.state is State.RETRYING:
            self.records.back(job.uid, task.index)
        if before is State.ASKED and not job.unanswered and job.open_tasks:
            failed = job.counts[State.FAILED] or job.counts[State.REFUSED]
            self.records.answered(job.uid, "failed" if failed else "placed")


def _unfit(asked: JobRequest, words: str) -> ApiError:
    return invalid(
        "Job",
        asked.name,
        [Cause(f"metadata.annotations[{names.FEDERATION}]", "FieldValueNotSupported", words)],
    )
