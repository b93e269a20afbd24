"""The typed results of the capacity measurements: points as measured, slopes as fitted."""

from __future__ import annotations

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size: the median over the runs."""

    role: str  # whose cost it is: "placer", "list client", "machine link", "member", "voter", "leader", ...
    varies: str  # what is varied: "machines", "placers", "tasks", "teams", "changes", "gang"
    size: int
    measure: str  # "resident memory", "processor: module", "bytes received", "descriptors", "time to place p50", ...
    unit: str  # "MB", "ms", "s", "B/s", "messages/s", "descriptors", "us", "per s"
    value: float  # the median over the runs
    runs: int = 1
    least: float | None = None  # over the runs, where there are several
    most: float | None = None


class Slope(msgspec.Struct, frozen=True):
    """How one measure grows: value(size) = intercept + slope * size ** exponent."""

    role: str
    varies: str
    measure: str
    unit: str
    model: str  # "flat" | "linear" | "power"
    intercept: float
    slope: float
    exponent: float
    residual: float  # root mean square of (measured - fitted) / measured
    sizes: tuple[int, ...]


class Results(msgspec.Struct, frozen=True):
    """One run of the command: the machine it ran on, when, and all it measured."""

    machine: str
    taken: str
    points: list[Point]
    slopes: list[Slope]
