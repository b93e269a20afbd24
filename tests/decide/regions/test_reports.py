"""Region reports: aggregated by the leader, aged by each placer, never used beyond the maximum age."""

from __future__ import annotations

from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.regions.reports import (
    MAX_SUMMARY_AGE_US,
    RegionMember,
    RegionReport,
    RegionSubsystem,
)

S = 1_000_000
LOST_AFTER_US = 4 * S


def region_report(
    region: str = "north", free: float = 40.0, came: int = 0, refused: int = 0
) -> RegionReport:
    return RegionReport(region, 100.0, 200.0, free, 120.0, came=came, refused=refused)


def leader(at_us: int = 0) -> RegionSubsystem:
    regions = RegionSubsystem(LOST_AFTER_US, ("north", "south"))
    regions.on_leadership_change(at_us, True)
    return regions


def report_to(regions: RegionSubsystem, now_us: int, placer: str, report: RegionReport) -> None:
    regions.on_report(now_us, Requester(placer, 1, now_us, 1), report)


def test_the_newest_report_of_a_region_counts_and_load_is_of_the_scarcer_resource() -> None:
    regions = leader()
    report_to(regions, 1 * S, "a", region_report(free=90.0))
    report_to(regions, 2 * S, "b", region_report(free=30.0))
    north = regions.response_for(3 * S, Requester("p", 1, 1, 1))[0]
    assert (north.load, north.cores, north.age_us, north.placers) == (0.7, 30.0, 1 * S, ("a", "b"))
    assert north.stable_us == 2 * S
    assert not north.lost


def test_a_region_is_lost_without_reports_but_not_at_once_by_a_new_leader() -> None:
    regions = leader(10 * S)
    assert not any(each.lost for each in regions.response_for(11 * S, Requester("p", 1, 1, 1)))
    report_to(regions, 11 * S, "a", region_report())
    later = {
        each.region: each for each in regions.response_for(14 * S + 1, Requester("p", 1, 1, 1))
    }
    assert later["south"].lost
    assert not later["north"].lost
    assert all(each.lost for each in regions.response_for(16 * S, Requester("p", 1, 1, 1)))
    report_to(regions, 20 * S, "a", region_report())
    back = regions.response_for(22 * S, Requester("p", 1, 1, 1))[0]
    assert not back.lost and back.stable_us == 2 * S, (
        "the region is stable since its first report after the loss"
    )


def test_a_region_is_rejecting_while_half_of_its_jobs_are_rejected() -> None:
    regions = leader()
    report_to(regions, 1 * S, "a", region_report(came=10, refused=6))
    report_to(regions, 3 * S, "a", region_report(came=10, refused=5))
    assert regions.response_for(4 * S, Requester("p", 1, 1, 1))[0].refusing_us == 3 * S
    report_to(regions, 5 * S, "b", region_report(came=10, refused=0))
    assert regions.response_for(5 * S, Requester("p", 1, 1, 1))[0].refusing_us == 0


def test_a_summary_ages_from_its_request_and_expires() -> None:
    regions = leader()
    report_to(regions, 1 * S, "a", region_report())
    member = RegionMember(lambda now: region_report("south"))
    # The placer's clock differs from the leader's.
    member.on_response(9 * S, 7 * S, regions.response_for(2 * S, Requester("p", 1, 1, 1)))
    assert member.statuses(9 * S)["north"].age_us == 3 * S, (
        "1 s at the leader, 2 s since the request"
    )
    assert "north" in member.statuses(7 * S + MAX_SUMMARY_AGE_US - S)
    assert "north" not in member.statuses(7 * S + MAX_SUMMARY_AGE_US)
    assert member.report(0) == region_report("south")
    member.on_response(10 * S, 10 * S, None)
    assert "north" in member.statuses(10 * S), (
        "a response without summaries keeps the previous ones"
    )


def test_a_lost_region_is_known_as_lost_while_the_summary_is_recent() -> None:
    regions = leader()
    member = RegionMember(lambda now: None)
    member.on_response(100 * S, 100 * S, regions.response_for(100 * S, Requester("p", 1, 1, 1)))
    assert member.statuses(101 * S)["south"].lost
    assert not member.statuses(100 * S + MAX_SUMMARY_AGE_US + 1)
