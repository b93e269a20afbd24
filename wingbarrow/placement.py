"""Where a task may go and where it goes: the five rules' bounds, REM's candidates, what REM moves."""

import random
from collections import Counter
from itertools import islice

from wingbarrow import interface as api
from wingbarrow.machine_state import (
    FOREVER_US,
    LEAST_LOADED,
    LEFT_UNTOLD_US,
    WHOLE,
    Fleet,
    Machine,
    Task,
)

R_MIN, R_MAX, P_MAX = (
    0.85,
    1.05,
    0.8,
)  # REM's thresholds as shares of L, what a machine can serve; top chance
FULL_CORES, FULL_MEMORY = (
    0.9,
    0.86,
)  # use a bind may lead to: above, service fades or tasks are evicted
TIGHT_CORES, TIGHT_FADE, TIGHT_MEMORY = (
    1.1,
    0.4,
    0.93,
)  # once nothing else fits; part of a fade that is borne
HOMES = 1  # machines that all placers prefer for a service, so that its program is found warm there
MAX_STARTS, STARTS_SHARED, WARM_TIMES = (
    4,
    8,
    4,
)  # own starts out on a machine; few share it; times if warm
SWEEP_US, MOVE_REST_US = (
    40_000,
    4_000_000,
)  # held are tried again; who began, or ends, so soon stays


def _place(at: api.ListedMachine, scope: api.Place) -> object:
    return {api.Place.MACHINE: at.machine, api.Place.CELL: at.cell, api.Place.ZONE: at.zone}.get(
        scope
    )


