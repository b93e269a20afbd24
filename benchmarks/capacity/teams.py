"""What grows with the number of teams: one fleet-wide limit of tasks at once for each team's namespace.

At 16 placers, and at 64 with one seed, named in each measure. Today's bounds refuse many teams: `limits.MAX_LIMITS`
whatever the number of placers, and `parsing.MAX_TEXT_CHARS` (each limit names all placers that share in it) before that
where there are many placers. "limits in force" is how many of the asked ones were accepted: all or none, as they are
one rule set. Measures named "bounds lifted" are of a fleet with these bounds, and `allocations.MAX_ALLOCATIONS`, out of
the way, in this process alone: what so many limits would cost, not what can be had. Within the bounds both are the same
run. More blocks than `LIFTED_BLOCKS_MOST` (370 teams at 64 placers) are not tried: one leader's account of them takes
many cores.

The points end with the most teams that each bound allows, found by trying ("teams allowed by ..."), for placers with
names of four letters; longer names take more of a rule set and of a snapshot. Found on 2026-12-02:

| placers | number of limits | length of a rule set | number of blocks | blocks in the chapters' 128 KiB of a snapshot |
| --- | --- | --- | --- | --- |
| 16 | 64 | 141 | 512 | 376 |
| 64 | 64 | 57 | 128 | 103 |
| 170 | 64 | 24 | 48 | 39 |
| 256 | 64 | 16 | 32 | 25 |

The first two refuse a rule set when it is proposed, and come before the last two, which would let blocks be left out
(`AllocationLedger.rejected_allocations`) or a snapshot outgrow its share without a refusal. What breaks before most of
these is the leader's account of limits ("processor: limits"): 0.72 and 0.91 of a core in two runs with 45 teams and 64
placers, on a machine with other work.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, nullcontext
from dataclasses import replace

from benchmarks.capacity.fleet import USES, Agreements, founded, rule_set, steady
from benchmarks.capacity.gather import SEEDS, Figure, repeated, spread
from benchmarks.capacity.results import Point
from wingbarrow.decide.consensus.messages import AppendRequest, InstallSnapshot
from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest
from wingbarrow.decide.quotas import allocations, limits
from wingbarrow.decide.quotas.entries import Allocation, LimitAllocations
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets import parsing
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.rulesets.versions import MAX_SUBSYSTEMS_CHARS
from wingbarrow.lab.fleet.simulation import SECOND
from wingbarrow.peers import message, message_bounds
from wingbarrow.peers.outbox import MAX_MESSAGE_BYTES

DEFAULT_SIZES = (10, 30, 45, 64, 100, 370)
PLACERS = (16, 64)
# Figures on record are named so.
LETTERS = {"Ask": LeaseRequest, "Grant": LeaseGrant, "Append": AppendRequest}
PLACERS_TRIED = (16, 64, 170, 256)  # for the bounds alone
SPAN_S, MOVES_US = 5, 4 * SECOND
TEAMS_TRIED_MOST = 1 << 12
STRANDED_US = 40 * SECOND
LIFTED = 1 << 30
LIFTED_BLOCKS_MOST = 6_500


def team_limits(teams: int, names: Sequence[str], most: int = 0) -> tuple[FleetLimit, ...]:
    """One for each team; `most` is of the first, twice what is in use otherwise."""
    usual = 2 * USES * len(names)
    return tuple(
        FleetLimit(
            "namespace",
            f"team-{index:03d}",
            "standing",
            most if most and not index else usual,
            0,
            STRANDED_US,
            tuple(names),
        )
        for index in range(teams)
    )


def names_of(placers: int) -> list[str]:
    """As the hollow fleet calls them."""
    return [f"p{index:03d}" for index in range(placers)]


@contextmanager
def lifted_bounds() -> Iterator[None]:
    """The bounds of limits out of the way, in this process and for the block."""
    places = (
        (limits, "MAX_LIMITS"),
        (message_bounds, "MAX_LIMITS"),
        (parsing, "MAX_TEXT_CHARS"),
        (parsing, "MAX_ESCAPED_CHARS"),
        (allocations, "MAX_ALLOCATIONS"),
    )
    before = [(module, name, getattr(module, name)) for module, name in places]
    try:
        for module, name in places:
            setattr(module, name, LIFTED)
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)


def refusal(rule: RuleSet) -> str:
    """Why today's bounds refuse a rule set; "" where they do not."""
    return "; ".join(parsing.check_rule_set(rule) + parsing.length_faults(rule))


def fleet(teams: int, placers: int, seed: int) -> Iterator[Figure]:
    """One fleet with so many limits: as it is where today's bounds allow them, and with the bounds lifted."""
    wanted = rule_set(placers, team_limits(teams, names_of(placers)))
    accepted, where = not refusal(wanted), f", {placers} placers"
    yield Figure("member", f"rule set{where}", "B", len(wanted.text()))
    yield Figure("leader", f"limits in force{where}", "limits", teams if accepted else 0)
    if not accepted and teams * placers > LIFTED_BLOCKS_MOST:
        return
    with nullcontext() if accepted else lifted_bounds():
        for each in costs(teams, placers, wanted, seed):
            if accepted:
                yield replace(each, measure=each.measure + where)
            yield replace(each, measure=f"{each.measure}{where}, bounds lifted")


