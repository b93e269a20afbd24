"""Simulation of maintenance slots on a virtual clock: placers send tasks, machines refuse them while a slot is closing
or out, and operators work on machines, fall silent and return.

Placers that act on a floor rule set also send to closing machines, as they do not know the slots. The operators' work
and the tasks on machines are recorded in true time; `workjudge` checks them against the decided slots.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.effects import Notify
from wingbarrow.decide.maintenance.messages import RegionView, SlotRequest
from wingbarrow.decide.maintenance.participant import MachineReply, MaintenanceMember, TrialOutcome
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.slots import Slot
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.lab.fleet.assembly import Assembly
from wingbarrow.lab.fleet.simulation import SECOND
from wingbarrow.lab.turnguard import TurnGuard

STEP_US = 50_000
WALL_US = 1_800_000_000 * SECOND  # wall clock time at the virtual time 0
TASK_US = 6 * SECOND  # upper limit of a task's run time
WORKER_LEASE_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class SimulatedMachine:
    """A simulated machine with its tasks: task number -> owner and end time."""

    name: str
    region: str
    zone: str
    cell: str
    up: bool = True
    down_us: int = 0  # start of its last outage
    tasks: dict[int, tuple[str, int]] = field(default_factory=dict)
    guard: TurnGuard = field(init=False)

    def __post_init__(self) -> None:
        self.guard = TurnGuard(lambda: bool(self.tasks))


@dataclass(frozen=True, slots=True)
class SlotChange:
    """A change of slots that the voters decided, with the slots' new state. Recorded once for all voters."""

    at_us: int
    version: int
    slots: tuple[Slot, ...]


@dataclass(frozen=True, slots=True)
class WorkSample:
    """Sample of an operator's work on a machine."""

    at_us: int
    number: int
    machine: str
    tasks: int  # tasks on the machine
    state: str  # of its slot, by the newest log entry that any voter knows as decided


class _PlacerView:
    """A placer's knowledge of machines, its own tasks and slot requests, as its maintenance member reads it."""

    def __init__(self, simulation: MaintenanceSimulation, me: str, region: str) -> None:
        self._simulation, self._me, self._region = simulation, me, region
        self.replies: dict[int, str] = {}
        self.pending_offers: dict[str, int] = {}  # machine -> number of pending offers
        self.known_tasks: dict[int, str] = {}  # own tasks that it knows of: number -> machine
        self.trial_outcomes: dict[int, str] = {}
        self.requests: list[SlotRequest] = []

    def is_listed(self, machine: str) -> bool:
        sim_machine = self._simulation.machines_by_name.get(machine)
        return sim_machine is not None and sim_machine.region == self._region

    def place_of(self, machine: str) -> tuple[str, str] | None:
        sim_machine = self._simulation.machines_by_name.get(machine)
        return (
            (sim_machine.zone, sim_machine.cell)
            if sim_machine is not None and sim_machine.region == self._region
            else None
        )

    def own_tasks_at(self, machine: str) -> int:
        return self.pending_offers.get(machine, 0) + sum(
            each == machine for each in self.known_tasks.values()
        )

    def reply_for(self, number: int) -> MachineReply:
        return MachineReply(self.replies.get(number, ""))

    def trial_outcome(self, number: int) -> TrialOutcome:
        return TrialOutcome(self.trial_outcomes.get(number, ""))

    def region_view(self) -> RegionView | None:
        own = [
            each
            for each in self._simulation.machines_by_name.values()
            if each.region == self._region
        ]
        cells: dict[tuple[str, str], int] = {}
        for each in own:
            cells[each.zone, each.cell] = cells.get((each.zone, each.cell), 0) + 1
        return RegionView(
            tuple((zone, cell, count) for (zone, cell), count in sorted(cells.items())),
            tuple((each.name, each.zone, each.cell) for each in own if not each.up),
        )

    def slot_requests(self) -> Sequence[SlotRequest]:
        return self.requests


