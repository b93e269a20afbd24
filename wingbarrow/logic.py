"""All decisions of wingbarrow. Its types, settings, events and actions are in interface.py.

Random Early Migration (REM, Zhao and Kuo) decides the ordinary path: a task goes to a random one of the three
least loaded machines that fit, and each bind may move one own task off its machine, with a chance that grows
with the load between two thresholds. All else keeps the rules, or REM's view of load honest.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from wingbarrow.interface import (
    Abandon,
    Action,
    AttemptEnded,
    Bind,
    Discovery,
    Effect,
    Event,
    Fail,
    ListedMachine,
    ListForm,
    MachineList,
    Move,
    NoteKind,
    Outcome,
    Phase,
    Place,
    Probe,
    Probed,
    Reason,
    Refuse,
    Report,
    Reports,
    SetTimer,
    Settings,
    TaskArrived,
    TaskClass,
    TaskFound,
    TaskNote,
    TaskPlaced,
    TaskWithdrawn,
    TimerDue,
    WatchList,
)

SECOND = 1_000_000
R_MIN, R_MAX, P_MAX = 0.85, 1.05, 0.8  # REM's thresholds as shares of L, what a machine can serve; top chance
LEAST_LOADED = 3  # the design's pick among the three least loaded
FULL_CORES, FULL_MEMORY = 0.9, 0.86  # use that a bind may lead to; above, service fades or tasks are evicted
TIGHT_CORES, TIGHT_MEMORY = 1.1, 0.93  # the same once nothing else fits
HOMES = 2  # machines that all placers prefer for a service, so that its program is found warm there
KEPT_PROGRAMS = 5  # programs trusted to stay warm on a machine after their last own task
FLEET_FILL = 0.75  # use that the candidate set is planned for where machines in use are priced
VIEW_LAG_US, REPORT_LAG_US = 2_500_000, 500_000  # list and reports are taken to tell of this long ago
USE_FRESH_US = 3 * SECOND  # a measured use counts this long; then asks times the usual ratio stand in
USE_PRIOR, USE_PRIOR_WEIGHT = 0.8, 4.0  # share of the asked taken as used before notes come, and its weight
GROW_US = 8 * SECOND  # memory of a younger task still grows: it is not taken to use less than its class does
SHUN_US, SHUN_DOUBLINGS = 500_000, 4  # pause after a silent or broken machine, doubled so often at most
STARTS_MOST = 4  # own starts out on one machine at a time: more would only wait in its line
PROBE_POINTS = 0.003  # what probes may cost in all, as a share of the result
PROBE_EVERY_US = 1_500_000  # no machine is probed more often
SWEEP_US = 40_000  # held tasks are tried again this often
MOVE_REST_US = 4 * SECOND  # a task that began more lately, or has less to run, is not worth a restart
LEFT_UNTOLD_US = 10 * SECOND  # what a task is taken to have left where owners do not say
ASK_BACK_US = 400_000  # first pause after discovery failed; doubles, and stays well inside the 'deemed told' time
CHANGES_KEPT_US = 12 * SECOND  # own binds older than this are in any list
PROVEN_UNRUN = (Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class _Task:
    """A request in this scheduler's care until it ends."""

    arrival: TaskArrived
    cls: TaskClass
    since_us: int  # of its arrival, then of its latest bind or start
    attempts: int = 0
    out: int | None = None  # the attempt without an outcome
    placed: bool = False
    moving: bool = False
    maybe: tuple[int, ListedMachine] | None = None  # send and machine of the first attempt that may have run
    used: dict[NoteKind, float] = field(default_factory=dict)

    def left_us(self, now_us: int) -> int:
        left = self.arrival.remaining_us
        return LEFT_UNTOLD_US if left is None else self.since_us + left - now_us


@dataclass(slots=True, eq=False)
class _Machine:
    """What is known of a machine; figures are (cores, memory)."""

    listed: ListedMachine
    size: tuple[float, float]
    gone: bool = False
    active: bool = True
    asked: tuple[float, float] | None = None
    asked_us: int = -1
    used: tuple[float, float] | None = None
    used_us: int = -1
    probed_us: int = -1
    changes: deque[tuple[int, int, float, float]] = field(default_factory=deque)  # own: when, request, figures
    own: dict[int, _Task] = field(default_factory=dict)
    starts: int = 0
    warm: dict[str, None] = field(default_factory=dict)
    offers: deque[int] = field(default_factory=deque)  # sends while cold
    strikes: int = 0
    shun_until_us: int = 0
    bias: tuple[float, float] = (0.0, 0.0)  # what own tasks here use beyond the usual share of what they ask

    def since(self, as_of_us: int) -> tuple[float, float]:
        """Own binds less own ends that a figure of that time cannot hold yet: each counts until then, once."""
        new = [change for change in self.changes if change[0] > as_of_us]
        return sum(change[2] for change in new), sum(change[3] for change in new)


