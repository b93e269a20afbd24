"""The model of rights as far as it is small: one placer, its lives and leaders; two are not explored to the end."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.rightsmodel import RightsPlan, explore_rights


@pytest.mark.parametrize(("whole", "states"), [(1, 6_000), (2, 40_000)])
def test_no_way_leads_past_the_whole(whole: int, states: int) -> None:
    explored = explore_rights(RightsPlan(placers=1, whole=whole))
    assert not explored.way
    assert explored.states > states


@pytest.mark.parametrize(
    "planted", ["no_lag", "no_debt", "one_life", "any_word", "at_once", "forgetful", "any_answer"]
)
def test_a_planted_error_is_found_by_its_shortest_way(planted: str) -> None:
    assert explore_rights(RightsPlan(placers=1, **{planted: True})).way
