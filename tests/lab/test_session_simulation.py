"""Simulated sessions under partitions, pauses, kills and restarts of placers and regions; planted errors are found."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from wingbarrow.decide.sessions.lease_times import ended_within_us, one_way_renewal_us
from wingbarrow.decide.sessions.session_lease import SessionLease
from wingbarrow.decide.sessions.session_subsystem import ReplicaHolders, SessionSubsystem
from wingbarrow.lab.fleet.session_simulation import SessionSimulation, run_simulation
from wingbarrow.lab.fleet.simulation import SECOND


def bootstrapped(count: int = 6, voters: int = 3, seed: int = 4) -> SessionSimulation:
    simulation = SessionSimulation(count, voters, seed)
    simulation.bootstrap()
    assert simulation.all_may_send()
    return simulation


def run_without_violations(simulation: SessionSimulation, for_us: int) -> None:
    simulation.run(simulation.now_us + for_us)
    assert not simulation.violations, simulation.violations


def placer_outside_leader_region(simulation: SessionSimulation) -> str:
    """A placer outside the leader's region."""
    leader = simulation.leader()
    assert leader is not None
    return next(
        name
        for name in reversed(simulation.names)
        if simulation.region(name) != simulation.region(leader)
    )


def test_a_cut_shorter_than_the_lease_changes_nothing() -> None:
    simulation = bootstrapped()
    region = simulation.region(placer_outside_leader_region(simulation))
    side = {name for name in simulation.names if simulation.region(name) == region}
    simulation.cut = lambda a, b: (a in side) != (b in side)
    run_without_violations(simulation, simulation.lease_us + SECOND // 2)
    simulation.cut = lambda a, b: False
    run_without_violations(simulation, 20 * SECOND)
    assert simulation.ends == 0
    assert simulation.all_may_send()


def test_flapping_faster_than_the_lease_ends_nothing() -> None:
    simulation = bootstrapped()
    lost = placer_outside_leader_region(simulation)
    for _ in range(10):
        simulation.cut = lambda a, b: lost in (a, b)
        run_without_violations(simulation, simulation.lease_us * 3 // 4)
        simulation.cut = lambda a, b: False
        run_without_violations(simulation, SECOND)
    assert simulation.ends == 0
    assert simulation.all_may_send()


@pytest.mark.parametrize("wakes", [True, False])
def test_a_placer_paused_for_longer_than_lease_and_after_wakes_to_an_ended_session(
    wakes: bool,
) -> None:
    simulation = bootstrapped()
    lost = placer_outside_leader_region(simulation)
    session = simulation.leases[lost].session
    assert session is not None
    simulation.stop(lost, 40 * SECOND) if wakes else simulation.kill(lost)
    run_without_violations(
        simulation, ended_within_us(simulation.lease_us, simulation.after_us) + SECOND
    )
    assert simulation.ends == 1 == simulation.ends_with_successor
    run_without_violations(simulation, 40 * SECOND)
    if wakes:
        assert simulation.leases[lost].session == replace(session, serial=2)
        assert simulation.all_may_send()


def test_a_leader_lost_between_expiry_and_end_delays_the_end_which_happens_once() -> None:
    simulation = bootstrapped(9, 5)
    lost, leader = placer_outside_leader_region(simulation), simulation.leader()
    assert leader is not None
    simulation.kill(lost)
    run_without_violations(simulation, simulation.lease_us + SECOND)
    simulation.kill(leader)
    run_without_violations(
        simulation, 2 * ended_within_us(simulation.lease_us, simulation.after_us) + 5 * SECOND
    )
    assert simulation.ends == 2 == len(simulation.leader_subsystem().log.ended)
    simulation.start(lost)
    simulation.start(leader)
    run_without_violations(simulation, 10 * SECOND)
    assert simulation.all_may_send()


def test_a_lost_region_of_sixty_placers_ends_each_session_once_and_the_others_know() -> None:
    simulation = bootstrapped(60, 9, 2)
    region = simulation.region(placer_outside_leader_region(simulation))
    side = [name for name in simulation.names if simulation.region(name) == region]
    for name in side:
        simulation.kill(name)
    run_without_violations(
        simulation, ended_within_us(simulation.lease_us, simulation.after_us) + 3 * SECOND
    )
    assert simulation.ends == simulation.ends_with_successor == len(side) == 20
    assert all(len(simulation.leases[name].ended) == 20 for name in simulation.members)


@pytest.mark.parametrize("seed", range(1, 6))
def test_generated_faults_end_no_session_too_early_or_too_late(seed: int) -> None:
    simulation = run_simulation(6, 3, seed, 12)
    assert not simulation.violations
    assert simulation.sends > 1_000


def _short_voter_lease(patch: pytest.MonkeyPatch) -> None:
    for module in ("lease_times", "session_subsystem"):
        patch.setattr(
            f"wingbarrow.decide.sessions.{module}.voter_lease_us",
            lambda lease_us, max_turn_us: lease_us // 2,
        )
        patch.setattr(
            f"wingbarrow.decide.sessions.{module}.drifted_us", lambda time_us: time_us // 2
        )


def _forgets_renewals_on_election(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        SessionSubsystem,
        "on_leadership_change",
        lambda self, now_us, is_leader: self._reset_leader(now_us - 10**9),
    )
    patch.setattr(SessionSubsystem, "_note_activity", lambda self, now_us: None)


def _sends_without_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SessionLease, "may_send", lambda self, now_us: self.session is not None)


def _ignores_reissue_delay(patch: pytest.MonkeyPatch) -> None:
    real = SessionSubsystem.earliest_end_us
    patch.setattr(
        SessionSubsystem,
        "earliest_end_us",
        lambda self, session, holders: real(self, session, ReplicaHolders(0, [])),
    )


def _ends_late(patch: pytest.MonkeyPatch) -> None:
    real = SessionSubsystem.earliest_end_us
    patch.setattr(
        SessionSubsystem,
        "earliest_end_us",
        lambda self, session, holders: real(self, session, holders) + 5 * SECOND,
    )


def _renews_without_grants(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SessionSubsystem, "_receives_grants", lambda self, now_us, session, report: True)


@pytest.mark.parametrize(
    "plant",
    [
        _short_voter_lease,
        _forgets_renewals_on_election,
        _sends_without_lease,
        _ignores_reissue_delay,
        _ends_late,
    ],
)
def test_planted_errors_are_found_by_simulation(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert any(run_simulation(6, 3, seed, 12).violations for seed in range(1, 6))


def test_a_session_renewed_although_no_grant_arrives_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for planted in (False, True):
        if planted:
            _renews_without_grants(monkeypatch)
        simulation = bootstrapped()
        lost, leader = placer_outside_leader_region(simulation), simulation.leader()
        simulation.cut = lambda a, b, lost=lost: b == lost
        simulation.run(
            simulation.now_us
            + one_way_renewal_us(simulation.lease_us)
            + ended_within_us(simulation.lease_us, simulation.after_us)
            + 5 * SECOND
        )
        assert bool(simulation.violations) is planted
        assert simulation.ends == (not planted)
        assert simulation.leader() == leader
