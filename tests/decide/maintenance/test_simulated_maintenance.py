"""Simulated maintenance on a virtual clock: fault scenarios, generated runs, and checks of the judge itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from tests.decide.maintenance.test_slots import request
from wingbarrow.decide.maintenance.budgets import BudgetUse
from wingbarrow.decide.maintenance.emptiness import EmptinessProof
from wingbarrow.decide.maintenance.messages import RegionView
from wingbarrow.decide.maintenance.slots import Slot, SlotQueue
from wingbarrow.lab.fleet.fault_schedules import FLOOR
from wingbarrow.lab.fleet.maintenance_scenarios import Size, judged, opened, play
from wingbarrow.lab.fleet.maintenance_simulation import WALL_US, MaintenanceSimulation
from wingbarrow.lab.fleet.simulation import SECOND


def wait(simulation: MaintenanceSimulation, number: int, *states: str, seconds: int = 30) -> Slot:
    assert simulation.run_until(
        lambda: (slot := simulation.slot(number)) is not None and slot.state in states,
        seconds * SECOND,
        SECOND // 20,
    ), simulation.slot(number)
    slot = simulation.slot(number)
    assert slot is not None
    return slot


def request_slot(simulation: MaintenanceSimulation, name: str, **more: Any) -> None:
    leader, machine = simulation.leader(), simulation.machines_by_name[name]
    assert leader is not None
    simulation.propose_entry(
        leader, "ask", request(name, machine.region, machine.cell, zone=machine.zone, **more)
    )


def test_after_a_leader_lost_between_empty_and_out_the_next_proves_emptiness_anew() -> None:
    simulation = opened(Size(), 3)
    request_slot(simulation, "r0-m1", from_us=WALL_US + simulation.now_us + 8 * SECOND)
    wait(simulation, 1, "empty")
    old = simulation.leader()
    assert old is not None
    simulation.kill(old)
    simulation.machines_by_name["r0-m1"].tasks[10**9] = "somebody", simulation.now_us + 15 * SECOND
    simulation.run(simulation.now_us + 12 * SECOND)
    assert wait(simulation, 1, "empty").state == "empty"
    assert simulation.leader() not in (None, old)
    wait(simulation, 1, "out")
    assert not simulation.machines_by_name["r0-m1"].tasks
    simulation.start_operator(1, SECOND)
    wait(simulation, 1, "done")
    assert judged(simulation).clean


def test_tasks_of_a_placer_cut_off_on_a_floor_keep_the_machine_from_going_out() -> None:
    simulation = opened(Size(), 5)
    simulation.lower_floor(FLOOR, 60 * SECOND, "floor")
    simulation.run(simulation.now_us + 3 * SECOND)
    simulation.cut = lambda a, b: "p004" in (a, b)
    simulation.run(simulation.now_us + 3 * SECOND)
    acting = simulation.members["p004"].rules_in_force(simulation.clock_us("p004"))
    assert acting is not None
    assert not acting.revision
    machine = simulation.machines_by_name["r0-m2"]
    for number in range(10**9, 10**9 + 5):
        machine.tasks[number] = "p004", simulation.now_us + 10 * SECOND
    request_slot(simulation, "r0-m2")
    wait(simulation, 1, "closing")
    simulation.run(simulation.now_us + 5 * SECOND)
    slot = simulation.slot(1)
    assert slot is not None and slot.state == "closing", (
        "all placers in reach have confirmed; the machine is not empty"
    )
    wait(simulation, 1, "out")
    assert not machine.tasks
    assert not simulation.participants["p004"].is_closed("r0-m2")
    simulation.start_operator(1, 3 * SECOND)
    wait(simulation, 1, "back")
    assert judged(simulation).clean


def test_a_silent_operator_is_reported_and_stops_work_once_its_slot_was_given_back() -> None:
    simulation = opened(Size(), 6)
    request_slot(simulation, "r0-m1")
    wait(simulation, 1, "out")
    simulation.start_operator(1, 3 * SECOND, silent=True)
    assert simulation.run_until(
        lambda: any(
            each.fields["state"] == "silent" for each in simulation.notifications_of("turn")
        ),
        20 * SECOND,
    )
    assert simulation.machines_by_name["r0-m1"].guard.refuses()
    request_slot(simulation, "r0-m5")
    wait(simulation, 2, "out")
    leader = simulation.leader()
    assert leader is not None
    simulation.propose_entry(leader, "give-back", {"number": 1, "note": "nobody there"})
    works = len(simulation.work_samples)
    assert wait(simulation, 1, "given-back").note == "nobody there"
    simulation.run(simulation.now_us + 10 * SECOND)
    assert len(simulation.work_samples) == works > 0
    assert judged(simulation).clean


def test_one_placer_tries_a_returned_machine_first() -> None:
    simulation = opened(Size(), 8)
    request_slot(simulation, "r0-m3")
    wait(simulation, 1, "out")
    simulation.start_operator(1, SECOND)
    wait(simulation, 1, "back")
    simulation.run(simulation.now_us + SECOND // 5)
    open_to = [
        name
        for name, participant in simulation.participants.items()
        if not participant.is_closed("r0-m3")
    ]
    assert len(open_to) <= 1
    wait(simulation, 1, "done")
    assert simulation.run_until(
        lambda: not any(each.is_closed("r0-m3") for each in simulation.participants.values()),
        5 * SECOND,
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("size", [Size(seconds=30), Size(9, 5, 3, 4, 30)])
def test_generated_faults_violate_no_guarantee(size: Size, seed: int) -> None:
    simulation, verdict = play(seed, size)
    assert verdict.clean and verdict.done > 3 and verdict.works > 10, verdict
    assert simulation.run_until(
        lambda: not simulation.schedulers[simulation.leader() or ""].queue.live(), 120 * SECOND
    ), "all slots end"
    assert judged(simulation).clean


def without_machine_reply(self: EmptinessProof, now_us: int, number: int) -> bool:
    return now_us >= self.leading_since_us + self.timing.lapse_us() and all(
        (report := self.reports.last_report(name)) is not None and number in report.clear
        for name in self.grant_holders(now_us)
    )


def without_lost_machines(real: Callable[..., None]) -> Callable[..., None]:
    def made(self: BudgetUse, budgets: Any, views: dict[str, RegionView], *rest: Any) -> None:
        real(
            self, budgets, {region: replace(view, lost=()) for region, view in views.items()}, *rest
        )

    return made


@pytest.mark.parametrize(("planted", "seed"), [("busy", 4), ("over", 1), ("disorder", 2)])
def test_the_judge_finds_planted_errors(
    planted: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if planted == "busy":
        monkeypatch.setattr(EmptinessProof, "is_complete", without_machine_reply)
    elif planted == "over":
        monkeypatch.setattr(BudgetUse, "__init__", without_lost_machines(BudgetUse.__init__))
    else:
        real = SlotQueue.queued
        monkeypatch.setattr(SlotQueue, "queued", lambda self: real(self)[::-1])
    assert getattr(play(seed, Size(seconds=25))[1], planted)
