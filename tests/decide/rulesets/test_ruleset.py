"""Rule sets: their partial order and intersection, the differences between two, and the faults of invalid ones."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.rulesets.agreed_drains import SECOND_US, AskedDrain, DrainPlan, WindowRules
from wingbarrow.decide.rulesets.comparison import allows, contradict, intersection
from wingbarrow.decide.rulesets.diff import differences
from wingbarrow.decide.rulesets.parsing import check_rule_set, parse_rule_set
from wingbarrow.decide.rulesets.ruleset import (
    EFFECTS,
    ClassRules,
    RuleSet,
    RuleSetError,
    equal_shares,
    normalized,
)

CLASSES = st.dictionaries(
    st.sampled_from(["web", "settlement", "batch"]),
    st.tuples(
        st.sampled_from(EFFECTS), st.sampled_from(["none", "machine", "cell"]), st.integers(1, 4)
    ),
    min_size=1,
).map(lambda found: tuple(ClassRules(name, *each) for name, each in found.items()))
WINDOWS = st.lists(
    st.builds(
        WindowRules,
        st.sampled_from(["nightly", "patch"]),
        st.just("2026-12-06T02:00:00"),
        st.just("Europe/Helsinki"),
        st.sampled_from([60 * SECOND_US, 90 * SECOND_US]),
        st.just(30 * SECOND_US),
        st.sampled_from(["", "FREQ=DAILY"]),
        st.just(("2026-12-08",)),
        st.just(()),
        st.just((("", "", "hall-a", ""),)),
        st.just(0),
        st.just("wait"),
    ),
    max_size=2,
    unique_by=lambda each: each.name,
).map(tuple)
PLANS = st.builds(
    DrainPlan,
    st.sets(st.sampled_from([("cell", "max", 1.0), ("zone", "min-share", 0.5)]), min_size=1).map(
        lambda found: tuple(sorted(found))
    ),
    st.sets(st.just(("feast", 1, 2))).map(tuple),
    st.sampled_from([0.5, 0.9]),
    st.just(60 * SECOND_US),
    st.integers(1, 2),
    st.just(SECOND_US),
    st.just(0.5),
    st.booleans(),
)
SETS = st.builds(
    RuleSet,
    CLASSES,
    st.integers(1, 4),
    st.integers(0, 3),
    st.integers(1, 3),
    st.dictionaries(st.sampled_from("abcd"), st.integers(0, 8)).map(
        lambda found: tuple(found.items())
    ),
    st.integers(0, 3),
    st.sets(st.sampled_from(["n1", "n2"])).map(tuple),
    WINDOWS,
    st.sets(
        st.builds(
            AskedDrain,
            st.sampled_from(["n1", "n2"]),
            st.just(1_800_000_000 * SECOND_US),
            st.sampled_from([1, 2]),
        )
    ).map(tuple),
    st.sets(st.sampled_from(["nightly@1800000000/n1", "nightly@1800000000/n2"])).map(tuple),
    PLANS,
).map(normalized)
ONE = normalized(
    RuleSet((ClassRules("web", "safe", "cell", 3),), 4, 18, 2, (("a", 10), ("b", 10)), 250, ())
)


@given(SETS, SETS, SETS)
def test_allows_is_a_partial_order(a: RuleSet, b: RuleSet, c: RuleSet) -> None:
    assert allows(a, a)
    if allows(a, b) and allows(b, c):
        assert allows(a, c)
    if a == b:
        assert a.digest == b.digest
        assert not contradict(a, b)
        assert not differences(a, b)
    else:
        assert a.digest != b.digest
        assert differences(a, b)


@given(SETS, SETS)
def test_intersection_allows_only_what_both_allow(a: RuleSet, b: RuleSet) -> None:
    common = intersection(a, b)
    assert allows(common, a)
    assert allows(common, b)
    assert intersection(b, a) == common
    if allows(a, b):
        assert allows(common, a), "the intersection must not allow more"
        assert allows(a, common), "if `b` allows all of `a`, the intersection must too"


@given(SETS, SETS, SETS)
def test_intersection_loses_only_classes_with_different_spread_domains(
    a: RuleSet, b: RuleSet, c: RuleSet
) -> None:
    if allows(c, a) and allows(c, b):
        lost = {each.name for each in c.classes} - {
            each.name for each in intersection(a, b).classes
        }
        kinds = [{each.name: each.spread_by for each in side.classes} for side in (a, b)]
        assert all(kinds[0][name] != kinds[1][name] for name in lost)
        if not lost:
            assert allows(c, intersection(a, b))


@given(SETS)
def test_text_round_trip(a: RuleSet) -> None:
    assert parse_rule_set(a.text()) == a
    assert not check_rule_set(a)


def test_cold_shares_spreads_and_barred_machines_compare() -> None:
    three = replace(ONE, cold_shares=equal_shares(20, ("a", "b", "c")))
    four = replace(ONE, cold_shares=equal_shares(20, ("a", "b", "c", "d")))
    assert contradict(three, four), "one share grows while others shrink"
    assert dict(intersection(three, four).cold_shares) == {"a": 5, "b": 5, "c": 5}
    tight = replace(ONE, classes=(ClassRules("web", "safe", "cell", 2),))
    assert allows(tight, ONE)
    assert not allows(ONE, tight)
    assert not contradict(tight, ONE)
    assert intersection(tight, ONE) == tight
    barred = replace(ONE, barred=("n1",))
    assert allows(barred, ONE)
    assert differences(ONE, barred) == ["barred: n1"]


@given(st.integers(0, 100), st.sets(st.sampled_from("abcdefgh"), min_size=1))
def test_equal_shares_sum_to_the_budget(offers: int, names: set[str]) -> None:
    shares = dict(equal_shares(offers, tuple(names)))
    assert sum(shares.values()) == offers
    assert max(shares.values(), default=0) - min(shares.values(), default=0) <= 1


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [{"name": "x"}]}, "no rule set"),
        ({"attempts_most": 0}, "attempts"),
        ({"attempts_most": True}, "attempts"),
        ({"cold_window_us": 0}, "window"),
        ({"cold_shares": [["a", -1]]}, "share"),
        ({"cold_shares": [["a", 1], ["a", 2]]}, "two shares"),
        ({"barred": [""]}, "without a name"),
        ({"more": 1}, "fields"),
        ({"drain_grace_us": "soon"}, "grace"),
        ({"cold_shares": 5}, "no rule set"),
        ({"barred": [3]}, "without a name"),
    ],
)
def test_faults_are_named(change: dict[str, object], words: str) -> None:
    with pytest.raises(RuleSetError, match=words):
        parse_rule_set(json.dumps({**json.loads(ONE.text()), **change}))


@given(st.text(max_size=200))
def test_random_text_raises_rule_set_error(text: str) -> None:
    with pytest.raises(RuleSetError):
        parse_rule_set(text)


def test_oversized_text_is_rejected() -> None:
    with pytest.raises(RuleSetError, match="the most"):
        parse_rule_set(" " * (10 << 20))
