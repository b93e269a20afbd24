"""The leader's side of coordination: responds to lease requests and proposes log entries that are due.

Two guarantees hold. A request is granted only after a majority of the voters has confirmed leadership since the request
arrived, so that a deposed leader grants nothing. A transition between revisions is proposed only once no lease of an
earlier revision can be valid, according to `GrantedLeases`. State outside the log is not replicated and is discarded
when leadership changes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from wingbarrow.decide.consensus.effects import Effects
from wingbarrow.decide.consensus.raft import Raft
from wingbarrow.decide.coordination.granted_leases import GrantedLease, GrantedLeases
from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.coordination.messages import (
    LeaseGrant,
    LeaseRequest,
    NotLeader,
    RelayedGrant,
    Timing,
)
from wingbarrow.decide.coordination.subsystem import AnyReplicatedSubsystem, JsonObject
from wingbarrow.decide.coordination.timers import BATCH_TIMER, PROPOSAL_TIMER, Timers
from wingbarrow.decide.effects import Effect, Send
from wingbarrow.decide.outliers.detector import OutlierDetector
from wingbarrow.decide.outliers.health import HealthSummary
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.escrow import QuotaGrant, Requester
from wingbarrow.decide.rulesets.entries import FloorsExpiredEntry, StepEntry
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.rulesets.versions import RuleSetState

OUTLIER_SCAN_INTERVAL_US = 250_000
MAX_PENDING_REQUESTS = 4096


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request pending until leadership is confirmed; `relay` is the voter that forwarded it, "" for none."""

    sender: str
    address: str
    request: LeaseRequest
    relay: str = ""

    @property
    def requester(self) -> Requester:
        """The sender in the form that subsystems use."""
        request = self.request
        return Requester(self.sender, request.life, request.up_us, request.number, request.reign)


@dataclass(slots=True)
class LeaderTermState:
    """State of the leader outside the log; reinitialized when leadership changes."""

    pending: list[PendingRequest] = field(default_factory=list)
    batches: dict[int, list[PendingRequest]] = field(default_factory=dict)  # by read id
    leases: GrantedLeases = field(default_factory=GrantedLeases)
    outlier_detector: OutlierDetector = field(default_factory=OutlierDetector)


class LeaderHost(Protocol):
    """The interface of `Coordinator` that `Leader` uses."""

    name: str
    raft: Raft | None
    rule_set_state: RuleSetState
    allocations: AllocationLedger

    @property
    def is_leader(self) -> bool:
        """Whether this placer is the leader."""

    @property
    def leader(self) -> str:
        """The known leader; "" for none."""

    def apply_raft(self, now_us: int, effects: Effects) -> list[Effect]:
        """Apply effects of `Raft`, and return those for the host."""

    def propose(self, now_us: int, kind: str, value: JsonObject) -> list[Effect]:
        """Propose a log entry."""

    def on_own_grant(self, now_us: int, grant: LeaseGrant) -> list[Effect]:
        """Handle the grant of this placer's own request."""


