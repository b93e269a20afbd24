"""What hearsay is worth: ages, clocks, versions, drains."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.conftest import Driver, binds, listed, settings
from wingbarrow import interface as api
from wingbarrow.decide import learning
from wingbarrow.decide.learning import (
    HALF_LIFE_US,
    MAX_AGE_US,
    MAX_USEFUL_AGE_US,
    Announcement,
    ClockCheck,
    Distrust,
    MachineObservation,
)
from wingbarrow.interface import Phase

S = 1_000_000
SIGHT = MachineObservation(
    "m", 10, Phase.RUNNING, None, (10.0, 20.0), 0, (1.0, 2.0), 0, {"web": 5 * S}, {"": (1, 2 * S)}
)
SIZES, VERSIONS, IDENTS = {"m": (20.0, 40.0)}, {"m": 10}, {"m": 7}


def weigh(
    sight: MachineObservation, more: int = 0, good: bool = True, version: int = 10
) -> list[api.LearnedMachine]:
    return learning.learned_machines([sight], more, SIZES, {"m": version}, IDENTS, good, (0.5, 0.5))


def test_a_fresh_sight_is_taken_as_it_is() -> None:
    (found,) = weigh(SIGHT)
    assert found == api.LearnedMachine(
        7, (10.0, 20.0), 0, (1.0, 2.0), 0, {"web": 5 * S}, {"": (1, 2 * S)}
    )


def test_a_figure_fades_to_the_average_of_the_fleet() -> None:
    (found,) = weigh(replace(SIGHT, asked=(18.0, 36.0)), more=HALF_LIFE_US)
    assert found.asked == pytest.approx((14.0, 28.0))
    assert found.asked_age_us == HALF_LIFE_US
    assert found.beyond == pytest.approx((0.5, 1.0))
    assert not found.warm_us and not found.rests_us, "what is over by now is not told"


@given(st.integers(0, 3 * MAX_USEFUL_AGE_US), st.integers(0, MAX_USEFUL_AGE_US))
def test_more_age_never_weighs_more(age: int, more: int) -> None:
    assert 0 <= learning.weight(age + more) <= learning.weight(age) <= 1


def test_what_is_too_old_says_nothing() -> None:
    assert (
        weigh(
            replace(
                SIGHT,
                asked_age_us=MAX_USEFUL_AGE_US,
                measured_age_us=MAX_USEFUL_AGE_US,
                warm_us={},
                rests_us={},
            )
        )
        == []
    )


@pytest.mark.parametrize("age", [-1, -3600 * S, MAX_AGE_US + 1, 1 << 62])
def test_an_implausible_age_makes_a_figure_useless_not_fresh(age: int) -> None:
    (found,) = weigh(replace(SIGHT, asked_age_us=age, measured_age_us=age))
    assert found.asked is None
    assert found.beyond is None


@pytest.mark.parametrize("bad", [(math.nan, 1.0), (math.inf, 1.0), (1e12, 1.0)])
def test_figures_that_cannot_be_are_dropped(bad: tuple[float, float]) -> None:
    (found,) = weigh(replace(SIGHT, asked=bad, beyond=bad))
    assert found.asked is None
    assert found.beyond is None


def test_nothing_timed_is_believed_of_a_clock_that_jumped() -> None:
    assert weigh(SIGHT, good=False) == []


def test_a_newer_list_outranks_the_peers_count() -> None:
    (found,) = weigh(SIGHT, version=11)
    assert found.asked is None and found.warm_us, "what the peer itself saw run stays"


def test_a_machine_that_drains_or_is_strange_teaches_nothing() -> None:
    assert weigh(replace(SIGHT, phase=Phase.DRAINING)) == []
    assert weigh(replace(SIGHT, machine="other")) == []


def test_clocks_may_differ_but_not_jump() -> None:
    check = ClockCheck()
    assert check.check_page(0, 3600 * S)
    assert check.check_page(S, 3601 * S)
    assert check.check_page(2 * S, 3602 * S + S // 2)
    assert not check.check_page(3 * S, 7200 * S)
    assert not check.check_page(4 * S, 3604 * S), "once it jumped it is not believed again"
    back = ClockCheck()
    assert back.check_page(0, 100 * S)
    assert not back.check_page(S, 90 * S)


def told(name: str, **more: object) -> Announcement:
    return replace(Announcement(name, name, 1, "north", "main", 60 * S, 0, 50, 1000), **more)  # type: ignore[arg-type]


def test_peers_are_asked_by_freshness_then_distance_and_the_ignorant_not_at_all() -> None:
    order = learning.order_peers(
        [
            told("far", region="south"),
            told("near"),
            told("slow", rtt_us=9000),
            told("old", list_age_us=20 * S),
            told("older", list_age_us=300 * S),
            told("new", uptime_us=S),
            told("empty", machines=0),
            told("blind", list_age_us=None),
            told("strange", cluster="other"),
            told("me"),
            told("broken", list_age_us=-5),
        ],
        "north",
        "main",
        "me",
    )
    assert [each.peer for each in order] == ["near", "slow", "far", "old", "older"]


def test_a_drain_is_trusted_until_a_newer_list_says_it_runs() -> None:
    distrust = Distrust(10)
    drained = replace(SIGHT, phase=Phase.DRAINING, version=20)
    assert distrust.on_observation(drained, 15, 0)
    entry = listed(7)
    for version in (15, 19, 20):
        assert distrust.narrow("m", version, entry).phase is Phase.DRAINING
    assert distrust.narrow("m", 21, entry).phase is Phase.RUNNING
    assert distrust.narrow("m", 21, entry).phase is Phase.RUNNING
    assert len(distrust) == 0


def test_a_drain_that_the_list_has_outlived_is_no_news() -> None:
    distrust = Distrust(10)
    assert not distrust.on_observation(replace(SIGHT, phase=Phase.GONE, version=9), 10, 0)
    assert distrust.narrow("m", 10, listed(7)).phase is Phase.RUNNING


def test_a_drain_of_a_machine_not_listed_yet_counts_when_it_comes() -> None:
    distrust = Distrust(10)
    distrust.on_observation(replace(SIGHT, phase=Phase.GONE, version=20), None, 0)
    assert distrust.narrow("m", 12, listed(7)).phase is Phase.DRAINING


def test_a_later_start_that_a_peer_saw_makes_the_machine_cold_never_warm() -> None:
    distrust = Distrust(10)
    distrust.on_observation(replace(SIGHT, version=20, launched_age_us=2 * S), 15, 100 * S)
    assert distrust.narrow("m", 15, listed(7)).launched_us == 98 * S
    assert distrust.narrow("m", 15, listed(7, launched_us=99 * S)).launched_us == 99 * S
    assert distrust.narrow("m", 20, listed(7)).launched_us == 0


def test_distrust_is_bounded_and_a_new_source_clears_it() -> None:
    distrust = Distrust(3)
    for number in range(9):
        distrust.on_observation(replace(SIGHT, machine=f"m{number}", phase=Phase.GONE), None, 0)
    assert len(distrust) == 3
    distrust.on_new_source()
    assert len(distrust) == 0


def test_strangers_are_told_by_their_machines() -> None:
    ours = {f"m{i}": i for i in range(10)}
    same = [replace(SIGHT, machine=f"m{i}") for i in range(8)]
    others = [replace(SIGHT, machine=f"x{i}") for i in range(9)]
    assert not learning.is_other_cluster(same, ours)
    assert learning.is_other_cluster(others, ours)
    assert not learning.is_other_cluster(others, {}), "without a list nothing is strange"


@pytest.mark.parametrize(
    ("ratio", "notes", "age"),
    [
        (math.nan, 5.0, 0),
        (0.0, 5.0, 0),
        (99.0, 5.0, 0),
        (0.7, -1.0, 0),
        (0.7, 5.0, -1),
        (0.7, 5.0, None),
    ],
)
def test_shares_that_cannot_be_weigh_nothing(ratio: float, notes: float, age: int | None) -> None:
    assert learning.learned_ratio(ratio, notes, age, True) == (0.0, 0.0)


# -- the module's side


def learned(**more: object) -> api.Learned:
    machine = api.LearnedMachine(1, None, 0, None, 0, {}, {})
    return api.Learned((replace(machine, **more),), (0.0, 0.0), (0.0, 0.0))  # type: ignore[arg-type]


def test_the_module_hands_out_what_it_knows_and_takes_it_in_again() -> None:
    old = Driver(settings())
    old.listing(listed(1, free=12.0), listed(2))
    old.arrive(1)
    value = old.scheduler.knowledge(old.now)
    assert {each.machine for each in value.machines} == {1, 2}
    one = next(each for each in value.machines if each.machine == 1)
    assert one.asked is not None
    assert one.asked_age_us is not None
    assert one.asked_age_us >= 0
    assert old.scheduler.knowledge(old.now) == value, "reading changes nothing"


def test_a_program_heard_to_be_warm_draws_its_service_there() -> None:
    driver = Driver(settings(), seed=3)
    machines = [listed(number) for number in range(1, 9)]
    driver.listing(*machines)
    home = binds(driver.arrive(1))[0].machine
    other = next(number for number in range(1, 9) if number != home)
    fresh = Driver(settings(), seed=3)
    fresh.listing(*machines)
    fresh.give(learned(machine=other, warm_us={"s": 5 * S}))
    assert binds(fresh.arrive(1))[0].machine == other
    assert binds(fresh.arrive(2, service="t"))


def test_own_experience_outranks_hearsay() -> None:
    driver = Driver(settings())
    driver.listing(listed(1, free=15.0))
    driver.give(api.Probed(1, api.Outcome.DONE, api.Report(14.0, 30.0)))
    before = driver.scheduler.knowledge(driver.now)
    driver.give(
        learned(asked=(19.0, 39.0), asked_age_us=9 * S, beyond=(9.0, 9.0), measured_age_us=S)
    )
    assert driver.scheduler.knowledge(driver.now) == before
    driver.found(5, 1)
    driver.give(learned(rests_us={"": (3, 60 * S)}))
    assert binds(driver.arrive(6)), (
        "a peer's quarrel does not keep one from a machine that serves it"
    )


def test_a_machine_the_list_calls_gone_is_not_brought_back_by_hearsay() -> None:
    driver = Driver(settings())
    driver.listing(listed(1, phase=Phase.DRAINING))
    driver.give(learned(asked=(0.0, 0.0), warm_us={"s": 5 * S}))
    assert not binds(driver.arrive(1))


def test_hearsay_never_adds_to_the_cold_budget() -> None:
    sent = 0
    for index in range(2):
        driver = Driver(settings(index=index, fresh_offers=6.0))
        driver.listing(form=api.ListForm.SAVED)
        driver.listing(listed(1, launched_us=driver.now))
        driver.now += 4 * S
        for number in range(40):
            driver.give(learned(warm_us={f"s{number}": 9 * S}, asked=(0.0, 0.0)))
            sent += len(binds(driver.arrive(number, service=f"s{number}", cores=0.1, memory=0.1)))
    assert sent == 6


def test_measures_heard_spare_probes_and_no_more_than_are_owed() -> None:
    driver = Driver(settings())
    driver.listing(listed(1))
    for _ in range(100):
        driver.now += 1
        driver.give(learned(beyond=(0.1, 0.1), measured_age_us=0))
    probes = sum(
        isinstance(action, api.Probe)
        for number in range(30)
        for action in driver.arrive(number, service=f"s{number}", cores=0.1, memory=0.1)
    )
    assert 15 <= probes <= 20
