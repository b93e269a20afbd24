"""All decisions of wingbarrow. Its types, settings, events and actions are in interface.py.

Random Early Migration (REM, Zhao and Kuo) decides the ordinary path: a task goes to a random one of the three
least loaded machines that fit, and each bind may move one own task off its machine, with a chance that grows
with the load between two thresholds. All else keeps the rules, or REM's view of load honest.
"""

import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import isfinite, log
from typing import Any

from wingbarrow import interface as api

SECOND = 1_000_000
R_MIN, R_MAX, P_MAX = 0.85, 1.05, 0.8  # REM's thresholds as shares of L, what a machine can serve; top chance
LEAST_LOADED = 3  # the design's pick among the three least loaded
FULL_CORES, FULL_MEMORY = 0.9, 0.86  # use a bind may lead to: above, service fades or tasks are evicted
TIGHT_CORES, TIGHT_FADE, TIGHT_MEMORY = 1.1, 0.4, 0.93  # once nothing else fits; part of a fade that is borne
HOMES = 1  # machines that all placers prefer for a service, so that its program is found warm there
WARM_US, FOREVER_US = 10 * SECOND, 1 << 62  # a program is trusted to stay this long after an own task's end
FLEET_FILL = 0.68  # use that the candidate set is planned for where machines in use are priced
VIEW_LAG_US, REPORT_LAG_US = 2_500_000, 500_000  # list and reports are taken to tell of this long ago
USE_FRESH_US = 3 * SECOND  # a measured use counts so long, then the usual share; probed at half of it
USE_PRIOR, USE_RATE = 0.8, 0.02  # share of the asked taken as used before notes come; weight of one note
ABSURD_SHARE = 20.0  # a note of more than this share of the asked is not believed
GROW_US = 8 * SECOND  # memory of a younger task still grows: it is not taken to use less than its class does
SHUN_US, SHUN_DOUBLINGS = 500_000, 4  # pause after a silent or broken machine, doubled so often at most
STARTS_MOST, STARTS_SHARED = 4, 8  # own starts out on one machine; more when few share its line of starts
PROBE_POINTS = 0.003  # what probes may cost in all, as a share of the result
SWEEP_US = 40_000  # held tasks are tried again this often
MOVE_REST_US = 4 * SECOND  # a task that began more lately, or has less to run, is not worth a restart
LEFT_UNTOLD_US = 10 * SECOND  # what a task is taken to have left where owners do not say
ASK_BACK_US = 400_000  # first pause after discovery failed; doubles; stays inside the 'deemed told' time
CHANGES_KEPT_US = 12 * SECOND  # own binds older than this are in any list
PROVEN_UNRUN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class _Task:
    """A request in this scheduler's care until it ends."""

    arrival: api.TaskArrived
    cls: api.TaskClass
    since_us: int  # of its arrival, then of its latest bind or start
    due_us: int = 0  # the last time at which its final answer is in time
    attempts: int = 0
    out: int | None = None  # the attempt without an outcome
    placed: bool = False
    maybe: tuple[int, api.ListedMachine] | None = None  # the first attempt that may have run
    used: dict[api.NoteKind, float] = field(default_factory=dict)

    def left_us(self, now_us: int) -> int:
        return self.since_us + (self.arrival.remaining_us or LEFT_UNTOLD_US) - now_us


@dataclass(slots=True, eq=False)
class _Machine:
    """What is known of a machine; figures are (cores, memory)."""

    listed: api.ListedMachine
    size: tuple[float, float]
    gone: bool = False
    active: bool = True
    asked: tuple[float, float] | None = None
    asked_us: int = -1
    used: tuple[float, float] | None = None
    used_us: int = -1
    probed_us: int = -1
    changes: list[tuple[int, int, float, float]] = field(default_factory=list)  # own binds and ends
    own: dict[int, _Task] = field(default_factory=dict)
    starts: int = 0
    warm: dict[str, int] = field(default_factory=dict)  # programs it holds, and until when
    offers: deque[int] = field(default_factory=deque)  # sends while cold
    strikes: int = 0
    shun_until_us: int = 0
    bias: tuple[float, float] = (0.0, 0.0)  # what own tasks here use beyond the usual share of what they ask

    def since(self, as_of_us: int) -> tuple[float, float]:  # own changes not yet in a figure of that time
        new = [change for change in self.changes if change[0] > as_of_us]
        return sum(change[2] for change in new), sum(change[3] for change in new)


