"""The choice of a region: the nearest one is kept, tasks spill over before it is full, and a refusal has a reason."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.decide.federation.strategies import FEDERATIONS, REGIONS
from wingbarrow.decide.federation import region_choice
from wingbarrow.decide.federation import spec as s

SPEC = s.Spec(
    "orders",
    ("north", "south", "east"),
    failover=s.Failover(("lost", "refusing"), 30_000_000, refusing_us=20_000_000),
)
ALONE = s.Federation((SPEC,))
NEW = region_choice.RegionRequest(2.0, 4.0, "safe", "north")


def statuses(**more: float) -> dict[str, region_choice.RegionStatus]:
    """Return a recent status of each region with the given loads, 0.1 by default, and free capacity."""
    return {
        region: region_choice.RegionStatus(
            region, 700_000, more.get(region, 0.1), 100.0, 400.0, stable_us=1 << 40
        )
        for region in REGIONS
    }


def with_status(
    region: str, known: dict[str, region_choice.RegionStatus], **more: object
) -> dict[str, region_choice.RegionStatus]:
    return {**known, region: replace(known[region], **more)}  # type: ignore[arg-type]


def choice_shares(
    known: dict[str, region_choice.RegionStatus],
    spec: s.Spec = SPEC,
    wanted: region_choice.RegionRequest = NEW,
) -> dict[str, float]:
    """Return the share of a thousand evenly spaced draws by which each region is chosen."""
    out: dict[str, float] = {}
    for step in range(1000):
        region = region_choice.choose_region(
            spec, s.Federation((spec,)), wanted, known, (step + 0.5) / 1000
        ).region
        out[region] = out.get(region, 0) + 1 / 1000
    return {region: round(part, 3) for region, part in out.items()}


def test_the_nearest_region_is_kept_and_the_spillover_probability_rises_linearly() -> None:
    assert choice_shares(statuses(north=0.59)) == {"north": 1.0}, (
        "nothing spills over below the lower threshold"
    )
    assert choice_shares(statuses(north=0.69)) == {"north": 0.7, "south": 0.3}
    assert choice_shares(statuses(north=0.75, south=0.7)) == {"north": 0.5, "east": 0.5}, (
        "only a region below the lower threshold receives tasks"
    )
    assert choice_shares(statuses(north=0.95)) == {"south": 1.0}
    assert choice_shares(statuses(north=0.95, south=0.6, east=0.61)) == {"north": 1.0}, (
        "no region is below its lower threshold"
    )


def test_a_task_goes_to_a_region_where_it_fits() -> None:
    known = with_status("north", statuses(north=0.99, south=0.8, east=0.9), free_cores=1.0)
    assert choice_shares(known) == {"south": 1.0}
    full = {region: replace(each, free_cores=1.0) for region, each in known.items()}
    assert choice_shares(full) == {"north": 1.0}, "its own admission decides"
    choice = region_choice.choose_region(SPEC, ALONE, replace(NEW, origin="west"), full, 0.5)
    assert choice.region == ""
    assert choice.reason == (
        "of north, south, east none will do (north: no room; south: no room; east: no room)"
    )
    held = with_status("north", statuses(), reserved_cores=99.0)
    assert choice_shares(held) == {"south": 1.0}, "new tasks do not use reserved capacity"


def test_regions_that_are_lost_closed_refusing_or_unknown() -> None:
    for more in (
        {"lost": True},
        {"closed": True},
        {"refusing_us": 1},
        {"age_us": region_choice.MAX_STATUS_AGE_US + 1},
    ):
        assert (
            region_choice.choose_region(
                SPEC,
                ALONE,
                replace(NEW, origin="west"),
                with_status("north", statuses(), **more),
                0.0,
            ).region
            == "south"
        )
    assert region_choice.choose_region(SPEC, ALONE, NEW, {}, 0.0).region == "north", (
        "the origin needs no status"
    )
    only = replace(SPEC, regions=("south",))
    refused = region_choice.choose_region(
        only, s.Federation((only,)), NEW, with_status("south", statuses(), closed=True), 0.0
    )
    assert refused == region_choice.RegionChoice(
        "", "of south none will do (south: closed for work)"
    )
    nowhere = replace(SPEC, regions=())
    assert (
        region_choice.choose_region(nowhere, s.Federation((nowhere,)), NEW, statuses(), 0.0).reason
        == "spec 'orders' allows no region"
    )


def test_data_that_is_required_and_a_copy_that_falls_behind() -> None:
    spec = replace(SPEC, data=(s.Need("stock", "required", 10, 5_000_000),))
    federation = s.Federation(
        (spec,), (s.DataSet("stock", (("south", 0), ("east", 4_000_000)), ()),)
    )
    assert (
        region_choice.choose_region(spec, federation, NEW, statuses(north=0.0), 0.99).region
        == "south"
    )
    behind = with_status("south", statuses(), data_lag_us=(("stock", 5_000_001),))
    assert region_choice.choose_region(spec, federation, NEW, behind, 0.99).region == "east"
    both = with_status("east", behind, data_lag_us=(("stock", 6_000_000),))
    assert region_choice.choose_region(spec, federation, NEW, both, 0.99).reason == (
        "of south, east none will do (south: its copy of 'stock' is 5 s behind; "
        "east: its copy of 'stock' is 6 s behind)"
    )
    lost = region_choice.RegionRequest(2.0, 4.0, "safe", "south", "failover")
    assert (
        region_choice.choose_region(
            spec, federation, lost, with_status("south", statuses(), lost=True), 0.0
        ).region
        == "east"
    )
    assert (
        region_choice.choose_region(
            spec,
            federation,
            lost,
            with_status("east", statuses(), data_lag_us=(("stock", 6_000_000),)),
            0.0,
        ).region
        == ""
    )
    resident = replace(federation, datasets=(replace(federation.datasets[0], stays=("south",)),))
    assert region_choice.choose_region(spec, resident, lost, statuses(), 0.0).region == "", (
        "residency also applies to a failover"
    )


def test_wanted_data_are_nearer_than_a_preferred_region() -> None:
    spec = replace(SPEC, data=(s.Need("stock", "wanted", 10), s.Need("logs", "wanted", 1)))
    federation = s.Federation(
        (spec,), (s.DataSet("stock", (("east", 0),)), s.DataSet("logs", (("south", 0),)))
    )
    assert region_choice.choose_region(spec, federation, NEW, statuses(), 0.99).region == "east"
    assert (
        region_choice.choose_region(
            spec, federation, NEW, with_status("east", statuses(), closed=True), 0.99
        ).region
        == "south"
    )


def test_unranked_regions_keep_a_task_in_its_origin() -> None:
    spec = replace(SPEC, ranked=False)
    for here in REGIONS:
        assert (
            region_choice.choose_region(
                spec, s.Federation((spec,)), replace(NEW, origin=here), statuses(), 0.5
            ).region
            == here
        )


def test_failover_goes_to_its_targets_within_its_share_of_their_free_capacity() -> None:
    over = replace(SPEC.failover or s.Failover((), 0), to=("east", "south"), room=50)
    spec = replace(SPEC, failover=over)
    federation = s.Federation((spec,))
    lost = region_choice.RegionRequest(10.0, 1.0, "safe", "north", "failover")
    known = with_status("north", statuses(east=0.95), lost=True)
    assert region_choice.choose_region(spec, federation, lost, known, 0.0).region == "east", (
        "thresholds apply to new tasks only"
    )
    held = with_status("east", known, reserved_cores=100.0)
    assert region_choice.choose_region(spec, federation, lost, held, 0.0).region == "east", (
        "reserved capacity is for failovers"
    )
    took = replace(lost, failover_usage=(("east", 41.0, 1.0),))
    after = with_status("east", known, free_cores=59.0)
    assert region_choice.choose_region(spec, federation, took, after, 0.0).region == "south", (
        "41 of 100 cores and 10 more exceed its share"
    )
    none = region_choice.choose_region(
        spec, federation, took, with_status("south", after, closed=True), 0.0
    )
    assert none.reason == (
        "of north, south, east none will do (south: closed for work; "
        "east: no room within 50% of what it has free)"
    )
    without_failover = replace(spec, failover=None)
    assert (
        region_choice.choose_region(
            without_failover, s.Federation((without_failover,)), lost, known, 0.0
        ).reason
        == "spec 'orders' has no failover"
    )


def test_when_a_failover_is_due() -> None:
    assert region_choice.failover_due(SPEC, "lost", 30_000_000)
    assert not region_choice.failover_due(SPEC, "lost", 29_999_999)
    assert region_choice.failover_due(SPEC, "refusing", 50_000_000)
    assert not region_choice.failover_due(SPEC, "refusing", 49_999_999)
    assert not region_choice.failover_due(SPEC, "closed", 1 << 40)
    assert not region_choice.failover_due(replace(SPEC, failover=None), "lost", 1 << 40)


def test_return_to_a_region_that_is_stable_for_long_enough_and_has_capacity() -> None:
    spec = replace(SPEC, back=s.Back("stable", 600_000_000))
    federation = s.Federation((spec,))
    away = region_choice.RegionRequest(2.0, 4.0, "safe", "east", "back")
    assert region_choice.choose_region(spec, federation, away, statuses(), 0.0).region == "north"
    young = with_status("north", statuses(), stable_us=599_999_999)
    assert region_choice.choose_region(spec, federation, away, young, 0.0).region == "south"
    busy = with_status("south", young, load=0.6)
    assert region_choice.choose_region(
        spec, federation, away, busy, 0.0
    ) == region_choice.RegionChoice(
        "east",
        "of north, south, east none will do (north: well for 600 s only; south: at 60 of 100)",
    )
    assert (
        region_choice.choose_region(
            spec, federation, replace(away, effect="unsafe"), statuses(), 0.0
        ).region
        == "east"
    )
    assert region_choice.choose_region(
        SPEC, ALONE, away, statuses(), 0.0
    ) == region_choice.RegionChoice("east", "it never returns")
    assert (
        region_choice.choose_region(
            spec, federation, replace(away, origin="north"), statuses(), 0.0
        ).region
        == "north"
    )


LOADS = st.sampled_from([0.0, 0.55, 0.7, 0.85, 1.2])
NEWS = st.dictionaries(
    st.sampled_from(REGIONS),
    st.builds(
        region_choice.RegionStatus,
        st.just(""),
        st.sampled_from([0, region_choice.MAX_STATUS_AGE_US + 1]),
        LOADS,
        st.sampled_from([0.0, 2.0, 50.0]),
        st.just(50.0),
        st.booleans(),
        st.booleans(),
        st.sampled_from([0, 5]),
        st.sampled_from([0, 5]),
    ),
)


@given(
    FEDERATIONS,
    NEWS,
    st.sampled_from(REGIONS),
    st.sampled_from(["new", "failover", "back"]),
    st.floats(0, 1, exclude_max=True),
    st.sampled_from(["safe", "keyed", "unsafe"]),
)
def test_nothing_is_chosen_that_is_not_allowed(
    federation: s.Federation,
    known: dict[str, region_choice.RegionStatus],
    here: str,
    why: str,
    draw: float,
    effect: str,
) -> None:
    known = {region: replace(each, region=region) for region, each in known.items()}
    for spec in federation.specs:
        choice = region_choice.choose_region(
            spec, federation, region_choice.RegionRequest(2.0, 2.0, effect, here, why), known, draw
        )
        assert choice.region or choice.reason
        if choice.region == here and why == "back":
            continue
        if choice.region:
            assert choice.region in s.allowed_regions(spec, federation)
            assert (
                choice.region == here
                or known[choice.region].age_us <= region_choice.MAX_STATUS_AGE_US
            )
            assert choice.region == here or not known[choice.region].lost
            assert not (why == "failover" and choice.region == here)


def test_a_thousand_choices_are_the_same_for_the_same_draws() -> None:
    def play() -> list[str]:
        rng = random.Random(41)
        return [
            region_choice.choose_region(
                SPEC, ALONE, NEW, statuses(north=rng.random(), south=rng.random()), rng.random()
            ).region
            for _ in range(1000)
        ]

    first = play()
    assert first == play()
    assert set(first) == set(REGIONS)


@pytest.mark.parametrize("lower", [0, 50])
def test_thresholds_are_the_specs(lower: int) -> None:
    found = choice_shares(
        statuses(north=0.75, south=0.0, east=0.0), replace(SPEC, lower=lower, upper=100)
    )
    assert (
        found.get("north", 0.0) == pytest.approx((100 - 75) / (100 - lower), abs=0.002)
        or lower == 0
    )
    assert lower or found == {"north": 1.0}, "with lower=0 no other region is below the threshold"
