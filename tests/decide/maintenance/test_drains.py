"""Calendar drains, their plan and their progress: budgets, capacity, failed zones, a wall clock set back."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import datetime

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wingbarrow.decide.maintenance.drain_plan import (
    Budget,
    Drain,
    MachineState,
    PlanOutcome,
    PlanRules,
    Scope,
    plan,
)
from wingbarrow.decide.maintenance.drain_progress import (
    ENDED_PHASES,
    DrainPolicy,
    DrainStep,
    DrainTracker,
    Phase,
    RunningTask,
    TrackedDrain,
    failed_zones,
)
from wingbarrow.decide.maintenance.windows import (
    SECOND,
    Blackout,
    Occurrence,
    Selector,
    Series,
    UnsafePolicy,
    time_zone,
)

HOUR = 3600 * SECOND
START = 100 * HOUR


def machine(number: int, **more: object) -> MachineState:
    base = MachineState(
        f"n{number:03}",
        f"r{number // 3}",
        "a" if number < 6 else "b",
        "small",
        {},
        (10.0, 10.0),
        (4.0, 4.0),
    )
    return replace(base, **more)  # type: ignore[arg-type]


FLEET = [machine(number) for number in range(12)]
ONE_PER_RACK = PlanRules((Budget(Scope.CELL, 1),))


def window(
    title: str,
    start: int = START,
    duration: int = 2 * HOUR,
    each: int = 0,
    precedence: int = 0,
    **selector: str,
) -> Occurrence:
    series = Series(
        title,
        datetime(2026, 1, 1, tzinfo=time_zone("UTC")),
        duration,
        each or duration,
        selectors=(Selector(**(selector or {"name": "*"})),),  # type: ignore[arg-type]
        precedence=precedence,
    )
    return Occurrence(series, start, start + duration)


def planned(drains: list[Drain]) -> list[Drain]:
    return [drain for drain in drains if drain.outcome is PlanOutcome.PLANNED]


def test_the_machines_of_a_cell_are_planned_one_after_another() -> None:
    found = plan([window("w", each=HOUR // 2, cell="r0")], FLEET, ONE_PER_RACK)
    assert [(drain.machine, drain.start_us - START) for drain in found] == [
        ("n000", 0),
        ("n001", HOUR // 2),
        ("n002", HOUR),
    ]


def test_of_two_windows_that_would_empty_a_cell_the_one_of_higher_precedence_is_planned() -> None:
    rules = PlanRules((Budget(Scope.CELL, 2),))
    first, second = window("low", cell="r0"), window("high", precedence=5, name="n000")
    found = plan(sorted([first, second], key=lambda o: -o.series.precedence), FLEET, rules)
    by_window = {(drain.window, drain.machine): drain for drain in found}
    assert by_window["high", "n000"].outcome is PlanOutcome.PLANNED
    assert "high" in by_window["low", "n000"].reason
    assert by_window["low", "n001"].outcome is PlanOutcome.PLANNED
    assert by_window["low", "n002"].outcome is PlanOutcome.REFUSED
    assert "2 machine(s)" in by_window["low", "n002"].reason


def test_three_windows_that_fit_the_budget_singly_are_not_planned_together() -> None:
    found = plan(
        [window("a", name="n000"), window("b", name="n001"), window("c", name="n002")],
        FLEET,
        PlanRules((Budget(Scope.CELL, None, 1),)),
    )
    assert [drain.outcome for drain in found] == [
        PlanOutcome.PLANNED,
        PlanOutcome.PLANNED,
        PlanOutcome.REFUSED,
    ]


def test_a_window_for_all_machines_leaves_capacity_for_the_demand() -> None:
    found = plan([window("all")], FLEET, PlanRules((), fill=0.9))
    out = len(planned(found))
    assert out == 6
    assert 0.9 * (12 - out) * 10.0 + 1e-9 >= 4.0 * 12
    assert any("would not fit" in drain.reason for drain in found)
    full = [replace(each, requested=(9.5, 9.5)) for each in FLEET]
    assert not planned(plan([window("all")], full, PlanRules(())))


def test_the_last_machine_of_a_kind_that_a_class_needs_stays() -> None:
    fleet = [
        replace(each, requested=(0.1, 0.1))
        for each in [*FLEET[:4], machine(4, kind="large"), machine(5, kind="large")]
    ]
    found = plan([window("all")], fleet, PlanRules((), kinds_needed=("large",), fill=1.0))
    large = [drain for drain in found if drain.machine in ("n004", "n005")]
    assert sorted(drain.outcome.value for drain in large) == ["planned", "refused"]


def test_nothing_starts_in_a_blackout() -> None:
    rules = PlanRules((), blackouts=(Blackout("christmas", START - HOUR, START + HOUR),))
    found = plan(
        [window("w", name="n001"), window("later", start=START + HOUR, name="n002")], FLEET, rules
    )
    assert "christmas" in found[0].reason
    assert found[1].outcome is PlanOutcome.PLANNED


def test_shares_round_as_a_disruption_budget_does() -> None:
    assert Budget(Scope.CELL, 0.5, None, True).max_out(3) == 2
    assert Budget(Scope.CELL, None, 0.5, True).max_out(3) == 1
    assert Budget(Scope.ALL, None, 5).max_out(3) == 0


OCCURRENCES = st.lists(
    st.tuples(
        st.integers(0, 40),
        st.integers(1, 8),
        st.integers(1, 8),
        st.sampled_from(
            [
                {"name": "*"},
                {"cell": "r0"},
                {"cell": "r2"},
                {"zone": "a"},
                {"zone": "b"},
                {"name": "n001"},
            ]
        ),
    ),
    max_size=8,
)


@settings(max_examples=150, deadline=None)
@given(
    OCCURRENCES,
    st.integers(0, 3),
    st.integers(0, 5),
    st.sampled_from([0.5, 2.0, 5.0, 8.0]),
    st.sets(st.integers(0, 11), max_size=4),
)
def test_every_plan_keeps_its_budgets_and_the_same_input_gives_the_same_plan(
    spec: list[tuple[int, int, int, dict[str, str]]],
    cell_limit: int,
    fleet_limit: int,
    requested: float,
    lost: set[int],
) -> None:
    fleet = [
        replace(each, requested=(requested, requested), running=number not in lost)
        for number, each in enumerate(FLEET)
    ]
    rules = PlanRules((Budget(Scope.CELL, cell_limit), Budget(Scope.ALL, fleet_limit)))
    occurrences = sorted(
        (
            window(
                f"w{i}",
                START + at * HOUR // 4,
                duration * HOUR // 4,
                min(each, duration) * HOUR // 4,
                0,
                **where,
            )
            for i, (at, duration, each, where) in enumerate(spec)
        ),
        key=lambda each: (each.start_us, each.series.name),
    )
    found = plan(occurrences, fleet, rules)
    assert found == plan(occurrences, list(reversed(fleet)), rules)
    planned_drains = planned(found)
    running = {each.name: each for each in fleet if each.running}
    for moment in {drain.start_us for drain in planned_drains}:
        out = [drain.machine for drain in planned_drains if drain.start_us <= moment < drain.end_us]
        assert len(out) == len(set(out)) <= fleet_limit
        assert all(
            count <= cell_limit for count in Counter(running[name].cell for name in out).values()
        )
        left = sum(each.size[0] for each in running.values()) - 10.0 * len(out)
        assert not out or sum(each.requested[0] for each in running.values()) <= 0.9 * left + 1e-6
    for drain in planned_drains:
        assert drain.machine in running
        occurrence = next(
            each
            for each in occurrences
            if each.ident == drain.occurrence and each.series.name == drain.window
        )
        assert occurrence.start_us <= drain.start_us < drain.end_us <= occurrence.end_us
    assert all(drain.reason for drain in found if drain.outcome is PlanOutcome.REFUSED)


# -- progress of drains


DRAIN = Drain("w", "w@1", "n001", PlanOutcome.PLANNED, START, START + HOUR)
ZONES = {"n001": "a", "n002": "b"}
NONE: frozenset[str] = frozenset()


def make_tracker(
    unsafe: UnsafePolicy = UnsafePolicy.WAIT, placers: int = 1, **policy: object
) -> DrainTracker:
    tracker = DrainTracker(replace(DrainPolicy(), **policy), placers)  # type: ignore[arg-type]
    tracker.on_plan([(DRAIN, unsafe)], START - 10 * HOUR)
    return tracker


def phase(tracker: DrainTracker) -> Phase:
    return tracker.tracked[DRAIN.key].phase


def step(
    tracker: DrainTracker,
    now: int,
    tasks: list[RunningTask] | None = None,
    failed: frozenset[str] = NONE,
    has_capacity: bool = True,
) -> DrainStep:
    return tracker.step(now, {"n001": tasks or []}, ZONES, failed, {"n001": has_capacity})


def test_a_drain_closes_for_long_tasks_then_for_all_then_is_out_then_done() -> None:
    tracker = make_tracker()
    far = step(tracker, START - 2 * HOUR)
    assert far.closing == {"n001": START}
    assert not far.closed
    assert step(tracker, START - 61 * SECOND).closing == {"n001": START}
    near = step(tracker, START - 60 * SECOND)
    assert near.closed == {"n001"}
    assert not near.closing
    assert step(tracker, START - 59 * SECOND).changed[0].phase is Phase.OUT
    assert step(tracker, START + HOUR - 1).closed == {"n001"}
    over = step(tracker, START + HOUR)
    assert not over.closed
    assert over.changed[0].phase is Phase.DONE


def test_only_movable_tasks_that_would_outlive_the_start_are_moved_at_the_pace() -> None:
    tracker = make_tracker(moves=2, every_us=SECOND)
    tasks = [
        RunningTask(1, True, START + HOUR),
        RunningTask(2, False, None),
        RunningTask(3, True, START - 30 * SECOND),
        RunningTask(4, True, None),
        RunningTask(5, True, START + 2 * HOUR),
    ]
    step(tracker, START - 61 * SECOND, tasks)
    moved: list[int] = []
    for second in range(-60, -50):
        left = [task for task in tasks if task.request not in moved]
        taken = step(tracker, START + second * SECOND, left)
        assert len(taken.moves) <= 2
        moved += taken.moves
    assert sorted(moved) == [1, 4, 5]
    assert moved[0] == 4


def test_placers_share_the_pace_without_doubling_it() -> None:
    moved = 0
    for _ in range(4):
        tracker = make_tracker(placers=4, moves=4)
        tasks = [RunningTask(number, True, None) for number in range(100)]
        for tick in range(21):
            taken = step(tracker, START - 60 * SECOND + tick * SECOND // 2, tasks)
            moved += len(taken.moves)
            tasks = [task for task in tasks if task.request not in taken.moves]
    assert moved <= 4 * 10 + 4


@pytest.mark.parametrize(
    ("policy", "outcome"),
    [
        (UnsafePolicy.GIVE_UP, Phase.GIVEN_UP),
        (UnsafePolicy.SHORTEN, Phase.OUT),
        (UnsafePolicy.WAIT, Phase.OUT),
    ],
)
def test_tasks_that_must_not_start_twice_end_by_themselves_as_the_window_says(
    policy: UnsafePolicy, outcome: Phase
) -> None:
    tracker = make_tracker(policy)
    batch = [RunningTask(9, False, START + HOUR // 2)]
    for second in range(-60, 600, 10):
        assert not step(tracker, START + second * SECOND, batch).moves
    step(tracker, START + HOUR // 2, [])
    assert phase(tracker) is outcome
    if outcome is Phase.OUT:
        end = tracker.tracked[DRAIN.key].drain.end_us
        assert (
            end == START + HOUR
            if policy is UnsafePolicy.SHORTEN
            else end > START + HOUR + 9 * 60 * SECOND
        )


def test_a_failed_zone_stops_drains_elsewhere_and_gives_up_those_begun() -> None:
    tracker = make_tracker()
    assert not step(tracker, START - 60 * SECOND, failed=frozenset("b")).closed
    assert "b has failed" in tracker.tracked[DRAIN.key].reason
    assert step(tracker, START - 50 * SECOND).closed
    back = make_tracker(take_back=True)
    task = [RunningTask(1, True, None)]
    step(back, START - 60 * SECOND, task)
    assert not step(back, START - 50 * SECOND, task, frozenset("b")).closed
    assert phase(back) is Phase.GIVEN_UP
    lenient = make_tracker(take_back=False)
    step(lenient, START - 60 * SECOND, task)
    assert step(lenient, START - 50 * SECOND, task, frozenset("b")).closed
    own = make_tracker()
    step(own, START - 60 * SECOND, task)
    assert step(own, START - 50 * SECOND, task, frozenset("a")).closed, (
        "the failure of its own zone does not end a drain"
    )


def test_without_capacity_elsewhere_a_drain_waits_and_moves_nothing() -> None:
    tracker = make_tracker()
    assert not step(
        tracker, START - 60 * SECOND, [RunningTask(1, True, None)], has_capacity=False
    ).closed
    taken = step(tracker, START, [RunningTask(1, True, None)], has_capacity=False)
    assert taken.closed
    assert not taken.moves
    step(tracker, START + HOUR, [RunningTask(1, True, None)], has_capacity=False)
    assert phase(tracker) is Phase.GIVEN_UP
    assert "still run" in tracker.tracked[DRAIN.key].reason


def test_a_clock_set_back_undoes_nothing_and_a_restart_restores_the_phase() -> None:
    tracker = make_tracker()
    task = [RunningTask(1, False, None)]
    step(tracker, START - 60 * SECOND, task)
    restarted = DrainTracker(DrainPolicy(), 1)
    restarted.restore(tracker.tracked.values())
    restarted.on_plan([(DRAIN, UnsafePolicy.WAIT)], START - 2 * HOUR)
    assert step(restarted, START - 2 * HOUR, task).closed
    assert phase(restarted) is Phase.CLOSED
    step(restarted, START - 2 * HOUR, [])
    assert phase(restarted) is Phase.OUT


def test_a_cancelled_drain_is_not_planned_anew() -> None:
    tracker = make_tracker()
    step(tracker, START - 60 * SECOND, [RunningTask(1, True, None)])
    assert tracker.cancel(DRAIN.key, START)
    assert not tracker.cancel(DRAIN.key, START)
    assert not tracker.cancel("none", START)
    tracker.on_plan([(DRAIN, UnsafePolicy.WAIT)], START)
    assert phase(tracker) is Phase.GIVEN_UP
    assert not step(tracker, START).closed


def test_a_pending_offer_keeps_a_machine_from_counting_as_empty() -> None:
    tracker = make_tracker()
    step(tracker, START - 60 * SECOND, [RunningTask(1, True, None, True)])
    assert not step(tracker, START - 50 * SECOND, [RunningTask(1, True, None, True)]).moves
    assert phase(tracker) is Phase.CLOSED
    step(tracker, START - 40 * SECOND, [])
    assert phase(tracker) is Phase.OUT
    assert step(tracker, START - 30 * SECOND, [RunningTask(1, True, None)]).moves == (1,), (
        "a task that a late answer adds is moved too"
    )


def test_a_window_in_the_past_never_begins() -> None:
    tracker = DrainTracker(DrainPolicy(), 1)
    tracker.on_plan([(DRAIN, UnsafePolicy.WAIT)], START + 2 * HOUR)
    assert not tracker.tracked
    late = make_tracker()
    step(late, START + 2 * HOUR)
    assert phase(late) is Phase.GIVEN_UP


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(-200, 4000), st.integers(0, 2), st.booleans(), st.booleans()),
        max_size=30,
    )
)
def test_phases_only_go_forward_whatever_the_clock_does(
    moments: list[tuple[int, int, bool, bool]],
) -> None:
    tracker = make_tracker()
    order = [Phase.PLANNED, Phase.CLOSED, Phase.OUT, Phase.DONE]
    last = Phase.PLANNED
    for second, tasks, failed, has_capacity in moments:
        taken = step(
            tracker,
            START + second * SECOND,
            [RunningTask(n, n == 0, None) for n in range(tasks)],
            frozenset("b") if failed else NONE,
            has_capacity,
        )
        assert all(request == 0 for request in taken.moves), (
            "only tasks that may start twice are moved"
        )
        now = phase(tracker)
        assert last not in ENDED_PHASES or now is last
        assert now is Phase.GIVEN_UP or order.index(now) >= order.index(last)
        last = now


def test_a_zone_has_failed_when_a_share_of_it_is_lost_without_a_drain() -> None:
    here = (
        [("a", True, False)] * 3
        + [("a", False, True)] * 3
        + [("b", True, False)] * 2
        + [("b", False, False)] * 2
    )
    assert failed_zones(here, 0.5) == {"b"}
    assert failed_zones(here, 0.6) == NONE
    assert isinstance(TrackedDrain(DRAIN, Phase.PLANNED, UnsafePolicy.WAIT, 0), TrackedDrain)
