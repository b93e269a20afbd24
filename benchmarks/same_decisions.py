"""The decision module before and after a change: the same seed and events, the same actions.

    python -m benchmarks.same_decisions OLD SITE.toml [SITE.toml ...] [--events 20000] [--seeds 2]

OLD is any earlier commit. Its tree is exported, and for each site's settings and seed a day (`decision_days`) is played
around its scheduler and around the present one, in processes of their own. A tree that has a `decision_days` of its own
is played by that, any other by the present text, which names nothing but `wingbarrow.interface`.
The events depend on nothing but the seed and what the scheduler answered so far, so the days are compared event by
event. Exit 1 at the first difference, which is printed.
"""

from __future__ import annotations

import argparse
import itertools
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.decision_days import KNOWLEDGE
from benchmarks.exported import ROOT, end, exported, start_in

RECORDER = ROOT / "benchmarks" / "decision_days.py"


@dataclass(slots=True)
class Compared:
    """How far two days were alike: events and actions by kind, and the first difference or nothing."""

    events: Counter[str] = field(default_factory=Counter)
    actions: Counter[str] = field(default_factory=Counter)
    difference: str = ""


def recorder_of(tree: Path) -> Path:
    """What records days in the interface of a tree."""
    own = tree / RECORDER.relative_to(ROOT)
    return own if own.exists() else RECORDER


def compare(old: Path, new: Path, day: list[str]) -> Compared:
    """Play a day (site, seed, events) against two trees. Raises SystemExit where a play fails."""
    plays = [start_in(tree, recorder_of(tree), day) for tree in (old, new)]
    compared = Compared()
    try:
        outputs = [play.stdout or () for play in plays]
        for index, (theirs, ours) in enumerate(itertools.zip_longest(*outputs, fillvalue="")):
            if theirs != ours:
                compared.difference = (
                    f"event {index}:\n  old {theirs.strip()}\n  new {ours.strip()}"
                )
                break
            _, event, actions = json.loads(ours)
            if event[0] == KNOWLEDGE:
                continue
            compared.events[event[0]] += 1
            compared.actions.update(action[0] for action in actions)
        failed = [play.wait() for play in plays] if not compared.difference else []
    finally:
        for play in plays:
            end(play)
    if any(failed) or not (compared.events or compared.difference):
        raise SystemExit(f"{' '.join(day)}: a play failed")
    return compared


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("old")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--events", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=2)
    asked = parser.parse_args()
    with exported(asked.old) as old:
        for path, seed in itertools.product(asked.sites, range(1, asked.seeds + 1)):
            compared = compare(old, ROOT, [str(path.absolute()), str(seed), str(asked.events)])
            print(
                f"{path.stem} seed {seed}: {compared.events.total()} events "
                f"({len(compared.events)} kinds)",
                dict(sorted(compared.actions.items())),
                "DIFFERENT" if compared.difference else "same",
                flush=True,
            )
            if compared.difference:
                print(compared.difference)
                return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
