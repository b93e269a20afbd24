"""Maintenance slots: the scheduler of a single leader, the bounds of the queue, requests from windows."""

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
from wingbarrow.lab.fleet.fault_schedules import rules
from wingbarrow.lab.fleet.maintenance_simulation import WALL_US
from wingbarrow.lab.fleet.simulation import SECOND

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


class SoloLeader:
    """A single leader: one placer of each region sends reports, and proposals are decided at once."""

    def __init__(
        self, cells: dict[str, int], budgets: tuple[tuple[str, str, float], ...], *regions: str
    ) -> None:
        self.now_us = 100 * SECOND
        self.number = 0  # of the last lease request
        self.cells = cells
        self.scheduler = MaintenanceScheduler("of-r", lambda now: WALL_US + now)
        self.rules = replace(rules(), plan=DrainPlan(budgets=budgets))
        self.reports = {region: MaintenanceReport(region=region) for region in (regions or ("r",))}
        self.lost: dict[str, tuple[tuple[str, str, str], ...]] = {}
        self.used = 0.0
        self.is_silent = False  # machines do not reply
        self.view: RegionView | None = None
        self.scheduler.on_leadership_change(self.now_us, True)
        self.run(3)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.now_us += SECOND // 2
            self.number += 1
            for region, report in self.reports.items():
                requester = Requester(f"of-{region}", 1, 0, self.number)
                response = self.scheduler.response_for(self.now_us, requester)
                numbers = tuple(
                    number
                    for number, _, state, _ in response.turns
                    if state in ("closing", "empty", "out")
                )
                self.scheduler.on_report(
                    self.now_us,
                    requester,
                    replace(
                        report,
                        clear=numbers,
                        empty=() if self.is_silent else numbers,
                        at_us=self.now_us,
                        tasks=tuple(
                            (number, 0)
                            for number, _, state, _ in response.turns
                            if state == "asked"
                        ),
                        view=self.view
                        or RegionView(
                            tuple(("z", cell, count) for cell, count in self.cells.items()),
                            self.lost.get(region, ()),
                            self.used,
                        ),
                    ),
                )
            for each in self.scheduler.next_proposals(self.now_us, self.rules)[0]:
                self.scheduler.apply(each.kind, each.value)

    def request_slots(self, *machines: str, region: str = "r", **more: Any) -> None:
        for machine in machines:
            cell = machine.partition("-")[0]
            self.scheduler.apply("ask", request(machine, region, cell, **more))

    def states(self) -> dict[str, str]:
        return {each.machine: each.state for each in self.scheduler.queue.slots.values()}

    def machines_in(self, state: str) -> list[str]:
        return sorted(machine for machine, each in self.states().items() if each == state)


def test_two_slots_that_fit_a_budget_only_singly_go_out_one_after_the_other() -> None:
    leader = SoloLeader({"a": 4, "b": 4}, (("cell", "max", 1.0),))
    leader.request_slots("a-1", urgency=3)
    leader.request_slots("a-2", urgency=4)
    leader.run(5)
    assert leader.states() == {"a-1": "queued", "a-2": "out"}
    assert "1 may be" in leader.scheduler.blocked[1]
    leader.scheduler.apply("back", {"number": 2, "at_us": WALL_US})
    leader.run(5)
    assert leader.states() == {"a-1": "queued", "a-2": "back"}, (
        "a returned machine that was not tried yet counts as out"
    )
    leader.reports["r"] = MaintenanceReport(region="r", tried=(2,))
    leader.run(5)
    assert leader.states() == {"a-1": "out", "a-2": "done"}


def test_lost_machines_spend_the_budget_and_count_once() -> None:
    leader = SoloLeader({"a": 4, "b": 4}, (("all", "max", 2.0),))
    leader.request_slots("a-1")
    leader.lost["r"] = (("b-1", "z", "b"),)
    leader.run(5)
    leader.request_slots("a-2")
    leader.run(5)
    assert leader.states() == {"a-1": "out", "a-2": "queued"}
    leader.lost["r"] = (("a-1", "z", "a"),)
    leader.run(5)
    assert leader.states() == {"a-1": "out", "a-2": "out"}, (
        "a machine that is both out and lost counts once"
    )


def test_an_empty_machine_waits_while_a_loss_spends_the_budget() -> None:
    leader = SoloLeader({"a": 4}, (("all", "max", 1.0),))
    leader.request_slots("a-1", from_us=WALL_US + 110 * SECOND)
    leader.run(4)
    assert leader.states() == {"a-1": "empty"}
    leader.lost["r"] = (("a-2", "z", "a"),)
    leader.run(20)
    assert leader.states() == {"a-1": "empty"}
    assert "1 of them lost" in leader.scheduler.blocked[1]
    leader.lost.clear()
    leader.run(2)
    assert leader.states() == {"a-1": "out"}