def _rank(name: str, machine: _Machine) -> float:
    """A random order by name, the same at every placer, in which larger machines come first more often."""
    mixed = zlib.crc32(f"{name} {machine.listed.machine}".encode()) * 2654435761 % 4294967296
    return -log((mixed + 1) / 4294967297) / machine.size[0]


def _place(at: api.ListedMachine, scope: api.Place) -> object:
    return {api.Place.MACHINE: at.machine, api.Place.CELL: at.cell, api.Place.ZONE: at.zone}.get(scope)


class Scheduler:
    """One placer's decisions; it knows only what its own events tell."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
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
        self._ratio, self._average = (USE_PRIOR, USE_PRIOR), (0.5, 0.5)  # of asked; of size
        self._class_ratio = {name: [USE_PRIOR, USE_PRIOR] for name in self._classes}
        self._may_probe = settings.may_probe and settings.reports is not api.Reports.NONE
        self._watching = settings.discovery is api.Discovery.PUSH
        self._ask_at_us, self._ask_fails, self._probes_due, self._now = 0, 0, 1.0, -1
        self._actions: list[api.Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.MachineList: self._on_list, api.TaskArrived: self._on_arrival, api.TaskFound: self._on_found,
            api.TaskWithdrawn: self._close, api.TaskPlaced: self._on_placed, api.AttemptEnded: self._on_ended,
            api.Probed: self._on_report, api.TaskNote: self._on_note, api.TimerDue: self._on_timer}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self._actions = [api.SetTimer(now_us + SWEEP_US, "sweep")] if self._now < 0 else []
        self._now = now_us
        self._handlers[type(event)](event)
        return self._actions

    def _settle(self, task: _Task) -> None:
        """REM's ordinary path: a random pick of the three least loaded candidates, then perhaps a move."""
        candidates = self._candidates(task)
        self._held[task.arrival.request] = None
        if candidates:
            machine = self._random.choice(sorted(candidates, key=self._load)[:LEAST_LOADED])
            self._bind(task, machine)
            self._migrate(machine)

    def _candidates(self, task: _Task) -> list[_Machine]:
        """The machines among which REM picks: allowed and fitting, narrowed to where the program is warm."""
        service, shape = task.arrival.service, (task.cls.name, task.arrival.cores, task.arrival.memory)
        if shape in self._no_room:
            return []
        starts = max(STARTS_MOST, STARTS_SHARED // self._settings.placers)
        # A suspected machine gets one task at a time until it proves itself; none gets more than it starts.
        ready = [m for m in self._machines.values() if self._now >= m.shun_until_us
                 and m.starts < (1 if m.strikes else starts) and self._may_bind(task, m)]
        tight = max(TIGHT_CORES, task.cls.calm + TIGHT_FADE * task.cls.fade)
        fitting = ([m for m in ready if m.active and self._fits(task, m, FULL_CORES, FULL_MEMORY)]
                   or [m for m in ready if self._fits(task, m, FULL_CORES, FULL_MEMORY)]
                   or [m for m in ready if self._fits(task, m, tight, TIGHT_MEMORY)])
        if ready and not fitting:
            self._no_room.add(shape)
        warm = [m for m in fitting if m.warm.get(service, 0) > self._now]
        return warm or sorted(fitting, key=lambda m: _rank(service, m))[:HOMES]

    def _use(self, machine: _Machine) -> tuple[float, float]:
        if machine.used is not None and self._now - machine.used_us < USE_FRESH_US:
            base, more, share = machine.used, machine.since(machine.used_us), self._ratio
            return base[0] + more[0] * share[0], base[1] + more[1] * share[1]
        asked, bias = self._asked(machine), machine.bias
        return asked[0] * self._ratio[0] + bias[0], asked[1] * self._ratio[1] + bias[1]

    def _asked(self, machine: _Machine) -> tuple[float, float]:
        """What accepted tasks ask; a machine not yet heard from counts as average."""
        average, more = self._average, machine.since(machine.asked_us)
        base = machine.asked or (machine.size[0] * average[0], machine.size[1] * average[1])
        return base[0] + more[0], base[1] + more[1]

    def _load(self, machine: _Machine) -> float:
        # REM's l over L: L, what the machine can serve, is its cores over the used share of the asked.
        return self._use(machine)[0] / machine.size[0]

    def _fits(self, task: _Task, machine: _Machine, most_cores: float, most_memory: float) -> bool:
        ask, size, adds = (task.arrival.cores, task.arrival.memory), machine.size, self._task_use(task)
        asked, use = self._asked(machine), self._use(machine)
        return (asked[0] + ask[0] <= self._settings.booking_cores * size[0] + 1e-6
                and asked[1] + ask[1] <= self._settings.booking_memory * size[1] + 1e-6
                and use[0] + adds[0] <= most_cores * size[0] and use[1] + adds[1] <= most_memory * size[1])

    def _migrate(self, machine: _Machine) -> None:
        """REM: with the gated linear chance, move one own task off the machine that was just bound to."""
        load = self._load(machine)
        chance = 0.0 if load < R_MIN else 1.0 if load >= R_MAX else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        if self._random.random() >= chance:
            return
        movable = [task for task in machine.own.values() if task.placed
                   and min(task.left_us(self._now), self._now - task.since_us) >= MOVE_REST_US]
        # Which one: most relief (cores, and for how long) for the least worth that its restart loses.
        movable.sort(key=lambda t: -t.arrival.cores * t.left_us(self._now) / (t.cls.worth + 0.1))
        for task in movable:
            if any(m is not machine and not m.gone and task.cls.kind in (None, m.listed.kind)
                   and self._load(m) < R_MIN and self._fits(task, m, FULL_CORES, FULL_MEMORY)
                   for m in self._machines.values()):
                del machine.own[task.arrival.request]  # it is on its way: no further bind may move it again
                self._actions.append(api.Move(task.arrival.request))
                return

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
        # Never abandoned early: a slow start that comes is worth more than a second one in line.
        self._actions.append(api.Bind(arrival.request, machine.listed.machine, arrival.deadline_us))

    def _enter(self, task: _Task, machine: _Machine, attempt: int) -> None:
        self._out[(task.arrival.request, attempt)] = (machine, task)
        self._tasks[task.arrival.request] = machine.own[task.arrival.request] = task
        self._spread[self._spread_key(task, machine)] += 1

    def _may_bind(self, task: _Task, machine: _Machine) -> bool:
        settings, cls, listed = self._settings, task.cls, machine.listed
        # Rule 3. Danger: work sent to a machine that drains or is gone; stopped at once, not after the grace.
        if machine.gone or cls.kind not in (None, listed.kind):
            return False
        # Rule 1. Danger: a send after the end. Rule 2. Danger: a second attempt while one is out.
        if (task.out is not None or task.placed or task.attempts >= settings.attempts_most
                or self._now >= task.due_us):
            return False
        # Rule 2. Danger: a second start of what may already run.
        if task.maybe is not None and cls.effect is not api.Effect.SAFE:
            first_us, first = task.maybe
            if (cls.effect is api.Effect.UNSAFE or self._now >= first_us + cls.window_us - settings.tick_us
                    or _place(first, cls.group) != _place(listed, cls.group)):
                return False
        # Rule 4. Danger: all placers together push over a cold machine; each takes its part of the offers.
        if self._is_cold(machine):
            while machine.offers and machine.offers[0] <= self._now - settings.fall_us * 5 // 4:
                machine.offers.popleft()
            if len(machine.offers) >= int(settings.fresh_offers / settings.placers):
                return False
        # Rule 5. Danger: too many of one service where a single failure takes them all.
        return cls.spread is api.Place.NONE or self._spread[self._spread_key(task, machine)] < cls.spread_most

    def _is_cold(self, machine: _Machine) -> bool:
        launched = machine.listed.launched_us
        return launched > 0 and self._now < launched + self._settings.cold_us

    def _spread_key(self, task: _Task, machine: _Machine) -> tuple[str, object]:
        return task.arrival.service, _place(machine.listed, task.cls.spread)

    def _on_arrival(self, event: api.TaskArrived) -> None:
        cls = self._classes.get(event.task_class)
        if cls is None or event.request in self._tasks:
            return
        due_us = event.deadline_us - self._settings.tick_us
        task = self._tasks[event.request] = _Task(event, cls, self._now, due_us)
        self._probes_due = min(10.0, self._probes_due + PROBE_POINTS / max(self._settings.prices.probe, 1e-4))
        self._actions.append(api.SetTimer(due_us, str(event.request)))
        self._settle(task)

    def _on_found(self, event: api.TaskFound) -> None:
        cls, machine = self._classes.get(event.arrival.task_class), self._machines.get(event.machine)
        if cls is None or machine is None or event.arrival.request in self._tasks:
            return
        self._enter(_Task(event.arrival, cls, self._now, attempts=1, out=0, placed=True), machine, 0)
        machine.warm[event.arrival.service] = FOREVER_US

    def _on_placed(self, event: api.TaskPlaced) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or task.placed or task.out != event.attempt:
            return
        machine.starts -= 1
        machine.strikes = machine.shun_until_us = 0
        task.placed, task.since_us = True, self._now
        machine.warm[task.arrival.service] = FOREVER_US

    def _on_ended(self, event: api.AttemptEnded) -> None:
        machine, task = self._out.pop((event.request, event.attempt), (None, None))
        if machine is None or task is None:
            return
        arrival, placed = task.arrival, task.placed
        machine.own.pop(event.request, None)
        self._spread[self._spread_key(task, machine)] -= 1
        unrun = event.request if event.outcome in PROVEN_UNRUN else None  # taken back, not ended
        machine.changes = [each for each in machine.changes
                           if each[1] != unrun and each[0] > self._now - CHANGES_KEPT_US]
        if unrun is None:
            machine.changes.append((self._now, event.request, -arrival.cores, -arrival.memory))
        self._on_report(event)
        if event.reason is api.Reason.EVICTED:
            # Danger: memory grows after a start: figures say there is room where tasks are thrown out.
            machine.used, machine.used_us = (self._use(machine)[0], machine.size[1]), self._now
        if placed:
            machine.warm[arrival.service] = self._now + WARM_US
        else:
            machine.starts -= 1
            self._judge(machine, task, event)
        task.out = None
        if event.closed or placed:
            self._close(event)
        elif event.request in self._tasks:
            if event.outcome not in PROVEN_UNRUN and task.maybe is None:
                task.maybe = task.since_us, machine.listed
            # What no further send could serve is ended at once: its owner may ask again the sooner.
            spent = task.attempts >= self._settings.attempts_most
            if spent or (task.maybe and task.cls.effect is api.Effect.UNSAFE):
                self._end(task)
            else:
                self._settle(task)

    def _judge(self, machine: _Machine, task: _Task, event: api.AttemptEnded) -> None:
        full = event.reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY)
        if event.outcome is api.Outcome.REFUSED and full:
            # Danger: a stale view says there is room. The machine's own word outranks it until a newer view.
            asked, which = list(self._asked(machine)), int(event.reason is api.Reason.NO_MEMORY)
            most = (self._settings.booking_cores, self._settings.booking_memory)[which] * machine.size[which]
            asked[which] = max(asked[which], most - (task.arrival.cores, task.arrival.memory)[which] + 0.01)
            machine.asked, machine.asked_us = (asked[0], asked[1]), self._now
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.DONE):
            # Danger: a dead, stalled or choked machine looks the least loaded and draws every task.
            machine.shun_until_us = self._now + (SHUN_US << machine.strikes)
            machine.strikes = min(machine.strikes + 1, SHUN_DOUBLINGS)

    def _end(self, task: _Task) -> None:
        # Danger (rule 2): a refusal says that trying again does no harm: given only where that is true.
        anywhere = task.cls.effect is api.Effect.KEYED and task.cls.group is api.Place.ALL
        unrun, safe = task.out is None and task.maybe is None, task.cls.effect is api.Effect.SAFE
        self._actions.append((api.Refuse if unrun or safe or anywhere else api.Fail)(task.arrival.request))
        self._close(task.arrival)

    def _close(self, ended: api.TaskWithdrawn | api.AttemptEnded | api.TaskArrived) -> None:
        self._tasks.pop(ended.request, None)
        self._held.pop(ended.request, None)

    def _on_list(self, event: api.MachineList) -> None:
        settings = self._settings
        if event.form is api.ListForm.FAILED:
            self._watching = settings.discovery is api.Discovery.PUSH
            self._ask_fails += 1
            pause = min(ASK_BACK_US << min(self._ask_fails, 8), settings.ask_every_us // 4)
            self._ask_at_us = self._now + int(pause * self._random.uniform(0.5, 1.0))
        elif event.form is not api.ListForm.SAVED:
            self._watching, self._ask_fails = True, 0
        if event.form in (api.ListForm.FULL, api.ListForm.SAVED):
            listed = {entry.machine for entry in event.machines}
            for ident, machine in self._machines.items():
                machine.gone = machine.gone or ident not in listed
        for entry in event.machines:
            size = self._sizes.get(entry.kind, (1.0, 1.0))
            machine = self._machines.setdefault(entry.machine, _Machine(entry, size))
            if entry.launched_us > machine.listed.launched_us:  # what was known of the old process is void
                machine.strikes = machine.shun_until_us = 0
                machine.asked = machine.used = None
                machine.warm.clear()
            machine.listed, machine.gone = entry, entry.phase is not api.Phase.RUNNING
            if settings.room_in_list:
                self._hear(machine, (entry.free_cores, entry.free_memory), self._now - VIEW_LAG_US, False)
        self._plan()

    def _hear(self, machine: _Machine, free: tuple[float, float], as_of_us: int, use: bool) -> None:
        low, pairs = 0 if use else -4, zip(free, machine.size, strict=True)
        if not all(isfinite(figure) and low * size <= figure <= 1.5 * size for figure, size in pairs):
            return
        figures = machine.size[0] - free[0], machine.size[1] - free[1]
        if use:
            machine.used, machine.used_us = figures, as_of_us
        elif machine.asked is None or as_of_us > machine.asked_us:
            machine.asked, machine.asked_us = figures, as_of_us

    def _on_report(self, event: api.Probed | api.AttemptEnded) -> None:
        machine, report = self._machines.get(event.machine), event.report
        if machine and report and report.free_cores is not None and report.free_memory is not None:
            free = report.free_cores, report.free_memory
            self._hear(machine, free, self._now - REPORT_LAG_US, self._settings.reports_use)

    def _on_timer(self, event: api.TimerDue) -> None:
        task = self._tasks.get(int(event.name)) if event.name.isdecimal() else None
        if event.name == "sweep":
            self._sweep()
        # Danger (rule 1): nothing may stay unanswered past its own deadline, whatever was hoped for it.
        elif task is not None and not task.placed and self._now >= task.due_us:
            self._end(task)

    def _on_note(self, event: api.TaskNote) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or not isfinite(event.level) or event.level < 0:
            return
        cores, memory = self._use(machine)
        if event.kind in (api.NoteKind.CORES_USED, api.NoteKind.MEMORY_USED):
            which = int(event.kind is api.NoteKind.MEMORY_USED)
            share = event.level / max((task.arrival.cores, task.arrival.memory)[which], 1e-6)
            if share <= ABSURD_SHARE:
                task.used[event.kind] = event.level
                if self._now - task.since_us >= GROW_US:
                    self._class_ratio[task.cls.name][which] *= 1 - USE_RATE
                    self._class_ratio[task.cls.name][which] += USE_RATE * share
        elif event.kind is api.NoteKind.SERVED and event.level < 1:
            # Danger: served poorly means crowded or slow, whatever the list says: take it as used up.
            crowded = (task.cls.calm + (1 - event.level) * task.cls.fade) * machine.size[0]
            machine.used, machine.used_us = (max(cores, crowded), memory), self._now
        elif event.kind is api.NoteKind.MACHINE_MEMORY and event.level <= 1.5:
            machine.used, machine.used_us = (cores, event.level * machine.size[1]), self._now

    def _plan(self) -> None:
        """Where machines in use are priced, narrow the candidates to what the load needs, large first."""
        running = [m for m in self._machines.values() if not m.gone]
        heard = [(m.asked, m.size) for m in running if m.asked is not None]
        if heard:
            self._average = (sum(asked[0] for asked, _ in heard) / sum(size[0] for _, size in heard),
                             sum(asked[1] for asked, _ in heard) / sum(size[1] for _, size in heard))
        need = [sum(self._use(m)[i] for m in running) / FLEET_FILL for i in (0, 1)]
        running.sort(key=lambda m: (-m.size[0], _rank("", m)))
        for rank, machine in enumerate(running):
            machine.active = self._settings.prices.fleet == 0 or rank < LEAST_LOADED or max(need) > 0
            need = [need[0] - machine.size[0], need[1] - machine.size[1]]

    def _sweep(self) -> None:
        self._actions.append(api.SetTimer(self._now + SWEEP_US, "sweep"))
        # Danger (rule 3): one not subscribed that asks too seldom is deemed told of drains it never heard of.
        if not self._watching and self._now >= self._ask_at_us:
            self._ask_at_us = self._now + self._settings.ask_every_us // 2
            self._actions.append(api.WatchList())
        self._learn_use()
        stale = [m for m in self._machines.values()
                 if not m.gone and self._now - max(m.used_us, m.asked_us, m.probed_us) > USE_FRESH_US // 2]
        if stale and self._may_probe and self._probes_due >= 1:
            machine = min(stale, key=lambda m: max(m.used_us, m.probed_us))
            machine.probed_us = self._now
            self._probes_due -= 1
            self._actions.append(api.Probe(machine.listed.machine))
        self._no_room.clear()
        for request in list(self._held):
            self._settle(self._tasks[request])

    def _task_use(self, task: _Task) -> tuple[float, float]:
        ask, ratio = task.arrival, self._class_ratio[task.cls.name]
        usual = ask.cores * ratio[0], ask.memory * ratio[1]
        young = self._now - task.since_us < GROW_US
        memory = max(task.used.get(api.NoteKind.MEMORY_USED, usual[1]), usual[1] if young else 0.0)
        return task.used.get(api.NoteKind.CORES_USED, usual[0]), memory

    def _learn_use(self) -> None:
        uses = [(task.arrival, self._task_use(task)) for task in self._tasks.values() if task.placed]
        if uses:
            self._ratio = (sum(use[0] for _, use in uses) / max(sum(ask.cores for ask, _ in uses), 1e-6),
                           sum(use[1] for _, use in uses) / max(sum(ask.memory for ask, _ in uses), 1e-6))
        for machine in self._machines.values():
            own = [(task.arrival, self._task_use(task)) for task in machine.own.values() if task.placed]
            machine.bias = (sum(use[0] - ask.cores * self._ratio[0] for ask, use in own),
                            sum(use[1] - ask.memory * self._ratio[1] for ask, use in own))
