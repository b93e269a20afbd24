"""Random Early Migration: the probability of a move, its condition, the task to move, and the choice of a machine."""

from __future__ import annotations

import random

from tests.conftest import Driver, S, binds, listed, settings, task_class
from wingbarrow import interface as api
from wingbarrow import machine_state, placement


def move_share(load: float, other_load: float = 0.0, trials: int = 200) -> float:
    """Share of binds that move a task, at this load (as a share of L) of the machine bound to."""
    moved = 0
    for seed in range(trials):
        driver = Driver(settings(booking_cores=9.0, booking_memory=9.0), seed)
        driver.listing(listed(1), listed(2))
        driver.found(1, 1)
        driver.found(2, 1, service="t")
        driver.give(api.TimerDue("sweep"), after=9 * S)
        for ident, share in ((1, load), (2, other_load)):
            fleet = driver.scheduler._fleet
            fleet._record_measured_use(fleet.machines[ident], 20 * share, 0.0)
        task = driver.scheduler._selector.select_move(driver.scheduler._fleet.machines[1])
        moved += task is not None
        assert task is None or task.arrival.request == 1
    return moved / trials


def test_move_probability_is_zero_below_r_min_linear_between_and_one_above_r_max() -> None:
    assert move_share(placement.R_MIN - 0.02) == 0.0
    middle = move_share((placement.R_MIN + placement.R_MAX) / 2)
    assert abs(middle - placement.P_MAX / 2) < 0.12
    assert move_share(placement.R_MAX + 0.02) == 1.0


def test_no_move_without_a_fitting_machine_below_r_min() -> None:
    assert move_share(1.2, other_load=placement.R_MIN + 0.05) == 0.0


def test_the_pick_is_among_the_least_loaded_candidates() -> None:
    chosen = set()
    for seed in range(60):
        driver = Driver(settings(), seed)
        driver.listing(*(listed(i, free=20.0 - i) for i in range(8)))
        for i in range(8):
            driver.found(100 + i, i)  # the program is warm everywhere
        (bind,) = binds(driver.arrive(1))
        chosen.add(bind.machine)
    assert chosen == {0, 1, 2}


def test_a_machine_without_a_report_counts_as_average() -> None:
    driver = Driver(settings())
    driver.listing(listed(1, free=20.0), listed(2, free=0.0), listed(3, free=float("nan")))
    load = {
        i: driver.scheduler._fleet.load(machine)
        for i, machine in driver.scheduler._fleet.machines.items()
    }
    assert load[1] < load[3] < load[2]


def test_own_binds_count_once_until_the_list_contains_them() -> None:
    driver = Driver(settings())
    driver.listing(listed(1))
    driver.arrive(1, cores=4.0)
    machine = driver.scheduler._fleet.machines[1]
    assert machine.allocated[0] == 4.0
    driver.listing(listed(1), form=api.ListForm.CHANGES)  # refers to an earlier time
    assert machine.allocated[0] == 4.0
    driver.now += 10 * S
    driver.listing(listed(1, free=16.0), form=api.ListForm.CHANGES)
    assert machine.allocated[0] == 4.0


def test_a_refused_bind_is_released_and_its_reason_outranks_the_list() -> None:
    driver = Driver(settings(booking_cores=1.0))
    driver.listing(listed(1), listed(2, free=10.0))
    driver.found(5, 1)  # the program is warm on the emptier machine
    (bind,) = binds(driver.arrive(1, cores=4.0))
    assert bind.machine == 1
    (second_bind,) = binds(driver.end(1, 1, api.Outcome.REFUSED, reason=api.Reason.NO_CORES))
    assert second_bind.machine == 2
    driver.listing(listed(1), form=api.ListForm.CHANGES)  # the stale list is repeated
    assert all(bind.machine == 2 for bind in binds(driver.arrive(2, cores=4.0)))


def test_same_events_same_actions() -> None:
    def run() -> list[list[api.Action]]:
        driver = Driver(settings(), 7)
        return [driver.listing(*(listed(i) for i in range(6)))] + [
            driver.arrive(i) for i in range(30)
        ]

    assert run() == run()


def test_an_attempt_is_not_abandoned_before_the_deadline() -> None:
    driver = Driver(settings())
    driver.listing(listed(1))
    (bind,) = binds(driver.arrive(1, wait=5 * S))
    assert bind.give_up_us == driver.now + 5 * S


def test_placers_without_contact_start_a_service_on_the_same_machine() -> None:
    chosen = set()
    for seed in range(20):
        driver = Driver(settings(), seed)
        driver.listing(*(listed(i) for i in range(8)))
        (bind,) = binds(driver.arrive(1, service="shop"))
        chosen.add(bind.machine)
    assert len(chosen) == 1


def test_a_task_goes_where_its_program_is_warm() -> None:
    for warm in range(4):
        driver = Driver(settings())
        driver.listing(*(listed(i) for i in range(4)))
        driver.found(50, warm, service="shop")
        (bind,) = binds(driver.arrive(1, service="shop"))
        assert bind.machine == warm


def test_a_warm_machine_takes_more_starts_also_outside_the_active_set() -> None:
    driver = Driver(settings(placers=4, prices=api.Prices(0.2, 0.003)))
    driver.listing(*(listed(i) for i in range(12)))
    driver.arrive(99, service="other", cores=0.1)
    inactive = next(m for m in driver.scheduler._fleet.machines.values() if not m.active)
    driver.found(50, inactive.listed.machine, service="shop", cores=0.1)
    chosen = [
        bind.machine
        for i in range(20)
        for bind in binds(driver.arrive(i, service="shop", cores=0.1))
    ]
    assert (
        chosen[: placement.START_LIMIT * placement.WARM_START_FACTOR]
        == [inactive.listed.machine] * 16
    )
    assert len(chosen) == 20
    assert inactive.listed.machine not in chosen[16:]


