"""What is known of machines and of what tasks use: list, reports, notes, hearsay. Nothing is chosen here."""

import heapq
import zlib
from collections import deque
from dataclasses import dataclass, field
from math import log

from wingbarrow import interface as api

SECOND = 1_000_000
LEAST_LOADED = 3  # the design's pick among the three least loaded
WARM_US, FOREVER_US = (
    10 * SECOND,
    1 << 62,
)  # a program is trusted to stay this long after an own task's end
FLEET_FILL = 0.6  # use that the candidate set is planned for where machines in use are priced
VIEW_LAG_US, REPORT_LAG_US = (
    2_500_000,
    500_000,
)  # list and reports are taken to tell of this long ago
USE_FRESH_US = (
    3 * SECOND
)  # a measured use counts so long, then the usual share; probed at half of it
USE_PRIOR, PRIOR_NOTES, USE_RATE = (
    0.8,
    10,
    0.01,
)  # share used at first, as so many notes; a note's least
GROW_US, FOUND_US = (
    8 * SECOND,
    5 * SECOND,
)  # memory of a younger task grows; of one handed over, so long
REST_US, REST_DOUBLINGS = 500_000, 4  # rest after a broken answer, doubled so often at most
SILENT_US, WHOLE = 3 * SECOND, ""  # rest after silence to a class; key of what regards all classes
MAX_PROBES, PROBE_POINTS = 10.0, 0.003  # saved up, or owed for unasked figures; part of the result
RANKS_KEPT, WARM_KEPT = (
    512,
    1024,
)  # services whose order of machines, and whose warm machines, are kept
LEFT_UNTOLD_US = 10 * SECOND  # what a task is taken to have left where owners do not say
FORGET_US, CHANGES_KEPT_US = (
    15 * SECOND,
    12 * SECOND,
)  # after it left the list; own binds that any list holds


@dataclass(slots=True, eq=False)
class Task:
    """A request in this scheduler's care until it ends."""

    arrival: api.TaskArrived
    cls: api.TaskClass
    since_us: int  # of its arrival, then of its latest bind or start
    due_us: int = 0  # the last time at which its final answer is in time
    attempts: int = 0
    out: int | None = None  # the attempt without an outcome
    placed: bool = False
    maybe: tuple[int, api.ListedMachine] | None = None  # the first attempt that may have run
    erred: "Machine | None" = None  # where it met its first error

    def left_us(self, now_us: int) -> int:
        return self.since_us + (self.arrival.remaining_us or LEFT_UNTOLD_US) - now_us


@dataclass(slots=True, eq=False)
class Machine:
    """What is known of a machine; figures are [cores, memory]."""

    listed: api.ListedMachine
    size: tuple[float, float]
    gone: bool = False
    off_us: int | None = None  # since when it is off the list
    active: bool = True
    asked: list[float] = field(
        default_factory=lambda: [0.0, 0.0]
    )  # as heard, and own changes since
    heard_us: int = -1  # what time the figure heard tells of
    changes: list[tuple[int, float, float]] = field(default_factory=list)  # own binds and ends
    beyond: tuple[float, float] = (
        0.0,
        0.0,
    )  # use beyond the usual share of the asked, as last measured
    measured_us: int = -1
    probed_us: int = -1
    own: dict[int, Task] = field(default_factory=dict)
    starts: int = 0
    warm: dict[str, int] = field(default_factory=dict)  # programs it holds, and until when
    offers: deque[int] = field(default_factory=deque)  # offers while cold, by when they came
    unsure: dict[tuple[int, int], bool] = field(
        default_factory=dict
    )  # not known to have come; given up
    rests: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # per class or WHOLE: strikes, until when

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

    def came(self, now_us: int, key: tuple[int, int] | None, outcome: api.Outcome | None) -> None:
        """A word of the machine, or the end of an offer: what came, or may yet come, of those while cold."""
        if outcome in (api.Outcome.NOT_SENT, api.Outcome.UNREACHABLE):
            self.unsure = {each: known for each, known in self.unsure.items() if each != key}
        elif outcome in (
            api.Outcome.TIMED_OUT,
            api.Outcome.CANCELLED,
        ):  # may come until the machine speaks
            self.unsure = {each: given_up or each == key for each, given_up in self.unsure.items()}
        else:
            came = [
                k
                for k, up in self.unsure.items()
                if (up and outcome != api.Outcome.BROKEN) or k == key
            ]
            self.unsure = {each: known for each, known in self.unsure.items() if each not in came}
            self.offers.extend([now_us] * len(came))