def costs(teams: int, placers: int, wanted: RuleSet, seed: int) -> Iterator[Figure]:
    """What so many limits cost."""
    found = founded(placers, seed, rule_set(placers, ()))
    other = rule_set(placers, team_limits(teams, names_of(placers), most=3 * USES * placers))
    yield from _changes(found, wanted, other)
    yield from steady(found, SPAN_S)
    yield from _sizes(found)


def _changes(found: Agreements, wanted: RuleSet, other: RuleSet) -> Iterator[Figure]:
    """How long it takes to bring the limits in, and to change one of them; and the largest letters meanwhile."""
    with found.meter.metering():
        yield from spread("member", "time until in force, limits added", "s", found.change(wanted))
        found.run(found.now_us + MOVES_US)
        yield from spread(
            "member", "time until in force, one limit changed", "s", found.change(other)
        )
    for name, kind in LETTERS.items():
        yield Figure("leader", f"largest letter: {name}", "B", found.meter.largest[kind])
    yield Figure("leader", "letters refused", "letters", sum(found.meter.refused.values()))


def _sizes(found: Agreements) -> Iterator[Figure]:
    """What the voters' state takes: in a snapshot, whole, and what of it is the chapter of blocks."""
    member = found.members[found.leader() or found.voters[0]]
    assert member.raft is not None
    member.rule_set_state.subsystem_snapshots |= {
        name: each.snapshot() for name, each in member.subsystems.items()
    }
    disk = member.raft.persistent
    install = InstallSnapshot(
        disk.term,
        disk.last_log_index,
        disk.term,
        " ".join(disk.snapshot_voters),
        member.rule_set_state.text(),
        1,
    )
    yield Figure("voter", "snapshot", "B", len(message.encode_message(install)))
    yield Figure("voter", "snapshot: blocks", "B", mailed(member.allocations.snapshot()))
    yield Figure("voter", "log", "B", sum(len(each.body) for each in disk.log))
    yield Figure(
        "leader",
        "blocks",
        "blocks",
        sum(len(each.by_holder) for each in member.allocations.allocations.values()),
    )


def mailed(text: str) -> int:
    """The size of a chapter's text in a mail with a snapshot: a text within a text within a text."""
    return len(json.dumps(json.dumps(text)))


def most_allowed(allowed: Callable[[int], bool]) -> int:
    """The largest number of teams that is allowed, up to `TEAMS_TRIED_MOST`."""
    low, high = 0, TEAMS_TRIED_MOST
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if allowed(middle) else (low, middle)
    return low


def blocks_mailed(teams: int, placers: int) -> int:
    """The size of the blocks of so many teams and placers in a snapshot."""
    made = allocations.AllocationLedger(1)
    made.incarnations = dict.fromkeys(names_of(placers), 1)
    made.allocations = {
        each.key: LimitAllocations(dict.fromkeys(names_of(placers), Allocation(2 * USES, 2 * USES)))
        for each in team_limits(teams, ["p000"])
    }
    return mailed(made.snapshot())


def bounds(placers: int) -> Iterator[Point]:
    """The most teams that each bound allows: a point whose size is that number."""
    names = names_of(placers)

    def count(teams: int) -> bool:
        return not limits.check_limits(team_limits(teams, names))

    def text(teams: int) -> bool:
        return not parsing.length_faults(rule_set(placers, team_limits(teams, names)))

    found = {
        "the number of limits": count,
        "the length of a rule set": text,
        "the number of blocks": lambda teams: teams * placers <= allocations.MAX_ALLOCATIONS,
        "the chapters' part of a snapshot": lambda teams: blocks_mailed(teams, placers)
        <= MAX_SUBSYSTEMS_CHARS,
        "the size of a mail (blocks alone)": lambda teams: blocks_mailed(teams, placers)
        <= MAX_MESSAGE_BYTES,
    }
    for words, allowed in found.items():
        most = most_allowed(allowed)
        yield Point(
            "leader",
            "teams",
            max(1, most),
            f"teams allowed by {words}, {placers} placers",
            "teams",
            most,
        )


def measure(sizes: Sequence[int]) -> Iterator[Point]:
    """Points of each size, then the bounds."""
    for size in sizes:
        for placers in PLACERS:
            yield from repeated(
                "teams",
                size,
                lambda seed, size=size, placers=placers: (  # type: ignore[misc]
                    fleet(size, placers, seed)
                ),
                seeds=SEEDS if placers == PLACERS[0] else 1,
            )
    for placers in PLACERS_TRIED:
        yield from bounds(placers)
