"""Replication of job records: this placer as primary, as replica of other regions' records, and as successor.

`decide.replication.replicator` makes the decisions. This module applies its effects: messages and timers through the
peers' host, tokens as bounded waits, and events as calls of a listener. It passes changes of membership and ended
sessions to the replicator.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.records import ReplicationTerms
from wingbarrow.decide.replication.replicator import Replicator, ReplicatorSettings
from wingbarrow.decide.sessions.failover import StartOrder
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import (
    MachineQuery,
    MachineReport,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
)
from wingbarrow.decide.sessions.recovery import OwnJob
from wingbarrow.decide.sessions.session import EndedSession, Session, parse_session
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub, Signal

NAME = "custody"
MESSAGE_TYPES = (
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
    MachineQuery,
    MachineReport,
)
MEMBERS_INTERVAL_US = 200_000  # between reads of the membership
# A batch blocks the hub until it is complete: 0.6 ms per start, 0.4 ms per Job that is taken over.
FAILOVER_PACE = FailoverPace(8, 25_000, 16, 5_000)
WAIT_GRACE_US = 2_000_000  # added to a deadline until a wait is given up without a settled token
OnSettled = Callable[
    [str], None
]  # receives "" for an acknowledgement, otherwise the reason of the failure


@dataclass(frozen=True, slots=True)
class ReissueEvent:
    """A decision on tasks of a Job that is taken over; `verdict` is the value of a `ReissueDecision`."""

    uid: str
    key: str  # namespace/name
    verdict: str
    epoch: int
    why: str


@dataclass(frozen=True, slots=True)
class RecoveredJob:
    """The outcome of a Job of this placer's ended session; `primary` is "" if no successor knows the Job."""

    uid: str
    outcome: str
    primary: str
    epoch: int
    why: str


class ReplicationListener(Protocol):
    """The core's handlers of replication events, and the state of the core that replication reads.

    Called synchronously, within a call of `RecordReplication` or by the task of the peers' host: no method may block.
    """

    def on_startable(self) -> None:
        """Jobs that were taken over are ready: start those that `next_starts` returns."""

    def on_reissue(self, event: ReissueEvent) -> None:
        """A decision on tasks of a Job was made; tasks to run are announced by `on_startable`."""

    def on_machine_query(self, ident: str, query: MachineQuery) -> None:
        """Fence a Job at a machine of this region, and send the machine's answer by `send_machine_report`."""

    def on_superseded(self, uid: str, primary: str) -> None:
        """Another placer is the primary of a Job, by a later epoch or by precedence."""

    def on_recovered(self, job: RecoveredJob) -> None:
        """A successor answered with the outcome of a Job of this placer's ended session."""

    def on_session_over(self, session: Session) -> None:
        """This placer's session has ended: successors decide on all Jobs that were leased under it."""

    def own_jobs(self, session: Session) -> Mapping[str, OwnJob]:
        """The Jobs, by uid, that this placer had leased under a session of its own; empty for any other."""
        ...

    def terms_of(self, record: LeasedJobRecord) -> ReplicationTerms:
        """The replication terms that a Job's federation spec requires now."""
        ...


