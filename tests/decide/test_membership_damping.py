"""Damped membership: flaps, many deaths at once, partitions and healing, and how often the set changes."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from wingbarrow.decide.membership_damping import LEAVE_AFTER_US, SETTLE_US, DampedMembership
from wingbarrow.decide.subsets import SubsetRules, Subsets

S = 1_000_000
TICK_US = 100_000
ROSTER = tuple(f"placer-{index:02}" for index in range(24))
ALL = frozenset(ROSTER)
ME = ROSTER[0]
MACHINES = tuple(f"node-{index:04}" for index in range(400))
LEAVE_US, SETTLE_TIME_US = 10 * S, 2 * S


def view_of(name: str = ME) -> DampedMembership:
    return DampedMembership(name, ROSTER, LEAVE_US, SETTLE_TIME_US)


# -- one placer


def test_every_member_is_live_at_first() -> None:
    view = view_of()
    assert view.live_members(0) == ALL
    assert view.next_change_us() is None


@pytest.mark.parametrize("unknown", [frozenset(), frozenset({"stranger"})])
def test_every_member_is_live_while_none_is_known(unknown: frozenset[str]) -> None:
    view = view_of()
    view.on_members(0, unknown)
    assert view.next_change_us() is None
    assert view.live_members(100 * S) == ALL
    view.on_members(100 * S, ALL - {ROSTER[1]})
    assert view.live_members(110 * S) == ALL - {ROSTER[1]}
    view.on_members(120 * S, unknown)
    assert view.next_change_us() == 112 * S
    assert view.live_members(120 * S) == ALL


def test_a_dead_member_leaves_after_the_delay_and_returns_at_once() -> None:
    view = view_of()
    view.on_members(5 * S, ALL - {ROSTER[1]})
    assert view.next_change_us() == 15 * S
    assert view.live_members(15 * S - 1) == ALL
    assert view.live_members(15 * S) == ALL - {ROSTER[1]}
    assert view.next_change_us() is None
    view.on_members(60 * S, ALL)
    assert view.live_members(60 * S) == ALL
    assert view.next_change_us() is None


def test_repeated_reports_do_not_delay_a_change() -> None:
    view = view_of()
    for now_us in range(0, 10 * S, S):
        view.on_members(now_us, ALL - {ROSTER[1]})
    assert view.next_change_us() == 10 * S
    assert view.live_members(10 * S) == ALL - {ROSTER[1]}


def test_a_flap_shorter_than_the_delay_changes_nothing() -> None:
    view = view_of()
    for now_us in range(0, 300 * S, 12 * S):
        view.on_members(now_us, ALL - {ROSTER[1]})
        assert view.live_members(now_us + 9 * S) == ALL
        view.on_members(now_us + 10 * S, ALL)  # reported before the due change was applied
        assert view.live_members(now_us + 10 * S) == ALL
        assert view.next_change_us() is None


def test_changes_within_a_settle_time_are_applied_together() -> None:
    view = view_of()
    gone = set[str]()
    for index in range(1, 9):
        gone.add(ROSTER[index])
        view.on_members(index * S // 4, ALL - gone)
    assert view.next_change_us() == S // 4 + LEAVE_US
    first = view.live_members(S // 4 + LEAVE_US)
    assert first == ALL - {ROSTER[1]}
    assert view.next_change_us() == S // 4 + LEAVE_US + SETTLE_TIME_US, (
        "the other changes wait for the settle time"
    )
    assert view.live_members(S // 4 + LEAVE_US + SETTLE_TIME_US - 1) == first
    assert view.live_members(S // 4 + LEAVE_US + SETTLE_TIME_US) == ALL - gone
    assert view.next_change_us() is None


def test_the_first_change_waits_for_no_settle_time() -> None:
    view = DampedMembership(ME, ROSTER, 0, SETTLE_TIME_US)
    view.on_members(S, ALL - {ROSTER[1]})
    assert view.next_change_us() == S
    assert view.live_members(S) == ALL - {ROSTER[1]}


def test_a_returning_member_waits_only_for_the_settle_time() -> None:
    view = view_of()
    view.on_members(0, ALL - {ROSTER[1]})
    without = view.live_members(10 * S)
    view.on_members(11 * S, ALL)
    assert view.next_change_us() == 12 * S
    assert view.live_members(12 * S - 1) == without
    assert view.live_members(12 * S) == ALL


def test_a_member_that_returns_and_dies_within_a_settle_time_stays_out() -> None:
    view = view_of()
    view.on_members(0, ALL - {ROSTER[1]})
    without = view.live_members(10 * S)
    view.on_members(10 * S + 1, ALL)
    view.on_members(10 * S + 2, ALL - {ROSTER[1]})
    assert view.next_change_us() is None
    assert view.live_members(12 * S) == without
    assert view.live_members(60 * S) == without


def test_the_own_name_is_always_in_the_set() -> None:
    view = view_of()
    view.on_members(0, ALL - {ME})
    assert view.live_members(60 * S) == ALL
    view.on_members(60 * S, frozenset({ME}))
    assert view.live_members(100 * S) == {ME}, "a placer that knows that it is alone"


def test_names_outside_the_roster_are_ignored() -> None:
    view = view_of()
    view.on_members(0, ALL | {"stranger"})
    assert view.live_members(60 * S) == ALL
    assert view.next_change_us() is None


def test_state_is_bounded_by_the_roster() -> None:
    view = view_of()
    rng = random.Random(3)
    for turn in range(2000):
        strangers = {f"stranger-{turn}-{index}" for index in range(5)}
        view.on_members(turn * S, frozenset(rng.sample(ROSTER, 12)) | strangers)
        assert view.live_members(turn * S) <= ALL
    assert len(view._dead_since_us) <= len(ROSTER)
    assert set(view._dead_since_us) <= ALL


@pytest.mark.parametrize(
    ("me", "leave_us", "span_us", "key"),
    [("stranger", 0, 0, "roster"), (ME, -1, 0, "leave-after"), (ME, 0, -1, "settle")],
)
def test_invalid_arguments_raise(me: str, leave_us: int, span_us: int, key: str) -> None:
    with pytest.raises(ValueError, match=key):
        DampedMembership(me, ROSTER, leave_us, span_us)


def test_default_times() -> None:
    view = DampedMembership(ME, ROSTER)
    view.on_members(0, ALL - {ROSTER[1]})
    assert view.next_change_us() == LEAVE_AFTER_US == 10 * S
    assert SETTLE_US == 2 * S


# Of each report: ticks since the previous one, and the members that it names as live.
Reports = list[tuple[int, frozenset[str]]]
report_lists = st.lists(
    st.tuples(st.integers(0, 60), st.frozensets(st.sampled_from(ROSTER[:6] + ("stranger",)))),
    max_size=25,
)


@hypothesis_settings(max_examples=200)
@given(report_lists)
def test_the_bounds_hold_for_any_reports(events: Reports) -> None:
    """Queried at each tick: at most one change per settle time, no later than stated, and only when announced.

    `next_change_us` announces each change.
    """
    roster = ROSTER[:6]
    view = DampedMembership(ME, roster, LEAVE_US, SETTLE_TIME_US)
    now_us, changed_us, held, reported = 0, -SETTLE_TIME_US, frozenset(roster), frozenset(roster)
    reported_us = dict.fromkeys(roster, 0)  # since when each has been reported as it is now
    for ticks, members in [*events, (0, frozenset(roster)), (400, frozenset(roster))]:
        for _ in range(ticks):
            due_us = view.next_change_us()
            live = view.live_members(now_us)
            assert ME in live
            assert live <= frozenset(roster)
            if live != held:
                assert due_us is not None
                assert due_us <= now_us
                assert now_us - changed_us >= SETTLE_TIME_US
                assert all(now_us - reported_us[name] >= LEAVE_US for name in held - live)
                held, changed_us = live, now_us
            else:
                assert due_us is None or due_us > now_us
            for name in roster:
                wait_us = SETTLE_TIME_US + (0 if name in reported else LEAVE_US)
                assert now_us - reported_us[name] <= wait_us or (name in held) == (name in reported)
            now_us += TICK_US
        present = (
            (members & frozenset(roster) | {ME})
            if members & frozenset(roster)
            else frozenset(roster)
        )
        reported_us.update(dict.fromkeys(present ^ reported, now_us))
        reported = present
        view.on_members(now_us, members)
    assert held == frozenset(roster)


# -- many placers: which machines they hold


class Region:
    """Placers with one damped membership each. `sees`: by placer, the members reported to it as live once detected."""

    DETECTED_US = 3 * S

    def __init__(self) -> None:
        self.now_us = 0
        self.subsets = Subsets(SubsetRules(ROSTER, 3))
        self.views = {name: view_of(name) for name in ROSTER}
        self.changes = dict.fromkeys(ROSTER, 0)
        self.held = dict.fromkeys(ROSTER, ALL)

    def play(
        self,
        lasts_us: int,
        sees: dict[str, frozenset[str]],
        check: Callable[[], None] | None = None,
    ) -> None:
        """Run for `lasts_us`; placers missing in `sees` are dead.

        Reports reach placers at slightly different times. `check` is called at each tick.
        """
        for at_us in range(0, lasts_us, TICK_US):
            for index, name in enumerate(sees):
                if at_us == self.DETECTED_US + index % 5 * TICK_US:
                    self.views[name].on_members(self.now_us, sees[name])
                live = self.views[name].live_members(self.now_us)
                self.changes[name] += live != self.held[name]
                self.held[name] = live
            if check is not None:
                check()
            self.now_us += TICK_US

    def holders(self, machine: str, among: frozenset[str]) -> set[str]:
        return {name for name in among if self.subsets.holds(name, machine, self.held[name])}


def all_see(live: frozenset[str]) -> dict[str, frozenset[str]]:
    return dict.fromkeys(sorted(live), live)


def test_a_third_of_the_placers_dies_at_once_and_returns() -> None:
    region, rest = Region(), ALL - set(ROSTER[8:16])
    before = {machine: region.holders(machine, ALL) for machine in MACHINES}
    region.play(5 * S, all_see(rest))  # declared dead, and still in the set
    assert all(
        region.holders(machine, rest) == before[machine] - set(ROSTER[8:16]) for machine in MACHINES
    )
    region.play(Region.DETECTED_US + S + LEAVE_US + SETTLE_TIME_US - 5 * S, all_see(rest))
    assert all(len(region.holders(machine, rest)) == 3 for machine in MACHINES), (
        "three holders again within the stated time"
    )
    assert set(region.changes[name] for name in rest) == {1}, "one change for eight deaths"
    region.play(30 * S, all_see(ALL))
    assert all(region.holders(machine, ALL) == before[machine] for machine in MACHINES)


def test_while_some_holders_are_dead_the_others_hold() -> None:
    region, dead = Region(), frozenset(ROSTER[8:16])
    before = {machine: region.holders(machine, ALL) for machine in MACHINES}

    def enough() -> None:
        for machine in MACHINES[::5]:
            assert len(region.holders(machine, ALL - dead)) >= 3 - len(before[machine] & dead)

    region.play(20 * S, all_see(ALL - dead), enough)
    assert all(region.held[name] == ALL - dead for name in ALL - dead)


@pytest.mark.parametrize("size", [1, 2, 5, 12])
def test_a_partition_and_its_healing(size: int) -> None:
    region, one, other = Region(), frozenset(ROSTER[:size]), frozenset(ROSTER[size:])
    before = {machine: region.holders(machine, ALL) for machine in MACHINES}
    region.play(Region.DETECTED_US + S + LEAVE_US + SETTLE_TIME_US, all_see(one) | all_see(other))
    for machine in MACHINES:
        assert len(region.holders(machine, one)) == min(3, size)
        assert len(region.holders(machine, other)) == 3
        assert before[machine] <= region.holders(machine, ALL), "the first ranks hold on both sides"

    def first_ranks_hold() -> None:
        for machine in MACHINES[::10]:
            assert before[machine] <= region.holders(machine, ALL)

    region.play(Region.DETECTED_US + S + SETTLE_TIME_US, all_see(ALL), first_ranks_hold)
    assert all(region.holders(machine, ALL) == before[machine] for machine in MACHINES)


def test_live_first_ranks_hold_their_machines_in_any_views() -> None:
    region, rng = Region(), random.Random(11)
    for _ in range(40):
        up = frozenset(rng.sample(ROSTER, rng.randrange(1, 25)))
        region.play(
            5 * S,
            {
                name: frozenset(rng.sample(ROSTER, rng.randrange(24))) | {name}
                for name in sorted(up)
            },
        )
        for machine in MACHINES[:40]:
            assert set(region.subsets.ranking(machine)[:3]) & up <= region.holders(machine, up)
