"""Room held back for the loss of a region: as much as can be had, and what cannot is told."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.federation import failover_capacity
from wingbarrow.decide.federation import spec as s

OVER = s.Failover(("lost",), 30_000_000)
ORDERS = s.Spec("orders", ("north", "south"), failover=OVER)
MAIL = s.Spec("mail", ("north", "south", "east"), failover=OVER)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 12),
            st.lists(
                st.tuples(st.sampled_from("abc"), st.integers(0, 8)),
                max_size=3,
                unique_by=lambda each: each[0],
            ),
        ),
        max_size=3,
    ),
    st.dictionaries(st.sampled_from("abc"), st.integers(0, 9)),
)
def test_as_much_as_can_be_had_finds_room(
    needs: list[tuple[int, list[tuple[str, int]]]], free: dict[str, int]
) -> None:
    loads = [
        failover_capacity.Demand(str(at), need, tuple(most))
        for at, (need, most) in enumerate(needs)
    ]
    dealt = failover_capacity.allocate(loads, free)
    for load in loads:
        assert (
            sum(amount for (name, _), amount in dealt.items() if name == load.name) <= load.amount
        )
        assert all(dealt.get((load.name, place), 0) <= most for place, most in load.max_by_region)
    for place, has in free.items():
        assert sum(amount for (_, where), amount in dealt.items() if where == place) <= has
    # The most that can be had is the least over all ways to part loads and places (max-flow, min-cut).
    names = [load.name for load in loads]
    least = min(
        sum(load.amount for load in loads if load.name not in cut)
        + sum(free[place] for place in free if place in places)
        + sum(
            min(most, free.get(place, 0))
            for load in loads
            if load.name in cut
            for place, most in load.max_by_region
            if place not in places
        )
        for size in range(len(names) + 1)
        for cut in itertools.combinations(names, size)
        for many in range(len(free) + 1)
        for places in itertools.combinations(sorted(free), many)
    )
    assert sum(dealt.values()) == least


def test_each_region_holds_back_for_the_worst_single_loss() -> None:
    rooms = {"north": (50.0, 200.0), "south": (40.0, 200.0), "east": (40.0, 40.0)}
    held = failover_capacity.reserve_capacity(
        s.Federation((MAIL, ORDERS)),
        rooms,
        {
            ("orders", "north"): (30.0, 60.0),
            ("mail", "north"): (30.0, 30.0),
            ("mail", "south"): (20.0, 20.0),
        },
    )
    assert held.reserved == {"north": (20.0, 20.0), "south": (40.0, 90.0), "east": (20.0, 0.0)}
    assert not held.shortfalls


def test_what_has_no_room_is_told() -> None:
    held = failover_capacity.reserve_capacity(
        s.Federation((ORDERS,)),
        {"north": (50.0, 200.0), "south": (20.0, 200.0)},
        {("orders", "north"): (30.0, 60.0)},
    )
    assert held.reserved["south"] == (20.0, 60.0)
    assert held.shortfalls == (failover_capacity.Shortfall("orders", "north", 10.0, 0.0),)


def test_a_share_of_room_and_what_a_spec_says_of_itself() -> None:
    spec = s.Spec(
        "orders", ("north", "south"), failover=s.Failover(("lost",), 1, room=50, cores=30, mib=2048)
    )
    held = failover_capacity.reserve_capacity(
        s.Federation((spec,)), {"north": (50.0, 200.0), "south": (40.0, 200.0)}, {}
    )
    assert held.reserved == {"north": (0.0, 0.0), "south": (20.0, 2.0)}
    assert held.shortfalls == (failover_capacity.Shortfall("orders", "north", 10.0, 0.0),)


def test_nothing_is_held_for_what_does_not_fail_over_or_may_not_be_there() -> None:
    stays = s.Spec("orders", ("north", "south"))
    near = s.Spec("mail", ("north", "south"), data=(s.Need("stock", "required"),), failover=OVER)
    held = failover_capacity.reserve_capacity(
        s.Federation((near, stays), (s.DataSet("stock", (("north", 0),)),)),
        {"north": (50.0, 200.0), "south": (40.0, 200.0)},
        {("orders", "north"): (30.0, 60.0), ("mail", "north"): (5.0, 5.0)},
    )
    assert held.reserved["south"] == (0.0, 0.0)
    assert held.shortfalls == (failover_capacity.Shortfall("mail", "north", 5.0, 5.0),)
