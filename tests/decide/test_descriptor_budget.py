"""The descriptor budget: reserved descriptors, order of closing, and connections that are never closed."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.descriptor_budget import RESERVED_DESCRIPTORS, CloseCost, DescriptorBudget


@dataclass(eq=False)
class Held:
    close_cost: CloseCost
    used_us: int


@pytest.mark.parametrize("limit", [128, 256, 784, 1024])
def test_owners_machines_and_the_reserve_fit_the_limit(limit: int) -> None:
    budget = DescriptorBudget(limit)
    assert budget.max_owners >= limit / 3 or limit < 256, "owners may hold a third of the limit"
    assert budget.total + RESERVED_DESCRIPTORS == limit
    assert budget.max_owners <= budget.total / 2
    assert budget.excess(budget.max_owners, budget.total - budget.max_owners) == 0
    assert budget.excess(budget.max_owners, budget.total - budget.max_owners + 3) == 3


def test_the_cheapest_connection_is_closed_first_then_the_least_recently_used() -> None:
    held = [
        Held(CloseCost.BUSY, 1),
        Held(CloseCost.NEWS, 2),
        Held(CloseCost.NEWS, 9),
        Held(CloseCost.IDLE, 8),
        Held(CloseCost.SPARE, 7),
    ]
    budget, order = DescriptorBudget(256), []
    while (chosen := budget.connection_to_close(held, CloseCost.NEWS)) is not None:
        order.append((chosen.close_cost, chosen.used_us))
        held.remove(chosen)
    assert order == [
        (CloseCost.SPARE, 7),
        (CloseCost.IDLE, 8),
        (CloseCost.NEWS, 2),
        (CloseCost.NEWS, 9),
    ]
    assert [each.close_cost for each in held] == [CloseCost.BUSY], (
        "a connection with an open set-up is never closed"
    )


def test_second_connections_leave_an_eighth_of_the_budget_free() -> None:
    budget = DescriptorBudget(784)
    assert budget.may_add_extra(100, budget.max_with_extras - 101)
    assert not budget.may_add_extra(100, budget.max_with_extras - 100)
    assert budget.max_with_extras < budget.total


@given(
    st.lists(st.tuples(st.sampled_from(list(CloseCost)), st.integers(0, 50))),
    st.sampled_from(list(CloseCost)),
)
def test_no_connection_is_closed_that_costs_more_than_allowed(
    held: list[tuple[CloseCost, int]], worst: CloseCost
) -> None:
    chosen = DescriptorBudget(256).connection_to_close([Held(*each) for each in held], worst)
    if chosen is None:
        assert all(close_cost > worst for close_cost, _ in held)
    else:
        assert chosen.close_cost <= worst
        assert (chosen.close_cost, chosen.used_us) == min(held)
