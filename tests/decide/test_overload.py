"""The door: patience runs from before a Job was read; a queue that stands is cut, one that a stall left is not."""

from __future__ import annotations

from tests.conftest import task_class
from wingbarrow.decide.overload import (
    INTERVAL_US,
    TARGET_US,
    OverloadControl,
    Rejected,
    RejectReason,
)
from wingbarrow.decide.restarts import WAIT_US, RestartGuard
from wingbarrow.decide.retries import was_answered
from wingbarrow.interface import ListedMachine, Phase, Place
from wingbarrow.transport.lag import Lag

S = 1_000_000


def test_patience_runs_from_when_a_job_had_not_come() -> None:
    door = OverloadControl(20_000)
    assert door.due_us(10 * S, 9 * S, 5 * S, 0) == 14 * S
    away = door.due_us(10 * S, 5 * S, 5 * S, 0)
    assert isinstance(away, Rejected)
    assert away.why is RejectReason.OUT_OF_PATIENCE
    assert isinstance(door.due_us(10 * S, 10 * S - 100_000, 130_000, 0), Rejected), (
        "too little is left"
    )


def test_a_placer_that_runs_late_keeps_back_so_much_but_never_more_than_an_eighth() -> None:
    door = OverloadControl(20_000)
    assert door.due_us(S, S, 8 * S, 300_000) == S + 8 * S - 300_000
    assert door.due_us(S, S, 8 * S, 3 * S) == S + 7 * S


def test_a_stall_is_worked_off_a_standing_queue_is_cut() -> None:
    door, now = OverloadControl(20_000), 100 * S
    for turn in range(
        40
    ):  # what a stall of a second left: read one after the other, newer ones waited less
        assert door.check_wait(now + turn * 10_000, now - S + turn * 25_000, 0, 0) is None
    for turn in range(100):  # waits that stay long
        came = now + 2 * S + turn * 10_000
        away = door.check_wait(came + TARGET_US + 50_000, came, 0, 0)
        assert (away is not None) == (turn * 10_000 >= INTERVAL_US)
        assert away is None or (away.why is RejectReason.OVERLOADED and away.retry_after_s >= 1)
    assert door.check_wait(now + 9 * S, now + 9 * S - 1000, 0, 0) is None
    assert door.check_wait(now + 9 * S + 300_000, now + 9 * S, 0, 0) is None, (
        "one short wait ends it"
    )


def test_a_placer_that_runs_late_with_much_owed_takes_in_no_more() -> None:
    door = OverloadControl(20_000)
    assert door.check_wait(S, S, 140_000, 10_000) is None
    assert door.check_wait(S, S, 900_000, 60) is None
    away = door.check_wait(S, S, 160_000, 65)
    assert away is not None
    assert away.why is RejectReason.OVERLOADED


def test_what_could_not_be_decided_in_time_at_the_present_pace_is_turned_away() -> None:
    door, answered = OverloadControl(20_000), 0
    for turn in range(20):  # a hundred answers a second
        now = 100 * S + turn * 250_000
        answered += 25
        assert isinstance(door.due_us(now, now, 4 * S, 100_000, 150, answered), int)
    away = door.due_us(now, now, 4 * S, 100_000, 210, answered)
    assert isinstance(away, Rejected)
    assert away.why is RejectReason.OVERLOADED
    assert isinstance(door.due_us(now, now, 20 * S, 100_000, 210, answered), int), "it has the time"
    assert isinstance(door.due_us(now, now, 4 * S, 0, 210, answered), int), (
        "waiting for room is no overload"
    )
    assert isinstance(door.due_us(now, now, S, 100_000, 60, answered), int), (
        "a few are always taken in"
    )


def test_the_lag_is_a_peak_that_fades() -> None:
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
    assert lag.times == 2


def test_only_a_start_well_before_the_last_sign_of_life_was_surely_answered() -> None:
    assert was_answered(10 * S, 13 * S, 20 * S)
    assert not was_answered(10 * S, 12 * S, 20 * S)
    assert not was_answered(None, 13 * S, 20 * S)
    assert not was_answered(10 * S, None, 20 * S)
    assert not was_answered(10 * S, 21 * S, 20 * S), "the clock went back: the stamp proves nothing"


def machine(number: int, cell: int, zone: str = "a") -> ListedMachine:
    return ListedMachine(number, "std", cell, zone, Phase.RUNNING, 0, 1.0, 1.0)


def test_a_rack_is_closed_until_each_of_its_machines_has_told_or_had_its_time() -> None:
    waits = RestartGuard((task_class("web", spread=Place.CELL, spread_most=2), task_class("free")))
    a, b, c = machine(1, 1), machine(2, 1), machine(3, 2)
    for name, each in (("a", a), ("b", b), ("c", c)):
        waits.on_machine_listed(name, each, 0)
    waits.list_received = True
    assert waits.is_closed(a)
    assert waits.is_closed(c)
    assert not waits.is_over
    assert waits.on_pods_listed("c")
    assert not waits.is_closed(c)
    assert waits.is_closed(a)
    assert not waits.on_pods_listed("a") and waits.is_closed(a) and not waits.on_pods_listed("a"), (
        "b has not told"
    )
    assert not waits.expire(WAIT_US - 1)
    assert waits.is_closed(b)
    assert waits.expire(WAIT_US)
    assert not waits.is_closed(b)
    assert waits.is_over
    waits.on_machine_listed("d", machine(4, 1), S)
    assert not waits.is_closed(a), "what comes later holds nothing of a former life"


def test_the_widest_spread_decides_what_counts_together() -> None:
    zone = RestartGuard(
        (
            task_class("x", spread=Place.MACHINE, spread_most=1),
            task_class("y", spread=Place.ZONE, spread_most=2),
        )
    )
    zone.on_machine_listed("a", machine(1, 1), 0)
    zone.on_machine_listed("b", machine(2, 2), 0)
    assert not zone.on_pods_listed("a")
    assert zone.is_closed(machine(1, 1))
    none = RestartGuard((task_class("free"),))
    none.on_machine_listed("a", machine(1, 1), 0)
    assert none.is_over
    assert not none.is_closed(machine(1, 1))
