"""The leader's side of agreement: asks answered by rounds, grants and steps; what it knows is its own, and not logged.

A leader answers for a grant only after a majority has followed it since it was asked, so that nobody is answered by one
that was deposed; it takes the next step only once all grants of earlier editions have lapsed by its reckoning, or their
holders have moved on; a new leader, which knows of no grants, waits for as long as one lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from wingbarrow.decide.consensus.effects import Effects
from wingbarrow.decide.consensus.raft import Raft
from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.coordination.messages import (
    LeaseGrant,
    LeaseRequest,
    NotLeader,
    RelayedGrant,
    Timing,
)
from wingbarrow.decide.coordination.subsystem import AnyReplicatedSubsystem
from wingbarrow.decide.effects import Effect, Send, SetTimer
from wingbarrow.decide.outliers.ejection import OutlierDetector
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.escrow import QuotaGrant, Requester
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.rulesets.versions import RuleSetState

MAX_LEASE_HOLDERS = 4096
OUTLIER_SCAN_INTERVAL_US = 250_000  # between looks at all evidence
MAX_WAITING_REQUESTS = 4096  # that wait for a round


@dataclass(slots=True)
class _Asked:
    ident: str
    address: str
    ask: LeaseRequest
    via: str = ""  # the voter that passed it on

    @property
    def asker(self) -> Requester:
        return Requester(self.ident, self.ask.life, self.ask.up_us, self.ask.number, self.ask.reign)


class LeaderHost(Protocol):
    """The agreement that this is the leader's side of."""

    name: str
    raft: Raft | None
    agreed: RuleSetState

    @property
    def is_leader(self) -> bool:
        """Whether this placer decides."""

    @property
    def leader(self) -> str:
        """Who does, as far as is known."""

    def timer(self, key: str, at_us: int) -> SetTimer:
        """Set one."""

    def apply_raft(self, now_us: int, effects: Effects) -> list[Effect]:
        """Effects for the host."""

    def propose(self, now_us: int, kind: str, value: dict[str, Any]) -> list[Effect]:
        """Have something decided."""


