"""Generated plays of turns on the virtual clock: requests, workers, lost machines, cuts, stops, kills; judged."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from wingbarrow.decide.rulesets.agreed_drains import DrainPlan
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.fleet.fault_schedules import FLOOR, rules
from wingbarrow.lab.fleet.maintenance_simulation import WORKER_LEASE_US, MaintenanceSimulation
from wingbarrow.lab.fleet.simulation import SECOND
from wingbarrow.lab.fleet.workjudge import Judge, Verdict

MOST_CELL, MOST_ALL = 1, 3
KNOWN_US = 5 * SECOND  # a loss is known by then to whoever leads and hears the region's teller


@dataclass(frozen=True, slots=True)
class Size:
    """Of a play."""

    placers: int = 5
    voters: int = 3
    regions: int = 1
    machines: int = 8  # of each region
    seconds: int = 60


def budgeted() -> RuleSet:
    """Rules under which one machine of each cell may be out, and three of all."""
    plan = DrainPlan(budgets=(("all", "max", float(MOST_ALL)), ("cell", "max", float(MOST_CELL))))
    return replace(rules(), plan=plan)


def opened(size: Size, seed: int, loss: float = 0.0) -> MaintenanceSimulation:
    """A workshop whose placers act on their first rules."""
    shop = MaintenanceSimulation(size.placers, size.voters, seed, size.regions, size.machines, loss)
    if not shop.run_until(lambda: shop.leader() is not None, 20 * SECOND):
        raise AssertionError("nobody leads")
    shop.propose(budgeted())
    if not shop.run_until(lambda: shop.all_on(budgeted()), 20 * SECOND):
        raise AssertionError("not all act on the first rules")
    return shop


def judged(shop: MaintenanceSimulation) -> Verdict:
    """The verdict over all so far."""
    cells = {
        each.name: f"{each.region}/{each.zone}/{each.cell}"
        for each in shop.machines_by_name.values()
    }
    return Judge(MOST_CELL, MOST_ALL, cells, shop.outages, KNOWN_US).judge(
        shop.changes, shop.work_samples
    )


def play(seed: int, size: Size = Size()) -> tuple[MaintenanceSimulation, Verdict]:
    """One play from a seed: the workshop at its end, and the verdict."""
    shop, rng = (
        opened(size, seed, loss=random.Random(f"loss/{seed}").choice((0.0, 0.02, 0.1))),
        random.Random(seed),
    )
    if rng.random() < 0.5:
        shop.lower_floor(FLOOR, 30 * SECOND, "floor")
    workers: set[int] = set()

    def workers_come() -> None:
        for turn in list(shop._slots.values()):
            if turn.state == "out" and turn.number not in workers:
                workers.add(turn.number)
                shop.start_operator(
                    turn.number, SECOND + rng.randrange(3 * SECOND), rng.random() < 0.2
                )
        give_back()
        shop.at(shop.now_us + SECOND // 2, workers_come)

    def give_back() -> None:
        """The operator takes back what is silent, and now and then what waits."""
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

    shop.at(shop.now_us, workers_come)
    end = shop.now_us + size.seconds * SECOND
    while shop.now_us < end:
        shop.run(min(end, shop.now_us + rng.randrange(2 * SECOND)))
        _happens(shop, rng)
    shop.cut = lambda a, b: False
    for name in shop.names:
        if name not in shop.members:
            shop.start(name)
    shop.run(shop.now_us + 20 * SECOND + 3 * WORKER_LEASE_US)
    return shop, judged(shop)


def _happens(shop: MaintenanceSimulation, rng: random.Random) -> None:
    what, name = rng.random(), rng.choice(shop.names)
    if what < 0.4:
        several = rng.random() < 0.3
        for machine in (
            list(shop.machines_by_name) if several else [rng.choice(list(shop.machines_by_name))]
        ):
            shop.request_slot(
                machine, rng.randrange(10), rng.choice(("w", "")), rng.randrange(SECOND, 4 * SECOND)
            )
    elif what < 0.5:
        shop.fail_machine(rng.choice(list(shop.machines_by_name)), rng.randrange(8 * SECOND))
    elif what < 0.6:
        side = set(rng.sample(shop.names, rng.randrange(1, len(shop.names))))
        one_way = rng.random() < 0.4
        shop.cut = lambda a, b: (a in side and b not in side) or (
            not one_way and b in side and a not in side
        )
    elif what < 0.75:
        shop.cut = lambda a, b: False
    elif what < 0.85 and name in shop.members and name not in shop.stopped:
        shop.stop(name, rng.randrange(4 * SECOND))
    elif what < 0.92 and name in shop.members and name not in shop.stopped:
        shop.kill(name)
        shop.at(
            shop.now_us + rng.randrange(5 * SECOND),
            lambda: None if name in shop.members else shop.start(name),
        )
    elif what < 0.95:
        shop.duplication = rng.choice((0.0, 0.2))