class RecordReplication:
    """Replicates records for the core, and passes events to the listener that `connect` sets."""

    def __init__(
        self, hub: Hub, settings: PlacerSettings, incarnation: int, peering: Peering
    ) -> None:
        self._hub = hub
        self._peering = peering
        self._listener: ReplicationListener | None = None
        self.replicator = Replicator(
            Session(settings.name, incarnation, 0),
            settings.region,
            settings.seed * 31 + incarnation,
            self._terms_of,
            ReplicatorSettings(pace=FAILOVER_PACE),
        )
        self._waiting: dict[int, OnSettled] = {}  # by token
        self._members: dict[str, tuple[str, int]] = {}  # region and incarnation by name

    def connect(self, listener: ReplicationListener) -> None:
        """Register with the peers' host and set the listener; call once, before any other method.

        Separate from the constructor, as the listener itself needs this object to replicate records.
        """
        self._listener = listener
        peering = self._peering
        peering.register(NAME, self, MESSAGE_TYPES)
        peering.lease.set_report_sources(
            count_leased=lambda: len(self.replicator.primary.jobs),
            held_records=self.replicator.replica.summary,
        )
        peering.on_session = self._on_session
        peering.on_session_ended = self._on_session_ended

    def _terms_of(self, record: LeasedJobRecord) -> ReplicationTerms:
        return self._connected().terms_of(record)

    def _connected(self) -> ReplicationListener:
        if self._listener is None:
            raise RuntimeError("replication has no listener")
        return self._listener

    def run(self) -> None:
        """Poll the membership until cancelled."""
        while True:
            self.refresh_members()
            self._hub.sleep(MEMBERS_INTERVAL_US)

    def refresh_members(self) -> None:
        """Read the membership, and pass a change to the replicator."""
        alive = {
            each.update.ident: (each.update.region, each.update.life)
            for each in self._peering.membership.table.live_members()
            if each.update.region
        }
        if alive != self._members:
            self._members = alive
            self.perform(self.replicator.on_membership(self._hub.now_us(), alive))

    # -- changes by the core; `on_settled` is called once, during the call or later

    def replicate(
        self,
        record: LeasedJobRecord,
        terms: ReplicationTerms,
        deadline_us: int,
        on_settled: OnSettled,
    ) -> None:
        """Replicate a new Job's record until `deadline_us`; if that fails, the caller must `remove` it."""
        now = self._hub.now_us()
        self._await(self.replicator.primary.replicate(now, record, terms, deadline_us), on_settled)

    def record_send(
        self, uid: str, known: KnownTask, deadline_us: int, on_settled: OnSettled
    ) -> None:
        """Record that an attempt is about to be sent."""
        now = self._hub.now_us()
        self._await(self.replicator.primary.record_send(now, uid, known, deadline_us), on_settled)

    def record_placed(
        self, uid: str, known: KnownTask, deadline_us: int, on_settled: OnSettled
    ) -> None:
        """Record that a machine runs a task."""
        now = self._hub.now_us()
        self._await(self.replicator.primary.record_placed(now, uid, known, deadline_us), on_settled)

    def record_not_running(self, uid: str, index: int) -> None:
        """Record that an attempt is proven not to run."""
        now = self._hub.now_us()
        if uid in self.replicator.primary.jobs:
            _, effects = self.replicator.primary.record_not_running(now, uid, index, now)
            self._perform_primary(effects)

    def record_task_ended(self, uid: str, index: int) -> None:
        """Record that a task has ended."""
        now = self._hub.now_us()
        if uid in self.replicator.primary.jobs:
            _, effects = self.replicator.primary.record_task_ended(now, uid, index, now)
            self._perform_primary(effects)

    def record_answer(self, uid: str, answer: str) -> None:
        """Record the answer that the Job's owner received."""
        now = self._hub.now_us()
        if uid in self.replicator.primary.jobs:
            _, effects = self.replicator.primary.record_answer(now, uid, answer, now)
            self._perform_primary(effects)

    def remove(self, uid: str) -> None:
        """Remove the record of a Job that has ended, was deleted or was never accepted; no replica needs it."""
        self.perform(self.replicator.remove(self._hub.now_us(), uid))

    def wait_for(self, change: Callable[[OnSettled], None], deadline_us: int) -> str:
        """Make a change and wait until its token is settled; returns "" if acknowledged, otherwise the reason.

        Returns `WAIT_GRACE_US` after the deadline at the latest, even if the token is never settled.
        """
        results: list[str] = []
        settled = Signal(self._hub)

        def on_settled(why: str) -> None:
            results.append(why)
            settled.notify()

        change(on_settled)
        if not results:
            with self._hub.limit(max(0, deadline_us - self._hub.now_us()) + WAIT_GRACE_US):
                settled.wait()
        return results[0] if results else "no word of custody itself"

    def _await(self, change: tuple[int, list[Effect]], on_settled: OnSettled) -> None:
        token, effects = change
        self._waiting[token] = on_settled
        self._perform_primary(effects)

    # -- failover

    def next_starts(
        self, cores: float, memory: float, may_start: Callable[[LeasedJobRecord], bool]
    ) -> list[StartOrder]:
        """The Jobs to start now, in order, within this capacity (cores, GiB of memory)."""
        now = self._hub.now_us()
        starts, effects = self.replicator.next_starts(now, cores, memory, may_start)
        self.perform(effects)
        return starts

    def confirm_never_ran(self, uid: str) -> None:
        """An operator confirms that an unknown Job never ran."""
        self.perform(self.replicator.confirm_never_ran(self._hub.now_us(), uid))

    def send_machine_report(self, ident: str, report: MachineReport) -> None:
        """Answer a placer's machine query."""
        self.perform([Send(ident, "", report)])

    # -- calls of the peers' host

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Handle another placer's message."""
        if isinstance(message, ReplicateResponse) and message.over:
            # The response ends the session: the core must record its Jobs before the replicator drops them.
            self._connected().own_jobs(self.replicator.primary.session)
        return self._dispatch(self.replicator.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle a timer."""
        return self._dispatch(self.replicator.on_timer(now_us, key))

    def perform(self, effects: Iterable[Effect]) -> None:
        """Perform the effects of a call on the replicator."""
        self._peering.perform(NAME, self._dispatch(effects))

    def _perform_primary(self, effects: list[Effect]) -> None:
        """Perform the effects of a call on the primary, once the replicator's other parts have handled its events."""
        self.perform(self.replicator.process(self._hub.now_us(), effects))

    def _dispatch(self, effects: Iterable[Effect]) -> list[Effect]:
        """Settle tokens and call the listener; return the effects that the peers' host must apply."""
        out: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Notify) and effect.event == "kept":
                self._settle(effect.fields["token"], str(effect.fields["why"]))
                continue
            out.append(effect)
            if isinstance(effect, Notify):
                self._notify_listener(effect.event, effect.fields)
        return out

    def _settle(self, token: int, why: str) -> None:
        on_settled = self._waiting.pop(token, None)
        if on_settled is not None:
            on_settled(why)
        elif why:
            self._peering.counts["custody:" + why.partition(" from ")[0][:60]] += 1

    def _notify_listener(self, event: str, fields: Mapping[str, Any]) -> None:
        listener = self._connected()
        match event:
            case "startable":
                listener.on_startable()
            case "reissue":
                listener.on_reissue(
                    ReissueEvent(
                        uid=fields["uid"],
                        key=fields["key"],
                        verdict=fields["verdict"],
                        epoch=fields["epoch"],
                        why=fields["why"],
                    )
                )
            case "ask-machine":
                query = MachineQuery(
                    fields["number"], fields["machine"], fields["uid"], fields["epoch"]
                )
                listener.on_machine_query(fields["to"], query)
            case "stop":
                listener.on_superseded(fields["uid"], fields["by"])
            case "settled":
                listener.on_recovered(
                    RecoveredJob(
                        uid=fields["uid"],
                        outcome=fields["fate"],
                        primary=fields["by"],
                        epoch=fields["epoch"],
                        why=fields["why"],
                    )
                )
            case "session-over":
                listener.on_session_over(parse_session(fields["session"]))

    # -- sessions

    def _on_session(self, session: Session, may_send: bool, epoch: int) -> None:
        if may_send and session != self.replicator.primary.session:
            self.perform(self.replicator.begin_session(self._hub.now_us(), session))

    def _on_session_ended(self, ended: EndedSession) -> None:
        own_jobs = self._connected().own_jobs(ended.session)
        running = {uid for uid, own in own_jobs.items() if own.is_running}
        self.perform(self.replicator.on_session_ended(self._hub.now_us(), ended, running))
