"""What a results file says of one measure at one size: measured there, between measured sizes, or beyond them.

A figure beyond the measured sizes rests on the fitted line alone; `far` tells how many times the nearest measured size
it is from. No line, no figure: a missing slope is `None`, which the page shows as "not measured".
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.results import Point, Results, Slope


@dataclass(frozen=True, slots=True, order=True)
class Key:
    """Which measure: whose cost, what is varied, what is measured."""

    role: str
    varies: str
    measure: str

    @property
    def ident(self) -> str:
        """The anchor of its row among the page's sources."""
        return "m-" + re.sub(
            r"[^a-z0-9]+", "-", f"{self.role} {self.varies} {self.measure}".lower()
        ).strip("-")


class How(Enum):
    """What a figure rests on."""

    MEASURED = "measured at this size"
    BETWEEN = "by the line, between measured sizes"
    BEYOND = "by the line, beyond the measured sizes"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure and what it rests on; `far` is the size over the nearest measured one, 1.0 within the range."""

    value: float
    how: How
    far: float


def key_of(each: Point | Slope) -> Key:
    """The measure that a point or a slope belongs to."""
    return Key(each.role, each.varies, each.measure)


def slope_of(results: Results, key: Key) -> Slope | None:
    """Its slope; ValueError where the file has two."""
    found = [slope for slope in results.slopes if key_of(slope) == key]
    if len(found) > 1:
        raise ValueError(f"the results have {len(found)} slopes of {key}")
    return found[0] if found else None


def points_of(results: Results, key: Key) -> list[Point]:
    """Its points, by size."""
    return sorted(
        (point for point in results.points if key_of(point) == key), key=lambda point: point.size
    )


def fitted(slope: Slope, size: float) -> float:
    """The line's value at a size."""
    return float(slope.intercept + growth(slope, size))


def growth(slope: Slope, size: float) -> float:
    """What the size adds: the line's value without its intercept."""
    return float(slope.slope * size**slope.exponent)


def estimate(results: Results, key: Key, size: int) -> Estimate | None:
    """The figure at a size, None where nothing was measured; a point of that very size stands before the line."""
    slope = slope_of(results, key)
    if slope is None:
        return None
    for point in points_of(results, key):
        if point.size == size:
            return Estimate(point.value, How.MEASURED, 1.0)
    least, most = min(slope.sizes), max(slope.sizes)
    if least <= size <= most:
        return Estimate(fitted(slope, size), How.BETWEEN, 1.0)
    return Estimate(fitted(slope, size), How.BEYOND, size / most if size > most else size / least)


def size_reaching(slope: Slope, limit: float) -> float | None:
    """The size at which the line reaches a limit; None where it never does, 0 where it is over it from the start."""
    if slope.intercept >= limit:
        return 0.0
    if slope.slope <= 0 or slope.exponent <= 0:
        return None
    return float(((limit - slope.intercept) / slope.slope) ** (1 / slope.exponent))


def spread_text(points: list[Point]) -> str:
    """In a few words: how many runs a measure has, and how far apart they were at the largest size that has several."""
    several = [
        point
        for point in points
        if point.runs > 1 and point.least is not None and point.most is not None
    ]
    if not several:
        return "one run"
    last = several[-1]
    runs = sorted({point.runs for point in points})
    counted = f"{runs[0]}" if len(runs) == 1 else f"{runs[0]} to {runs[-1]}"
    return (
        f"{counted} runs, {shown(last.least or 0.0)} to {shown(last.most or 0.0)} at {last.size:,}"
    )


def shown(value: float) -> str:
    """A number as the page writes it: three significant digits, whole above a hundred, commas between thousands."""
    if value == 0:
        return "0"
    if abs(value) >= 100 or (value == int(value) and abs(value) < 1e15):
        return f"{value:,.0f}"
    if abs(value) < 0.0001:
        return f"{value:.2e}"
    digits = 2
    while abs(value) < 10 ** (2 - digits):
        digits += 1
    return f"{value:.{digits}f}" if abs(value) < 10 else f"{value:.1f}"
