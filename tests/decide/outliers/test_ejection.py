"""Verdicts on machines: who is heard, how many are wanted, how much may be closed, how a verdict ends."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.outliers.ejection import (
    ActiveEjections,
    Ejection,
    HealthObserver,
    HealthReport,
    OutlierDetector,
    OutlierSettings,
)

S = 1_000_000
ZONES = {f"m{index}": "east" if index < 10 else "west" for index in range(20)}


def heard(
    bench: OutlierDetector,
    now_us: int,
    *machines: str,
    witnesses: int = 2,
    failed: int = 3,
    region: str = "",
) -> None:
    for number in range(witnesses):
        bench.hear(
            now_us,
            f"p{number}",
            region or f"r{number}",
            [HealthReport(each, failed, 3) for each in machines],
            len(machines),
            10 + len(machines),
        )


def closed(bench: OutlierDetector, now_us: int) -> set[str]:
    bench.judge(now_us, ZONES)
    return {each.machine for each in bench.told(now_us)}


def test_one_witness_is_none_two_of_one_region_neither_where_there_are_more() -> None:
    bench = OutlierDetector()
    heard(bench, S, "m1", witnesses=1)
    assert closed(bench, S) == set()
    assert "1 witness" in bench.spared["m1"]
    heard(bench, S, "m1", region="one")
    bench.hear(S, "p9", "other", (), 0, 5)
    assert closed(bench, S) == set()
    assert "one region" in bench.spared["m1"]
    heard(bench, S, "m1")
    assert closed(bench, S) == {"m1"}


def test_two_of_a_fleet_in_one_region_are_enough() -> None:
    bench = OutlierDetector()
    heard(bench, S, "m1", region="one")
    assert closed(bench, S) == {"m1"}


def test_who_finds_all_machines_bad_is_not_heard() -> None:
    bench = OutlierDetector()
    for liar in ("p0", "p1"):
        bench.hear(S, liar, liar, [HealthReport(each, 3, 3) for each in ZONES], 20, 20)
    assert closed(bench, S) == set()


def test_no_more_than_a_share_of_fleet_and_zone_is_closed_whoever_says_so() -> None:
    bench = OutlierDetector(OutlierSettings(doubt_share=1.0))
    heard(bench, S, *ZONES, witnesses=5)
    found = closed(bench, S)
    assert len(found) == 4
    assert sum(ZONES[each] == "east" for each in found) <= 3
    assert any("of the fleet" in words for words in bench.spared.values())


def test_it_ends_by_itself_and_comes_back_for_longer() -> None:
    bench, lasted = OutlierDetector(), []
    now = S
    for _ in range(3):
        heard(bench, now, "m1")
        assert closed(bench, now) == {"m1"}
        begun = now
        bench.witnesses.clear()  # nobody tries it any more
        while closed(bench, now):
            now += S // 2
        lasted.append((now - begun) // S)
    assert lasted == [10, 20, 40]


def test_one_placer_tries_it_for_all_and_its_word_opens_it() -> None:
    bench = OutlierDetector()
    heard(bench, S, "m1")
    assert closed(bench, S) == {"m1"}
    assert bench.told(S)[0].prober == ""
    now = 5 * S
    heard(bench, now, "m1")
    bench.judge(now, ZONES)
    prober = bench.told(now)[0].prober
    assert prober in ("p0", "p1")
    other = "p1" if prober == "p0" else "p0"
    bench.hear(now, other, "", [HealthReport("m1", 0, 2)], 0, 5)
    assert closed(bench, now) == {"m1"}, "not its word"
    bench.hear(now, prober, "", [HealthReport("m1", 0, 1)], 0, 5)
    assert closed(bench, now) == set()
    assert "found it well" in bench.verdicts["m1"].ended


def test_a_machine_that_left_the_list_is_closed_no_longer_and_old_evidence_is_none() -> None:
    bench = OutlierDetector()
    heard(bench, S, "m1")
    assert closed(bench, S) == {"m1"}
    bench.judge(2 * S, {"m2": "east"})
    assert not bench.told(2 * S)
    bench = OutlierDetector()
    heard(bench, S, "m1")
    assert closed(bench, 12 * S) == set()


def test_a_placer_goes_by_them_until_they_end_also_when_it_hears_no_more() -> None:
    closures = ActiveEjections()
    closures.take(S, "me", [Ejection("m1", 2 * S, S, "other"), Ejection("m2", 5 * S, 0, "me")])
    assert closures.now(S) == {"m1"}
    assert closures.age_us(2 * S, "m1") == 2 * S
    assert closures.now(3 * S) == frozenset()


def test_what_was_seen_before_and_while_it_stood_still_counts_for_nothing() -> None:
    own = HealthObserver()
    for number in range(3):
        own.note(number * S // 10, "m1", False)
    assert own.evidence(S)[0] == (HealthReport("m1", 3, 3),)
    own.note(5 * S, "m1", False)
    assert own.evidence(5 * S) == ((), 0, 0)
    own.note(6 * S, "m2", True)
    assert own.evidence(6 * S) == ((HealthReport("m2", 0, 1),), 0, 1)
    for second in range(7, 17):
        last = own.evidence(second * S)
    assert last == ((), 0, 0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abcdef"),
            st.lists(
                st.tuples(st.sampled_from(sorted(ZONES)), st.integers(0, 5), st.integers(0, 5)),
                max_size=20,
            ),
        ),
        max_size=20,
    )
)
def test_whatever_is_said_the_shares_and_witnesses_hold(
    words: list[tuple[str, list[tuple[str, int, int]]]],
) -> None:
    bench, terms = OutlierDetector(), OutlierSettings()
    for turn, (name, said) in enumerate(words):
        now = S + turn * S // 2
        evidence = [HealthReport(machine, failed, failed + good) for machine, failed, good in said]
        bench.hear(now, name, name, evidence, 0, 20)
        found = closed(bench, now)
        assert len(found) <= terms.fleet_share * len(ZONES)
        for zone in ("east", "west"):
            assert sum(ZONES[each] == zone for each in found) <= terms.zone_share * 10
        assert all(len(set(bench.verdicts[each].by)) >= terms.witnesses for each in found)
