"""Subset widening: its bounds and pace, steps up at long waits, and steps down after a calm period."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.subset_widening import (
    CALM_PERIOD_US,
    MIN_STEP_INTERVAL_US,
    SubsetWidening,
    is_long_wait,
)

S = 1_000_000
updates = st.lists(
    st.tuples(st.integers(0, 40 * S), st.booleans(), st.integers(-2, 10)), max_size=120
)


@given(st.integers(0, 8), updates)
def test_the_number_of_ranks_stays_within_bounds_and_changes_by_one(
    max_extra: int, times: list[tuple[int, bool, int]]
) -> None:
    widening, now_us = SubsetWidening(max_extra), 0
    stepped_us = long_wait_us = stepped_down_us = -CALM_PERIOD_US
    for elapsed_us, waits, max_useful in times:
        now_us += elapsed_us
        before = widening.extra
        after = widening.update(now_us, waits, max_useful)
        assert after == widening.extra
        assert 0 <= after <= max_extra
        if after != before:
            assert abs(after - before) == 1
            assert now_us - stepped_us >= MIN_STEP_INTERVAL_US
            stepped_us = now_us
        if after > before:
            assert waits
            assert after <= max_useful
        elif after < before:
            assert not waits
            assert now_us - max(long_wait_us, stepped_down_us) >= CALM_PERIOD_US
            stepped_down_us = now_us
        long_wait_us = now_us if waits else long_wait_us


@given(st.integers(1, 8), st.integers(1, 250_000))
def test_continued_long_waits_widen_to_the_limit_and_calm_reverts_it(
    max_extra: int, every_us: int
) -> None:
    widening, now_us, widened_us = SubsetWidening(max_extra), 0, []
    while widening.extra < max_extra and now_us < 20 * S:
        before = widening.extra
        if widening.update(now_us, True, max_extra) > before:
            widened_us.append(now_us)
        now_us += every_us if now_us % S >= S - 2 * every_us or not widened_us else S // 4
    assert len(widened_us) == max_extra
    assert all(S <= b - a < 2 * S for a, b in zip(widened_us, widened_us[1:], strict=False))
    last_us, downs = now_us, 0
    for turn in range(1, 4 * 31 * max_extra):
        before = widening.extra
        downs += widening.update(last_us + turn * S // 4, False, max_extra) < before
    assert downs == max_extra
    assert widening.extra == 0


def test_a_long_wait_restarts_the_calm_period() -> None:
    widening = SubsetWidening(2)
    assert [widening.update(at * S, True, 2) for at in (0, 1)] == [1, 2]
    assert widening.update(30 * S, True, 2) == 2
    assert widening.update(59 * S, False, 2) == 2
    assert widening.update(60 * S, False, 2) == 1
    assert widening.update(89 * S, False, 2) == 1, "each step down needs a calm period of its own"
    assert widening.update(90 * S, False, 2) == 0
    assert widening.update(90 * S + MIN_STEP_INTERVAL_US - 1, True, 2) == 0, (
        "the minimum interval also applies after a step down"
    )
    assert widening.update(91 * S, True, 2) == 1


@pytest.mark.parametrize(
    ("waited_us", "patience_us", "long"),
    [
        (1_249_999, 5 * S, False),
        (1_250_000, 5 * S, True),
        (199_999, 100_000, False),
        (200_000, 100_000, True),
        (200_000, 800_000, True),
        (200_000, 800_004, False),
        (0, 0, False),
        (-1, 5 * S, False),
    ],
)
def test_a_wait_is_long_from_a_quarter_of_the_patience_on_and_never_below_a_fifth_of_a_second(
    waited_us: int, patience_us: int, long: bool
) -> None:
    assert is_long_wait(waited_us, patience_us) is long


def test_settings_out_of_range_raise() -> None:
    for max_extra, step_us, calm_us in ((-1, 1, 1), (1, 0, 1), (1, 2, 1)):
        with pytest.raises(ValueError, match="widen|step"):
            SubsetWidening(max_extra, step_us, calm_us)
