"""Sessions on the virtual clock: cuts, stops, kills and returns of placers and regions; planted errors are found."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from wingbarrow.decide.sessions.lease_times import ended_within_us, one_way_renewal_us
from wingbarrow.decide.sessions.session_lease import SessionLease
from wingbarrow.decide.sessions.session_subsystem import ReplicaHolders, SessionSubsystem
from wingbarrow.lab.fleet.leaseholders import Leaseholders, played
from wingbarrow.lab.fleet.simulation import SECOND


def founded(count: int = 6, voters: int = 3, seed: int = 4) -> Leaseholders:
    held = Leaseholders(count, voters, seed)
    held.found()
    assert held.all_open()
    return held


def rest(held: Leaseholders, for_us: int) -> None:
    held.run(held.now_us + for_us)
    assert not held.faults, held.faults


def off(held: Leaseholders) -> str:
    """A placer of another region than the leader's."""
    leader = held.leader()
    assert leader is not None
    return next(name for name in reversed(held.names) if held.region(name) != held.region(leader))


def test_a_cut_shorter_than_the_lease_changes_nothing() -> None:
    held = founded()
    region = held.region(off(held))
    side = {name for name in held.names if held.region(name) == region}
    held.cut = lambda a, b: (a in side) != (b in side)
    rest(held, held.lease_us + SECOND // 2)
    held.cut = lambda a, b: False
    rest(held, 20 * SECOND)
    assert held.ends == 0
    assert held.all_open()


def test_flapping_faster_than_the_lease_ends_nothing() -> None:
    held = founded()
    lost = off(held)
    for _ in range(10):
        held.cut = lambda a, b: lost in (a, b)
        rest(held, held.lease_us * 3 // 4)
        held.cut = lambda a, b: False
        rest(held, SECOND)
    assert held.ends == 0
    assert held.all_open()


@pytest.mark.parametrize("wakes", [True, False])
def test_a_placer_paused_for_longer_than_lease_and_after_wakes_to_an_ended_session(
    wakes: bool,
) -> None:
    held = founded()
    lost = off(held)
    session = held.leases[lost].session
    assert session is not None
    held.stop(lost, 40 * SECOND) if wakes else held.kill(lost)
    rest(held, ended_within_us(held.lease_us, held.after_us) + SECOND)
    assert held.ends == 1 == held.with_successor
    rest(held, 40 * SECOND)
    if wakes:
        assert held.leases[lost].session == replace(session, serial=2)
        assert held.all_open()


def test_a_leader_lost_between_expiry_and_end_delays_the_end_which_happens_once() -> None:
    held = founded(9, 5)
    lost, leader = off(held), held.leader()
    assert leader is not None
    held.kill(lost)
    rest(held, held.lease_us + SECOND)
    held.kill(leader)
    rest(held, 2 * ended_within_us(held.lease_us, held.after_us) + 5 * SECOND)
    assert held.ends == 2 == len(held.log().log.ended)
    held.start(lost)
    held.start(leader)
    rest(held, 10 * SECOND)
    assert held.all_open()


def test_a_lost_region_of_sixty_placers_ends_each_session_once_and_the_others_know() -> None:
    held = founded(60, 9, 2)
    region = held.region(off(held))
    side = [name for name in held.names if held.region(name) == region]
    for name in side:
        held.kill(name)
    rest(held, ended_within_us(held.lease_us, held.after_us) + 3 * SECOND)
    assert held.ends == held.with_successor == len(side) == 20
    assert all(len(held.leases[name].ended) == 20 for name in held.members)


@pytest.mark.parametrize("seed", range(1, 6))
def test_generated_faults_end_no_session_too_early_or_too_late(seed: int) -> None:
    held = played(6, 3, seed, 12)
    assert not held.faults
    assert held.sends > 1_000


def _no_reckoning(patch: pytest.MonkeyPatch) -> None:
    for module in ("lease_times", "session_subsystem"):
        patch.setattr(
            f"wingbarrow.decide.sessions.{module}.voter_lease_us",
            lambda lease_us, max_turn_us: lease_us // 2,
        )
        patch.setattr(
            f"wingbarrow.decide.sessions.{module}.drifted_us", lambda time_us: time_us // 2
        )


def _forgetful(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        SessionSubsystem,
        "on_leadership_change",
        lambda self, now_us, is_leader: self._reset_leader(now_us - 10**9),
    )
    patch.setattr(SessionSubsystem, "_note_activity", lambda self, now_us: None)


def _floor(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SessionLease, "may_send", lambda self, now_us: self.session is not None)


def _without_after(patch: pytest.MonkeyPatch) -> None:
    real = SessionSubsystem.earliest_end_us
    patch.setattr(
        SessionSubsystem,
        "earliest_end_us",
        lambda self, session, holders: real(self, session, ReplicaHolders(0, [])),
    )


def _late(patch: pytest.MonkeyPatch) -> None:
    real = SessionSubsystem.earliest_end_us
    patch.setattr(
        SessionSubsystem,
        "earliest_end_us",
        lambda self, session, holders: real(self, session, holders) + 5 * SECOND,
    )


def _deaf_go_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SessionSubsystem, "_receives_grants", lambda self, now_us, session, report: True)


@pytest.mark.parametrize("plant", [_no_reckoning, _forgetful, _floor, _without_after, _late])
def test_planted_errors_are_found_by_simulation(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert any(played(6, 3, seed, 12).faults for seed in range(1, 6))


def test_a_session_renewed_although_no_grant_arrives_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for planted in (False, True):
        if planted:
            _deaf_go_on(monkeypatch)
        held = founded()
        lost, leader = off(held), held.leader()
        held.cut = lambda a, b, lost=lost: b == lost
        held.run(
            held.now_us
            + one_way_renewal_us(held.lease_us)
            + ended_within_us(held.lease_us, held.after_us)
            + 5 * SECOND
        )
        assert bool(held.faults) is planted
        assert held.ends == (not planted)
        assert held.leader() == leader
