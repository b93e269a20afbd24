"""The primary's side of replication: which replicas have to acknowledge a record before an effect may be performed.

A leased Job's record is sent to its replicas, which are placers of other regions that its spec allows, and is sent
again after each change. Each change has a token. `Notify("kept")` settles each token exactly once, at its deadline at
the latest, and as `good` only if replicas have acknowledged the change. Most tokens require one acknowledgement. An
attempt that must not start twice is recorded before it is sent, and its token requires the acknowledgement of *every*
placer that may have the record.

Danger: a replica that was replaced as too slow has received no later record. As a successor, it would conclude that no
attempt was sent, and start the Job a second time. Before any further attempt of such a Job is sent, each former replica
therefore has to confirm that it removed the record, or the voters have to end its session.
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


def _size_refusal_reason(size_bytes: int) -> str:
    """Return why a record is too large to be replicated; "" if it is not."""
    if size_bytes <= MAX_RECORD_BYTES:
        return ""
    return f"record of {size_bytes} bytes, at most {MAX_RECORD_BYTES}"


class Primary:
    """Replicates the records of one placer's own Jobs, under its present session.

    The host calls `on_message` and, at `PRIMARY_TIMER`, `on_timer`, and performs the returned effects in order.
    `is_started(uid)` returns whether a Job that was taken over from an ended session has been started here.
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
        self.former_jobs: dict[str, ReplicatedJob] = {}  # by uid, those of `former_session`
        self.former_session = session
        self.session_ended = False  # there are no Jobs while it is set
        self.replicas = ReplicaSet(session.placer, region, seed, limits)
        self._assignments = ReplicaAssignments(self.replicas)
        self._is_started = is_started
        self._pending = PendingAcknowledgements()
        self._timer_us: int | None = None

    @property
    def jobs(self) -> dict[str, ReplicatedJob]:
        """The Jobs of the present session, by uid."""
        return self._assignments.jobs

    # -- changes by the core: each returns a token and effects

    def replicate(
        self, now_us: int, record: LeasedJobRecord, terms: ReplicationTerms, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Replicate a new Job. The token fails at once if no available replica has capacity.

        If the token fails, the caller has to `remove` the Job.
        """
        token = self._pending.next_token()
        size_bytes = record_size_bytes(record)
        reason = self._refusal_reason(record.uid, size_bytes)
        if reason:
            return token, [token_settled(token, reason)]
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
        """Replicate a Job of an ended session; if no replica is available, the Job has none until one is found.

        `former_replicas` are placers that may have an older record. Unless the Job is safe, the token requires the
        acknowledgements of all of them.
        """
        token = self._pending.next_token()
        size_bytes = record_size_bytes(record)
        reason = self._refusal_reason(record.uid, size_bytes)
        if reason:
            return token, [token_settled(token, reason)]
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
        """Record that an attempt is about to be sent; it must not be sent before the token is settled as good."""
        return self._record_task(now_us, uid, replace(known, phase="about"), deadline_us)

    def record_placed(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Record that a machine runs a task; `placed` must not be answered before the token is settled as good."""
        return self._record_task(now_us, uid, replace(known, phase="placed"), deadline_us)

    def record_not_running(
        self, now_us: int, uid: str, index: int, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Record that an attempt provably does not run: its machine rejected it, or can never receive it."""
        return self._record_task(now_us, uid, KnownTask(index, "none"), deadline_us)

    def record_task_ended(
        self, now_us: int, uid: str, index: int, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Record that a task has ended, and must never be started again."""
        return self._record_task(now_us, uid, KnownTask(index, "over"), deadline_us)

    def record_answer(
        self, now_us: int, uid: str, answer: str, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """Record the answer that the Job's owner was given."""
        job = self.jobs.get(uid)
        if job is None:
            return self._not_replicated()
        return self._change_record(now_us, job, replace(job.record, answered=answer), deadline_us)

    def await_acknowledgement(
        self, now_us: int, uid: str, deadline_us: int, *, requires_all: bool
    ) -> tuple[int, list[Effect]]:
        """Return a new token for the acknowledgement of a Job's record as it is now."""
        job = self.jobs.get(uid)
        if job is None:
            return self._not_replicated()
        token = self._pending.next_token()
        self._pending.add(job, token, deadline_us, requires_all)
        return token, [*self._pending.settle_acknowledged(job), *self._next_effects(now_us)]

    def remove(self, now_us: int, uid: str) -> list[Effect]:
        """Have the replicas remove a Job's record, and fail the Job's pending tokens."""
        self.former_jobs.pop(uid, None)
        job = self.jobs.pop(uid, None)
        if job is None:
            return []
        out = self._pending.fail(job, REMOVED)
        self._assignments.remove(now_us, job)
        return out + self._next_effects(now_us)

    def update_tasks(self, now_us: int, uid: str, tasks: tuple[KnownTask, ...]) -> list[Effect]:
        """Replace the tasks of a Job that was taken over, after another replica reported later states of them."""
        job = self.jobs.get(uid)
        if job is None or job.record.tasks == tasks:
            return []
        job.record = replace(job.record, tasks=tasks, version=job.record.version + 1)
        job.phase_since_us |= {each.index: now_us - each.age_us for each in tasks}
        self._assignments.enqueue_update(now_us, job)
        return self._next_effects(now_us)

    # -- membership, specs and sessions

    def on_membership(self, now_us: int, alive: Mapping[str, tuple[str, int]]) -> list[Effect]:
        """Update the placers that are alive: region and incarnation, by name. Replicas that are not get excluded."""
        for link in self.replicas.on_membership(alive):
            self._assignments.exclude(now_us, link)
        for name, link in self.replicas.links.items():
            if name in alive and alive[name][1] > link.incarnation:
                self._assignments.on_replica_session(now_us, link, alive[name][1], 0)
        return self._next_effects(now_us)

    def on_specs_changed(
        self, now_us: int, terms_of: Callable[[LeasedJobRecord], ReplicationTerms]
    ) -> list[Effect]:
        """Update the Jobs' terms by `terms_of`, and replace replicas in regions that they no longer allow."""
        for uid, job in self.jobs.items():
            job.terms = terms_of(job.record)
            for name in job.replicas:
                if not self.replicas.is_usable(now_us, name, job.terms.allowed_regions):
                    self.replicas.schedule_reassignment(now_us, uid, name)
        return self._next_effects(now_us)

    def on_session_ended(self, now_us: int, session: Session, epoch: int) -> list[Effect]:
        """Handle the end of a session by the voters; the host calls this in the order of epochs.

        Records that a replica stored under the ended session no longer count as acknowledged. Danger: a placer that
        has to acknowledge a Job that was taken over may have stored the record under a later session. Only an end at a
        later epoch than the Job's own waives that acknowledgement.
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
                    # Danger: the placer may have left before the membership shows it. An attempt that requires its
                    # acknowledgement would then wait until its deadline.
                    link.excluded_until_us = max(
                        link.excluded_until_us, now_us + self.limits.exclusion_us
                    )
            out = self._settle_acknowledged()
        return out + self._next_effects(now_us)

    def begin_session(self, now_us: int, session: Session) -> list[Effect]:
        """Begin a new session of this placer, without any Job."""
        out = [] if self.session_ended else self._end_session()
        self.session = session
        self.session_ended = False
        return out + self._next_effects(now_us)

    # -- messages and time

    def on_message(self, now_us: int, ident: str, message: ReplicateResponse) -> list[Effect]:
        """Handle a replica's response; a response to any but its pending request is ignored."""
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
        """Expire tokens, exclude silent replicas, reassign Jobs, and send the requests that are due."""
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
        """Settle tokens that no longer require a replica whose session has ended."""
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

    def _refusal_reason(self, uid: str, size_bytes: int) -> str:
        """Return why a Job cannot be replicated under this session; "" if it can."""
        if self.session_ended:
            return SESSION_OVER
        if uid in self.jobs:
            return ALREADY_REPLICATED
        return _size_refusal_reason(size_bytes)

    def _not_replicated(self) -> tuple[int, list[Effect]]:
        token = self._pending.next_token()
        reason = SESSION_OVER if self.session_ended else NOT_REPLICATED
        return token, [token_settled(token, reason)]

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
            phase_since_us={each.index: now_us - each.age_us for each in record.tasks},
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
        """Replace a Job's record and send it to all replicas; `known` is the changed task, None if no task changed."""
        token = self._pending.next_token()
        reason = _size_refusal_reason(record_size_bytes(record))
        if reason:
            return token, [token_settled(token, reason)]
        requires_all = False
        if known is not None:
            job.phase_since_us[known.index] = now_us - known.age_us
            # Danger: one acknowledgement is enough for a Job that may run twice. For any other Job, every placer that
            # could start it has to know of the attempt.
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
        """Handle the storage of a request by a replica, which rejects the records of Jobs that have another primary."""
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
        """Give up a Job that a replica rejected as another primary's, unless it was started here and has precedence."""
        job = self.jobs.get(uid)
        if job is None:
            return []
        # Danger: two primaries at the same epoch may each be rejected by the other's replicas, and both would give the
        # Job up. A primary that has started the Job therefore yields only to a later epoch, or to a rejection by the
        # other primary itself if that has the lesser name.
        has_precedence = primary != link.name or self.session.placer < primary
        if epoch <= job.record.epoch and has_precedence and self._is_started(uid):
            job.disputed_by.add(link.name)
            self.replicas.defer_reassignment(now_us, uid, link.name)
            return []
        out = self._pending.fail(job, TAKEN_OVER)
        return [*out, Notify("taken", {"uid": uid, "by": primary}), *self.remove(now_us, uid)]

    def _on_removed(self, link: ReplicaLink, uids: tuple[str, ...]) -> list[Effect]:
        """Handle a placer's confirmation that it removed these records."""
        jobs = [self.jobs[uid] for uid in uids if uid in self.jobs]
        for job in jobs:
            if job.record.uid not in link.pending_updates and link.name not in job.replicas:
                job.former_replicas.discard(link.name)
                job.acknowledged.pop(link.name, None)
        return [effect for job in jobs for effect in self._pending.settle_acknowledged(job)]

    # -- requests

    def _next_effects(self, now_us: int) -> list[Effect]:
        """Return the requests that are due, and the timer for the next deadline."""
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