def test_slots_of_a_region_out_of_reach_wait_and_block_no_others() -> None:
    leader = SoloLeader({"a": 4}, (("all", "max", 4.0),), "r", "s")
    del leader.reports["s"]
    leader.run(10)
    leader.request_slots("a-1", region="s", urgency=9)
    leader.request_slots("a-2", "a-3")
    leader.run(5)
    assert leader.states() == {"a-1": "queued", "a-2": "out", "a-3": "out"}
    assert "out of reach" in leader.scheduler.blocked[1]
    leader.reports["s"] = MaintenanceReport(region="s")
    leader.run(5)
    assert leader.states()["a-1"] == "out"


def test_capacity_for_the_demand_and_the_reserve_stays() -> None:
    leader = SoloLeader({"a": 4, "b": 4}, (("region", "max", 4.0),))
    leader.used, leader.scheduler.reserved_machines = 3.5, lambda now, region: 2.0
    leader.request_slots("a-1", "a-2", "b-1", "b-2")
    leader.run(5)
    assert len(leader.machines_in("out")) == 2, "8 machines, a demand of 3.5, a reserve of 2"
    assert any(
        "2 of them for another region's loss" in each for each in leader.scheduler.blocked.values()
    )


def test_while_a_zone_has_failed_no_slot_closes_elsewhere_and_closing_windows_are_given_back() -> (
    None
):
    leader = SoloLeader({"a": 4, "b": 4}, (("all", "max", 9.0),))
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
    leader.rules, leader.view = (
        replace(leader.rules, windows=(window,)),
        RegionView((("y", "x", 2), ("z", "a", 4), ("z", "b", 4))),
    )
    leader.request_slots("a-1", why="calendar", ident="patch@0/a-1", worker="")
    leader.is_silent = True
    leader.run(4)
    assert leader.states() == {"a-1": "closing"}
    leader.view = replace(leader.view, lost=(("x-1", "y", "x"),))
    leader.request_slots("b-1")
    leader.run(4)
    assert leader.states() == {"a-1": "back", "b-1": "queued"}
    assert "r/y has failed" in leader.scheduler.blocked[2]
    assert leader.scheduler.queue.slots[1].note == "r/y has failed"


def test_two_hundred_requests_at_once_are_served_within_the_budgets() -> None:
    leader = SoloLeader(
        {f"c{index}": 10 for index in range(20)}, (("cell", "max", 1.0), ("all", "max", 8.0))
    )
    leader.request_slots(*(f"c{index % 20}-{index}" for index in range(200)))
    order: list[int] = []
    for _ in range(600):
        leader.run(0.5)
        queue = leader.scheduler.queue
        out = [each for each in queue.slots.values() if each.state == "out"]
        assert len(queue.active()) <= 8
        order += [each.number for each in out if each.number not in order]
        for each in out:
            apply_entry(queue, "back", {"number": each.number, "at_us": WALL_US + leader.now_us})
        leader.reports["r"] = MaintenanceReport(
            region="r", tried=tuple(each.number for each in queue.active())
        )
        if not queue.live():
            break
    assert sorted(order) == list(range(1, 201))
    assert not leader.scheduler.queue.live()
    assert leader.scheduler.queue.queued() == []


def test_a_request_beyond_the_bound_is_rejected_with_the_reason_and_all_slots_fit_a_snapshot() -> (
    None
):
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
    assert len(long.snapshot()) < MAX_LIVE_SLOTS * 1400 + 256 * 400
    restored = SlotQueue()
    restored.restore(long.snapshot())
    assert restored.snapshot() == long.snapshot()


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
def test_an_invalid_request_is_rejected(wrong: dict[str, Any]) -> None:
    queue = SlotQueue()
    apply_entry(queue, "ask", request("m") | wrong)
    assert not queue.slots


def test_unreadable_entries_change_nothing() -> None:
    queue = SlotQueue()
    apply_entry(queue, "ask", request("m"))
    text = queue.snapshot()
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
    assert queue.snapshot() == text


def test_a_renewal_counts_once_a_majority_has_followed_since_and_only_while_out() -> None:
    leader = SoloLeader({"a": 4}, (("all", "max", 1.0),))
    leader.request_slots("a-1")
    leader.run(5)
    renewed_at = leader.now_us
    leader.scheduler.renew(renewed_at, 1)
    assert leader.scheduler.renewed_us(1) < renewed_at, "a deposed leader would get no confirmation"
    leader.run(0.5)
    assert leader.scheduler.renewed_us(1) == renewed_at
    leader.run(TIMING.lease_us / SECOND - 2)
    assert not [*leader.scheduler.lapsed_operator_slots(leader.now_us)]
    leader.run(4)
    assert [*leader.scheduler.lapsed_operator_slots(leader.now_us)] == [1] and leader.states() == {
        "a-1": "out"
    }, "the machine stays closed, and the lapse is reported"
    leader.scheduler.apply("give-back", {"number": 1, "at_us": WALL_US})
    leader.scheduler.renew(leader.now_us, 1)
    leader.run(1)
    assert leader.scheduler.renewed_us(1) == 0
    leader.reports["r"] = MaintenanceReport(region="r", open=(1,))
    leader.run(TIMING.trial_us / SECOND + 1)
    assert leader.states() == {"a-1": "given-back"}


