"""Quota allocations under generated faults: no limit is exceeded, and most of each limit is used afterwards."""

from __future__ import annotations

import pytest

from wingbarrow.decide.coordination import coordinator as coordinator_module
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.lab.fleet.quota_simulation import (
    STRANDED_US,
    QuotaSimulation,
    inject_faults,
    rules_with_limits,
)
from wingbarrow.lab.fleet.simulation import SECOND

MAX_STANDING, MAX_RATE = 30, 36


def run_simulation(count: int, seed: int) -> QuotaSimulation:
    simulation = QuotaSimulation(
        count, 3, seed, [6.0] + [1.0] * (count - 1), MAX_STANDING, MAX_RATE
    )
    wanted = rules_with_limits(simulation.names, MAX_STANDING, MAX_RATE)
    assert simulation.run_until(lambda: simulation.leader() is not None, 20 * SECOND)
    simulation.propose(wanted)
    assert simulation.run_until(lambda: simulation.all_on(wanted), 20 * SECOND)
    for _ in inject_faults(simulation, seed):
        pass
    return simulation


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (3, 2), (5, 3), (5, 4), (5, 5)])
def test_generated_faults_exceed_no_limit_and_most_of_it_is_used_afterwards(
    count: int, seed: int
) -> None:
    simulation = run_simulation(count, seed)
    assert simulation.violations == 0 and simulation.started > 100, f"seed {seed}"
    simulation.reset_counts()
    simulation.run(simulation.now_us + 20 * SECOND)
    assert (
        simulation.violations == 0
        and simulation.task_steps >= 0.6 * MAX_STANDING * simulation.steps
    ), f"seed {seed}"


def test_a_ledger_that_reuses_allocations_too_early_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class ShortLeaseLedger(AllocationLedger):
        # Reuses an allocation before the tasks that a killed placer left behind have ended.
        def _lease_end_us(self, name: str) -> int:
            return super()._lease_end_us(name) - STRANDED_US

    monkeypatch.setattr(coordinator_module, "AllocationLedger", ShortLeaseLedger)
    assert any(run_simulation(3, seed).violations for seed in range(1, 20))
