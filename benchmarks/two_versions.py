"""A play of `lab fleet` in which the first placers run the program of an earlier commit, as during a rolling upgrade.

    python -m benchmarks.two_versions --old COMMIT [--old-placers 2] [--placers 5] [--seconds 60] [--seed 3]
        [--regions R] [--out FOLDER]

The old placers' processes run from an exported tree; links, faults, owners, stand-in machines and the judge are this
tree's. All must understand each other's messages, stored state and settings. The last line is the judge's verdict; exit
1 where a rule was broken. `lab fleet --judge FOLDER` judges it again.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path

from benchmarks.exported import exported
from wingbarrow.core.logs import silent
from wingbarrow.lab.fleet.judge import judge
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.fleet.layout import Layout, Size
from wingbarrow.lab.fleet.rig import Rig
from wingbarrow.lab.fleet.script import generate, generate_regions
from wingbarrow.lab.limits import raise_descriptors
from wingbarrow.transport import Hub


def play(size: Size, folder: Path) -> Verdict:
    """Play with faults from the seed, and judge."""
    layout = Layout(size)
    faults = (
        generate_regions(size.seed, layout.regions, size.seconds)
        if layout.regions
        else generate(size.seed, layout.names, size.seconds)
    )
    raise_descriptors(size.machines, size.placers * 4)
    hub = Hub()
    rig = Rig(hub, size, faults, folder, silent)
    rig.progress = lambda text: print(text, file=sys.stderr, flush=True)
    hub.run(rig.run)
    return judge(folder)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", required=True)
    parser.add_argument("--old-placers", type=int, default=2)
    parser.add_argument("--placers", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=3)
    parser.add_argument("--regions", type=int, default=0)
    parser.add_argument("--out", type=Path)
    asked = parser.parse_args()
    if not 0 < asked.old_placers < asked.placers:
        parser.error("--old-placers: some of the placers, and not all")
    with (
        exported(asked.old) as tree,
        tempfile.TemporaryDirectory(prefix="wingbarrow-fleet-") as folder,
    ):
        size = Size(
            asked.placers,
            seconds=asked.seconds,
            seed=asked.seed,
            regions=asked.regions,
            other_program=str(tree),
            other_placers=asked.old_placers,
        )
        verdict = play(size, (asked.out or Path(folder)).absolute())
    for note in verdict.notes:
        print(note, file=sys.stderr)
    print(json.dumps(verdict.line()))
    return 0 if verdict.clean else 1


if __name__ == "__main__":
    sys.exit(main())
