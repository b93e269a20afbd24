"""The model of rights as far as it is small: one placer, its lives and leaders; two are explored by hand."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.rightsmodel import RightsPlan, explore_rights


def test_no_way_leads_past_the_whole() -> None:
    explored = explore_rights(RightsPlan(placers=1))
    assert not explored.way and explored.states > 500


@pytest.mark.parametrize("planted", ["no_former", "reborn"])
def test_a_planted_error_is_found_by_its_shortest_way(planted: str) -> None:
    assert explore_rights(RightsPlan(placers=1, **{planted: True})).way
