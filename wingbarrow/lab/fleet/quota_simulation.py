"""Simulation of quota allocations on a virtual clock: placers start the tasks that their quotas allow; all are counted.

Both limits (tasks at once, and starts within a window) are checked against all running tasks every `STEP_US`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import replace

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.settings import LocalPlacer
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.ruleset import RuleSet, normalized
from wingbarrow.lab.fleet.coordination_simulation import CoordinationSimulation
from wingbarrow.lab.fleet.fault_schedules import rules
from wingbarrow.lab.fleet.simulation import SECOND

STEP_US = 20_000
STRANDED_US = 10 * SECOND  # how long allocations of a killed placer still count
WINDOW_US = 5 * SECOND
# Shorter than STRANDED_US: a task ends before the quota that a killed placer held is allocated again.
TASK_DURATION_RANGE_US = (2 * SECOND, 8 * SECOND)
STANDING_KEY, RATE_KEY = "namespace/shop/standing", "class/web/rate"


def rules_with_limits(names: list[str], max_standing: int, max_rate: int) -> RuleSet:
    """A rule set with one `standing` and one `rate` limit, shared by the placers in `names`."""
    among = tuple(names)
    return normalized(
        replace(
            rules(len(names)),
            limits=(
                FleetLimit("namespace", "shop", "standing", max_standing, 0, STRANDED_US, among),
                FleetLimit("class", "web", "rate", max_rate, WINDOW_US, STRANDED_US, among),
            ),
        )
    )


class QuotaSimulation(CoordinationSimulation):
    """Runs `count` placers with a quota ledger each and counts breaches of the limits.

    `demand` gives the tasks per second of each placer; `max_standing` limits the tasks at once, `max_rate` the starts
    within `WINDOW_US`. `violations` counts the breaches seen; `task_steps` sums the running tasks over `steps`.
    """

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        demand: list[float],
        max_standing: int,
        max_rate: int,
    ) -> None:
        self.load_random = random.Random(f"load/{seed}")
        self.tasks: dict[str, list[int]] = {}
        self.orphans: list[int] = []  # end times of tasks whose placers were killed
        self.recent_starts: deque[int] = deque()
        self.max_standing, self.max_rate = max_standing, max_rate
        self.requested = self.started = self.violations = self.steps = self.task_steps = 0
        super().__init__(count, voters, seed)
        self.demand = dict(zip(self.names, demand, strict=True))
        self.at(0, self._step)

    def local(self, name: str) -> LocalPlacer:
        """The placer with its incarnation, which the quota ledger needs."""
        return LocalPlacer(name, self.incarnations[name])

    def make(self, name: str, now_us: int) -> Coordinator:
        """Create a coordinator whose quota ledger counts the tasks of this placer."""
        made = super().make(name, now_us)
        self.orphans += self.tasks.pop(name, [])
        self.tasks[name] = []
        made.quotas.in_use = lambda key: len(self.tasks.get(name, ())) if key == STANDING_KEY else 0
        return made

    def kill(self, name: str) -> None:
        """Kill a placer; its tasks keep running as orphans until they end."""
        super().kill(name)
        self.orphans += self.tasks.pop(name, [])

    def _step(self) -> None:
        now = self.now_us
        self.orphans = [end for end in self.orphans if end > now]
        for name in self.tasks:
            self.tasks[name] = [end for end in self.tasks[name] if end > now]
        for name, member in list(self.members.items()):
            if (
                name not in self.stopped
                and self.load_random.random() < self.demand[name] * STEP_US / SECOND
            ):
                self._try_start(name, member)
        while self.recent_starts and self.recent_starts[0] <= now - WINDOW_US:
            self.recent_starts.popleft()
        running = sum(map(len, self.tasks.values())) + len(self.orphans)
        self.steps, self.task_steps = self.steps + 1, self.task_steps + running
        self.violations += (running > self.max_standing) + (len(self.recent_starts) > self.max_rate)
        self.at(now + STEP_US, self._step)

    def _try_start(self, name: str, member: Coordinator) -> None:
        local = self.clock_us(name)
        acting = member.rules_in_force(local)
        self.requested += 1
        if acting is None or not acting.revision or not member.quotas.limits:
            return
        allowed = [member.quotas.has_capacity(local, key, 1) for key in (STANDING_KEY, RATE_KEY)]
        if all(allowed):
            member.quotas.record_use(local, RATE_KEY, 1)
            self.tasks[name].append(
                self.now_us + self.load_random.randrange(*TASK_DURATION_RANGE_US)
            )
            self.recent_starts.append(self.now_us)
            self.started += 1

    def reset_counts(self) -> None:
        """Set the counters of use to zero; `violations` is kept."""
        self.requested = self.started = self.steps = self.task_steps = 0


class CentralCounter:
    """Upper bound on the use of the standing limit: one central counter, read at no cost, under the same faults.

    A placer starts tasks while it reaches a majority of voters in both directions. Tasks of a killed placer count
    for `STRANDED_US`, as nobody knows when they end. Demand has the same rate, from a random stream of its own.
    """

    def __init__(self, simulation: QuotaSimulation, seed: int) -> None:
        self._simulation, self._random = simulation, random.Random(f"reach/{seed}")
        self._incarnations = dict(simulation.incarnations)
        self.tasks: dict[str, list[int]] = {
            name: list(ends) for name, ends in simulation.tasks.items()
        }
        self._unexpired: list[tuple[int, list[int]]] = []
        self.task_steps = self.steps = 0
        simulation.at(simulation.now_us, self._step)

    def _step(self) -> None:
        simulation, now = self._simulation, self._simulation.now_us
        self._unexpired = [each for each in self._unexpired if each[0] > now]
        for name in simulation.names:
            if self.tasks.get(name) and (
                name not in simulation.members
                or simulation.incarnations[name] != self._incarnations[name]
            ):
                self._unexpired.append((now + STRANDED_US, self.tasks.pop(name)))
            self._incarnations[name] = simulation.incarnations[name]
            self.tasks[name] = [end for end in self.tasks.get(name, ()) if end > now]
        counts = sum(map(len, self.tasks.values())) + sum(len(ends) for _, ends in self._unexpired)
        for name in simulation.names:
            if (
                self._random.random() < simulation.demand[name] * STEP_US / SECOND
                and counts < simulation.max_standing
                and self._in_touch(name)
            ):
                self.tasks[name].append(now + self._random.randrange(*TASK_DURATION_RANGE_US))
                counts += 1
        running = sum(
            end > now
            for ends in (*self.tasks.values(), *(each for _, each in self._unexpired))
            for end in ends
        )
        self.task_steps, self.steps = self.task_steps + running, self.steps + 1
        simulation.at(now + STEP_US, self._step)

    def _in_touch(self, name: str) -> bool:
        simulation = self._simulation
        runs = simulation.members.keys() - simulation.stopped.keys()
        reachable = sum(
            each == name
            or (each in runs and not simulation.cut(name, each) and not simulation.cut(each, name))
            for each in simulation.voters
        )
        return name in runs and 2 * reachable > len(simulation.voters)


def inject_faults(simulation: QuotaSimulation, seed: int, fault_count: int = 20) -> Iterator[None]:
    """Inject partitions (also one-way), loss, duplicate messages, pauses, kills and restarts, then heal all.

    Yields after each of the `fault_count` faults and once after 30 s without faults.
    """
    rng = random.Random(f"trouble/{seed}")
    simulation.duplication = 0.1
    for _ in range(fault_count):
        simulation.run(simulation.now_us + rng.randrange(4 * SECOND))
        fault, target = rng.random(), rng.choice(simulation.names)
        if fault < 0.25:
            side, one_way = (
                set(rng.sample(simulation.names, rng.randrange(1, len(simulation.names)))),
                rng.random() < 0.4,
            )
            simulation.cut = lambda a, b, side=side, one=one_way: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif fault < 0.4:
            simulation.cut = lambda a, b: False
        elif fault < 0.5:
            simulation.loss = rng.choice((0.0, 0.1, 0.3))
        elif fault < 0.65 and target in simulation.members and target not in simulation.stopped:
            simulation.stop(target, rng.randrange(5 * SECOND))
        elif fault < 0.8 and target in simulation.members and len(simulation.members) > 1:
            simulation.kill(target)
        else:
            for name in sorted(set(simulation.names) - set(simulation.members)):
                simulation.start(name)
        yield
    simulation.cut, simulation.loss = (lambda a, b: False), 0.0
    for name in sorted(set(simulation.names) - set(simulation.members)):
        simulation.start(name)
    simulation.run(simulation.now_us + 30 * SECOND)
    yield
