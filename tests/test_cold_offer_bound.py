"""Rule 4 over all placers together, with real schedulers in the model of cold_fleet_model.py.

For N = `fresh_offers`, P placers and a machine of id m, placer i's share is

    share(i) = floor(N) // P + (1 if (i + m) % P < floor(N) % P else 0),    and the sum over all i is floor(N).

Stated bound: within any span of `fall_us`, a process of a cold machine gets at most floor(N) offers from placers that
knew of its start when they sent them, however often those placers restarted. Once all placers know of the start, it
gets no others, so that N + 2 * sqrt(N) + 2 is never exceeded. `violations` counts arrivals at the machine and shares no
code with the scheduler. Where a machine stalls with unread offers in its sockets, the bound holds only with
`arrivals_told`, and for placers that do not restart.
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

from tests.cold_fleet_model import (
    MS,
    START_US,
    ColdArrival,
    ColdFleet,
    ColdRule,
    Offer,
    OfferPlan,
    Process,
    max_in_window,
)
from tests.conftest import S
from wingbarrow import interface as api

MACHINE = 1  # the machine that starts
FAILURES = (
    api.Outcome.REFUSED,
    api.Outcome.UNREACHABLE,
    api.Outcome.NOT_SENT,
    api.Outcome.TIMED_OUT,
    api.Outcome.BROKEN,
    api.Outcome.ERROR,
)
TIME_US = st.integers(0, 4000).map(lambda ms: ms * MS)
EVENTS = st.one_of(
    st.tuples(st.just("arrivals"), TIME_US, st.integers(1, 10), st.sampled_from((0.01, 0.5, 25.0))),
    st.tuples(st.just("arrivals"), TIME_US, st.integers(1, 10), st.just(0.01)),
    st.tuples(st.just("restart-placer"), TIME_US, st.integers(0, 31), st.just(0.0)),
    # A start of the machine; the number is the skew of its clock, in ms ahead.
    st.tuples(st.just("start"), TIME_US, st.integers(0, 60), st.just(0.0)),
    st.tuples(st.just("start-other"), TIME_US, st.integers(2, 3), st.just(0.0)),
    st.tuples(st.just("delist"), TIME_US, st.integers(1, 1500), st.just(0.0)),
    st.tuples(st.just("delist-by-full-list"), TIME_US, st.integers(1, 1500), st.just(0.0)),
    st.tuples(st.just("stall"), TIME_US, st.integers(100, 3000), st.just(0.0)),
)


@dataclass(frozen=True)
class Scenario:
    """A run to check: the rule's figures, delays of the list, and events in any order."""

    rule: ColdRule
    delays: tuple[int, ...]
    seed: int
    # Share of the offers that do not end as placed, or wait too long for a connection.
    failure_share: float
    known_before: bool  # the machine ran before, and placers know it
    events: tuple[tuple[str, int, int, float], ...]

    def fleet(self) -> ColdFleet:
        chance, wait_us = random.Random(self.seed), self.rule.wait_us

        def plan(_: Offer) -> OfferPlan:
            if chance.random() >= self.failure_share:
                waits_us = chance.choice((0, wait_us, chance.randint(0, wait_us)))
                return OfferPlan(waits_us, None, chance.choice((1, 2, 50)) * MS)
            return OfferPlan(
                chance.choice((0, wait_us + 1, chance.randint(0, 3 * wait_us))),
                chance.choice(FAILURES),
                chance.choice((1, 2, 50, 700)) * MS,
            )

        return ColdFleet(self.rule, plan, self.delays)

    def run(self) -> ColdFleet:
        fleet = self.fleet()
        if self.known_before:
            fleet.start(MACHINE, launched_us=0)
        begin = START_US + 3 * S
        fleet.run(begin)
        kinds = {what for what, *_ in self.events}
        for what, at_us, size, cores in (
            ("start", 900 * MS, 0, 0.0),
            ("arrivals", S, 8, 0.01),
            *self.events,
        ):
            if what == "stall" and ("restart-placer" in kinds or not self.rule.arrivals_told):
                continue  # a placer does not know of its unread offers after its restart, or without arrivals
            fleet.at(begin + at_us, lambda event=(what, size, cores): apply_event(fleet, *event))
        fleet.run(begin + 5 * S)
        return fleet


