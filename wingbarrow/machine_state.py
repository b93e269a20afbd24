"""The known state of machines and the use by tasks; no choice is made here.

Sources are lists, load reports, notes on tasks, and the knowledge of other instances.
"""

import heapq
import zlib
from collections import deque
from dataclasses import dataclass, field
from math import log

from wingbarrow import interface as api

SECOND_US = 1_000_000
LEAST_LOADED_COUNT = 3  # REM chooses among so many of the least loaded machines
WARM_RETENTION_US = 10 * SECOND_US  # a program is assumed to stay this long after an own task's end
FOREVER_US = 1 << 62
TARGET_FLEET_USE = 0.6  # use that the active set is planned for where machines in use are priced
LIST_LAG_US = 2_500_000  # assumed age of the allocations in a list
REPORT_LAG_US = 500_000  # assumed age of the allocations in a load report
USE_VALID_US = 3 * SECOND_US  # after this, the usual ratio replaces a measured use
PRIOR_USE_RATIO = 0.8  # assumed use per allocation before any note
PRIOR_NOTE_WEIGHT = 10  # number of notes that the assumed ratio counts as
MIN_NOTE_WEIGHT = 0.01  # least weight of a new note, so that the ratio keeps following the use
MEMORY_GROWTH_US = 8 * SECOND_US  # memory of a younger task still grows: its notes are ignored
FOUND_MEMORY_GROWTH_US = 5 * SECOND_US  # the same for a task found running, since it was found
BACKOFF_US = 500_000  # first backoff from a machine for all classes, after a broken attempt
MAX_BACKOFF_DOUBLINGS = 4
# First backoff from a machine for one class, after a timeout or a refusal without a reason.
CLASS_BACKOFF_US = 3 * SECOND_US
ALL_CLASSES = ""  # key of a backoff that holds for all classes
MAX_PROBE_CREDIT = 10.0  # probes saved up, or owed for figures that other instances measured
PROBE_POINTS_PER_ARRIVAL = 0.003  # points of the result that an arrival earns for probes
MAX_RANKINGS = 512  # services for which the order of machines is cached
MAX_WARM_SERVICES = 1024  # services whose warm machines are recorded before the first clean-up
DEFAULT_REMAINING_US = 10 * SECOND_US  # assumed time left of a task whose owner gives none
DELISTED_RETENTION_US = 15 * SECOND_US  # least time that the state of a delisted machine is kept
CHANGE_RETENTION_US = 12 * SECOND_US  # own changes older than this are contained in any list


@dataclass(slots=True, eq=False)
class Task:
    """A request that this scheduler is responsible for, until it ends."""

    arrival: api.TaskArrived
    task_class: api.TaskClass
    state_since_us: int  # time of the arrival, then of the latest bind or start
    answer_due_us: int = 0  # the last time at which the final answer meets the deadline
    attempts: int = 0
    open_attempt: int | None = None  # the attempt that has no outcome yet
    placed: bool = False
    # Time and machine of the first attempt that may have run.
    possible_run: tuple[int, api.ListedMachine] | None = None
    first_error_on: "Machine | None" = None

    def estimated_remaining_us(self, now_us: int) -> int:
        """Time left to run, from the owner's figure or a default; negative where it is exceeded."""
        return self.state_since_us + (self.arrival.remaining_us or DEFAULT_REMAINING_US) - now_us


