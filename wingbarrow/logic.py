"""All decisions of wingbarrow. Its types, settings, events and actions are in interface.py.

Random Early Migration (REM, Zhao and Kuo) decides the ordinary path: a random pick of the three least loaded
machines that fit; a bind may move an own task. All else keeps the rules, or REM's view of load honest.
"""

import heapq
import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
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
FLEET_FILL = 0.6  # use that the candidate set is planned for where machines in use are priced
VIEW_LAG_US, REPORT_LAG_US = 2_500_000, 500_000  # list and reports are taken to tell of this long ago
USE_FRESH_US = 3 * SECOND  # a measured use counts so long, then the usual share; probed at half of it
USE_PRIOR, PRIOR_NOTES, USE_RATE = 0.8, 10, 0.01  # share of the asked taken as used at first; so many notes
# of own tasks weigh as much (few, as most placers hold little); least weight of a note, so that old ones fade
GROW_US, FOUND_US = 8 * SECOND, 5 * SECOND  # memory of a younger task grows; of one handed over, so long
REST_US, REST_DOUBLINGS = 500_000, 4  # rest after a broken answer, doubled so often at most
SILENT_US, WHOLE = 3 * SECOND, ""  # rest after silence to a class; key of what regards all classes
STARTS_MOST, STARTS_SHARED, WARM_TIMES = 4, 8, 4  # own starts out on a machine; few share it; times if warm
PROBES_MOST = 10.0  # probes saved up, or owed for figures that came unasked, at most
PROBE_POINTS = 0.003  # what probes may cost in all, as a share of the result
RANKS_KEPT, WARM_KEPT = 512, 1024  # services whose order of machines, and whose warm machines, are kept
SWEEP_US = 40_000  # held tasks are tried again this often
MOVE_REST_US = 4 * SECOND  # a task that began more lately, or has less to run, is not worth a restart
LEFT_UNTOLD_US = 10 * SECOND  # what a task is taken to have left where owners do not say
ASK_BACK = 0.25  # longest pause after discovery failed, as a share of the time to be 'deemed told'
FORGET_US = 15 * SECOND  # a machine is forgotten so long after it left the list
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
    erred: "_Machine | None" = None  # where it met its first error

    def left_us(self, now_us: int) -> int:
        return self.since_us + (self.arrival.remaining_us or LEFT_UNTOLD_US) - now_us


@dataclass(slots=True, eq=False)
class _Machine:
    """What is known of a machine; figures are [cores, memory]."""

    listed: api.ListedMachine
    size: tuple[float, float]
    gone: bool = False
    off_us: int | None = None  # since when it is off the list
    active: bool = True
    asked: list[float] = field(default_factory=lambda: [0.0, 0.0])  # as heard, and own changes since
    heard_us: int = -1  # what time the figure heard tells of
    changes: list[tuple[int, float, float]] = field(default_factory=list)  # own binds and ends
    beyond: tuple[float, float] = (0.0, 0.0)  # use beyond the usual share of the asked, as last measured
    measured_us: int = -1
    probed_us: int = -1
    own: dict[int, _Task] = field(default_factory=dict)
    starts: int = 0
    warm: dict[str, int] = field(default_factory=dict)  # programs it holds, and until when
    offers: deque[int] = field(default_factory=deque)  # offers while cold, by when they came
    unsure: dict[tuple[int, int], bool] = field(default_factory=dict)  # not known to have come; given up
    rests: dict[str, tuple[int, int]] = field(default_factory=dict)  # per class or WHOLE: strikes, until when

    def change(self, at_us: int, cores: float, memory: float) -> None:
        self.changes.append((at_us, cores, memory))
        if at_us > self.heard_us:
            self.asked[0] += cores
            self.asked[1] += memory

    def hear(self, cores: float, memory: float, as_of_us: int) -> None:
        self.asked, self.heard_us, known, self.changes = [cores, memory], as_of_us, self.changes, []
        for change in known:
            if change[0] > as_of_us - CHANGES_KEPT_US:
                self.change(*change)


