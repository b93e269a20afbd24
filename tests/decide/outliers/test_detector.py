"""Outlier detection at the leader: which reports count, how many it takes, panic thresholds, ends of ejections."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.outliers.detector import OutlierDetector
from wingbarrow.decide.outliers.health import HealthReport, HealthSummary, OutlierSettings

S = 1_000_000
ZONES = {f"m{index}": "east" if index < 10 else "west" for index in range(20)}


@pytest.fixture
def detector() -> OutlierDetector:
    return OutlierDetector()


def report_failures(
    detector: OutlierDetector,
    now_us: int,
    *machines: str,
    reporters: int = 2,
    region: str = "",
) -> None:
    """Each reporter, in its own region unless one is given, reports three failures of three at these machines."""
    reports = tuple(HealthReport(each, failed=3, tried=3) for each in machines)
    summary = HealthSummary(reports, len(machines), 10 + len(machines))
    for number in range(reporters):
        detector.on_report(now_us, f"p{number}", region or f"r{number}", summary)


def ejected(detector: OutlierDetector, now_us: int) -> set[str]:
    detector.evaluate(now_us, ZONES)
    return {each.machine for each in detector.active(now_us)}


def test_one_reporter_is_not_enough(detector: OutlierDetector) -> None:
    report_failures(detector, S, "m1", reporters=1)
    assert ejected(detector, S) == set()
    assert "1 witness" in detector.not_ejected["m1"]


def test_reporters_of_one_region_are_not_enough_where_others_report(
    detector: OutlierDetector,
) -> None:
    report_failures(detector, S, "m1", region="one")
    detector.on_report(S, "p9", "other", HealthSummary((), 0, 5))
    assert ejected(detector, S) == set()
    assert "one region" in detector.not_ejected["m1"]
    report_failures(detector, S, "m1")
    assert ejected(detector, S) == {"m1"}


def test_two_reporters_of_a_fleet_in_one_region_are_enough(detector: OutlierDetector) -> None:
    report_failures(detector, S, "m1", region="one")
    assert ejected(detector, S) == {"m1"}


def test_reporters_that_find_all_machines_faulty_do_not_count(detector: OutlierDetector) -> None:
    for name in ("p0", "p1"):
        reports = tuple(HealthReport(each, 3, 3) for each in ZONES)
        detector.on_report(S, name, name, HealthSummary(reports, 20, 20))
    assert ejected(detector, S) == set()


def test_panic_thresholds_of_fleet_and_zone_hold_against_all_reporters() -> None:
    detector = OutlierDetector(OutlierSettings(faulty_reporter_ratio=1.0))
    report_failures(detector, S, *ZONES, reporters=5)
    found = ejected(detector, S)
    assert len(found) == 4
    assert sum(ZONES[each] == "east" for each in found) <= 3
    assert any("of the fleet" in reason for reason in detector.not_ejected.values())


def test_an_ejection_ends_by_itself_and_the_next_one_lasts_twice_as_long(
    detector: OutlierDetector,
) -> None:
    durations_s = []
    now = S
    for _ in range(3):
        report_failures(detector, now, "m1")
        assert ejected(detector, now) == {"m1"}
        start = now
        detector.reporters.clear()  # no reporter is left to probe it
        while ejected(detector, now):
            now += S // 2
        durations_s.append((now - start) // S)
    assert durations_s == [10, 20, 40]


def test_one_placer_probes_the_machine_and_its_report_alone_ends_the_ejection(
    detector: OutlierDetector,
) -> None:
    report_failures(detector, S, "m1")
    assert ejected(detector, S) == {"m1"}
    assert detector.active(S)[0].prober == ""
    now = 5 * S
    report_failures(detector, now, "m1")
    detector.evaluate(now, ZONES)
    prober = detector.active(now)[0].prober
    assert prober in ("p0", "p1")
    other = "p1" if prober == "p0" else "p0"
    detector.on_report(now, other, "", HealthSummary((HealthReport("m1", 0, 2),), 0, 5))
    assert ejected(detector, now) == {"m1"}, "it is not the prober"
    detector.on_report(now, prober, "", HealthSummary((HealthReport("m1", 0, 1),), 0, 5))
    assert ejected(detector, now) == set()
    assert "found it well" in detector.ejections["m1"].end_reason


def test_an_ejection_ends_when_the_machine_leaves_the_list(detector: OutlierDetector) -> None:
    report_failures(detector, S, "m1")
    assert ejected(detector, S) == {"m1"}
    detector.evaluate(2 * S, {"m2": "east"})
    assert not detector.active(2 * S)


def test_reports_older_than_the_window_do_not_count(detector: OutlierDetector) -> None:
    report_failures(detector, S, "m1")
    assert ejected(detector, 12 * S) == set()


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
def test_thresholds_and_required_reporters_hold_for_any_reports(
    rounds: list[tuple[str, list[tuple[str, int, int]]]],
) -> None:
    detector, settings = OutlierDetector(), OutlierSettings()
    for number, (name, outcomes) in enumerate(rounds):
        now = S + number * S // 2
        reports = tuple(
            HealthReport(machine, failed, failed + succeeded)
            for machine, failed, succeeded in outcomes
        )
        detector.on_report(now, name, name, HealthSummary(reports, 0, 20))
        found = ejected(detector, now)
        assert len(found) <= settings.max_fleet_ratio * len(ZONES)
        for zone in ("east", "west"):
            assert sum(ZONES[each] == zone for each in found) <= settings.max_zone_ratio * 10
        for machine in found:
            assert len(set(detector.ejections[machine].reporters)) >= settings.min_reporters
