"""Capacity reserved for the loss of a region: as much as possible, and what is missing is reported."""

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
def test_the_allocation_is_a_maximum_flow(
    needs: list[tuple[int, list[tuple[str, int]]]], free: dict[str, int]
) -> None:
    demands = [
        failover_capacity.Demand(str(at), need, tuple(limit))
        for at, (need, limit) in enumerate(needs)
    ]
    allocation = failover_capacity.allocate(demands, free)
    for demand in demands:
        assert (
            sum(amount for (name, _), amount in allocation.items() if name == demand.name)
            <= demand.amount
        )
        assert all(
            allocation.get((demand.name, region), 0) <= limit
            for region, limit in demand.max_by_region
        )
    for region, has in free.items():
        assert sum(amount for (_, where), amount in allocation.items() if where == region) <= has
    # The maximum flow equals the minimum cut over all partitions of demands and regions.
    names = [demand.name for demand in demands]
    min_cut = min(
        sum(demand.amount for demand in demands if demand.name not in cut)
        + sum(free[region] for region in free if region in cut_regions)
        + sum(
            min(limit, free.get(region, 0))
            for demand in demands
            if demand.name in cut
            for region, limit in demand.max_by_region
            if region not in cut_regions
        )
        for size in range(len(names) + 1)
        for cut in itertools.combinations(names, size)
        for many in range(len(free) + 1)
        for cut_regions in itertools.combinations(sorted(free), many)
    )
    assert sum(allocation.values()) == min_cut


def test_each_region_reserves_for_the_worst_single_loss() -> None:
    free = {"north": (50.0, 200.0), "south": (40.0, 200.0), "east": (40.0, 40.0)}
    reservations = failover_capacity.reserve_capacity(
        s.Federation((MAIL, ORDERS)),
        free,
        {
            ("orders", "north"): (30.0, 60.0),
            ("mail", "north"): (30.0, 30.0),
            ("mail", "south"): (20.0, 20.0),
        },
    )
    assert reservations.reserved == {
        "north": (20.0, 20.0),
        "south": (40.0, 90.0),
        "east": (20.0, 0.0),
    }
    assert not reservations.shortfalls


def test_missing_capacity_is_reported() -> None:
    reservations = failover_capacity.reserve_capacity(
        s.Federation((ORDERS,)),
        {"north": (50.0, 200.0), "south": (20.0, 200.0)},
        {("orders", "north"): (30.0, 60.0)},
    )
    assert reservations.reserved["south"] == (20.0, 60.0)
    assert reservations.shortfalls == (failover_capacity.Shortfall("orders", "north", 10.0, 0.0),)


def test_the_share_of_free_capacity_and_the_minimum_capacity_of_a_spec() -> None:
    spec = s.Spec(
        "orders", ("north", "south"), failover=s.Failover(("lost",), 1, room=50, cores=30, mib=2048)
    )
    reservations = failover_capacity.reserve_capacity(
        s.Federation((spec,)), {"north": (50.0, 200.0), "south": (40.0, 200.0)}, {}
    )
    assert reservations.reserved == {"north": (0.0, 0.0), "south": (20.0, 2.0)}
    assert reservations.shortfalls == (failover_capacity.Shortfall("orders", "north", 10.0, 0.0),)


def test_nothing_is_reserved_without_a_failover_or_where_tasks_may_not_run() -> None:
    stays = s.Spec("orders", ("north", "south"))
    near = s.Spec("mail", ("north", "south"), data=(s.Need("stock", "required"),), failover=OVER)
    reservations = failover_capacity.reserve_capacity(
        s.Federation((near, stays), (s.DataSet("stock", (("north", 0),)),)),
        {"north": (50.0, 200.0), "south": (40.0, 200.0)},
        {("orders", "north"): (30.0, 60.0), ("mail", "north"): (5.0, 5.0)},
    )
    assert reservations.reserved["south"] == (0.0, 0.0)
    assert reservations.shortfalls == (failover_capacity.Shortfall("mail", "north", 5.0, 5.0),)