def _rank(name: str, machine: _Machine) -> float:
    """A random order by name, the same at every placer, in which larger machines come first more often."""
    mixed = zlib.crc32(f"{name} {machine.listed.machine}".encode()) * 2654435761 % 4294967296
    return -log((mixed + 1) / 4294967297) / machine.size[0]


def _place(at: api.ListedMachine, scope: api.Place) -> object:
    return {api.Place.MACHINE: at.machine, api.Place.CELL: at.cell, api.Place.ZONE: at.zone}.get(scope)


class Scheduler:
    """One placer's decisions; it knows only what its own events tell."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self._sizes = {each.name: (each.cores, each.memory) for each in settings.kinds}
        self._machines: dict[int, _Machine] = {}
        self._tasks: dict[int, _Task] = {}
        self._on_settings(settings)
        self._out: dict[tuple[int, int], tuple[_Machine, _Task]] = {}
        self._spread: Counter[tuple[str, object]] = Counter()
        self._held, self._closes = dict[int, None](), dict[int, int]()  # machines planned to close, and when
        self._no_room: dict[tuple[str, float, float], int] = {}  # when a shape last found no room
        self._oldest: list[tuple[int, int]] = []  # machines by the age of their figures, as a heap
        self._warm_at, self._warm_most = dict[str, dict[int, None]](), WARM_KEPT  # where a service was warm
        self._busy, self._ranks = set[str](), dict[str, list[_Machine]]()  # classes without a start
        self._ratio, self._average = [USE_PRIOR, USE_PRIOR], [0.5, 0.5]  # of asked; of size
        self._notes: list[float] = [PRIOR_NOTES, PRIOR_NOTES]
        self._watching = settings.discovery is api.Discovery.PUSH
        self._ask_at_us, self._probes_due, self._now = 0, 1.0, -1
        self._born_us, self._wake_us = -1, FOREVER_US
        self._actions: list[api.Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.MachineList: self._on_list, api.TaskArrived: self._on_arrival, api.TaskFound: self._on_found,
            api.TaskWithdrawn: self._close, api.TaskPlaced: self._on_placed, api.AttemptEnded: self._on_ended,
            api.Probed: self._on_report, api.TaskNote: self._on_note, api.TimerDue: self._on_timer,
            api.Learned: self._on_learned, api.Planned: self._on_planned, api.Settings: self._on_settings}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self._actions, self._now = [], now_us
        self._handlers[type(event)](event)
        return self._actions

    def _on_settings(self, settings: api.Settings) -> None:  # at the start, and when rules change
        self._settings, self._classes = settings, {each.name: each for each in settings.classes}
        for task in self._tasks.values():
            task.cls = self._classes.get(task.cls.name, task.cls)

    def knowledge(self, now_us: int) -> api.Knowledge:
        """What is known of machines, as a value for another instance; it changes nothing."""
        known = []
        for ident, m in self._machines.items():
            warm = {name: min(until - now_us, WARM_US) for name, until in m.warm.items() if until > now_us}
            rests = {key: (strikes, until - now_us)
                     for key, (strikes, until) in m.rests.items() if until > now_us}
            heard, measured = m.heard_us >= 0, m.measured_us >= 0
            known.append(api.MachineKnowledge(
                ident, m.gone, m.listed.launched_us, (m.asked[0], m.asked[1]) if heard else None,
                now_us - m.heard_us if heard else None, m.beyond if measured else None,
                now_us - m.measured_us if measured else None, warm, rests))
        return api.Knowledge(tuple(known), (self._ratio[0], self._ratio[1]), (self._notes[0], self._notes[1]))

    def _wake(self, at_us: int) -> None:
        """Have the sweep run then or before; it runs only while something waits for it."""
        if at_us < self._wake_us:
            self._wake_us = at_us
            self._actions.append(api.SetTimer(at_us, "sweep"))

    def _settle(self, task: _Task) -> None:
        """REM's ordinary path: a random pick of the three least loaded candidates, then perhaps a move."""
        candidates = self._candidates(task)
        self._held[task.arrival.request] = None
        if candidates:
            machine = self._random.choice(sorted(candidates, key=self._load)[:LEAST_LOADED])
            self._bind(task, machine)
            self._migrate(machine)
        else:
            self._wake(self._now + SWEEP_US)

    def _candidates(self, task: _Task) -> list[_Machine]:
        """The machines among which REM picks: allowed and fitting, narrowed to where the program is warm."""
        service, shape = task.arrival.service, (task.cls.name, task.arrival.cores, task.arrival.memory)
        if self._now - self._no_room.get(shape, -SWEEP_US) < SWEEP_US or task.cls.name in self._busy:
            return []
        starts = max(STARTS_MOST, STARTS_SHARED // self._settings.placers)
        tight = max(TIGHT_CORES, task.cls.calm + TIGHT_FADE * task.cls.fade)
        full, shut, allowed = (FULL_CORES, FULL_MEMORY), set[int](), False

        def suits(m: _Machine, active: bool, cores: float, memory: float, times: int = 1) -> bool:
            nonlocal allowed
            if m.gone or m.starts >= starts * times or not self._trusts(m, task.cls.name):
                shut.add(m.listed.machine)
            elif self._may_bind(task, m):
                allowed = True
                return (m.active or not active) and self._fits(task, m, cores, memory)
            return False
        holds = [m for m in map(self._machines.get, self._warm_at.get(service, ()))
                 if m and m.warm.get(service, 0) > self._now]
        # Few machines are looked at. Warm ones also beyond what the load needs: a cold start costs more.
        for tier in ((True, *full), (False, *full), (False, tight, TIGHT_MEMORY)):
            found = ([m for m in holds if suits(m, False, *tier[1:], WARM_TIMES)]
                     or list(islice((m for m in self._ranked(service) if suits(m, *tier)), HOMES)))
            if found:
                return found
        if allowed:
            self._no_room[shape] = self._now
        elif len(shut) == len(self._machines):
            # Danger: past what machines start, each held task would look at all of them at each sweep, and
            # what is owed would come late. Until a start ends there is nothing to be found.
            self._busy.add(task.cls.name)
        return []

    def _ranked(self, service: str) -> list[_Machine]:
        """All machines in the service's own order, the same at every placer; kept while the fleet is."""
        if service not in self._ranks:
            if len(self._ranks) >= RANKS_KEPT:
                del self._ranks[next(iter(self._ranks))]
            self._ranks[service] = sorted(self._machines.values(), key=lambda m: _rank(service, m))
        return self._ranks[service]

    def _warms(self, machine: _Machine, service: str, until_us: int) -> None:
        if len(self._warm_at) >= self._warm_most:  # forget programs that have gone cold
            self._warm_at = {}
            for each in self._machines.values():
                each.warm = {name: until for name, until in each.warm.items() if until > self._now}
                for name in each.warm:
                    self._warm_at.setdefault(name, {})[each.listed.machine] = None
            self._warm_most = WARM_KEPT + 2 * len(self._warm_at)
        machine.warm[service] = until_us
        self._warm_at.setdefault(service, {})[machine.listed.machine] = None

    def _trusts(self, machine: _Machine, name: str) -> bool:
        """Whether no rest runs; one just over admits a single task, until it proves itself."""
        rests = [machine.rests[key] for key in (WHOLE, name) if key in machine.rests] if machine.rests else ()
        return all(self._now >= until_us and not machine.starts for _, until_us in rests)

    def _use(self, machine: _Machine) -> tuple[float, float]:
        (cores, memory), fresh = machine.asked, self._now - machine.measured_us < USE_FRESH_US
        more = machine.beyond if fresh and machine.measured_us >= 0 else (0.0, 0.0)
        return cores * self._ratio[0] + more[0], memory * self._ratio[1] + more[1]

    def _measure(self, machine: _Machine, cores: float, memory: float) -> None:
        machine.beyond = cores - machine.asked[0] * self._ratio[0], memory - machine.asked[1] * self._ratio[1]
        machine.measured_us = self._now

    def _load(self, machine: _Machine) -> float:  # REM's l over L, the cores that the machine has
        return self._use(machine)[0] / machine.size[0]

    def _fits(self, task: _Task, machine: _Machine, most_cores: float, most_memory: float) -> bool:
        ask, size = (task.arrival.cores, task.arrival.memory), machine.size
        asked, use, ratio = machine.asked, self._use(machine), self._ratio
        return (asked[0] + ask[0] <= self._settings.booking_cores * size[0] + 1e-6
                and asked[1] + ask[1] <= self._settings.booking_memory * size[1] + 1e-6
                and use[0] + ask[0] * ratio[0] <= most_cores * size[0]
                and use[1] + ask[1] * ratio[1] <= most_memory * size[1])

    def _migrate(self, machine: _Machine) -> None:
        """REM: with the gated linear chance, move one own task off the machine that was just bound to."""
        load = self._load(machine)
        chance = 0.0 if load < R_MIN else 1.0 if load >= R_MAX else P_MAX * (load - R_MIN) / (R_MAX - R_MIN)
        if self._random.random() >= chance:
            return
        # Danger: a move starts its task a second time; what must never start twice stays where it is.
        movable = [task for task in machine.own.values()
                   if task.placed and task.cls.effect is not api.Effect.UNSAFE
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

    def _bind(self, task: _Task, machine: _Machine) -> None:  # every send passes here, and so _may_bind
        if not self._may_bind(task, machine):
            return
        arrival, attempt, settings = task.arrival, task.attempts, self._settings
        task.attempts, task.out, task.since_us = attempt + 1, attempt, self._now
        self._enter(task, machine, attempt)
        machine.starts += 1
        machine.change(self._now, arrival.cores, arrival.memory)
        if self._is_cold(machine):
            if settings.arrivals_told:
                machine.unsure[(arrival.request, attempt)] = False
            else:
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
        # Danger: a long task would be cut off by a planned window; short ones still end before it.
        left_us = task.arrival.remaining_us or LEFT_UNTOLD_US
        if self._closes and self._now + left_us > self._closes.get(listed.machine, FOREVER_US):
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
            span = settings.fall_us * 5 // 4  # a quarter longer: offers travel; spent at one's own start
            while machine.offers and machine.offers[0] <= self._now - span:
                machine.offers.popleft()
            each, over = divmod(int(settings.fresh_offers), settings.placers)
            turn = (settings.index + listed.machine) % settings.placers
            # Danger: offers that wait unread at a machine that stands still come all at once when it goes on.
            spent = len(machine.offers) + len(machine.unsure)
            if spent >= each + (turn < over) or self._now < self._born_us + span:
                return False
        # Rule 5. Danger: too many of one service where a single failure takes them all.
        return cls.spread is api.Place.NONE or self._spread[self._spread_key(task, machine)] < cls.spread_most

    def _came(self, machine: _Machine, key: tuple[int, int] | None, outcome: api.Outcome | None) -> None:
        """A word of the machine, or the end of an offer: what came, or may yet come, of those while cold."""
        if not machine.unsure:
            return
        if outcome in (api.Outcome.NOT_SENT, api.Outcome.UNREACHABLE):
            machine.unsure = {each: known for each, known in machine.unsure.items() if each != key}
        elif key in machine.unsure and outcome in (api.Outcome.TIMED_OUT, api.Outcome.CANCELLED):
            machine.unsure[key] = True  # nobody waits for it, but it may come: until the machine speaks
        else:
            for each in [each for each, given_up in machine.unsure.items() if given_up or each == key]:
                del machine.unsure[each]
                machine.offers.append(self._now)

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
        earned = PROBE_POINTS / max(self._settings.prices.probe, 1e-4)
        self._probes_due = min(PROBES_MOST, self._probes_due + earned)
        self._actions.append(api.SetTimer(due_us, str(event.request)))
        self._settle(task)
        if self._settings.may_probe and self._settings.reports is not api.Reports.NONE:
            self._probe()

    def _on_found(self, event: api.TaskFound) -> None:
        cls, machine = self._classes.get(event.arrival.task_class), self._machines.get(event.machine)
        if cls is None or machine is None or event.arrival.request in self._tasks:
            return
        self._enter(_Task(event.arrival, cls, self._now, attempts=1, out=0, placed=True), machine, 0)
        self._warms(machine, event.arrival.service, FOREVER_US)

    def _on_placed(self, event: api.TaskPlaced) -> None:
        machine, task = self._out.get((event.request, event.attempt), (None, None))
        if machine is None or task is None or task.placed or task.out != event.attempt:
            return
        self._came(machine, (event.request, event.attempt), None)
        machine.starts -= 1
        self._busy.clear()
        machine.rests.pop(WHOLE, None)
        machine.rests.pop(task.cls.name, None)
        task.placed, task.since_us = True, self._now
        self._warms(machine, task.arrival.service, FOREVER_US)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        machine, task = self._out.pop((event.request, event.attempt), (None, None))
        if machine is None or task is None:
            return
        arrival = task.arrival
        self._came(machine, (event.request, event.attempt), event.outcome)
        machine.own.pop(event.request, None)
        spot = self._spread_key(task, machine)
        self._spread[spot] -= 1
        if not self._spread[spot]:  # nothing is kept of services without tasks
            del self._spread[spot]
        at_us = task.since_us if event.outcome in PROVEN_UNRUN else self._now  # what never ran is taken back
        machine.change(at_us, -arrival.cores, -arrival.memory)
        self._on_report(event)
        if task.placed:
            self._warms(machine, arrival.service, self._now + WARM_US)
        else:
            machine.starts -= 1
            self._busy.clear()
            self._judge(machine, task, event)
        task.out = None
        if event.closed or task.placed:
            self._close(event)
        elif event.request in self._tasks:
            if event.outcome not in PROVEN_UNRUN and task.maybe is None:
                task.maybe = task.since_us, machine.listed
            # What no further send could serve is ended at once: its owner may ask again the sooner.
            if (task.attempts >= self._settings.attempts_most
                    or (task.maybe and task.cls.effect is api.Effect.UNSAFE)):
                self._end(task)
            else:
                self._settle(task)

    def _judge(self, machine: _Machine, task: _Task, event: api.AttemptEnded) -> None:
        if event.reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY):
            # Danger: a stale view says there is room. The machine's own word outranks it until a newer view.
            asked, which = list(machine.asked), int(event.reason is api.Reason.NO_MEMORY)
            most = (self._settings.booking_cores, self._settings.booking_memory)[which] * machine.size[which]
            asked[which] = max(asked[which], most - (task.arrival.cores, task.arrival.memory)[which] + 0.01)
            machine.hear(asked[0], asked[1], self._now)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.DONE):
            # Danger: a dead or choked machine looks the least loaded and draws every task. Silence and bare
            # refusals may regard one class alone: only that class rests there, and its own start clears it.
            apart = (event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.REFUSED)
                     and event.reason is api.Reason.UNTOLD)
            key, rest_us = (task.cls.name, SILENT_US) if apart else (WHOLE, REST_US)
            strikes, until_us = machine.rests.get(key, (0, 0))
            if event.outcome is api.Outcome.ERROR:
                # Danger: what no machine can use would have all rest in turn; a second error clears both.
                other, task.erred = (None if task.erred is machine else task.erred), machine
                if other is not None:
                    other.rests[key] = 0, 0
                if other is not None or self._now < until_us:  # errors at once are one sign
                    return
            machine.rests[key] = min(strikes + 1, REST_DOUBLINGS), self._now + (rest_us << strikes)

    def _end(self, task: _Task) -> None:
        # Danger (rule 2): a refusal says that trying again does no harm: given only where that is true.
        anywhere = task.cls.effect is api.Effect.KEYED and task.cls.group is api.Place.ALL
        harmless = anywhere or task.cls.effect is api.Effect.SAFE or (task.out is None and task.maybe is None)
        self._actions.append((api.Refuse if harmless else api.Fail)(task.arrival.request))
        self._close(task.arrival)

    def _close(self, ended: api.TaskWithdrawn | api.AttemptEnded | api.TaskArrived) -> None:
        self._tasks.pop(ended.request, None)
        self._held.pop(ended.request, None)

    def _on_list(self, event: api.MachineList) -> None:
        if event.form is api.ListForm.FAILED:
            self._watching = self._settings.discovery is api.Discovery.PUSH
            self._ask_at_us = self._now + int(self._settings.ask_every_us * ASK_BACK * self._random.random())
        elif event.form is api.ListForm.SAVED:
            self._born_us = self._now  # it comes once, at the scheduler's start
        else:
            self._watching = True
        if event.form in (api.ListForm.FULL, api.ListForm.SAVED):
            listed = {entry.machine for entry in event.machines}
            for ident, known in self._machines.items():
                if ident not in listed:
                    known.gone, known.off_us = True, known.off_us or self._now
        for entry in event.machines:
            machine = self._machines.get(entry.machine)
            if machine is None:
                heapq.heappush(self._oldest, (-1, entry.machine))
            if machine is None or entry.launched_us > machine.listed.launched_us:
                offers = machine.offers if machine else deque[int]()
                machine = _Machine(entry, self._sizes.get(entry.kind, (1.0, 1.0)), offers=offers)
                self._machines[entry.machine] = machine
                self._ranks.clear()
            machine.listed, machine.gone = entry, entry.phase is not api.Phase.RUNNING
            machine.off_us = (machine.off_us or self._now) if entry.phase is api.Phase.GONE else None
            if self._settings.room_in_list:
                self._hear(machine, entry.free_cores, entry.free_memory, self._now - VIEW_LAG_US)
        # What left the list is forgotten with its last task, once no offer counts any more should it return.
        for ident, known in list(self._machines.items()):
            if known.off_us and not known.own and not known.starts and self._now - known.off_us > FORGET_US:
                del self._machines[ident]
                self._ranks.clear()
        self._busy.clear()
        self._plan()
        if not self._watching:
            self._wake(self._ask_at_us)

    def _hear(self, machine: _Machine, cores: float, memory: float, as_of_us: int | None) -> None:
        """Take in free cores and memory: not asked for at a time, or (no time) not in use now."""
        size, low = machine.size, 0 if as_of_us is None else -4
        # A figure that is no number fails both comparisons: it counts as not heard.
        if not (low * size[0] <= cores <= 1.5 * size[0] and low * size[1] <= memory <= 1.5 * size[1]):
            return
        if as_of_us is None:
            self._measure(machine, size[0] - cores, size[1] - memory)
        elif as_of_us > machine.heard_us:
            machine.hear(size[0] - cores, size[1] - memory, as_of_us)

    def _on_report(self, event: api.Probed | api.AttemptEnded) -> None:
        machine, report = self._machines.get(event.machine), event.report
        if machine and report and report.free_cores is not None and report.free_memory is not None:
            self._came(machine, None, None)
            as_of_us = None if self._settings.reports_use else self._now - REPORT_LAG_US
            self._hear(machine, report.free_cores, report.free_memory, as_of_us)

    def _on_learned(self, event: api.Learned) -> None:
        """Hearsay, weighed by its age before. Own experience outranks it: only what is newer counts."""
        for each in event.machines:
            machine = self._machines.get(each.machine)
            if machine is None or machine.gone:
                continue
            if each.asked is not None and self._now - each.asked_age_us > machine.heard_us:
                machine.hear(*each.asked, self._now - each.asked_age_us)  # own binds since then stay on top
            if each.beyond is not None and self._now - each.measured_age_us > machine.measured_us:
                machine.beyond, machine.measured_us = each.beyond, self._now - each.measured_age_us
                self._probes_due = max(-PROBES_MOST, self._probes_due - 1)  # it spares a probe of one's own
            for service, left in each.warm_us.items():
                until_us = self._now + min(left, WARM_US)
                self._warms(machine, service, max(machine.warm.get(service, 0), until_us))
            # Danger: a peer's quarrel with a machine that serves this placer well would keep it from it.
            for key, (strikes, left) in () if machine.own else each.rests_us.items():
                machine.rests.setdefault(key, (min(strikes, REST_DOUBLINGS), self._now + left))
        for i, weight in enumerate(event.notes):
            if weight > 0:
                self._notes[i] += weight
                self._ratio[i] += (event.ratio[i] - self._ratio[i]) * weight / self._notes[i]

    def _on_planned(self, event: api.Planned) -> None:
        for machine, at_us in event.closes_us.items():
            if at_us is None:
                self._closes.pop(machine, None)
            else:
                self._closes[machine] = at_us
        self._no_room.clear()

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
        self._came(machine, (event.request, event.attempt), None)
        if event.kind in (api.NoteKind.CORES_USED, api.NoteKind.MEMORY_USED):
            which = int(event.kind is api.NoteKind.MEMORY_USED)
            ask = (task.arrival.cores, task.arrival.memory)[which]
            tells = which == 0 or self._now - task.since_us >= (GROW_US if task.due_us else FOUND_US)
            if tells and task.placed and ask > 0 and event.level <= machine.size[which]:
                self._notes[which] += 1
                rate = max(USE_RATE, 1 / self._notes[which])
                self._ratio[which] += rate * (event.level / ask - self._ratio[which])
        elif event.kind is api.NoteKind.SERVED and event.level < 1:
            # Danger: served poorly means crowded or slow, whatever the list says: take it as used up.
            crowded = (task.cls.calm + (1 - event.level) * task.cls.fade) * machine.size[0]
            cores, memory = self._use(machine)
            self._measure(machine, max(cores, crowded), memory)

    def _plan(self) -> None:
        """Where machines in use are priced, narrow the candidates to what the load needs, large first."""
        running = [m for m in self._machines.values() if not m.gone]
        unheard = [m for m in running if m.heard_us < 0]
        heard = [m for m in running if m.heard_us >= 0] if unheard else []
        if heard:
            self._average = [sum(m.asked[i] for m in heard) / sum(m.size[i] for m in heard) for i in (0, 1)]
        for machine in unheard:  # a machine not yet heard from counts as average
            machine.hear(machine.size[0] * self._average[0], machine.size[1] * self._average[1], -1)
        if self._settings.prices.fleet == 0:
            return
        need = [sum(self._use(m)[i] for m in running) / FLEET_FILL for i in (0, 1)]
        running.sort(key=lambda m: (-m.size[0], _rank("", m)))
        for rank, machine in enumerate(running):
            machine.active = rank < LEAST_LOADED or max(need) > 0
            need = [need[0] - machine.size[0], need[1] - machine.size[1]]

    def _sweep(self) -> None:
        if self._now < self._wake_us:
            return  # an older timer that an earlier one has replaced
        self._wake_us = FOREVER_US
        # Danger (rule 3): one not subscribed that asks too seldom is deemed told of drains it never heard of.
        if not self._watching:
            if self._now >= self._ask_at_us:
                self._ask_at_us = self._now + self._settings.ask_every_us // 2
                self._actions.append(api.WatchList())
            self._wake(self._ask_at_us)
        self._busy.clear()
        for request in list(self._held):
            self._settle(self._tasks[request])

    def _probe(self) -> None:
        """Probe the machine whose figures are the oldest; the heap's times may be older than they are."""
        for _ in range(len(self._oldest) if self._probes_due >= 1 else 0):
            told_us, ident = self._oldest[0]
            machine = self._machines.get(ident)
            if machine is None:
                heapq.heappop(self._oldest)
                continue
            last_us = max(machine.measured_us, machine.probed_us)
            if machine.gone or told_us < last_us:
                heapq.heapreplace(self._oldest, (self._now if machine.gone else last_us, ident))
                continue
            machine.probed_us = self._now
            self._probes_due -= 1
            self._actions.append(api.Probe(ident))
            return
