"""Membership on a virtual clock: joins, crashes, partitions, one-way cuts, stalls, restarts and message cost."""

from __future__ import annotations

import pytest

from wingbarrow.decide.effects import Send
from wingbarrow.decide.membership.messages import Ack, MemberStatus, MemberUpdate, Ping, Sync
from wingbarrow.decide.membership.swim import (
    MAX_PIGGYBACKED_UPDATES,
    MAX_SYNC_UPDATES,
    LocalMember,
    Membership,
    SwimSettings,
)
from wingbarrow.lab.fleet.simulation import SECOND, MembershipSimulation


def converged_swarm(count: int, seed: int = 1, loss: float = 0.0) -> MembershipSimulation:
    swarm = MembershipSimulation(count, seed, loss=loss)
    assert swarm.run_until(swarm.all_alive, 120 * SECOND), "all members see each other as alive"
    return swarm


@pytest.mark.parametrize("count", [2, 3, 5, 16, 40])
def test_all_that_start_know_each_other_by_three_seeds_alone(count: int) -> None:
    converged_swarm(count)


@pytest.mark.parametrize("count", [3, 5, 16])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_that_is_killed_is_dead_to_all_within_the_stated_time_and_nobody_else_is(
    count: int, seed: int
) -> None:
    swarm = converged_swarm(count, seed)
    killed, start_us = swarm.names[seed % count], swarm.now_us
    swarm.kill(killed)
    assert swarm.run_until(
        lambda: swarm.all_see(killed, MemberStatus.DEAD), swarm.rules.detection_bound_us(count)
    )
    assert {each.fields["member"] for each in swarm.deaths(start_us)} == {killed}


def test_one_that_comes_back_is_alive_to_all_also_with_its_wall_clock_set_back_an_hour() -> None:
    swarm = converged_swarm(5)
    for life in (3600 * SECOND, 5):
        swarm.kill("p003")
        assert swarm.run_until(
            lambda: swarm.all_see("p003", MemberStatus.DEAD), swarm.rules.detection_bound_us(5)
        )
        swarm.next_incarnation = life
        swarm.start("p003")
        assert swarm.run_until(swarm.all_alive, swarm.rules.healing_bound_us(5))
    assert swarm.members["p003"].incarnation > 3600 * SECOND
    assert not swarm.members["p003"].name_conflicts
    assert [swarm.members[each].table.members["p003"].restarts for each in ("p000", "p001")] == [
        2,
        2,
    ]


@pytest.mark.parametrize("seed", range(1, 6))
def test_both_sides_of_a_long_cut_find_together_again_within_the_stated_time(seed: int) -> None:
    swarm = converged_swarm(8, seed)
    side = set(swarm.names[:3])
    swarm.cut = lambda a, b: (a in side) != (b in side)
    swarm.run(swarm.now_us + 90 * SECOND)
    assert all(
        swarm.member_status(a, b) is MemberStatus.DEAD
        for a in side
        for b in swarm.names
        if b not in side
    )
    assert all(
        swarm.member_status(a, b) is MemberStatus.ALIVE for a in side for b in side if a != b
    )
    swarm.cut = lambda a, b: False
    healed_us = swarm.now_us
    assert swarm.run_until(swarm.all_alive, swarm.rules.healing_bound_us(8))
    assert not swarm.deaths(healed_us + SECOND), (
        "no live member is declared dead by outdated updates"
    )


@pytest.mark.parametrize("is_outbound_cut", [True, False])
def test_one_way_cuts_to_one_other_are_bridged_by_helpers(is_outbound_cut: bool) -> None:
    swarm = converged_swarm(5)
    start_us = swarm.now_us
    swarm.cut = (
        (lambda a, b: (a, b) == ("p001", "p002"))
        if is_outbound_cut
        else (lambda a, b: (a, b) == ("p002", "p001"))
    )
    swarm.run(start_us + 120 * SECOND)
    assert not swarm.deaths(start_us)
    assert swarm.all_alive()


def test_members_that_reach_each_other_through_one_member_only_stay_alive() -> None:
    swarm = converged_swarm(5)
    start_us = swarm.now_us
    swarm.cut = lambda a, b: "p000" not in (a, b)
    swarm.run(start_us + 120 * SECOND)
    assert not swarm.deaths(start_us), "indirect pings through p000 reach each member"


