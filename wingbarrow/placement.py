"""Choice of a machine: the bounds of the five rules, the candidates of REM, and the task that REM moves."""

import random
from collections import Counter
from itertools import islice

from wingbarrow import interface as api
from wingbarrow.machine_state import (
    ALL_CLASSES,
    DEFAULT_REMAINING_US,
    FOREVER_US,
    LEAST_LOADED_COUNT,
    FleetState,
    Machine,
    Task,
)

# REM's thresholds of the load l, as shares of the limit L that a machine can serve, and its top probability.
R_MIN = 0.85
R_MAX = 1.05
P_MAX = 0.8
# Highest use that a bind may lead to, as shares of a machine: above, service degrades or tasks are evicted.
MAX_CORE_USE = 0.9
MAX_MEMORY_USE = 0.86
# The same limits where no machine fits within the ones above; a class bears this share of its fade range.
TIGHT_CORE_USE = 1.1
TIGHT_FADE_SHARE = 0.4
TIGHT_MEMORY_USE = 0.93
# Machines that all placers prefer for a service, so that its program is found warm there.
PREFERRED_MACHINES = 1
# Limit of own starts in progress on a machine: START_LIMIT, or a placer's part of SHARED_START_LIMIT if more.
START_LIMIT = 4
SHARED_START_LIMIT = 8
WARM_START_FACTOR = 4  # times as many where the program is warm
SWEEP_INTERVAL_US = 40_000  # pending tasks are tried again after this interval
MIN_MOVE_MARGIN_US = 4_000_000  # a task that started, or will end, within this time is not moved


def _scope_id(listed: api.ListedMachine, scope: api.Place) -> object:
    """Which machine, cell or zone of this scope the machine is in; None for a scope that has no parts."""
    return {
        api.Place.MACHINE: listed.machine,
        api.Place.CELL: listed.cell,
        api.Place.ZONE: listed.zone,
    }.get(scope)


