"""Carries out maintenance slots: closes machines and reads their replies, moves own tasks, and observes the region.

The voters decide which machines are under maintenance (`decide.maintenance.scheduler`). This component makes this
placer's observations (`decide.maintenance.participant.LocalObservations`), and acts on the slots that grants name.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.context import CoreContext
from wingbarrow.core.drain_schedule import DrainSchedule
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.outlier_ejection import FAULT_OUTCOMES
from wingbarrow.core.stops import Stops
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.maintenance.calendar import calendar_requests
from wingbarrow.decide.maintenance.drain_plan import MachineState
from wingbarrow.decide.maintenance.messages import RegionView, SlotRequest
from wingbarrow.decide.maintenance.participant import (
    KnownSlot,
    MachineReply,
    MaintenanceMember,
    TrialOutcome,
)
from wingbarrow.decide.maintenance.slots import SlotState
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.kube import names

SECOND = 1_000_000
SCAN_INTERVAL_US = SECOND // 4
CONTACT_INTERVAL_US = SECOND  # between a contact's calls to a machine that the slot waits for
OBSERVER_INTERVAL_US = 5 * SECOND  # between other calls to a machine
REPLY_VALID_US = 10 * SECOND  # a machine's reply is used for so long
LOSS_REMEMBERED_US = 600 * SECOND  # a machine that left the list without a drain counts as lost
UNREACHABLE_LOST_US = 10 * SECOND  # a listed machine that is unreachable for so long counts as lost
REQUESTS_INTERVAL_US = 2 * SECOND  # between computations of slot requests
EJECTIONS_FOR_REQUEST = 3  # ejections of a machine after which a slot is requested for it
EJECTED_URGENCY = 6  # of such a slot request
MAX_CALLS = 32  # calls to machines in progress

OutcomeListener = Callable[[str, api.Outcome | None], None]  # machine, outcome (None: it started)


@dataclass(frozen=True, slots=True)
class LocalMachines:
    """The components of the core that hold this placer's machines and tasks."""

    fleet: Fleet
    machines: Machines
    attempts: Attempts
    stops: Stops
    drain_schedule: DrainSchedule


@dataclass(slots=True)
class _MachineCalls:
    """State of the calls to one machine about one slot."""

    reply: MachineReply = MachineReply.NONE
    replied_us: int = -REPLY_VALID_US
    called_us: int = -OBSERVER_INTERVAL_US
    trial: TrialOutcome = TrialOutcome.NONE  # of starts on the machine since its trial began
    is_calling: bool = False


@dataclass(slots=True)
class _ListedMachine:
    """Place of a machine of the list, when it was last listed, and since when it is unreachable."""

    zone: str
    cell: str
    listed_us: int
    unreachable_since_us: int | None = None


