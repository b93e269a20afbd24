"""Limits on open tasks, in total and per namespace."""

from __future__ import annotations

from wingbarrow.decide.admission import Admission


def test_limits_in_all_and_by_namespace_and_release_of_capacity() -> None:
    admission = Admission(10, 6)
    assert admission.check("a", 7) is not None
    assert admission.check("a", 6) is None
    admission.add("a", 6)
    exceeded = admission.check("a", 1)
    assert exceeded is not None
    assert exceeded.limit == 6
    assert exceeded.retry_after_s >= 1
    assert admission.check("b", 5) is not None
    assert admission.check("b", 4) is None
    for _ in range(6):
        admission.remove("a")
    assert admission.open_tasks == 0
    assert admission.check("a", 6) is None
    assert not admission._open_by_namespace
