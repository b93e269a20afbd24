"""All decisions of wingbarrow. Its types, settings, events and actions are in interface.py.

Random Early Migration (REM, Zhao and Kuo) decides the ordinary path: a task goes to a random one of the three
least loaded machines that fit, and each bind may move one own task off its machine, with a chance that grows
with the load between two thresholds. Everything else here keeps the rules, or keeps REM's view of load honest.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from math import isfinite

from wingbarrow.interface import (
    Abandon, Action, AttemptEnded, Bind, Discovery, Effect, Event, Fail, ListedMachine, ListForm, MachineList, Move,
    NoteKind, Outcome, Phase, Place, Probe, Probed, Reason, Refuse, Report, Reports, SetTimer, Settings, TaskArrived,
    TaskClass, TaskFound, TaskNote, TaskPlaced, TaskWithdrawn, TimerDue, WatchList,
)

SECOND = 1_000_000
R_MIN, R_MAX, P_MAX = 0.8, 1.0, 0.8  # REM's thresholds as shares of what a machine can serve, and its top chance
LEAST_LOADED = 3  # the design's pick among the three least loaded
FULL_CORES, FULL_MEMORY = 0.85, 0.88  # expected use a bind may lead to; above, service fades or tasks are evicted
TIGHT_CORES, TIGHT_MEMORY = 1.0, 0.95  # the same once nothing else fits
HOMES = 2  # machines that all placers prefer for a service, so that its program is found warm there
KEPT_PROGRAMS = 5  # programs trusted to stay warm on a machine after their last own task
FLEET_FILL = 0.75  # use that the machines in the candidate set are planned for where machines in use are priced
VIEW_LAG_US = 2_500_000  # the list is taken to tell of this long ago: own binds since then are added to it
USE_FRESH_US = 3 * SECOND  # a measured use counts this long; then asks times the usual ratio stand in
USE_PRIOR = 0.8  # share of the asked that tasks are taken to use before any note has come
SHUN_US, SHUN_MOST_US = 500_000, 8 * SECOND  # pause after a silent or broken machine; doubles up to the second
PENDING_MOST = 4  # own starts out on one machine at a time: more would only wait in its line
PROBE_POINTS = 0.003  # what probes may cost in all, as a share of the result
PROBE_EVERY_US = 1_500_000  # no machine is probed more often
SWEEP_US = 40_000  # held tasks are tried again this often
SWEEP_TRIES = 40  # at most so many per sweep, to bound the work
MOVE_REST_US = 4 * SECOND  # a task that began more lately, or has less to run, is not worth a restart
ASK_BACK_US = 400_000  # first pause after discovery failed; doubles, and stays well inside the 'deemed told' time
PROVEN_UNRUN = (Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(slots=True)
class _Task:
    """A request in this scheduler's care until it ends."""

    arrival: TaskArrived
    cls: TaskClass
    now_us: int
    attempts: int = 0
    out: int | None = None  # the attempt without an outcome
    machine: int | None = None
    placed: bool = False
    placed_us: int = 0
    moving: bool = False
    maybe_us: int | None = None  # send of the first attempt that may have run, and where
    maybe_at: int | None = None
    used: dict[NoteKind, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Machine:
    """What is known of a machine."""

    listed: ListedMachine
    cores: float
    memory: float
    told_gone_us: int | None = None
    asked: tuple[float, float] | None = None
    asked_us: int = -1
    used: tuple[float, float] | None = None
    used_us: int = -1
    probed_us: int = -1
    changes: deque[tuple[int, int, float, float]] = field(default_factory=deque)  # own: when, request, cores, memory
    own: dict[int, _Task] = field(default_factory=dict)
    warm: OrderedDict[str, None] = field(default_factory=OrderedDict)
    offers: deque[int] = field(default_factory=deque)  # sends while cold
    strikes: int = 0
    shun_until_us: int = 0


def _mix(text: str) -> int:
    """A hash that is the same in every process."""
    return zlib.crc32(text.encode()) * 2654435761 % 4294967296


class Scheduler:
    """One placer's decisions; it knows only what its own events tell."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with nothing known."""
        self._settings = settings
        self._random = random.Random(seed)
        self._classes = {each.name: each for each in settings.classes}
        self._kinds = {each.name: each for each in settings.kinds}
        self._machines: dict[int, _Machine] = {}
        self._tasks: dict[int, _Task] = {}
        self._out: dict[tuple[int, int], tuple[int, _Task]] = {}
        self._spread: Counter[tuple[str, Place, object]] = Counter()
        self._held: dict[int, None] = {}
        self._active: list[_Machine] = []
        self._ratio = (USE_PRIOR, USE_PRIOR)
        self._tokens = 1.0
        self._watching = settings.discovery is Discovery.PUSH
        self._ask_at_us = 0
        self._ask_fails = 0
        self._started = False
        self._actions: list[Action] = []
        self._now = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now, self._actions = now_us, []
        match event:
            case MachineList():
                self._on_list(event)
            case TaskArrived():
                self._on_arrival(event)
            case TaskFound():
                self._on_found(event)
            case TaskWithdrawn(request):
                self._close(request)
            case TaskPlaced():
                self._on_placed(event)
            case AttemptEnded():
                self._on_ended(event)
            case Probed():
                self._on_probed(event)
            case TaskNote():
                self._on_note(event)
            case TimerDue(name):
                self._on_timer(name)
        return self._actions

    # --- discovery

    def _on_list(self, event: MachineList) -> None:
        if event.form is ListForm.FAILED:
            self._watching = self._settings.discovery is Discovery.PUSH
            self._ask_fails += 1
            pause = min(ASK_BACK_US << min(self._ask_fails, 8), self._settings.ask_every_us // 4)
            self._ask_at_us = self._now + int(pause * self._random.uniform(0.5, 1.0))
        elif event.form is not ListForm.SAVED:
            self._watching, self._ask_fails = True, 0
        seen = {entry.machine for entry in event.machines}
        if event.form in (ListForm.FULL, ListForm.SAVED):
            for ident, machine in self._machines.items():
                if ident not in seen and machine.told_gone_us is None:
                    machine.told_gone_us = self._now
        for entry in event.machines:
            self._hear(entry)
        self._plan()
        if not self._started:
            self._started = True
            self._actions.append(SetTimer(self._now + SWEEP_US, "sweep"))

    def _hear(self, entry: ListedMachine) -> None:
        kind = self._kinds.get(entry.kind)
        machine = self._machines.get(entry.machine)
        if machine is None:
            size = (kind.cores, kind.memory) if kind else (1.0, 1.0)
            machine = self._machines[entry.machine] = _Machine(entry, *size)
        if entry.launched_us > machine.listed.launched_us:  # a new process: what was known of the old is void
            machine.strikes = machine.shun_until_us = 0
            machine.asked, machine.used = None, None
            machine.warm.clear()
        machine.listed = entry
        if entry.phase is Phase.RUNNING:
            machine.told_gone_us = None
        elif machine.told_gone_us is None:
            machine.told_gone_us = self._now
        if self._settings.room_in_list:
            self._set_asked(machine, entry.free_cores, entry.free_memory, self._now - VIEW_LAG_US)

    def _set_asked(self, machine: _Machine, free_cores: float, free_memory: float, as_of_us: int) -> None:
        """Take what is not asked for, unless something newer is known or the figure is absurd."""
        if as_of_us <= machine.asked_us and machine.asked is not None:
            return
        if all(isfinite(free) and abs(free) <= 4 * size for free, size in
               ((free_cores, machine.cores), (free_memory, machine.memory))):
            machine.asked = (machine.cores - free_cores, machine.memory - free_memory)
            machine.asked_us = as_of_us

    def _ask_discovery(self) -> None:
        """Danger: one not subscribed that asks too seldom is deemed told of drains it never heard of (rule 3)."""
        if not self._watching and self._now >= self._ask_at_us:
            self._ask_at_us = self._now + self._settings.ask_every_us // 2
            self._actions.append(WatchList())

    # --- load

    def _since(self, machine: _Machine, as_of_us: int) -> tuple[float, float]:
        """Own binds less own ends that a figure of that time cannot hold yet."""
        cores = memory = 0.0
        for when, _, more_cores, more_memory in machine.changes:
            if when > as_of_us:
                cores, memory = cores + more_cores, memory + more_memory
        return cores, memory

    def _expected_use(self, machine: _Machine) -> tuple[float, float]:
        """Cores and memory in use, own recent binds included; a machine not yet heard from counts as average."""
        ratio = self._ratio
        if machine.used is not None and self._now - machine.used_us < USE_FRESH_US:
            more = self._since(machine, machine.used_us)
            return machine.used[0] + more[0] * ratio[0], machine.used[1] + more[1] * ratio[1]
        if machine.asked is None:
            share = self._average
            return machine.cores * share[0], machine.memory * share[1]
        more = self._since(machine, machine.asked_us)
        return (machine.asked[0] + more[0]) * ratio[0], (machine.asked[1] + more[1]) * ratio[1]

    @property
    def _average(self) -> tuple[float, float]:
        known = [m for m in self._machines.values() if m.asked is not None and m.told_gone_us is None]
        if not known:
            return 0.5, 0.5
        return (sum(m.asked[0] for m in known if m.asked) / sum(m.cores for m in known) * self._ratio[0],
                sum(m.asked[1] for m in known if m.asked) / sum(m.memory for m in known) * self._ratio[1])

    def _load(self, machine: _Machine) -> float:
        """Share of what the machine can serve: L is its cores over the share of the asked that tasks use."""
        return self._expected_use(machine)[0] / machine.cores

    def _fits(self, task: _Task, machine: _Machine, cores_share: float, memory_share: float) -> bool:
        ask_cores, ask_memory = task.arrival.cores, task.arrival.memory
        if machine.asked is not None:
            more = self._since(machine, machine.asked_us)
            if (machine.asked[0] + more[0] + ask_cores > self._settings.booking_cores * machine.cores + 1e-6
                    or machine.asked[1] + more[1] + ask_memory
                    > self._settings.booking_memory * machine.memory + 1e-6):
                return False
        cores, memory = self._expected_use(machine)
        return (cores + ask_cores * self._ratio[0] <= cores_share * machine.cores
                and memory + ask_memory * self._ratio[1] <= memory_share * machine.memory)

    # --- guards: every send passes _may_bind

    def _may_bind(self, task: _Task, machine: _Machine) -> bool:
        settings, listed = self._settings, machine.listed
        # Rule 1. Danger: a send after the end, or a second attempt while one is out.
        if task.out is not None or task.placed or task.attempts >= settings.attempts_most:
            return False
        if self._now >= task.arrival.deadline_us - settings.tick_us:
            return False
        # Rule 2. Danger: a second start of what may already run.
        if task.maybe_us is not None and not self._may_repeat(task, machine):
            return False
        # Rule 3. Danger: work sent to a machine that drains or is gone; stopped at once, not after the grace.
        if machine.told_gone_us is not None:
            return False
        if task.cls.kind is not None and task.cls.kind != listed.kind:
            return False
        # Rule 4. Danger: all placers together push over a cold machine; each takes its part of the safe offers.
        if self._is_cold(machine):
            share = int(settings.fresh_offers / settings.placers)
            while machine.offers and machine.offers[0] <= self._now - settings.fall_us * 5 // 4:
                machine.offers.popleft()
            if len(machine.offers) >= share:
                return False
        # Rule 5. Danger: too many of one service where a single failure takes them all.
        return (task.cls.spread is Place.NONE
                or self._spread[self._spread_key(task, machine)] < task.cls.spread_most)

    def _may_repeat(self, task: _Task, machine: _Machine) -> bool:
        if task.cls.effect is Effect.SAFE:
            return True
        if task.cls.effect is Effect.UNSAFE or task.maybe_us is None or task.maybe_at is None:
            return False
        if self._now >= task.maybe_us + task.cls.window_us:
            return False
        first = self._machines[task.maybe_at].listed
        return {Place.ALL: True, Place.ZONE: first.zone == machine.listed.zone,
                Place.CELL: first.cell == machine.listed.cell}.get(task.cls.group, False)

    def _is_cold(self, machine: _Machine) -> bool:
        launched = machine.listed.launched_us
        return launched > 0 and self._now < launched + self._settings.cold_us

    @staticmethod
    def _spread_key(task: _Task, machine: _Machine) -> tuple[str, Place, object]:
        listed = machine.listed
        place: dict[Place, object] = {Place.CELL: listed.cell, Place.ZONE: listed.zone}
        return task.arrival.service, task.cls.spread, place.get(task.cls.spread, listed.machine)

    # --- placement

    def _candidates(self, task: _Task) -> list[_Machine]:
        """The machines among which REM picks: allowed and fitting, narrowed to where the program is warm."""
        allowed = [m for m in self._machines.values() if self._may_bind(task, m)]
        well = [m for m in allowed if self._now >= m.shun_until_us and len(m.own) - self._settled(m) < PENDING_MOST
                and not (m.strikes and len(m.own) > self._settled(m))]
        active = [m for m in well if m in self._active]
        for group, cores_share, memory_share in ((active, FULL_CORES, FULL_MEMORY), (well, FULL_CORES, FULL_MEMORY),
                                                 (well, TIGHT_CORES, TIGHT_MEMORY)):
            fitting = [m for m in group if self._fits(task, m, cores_share, memory_share)]
            if fitting:
                break
        else:
            return []
        service = task.arrival.service
        warm = [m for m in fitting if service in m.warm]
        return warm or sorted(fitting, key=lambda m: _mix(f"{service} {m.listed.machine}"))[:HOMES]

    @staticmethod
    def _settled(machine: _Machine) -> int:
        return sum(task.placed for task in machine.own.values())

    def _place(self, task: _Task) -> bool:
        """REM's placement: a random pick among the three least loaded candidates."""
        candidates = self._candidates(task)
        if not candidates:
            return False
        least = sorted(candidates, key=self._load)[:LEAST_LOADED]
        machine = self._random.choice(least)
        self._bind(task, machine)
        self._migrate(machine, task)
        return True

    def _bind(self, task: _Task, machine: _Machine) -> None:
        if not self._may_bind(task, machine):
            return
        arrival, attempt = task.arrival, task.attempts
        task.attempts, task.out, task.machine = attempt + 1, attempt, machine.listed.machine
        task.now_us = self._now
        self._enter(task, machine, attempt)
        if self._is_cold(machine):
            machine.offers.append(self._now)
        machine.changes.append((self._now, arrival.request, arrival.cores, arrival.memory))
        give_up = arrival.deadline_us
        if task.cls.effect is Effect.SAFE and task.attempts < self._settings.attempts_most:
            give_up = min(give_up, self._now + max(2 * task.cls.aim_us, (arrival.deadline_us - self._now) // 2))
        self._held.pop(arrival.request, None)
        self._actions.append(Bind(arrival.request, machine.listed.machine, give_up))

    def _enter(self, task: _Task, machine: _Machine, attempt: int) -> None:
        self._out[(task.arrival.request, attempt)] = (machine.listed.machine, task)
        machine.own[task.arrival.request] = task
        self._spread[self._spread_key(task, machine)] += 1

    def _migrate(self, machine: _Machine, newcomer: _Task) -> None:
        """REM: with the gated linear chance, move one own task off the machine that was just bound to."""
        load = self._load(machine)
        chance = 0.0 if load < R_MIN else 1.0 if load >= R_MAX else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        if self._random.random() >= chance:
            return
        best: tuple[float, _Task] | None = None
        for task in machine.own.values():
            left = self._left_us(task)
            if task is newcomer or not task.placed or task.moving or left < MOVE_REST_US or (
                    self._now - task.placed_us < MOVE_REST_US):
                continue
            relief = task.arrival.cores * min(left, 10 * SECOND) / (task.cls.worth * self._size(task) + 1)
            if (best is None or relief > best[0]) and self._has_refuge(task, machine):
                best = (relief, task)
        if best is not None:
            best[1].moving = True
            self._actions.append(Move(best[1].arrival.request))

    def _has_refuge(self, task: _Task, machine: _Machine) -> bool:
        """The gate: some other machine that fits the task is below its Min.th."""
        return any(m is not machine and m.told_gone_us is None and self._load(m) < R_MIN
                   and task.cls.kind in (None, m.listed.kind) and self._fits(task, m, FULL_CORES, FULL_MEMORY)
                   for m in self._machines.values())

    def _size(self, task: _Task) -> float:
        return (task.arrival.cores / self._settings.usual_cores
                + task.arrival.memory / self._settings.usual_memory) / 2

    def _left_us(self, task: _Task) -> int:
        if task.arrival.remaining_us is None:
            return 10 * SECOND
        return task.now_us + task.arrival.remaining_us - self._now

    def _plan(self) -> None:
        """Where machines in use are priced, narrow the candidate set to as many as the load needs, large ones first."""
        running = [m for m in self._machines.values() if m.told_gone_us is None]
        running.sort(key=lambda m: (-m.cores, _mix(str(m.listed.machine))))
        if self._settings.prices.fleet > 0:
            uses = [self._expected_use(m) for m in running]
            need = (sum(use[0] for use in uses) / FLEET_FILL, sum(use[1] for use in uses) / FLEET_FILL)
            cores = memory = 0.0
            for count, machine in enumerate(running):
                if cores >= need[0] and memory >= need[1] and count >= LEAST_LOADED:
                    running = running[:count]
                    break
                cores, memory = cores + machine.cores, memory + machine.memory
        self._active = running

    # --- requests

    def _on_arrival(self, event: TaskArrived) -> None:
        cls = self._classes.get(event.task_class)
        if cls is None or event.request in self._tasks:
            return
        task = self._tasks[event.request] = _Task(event, cls, self._now)
        self._tokens += PROBE_POINTS / max(self._settings.prices.probe, 1e-4)
        due = max(self._now, event.deadline_us - self._settings.tick_us)
        self._actions.append(SetTimer(due, f"due:{event.request}"))
        if not self._place(task):
            self._held[event.request] = None

    def _on_found(self, event: TaskFound) -> None:
        cls, machine = self._classes.get(event.arrival.task_class), self._machines.get(event.machine)
        if cls is None or machine is None or event.arrival.request in self._tasks:
            return
        task = _Task(event.arrival, cls, self._now, attempts=1, out=0, machine=event.machine, placed=True,
                     placed_us=self._now)
        self._tasks[event.arrival.request] = task
        self._enter(task, machine, 0)
        self._warm(machine, event.arrival.service)

    def _on_placed(self, event: TaskPlaced) -> None:
        entry = self._out.get((event.request, event.attempt))
        if entry is None:
            return
        ident, task = entry
        machine = self._machines[ident]
        machine.strikes = machine.shun_until_us = 0
        self._warm(machine, task.arrival.service)
        if task.out == event.attempt:
            task.placed, task.placed_us = True, self._now

    def _warm(self, machine: _Machine, service: str) -> None:
        machine.warm[service] = None
        machine.warm.move_to_end(service)
        running = {task.arrival.service for task in machine.own.values()}
        idle = [each for each in machine.warm if each not in running]
        for each in idle[:max(0, len(idle) - KEPT_PROGRAMS)]:
            del machine.warm[each]

    def _on_ended(self, event: AttemptEnded) -> None:
        entry = self._out.pop((event.request, event.attempt), None)
        if entry is None:
            return
        ident, task = entry
        machine, arrival = self._machines[ident], task.arrival
        machine.own.pop(event.request, None)
        self._spread[self._spread_key(task, machine)] -= 1
        self._report(machine, event.report)
        was_placed = task.placed and task.out == event.attempt
        if event.outcome in PROVEN_UNRUN:  # the machine never held it: take the bind back, do not count an end
            machine.changes = deque(c for c in machine.changes if c[1] != event.request)
        else:
            machine.changes.append((self._now, event.request, -arrival.cores, -arrival.memory))
            if was_placed:
                self._warm(machine, arrival.service)
        while machine.changes and machine.changes[0][0] < self._now - 12 * SECOND:
            machine.changes.popleft()
        if not was_placed:
            self._judge(machine, task, event)
        if task.out == event.attempt:
            task.out = None
        if event.closed or was_placed:
            self._close(event.request)
        elif self._tasks.get(event.request) is task:
            if event.outcome not in PROVEN_UNRUN and task.maybe_us is None:
                task.maybe_us, task.maybe_at = task.now_us, ident
            if not self._place(task):
                self._held[event.request] = None
                self._give_up_early(task)

    def _judge(self, machine: _Machine, task: _Task, event: AttemptEnded) -> None:
        """Learn from an attempt that did not end in a placed task."""
        if event.outcome is Outcome.REFUSED and event.reason in (Reason.NO_CORES, Reason.NO_MEMORY):
            # Danger: a stale view says there is room. The machine's own word outranks it until a newer view.
            cores, memory = machine.asked or (0.0, 0.0)
            if event.reason is Reason.NO_CORES:
                cores = max(cores, self._settings.booking_cores * machine.cores - task.arrival.cores + 0.01)
            else:
                memory = max(memory, self._settings.booking_memory * machine.memory - task.arrival.memory + 0.01)
            machine.asked, machine.asked_us = (cores, memory), self._now
        elif event.outcome is Outcome.REFUSED:
            machine.shun_until_us = max(machine.shun_until_us, self._now + SHUN_US)
        elif event.outcome in (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.ERROR, Outcome.BROKEN):
            # Danger: a dead or stalled machine looks the least loaded and draws every task. Doubling pauses.
            machine.shun_until_us = self._now + min(SHUN_US << machine.strikes, SHUN_MOST_US)
            machine.strikes = min(machine.strikes + 1, 5)

    def _give_up_early(self, task: _Task) -> None:
        """End at once what no further send could ever serve."""
        if task.attempts >= self._settings.attempts_most or (
                task.maybe_us is not None and task.cls.effect is Effect.UNSAFE):
            self._end(task)

    def _end(self, task: _Task) -> None:
        """The final answer. Danger (rule 2): a refusal says 'try again without harm', so only if that is true."""
        harmless = task.cls.effect is Effect.SAFE or (task.out is None and task.maybe_us is None)
        if task.cls.effect is Effect.KEYED and task.cls.group is Place.ALL:
            harmless = True
        request = task.arrival.request
        self._actions.append(Refuse(request) if harmless else Fail(request))
        if task.out is not None and self._settings.may_cancel:
            self._actions.append(Abandon(request, task.out))
        self._close(request)

    def _close(self, request: int) -> None:
        self._tasks.pop(request, None)
        self._held.pop(request, None)

    # --- reports, probes, notes, timers

    def _report(self, machine: _Machine, report: Report | None) -> None:
        if report is None or report.free_cores is None or report.free_memory is None:
            return
        free = (report.free_cores, report.free_memory)
        if not self._settings.reports_use:
            self._set_asked(machine, *free, self._now - SECOND // 2)
        elif all(isfinite(x) and 0 <= x <= 1.5 * size for x, size in zip(free, (machine.cores, machine.memory))):
            machine.used = (machine.cores - free[0], machine.memory - free[1])
            machine.used_us = self._now - SECOND // 2

    def _on_probed(self, event: Probed) -> None:
        machine = self._machines.get(event.machine)
        if machine is not None and event.outcome is Outcome.DONE:
            self._report(machine, event.report)

    def _on_note(self, event: TaskNote) -> None:
        entry = self._out.get((event.request, event.attempt))
        if entry is None or not isfinite(event.level) or event.level < 0:
            return
        machine, task = self._machines[entry[0]], entry[1]
        cores, memory = self._expected_use(machine)
        if event.kind in (NoteKind.CORES_USED, NoteKind.MEMORY_USED):
            task.used[event.kind] = event.level
        elif event.kind is NoteKind.SERVED and event.level < 1:
            crowded = (task.cls.calm + (1 - event.level) * task.cls.fade) * machine.cores
            machine.used, machine.used_us = (max(cores, crowded), memory), self._now
        elif event.kind is NoteKind.MACHINE_MEMORY and event.level <= 1.2:
            machine.used, machine.used_us = (cores, event.level * machine.memory), self._now

    def _learn_use(self) -> None:
        """The share of the asked that own tasks use, over those that have told."""
        ratios = []
        for kind, prior in ((NoteKind.CORES_USED, 0), (NoteKind.MEMORY_USED, 1)):
            asked = used = 4.0
            used *= self._ratio[prior]
            for task in self._tasks.values():
                if kind in task.used:
                    asked += task.arrival.memory if prior else task.arrival.cores
                    used += task.used[kind]
            ratios.append(min(max(used / asked, 0.2), 1.5))
        self._ratio = (ratios[0], ratios[1])

    def _on_timer(self, name: str) -> None:
        word, _, request = name.partition(":")
        if word == "due":
            task = self._tasks.get(int(request)) if request.isdigit() else None
            # Danger (rule 1): nothing may stay unanswered past its own deadline, whatever was hoped for it.
            if task is not None and not task.placed:
                self._end(task)
        elif word == "sweep":
            self._actions.append(SetTimer(self._now + SWEEP_US, "sweep"))
            self._ask_discovery()
            self._probe()
            self._learn_use()
            for request_id in list(self._held)[:SWEEP_TRIES]:
                self._place(self._tasks[request_id])

    def _probe(self) -> None:
        """Probe the machine heard from longest ago, as often as the price of probes allows."""
        settings = self._settings
        if not settings.may_probe or settings.reports is Reports.NONE or self._tokens < 1:
            return
        machines = [m for m in self._machines.values() if m.told_gone_us is None
                    and self._now - max(m.used_us, m.probed_us) > PROBE_EVERY_US]
        if machines:
            machine = min(machines, key=lambda m: max(m.used_us, m.probed_us))
            machine.probed_us = self._now
            self._tokens = min(self._tokens - 1, 10.0)
            self._actions.append(Probe(machine.listed.machine))
