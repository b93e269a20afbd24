"""Random scenarios of Job replication and reissue: faults of regions, placers and messages, and a judge of the outcome.

The judge reads the starts that machines recorded, the answers that owners got, and the sessions that the simulated
voters ended.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from wingbarrow.lab.fleet.replica_simulation import (
    KEY_WINDOW_US,
    ReplicaSimulation,
    reissue_bound_us,
)
from wingbarrow.lab.fleet.simulated_machines import TaskStart
from wingbarrow.lab.fleet.simulation import SECOND

EFFECTS = ("safe", "safe", "keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class Verdict:
    """Violations as texts, counts, and the longest time from the loss of a region to a reissue of its safe Jobs."""

    breaches: tuple[str, ...]
    longest_us: int
    starts: int
    accepted: int
    reissued: int
    unknown: int


def judged(world: ReplicaSimulation) -> Verdict:
    """Find violations of the guarantees for each effect, and measure the longest delay of a reissue."""
    breaches: list[str] = []
    starts: dict[tuple[str, int], list[TaskStart]] = {}
    ended = {end.epoch: session for session, end in world.voters.ended.items()}
    for begin in world.begins:
        starts.setdefault((begin.uid, begin.index), []).append(begin)
        if begin.epoch and begin.epoch not in ended:
            breaches.append(f"reissued although no session ended: {begin}")
    for (uid, index), begins in starts.items():
        effect = uid.partition("-")[0]
        if effect == "unsafe" and len(begins) > 1:
            breaches.append(f"never twice, {len(begins)} times: {uid}/{index}: {begins}")
        if effect == "keyed":
            breaches += [
                f"a key twice in its window: {one}, {other}"
                for one, other in zip(begins, begins[1:], strict=False)
                if one.epoch != other.epoch and other.at_us - one.at_us < KEY_WINDOW_US
            ]
    longest = 0
    for at_us, uid, _, _ in world.reissued:
        accepted_us, _, name = world.accepted.get(uid, (0, None, ""))
        lost_us = world.lost.get(world.regions.get(name, ""), 0)
        if uid.startswith("safe") and accepted_us <= lost_us <= at_us:
            longest = max(longest, at_us - lost_us)
    return Verdict(
        tuple(breaches),
        longest,
        len(world.begins),
        len(world.accepted),
        len(world.reissued),
        len(world.unknown()),
    )


def lost_runs(world: ReplicaSimulation) -> list[str]:
    """Accepted safe Jobs that run nowhere, although some running placer has known of them at all times."""
    running = world.running()
    return sorted(
        uid
        for uid in world.accepted
        if uid.startswith("safe") and uid not in running | world.unrecoverable
    )


def forgotten(world: ReplicaSimulation) -> list[str]:
    """Accepted Jobs that never started and that no placer holds or lists as unknown.

    Excludes Jobs whose last placer that knew of them was killed.
    """
    known = {uid for core in world.members.values() for uid in core.knows()}
    begun = {begin.uid for begin in world.begins}
    return sorted(uid for uid in world.accepted if uid not in begun | known | world.unrecoverable)


def loss_of_a_region(
    seed: int,
    jobs: int = 60,
    loss: float = 0.0,
    machines: bool = True,
    copies: int = 1,
    world: ReplicaSimulation | None = None,
) -> ReplicaSimulation:
    """Submit Jobs to all placers, kill a whole region, and run until all its Jobs must have been reissued."""
    world = world or ReplicaSimulation(seed, copies=copies, loss=loss)
    world.run(2 * SECOND)
    rng = random.Random(f"jobs/{seed}")
    for index in range(jobs):
        world.run(world.now_us + rng.randrange(100_000))
        world.submit_job(rng.choice(world.names), EFFECTS[index % len(EFFECTS)])
    region = rng.choice(sorted(set(world.regions.values())))
    world.kill_region(region, machines)
    world.run(world.now_us + reissue_bound_us(jobs))
    return world


def trouble(
    seed: int, moments: int = 25, copies: int = 2, world: ReplicaSimulation | None = None
) -> ReplicaSimulation:
    """Inject random faults, then heal them all and run until every Job must be settled.

    Faults: regions lost and back, placers killed and stopped, cuts (some one-way), lost and duplicated messages, and
    restarts of machines.
    """
    world = world or ReplicaSimulation(seed, copies=copies)
    rng = random.Random(f"trouble/{seed}")
    world.duplication = 0.1
    regions = sorted(set(world.regions.values()))
    world.run(2 * SECOND)
    for _ in range(moments):
        for _ in range(rng.randrange(6)):
            world.submit_job(rng.choice(world.names), rng.choice(EFFECTS))
            world.run(world.now_us + rng.randrange(300_000))
        draw, placer, faulty_region = rng.random(), rng.choice(world.names), rng.choice(regions)
        if draw < 0.15:
            side, one_way = (
                {name for name in world.names if world.regions[name] == faulty_region},
                rng.random() < 0.4,
            )
            world.cut = lambda a, b, side=side, one_way=one_way: (  # type: ignore[misc]
                (a in side and b not in side) or (not one_way and b in side and a not in side)
            )
        elif draw < 0.25:
            side, one_way = (
                set(rng.sample(world.names, rng.randrange(1, len(world.names)))),
                rng.random() < 0.4,
            )
            world.cut = lambda a, b, side=side, one_way=one_way: (  # type: ignore[misc]
                (a in side and b not in side) or (not one_way and b in side and a not in side)
            )
        elif draw < 0.4:
            world.cut = lambda a, b: False
        elif draw < 0.5:
            world.loss = rng.choice((0.0, 0.1, 0.3))
        elif draw < 0.65 and placer in world.members and placer not in world.stopped:
            world.stop(placer, rng.randrange(20 * SECOND))
        elif draw < 0.75 and placer in world.members:
            world.kill(placer)
        elif draw < 0.82:
            world.kill_region(faulty_region, rng.random() < 0.5)
        elif draw < 0.88:
            machine = world.machines[f"m-{placer}"]
            if machine.up:
                machine.restart(world.now_us)
        else:
            for region in regions:
                world.restart_region(region)
        world.run(world.now_us + rng.randrange(6 * SECOND))
    world.cut, world.loss = (lambda a, b: False), 0.0
    for region in regions:
        world.restart_region(region)
    world.run(world.now_us + 3 * reissue_bound_us(500))
    return world
