"""Leases: their model explored whole, and generated plays of sessions on the virtual clock.

    python -m benchmarks.leases --model
    python -m benchmarks.leases 3 9 60 --seeds 100 --jobs 4

A play cuts regions off, one way and from each other, flaps, loses mail, stops and kills placers and regions, and heals;
its judge looks at true time. Clocks are up to 500 ppm off. On the virtual clock, without processes.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import time

from wingbarrow.lab.fleet.lease_model import ERRORS, LeasePlan, explore_leases
from wingbarrow.lab.fleet.session_simulation import run_simulation


def model(lease: int) -> None:
    """All states without an error, and the way to each planted one."""
    begun = time.perf_counter()
    found = explore_leases(LeasePlan(2, lease))
    print(
        json.dumps(
            {
                "lease": lease,
                "states": found.states,
                "way": found.trace,
                "seconds": round(time.perf_counter() - begun, 1),
            }
        ),
        flush=True,
    )
    for planted in ERRORS:
        print(
            json.dumps(
                {
                    "lease": lease,
                    "planted": planted,
                    "steps": len(explore_leases(LeasePlan(2, lease, planted)).trace),
                }
            ),
            flush=True,
        )


def voters_of(count: int) -> int:
    """So many that the loss of one of three regions leaves a majority."""
    return 9 if count >= 40 else 5 if count >= 9 else 3


def play(asked: tuple[int, int]) -> dict[str, object]:
    """One play."""
    count, seed = asked
    simulation = run_simulation(count, voters_of(count), seed)
    return {
        "seed": seed,
        "seconds": simulation.now_us // 1_000_000,
        "sends": simulation.sends,
        "ends": simulation.ends,
        "succeeded": simulation.ends_with_successor,
        "faults": simulation.violations[:3],
    }


def main() -> None:
    """As told on the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("sizes", nargs="*", type=int)
    parser.add_argument("--model", action="store_true")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    if asked.model:
        for lease in (2, 3, 4):
            model(lease)
    with multiprocessing.Pool(asked.jobs) as pool:
        for count in asked.sizes:
            rows = pool.map(play, [(count, seed) for seed in range(1, asked.seeds + 1)], 1)
            bad = [row for row in rows if row["faults"]]
            print(
                json.dumps(
                    {
                        "placers": count,
                        "voters": voters_of(count),
                        "plays": len(rows),
                        **{
                            key: sum(int(str(row[key])) for row in rows)
                            for key in ("seconds", "sends", "ends", "succeeded")
                        },
                        "faulty": bad,
                    }
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()
