"""Agreements by the hundred on a virtual clock: all act all the time, and a judge looks at who acted on what when."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass

from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer
from wingbarrow.decide.effects import Persist
from wingbarrow.decide.rulesets.comparison import allows
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.simulation import SECOND, ClockDrift, Simulation

ACT_US = 10_000


@dataclass(slots=True)
class Use:
    """When an edition was acted on, first and last, by anybody; in true time."""

    first_us: int
    last_us: int
    rules: str


@dataclass(frozen=True, slots=True)
class Contradictions:
    """What a judge of acts found; times in microseconds."""

    acts: int
    past: int  # acts on an edition after one two further on was in use: never allowed
    longest_us: int  # of an edition's use after the next one, that forbids some of it, was in use


def judge(uses: dict[int, Use], acts: int) -> Contradictions:
    """From when each edition was in use."""
    past = longest = 0
    for edition, use in uses.items():
        later = [each for number, each in uses.items() if number >= edition + 2]
        past += any(each.first_us <= use.last_us for each in later)
        following = uses.get(edition + 1)
        if following is not None and not allows(
            parse_rule_set(use.rules), parse_rule_set(following.rules)
        ):
            longest = max(longest, use.last_us - following.first_us)
    return Contradictions(acts, past, longest)


class Assembly(Simulation[Coordinator]):
    """`count` placers, the first `voters` of them vote; clocks drift by up to 500 ppm and begin anywhere."""

    def __init__(
        self, count: int, voters: int, seed: int, times: Timing = Timing(), loss: float = 0.0
    ) -> None:
        super().__init__([f"p{index:03d}" for index in range(count)], seed, loss)
        self.times = times
        self.voters = tuple(self.names[:voters])
        self.disks = {name: PersistentState(self.voters) for name in self.voters}
        rng = random.Random(f"clocks/{seed}")
        self.drifts = {
            name: ClockDrift(rng.uniform(-5e-4, 5e-4), rng.randrange(10_000 * SECOND))
            for name in self.names
        }
        self.uses: dict[int, Use] = {}
        self.acts = self.refused = self.on_floor = 0
        self._proposed = 0
        for name in self.names:
            self.start(name)
        self.at(0, self._act_all)

    def make(self, name: str, now_us: int) -> Coordinator:
        """An agreement, from what is on its disk."""
        disk = copy.deepcopy(self.disks[name]) if name in self.disks else None
        settings = CoordinationSettings(self.voters, self.times)
        seed = self.random.randrange(1 << 30)
        return Coordinator(self.local(name), settings, disk, seed)

    def local(self, name: str) -> LocalPlacer:
        """What a placer says of itself."""
        return LocalPlacer(name)

    def persisted(self, name: str, what: Persist) -> None:
        """As the store does it."""
        self.disks[name].persist(what)

    def _act_all(self) -> None:
        for name, member in self.members.items():
            if name in self.stopped:
                continue
            acting = member.rules_in_force(self.clock_us(name))
            if acting is None:
                self.refused += 1
                continue
            self.acts += 1
            if not acting.revision:
                self.on_floor += 1
                continue
            use = self.uses.setdefault(acting.revision, Use(self.now_us, self.now_us, acting.rules))
            assert use.rules == acting.rules, f"edition {acting.revision} has two rule sets"
            use.last_us = self.now_us
        self.at(self.now_us + ACT_US, self._act_all)

    # -- questions and requests

    def leader(self) -> str | None:
        """Who leads, by the highest term."""
        found = [
            name
            for name, each in self.members.items()
            if each.is_leader and name not in self.stopped
        ]
        return max(found, key=lambda name: self.members[name].raft.persistent.term, default=None)  # type: ignore[union-attr]

    def propose(self, rules: RuleSet, base: int | None = None, ident: str = "") -> str | None:
        """Have the leader propose: the proposal's name; None where nobody leads."""
        leader = self.leader()
        if leader is None:
            return None
        self._proposed += 1
        ident = ident or f"proposal {self._proposed}"
        member = self.members[leader]
        base = member.rule_set_state.version if base is None else base
        self.act(
            leader,
            member.propose(
                self.clock_us(leader),
                "propose",
                {"ident": ident, "base": base, "rules": rules.text(), "by": "somebody", "why": ""},
            ),
        )
        return ident

    def lower_floor(self, rules: RuleSet, lasts_us: int, ident: str) -> None:
        """Have the leader propose a floor."""
        leader = self.leader()
        if leader is not None:
            self.act(
                leader,
                self.members[leader].propose(
                    self.clock_us(leader),
                    "floor",
                    {"ident": ident, "rules": rules.text(), "lasts_us": lasts_us},
                ),
            )

    def outcome(self, ident: str) -> str | None:
        """What became of a proposal, as a living voter knows; None where nothing is decided."""
        return next(
            (
                each.rule_set_state.outcomes[ident]
                for each in self.members.values()
                if each.raft is not None and ident in each.rule_set_state.outcomes
            ),
            None,
        )

    def all_on(self, rules: RuleSet) -> bool:
        """Whether every placer acts on these rules, by an edition."""
        return all(
            (acting := each.rules_in_force(self.clock_us(name))) is not None
            and acting.revision > 0
            and acting.rules == rules.text()
            for name, each in self.members.items()
        )

    def judged(self) -> Contradictions:
        """The verdict over all acts so far."""
        return judge(self.uses, self.acts)
