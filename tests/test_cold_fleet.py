"""Rule 4 under the sum of all placers, with real schedulers in the model of coldfleet.py.

For N = `fresh_offers`, P placers and a machine of id m, placer i's share is

    share(i) = floor(N) // P + (1 if (i + m) % P < floor(N) % P else 0),    and the sum over all i is floor(N).

Stated bound: within any span of `fall_us`, a start of a machine that is cold gets at most floor(N) offers from placers
that had been told of that start when they sent, whatever lives those placers had. Once all have been told, that is all
it gets, so that N + 2 * sqrt(N) + 2 is never passed. The judge counts arrivals at the machine and shares no code with
the module. Where a machine stands still, with offers unread in its sockets, the bound is stated for `arrivals_told`
alone, and for placers that live on.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from tests.coldfleet import (
    MS,
    START_US,
    ColdFleet,
    Fate,
    Offer,
    Process,
    Reached,
    Rule,
    most_within,
)
from tests.conftest import S
from wingbarrow import interface as api

M = 1  # the machine that starts
ENDS = (
    api.Outcome.REFUSED,
    api.Outcome.UNREACHABLE,
    api.Outcome.NOT_SENT,
    api.Outcome.TIMED_OUT,
    api.Outcome.BROKEN,
    api.Outcome.ERROR,
)
AT = st.integers(0, 4000).map(lambda ms: ms * MS)
HAPPENINGS = st.one_of(
    st.tuples(st.just("crowd"), AT, st.integers(1, 10), st.sampled_from((0.01, 0.5, 25.0))),
    st.tuples(st.just("crowd"), AT, st.integers(1, 10), st.just(0.01)),
    st.tuples(st.just("placer"), AT, st.integers(0, 31), st.just(0.0)),
    st.tuples(
        st.just("machine"), AT, st.integers(0, 60), st.just(0.0)
    ),  # its skew: so many ms ahead
    st.tuples(st.just("other"), AT, st.integers(2, 3), st.just(0.0)),
    st.tuples(st.just("away"), AT, st.integers(1, 1500), st.just(0.0)),
    st.tuples(st.just("gone"), AT, st.integers(1, 1500), st.just(0.0)),
    st.tuples(st.just("still"), AT, st.integers(100, 3000), st.just(0.0)),
)


@dataclass(frozen=True)
class Play:
    """What the judge is shown: figures, delays of the list, and happenings in any order."""

    rule: Rule
    delays: tuple[int, ...]
    seed: int
    trouble: (
        float  # the part of offers that do not end as placed, or wait too long for a connection
    )
    warm: bool  # the machine ran before, and is known
    happenings: tuple[tuple[str, int, int, float], ...]

    def fleet(self) -> ColdFleet:
        chance, wait_us = random.Random(self.seed), self.rule.wait_us

        def fate(_: Offer) -> Fate:
            if chance.random() >= self.trouble:
                waits_us = chance.choice((0, wait_us, chance.randint(0, wait_us)))
                return Fate(waits_us, None, chance.choice((1, 2, 50)) * MS)
            return Fate(
                chance.choice((0, wait_us + 1, chance.randint(0, 3 * wait_us))),
                chance.choice(ENDS),
                chance.choice((1, 2, 50, 700)) * MS,
            )

        return ColdFleet(self.rule, fate, self.delays)

    def run(self) -> ColdFleet:
        fleet = self.fleet()
        if self.warm:
            fleet.start(M, launched_us=0)
        begin = START_US + 3 * S
        fleet.run(begin)
        lives = {what for what, *_ in self.happenings}
        for what, at_us, size, cores in (
            ("machine", 900 * MS, 0, 0.0),
            ("crowd", S, 8, 0.01),
            *self.happenings,
        ):
            if what == "still" and ("placer" in lives or not self.rule.arrivals_told):
                continue  # what lies unread there is forgotten with a placer's life, or not known at all
            fleet.at(begin + at_us, lambda one=(what, size, cores): happen(fleet, *one))
        fleet.run(begin + 5 * S)
        return fleet


def happen(fleet: ColdFleet, what: str, size: int, cores: float) -> None:
    running = M in fleet.address
    if what == "crowd":
        for index in range(fleet.rule.placers):
            name = ("web", "web", "key", "once")[(index + size) % 4]
            fleet.arrive(
                index, size if index % 3 else 1 + size // 3, cores, 300 * MS + size * 150 * MS, name
            )
    elif what == "placer":
        fleet.restart_placer(size % fleet.rule.placers)
    elif what == "machine":
        fleet.start(M, address="a1", skew_us=size * MS if size % 2 else 0)
    elif what == "other":
        fleet.start(size, address="a1")
    elif what == "still":
        if running:
            fleet.process["a1"].still_until_us = fleet.now + size * MS
    elif running and fleet.process["a1"].machine == M:
        fleet.leave(M, whole=what == "gone")
        fleet.at(fleet.now + size * MS, lambda: fleet.come_back(M))


PLAYS = st.builds(
    Play,
    st.builds(
        Rule,
        st.integers(1, 32),
        st.one_of(st.integers(0, 64).map(float), st.sampled_from((7.9, 0.5, 31.99))),
        st.sampled_from((S, 3 * S, 18 * S)),
        st.sampled_from((200 * MS, 500 * MS, 2 * S)),
        st.booleans(),
    ),
    st.lists(
        st.sampled_from((0, 0, 1, 40, 300, 1100)).map(lambda ms: ms * MS), min_size=1, max_size=5
    ).map(tuple),
    st.integers(0, 10**6),
    st.sampled_from((0.0, 0.0, 0.1, 0.7)),
    st.booleans(),
    st.lists(HAPPENINGS, min_size=2, max_size=9).map(tuple),
)


def judge(fleet: ColdFleet) -> list[str]:
    """Breaches of the stated bound and of the fall, told in words."""
    rule, found = fleet.rule, list[str]()
    for process in fleet.starts():
        told, anyone = fleet.told_within(process), fleet.all_within(process)
        if told > rule.bound:
            found.append(f"{told} offers from told placers, {rule.bound} is the bound")
        if anyone > rule.fall:
            found.append(f"{anyone} offers with all told, it falls above {rule.fall}")
    return found


@given(PLAYS)
@profile(max_examples=25)
def test_a_cold_machine_gets_no_more_than_its_bound_from_all_placers(play: Play) -> None:
    assert judge(play.run()) == []


def cold_fleet(rule: Rule, warm: bool = False, **more: Any) -> ColdFleet:
    """All placers past their own start's pause, on a list with, or without, the machine as one long up."""
    fleet = ColdFleet(rule, **more)
    if warm:
        fleet.start(M, launched_us=0)
    fleet.run(START_US + 3 * S)
    return fleet


