"""All of one placer's replication: as primary, as replica, and as successor of ended sessions.

Combines `Primary` and `Replica` with the failover of other placers' sessions and the recovery of this placer's own. The
host calls `replicate`, `record_send`, `record_placed`, `record_not_running`, `record_task_ended` and `record_answer` of
`primary` directly, and passes their effects through `process`. All other calls concern more than one part and are
methods of `Replicator`.

Events for the host, each a `Notify`:

- `kept`: a token is settled.
- `session-over`: this placer's session has ended.
- `reissue`: a decision on tasks of a Job that was taken over.
- `startable`: Jobs are ready; call `next_starts`.
- `stop`: another placer is primary of a Job, by a later epoch or by precedence; `fate` tells whether it was started
  here.
- `ask-machine`: a machine of this region is to be fenced and queried, and its answer sent back as `MachineReport`.
- `settled`: the outcome of a Job of this placer's ended session.
- `orphans`: Jobs of an ended session have had no successor for too long, and are taken over here.
- `keeper-refused`: a replica refused a request of the primary.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace

from wingbarrow.decide.effects import Effect, Notify, SetTimer
from wingbarrow.decide.replication.orphans import ORPHAN_TIMER, OrphanedJobs
from wingbarrow.decide.replication.primary import PRIMARY_TIMER, Primary
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
    with_tasks_in_doubt,
)
from wingbarrow.decide.replication.replica import JobClaim, Replica
from wingbarrow.decide.replication.replicated_job import REMOVED, SESSION_OVER, TAKEN_OVER
from wingbarrow.decide.replication.start_queue import STARTABLE_TIMER, StartQueue
from wingbarrow.decide.sessions.failover import FailoverState, SessionFailover, StartOrder
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.machine_queries import NUMBERS_PER_EPOCH
from wingbarrow.decide.sessions.messages import (
    MachineQuery,
    MachineReport,
    Message,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
)
from wingbarrow.decide.sessions.recovery import OwnJob, SessionRecovery
from wingbarrow.decide.sessions.reissue import ReissueDecision
from wingbarrow.decide.sessions.session import EndedSession, Session

CLAIM_TIMEOUT_US = 10_000_000  # deadline of a claim's token, after which a new one is awaited
TAKEOVER_TIMER = "taking"


@dataclass(frozen=True, slots=True)
class ReplicatorSettings:
    """The limits of replication, and the pace of failover."""

    limits: ReplicationLimits = ReplicationLimits()
    pace: FailoverPace = FailoverPace()


DEFAULT_SETTINGS = ReplicatorSettings()


def _no_replica_terms(record: LeasedJobRecord) -> ReplicationTerms:
    return ReplicationTerms((), 1)


def _always_may_start(record: LeasedJobRecord) -> bool:
    return True


class Replicator:
    """One placer's primary, replica, failovers and recoveries.

    `terms_of(record)` returns what a Job's spec requires at the time of the call.
    """

    def __init__(
        self,
        session: Session,
        region: str,
        seed: int,
        terms_of: Callable[[LeasedJobRecord], ReplicationTerms] = _no_replica_terms,
        settings: ReplicatorSettings = DEFAULT_SETTINGS,
    ) -> None:
        self.placer_name = session.placer
        self.region = region
        self.pace = settings.pace
        self.primary = Primary(session, region, seed, settings.limits, self._is_started)
        self.replica = Replica(session, settings.limits)
        self.failovers: dict[Session, SessionFailover] = {}
        self.recoveries: dict[Session, SessionRecovery] = {}
        self._terms_of = terms_of
        self._members: dict[str, tuple[str, int]] = {}  # region and incarnation by name
        self._uids_by_claim_token: dict[int, str] = {}  # of Jobs that are taken over
        self._failover_by_uid: dict[str, SessionFailover] = {}
        self._start_queue = StartQueue(settings.pace, self._failover_by_uid.get)
        self._partly_taken_over: dict[Session, EndedSession] = {}  # more Jobs remain
        self._orphans = OrphanedJobs(self.replica, self._take_over_orphans)

    def _is_started(self, uid: str) -> bool:
        """Return whether a Job that was taken over has been started here."""
        _, outcome = self.replica.taken_over.get(uid, (0, ""))
        return outcome == ReissueDecision.RUN.value

    # -- membership and sessions

    def on_membership(self, now_us: int, alive: Mapping[str, tuple[str, int]]) -> list[Effect]:
        """Update the placers that are alive: region and incarnation, by name."""
        self._members = dict(alive)
        out = self.process(now_us, self.primary.on_membership(now_us, alive))
        for failover in self.failovers.values():
            out += self.process(now_us, failover.on_placers(now_us, self._queriers(failover)))
        return out

    def on_session_ended(
        self, now_us: int, ended: EndedSession, running: Collection[str] = ()
    ) -> list[Effect]:
        """Handle the end of a session, or new successors of it; the host calls this in the order of epochs.

        `running`: the uids of Jobs that still run on this placer's machines, if the session was its own.
        """
        out = self.process(
            now_us, self.primary.on_session_ended(now_us, ended.session, ended.epoch)
        )
        if ended.session.placer == self.placer_name:
            recovery = self._recovery_of(now_us, ended.session, running)
            if recovery is not None:
                out += self.process(now_us, recovery.on_session_ended(now_us, ended))
            return out
        out += self._take_over_batch(now_us, ended)
        self._orphans.on_session_ended(now_us, ended.session)
        return out + self._orphans.check(now_us, resolve=False)

    def _recovery_of(
        self, now_us: int, session: Session, running: Collection[str]
    ) -> SessionRecovery | None:
        """Return the recovery of one of this placer's ended sessions; it is created if the session had Jobs."""
        recovery = self.recoveries.get(session)
        former_jobs = self.primary.former_jobs
        if recovery is None and self.primary.former_session == session and former_jobs:
            jobs = {
                uid: OwnJob(job.record_at(now_us), uid in running)
                for uid, job in former_jobs.items()
            }
            recovery = SessionRecovery(self.placer_name, session, jobs)
            self.recoveries[session] = recovery
        return recovery

    def _take_over_batch(self, now_us: int, ended: EndedSession) -> list[Effect]:
        """Take over as many Jobs of an ended session as the pace allows, and set the timer for the next batch."""
        claims = self.replica.on_session_ended(now_us, ended, self.pace.max_claims)
        if len(claims) < self.pace.max_claims:
            self._partly_taken_over.pop(ended.session, None)
        else:
            self._partly_taken_over[ended.session] = ended
        out = self._take_over(now_us, ended.session, ended.epoch, claims)
        if self._partly_taken_over:
            out.append(SetTimer(TAKEOVER_TIMER, now_us + self.pace.claim_interval_us))
        return out

    def _take_over_next_batch(self, now_us: int) -> list[Effect]:
        ended = next(iter(self._partly_taken_over.values()), None)
        return self._take_over_batch(now_us, ended) if ended is not None else []

    def begin_session(self, now_us: int, session: Session) -> list[Effect]:
        """Begin a new session of this placer after the end of its own, without Jobs and without failovers."""
        out = self.process(now_us, self.primary.begin_session(now_us, session))
        self.replica.on_own_session_ended(session, self.primary.former_jobs)
        self.failovers.clear()
        self._partly_taken_over.clear()
        self._failover_by_uid.clear()
        self._uids_by_claim_token.clear()
        self._start_queue.clear()
        return out

    # -- calls of the host

    def remove(self, now_us: int, uid: str) -> list[Effect]:
        """Remove a Job that has ended, was deleted, or was never accepted: no replica needs its record."""
        if uid in self._failover_by_uid:
            self._failover_by_uid.pop(uid).remove(uid)
            self.replica.release(uid)
            self._prune()
        return self.process(now_us, self.primary.remove(now_us, uid))

    def confirm_never_ran(self, now_us: int, uid: str) -> list[Effect]:
        """Handle an operator's confirmation that a Job with the decision `unknown` never ran."""
        failover = self._failover_by_uid.get(uid)
        return (
            self.process(now_us, failover.on_operator_confirmation(now_us, uid))
            if failover is not None
            else []
        )

    def failover_record(self, uid: str) -> LeasedJobRecord | None:
        """Return the record of a Job that is being taken over; None for any other."""
        failover = self._failover_by_uid.get(uid)
        return failover.cases[uid].record if failover is not None else None

    def failover_outcome(self, uid: str) -> str:
        """Return the outcome of a Job that is being taken over; "" for any other."""
        failover = self._failover_by_uid.get(uid)
        return failover.cases[uid].state.value if failover is not None else ""

    def unknown_jobs(self) -> list[LeasedJobRecord]:
        """Return the Jobs that cannot be proved not to have run, and unsafe Jobs of sessions in recovery."""
        recovering = [
            own.record
            for recovery in self.recoveries.values()
            for own in recovery.jobs.values()
            if own.record.effect != "safe"
        ]
        return recovering + [
            case.record
            for failover in self.failovers.values()
            for case in failover.cases.values()
            if case.state is FailoverState.UNKNOWN
        ]

    def next_starts(
        self,
        now_us: int,
        cores: float,
        memory: float,
        may_start: Callable[[LeasedJobRecord], bool] = _always_may_start,
    ) -> tuple[list[StartOrder], list[Effect]]:
        """Return the Jobs to be started now, in order, within this capacity (cores, GiB) and the pace of failover.

        `may_start(record)` returns whether a Job's spec allows it to start here, now.
        """
        starts, effects = self._start_queue.take(now_us, cores, memory, may_start)
        for start in starts:
            self.replica.set_outcome(start.record.uid, ReissueDecision.RUN.value)
        return starts, effects

    # -- messages and time

    def on_message(self, now_us: int, ident: str, address: str, message: Message) -> list[Effect]:
        """Handle another placer's message."""
        match message:
            case ReplicateRequest():
                out = self.process(now_us, self.replica.on_request(now_us, ident, message))
            case ReplicateResponse():
                out = self.process(now_us, self.primary.on_message(now_us, ident, message))
            case ResolveRequest():
                out = self.replica.on_resolve(ident, message, self._own_jobs(message))
            case ResolveResponse():
                out = self._on_resolve_response(now_us, ident, message)
            case MachineQuery():
                out = [self._machine_query(ident, message)]
            case MachineReport():
                out = self._on_machine_report(now_us, message)
        return out

    @staticmethod
    def _machine_query(ident: str, query: MachineQuery) -> Notify:
        return Notify(
            "ask-machine",
            {
                "to": ident,
                "number": query.number,
                "machine": query.machine,
                "uid": query.uid,
                "epoch": query.epoch,
            },
        )

    def _on_machine_report(self, now_us: int, report: MachineReport) -> list[Effect]:
        epoch = report.number // NUMBERS_PER_EPOCH
        for failover in self.failovers.values():
            if failover.epoch == epoch:
                return self.process(now_us, failover.on_machine_report(now_us, report))
        return []

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle one of this placer's timers."""
        if key == PRIMARY_TIMER:
            return self.process(now_us, self.primary.on_timer(now_us))
        if key == STARTABLE_TIMER:
            return self._start_queue.on_timer()
        if key == TAKEOVER_TIMER:
            return self._take_over_next_batch(now_us)
        if key == ORPHAN_TIMER:
            return self._orphans.on_timer(now_us)
        self.recoveries = {
            session: each for session, each in self.recoveries.items() if not each.is_done
        }
        parts: list[SessionFailover | SessionRecovery] = [
            *self.failovers.values(),
            *self.recoveries.values(),
        ]
        return [
            effect
            for part in parts
            if part.timer == key
            for effect in self.process(now_us, part.on_timer(now_us))
        ]

    # -- events between primary, replica and failovers

    def process(self, now_us: int, effects: list[Effect]) -> list[Effect]:
        """Handle the events between primary, replica and failovers; return the effects for the host, in order."""
        out: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Notify):
                out += self._on_event(now_us, effect)
            else:
                out.append(effect)
        return out

    def _on_event(self, now_us: int, event: Notify) -> list[Effect]:
        fields = event.fields
        out: list[Effect] = [event]
        match event.event:
            case "kept" if fields["token"] in self._uids_by_claim_token:
                uid = self._uids_by_claim_token.pop(fields["token"])
                out = self._on_claim_settled(now_us, uid, fields["why"])
            case "later":
                out = self._on_later_record(now_us, fields["record"])
            case "superseded" | "taken":
                out = self._on_superseded(now_us, fields["uid"], fields["by"])
            case "settled":
                self.primary.former_jobs.pop(fields["uid"], None)
                if not fields["by"]:
                    out += self._restart_own(now_us, fields["own"], fields["epoch"])
            case "reissue":
                out += self._on_reissue_decided(now_us, event)
        return out

    def _on_claim_settled(self, now_us: int, uid: str, reason: str) -> list[Effect]:
        """Handle the settled token of a Job that is being taken over; after a failure, await a new token."""
        failover = self._failover_by_uid.get(uid)
        if failover is None or reason in (TAKEN_OVER, REMOVED, SESSION_OVER):
            return []
        if not reason:
            return self.process(now_us, failover.on_claimed(now_us, uid))
        token, effects = self.primary.await_acknowledgement(
            now_us,
            uid,
            now_us + CLAIM_TIMEOUT_US,
            requires_all=failover.cases[uid].record.effect != "safe",
        )
        if uid in self.primary.jobs:
            self._uids_by_claim_token[token] = uid
        return self.process(now_us, effects)

    def _on_later_record(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """Merge the tasks of another replica's record of a Job that is being taken over, and replicate them."""
        uid = record.uid
        failover = self._failover_by_uid.get(uid)
        if failover is None:
            return []
        out = self.process(now_us, failover.on_replica_record(now_us, record))
        if uid in failover.cases:
            out += self.primary.update_tasks(now_us, uid, failover.cases[uid].record.tasks)
        return out

    def _on_superseded(self, now_us: int, uid: str, primary: str) -> list[Effect]:
        """Give up a Job of which another placer is primary, by a later epoch or by precedence."""
        failover = self._failover_by_uid.pop(uid, None)
        outcome = ReissueDecision.RUN.value
        if failover is not None and uid in failover.cases:
            outcome = failover.cases[uid].state.value
            failover.remove(uid)
            self.replica.release(uid)
            self._prune()
        out = self.process(now_us, self.primary.remove(now_us, uid))
        return [*out, Notify("stop", {"uid": uid, "fate": outcome, "by": primary})]

    def _on_reissue_decided(self, now_us: int, event: Notify) -> list[Effect]:
        """Record the decision on a Job's reissue, and queue the Job if it is ready to be started."""
        uid = event.fields["uid"]
        decision = event.fields["verdict"]
        self.replica.set_outcome(uid, decision)
        failover = self._failover_by_uid[uid]
        if decision != ReissueDecision.RUN.value or uid not in failover.ready:
            return []
        return self._start_queue.push(now_us, failover.cases[uid])

    # -- failover

    def _queriers(self, failover: SessionFailover) -> list[str]:
        """Return the placers that can query the machines of a failover's Jobs: those of the machines' regions."""
        regions = {case.record.region for case in failover.cases.values()}
        return [name for name, (region, _) in self._members.items() if region in regions]

    def _required_acknowledgers(self, claim: JobClaim) -> tuple[str, ...]:
        """Return the placers that have to acknowledge that a Job is taken over.

        Danger: a placer whose session has ended, and that has not come back, never answers. One that is alive, or a
        successor, has to acknowledge.
        """
        ended = self.replica.session_ends.get(claim.record.session)
        successors = (
            {name for batch in ended.batches for name in batch} if ended is not None else set()
        )
        return tuple(
            name
            for name in claim.possible_replicas
            if name in self._members or name in successors or name not in self.replica.last_ended
        )

    def _take_over(
        self, now_us: int, session: Session, epoch: int, claims: list[JobClaim]
    ) -> list[Effect]:
        """Begin the failover of the claimed Jobs, and replicate them under this placer's session."""
        if not claims:
            return []
        failover = self.failovers.get(session)
        if failover is None:
            failover = SessionFailover(session, epoch)
            self.failovers[session] = failover
        self._failover_by_uid |= {claim.record.uid: failover for claim in claims}
        out = self.process(now_us, failover.add(now_us, claims))
        out += self.process(now_us, failover.on_placers(now_us, self._queriers(failover)))
        for claim in claims:
            record = claim.record
            terms = self._terms_of(record)
            token, effects = self.primary.replicate_taken_over(
                now_us,
                replace(record, epoch=claim.epoch, version=record.version + 1),
                terms,
                now_us + CLAIM_TIMEOUT_US,
                self._required_acknowledgers(claim),
            )
            self._uids_by_claim_token[token] = record.uid
            out += self.process(now_us, effects)
        return out

    def _prune(self) -> None:
        """Discard failovers without Jobs, and ends of sessions without stored records."""
        self.failovers = {session: each for session, each in self.failovers.items() if each.cases}
        self._orphans.prune()

    def _restart_own(self, now_us: int, own: OwnJob, epoch: int) -> list[Effect]:
        """Take over a Job of this placer's own ended session, as no successor knows it."""
        record = own.record
        if record.uid in self.primary.jobs:
            return []
        others = {*record.keepers, *record.others} - {self.placer_name}
        claim = JobClaim(with_tasks_in_doubt(record), epoch, tuple(sorted(others)))
        self.replica.taken_over[record.uid] = epoch, ReissueDecision.WAIT.value
        return self._take_over(now_us, record.session, epoch, [claim])

    def _take_over_orphans(self, now_us: int, uids: list[str]) -> list[Effect]:
        out: list[Effect] = []
        for uid in uids:
            claim = self.replica.take_over(now_us, uid)
            if claim is not None:
                out += self._take_over(now_us, claim.record.session, claim.epoch, [claim])
        return out

    def _own_jobs(self, request: ResolveRequest) -> dict[str, tuple[int, str]]:
        """Return epoch and outcome, by uid, of the requested Jobs of this placer, or of its sessions in recovery."""
        out = {}
        for uid in request.uids:
            job = self.primary.jobs.get(uid)
            if job is not None and request.session != self.primary.session:
                out[uid] = job.record.epoch, ReissueDecision.RUN.value
            for recovery in self.recoveries.values():
                own = recovery.jobs.get(uid)
                if own is not None and recovery.session != request.session:
                    out[uid] = own.record.epoch, ReissueDecision.WAIT.value
        return out

    def _on_resolve_response(
        self, now_us: int, ident: str, message: ResolveResponse
    ) -> list[Effect]:
        """Handle a successor's outcomes of Jobs: those of this placer's own ended session, or of stored records."""
        recovery = self.recoveries.get(message.session)
        if recovery is not None:
            out = self.process(now_us, recovery.on_resolve_response(now_us, ident, message))
            if recovery.is_done:
                del self.recoveries[message.session]
            return out
        return self._orphans.on_response(now_us, ident, message)