class Choice:
    """REM's choices over what the fleet is known to be."""

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        self._fleet, self._random, self.born_us = fleet, chance, -1
        self._spread: Counter[tuple[str, object]] = Counter()
        self._closes: dict[int, int] = {}  # machines planned to close, and when
        self._no_room: dict[tuple[str, float, float], int] = {}  # when a shape last found no room
        self.busy = set[str]()  # classes without a start

    def pick(self, task: Task) -> Machine | None:
        """REM's ordinary path: a random pick of the three least loaded candidates."""
        candidates = sorted(self._candidates(task), key=self._fleet.load)[:LEAST_LOADED]
        return self._random.choice(candidates) if candidates else None

    def _candidates(self, task: Task) -> list[Machine]:
        """The machines among which REM picks: allowed and fitting, narrowed to where the program is warm."""
        fleet, service = self._fleet, task.arrival.service
        shape = task.cls.name, task.arrival.cores, task.arrival.memory
        if fleet.now - self._no_room.get(shape, -SWEEP_US) < SWEEP_US or task.cls.name in self.busy:
            return []
        starts = max(MAX_STARTS, STARTS_SHARED // fleet.settings.placers)
        tight = max(TIGHT_CORES, task.cls.calm + TIGHT_FADE * task.cls.fade)
        full, shut, allowed = (FULL_CORES, FULL_MEMORY), set[int](), False

        def suits(m: Machine, active: bool, cores: float, memory: float, times: int = 1) -> bool:
            nonlocal allowed
            if m.gone or m.starts >= starts * times or not self._trusts(m, task.cls.name):
                shut.add(m.listed.machine)
            elif self.may_bind(task, m):
                allowed = True
                return (m.active or not active) and fleet.fits(task, m, cores, memory)
            return False

        holds = [
            m
            for m in map(fleet.machines.get, fleet.warm_at.get(service, ()))
            if m and m.warm.get(service, 0) > fleet.now
        ]
        # Few machines are looked at. Warm ones also beyond what the load needs: a cold start costs more.
        for tier in ((True, *full), (False, *full), (False, tight, TIGHT_MEMORY)):
            found = [m for m in holds if suits(m, False, *tier[1:], WARM_TIMES)] or list(
                islice((m for m in fleet.ranked(service) if suits(m, *tier)), HOMES)
            )
            if found:
                return found
        if allowed:
            self._no_room[shape] = fleet.now
        elif len(shut) == len(fleet.machines):
            # Danger: past what machines start, each held task would look at all of them at each sweep, and
            # what is owed would come late. Until a start ends there is nothing to be found.
            self.busy.add(task.cls.name)
        return []

    def _trusts(self, machine: Machine, name: str) -> bool:
        """Whether no rest runs; one just over admits a single task, until it proves itself."""
        rests = (
            [machine.rests[key] for key in (WHOLE, name) if key in machine.rests]
            if machine.rests
            else ()
        )
        return all(self._fleet.now >= until_us and not machine.starts for _, until_us in rests)

    def may_bind(self, task: Task, machine: Machine) -> bool:
        rules, now, cls, listed = self._fleet.settings, self._fleet.now, task.cls, machine.listed
        # Rule 3. Danger: work sent to a machine that drains or is gone; stopped at once, not after the grace.
        if machine.gone or cls.kind not in (None, listed.kind):
            return False
        # Danger: a long task would be cut off by a planned window; short ones still end before it.
        left_us = task.arrival.remaining_us or LEFT_UNTOLD_US
        if self._closes and now + left_us > self._closes.get(listed.machine, FOREVER_US):
            return False
        # Rule 1. Danger: a send after the end. Rule 2. Danger: a second attempt while one is out.
        if (
            task.out is not None
            or task.placed
            or task.attempts >= rules.attempts_most
            or now >= task.due_us
        ):
            return False
        # Rule 2. Danger: a second start of what may already run.
        if task.maybe is not None and cls.effect is not api.Effect.SAFE:
            first_us, first = task.maybe
            if (
                cls.effect is api.Effect.UNSAFE
                or now >= first_us + cls.window_us - rules.tick_us
                or _place(first, cls.group) != _place(listed, cls.group)
            ):
                return False
        # Rule 4. Danger: all placers together push over a cold machine; each takes its part of the offers.
        if self._fleet.is_cold(machine):
            span = (
                rules.fall_us * 5 // 4
            )  # a quarter longer: offers travel; spent at one's own start
            while machine.offers and machine.offers[0] <= now - span:
                machine.offers.popleft()
            each, over = divmod(int(rules.fresh_offers), rules.placers)
            turn = (rules.index + listed.machine) % rules.placers
            # Danger: offers that wait unread at a machine that stands still come all at once when it goes on.
            if (
                len(machine.offers) + len(machine.unsure) >= each + (turn < over)
                or now < self.born_us + span
            ):
                return False
        # Rule 5. Danger: too many of one service where a single failure takes them all.
        return (
            cls.spread is api.Place.NONE
            or self._spread[self._spot(task, machine)] < cls.spread_most
        )

    def _spot(self, task: Task, machine: Machine) -> tuple[str, object]:
        return task.arrival.service, _place(machine.listed, task.cls.spread)

    def count(self, task: Task, machine: Machine, change: int) -> None:
        spot = self._spot(task, machine)
        self._spread[spot] += change
        if not self._spread[spot]:  # nothing is kept of services without tasks
            del self._spread[spot]

    def move_off(self, machine: Machine) -> Task | None:
        """REM: with the gated linear chance, an own task to move off the machine that was just bound to."""
        fleet, load = self._fleet, self._fleet.load(machine)
        chance = (
            0.0
            if load < R_MIN
            else 1.0
            if load >= R_MAX
            else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        )
        if self._random.random() >= chance:
            return None
        # Danger: a move starts its task a second time; what must never start twice stays where it is.
        movable = [
            task
            for task in machine.own.values()
            if task.placed
            and task.cls.effect is not api.Effect.UNSAFE
            and min(task.left_us(fleet.now), fleet.now - task.since_us) >= MOVE_REST_US
        ]
        # Which one: most relief (cores, and for how long) for the least worth that its restart loses.
        movable.sort(key=lambda t: -t.arrival.cores * t.left_us(fleet.now) / (t.cls.worth + 0.1))
        return next(
            (
                t
                for t in movable
                if any(
                    m is not machine
                    and not m.gone
                    and t.cls.kind in (None, m.listed.kind)
                    and fleet.load(m) < R_MIN
                    and fleet.fits(t, m, FULL_CORES, FULL_MEMORY)
                    for m in fleet.machines.values()
                )
            ),
            None,
        )

    def on_planned(self, event: api.Planned) -> None:
        closes = self._closes | dict(event.closes_us)
        self._closes = {machine: at_us for machine, at_us in closes.items() if at_us is not None}
        self._no_room.clear()
