"""Membership on a virtual clock: time to find deaths, false suspicions and deaths, messages, at several sizes.

python -m benchmarks.membership 5 16 64 170 --seeds 10
"""

from __future__ import annotations

import argparse
import json
import statistics

from wingbarrow.decide.membership.messages import MemberStatus
from wingbarrow.lab.fleet.simulation import SECOND, MembershipSimulation

QUIET_S = 60


def settled(count: int, seed: int) -> MembershipSimulation:
    swarm = MembershipSimulation(count, seed)
    if not swarm.run_until(swarm.all_alive, 300 * SECOND, SECOND):
        raise SystemExit(f"{count} placers, seed {seed}: they do not find each other")
    return swarm


def wrong(swarm: MembershipSimulation, since_us: int, excused: set[str]) -> tuple[int, int]:
    """Members wrongly suspected, and wrongly buried, since a time: counted once for each member."""
    found = {
        what: {
            each.fields["member"]
            for each in swarm.notifications
            if each.event == what and each.at_us >= since_us
        }
        for what in ("suspected", "dead")
    }
    return len(found["suspected"] - excused), len(found["dead"] - excused)


def one(count: int, seed: int) -> dict[str, float]:
    swarm = settled(count, seed)
    joined_us = swarm.now_us
    swarm.sent.clear()
    swarm.run(swarm.now_us + 30 * SECOND)
    row: dict[str, float] = {
        "joined_s": joined_us / SECOND,
        "messages_a_second": sum(swarm.sent.values()) / 30 / count,
        "messages_most": max(swarm.sent.values()) / 30,
    }
    gone, begun = swarm.names[seed % count], swarm.now_us
    swarm.kill(gone)
    if not swarm.run_until(
        lambda: swarm.all_see(gone, MemberStatus.DEAD), 2 * swarm.rules.detection_bound_us(count)
    ):
        raise SystemExit(f"{count} placers, seed {seed}: a death is not found")
    times = [
        (each.at_us - begun) / SECOND
        for each in swarm.deaths(begun)
        if each.fields["member"] == gone
    ]
    row |= {"first_dead_s": min(times), "all_dead_s": max(times)}
    row["wrong_after_death"] = wrong(swarm, begun, {gone})[1]

    swarm = settled(count, seed)
    swarm.loss, begun = 0.2, swarm.now_us
    swarm.run(begun + QUIET_S * SECOND)
    row["loss_suspected"], row["loss_dead"] = wrong(swarm, begun, set())

    swarm = settled(count, seed)
    begun, stalled = swarm.now_us, set(swarm.names[: max(1, count // 10)])
    for name in stalled:
        swarm.stop(name, 5 * SECOND)
    swarm.run(begun + QUIET_S * SECOND)
    row["stall_suspected"], row["stall_dead"] = wrong(swarm, begun, stalled)
    return row


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="+", type=int)
    parser.add_argument("--seeds", type=int, default=5)
    asked = parser.parse_args()
    for count in asked.sizes:
        rows = [one(count, seed) for seed in range(1, asked.seeds + 1)]
        rules = MembershipSimulation(2, 1).rules
        figures = {
            key: {
                "median": round(statistics.median(row[key] for row in rows), 2),
                "most": round(max(row[key] for row in rows), 2),
            }
            for key in rows[0]
        }
        print(
            json.dumps(
                {
                    "placers": count,
                    "seeds": asked.seeds,
                    "detect_stated_s": rules.detection_bound_us(count) / SECOND,
                    **figures,
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
