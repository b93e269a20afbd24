"""News of regions: summed up by the leader, aged by whoever holds it, never taken for more than it is."""

from __future__ import annotations

from wingbarrow.decide.quotas.escrow import Asker
from wingbarrow.decide.regions.reports import OLD_US, Regions, RegionsSaid, RegionsSide

S = 1_000_000
LOST = 4 * S


def said(region: str = "north", free: float = 40.0, came: int = 0, refused: int = 0) -> RegionsSaid:
    return RegionsSaid(region, 100.0, 200.0, free, 120.0, came=came, refused=refused)


def leader(at_us: int = 0) -> Regions:
    regions = Regions(LOST, ("north", "south"))
    regions.elected(at_us, True)
    return regions


def hear(regions: Regions, now_us: int, who: str, what: RegionsSaid) -> None:
    regions.hear(now_us, Asker(who, 1, now_us, 1), what)


def test_the_newest_word_of_a_region_counts_and_load_is_of_what_is_scarcest() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said(free=90.0))
    hear(regions, 2 * S, "b", said(free=30.0))
    north = regions.told(3 * S, Asker("p", 1, 1, 1))[0]
    assert (north.load, north.cores, north.age_us, north.placers) == (0.7, 30.0, 1 * S, ("a", "b"))
    assert north.stable_us == 2 * S
    assert not north.lost


def test_a_region_is_lost_once_nobody_of_it_was_heard_for_long_and_not_by_a_new_leader_at_once() -> (
    None
):
    regions = leader(10 * S)
    assert not any(each.lost for each in regions.told(11 * S, Asker("p", 1, 1, 1)))
    hear(regions, 11 * S, "a", said())
    later = {each.region: each for each in regions.told(14 * S + 1, Asker("p", 1, 1, 1))}
    assert later["south"].lost
    assert not later["north"].lost
    assert all(each.lost for each in regions.told(16 * S, Asker("p", 1, 1, 1)))
    hear(regions, 20 * S, "a", said())
    back = regions.told(22 * S, Asker("p", 1, 1, 1))[0]
    assert not back.lost and back.stable_us == 2 * S, "stable since it came back"


def test_refusing_lasts_as_long_as_half_of_what_comes_is_turned_away() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said(came=10, refused=6))
    hear(regions, 3 * S, "a", said(came=10, refused=5))
    assert regions.told(4 * S, Asker("p", 1, 1, 1))[0].refusing_us == 3 * S
    hear(regions, 5 * S, "b", said(came=10, refused=0))
    assert regions.told(5 * S, Asker("p", 1, 1, 1))[0].refusing_us == 0


def test_who_holds_news_ages_it_from_its_ask_and_forgets_it() -> None:
    regions = leader()
    hear(regions, 1 * S, "a", said())
    side = RegionsSide(lambda now: said("south"))
    side.take(9 * S, 7 * S, regions.told(2 * S, Asker("p", 1, 1, 1)))  # by a clock of its own
    assert side.news(9 * S)["north"].age_us == 3 * S, "1 s there, 2 s since it asked"
    assert "north" in side.news(7 * S + OLD_US - S)
    assert "north" not in side.news(7 * S + OLD_US)
    assert side.say(0) == said("south")
    side.take(10 * S, 10 * S, None)
    assert "north" in side.news(10 * S), "a leader that tells nothing takes nothing back"


def test_a_lost_region_is_told_as_lost_while_the_word_is_young() -> None:
    regions = leader()
    side = RegionsSide(lambda now: None)
    side.take(100 * S, 100 * S, regions.told(100 * S, Asker("p", 1, 1, 1)))
    assert side.news(101 * S)["south"].lost
    assert not side.news(100 * S + OLD_US + 1)
