"""Which placers hold which machines: the pinned order, agreement, movement, sizes."""

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
# Pinned: a program that ranks otherwise would agree with no placer of the version before.
ORDERS = {
    "m-1": ("fir", "ash", "birch", "elm", "cedar"),
    "m-2": ("elm", "cedar", "birch", "fir", "ash"),
    "node-00001": ("birch", "ash", "elm", "cedar", "fir"),
    "größe": ("elm", "cedar", "fir", "birch", "ash"),
    "": ("elm", "fir", "birch", "ash", "cedar"),
}
ORDERS_OF_48 = "663ca0054d45c74273ab11fbf4d80702d2bf16e0ae9178e10f49ceed6af63000"
ALL = frozenset(ROSTER)

names = st.lists(st.text("abcxyz-09", min_size=1, max_size=4), min_size=1, max_size=12, unique=True)


@pytest.fixture(scope="module")
def subsets() -> Subsets:
    return Subsets(SubsetRules(ROSTER, 3))


def digest_of_orders(subsets: Subsets) -> str:
    text = "".join(" ".join(subsets.ranking(machine)) + "\n" for machine in MACHINES[:200])
    return hashlib.sha256(text.encode()).hexdigest()


def held(subsets: Subsets, living: frozenset[str]) -> dict[str, frozenset[str]]:
    return {machine: frozenset(subsets.holders(machine, living)) for machine in MACHINES}


# -- the order


@pytest.mark.parametrize("machine", ORDERS)
def test_the_order_is_pinned(machine: str) -> None:
    assert Subsets(SubsetRules(TREES, 3)).ranking(machine) == ORDERS[machine]


def test_the_order_of_many_is_pinned(subsets: Subsets) -> None:
    assert digest_of_orders(subsets) == ORDERS_OF_48


@pytest.mark.parametrize("hash_seed", ["0", "1", "4711"])
def test_a_fresh_process_ranks_alike_whatever_its_hash_seed(hash_seed: str) -> None:
    text = (
        "from tests.decide.test_subsets import *\n"
        "print(digest_of_orders(Subsets(SubsetRules(ROSTER, 3))))"
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
    assert done.stdout.strip() == ORDERS_OF_48


def test_the_order_in_which_the_roster_is_written_means_nothing(subsets: Subsets) -> None:
    shuffled = list(ROSTER)
    random.Random(5).shuffle(shuffled)
    other = Subsets(SubsetRules(tuple(shuffled), 3))
    living = frozenset(shuffled[:20])
    for machine in MACHINES[:300]:
        assert other.ranking(machine) == subsets.ranking(machine)
        assert other.holders(machine, living) == subsets.holders(machine, living)
        for placer in ROSTER[:6]:
            assert other.max_cold_offers(placer, machine, 20.0) == subsets.max_cold_offers(
                placer, machine, 20.0
            )


def test_nor_does_it_where_scores_are_equal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        module, "SCORE_BYTES", 1
    )  # 48 scores of 256: most machines have two that are equal
    one, other = Subsets(SubsetRules(ROSTER, 3)), Subsets(SubsetRules(ROSTER[::-1], 3))
    assert all(one.ranking(machine) == other.ranking(machine) for machine in MACHINES[:100])


def test_what_was_asked_before_changes_no_answer() -> None:
    asked = Subsets(SubsetRules(ROSTER, 3))
    for machine in reversed(MACHINES[:50]):
        asked.holds(ROSTER[1], machine, frozenset(ROSTER[:2]))
        asked.max_cold_offers(ROSTER[1], machine, 3.0)
    fresh = Subsets(SubsetRules(ROSTER, 3))
    assert [asked.ranking(machine) for machine in MACHINES[:60]] == [
        fresh.ranking(machine) for machine in MACHINES[:60]
    ]


