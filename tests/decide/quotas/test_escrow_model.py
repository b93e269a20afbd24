"""Exhaustive exploration of the model of grants, steps and floors, which also finds planted errors."""

from __future__ import annotations

import pytest

from wingbarrow.lab.fleet.grant_model import GrantPlan, explore_floors, explore_grants


def test_contradicting_versions_are_never_in_use_together() -> None:
    """Two placers suffice: the leader waits for each of them, so a third one only makes it wait longer."""
    found = explore_grants(GrantPlan(2))
    print(f"{found.states} states")
    assert found.trace == ()
    assert found.states > 50_000


def test_no_floor_in_use_allows_what_an_accepted_version_forbids() -> None:
    found = explore_floors(GrantPlan(2))
    print(f"{found.states} states")
    assert found.trace == ()
    assert found.states > 1_000


@pytest.mark.parametrize(
    "plan",
    [
        GrantPlan(2, from_answer=True),
        GrantPlan(2, no_wait=True),
        GrantPlan(2, forgetful=True),
        GrantPlan(2, hasty=True),
    ],
)
def test_planted_errors_of_leases_and_steps_are_found(plan: GrantPlan) -> None:
    assert explore_grants(plan).trace


@pytest.mark.parametrize(
    "plan", [GrantPlan(2, floor_unchecked=True), GrantPlan(2, from_answer=True)]
)
def test_planted_errors_of_floors_are_found(plan: GrantPlan) -> None:
    assert explore_floors(plan).trace
