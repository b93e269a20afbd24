"""The plays on the virtual clock before and after a change: the same histories, to the byte.

    python -m benchmarks.same_histories --old COMMIT [--seeds 10] [--jobs 6] [--part PART ...]

The commit's tree is exported, and every play (part and seed) runs against it and against the present tree, in processes
of their own. A history's digest covers each step of each state machine in a form that renames do not touch
(`histories/driver.py`). A commit is played by a driver in its own names: `histories/driver_COMMIT.txt` where there is
one, else the one in its tree, else the present one. Exit 1 where a digest differs, with the first different step of the
first play that differs.
"""

from __future__ import annotations

import argparse
import itertools
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.exported import ROOT, end, exported, short_name, start_in
from benchmarks.histories.driver import PARTS

DRIVERS = ROOT / "benchmarks" / "histories"
DRIVER = DRIVERS / "driver.py"


@dataclass(frozen=True, slots=True)
class Side:
    """A tree and the driver in its names."""

    tree: Path
    driver: Path


@dataclass(frozen=True, slots=True)
class History:
    """Of one play in one tree."""

    digest: str
    steps: int


def side_of(commit: str, tree: Path) -> Side:
    """A commit's tree with the driver in its names."""
    known = (DRIVERS / f"driver_{short_name(commit)}.txt", tree / DRIVER.relative_to(ROOT))
    return Side(tree, next((each for each in known if each.exists()), DRIVER))


def history(side: Side, part: str, seed: int) -> History:
    """Run a play. Raises SystemExit where it fails."""
    process = start_in(side.tree, side.driver, [part, str(seed)])
    output, _ = process.communicate()
    words = output.split()
    if process.returncode or len(words) != 4:
        raise SystemExit(f"{part}, seed {seed}: {side.driver.name} failed in {side.tree}")
    return History(words[2], int(words[3]))


def first_difference(old: Side, new: Side, part: str, seed: int) -> str:
    """The first step that differs, in the words of both."""
    plays = [start_in(side.tree, side.driver, [part, str(seed), "--steps"]) for side in (old, new)]
    try:
        outputs = [play.stdout or () for play in plays]
        for index, (theirs, ours) in enumerate(itertools.zip_longest(*outputs, fillvalue="")):
            if theirs != ours:
                return f"step {index}:\n  old {theirs.strip()}\n  new {ours.strip()}"
    finally:
        for play in plays:
            end(play)
    return "the steps do not differ when they are played again"


def compare_histories(
    old: Side, new: Side, parts: Sequence[str], seeds: Sequence[int], jobs: int
) -> list[tuple[str, int]]:
    """Play all against both trees and print a line for each play; those that differ."""
    different = []
    plays = list(itertools.product(parts, seeds))
    pool = ThreadPoolExecutor(jobs)
    try:
        pairs = [
            [pool.submit(history, side, part, seed) for side in (old, new)] for part, seed in plays
        ]
        for (part, seed), pair in zip(plays, pairs, strict=True):
            theirs, ours = (each.result() for each in pair)
            verdict = "same" if theirs == ours else f"DIFFERENT {theirs.digest} {theirs.steps}"
            print(part, seed, ours.digest, ours.steps, verdict, flush=True)
            if theirs != ours:
                different.append((part, seed))
    finally:
        pool.shutdown(cancel_futures=True)
    return different


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", required=True)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--part", action="append", choices=PARTS)
    asked = parser.parse_args()
    parts, begun = asked.part or list(PARTS), time.monotonic()
    with exported(asked.old) as tree:
        old, new = side_of(asked.old, tree), Side(ROOT, DRIVER)
        different = compare_histories(old, new, parts, range(1, asked.seeds + 1), asked.jobs)
        print(
            f"{len(parts) * asked.seeds} plays of {len(parts)} parts, {len(different)} different, "
            f"{time.monotonic() - begun:.0f} s; driver of {asked.old}: {old.driver.name}"
        )
        if different:
            print(*different[0], first_difference(old, new, *different[0]))
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