def _rank(name: str, machine: Machine) -> float:
    """A random order by name, the same at every placer, in which larger machines come first more often."""
    mixed = zlib.crc32(f"{name} {machine.listed.machine}".encode()) * 2654435761 % 4294967296
    return -log((mixed + 1) / 4294967297) / machine.size[0]


class Fleet:
    """The machines as one placer knows them; `now` is the time of the event in hand."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings, self.now, self.machines = settings, -1, dict[int, Machine]()
        self._sizes = {each.name: (each.cores, each.memory) for each in settings.kinds}
        self.warm_at, self._warm_most = (
            dict[str, dict[int, None]](),
            WARM_KEPT,
        )  # where a service was warm
        self._ranks, self._oldest, self._probes_due = (
            dict[str, list[Machine]](),
            list[tuple[int, int]](),
            1.0,
        )
        self.ratio, self._average = [USE_PRIOR, USE_PRIOR], [0.5, 0.5]  # of asked; of size
        self._notes: list[float] = [PRIOR_NOTES, PRIOR_NOTES]

    def knowledge(self, now_us: int) -> api.Knowledge:
        """What is known of machines, as a value for another instance; it changes nothing."""
        known = []
        for ident, m in self.machines.items():
            warm = {
                name: min(until - now_us, WARM_US)
                for name, until in m.warm.items()
                if until > now_us
            }
            rests = {
                key: (n, until - now_us) for key, (n, until) in m.rests.items() if until > now_us
            }
            heard, measured = m.heard_us >= 0, m.measured_us >= 0
            known.append(
                api.MachineKnowledge(
                    ident,
                    m.gone,
                    m.listed.launched_us,
                    (m.asked[0], m.asked[1]) if heard else None,
                    now_us - m.heard_us if heard else None,
                    m.beyond if measured else None,
                    now_us - m.measured_us if measured else None,
                    warm,
                    rests,
                )
            )
        return api.Knowledge(
            tuple(known), (self.ratio[0], self.ratio[1]), (self._notes[0], self._notes[1])
        )

    def use(self, machine: Machine) -> tuple[float, float]:
        (cores, memory), fresh = machine.asked, self.now - machine.measured_us < USE_FRESH_US
        more = machine.beyond if fresh and machine.measured_us >= 0 else (0.0, 0.0)
        return cores * self.ratio[0] + more[0], memory * self.ratio[1] + more[1]

    def load(self, machine: Machine) -> float:  # REM's l over L, the cores that the machine has
        return self.use(machine)[0] / machine.size[0]

    def fits(self, task: Task, machine: Machine, most_cores: float, most_memory: float) -> bool:
        ask, size = (task.arrival.cores, task.arrival.memory), machine.size
        asked, use, ratio = machine.asked, self.use(machine), self.ratio
        return (
            asked[0] + ask[0] <= self.settings.booking_cores * size[0] + 1e-6
            and asked[1] + ask[1] <= self.settings.booking_memory * size[1] + 1e-6
            and use[0] + ask[0] * ratio[0] <= most_cores * size[0]
            and use[1] + ask[1] * ratio[1] <= most_memory * size[1]
        )

    def is_cold(self, machine: Machine) -> bool:
        return machine.listed.launched_us > max(0, self.now - self.settings.cold_us)

    def ranked(self, service: str) -> list[Machine]:
        """All machines in the service's own order, the same at every placer; kept while the fleet is."""
        if service not in self._ranks:
            if len(self._ranks) >= RANKS_KEPT:
                del self._ranks[next(iter(self._ranks))]
            self._ranks[service] = sorted(self.machines.values(), key=lambda m: _rank(service, m))
        return self._ranks[service]

    def warms(self, machine: Machine, service: str, until_us: int) -> None:
        if len(self.warm_at) >= self._warm_most:  # forget programs that have gone cold
            self.warm_at = {}
            for each in self.machines.values():
                each.warm = {name: until for name, until in each.warm.items() if until > self.now}
                for name in each.warm:
                    self.warm_at.setdefault(name, {})[each.listed.machine] = None
            self._warm_most = WARM_KEPT + 2 * len(self.warm_at)
        machine.warm[service] = until_us
        self.warm_at.setdefault(service, {})[machine.listed.machine] = None

    def judge(self, machine: Machine, task: Task, event: api.AttemptEnded) -> None:
        """What the end of an attempt that did not start tells of its machine."""
        if event.reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY):
            # Danger: a stale view says there is room. The machine's own word outranks it until a newer view.
            asked, which = list(machine.asked), int(event.reason is api.Reason.NO_MEMORY)
            most = (self.settings.booking_cores, self.settings.booking_memory)[
                which
            ] * machine.size[which]
            asked[which] = max(
                asked[which], most - (task.arrival.cores, task.arrival.memory)[which] + 0.01
            )
            machine.hear(asked[0], asked[1], self.now)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.DONE):
            # Danger: a dead or choked machine looks the least loaded and draws every task. Silence and bare
            # refusals may regard one class alone: only that class rests there, and its own start clears it.
            apart = (
                event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.REFUSED)
                and event.reason is api.Reason.UNTOLD
            )
            key, rest_us = (task.cls.name, SILENT_US) if apart else (WHOLE, REST_US)
            strikes, until_us = machine.rests.get(key, (0, 0))
            if event.outcome is api.Outcome.ERROR:
                # Danger: what no machine can use would have all rest in turn; a second error clears both.
                other, task.erred = (None if task.erred is machine else task.erred), machine
                if other is not None:
                    other.rests[key] = 0, 0
                if other is not None or self.now < until_us:  # errors at once are one sign
                    return
            machine.rests[key] = min(strikes + 1, REST_DOUBLINGS), self.now + (rest_us << strikes)

    def on_list(self, event: api.MachineList) -> None:
        if event.form in (api.ListForm.FULL, api.ListForm.SAVED):
            listed = {entry.machine for entry in event.machines}
            for known in (each for ident, each in self.machines.items() if ident not in listed):
                known.gone, known.off_us = True, known.off_us or self.now
        for entry in event.machines:
            machine = self.machines.get(entry.machine)
            if machine is None:
                heapq.heappush(self._oldest, (-1, entry.machine))
            if machine is None or entry.launched_us > machine.listed.launched_us:
                offers = deque(
                    [*machine.offers, *[self.now] * len(machine.unsure)] if machine else ()
                )
                machine = Machine(entry, self._sizes.get(entry.kind, (1.0, 1.0)), offers=offers)
                self.machines[entry.machine] = machine
                self._ranks.clear()
            machine.listed, machine.gone = entry, entry.phase is not api.Phase.RUNNING
            machine.off_us = (machine.off_us or self.now) if entry.phase is api.Phase.GONE else None
            if self.settings.room_in_list:
                self._hear(machine, entry.free_cores, entry.free_memory, self.now - VIEW_LAG_US)
        # What left the list is forgotten with its last task, once no offer counts any more should it return.
        for ident, known in list(self.machines.items()):
            if (
                not known.own
                and 0 < (known.off_us or 0) < self.now - FORGET_US - 2 * self.settings.fall_us
            ):
                del self.machines[ident]
                self._ranks.clear()
        self._plan()

    def _hear(self, machine: Machine, cores: float, memory: float, as_of_us: int | None) -> None:
        """Take in free cores and memory, if numbers: not asked for at a time, or (no time) not in use now."""
        size, low = machine.size, 0 if as_of_us is None else -4
        if not (
            low * size[0] <= cores <= 1.5 * size[0] and low * size[1] <= memory <= 1.5 * size[1]
        ):
            return
        if as_of_us is None:
            self._measure(machine, size[0] - cores, size[1] - memory)
        elif as_of_us > machine.heard_us:
            machine.hear(size[0] - cores, size[1] - memory, as_of_us)

    def _measure(self, machine: Machine, cores: float, memory: float) -> None:
        machine.beyond = (
            cores - machine.asked[0] * self.ratio[0],
            memory - machine.asked[1] * self.ratio[1],
        )
        machine.measured_us = self.now

    def on_report(self, event: api.Probed | api.AttemptEnded) -> None:
        machine, report = self.machines.get(event.machine), event.report
        if machine and report and report.free_cores is not None and report.free_memory is not None:
            machine.came(self.now, None, None)
            as_of_us = None if self.settings.reports_use else self.now - REPORT_LAG_US
            self._hear(machine, report.free_cores, report.free_memory, as_of_us)

    def on_learned(self, event: api.Learned) -> None:
        """Hearsay, weighed by its age before. Own experience outranks it: only what is newer counts."""
        for each in event.machines:
            machine = self.machines.get(each.machine)
            if machine is None or machine.gone:
                continue
            if each.asked is not None and self.now - each.asked_age_us > machine.heard_us:
                machine.hear(
                    *each.asked, self.now - each.asked_age_us
                )  # own binds since then stay on top
            if each.beyond is not None and self.now - each.measured_age_us > machine.measured_us:
                machine.beyond, machine.measured_us = each.beyond, self.now - each.measured_age_us
                self._probes_due = max(
                    -MAX_PROBES, self._probes_due - 1
                )  # it spares a probe of one's own
            for service, left in each.warm_us.items():
                self.warms(
                    machine,
                    service,
                    max(machine.warm.get(service, 0), self.now + min(left, WARM_US)),
                )
            # Danger: a peer's quarrel with a machine that serves this placer well would keep it from it.
            for key, (strikes, left) in () if machine.own else each.rests_us.items():
                machine.rests.setdefault(key, (min(strikes, REST_DOUBLINGS), self.now + left))
        for i, weight in enumerate(event.notes):
            if weight > 0:
                self._notes[i] += weight
                self.ratio[i] += (event.ratio[i] - self.ratio[i]) * weight / self._notes[i]

    def on_note(self, machine: Machine, task: Task, event: api.TaskNote) -> None:
        machine.came(self.now, (event.request, event.attempt), None)
        if event.kind in (api.NoteKind.CORES_USED, api.NoteKind.MEMORY_USED):
            which = int(event.kind is api.NoteKind.MEMORY_USED)
            ask = (task.arrival.cores, task.arrival.memory)[which]
            tells = which == 0 or self.now - task.since_us >= (GROW_US if task.due_us else FOUND_US)
            if tells and task.placed and ask > 0 and event.level <= machine.size[which]:
                self._notes[which] += 1
                rate = max(USE_RATE, 1 / self._notes[which])
                self.ratio[which] += rate * (event.level / ask - self.ratio[which])
        elif event.kind is api.NoteKind.SERVED and event.level < 1:
            # Danger: served poorly means crowded or slow, whatever the list says: take it as used up.
            crowded = (task.cls.calm + (1 - event.level) * task.cls.fade) * machine.size[0]
            cores, memory = self.use(machine)
            self._measure(machine, max(cores, crowded), memory)

    def _plan(self) -> None:
        """Where machines in use are priced, narrow the candidates to what the load needs, large first."""
        running = [m for m in self.machines.values() if not m.gone]
        unheard = [m for m in running if m.heard_us < 0]
        heard = [m for m in running if m.heard_us >= 0] if unheard else []
        if heard:
            self._average = [
                sum(m.asked[i] for m in heard) / sum(m.size[i] for m in heard) for i in (0, 1)
            ]
        for machine in unheard:  # a machine not yet heard from counts as average
            machine.hear(machine.size[0] * self._average[0], machine.size[1] * self._average[1], -1)
        if self.settings.prices.fleet == 0:
            return
        need = [sum(self.use(m)[i] for m in running) / FLEET_FILL for i in (0, 1)]
        running.sort(key=lambda m: (-m.size[0], _rank("", m)))
        for rank, machine in enumerate(running):
            machine.active = rank < LEAST_LOADED or max(need) > 0
            need = [need[0] - machine.size[0], need[1] - machine.size[1]]

    def probes(self) -> list[api.Probe]:
        """Earned by an arrival: of the machine with the oldest figures; the heap's times may be older."""
        settings, earned = self.settings, PROBE_POINTS / max(self.settings.prices.probe, 1e-4)
        self._probes_due = min(MAX_PROBES, self._probes_due + earned)
        may = (
            settings.may_probe
            and settings.reports is not api.Reports.NONE
            and self._probes_due >= 1
        )
        for _ in range(len(self._oldest) if may else 0):
            told_us, ident = self._oldest[0]
            machine = self.machines.get(ident)
            if machine is None:
                heapq.heappop(self._oldest)
                continue
            last_us = max(machine.measured_us, machine.probed_us)
            if machine.gone or told_us < last_us:
                heapq.heapreplace(self._oldest, (self.now if machine.gone else last_us, ident))
                continue
            machine.probed_us = self.now
            self._probes_due -= 1
            return [api.Probe(ident)]
        return []
