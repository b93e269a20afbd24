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
from wingbarrow.lab.fleet.swarm import SECOND
from wingbarrow.lab.fleet.workplay import Size, judged, opened, play
from wingbarrow.lab.fleet.workshop import WALL_US, Workshop


def wait(shop: Workshop, number: int, *states: str, seconds: int = 30) -> Slot:
    assert shop.run_until(
        lambda: (slot := shop.turn(number)) is not None and slot.state in states,
        seconds * SECOND,
        SECOND // 20,
    ), shop.turn(number)
    slot = shop.turn(number)
    assert slot is not None
    return slot


def request_slot(shop: Workshop, machine: str, **more: Any) -> None:
    leader, bench = shop.leader(), shop.benches[machine]
    assert leader is not None
    shop.decide(leader, "ask", request(machine, bench.region, bench.cell, zone=bench.zone, **more))


def test_after_a_leader_lost_between_empty_and_out_the_next_proves_emptiness_anew() -> None:
    shop = opened(Size(), 3)
    request_slot(shop, "r0-m1", from_us=WALL_US + shop.now_us + 8 * SECOND)
    wait(shop, 1, "empty")
    old = shop.leader()
    assert old is not None
    shop.kill(old)
    shop.benches["r0-m1"].tasks[10**9] = "somebody", shop.now_us + 15 * SECOND
    shop.run(shop.now_us + 12 * SECOND)
    assert wait(shop, 1, "empty").state == "empty"
    assert shop.leader() not in (None, old)
    wait(shop, 1, "out")
    assert not shop.benches["r0-m1"].tasks
    shop.work(1, SECOND)
    wait(shop, 1, "done")
    assert judged(shop).clean


def test_tasks_of_a_placer_cut_off_on_a_floor_keep_the_machine_from_going_out() -> None:
    shop = opened(Size(), 5)
    shop.lower_floor(FLOOR, 60 * SECOND, "floor")
    shop.run(shop.now_us + 3 * SECOND)
    shop.cut = lambda a, b: "p004" in (a, b)
    shop.run(shop.now_us + 3 * SECOND)
    acting = shop.members["p004"].rules_in_force(shop.clock_us("p004"))
    assert acting is not None
    assert not acting.revision
    bench = shop.benches["r0-m2"]
    for number in range(10**9, 10**9 + 5):
        bench.tasks[number] = "p004", shop.now_us + 10 * SECOND
    request_slot(shop, "r0-m2")
    wait(shop, 1, "closing")
    shop.run(shop.now_us + 5 * SECOND)
    slot = shop.turn(1)
    assert slot is not None and slot.state == "closing", (
        "all placers in reach have confirmed; the machine is not empty"
    )
    wait(shop, 1, "out")
    assert not bench.tasks
    assert not shop.sides["p004"].is_closed("r0-m2")
    shop.work(1, 3 * SECOND)
    wait(shop, 1, "back")
    assert judged(shop).clean


def test_a_silent_operator_is_reported_and_stops_work_once_its_slot_was_given_back() -> None:
    shop = opened(Size(), 6)
    request_slot(shop, "r0-m1")
    wait(shop, 1, "out")
    shop.work(1, 3 * SECOND, silent=True)
    assert shop.run_until(
        lambda: any(each.fields["state"] == "silent" for each in shop.tells("turn")), 20 * SECOND
    )
    assert shop.benches["r0-m1"].guard.refuses()
    request_slot(shop, "r0-m5")
    wait(shop, 2, "out")
    leader = shop.leader()
    assert leader is not None
    shop.decide(leader, "give-back", {"number": 1, "note": "nobody there"})
    works = len(shop.works)
    assert wait(shop, 1, "given-back").note == "nobody there"
    shop.run(shop.now_us + 10 * SECOND)
    assert len(shop.works) == works > 0
    assert judged(shop).clean


def test_one_placer_tries_a_returned_machine_first() -> None:
    shop = opened(Size(), 8)
    request_slot(shop, "r0-m3")
    wait(shop, 1, "out")
    shop.work(1, SECOND)
    wait(shop, 1, "back")
    shop.run(shop.now_us + SECOND // 5)
    open_to = [name for name, side in shop.sides.items() if not side.is_closed("r0-m3")]
    assert len(open_to) <= 1
    wait(shop, 1, "done")
    assert shop.run_until(
        lambda: not any(each.is_closed("r0-m3") for each in shop.sides.values()), 5 * SECOND
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("size", [Size(seconds=30), Size(9, 5, 3, 4, 30)])
def test_generated_faults_violate_no_guarantee(size: Size, seed: int) -> None:
    shop, verdict = play(seed, size)
    assert verdict.clean and verdict.done > 3 and verdict.works > 10, verdict
    assert shop.run_until(
        lambda: not shop.chapters[shop.leader() or ""].queue.live(), 120 * SECOND
    ), "all slots end"
    assert judged(shop).clean


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