@dataclass(slots=True, eq=False)
class Machine:
    """The known state of a machine; pairs of figures are (cores, memory)."""

    listed: api.ListedMachine
    size: tuple[float, float]
    unavailable: bool = False  # draining or off the list
    delisted_us: int | None = None  # when it left the list
    active: bool = True  # whether it is in the set that the load needs
    # Resources allocated to tasks, as last reported, with own changes since then.
    allocated: list[float] = field(default_factory=lambda: [0.0, 0.0])
    allocated_as_of_us: int = -1  # the time that the report refers to; -1: no report
    # Own binds (positive) and ends (negative): time, cores, memory.
    changes: list[tuple[int, float, float]] = field(default_factory=list)
    # Measured use beyond the usual share of the allocation.
    excess_use: tuple[float, float] = (0.0, 0.0)
    use_measured_us: int = -1
    probed_us: int = -1
    own_tasks: dict[int, Task] = field(default_factory=dict)
    pending_starts: int = 0  # own attempts that have neither started nor ended
    warm_until_us: dict[str, int] = field(default_factory=dict)  # by service
    # Arrival times of offers sent while the machine is cold; sending times where arrivals are not reported.
    cold_offers: deque[int] = field(default_factory=deque)
    # Offers, by request and attempt, not known to have arrived; True: the attempt was given up.
    unconfirmed_offers: dict[tuple[int, int], bool] = field(default_factory=dict)
    # Strikes and end of the backoff, by class or ALL_CLASSES.
    backoffs: dict[str, tuple[int, int]] = field(default_factory=dict)

    def add_change(self, at_us: int, cores: float, memory: float) -> None:
        """Record an own bind or end; it counts unless the reported allocation is newer than `at_us`."""
        self.changes.append((at_us, cores, memory))
        if at_us > self.allocated_as_of_us:
            self.allocated[0] += cores
            self.allocated[1] += memory

    def set_allocated(self, cores: float, memory: float, as_of_us: int) -> None:
        """Set the allocation as reported for `as_of_us`, and add own changes since then."""
        self.allocated, self.allocated_as_of_us, known, self.changes = (
            [cores, memory],
            as_of_us,
            self.changes,
            [],
        )
        for change in known:
            if change[0] > as_of_us - CHANGE_RETENTION_US:
                self.add_change(*change)

    def update_unconfirmed(
        self, now_us: int, key: tuple[int, int] | None, outcome: api.Outcome | None
    ) -> None:
        """Update the offers sent while cold, on the end of the offer `key` or on any message of the machine.

        An offer that never left is dropped. One that was given up may arrive until the machine sends a
        message: then all that were given up, and the offer `key`, count as arrived at `now_us`. A broken
        connection is no message.
        """
        if outcome in (api.Outcome.NOT_SENT, api.Outcome.UNREACHABLE):
            self.unconfirmed_offers = {
                each: given_up for each, given_up in self.unconfirmed_offers.items() if each != key
            }
        elif outcome in (api.Outcome.TIMED_OUT, api.Outcome.CANCELLED):
            self.unconfirmed_offers = {
                each: given_up or each == key for each, given_up in self.unconfirmed_offers.items()
            }
        else:
            arrived = [
                each
                for each, given_up in self.unconfirmed_offers.items()
                if (given_up and outcome != api.Outcome.BROKEN) or each == key
            ]
            self.unconfirmed_offers = {
                each: given_up
                for each, given_up in self.unconfirmed_offers.items()
                if each not in arrived
            }
            self.cold_offers.extend([now_us] * len(arrived))


def _rank_key(name: str, machine: Machine) -> float:
    """Weighted rendezvous hash: the same order at every placer, larger machines first more often."""
    mixed = zlib.crc32(f"{name} {machine.listed.machine}".encode()) * 2654435761 % 4294967296
    return -log((mixed + 1) / 4294967297) / machine.size[0]


