"""Plays of custody and reissue, from a seed: faults on regions, placers and mail, and the judge of what came of them.

The judge reads what machines recorded and what owners were told, and where the voters' stub ended sessions.
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
    """What was seen: breaches in words; figures; the longest from a region's loss to a safe run elsewhere."""

    breaches: tuple[str, ...]
    longest_us: int
    starts: int
    accepted: int
    reissued: int
    unknown: int


def judged(world: ReplicaSimulation) -> Verdict:
    """All that must never be, and how long what had to come took."""
    breaches: list[str] = []
    starts: dict[tuple[str, int], list[TaskStart]] = {}
    ended = {end.epoch: session for session, end in world.voters.ended.items()}
    for begin in world.begins:
        starts.setdefault((begin.uid, begin.index), []).append(begin)
        if begin.epoch and begin.epoch not in ended:
            breaches.append(f"reissued without an end: {begin}")
    for (uid, index), every in starts.items():
        effect = uid.partition("-")[0]
        if effect == "unsafe" and len(every) > 1:
            breaches.append(f"never twice, {len(every)} times: {uid}/{index}: {every}")
        if effect == "keyed":
            breaches += [
                f"a key twice in its window: {one}, {other}"
                for one, other in zip(every, every[1:], strict=False)
                if one.epoch != other.epoch and other.at_us - one.at_us < KEY_WINDOW_US
            ]
    longest = 0
    for at_us, uid, _, _ in world.reissued:
        taken_us, _, name = world.accepted.get(uid, (0, None, ""))
        lost_us = world.lost.get(world.regions.get(name, ""), 0)
        if uid.startswith("safe") and taken_us <= lost_us <= at_us:
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
    """Accepted safe Jobs that stand nowhere now, though somebody who knows of them was there all the time."""
    running = world.running()
    return sorted(
        uid
        for uid in world.accepted
        if uid.startswith("safe") and uid not in running | world.unrecoverable
    )


def forgotten(world: ReplicaSimulation) -> list[str]:
    """Accepted Jobs of other effects that did not start, and that nobody has or tells as unknown, likewise."""
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
    """Jobs at all placers, then a whole region is killed; time passes until all has to be well again."""
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
    """Loss of regions and returns, kills, stops, cuts, one-way cuts, lost and doubled mail, machines' restarts; then
    all heals."""
    world = world or ReplicaSimulation(seed, copies=copies)
    rng = random.Random(f"trouble/{seed}")
    world.duplication = 0.1
    regions = sorted(set(world.regions.values()))
    world.run(2 * SECOND)
    for _ in range(moments):
        for _ in range(rng.randrange(6)):
            world.submit_job(rng.choice(world.names), rng.choice(EFFECTS))
            world.run(world.now_us + rng.randrange(300_000))
        what, some, where = rng.random(), rng.choice(world.names), rng.choice(regions)
        if what < 0.15:
            side, one = (
                {name for name in world.names if world.regions[name] == where},
                rng.random() < 0.4,
            )
            world.cut = lambda a, b, side=side, one=one: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif what < 0.25:
            side, one = (
                set(rng.sample(world.names, rng.randrange(1, len(world.names)))),
                rng.random() < 0.4,
            )
            world.cut = lambda a, b, side=side, one=one: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif what < 0.4:
            world.cut = lambda a, b: False
        elif what < 0.5:
            world.loss = rng.choice((0.0, 0.1, 0.3))
        elif what < 0.65 and some in world.members and some not in world.stopped:
            world.stop(some, rng.randrange(20 * SECOND))
        elif what < 0.75 and some in world.members:
            world.kill(some)
        elif what < 0.82:
            world.kill_region(where, rng.random() < 0.5)
        elif what < 0.88:
            machine = world.machines[f"m-{some}"]
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
