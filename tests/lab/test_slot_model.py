"""Exploration of the slot model with one placer; three placers take too long for a test."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.slot_model import SlotPlan, explore_slots


def test_no_reachable_state_has_work_on_a_machine_that_is_not_empty_or_not_granted() -> None:
    explored = explore_slots(SlotPlan(placers=1))
    assert not explored.trace
    assert explored.states > 3000


@pytest.mark.parametrize(
    "planted",
    [
        "no_word",
        "no_placers",
        "deposed",
        "lost_free",
        "closing_only",
        "any_number",
        "hasty",
        "floor_free",
    ],
)
def test_a_planted_error_is_found_with_a_shortest_trace(planted: str) -> None:
    assert explore_slots(SlotPlan(placers=1, **{planted: True})).trace