class Leader:
    """The leader role of one placer; while it is not the leader, it redirects requests and proposes nothing."""

    def __init__(
        self,
        host: LeaderHost,
        timing: Timing,
        timers: Timers,
        subsystems: tuple[AnyReplicatedSubsystem, ...],
        zones: Callable[[], Mapping[str, str]],
    ) -> None:
        self._host = host
        self._timing = timing
        self._timers = timers
        self._subsystems = subsystems
        self._zones = zones
        self._state = LeaderTermState()
        self._read_id = 0  # of the latest batch
        self._last_outlier_scan_us = -OUTLIER_SCAN_INTERVAL_US
        self._parsed_rules: tuple[str, RuleSet | None] = ("", None)

    @property
    def outlier_detector(self) -> OutlierDetector:
        """Outlier detection from the health reports of this term."""
        return self._state.outlier_detector

    @property
    def lease_holders(self) -> dict[str, GrantedLease]:
        """The latest lease granted to each placer in this term, by name."""
        return self._state.leases.by_holder

    def on_leadership_change(self, now_us: int, *, is_leader: bool) -> list[Effect]:
        """Handle an election or step-down of this placer: discard all state outside the log."""
        self._state = LeaderTermState()
        raft = self._host.raft
        term = raft.persistent.term if raft is not None else 0
        self._host.allocations.on_leadership_change(now_us, is_leader, term)
        for subsystem in self._subsystems:
            subsystem.on_leadership_change(now_us, is_leader)
        if not is_leader:
            return []
        return [self._timers.set(PROPOSAL_TIMER, now_us + self._timing.batch_us)]

    # -- Requests: collected into batches; leadership is confirmed once for each batch

    def on_request(self, now_us: int, pending: PendingRequest) -> list[Effect]:
        """Queue a request, also one of this placer; a later one of the same sender replaces one that is pending."""
        if not self._host.is_leader:
            if pending.relay:
                return []
            redirect = NotLeader(pending.request.number, self._host.leader)
            return [Send(pending.sender, pending.address, redirect)]
        queue = self._state.pending
        if len(queue) >= MAX_PENDING_REQUESTS:
            return []
        is_first = not queue
        queue = [each for each in queue if each.sender != pending.sender]
        self._state.pending = [*queue, pending]
        if not is_first:
            return []
        return [self._timers.set(BATCH_TIMER, now_us + self._timing.batch_us)]

    def confirm_batch(self, now_us: int) -> list[Effect]:
        """Handle `BATCH_TIMER`: request confirmation of leadership for all pending requests."""
        raft = self._host.raft
        batch = self._state.pending
        self._state.pending = []
        if not batch or raft is None or not self._host.is_leader:
            return []
        self._read_id += 1
        self._state.batches[self._read_id] = batch
        return self._host.apply_raft(now_us, raft.confirm_leadership(now_us, self._read_id))

    def on_confirmed(self, now_us: int, read_id: int) -> list[Effect]:
        """Handle confirmed leadership for a batch: process its reports, then respond to its requests."""
        raft = self._host.raft
        batch = self._state.batches.pop(read_id, [])
        if raft is None or not raft.log.has_committed_in_term:
            # Danger: until an entry of this term is committed, entries of earlier leaders may be committed that are
            # not applied here. The senders will retry.
            return []
        if now_us - self._last_outlier_scan_us >= OUTLIER_SCAN_INTERVAL_US:
            self._last_outlier_scan_us = now_us
            self.outlier_detector.evaluate(now_us, self._zones())
        effects: list[Effect] = []
        if batch and self._host.rule_set_state.revision:
            for each in batch:
                self._process_reports(now_us, each)
            for each, quotas in zip(batch, self._quota_grants(now_us, batch), strict=True):
                effects += self._grant_lease(now_us, each, quotas)
        effects += self.propose_next(now_us)
        return effects

    def _process_reports(self, now_us: int, pending: PendingRequest) -> None:
        request = pending.request
        self.outlier_detector.on_report(
            now_us,
            pending.sender,
            request.region,
            HealthSummary(request.evidence, request.bad, request.tried),
        )
        for subsystem in self._subsystems:
            report = getattr(request, subsystem.name)
            if report is not None:
                subsystem.on_report(now_us, pending.requester, report)

    def _quota_grants(
        self, now_us: int, batch: Sequence[PendingRequest]
    ) -> list[tuple[QuotaGrant, ...]]:
        """Quota grants for all requests of a batch, computed together as they share the fleet-wide limits."""
        reports = [(each.requester, each.request.stated) for each in batch]
        return self._host.allocations.grants_for(now_us, reports, self._rules().limits)

    def _grant_lease(
        self, now_us: int, pending: PendingRequest, quotas: tuple[QuotaGrant, ...]
    ) -> list[Effect]:
        """Grant a lease and send it, unless there are `MAX_LEASE_HOLDERS` other holders."""
        rule_set_state = self._host.rule_set_state
        leases = self._state.leases
        if not leases.has_capacity_for(pending.sender, now_us):
            return []
        expires_us = lease_expiry_us(now_us, self._timing.grant_us)
        lease = GrantedLease(rule_set_state.revision, expires_us)
        leases.grant(pending.sender, pending.request.edition, lease)
        if rule_set_state.floors:
            floor = rule_set_state.floors[-1]
            leases.grant_floor(floor.number, lease_expiry_us(now_us, floor.lasts_us))
        grant = self._grant_message(now_us, pending, quotas)
        if pending.sender == self._host.name:
            return self._host.on_own_grant(now_us, grant)
        if pending.relay:
            return [Send(pending.relay, "", RelayedGrant(pending.sender, grant))]
        return [Send(pending.sender, pending.address, grant)]

    def _grant_message(
        self, now_us: int, pending: PendingRequest, quotas: tuple[QuotaGrant, ...]
    ) -> LeaseGrant:
        """The grant message, without rules that the requester already holds."""
        rule_set_state = self._host.rule_set_state
        request = pending.request
        floor = rule_set_state.floors[-1] if rule_set_state.floors else None
        return LeaseGrant(
            request.number,
            rule_set_state.revision,
            "" if request.edition == rule_set_state.revision else rule_set_state.rules,
            self._timing.grant_us,
            rule_set_state.version,
            floor.number if floor else 0,
            floor.rules if floor and request.floor != floor.number else "",
            floor.lasts_us if floor else 0,
            quotas,
            self.outlier_detector.active(now_us),
            **{
                each.name: each.response_for(now_us, pending.requester) for each in self._subsystems
            },
            reign=self._host.allocations.term,
            leader=self._host.name,
        )

    def _rules(self) -> RuleSet:
        """The rules in force, parsed once for each text."""
        text = self._host.rule_set_state.rules
        parsed_text, rules = self._parsed_rules
        if rules is None or text != parsed_text:
            rules = parse_rule_set(text)
            self._parsed_rules = text, rules
        return rules

    # -- Proposals

    def propose_next(self, now_us: int) -> list[Effect]:
        """Propose one kind of due entry: the next transition, the expiry of floors, or entries of subsystems.

        Sets `PROPOSAL_TIMER` if an entry is uncommitted, or if entries become due later.
        """
        raft = self._host.raft
        rule_set_state = self._host.rule_set_state
        if raft is None or not self._host.is_leader:
            return []
        is_all_committed = raft.log.commit_index == raft.persistent.last_log_index
        if not raft.log.has_committed_in_term or not is_all_committed:
            return [self._timers.set(PROPOSAL_TIMER, now_us + self._timing.batch_us)]
        due_us: list[int] = []
        if rule_set_state.steps:
            transition_us = self._earlier_leases_expire_us()
            if now_us >= transition_us:
                return self._host.propose(
                    now_us, "step", StepEntry(rule_set_state.revision).to_entry()
                )
            due_us.append(transition_us)
        if len(rule_set_state.floors) > 1:
            floors_expire_us = self._earlier_floors_expire_us()
            if now_us >= floors_expire_us:
                latest = FloorsExpiredEntry(rule_set_state.floors[-1].number).to_entry()
                return self._host.propose(now_us, "floor-lapsed", latest)
            due_us.append(floors_expire_us)
        effects: list[Effect] = []
        if rule_set_state.revision:
            effects += self._propose_for_subsystems(now_us, due_us)
        if due_us:
            effects.append(self._timers.set(PROPOSAL_TIMER, min(due_us)))
        return effects

    def _propose_for_subsystems(self, now_us: int, due_us: list[int]) -> list[Effect]:
        """Propose entries of subsystems; append to `due_us` the times at which to call them again."""
        effects: list[Effect] = []
        for subsystem in (self._host.allocations, *self._subsystems):
            proposals, next_us = subsystem.next_proposals(now_us, self._rules())
            for each in proposals:
                kind = f"{subsystem.name}/{each.kind}"
                effects += self._host.propose(now_us, kind, each.value)
            if next_us is not None:
                due_us.append(max(next_us, now_us + self._timing.batch_us))
        return effects

    def _earlier_leases_expire_us(self) -> int:
        """The time from which no placer can act on a revision before the one in force."""
        raft = self._host.raft
        assert raft is not None
        revision = self._host.rule_set_state.revision
        return self._state.leases.earlier_leases_expire_us(
            revision, raft.elected_at_us, self._timing.grant_us
        )

    def _earlier_floors_expire_us(self) -> int:
        """The time from which no placer can act on a floor before the latest."""
        raft = self._host.raft
        assert raft is not None
        return max(
            self._state.leases.floor_expires_us(each.number, raft.elected_at_us, each.lasts_us)
            for each in self._host.rule_set_state.floors[:-1]
        )
