"""Subsets: pinned rankings, agreement between placers, movement of machines, sizes."""

from __future__ import annotations

import hashlib
import os
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide import subsets as module
from wingbarrow.decide.subsets import (
    MAX_ROSTER,
    SubsetRules,
    Subsets,
    expected_max_subset,
    placers_needed,
    subset_size,
)

ROOT = Path(__file__).parents[2]
ROSTER = tuple(f"placer-{index:02}" for index in range(48))
MACHINES = tuple(f"node-{index:05}" for index in range(2000))
TREES = ("ash", "birch", "cedar", "elm", "fir")
# Pinned: a placer with another ranking would disagree with all placers of the previous version.
RANKINGS = {
    "m-1": ("fir", "ash", "birch", "elm", "cedar"),
    "m-2": ("elm", "cedar", "birch", "fir", "ash"),
    "node-00001": ("birch", "ash", "elm", "cedar", "fir"),
    "größe": ("elm", "cedar", "fir", "birch", "ash"),
    "": ("elm", "fir", "birch", "ash", "cedar"),
}
DIGEST_OF_48 = "663ca0054d45c74273ab11fbf4d80702d2bf16e0ae9178e10f49ceed6af63000"
ALL = frozenset(ROSTER)

names = st.lists(st.text("abcxyz-09", min_size=1, max_size=4), min_size=1, max_size=12, unique=True)


@pytest.fixture(scope="module")
def subsets() -> Subsets:
    return Subsets(SubsetRules(ROSTER, 3))


def digest_of_rankings(subsets: Subsets) -> str:
    text = "".join(" ".join(subsets.ranking(machine)) + "\n" for machine in MACHINES[:200])
    return hashlib.sha256(text.encode()).hexdigest()


def held(subsets: Subsets, live: frozenset[str]) -> dict[str, frozenset[str]]:
    return {machine: frozenset(subsets.holders(machine, live)) for machine in MACHINES}


# -- rankings


@pytest.mark.parametrize("machine", RANKINGS)
def test_the_ranking_is_pinned(machine: str) -> None:
    assert Subsets(SubsetRules(TREES, 3)).ranking(machine) == RANKINGS[machine]


def test_the_rankings_of_many_machines_are_pinned(subsets: Subsets) -> None:
    assert digest_of_rankings(subsets) == DIGEST_OF_48


@pytest.mark.parametrize("hash_seed", ["0", "1", "4711"])
def test_the_ranking_does_not_depend_on_the_hash_seed(hash_seed: str) -> None:
    text = (
        "from tests.decide.test_subsets import *\n"
        "print(digest_of_rankings(Subsets(SubsetRules(ROSTER, 3))))"
    )
    env = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, "-c", text],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        env=env,
    )
    assert done.stdout.strip() == DIGEST_OF_48


def test_the_order_of_the_roster_does_not_matter(subsets: Subsets) -> None:
    shuffled = list(ROSTER)
    random.Random(5).shuffle(shuffled)
    other = Subsets(SubsetRules(tuple(shuffled), 3))
    live = frozenset(shuffled[:20])
    for machine in MACHINES[:300]:
        assert other.ranking(machine) == subsets.ranking(machine)
        assert other.holders(machine, live) == subsets.holders(machine, live)
        for placer in ROSTER[:6]:
            assert other.max_cold_offers(placer, machine, 20.0) == subsets.max_cold_offers(
                placer, machine, 20.0
            )


def test_the_order_of_the_roster_does_not_matter_where_scores_are_equal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With 48 scores out of 256 values, most machines have two that are equal.
    monkeypatch.setattr(module, "SCORE_BYTES", 1)
    one, other = Subsets(SubsetRules(ROSTER, 3)), Subsets(SubsetRules(ROSTER[::-1], 3))
    assert all(one.ranking(machine) == other.ranking(machine) for machine in MACHINES[:100])


def test_earlier_queries_change_no_answer() -> None:
    used = Subsets(SubsetRules(ROSTER, 3))
    for machine in reversed(MACHINES[:50]):
        used.holds(ROSTER[1], machine, frozenset(ROSTER[:2]))
        used.max_cold_offers(ROSTER[1], machine, 3.0)
    fresh = Subsets(SubsetRules(ROSTER, 3))
    assert [used.ranking(machine) for machine in MACHINES[:60]] == [
        fresh.ranking(machine) for machine in MACHINES[:60]
    ]


