"""Coordination at one placer: connects the voters' replicated log, the leader's side and the lease client.

Every placer has a `LeaseClient`. A voter also has a `Raft`, whose committed entries determine the replicated state: the
rule set (`rule_set_state`) and the subsystems. The `Leader` is active while this voter is the leader.
"""

from __future__ import annotations

import json

from wingbarrow.decide.consensus.effects import (
    Effects,
    EntriesCommitted,
    LeadershipChanged,
    LeadershipConfirmed,
    SnapshotRestored,
)
from wingbarrow.decide.consensus.entries import NO_OP, VOTERS, LogEntry
from wingbarrow.decide.consensus.messages import Message as RaftMessage
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.consensus.raft import TIMER_PREFIX, Raft
from wingbarrow.decide.coordination.granted_leases import GrantedLease
from wingbarrow.decide.coordination.leader import Leader, PendingRequest
from wingbarrow.decide.coordination.lease_client import LeaseClient
from wingbarrow.decide.coordination.leases import RulesInForce, RulesLease
from wingbarrow.decide.coordination.messages import (
    LeaseGrant,
    LeaseRequest,
    Message,
    NotLeader,
    RelayedGrant,
    RelayedRequest,
)
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.coordination.subsystem import AnyReplicatedSubsystem, JsonObject
from wingbarrow.decide.coordination.timers import (
    BATCH_TIMER,
    EXPIRY_TIMER,
    PROPOSAL_TIMER,
    REQUEST_TIMER,
    Timers,
)
from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.outliers.detector import OutlierDetector
from wingbarrow.decide.outliers.ejections import ActiveEjections
from wingbarrow.decide.outliers.health import HealthObserver
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.rulesets.versions import RECOVERED, RuleSetState, from_text


