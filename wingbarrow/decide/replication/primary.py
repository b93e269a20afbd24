"""The primary's side of replication: which record must be acknowledged by whom before an effect may leave.

A leased Job's record is sent to its replicas, placers of other regions that its spec allows, and again after each
change. A change has a token; `Notify("kept")` settles each token once, at its deadline at the latest, and as good only
by what replicas have acknowledged. Most tokens require one acknowledgement. That of an attempt which must not start
twice, recorded before it is sent, requires one from *every* placer that may have the record. Danger: a replica that was
replaced as too slow, and received nothing since, would conclude that nothing was sent, and start the Job a second
time. So a former replica of such a Job has to confirm the removal of the record, or the voters have to end its
session, before anything more of the Job is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
    record_size_bytes,
)
from wingbarrow.decide.replication.replica_assignments import ReplicaAssignments
from wingbarrow.decide.replication.replica_link import ReplicaLink
from wingbarrow.decide.replication.replica_set import ReplicaSet
from wingbarrow.decide.replication.replicated_job import (
    ALREADY_REPLICATED,
    NO_CAPACITY,
    NO_REPLICA,
    NOT_REPLICATED,
    REMOVED,
    SESSION_OVER,
    TAKEN_OVER,
    PendingAcknowledgements,
    ReplicatedJob,
    token_settled,
)
from wingbarrow.decide.sessions.leased_job_record import (
    MAX_RECORD_BYTES,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import ReplicateRequest, ReplicateResponse
from wingbarrow.decide.sessions.session import Session

PRIMARY_TIMER = "custody"


def _never_started(uid: str) -> bool:
    return False


def _size_refusal(size_bytes: int) -> str:
    """Why a record cannot be replicated for its size; "" where it can."""
    if size_bytes <= MAX_RECORD_BYTES:
        return ""
    return f"record of {size_bytes} bytes, at most {MAX_RECORD_BYTES}"


class Primary:
    """The records of one placer's own Jobs, under its present session.

    The host calls `on_message` and, at `PRIMARY_TIMER`, `on_timer`, and performs the returned effects in order.
    `is_started` says whether a Job that was taken over from an ended session has been started here.
    """

    def __init__(
        self,
        session: Session,
        region: str,
        seed: int,
        limits: ReplicationLimits = ReplicationLimits(),
        is_started: Callable[[str], bool] = _never_started,
    ) -> None:
        self.session = session
        self.region = region
        self.limits = limits
        self.former_jobs: dict[str, ReplicatedJob] = {}  # of `former_session`
        self.former_session = session
        self.session_ended = False  # then there are no Jobs until `begin_session`
        self.replicas = ReplicaSet(session.placer, region, seed, limits)
        self._assignments = ReplicaAssignments(self.replicas)
        self._is_started = is_started
        self._pending = PendingAcknowledgements()
        self._timer_us: int | None = None

    @property
    def jobs(self) -> dict[str, ReplicatedJob]:
        """The Jobs of the present session, by uid."""
        return self._assignments.jobs

    # -- changes by the core; each returns its token and the effects

    def replicate(
        self, now_us: int, record: LeasedJobRecord, terms: ReplicationTerms, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Replicate a new Job; the token fails at once where no replica has capacity.

        Where the token fails, the caller has to `remove` the Job.
        """
        token = self._pending.next_token()
        size_bytes = record_size_bytes(record)
        why = self._refusal(record.uid, size_bytes)
        if why:
            return token, [token_settled(token, why)]
        chosen = self.replicas.choose(now_us, record.uid, terms, size_bytes)
        if not chosen:
            available = self.replicas.choose(now_us, record.uid, terms, 0)
            return token, [token_settled(token, NO_CAPACITY if available else NO_REPLICA)]
        job = self._new_job(now_us, record, terms, chosen, size_bytes)
        self._pending.add(job, token, deadline_us, False)
        return token, self._start_replication(now_us, job)

    def replicate_taken_over(
        self,
        now_us: int,
        record: LeasedJobRecord,
        terms: ReplicationTerms,
        deadline_us: int,
        former_replicas: Collection[str],
    ) -> tuple[int, list[Effect]]:
        """Replicate a Job of an ended session; without any replica until there is one.

        `former_replicas` may have an older record. Unless the Job is safe, the token requires all of them.
        """
        token = self._pending.next_token()
        size_bytes = record_size_bytes(record)
        why = self._refusal(record.uid, size_bytes)
        if why:
            return token, [token_settled(token, why)]
        chosen = self.replicas.choose(now_us, record.uid, terms, size_bytes)
        job = self._new_job(now_us, record, terms, chosen, size_bytes)
        job.must_acknowledge = set(former_replicas) - {self.session.placer}
        job.former_replicas = job.must_acknowledge - set(chosen)
        requires_all = bool(former_replicas) and record.effect != "safe"
        self._pending.add(job, token, deadline_us, requires_all)
        return token, self._start_replication(now_us, job)

    def record_send(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """An attempt is about to be sent, and must not be before the token is good."""
        return self._record_task(now_us, uid, replace(known, phase="about"), deadline_us)

    def record_placed(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """A machine runs a task; the answer `placed` must not be given before the token is good."""
        return self._record_task(now_us, uid, replace(known, phase="placed"), deadline_us)

    def record_not_running(
        self, now_us: int, uid: str, index: int, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """An attempt does not run, as is proven: its machine rejected it, or never received it and never will."""
        return self._record_task(now_us, uid, KnownTask(index, "none"), deadline_us)

    def record_task_ended(
        self, now_us: int, uid: str, index: int, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """A task is over, and is never to be started again."""
        return self._record_task(now_us, uid, KnownTask(index, "over"), deadline_us)

    def record_answer(
        self, now_us: int, uid: str, answer: str, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """The answer that the Job's owner was given."""
        job = self.jobs.get(uid)
        if job is None:
            return self._not_replicated()
        return self._change_record(now_us, job, replace(job.record, answered=answer), deadline_us)

    def await_acknowledgement(
        self, now_us: int, uid: str, deadline_us: int, *, requires_all: bool
    ) -> tuple[int, list[Effect]]:
        """A new token for a Job's record as it is."""
        job = self.jobs.get(uid)
        if job is None:
            return self._not_replicated()
        token = self._pending.next_token()
        self._pending.add(job, token, deadline_us, requires_all)
        return token, [*self._pending.settle_acknowledged(job), *self._next_effects(now_us)]

    def remove(self, now_us: int, uid: str) -> list[Effect]:
        """Have the replicas remove a Job's record, and fail its tokens."""
        self.former_jobs.pop(uid, None)
        job = self.jobs.pop(uid, None)
        if job is None:
            return []
        out = self._pending.fail(job, REMOVED)
        self._assignments.remove(now_us, job)
        return out + self._next_effects(now_us)

    def update_tasks(self, now_us: int, uid: str, tasks: tuple[KnownTask, ...]) -> list[Effect]:
        """Replace the tasks of a Job that was taken over, after another replica knew more of them."""
        job = self.jobs.get(uid)
        if job is None or job.record.tasks == tasks:
            return []
        job.record = replace(job.record, tasks=tasks, version=job.record.version + 1)
        job.since_us |= {each.index: now_us - each.age_us for each in tasks}
        self._assignments.enqueue_update(now_us, job)
        return self._next_effects(now_us)

    # -- membership, specs and sessions

    def on_membership(self, now_us: int, alive: Mapping[str, tuple[str, int]]) -> list[Effect]:
        """Take the region and life, by name, of each placer that is alive; exclude the replicas that are not."""
        for link in self.replicas.on_membership(alive):
            self._assignments.exclude(now_us, link)
        for name, link in self.replicas.links.items():
            if name in alive and alive[name][1] > link.incarnation:
                self._assignments.on_replica_session(now_us, link, alive[name][1], 0)
        return self._next_effects(now_us)

    def on_specs_changed(
        self, now_us: int, terms_of: Callable[[LeasedJobRecord], ReplicationTerms]
    ) -> list[Effect]:
        """Replace the replicas in regions that a Job's spec no longer allows."""
        for uid, job in self.jobs.items():
            job.terms = terms_of(job.record)
            for name in job.replicas:
                if not self.replicas.is_usable(now_us, name, job.terms.allowed_regions):
                    self.replicas.schedule_reassignment(now_us, uid, name)
        return self._next_effects(now_us)

    def on_session_ended(self, now_us: int, session: Session, epoch: int) -> list[Effect]:
        """The voters ended a session; to be called in the order of epochs.

        Records that were stored under it no longer count. Danger: a placer that has to acknowledge a Job that was taken
        over may have stored the record under a later session; only an end after the Job's own epoch releases it.
        """
        if session.placer == self.session.placer:
            is_own = session >= self.session and not self.session_ended
            return self._end_session() if is_own else []
        link = self.replicas.links.get(session.placer)
        out: list[Effect] = []
        if link is not None:
            for job in self.jobs.values():
                if link.name in job.must_acknowledge and epoch > job.record.epoch:
                    job.must_acknowledge.discard(link.name)
            if (link.incarnation, link.serial) <= (session.life, session.serial):
                self._assignments.on_replica_session(now_us, link, session.life, session.serial + 1)
                if link.name not in self.replicas.regions:
                    self._assignments.exclude(now_us, link)
                else:
                    # Danger: it may have left before membership shows it: an attempt that needs its acknowledgement
                    # would wait in vain.
                    link.excluded_until_us = max(
                        link.excluded_until_us, now_us + self.limits.exclusion_us
                    )
            out = self._settle_acknowledged()
        return out + self._next_effects(now_us)

    def begin_session(self, now_us: int, session: Session) -> list[Effect]:
        """This placer has a new session, without any Job."""
        out = [] if self.session_ended else self._end_session()
        self.session = session
        self.session_ended = False
        return out + self._next_effects(now_us)

    # -- messages and time

    def on_message(self, now_us: int, ident: str, message: ReplicateResponse) -> list[Effect]:
        """A replica answered; answers to other than its pending request are ignored."""
        link = self.replicas.links.get(ident)
        if (
            self.session_ended
            or message.session != self.session
            or link is None
            or link.pending is None
            or link.pending.request.number != message.number
        ):
            return []
        if message.over:
            return self._end_session()
        request = link.pending.request
        link.cancel_pending()
        link.next_request_us = now_us
        out: list[Effect] = []
        if (message.life, message.serial) != (request.life, request.serial):
            self._assignments.requeue(now_us, link, request)
            self._assignments.on_replica_session(now_us, link, message.life, message.serial)
            out = self._settle_acknowledged()
        elif not message.good:
            self._assignments.requeue(now_us, link, request)
            link.next_request_us = now_us + self.limits.max_retry_us
            out = [Notify("keeper-refused", {"keeper": ident, "why": message.why})]
            self._assignments.exclude(now_us, link)
        else:
            out = self._on_stored(now_us, link, message, request)
        return out + self._next_effects(now_us)

    def on_timer(self, now_us: int, key: str = PRIMARY_TIMER) -> list[Effect]:
        """Expire tokens, exclude silent replicas, reassign, and send what is due."""
        self._timer_us = None
        out: list[Effect] = []
        out += self._pending.expire(now_us, self.jobs)
        for link in self.replicas.links.values():
            if (
                link.pending is not None
                and now_us >= link.pending.sent_us + self.limits.response_timeout_us
                and link.excluded_until_us < now_us
            ):
                self._assignments.exclude(now_us, link)
        for uid, name in self.replicas.due_reassignments(now_us):
            self._assignments.reassign(now_us, uid, name)
        return out + self._next_effects(now_us)

    # -- the end of the session

    def _settle_acknowledged(self) -> list[Effect]:
        """After a replica was released from all its records."""
        return [
            effect
            for job in self.jobs.values()
            if job.pending
            for effect in self._pending.settle_acknowledged(job)
        ]

    def _end_session(self) -> list[Effect]:
        out: list[Effect] = [
            effect for job in self.jobs.values() for effect in self._pending.fail(job, SESSION_OVER)
        ]
        self.session_ended = True
        self.former_session = self.session
        self._pending.clear()
        self.former_jobs = self._assignments.clear()
        return [*out, Notify("session-over", {"session": self.session.text()})]

    # -- records

    def _refusal(self, uid: str, size_bytes: int) -> str:
        """Why a Job cannot be replicated under this session; "" where it can."""
        if self.session_ended:
            return SESSION_OVER
        if uid in self.jobs:
            return ALREADY_REPLICATED
        return _size_refusal(size_bytes)

    def _not_replicated(self) -> tuple[int, list[Effect]]:
        token = self._pending.next_token()
        why = SESSION_OVER if self.session_ended else NOT_REPLICATED
        return token, [token_settled(token, why)]

    def _new_job(
        self,
        now_us: int,
        record: LeasedJobRecord,
        terms: ReplicationTerms,
        chosen: tuple[str, ...],
        size_bytes: int,
    ) -> ReplicatedJob:
        return ReplicatedJob(
            replace(record, session=self.session, keepers=chosen, others=(), moves=0),
            born_us=now_us - record.born_age_us,
            since_us={each.index: now_us - each.age_us for each in record.tasks},
            terms=terms,
            size_bytes=size_bytes,
            replicas=list(chosen),
            has_no_replica=not chosen,
            reassigned_version=record.version,
        )

    def _start_replication(self, now_us: int, job: ReplicatedJob) -> list[Effect]:
        self._assignments.begin(now_us, job)
        return [*self._pending.settle_acknowledged(job), *self._next_effects(now_us)]

    def _record_task(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        job = self.jobs.get(uid)
        if job is None or not 0 <= known.index < job.record.count:
            return self._not_replicated()
        record = job.record_with_task(known, self.region)
        return self._change_record(now_us, job, record, deadline_us, known)

    def _change_record(
        self,
        now_us: int,
        job: ReplicatedJob,
        record: LeasedJobRecord,
        deadline_us: int,
        known: KnownTask | None = None,
    ) -> tuple[int, list[Effect]]:
        """Replace a Job's record, `known` being its changed task, and send it to all replicas."""
        token = self._pending.next_token()
        why = _size_refusal(record_size_bytes(record))
        if why:
            return token, [token_settled(token, why)]
        requires_all = False
        if known is not None:
            job.since_us[known.index] = now_us - known.age_us
            # Danger: one replica is enough for a Job that may repeat; of any other all that may start it must know.
            requires_all = known.phase == "about" and record.effect != "safe"
        job.record = replace(record, version=record.version + 1)
        self._pending.add(job, token, deadline_us, requires_all)
        self._assignments.enqueue_update(now_us, job)
        return token, self._next_effects(now_us)

    # -- responses

    def _on_stored(
        self,
        now_us: int,
        link: ReplicaLink,
        message: ReplicateResponse,
        request: ReplicateRequest,
    ) -> list[Effect]:
        """A replica stored a request, but for the records that another primary has by a later one."""
        out: list[Effect] = [Notify("later", {"record": each}) for each in message.later]
        for uid, epoch, primary in message.taken:
            out += self._on_rejected(now_us, link, uid, epoch, primary)
        out += self._on_removed(link, request.gone)
        rejected = {uid for uid, _, _ in message.taken}
        for record in request.records:
            job = self.jobs.get(record.uid) if record.uid not in rejected else None
            if job is not None:
                job.acknowledged[link.name] = max(
                    record.version, job.acknowledged.get(link.name, -1)
                )
                job.must_acknowledge.discard(link.name)
                out += self._pending.settle_acknowledged(job)
                self._assignments.release_former_replicas(now_us, job)
        return out

    def _on_rejected(
        self, now_us: int, link: ReplicaLink, uid: str, epoch: int, primary: str
    ) -> list[Effect]:
        """A replica has a Job of another primary, at this epoch: give the Job up, unless it was started here."""
        job = self.jobs.get(uid)
        if job is None:
            return []
        # Danger: of two primaries at one epoch each may be rejected by the other's replicas, and both give up. One that
        # has started the Job yields only to a later epoch, or to the placer itself where that has the lesser name.
        has_precedence = primary != link.name or self.session.placer < primary
        if epoch <= job.record.epoch and has_precedence and self._is_started(uid):
            job.disputed_by.add(link.name)
            self.replicas.defer_reassignment(now_us, uid, link.name)
            return []
        out = self._pending.fail(job, TAKEN_OVER)
        return [*out, Notify("taken", {"uid": uid, "by": primary}), *self.remove(now_us, uid)]

    def _on_removed(self, link: ReplicaLink, uids: tuple[str, ...]) -> list[Effect]:
        """A placer removed these records."""
        jobs = [self.jobs[uid] for uid in uids if uid in self.jobs]
        for job in jobs:
            if job.record.uid not in link.pending_updates and link.name not in job.replicas:
                job.former_replicas.discard(link.name)
                job.acknowledged.pop(link.name, None)
        return [effect for job in jobs for effect in self._pending.settle_acknowledged(job)]

    # -- requests

    def _next_effects(self, now_us: int) -> list[Effect]:
        """The requests that are due, and the timer for the next deadline."""
        out: list[Effect] = []
        deadlines: list[int] = []
        expiry_us = self._pending.next_deadline()
        if expiry_us is not None:
            deadlines.append(expiry_us)
        if self.replicas.reassign_us is not None:
            deadlines.append(self.replicas.reassign_us)
        for link in self.replicas.links.values():
            request = link.due_request(now_us, self.session, self._read_record)
            if request is not None:
                out.append(Send(link.name, "", request))
            deadlines += link.deadlines(now_us, self.limits.response_timeout_us)
        if deadlines:
            next_us = min(deadlines)
            if self._timer_us is None or next_us < self._timer_us:
                self._timer_us = max(now_us, next_us)
                out.append(SetTimer(PRIMARY_TIMER, self._timer_us))
        return out

    def _read_record(self, now_us: int, uid: str) -> LeasedJobRecord:
        return self.jobs[uid].record_at(now_us)
