"""Random maintenance scenarios on a virtual clock: requests, workers, lost machines, cuts, stops and kills; judged."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from wingbarrow.decide.rulesets.agreed_drains import DrainPlan
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.fault_schedules import FLOOR, rules
from wingbarrow.lab.fleet.maintenance_judge import Judge, Verdict
from wingbarrow.lab.fleet.maintenance_simulation import WORKER_LEASE_US, MaintenanceSimulation
from wingbarrow.lab.fleet.simulation import SECOND

MAX_OUT_PER_CELL = 1
MAX_OUT = 3  # of all machines
LOSS_REPORT_US = 5 * SECOND  # until a leader in touch with the region's reporter knows of a loss


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a scenario."""

    placers: int = 5
    voters: int = 3
    regions: int = 1
    machines: int = 8  # in each region
    seconds: int = 60


def budgeted() -> RuleSet:
    """Rules that let at most one machine of each cell, and three in all, be out."""
    plan = DrainPlan(
        budgets=(("all", "max", float(MAX_OUT)), ("cell", "max", float(MAX_OUT_PER_CELL)))
    )
    return replace(rules(), plan=plan)


def opened(size: Size, seed: int, loss: float = 0.0) -> MaintenanceSimulation:
    """A simulation whose placers all act on the first rules; raises AssertionError if they do not within 20 s each."""
    shop = MaintenanceSimulation(size.placers, size.voters, seed, size.regions, size.machines, loss)
    if not shop.run_until(lambda: shop.leader() is not None, 20 * SECOND):
        raise AssertionError("no leader elected within 20 s")
    shop.propose(budgeted())
    if not shop.run_until(lambda: shop.all_on(budgeted()), 20 * SECOND):
        raise AssertionError("not all placers act on the first rules within 20 s")
    return shop


def judged(shop: MaintenanceSimulation) -> Verdict:
    """The verdict on all that the simulation recorded so far."""
    cells = {
        each.name: f"{each.region}/{each.zone}/{each.cell}"
        for each in shop.machines_by_name.values()
    }
    return Judge(MAX_OUT_PER_CELL, MAX_OUT, cells, shop.outages, LOSS_REPORT_US).judge(
        shop.changes, shop.work_samples
    )


def play(seed: int, size: Size = Size()) -> tuple[MaintenanceSimulation, Verdict]:
    """Run one scenario from a seed; returns the simulation at its end, and the verdict."""
    shop, rng = (
        opened(size, seed, loss=random.Random(f"loss/{seed}").choice((0.0, 0.02, 0.1))),
        random.Random(seed),
    )
    if rng.random() < 0.5:
        shop.lower_floor(FLOOR, 30 * SECOND, "floor")
    workers: set[int] = set()

    def start_workers() -> None:
        for turn in list(shop._slots.values()):
            if turn.state == "out" and turn.number not in workers:
                workers.add(turn.number)
                shop.start_operator(
                    turn.number, SECOND + rng.randrange(3 * SECOND), rng.random() < 0.2
                )
        give_back_turns()
        shop.at(shop.now_us + SECOND // 2, start_workers)

    def give_back_turns() -> None:
        """An operator gives back turns of silent workers, and sometimes turns that still wait."""
        leader = shop.leader()
        if leader is None:
            return
        chapter, now = shop.schedulers[leader], shop.clock_us(leader)
        silent = [*chapter.lapsed_operator_slots(now)]
        waiting = [
            each.number for each in chapter.queue.live() if each.state in ("queued", "closing")
        ]
        if silent and rng.random() < 0.3:
            shop.propose_entry(leader, "give-back", {"number": rng.choice(silent)})
        elif waiting and rng.random() < 0.03:
            shop.propose_entry(leader, "give-back", {"number": rng.choice(waiting)})

    shop.at(shop.now_us, start_workers)
    end = shop.now_us + size.seconds * SECOND
    while shop.now_us < end:
        shop.run(min(end, shop.now_us + rng.randrange(2 * SECOND)))
        _random_event(shop, rng)
    shop.cut = lambda a, b: False
    for name in shop.names:
        if name not in shop.members:
            shop.start(name)
    shop.run(shop.now_us + 20 * SECOND + 3 * WORKER_LEASE_US)
    return shop, judged(shop)


def _random_event(shop: MaintenanceSimulation, rng: random.Random) -> None:
    draw, name = rng.random(), rng.choice(shop.names)
    if draw < 0.4:
        several = rng.random() < 0.3
        for machine in (
            list(shop.machines_by_name) if several else [rng.choice(list(shop.machines_by_name))]
        ):
            shop.request_slot(
                machine, rng.randrange(10), rng.choice(("w", "")), rng.randrange(SECOND, 4 * SECOND)
            )
    elif draw < 0.5:
        shop.fail_machine(rng.choice(list(shop.machines_by_name)), rng.randrange(8 * SECOND))
    elif draw < 0.6:
        side = set(rng.sample(shop.names, rng.randrange(1, len(shop.names))))
        one_way = rng.random() < 0.4
        shop.cut = lambda a, b: (a in side and b not in side) or (
            not one_way and b in side and a not in side
        )
    elif draw < 0.75:
        shop.cut = lambda a, b: False
    elif draw < 0.85 and name in shop.members and name not in shop.stopped:
        shop.stop(name, rng.randrange(4 * SECOND))
    elif draw < 0.92 and name in shop.members and name not in shop.stopped:
        shop.kill(name)
        shop.at(
            shop.now_us + rng.randrange(5 * SECOND),
            lambda: None if name in shop.members else shop.start(name),
        )
    elif draw < 0.95:
        shop.duplication = rng.choice((0.0, 0.2))
