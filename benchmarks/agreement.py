"""Agreement on a virtual clock: generated schedules judged, and how long a change takes, at several sizes.

python -m benchmarks.agreement schedules 3 5 16 --seeds 100 --jobs 6
python -m benchmarks.agreement changes 5 16 64 --seeds 20
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics
import sys
import time
from typing import Any

from wingbarrow.lab.fleet.coordination_simulation import ACT_INTERVAL_US
from wingbarrow.lab.fleet.fault_schedules import (
    MAX_OVERLAP_US,
    InvariantError,
    bootstrapped_assembly,
    check_invariants,
    rules,
    run_generated_schedule,
)
from wingbarrow.lab.fleet.fault_schedules import voter_count as voters
from wingbarrow.lab.fleet.simulation import SECOND


def schedule(asked: tuple[int, int]) -> dict[str, Any]:
    count, seed = asked
    broken, moments = "", run_generated_schedule(count, voters(count), seed)
    assembly = next(moments)
    try:
        for assembly in moments:
            check_invariants(assembly)
    except InvariantError as error:
        broken = f"{count} placers, seed {seed}: {error}"
    verdict = assembly.judged()
    return {
        "broken": broken,
        "acts": verdict.acts,
        "past": verdict.past,
        "on_floor": assembly.on_floor,
        "editions": len(assembly.uses),
        "longest_ms": verdict.longest_us / 1000,
    }


def change(asked: tuple[int, int, bool]) -> dict[str, float]:
    """One contradicting change: from the proposal until each placer acts on it, and what it costs all the while."""
    count, seed, cut = asked
    assembly = bootstrapped_assembly(count, voters(count), seed)
    assembly.sent.clear()
    begun = assembly.now_us
    assembly.run(begun + 10 * SECOND)
    calm = sum(assembly.sent.values()) / 10 / count
    most = max(assembly.sent.values()) / 10
    if cut:
        side = set(assembly.names[-max(1, count // 10) :])
        assembly.cut = lambda a, b: (a in side) != (b in side)
        assembly.run(assembly.now_us + 5 * SECOND)
    else:
        side = set()
    wanted, begun, assembly.refused = rules(count, 2, 40), assembly.now_us, 0
    assembly.propose(wanted)
    times: dict[str, float] = {}
    while len(times) < count - len(side) and assembly.now_us < begun + 60 * SECOND:
        assembly.run(assembly.now_us + ACT_INTERVAL_US)
        for name, member in assembly.members.items():
            acting = member.rules_in_force(assembly.clock_us(name))
            if name not in times and acting is not None and acting.rules == wanted.text():
                times[name] = (assembly.now_us - begun) / SECOND
    return {
        "median_s": statistics.median(times.values()),
        "last_s": max(times.values()),
        "reached": len(times),
        "refused_acts": 0 if cut else assembly.refused,
        "messages_a_second": calm,
        "messages_most": most,
        "longest_ms": assembly.judged().longest_us / 1000,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["schedules", "changes"])
    parser.add_argument("sizes", nargs="+", type=int)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    bad = 0
    with multiprocessing.Pool(asked.jobs) as pool:
        for count in asked.sizes:
            begun = time.perf_counter()
            if asked.what == "schedules":
                rows = pool.map(schedule, [(count, seed) for seed in range(1, asked.seeds + 1)], 1)
                broken = [row["broken"] for row in rows if row["broken"]]
                bad += len(broken)
                told = {
                    "placers": count,
                    "schedules": len(rows),
                    "broken": broken,
                    "past": sum(row["past"] for row in rows),
                    "stated_ms": MAX_OVERLAP_US / 1000,
                    "longest_ms": max(row["longest_ms"] for row in rows),
                    "acts": sum(row["acts"] for row in rows),
                    "on_floor": sum(row["on_floor"] for row in rows),
                    "editions": sum(row["editions"] for row in rows),
                }
                print(
                    json.dumps({**told, "real_s": round(time.perf_counter() - begun)}), flush=True
                )
                continue
            for cut in (False, True):
                rows = pool.map(
                    change, [(count, seed, cut) for seed in range(1, asked.seeds + 1)], 1
                )
                figures = {
                    key: {
                        "median": round(statistics.median(row[key] for row in rows), 3),
                        "most": round(max(row[key] for row in rows), 3),
                    }
                    for key in rows[0]
                }
                print(json.dumps({"placers": count, "a_tenth_cut": cut, **figures}), flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