def test_the_ranking_cache_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_CACHED_RANKINGS", 10)
    small = Subsets(SubsetRules(TREES, 3))
    first = [small.ranking(machine) for machine in MACHINES[:100]]
    assert len(small._rankings) == 10
    assert [small.ranking(machine) for machine in MACHINES[:100]] == first


def test_placer_keys_are_distinct_and_of_one_length() -> None:
    # If the two names were hashed as one text, "a" with "bc" and "ab" with "c" would have the same score.
    keys = {module._placer_key(name) for name in ("a", "ab", "abc", "")}
    assert len(keys) == 4
    assert {len(key) for key in keys} == {module.PLACER_KEY_BYTES}


class CountingSet(frozenset[str]):
    """Counts membership tests."""

    queries = 0

    def __contains__(self, name: object) -> bool:
        self.queries += 1
        return super().__contains__(name)


def test_holds_visits_few_ranks(subsets: Subsets) -> None:
    for machine in MACHINES[:200]:
        live = CountingSet(ROSTER)
        subsets.holds(ROSTER[0], machine, live)
        assert live.queries <= 1 + 3


# -- holders


@given(names, st.data())
def test_the_holders_are_the_first_live_ranks(roster: list[str], data: st.DataObject) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    live = frozenset(data.draw(st.sets(st.sampled_from(roster))))
    subsets = Subsets(SubsetRules(tuple(roster), replicas))
    for machine in ("m", "node-1", "node-2"):
        order, holders = subsets.ranking(machine), subsets.holders(machine, live | {"stranger"})
        assert sorted(order) == sorted(roster)
        assert holders == tuple(name for name in order if name in live)[:replicas]
        assert len(holders) == min(replicas, len(live))
        assert {
            name for name in roster if subsets.holds(name, machine, live | {"stranger"})
        } == set(holders)
        assert not subsets.holds("stranger", machine, live | {"stranger"})


def test_a_leave_moves_only_the_leavers_machines(subsets: Subsets) -> None:
    before = held(subsets, ALL)
    for leaver in ROSTER[:5]:
        after = held(subsets, ALL - {leaver})
        moved = [machine for machine in MACHINES if before[machine] != after[machine]]
        assert all(leaver in before[machine] for machine in moved)
        assert all(before[machine] - after[machine] == {leaver} for machine in moved)
        assert all(
            leaver not in after[machine] and len(after[machine]) == 3 for machine in MACHINES
        )
        part = len(moved) / (3 * len(MACHINES))
        assert 0.6 / 48 < part < 1.4 / 48, part
        assert held(subsets, ALL) == before, "the placer's return restores all holders"


def test_a_join_takes_about_its_share_and_moves_nothing_among_others() -> None:
    small, large = Subsets(SubsetRules(ROSTER[:-1], 3)), Subsets(SubsetRules(ROSTER, 3))
    before, after = held(small, ALL), held(large, ALL)
    gained = [machine for machine in MACHINES if before[machine] != after[machine]]
    assert all(after[machine] - before[machine] == {ROSTER[-1]} for machine in gained)
    assert 0.6 / 48 < len(gained) / (3 * len(MACHINES)) < 1.4 / 48
    for machine in MACHINES[:200]:
        assert tuple(
            name for name in large.ranking(machine) if name != ROSTER[-1]
        ) == small.ranking(machine)


def test_a_placer_of_the_first_ranks_holds_in_any_view(subsets: Subsets) -> None:
    rng = random.Random(7)
    for machine in MACHINES[:200]:
        for placer in subsets.ranking(machine)[:3]:
            view = frozenset(rng.sample(ROSTER, rng.randrange(48))) | {placer}
            assert subsets.holds(placer, machine, view)


def test_subset_sizes_stay_within_the_bound_around_the_mean() -> None:
    for roster, replicas in ((ROSTER, 3), (ROSTER[:16], 4), (ROSTER[:5], 3)):
        subsets = Subsets(SubsetRules(roster, replicas))
        sizes = [
            sum(subsets.holds(placer, machine, ALL) for machine in MACHINES) for placer in roster
        ]
        mean = subset_size(len(MACHINES), len(roster), replicas)
        most = expected_max_subset(len(MACHINES), len(roster), replicas)
        assert sum(sizes) == replicas * len(MACHINES)
        assert max(sizes) <= most
        assert min(sizes) >= 2 * mean - most


