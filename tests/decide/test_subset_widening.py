"""When a placer holds further ranks: bounds of number and pace, steps up at long waits, steps down after calm."""

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
looks = st.lists(
    st.tuples(st.integers(0, 40 * S), st.booleans(), st.integers(-2, 10)), max_size=120
)


@given(st.integers(0, 8), looks)
def test_whatever_waits_the_number_stays_within_its_bounds_and_goes_by_one_step_in_a_span(
    most: int, times: list[tuple[int, bool, int]]
) -> None:
    widening, now_us = SubsetWidening(most), 0
    stepped_us = long_us = fell_us = -CALM_PERIOD_US
    for later_us, waits, useful in times:
        now_us += later_us
        before = widening.extra
        after = widening.update(now_us, waits, useful)
        assert after == widening.extra
        assert 0 <= after <= most
        if after != before:
            assert abs(after - before) == 1
            assert now_us - stepped_us >= MIN_STEP_INTERVAL_US
            stepped_us = now_us
        if after > before:
            assert waits
            assert after <= useful
        elif after < before:
            assert not waits
            assert now_us - max(long_us, fell_us) >= CALM_PERIOD_US
            fell_us = now_us
        long_us = now_us if waits else long_us


@given(st.integers(1, 8), st.integers(1, 250_000))
def test_long_waits_that_go_on_widen_to_the_most_by_a_step_a_second_and_calm_takes_all_back(
    most: int, every_us: int
) -> None:
    widening, now_us, up_us = SubsetWidening(most), 0, []
    while widening.extra < most and now_us < 20 * S:
        before = widening.extra
        if widening.update(now_us, True, most) > before:
            up_us.append(now_us)
        now_us += every_us if now_us % S >= S - 2 * every_us or not up_us else S // 4
    assert len(up_us) == most
    assert all(S <= b - a < 2 * S for a, b in zip(up_us, up_us[1:], strict=False))
    last_us, downs = now_us, 0
    for look in range(1, 4 * 31 * most):
        before = widening.extra
        downs += widening.update(last_us + look * S // 4, False, most) < before
    assert downs == most
    assert widening.extra == 0


def test_one_long_wait_within_the_calm_begins_it_anew() -> None:
    widening = SubsetWidening(2)
    assert [widening.update(at * S, True, 2) for at in (0, 1)] == [1, 2]
    assert widening.update(30 * S, True, 2) == 2
    assert widening.update(59 * S, False, 2) == 2
    assert widening.update(60 * S, False, 2) == 1
    assert widening.update(89 * S, False, 2) == 1, "each step down takes a calm of its own"
    assert widening.update(90 * S, False, 2) == 0
    assert widening.update(90 * S + MIN_STEP_INTERVAL_US - 1, True, 2) == 0, (
        "no step so soon after one down"
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
    for most, step_us, calm_us in ((-1, 1, 1), (1, 0, 1), (1, 2, 1)):
        with pytest.raises(ValueError, match="widen|step"):
            SubsetWidening(most, step_us, calm_us)
