"""The budget of the descriptor table: what is kept, who goes first, what never goes."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.descriptors import KEPT, Rank, Table


@dataclass(eq=False)
class Held:
    rank: Rank
    used_us: int


@pytest.mark.parametrize("limit", [128, 256, 784, 1024])
def test_owners_machines_and_what_is_kept_fit_the_table(limit: int) -> None:
    table = Table(limit)
    assert table.owners_most >= limit / 3 or limit < 256, "owners may hold a third of the limit"
    assert table.most + KEPT == limit
    assert table.owners_most <= table.most / 2
    assert table.over(table.owners_most, table.most - table.owners_most) == 0
    assert table.over(table.owners_most, table.most - table.owners_most + 3) == 3


def test_the_cheapest_end_goes_first_and_of_alike_ones_the_least_lately_used() -> None:
    held = [
        Held(Rank.BUSY, 1),
        Held(Rank.NEWS, 2),
        Held(Rank.NEWS, 9),
        Held(Rank.IDLE, 8),
        Held(Rank.SPARE, 7),
    ]
    table, order = Table(256), []
    while (gone := table.whom_to_close(held, Rank.NEWS)) is not None:
        order.append((gone.rank, gone.used_us))
        held.remove(gone)
    assert order == [(Rank.SPARE, 7), (Rank.IDLE, 8), (Rank.NEWS, 2), (Rank.NEWS, 9)]
    assert [each.rank for each in held] == [Rank.BUSY], "what has a set-up open never goes"


def test_a_second_connection_to_a_machine_takes_none_of_the_last_eighth() -> None:
    table = Table(784)
    assert table.may_add_extra(100, table.extras_most - 101)
    assert not table.may_add_extra(100, table.extras_most - 100)
    assert table.extras_most < table.most


@given(
    st.lists(st.tuples(st.sampled_from(list(Rank)), st.integers(0, 50))),
    st.sampled_from(list(Rank)),
)
def test_nothing_goes_that_costs_more_than_asked(held: list[tuple[Rank, int]], worst: Rank) -> None:
    gone = Table(256).whom_to_close([Held(*each) for each in held], worst)
    if gone is None:
        assert all(rank > worst for rank, _ in held)
    else:
        assert gone.rank <= worst
        assert (gone.rank, gone.used_us) == min(held)