def test_two_placers_share_about_as_many_machines_as_chance_predicts(subsets: Subsets) -> None:
    # Expected for a pair: 3/48 * 2/47 of 2,000 machines, 5.3, with a standard deviation of 2.3.
    both = [
        sum({one, other} <= set(subsets.holders(machine, ALL)) for machine in MACHINES)
        for one, other in zip(ROSTER, ROSTER[1:], strict=False)
    ]
    assert max(both) <= 17
    assert 3.5 <= sum(both) / len(both) <= 7.1


# -- invalid rules


@pytest.mark.parametrize(
    ("more", "key"),
    [
        ({"roster": ()}, "roster"),
        ({"roster": ("a", "")}, "roster"),
        ({"roster": ("a", "b", "a")}, "roster"),
        ({"roster": tuple(map(str, range(MAX_ROSTER + 1)))}, "roster"),
        ({"replicas": 0}, "replicas"),
        ({"replicas": 6}, "replicas"),
        ({"spare_part": -0.01}, "spare"),
        ({"spare_part": 1.01}, "spare"),
        ({"spare_part": float("nan")}, "spare"),
    ],
)
def test_invalid_rules_raise(more: dict[str, object], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        replace(SubsetRules(TREES, 3), **more)  # type: ignore[arg-type]


def test_the_largest_roster_works() -> None:
    roster = tuple(map(str, range(MAX_ROSTER)))
    subsets = Subsets(SubsetRules(roster, 3))
    assert sorted(subsets.ranking("m")) == sorted(roster)


# -- sizes


def test_sizes_of_the_stated_fleets() -> None:
    assert subset_size(13_000, 48, 3) == 812.5
    assert expected_max_subset(13_000, 48, 3) == 951  # 812.5 + 5 * sqrt(812.5 * 45 / 48)
    assert subset_size(10, 2, 3) == 10 and expected_max_subset(10, 2, 3) == 10, (
        "with fewer placers than replicas, each holds all"
    )
    assert expected_max_subset(0, 4, 3) == 0


@given(st.integers(0, 20_000), st.integers(1, 2_000), st.integers(1, 8))
def test_placers_needed_is_the_minimum(machines: int, most: int, replicas: int) -> None:
    wanted = placers_needed(machines, most, replicas)
    assert wanted >= replicas
    assert expected_max_subset(machines, wanted, replicas) <= most
    assert wanted == replicas or expected_max_subset(machines, wanted - 1, replicas) > most


@given(st.integers(0, 5_000), st.integers(1, 8))
def test_more_placers_never_have_larger_subsets(machines: int, replicas: int) -> None:
    sizes = [expected_max_subset(machines, placers, replicas) for placers in range(1, 60)]
    assert sizes == sorted(sizes, reverse=True)


@pytest.mark.parametrize(("machines", "placers", "replicas"), [(-1, 1, 1), (1, 0, 1), (1, 1, 0)])
def test_invalid_sizes_raise(machines: int, placers: int, replicas: int) -> None:
    with pytest.raises(ValueError):
        subset_size(machines, placers, replicas)
    with pytest.raises(ValueError):
        expected_max_subset(machines, placers, replicas)
    with pytest.raises(ValueError):
        placers_needed(machines, placers, replicas)


# -- extra ranks


@given(names, st.data())
def test_extra_ranks_add_the_next_live_placers(roster: list[str], data: st.DataObject) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    extra = data.draw(st.integers(0, 8))
    live = frozenset(data.draw(st.sets(st.sampled_from(roster))))
    subsets = Subsets(SubsetRules(tuple(roster), replicas))
    for machine in MACHINES[:5]:
        wanted = [name for name in subsets.ranking(machine) if name in live][: replicas + extra]
        assert {name for name in roster if subsets.holds(name, machine, live, extra)} == set(wanted)
        assert tuple(wanted[:replicas]) == subsets.holders(machine, live)
