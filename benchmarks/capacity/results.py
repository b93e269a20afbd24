"""What a measurement of capacity found, as it is written to a file: points, and slopes fitted to them."""

from __future__ import annotations

import msgspec


class Point(msgspec.Struct, frozen=True):
    # whose cost it is: "placer", "list client", "machine link", "member", "voter", "leader", "replica holder", "agent",
    # "operator client", "region link"
    role: str
    varies: str    # what is varied: "machines", "placers", "tasks", "teams", "changes", "gang"
    size: int
    # "resident memory", "processor: module", "bytes received", "messages sent", "descriptors", "time to place p50", ...
    measure: str
    unit: str      # "MB", "ms", "s", "B/s", "messages/s", "descriptors", "us", "per s"
    value: float   # the median over the runs
    runs: int = 1
    least: float | None = None   # over the runs, where there are several
    most: float | None = None


class Slope(msgspec.Struct, frozen=True):
    role: str
    varies: str
    measure: str
    unit: str
    model: str           # "flat" | "linear" | "power"
    intercept: float     # value(size) = intercept + slope * size ** exponent
    slope: float
    exponent: float
    residual: float      # root mean square of (measured - fitted) / measured
    sizes: tuple[int, ...]


class Results(msgspec.Struct, frozen=True):
    machine: str
    taken: str
    points: list[Point]
    slopes: list[Slope]
