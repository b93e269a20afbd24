"""What grows with the number of placers: membership, and agreement on rules with three fleet limits.

`member`: SWIM alone (measures with ", membership"), and a placer that does not vote (", agreement"); `voter`,
`leader`: agreement. At rest, for `SPAN_S` of the virtual clock. Over `member_table.MAX_MEMBERS` other members a table
has no room: who finds none stays unknown there ("members not known"), while agreement, which goes by the names in
rules, takes them all. What ends that is the length of a rule set with three limits, which names each placer three
times: "placers whose rule set with three limits is accepted", for names of four letters.

Descriptors are those of the first minute after all started together: every voter has then been asked for the leader by
everybody, and a member has probed as many others as seconds have passed. Later a voter's are fewer, and a member has a
connection in its pool for each other member, up to `mailbox.MAX_ADDRESSES`.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from benchmarks.capacity.fleet import QUIET_US, founded, in_force, rule_set, steady, three_limits
from benchmarks.capacity.gather import MB, Figure, accounted, repeated
from benchmarks.capacity.metered import DECISIONS, READ, WRITTEN, Meter, Metered, held_bytes
from benchmarks.capacity.results import Point
from wingbarrow.decide.membership.member_table import MAX_MEMBERS
from wingbarrow.decide.membership.messages import MemberStatus
from wingbarrow.decide.membership.swim import Membership
from wingbarrow.decide.rulesets.parsing import length_faults
from wingbarrow.lab.fleet.simulation import SECOND, MembershipSimulation

DEFAULT_SIZES = (5, 16, 64, 170, 256, 300)
SPAN_S, SHORT_SPAN_S = 10, 5
JOIN_MOST_US = 300 * SECOND
BEYOND_S = 60  # how long more placers than a table has room for are given to find each other
PLACERS_TRIED_MOST = 1 << 13


class Members(Metered[Membership], MembershipSimulation):
    """Memberships, metered."""

    def __init__(self, count: int, seed: int) -> None:
        self.meter = Meter()
        super().__init__(count, seed)

    def unknown(self, name: str) -> int:
        """How many others that live one does not hold for alive."""
        table = self.members[name].table
        return (
            len(self.members)
            - 1
            - sum(each.status is MemberStatus.ALIVE for each in table.members.values())
        )

    def all_known(self) -> bool:
        """Whether everybody holds all others for alive."""
        return not any(map(self.unknown, self.members))


def membership(count: int, seed: int) -> Iterator[Figure]:
    """One swarm: how it joins, what it costs at rest, how it learns of a death."""
    swarm = Members(count, seed)
    fits = count - 1 <= MAX_MEMBERS
    if fits:
        if not swarm.run_until(swarm.all_known, JOIN_MOST_US):
            raise RuntimeError(f"{count} placers, seed {seed}: they do not find each other")
        yield Figure("member", "time until all know each other", "s", swarm.now_us / SECOND)
    else:
        swarm.run(BEYOND_S * SECOND)
    with swarm.meter.metering():
        swarm.run(swarm.now_us + SPAN_S * SECOND)
    yield from accounted(
        "member",
        [swarm.meter.accounts[name] for name in swarm.names],
        SPAN_S,
        (DECISIONS, WRITTEN, READ),
        ", membership",
    )
    one = swarm.names[-1]
    yield Figure("member", "memory held, membership", "MB", held_bytes(swarm.members[one]) / MB)
    yield Figure(
        "member",
        "descriptors, membership",
        "descriptors",
        swarm.meter.descriptors(one, swarm.now_us),
    )
    yield Figure("member", "members not known", "members", max(map(swarm.unknown, swarm.names)))
    if fits:
        yield from death(swarm, seed)


def death(swarm: Members, seed: int) -> Iterator[Figure]:
    """One is killed: until the first holds it for dead, and until all do."""
    gone, begun = swarm.names[seed % len(swarm.names)], swarm.now_us
    swarm.kill(gone)
    most = 2 * swarm.rules.detection_bound_us(len(swarm.names))
    if not swarm.run_until(lambda: swarm.all_see(gone, MemberStatus.DEAD), most):
        raise RuntimeError(f"{len(swarm.names)} placers, seed {seed}: a death is not found")
    times = [
        (each.at_us - begun) / SECOND
        for each in swarm.deaths(begun)
        if each.fields["member"] == gone
    ]
    yield Figure("member", "time until a death is known, first", "s", min(times))
    yield Figure("member", "time until a death is known, all", "s", max(times))


def agreement(count: int, seed: int) -> Iterator[Figure]:
    """One fleet: what it costs at rest, with limits in plenty and short of them, and how long changes take."""
    fleet = founded(count, seed, first := rule_set(count, ()))
    limits = three_limits(fleet.names)
    yield from in_force(fleet, "three limits added", with_limits := rule_set(count, limits))
    fleet.run(fleet.now_us + QUIET_US)
    yield from steady(fleet, SPAN_S)
    yield Figure("member", "rule set", "B", len(with_limits.text().encode()))
    yield Figure("member", "rule set without limits", "B", len(first.text().encode()))
    yield from in_force(fleet, "one step", rule_set(count, limits, most=4))
    yield from in_force(fleet, "two steps", rule_set(count, limits, most=2, offers=40))
    fleet.short = True
    fleet.run(fleet.now_us + QUIET_US)
    yield from steady(fleet, SHORT_SPAN_S, ", limits short")


def placers_most() -> int:
    """The most placers, of names of four letters, whose rule set with three limits is short enough to be accepted."""

    def accepted(count: int) -> bool:
        return not length_faults(
            rule_set(count, three_limits([f"p{index:03d}" for index in range(count)]))
        )

    low, high = 1, PLACERS_TRIED_MOST
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if accepted(middle) else (low, middle)
    return low


def measure(sizes: Sequence[int]) -> Iterator[Point]:
    """Points of each size."""
    for size in sizes:
        yield from repeated("placers", size, lambda seed, size=size: membership(size, seed))  # type: ignore[misc]
        yield from repeated("placers", size, lambda seed, size=size: agreement(size, seed))  # type: ignore[misc]
    most = placers_most()
    yield Point(
        "voter",
        "placers",
        most,
        "placers whose rule set with three limits is accepted",
        "placers",
        most,
    )
