"""Holders of limits by the hundred on a virtual clock: each starts what it may, and all that runs is counted."""

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
from wingbarrow.lab.fleet.schedules import rules
from wingbarrow.lab.fleet.simulation import SECOND

TURN_US = 20_000
STRANDED_US, WINDOW_US = 10 * SECOND, 5 * SECOND
LIFE_US = (2 * SECOND, 8 * SECOND)  # of a task; ends before what its placer held comes free
STANDING, RATE = "namespace/shop/standing", "class/web/rate"


def limited(names: list[str], most: int, rate: int) -> RuleSet:
    """Rules with one limit of each kind."""
    among = tuple(names)
    return normalized(
        replace(
            rules(len(names)),
            limits=(
                FleetLimit("namespace", "shop", "standing", most, 0, STRANDED_US, among),
                FleetLimit("class", "web", "rate", rate, WINDOW_US, STRANDED_US, among),
            ),
        )
    )


class Holders(CoordinationSimulation):
    """`demand` is in tasks a second for each placer; `most` and `rate` are the limits."""

    def __init__(
        self, count: int, voters: int, seed: int, demand: list[float], most: int, rate: int
    ) -> None:
        self.load = random.Random(f"load/{seed}")
        self.tasks: dict[str, list[int]] = {}
        self.orphans: list[int] = []  # ends of tasks whose placers are gone
        self.begun: deque[int] = deque()
        self.most, self.rate = most, rate
        self.wanted = self.started = self.over = self.turns = self.filled = 0
        super().__init__(count, voters, seed)
        self.demand = dict(zip(self.names, demand, strict=True))
        self.at(0, self._turn)

    def local(self, name: str) -> LocalPlacer:
        """Its account of limits needs its incarnation."""
        return LocalPlacer(name, self.incarnations[name])

    def make(self, name: str, now_us: int) -> Coordinator:
        """An agreement that counts its placer's tasks."""
        made = super().make(name, now_us)
        self.orphans += self.tasks.pop(name, [])
        self.tasks[name] = []
        made.quotas.in_use = lambda key: len(self.tasks.get(name, ())) if key == STANDING else 0
        return made

    def kill(self, name: str) -> None:
        """What it ran goes on."""
        super().kill(name)
        self.orphans += self.tasks.pop(name, [])

    def _turn(self) -> None:
        now = self.now_us
        self.orphans = [end for end in self.orphans if end > now]
        for name in self.tasks:
            self.tasks[name] = [end for end in self.tasks[name] if end > now]
        for name, member in list(self.members.items()):
            if (
                name not in self.stopped
                and self.load.random() < self.demand[name] * TURN_US / SECOND
            ):
                self._want(name, member)
        while self.begun and self.begun[0] <= now - WINDOW_US:
            self.begun.popleft()
        running = sum(map(len, self.tasks.values())) + len(self.orphans)
        self.turns, self.filled = self.turns + 1, self.filled + running
        self.over += (running > self.most) + (len(self.begun) > self.rate)
        self.at(now + TURN_US, self._turn)

    def _want(self, name: str, member: Coordinator) -> None:
        local = self.clock_us(name)
        acting = member.rules_in_force(local)
        self.wanted += 1
        if acting is None or not acting.revision or not member.quotas.limits:
            return
        allowed = [member.quotas.has_capacity(local, key, 1) for key in (STANDING, RATE)]
        if all(allowed):
            member.quotas.record_use(local, RATE, 1)
            self.tasks[name].append(self.now_us + self.load.randrange(*LIFE_US))
            self.begun.append(self.now_us)
            self.started += 1

    def clear(self) -> None:
        """Count anew from here."""
        self.wanted = self.started = self.turns = self.filled = 0


class Reach:
    """What one counter for all would carry through the same trouble, asked at no cost: the bound for any way.

    A placer starts tasks while a majority of voters is in touch with it, both ways; what a killed one ran counts until
    nobody can have it in use, as nobody knows when it ends. Only the standing limit; the same demand, drawn anew.
    """

    def __init__(self, holders: Holders, seed: int) -> None:
        self._of, self._load = holders, random.Random(f"reach/{seed}")
        self._lives = dict(holders.incarnations)
        self.tasks: dict[str, list[int]] = {
            name: list(ends) for name, ends in holders.tasks.items()
        }
        self._debts: list[tuple[int, list[int]]] = []
        self.filled = self.turns = 0
        holders.at(holders.now_us, self._turn)

    def _turn(self) -> None:
        of, now = self._of, self._of.now_us
        self._debts = [each for each in self._debts if each[0] > now]
        for name in of.names:
            if self.tasks.get(name) and (
                name not in of.members or of.incarnations[name] != self._lives[name]
            ):
                self._debts.append((now + STRANDED_US, self.tasks.pop(name)))
            self._lives[name] = of.incarnations[name]
            self.tasks[name] = [end for end in self.tasks.get(name, ()) if end > now]
        counts = sum(map(len, self.tasks.values())) + sum(len(ends) for _, ends in self._debts)
        for name in of.names:
            if (
                self._load.random() < of.demand[name] * TURN_US / SECOND
                and counts < of.most
                and self._in_touch(name)
            ):
                self.tasks[name].append(now + self._load.randrange(*LIFE_US))
                counts += 1
        running = sum(
            end > now
            for ends in (*self.tasks.values(), *(each for _, each in self._debts))
            for end in ends
        )
        self.filled, self.turns = self.filled + running, self.turns + 1
        of.at(now + TURN_US, self._turn)

    def _in_touch(self, name: str) -> bool:
        of = self._of
        runs = of.members.keys() - of.stopped.keys()
        heard = sum(
            each == name or (each in runs and not of.cut(name, each) and not of.cut(each, name))
            for each in of.voters
        )
        return name in runs and 2 * heard > len(of.voters)


def trouble(holders: Holders, seed: int, moments: int = 20) -> Iterator[None]:
    """Cuts, one-way cuts, loss, doubled mail, stops, kills and returns, one after the other; then all heals."""
    rng = random.Random(f"trouble/{seed}")
    holders.duplication = 0.1
    for _ in range(moments):
        holders.run(holders.now_us + rng.randrange(4 * SECOND))
        what, some = rng.random(), rng.choice(holders.names)
        if what < 0.25:
            side, one_way = (
                set(rng.sample(holders.names, rng.randrange(1, len(holders.names)))),
                rng.random() < 0.4,
            )
            holders.cut = lambda a, b, side=side, one=one_way: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif what < 0.4:
            holders.cut = lambda a, b: False
        elif what < 0.5:
            holders.loss = rng.choice((0.0, 0.1, 0.3))
        elif what < 0.65 and some in holders.members and some not in holders.stopped:
            holders.stop(some, rng.randrange(5 * SECOND))
        elif what < 0.8 and some in holders.members and len(holders.members) > 1:
            holders.kill(some)
        else:
            for name in sorted(set(holders.names) - set(holders.members)):
                holders.start(name)
        yield
    holders.cut, holders.loss = (lambda a, b: False), 0.0
    for name in sorted(set(holders.names) - set(holders.members)):
        holders.start(name)
    holders.run(holders.now_us + 30 * SECOND)
    yield