class MaintenanceSlots:
    """Makes the observations of `member`, and carries out its slots on machines and tasks.

    `agreement` returns the coordinator once there is one, `rules` the rule set in force.
    """

    def __init__(
        self,
        context: CoreContext,
        local: LocalMachines,
        member: MaintenanceMember,
        agreement: Callable[[], Coordinator | None],
        rules: Callable[[], RuleSet | None],
    ) -> None:
        self._context = context
        self._fleet = local.fleet
        self._machines = local.machines
        self._attempts = local.attempts
        self._stops = local.stops
        self._drain_schedule = local.drain_schedule
        self._member = member
        self._agreement = agreement
        self._rules = rules
        self._calls_by_slot: dict[int, _MachineCalls] = {}
        self._listed: dict[str, _ListedMachine] = {}
        self._closed: frozenset[str] = frozenset()
        self._requests: list[SlotRequest] = []
        self._requests_us = -REQUESTS_INTERVAL_US
        self._move_allowance = 0.0
        self._allowance_us = context.hub.now_us()
        self._calls_in_progress = 0
        member.set_observations(self)
        local.drain_schedule.is_closed_by_slot = member.is_closed

    # Observations

    def is_listed(self, machine: str) -> bool:
        """Whether the list has a machine; True where this placer cannot know: without a list, or outside its subset."""
        return machine in self._fleet.held or not self._fleet.is_off_list(machine)

    def place_of(self, machine: str) -> tuple[str, str] | None:
        """Zone and cell of a machine by the list; None for an unlisted machine."""
        entry = self._fleet.held.get(machine)
        if entry is None:
            return None
        labels = entry.value["metadata"].get("labels") or {}
        return entry.listed.zone, str(labels.get(names.CELL, machine))

    def own_tasks_at(self, machine: str) -> int:
        """Number of own attempts and pending stops at a machine; -1 until the machine has listed its pods."""
        entry = self._fleet.held.get(machine)
        if not self._fleet.ready or (entry is not None and self._fleet.is_closed_by_restart(entry)):
            return -1
        link = self._machines.links.get(machine)
        if link is None:
            return 0
        return len(self._attempts.on(link)) + self._stops.pending_on(link)

    def reply_for(self, number: int) -> MachineReply:
        """The last reply of a slot's machine, if it is younger than REPLY_VALID_US; else `MachineReply.NONE`."""
        calls = self._calls_by_slot.get(number)
        if calls is None or self._context.hub.now_us() - calls.replied_us >= REPLY_VALID_US:
            return MachineReply.NONE
        return calls.reply

    def trial_outcome(self, number: int) -> TrialOutcome:
        """Outcome of starts on a machine in its trial at the end of a slot, of which this placer is the contact."""
        calls = self._calls_by_slot.get(number)
        return calls.trial if calls is not None else TrialOutcome.NONE

    def region_view(self) -> RegionView | None:
        """Machines by cell, lost machines, and the demand in machines, by this placer's list; None without a list."""
        if not self._fleet.ready:
            return None
        states = {each.name: each for each in self._drain_schedule.machine_states()}
        cells = Counter((each.zone, each.cell) for each in self._listed.values())
        now_us = self._context.hub.now_us()
        agreement = self._agreement()
        ejected = agreement.ejections.ejected(now_us) if agreement is not None else frozenset()
        lost = [
            (name, each.zone, each.cell)
            for name, each in self._listed.items()
            if name in ejected or _is_lost(now_us, each, states.get(name))
        ]
        return RegionView(
            cells=tuple((zone, cell, count) for (zone, cell), count in sorted(cells.items())),
            lost=tuple(sorted(lost)),
            used=self._demand_machines(list(states.values())),
        )

    def _demand_machines(self, states: Sequence[MachineState]) -> float:
        """The demand as a number of machines, each filled up to the share that the rules' maintenance plan allows.

        It is estimated by the larger share of cores and memory, since a list may state more capacity than there is.
        """
        rules = self._rules()
        fill = rules.plan.fill if rules is not None else 1.0
        shares = []
        for resource in (0, 1):
            size = sum(each.size[resource] for each in states)
            requested = sum(each.requested[resource] for each in states)
            shares.append(requested / (fill * size) if size else 0.0)
        return max(0.0, *shares) * len(states)

    def slot_requests(self) -> Sequence[SlotRequest]:
        """Slot requests of due windows and for repeatedly ejected machines, computed every REQUESTS_INTERVAL_US."""
        now_us = self._context.hub.now_us()
        rules = self._rules()
        if rules is None or now_us - self._requests_us < REQUESTS_INTERVAL_US:
            return self._requests
        states = self._drain_schedule.machine_states()
        wall_us = self._context.hub.clock.wall_us()
        found = calendar_requests(rules, states, wall_us)
        found += self._ejection_requests(now_us, wall_us, states)
        self._requests = found
        self._requests_us = now_us
        return found

    def _ejection_requests(
        self, now_us: int, wall_us: int, states: Sequence[MachineState]
    ) -> list[SlotRequest]:
        agreement = self._agreement()
        if agreement is None:
            return []
        ejected = agreement.ejections.repeatedly_ejected(now_us, EJECTIONS_FOR_REQUEST)
        return [
            SlotRequest(
                ident=f"verdict-{each.name}-{wall_us // LOSS_REMEMBERED_US}",
                machine=each.name,
                zone=each.zone,
                cell=each.cell,
                why="verdict",
                urgency=EJECTED_URGENCY,
                latest_us=0,
                lasts_us=0,
            )
            for each in states
            if each.name in ejected
        ]

    # Outcomes of attempts

    def forwarding_to(self, listener: OutcomeListener) -> OutcomeListener:
        """A listener that handles outcomes of attempts here, and then passes them on to `listener`."""

        def on_outcome(machine: str, outcome: api.Outcome | None) -> None:
            self.on_outcome(machine, outcome)
            listener(machine, outcome)

        return on_outcome

    def on_outcome(self, machine: str, outcome: api.Outcome | None) -> None:
        """Record the end of an attempt, or its start (None), if this placer is the contact of the machine's trial."""
        for slot in self._member.slots.values():
            if slot.machine != machine or slot.state != SlotState.RETURNED:
                continue
            if slot.contact != self._member.me:
                continue
            calls = self._calls_by_slot.setdefault(slot.number, _MachineCalls())
            if outcome is None:
                calls.trial = TrialOutcome.SUCCEEDED
            elif outcome in FAULT_OUTCOMES and calls.trial != TrialOutcome.SUCCEEDED:
                calls.trial = TrialOutcome.FAILED

    # Effects

    def on_slots_changed(self) -> None:
        """Close and open machines at once after a grant changed the slots."""
        before = self._closed
        self._closed = self._member.closed_machines
        self._drain_schedule.on_slots_changed(before ^ self._closed)
        known = self._member.slots
        self._calls_by_slot = {
            number: each for number, each in self._calls_by_slot.items() if number in known
        }

    def run(self) -> None:
        """Scan slots and machines until cancelled."""
        while True:
            self._scan()
            self._context.hub.sleep(SCAN_INTERVAL_US)

    def _scan(self) -> None:
        now_us = self._context.hub.now_us()
        if self._fleet.ready:
            self._scan_list(now_us)
        if self._closed != self._member.closed_machines:
            self.on_slots_changed()
        for slot in list(self._member.slots.values()):
            if slot.state != SlotState.REQUESTED:
                self._call_machine(now_us, slot)
        self._move_tasks(now_us)

    def _scan_list(self, now_us: int) -> None:
        """Update the region's machines: one that the list drains is no loss, one that left the list counts as lost."""
        for state in self._drain_schedule.machine_states():
            listed = self._listed.setdefault(
                state.name, _ListedMachine(state.zone, state.cell, now_us)
            )
            listed.zone = state.zone
            listed.cell = state.cell
            listed.listed_us = now_us
            link = self._machines.links.get(state.name)
            if link is not None and link.reachable:
                listed.unreachable_since_us = None
            elif listed.unreachable_since_us is None:
                listed.unreachable_since_us = now_us
        expired = [
            name
            for name, each in self._listed.items()
            if now_us - each.listed_us > LOSS_REMEMBERED_US
        ]
        for name in expired:
            del self._listed[name]

    def _call_machine(self, now_us: int, slot: KnownSlot) -> None:
        """Send a slot's state to its machine, and read the reply. Every placer may do so; the slot's contact has to."""
        link = self._machines.links.get(slot.machine)
        is_contact = slot.contact == self._member.me
        calls = self._calls_by_slot.setdefault(slot.number, _MachineCalls())
        if link is None or calls.is_calling or self._calls_in_progress >= MAX_CALLS:
            return
        if slot.state == SlotState.RETURNED and not is_contact:
            return
        is_urgent = is_contact and _awaits_reply(slot, calls)
        interval_us = CONTACT_INTERVAL_US if is_urgent else OBSERVER_INTERVAL_US
        if now_us - calls.called_us < interval_us:
            return
        calls.called_us = now_us
        calls.is_calling = True
        self._calls_in_progress += 1
        self._context.spawn(
            lambda: self._call(link, slot, calls), f"call the machine of slot {slot.number}"
        )

    def _call(self, link: MachineLink, slot: KnownSlot, calls: _MachineCalls) -> None:
        try:
            reply = link.set_closed(slot.number, slot.state != SlotState.RETURNED)
        finally:
            self._calls_in_progress -= 1
            calls.is_calling = False
        if reply:
            calls.reply = MachineReply(reply)
            calls.replied_us = self._context.hub.now_us()
        else:
            self._context.counts["turns:no word"] += 1

    def _move_tasks(self, now_us: int) -> None:
        """Migrate own tasks off closed machines, at this placer's share of the maintenance plan's rate."""
        rules = self._rules()
        agreement = self._agreement()
        if rules is None or agreement is None or agreement.rules_in_force(now_us) is None:
            return  # Danger: a task stopped while this placer may act on no rules could not be started elsewhere.
        self._refill_move_allowance(now_us, rules)
        if self._move_allowance < 1 or not self._closed:
            return
        running = self._drain_schedule.own_running()
        for slot in sorted(self._member.slots.values(), key=lambda each: each.number):
            if slot.machine not in self._closed:
                continue
            for task in running.get(slot.machine, []):
                if task.movable and not task.offered and self._move_allowance >= 1:
                    self._move_allowance -= 1
                    reason = f"turn {slot.number} takes its machine out"
                    self._drain_schedule.move_task(task.request, reason)

    def _refill_move_allowance(self, now_us: int, rules: RuleSet) -> None:
        """Refill the token bucket: `plan.moves` every `plan.every_us` for all placers; it holds at least one token."""
        share = rules.plan.moves / max(1, self._context.settings.scheduler.placers)
        elapsed_us = max(0, now_us - self._allowance_us)
        self._allowance_us = now_us
        allowance = self._move_allowance + share * elapsed_us / rules.plan.every_us
        self._move_allowance = min(max(1.0, share), allowance)


def _is_lost(now_us: int, listed: _ListedMachine, state: MachineState | None) -> bool:
    if state is None or not state.running:
        return True
    since_us = listed.unreachable_since_us
    return since_us is not None and now_us - since_us >= UNREACHABLE_LOST_US


def _awaits_reply(slot: KnownSlot, calls: _MachineCalls) -> bool:
    """Whether the slot's next state waits for the machine's reply."""
    if slot.state == SlotState.RETURNED:
        return calls.reply != MachineReply.OPEN
    return slot.state in (SlotState.CLOSING, SlotState.EMPTY)