class MachineSelector:
    """Selects machines for tasks, and tasks to move, from the known state of the fleet."""

    def __init__(self, fleet: FleetState, rng: random.Random) -> None:
        self._fleet = fleet
        self._random = rng
        self.started_us = -1  # when this placer started; set with the saved list
        self._spread: Counter[tuple[str, object]] = Counter()
        self._closing_us: dict[int, int] = {}  # when a machine's work is planned to end
        # When a shape (class, cores, memory) last fitted on no machine.
        self._no_fit_us: dict[tuple[str, float, float], int] = {}
        self.blocked_classes = set[str]()  # classes for which no machine accepts another start

    def select(self, task: Task) -> Machine | None:
        """REM's choice: a random one of the three least loaded candidates, or None."""
        candidates = sorted(self._candidates(task), key=self._fleet.load)[:LEAST_LOADED_COUNT]
        return self._random.choice(candidates) if candidates else None

    def _candidates(self, task: Task) -> list[Machine]:
        """The machines that REM chooses from: allowed and fitting, those with a warm program preferred."""
        fleet, service = self._fleet, task.arrival.service
        shape = task.task_class.name, task.arrival.cores, task.arrival.memory
        if (
            fleet.now_us - self._no_fit_us.get(shape, -SWEEP_INTERVAL_US) < SWEEP_INTERVAL_US
            or task.task_class.name in self.blocked_classes
        ):
            return []
        start_limit = max(START_LIMIT, SHARED_START_LIMIT // fleet.settings.placers)
        tight_core_use = max(
            TIGHT_CORE_USE, task.task_class.calm + TIGHT_FADE_SHARE * task.task_class.fade
        )
        usual = (MAX_CORE_USE, MAX_MEMORY_USE)
        not_accepting, any_allowed = set[int](), False

        def is_suitable(
            m: Machine, active_only: bool, core_use: float, memory_use: float, factor: int = 1
        ) -> bool:
            nonlocal any_allowed
            if (
                m.unavailable
                or m.pending_starts >= start_limit * factor
                or not self._backoff_allows(m, task.task_class.name)
            ):
                not_accepting.add(m.listed.machine)
            elif self.may_bind(task, m):
                any_allowed = True
                return (m.active or not active_only) and fleet.fits(task, m, core_use, memory_use)
            return False

        warm = [
            m
            for m in map(fleet.machines.get, fleet.warm_machines.get(service, ()))
            if m and m.warm_until_us.get(service, 0) > fleet.now_us
        ]
        # Only few machines are examined. Warm ones also outside the active set: a cold start costs more.
        for tier in ((True, *usual), (False, *usual), (False, tight_core_use, TIGHT_MEMORY_USE)):
            found = [
                m for m in warm if is_suitable(m, False, *tier[1:], WARM_START_FACTOR)
            ] or list(
                islice(
                    (m for m in fleet.ranked_machines(service) if is_suitable(m, *tier)),
                    PREFERRED_MACHINES,
                )
            )
            if found:
                return found
        if any_allowed:
            self._no_fit_us[shape] = fleet.now_us
        elif len(not_accepting) == len(fleet.machines):
            # Danger: when all machines are at their limit of starts, each pending task would examine all of
            # them at each sweep, and final answers would be late. Until a start ends, none can be found.
            self.blocked_classes.add(task.task_class.name)
        return []

    def _backoff_allows(self, machine: Machine, class_name: str) -> bool:
        """Whether no backoff runs; after one has expired, one start at a time until one succeeds."""
        backoffs = (
            [machine.backoffs[key] for key in (ALL_CLASSES, class_name) if key in machine.backoffs]
            if machine.backoffs
            else ()
        )
        return all(
            self._fleet.now_us >= until_us and not machine.pending_starts
            for _, until_us in backoffs
        )

    def may_bind(self, task: Task, machine: Machine) -> bool:
        """Whether the five rules, the class's machine kind and planned closings allow an attempt now."""
        settings, now_us = self._fleet.settings, self._fleet.now_us
        task_class, listed = task.task_class, machine.listed
        # Rule 3. Danger: a task bound to a draining or removed machine. Binding ends at once, not only when
        # the grace period has passed.
        if machine.unavailable or task_class.kind not in (None, listed.kind):
            return False
        # Danger: a planned closing would cut off a long task; short ones still end before it.
        left_us = task.arrival.remaining_us or DEFAULT_REMAINING_US
        if self._closing_us and now_us + left_us > self._closing_us.get(listed.machine, FOREVER_US):
            return False
        # Rule 1. Danger: an offer after the deadline. Rule 2. Danger: a second attempt while one is open.
        if (
            task.open_attempt is not None
            or task.placed
            or task.attempts >= settings.attempts_most
            or now_us >= task.answer_due_us
        ):
            return False
        # Rule 2. Danger: a second start of a task that may already be running.
        if task.possible_run is not None and task_class.effect is not api.Effect.SAFE:
            first_us, first = task.possible_run
            if (
                task_class.effect is api.Effect.UNSAFE
                or now_us >= first_us + task_class.window_us - settings.tick_us
                or _scope_id(first, task_class.group) != _scope_id(listed, task_class.group)
            ):
                return False
        # Rule 4. Danger: all placers together overload a cold machine; each sends its share of the offers.
        if self._fleet.is_cold(machine):
            # A quarter longer than the rule's window, since offers take time to arrive. For one window after
            # its own start, a placer counts its share as spent, since it does not know what it sent before.
            window_us = settings.fall_us * 5 // 4
            while machine.cold_offers and machine.cold_offers[0] <= now_us - window_us:
                machine.cold_offers.popleft()
            share, remainder = divmod(int(settings.fresh_offers), settings.placers)
            turn = (settings.index + listed.machine) % settings.placers
            # Danger: offers that wait unread at a stalled machine arrive all at once when it resumes.
            if (
                len(machine.cold_offers) + len(machine.unconfirmed_offers)
                >= share + (turn < remainder)
                or now_us < self.started_us + window_us
            ):
                return False
        # Rule 5. Danger: a single failure takes down too many tasks of one service.
        return (
            task_class.spread is api.Place.NONE
            or self._spread[self._spread_key(task, machine)] < task_class.spread_most
        )

    def _spread_key(self, task: Task, machine: Machine) -> tuple[str, object]:
        return task.arrival.service, _scope_id(machine.listed, task.task_class.spread)

    def count_spread(self, task: Task, machine: Machine, change: int) -> None:
        """Add `change` to the number of tasks of the service in the machine's spread scope (rule 5)."""
        key = self._spread_key(task, machine)
        self._spread[key] += change
        if not self._spread[key]:  # entries without tasks would accumulate over many services
            del self._spread[key]

    def select_move(self, machine: Machine) -> Task | None:
        """REM: the own task to migrate off the machine that was just bound to, or None.

        For the load l over L, the probability is 0 below R_MIN, rises linearly towards P_MAX at R_MAX, and
        is 1 at and above R_MAX. A task moves only if it fits on another machine whose load is below R_MIN.
        """
        fleet, load = self._fleet, self._fleet.load(machine)
        probability = (
            0.0
            if load < R_MIN
            else 1.0
            if load >= R_MAX
            else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        )
        if self._random.random() >= probability:
            return None
        # Danger: a move starts its task a second time; a task that must never start twice is not moved.
        movable = [
            task
            for task in machine.own_tasks.values()
            if task.placed
            and task.task_class.effect is not api.Effect.UNSAFE
            and min(task.estimated_remaining_us(fleet.now_us), fleet.now_us - task.state_since_us)
            >= MIN_MOVE_MARGIN_US
        ]
        # Prefer the task that frees most (cores times time left) for the least worth that its restart loses.
        movable.sort(
            key=lambda t: -t.arrival.cores
            * t.estimated_remaining_us(fleet.now_us)
            / (t.task_class.worth + 0.1)
        )
        return next(
            (
                t
                for t in movable
                if any(
                    m is not machine
                    and not m.unavailable
                    and t.task_class.kind in (None, m.listed.kind)
                    and fleet.load(m) < R_MIN
                    and fleet.fits(t, m, MAX_CORE_USE, MAX_MEMORY_USE)
                    for m in fleet.machines.values()
                )
            ),
            None,
        )

    def on_planned(self, event: api.Planned) -> None:
        """Merge planned closings of machines; None takes one back."""
        closing_us = self._closing_us | dict(event.closes_us)
        self._closing_us = {
            machine: at_us for machine, at_us in closing_us.items() if at_us is not None
        }
        self._no_fit_us.clear()
