"""Peer hints: ages, clocks, versions, drains, and how the decision module uses them."""

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
OBSERVATION = MachineObservation(
    "m", 10, Phase.RUNNING, None, (10.0, 20.0), 0, (1.0, 2.0), 0, {"web": 5 * S}, {"": (1, 2 * S)}
)
SIZES, VERSIONS, IDENTS = {"m": (20.0, 40.0)}, {"m": 10}, {"m": 7}


def learn_from(
    observation: MachineObservation, more: int = 0, clock_is_good: bool = True, version: int = 10
) -> list[api.LearnedMachine]:
    return learning.learned_machines(
        [observation], more, SIZES, {"m": version}, IDENTS, clock_is_good, (0.5, 0.5)
    )


def test_a_fresh_observation_is_used_as_it_is() -> None:
    (found,) = learn_from(OBSERVATION)
    assert found == api.LearnedMachine(
        7, (10.0, 20.0), 0, (1.0, 2.0), 0, {"web": 5 * S}, {"": (1, 2 * S)}
    )


def test_a_value_moves_to_the_average_of_the_fleet_with_age() -> None:
    (found,) = learn_from(replace(OBSERVATION, asked=(18.0, 36.0)), more=HALF_LIFE_US)
    assert found.asked == pytest.approx((14.0, 28.0))
    assert found.asked_age_us == HALF_LIFE_US
    assert found.beyond == pytest.approx((0.5, 1.0))
    assert not found.warm_us and not found.rests_us, "expired warmth and rest periods are dropped"


@given(st.integers(0, 3 * MAX_USEFUL_AGE_US), st.integers(0, MAX_USEFUL_AGE_US))
def test_a_greater_age_never_has_a_greater_weight(age: int, more: int) -> None:
    assert 0 <= learning.weight(age + more) <= learning.weight(age) <= 1


def test_a_figure_beyond_the_useful_age_is_dropped() -> None:
    assert (
        learn_from(
            replace(
                OBSERVATION,
                asked_age_us=MAX_USEFUL_AGE_US,
                measured_age_us=MAX_USEFUL_AGE_US,
                warm_us={},
                rests_us={},
            )
        )
        == []
    )


@pytest.mark.parametrize("age", [-1, -3600 * S, MAX_AGE_US + 1, 1 << 62])
def test_an_implausible_age_discards_the_figure(age: int) -> None:
    (found,) = learn_from(replace(OBSERVATION, asked_age_us=age, measured_age_us=age))
    assert found.asked is None
    assert found.beyond is None


@pytest.mark.parametrize("bad", [(math.nan, 1.0), (math.inf, 1.0), (1e12, 1.0)])
def test_impossible_figures_are_dropped(bad: tuple[float, float]) -> None:
    (found,) = learn_from(replace(OBSERVATION, asked=bad, beyond=bad))
    assert found.asked is None
    assert found.beyond is None


def test_no_aged_value_of_a_peer_whose_clock_jumped_is_trusted() -> None:
    assert learn_from(OBSERVATION, clock_is_good=False) == []


def test_a_newer_list_takes_precedence_over_the_peers_figure() -> None:
    (found,) = learn_from(OBSERVATION, version=11)
    assert found.asked is None and found.warm_us, "programs that the peer saw running stay"


def test_a_draining_or_unknown_machine_gives_no_hint() -> None:
    assert learn_from(replace(OBSERVATION, phase=Phase.DRAINING)) == []
    assert learn_from(replace(OBSERVATION, machine="other")) == []