def test_an_unreachable_machine_is_backed_off_then_gets_one_start_at_a_time() -> None:
    driver = Driver(settings())
    driver.listing(listed(1))
    (bind,) = binds(driver.arrive(1))
    assert not binds(driver.end(1, bind.machine, api.Outcome.UNREACHABLE))
    driver.arrive(2)
    assert len(binds(driver.give(api.TimerDue("sweep"), after=S))) == 1


def test_where_machines_in_use_are_priced_the_candidates_are_few() -> None:
    wide, narrow = (Driver(settings(prices=api.Prices(fleet, 0.003))) for fleet in (0.0, 0.2))
    used: list[set[int]] = []
    for driver in (wide, narrow):
        driver.listing(*(listed(i) for i in range(12)))
        used.append(set())
        for i in range(60):
            (bind,) = binds(driver.arrive(i, service=f"s{i}", cores=0.1))
            driver.placed(i, bind.machine)
            used[-1].add(bind.machine)
    assert len(used[1]) == machine_state.LEAST_LOADED_COUNT < len(used[0])


def test_a_placer_alone_starts_more_at_a_time_on_a_machine() -> None:
    for placers, limit in ((1, placement.SHARED_START_LIMIT), (4, placement.START_LIMIT)):
        driver = Driver(settings(placers=placers))
        driver.listing(listed(1))
        assert sum(len(binds(driver.arrive(i, cores=0.1))) for i in range(20)) == limit


def test_allocations_match_a_recomputation_after_random_events() -> None:
    driver, rng = Driver(settings(attempts_most=1)), random.Random(3)
    driver.listing(listed(1, free=12.0))
    events: list[tuple[int, float]] = []  # time and cores of own binds and ends
    bound: dict[int, int] = {}
    allocated_cores, as_of = 8.0, driver.now - machine_state.LIST_LAG_US
    for step in range(400):
        driver.now += rng.randrange(200_000)
        if rng.random() < 0.5:
            if binds(driver.arrive(step, cores=0.25)):
                bound[step] = driver.now
                events.append((driver.now, 0.25))
        elif bound and rng.random() < 0.8:
            request = rng.choice(sorted(bound))
            sent = bound.pop(request)
            never_ran = rng.random() < 0.3
            driver.end(request, 1, api.Outcome.UNREACHABLE if never_ran else api.Outcome.BROKEN)
            events.append((sent if never_ran else driver.now, -0.25))
        else:
            allocated_cores, as_of = rng.choice((4.0, 8.0)), driver.now - machine_state.LIST_LAG_US
            driver.listing(listed(1, free=20.0 - allocated_cores), form=api.ListForm.CHANGES)
        expected = allocated_cores + sum(cores for at, cores in events if at > as_of)
        assert abs(driver.scheduler._fleet.machines[1].allocated[0] - expected) < 1e-9


def test_an_idle_placer_sets_no_timer() -> None:
    driver = Driver(settings())
    assert not any(isinstance(action, api.SetTimer) for action in driver.listing(listed(1)))
    driver.placed(1, binds(driver.arrive(1))[0].machine)
    assert driver.give(api.TimerDue("sweep"), after=S) == []


def time_out_attempt(driver: Driver, request: int, name: str) -> None:
    (bind,) = binds(driver.arrive(request, name))
    driver.end(request, bind.machine, api.Outcome.TIMED_OUT, closed=True)


def test_a_timeout_of_one_class_leaves_the_machine_to_the_others() -> None:
    driver = Driver(settings(task_class("web"), task_class("batch")))
    driver.listing(listed(1))
    time_out_attempt(driver, 1, "web")
    (bind,) = binds(driver.arrive(2, "batch"))
    driver.placed(2, bind.machine)  # a start of another class does not clear the backoff
    assert not binds(driver.arrive(3, "web"))
    assert binds(driver.give(api.TimerDue("sweep"), after=4 * S))  # tried again after the backoff


def test_a_refusal_without_a_reason_marks_no_machine_full() -> None:
    driver = Driver(settings(task_class("web"), task_class("batch")))
    driver.listing(listed(1))
    (bind,) = binds(driver.arrive(1, "web"))
    assert not binds(driver.end(1, bind.machine, api.Outcome.REFUSED))
    assert binds(driver.arrive(2, "batch"))


def test_memory_notes_count_sooner_for_a_found_task_than_for_a_new_one() -> None:
    driver = Driver(settings())
    driver.listing(listed(1))
    driver.placed(1, binds(driver.arrive(1, memory=2.0))[0].machine)
    driver.found(2, 1, memory=2.0)
    driver.now += machine_state.FOUND_MEMORY_GROWTH_US
    driver.give(api.TaskNote(1, 0, 1, api.NoteKind.MEMORY_USED, 0.1))
    assert driver.scheduler._fleet.use_ratio[1] == machine_state.PRIOR_USE_RATIO
    driver.give(api.TaskNote(2, 0, 1, api.NoteKind.MEMORY_USED, 0.1))
    assert driver.scheduler._fleet.use_ratio[1] < machine_state.PRIOR_USE_RATIO
