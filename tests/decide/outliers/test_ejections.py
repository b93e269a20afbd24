"""Ejections at a placer end by its own clock."""

from __future__ import annotations

from wingbarrow.decide.outliers.ejections import ActiveEjections, Ejection

S = 1_000_000


def test_ejections_hold_until_they_end_also_without_another_grant() -> None:
    ejections = ActiveEjections()
    ejections.apply(S, "me", [Ejection("m1", 2 * S, S, "other"), Ejection("m2", 5 * S, 0, "me")])
    assert ejections.ejected(S) == {"m1"}
    assert ejections.age_us(2 * S, "m1") == 2 * S
    assert ejections.ejected(3 * S) == frozenset()
