"""Exploration of the allocation model with one placer, its incarnations and leaders; two placers take too long."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.allocation_model import AllocationPlan, explore_allocations


@pytest.mark.parametrize(("limit", "states"), [(1, 6_000), (2, 40_000)])
def test_no_reachable_state_exceeds_the_limit(limit: int, states: int) -> None:
    explored = explore_allocations(AllocationPlan(placers=1, limit=limit))
    assert not explored.trace
    assert explored.states > states


@pytest.mark.parametrize(
    "planted", ["no_lag", "no_debt", "one_life", "any_word", "at_once", "forgetful", "any_answer"]
)
def test_a_planted_error_is_found_with_a_shortest_trace(planted: str) -> None:
    assert explore_allocations(AllocationPlan(placers=1, **{planted: True})).trace
