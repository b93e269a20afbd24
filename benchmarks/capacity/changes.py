"""What grows with configuration changes: rule sets proposed at the pace of a day's busiest hours, on the virtual clock.

`size` is the number of changes a day. The pace is `PEAK` times their mean (14,000 a day: one in 6.2 s on the mean, in
1.5 s at the peak), with exponential gaps, for `SPAN_LEAST_S` or `CHANGES_LEAST` changes, whichever is longer. Each
change alters one thing of the rules before, three in ten two things, so that some contradict what is in force and take
two steps. A change counts as in force at a placer once that acts on it or on a later one. At 16 placers, and at 64
from `LARGE_FROM` changes a day on: fewer take too long to wait for there.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from benchmarks.capacity.fleet import Agreements, costs, founded, rule_set, three_limits
from benchmarks.capacity.gather import Figure, repeated, spread
from benchmarks.capacity.results import Point
from benchmarks.capacity.teams import mailed
from wingbarrow.decide.rulesets.ruleset import RuleSet, normalized
from wingbarrow.lab.fleet.simulation import SECOND

DEFAULT_SIZES = (100, 1_000, 5_000, 14_000)
PLACERS, PLACERS_LARGE, LARGE_FROM = 16, 64, 1_000
DAY_S, PEAK = 86_400, 4
SPAN_LEAST_S, CHANGES_LEAST = 60, 5
LAST_US = 30 * SECOND  # for the last change to come into force
AIM_S = 11
TWO_THINGS = 0.3


@dataclass(frozen=True, slots=True)
class Wanted:
    """What changes alter."""

    most: int = 3
    offers: int = 20
    attempts: int = 4
    tasks: int = 100
    barred: int = 0

    def altered(self, rng: random.Random) -> Wanted:
        """One thing of it, or two, a little more or less."""
        after = self
        for name in rng.sample(sorted(BETWEEN), 2 if rng.random() < TWO_THINGS else 1):
            least, most = BETWEEN[name]
            now = getattr(after, name)
            step = rng.choice((-1, 1)) * max(1, most // 10)
            after = replace(
                after, **{name: now + step if least <= now + step <= most else now - step}
            )
        return after

    def rules(self, placers: int) -> RuleSet:
        """As a rule set."""
        names = [f"p{index:03d}" for index in range(placers)]
        limits = tuple(
            replace(each, most=each.most * self.tasks // 100) for each in three_limits(names)
        )
        barred = tuple(f"machine-{index}" for index in range(self.barred))
        return normalized(
            replace(
                rule_set(placers, limits, self.most, self.offers),
                attempts_most=self.attempts,
                barred=barred,
            )
        )


BETWEEN = {
    "most": (1, 9),
    "offers": (20, 60),
    "attempts": (2, 9),
    "tasks": (80, 120),
    "barred": (0, 9),
}


@dataclass(frozen=True, slots=True)
class Change:
    """One that was proposed."""

    ident: str
    at_us: int
    text: str


def proposed(fleet: Agreements, a_day: int, seed: int) -> list[Change]:
    """Changes at the peak's pace, each based on the one before; those that found nobody leading are left out."""
    rng, gap_s = random.Random(f"changes/{a_day}/{seed}"), DAY_S / a_day / PEAK
    end = fleet.now_us + int(max(SPAN_LEAST_S, CHANGES_LEAST * gap_s) * SECOND)
    wanted, out = Wanted(), list[Change]()
    at = fleet.now_us + int(rng.expovariate(1 / gap_s) * SECOND)
    while at < end or len(out) < 2:
        fleet.run(at)
        wanted = wanted.altered(rng)
        rules = wanted.rules(len(fleet.names))
        ident = fleet.propose(rules)
        if ident is not None:
            out.append(Change(ident, fleet.now_us, rules.text()))
        at += int(rng.expovariate(1 / gap_s) * SECOND)
    fleet.run(max(end, fleet.now_us))
    return out


def times(fleet: Agreements, changes: Sequence[Change]) -> list[float | None]:
    """Of each change the seconds until all placers acted on it or a later one; None where they did not."""
    out: list[float | None] = []
    for index, change in enumerate(changes):
        reached = fleet.came_into_force({each.text for each in changes[index:]}, change.at_us)
        whole = len(reached) == len(fleet.names)
        out.append((max(reached.values()) - change.at_us) / SECOND if whole else None)
    return out


def play(a_day: int, placers: int, seed: int) -> Iterator[Figure]:
    """Changes at one pace in one fleet."""
    fleet, where = founded(placers, seed, Wanted().rules(placers)), f", {placers} placers"
    begun, decided = fleet.now_us, last_decided(fleet)
    with fleet.meter.metering():
        changes = proposed(fleet, a_day, seed)
    span_s = (fleet.now_us - begun) / SECOND
    figures = list(costs(fleet, span_s, where))
    entries = (last_decided(fleet) - decided) / max(1, len(changes))
    figures.append(Figure("voter", f"log entries a change{where}", "entries", entries))
    fleet.run(fleet.now_us + LAST_US)
    refused = [each for each in changes if fleet.outcome(each.ident)]
    accepted = [each for each in changes if each not in refused]
    took = times(fleet, accepted)
    reached = [each for each in took if each is not None]
    yield Figure("member", f"changes proposed{where}", "changes", len(changes))
    yield Figure("member", f"changes refused{where}", "changes", len(refused))
    yield Figure(
        "member", f"changes not in force at the end{where}", "changes", len(took) - len(reached)
    )
    yield Figure(
        "member",
        f"changes in force within {AIM_S} s{where}",
        "%",
        100 * sum(each <= AIM_S for each in reached) / max(1, len(took)),
    )
    yield from spread("member", f"time until in force everywhere{where}", "s", reached)
    yield from figures
    yield from kept(fleet, where)


def last_decided(fleet: Agreements) -> int:
    """The index of the last entry that some voter has."""
    disks = [member.raft.persistent for member in fleet.members.values() if member.raft is not None]
    return max(disk.last_log_index for disk in disks)


def kept(fleet: Agreements, where: str) -> Iterator[Figure]:
    """What voters keep at the end: the log that is not folded yet, and the state that a snapshot would have."""
    member = fleet.members[fleet.leader() or fleet.voters[0]]
    assert member.raft is not None
    disk = member.raft.persistent
    yield Figure("voter", f"log held{where}", "entries", len(disk.log))
    yield Figure("voter", f"log held{where}", "B", sum(len(each.body) for each in disk.log))
    yield Figure("voter", f"state in a snapshot{where}", "B", mailed(member.rule_set_state.text()))


def measure(sizes: Sequence[int]) -> Iterator[Point]:
    """Points of each size."""
    for size in sizes:
        for placers in (PLACERS, PLACERS_LARGE) if size >= LARGE_FROM else (PLACERS,):
            yield from repeated(
                "changes",
                size,
                lambda seed, size=size, placers=placers: (  # type: ignore[misc]
                    play(size, placers, seed)
                ),
            )
