"""Overload control: deadlines, stalls, standing queues, rates of answers, and the measure of lag."""

from __future__ import annotations

from wingbarrow.decide.overload import (
    INTERVAL_US,
    TARGET_US,
    OverloadControl,
    Rejected,
    RejectReason,
)
from wingbarrow.transport.lag import Lag

S = 1_000_000


def test_patience_runs_from_a_time_before_the_arrival() -> None:
    overload = OverloadControl(20_000)
    assert overload.due_us(10 * S, 9 * S, 5 * S, 0) == 14 * S
    rejected = overload.due_us(10 * S, 5 * S, 5 * S, 0)
    assert isinstance(rejected, Rejected)
    assert rejected.why is RejectReason.OUT_OF_PATIENCE
    assert isinstance(overload.due_us(10 * S, 10 * S - 100_000, 130_000, 0), Rejected), (
        "too little patience is left"
    )


def test_a_late_placer_reserves_its_lag_up_to_an_eighth_of_the_patience() -> None:
    overload = OverloadControl(20_000)
    assert overload.due_us(S, S, 8 * S, 300_000) == S + 8 * S - 300_000
    assert overload.due_us(S, S, 8 * S, 3 * S) == S + 7 * S


def test_a_queue_left_by_a_stall_is_worked_off_and_a_standing_queue_is_cut() -> None:
    overload, now = OverloadControl(20_000), 100 * S
    # A queue left by a stall of one second: requests are read one by one, and later ones waited less.
    for turn in range(40):
        assert overload.check_wait(now + turn * 10_000, now - S + turn * 25_000, 0, 0) is None
    # A standing queue: the wait stays above the target.
    for turn in range(100):
        arrived_us = now + 2 * S + turn * 10_000
        rejected = overload.check_wait(arrived_us + TARGET_US + 50_000, arrived_us, 0, 0)
        assert (rejected is not None) == (turn * 10_000 >= INTERVAL_US)
        assert rejected is None or (
            rejected.why is RejectReason.OVERLOADED and rejected.retry_after_s >= 1
        )
    assert overload.check_wait(now + 9 * S, now + 9 * S - 1000, 0, 0) is None
    assert overload.check_wait(now + 9 * S + 300_000, now + 9 * S, 0, 0) is None, (
        "one short wait ends the overload"
    )


def test_a_late_placer_with_many_unanswered_tasks_admits_nothing() -> None:
    overload = OverloadControl(20_000)
    assert overload.check_wait(S, S, 140_000, 10_000) is None
    assert overload.check_wait(S, S, 900_000, 60) is None
    rejected = overload.check_wait(S, S, 160_000, 65)
    assert rejected is not None
    assert rejected.why is RejectReason.OVERLOADED


def test_a_job_that_cannot_be_answered_in_time_at_the_present_rate_is_rejected() -> None:
    overload, answered = OverloadControl(20_000), 0
    for turn in range(20):  # a hundred answers a second
        now = 100 * S + turn * 250_000
        answered += 25
        assert isinstance(overload.due_us(now, now, 4 * S, 100_000, 150, answered), int)
    rejected = overload.due_us(now, now, 4 * S, 100_000, 210, answered)
    assert isinstance(rejected, Rejected)
    assert rejected.why is RejectReason.OVERLOADED
    assert isinstance(overload.due_us(now, now, 20 * S, 100_000, 210, answered), int), (
        "its patience suffices"
    )
    assert isinstance(overload.due_us(now, now, 4 * S, 0, 210, answered), int), (
        "without lag, waiting for capacity is not overload"
    )
    assert isinstance(overload.due_us(now, now, S, 100_000, 60, answered), int), (
        "with few unanswered tasks a Job is always admitted"
    )


def test_lag_is_a_decaying_peak() -> None:
    lag = Lag()
    lag.note(0, 999)
    assert lag.recent_us(0) == 0
    lag.note(S, 400_000)
    lag.note(S, 10_000)
    assert lag.recent_us(S) == 400_000
    assert lag.recent_us(2 * S) == 200_000
    assert lag.recent_us(3 * S) == 100_000
    lag.note(4 * S, 60_000)
    assert lag.recent_us(4 * S) == 60_000
    assert lag.recent_us(100 * S) == 0
    assert lag.worst_us == 400_000
    assert lag.late_count == 2