def _mix(text: str) -> int:
    """A hash that is the same at every placer."""
    return zlib.crc32(text.encode()) * 2654435761 % 4294967296


class Scheduler:
    """One placer's decisions; it knows only what its own events tell."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with nothing known."""
        self._settings = settings
        self._random = random.Random(seed)
        self._classes = {each.name: each for each in settings.classes}
        self._sizes = {each.name: (each.cores, each.memory) for each in settings.kinds}
        self._machines: dict[int, _Machine] = {}
        self._tasks: dict[int, _Task] = {}
        self._out: dict[tuple[int, int], tuple[_Machine, _Task]] = {}
        self._spread: Counter[tuple[str, object]] = Counter()
        self._held: dict[int, None] = {}
        self._no_room: set[tuple[str, float, float]] = set()  # shapes that found no room since the last sweep
        self._ratio = (USE_PRIOR, USE_PRIOR)  # share of the asked cores and memory that tasks use
        self._class_ratio = {name: self._ratio for name in self._classes}
        self._average = (0.5, 0.5)  # asked, of the machine's size
        self._probes_due = 1.0
        self._watching = settings.discovery is Discovery.PUSH
        self._ask_at_us = self._ask_fails = self._now = 0
        self._sweeping = False
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            MachineList: self._on_list, TaskArrived: self._on_arrival, TaskFound: self._on_found,
            TaskWithdrawn: lambda event: self._close(event.request), TaskPlaced: self._on_placed,
            AttemptEnded: self._on_ended, Probed: self._on_probed, TaskNote: self._on_note, TimerDue: self._on_timer}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now, self._actions = now_us, []
        if not self._sweeping:
            self._sweeping = True
            self._actions.append(SetTimer(now_us + SWEEP_US, "sweep"))
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self._actions

    # --- placement

    def _place(self, task: _Task) -> None:
        """REM's ordinary path: a random pick of the three least loaded candidates, then perhaps a move."""
        candidates = self._candidates(task)
        if candidates:
            machine = self._random.choice(sorted(candidates, key=self._load)[:LEAST_LOADED])
            self._bind(task, machine)
            self._migrate(machine)
        else:
            self._held[task.arrival.request] = None

    def _candidates(self, task: _Task) -> list[_Machine]:
        """The machines among which REM picks: allowed and fitting, narrowed to where the program is warm."""
        arrival = task.arrival
        shape = (task.cls.name, arrival.cores, arrival.memory)
        if shape in self._no_room:
            return []
        # One suspected machine gets one task at a time until it proves itself; none gets more than it can start.
        ready = [m for m in self._machines.values() if self._now >= m.shun_until_us
                 and m.starts < (1 if m.strikes else STARTS_MOST) and self._may_bind(task, m)]
        fitting = ([m for m in ready if m.active and self._fits(task, m, FULL_CORES, FULL_MEMORY)]
                   or [m for m in ready if self._fits(task, m, FULL_CORES, FULL_MEMORY)]
                   or [m for m in ready if self._fits(task, m, TIGHT_CORES, TIGHT_MEMORY)])
        if ready and not fitting:
            self._no_room.add(shape)
        warm = [m for m in fitting if arrival.service in m.warm]
        return warm or sorted(fitting, key=lambda m: _mix(f"{arrival.service} {m.listed.machine}"))[:HOMES]

    def _use(self, machine: _Machine) -> tuple[float, float]:
        """Cores and memory taken to be in use, own recent binds included."""
        if machine.used is not None and self._now - machine.used_us < USE_FRESH_US:
            base, more, share = machine.used, machine.since(machine.used_us), self._ratio
            return base[0] + more[0] * share[0], base[1] + more[1] * share[1]
        asked, bias = self._asked(machine), machine.bias
        return asked[0] * self._ratio[0] + bias[0], asked[1] * self._ratio[1] + bias[1]

    def _asked(self, machine: _Machine) -> tuple[float, float]:
        """What accepted tasks ask; a machine not yet heard from counts as average."""
        base = machine.asked
        if base is None:
            base = machine.size[0] * self._average[0], machine.size[1] * self._average[1]
        more = machine.since(machine.asked_us)
        return base[0] + more[0], base[1] + more[1]

    def _load(self, machine: _Machine) -> float:
        """l over L, where L is what the machine can serve: its cores over the share of the asked that is used."""
        return self._use(machine)[0] / machine.size[0]

    def _fits(self, task: _Task, machine: _Machine, most_cores: float, most_memory: float) -> bool:
        ask, size, adds = (task.arrival.cores, task.arrival.memory), machine.size, self._task_use(task)
        asked, use = self._asked(machine), self._use(machine)
        return (asked[0] + ask[0] <= self._settings.booking_cores * size[0] + 1e-6
                and asked[1] + ask[1] <= self._settings.booking_memory * size[1] + 1e-6
                and use[0] + adds[0] <= most_cores * size[0]
                and use[1] + adds[1] <= most_memory * size[1])

    def _migrate(self, machine: _Machine) -> None:
        """REM: with the gated linear chance, move one own task off the machine that was just bound to."""
        load = self._load(machine)
        chance = 0.0 if load < R_MIN else 1.0 if load >= R_MAX else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        if self._random.random() >= chance:
            return
        movable = [task for task in machine.own.values() if task.placed and not task.moving
                   and min(task.left_us(self._now), self._now - task.since_us) >= MOVE_REST_US]
        for task in sorted(movable, key=self._relief, reverse=True):
            if any(m is not machine and not m.gone and task.cls.kind in (None, m.listed.kind)
                   and self._load(m) < R_MIN and self._fits(task, m, FULL_CORES, FULL_MEMORY)
                   for m in self._machines.values()):
                task.moving = True
                self._actions.append(Move(task.arrival.request))
                return

    def _relief(self, task: _Task) -> float:
        """Which own task moves: many cores for long, against the worth that its restart loses."""
        settings, ask = self._settings, task.arrival
        size = (ask.cores / settings.usual_cores + ask.memory / settings.usual_memory) / 2
        return ask.cores * min(task.left_us(self._now), LEFT_UNTOLD_US) / (task.cls.worth * size + 1)

    # --- guards: every send passes _bind, and so _may_bind

    def _bind(self, task: _Task, machine: _Machine) -> None:
        if not self._may_bind(task, machine):
            return
        arrival, attempt = task.arrival, task.attempts
        task.attempts, task.out, task.since_us = attempt + 1, attempt, self._now
        self._enter(task, machine, attempt)
        machine.starts += 1
        machine.changes.append((self._now, arrival.request, arrival.cores, arrival.memory))
        if self._is_cold(machine):
            machine.offers.append(self._now)
        self._held.pop(arrival.request, None)
        # Never abandoned early: a start that is slow but comes is worth more than a second one in the same line.
        self._actions.append(Bind(arrival.request, machine.listed.machine, arrival.deadline_us))

    def _enter(self, task: _Task, machine: _Machine, attempt: int) -> None:
        self._out[(task.arrival.request, attempt)] = (machine, task)
        machine.own[task.arrival.request] = task
        self._spread[self._spread_key(task, machine)] += 1

    def _may_bind(self, task: _Task, machine: _Machine) -> bool:
        settings, cls, listed = self._settings, task.cls, machine.listed
        # Rule 3. Danger: work sent to a machine that drains or is gone; stopped at once, not after the grace.
        if machine.gone or cls.kind not in (None, listed.kind):
            return False
        # Rule 1. Danger: a send after the end. Rule 2. Danger: a second attempt while one is out.
        if (task.out is not None or task.placed or task.attempts >= settings.attempts_most
                or self._now >= task.arrival.deadline_us - settings.tick_us):
            return False
        # Rule 2. Danger: a second start of what may already run.
        if task.maybe is not None and cls.effect is not Effect.SAFE:
            first_us, first = task.maybe
            same = {Place.ALL: True, Place.ZONE: first.zone == listed.zone, Place.CELL: first.cell == listed.cell}
            if (cls.effect is Effect.UNSAFE or self._now >= first_us + cls.window_us - settings.tick_us
                    or not same.get(cls.group, False)):
                return False
        # Rule 4. Danger: all placers together push over a cold machine; each takes its part of the safe offers.
        if self._is_cold(machine):
            while machine.offers and machine.offers[0] <= self._now - settings.fall_us * 5 // 4:
                machine.offers.popleft()
            if len(machine.offers) >= int(settings.fresh_offers / settings.placers):
                return False
        # Rule 5. Danger: too many of one service where a single failure takes them all.
        return cls.spread is Place.NONE or self._spread[self._spread_key(task, machine)] < cls.spread_most

    def _is_cold(self, machine: _Machine) -> bool:
        launched = machine.listed.launched_us
        return launched > 0 and self._now < launched + self._settings.cold_us

    @staticmethod
    def _spread_key(task: _Task, machine: _Machine) -> tuple[str, object]:
        wide: dict[Place, object] = {Place.CELL: machine.listed.cell, Place.ZONE: machine.listed.zone}
        return task.arrival.service, wide.get(task.cls.spread, machine.listed.machine)

    # --- requests

    def _on_arrival(self, event: TaskArrived) -> None:
        cls = self._classes.get(event.task_class)
        if cls is None or event.request in self._tasks:
            return
        task = self._tasks[event.request] = _Task(event, cls, self._now)
        self._probes_due = min(10.0, self._probes_due + PROBE_POINTS / max(self._settings.prices.probe, 1e-4))
        self._actions.append(SetTimer(task.arrival.deadline_us - self._settings.tick_us, str(event.request)))
        self._place(task)

    def _on_found(self, event: TaskFound) -> None:
        cls, machine = self._classes.get(event.arrival.task_class), self._machines.get(event.machine)
        if cls is None or machine is None or event.arrival.request in self._tasks:
            return
        task = _Task(event.arrival, cls, self._now, attempts=1, out=0, placed=True)
        self._tasks[event.arrival.request] = task
        self._enter(task, machine, 0)
        self._warm(machine, event.arrival.service)

    def _on_placed(self, event: TaskPlaced) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or task.placed or task.out != event.attempt:
            return
        machine.starts -= 1
        machine.strikes = machine.shun_until_us = 0
        task.placed, task.since_us = True, self._now
        self._warm(machine, task.arrival.service)

    def _warm(self, machine: _Machine, service: str) -> None:
        """Remember the programs that a machine holds: of own tasks, and the last few that it keeps after them."""
        machine.warm.pop(service, None)
        machine.warm[service] = None
        running = {task.arrival.service for task in machine.own.values()}
        idle = [each for each in machine.warm if each not in running]
        for each in idle[:max(0, len(idle) - KEPT_PROGRAMS)]:
            del machine.warm[each]

    def _on_ended(self, event: AttemptEnded) -> None:
        machine, task = self._out.pop((event.request, event.attempt), (None, None))
        if machine is None or task is None:
            return
        arrival, placed = task.arrival, task.placed and task.out == event.attempt
        machine.own.pop(event.request, None)
        self._spread[self._spread_key(task, machine)] -= 1
        # What the machine never held is taken back, not ended.
        unrun = event.request if event.outcome in PROVEN_UNRUN else None
        machine.changes = deque(each for each in machine.changes
                                if each[1] != unrun and each[0] > self._now - CHANGES_KEPT_US)
        if unrun is None:
            machine.changes.append((self._now, event.request, -arrival.cores, -arrival.memory))
        self._report(machine, event.report)
        if placed:
            self._warm(machine, arrival.service)
        else:
            machine.starts -= 1
            self._judge(machine, task, event)
        if task.out == event.attempt:
            task.out = None
        if event.closed or placed:
            self._close(event.request)
        elif event.request in self._tasks:
            if event.outcome not in PROVEN_UNRUN and task.maybe is None:
                task.maybe = task.since_us, machine.listed
            # What no further send could serve is ended at once: its owner may ask again the sooner.
            if task.attempts >= self._settings.attempts_most or (task.maybe and task.cls.effect is Effect.UNSAFE):
                self._end(task)
            else:
                self._place(task)

    def _judge(self, machine: _Machine, task: _Task, event: AttemptEnded) -> None:
        """Learn from an attempt that did not end in a placed task."""
        if event.outcome is Outcome.REFUSED and event.reason in (Reason.NO_CORES, Reason.NO_MEMORY):
            # Danger: a stale view says there is room. The machine's own word outranks it until a newer view.
            asked, which = list(self._asked(machine)), int(event.reason is Reason.NO_MEMORY)
            most = (self._settings.booking_cores, self._settings.booking_memory)[which] * machine.size[which]
            asked[which] = max(asked[which], most - (task.arrival.cores, task.arrival.memory)[which] + 0.01)
            machine.asked, machine.asked_us = (asked[0], asked[1]), self._now
        elif event.outcome is Outcome.REFUSED:
            machine.shun_until_us = max(machine.shun_until_us, self._now + SHUN_US)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.DONE):
            # Danger: a dead or stalled machine looks the least loaded and draws every task. Doubling pauses.
            machine.shun_until_us = self._now + (SHUN_US << machine.strikes)
            machine.strikes = min(machine.strikes + 1, SHUN_DOUBLINGS)

    def _end(self, task: _Task) -> None:
        """The final answer. Danger (rule 2): a refusal says 'try again without harm', so only if that is true."""
        cls, request = task.cls, task.arrival.request
        harmless = (cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Place.ALL)
                    or (task.out is None and task.maybe is None))
        self._actions.append(Refuse(request) if harmless else Fail(request))
        if task.out is not None and self._settings.may_cancel:
            self._actions.append(Abandon(request, task.out))
        self._close(request)

    def _close(self, request: int) -> None:
        self._tasks.pop(request, None)
        self._held.pop(request, None)

    # --- what is known of machines

    def _on_list(self, event: MachineList) -> None:
        settings = self._settings
        if event.form is ListForm.FAILED:
            self._watching = settings.discovery is Discovery.PUSH
            self._ask_fails += 1
            pause = min(ASK_BACK_US << min(self._ask_fails, 8), settings.ask_every_us // 4)
            self._ask_at_us = self._now + int(pause * self._random.uniform(0.5, 1.0))
        elif event.form is not ListForm.SAVED:
            self._watching, self._ask_fails = True, 0
        if event.form in (ListForm.FULL, ListForm.SAVED):
            listed = {entry.machine for entry in event.machines}
            for ident, machine in self._machines.items():
                machine.gone = machine.gone or ident not in listed
        for entry in event.machines:
            size = self._sizes.get(entry.kind, (1.0, 1.0))
            machine = self._machines.setdefault(entry.machine, _Machine(entry, size))
            if entry.launched_us > machine.listed.launched_us:  # a new process: what was known of the old is void
                machine.strikes = machine.shun_until_us = 0
                machine.asked = machine.used = None
                machine.warm.clear()
            machine.listed, machine.gone = entry, entry.phase is not Phase.RUNNING
            if settings.room_in_list:
                self._set_asked(machine, (entry.free_cores, entry.free_memory), self._now - VIEW_LAG_US)
        self._plan()

    def _set_asked(self, machine: _Machine, free: tuple[float, float], as_of_us: int) -> None:
        """Take what is not asked for, unless something newer is known or a figure is absurd."""
        if ((machine.asked is None or as_of_us > machine.asked_us)
                and all(isfinite(x) and abs(x) <= 4 * size for x, size in zip(free, machine.size, strict=True))):
            machine.asked = (machine.size[0] - free[0], machine.size[1] - free[1])
            machine.asked_us = as_of_us

    def _report(self, machine: _Machine, report: Report | None) -> None:
        if report is None or report.free_cores is None or report.free_memory is None:
            return
        free, as_of_us = (report.free_cores, report.free_memory), self._now - REPORT_LAG_US
        if not self._settings.reports_use:
            self._set_asked(machine, free, as_of_us)
        elif all(isfinite(x) and 0 <= x <= 1.5 * size for x, size in zip(free, machine.size, strict=True)):
            machine.used = (machine.size[0] - free[0], machine.size[1] - free[1])
            machine.used_us = as_of_us

    def _on_probed(self, event: Probed) -> None:
        if event.machine in self._machines:
            self._report(self._machines[event.machine], event.report)

    def _on_timer(self, event: TimerDue) -> None:
        task = self._tasks.get(int(event.name)) if event.name.isdecimal() else None
        if event.name == "sweep":
            self._sweep()
        # Danger (rule 1): nothing may stay unanswered past its own deadline, whatever was hoped for it.
        elif task is not None and not task.placed and self._now >= task.arrival.deadline_us - self._settings.tick_us:
            self._end(task)

    def _on_note(self, event: TaskNote) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or not isfinite(event.level) or event.level < 0:
            return
        cores, memory = self._use(machine)
        if event.kind in (NoteKind.CORES_USED, NoteKind.MEMORY_USED):
            if event.level <= 10 * (task.arrival.cores + task.arrival.memory):
                task.used[event.kind] = event.level
        elif event.kind is NoteKind.SERVED and event.level < 1:
            crowded = (task.cls.calm + (1 - event.level) * task.cls.fade) * machine.size[0]
            machine.used, machine.used_us = (max(cores, crowded), memory), self._now
        elif event.kind is NoteKind.MACHINE_MEMORY and event.level <= 1.5:
            machine.used, machine.used_us = (cores, event.level * machine.size[1]), self._now

    def _plan(self) -> None:
        """Where machines in use are priced, narrow the candidates to those the load needs, large ones first."""
        running = [m for m in self._machines.values() if not m.gone]
        heard = [(m.asked, m.size) for m in running if m.asked is not None]
        if heard:
            self._average = (sum(asked[0] for asked, _ in heard) / sum(size[0] for _, size in heard),
                             sum(asked[1] for asked, _ in heard) / sum(size[1] for _, size in heard))
        need = [sum(self._use(m)[i] for m in running) / FLEET_FILL for i in (0, 1)]
        chosen = 0
        for machine in sorted(running, key=lambda m: (-m.size[0], _mix(str(m.listed.machine)))):
            machine.active = self._settings.prices.fleet == 0 or chosen < LEAST_LOADED or max(need) > 0
            chosen += machine.active
            need = [need[0] - machine.size[0], need[1] - machine.size[1]]

    def _sweep(self) -> None:
        """What is done now and then: ask discovery, probe, learn the use of tasks, try held tasks again."""
        settings, now = self._settings, self._now
        self._actions.append(SetTimer(now + SWEEP_US, "sweep"))
        # Danger (rule 3): one not subscribed that asks too seldom is deemed told of drains it never heard of.
        if not self._watching and now >= self._ask_at_us:
            self._ask_at_us = now + settings.ask_every_us // 2
            self._actions.append(WatchList())
        self._learn_use()
        stale = [m for m in self._machines.values()
                 if not m.gone and now - max(m.used_us, m.asked_us, m.probed_us) > PROBE_EVERY_US]
        if stale and settings.may_probe and settings.reports is not Reports.NONE and self._probes_due >= 1:
            machine = min(stale, key=lambda m: max(m.used_us, m.probed_us))
            machine.probed_us = now
            self._probes_due -= 1
            self._actions.append(Probe(machine.listed.machine))
        self._no_room.clear()
        for request in list(self._held):
            self._place(self._tasks[request])

    def _task_use(self, task: _Task) -> tuple[float, float]:
        """Cores and memory that a task uses: as it told, else as its class does."""
        ask, ratio = task.arrival, self._class_ratio[task.cls.name]
        usual = ask.cores * ratio[0], ask.memory * ratio[1]
        memory = task.used.get(NoteKind.MEMORY_USED, usual[1])
        if self._now - task.since_us < GROW_US:
            memory = max(memory, usual[1])
        return task.used.get(NoteKind.CORES_USED, usual[0]), memory

    def _learn_use(self) -> None:
        """What tasks use of what they ask: by class, over all, and what own tasks use beyond it on a machine."""
        rows = {name: [USE_PRIOR_WEIGHT] * 2 + [USE_PRIOR * USE_PRIOR_WEIGHT] * 2 for name in self._classes}
        for task in self._tasks.values():
            if len(task.used) == 2:
                row, use = rows[task.cls.name], self._task_use(task)
                for i, figure in enumerate((task.arrival.cores, task.arrival.memory, *use)):
                    row[i] += figure
        self._class_ratio = {name: (row[2] / row[0], row[3] / row[1]) for name, row in rows.items()}
        total = [sum(row[i] for row in rows.values()) for i in range(4)]
        self._ratio = total[2] / total[0], total[3] / total[1]
        for machine in self._machines.values():
            own = [(task.arrival, self._task_use(task)) for task in machine.own.values() if task.placed]
            machine.bias = (sum(use[0] - ask.cores * self._ratio[0] for ask, use in own),
                            sum(use[1] - ask.memory * self._ratio[1] for ask, use in own))
