"""The checks of each of the five rules, and the handling of invalid input."""

from __future__ import annotations

import math

import pytest

from tests.conftest import Driver, S, binds, finals, listed, settings, task_class
from wingbarrow import interface as api

MAY_HAVE_RUN = [api.Outcome.ERROR, api.Outcome.TIMED_OUT, api.Outcome.BROKEN, api.Outcome.CANCELLED]
NEVER_RAN = [api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT]


def test_a_final_answer_comes_by_the_deadline_with_nothing_listed(driver: Driver) -> None:
    driver.listing()
    timers = [a for a in driver.arrive(1, wait=2 * S) if isinstance(a, api.SetTimer)]
    assert any(timer.at_us <= driver.now + 2 * S for timer in timers if timer.name == "1")
    assert finals(driver.give(api.TimerDue("1"), after=2 * S)) == [api.Refuse(1)]
    assert finals(driver.give(api.TimerDue("1"), after=S)) == []


def test_an_attempt_still_out_at_the_deadline_is_answered() -> None:
    driver = Driver(settings(task_class("web", api.Effect.UNSAFE)))
    driver.listing(listed(1))
    assert binds(driver.arrive(1))
    actions = driver.give(api.TimerDue("1"), after=5 * S)
    assert finals(actions) == [api.Fail(1)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_task_that_may_have_run_is_failed_not_resent(outcome: api.Outcome) -> None:
    driver = Driver(settings(task_class("web", api.Effect.UNSAFE)))
    driver.listing(listed(1), listed(2))
    (bind,) = binds(driver.arrive(1))
    actions = driver.end(1, bind.machine, outcome)
    assert not binds(actions)
    assert finals(actions) == [api.Fail(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
@pytest.mark.parametrize("effect", list(api.Effect))
def test_a_task_that_never_ran_may_be_bound_anywhere(
    outcome: api.Outcome, effect: api.Effect
) -> None:
    driver = Driver(settings(task_class("web", effect, group=api.Place.CELL)))
    driver.listing(listed(1), listed(4))
    (bind,) = binds(driver.arrive(1))
    assert binds(driver.end(1, bind.machine, outcome, reason=api.Reason.NO_CORES))


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("group", [api.Place.CELL, api.Place.ZONE, api.Place.ALL])
def test_a_keyed_task_stays_in_its_group(outcome: api.Outcome, group: api.Place) -> None:
    driver = Driver(settings(task_class("web", api.Effect.KEYED, group=group)))
    machines = {i: listed(i, zone="a" if i < 6 else "b") for i in range(9)}
    driver.listing(*machines.values())
    (bind,) = binds(driver.arrive(1, wait=9 * S))
    first = machines[bind.machine]
    for second_bind in binds(driver.end(1, bind.machine, outcome)):
        second = machines[second_bind.machine]
        assert group is not api.Place.CELL or second.cell == first.cell
        assert group is not api.Place.ZONE or second.zone == first.zone


def test_a_keyed_task_is_not_resent_after_its_window() -> None:
    driver = Driver(settings(task_class("web", api.Effect.KEYED, window_us=S)))
    driver.listing(listed(1), listed(2))
    (bind,) = binds(driver.arrive(1, wait=9 * S))
    driver.now += 2 * S
    assert not binds(driver.end(1, bind.machine, api.Outcome.TIMED_OUT))


def test_a_keyed_task_in_a_narrow_group_is_failed_not_refused() -> None:
    driver = Driver(settings(task_class("web", api.Effect.KEYED, group=api.Place.CELL)))
    driver.listing(listed(1))
    (bind,) = binds(driver.arrive(1))
    driver.end(1, bind.machine, api.Outcome.TIMED_OUT)
    assert finals(driver.give(api.TimerDue("1"), after=5 * S)) == [api.Fail(1)]


@pytest.mark.parametrize("phase", [api.Phase.DRAINING, api.Phase.GONE])
def test_nothing_goes_to_a_draining_machine(driver: Driver, phase: api.Phase) -> None:
    driver.listing(listed(1), listed(2))
    driver.listing(listed(1, phase=phase), form=api.ListForm.CHANGES)
    for request in range(3):
        assert all(bind.machine == 2 for bind in binds(driver.arrive(request)))


def test_a_machine_missing_from_a_full_list_is_gone(driver: Driver) -> None:
    driver.listing(listed(1))
    driver.listing()
    assert not binds(driver.arrive(1))


def test_discovery_without_push_is_asked_again_before_its_interval_ends() -> None:
    driver = Driver(settings(discovery=api.Discovery.ASK))
    driver.listing(listed(1), form=api.ListForm.SAVED)
    asked: list[int] = []
    start = driver.now
    for _ in range(600):
        if api.WatchList() in driver.give(api.TimerDue("sweep"), after=50_000):
            asked.append(driver.now - start)
            driver.listing(form=api.ListForm.FAILED)
    gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    assert asked[0] < S
    assert max(gaps) < 5 * S
    assert len(asked) < 40


def test_a_subscription_is_not_asked_for_twice() -> None:
    driver = Driver(settings(discovery=api.Discovery.ASK))
    driver.listing(form=api.ListForm.SAVED)
    assert api.WatchList() in driver.give(api.TimerDue("sweep"), after=50_000)
    driver.listing(listed(1))
    assert not any(
        api.WatchList() in driver.give(api.TimerDue("sweep"), after=S) for _ in range(60)
    )


def cold_offers(placers: int, index: int, offers: float, age: int = 10 * S) -> int:
    """Offers that one placer sends to a machine that has just started, within one window."""
    driver = Driver(settings(fresh_offers=offers, placers=placers, index=index))
    driver.listing(listed(7), form=api.ListForm.SAVED)
    driver.now += age
    driver.listing(listed(7, launched_us=driver.now - S))
    sent = 0
    for request in range(40):
        for bind in binds(driver.arrive(request, cores=0.1)):
            sent += 1
            driver.placed(request, bind.machine)
        driver.now += 10_000
    return sent


@pytest.mark.parametrize(("placers", "offers"), [(1, 6.0), (3, 7.0), (40, 7.9), (12, 12.0)])
def test_all_placers_together_send_a_cold_machine_exactly_its_offers(
    placers: int, offers: float
) -> None:
    sent = [cold_offers(placers, index, offers) for index in range(placers)]
    assert sum(sent) == int(offers)
    assert max(sent) - min(sent) <= 1


def test_a_placer_that_restarts_takes_its_cold_share_as_spent() -> None:
    assert cold_offers(1, 0, 6.0, age=0) == 0


def test_a_refused_offer_counts_against_the_cold_share() -> None:
    driver = Driver(settings(fresh_offers=7.0, placers=3))
    driver.listing(listed(1, launched_us=driver.now - S))
    sent = 0
    for request in range(40):
        for bind in binds(driver.arrive(request)):
            sent += 1
            driver.end(request, bind.machine, api.Outcome.REFUSED, reason=api.Reason.NO_CORES)
        driver.listing(listed(1, launched_us=driver.now - S), form=api.ListForm.CHANGES)
        driver.now += 10_000
    assert 1 <= sent <= 3


@pytest.mark.parametrize("place", [api.Place.MACHINE, api.Place.CELL, api.Place.ZONE])
def test_spread_counts_running_and_handed_over_tasks(place: api.Place) -> None:
    driver = Driver(settings(task_class("web", spread=place, spread_most=2)))
    driver.listing(listed(0))
    driver.found(1, 0)
    (bind,) = binds(driver.arrive(2))
    driver.placed(2, bind.machine)
    assert not binds(driver.arrive(3))
    driver.end(1, 0, api.Outcome.DONE, closed=True)
    assert binds(driver.give(api.TimerDue("sweep"), after=S))


@pytest.mark.parametrize("level", [math.nan, math.inf, -3.0, 1e30])
def test_implausible_figures_are_ignored(driver: Driver, level: float) -> None:
    driver.listing(listed(1, free=math.nan, memory=1e30), listed(2, free=math.inf))
    (bind,) = binds(driver.arrive(1))
    driver.placed(1, bind.machine)
    for kind in api.NoteKind:
        driver.give(api.TaskNote(1, 0, bind.machine, kind, level))
    driver.give(api.Probed(1, api.Outcome.DONE, api.Report(level, level)))
    driver.give(api.Probed(2, api.Outcome.DONE, api.Report(None, 2.0)))
    driver.give(api.TimerDue("sweep"), after=S)
    assert binds(driver.arrive(2))


def test_events_without_a_matching_request_are_ignored(driver: Driver) -> None:
    driver.listing(listed(1))
    (bind,) = binds(driver.arrive(1))
    assert driver.arrive(1) == []
    driver.end(1, bind.machine, api.Outcome.TIMED_OUT, closed=True)
    for event in (
        api.TaskPlaced(1, 0, 1, 5),
        api.TaskPlaced(9, 0, 77, 5),
        api.TaskWithdrawn(9),
        api.TimerDue("1"),
        api.TimerDue("999"),
        api.TimerDue("what"),
        api.AttemptEnded(1, 0, 1, api.Outcome.DONE, api.Reason.UNTOLD, True, 1, None),
        api.Probed(77, api.Outcome.DONE, None),
        api.TaskNote(9, 0, 1, api.NoteKind.RUNS, 1.0),
    ):
        assert driver.give(event, after=10 * S) == []


def test_settings_out_of_range_name_their_key() -> None:
    out_of_range = {"booking_cores": math.nan, "fall_us": -1, "attempts_most": 0, "placers": 0}
    for key, value in (("index", 2), ("index", -1), *out_of_range.items()):
        with pytest.raises(ValueError, match=key):
            settings(**{key: value})


def test_errors_of_a_task_on_two_machines_back_off_neither() -> None:
    driver = Driver(settings(task_class("web")))
    driver.listing(listed(1), listed(2), listed(3))
    (first,) = binds(driver.arrive(1))
    (second,) = binds(driver.end(1, first.machine, api.Outcome.ERROR))
    assert second.machine != first.machine  # the first machine is in backoff until more is known
    driver.end(1, second.machine, api.Outcome.ERROR, attempt=1)
    driver.give(api.TaskWithdrawn(1))
    known = {each.machine: each for each in driver.scheduler.knowledge(driver.now).machines}
    assert not any(each.rests_us for each in known.values())


def test_an_error_on_one_machine_alone_backs_it_off() -> None:
    driver = Driver(settings(task_class("web")))
    driver.listing(listed(1), listed(2), listed(3))
    (first,) = binds(driver.arrive(1))
    (second,) = binds(driver.end(1, first.machine, api.Outcome.ERROR))
    driver.give(api.TaskPlaced(1, 1, second.machine, 1000))
    known = {each.machine: each for each in driver.scheduler.knowledge(driver.now).machines}
    assert known[first.machine].rests_us
    assert not known[second.machine].rests_us


def test_new_settings_apply_at_once_also_to_open_tasks() -> None:
    spread = task_class("web", spread=api.Place.ZONE, spread_most=2)
    driver = Driver(settings(spread, attempts_most=4))
    driver.listing(listed(1), listed(2))
    (first,) = binds(driver.arrive(1))
    assert binds(driver.arrive(2)), "two tasks of one service in the zone"
    driver.give(settings(task_class("web", spread=api.Place.ZONE, spread_most=1), attempts_most=1))
    assert not binds(driver.arrive(3)), "two tasks are in the zone where one is allowed now"
    assert finals(driver.end(1, first.machine, api.Outcome.REFUSED)) == [api.Refuse(1)], (
        "one attempt is the maximum"
    )
    driver.give(settings(task_class("web", spread=api.Place.ZONE, spread_most=3), attempts_most=4))
    assert binds(driver.arrive(4))
