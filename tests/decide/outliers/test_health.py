"""Outcomes of one placer by machine: expiry from the window, and clearing after a stall."""

from __future__ import annotations

from wingbarrow.decide.outliers.health import HealthObserver, HealthReport, HealthSummary

S = 1_000_000


def test_outcomes_before_and_during_a_stall_and_older_than_the_window_do_not_count() -> None:
    observer = HealthObserver()
    for number in range(3):
        observer.record(number * S // 10, "m1", succeeded=False)
    assert observer.report(S).reports == (HealthReport("m1", 3, 3),)
    observer.record(5 * S, "m1", succeeded=False)
    assert observer.report(5 * S) == HealthSummary((), 0, 0)
    observer.record(6 * S, "m2", succeeded=True)
    assert observer.report(6 * S) == HealthSummary((HealthReport("m2", 0, 1),), 0, 1)
    for second in range(7, 17):
        last = observer.report(second * S)
    assert last == HealthSummary((), 0, 0)
