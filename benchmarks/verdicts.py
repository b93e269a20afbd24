"""What one bad machine in eight costs a fleet: starts that fail there in 12 s, with verdicts and without.

    python -m benchmarks.verdicts 5 16 --seeds 10 --jobs 6

On the virtual clock, whole path, 25 tasks a second; the machine fails every start. From simulated servers.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics

from tests.peers.test_ejections_path import starts_on_bad_machine


def one(asked: tuple[int, bool, int]) -> int:
    return starts_on_bad_machine(*asked)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("sizes", nargs="+", type=int)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    with multiprocessing.Pool(asked.jobs) as pool:
        for count in asked.sizes:
            for agree in (False, True):
                rows = pool.map(
                    one, [(count, agree, seed) for seed in range(1, asked.seeds + 1)], 1
                )
                print(
                    json.dumps(
                        {
                            "placers": count,
                            "verdicts": agree,
                            "failed_starts": {
                                "least": min(rows),
                                "median": statistics.median(rows),
                                "most": max(rows),
                            },
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main()
