"""Region reports: summarised by the leader, aged by each placer, never used past their age."""

from __future__ import annotations

from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.regions.reports import (
    MAX_SUMMARY_AGE_US,
    RegionMember,
    RegionReport,
    RegionSubsystem,
)

S = 1_000_000
LOST = 4 * S


def said(
    region: str = "north", free: float = 40.0, came: int = 0, refused: int = 0
) -> RegionReport:
    return RegionReport(region, 100.0, 200.0, free, 120.0, came=came, refused=refused)


def leader(at_us: int = 0) -> RegionSubsystem:
    regions = RegionSubsystem(LOST, ("north", "south"))
    regions.on_leadership_change(at_us, True)
    return regions


def hear(regions: RegionSubsystem, now_us: int, who: str, what: RegionReport) -> None:
    regions.on_report(now_us, Requester(who, 1, now_us, 1), what)


def test_the_newest_report_of_a_region_counts_and_load_is_of_the_scarcer_resource() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said(free=90.0))
    hear(regions, 2 * S, "b", said(free=30.0))
    north = regions.response_for(3 * S, Requester("p", 1, 1, 1))[0]
    assert (north.load, north.cores, north.age_us, north.placers) == (0.7, 30.0, 1 * S, ("a", "b"))
    assert north.stable_us == 2 * S
    assert not north.lost


def test_a_region_is_lost_without_reports_but_not_at_once_by_a_new_leader() -> None:
    regions = leader(10 * S)
    assert not any(each.lost for each in regions.response_for(11 * S, Requester("p", 1, 1, 1)))
    hear(regions, 11 * S, "a", said())
    later = {
        each.region: each for each in regions.response_for(14 * S + 1, Requester("p", 1, 1, 1))
    }
    assert later["south"].lost
    assert not later["north"].lost
    assert all(each.lost for each in regions.response_for(16 * S, Requester("p", 1, 1, 1)))
    hear(regions, 20 * S, "a", said())
    back = regions.response_for(22 * S, Requester("p", 1, 1, 1))[0]
    assert not back.lost and back.stable_us == 2 * S, "stable since it came back"


def test_a_region_is_rejecting_while_half_of_its_jobs_are_rejected() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said(came=10, refused=6))
    hear(regions, 3 * S, "a", said(came=10, refused=5))
    assert regions.response_for(4 * S, Requester("p", 1, 1, 1))[0].refusing_us == 3 * S
    hear(regions, 5 * S, "b", said(came=10, refused=0))
    assert regions.response_for(5 * S, Requester("p", 1, 1, 1))[0].refusing_us == 0


def test_a_summary_ages_from_its_request_and_expires() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said())
    side = RegionMember(lambda now: said("south"))
    side.on_response(
        9 * S, 7 * S, regions.response_for(2 * S, Requester("p", 1, 1, 1))
    )  # by a clock of its own
    assert side.news(9 * S)["north"].age_us == 3 * S, "1 s there, 2 s since it asked"
    assert "north" in side.news(7 * S + MAX_SUMMARY_AGE_US - S)
    assert "north" not in side.news(7 * S + MAX_SUMMARY_AGE_US)
    assert side.report(0) == said("south")
    side.on_response(10 * S, 10 * S, None)
    assert "north" in side.news(10 * S), "a leader that tells nothing takes nothing back"


def test_a_lost_region_is_known_as_lost_while_the_summary_is_recent() -> None:
    regions = leader()
    side = RegionMember(lambda now: None)
    side.on_response(100 * S, 100 * S, regions.response_for(100 * S, Requester("p", 1, 1, 1)))
    assert side.news(101 * S)["south"].lost
    assert not side.news(100 * S + MAX_SUMMARY_AGE_US + 1)
