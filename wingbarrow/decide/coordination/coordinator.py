"""Agreement, one placer's part: it holds grants (`holding`); where it votes it decides; where it leads it gives them
(`leading`). Beside rules, chapters are decided by the same log (`chapters`).
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from wingbarrow.decide.consensus.effects import (
    Effects,
    EntriesCommitted,
    LeadershipChanged,
    LeadershipConfirmed,
    SnapshotRestored,
)
from wingbarrow.decide.consensus.entries import VOTERS
from wingbarrow.decide.consensus.log import PersistentState
from wingbarrow.decide.consensus.raft import Raft
from wingbarrow.decide.coordination.leader import Leader
from wingbarrow.decide.coordination.leases import RulesInForce, RulesLease
from wingbarrow.decide.coordination.member import LeaseClient
from wingbarrow.decide.coordination.messages import (
    LeaseGrant,
    LeaseRequest,
    Message,
    NotLeader,
    RelayedGrant,
    RelayedRequest,
    Timing,
)
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem, AnyReplicatedSubsystem
from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.outliers.ejection import ActiveEjections, HealthObserver, OutlierDetector
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.rulesets.versions import RECOVERED, RuleSetState, from_text


class Coordinator:
    """`disk`: what this placer has as a voter, None where it has none; `voters`: those that the settings name.

    `chapters` and `sides` are what is agreed on beside rules: a voter's part and every placer's.
    """

    def __init__(
        self,
        me: str,
        voters: tuple[str, ...],
        disk: PersistentState | None,
        seed: int,
        times: Timing = Timing(),
        life: int = 0,
        chapters: tuple[AnyReplicatedSubsystem, ...] = (),
        sides: tuple[AnyMemberSubsystem, ...] = (),
    ) -> None:
        self.name, self.timing, self.configured_voters = me, times, voters
        self.raft = (
            Raft(me, disk, seed, times.election_us) if me in voters or disk is not None else None
        )
        self.agreed = RuleSetState()
        self.allocations = AllocationLedger(times.grant_us)
        self.subsystems: dict[str, AnyReplicatedSubsystem] = {
            each.name: each for each in (self.allocations, *chapters)
        }
        self._due: dict[str, int] = {}
        self.lease_client = LeaseClient(me, voters, seed + 1, times, life, self.timer, sides)
        self.leadership = Leader(
            self,
            times,
            self.allocations,
            chapters,
            lambda now, grant: self.lease_client.on_grant(now, me, grant),
        )

    # -- driven by the host

    def start(self, now_us: int) -> list[Effect]:
        """Begin."""
        self.lease_client.started_us = now_us
        out = self.apply_raft(now_us, self.raft.start(now_us)) if self.raft is not None else []
        return [*out, self.timer("ask", now_us + 1)]

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail of another placer."""
        if isinstance(message, LeaseRequest):
            leader = self.raft.leader if self.raft is not None else ""
            if message.forward and leader not in ("", self.name, ident):
                return [Send(leader, "", RelayedRequest(ident, message))]
            return self.leadership.on_request(now_us, ident, address, message)
        if isinstance(message, LeaseGrant):
            return self.lease_client.on_grant(now_us, ident, message)
        if isinstance(message, NotLeader):
            return self.lease_client.on_not_leader(now_us, message)
        if self.raft is None or ident not in (*self.raft.voters, *self.configured_voters):
            return []
        if isinstance(message, RelayedRequest):
            return self.leadership.on_request(now_us, message.ident, "", message.ask, ident)
        if isinstance(message, RelayedGrant):
            return [Send(message.ident, "", message.grant)]
        return self.apply_raft(now_us, self.raft.on_message(now_us, ident, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that was set is due."""
        if key.startswith("raft "):
            assert self.raft is not None
            return self.apply_raft(now_us, self.raft.on_timer(now_us, key.removeprefix("raft ")))
        if self._due.pop(key, None) is None:
            return []
        if key == "ask":
            return self._ask(now_us)
        if key == "lapse":
            return self.lease_client.notify_rules(now_us)
        if key == "batch":
            return self.leadership.confirm_batch(now_us)
        return self.leadership.propose_next(now_us)

    def _ask(self, now_us: int) -> list[Effect]:
        ask, receiver, out = self.lease_client.next_request(
            now_us, self.name if self.is_leader else self.leader
        )
        if self.is_leader:
            return [*self.leadership.on_request(now_us, self.name, "", ask), *out]
        return [Send(receiver, "", ask), *out] if receiver else out

    def request_soon(self, now_us: int) -> list[Effect]:
        """Somebody waits for rights that may be with others."""
        return self.lease_client.request_soon(now_us)

    # -- the placer's questions

    def rules_in_force(self, now_us: int) -> RulesInForce | None:
        """What this placer may act on right now: to be asked right before each first byte."""
        return self.lease_client.rules_lease.rules_in_force(now_us)

    @property
    def rules_lease(self) -> RulesLease:
        """This placer's grants."""
        return self.lease_client.rules_lease

    @property
    def version(self) -> int:
        """The latest that a grant told of."""
        return self.lease_client.version

    @property
    def quotas(self) -> QuotaAccount:
        """Its rights to the fleet's limits."""
        return self.lease_client.quotas

    @property
    def health_observer(self) -> HealthObserver:
        """What it saw of machines."""
        return self.lease_client.health_observer

    @property
    def ejections(self) -> ActiveEjections:
        """Which machines verdicts close to it."""
        return self.lease_client.ejections

    @property
    def outlier_detector(self) -> OutlierDetector:
        """At the leader: evidence and verdicts."""
        return self.leadership.outlier_detector

    @property
    def lease_holders(self) -> dict[str, tuple[int, int]]:
        """At the leader: who holds a grant, for which edition, until when at the latest."""
        return self.leadership.lease_holders

    def live_in(self, region: str, zones: Callable[[], Mapping[str, str]]) -> None:
        """Where this placer is, and the zone of each machine of its list."""
        self.lease_client.region, self.leadership.zones = region, zones

    @property
    def is_leader(self) -> bool:
        """Whether this placer decides."""
        return self.raft is not None and self.raft.is_leader

    @property
    def leader(self) -> str:
        """Who leads, as far as is known; "" where nobody is."""
        if self.raft is not None and self.raft.leader:
            return self.raft.leader
        return self.lease_client.leader

    def propose(self, now_us: int, kind: str, value: dict[str, Any]) -> list[Effect]:
        """At the leader: have a proposal decided; its outcome is in `agreed.outcomes` by its `ident`."""
        if self.raft is None or not self.raft.is_leader:
            return []
        _, effects = self.raft.propose(now_us, kind, json.dumps(value))
        return self.apply_raft(now_us, effects)

    def change_voters(self, now_us: int, voters: tuple[str, ...]) -> tuple[bool, list[Effect]]:
        """At the leader: take one voter in, or leave one out; whether that is possible now."""
        if self.raft is None:
            return False, []
        index, effects = self.raft.change_voters(now_us, voters)
        return index > 0, self.apply_raft(now_us, effects)

    # -- the voters' log

    def apply_raft(self, now_us: int, effects: Effects) -> list[Effect]:
        """Effects for the host; what is decided goes into the replicated state on the way."""
        out: list[Effect] = []
        for effect in effects:
            if isinstance(effect, SnapshotRestored):
                self.agreed = from_text(effect.state)
                for name, chapter in self.subsystems.items():
                    chapter.restore(self.agreed.chapters.get(name, ""))
            elif isinstance(effect, EntriesCommitted):
                out += self._decided(now_us, effect)
            elif isinstance(effect, LeadershipConfirmed):
                out += self.leadership.on_confirmed(now_us, effect.read_id)
            elif isinstance(effect, LeadershipChanged):
                out += self.leadership.on_leadership_change(now_us, effect.is_leader)
            else:
                out.append(effect)
        return out

    def _decided(self, now_us: int, committed: EntriesCommitted) -> list[Effect]:
        out: list[Effect] = []
        before = self.agreed.revision, self.agreed.version, len(self.agreed.floors)
        told = False
        for entry in committed.entries:
            name, _, kind = entry.kind.partition("/")
            if kind:
                told = self._apply(name, kind, entry.body) or told
            elif entry.kind not in ("", VOTERS):
                self.agreed.apply(entry.kind, entry.body)
                if entry.kind == RECOVERED:
                    self.allocations.recovered()
                    for each in self.subsystems:
                        self._apply(each, RECOVERED, "{}")
        if self.agreed.revision != before[0]:
            out.append(
                Notify("edition", {"edition": self.agreed.revision, "version": self.agreed.version})
            )
        if self.raft is not None and self.raft.log.should_compact:
            self.agreed.chapters |= {
                name: each.snapshot() for name, each in self.subsystems.items()
            }
            out += self.apply_raft(now_us, self.raft.log.compact(self.agreed.text()))
        if self.is_leader and (
            told or before != (self.agreed.revision, self.agreed.version, len(self.agreed.floors))
        ):
            out.append(self.timer("step", now_us + 1))
        return out

    def _apply(self, name: str, kind: str, body: str) -> bool:
        chapter = self.subsystems.get(name)
        if chapter is None:
            return False
        try:
            chapter.apply(kind, json.loads(body))
        except (ValueError, KeyError, TypeError):
            return (
                False  # it was checked before it was proposed; what cannot be read changes nothing
            )
        return True

    def timer(self, key: str, at_us: int) -> SetTimer:
        """One of this agreement's own."""
        self._due[key] = at_us
        return SetTimer(key, at_us)
