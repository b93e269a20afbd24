"""Fits of known data: flat, linear, power law, with noise from a fixed seed; and what is refused."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from benchmarks.capacity.fit import TooFew, at, fit, slopes, superlinear, words
from benchmarks.capacity.results import Point

SIZES = (5, 16, 64, 170, 256)


def points(
    curve: Callable[[int], float],
    noise: float = 0.0,
    sizes: tuple[int, ...] = SIZES,
    measure: str = "bytes sent",
) -> list[Point]:
    rng = random.Random(20261202)
    return [
        Point(
            "leader",
            "placers",
            size,
            measure,
            "B/s",
            curve(size) * (1 + rng.uniform(-noise, noise)),
        )
        for size in sizes
    ]


def test_flat_data_is_flat() -> None:
    slope = fit(points(lambda size: 2.4, 0.05))
    assert (slope.model, slope.slope, slope.sizes) == ("flat", 0.0, SIZES)
    assert at(slope, 1000) == pytest.approx(2.4, rel=0.05)
    assert slope.residual < 0.05


def test_all_zeros_are_flat() -> None:
    slope = fit(points(lambda size: 0.0))
    assert (slope.model, slope.intercept, slope.residual) == ("flat", 0.0, 0.0)


@pytest.mark.parametrize("noise", [0.0, 0.03])
def test_linear_data_is_linear(noise: float) -> None:
    slope = fit(points(lambda size: 20 + 2.2 * size, noise))
    assert slope.model == "linear"
    assert slope.exponent == 1.0
    assert slope.slope == pytest.approx(2.2, rel=0.05)
    assert slope.intercept == pytest.approx(20, rel=0.1)
    assert at(slope, 512) == pytest.approx(20 + 2.2 * 512, rel=0.05)


@pytest.mark.parametrize("noise", [0.0, 0.03])
def test_quadratic_data_is_told_as_superlinear(noise: float) -> None:
    slope = fit(points(lambda size: 0.5 * size**2, noise))
    assert slope.model == "power"
    assert superlinear(slope)
    assert slope.exponent == pytest.approx(2.0, abs=0.05)
    assert at(slope, 512) == pytest.approx(0.5 * 512**2, rel=0.1)
    assert "FASTER THAN THE SIZE" in words(slope)


def test_a_quadratic_with_an_intercept_is_found() -> None:
    slope = fit(points(lambda size: 100 + 0.5 * size**2))
    assert slope.model == "power"
    assert slope.exponent == pytest.approx(2.0, abs=0.1)
    assert at(slope, 256) == pytest.approx(100 + 0.5 * 256**2, rel=0.05)


def test_what_falls_with_the_size_is_a_power_below_zero() -> None:
    slope = fit(points(lambda size: 1000 / size))
    assert slope.model == "power"
    assert slope.exponent == pytest.approx(-1.0, abs=0.05)
    assert not superlinear(slope)


def test_three_points_never_make_a_power_law() -> None:
    slope = fit(points(lambda size: float(size**2), sizes=(5, 16, 64)))
    assert slope.model == "linear"
    assert slope.residual > 0.1


def test_a_zero_among_values_does_not_break_the_fit() -> None:
    slope = fit(points(lambda size: float(size - 5)))
    assert slope.model == "linear"
    assert slope.slope == pytest.approx(1.0, rel=0.01)


def test_fewer_than_three_sizes_are_refused() -> None:
    with pytest.raises(TooFew):
        fit(points(lambda size: 1.0, sizes=(5, 16)))
    with pytest.raises(TooFew):
        fit(points(lambda size: 1.0, sizes=(5, 5, 16)))


def test_points_of_two_measures_are_refused() -> None:
    with pytest.raises(ValueError, match="several"):
        fit([*points(lambda size: 1.0), *points(lambda size: 1.0, measure="other")])


def test_slopes_leave_out_what_has_too_few_sizes() -> None:
    found = slopes(
        [*points(lambda size: 1.0), *points(lambda size: 1.0, sizes=(5, 16), measure="other")]
    )
    assert [each.measure for each in found] == ["bytes sent"]


def test_slopes_leave_out_what_begins_at_a_bound() -> None:
    assert slopes(points(lambda size: max(0.0, size - 100.0))) == []
    assert [each.model for each in slopes(points(lambda size: 0.0))] == ["flat"]