class MaintenanceSimulation(Assembly):
    """`count` placers, assigned to regions round-robin.

    Each region has `machines` machines in cells of four and zones of eight. If `floor_sends` is set, placers on
    the floor rule set also send to closing machines.
    """

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        regions: int = 1,
        machines: int = 8,
        loss: float = 0.0,
        floor_sends: bool = True,
    ) -> None:
        self.views: dict[str, _PlacerView] = {}
        self.schedulers: dict[str, MaintenanceScheduler] = {}
        self.participants: dict[str, MaintenanceMember] = {}
        names = [f"r{index}" for index in range(regions)]
        self.region_of = {f"p{index:03d}": names[index % regions] for index in range(count)}
        self.machines_by_name = {
            f"{region}-m{index}": SimulatedMachine(
                f"{region}-m{index}", region, f"z{index // 8}", f"c{index // 4}"
            )
            for region in names
            for index in range(machines)
        }
        self.changes: list[SlotChange] = []
        self.work_samples: list[WorkSample] = []
        # Time, machine, and True if the machine was lost or False if it returned.
        self.outages: list[tuple[int, str, bool]] = []
        self.fault_random = random.Random(f"workshop/{seed}")
        self._next_task, self._version = 0, 0
        self._slots: dict[int, Slot] = {}
        self._floor_sends = floor_sends
        super().__init__(
            count, voters, seed, Timing(grant_us=SECOND, election_us=SECOND // 2), loss
        )
        self.at(0, self._step)

    def make(self, name: str, now_us: int) -> Coordinator:
        """Creates the coordinator of a new incarnation, with maintenance slots and its view of machines."""
        disk = copy.deepcopy(self.disks[name]) if name in self.disks else None
        region = self.region_of[name]
        view = self.views[name] = _PlacerView(self, name, region)
        # A new incarnation learns the running tasks of earlier ones from machines; here at once.
        view.known_tasks = {
            number: sim_machine.name
            for sim_machine in self.machines_by_name.values()
            for number, (owner, _) in sim_machine.tasks.items()
            if owner == name
        }
        drift = self.drifts.get(name)
        scheduler = self.schedulers[name] = MaintenanceScheduler(
            name,
            lambda now: WALL_US + (drift.true_us(now) if drift is not None else now),
            MaintenanceTiming(
                SECOND,
                report_max_age_us=3 * SECOND,
                count_timeout_us=SECOND,
                lease_us=WORKER_LEASE_US,
                trial_us=3 * SECOND,
                unlisted_us=20 * SECOND,
            ),
        )
        participant = self.participants[name] = MaintenanceMember(name, region, view)
        return Coordinator(
            LocalPlacer(name, self.incarnations[name], region),
            CoordinationSettings(self.voters, self.times),
            disk,
            self.random.randrange(1 << 30),
            Subsystems((scheduler,), (participant,)),
        )

    # -- steps of the simulation

    def _step(self) -> None:
        self._record_changes()
        for sim_machine in self.machines_by_name.values():
            for number in [
                number for number, (_, ends) in sim_machine.tasks.items() if ends <= self.now_us
            ]:
                self._end_task(sim_machine, number)
        for name in self.members:
            if name not in self.stopped:
                self._query_machines(name)
                self._offer_tasks(name)
        self.at(self.now_us + STEP_US, self._step)

    def _record_changes(self) -> None:
        """Records slot changes that are decided, as far as any running voter has applied them."""
        newest = max(
            (each for name, each in self.schedulers.items() if name in self.members),
            key=lambda each: each.queue.version,
            default=None,
        )
        if newest is None or newest.queue.version <= self._version:
            return
        self._version = newest.queue.version
        changed = tuple(
            each
            for number, each in sorted(newest.queue.slots.items())
            if self._slots.get(number) != each
        )
        self._slots = dict(newest.queue.slots)
        self.changes.append(SlotChange(self.now_us, self._version, changed))

    def slot(self, number: int) -> Slot | None:
        """A slot as decided; None if there is no such slot."""
        self._record_changes()
        return self._slots.get(number)

    def _end_task(self, sim_machine: SimulatedMachine, number: int) -> None:
        owner, _ = sim_machine.tasks.pop(number, ("", 0))

        def forget_task() -> None:
            self.views[owner].known_tasks.pop(number, None)

        if owner in self.views:
            self.at(self.now_us + self._delay(), forget_task)

    def _delay(self) -> int:
        return 1_000 + self.fault_random.randrange(40_000)

    def _query_machines(self, name: str) -> None:
        """Queries machines of live slots at random and moves own tasks off closing machines, as a placer does."""
        participant, view = self.participants[name], self.views[name]
        for slot in participant.slots.values():
            sim_machine = self.machines_by_name.get(slot.machine)
            if slot.state == "asked" or sim_machine is None or not view.is_listed(slot.machine):
                continue
            if self.fault_random.random() < (0.3 if slot.contact == name else 0.05):
                shut = slot.state != "back"
                if shut or slot.contact == name:
                    self.at(
                        self.now_us + self._delay(),
                        lambda sim_machine=sim_machine,  # type: ignore[misc]
                        number=slot.number,
                        shut=shut: self._on_query(name, view, sim_machine, number, shut),
                    )
            own = [
                number for number, machine in view.known_tasks.items() if machine == slot.machine
            ]
            if slot.state != "back" and own and self.fault_random.random() < 0.2:
                self._end_task(sim_machine, own[0])

    def _on_query(
        self, name: str, view: _PlacerView, sim_machine: SimulatedMachine, number: int, shut: bool
    ) -> None:
        if not sim_machine.up or self.fault_random.random() < 0.05:
            return
        answer = sim_machine.guard.handle({"number": number, "shut": shut})
        if answer["number"] == number:
            reply = "open" if not answer["shut"] else "empty" if answer["empty"] else "shut"
            self.at(self.now_us + self._delay(), lambda: view.replies.__setitem__(number, reply))

    def _offer_tasks(self, name: str) -> None:
        rules = self.members[name].rules_in_force(self.clock_us(name))
        if rules is None or self.fault_random.random() > 0.3:
            return
        floor = rules.revision == 0 and self._floor_sends
        participant, view = self.participants[name], self.views[name]
        candidates = [
            each
            for each in self.machines_by_name.values()
            if each.region == self.region_of[name]
            and (floor or not participant.is_closed(each.name))
        ]
        if not candidates:
            return
        sim_machine, view = self.fault_random.choice(candidates), self.views[name]
        view.pending_offers[sim_machine.name] = view.pending_offers.get(sim_machine.name, 0) + 1
        number, self._next_task = self._next_task, self._next_task + 1
        trials = [
            slot.number
            for slot in participant.slots.values()
            if slot.machine == sim_machine.name and slot.state == "back" and slot.contact == name
        ]
        self.at(
            self.now_us + self._delay(),
            lambda: self._on_offer(name, view, sim_machine, number, trials),
        )

    def _on_offer(
        self,
        name: str,
        view: _PlacerView,
        sim_machine: SimulatedMachine,
        number: int,
        trials: list[int],
    ) -> None:
        taken = sim_machine.up and not sim_machine.guard.refuses()
        if taken:
            sim_machine.tasks[number] = name, self.now_us + self.fault_random.randrange(TASK_US)

        def answer() -> None:
            view.pending_offers[sim_machine.name] -= 1
            if taken and number in sim_machine.tasks:
                view.known_tasks[number] = sim_machine.name
            for each in trials if taken else ():
                view.trial_outcomes[each] = "well"

        self.at(self.now_us + self._delay(), answer)

    # -- slot requests and operators

    def request_slot(
        self,
        machine: str,
        urgency: int = 5,
        worker: str = "w",
        lasts_us: int = 2 * SECOND,
        ident: str = "",
    ) -> bool:
        """Requests a slot from the leader. Returns False if there is no leader; the outcome is in the log."""
        leader, sim_machine = self.leader(), self.machines_by_name[machine]
        if leader is None:
            return False
        ident = ident or f"ask-{self._next_task}-{machine}"
        self._next_task += 1
        return self.propose_entry(
            leader,
            "ask",
            {
                "ident": ident,
                "machine": machine,
                "region": sim_machine.region,
                "zone": sim_machine.zone,
                "cell": sim_machine.cell,
                "why": "operator",
                "urgency": urgency,
                "latest_us": 0,
                "lasts_us": lasts_us,
                "worker": worker,
            },
        )

    def propose_entry(self, leader: str, kind: str, value: dict[str, object]) -> bool:
        """Makes a placer propose a maintenance entry of a kind; returns True."""
        now = self.clock_us(leader)
        wall = self.schedulers[leader]._wall_us(now)
        self.act(
            leader, self.members[leader].propose(now, f"turns/{kind}", {**value, "at_us": wall})
        )
        return True

    def start_operator(self, number: int, for_us: int, silent: bool = False) -> None:
        """Starts an operator for a slot: it works while it holds the slot, renews it, then returns the machine.

        A silent operator does not renew for three leases in the middle of its work.
        """
        Operator(self, number, for_us, silent).step()

    def fail_machine(self, machine: str, for_us: int) -> None:
        """Takes a machine down with its tasks; it returns after `for_us`."""
        sim_machine = self.machines_by_name[machine]
        if not sim_machine.up:
            return
        sim_machine.up = False
        self.outages.append((self.now_us, machine, True))
        for number in list(sim_machine.tasks):
            self._end_task(sim_machine, number)

        def restore() -> None:
            sim_machine.up = True
            self.outages.append((self.now_us, machine, False))

        self.at(self.now_us + for_us, restore)

    def notifications_of(self, event: str) -> list[Notify]:
        """Notifications of one kind of event, from all placers."""
        return [
            Notify(each.event, each.fields) for each in self.notifications if each.event == event
        ]


class Operator:
    """Operator that works on one machine.

    It may work for one lease from when it requested the renewal of its slot, by its own clock.
    """

    def __init__(
        self, simulation: MaintenanceSimulation, number: int, for_us: int, silent: bool
    ) -> None:
        self._simulation, self._number, self._remaining_us, self._silent = (
            simulation,
            number,
            for_us,
            silent,
        )
        self._lease_until_us = 0

    def step(self) -> None:
        """Renews the slot, works or returns the machine; repeats every quarter of a second."""
        simulation = self._simulation
        slot = simulation.slot(self._number)
        if slot is None or slot.state in ("back", "done", "given-back"):
            return
        if self._silent and self._lease_until_us and self._remaining_us < SECOND:
            self._silent = False
            simulation.at(simulation.now_us + 3 * WORKER_LEASE_US, self.step)
            return
        leader = simulation.leader()
        if leader is not None and simulation.fault_random.random() < 0.9:
            self._renew(leader)
        if simulation.now_us < self._lease_until_us:
            sim_machine = simulation.machines_by_name[slot.machine]
            simulation.work_samples.append(
                WorkSample(
                    simulation.now_us,
                    self._number,
                    slot.machine,
                    len(sim_machine.tasks),
                    slot.state,
                )
            )
            self._remaining_us -= SECOND // 4
        if self._remaining_us <= 0 and leader is not None:
            simulation.propose_entry(leader, "back", {"number": self._number})
        simulation.at(simulation.now_us + SECOND // 4, self.step)

    def _renew(self, leader: str) -> None:
        """Renews as the front does: valid once the leader knows that a majority followed it after the request."""
        simulation, scheduler, requested_us = (
            self._simulation,
            self._simulation.schedulers[leader],
            self._simulation.now_us,
        )
        at_leader, life = simulation.clock_us(leader), simulation.incarnations[leader]
        scheduler.renew(at_leader, self._number)

        def check_renewed(tries: int) -> None:
            if leader not in simulation.members or simulation.incarnations[leader] != life:
                return
            slot = scheduler.queue.slots.get(self._number)
            if (
                scheduler.is_leader
                and slot is not None
                and slot.state == "out"
                and (scheduler.renewed_us(self._number) >= at_leader)
            ):
                self._lease_until_us = max(self._lease_until_us, requested_us + WORKER_LEASE_US)
            elif tries:
                simulation.at(simulation.now_us + SECOND // 10, lambda: check_renewed(tries - 1))

        check_renewed(10)
