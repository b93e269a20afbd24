"""Shares of a cold machine's offers stay within them in any views of membership; spread with subsets."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from math import floor

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.conftest import Driver, binds, listed, settings, task_class
from wingbarrow import interface as api
from wingbarrow.decide.membership_damping import DampedMembership
from wingbarrow.decide.subsets import SubsetRules, Subsets

S = 1_000_000
SPAN_US = 5 * S  # in which the offers of a cold machine are counted
TICK_US = 500_000
ROSTER = tuple(f"placer-{index:02}" for index in range(12))
COLD = ("node-1", "node-2", "node-3")
OFFERS = 20.0

rosters = st.lists(
    st.text("abcxyz-09", min_size=1, max_size=4), min_size=1, max_size=20, unique=True
)
offers_any = st.one_of(
    st.just(0.0),
    st.floats(0, 3),
    st.floats(0, 100),
    st.integers(0, 50).map(float),
    st.floats(0, 1e308),
    st.just(math.nextafter(8.0, 0)),
)


def shares(subsets: Subsets, machine: str, offers: float) -> list[int]:
    """All shares, by rank."""
    return [subsets.max_cold_offers(placer, machine, offers) for placer in subsets.ranking(machine)]


# -- shares


@given(rosters, st.data())
def test_shares_add_up_to_no_more_than_the_offers(roster: list[str], data: st.DataObject) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    subsets = Subsets(SubsetRules(tuple(roster), replicas, data.draw(st.floats(0, 1))))
    offers, machine = data.draw(offers_any), data.draw(st.text(max_size=5))
    by_rank = shares(subsets, machine, offers)
    assert sum(by_rank) == floor(offers), "the shares use all offers"
    assert min(by_rank) >= 0
    assert by_rank == sorted(by_rank, reverse=True), (
        "earlier ranks get at least as much as later ones"
    )
    more = shares(subsets, machine, min(offers + 1, 1e308))
    assert all(after >= before for before, after in zip(by_rank, more, strict=True)), (
        "more offers reduce no share"
    )


@pytest.mark.parametrize(
    ("offers", "spare_part", "by_rank"),
    [
        (20.0, 0.25, [5, 5, 5, 1, 1, 1, 1, 1, 0, 0, 0, 0]),
        (20.9, 0.25, [5, 5, 5, 1, 1, 1, 1, 1, 0, 0, 0, 0]),
        (9.0, 0.25, [3, 2, 2, 1, 1, 0, 0, 0, 0, 0, 0, 0]),
        (8.0, 0.25, [2, 2, 2, 1, 1, 0, 0, 0, 0, 0, 0, 0]),
        (3.0, 0.25, [1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
        (2.0, 0.25, [1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
        (0.9, 0.25, [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
        (20.0, 0.0, [7, 7, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
        (20.0, 1.0, [2, 2, 2, 2, 2, 2, 2, 2, 1, 1, 1, 1]),
    ],
)
def test_shares_by_rank(offers: float, spare_part: float, by_rank: list[int]) -> None:
    assert shares(Subsets(SubsetRules(ROSTER, 3, spare_part)), "node-1", offers) == by_rank


def test_all_offers_are_shared_out_where_all_placers_are_holders() -> None:
    assert shares(Subsets(SubsetRules(("a", "b", "c"), 3)), "m", 8.0) == [3, 3, 2]
    assert shares(Subsets(SubsetRules(("a",), 1)), "m", 8.0) == [8]


def test_a_placer_outside_the_roster_has_no_share() -> None:
    assert Subsets(SubsetRules(ROSTER, 3)).max_cold_offers("stranger", "node-1", OFFERS) == 0


@pytest.mark.parametrize("offers", [-0.5, -1.0, math.nan, math.inf, -math.inf])
def test_invalid_offers_raise(offers: float) -> None:
    with pytest.raises(ValueError, match="offers"):
        Subsets(SubsetRules(ROSTER, 3)).max_cold_offers(ROSTER[0], "node-1", offers)


# -- placers with different views of membership

Views = dict[str, frozenset[str]]
ShareOf = Callable[[str, str, frozenset[str]], int]  # placer, machine, its view -> its share


def by_roster(subsets: Subsets) -> ShareOf:
    """The share as the gate uses it."""
    return lambda placer, machine, view: subsets.max_cold_offers(placer, machine, OFFERS)


def by_live(subsets: Subsets) -> ShareOf:
    """A wrong share: by the rank among the placers that are live in its view."""

    def share(placer: str, machine: str, view: frozenset[str]) -> int:
        alive = Subsets(SubsetRules(tuple(view), min(3, len(view))))
        return alive.max_cold_offers(placer, machine, OFFERS)

    return share


def by_equal_parts(subsets: Subsets) -> ShareOf:
    """A wrong share: equal parts among the holders in its view."""
    return lambda placer, machine, view: int(OFFERS) // max(1, len(subsets.holders(machine, view)))


class Senders:
    """Placers that send as many offers as allowed to each cold machine that they hold or held."""

    def __init__(self, subsets: Subsets, share_of: ShareOf) -> None:
        self.subsets, self.share_of = subsets, share_of
        self.sent_us: dict[tuple[str, str], list[int]] = {
            (name, machine): [] for name in ROSTER for machine in COLD
        }
        self.held = set[tuple[str, str]]()
        self.stalled = frozenset[str]()

    def step(self, now_us: int, views: Views, keep: Callable[[], bool]) -> None:
        """Each placer that is not stalled sends; `keep`: whether a former holder continues for another step."""
        for placer, machine in self.sent_us:
            if placer in self.stalled:
                continue
            if self.subsets.holds(placer, machine, views[placer]):
                self.held.add((placer, machine))
            elif not keep():
                self.held.discard((placer, machine))
            if (placer, machine) in self.held:
                sent = self.sent_us[placer, machine]
                lately = sum(now_us - at_us < SPAN_US for at_us in sent)
                sent += [now_us] * max(0, self.share_of(placer, machine, views[placer]) - lately)

    def most(self, now_us: int) -> int:
        """The largest number of offers sent to one cold machine within the span that ends now."""
        return max(
            sum(
                now_us - at_us < SPAN_US
                for (_, to), sent in self.sent_us.items()
                if to == machine
                for at_us in sent
            )
            for machine in COLD
        )

    def total(self) -> int:
        return sum(map(len, self.sent_us.values()))


def worst_of_random_views(
    make_share_of: Callable[[Subsets], ShareOf], seed: int
) -> tuple[int, int]:
    """The largest number of offers in any span, and their total, with random views."""
    rng = random.Random(seed)
    subsets = Subsets(SubsetRules(ROSTER, 3))
    senders = Senders(subsets, make_share_of(subsets))
    views: Views = {name: frozenset(ROSTER) for name in ROSTER}
    worst = 0
    for now_us in range(0, 40 * S, TICK_US):
        for name in ROSTER:
            if rng.random() < 0.2:
                views[name] = frozenset(rng.sample(ROSTER, rng.randrange(len(ROSTER)))) | {name}
        senders.step(now_us, views, lambda: rng.random() < 0.8)
        worst = max(worst, senders.most(now_us))
    return worst, senders.total()


@pytest.mark.parametrize("seed", range(6))
def test_no_views_exceed_the_offers_of_a_cold_machine(seed: int) -> None:
    worst, total = worst_of_random_views(by_roster, seed)
    assert 0.75 * OFFERS <= worst <= OFFERS, worst
    assert total > 200


@pytest.mark.parametrize("wrong", [by_live, by_equal_parts])
def test_shares_by_live_placers_would_exceed_the_offers(
    wrong: Callable[[Subsets], ShareOf],
) -> None:
    assert all(worst_of_random_views(wrong, seed)[0] > OFFERS for seed in range(6))


def test_placers_that_consider_themselves_alone_stay_within_the_offers() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    alone: Views = {name: frozenset({name}) for name in ROSTER}
    for share_of, kept in ((by_roster, True), (by_live, False)):
        senders = Senders(subsets, share_of(subsets))
        senders.step(0, alone, lambda: False)
        assert senders.held == set(senders.sent_us), "each placer holds every machine"
        assert senders.most(0) == OFFERS if kept else senders.most(0) == len(ROSTER) * OFFERS


def test_with_all_placers_live_the_holders_use_all_but_the_spare_part() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    senders = Senders(subsets, by_roster(subsets))
    senders.step(0, {name: frozenset(ROSTER) for name in ROSTER}, lambda: False)
    assert senders.most(0) == 15


def test_a_placer_that_resumes_with_an_old_view_stays_within_the_offers() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    stalled_placer = subsets.ranking(COLD[0])[0]
    views = {name: DampedMembership(name, ROSTER, 2 * S, S) for name in ROSTER}
    senders = Senders(subsets, by_roster(subsets))
    views_by_placer: Views = {}
    successors = set[str]()
    for now_us in range(0, 40 * S, TICK_US):
        # Reported as dead one second after the stall began, and as live one second after it ended.
        stalled = 5 * S <= now_us < 15 * S
        senders.stalled = frozenset({stalled_placer}) if stalled else frozenset()
        reported = frozenset(ROSTER) - (
            {stalled_placer} if 6 * S <= now_us < 16 * S else frozenset()
        )
        for name, view in views.items():
            if name not in senders.stalled:
                view.on_members(now_us, reported | {name})
                views_by_placer[name] = view.live_members(now_us)
        senders.step(now_us, views_by_placer, lambda: False)
        successors |= {name for name, machine in senders.held if machine == COLD[0]}
        assert senders.most(now_us) <= OFFERS
    assert successors == set(subsets.ranking(COLD[0])[:4]), (
        "the next rank took over during the stall"
    )
    assert views_by_placer[stalled_placer] == frozenset(ROSTER)


# -- rule 5


def test_spread_is_kept_by_each_placer_over_its_own_tasks() -> None:
    # Two placers that hold different halves of a cell: each stays within the bound, and together they place twice as
    # many, like two placers that hold the whole cell. Subsets do not change that.
    def placed(machines: range) -> int:
        driver = Driver(settings(task_class("web", spread=api.Place.CELL, spread_most=2)))
        driver.listing(*(listed(machine, cell=1) for machine in machines))
        return sum(len(binds(driver.arrive(request))) for request in range(8))

    assert placed(range(0, 4)) == placed(range(4, 8)) == placed(range(0, 8)) == 2
