"""The queue of maintenance slots, replicated by the voters' log: which machine is taken out, and in which order.

    asked -> queued -> closing -> empty -> out -> back -> done
    asked, queued -> given-back;  closing, empty, out -> back -> given-back

A replicated state machine (Raft, section 5.3): every voter applies the same entries (`entries`) and reaches the same
state. The order depends only on entries; their times are of the wall clock of the leader that proposed them, and the
queue's own clock never goes back. The leader (`scheduler`) decides when to propose a transition, not this module. State
`back` precedes the end wherever the machine may have been closed, because the machine has to be reopened and tried.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import astuple, dataclass, replace
from enum import StrEnum

from wingbarrow.decide.maintenance.entries import (
    MAX_IDENT_CHARACTERS,
    MAX_NOTE_CHARACTERS,
    CountedSlot,
    Entry,
    MachineEmptied,
    MachineOut,
    MachineReturned,
    SlotClosing,
    SlotDone,
    SlotGivenBack,
    SlotRequested,
    SlotsQueued,
    SlotTerms,
    SlotTransition,
    VotersRecovered,
    WindowTerms,
)

MAX_LIVE_SLOTS = 512
MAX_ACTIVE_SLOTS = 128  # of the live ones; every grant contains all of them
MAX_ENDED_SLOTS = 64  # ended slots that are kept
MAX_CALENDAR_REQUESTS = 4096  # requests of the calendar; each is kept until its latest time
MAX_OUTCOMES = 256  # outcomes kept for requests that are sent again
RECOVERY_NUMBER_GAP = 10_000  # numbers skipped, as lost voters may have assigned them
AGING_PERIOD_US = 600_000_000  # a waiting slot gains one step of urgency in each period
NO_DEADLINE = 1 << 62
DIGEST_BYTES = 16
IDENT_PREFIX_CHARACTERS = MAX_IDENT_CHARACTERS - 2 * DIGEST_BYTES - 1


class SlotState(StrEnum):
    """The states of a slot; the values are used on the wire, in the log and in the REST API."""

    REQUESTED = "asked"
    QUEUED = "queued"
    CLOSING = "closing"
    EMPTY = "empty"
    OUT = "out"
    RETURNED = "back"
    DONE = "done"
    GIVEN_BACK = "given-back"


ACTIVE_STATES = (SlotState.CLOSING, SlotState.EMPTY, SlotState.OUT, SlotState.RETURNED)
ENDED_STATES = (SlotState.DONE, SlotState.GIVEN_BACK)

# The new state by entry type and current state; in a state that is not listed, the entry has no effect.
TRANSITIONS: Mapping[type[Entry], Mapping[SlotState, SlotState]] = {
    SlotClosing: {SlotState.QUEUED: SlotState.CLOSING},
    MachineEmptied: {SlotState.CLOSING: SlotState.EMPTY},
    MachineOut: {SlotState.EMPTY: SlotState.OUT},
    MachineReturned: {SlotState.OUT: SlotState.RETURNED},
    SlotDone: {SlotState.RETURNED: SlotState.DONE},
    SlotGivenBack: {
        SlotState.REQUESTED: SlotState.GIVEN_BACK,
        SlotState.QUEUED: SlotState.GIVEN_BACK,
        SlotState.CLOSING: SlotState.RETURNED,
        SlotState.EMPTY: SlotState.RETURNED,
        SlotState.OUT: SlotState.RETURNED,
    },
}


@dataclass(frozen=True, slots=True)
class Slot:
    """A request to take a machine out, and its progress. Snapshots hold the fields in this order.

    Times are of the wall clock, in microseconds. `number` is the fencing token that the machine checks.
    """

    number: int
    machine: str
    region: str
    zone: str
    cell: str
    why: str  # calendar, operator, verdict
    urgency: int  # 0 to 9; greater is sooner
    latest_us: int  # latest start of the work; 0: no deadline
    requested_us: int
    lasts_us: int
    worker: str  # the maintenance operator, which holds a lease on the slot; "": none
    state: SlotState = SlotState.REQUESTED
    tasks: int = 0  # to be moved, as counted by placers before the slot was queued
    since_us: int = 0  # when its state began
    ident: str = ""  # of the request: deduplicates requests that are sent again
    unsafe: str = "wait"  # policy for tasks that must not start twice; see `UnsafePolicy`
    ends_us: int = 0  # the window's end, if the slot ends with it; 0 otherwise
    is_given_back: bool = False  # it was given back, so it ends in state given-back
    note: str = ""  # the reason for its state, for operators
    from_us: int = 0  # earliest time at which the machine is given out
    out_us: int = 0  # when the machine was given out; 0: never


def short_ident(key: str) -> str:
    """Return the ident of a calendar request for a drain's key (WINDOW@START/MACHINE); a long machine is hashed."""
    if len(key) <= MAX_IDENT_CHARACTERS:
        return key
    window, _, machine = key.rpartition("/")
    digest = hashlib.blake2b(machine.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return f"{window[:IDENT_PREFIX_CHARACTERS]}/{digest}"


def queue_rank(slot: Slot) -> tuple[int, int, int, int, str, int]:
    """Return the sort key of the queue: age and urgency, deadline, time of request, tasks, machine, number.

    A slot gains one step of urgency with each AGING_PERIOD_US that begins after its request. The order of two slots
    therefore never changes as time passes, and a request made MAX_URGENCY + 1 periods after another ranks behind it,
    whatever its urgency.
    """
    level = slot.requested_us // AGING_PERIOD_US - slot.urgency
    deadline = slot.latest_us or NO_DEADLINE
    return level, deadline, slot.requested_us, slot.tasks, slot.machine, slot.number


class SlotQueue:
    """The replicated state: slots by number, the last number assigned, and the outcomes of requests."""

    def __init__(self) -> None:
        self.slots: dict[int, Slot] = {}  # live slots and the latest ended ones
        self.last_number = 0
        self.version = 0  # incremented by each entry that changes the state
        self.clock_us = 0  # the latest time of any entry
        # Outcomes of requests, by ident: (number, ""), or (0, reason of the refusal).
        self.outcomes: dict[str, tuple[int, str]] = {}
        # The latest time of each calendar request, by the digest of its ident.
        self.calendar_deadlines_us: dict[str, int] = {}

    def live(self) -> list[Slot]:
        """Return the slots that have not ended, in the order of their numbers."""
        return [each for each in self.slots.values() if each.state not in ENDED_STATES]

    def active(self) -> list[Slot]:
        """Return the slots whose machine is closed; budgets count them, and every grant contains them."""
        return [each for each in self.slots.values() if each.state in ACTIVE_STATES]

    def queued(self) -> list[Slot]:
        """Return the slots that wait for the budgets, in the queue's order."""
        waiting = (each for each in self.slots.values() if each.state == SlotState.QUEUED)
        return sorted(waiting, key=queue_rank)

    def live_slot_of(self, machine: str) -> Slot | None:
        """Return a machine's live slot; there is at most one."""
        found = (
            each
            for each in self.slots.values()
            if each.machine == machine and each.state not in ENDED_STATES
        )
        return next(found, None)

    def refusal(self, request: SlotRequested) -> str:
        """Return why a request is refused now, as text for its sender; "" if it is accepted."""
        if request.terms is None:
            return request.problem
        held = self.live_slot_of(request.terms.machine)
        if held is not None:
            return f"{held.machine} has turn {held.number} already ({held.state})"
        if len(self.live()) >= MAX_LIVE_SLOTS:
            return f"{MAX_LIVE_SLOTS} turns are asked for and not over: more are not taken"
        if request.is_calendar and len(self.calendar_deadlines_us) >= MAX_CALENDAR_REQUESTS:
            return (
                f"{MAX_CALENDAR_REQUESTS} turns of windows that are not over are remembered: "
                "more are not taken"
            )
        return ""

    def is_known(self, ident: str) -> bool:
        """Whether a request with this ident was accepted or refused before."""
        return ident in self.outcomes or _digest(ident) in self.calendar_deadlines_us

    def apply(self, entry: Entry) -> None:
        """Apply a decided entry; an entry that is not valid in the current state has no effect."""
        at_us = max(self.clock_us, entry.at_us)
        changed = False
        match entry:
            case SlotRequested():
                changed = self._on_requested(entry, at_us)
            case SlotsQueued():
                changed = self._on_queued(entry, at_us)
            case SlotTransition():
                changed = self._on_transition(entry, at_us)
            case VotersRecovered():
                changed = self._on_recovered()
        if changed:
            self.clock_us = at_us
            self.version += 1

    def _on_requested(self, request: SlotRequested, at_us: int) -> bool:
        if self.is_known(request.ident):
            return False  # a duplicate: its outcome is recorded
        self.calendar_deadlines_us = {
            digest: until for digest, until in self.calendar_deadlines_us.items() if until > at_us
        }
        refusal = self.refusal(request)
        if not request.is_calendar:
            self._remember_outcome(request.ident, 0 if refusal else self.last_number + 1, refusal)
        if not refusal and request.terms is not None:
            if request.is_calendar:
                self.calendar_deadlines_us[_digest(request.ident)] = request.terms.latest_us
            self._add(request.ident, request.terms, at_us)
        return True

    def _add(self, ident: str, terms: SlotTerms, at_us: int) -> None:
        window = terms.window or WindowTerms()
        self.last_number += 1
        self.slots[self.last_number] = Slot(
            number=self.last_number,
            machine=terms.machine,
            region=terms.region,
            zone=terms.zone,
            cell=terms.cell,
            why=terms.why,
            urgency=terms.urgency,
            latest_us=terms.latest_us,
            requested_us=at_us,
            lasts_us=terms.lasts_us,
            worker=terms.worker,
            since_us=at_us,
            ident=ident,
            unsafe=window.unsafe,
            ends_us=window.ends_us,
            from_us=window.from_us,
        )

    def _remember_outcome(self, ident: str, number: int, refusal: str) -> None:
        self.outcomes[ident] = (number, refusal[:MAX_NOTE_CHARACTERS])
        while len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _on_queued(self, entry: SlotsQueued, at_us: int) -> bool:
        return any([self._queue_one(each, at_us) for each in entry.slots])

    def _queue_one(self, counted: CountedSlot, at_us: int) -> bool:
        slot = self.slots.get(counted.number)
        if slot is None or slot.state != SlotState.REQUESTED:
            return False
        slot = replace(slot, state=SlotState.QUEUED, tasks=counted.tasks, since_us=at_us)
        if counted.place is not None:
            region, zone, cell = counted.place
            slot = replace(slot, region=region, zone=zone, cell=cell)
        self.slots[counted.number] = slot
        return True

    def _on_transition(self, entry: SlotTransition, at_us: int) -> bool:
        slot = self.slots.get(entry.number)
        state = TRANSITIONS[type(entry)].get(slot.state) if slot is not None else None
        if slot is None or state is None:
            return False
        if isinstance(entry, SlotClosing) and len(self.active()) >= MAX_ACTIVE_SLOTS:
            return False  # Danger: placers treat a machine as open if its slot does not fit in their grant
        note = entry.note or slot.note
        if isinstance(entry, SlotDone) and slot.is_given_back:
            state = SlotState.GIVEN_BACK
            note = slot.note or note  # keeps the reason for giving it back
        self.slots[entry.number] = replace(
            slot,
            state=state,
            since_us=at_us,
            is_given_back=slot.is_given_back or isinstance(entry, SlotGivenBack),
            note=note,
            out_us=at_us if state == SlotState.OUT else slot.out_us,
        )
        if state in ENDED_STATES:
            self._forget_ended()
        if entry.retry_ident:
            self.calendar_deadlines_us.pop(_digest(entry.retry_ident), None)
        return True

    def _on_recovered(self) -> bool:
        # Danger: recent decisions may be lost, while machines have already seen their numbers.
        self.last_number += RECOVERY_NUMBER_GAP
        self.version += RECOVERY_NUMBER_GAP
        return True

    def _forget_ended(self) -> None:
        ended = sorted(
            (each.since_us, number)
            for number, each in self.slots.items()
            if each.state in ENDED_STATES
        )
        for _, number in ended[: max(0, len(ended) - MAX_ENDED_SLOTS)]:
            del self.slots[number]

    def snapshot(self) -> str:
        """Return the whole state as JSON: less than 1.4 KB per slot, so that it fits in one message."""
        return json.dumps(
            {
                "last": self.last_number,
                "version": self.version,
                "clock_us": self.clock_us,
                "outcomes": self.outcomes,
                "windowed": self.calendar_deadlines_us,
                "turns": [astuple(each) for each in self.slots.values()],
            },
            separators=(",", ":"),
        )

    def restore(self, text: str) -> None:
        """Replace the state by a snapshot; "" stands for the initial state."""
        value = json.loads(text) if text else {}
        restored = (Slot(*each) for each in value.get("turns", ()))
        self.slots = {each.number: replace(each, state=SlotState(each.state)) for each in restored}
        self.last_number = value.get("last", 0)
        self.version = value.get("version", 0)
        self.clock_us = value.get("clock_us", 0)
        self.calendar_deadlines_us = dict(value.get("windowed", {}))
        self.outcomes = {
            ident: (number, refusal)
            for ident, (number, refusal) in value.get("outcomes", {}).items()
        }


def _digest(ident: str) -> str:
    return hashlib.blake2b(ident.encode(), digest_size=8).hexdigest()
