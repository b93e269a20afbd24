"""A state machine of quotas: three placers, two voters that lead alternately, a log of moves, one shared clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wingbarrow.decide.coordination.lease_client import LeaseClient
from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest, Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer
from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.coordination.timers import Timers
from wingbarrow.decide.quotas.allocations import MOVE_INTERVAL_US, AllocationLedger
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.ruleset import RuleSet, normalized
from wingbarrow.lab.fleet.fault_schedules import rules

S = 1_000_000
LEASE = 2 * S
WINDOW = 3 * S
STRANDED = 5 * S
LIMIT = 6
NAMES = ("a", "b", "c")
STANDING = FleetLimit("namespace", "shop", "standing", LIMIT, 0, STRANDED, NAMES)
RATE = FleetLimit("class", "web", "rate", LIMIT, WINDOW, STRANDED, NAMES)


def rule_set_with_limits(most: int) -> RuleSet:
    return normalized(
        replace(rules(3), limits=(replace(STANDING, most=most), replace(RATE, most=most)))
    )


@dataclass
class Placer:
    """One incarnation of a placer: its lease client, the amount in use of its quota, and its demand."""

    lease_client: LeaseClient
    standing: int = 0
    demand: int = 0

    @property
    def until_us(self) -> int:
        return self.lease_client.rules_lease.expires_us


@dataclass(frozen=True)
class Message:
    """A request in transit to a leader, or with its grant in transit back."""

    name: str
    incarnation: int
    leader: int
    request: LeaseRequest
    grant: LeaseGrant | None = None


class Fleet(RuleBasedStateMachine):
    """Messages are delivered, lost, duplicated and delayed arbitrarily; a proposed entry is decided or lost."""

    ledgers: type[AllocationLedger] = AllocationLedger
    clients: type[LeaseClient] = LeaseClient
    event_counts: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 100 * S
        self.last_incarnation = 0
        self.revision = 1
        self.most = LIMIT  # of both limits
        self.term = 0
        self.leader = 0  # index in `voters`
        self.voters = [self.ledgers(LEASE), self.ledgers(LEASE)]
        self.proposed: list[Proposal] = []
        self.placers: dict[str, Placer] = {}
        self.messages: list[Message] = []
        # Tasks of killed placers: until when they run, and how many.
        self.orphans: list[tuple[int, int]] = []
        self.starts: list[int] = []
        for name in NAMES:
            self.start_placer(name)
        self.elect(0, True)

    def start_placer(self, name: str) -> None:
        self.last_incarnation += 1
        lease_client = self.clients(
            LocalPlacer(name, self.last_incarnation),
            CoordinationSettings(("v",), Timing(LEASE)),
            self.last_incarnation,
            Timers(),
        )
        lease_client.start(self.now_us)
        placer = self.placers[name] = Placer(lease_client)
        lease_client.quotas.in_use = lambda key: placer.standing
        lease_client.quotas.demand = lambda key: placer.demand

    @property
    def ledger(self) -> AllocationLedger:
        return self.voters[self.leader]

    @rule(by=st.integers(1, 1500))
    def pass_time(self, by: int) -> None:
        self.now_us += by * 1000
        self.orphans = [each for each in self.orphans if each[0] > self.now_us]
        self.starts = [at for at in self.starts if at > self.now_us - WINDOW]

    # -- messages

    @rule(name=st.sampled_from(NAMES), wants=st.integers(0, 20))
    def ask(self, name: str, wants: int) -> None:
        placer = self.placers[name]
        placer.demand = wants
        request, _, _ = placer.lease_client.next_request(self.now_us, "v")
        self.messages.append(
            Message(name, placer.lease_client.local.incarnation, self.leader, request)
        )

    @rule(pick=st.integers(0, 99), keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        if self.messages:
            at = pick % len(self.messages)
            message = self.messages[at] if keep else self.messages.pop(at)
            self.deliver_grant(message) if message.grant is not None else self.deliver_request(
                message
            )

    def deliver_request(self, message: Message) -> None:
        """Only the current leader responds, as a majority confirms it first."""
        if message.leader != self.leader:
            return
        request = message.request
        requester = Requester(
            message.name, request.life, request.up_us, request.number, request.reign
        )
        rule_set = rule_set_with_limits(self.most)
        grants = self.ledger.grants_for(
            self.now_us, [(requester, request.stated)], rule_set.limits
        )[0]
        grant = LeaseGrant(
            request.number,
            self.revision,
            "" if request.edition == self.revision else rule_set.text(),
            LEASE,
            1,
            0,
            "",
            0,
            grants,
            reign=self.term,
        )
        self.messages.append(replace(message, grant=grant))

    def deliver_grant(self, message: Message) -> None:
        placer = self.placers[message.name]
        if (
            placer.lease_client.local.incarnation == message.incarnation
            and message.grant is not None
        ):
            placer.lease_client.on_grant(self.now_us, "v", message.grant)
            self.event_counts["given"] += sum(placer.lease_client.quotas.shares.values())

    def renew_lease(
        self, name: str, wants: int, moves: bool = True, to_placer: bool = True
    ) -> None:
        """A request and its response without a fault; then a due entry is proposed and decided."""
        self.ask(name, wants)
        self.deliver_request(self.messages.pop())
        if to_placer and self.messages:
            self.deliver_grant(self.messages.pop())
        if moves:
            self.now_us += MOVE_INTERVAL_US
            self.move()
            self.decide()

    @rule(name=st.sampled_from(NAMES), wants=st.integers(0, 6))
    def call(self, name: str, wants: int) -> None:
        self.renew_lease(name, wants)
        self.renew_lease(name, wants)

    # -- the log

    @rule()
    def move(self) -> None:
        if not self.proposed:
            self.proposed, _ = self.ledger.next_proposals(
                self.now_us, rule_set_with_limits(self.most)
            )

    @rule()
    def decide(self) -> None:
        for each in self.proposed:
            for voter in self.voters:
                voter.apply(each.kind, each.value)
            self.event_counts["moves"] += 1
        self.proposed = []

    @rule(rarely=st.integers(0, 3), same=st.booleans(), lost=st.booleans())
    def may_change_leader(self, rarely: int, same: bool, lost: bool) -> None:
        if not rarely:
            self.elect(self.leader if same else 1 - self.leader, lost)
            self.event_counts["leaders"] += 1

    def elect(self, leader: int, lost: bool) -> None:
        self.ledger.on_leadership_change(self.now_us, False)
        if lost:
            self.proposed = []
        self.decide()
        self.leader, self.term = leader, self.term + 1
        text = self.ledger.snapshot()
        self.ledger.restore(text)
        assert self.ledger.snapshot() == text == self.voters[1 - leader].snapshot()
        self.ledger.on_leadership_change(self.now_us, True, self.term)

    @rule(rarely=st.integers(0, 5), most=st.sampled_from((3, LIMIT)))
    def may_change(self, rarely: int, most: int) -> None:
        if not rarely:
            self.revision, self.most = self.revision + 1, most

    # -- tasks

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def start(self, name: str, count: int) -> None:
        placer = self.placers[name]
        account = placer.lease_client.quotas
        if self.now_us < placer.until_us and account.limits:
            if account.has_capacity(self.now_us, STANDING.key, count):
                placer.standing += count
                self.event_counts["standing"] += count
            if account.has_capacity(self.now_us, RATE.key, count):
                account.record_use(self.now_us, RATE.key, count)
                self.starts += [self.now_us] * count
                self.event_counts["starts"] += count

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def end(self, name: str, count: int) -> None:
        self.placers[name].standing = max(0, self.placers[name].standing - count)

    @rule(name=st.sampled_from(NAMES), wants=st.integers(1, 6), count=st.integers(1, 6))
    def work(self, name: str, wants: int, count: int) -> None:
        self.renew_lease(name, wants)
        self.start(name, count)

    @rule(name=st.sampled_from(NAMES), rarely=st.integers(0, 3))
    def may_die(self, name: str, rarely: int) -> None:
        if not rarely:
            self.kill(name)

    def kill(self, name: str) -> None:
        """Kill a placer; its tasks run on for as long as the limit's `stranded` time permits."""
        if self.placers[name].standing:
            self.orphans.append((self.now_us + STRANDED - 1, self.placers[name].standing))
        self.event_counts["deaths"] += 1
        self.start_placer(name)

    @invariant()
    def limits_hold(self) -> None:
        # A placer out of contact keeps its running tasks, but they count only for the `stranded` time.
        lost = [
            each
            for each in self.placers.values()
            if self.now_us >= each.until_us + STRANDED and each.standing
        ]
        running = sum(each.standing for each in self.placers.values()) + sum(
            count for _, count in self.orphans
        )
        assert running - sum(each.standing for each in lost) <= LIMIT, (
            f"{running} in use exceed the standing limit"
        )
        assert sum(at > self.now_us - WINDOW for at in self.starts) <= LIMIT, (
            f"{len(self.starts)} within the window"
        )
        for decided in self.ledger.allocations.values():
            assert sum(size for size, _ in decided.by_holder.values()) <= LIMIT, (
                "sizes exceed the limit"
            )


def holds_all(fleet: Fleet) -> None:
    """`a` holds the whole limit."""
    for name, wants in (("a", 6), ("b", 0), ("c", 0)) * 8:
        fleet.renew_lease(name, wants)
    fleet.renew_lease("a", 6)


def uses_all(fleet: Fleet) -> None:
    """`a` holds the whole limit, and uses all of it."""
    holds_all(fleet)
    fleet.start("a", 6)
    assert fleet.placers["a"].standing == 6, fleet.ledger.allocations


def then_b_uses_its_share(fleet: Fleet) -> None:
    for _ in range(4):
        fleet.renew_lease("b", 6)
        fleet.start("b", 1)
        fleet.start("b", 1)
    fleet.limits_hold()


Scenario = Callable[[Any], None]
