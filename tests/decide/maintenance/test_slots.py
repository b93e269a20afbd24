"""Turns: the leader's part by itself, the queue's bounds, windows as requests."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime
from typing import Any

import pytest

from wingbarrow.decide.maintenance.calendar import calendar_requests
from wingbarrow.decide.maintenance.drain_plan import MachineState
from wingbarrow.decide.maintenance.entries import SlotRequested, decode_entry
from wingbarrow.decide.maintenance.messages import MaintenanceReport, RegionView
from wingbarrow.decide.maintenance.participant import MaintenanceMember, NoObservations
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.slots import AGING_PERIOD_US, MAX_LIVE_SLOTS, SlotQueue
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.agreed_drains import DrainPlan, WindowRules
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.schedules import rules
from wingbarrow.lab.fleet.swarm import SECOND
from wingbarrow.lab.fleet.workshop import WALL_US

TIMING = MaintenanceTiming()


def request(machine: str, region: str = "r", cell: str = "c", **more: Any) -> dict[str, Any]:
    return {
        "ident": f"of-{machine}",
        "machine": machine,
        "region": region,
        "zone": "z",
        "cell": cell,
        "why": "operator",
        "urgency": 5,
        "latest_us": 0,
        "lasts_us": 60 * SECOND,
        "worker": "w",
        "at_us": WALL_US,
        **more,
    }


def requested(machine: str, **more: Any) -> SlotRequested:
    return SlotRequested.from_json(request(machine, **more))


def apply_entry(queue: SlotQueue, kind: str, value: dict[str, Any]) -> None:
    queue.apply(decode_entry(kind, value))


class Led:
    """A leader by itself: one placer for each region speaks, and what it proposes is decided at once."""

    def __init__(
        self, cells: dict[str, int], budgets: tuple[tuple[str, str, float], ...], *regions: str
    ) -> None:
        self.now_us, self.number, self.cells = 100 * SECOND, 0, cells
        self.turns = MaintenanceScheduler("of-r", lambda now: WALL_US + now)
        self.rules = replace(rules(), plan=DrainPlan(budgets=budgets))
        self.speak = {region: MaintenanceReport(region=region) for region in (regions or ("r",))}
        self.lost: dict[str, tuple[tuple[str, str, str], ...]] = {}
        self.used, self.deaf = 0.0, False  # deaf: machines say nothing
        self.view: RegionView | None = None
        self.turns.on_leadership_change(self.now_us, True)
        self.run(3)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.now_us += SECOND // 2
            self.number += 1
            for region, said in self.speak.items():
                asker = Requester(f"of-{region}", 1, 0, self.number)
                told = self.turns.response_for(self.now_us, asker)
                numbers = tuple(
                    number
                    for number, _, state, _ in told.turns
                    if state in ("closing", "empty", "out")
                )
                self.turns.on_report(
                    self.now_us,
                    asker,
                    replace(
                        said,
                        clear=numbers,
                        empty=() if self.deaf else numbers,
                        at_us=self.now_us,
                        tasks=tuple(
                            (number, 0) for number, _, state, _ in told.turns if state == "asked"
                        ),
                        view=self.view
                        or RegionView(
                            tuple(("z", cell, count) for cell, count in self.cells.items()),
                            self.lost.get(region, ()),
                            self.used,
                        ),
                    ),
                )
            for each in self.turns.next_proposals(self.now_us, self.rules)[0]:
                self.turns.apply(each.kind, each.value)

    def ask(self, *machines: str, region: str = "r", **more: Any) -> None:
        for machine in machines:
            cell = machine.partition("-")[0]
            self.turns.apply("ask", request(machine, region, cell, **more))

    def states(self) -> dict[str, str]:
        return {each.machine: each.state for each in self.turns.queue.slots.values()}

    def where(self, state: str) -> list[str]:
        return sorted(machine for machine, each in self.states().items() if each == state)


def test_two_ask_for_the_last_turn_of_a_budget_and_the_second_follows_the_first() -> None:
    led = Led({"a": 4, "b": 4}, (("cell", "max", 1.0),))
    led.ask("a-1", urgency=3)
    led.ask("a-2", urgency=4)
    led.run(5)
    assert led.states() == {"a-1": "queued", "a-2": "out"}
    assert "1 may be" in led.turns.blocked[1]
    led.turns.apply("back", {"number": 2, "at_us": WALL_US})
    led.run(5)
    assert led.states() == {"a-1": "queued", "a-2": "back"}, (
        "one that is not tried yet counts as out"
    )
    led.speak["r"] = MaintenanceReport(region="r", tried=(2,))
    led.run(5)
    assert led.states() == {"a-1": "out", "a-2": "done"}


def test_machines_lost_while_others_are_out_spend_the_budget() -> None:
    led = Led({"a": 4, "b": 4}, (("all", "max", 2.0),))
    led.ask("a-1")
    led.lost["r"] = (("b-1", "z", "b"),)
    led.run(5)
    led.ask("a-2")
    led.run(5)
    assert led.states() == {"a-1": "out", "a-2": "queued"}
    led.lost["r"] = (("a-1", "z", "a"),)
    led.run(5)
    assert led.states() == {"a-1": "out", "a-2": "out"}, "one that is out and lost counts once"


def test_a_loss_between_closing_and_out_makes_the_machine_wait() -> None:
    led = Led({"a": 4}, (("all", "max", 1.0),))
    led.ask("a-1", from_us=WALL_US + 110 * SECOND)
    led.run(4)
    assert led.states() == {"a-1": "empty"}
    led.lost["r"] = (("a-2", "z", "a"),)
    led.run(20)
    assert led.states() == {"a-1": "empty"}
    assert "1 of them lost" in led.turns.blocked[1]
    led.lost.clear()
    led.run(2)
    assert led.states() == {"a-1": "out"}


def test_a_region_out_of_reach_waits_and_holds_nobody_up() -> None:
    led = Led({"a": 4}, (("all", "max", 4.0),), "r", "s")
    del led.speak["s"]
    led.run(10)
    led.ask("a-1", region="s", urgency=9)
    led.ask("a-2", "a-3")
    led.run(5)
    assert led.states() == {"a-1": "queued", "a-2": "out", "a-3": "out"}
    assert "out of reach" in led.turns.blocked[1]
    led.speak["s"] = MaintenanceReport(region="s")
    led.run(5)
    assert led.states()["a-1"] == "out"


def test_room_for_what_is_asked_and_for_another_regions_loss_is_kept() -> None:
    led = Led({"a": 4, "b": 4}, (("region", "max", 4.0),))
    led.used, led.turns.reserved_machines = 3.5, lambda now, region: 2.0
    led.ask("a-1", "a-2", "b-1", "b-2")
    led.run(5)
    assert len(led.where("out")) == 2, "8 machines, 3.5 worth of work, 2 held back"
    assert any("2 of them for another region's loss" in each for each in led.turns.blocked.values())


def test_while_a_hall_has_failed_nothing_closes_elsewhere_and_windows_are_taken_back() -> None:
    led = Led({"a": 4, "b": 4}, (("all", "max", 9.0),))
    window = WindowRules(
        "patch",
        "2027-01-01T02:00:00+00:00",
        "",
        3600 * SECOND,
        3600 * SECOND,
        "",
        (),
        (),
        (("*", "", "", ""),),
        0,
        "wait",
    )
    led.rules, led.view = (
        replace(led.rules, windows=(window,)),
        RegionView((("y", "x", 2), ("z", "a", 4), ("z", "b", 4))),
    )
    led.ask("a-1", why="calendar", ident="patch@0/a-1", worker="")
    led.deaf = True
    led.run(4)
    assert led.states() == {"a-1": "closing"}
    led.view = replace(led.view, lost=(("x-1", "y", "x"),))
    led.ask("b-1")
    led.run(4)
    assert led.states() == {"a-1": "back", "b-1": "queued"}
    assert "r/y has failed" in led.turns.blocked[2]
    assert led.turns.queue.slots[1].note == "r/y has failed"


def test_two_hundred_ask_at_once_and_all_have_their_turn_within_the_budgets_and_in_order() -> None:
    led = Led({f"c{index}": 10 for index in range(20)}, (("cell", "max", 1.0), ("all", "max", 8.0)))
    led.ask(*(f"c{index % 20}-{index}" for index in range(200)))
    order: list[int] = []
    for _ in range(600):
        led.run(0.5)
        queue = led.turns.queue
        out = [each for each in queue.slots.values() if each.state == "out"]
        assert len(queue.active()) <= 8
        order += [each.number for each in out if each.number not in order]
        for each in out:
            apply_entry(queue, "back", {"number": each.number, "at_us": WALL_US + led.now_us})
        led.speak["r"] = MaintenanceReport(
            region="r", tried=tuple(each.number for each in queue.active())
        )
        if not queue.live():
            break
    assert sorted(order) == list(range(1, 201))
    assert not led.turns.queue.live()
    assert led.turns.queue.queued() == []


def test_past_the_bound_a_request_is_refused_with_the_reason() -> None:
    queue = SlotQueue()
    for index in range(MAX_LIVE_SLOTS):
        apply_entry(queue, "ask", request(f"m{index}"))
    assert f"{MAX_LIVE_SLOTS} turns are asked for" in queue.refusal(requested("one-more"))
    apply_entry(queue, "ask", request("one-more"))
    assert queue.outcomes["of-one-more"][0] == 0
    assert len(queue.live()) == MAX_LIVE_SLOTS
    assert "has turn 1 already" in queue.refusal(requested("m0"))
    long = SlotQueue()
    for index in range(MAX_LIVE_SLOTS):
        names = {"region": "r" * 63, "zone": "z" * 63, "cell": "c" * 63, "worker": "w" * 63}
        apply_entry(
            long,
            "ask",
            request(f"{index}".rjust(253, "m"), ident=f"{index}".rjust(320, "i"), **names),
        )
    assert len(long.live()) == MAX_LIVE_SLOTS
    assert len(long.text()) < MAX_LIVE_SLOTS * 1400 + 256 * 400
    again = SlotQueue()
    again.restore(long.text())
    assert again.text() == long.text()


@pytest.mark.parametrize(
    "wrong",
    [
        {"urgency": 10},
        {"machine": ""},
        {"why": "x"},
        {"lasts_us": -1},
        {"unsafe": "x"},
        {"latest_us": True},
        {"worker": None},
        {"ident": "i" * 321},
    ],
)
def test_a_request_that_cannot_be_is_refused(wrong: dict[str, Any]) -> None:
    queue = SlotQueue()
    apply_entry(queue, "ask", request("m") | wrong)
    assert not queue.slots


def test_entries_that_cannot_be_read_change_nothing() -> None:
    queue = SlotQueue()
    apply_entry(queue, "ask", request("m"))
    text = queue.text()
    for kind, value in (
        ("close", {"number": "x", "at_us": 1}),
        ("close", {"number": 1}),
        ("nothing", {"at_us": 1}),
        ("queue", {"turns": [1], "at_us": 1}),
        ("out", {"number": 1, "at_us": -1}),
    ):
        with pytest.raises((ValueError, KeyError, TypeError)):
            apply_entry(queue, kind, value)
    apply_entry(queue, "out", {"number": 1, "at_us": 1})
    assert queue.text() == text


def test_a_worker_is_heard_only_once_a_majority_has_followed_since_and_only_while_out() -> None:
    led = Led({"a": 4}, (("all", "max", 1.0),))
    led.ask("a-1")
    led.run(5)
    asked = led.now_us
    led.turns.renew(asked, 1)
    assert led.turns.renewed_us(1) < asked, (
        "a deposed leader would hear no confirmed ask of its own"
    )
    led.run(0.5)
    assert led.turns.renewed_us(1) == asked
    led.run(TIMING.lease_us / SECOND - 2)
    assert not [*led.turns.silent(led.now_us)]
    led.run(4)
    assert [*led.turns.silent(led.now_us)] == [1] and led.states() == {"a-1": "out"}, (
        "it stays shut, and is told"
    )
    led.turns.apply("give-back", {"number": 1, "at_us": WALL_US})
    led.turns.renew(led.now_us, 1)
    led.run(1)
    assert led.turns.renewed_us(1) == 0
    led.speak["r"] = MaintenanceReport(region="r", open=(1,))
    led.run(TIMING.try_us / SECOND + 1)
    assert led.states() == {"a-1": "given-back"}


def test_who_was_told_of_an_earlier_turn_does_not_confirm_a_later_one() -> None:
    side = MaintenanceMember("p", "r", NoObservations())
    turns = MaintenanceScheduler("p", lambda now: WALL_US + now)
    turns.apply("ask", request("m"))
    turns.apply("queue", {"turns": [[1, 0]], "at_us": WALL_US})
    turns.apply("close", {"number": 1, "at_us": WALL_US})
    first = turns.response_for(0, Requester("p", 1, 0, 1))
    assert side.on_response(0, 0, first)[0].fields["state"] == "closing"  # type: ignore[union-attr]
    assert side.report(0).clear == (1,)
    for kind in ("give-back", "done"):
        turns.apply(kind, {"number": 1, "at_us": WALL_US})
    turns.apply("ask", request("m", ident="again"))
    turns.apply("queue", {"turns": [[2, 0]], "at_us": WALL_US})
    turns.apply("close", {"number": 2, "at_us": WALL_US})
    assert 2 not in side.report(0).clear
    assert side.is_closed("m")
    side.on_response(0, 0, turns.response_for(0, Requester("p", 1, 0, 2)))
    assert side.report(0).clear == (2,)
    assert not side.on_response(0, 0, first) and side.report(0).clear == (2,), (
        "a grant that was late changes nothing"
    )


# -- windows


def at(text: str) -> int:
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp() * SECOND)


def test_windows_ask_for_turns_as_they_begin_and_not_for_what_was_taken_back() -> None:
    window = WindowRules(
        "patch",
        "2027-01-01T02:00:00+00:00",
        "",
        3600 * SECOND,
        1200 * SECOND,
        "",
        (),
        (),
        (("", "", "", "os=old"),),
        150,
        "shorten",
    )
    machines = [
        MachineState(
            f"m{index}",
            "c",
            "z",
            "k",
            {"os": "old" if index < 3 else "new"},
            (1, 1),
            (0, 0),
            index != 2,
        )
        for index in range(5)
    ]
    of = replace(rules(), windows=(window,))

    def machines_at(text: str, of: RuleSet = of) -> list[str]:
        return [each.machine for each in calendar_requests(of, machines, at(text))]

    assert machines_at("2027-01-01T01:58:59") == []
    assert machines_at("2027-01-01T01:59:30") == ["m0", "m1"], "m2 does not run, m3 is not meant"
    assert machines_at("2027-01-01T02:39:00") == ["m0", "m1"]
    assert machines_at("2027-01-01T02:40:00") == []
    one = calendar_requests(of, machines, at("2027-01-01T02:00:00"))[0]
    assert (one.urgency, one.unsafe, one.ends_us) == (6, "shorten", at("2027-01-01T03:00:00"))
    assert one.from_us == at("2027-01-01T02:00:00")
    assert one.latest_us == at("2027-01-01T02:40:00")
    assert machines_at("2027-01-01T02:00:00", replace(of, cancelled=(one.ident,))) == ["m1"]
    black = replace(
        of,
        plan=DrainPlan(blackouts=(("no", at("2027-01-01T01:00:00"), at("2027-01-01T02:00:01")),)),
    )
    assert machines_at("2027-01-01T02:00:00", black) == []


def test_a_calendars_turn_ends_by_its_time_and_with_its_window() -> None:
    led = Led({"a": 4}, (("all", "max", 9.0),))
    window = WindowRules(
        "patch",
        "2027-01-01T02:00:00+00:00",
        "",
        3600 * SECOND,
        3600 * SECOND,
        "",
        (),
        (),
        (("*", "", "", ""),),
        0,
        "wait",
    )
    led.rules = replace(led.rules, windows=(window,))
    for index in (1, 2, 3):
        led.ask(
            f"a-{index}", why="calendar", ident=f"patch@0/a-{index}", worker="", lasts_us=8 * SECOND
        )
    led.ask("a-4", why="calendar", ident="gone@0/a-4", worker="")
    led.run(5)
    assert led.states() == {"a-1": "out", "a-2": "out", "a-3": "out", "a-4": "given-back"}
    led.rules = replace(led.rules, cancelled=("patch@0/a-2",))
    led.run(1)
    assert led.states()["a-2"] == "back", "opened again, and tried first"
    led.run(8)
    assert led.states()["a-1"] == "back"
    assert led.turns.queue.slots[1].note == "its time is over"


def test_the_order_ages_so_that_nobody_starves() -> None:
    queue, at_us = SlotQueue(), WALL_US // AGING_PERIOD_US * AGING_PERIOD_US
    apply_entry(queue, "ask", request("old", urgency=0, at_us=at_us))
    apply_entry(queue, "ask", request("new", urgency=9, at_us=at_us + 8 * AGING_PERIOD_US))
    apply_entry(queue, "ask", request("late", urgency=9, at_us=at_us + 10 * AGING_PERIOD_US))
    apply_entry(queue, "queue", {"turns": [[1, 0], [2, 0], [3, 0]], "at_us": at_us})
    assert [each.machine for each in queue.queued()] == ["new", "old", "late"]
