"""Hollow placers, teams, changes and gangs measured at tiny sizes; and the meter itself."""

from __future__ import annotations

import random
import time

import pytest

from benchmarks.capacity import changes, gangs, placers, teams
from benchmarks.capacity.fleet import rule_set, three_limits
from benchmarks.capacity.gather import Figure, repeated
from benchmarks.capacity.metered import Meter, held_bytes
from wingbarrow.decide.membership import member_table as table
from wingbarrow.decide.quotas import limits
from wingbarrow.lab.fleet.simulation import SECOND


def values(figures: list[Figure]) -> dict[tuple[str, str], float]:
    return {(each.role, each.measure): each.value for each in figures}


# -- placers


def test_a_small_swarm_is_measured() -> None:
    found = values(list(placers.membership(4, 1)))
    assert found["member", "messages sent, membership"] == pytest.approx(2.4, rel=0.1), (
        "2 a period, 2 a sync"
    )
    assert found["member", "bytes sent, membership"] > 200
    assert found["member", "members not known"] == 0
    assert (
        0
        < found["member", "time until a death is known, first"]
        <= found["member", "time until a death is known, all"]
    )


def test_more_placers_than_a_table_holds_are_told(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (table, placers):
        monkeypatch.setattr(module, "MAX_MEMBERS", 3)
    monkeypatch.setattr(placers, "BEYOND_S", 5)
    found = values(list(placers.membership(6, 1)))
    assert found["member", "members not known"] == 2
    assert ("member", "time until all know each other") not in found


def test_a_small_fleet_that_agrees_is_measured() -> None:
    found = values(list(placers.agreement(4, 1)))
    for measure in ("messages sent, agreement", "bytes sent, agreement"):
        assert found["leader", measure] > found["voter", measure] > found["member", measure] > 0
    assert (
        found["leader", "messages sent, agreement, limits short"]
        > found["leader", "messages sent, agreement"]
    )
    assert found["leader", "processor: limits, agreement"] > 0
    assert found["member", "time until in force, one step most"] < 2
    assert 2 < found["member", "time until in force, two steps most"] < 11


def test_what_is_sent_is_received() -> None:
    swarm = placers.Members(5, 1)
    swarm.run(20 * SECOND)
    with swarm.meter.metering():
        swarm.run(30 * SECOND)
    accounts = swarm.meter.accounts.values()
    assert (
        sum(each.sent for each in accounts) == sum(each.received for each in accounts) > 5 * 10 * 2
    )
    assert sum(each.sent_bytes for each in accounts) == sum(
        each.received_bytes for each in accounts
    )
    assert not swarm.meter.refused, "the real forms of mail take all of it"


def test_a_timed_call_within_another_counts_once() -> None:
    meter = Meter()

    def burn() -> None:
        until = time.process_time_ns() + 5_000_000
        while time.process_time_ns() < until:
            pass

    inner = meter.timed("a", "inner", burn)
    outer = meter.timed("a", "outer", lambda: (burn(), inner()))
    outer()
    assert not meter.accounts, "it was not on"
    meter.on = True
    outer()
    used = meter.accounts["a"].used_ns
    assert 5_000_000 <= used["inner"] < 9_000_000
    assert 5_000_000 <= used["outer"] < 9_000_000


def test_state_that_a_placer_shares_with_others_counts_in_full_and_once() -> None:
    few, many = placers.Members(3, 1), placers.Members(12, 1)
    for swarm in (few, many):
        swarm.run(10 * SECOND)
    small, large = (held_bytes(swarm.members["p000"]) for swarm in (few, many))
    assert 2_000 < small < large < 100_000
    one = ["word" * 100]
    assert held_bytes([one, one]) == held_bytes([one]) + 8, "a pointer more"


def test_short_runs_are_repeated_with_other_seeds() -> None:
    (point,) = repeated(
        "placers", 5, lambda seed: [Figure("leader", "messages sent", "messages/s", float(seed))]
    )
    assert (point.value, point.runs, point.least, point.most) == (2.0, 3, 1.0, 3.0)


# -- teams


def test_limits_over_the_bound_are_not_in_force_and_measured_as_lifted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(limits, "MAX_LIMITS", 2)
    within, over = (values(list(teams.fleet(count, 3, 1))) for count in (2, 3))
    assert within["leader", "limits in force, 3 placers"] == 2
    assert over["leader", "limits in force, 3 placers"] == 0
    assert (
        within["leader", "blocks, 3 placers"]
        == within["leader", "blocks, 3 placers, bounds lifted"]
        == 6
    )
    assert ("leader", "blocks, 3 placers") not in over
    assert over["leader", "blocks, 3 placers, bounds lifted"] == 9
    assert over["leader", "letters refused, 3 placers, bounds lifted"] == 0
    for kind in ("Ask", "Grant", "Append"):
        assert within["leader", f"largest letter: {kind}, 3 placers"] > 0
    assert limits.MAX_LIMITS == 2, "the bounds are back"


def test_the_bounds_of_teams_are_found_by_trying() -> None:
    found = {each.measure: each.value for each in teams.bounds(16)}
    most = int(found["teams allowed by the number of limits, 16 placers"])
    names = teams.names_of(16)
    assert not teams.refusal(rule_set(16, teams.team_limits(most, names)))
    assert "limits" in teams.refusal(rule_set(16, teams.team_limits(most + 1, names)))


# -- changes


def test_changes_at_a_days_peak_come_into_force(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "SPAN_LEAST_S", 10)
    found = values(list(changes.play(14_000, 3, 1)))
    assert found["member", "changes proposed, 3 placers"] >= 2
    assert found["member", "changes not in force at the end, 3 placers"] == 0
    assert found["member", "time until in force everywhere, 3 placers most"] < changes.AIM_S
    assert found["voter", "log entries a change, 3 placers"] >= 1


def test_altered_rules_stay_within_their_bounds_and_differ() -> None:
    rng, wanted = random.Random(1), changes.Wanted()
    for _ in range(200):
        before, wanted = wanted, wanted.altered(rng)
        assert wanted != before
        assert all(
            least <= getattr(wanted, name) <= most
            for name, (least, most) in changes.BETWEEN.items()
        )
        assert not teams.refusal(wanted.rules(3))


def test_three_limits_are_of_one_kind_each() -> None:
    assert [each.key for each in three_limits(["p000"])] == [
        "namespace/default/standing",
        "class/web/rate",
        "cold",
    ]


# -- gangs


def test_with_room_for_one_less_all_others_run_and_one_is_refused() -> None:
    found = values(list(gangs.short(4, 1)))
    assert found["placer", "tasks running, room for one less"] == 3
    assert found["placer", "tasks refused, room for one less"] == 1


def test_of_two_gangs_the_one_that_is_not_whole_runs_in_part() -> None:
    found = values(list(gangs.two(4, 1)))
    assert found["placer", "gangs whole, two at once"] <= 1
    assert 0 < found["placer", "tasks running of the other gang, two at once"] < 4
