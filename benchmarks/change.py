"""Service through a change of rules that contradicts those before, with processes: placed a second, p99, longest gap.

    python -m benchmarks.change --placers 5 --seeds 3 [--rate 12]

Each play has its load from the same seed, one change by hand at two fifths of it, and no faults. Judged as every run of
`lab fleet`; latencies from when an owner sent a Job until it read of its place.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from wingbarrow.core.logs import silent
from wingbarrow.lab.fleet.judge import judge
from wingbarrow.lab.fleet.rig import Rig, Size
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.limits import raise_descriptors
from wingbarrow.lab.record import Recorder
from wingbarrow.transport import Hub

SECOND = 1_000_000


def contradicting(rig: Rig) -> tuple[str, list[str]]:
    """A smaller spread and more attempts: each of the two versions allows what the other forbids."""
    places = rig.places
    text = places.settings(places.slots[0])
    return (
        text.replace('by="cell" most=3', 'by="cell" most=2').replace(
            "attempts most=4", "attempts most=5"
        ),
        places.names,
    )


def quantile(values: list[float], share: float) -> float:
    return (
        round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 1) if values else 0.0
    )


def span(placed: list[tuple[int, int]], begin_us: int, end_us: int) -> dict[str, Any]:
    """Jobs that were sent within a span: (sent, read as placed)."""
    inside = [(sent, at) for sent, at in placed if begin_us <= sent < end_us]
    took = [(at - sent) / 1000 for sent, at in inside]
    times = sorted(at for _, at in inside)
    gaps = [(b - a) / 1000 for a, b in zip(times, times[1:], strict=False)]
    return {
        "placed_a_second": round(len(inside) * SECOND / (end_us - begin_us), 1),
        "p50_ms": quantile(took, 0.5),
        "p99_ms": quantile(took, 0.99),
        "longest_gap_ms": round(max(gaps, default=0.0), 1),
    }


def play(placers: int, seed: int, rate: float, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="wingbarrow-change-") as name:
        folder, hub = Path(name), Hub()
        change = Fault("propose", int(seconds * 0.4 * SECOND), "placer-1", amount=1.0)
        rig = Rig(hub, Size(placers, 6 * placers, seconds, seed, rate), [change], folder, silent)
        rig.commands.variant = (
            lambda number: contradicting(rig)
            if number == 1
            else rig.commands.random_variant(number)
        )
        hub.run(rig.run)
        verdict = judge(folder)
        records, events = (
            Recorder.read(folder / "recording.jsonl"),
            [json.loads(line) for line in (folder / "events.jsonl").read_text().splitlines()],
        )
        begun = next(each["at_us"] for each in events if each["what"] == "begin")
        at = next(each["at_us"] for each in events if each["what"] == "accepted")
        use = sum(each["use_s"] for each in events if each["what"] == "ending") / placers
    sent = {each.data["uid"]: each.data["sent_us"] for each in records if each.what == "accepted"}
    read: dict[
        str, int
    ] = {}  # an owner that lists again reads the same answer again: the first counts
    for each in records:
        if each.where == "owner" and each.what == "answer" and each.data["answer"] == "placed":
            read.setdefault(each.data["uid"], each.at_us)
    placed = [(sent[uid], at) for uid, at in read.items() if uid in sent]
    end = begun + int(seconds * SECOND)
    return {
        "placers": placers,
        "seed": seed,
        "clean": verdict.clean,
        "editions": verdict.editions,
        "before": span(placed, begun + 2 * SECOND, at),
        "during": span(placed, at, at + 4 * SECOND),
        "after": span(placed, at + 4 * SECOND, end),
        "processor_s_each": round(use, 2),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--placers", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=12.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    raise_descriptors(6 * arguments.placers, arguments.placers * 4)
    clean = True
    for seed in range(1, arguments.seeds + 1):
        found = play(arguments.placers, seed, arguments.rate, arguments.seconds)
        clean &= found["clean"]
        print(json.dumps(found), flush=True)
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
