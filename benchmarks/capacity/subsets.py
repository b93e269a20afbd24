"""What one placer pays for the machines of its list where it holds a subset of them (`docs/subsets.md`).

The measurement of `benchmarks.capacity.machines` with the settings' node `subset`, at the same sizes: its measures bear
the label "subset". The roster grows with the machines, at as many machines for each placer as 13,000 among 48, so that
the subset stays of one size; with few machines it is bounded by the roster's least. The other placers of the roster are
names alone: they count as living, as nobody says otherwise and `leave-after` is longer than the run. What membership
costs is measured in `benchmarks.capacity.placers`.
"""

from __future__ import annotations

import tempfile
from collections.abc import Iterator, Sequence

from benchmarks.capacity import machines
from benchmarks.capacity.machines import Extent
from benchmarks.capacity.results import Point
from wingbarrow.decide.subsets import SubsetRules, Subsets, subset_size

DEFAULT_SIZES = (1_000, 3_000, 13_000)
REPLICAS = 3
MACHINES_PER_PLACER = 271  # 13,000 among 48 placers
LABEL = "subset"
ME = "placer-0"


def roster(size: int) -> tuple[str, ...]:
    """All placers of a region with so many machines; at least one more than hold each machine."""
    count = max(REPLICAS + 1, round(size / MACHINES_PER_PLACER))
    return tuple(f"placer-{index}" for index in range(count))


def held(size: int) -> int:
    """The mean number of machines that a placer holds of so many."""
    return round(subset_size(size, len(roster(size)), REPLICAS))


def settings_node(size: int, state: str) -> str:
    """KDL for a placer that holds its subset of so many machines, and keeps its state in a folder."""
    names = " ".join(f'"{name}"' for name in roster(size))
    return (
        f'state "{state}"\n'
        f'subset replicas={REPLICAS} {{\n    roster {names}\n    leave-after "600s"\n}}\n'
    )


def measure(sizes: Sequence[int], *, extent: Extent = Extent()) -> Iterator[Point]:
    """Measure at each size in turn; raises as `machines.measure` does."""
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="wingbarrow-capacity-") as state:
            yield from machines.measure(
                (size,),
                settings_extra=settings_node(size, state),
                label=LABEL,
                extent=extent,
                module_size=held(size),
            )
        yield Point(
            "placer",
            "machines",
            size,
            f"machines held ({LABEL})",
            "machines",
            float(_held_exactly(size)),
        )


def _held_exactly(size: int) -> int:
    """By the names of the hollow machines."""
    names = roster(size)
    subsets, living = Subsets(SubsetRules(names, REPLICAS)), frozenset(names)
    return sum(subsets.holds(ME, f"node-{index}", living) for index in range(size))