def test_a_member_that_sends_but_receives_nothing_is_dead_to_others_and_unhealthy_to_itself() -> (
    None
):
    swarm = converged_swarm(5)
    swarm.cut = lambda a, b: b == "p004"
    swarm.run(swarm.now_us + 60 * SECOND)
    assert swarm.members["p004"].local_health.score >= 4, (
        "none of its probes is acknowledged, which raises its local health score"
    )
    assert all(swarm.member_status(a, "p004") is MemberStatus.DEAD for a in swarm.names[:4]), (
        "it acknowledges no ping"
    )
    swarm.cut = lambda a, b: False
    assert swarm.run_until(swarm.all_alive, swarm.rules.healing_bound_us(5))


@pytest.mark.parametrize("seconds", [2, 5, 20, 60])
def test_a_stalled_placer_declares_no_other_member_dead(seconds: int) -> None:
    for seed in range(1, 8):
        swarm = converged_swarm(6, seed)
        start_us = swarm.now_us
        swarm.stop("p002", seconds * SECOND)
        swarm.run(start_us + (seconds + 60) * SECOND)
        others = [each for each in swarm.deaths(start_us) if each.fields["member"] != "p002"]
        assert not others, "after a stall its suspicions are extended"
        assert swarm.run_until(swarm.all_alive, swarm.rules.healing_bound_us(6))


def test_no_member_is_declared_dead_while_a_fifth_of_all_messages_is_lost() -> None:
    for seed in range(1, 6):
        swarm = converged_swarm(16, seed, loss=0.2)
        start_us = swarm.now_us
        swarm.run(start_us + 120 * SECOND)
        assert not swarm.deaths(start_us)


def test_the_cost_of_each_does_not_grow_with_their_number() -> None:
    rates = {}
    for count in (5, 40, 170):
        swarm = converged_swarm(count)
        swarm.sent.clear()
        swarm.run(swarm.now_us + 30 * SECOND)
        rates[count] = max(swarm.sent.values()) / 30
    # Per second: one ping and one ack per received ping; per five seconds: two syncs and responses. Random variation
    # lets some members send more.
    assert rates[170] <= rates[5] * 2.5 and rates[170] < 8, rates


def test_messages_are_bounded_whatever_there_is_to_tell() -> None:
    swarm = converged_swarm(100)
    member = swarm.members["p000"]
    for name in swarm.names[1:]:
        latest = member.table.members[name].update
        member.table.apply(latest.with_status(MemberStatus.SUSPECT, "p001"), swarm.now_us)
    sends = [
        each
        for each in member.on_message(swarm.now_us, "p001", "at p001", Ping(7))
        if isinstance(each, Send)
    ]
    assert len(sends[0].message.news) <= MAX_PIGGYBACKED_UPDATES
    assert isinstance(sends[0].message, Ack)
    sends = [
        each
        for each in member.on_message(swarm.now_us, "p001", "at p001", Sync(True))
        if isinstance(each, Send)
    ]
    assert len(sends[0].message.news) <= MAX_SYNC_UPDATES


def test_another_placer_with_the_same_name_is_reported() -> None:
    member = Membership(LocalMember("a", "here", "", 10), (), 1)
    member.start(0)
    notifications = []
    for now_us in range(20):
        update = MemberUpdate("a", member.incarnation, MemberStatus.ALIVE, "there", "", 99)
        notifications += [
            each.event
            for each in member.on_message(now_us, "b", "at b", Sync(False, (update,)))
            if hasattr(each, "event")
        ]
    assert notifications[0] == "former-life"
    assert notifications[-1] == "twin"
    assert member.name_conflicts


def test_the_stated_times_are_formulas_that_grow_with_the_logarithm() -> None:
    settings = SwimSettings()
    assert settings.detection_bound_us(5) == 2 * (7 + 1 + 6) * SECOND + 12 * SECOND + 3 * 700_000
    assert settings.detection_bound_us(170) < 2.5 * settings.detection_bound_us(5)
    assert settings.healing_bound_us(64) < 2 * settings.healing_bound_us(5)