class Leader:
    """`blocks`: the chapter of rights; `take_grant`: what becomes of a grant to this very placer."""

    def __init__(
        self,
        owner: LeaderHost,
        times: Timing,
        blocks: AllocationLedger,
        chapters: tuple[AnyReplicatedSubsystem, ...],
        take_grant: Callable[[int, LeaseGrant], list[Effect]],
    ) -> None:
        self._owner, self.timing, self.subsystems, self._take_grant = (
            owner,
            times,
            chapters,
            take_grant,
        )
        self.zones: Callable[[], Mapping[str, str]] = dict  # of each machine of this placer's list
        self.allocations = blocks
        self.outlier_detector, self._judged_us = OutlierDetector(), -OUTLIER_SCAN_INTERVAL_US
        self._read: tuple[str, RuleSet | None] = ("", None)
        self._waiting: list[_Asked] = []
        self._rounds: dict[int, list[_Asked]] = {}
        self._round = 0
        self.lease_holders: dict[
            str, tuple[int, int]
        ] = {}  # edition, and until when it may act on it at the latest
        self._floors_out: dict[
            int, int
        ] = {}  # floor: until when somebody may go on by it at the latest
        self._leaving: dict[
            str, int
        ] = {}  # who was given a later edition, and until when it may act on its last one

    def on_leadership_change(self, now_us: int, on: bool) -> list[Effect]:
        """Begin anew, with nothing known but the log; or end."""
        self._waiting, self._rounds, self.lease_holders = [], {}, {}
        self._floors_out, self._leaving = {}, {}
        self.outlier_detector = OutlierDetector()
        raft = self._owner.raft
        self.allocations.on_leadership_change(
            now_us, on, raft.persistent.term if raft is not None else 0
        )
        for chapter in self.subsystems:
            chapter.on_leadership_change(now_us, on)
        return [self._owner.timer("step", now_us + self.timing.batch_us)] if on else []

    # -- rounds

    def on_request(
        self, now_us: int, ident: str, address: str, ask: LeaseRequest, via: str = ""
    ) -> list[Effect]:
        """Somebody asks, this placer itself too; `via` a voter that passed it on."""
        if not self._owner.is_leader:
            return [] if via else [Send(ident, address, NotLeader(ask.number, self._owner.leader))]
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            return []
        waits = bool(self._waiting)
        self._waiting = [each for each in self._waiting if each.ident != ident]
        self._waiting.append(_Asked(ident, address, ask, via))
        return [] if waits else [self._owner.timer("batch", now_us + self.timing.batch_us)]

    def confirm_batch(self, now_us: int) -> list[Effect]:
        """Have a majority confirm this leader, for all that wait."""
        owner = self._owner
        if not owner.is_leader or owner.raft is None or not self._waiting:
            self._waiting = []
            return []
        self._round += 1
        self._rounds[self._round], self._waiting = self._waiting, []
        return owner.apply_raft(now_us, owner.raft.confirm_leadership(now_us, self._round))

    def on_confirmed(self, now_us: int, number: int) -> list[Effect]:
        """A majority has followed since a round began: its asks are answered."""
        out: list[Effect] = []
        owner = self._owner
        if owner.raft is None or not owner.raft.log.has_committed_in_term:
            # Danger: what earlier leaders decided is known for sure only once an entry of this term is decided.
            self._rounds.pop(number, None)
            return out
        if now_us - self._judged_us >= OUTLIER_SCAN_INTERVAL_US:
            self._judged_us = now_us
            self.outlier_detector.judge(now_us, self.zones())
        asks = self._rounds.pop(number, []) if owner.agreed.revision else []
        for asked in asks:
            self.outlier_detector.hear(
                now_us,
                asked.ident,
                asked.ask.region,
                asked.ask.evidence,
                asked.ask.bad,
                asked.ask.tried,
            )
            for chapter in self.subsystems:
                said = getattr(asked.ask, chapter.name)
                if said is not None:
                    chapter.on_report(now_us, asked.asker, said)
        for asked, rights in zip(asks, self._rights(now_us, asks), strict=True):
            out += self._give(now_us, asked, rights)
        return [*out, *self.propose_next(now_us)]

    def _rights(self, now_us: int, asks: Sequence[_Asked]) -> list[tuple[QuotaGrant, ...]]:
        """What those that asked together may use of the fleet's limits."""
        if not asks:
            return []
        return self.allocations.grants_for(
            now_us, [(each.asker, each.ask.stated) for each in asks], self._rules().limits
        )

    def _give(self, now_us: int, asked: _Asked, rights: tuple[QuotaGrant, ...]) -> list[Effect]:
        agreed, ask, lasts = self._owner.agreed, asked.ask, self.timing.grant_us
        floor = agreed.floors[-1] if agreed.floors else None
        if asked.ident not in self.lease_holders and len(self.lease_holders) >= MAX_LEASE_HOLDERS:
            self.lease_holders = {
                name: each for name, each in self.lease_holders.items() if each[1] > now_us
            }
            if len(self.lease_holders) >= MAX_LEASE_HOLDERS:
                return []
        # Who asks with the edition in force has left those before for good. Who does not may never hear of it, and act
        # on its last one as long as that was given to it.
        held = self.lease_holders.get(asked.ident)
        until = lease_expiry_us(now_us, lasts)
        if ask.edition >= agreed.revision:
            self._leaving.pop(asked.ident, None)
        elif held is not None and held[0] < agreed.revision:
            self._leaving[asked.ident] = max(self._leaving.get(asked.ident, 0), held[1])
        self.lease_holders[asked.ident] = agreed.revision, until
        if floor is not None:
            self._floors_out[floor.number] = lease_expiry_us(now_us, floor.lasts_us)
        grant = LeaseGrant(
            ask.number,
            agreed.revision,
            "" if ask.edition == agreed.revision else agreed.rules,
            lasts,
            agreed.version,
            floor.number if floor else 0,
            floor.rules if floor and ask.floor != floor.number else "",
            floor.lasts_us if floor else 0,
            rights,
            self.outlier_detector.told(now_us),
            **{
                chapter.name: chapter.response_for(now_us, asked.asker)
                for chapter in self.subsystems
            },
            reign=self.allocations.term,
            leader=self._owner.name,
        )
        if asked.ident == self._owner.name:
            return self._take_grant(now_us, grant)
        return [
            Send(asked.via, "", RelayedGrant(asked.ident, grant))
            if asked.via
            else Send(asked.ident, asked.address, grant)
        ]

    def _rules(self) -> RuleSet:
        """The rules in force."""
        text, rules = self._read
        if rules is None or text != self._owner.agreed.rules:
            text = self._owner.agreed.rules
            rules = parse_rule_set(text)
            self._read = text, rules
        return rules

    # -- steps

    def propose_next(self, now_us: int) -> list[Effect]:
        """Take the next step, drop a floor, or what chapters have due, once what came before has lapsed."""
        owner, agreed = self._owner, self._owner.agreed
        if not owner.is_leader or owner.raft is None:
            return []
        if not owner.raft.log.has_committed_in_term or (
            owner.raft.log.commit_index != owner.raft.persistent.last_log_index
        ):
            return [
                owner.timer("step", now_us + self.timing.batch_us)
            ]  # something is being decided
        out: list[Effect] = []
        again: list[int] = []
        if agreed.steps:
            due = self._earlier_leases_expire_us()
            if now_us >= due:
                return owner.propose(now_us, "step", {"from": agreed.revision})
            again.append(due)
        if len(agreed.floors) > 1:
            began = owner.raft.elected_at_us
            ends = [
                max(self._floors_out.get(each.number, 0), lease_expiry_us(began, each.lasts_us))
                for each in agreed.floors[:-1]
            ]
            if now_us >= max(ends):
                return owner.propose(now_us, "floor-lapsed", {"number": agreed.floors[-1].number})
            again.append(max(ends))
        for chapter in (self.allocations, *self.subsystems) if agreed.revision else ():
            proposals, at = chapter.next_proposals(now_us, self._rules())
            for each in proposals:
                out += owner.propose(now_us, f"{chapter.name}/{each.kind}", each.value)
            if at is not None:
                again.append(max(at, now_us + self.timing.batch_us))
        return [*out, owner.timer("step", min(again))] if again else out

    def _earlier_leases_expire_us(self) -> int:
        """When no placer can act on an edition before the one in force any more, by this leader's reckoning."""
        raft, edition = self._owner.raft, self._owner.agreed.revision
        assert raft is not None
        old = [until for each, until in self.lease_holders.values() if each < edition]
        # Grants that an earlier leader gave are not known here: each was asked for before this one was elected.
        return max(
            [
                lease_expiry_us(raft.elected_at_us, self.timing.grant_us),
                *old,
                *self._leaving.values(),
            ]
        )