class Coordinator:
    """One placer's coordinator; `persistent` is the state in its voter store, None if it has no store.

    A placer is a voter if the settings name it or if it has a store; if it is named but has no store it does not
    participate in elections (see `Raft`). The host calls `start`, then `on_message` and `on_timer`, and carries out the
    effects in order.

    `rules_lease`, `version`, `quotas`, `health_observer`, `ejections`, `outlier_detector` and `lease_holders` belong to
    the lease client and the leader; these properties give the REST API and the placer one place to read them.
    """

    def __init__(
        self,
        local: LocalPlacer,
        settings: CoordinationSettings,
        persistent: PersistentState | None,
        seed: int,
        subsystems: Subsystems = Subsystems(),
    ) -> None:
        timing = settings.timing
        self.name = local.name
        self.rule_set_state = RuleSetState()
        self.allocations = AllocationLedger(timing.grant_us)
        self.raft: Raft | None = None
        if local.name in settings.voters or persistent is not None:
            self.raft = Raft(local.name, persistent, seed, timing.election_us)
        self._configured_voters = settings.voters
        self._timers = Timers()
        self.lease_client = LeaseClient(local, settings, seed + 1, self._timers, subsystems.members)
        self.leadership = Leader(self, timing, self._timers, subsystems.replicated, local.zones)
        self.subsystems: dict[str, AnyReplicatedSubsystem] = {
            each.name: each for each in (self.allocations, *subsystems.replicated)
        }

    # -- Events

    def start(self, now_us: int) -> list[Effect]:
        """Start from the persistent state."""
        effects: list[Effect] = []
        if self.raft is not None:
            effects += self.apply_raft(now_us, self.raft.start(now_us))
        effects += self.lease_client.start(now_us)
        return effects

    def on_message(self, now_us: int, sender: str, address: str, message: Message) -> list[Effect]:
        """Handle a message of another placer; responses are sent to `address`."""
        if isinstance(message, LeaseRequest):
            return self._on_request(now_us, PendingRequest(sender, address, message))
        if isinstance(message, LeaseGrant):
            return self.lease_client.on_grant(now_us, sender, message)
        if isinstance(message, NotLeader):
            return self.lease_client.on_not_leader(now_us, message)
        return self._on_voter_message(now_us, sender, message)

    def _on_voter_message(
        self, now_us: int, sender: str, message: RelayedRequest | RelayedGrant | RaftMessage
    ) -> list[Effect]:
        """Handle a message between voters; ignored if this placer or the sender is not a voter."""
        if self.raft is None or sender not in (*self.raft.voters, *self._configured_voters):
            return []
        if isinstance(message, RelayedRequest):
            request = PendingRequest(message.ident, "", message.ask, relay=sender)
            return self.leadership.on_request(now_us, request)
        if isinstance(message, RelayedGrant):
            return [Send(message.ident, "", message.grant)]
        return self.apply_raft(now_us, self.raft.on_message(now_us, sender, message))

    def _on_request(self, now_us: int, pending: PendingRequest) -> list[Effect]:
        """Handle a request, or forward it to the leader if its sender asks for that and another voter leads."""
        leader = self.raft.leader if self.raft is not None else ""
        if pending.request.forward and leader not in ("", self.name, pending.sender):
            return [Send(leader, "", RelayedRequest(pending.sender, pending.request))]
        return self.leadership.on_request(now_us, pending)

    def on_own_grant(self, now_us: int, grant: LeaseGrant) -> list[Effect]:
        """Handle a grant by this placer as leader to itself."""
        return self.lease_client.on_grant(now_us, self.name, grant)

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle a timer that is due; one that is not set is ignored."""
        if key.startswith(TIMER_PREFIX):
            assert self.raft is not None
            raft_key = key.removeprefix(TIMER_PREFIX)
            return self.apply_raft(now_us, self.raft.on_timer(now_us, raft_key))
        if not self._timers.consume(key):
            return []
        handlers = {
            REQUEST_TIMER: self._send_request,
            EXPIRY_TIMER: self.lease_client.notify_rules,
            BATCH_TIMER: self.leadership.confirm_batch,
            PROPOSAL_TIMER: self.leadership.propose_next,
        }
        return handlers[key](now_us)

    def _send_request(self, now_us: int) -> list[Effect]:
        leader = self.name if self.is_leader else self.leader
        request, receiver, effects = self.lease_client.next_request(now_us, leader)
        if self.is_leader:
            own = PendingRequest(self.name, "", request)
            return [*self.leadership.on_request(now_us, own), *effects]
        if not receiver.name:
            return effects
        return [Send(receiver.name, "", request), *effects]

    def request_soon(self, now_us: int) -> list[Effect]:
        """Send the next lease request early, as a task waits for quota that other placers may hold."""
        return self.lease_client.request_soon(now_us)

    # -- State of this placer

    def rules_in_force(self, now_us: int) -> RulesInForce | None:
        """The rules that this placer may act on now, None for none; call right before each first byte is sent."""
        return self.rules_lease.rules_in_force(now_us)

    @property
    def rules_lease(self) -> RulesLease:
        """This placer's leases of the rule set and the floor."""
        return self.lease_client.rules_lease

    @property
    def version(self) -> int:
        """The latest version of the rule set that a grant has named."""
        return self.lease_client.version

    @property
    def quotas(self) -> QuotaAccount:
        """This placer's shares of the fleet-wide limits."""
        return self.lease_client.quotas

    @property
    def health_observer(self) -> HealthObserver:
        """This placer's observations of machine health."""
        return self.lease_client.health_observer

    @property
    def ejections(self) -> ActiveEjections:
        """The machines that this placer treats as ejected."""
        return self.lease_client.ejections

    # -- State at the leader

    @property
    def outlier_detector(self) -> OutlierDetector:
        """At the leader: outlier detection from health reports."""
        return self.leadership.outlier_detector

    @property
    def lease_holders(self) -> dict[str, GrantedLease]:
        """At the leader: the latest lease granted to each placer, by name."""
        return self.leadership.lease_holders

    @property
    def is_leader(self) -> bool:
        """Whether this placer is the leader."""
        return self.raft is not None and self.raft.is_leader

    @property
    def leader(self) -> str:
        """The known leader; "" for none."""
        if self.raft is not None and self.raft.leader:
            return self.raft.leader
        return self.lease_client.leader

    def propose(self, now_us: int, kind: str, value: JsonObject) -> list[Effect]:
        """At the leader: propose an entry; one with an `ident` reports its outcome in `rule_set_state.outcomes`.

        Does nothing if this placer is not the leader.
        """
        if self.raft is None or not self.is_leader:
            return []
        _, effects = self.raft.propose(now_us, kind, json.dumps(value))
        return self.apply_raft(now_us, effects)

    def change_voters(self, now_us: int, voters: tuple[str, ...]) -> tuple[bool, list[Effect]]:
        """At the leader: add or remove one voter; return whether that was proposed (see `Raft.change_voters`)."""
        if self.raft is None:
            return False, []
        index, effects = self.raft.change_voters(now_us, voters)
        return index > 0, self.apply_raft(now_us, effects)

    # -- The replicated state

    def apply_raft(self, now_us: int, effects: Effects) -> list[Effect]:
        """Apply the effects of `Raft` to the replicated state; return those for the host, in order."""
        host_effects: list[Effect] = []
        for effect in effects:
            if isinstance(effect, SnapshotRestored):
                self._restore(effect)
            elif isinstance(effect, EntriesCommitted):
                host_effects += self._on_committed(now_us, effect)
            elif isinstance(effect, LeadershipConfirmed):
                host_effects += self.leadership.on_confirmed(now_us, effect.read_id)
            elif isinstance(effect, LeadershipChanged):
                is_leader = effect.is_leader
                host_effects += self.leadership.on_leadership_change(now_us, is_leader=is_leader)
            else:
                host_effects.append(effect)
        return host_effects

    def _restore(self, snapshot: SnapshotRestored) -> None:
        self.rule_set_state = from_text(snapshot.state)
        for name, subsystem in self.subsystems.items():
            subsystem.restore(self.rule_set_state.subsystem_snapshots.get(name, ""))

    def _on_committed(self, now_us: int, committed: EntriesCommitted) -> list[Effect]:
        effects: list[Effect] = []
        rule_set_state = self.rule_set_state
        state_before = (rule_set_state.revision, rule_set_state.version, len(rule_set_state.floors))
        old_revision = rule_set_state.revision
        has_changed = False
        for entry in committed.entries:
            has_changed = self._apply(entry) or has_changed
        if rule_set_state.revision != old_revision:
            fields = {"edition": rule_set_state.revision, "version": rule_set_state.version}
            effects.append(Notify("edition", fields))
        if self.raft is not None and self.raft.log.should_compact:
            effects += self.apply_raft(now_us, self.raft.log.compact(self.snapshot()))
        has_changed = has_changed or state_before != (
            rule_set_state.revision,
            rule_set_state.version,
            len(rule_set_state.floors),
        )
        if self.is_leader and has_changed:
            effects.append(self._timers.set(PROPOSAL_TIMER, now_us + 1))
        return effects

    def snapshot(self) -> str:
        """The replicated state as text, for `ReplicatedLog.compact`."""
        self.rule_set_state.subsystem_snapshots |= {
            name: each.snapshot() for name, each in self.subsystems.items()
        }
        return self.rule_set_state.text()

    def _apply(self, entry: LogEntry) -> bool:
        """Apply an entry; return whether a subsystem applied it."""
        subsystem, _, kind = entry.kind.partition("/")
        if kind:
            return self._apply_to_subsystem(subsystem, kind, entry.body)
        if entry.kind in (NO_OP, VOTERS):
            return False
        self.rule_set_state.apply(entry.kind, entry.body)
        if entry.kind == RECOVERED:
            self.allocations.recovered()
            for name in self.subsystems:
                self._apply_to_subsystem(name, RECOVERED, "{}")
        return False

    def _apply_to_subsystem(self, name: str, kind: str, body: str) -> bool:
        """Apply an entry to a subsystem; return whether it did. Like all voters, skip an entry that is not readable."""
        subsystem = self.subsystems.get(name)
        if subsystem is None:
            return False
        try:
            subsystem.apply(kind, json.loads(body))
        except (ValueError, KeyError, TypeError):
            return False
        return True