class FleetState:
    """The state of all machines as one placer knows it; `now_us` is the time of the current event."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.now_us = -1
        self.machines = dict[int, Machine]()
        self._sizes = {each.name: (each.cores, each.memory) for each in settings.kinds}
        self.warm_machines = dict[str, dict[int, None]]()  # by service: machines that were warm
        self._max_warm_services = MAX_WARM_SERVICES
        self._rankings = dict[str, list[Machine]]()
        self._probe_queue = list[tuple[int, int]]()  # heap of (time of the figures, machine)
        self._probe_credit = 1.0
        # Usual use per allocation, and the average allocation per size, each of cores and memory.
        self.use_ratio, self._average_allocation = [PRIOR_USE_RATIO, PRIOR_USE_RATIO], [0.5, 0.5]
        self._note_weights: list[float] = [PRIOR_NOTE_WEIGHT, PRIOR_NOTE_WEIGHT]

    def knowledge(self, now_us: int) -> api.Knowledge:
        """What is known of machines, as a value for another instance; the state does not change."""
        known = []
        for ident, m in self.machines.items():
            warm = {
                name: min(until_us - now_us, WARM_RETENTION_US)
                for name, until_us in m.warm_until_us.items()
                if until_us > now_us
            }
            backoffs = {
                key: (strikes, until_us - now_us)
                for key, (strikes, until_us) in m.backoffs.items()
                if until_us > now_us
            }
            reported, measured = m.allocated_as_of_us >= 0, m.use_measured_us >= 0
            known.append(
                api.MachineKnowledge(
                    ident,
                    m.unavailable,
                    m.listed.launched_us,
                    (m.allocated[0], m.allocated[1]) if reported else None,
                    now_us - m.allocated_as_of_us if reported else None,
                    m.excess_use if measured else None,
                    now_us - m.use_measured_us if measured else None,
                    warm,
                    backoffs,
                )
            )
        return api.Knowledge(
            tuple(known),
            (self.use_ratio[0], self.use_ratio[1]),
            (self._note_weights[0], self._note_weights[1]),
        )

    def estimated_use(self, machine: Machine) -> tuple[float, float]:
        """Cores and memory in use: the usual share of the allocation, corrected by a recent measurement."""
        (cores, memory), fresh = (
            machine.allocated,
            self.now_us - machine.use_measured_us < USE_VALID_US,
        )
        excess = machine.excess_use if fresh and machine.use_measured_us >= 0 else (0.0, 0.0)
        return cores * self.use_ratio[0] + excess[0], memory * self.use_ratio[1] + excess[1]

    def load(self, machine: Machine) -> float:
        """REM's load l over the limit L: the estimated use over the machine's cores."""
        return self.estimated_use(machine)[0] / machine.size[0]

    def fits(
        self, task: Task, machine: Machine, max_core_use: float, max_memory_use: float
    ) -> bool:
        """Whether the machine would stay within its booking limits and these shares of use with the task."""
        requested, size = (task.arrival.cores, task.arrival.memory), machine.size
        allocated, use, ratio = machine.allocated, self.estimated_use(machine), self.use_ratio
        return (
            allocated[0] + requested[0] <= self.settings.booking_cores * size[0] + 1e-6
            and allocated[1] + requested[1] <= self.settings.booking_memory * size[1] + 1e-6
            and use[0] + requested[0] * ratio[0] <= max_core_use * size[0]
            and use[1] + requested[1] * ratio[1] <= max_memory_use * size[1]
        )

    def is_cold(self, machine: Machine) -> bool:
        """Whether the machine started less than `cold_us` ago; a start time of 0 means long ago."""
        return machine.listed.launched_us > max(0, self.now_us - self.settings.cold_us)

    def ranked_machines(self, service: str) -> list[Machine]:
        """All machines in the service's own order, the same at every placer; cached while the fleet is."""
        if service not in self._rankings:
            if len(self._rankings) >= MAX_RANKINGS:
                del self._rankings[next(iter(self._rankings))]
            self._rankings[service] = sorted(
                self.machines.values(), key=lambda m: _rank_key(service, m)
            )
        return self._rankings[service]

    def mark_warm(self, machine: Machine, service: str, until_us: int) -> None:
        """Record that the machine holds the service's program until `until_us`."""
        if (
            len(self.warm_machines) >= self._max_warm_services
        ):  # drop programs that are no longer warm
            self.warm_machines = {}
            for each in self.machines.values():
                each.warm_until_us = {
                    name: until for name, until in each.warm_until_us.items() if until > self.now_us
                }
                for name in each.warm_until_us:
                    self.warm_machines.setdefault(name, {})[each.listed.machine] = None
            self._max_warm_services = MAX_WARM_SERVICES + 2 * len(self.warm_machines)
        machine.warm_until_us[service] = until_us
        self.warm_machines.setdefault(service, {})[machine.listed.machine] = None

    def record_failed_start(self, machine: Machine, task: Task, event: api.AttemptEnded) -> None:
        """Update a machine on an attempt that ended without a start: its allocation, or a backoff."""
        if event.reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY):
            # Danger: a stale list shows free resources. The machine's own refusal outranks it until a newer
            # list or report.
            allocated, which = list(machine.allocated), int(event.reason is api.Reason.NO_MEMORY)
            limit = (self.settings.booking_cores, self.settings.booking_memory)[
                which
            ] * machine.size[which]
            allocated[which] = max(
                allocated[which],
                limit - (task.arrival.cores, task.arrival.memory)[which] + 0.01,
            )
            machine.set_allocated(allocated[0], allocated[1], self.now_us)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.DONE):
            # Danger: a dead or stuck machine looks the least loaded and attracts every task. Timeouts and
            # refusals without a reason may concern one class alone: only that class is backed off, and a
            # start of that class clears its backoff.
            one_class = (
                event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.REFUSED)
                and event.reason is api.Reason.UNTOLD
            )
            key, backoff_us = (
                (task.task_class.name, CLASS_BACKOFF_US) if one_class else (ALL_CLASSES, BACKOFF_US)
            )
            strikes, until_us = machine.backoffs.get(key, (0, 0))
            if event.outcome is api.Outcome.ERROR:
                # Danger: a task that fails on every machine would back off all of them in turn; its error on
                # a second machine shows that the task is at fault, and clears both.
                other, task.first_error_on = (
                    (None if task.first_error_on is machine else task.first_error_on),
                    machine,
                )
                if other is not None:
                    other.backoffs[key] = 0, 0
                if other is not None or self.now_us < until_us:  # concurrent errors are one strike
                    return
            machine.backoffs[key] = (
                min(strikes + 1, MAX_BACKOFF_DOUBLINGS),
                self.now_us + (backoff_us << strikes),
            )

    def on_list(self, event: api.MachineList) -> None:
        """Take in a list of machines: new, restarted, changed and removed ones."""
        if event.form in (api.ListForm.FULL, api.ListForm.SAVED):
            listed = {entry.machine for entry in event.machines}
            for known in (each for ident, each in self.machines.items() if ident not in listed):
                known.unavailable, known.delisted_us = True, known.delisted_us or self.now_us
        for entry in event.machines:
            machine = self.machines.get(entry.machine)
            if machine is None:
                heapq.heappush(self._probe_queue, (-1, entry.machine))
            if machine is None or entry.launched_us > machine.listed.launched_us:
                offers = deque(
                    [*machine.cold_offers, *[self.now_us] * len(machine.unconfirmed_offers)]
                    if machine
                    else ()
                )
                machine = Machine(
                    entry, self._sizes.get(entry.kind, (1.0, 1.0)), cold_offers=offers
                )
                self.machines[entry.machine] = machine
                self._rankings.clear()
            machine.listed, machine.unavailable = entry, entry.phase is not api.Phase.RUNNING
            machine.delisted_us = (
                (machine.delisted_us or self.now_us) if entry.phase is api.Phase.GONE else None
            )
            if self.settings.room_in_list:
                self._apply_free_resources(
                    machine, entry.free_cores, entry.free_memory, self.now_us - LIST_LAG_US
                )
        # A machine off the list is forgotten after its last task, once none of its cold offers would count
        # any more if it came back.
        for ident, known in list(self.machines.items()):
            if (
                not known.own_tasks
                and 0
                < (known.delisted_us or 0)
                < self.now_us - DELISTED_RETENTION_US - 2 * self.settings.fall_us
            ):
                del self.machines[ident]
                self._rankings.clear()
        self._update_active()

    def _apply_free_resources(
        self, machine: Machine, cores: float, memory: float, as_of_us: int | None
    ) -> None:
        """Take in free cores and memory; implausible figures and NaN are ignored.

        With `as_of_us`, they are what was not allocated at that time, and negative where a machine is
        overbooked; without, what is not in use now.
        """
        size, low = machine.size, 0 if as_of_us is None else -4
        if not (
            low * size[0] <= cores <= 1.5 * size[0] and low * size[1] <= memory <= 1.5 * size[1]
        ):
            return
        if as_of_us is None:
            self._record_measured_use(machine, size[0] - cores, size[1] - memory)
        elif as_of_us > machine.allocated_as_of_us:
            machine.set_allocated(size[0] - cores, size[1] - memory, as_of_us)

    def _record_measured_use(self, machine: Machine, cores: float, memory: float) -> None:
        machine.excess_use = (
            cores - machine.allocated[0] * self.use_ratio[0],
            memory - machine.allocated[1] * self.use_ratio[1],
        )
        machine.use_measured_us = self.now_us

    def on_report(self, event: api.Probed | api.AttemptEnded) -> None:
        """Take in the load report of a probe or an answer, if it holds both figures."""
        machine, report = self.machines.get(event.machine), event.report
        if machine and report and report.free_cores is not None and report.free_memory is not None:
            machine.update_unconfirmed(self.now_us, None, None)
            as_of_us = None if self.settings.reports_use else self.now_us - REPORT_LAG_US
            self._apply_free_resources(machine, report.free_cores, report.free_memory, as_of_us)

    def on_learned(self, event: api.Learned) -> None:
        """Merge another instance's knowledge, weighted by age already; own figures that are newer stay."""
        for each in event.machines:
            machine = self.machines.get(each.machine)
            if machine is None or machine.unavailable:
                continue
            if (
                each.asked is not None
                and self.now_us - each.asked_age_us > machine.allocated_as_of_us
            ):
                # Own binds since then are added again.
                machine.set_allocated(*each.asked, self.now_us - each.asked_age_us)
            if (
                each.beyond is not None
                and self.now_us - each.measured_age_us > machine.use_measured_us
            ):
                machine.excess_use, machine.use_measured_us = (
                    each.beyond,
                    self.now_us - each.measured_age_us,
                )
                # The figures replace an own probe.
                self._probe_credit = max(-MAX_PROBE_CREDIT, self._probe_credit - 1)
            for service, left_us in each.warm_us.items():
                self.mark_warm(
                    machine,
                    service,
                    max(
                        machine.warm_until_us.get(service, 0),
                        self.now_us + min(left_us, WARM_RETENTION_US),
                    ),
                )
            # Danger: another placer's backoff would keep this one off a machine that serves it well.
            for key, (strikes, left_us) in () if machine.own_tasks else each.rests_us.items():
                machine.backoffs.setdefault(
                    key, (min(strikes, MAX_BACKOFF_DOUBLINGS), self.now_us + left_us)
                )
        for i, weight in enumerate(event.notes):
            if weight > 0:
                self._note_weights[i] += weight
                self.use_ratio[i] += (
                    (event.ratio[i] - self.use_ratio[i]) * weight / self._note_weights[i]
                )

    def on_note(self, machine: Machine, task: Task, event: api.TaskNote) -> None:
        """Learn from a note on a task: the usual use per allocation, or that the machine is overloaded."""
        machine.update_unconfirmed(self.now_us, (event.request, event.attempt), None)
        if event.kind in (api.NoteKind.CORES_USED, api.NoteKind.MEMORY_USED):
            which = int(event.kind is api.NoteKind.MEMORY_USED)
            requested = (task.arrival.cores, task.arrival.memory)[which]
            representative = which == 0 or self.now_us - task.state_since_us >= (
                MEMORY_GROWTH_US if task.answer_due_us else FOUND_MEMORY_GROWTH_US
            )
            if (
                representative
                and task.placed
                and requested > 0
                and event.level <= machine.size[which]
            ):
                self._note_weights[which] += 1
                rate = max(MIN_NOTE_WEIGHT, 1 / self._note_weights[which])
                self.use_ratio[which] += rate * (event.level / requested - self.use_ratio[which])
        elif event.kind is api.NoteKind.SERVED and event.level < 1:
            # Danger: a task that is served poorly is on an overloaded or slow machine, whatever the list
            # says; the use that explains the poor service counts as measured.
            implied_cores = (
                task.task_class.calm + (1 - event.level) * task.task_class.fade
            ) * machine.size[0]
            cores, memory = self.estimated_use(machine)
            self._record_measured_use(machine, max(cores, implied_cores), memory)

    def _update_active(self) -> None:
        """Give machines without a report the average, and narrow the active set where machines are priced.

        The active set holds what the load needs, large machines first.
        """
        running = [m for m in self.machines.values() if not m.unavailable]
        unreported = [m for m in running if m.allocated_as_of_us < 0]
        reported = [m for m in running if m.allocated_as_of_us >= 0] if unreported else []
        if reported:
            self._average_allocation = [
                sum(m.allocated[i] for m in reported) / sum(m.size[i] for m in reported)
                for i in (0, 1)
            ]
        for machine in unreported:
            machine.set_allocated(
                machine.size[0] * self._average_allocation[0],
                machine.size[1] * self._average_allocation[1],
                -1,
            )
        if self.settings.prices.fleet == 0:
            return
        need = [sum(self.estimated_use(m)[i] for m in running) / TARGET_FLEET_USE for i in (0, 1)]
        running.sort(key=lambda m: (-m.size[0], _rank_key("", m)))
        for rank, machine in enumerate(running):
            machine.active = rank < LEAST_LOADED_COUNT or max(need) > 0
            need = [need[0] - machine.size[0], need[1] - machine.size[1]]

    def next_probes(self) -> list[api.Probe]:
        """A probe of the machine with the oldest figures if arrivals have earned one; called on each arrival.

        Times in the heap may be older than the machines' figures, and are corrected here.
        """
        settings = self.settings
        earned = PROBE_POINTS_PER_ARRIVAL / max(self.settings.prices.probe, 1e-4)
        self._probe_credit = min(MAX_PROBE_CREDIT, self._probe_credit + earned)
        may_probe = (
            settings.may_probe
            and settings.reports is not api.Reports.NONE
            and self._probe_credit >= 1
        )
        for _ in range(len(self._probe_queue) if may_probe else 0):
            queued_us, ident = self._probe_queue[0]
            machine = self.machines.get(ident)
            if machine is None:
                heapq.heappop(self._probe_queue)
                continue
            last_us = max(machine.use_measured_us, machine.probed_us)
            if machine.unavailable or queued_us < last_us:
                heapq.heapreplace(
                    self._probe_queue, (self.now_us if machine.unavailable else last_us, ident)
                )
                continue
            machine.probed_us = self.now_us
            self._probe_credit -= 1
            return [api.Probe(ident)]
        return []