def test_ranks_are_kept_for_so_many_machines_only(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_CACHED_RANKINGS", 10)
    small = Subsets(SubsetRules(TREES, 3))
    first = [small.ranking(machine) for machine in MACHINES[:100]]
    assert len(small._rankings) == 10
    assert [small.ranking(machine) for machine in MACHINES[:100]] == first


def test_names_that_run_together_are_kept_apart() -> None:
    # Were the two names hashed as one text, "a" with "bc" and "ab" with "c" would have one score.
    keys = {module._placer_key(name) for name in ("a", "ab", "abc", "")}
    assert len(keys) == 4
    assert {len(key) for key in keys} == {module.PLACER_KEY_BYTES}


class Counted(frozenset[str]):
    """Counts what it is asked."""

    asked = 0

    def __contains__(self, name: object) -> bool:
        self.asked += 1
        return super().__contains__(name)


def test_whether_one_holds_takes_a_look_at_few_ranks(subsets: Subsets) -> None:
    for machine in MACHINES[:200]:
        living = Counted(ROSTER)
        subsets.holds(ROSTER[0], machine, living)
        assert living.asked <= 1 + 3


# -- who holds


@given(names, st.data())
def test_each_machine_is_at_as_many_as_there_should_be(
    roster: list[str], data: st.DataObject
) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    living = frozenset(data.draw(st.sets(st.sampled_from(roster))))
    subsets = Subsets(SubsetRules(tuple(roster), replicas))
    for machine in ("m", "node-1", "node-2"):
        order, holders = subsets.ranking(machine), subsets.holders(machine, living | {"stranger"})
        assert sorted(order) == sorted(roster)
        assert holders == tuple(name for name in order if name in living)[:replicas]
        assert len(holders) == min(replicas, len(living))
        assert {
            name for name in roster if subsets.holds(name, machine, living | {"stranger"})
        } == set(holders)
        assert not subsets.holds("stranger", machine, living | {"stranger"})


def test_a_leave_moves_the_leavers_entries_and_no_others(subsets: Subsets) -> None:
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
        assert held(subsets, ALL) == before, "and its return puts all back"


def test_a_joiner_in_the_roster_takes_about_its_part_and_nothing_moves_among_others() -> None:
    small, large = Subsets(SubsetRules(ROSTER[:-1], 3)), Subsets(SubsetRules(ROSTER, 3))
    before, after = held(small, ALL), held(large, ALL)
    gained = [machine for machine in MACHINES if before[machine] != after[machine]]
    assert all(after[machine] - before[machine] == {ROSTER[-1]} for machine in gained)
    assert 0.6 / 48 < len(gained) / (3 * len(MACHINES)) < 1.4 / 48
    for machine in MACHINES[:200]:
        assert tuple(
            name for name in large.ranking(machine) if name != ROSTER[-1]
        ) == small.ranking(machine)


def test_a_placer_of_the_first_ranks_holds_whatever_it_believes(subsets: Subsets) -> None:
    rng = random.Random(7)
    for machine in MACHINES[:200]:
        for placer in subsets.ranking(machine)[:3]:
            view = frozenset(rng.sample(ROSTER, rng.randrange(48))) | {placer}
            assert subsets.holds(placer, machine, view)


def test_no_placer_goes_by_many_more_than_the_mean() -> None:
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


def test_two_placers_share_no_more_machines_than_chance_has_it(subsets: Subsets) -> None:
    # For a pair, chance is 3/48 * 2/47 of 2,000 machines: 5.3, with a standard deviation of 2.3.
    both = [
        sum({one, other} <= set(subsets.holders(machine, ALL)) for machine in MACHINES)
        for one, other in zip(ROSTER, ROSTER[1:], strict=False)
    ]
    assert max(both) <= 17
    assert 3.5 <= sum(both) / len(both) <= 7.1


# -- bad rules


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
def test_rules_that_cannot_be_are_refused(more: dict[str, object], key: str) -> None:
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
        "few placers hold all"
    )
    assert expected_max_subset(0, 4, 3) == 0


@given(st.integers(0, 20_000), st.integers(1, 2_000), st.integers(1, 8))
def test_the_fewest_placers_that_do(machines: int, most: int, replicas: int) -> None:
    wanted = placers_needed(machines, most, replicas)
    assert wanted >= replicas
    assert expected_max_subset(machines, wanted, replicas) <= most
    assert wanted == replicas or expected_max_subset(machines, wanted - 1, replicas) > most


@given(st.integers(0, 5_000), st.integers(1, 8))
def test_more_placers_never_have_larger_subsets(machines: int, replicas: int) -> None:
    sizes = [expected_max_subset(machines, placers, replicas) for placers in range(1, 60)]
    assert sizes == sorted(sizes, reverse=True)


@pytest.mark.parametrize(("machines", "placers", "replicas"), [(-1, 1, 1), (1, 0, 1), (1, 1, 0)])
def test_sizes_of_nothing_are_refused(machines: int, placers: int, replicas: int) -> None:
    with pytest.raises(ValueError):
        subset_size(machines, placers, replicas)
    with pytest.raises(ValueError):
        expected_max_subset(machines, placers, replicas)
    with pytest.raises(ValueError):
        placers_needed(machines, placers, replicas)


# -- further ranks


@given(names, st.data())
def test_with_further_ranks_the_first_living_of_so_many_hold_a_machine(
    roster: list[str], data: st.DataObject
) -> None:
    replicas = data.draw(st.integers(1, len(roster)))
    extra = data.draw(st.integers(0, 8))
    living = frozenset(data.draw(st.sets(st.sampled_from(roster))))
    subsets = Subsets(SubsetRules(tuple(roster), replicas))
    for machine in MACHINES[:5]:
        wanted = [name for name in subsets.ranking(machine) if name in living][: replicas + extra]
        assert {name for name in roster if subsets.holds(name, machine, living, extra)} == set(
            wanted
        )
        assert tuple(wanted[:replicas]) == subsets.holders(machine, living)
