"""Slopes through measured points: flat, linear or a power law, by numpy's least squares.

Errors are relative, (measured - fitted) / measured: sizes span orders of magnitude, and the largest would otherwise
decide alone. The simplest model that holds is taken: flat where the values differ by no more than `FLAT_SPREAD`; a
power law only where the straight line is clearly worse (`LINEAR_MOST`, `BETTER`); else the line.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import numpy as np
from numpy.typing import NDArray

from benchmarks.capacity.results import Point, Slope

SIZES_LEAST = 3  # of any slope
POWER_SIZES_LEAST = 4  # a power law has three figures of its own and goes through any three points
FLAT_SPREAD = 0.15  # (largest - least) / median of the values
LINEAR_MOST = (
    0.05  # residual up to which a straight line is good enough, whatever a power law would do
)
BETTER = 2.0  # how many times smaller a power law's residual must be
INTERCEPT_SHARES = (
    0.0,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.6,
    0.7,
    0.8,
    0.9,
    0.95,
    0.99,
)  # of the least value, each tried
SUPERLINEAR = 1.1  # an exponent from which growth is told as faster than the size

Floats = NDArray[np.float64]


class TooFew(ValueError):
    """Fewer sizes than a slope needs."""


def fit(points: Sequence[Point]) -> Slope:
    """The slope of one measure over its sizes; TooFew under three of them, ValueError where they are not one measure.

    Several points of one size count as one, by their mean.
    """
    if len({(each.role, each.varies, each.measure, each.unit) for each in points}) > 1:
        raise ValueError("points of several measures")
    named = sorted({each.size for each in points})
    if len(named) < SIZES_LEAST:
        raise TooFew(f"{len(named)} sizes; {SIZES_LEAST} are the least")
    if named[0] <= 0:
        raise ValueError("a size that is not above 0")
    sizes = np.array(named, dtype=np.float64)
    values = np.array(
        [np.mean([each.value for each in points if each.size == size]) for size in named]
    )
    first = points[0]

    def slope(model: str, intercept: float, factor: float, exponent: float) -> Slope:
        fitted = intercept + factor * sizes**exponent
        return Slope(
            first.role,
            first.varies,
            first.measure,
            first.unit,
            model,
            float(intercept),
            float(factor),
            float(exponent),
            residual(values, fitted),
            tuple(named),
        )

    if is_flat(values):
        return slope("flat", float(np.median(values)), 0.0, 1.0)
    line = slope("linear", *straight(sizes, values), 1.0)
    if line.residual <= LINEAR_MOST or len(named) < POWER_SIZES_LEAST or values.min() <= 0:
        return line
    curves = (
        slope("power", *power(sizes, values, share * float(values.min())))
        for share in INTERCEPT_SHARES
    )
    curve = min(curves, key=lambda each: each.residual)
    return curve if curve.residual * BETTER < line.residual else line


def is_flat(values: Floats) -> bool:
    """Whether the values differ by no more than the tolerance."""
    return float(values.max() - values.min()) <= FLAT_SPREAD * abs(float(np.median(values)))


def straight(sizes: Floats, values: Floats) -> tuple[float, float]:
    """Intercept and slope of the line with the least relative error."""
    weights = 1 / _scale(values)
    columns = np.column_stack([np.ones_like(sizes), sizes]) * weights[:, None]
    (intercept, slope), *_ = np.linalg.lstsq(columns, values * weights, rcond=None)
    return float(intercept), float(slope)


def power(sizes: Floats, values: Floats, intercept: float) -> tuple[float, float, float]:
    """Intercept as given, factor and exponent: a line through the logarithms of what is above the intercept."""
    exponent, factor = np.polyfit(np.log(sizes), np.log(values - intercept), 1)
    return intercept, float(np.exp(factor)), float(exponent)


def residual(values: Floats, fitted: Floats) -> float:
    """Root mean square of the relative errors; where 0 was measured, relative to the mean of all."""
    return float(np.sqrt(np.mean(((values - fitted) / _scale(values)) ** 2)))


def _scale(values: Floats) -> Floats:
    mean = float(np.mean(np.abs(values))) or 1.0
    return np.where(values == 0, mean, np.abs(values))


def at(slope: Slope, size: float) -> float:
    """What the slope says of a size."""
    return float(slope.intercept + slope.slope * size**slope.exponent)


def superlinear(slope: Slope) -> bool:
    """Whether the measure grows faster than the size."""
    return slope.model == "power" and slope.slope > 0 and slope.exponent > SUPERLINEAR


def slopes(points: Iterable[Point]) -> list[Slope]:
    """One for each measure that has enough sizes, in the order in which they first came.

    None for a measure that is 0 at some sizes and not at others, as what is refused over a bound: no one law holds on
    both sides of it.
    """
    groups: dict[tuple[str, str, str, str], list[Point]] = {}
    for each in points:
        groups.setdefault((each.role, each.varies, each.measure, each.unit), []).append(each)
    return [
        fit(group)
        for group in groups.values()
        if len({each.size for each in group}) >= SIZES_LEAST
        and len({each.value == 0 for each in group}) == 1
    ]


def words(slope: Slope) -> str:
    """For people, in one line."""
    head = f"{slope.role}, {slope.measure} by {slope.varies}: "
    if slope.model == "flat":
        return f"{head}flat, {slope.intercept:.4g} {slope.unit}"
    grown = f"size^{slope.exponent:.2f}" if slope.model == "power" else "size"
    told = ", FASTER THAN THE SIZE" if superlinear(slope) else ""
    return (
        f"{head}{slope.intercept:.4g} + {slope.slope:.4g} * {grown} {slope.unit}, "
        f"residual {slope.residual:.0%}{told}"
    )
