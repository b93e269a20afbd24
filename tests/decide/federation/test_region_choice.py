"""The choice of a region: the nearer is kept, work goes over early, and a refusal says why."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.decide.federation.strategies import FEDERATIONS, REGIONS
from wingbarrow.decide.federation import region_choice as ro
from wingbarrow.decide.federation import spec as s

SPEC = s.Spec(
    "orders",
    ("north", "south", "east"),
    failover=s.Failover(("lost", "refusing"), 30_000_000, refusing_us=20_000_000),
)
ALONE = s.Federation((SPEC,))
NEW = ro.RegionRequest(2.0, 4.0, "safe", "north")


def news(**more: float) -> dict[str, ro.RegionStatus]:
    """Each region at a load, well and young."""
    return {
        region: ro.RegionStatus(
            region, 700_000, more.get(region, 0.1), 100.0, 400.0, stable_us=1 << 40
        )
        for region in REGIONS
    }


def told(
    region: str, known: dict[str, ro.RegionStatus], **more: object
) -> dict[str, ro.RegionStatus]:
    return {**known, region: replace(known[region], **more)}  # type: ignore[arg-type]


def share(
    known: dict[str, ro.RegionStatus], spec: s.Spec = SPEC, wanted: ro.RegionRequest = NEW
) -> dict[str, float]:
    """How often each region is chosen, over a thousand draws."""
    out: dict[str, float] = {}
    for step in range(1000):
        region = ro.choose_region(
            spec, s.Federation((spec,)), wanted, known, (step + 0.5) / 1000
        ).region
        out[region] = out.get(region, 0) + 1 / 1000
    return {region: round(part, 3) for region, part in out.items()}


def test_the_nearer_region_is_kept_and_work_goes_over_with_a_chance_that_rises_linearly() -> None:
    assert share(news(north=0.59)) == {"north": 1.0}, "below the lower threshold nothing goes over"
    assert share(news(north=0.69)) == {"north": 0.7, "south": 0.3}
    assert share(news(north=0.75, south=0.7)) == {"north": 0.5, "east": 0.5}, (
        "only to one that is below its lower"
    )
    assert share(news(north=0.95)) == {"south": 1.0}
    assert share(news(north=0.95, south=0.6, east=0.61)) == {"north": 1.0}, (
        "nobody has room to spare"
    )


def test_where_it_does_not_fit_it_goes_where_it_does() -> None:
    known = told("north", news(north=0.99, south=0.8, east=0.9), free_cores=1.0)
    assert share(known) == {"south": 1.0}
    full = {region: replace(each, free_cores=1.0) for region, each in known.items()}
    assert share(full) == {"north": 1.0}, "its own door says the rest"
    choice = ro.choose_region(SPEC, ALONE, replace(NEW, origin="west"), full, 0.5)
    assert choice.region == ""
    assert choice.reason == (
        "of north, south, east none will do (north: no room; south: no room; east: no room)"
    )
    held = told("north", news(), reserved_cores=99.0)
    assert share(held) == {"south": 1.0}, "room that is held back is none for new work"


def test_regions_that_are_lost_closed_refusing_or_unknown() -> None:
    for more in (
        {"lost": True},
        {"closed": True},
        {"refusing_us": 1},
        {"age_us": ro.MAX_STATUS_AGE_US + 1},
    ):
        assert (
            ro.choose_region(
                SPEC, ALONE, replace(NEW, origin="west"), told("north", news(), **more), 0.0
            ).region
            == "south"
        )
    assert ro.choose_region(SPEC, ALONE, NEW, {}, 0.0).region == "north", (
        "who stands in it knows it"
    )
    only = replace(SPEC, regions=("south",))
    refused = ro.choose_region(
        only, s.Federation((only,)), NEW, told("south", news(), closed=True), 0.0
    )
    assert refused == ro.RegionChoice("", "of south none will do (south: closed for work)")
    nowhere = replace(SPEC, regions=())
    assert (
        ro.choose_region(nowhere, s.Federation((nowhere,)), NEW, news(), 0.0).reason
        == "spec 'orders' allows no region"
    )


def test_data_that_is_required_and_a_copy_that_falls_behind() -> None:
    spec = replace(SPEC, data=(s.Need("stock", "required", 10, 5_000_000),))
    federation = s.Federation(
        (spec,), (s.DataSet("stock", (("south", 0), ("east", 4_000_000)), ()),)
    )
    assert ro.choose_region(spec, federation, NEW, news(north=0.0), 0.99).region == "south"
    behind = told("south", news(), data_lag_us=(("stock", 5_000_001),))
    assert ro.choose_region(spec, federation, NEW, behind, 0.99).region == "east"
    both = told("east", behind, data_lag_us=(("stock", 6_000_000),))
    assert ro.choose_region(spec, federation, NEW, both, 0.99).reason == (
        "of south, east none will do (south: its copy of 'stock' is 5 s behind; "
        "east: its copy of 'stock' is 6 s behind)"
    )
    lost = ro.RegionRequest(2.0, 4.0, "safe", "south", "failover")
    assert (
        ro.choose_region(spec, federation, lost, told("south", news(), lost=True), 0.0).region
        == "east"
    )
    assert (
        ro.choose_region(
            spec, federation, lost, told("east", news(), data_lag_us=(("stock", 6_000_000),)), 0.0
        ).region
        == ""
    )
    resident = replace(federation, datasets=(replace(federation.datasets[0], stays=("south",)),))
    assert ro.choose_region(spec, resident, lost, news(), 0.0).region == "", (
        "residency holds under failover too"
    )


def test_wanted_data_are_nearer_than_a_preferred_region() -> None:
    spec = replace(SPEC, data=(s.Need("stock", "wanted", 10), s.Need("logs", "wanted", 1)))
    federation = s.Federation(
        (spec,), (s.DataSet("stock", (("east", 0),)), s.DataSet("logs", (("south", 0),)))
    )
    assert ro.choose_region(spec, federation, NEW, news(), 0.99).region == "east"
    assert (
        ro.choose_region(spec, federation, NEW, told("east", news(), closed=True), 0.99).region
        == "south"
    )


def test_where_all_are_equal_it_stays_where_it_is_asked_for() -> None:
    spec = replace(SPEC, ranked=False)
    for here in REGIONS:
        assert (
            ro.choose_region(
                spec, s.Federation((spec,)), replace(NEW, origin=here), news(), 0.5
            ).region
            == here
        )


def test_failover_goes_to_its_targets_within_its_share_of_their_room() -> None:
    over = replace(SPEC.failover or s.Failover((), 0), to=("east", "south"), room=50)
    spec = replace(SPEC, failover=over)
    federation = s.Federation((spec,))
    lost = ro.RegionRequest(10.0, 1.0, "safe", "north", "failover")
    known = told("north", news(east=0.95), lost=True)
    assert ro.choose_region(spec, federation, lost, known, 0.0).region == "east", (
        "thresholds are for new work"
    )
    held = told("east", known, reserved_cores=100.0)
    assert ro.choose_region(spec, federation, lost, held, 0.0).region == "east", (
        "what is held back is for this"
    )
    took = replace(lost, failover_usage=(("east", 41.0, 1.0),))
    after = told("east", known, free_cores=59.0)
    assert ro.choose_region(spec, federation, took, after, 0.0).region == "south", (
        "41 of 100 and 10 more are above its share"
    )
    none = ro.choose_region(spec, federation, took, told("south", after, closed=True), 0.0)
    assert none.reason == (
        "of north, south, east none will do (south: closed for work; "
        "east: no room within 50% of what it has free)"
    )
    unled = replace(spec, failover=None)
    assert (
        ro.choose_region(unled, s.Federation((unled,)), lost, known, 0.0).reason
        == "spec 'orders' has no failover"
    )


def test_when_a_failover_is_due() -> None:
    assert ro.failover_due(SPEC, "lost", 30_000_000)
    assert not ro.failover_due(SPEC, "lost", 29_999_999)
    assert ro.failover_due(SPEC, "refusing", 50_000_000)
    assert not ro.failover_due(SPEC, "refusing", 49_999_999)
    assert not ro.failover_due(SPEC, "closed", 1 << 40)
    assert not ro.failover_due(replace(SPEC, failover=None), "lost", 1 << 40)


def test_return_to_a_region_that_is_well_for_long_enough_and_has_room() -> None:
    spec = replace(SPEC, back=s.Back("stable", 600_000_000))
    federation = s.Federation((spec,))
    away = ro.RegionRequest(2.0, 4.0, "safe", "east", "back")
    assert ro.choose_region(spec, federation, away, news(), 0.0).region == "north"
    young = told("north", news(), stable_us=599_999_999)
    assert ro.choose_region(spec, federation, away, young, 0.0).region == "south"
    busy = told("south", young, load=0.6)
    assert ro.choose_region(spec, federation, away, busy, 0.0) == ro.RegionChoice(
        "east",
        ("of north, south, east none will do (north: well for 600 s only; south: at 60 of 100)"),
    )
    assert (
        ro.choose_region(spec, federation, replace(away, effect="unsafe"), news(), 0.0).region
        == "east"
    )
    assert ro.choose_region(SPEC, ALONE, away, news(), 0.0) == ro.RegionChoice(
        "east", "it never returns"
    )
    assert (
        ro.choose_region(spec, federation, replace(away, origin="north"), news(), 0.0).region
        == "north"
    )


LOADS = st.sampled_from([0.0, 0.55, 0.7, 0.85, 1.2])
NEWS = st.dictionaries(
    st.sampled_from(REGIONS),
    st.builds(
        ro.RegionStatus,
        st.just(""),
        st.sampled_from([0, ro.MAX_STATUS_AGE_US + 1]),
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
    known: dict[str, ro.RegionStatus],
    here: str,
    why: str,
    draw: float,
    effect: str,
) -> None:
    known = {region: replace(each, region=region) for region, each in known.items()}
    for spec in federation.specs:
        choice = ro.choose_region(
            spec, federation, ro.RegionRequest(2.0, 2.0, effect, here, why), known, draw
        )
        assert choice.region or choice.reason
        if choice.region == here and why == "back":
            continue
        if choice.region:
            assert choice.region in s.allowed_regions(spec, federation)
            assert choice.region == here or known[choice.region].age_us <= ro.MAX_STATUS_AGE_US
            assert choice.region == here or not known[choice.region].lost
            assert not (why == "failover" and choice.region == here)


def test_a_thousand_choices_are_the_same_for_the_same_draws() -> None:
    def play() -> list[str]:
        rng = random.Random(41)
        return [
            ro.choose_region(
                SPEC, ALONE, NEW, news(north=rng.random(), south=rng.random()), rng.random()
            ).region
            for _ in range(1000)
        ]

    first = play()
    assert first == play()
    assert set(first) == set(REGIONS)


@pytest.mark.parametrize("lower", [0, 50])
def test_thresholds_are_the_specs(lower: int) -> None:
    found = share(news(north=0.75, south=0.0, east=0.0), replace(SPEC, lower=lower, upper=100))
    assert (
        found.get("north", 0.0) == pytest.approx((100 - 75) / (100 - lower), abs=0.002)
        or lower == 0
    )
    assert lower or found == {"north": 1.0}, "no load is below nothing"
