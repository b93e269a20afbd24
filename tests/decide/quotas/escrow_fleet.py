"""Three placers and two voters that lead in turn, on one clock, with a log of moves: a state machine of quotas."""

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
LEASE, WINDOW, STRANDED, LIMIT = 2 * S, 3 * S, 5 * S, 6
NAMES = ("a", "b", "c")
STANDING = FleetLimit("namespace", "shop", "standing", LIMIT, 0, STRANDED, NAMES)
RATE = FleetLimit("class", "web", "rate", LIMIT, WINDOW, STRANDED, NAMES)


def limited(most: int) -> RuleSet:
    return normalized(
        replace(rules(3), limits=(replace(STANDING, most=most), replace(RATE, most=most)))
    )


@dataclass
class Placer:
    """One incarnation of a placer: its lease client, and what is in use of its quota."""

    holding: LeaseClient
    standing: int = 0
    wants: int = 0

    @property
    def until_us(self) -> int:
        return self.holding.rules_lease.expires_us


@dataclass(frozen=True)
class Message:
    """A request on its way to one leader, or a grant on its way back."""

    name: str
    life: int
    leader: int
    ask: LeaseRequest
    grant: LeaseGrant | None = None


class Fleet(RuleBasedStateMachine):
    """Messages are delivered, lost, duplicated and late at will; a proposed entry is decided or lost."""

    ledgers: type[AllocationLedger] = AllocationLedger
    clients: type[LeaseClient] = LeaseClient
    found: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.now_us, self.lives, self.edition, self.most, self.reign, self.leader = (
            100 * S,
            0,
            1,
            LIMIT,
            0,
            0,
        )
        self.voters = [self.ledgers(LEASE), self.ledgers(LEASE)]
        self.proposed: list[Proposal] = []
        self.placers: dict[str, Placer] = {}
        self.mail: list[Message] = []
        self.orphans: list[
            tuple[int, int]
        ] = []  # tasks of placers that were killed: until when they run, how many
        self.starts: list[int] = []
        for name in NAMES:
            self.start_placer(name)
        self.elect(0, True)

    def start_placer(self, name: str) -> None:
        self.lives += 1
        holding = self.clients(
            LocalPlacer(name, self.lives),
            CoordinationSettings(("v",), Timing(LEASE)),
            self.lives,
            Timers(),
        )
        holding.start(self.now_us)
        placer = self.placers[name] = Placer(holding)
        holding.quotas.in_use = lambda key: placer.standing
        holding.quotas.demand = lambda key: placer.wants

    @property
    def ledger(self) -> AllocationLedger:
        return self.voters[self.leader]

    @rule(by=st.integers(1, 1500))
    def pass_time(self, by: int) -> None:
        self.now_us += by * 1000
        self.orphans = [each for each in self.orphans if each[0] > self.now_us]
        self.starts = [at for at in self.starts if at > self.now_us - WINDOW]

    # -- mail

    @rule(name=st.sampled_from(NAMES), wants=st.integers(0, 20))
    def ask(self, name: str, wants: int) -> None:
        placer = self.placers[name]
        placer.wants = wants
        ask, _, _ = placer.holding.next_request(self.now_us, "v")
        self.mail.append(Message(name, placer.holding.local.incarnation, self.leader, ask))

    @rule(pick=st.integers(0, 99), keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        if self.mail:
            at = pick % len(self.mail)
            message = self.mail[at] if keep else self.mail.pop(at)
            self.deliver_grant(message) if message.grant is not None else self.deliver_request(
                message
            )

    def deliver_request(self, message: Message) -> None:
        """Only the leader of the day answers: a majority confirms it first."""
        if message.leader != self.leader:
            return
        ask = message.ask
        requester = Requester(message.name, ask.life, ask.up_us, ask.number, ask.reign)
        wanted = limited(self.most)
        rights = self.ledger.grants_for(self.now_us, [(requester, ask.stated)], wanted.limits)[0]
        grant = LeaseGrant(
            ask.number,
            self.edition,
            "" if ask.edition == self.edition else wanted.text(),
            LEASE,
            1,
            0,
            "",
            0,
            rights,
            reign=self.reign,
        )
        self.mail.append(replace(message, grant=grant))

    def deliver_grant(self, message: Message) -> None:
        placer = self.placers[message.name]
        if placer.holding.local.incarnation == message.life and message.grant is not None:
            placer.holding.on_grant(self.now_us, "v", message.grant)
            self.found["given"] += sum(placer.holding.quotas.shares.values())

    def get(self, name: str, wants: int, moves: bool = True, to_placer: bool = True) -> None:
        """An ask and its answer without trouble; and what is due is decided."""
        self.ask(name, wants)
        self.deliver_request(self.mail.pop())
        if to_placer and self.mail:
            self.deliver_grant(self.mail.pop())
        if moves:
            self.now_us += MOVE_INTERVAL_US
            self.move()
            self.decide()

    @rule(name=st.sampled_from(NAMES), wants=st.integers(0, 6))
    def call(self, name: str, wants: int) -> None:
        self.get(name, wants)
        self.get(name, wants)

    # -- the log

    @rule()
    def move(self) -> None:
        if not self.proposed:
            self.proposed, _ = self.ledger.next_proposals(self.now_us, limited(self.most))

    @rule()
    def decide(self) -> None:
        for each in self.proposed:
            for voter in self.voters:
                voter.apply(each.kind, each.value)
            self.found["moves"] += 1
        self.proposed = []

    @rule(rarely=st.integers(0, 3), same=st.booleans(), lost=st.booleans())
    def may_change_leader(self, rarely: int, same: bool, lost: bool) -> None:
        if not rarely:
            self.elect(self.leader if same else 1 - self.leader, lost)
            self.found["leaders"] += 1

    def elect(self, leader: int, lost: bool) -> None:
        self.ledger.on_leadership_change(self.now_us, False)
        if lost:
            self.proposed = []
        self.decide()
        self.leader, self.reign = leader, self.reign + 1
        text = self.ledger.snapshot()
        self.ledger.restore(text)
        assert self.ledger.snapshot() == text == self.voters[1 - leader].snapshot()
        self.ledger.on_leadership_change(self.now_us, True, self.reign)

    @rule(rarely=st.integers(0, 5), most=st.sampled_from((3, LIMIT)))
    def may_change(self, rarely: int, most: int) -> None:
        if not rarely:
            self.edition, self.most = self.edition + 1, most

    # -- tasks

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def start(self, name: str, count: int) -> None:
        placer = self.placers[name]
        account = placer.holding.quotas
        if self.now_us < placer.until_us and account.limits:
            if account.has_room(self.now_us, STANDING.key, count):
                placer.standing += count
                self.found["standing"] += count
            if account.has_room(self.now_us, RATE.key, count):
                account.record_use(self.now_us, RATE.key, count)
                self.starts += [self.now_us] * count
                self.found["starts"] += count

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def end(self, name: str, count: int) -> None:
        self.placers[name].standing = max(0, self.placers[name].standing - count)

    @rule(name=st.sampled_from(NAMES), wants=st.integers(1, 6), count=st.integers(1, 6))
    def work(self, name: str, wants: int, count: int) -> None:
        self.get(name, wants)
        self.start(name, count)

    @rule(name=st.sampled_from(NAMES), rarely=st.integers(0, 3))
    def may_die(self, name: str, rarely: int) -> None:
        if not rarely:
            self.die(name)

    def die(self, name: str) -> None:
        """What it ran goes on for as long as tasks of this limit may."""
        if self.placers[name].standing:
            self.orphans.append((self.now_us + STRANDED - 1, self.placers[name].standing))
        self.found["deaths"] += 1
        self.start_placer(name)

    @invariant()
    def limits_hold(self) -> None:
        # One that is out of touch keeps what it runs, which counts for `stranded` alone.
        lost = [
            each
            for each in self.placers.values()
            if self.now_us >= each.until_us + STRANDED and each.standing
        ]
        running = sum(each.standing for each in self.placers.values()) + sum(
            count for _, count in self.orphans
        )
        assert running - sum(each.standing for each in lost) <= LIMIT, f"{running} stand"
        assert sum(at > self.now_us - WINDOW for at in self.starts) <= LIMIT, (
            f"{len(self.starts)} within the window"
        )
        for decided in self.ledger.allocations.values():
            assert sum(size for size, _ in decided.by_holder.values()) <= LIMIT, (
                "sizes exceed the limit"
            )


def holds_all(fleet: Fleet) -> None:
    """`a` holds the whole."""
    for name, wants in (("a", 6), ("b", 0), ("c", 0)) * 8:
        fleet.get(name, wants)
    fleet.get("a", 6)


def uses_all(fleet: Fleet) -> None:
    """`a` uses it too."""
    holds_all(fleet)
    fleet.start("a", 6)
    assert fleet.placers["a"].standing == 6, fleet.ledger.allocations


def then_b_uses_its_share(fleet: Fleet) -> None:
    for _ in range(4):
        fleet.get("b", 6)
        fleet.start("b", 1)
        fleet.start("b", 1)
    fleet.limits_hold()


Story = Callable[[Any], None]