def test_a_placer_that_knows_an_earlier_slot_does_not_confirm_a_later_one() -> None:
    member = MaintenanceMember("p", "r", NoObservations())
    scheduler = MaintenanceScheduler("p", lambda now: WALL_US + now)
    scheduler.apply("ask", request("m"))
    scheduler.apply("queue", {"turns": [[1, 0]], "at_us": WALL_US})
    scheduler.apply("close", {"number": 1, "at_us": WALL_US})
    first = scheduler.response_for(0, Requester("p", 1, 0, 1))
    assert member.on_response(0, 0, first)[0].fields["state"] == "closing"  # type: ignore[union-attr]
    assert member.report(0).clear == (1,)
    for kind in ("give-back", "done"):
        scheduler.apply(kind, {"number": 1, "at_us": WALL_US})
    scheduler.apply("ask", request("m", ident="again"))
    scheduler.apply("queue", {"turns": [[2, 0]], "at_us": WALL_US})
    scheduler.apply("close", {"number": 2, "at_us": WALL_US})
    assert 2 not in member.report(0).clear
    assert member.is_closed("m")
    member.on_response(0, 0, scheduler.response_for(0, Requester("p", 1, 0, 2)))
    assert member.report(0).clear == (2,)
    assert not member.on_response(0, 0, first) and member.report(0).clear == (2,), (
        "a late grant changes nothing"
    )


# -- windows


def at(text: str) -> int:
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp() * SECOND)


def test_windows_request_slots_as_their_lead_begins_unless_cancelled() -> None:
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
    assert machines_at("2027-01-01T01:59:30") == ["m0", "m1"], "m2 does not run, m3 is not selected"
    assert machines_at("2027-01-01T02:39:00") == ["m0", "m1"]
    assert machines_at("2027-01-01T02:40:00") == []
    one = calendar_requests(of, machines, at("2027-01-01T02:00:00"))[0]
    assert (one.urgency, one.unsafe, one.ends_us) == (6, "shorten", at("2027-01-01T03:00:00"))
    assert one.from_us == at("2027-01-01T02:00:00")
    assert one.latest_us == at("2027-01-01T02:40:00")
    assert machines_at("2027-01-01T02:00:00", replace(of, cancelled=(one.ident,))) == ["m1"]
    with_blackout = replace(
        of,
        plan=DrainPlan(blackouts=(("no", at("2027-01-01T01:00:00"), at("2027-01-01T02:00:01")),)),
    )
    assert machines_at("2027-01-01T02:00:00", with_blackout) == []


def test_a_calendar_slot_ends_by_its_duration_and_with_its_window() -> None:
    leader = SoloLeader({"a": 4}, (("all", "max", 9.0),))
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
    leader.rules = replace(leader.rules, windows=(window,))
    for index in (1, 2, 3):
        leader.request_slots(
            f"a-{index}", why="calendar", ident=f"patch@0/a-{index}", worker="", lasts_us=8 * SECOND
        )
    leader.request_slots("a-4", why="calendar", ident="gone@0/a-4", worker="")
    leader.run(5)
    assert leader.states() == {"a-1": "out", "a-2": "out", "a-3": "out", "a-4": "given-back"}
    leader.rules = replace(leader.rules, cancelled=("patch@0/a-2",))
    leader.run(1)
    assert leader.states()["a-2"] == "back", "reopened, and tried before it is done"
    leader.run(8)
    assert leader.states()["a-1"] == "back"
    assert leader.scheduler.queue.slots[1].note == "its time is over"


def test_waiting_slots_age_so_that_none_starves() -> None:
    queue, at_us = SlotQueue(), WALL_US // AGING_PERIOD_US * AGING_PERIOD_US
    apply_entry(queue, "ask", request("old", urgency=0, at_us=at_us))
    apply_entry(queue, "ask", request("new", urgency=9, at_us=at_us + 8 * AGING_PERIOD_US))
    apply_entry(queue, "ask", request("late", urgency=9, at_us=at_us + 10 * AGING_PERIOD_US))
    apply_entry(queue, "queue", {"turns": [[1, 0], [2, 0], [3, 0]], "at_us": at_us})
    assert [each.machine for each in queue.queued()] == ["new", "old", "late"]
