"""What a lease costs: from a play without faults, the time to the 201 and to `placed`, by class, leased or not.

    wingbarrow lab fleet --regions 3 --placers 9 --machines 18 --seconds 60 --seed 1 --script empty.kdl --out DIR
    python -m benchmarks.lease_price DIR

Read from the recording at the owners' and machines' sockets; real time, from simulated machines.
"""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from pathlib import Path

from hdrh.histogram import HdrHistogram

from wingbarrow.lab.record import Recorder


def measure(folder: Path) -> list[dict[str, object]]:
    """A row for each class; milliseconds."""
    accepted: dict[str, tuple[str, int]] = {}
    leased: set[str] = set()
    until_201: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, 60_000_000, 3))
    until_placed: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, 60_000_000, 3))
    for each in Recorder.read(folder / "recording.jsonl"):
        if each.what == "accepted":
            task_class, sent = each.data["task_class"], each.data["sent_us"]
            accepted[each.data["uid"]] = task_class, sent
            until_201[task_class].record_value(max(1, each.at_us - sent))
        elif each.what == "start" and each.data.get("session"):
            leased.add(each.data["task_class"])
        elif each.what == "answer" and each.where == "owner" and each.data["answer"] == "placed":
            task_class, sent = accepted.pop(each.data["uid"], ("", 0))
            if task_class:
                until_placed[task_class].record_value(max(1, each.at_us - sent))
    return [
        {
            "class": name,
            "leased": name in leased,
            "jobs": until_201[name].get_total_count(),
            **{
                f"{what}_p{quantile}_ms": round(
                    found[name].get_value_at_percentile(quantile) / 1000, 1
                )
                for what, found in (("201", until_201), ("placed", until_placed))
                for quantile in (50, 99)
            },
        }
        for name in sorted(until_201)
    ]


if __name__ == "__main__":
    for row in measure(Path(sys.argv[1])):
        print(json.dumps(row))