def apply_event(fleet: ColdFleet, what: str, size: int, cores: float) -> None:
    running = MACHINE in fleet.address
    if what == "arrivals":
        for index in range(fleet.rule.placers):
            name = ("web", "web", "key", "once")[(index + size) % 4]
            fleet.arrive(
                index, size if index % 3 else 1 + size // 3, cores, 300 * MS + size * 150 * MS, name
            )
    elif what == "restart-placer":
        fleet.restart_placer(size % fleet.rule.placers)
    elif what == "start":
        fleet.start(MACHINE, address="a1", skew_us=size * MS if size % 2 else 0)
    elif what == "start-other":
        fleet.start(size, address="a1")
    elif what == "stall":
        if running:
            fleet.process["a1"].stalled_until_us = fleet.now + size * MS
    elif running and fleet.process["a1"].machine == MACHINE:
        fleet.delist(MACHINE, full_list=what == "delist-by-full-list")
        fleet.at(fleet.now + size * MS, lambda: fleet.relist(MACHINE))


SCENARIOS = st.builds(
    Scenario,
    st.builds(
        ColdRule,
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
    st.lists(EVENTS, min_size=2, max_size=9).map(tuple),
)


def violations(fleet: ColdFleet) -> list[str]:
    """Descriptions of all violations of the stated bound and of the overload threshold."""
    rule, found = fleet.rule, list[str]()
    for process in fleet.cold_processes():
        informed, total = (
            fleet.max_informed_arrivals(process),
            fleet.max_arrivals_after_all_informed(process),
        )
        if informed > rule.bound:
            found.append(f"{informed} offers from informed placers, the bound is {rule.bound}")
        if total > rule.overload_threshold:
            found.append(
                f"{total} offers with all informed, overloaded above {rule.overload_threshold}"
            )
    return found


@given(SCENARIOS)
@profile(max_examples=25)
def test_a_cold_machine_gets_no_more_than_its_bound_from_all_placers(scenario: Scenario) -> None:
    assert violations(scenario.run()) == []


def cold_fleet(rule: ColdRule, warm: bool = False, **more: Any) -> ColdFleet:
    """A fleet whose placers are past the pause after their own start; `warm`: the machine started long ago."""
    fleet = ColdFleet(rule, **more)
    if warm:
        fleet.start(MACHINE, launched_us=0)
    fleet.run(START_US + 3 * S)
    return fleet


def submit_to_all(fleet: ColdFleet, size: int = 40, wait_us: int = 5 * S) -> None:
    for index in range(fleet.rule.placers):
        fleet.arrive(index, size, wait_us=wait_us)


def run_on(fleet: ColdFleet, us: int) -> None:
    fleet.run(fleet.now + us)


def count_by_placer(fleet: ColdFleet, process: Process) -> Counter[int]:
    return Counter(each.placer for each in fleet.cold_arrivals if each.process is process)


def test_violations_are_found_from_one_offer_too_many() -> None:
    for fresh in (0.0, 1.0, 7.9, 20.0, 64.0):
        rule = ColdRule(4, fresh, fall_us=2 * S)
        for extra, informed, words in (
            (0, rule.bound, ""),
            (1, rule.bound, "overloaded"),
            (0, rule.bound + 1, "informed placers"),
        ):
            fleet = ColdFleet(rule)
            process = fleet.start(MACHINE)
            for turn in range(int(rule.overload_threshold) + extra):
                at_us = fleet.now + turn * rule.fall_us // (int(rule.overload_threshold) + extra)
                fleet.cold_arrivals.append(ColdArrival(at_us, process, 0, turn < informed, at_us))
            found = violations(fleet)
            assert bool(found) == bool(words) and words in "".join(found), (fresh, extra, informed)


def test_violations_are_found_for_a_placer_that_takes_more_than_its_share() -> None:
    fleet = cold_fleet(ColdRule(4, 20.0))
    process = fleet.start(MACHINE)
    submit_to_all(fleet, 25, 2 * S)
    # The placer takes all twenty offers for itself.
    fleet.placers[2].feed(replace(fleet.rule.settings_of(0), placers=1))
    run_on(fleet, 2 * S)
    assert count_by_placer(fleet, process)[2] == 20
    assert len(violations(fleet)) == 2, (
        "35 offers: above the bound, and above the threshold of 30.9"
    )


@pytest.mark.parametrize("arrivals_told", [False, True])
@pytest.mark.parametrize(
    ("placers", "fresh"), [(1, 6.0), (3, 7.9), (16, 20.0), (30, 64.0), (32, 32.0)]
)
def test_each_placer_with_work_gets_its_share_through_span_after_span(
    placers: int, fresh: float, arrivals_told: bool
) -> None:
    """Guards against a share that is never used: where floor(N) >= P, each placer can always send."""
    rule = ColdRule(placers, fresh, arrivals_told=arrivals_told)
    chance = random.Random(placers)
    fleet = cold_fleet(
        rule,
        plan=lambda _: OfferPlan(chance.randint(0, rule.wait_us)),
        delays=(0, 40 * MS, 300 * MS),
    )
    process = fleet.start(MACHINE)
    submit_to_all(fleet, 2 * (rule.bound // placers + 1))
    shares = Counter(
        {
            index: rule.bound // placers + ((index + MACHINE) % placers < rule.bound % placers)
            for index in range(placers)
        }
    )
    run_on(fleet, 300 * MS + rule.wait_us + 500 * MS)
    assert count_by_placer(fleet, process) == shares
    assert shares.total() == rule.bound
    run_on(fleet, rule.fall_us * 5 // 4 + 500 * MS)
    twice = count_by_placer(fleet, process)
    assert all(twice[index] == 2 * share for index, share in shares.items())
    assert violations(fleet) == []


@pytest.mark.parametrize("arrivals_told", [False, True])
@pytest.mark.parametrize("delay_ms", [0, 300])
def test_a_placer_that_restarts_while_the_machine_is_cold(
    delay_ms: int, arrivals_told: bool
) -> None:
    """Case (a): after a restart a placer does not know what it sent before, so it counts its share as spent."""
    fleet = cold_fleet(
        ColdRule(4, 16.0, arrivals_told=arrivals_told),
        delays=(delay_ms * MS,),
        plan=lambda offer: OfferPlan(250 * MS if offer.placer.index == 0 else 0),
    )
    process = fleet.start(MACHINE)
    submit_to_all(fleet, 12)
    run_on(fleet, (delay_ms + 60) * MS)
    fleet.restart_placer(0)  # its four offers wait for connections, and are sent all the same
    fleet.arrive(0, 12)
    run_on(fleet, 2 * S)
    assert count_by_placer(fleet, process) == dict.fromkeys(range(4), 4)
    run_on(fleet, 2 * S)
    assert count_by_placer(fleet, process)[0] == 8
    assert violations(fleet) == []
    for _ in range(4):
        fleet.restart_placer(0)
        fleet.arrive(0, 12)
        run_on(fleet, 700 * MS)
    assert count_by_placer(fleet, process)[0] == 8
    assert violations(fleet) == []


@pytest.mark.parametrize("arrivals_told", [False, True])
@pytest.mark.parametrize("placers", [8, 30])
def test_offers_chosen_before_the_machine_restarted_do_not_reach_its_next_process(
    placers: int, arrivals_told: bool
) -> None:
    """Case (b): the offers wait for a connection when the restart is listed, and the scheduler counted none of them."""
    cold_arrivals: dict[bool, int] = {}
    for withheld in (False, True):
        fleet = cold_fleet(
            ColdRule(placers, 20.0, arrivals_told=arrivals_told),
            warm=True,
            withhold_on_restart=withheld,
            plan=lambda offer: OfferPlan(250 * MS if offer.known_start_us == 0 else 0),
        )
        submit_to_all(fleet, 8)
        run_on(fleet, 200 * MS)
        process = fleet.start(MACHINE)
        run_on(fleet, S)
        cold_arrivals[withheld] = fleet.max_informed_arrivals(process)
        assert bool(violations(fleet)) != withheld
    assert cold_arrivals == {False: 20 + 4 * placers, True: 20}


def test_fewer_offers_than_placers_are_still_distributed_once() -> None:
    """Case (c): the remainder of the division gives some placers a share of one and others none."""
    for fresh in (7.9, 1.0, 0.5, 0.0):
        fleet = cold_fleet(ColdRule(32, fresh))
        process = fleet.start(MACHINE)
        submit_to_all(fleet, 4)
        run_on(fleet, S)
        sent = count_by_placer(fleet, process)
        assert sent.total() == int(fresh) and set(sent.values()) <= {1}, fresh
        assert set(sent) == {(turn - MACHINE) % 32 for turn in range(int(fresh))}


def test_a_span_much_shorter_than_a_dial() -> None:
    """Case (d): offers that wait for a dial of 80 ms are stale after 25 ms; later ones use the open connection."""
    up: dict[int, int] = {}

    def plan(offer: Offer) -> OfferPlan:
        ready_us = up.setdefault(offer.placer.index, offer.bound_us + 80 * MS)
        return OfferPlan(max(0, ready_us - offer.bound_us))

    fleet = cold_fleet(ColdRule(8, 20.0, fall_us=200 * MS), plan=plan)
    process = fleet.start(MACHINE)
    submit_to_all(fleet, 40)
    run_on(fleet, 240 * MS)
    assert not fleet.cold_arrivals
    assert fleet.withheld == {"stale": 20}
    run_on(fleet, 100 * MS)
    assert count_by_placer(fleet, process).total() == 20, "one span later, not more"
    run_on(fleet, 4 * S)
    assert count_by_placer(fleet, process).total() >= 20 * 13
    assert violations(fleet) == []


@pytest.mark.parametrize(("arrivals_told", "part"), [(False, 0.5), (True, 0.9)])
def test_offers_that_were_not_sent_do_not_block_later_ones(
    arrivals_told: bool, part: float
) -> None:
    """Case (e): half of the dials fail. Without reports of arrivals, failed offers stay counted and that part of the
    budget is lost; with them, it is returned."""
    chance = random.Random(5)
    fleet = cold_fleet(
        ColdRule(8, 40.0, arrivals_told=arrivals_told),
        plan=lambda _: OfferPlan(0, api.Outcome.NOT_SENT if chance.random() < 0.5 else None),
    )
    process = fleet.start(MACHINE)
    for _ in range(4):
        submit_to_all(fleet, 12, 1500 * MS)
        run_on(fleet, fleet.rule.fall_us * 5 // 4)
    sent = count_by_placer(fleet, process)
    assert set(sent) == set(range(8))
    assert violations(fleet) == []
    assert 0.8 * part <= sent.total() / (4 * 40) <= 1.0, sent.total()


@pytest.mark.parametrize("skew_us", [MS, S, 3600 * S, -S])
def test_a_start_listed_by_another_clock(skew_us: int) -> None:
    """Case (f): with a clock ahead, the machine counts as cold for longer; behind, for less. Placers cannot tell."""
    rule = ColdRule(8, 20.0, cold_us=5 * S, fall_us=S)
    fleet = cold_fleet(rule)
    process = fleet.start(MACHINE, skew_us=skew_us)
    ends_us = process.listed_us + rule.cold_us
    while fleet.now < START_US + 8 * S:
        submit_to_all(fleet, 8, S)
        run_on(fleet, S)
    times = [each.at_us for each in fleet.cold_arrivals if each.at_us < ends_us]
    assert max_in_window(times, rule.fall_us) == rule.bound, "neither more nor none"
    assert skew_us < 0 or violations(fleet) == []


@pytest.mark.parametrize("quiet_ms", [1, 900])
@pytest.mark.parametrize("arrivals_told", [False, True])
def test_a_machine_that_restarts_twice_within_a_span(arrivals_told: bool, quiet_ms: int) -> None:
    """Case (g): offers to all its starts together stay within the bound, however late connections end."""
    fleet = cold_fleet(
        ColdRule(8, 20.0, arrivals_told=arrivals_told),
        plan=lambda _: OfferPlan(50 * MS, None, 200 * MS),
    )
    fleet.disconnect_delay_us = quiet_ms * MS
    for _ in range(3):
        fleet.start(MACHINE)
        submit_to_all(fleet, 10)
        run_on(fleet, 150 * MS)
    assert violations(fleet) == []
    assert fleet.max_informed_arrivals_at_machine(MACHINE) == 20


def test_a_start_listed_again_by_a_shifted_clock_is_no_second_start() -> None:
    """The list repeats the start some microseconds later: open offers still count."""
    fleet = cold_fleet(ColdRule(8, 20.0, arrivals_told=True), plan=lambda _: OfferPlan(0, None, S))
    process = fleet.start(MACHINE)
    for turn in range(1, 6):
        submit_to_all(fleet, 10)
        run_on(fleet, 150 * MS)
        fleet.relist(MACHINE, shift_us=turn)
    assert fleet.max_informed_arrivals(process) == 20
    assert violations(fleet) == []


@pytest.mark.parametrize("full_list", [False, True])
def test_a_machine_off_the_list_for_less_than_a_span_keeps_its_count(full_list: bool) -> None:
    """With a span of 20 s, the state of a delisted machine is kept until its offers have expired."""
    fleet = cold_fleet(
        ColdRule(8, 20.0, cold_us=120 * S, fall_us=20 * S),
        warm=True,
        plan=lambda _: OfferPlan(0, api.Outcome.REFUSED),
    )
    run_on(fleet, 25 * S)
    process = fleet.start(MACHINE)
    submit_to_all(fleet, 8, S)
    run_on(fleet, S)
    fleet.delist(MACHINE, full_list)
    run_on(fleet, 16 * S)
    fleet.start(2, launched_us=0, address="b")
    fleet.delist(2)
    run_on(fleet, S)
    fleet.relist(MACHINE)
    submit_to_all(fleet, 8, S)
    run_on(fleet, S)
    assert count_by_placer(fleet, process).total() == 20
    assert violations(fleet) == []


@pytest.mark.parametrize("end", [api.Outcome.TIMED_OUT, api.Outcome.BROKEN, api.Outcome.CANCELLED])
def test_an_end_without_the_machines_answer_leaves_given_up_offers_counted(
    end: api.Outcome,
) -> None:
    """A cold machine stalls: offers given up may lie in its socket while another attempt ends without its answer."""
    fleet = cold_fleet(
        ColdRule(1, 4.0, arrivals_told=True), plan=lambda _: OfferPlan(0, None, 300 * MS)
    )
    process = fleet.start(MACHINE)
    run_on(fleet, MS)
    fleet.arrive(0, wait_us=60 * S, name="key")
    run_on(fleet, 200 * MS)
    (first,) = fleet.placers[
        0
    ].open_offers.values()  # the machine reported its arrival, and has not answered yet
    process.stalled_until_us = fleet.now + 9 * S
    fleet.arrive(0, 3, wait_us=S)
    run_on(fleet, 2 * S)
    assert len(fleet.bound_offers) == 4 and len(fleet.placers[0].open_offers) == 1, (
        "three were given up"
    )
    fleet.placers[0].end(first, end, closed=True)
    for _ in range(4):
        fleet.arrive(0, 10, wait_us=S, name="once")
        run_on(fleet, S + 500 * MS)
    run_on(fleet, 3 * S)
    assert violations(fleet) == [], fleet.max_informed_arrivals(process)


@pytest.mark.parametrize(("placers", "fresh"), [(1, 4.0), (16, 20.0), (30, 64.0)])
def test_a_stalled_machine_gets_no_more_offers_when_it_resumes(placers: int, fresh: float) -> None:
    fleet = cold_fleet(ColdRule(placers, fresh, arrivals_told=True))
    process = fleet.start(MACHINE)
    run_on(fleet, MS)
    process.stalled_until_us = fleet.now + 6 * S
    for _ in range(6):
        submit_to_all(fleet, 4, 1500 * MS)
        run_on(fleet, S)
    run_on(fleet, S)
    assert fleet.max_informed_arrivals(process) == int(fresh)
    assert violations(fleet) == []