def test_clocks_may_have_an_offset_but_not_jump() -> None:
    check = ClockCheck()
    assert check.check_page(0, 3600 * S)
    assert check.check_page(S, 3601 * S)
    assert check.check_page(2 * S, 3602 * S + S // 2)
    assert not check.check_page(3 * S, 7200 * S)
    assert not check.check_page(4 * S, 3604 * S), "a clock that has jumped is not trusted again"
    back = ClockCheck()
    assert back.check_page(0, 100 * S)
    assert not back.check_page(S, 90 * S)


def announcement(name: str, **more: object) -> Announcement:
    return replace(Announcement(name, name, 1, "north", "main", 60 * S, 0, 50, 1000), **more)  # type: ignore[arg-type]


def test_peers_are_ordered_by_freshness_then_distance_without_those_that_know_nothing() -> None:
    order = learning.order_peers(
        [
            announcement("far", region="south"),
            announcement("near"),
            announcement("slow", rtt_us=9000),
            announcement("old", list_age_us=20 * S),
            announcement("older", list_age_us=300 * S),
            announcement("new", uptime_us=S),
            announcement("empty", machines=0),
            announcement("blind", list_age_us=None),
            announcement("strange", cluster="other"),
            announcement("me"),
            announcement("broken", list_age_us=-5),
        ],
        "north",
        "main",
        "me",
    )
    assert [each.peer for each in order] == ["near", "slow", "far", "old", "older"]


def test_an_observed_drain_holds_until_a_newer_list_entry_says_running() -> None:
    distrust = Distrust(10)
    drained = replace(OBSERVATION, phase=Phase.DRAINING, version=20)
    assert distrust.on_observation(drained, 15, 0)
    entry = listed(7)
    for version in (15, 19, 20):
        assert distrust.narrow("m", version, entry).phase is Phase.DRAINING
    assert distrust.narrow("m", 21, entry).phase is Phase.RUNNING
    assert distrust.narrow("m", 21, entry).phase is Phase.RUNNING
    assert len(distrust) == 0


def test_a_drain_older_than_the_list_entry_is_ignored() -> None:
    distrust = Distrust(10)
    assert not distrust.on_observation(replace(OBSERVATION, phase=Phase.GONE, version=9), 10, 0)
    assert distrust.narrow("m", 10, listed(7)).phase is Phase.RUNNING


def test_a_drain_of_a_machine_not_listed_yet_applies_once_it_is_listed() -> None:
    distrust = Distrust(10)
    distrust.on_observation(replace(OBSERVATION, phase=Phase.GONE, version=20), None, 0)
    assert distrust.narrow("m", 12, listed(7)).phase is Phase.DRAINING


def test_a_later_start_seen_by_a_peer_makes_the_machine_cold_and_never_warm() -> None:
    distrust = Distrust(10)
    distrust.on_observation(replace(OBSERVATION, version=20, launched_age_us=2 * S), 15, 100 * S)
    assert distrust.narrow("m", 15, listed(7)).launched_us == 98 * S
    assert distrust.narrow("m", 15, listed(7, launched_us=99 * S)).launched_us == 99 * S
    assert distrust.narrow("m", 20, listed(7)).launched_us == 0


def test_distrust_is_bounded_and_a_new_source_clears_it() -> None:
    distrust = Distrust(3)
    for number in range(9):
        distrust.on_observation(
            replace(OBSERVATION, machine=f"m{number}", phase=Phase.GONE), None, 0
        )
    assert len(distrust) == 3
    distrust.on_new_source()
    assert len(distrust) == 0


def test_a_peer_of_another_cluster_is_recognized_by_its_machines() -> None:
    ours = {f"m{i}": i for i in range(10)}
    same = [replace(OBSERVATION, machine=f"m{i}") for i in range(8)]
    others = [replace(OBSERVATION, machine=f"x{i}") for i in range(9)]
    assert not learning.is_other_cluster(same, ours)
    assert learning.is_other_cluster(others, ours)
    assert not learning.is_other_cluster(others, {}), (
        "without an own list no peer is of another cluster"
    )


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
def test_impossible_ratios_have_no_weight(ratio: float, notes: float, age: int | None) -> None:
    assert learning.learned_ratio(ratio, notes, age, True) == (0.0, 0.0)


# -- the decision module's use of hints


def learned(**more: object) -> api.Learned:
    machine = api.LearnedMachine(1, None, 0, None, 0, {}, {})
    return api.Learned((replace(machine, **more),), (0.0, 0.0), (0.0, 0.0))  # type: ignore[arg-type]


def test_the_modules_knowledge_can_be_read_and_learned_again() -> None:
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


def test_a_program_learned_to_be_warm_attracts_its_service() -> None:
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


def test_own_experience_takes_precedence_over_peer_hints() -> None:
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
        "a peer's rest period does not exclude a machine that served this placer"
    )


def test_a_machine_gone_from_the_list_is_not_restored_by_peer_hints() -> None:
    driver = Driver(settings())
    driver.listing(listed(1, phase=Phase.DRAINING))
    driver.give(learned(asked=(0.0, 0.0), warm_us={"s": 5 * S}))
    assert not binds(driver.arrive(1))


def test_peer_hints_never_add_to_the_cold_budget() -> None:
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


def test_learned_measurements_replace_probes_and_no_more_than_are_due() -> None:
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
