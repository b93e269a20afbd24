"""A cold machine's offers add up, whatever placers believe of each other; and what spread is with subsets."""

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
SPAN_US = 5 * S  # within which a cold machine's offers are counted
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
    """By rank."""
    return [subsets.max_cold_offers(placer, machine, offers) for placer in subsets.ranking(machine)]


# -- the deal


@given(rosters, st.data())
def test_shares_add_up_to_no_more_than_the_offers(roster: list[str], data: st.DataObject) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    subsets = Subsets(SubsetRules(tuple(roster), replicas, data.draw(st.floats(0, 1))))
    offers, machine = data.draw(offers_any), data.draw(st.text(max_size=5))
    dealt = shares(subsets, machine, offers)
    assert sum(dealt) == floor(offers), "and nothing of them is lost"
    assert min(dealt) >= 0
    assert dealt == sorted(dealt, reverse=True), (
        "the first ranks get at least as much as later ones"
    )
    more = shares(subsets, machine, min(offers + 1, 1e308))
    assert all(after >= before for before, after in zip(dealt, more, strict=True)), (
        "more offers take from nobody"
    )


@pytest.mark.parametrize(
    ("offers", "spare_part", "dealt"),
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
def test_what_each_rank_gets(offers: float, spare_part: float, dealt: list[int]) -> None:
    assert shares(Subsets(SubsetRules(ROSTER, 3, spare_part)), "node-1", offers) == dealt


def test_all_is_dealt_where_all_are_holders() -> None:
    assert shares(Subsets(SubsetRules(("a", "b", "c"), 3)), "m", 8.0) == [3, 3, 2]
    assert shares(Subsets(SubsetRules(("a",), 1)), "m", 8.0) == [8]


def test_a_placer_outside_the_roster_has_no_share() -> None:
    assert Subsets(SubsetRules(ROSTER, 3)).max_cold_offers("stranger", "node-1", OFFERS) == 0


@pytest.mark.parametrize("offers", [-0.5, -1.0, math.nan, math.inf, -math.inf])
def test_offers_that_cannot_be_are_refused(offers: float) -> None:
    with pytest.raises(ValueError, match="offers"):
        Subsets(SubsetRules(ROSTER, 3)).max_cold_offers(ROSTER[0], "node-1", offers)


# -- placers whose views differ

Views = dict[str, frozenset[str]]
Deal = Callable[[str, str, frozenset[str]], int]  # placer, machine, its view -> its share


def by_roster(subsets: Subsets) -> Deal:
    """What the gate asks."""
    return lambda placer, machine, view: subsets.max_cold_offers(placer, machine, OFFERS)


def by_living(subsets: Subsets) -> Deal:
    """A wrong deal: by the rank among those that the placer believes to live."""

    def share(placer: str, machine: str, view: frozenset[str]) -> int:
        alive = Subsets(SubsetRules(tuple(view), min(3, len(view))))
        return alive.max_cold_offers(placer, machine, OFFERS)

    return share


def by_equal_parts(subsets: Subsets) -> Deal:
    """A wrong deal: in equal parts among the holders that the placer believes in."""
    return lambda placer, machine, view: int(OFFERS) // max(1, len(subsets.holders(machine, view)))


class Senders:
    """Placers that send all that they may to each cold machine that they hold, or held once."""

    def __init__(self, subsets: Subsets, deal: Deal) -> None:
        self.subsets, self.deal = subsets, deal
        self.sent_us: dict[tuple[str, str], list[int]] = {
            (name, machine): [] for name in ROSTER for machine in COLD
        }
        self.held = set[tuple[str, str]]()
        self.asleep = frozenset[str]()

    def step(self, now_us: int, views: Views, keep: Callable[[], bool]) -> None:
        """Each placer that is awake sends; `keep`: whether an old holder goes on for another step."""
        for placer, machine in self.sent_us:
            if placer in self.asleep:
                continue
            if self.subsets.holds(placer, machine, views[placer]):
                self.held.add((placer, machine))
            elif not keep():
                self.held.discard((placer, machine))
            if (placer, machine) in self.held:
                sent = self.sent_us[placer, machine]
                lately = sum(now_us - at_us < SPAN_US for at_us in sent)
                sent += [now_us] * max(0, self.deal(placer, machine, views[placer]) - lately)

    def most(self, now_us: int) -> int:
        """The most that any cold machine was sent within the span that ends now."""
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


def worst_of_random_views(make_deal: Callable[[Subsets], Deal], seed: int) -> tuple[int, int]:
    """The most in any span, and all that was sent, while views are whatever they like."""
    rng = random.Random(seed)
    subsets = Subsets(SubsetRules(ROSTER, 3))
    senders = Senders(subsets, make_deal(subsets))
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
def test_no_views_bring_a_cold_machine_more_than_its_offers(seed: int) -> None:
    worst, total = worst_of_random_views(by_roster, seed)
    assert 0.75 * OFFERS <= worst <= OFFERS, worst
    assert total > 200


@pytest.mark.parametrize("wrong", [by_living, by_equal_parts])
def test_a_deal_by_who_lives_would_break_it(wrong: Callable[[Subsets], Deal]) -> None:
    assert all(worst_of_random_views(wrong, seed)[0] > OFFERS for seed in range(6))


def test_all_that_believe_themselves_alone_keep_to_it() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    alone: Views = {name: frozenset({name}) for name in ROSTER}
    for deal, kept in ((by_roster, True), (by_living, False)):
        senders = Senders(subsets, deal(subsets))
        senders.step(0, alone, lambda: False)
        assert senders.held == set(senders.sent_us), "each of them holds all"
        assert senders.most(0) == OFFERS if kept else senders.most(0) == len(ROSTER) * OFFERS


def test_with_all_there_the_holders_use_all_but_the_spare() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    senders = Senders(subsets, by_roster(subsets))
    senders.step(0, {name: frozenset(ROSTER) for name in ROSTER}, lambda: False)
    assert senders.most(0) == 15


def test_one_that_stood_still_wakes_with_its_old_view_and_keeps_to_it() -> None:
    subsets = Subsets(SubsetRules(ROSTER, 3))
    sleeper = subsets.ranking(COLD[0])[0]
    views = {name: DampedMembership(name, ROSTER, 2 * S, S) for name in ROSTER}
    senders = Senders(subsets, by_roster(subsets))
    believed: Views = {}
    successors = set[str]()
    for now_us in range(0, 40 * S, TICK_US):
        asleep = (
            5 * S <= now_us < 15 * S
        )  # told of as dead a second later, and as there a second after it woke
        senders.asleep = frozenset({sleeper}) if asleep else frozenset()
        told = frozenset(ROSTER) - ({sleeper} if 6 * S <= now_us < 16 * S else frozenset())
        for name, view in views.items():
            if name not in senders.asleep:
                view.on_members(now_us, told | {name})
                believed[name] = view.live_members(now_us)
        senders.step(now_us, believed, lambda: False)
        successors |= {name for name, machine in senders.held if machine == COLD[0]}
        assert senders.most(now_us) <= OFFERS
    assert successors == set(subsets.ranking(COLD[0])[:4]), (
        "the next rank stood in while it was away"
    )
    assert believed[sleeper] == frozenset(ROSTER)


# -- rule 5


def test_spread_is_kept_by_each_placer_over_what_it_placed_itself() -> None:
    # Two placers with other halves of a rack: each keeps to the bound, and together they come to two times it, as two
    # that see the whole rack do. Subsets change nothing here.
    def placed(machines: range) -> int:
        driver = Driver(settings(task_class("web", spread=api.Place.CELL, spread_most=2)))
        driver.listing(*(listed(machine, cell=1) for machine in machines))
        return sum(len(binds(driver.arrive(request))) for request in range(8))

    assert placed(range(0, 4)) == placed(range(4, 8)) == placed(range(0, 8)) == 2
