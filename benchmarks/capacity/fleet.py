"""A fleet of hollow placers that agree on rules, metered; and the rule sets that capacity is measured with.

`chapters` of sessions, turns and regions are not there: what they say is measured elsewhere. Placers use a steady part
of each limit; where `short`, each wants more than it can have, and so asks every 200 ms in place of every 667 ms.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterator
from dataclasses import replace

from benchmarks.capacity.gather import MB, Figure, accounted, persisted, spread
from benchmarks.capacity.metered import DECISIONS, LIMITS, READ, WRITTEN, Meter, Metered, held_bytes
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.settings import LocalPlacer
from wingbarrow.decide.effects import Persist
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.ruleset import RuleSet, normalized
from wingbarrow.lab.fleet.coordination_simulation import CoordinationSimulation
from wingbarrow.lab.fleet.fault_schedules import rules, voter_count
from wingbarrow.lab.fleet.simulation import SECOND

SETTLE_US, FORCE_MOST_US, QUIET_US = 60 * SECOND, 60 * SECOND, 4 * SECOND
STRANDED_US, WINDOW_US, COLD_WINDOW_US = 40 * SECOND, 5 * SECOND, 2 * SECOND
USES = 4  # of each standing limit, by each placer
WANTED = 10_000  # by each placer where limits are short
PARTS = (DECISIONS, LIMITS, WRITTEN, READ)


class NoAgreement(RuntimeError):
    """The fleet did not come to what was proposed in its time."""


def three_limits(names: list[str]) -> tuple[FleetLimit, ...]:
    """A namespace's tasks at once, a class's new ones a window, and the cold budget."""
    among = tuple(names)
    return (
        FleetLimit(
            "namespace", "default", "standing", 2 * USES * len(names), 0, STRANDED_US, among
        ),
        FleetLimit("class", "web", "rate", 20 * len(names), WINDOW_US, STRANDED_US, among),
        FleetLimit("cold", "", "rate", 20, COLD_WINDOW_US, STRANDED_US, among),
    )


def rule_set(
    count: int, limits: tuple[FleetLimit, ...], most: int = 3, offers: int = 20
) -> RuleSet:
    """For placers p000 and on. More of `most` and fewer `offers` contradicts another: it takes two steps."""
    return normalized(replace(rules(count, most, offers), limits=limits))


class Agreements(Metered[Coordinator], CoordinationSimulation):
    """`count` placers that agree on rules; each voter's disk is a copy in memory."""

    def __init__(self, count: int, seed: int) -> None:
        self.meter = Meter()
        self.short = False  # whether each wants more of each limit than there is
        super().__init__(count, voter_count(count), seed)

    def local(self, name: str) -> LocalPlacer:
        """Its account of limits needs its incarnation."""
        return LocalPlacer(name, self.incarnations[name])

    def make(self, name: str, now_us: int) -> Coordinator:
        """One that uses limits, with the leader's account of them timed by itself."""
        made = super().make(name, now_us)
        made.quotas.in_use = lambda key: USES
        made.quotas.demand = lambda key: WANTED if self.short else 0
        for method in ("grants_for", "next_proposals"):
            setattr(
                made.allocations,
                method,
                self.meter.timed(name, LIMITS, getattr(made.allocations, method)),
            )
        return made

    def persisted(self, name: str, what: Persist) -> None:
        """Counted, and kept."""
        self.meter.persist(name, what)
        super().persisted(name, what)

    def _act_all(self) -> None:
        """Nobody acts: when rules came into force is read from what placers tell."""

    def came_into_force(self, wanted: set[str], since_us: int) -> dict[str, int]:
        """By placer when it first acted on one of these rule sets' texts, from a time on."""
        found: dict[str, int] = {}
        for each in self.notifications:
            if each.event == "rules" and each.at_us >= since_us and each.fields["rules"] in wanted:
                found.setdefault(each.placer, each.at_us)
        return found

    def change(self, rules: RuleSet) -> list[float]:
        """Propose, and wait until all act on it: the seconds that each placer took. NoAgreement where they do not."""
        begun, text = self.now_us, rules.text()
        ident = self.propose(rules)
        if ident is None or not self.run_until(
            lambda: len(self.came_into_force({text}, begun)) == len(self.names), FORCE_MOST_US
        ):
            raise NoAgreement(
                f"{len(self.names)} placers: {self.outcome(ident or '') or 'nobody leads, or too slow'}"
            )
        return [(at - begun) / SECOND for at in self.came_into_force({text}, begun).values()]


def founded(count: int, seed: int, first: RuleSet) -> Agreements:
    """A fleet that acts on its first rules and has come to rest."""
    fleet = Agreements(count, seed)
    if not fleet.run_until(lambda: fleet.leader() is not None, SETTLE_US):
        raise NoAgreement(f"{count} placers: nobody leads")
    fleet.change(first)
    fleet.run(fleet.now_us + QUIET_US)
    return fleet


def steady(fleet: Agreements, span_s: int, suffix: str = "") -> Iterator[Figure]:
    """What leader, voters and other members cost at rest, for so long."""
    with fleet.meter.metering():
        fleet.run(fleet.now_us + span_s * SECOND)
    yield from costs(fleet, span_s, suffix)


def costs(fleet: Agreements, span_s: float, suffix: str = "") -> Iterator[Figure]:
    """What was metered for so long, by role; NoAgreement where nobody leads now."""
    leader = fleet.leader()
    if leader is None:
        raise NoAgreement("the leader was lost")
    roles = {
        "leader": [leader],
        "voter": [name for name in fleet.voters if name != leader],
        "member": [name for name in fleet.names if name not in fleet.voters],
    }
    for role, names in roles.items():
        if not names:
            continue
        parts = PARTS if role == "leader" else (DECISIONS, WRITTEN, READ)
        accounts = [fleet.meter.accounts[name] for name in names]
        yield from accounted(role, accounts, span_s, parts, f", agreement{suffix}")
        if role != "member":
            yield from persisted(role, accounts, span_s, suffix)
        yield _middle(
            role,
            f"memory held, agreement{suffix}",
            "MB",
            names,
            lambda name: held_bytes(fleet.members[name]) / MB,
        )
        yield _middle(
            role,
            f"descriptors, agreement{suffix}",
            "descriptors",
            names,
            lambda name: fleet.meter.descriptors(name, fleet.now_us),
        )


def _middle(
    role: str, measure: str, unit: str, names: list[str], value: Callable[[str], float]
) -> Figure:
    return Figure(role, measure, unit, statistics.median(map(value, names[:5])))


def in_force(fleet: Agreements, words: str, rules: RuleSet) -> Iterator[Figure]:
    """How long a change takes until placers act on it."""
    yield from spread("member", f"time until in force, {words}", "s", fleet.change(rules))
