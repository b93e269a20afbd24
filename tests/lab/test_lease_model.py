"""Exhaustive exploration of the lease model with a lease of two ticks; `benchmarks.leases --model` has longer ones."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.lease_model import ERRORS, LeasePlan, explore_leases


def test_no_reachable_state_has_two_copies_or_a_send_after_the_end() -> None:
    explored = explore_leases(LeasePlan(lease=2))
    print(f"{explored.states} states")
    assert not explored.trace
    assert explored.states > 10_000


@pytest.mark.parametrize("planted", ERRORS)
def test_a_planted_error_is_found_with_a_shortest_trace(planted: str) -> None:
    assert explore_leases(LeasePlan(lease=2, planted=planted)).trace
