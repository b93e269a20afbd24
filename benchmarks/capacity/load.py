"""Owners of a measurement: some Jobs outstanding at all times, as `benchmarks.placements` has them.

    python -m benchmarks.capacity.load PORT

Each line of standard input, `SECONDS OUTSTANDING PREFIX`, is one run, answered with `Loaded`.
"""

from __future__ import annotations

import sys

import msgspec

from benchmarks.capacity.processes import InputLines, say
from benchmarks.placements import load


class Loaded(msgspec.Struct, frozen=True):
    """What one run gave; times from the submission of a Job to its `Placed`."""

    outstanding: int
    placed_per_s: int
    not_placed: int
    p50_ms: float
    p99_ms: float


def main() -> None:
    """Load the placer that listens on a port, as told."""
    port, lines = int(sys.argv[1]), InputLines()
    while (asked := lines.read()) is not None:
        for line in asked:
            seconds, outstanding, prefix = line.split()
            say(load(port, float(seconds), int(outstanding), prefix))


if __name__ == "__main__":
    main()
