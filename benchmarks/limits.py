"""Limits of the whole fleet on a virtual clock: how much of one is used where demand is skewed, and never too much.

    python -m benchmarks.limits 3 5 16 64 --seeds 10 --jobs 6

One placer in five has ten times the demand of the others; all together want half more than the limit allows. Beside it
equal parts (each may use its own alone) and one counter for all, without faults, as the bound. Calm, and under trouble;
`reachable` is what a counter that costs nothing would carry under the same faults (`quota_simulation.CentralCounter`).
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics
import sys

from wingbarrow.lab.fleet.quota_simulation import (
    TASK_DURATION_RANGE_US,
    CentralCounter,
    QuotaSimulation,
    inject_faults,
    rules_with_limits,
)
from wingbarrow.lab.fleet.simulation import SECOND


def sizes(count: int) -> tuple[list[float], int, int]:
    """Demand of each placer in tasks a second, and the limits: of tasks at once, and of new ones in 5 s."""
    most = 20 * count
    mean_s = sum(TASK_DURATION_RANGE_US) / 2 / SECOND
    weights = [
        10.0 if index % 5 == 4 or (count < 5 and index == 0) else 1.0 for index in range(count)
    ]
    whole = 1.5 * most / mean_s
    return [whole * weight / sum(weights) for weight in weights], most, int(2 * most / mean_s * 5)


def bound(demand: list[float], most: int, parts: bool) -> float:
    """Share of the limit in use without faults: Erlang's loss system, for equal parts one for each placer."""
    mean_s = sum(TASK_DURATION_RANGE_US) / 2 / SECOND

    def carried(load: float, servers: int) -> float:
        blocked = 1.0
        for server in range(1, servers + 1):
            blocked = load * blocked / (server + load * blocked)
        return load * (1 - blocked)

    if not parts:
        return carried(sum(demand) * mean_s, most) / most
    return sum(carried(each * mean_s, most // len(demand)) for each in demand) / most


def play(asked: tuple[int, int, bool]) -> dict[str, float]:
    count, seed, troubled = asked
    demand, most, rate = sizes(count)
    simulation = QuotaSimulation(
        count, 7 if count >= 40 else 5 if count >= 10 else 3, seed, demand, most, rate
    )
    wanted = rules_with_limits(simulation.names, most, rate)
    simulation.run_until(lambda: simulation.leader() is not None, 20 * SECOND)
    simulation.propose(wanted)
    simulation.run_until(lambda: simulation.all_on(wanted), 20 * SECOND)
    simulation.run(simulation.now_us + 20 * SECOND)
    simulation.reset_counts()
    simulation.sent.clear()
    begun = simulation.now_us
    reach = CentralCounter(simulation, seed)
    if troubled:
        for _ in inject_faults(simulation, seed):
            pass
    else:
        simulation.run(begun + 40 * SECOND)
    return {
        "used": simulation.task_steps / simulation.steps / most,
        "over": simulation.violations,
        "reachable": reach.task_steps / reach.steps / most,
        "messages_a_second": sum(simulation.sent.values())
        / (simulation.now_us - begun)
        * SECOND
        / count,
        "messages_most": max(simulation.sent.values()) / (simulation.now_us - begun) * SECOND,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("sizes", nargs="+", type=int)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    over = 0.0
    with multiprocessing.Pool(asked.jobs) as pool:
        for count in asked.sizes:
            demand, most, _ = sizes(count)
            for troubled in (False, True):
                rows = pool.map(
                    play, [(count, seed, troubled) for seed in range(1, asked.seeds + 1)], 1
                )
                over += sum(row["over"] for row in rows)
                figures = {
                    key: {
                        "least": round(min(row[key] for row in rows), 3),
                        "median": round(statistics.median(row[key] for row in rows), 3),
                        "most": round(max(row[key] for row in rows), 3),
                    }
                    for key in rows[0]
                }
                print(
                    json.dumps(
                        {
                            "placers": count,
                            "troubled": troubled,
                            **figures,
                            "equal_parts": round(bound(demand, most, True), 3),
                            "one_counter": round(bound(demand, most, False), 3),
                        }
                    ),
                    flush=True,
                )
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())
