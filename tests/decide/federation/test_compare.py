"""Comparison of federations by what may run or move: `within` is a partial order, with an intersection."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decide.federation.strategies import FEDERATIONS, allowed_acts
from wingbarrow.decide.federation import compare, encoding
from wingbarrow.decide.federation import spec as s
from wingbarrow.decide.rulesets.comparison import allows, allows_floor, intersection
from wingbarrow.decide.rulesets.parsing import (
    check_rule_set,
    join_federation,
    parse_rule_set,
    split_federation,
)
from wingbarrow.decide.rulesets.ruleset import (
    EFFECTS,
    ClassRules,
    RuleSet,
    RuleSetError,
    normalized,
)

_NORTH, _SOUTH = s.Spec("orders", ("north",)), s.Spec("orders", ("south",))


@given(FEDERATIONS, FEDERATIONS)
def test_the_intersection_allows_no_run_and_no_move_that_either_forbids(
    a: s.Federation, b: s.Federation
) -> None:
    common = compare.intersection(a, b)
    assert allowed_acts(common) <= allowed_acts(a) & allowed_acts(b)
    assert compare.within(common, a)
    assert compare.within(common, b)
    assert compare.intersection(b, a) == common
    assert compare.intersection(common, a) == common or compare.within(
        compare.intersection(common, a), common
    )


@given(FEDERATIONS, FEDERATIONS, FEDERATIONS)
def test_within_is_an_order_and_the_intersection_is_the_greatest_lower_bound(
    a: s.Federation, b: s.Federation, c: s.Federation
) -> None:
    assert compare.within(a, a)
    common = compare.intersection(a, b)
    if compare.within(a, b):
        assert allowed_acts(a) <= allowed_acts(b)
        assert compare.within(a, common), "the intersection with a wider federation loses nothing"
        if compare.within(b, c):
            assert compare.within(a, c)
        if compare.within(b, a):
            assert allowed_acts(a) == allowed_acts(b)
    if compare.within(c, a) and compare.within(c, b):
        assert compare.within(c, common)


@given(FEDERATIONS, FEDERATIONS)
@settings(max_examples=50)
def test_the_encoding_round_trips_and_is_complete(a: s.Federation, b: s.Federation) -> None:
    text = encoding.encode(a)
    assert encoding.decode(text) == a
    assert encoding.encode(encoding.decode(text)) == text
    assert (text == encoding.encode(b)) == (a == b) == (not compare.differences(a, b))
    assert not set(text) & set('"\\')
    assert text.isascii()


def _rules(federation: s.Federation, effect: str = "safe") -> RuleSet:
    return normalized(
        RuleSet(
            (ClassRules("web", "safe", "none", 0), ClassRules("pay", effect, "none", 0)),
            4,
            18,
            2,
            (),
            250,
            (),
            federation=federation,
        )
    )


@given(FEDERATIONS, FEDERATIONS, st.sampled_from(EFFECTS), st.sampled_from(EFFECTS))
def test_the_intersection_of_two_valid_rule_sets_is_valid(
    a: s.Federation, b: s.Federation, one: str, other: str
) -> None:
    both = [_rules(_with_long_delays(a), one), _rules(_with_long_delays(b), other)]
    if not any(check_rule_set(each) for each in both):
        assert not check_rule_set(intersection(*both))


def _with_long_delays(federation: s.Federation) -> s.Federation:
    """Lengthen the delays of failovers so that leases have expired by then."""
    return replace(
        federation,
        specs=tuple(
            replace(
                each,
                failover=each.failover
                and replace(each.failover, after_us=each.failover.after_us * 1_000_000),
            )
            for each in federation.specs
        ),
    )


def test_a_proposal_with_failover_on_refusing_for_an_unsafe_class_is_rejected() -> None:
    over = s.Failover(("refusing",), 30_000_000, refusing_us=20_000_000)
    federation = s.Federation(
        (s.Spec("orders", ("north", "south"), failover=over),), (), (("pay", "orders"),)
    )
    assert parse_rule_set(_rules(federation, "keyed").text())
    with pytest.raises(
        RuleSetError, match='pay: federation orders fails over on "refusing", a suspicion'
    ):
        parse_rule_set(_rules(federation, "unsafe").text())


@given(FEDERATIONS, FEDERATIONS)
@settings(max_examples=50)
def test_rule_sets_include_their_federation(a: s.Federation, b: s.Federation) -> None:
    one, other = _rules(a), _rules(b)
    assert parse_rule_set(one.text()) == one
    assert parse_rule_set(intersection(one, other).text()).federation == compare.intersection(a, b)
    assert allows(one, other) == compare.within(a, b)
    assert allows_floor(one, other), "no floor has a federation"
    rest, federation = split_federation(one)
    assert join_federation(rest, federation) == one.text()


def test_an_intersection_without_regions_rejects_jobs_and_cannot_be_named() -> None:
    a, b = (s.Federation((each,), (), (("web", "orders"),)) for each in (_NORTH, _SOUTH))
    common = compare.intersection(a, b)
    found = common.spec_for("web")
    assert found is not None
    assert found.regions == ()
    assert common.spec_for("pay") is None
    other = replace(b, specs=(replace(_SOUTH, name="mail"),), uses=(("web", "mail"),))
    step = compare.intersection(a, other)
    between = step.spec_for("web")
    assert between is not None
    assert between.name == s.INTERSECTION_PREFIX + "web"
    assert between.regions == ()
    named = step.spec_for("pay", s.INTERSECTION_PREFIX + "web")
    assert named is not None and named.regions == (), (
        "a Job that names an intersection spec is rejected"
    )
    unnamed = common.spec_for("web", "nobody")
    assert unnamed is not None
    assert unnamed.regions == ()


def _ignoring_second(part: str) -> Callable[[s.Spec, s.Spec, str], s.Spec]:
    """Return a faulty intersection that takes one part from the first spec alone."""
    right = compare.spec_intersection
    return lambda a, b, name: replace(right(a, b, name), **{part: getattr(a, part)})


@pytest.mark.parametrize("part", ["regions", "data", "failover", "back", "on_cut"])
def test_an_intersection_that_ignores_a_part_is_detected(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = _sample()
    monkeypatch.setattr(compare, "spec_intersection", _ignoring_second(part))
    assert any(
        not allowed_acts(compare.intersection(a, b)) <= allowed_acts(a) & allowed_acts(b)
        for a, b in zip(found, found[1:], strict=False)
    )


def test_an_intersection_that_ignores_residency_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    right = compare.dataset_intersection
    monkeypatch.setattr(
        compare, "dataset_intersection", lambda a, b: replace(right(a, b) or a, stays=())
    )
    found = _sample()
    assert any(
        not allowed_acts(compare.intersection(a, b)) <= allowed_acts(a) & allowed_acts(b)
        for a, b in zip(found, found[1:], strict=False)
    )


def _sample() -> list[s.Federation]:
    """Return 400 random federations of one spec and two data sets (seed 41)."""
    rng = random.Random(41)
    over = s.Failover(("lost", "refusing"), 10, refusing_us=1)
    out = []
    for _ in range(400):
        regions = tuple(rng.sample(("north", "south", "east"), rng.randint(1, 3)))
        needs = tuple(
            s.Need(name, rng.choice(s.LOCALITIES)) for name in ("d1", "d2") if rng.random() < 0.3
        )
        spec = s.Spec(
            "orders",
            regions,
            (),
            needs,
            rng.choice([None, over, replace(over, on=("lost",), after_us=11)]),
            s.Back(rng.choice(s.RETURN_MODES)),
            rng.choice(s.PARTITION_ACTIONS),
        )
        sets = tuple(
            s.DataSet(
                name,
                tuple((region, 0) for region in ("north", "south", "east")),
                tuple(rng.sample(("east", "north"), rng.randint(0, 2))),
            )
            for name in ("d1", "d2")
        )
        out.append(encoding.normalized(s.Federation((spec,), sets, (("web", "orders"),))))
    return out


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("S orders 0 - - - n/0/1 c 60 90 r;", "no federation"),
        ("X;", "kind X"),
        ("R north", "cut off"),
        ("R north;S a 0 - - - n/0/1 c 90 60 r;", "spec a"),
        ("R north;S a 0 - - - z/0/1 c 60 90 r;", "none of never"),
        ("R north;D a 0=2x -;", "no time"),
        ('R no"rth;D a 0=0 -;', "is wanted"),
        ("D a 0=0 -;", "no federation"),
        ("R north;D a 0=0 -;D a 0=0 -;", "twice"),
        ("U web a;U web b;", "two specs"),
        ("R north;S a 0,0 - - - n/0/1 c 60 90 r;", "spec a"),
        ("D a;", "no federation"),
        ("R north;S a 0 - - l/1s/-/0/0/1/0/0 n/0/1 c 60 90 r;", "spec a"),
        ("x" * (encoding.MAX_FEDERATION_CHARS + 1), "the most"),
    ],
)
def test_invalid_texts_are_rejected_with_a_reason(text: str, words: str) -> None:
    with pytest.raises(encoding.FederationError, match=words):
        encoding.decode(text)
