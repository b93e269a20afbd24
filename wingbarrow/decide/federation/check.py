"""A federation's faults, each with its place and its reason; no I/O.

A place is a path such as ("federation", 2, "reads", 0): the node's kind, its number in the file, the part. What reads
files maps paths to lines; where a part has no line of its own, the path's beginning has.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from wingbarrow.decide.federation.spec import DATASETS_MOST, SPECS_MOST, Federation

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Known:
    """What is known beside the specs: regions that have machines, the placers in each, the lease, classes' effects.

    `rooms`: (region, cores, MiB) that each surely has, where that is said.
    """

    regions: tuple[str, ...] = ()
    places: Mapping[str, str] = field(default_factory=dict)
    lease_us: int = 0
    effects: Mapping[str, str] = field(default_factory=dict)
    rooms: tuple[tuple[str, float, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """Where, and what is wrong."""

    path: Path
    words: str


def check(federation: Federation, known: Known) -> list[Fault]:
    """Everything that is wrong with a whole federation, in the file's order."""
    out: list[Fault] = []
    if len(federation.specs) > SPECS_MOST:
        out.append(Fault(("federation", SPECS_MOST), f"more than {SPECS_MOST} specs"))
    if len(federation.datasets) > DATASETS_MOST:
        out.append(Fault(("dataset", DATASETS_MOST), f"more than {DATASETS_MOST} data sets"))
    return out