def crowd(fleet: ColdFleet, size: int = 40, wait_us: int = 5 * S) -> None:
    for index in range(fleet.rule.placers):
        fleet.arrive(index, size, wait_us=wait_us)


def run_for(fleet: ColdFleet, us: int) -> None:
    fleet.run(fleet.now + us)


def by_placer(fleet: ColdFleet, process: Process) -> Counter[int]:
    return Counter(each.placer for each in fleet.reached if each.process is process)


def test_the_judge_finds_one_offer_too_many_and_no_less() -> None:
    for fresh in (0.0, 1.0, 7.9, 20.0, 64.0):
        rule = Rule(4, fresh, fall_us=2 * S)
        for extra, told, words in (
            (0, rule.bound, ""),
            (1, rule.bound, "falls"),
            (0, rule.bound + 1, "told placers"),
        ):
            fleet = ColdFleet(rule)
            process = fleet.start(M)
            for turn in range(int(rule.fall) + extra):
                at_us = fleet.now + turn * rule.fall_us // (int(rule.fall) + extra)
                fleet.reached.append(Reached(at_us, process, 0, turn < told, at_us))
            found = judge(fleet)
            assert bool(found) == bool(words) and words in "".join(found), (fresh, extra, told)


def test_the_judge_finds_a_placer_that_takes_more_than_its_share() -> None:
    fleet = cold_fleet(Rule(4, 20.0))
    process = fleet.start(M)
    crowd(fleet, 25, 2 * S)
    fleet.placers[2].feed(
        replace(fleet.rule.config(0), placers=1)
    )  # it takes all twenty for itself
    run_for(fleet, 2 * S)
    assert by_placer(fleet, process)[2] == 20
    assert len(judge(fleet)) == 2, "thirty-five: past the bound, and past the fall's 30.9"


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize(
    ("placers", "fresh"), [(1, 6.0), (3, 7.9), (16, 20.0), (30, 64.0), (32, 32.0)]
)
def test_each_placer_with_work_gets_its_share_through_span_after_span(
    placers: int, fresh: float, told: bool
) -> None:
    """Work not done would show: where floor(N) >= P, nobody's ramp is held shut."""
    rule = Rule(placers, fresh, arrivals_told=told)
    chance = random.Random(placers)
    fleet = cold_fleet(
        rule, fate=lambda _: Fate(chance.randint(0, rule.wait_us)), delays=(0, 40 * MS, 300 * MS)
    )
    process = fleet.start(M)
    crowd(fleet, 2 * (rule.bound // placers + 1))
    shares = Counter(
        {
            index: rule.bound // placers + ((index + M) % placers < rule.bound % placers)
            for index in range(placers)
        }
    )
    run_for(fleet, 300 * MS + rule.wait_us + 500 * MS)
    assert by_placer(fleet, process) == shares
    assert shares.total() == rule.bound
    run_for(fleet, rule.fall_us * 5 // 4 + 500 * MS)
    twice = by_placer(fleet, process)
    assert all(twice[index] == 2 * share for index, share in shares.items())
    assert judge(fleet) == []


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("delay_ms", [0, 300])
def test_a_placer_that_restarts_while_the_machine_is_cold(delay_ms: int, told: bool) -> None:
    """Suspicion (a): the next life knows nothing of what the former one sent; it takes its share as spent."""
    fleet = cold_fleet(
        Rule(4, 16.0, arrivals_told=told),
        delays=(delay_ms * MS,),
        fate=lambda offer: Fate(250 * MS if offer.placer.index == 0 else 0),
    )
    process = fleet.start(M)
    crowd(fleet, 12)
    run_for(fleet, (delay_ms + 60) * MS)
    fleet.restart_placer(0)  # its four offers wait for connections, and go out all the same
    fleet.arrive(0, 12)
    run_for(fleet, 2 * S)
    assert by_placer(fleet, process) == dict.fromkeys(range(4), 4)
    run_for(fleet, 2 * S)
    assert by_placer(fleet, process)[0] == 8
    assert judge(fleet) == []
    for _ in range(4):
        fleet.restart_placer(0)
        fleet.arrive(0, 12)
        run_for(fleet, 700 * MS)
    assert by_placer(fleet, process)[0] == 8
    assert judge(fleet) == []


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("placers", [8, 30])
def test_offers_chosen_before_the_machine_restarted_do_not_reach_its_next_process(
    placers: int, told: bool
) -> None:
    """Suspicion (b): they wait for a connection when the restart is told, and the module counted none of them."""
    reached: dict[bool, int] = {}
    for held in (False, True):
        fleet = cold_fleet(
            Rule(placers, 20.0, arrivals_told=told),
            warm=True,
            held_on_restart=held,
            fate=lambda offer: Fate(250 * MS if offer.chosen_us == 0 else 0),
        )
        crowd(fleet, 8)
        run_for(fleet, 200 * MS)
        process = fleet.start(M)
        run_for(fleet, S)
        reached[held] = fleet.told_within(process)
        assert bool(judge(fleet)) != held
    assert reached == {False: 20 + 4 * placers, True: 20}


def test_fewer_offers_than_placers_are_still_dealt_out_once() -> None:
    """Suspicion (c)."""
    for fresh in (7.9, 1.0, 0.5, 0.0):
        fleet = cold_fleet(Rule(32, fresh))
        process = fleet.start(M)
        crowd(fleet, 4)
        run_for(fleet, S)
        sent = by_placer(fleet, process)
        assert sent.total() == int(fresh) and set(sent.values()) <= {1}, fresh
        assert set(sent) == {(turn - M) % 32 for turn in range(int(fresh))}


def test_a_span_much_shorter_than_a_dial() -> None:
    """Suspicion (d): what waits for a dial of 80 ms is stale after 25 ms; an open connection takes the next ones."""
    up: dict[int, int] = {}

    def fate(offer: Offer) -> Fate:
        ready_us = up.setdefault(offer.placer.index, offer.decided_us + 80 * MS)
        return Fate(max(0, ready_us - offer.decided_us))

    fleet = cold_fleet(Rule(8, 20.0, fall_us=200 * MS), fate=fate)
    process = fleet.start(M)
    crowd(fleet, 40)
    run_for(fleet, 240 * MS)
    assert not fleet.reached
    assert fleet.held == {"stale": 20}
    run_for(fleet, 100 * MS)
    assert by_placer(fleet, process).total() == 20, "one span later, and not after more"
    run_for(fleet, 4 * S)
    assert by_placer(fleet, process).total() >= 20 * 13
    assert judge(fleet) == []


@pytest.mark.parametrize(("told", "part"), [(False, 0.5), (True, 0.9)])
def test_offers_that_were_not_sent_do_not_hold_the_ramp_shut(told: bool, part: float) -> None:
    """Suspicion (e): half of the dials fail. Without word of arrivals what failed stays counted, and that part of the
    budget is lost; with it, it is given back."""
    chance = random.Random(5)
    fleet = cold_fleet(
        Rule(8, 40.0, arrivals_told=told),
        fate=lambda _: Fate(0, api.Outcome.NOT_SENT if chance.random() < 0.5 else None),
    )
    process = fleet.start(M)
    for _ in range(4):
        crowd(fleet, 12, 1500 * MS)
        run_for(fleet, fleet.rule.fall_us * 5 // 4)
    sent = by_placer(fleet, process)
    assert set(sent) == set(range(8))
    assert judge(fleet) == []
    assert 0.8 * part <= sent.total() / (4 * 40) <= 1.0, sent.total()


@pytest.mark.parametrize("skew_us", [MS, S, 3600 * S, -S])
def test_a_start_told_by_another_clock(skew_us: int) -> None:
    """Suspicion (f): ahead, the machine counts as cold for longer; behind, for that much less: none can know better."""
    rule = Rule(8, 20.0, cold_us=5 * S, fall_us=S)
    fleet = cold_fleet(rule)
    process = fleet.start(M, skew_us=skew_us)
    ends_us = process.listed_us + rule.cold_us
    while fleet.now < START_US + 8 * S:
        crowd(fleet, 8, S)
        run_for(fleet, S)
    times = [each.at_us for each in fleet.reached if each.at_us < ends_us]
    assert most_within(times, rule.fall_us) == rule.bound, "not more, nor shut"
    assert skew_us < 0 or judge(fleet) == []


@pytest.mark.parametrize("quiet_ms", [1, 900])
@pytest.mark.parametrize("told", [False, True])
def test_a_machine_that_restarts_twice_within_a_span(told: bool, quiet_ms: int) -> None:
    """Suspicion (g): offers to all its starts together stay within the bound, however late connections end."""
    fleet = cold_fleet(
        Rule(8, 20.0, arrivals_told=told), fate=lambda _: Fate(50 * MS, None, 200 * MS)
    )
    fleet.quiet_us = quiet_ms * MS
    for _ in range(3):
        fleet.start(M)
        crowd(fleet, 10)
        run_for(fleet, 150 * MS)
    assert judge(fleet) == []
    assert fleet.told_within_machine(M) == 20


def test_a_start_read_anew_by_a_clock_that_moved_is_no_second_start() -> None:
    """The list is told again with the start some microseconds later: what is out still counts."""
    fleet = cold_fleet(Rule(8, 20.0, arrivals_told=True), fate=lambda _: Fate(0, None, S))
    process = fleet.start(M)
    for turn in range(1, 6):
        crowd(fleet, 10)
        run_for(fleet, 150 * MS)
        fleet.come_back(M, shift_us=turn)
    assert fleet.told_within(process) == 20
    assert judge(fleet) == []


@pytest.mark.parametrize("whole", [False, True])
def test_a_machine_off_the_list_for_less_than_a_span_keeps_its_count(whole: bool) -> None:
    """A span of twenty seconds: what is known of a machine that left is not forgotten before its offers have lapsed."""
    fleet = cold_fleet(
        Rule(8, 20.0, cold_us=120 * S, fall_us=20 * S),
        warm=True,
        fate=lambda _: Fate(0, api.Outcome.REFUSED),
    )
    run_for(fleet, 25 * S)
    process = fleet.start(M)
    crowd(fleet, 8, S)
    run_for(fleet, S)
    fleet.leave(M, whole)
    run_for(fleet, 16 * S)
    fleet.start(2, launched_us=0, address="b")
    fleet.leave(2)
    run_for(fleet, S)
    fleet.come_back(M)
    crowd(fleet, 8, S)
    run_for(fleet, S)
    assert by_placer(fleet, process).total() == 20
    assert judge(fleet) == []


@pytest.mark.parametrize("end", [api.Outcome.TIMED_OUT, api.Outcome.BROKEN, api.Outcome.CANCELLED])
def test_an_end_that_is_not_the_machines_word_leaves_given_up_offers_counted(
    end: api.Outcome,
) -> None:
    """A cold machine stands still: what was given up may lie in its socket while another attempt ends by itself."""
    fleet = cold_fleet(Rule(1, 4.0, arrivals_told=True), fate=lambda _: Fate(0, None, 300 * MS))
    process = fleet.start(M)
    run_for(fleet, MS)
    fleet.arrive(0, wait_us=60 * S, name="key")
    run_for(fleet, 200 * MS)
    (first,) = fleet.placers[0].out.values()  # it has come, as the machine told, and takes its time
    process.still_until_us = fleet.now + 9 * S
    fleet.arrive(0, 3, wait_us=S)
    run_for(fleet, 2 * S)
    assert len(fleet.decided) == 4 and len(fleet.placers[0].out) == 1, "three were given up"
    fleet.placers[0].end(first, end, closed=True)
    for _ in range(4):
        fleet.arrive(0, 10, wait_us=S, name="once")
        run_for(fleet, S + 500 * MS)
    run_for(fleet, 3 * S)
    assert judge(fleet) == [], fleet.told_within(process)


@pytest.mark.parametrize(("placers", "fresh"), [(1, 4.0), (16, 20.0), (30, 64.0)])
def test_a_machine_that_stands_still_gets_no_more_when_it_goes_on(
    placers: int, fresh: float
) -> None:
    fleet = cold_fleet(Rule(placers, fresh, arrivals_told=True))
    process = fleet.start(M)
    run_for(fleet, MS)
    process.still_until_us = fleet.now + 6 * S
    for _ in range(6):
        crowd(fleet, 4, 1500 * MS)
        run_for(fleet, S)
    run_for(fleet, S)
    assert fleet.told_within(process) == int(fresh)
    assert judge(fleet) == []
