"""Generated trouble for holders of limits: nobody passes the whole, and what is there is used."""

from __future__ import annotations

import pytest

from wingbarrow.decide.coordination import coordinator as agreement
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.lab.fleet.holders import STRANDED_US, Holders, limited, trouble
from wingbarrow.lab.fleet.simulation import SECOND

MOST, RATE = 30, 36


def played(count: int, seed: int) -> Holders:
    holders = Holders(count, 3, seed, [6.0] + [1.0] * (count - 1), MOST, RATE)
    wanted = limited(holders.names, MOST, RATE)
    assert holders.run_until(lambda: holders.leader() is not None, 20 * SECOND)
    holders.propose(wanted)
    assert holders.run_until(lambda: holders.all_on(wanted), 20 * SECOND)
    for _ in trouble(holders, seed):
        pass
    return holders


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (3, 2), (5, 3), (5, 4), (5, 5)])
def test_nobody_passes_the_whole_under_generated_trouble_and_most_of_it_is_used_after(
    count: int, seed: int
) -> None:
    holders = played(count, seed)
    assert holders.over == 0 and holders.started > 100, f"seed {seed}"
    holders.clear()
    holders.run(holders.now_us + 20 * SECOND)
    assert holders.over == 0 and holders.filled >= 0.6 * MOST * holders.turns, f"seed {seed}"


def test_a_planted_account_that_forgets_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    class Forgetful(AllocationLedger):
        def _lease_end_us(self, name: str) -> int:
            return super()._lease_end_us(name) - STRANDED_US

    monkeypatch.setattr(agreement, "AllocationLedger", Forgetful)
    assert any(played(3, seed).over for seed in range(1, 20))
