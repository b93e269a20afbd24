"""A placer's side of maintenance: which machines are closed to it, and its reports on them and on its region.

A machine is closed to a placer from the grant that first names its slot, which takes effect before that grant lets the
placer act, until a grant no longer names the slot. A returned machine is closed to all placers but its contact. A late
grant is ignored, because the queue's version only grows.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.maintenance.messages import (
    MAX_REPORTED_CELLS,
    MAX_REPORTED_LOSSES,
    MAX_REPORTED_REQUESTS,
    MaintenanceReport,
    MaintenanceResponse,
    RegionView,
    SlotRequest,
)
from wingbarrow.decide.maintenance.slots import SlotState


class MachineReply(StrEnum):
    """The last reply of a machine to a request with a slot's number."""

    NONE = ""
    CLOSED = "shut"  # it refuses new work and still runs tasks
    EMPTY = "empty"  # it refuses new work and runs no task
    OPEN = "open"


class TrialOutcome(StrEnum):
    """The outcome of task starts on a returned machine that this placer tries."""

    NONE = ""
    SUCCEEDED = "well"
    FAILED = "bad"


class LocalObservations(Protocol):
    """A placer's knowledge of the machines of its region."""

    def is_listed(self, machine: str) -> bool:
        """Whether the machine list contains the machine; True also as long as there is no list."""

    def place_of(self, machine: str) -> tuple[str, str] | None:
        """Return zone and cell by the machine list; None if the list does not contain the machine."""

    def own_tasks_at(self, machine: str) -> int:
        """Return the number of own tasks placed, offered or to be stopped there; -1 as long as it is unknown."""

    def reply_for(self, number: int) -> MachineReply:
        """Return the machine's last reply for a slot, as long as it is valid."""

    def trial_outcome(self, number: int) -> TrialOutcome:
        """Return the outcome of task starts on the machine of a slot that is tried."""

    def region_view(self) -> RegionView | None:
        """Return the region by the machine list; None without a list."""

    def slot_requests(self) -> Sequence[SlotRequest]:
        """Return the requests that the calendar and outlier ejection make now."""


class NoObservations:
    """The observations of a placer without machines."""

    def is_listed(self, machine: str) -> bool:
        """No machine is listed."""
        return False

    def place_of(self, machine: str) -> tuple[str, str] | None:
        """No machine has a place."""
        return None

    def own_tasks_at(self, machine: str) -> int:
        """There are no tasks."""
        return 0

    def reply_for(self, number: int) -> MachineReply:
        """There is no reply."""
        return MachineReply.NONE

    def trial_outcome(self, number: int) -> TrialOutcome:
        """There is no trial."""
        return TrialOutcome.NONE

    def region_view(self) -> RegionView | None:
        """There is no view."""
        return None

    def slot_requests(self) -> Sequence[SlotRequest]:
        """There are no requests."""
        return ()


@dataclass(frozen=True, slots=True)
class KnownSlot:
    """A slot as in the last grant. A state unknown to this version closes the machine."""

    number: int
    machine: str
    state: str  # a value of SlotState, from the wire
    contact: str  # the placer that calls its machine, and tries it once it is returned
    has_lapsed_operator: bool = False  # the lease of its maintenance operator has lapsed


@dataclass(slots=True)
class _Confirmations:
    """Slot numbers, by the field of the report that lists them."""

    clear: list[int] = field(default_factory=list)
    empty: list[int] = field(default_factory=list)
    tried: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    opened: list[int] = field(default_factory=list)
    unlisted: list[int] = field(default_factory=list)
    tasks: list[tuple[int, int]] = field(default_factory=list)
    places: list[tuple[int, str, str]] = field(default_factory=list)


class MaintenanceMember:
    """The member's side of the replicated subsystem `turns`. `region`: the region of this placer."""

    name = "turns"

    def __init__(self, me: str, region: str, observations: LocalObservations) -> None:
        self.me = me
        self.region = region
        self.slots: dict[int, KnownSlot] = {}
        self.is_region_reporter = False
        self._observations = observations
        self._version = 0
        self._next_request = 0
        self._closed: frozenset[str] = frozenset()

    def set_observations(self, observations: LocalObservations) -> None:
        """Replace the source of reports; a placer joins its peers before it has machines."""
        self._observations = observations

    def is_closed(self, machine: str) -> bool:
        """Whether a slot closes the machine to this placer."""
        return machine in self._closed

    @property
    def closed_machines(self) -> frozenset[str]:
        """The machines that slots close to this placer."""
        return self._closed

    def report(self, now_us: int) -> MaintenanceReport:
        """Return what this placer confirms now."""
        found = _Confirmations()
        for slot in self.slots.values():
            self._confirm(slot, found)
        return MaintenanceReport(
            clear=tuple(found.clear),
            empty=tuple(found.empty),
            tried=tuple(found.tried),
            bad=tuple(found.failed),
            open=tuple(found.opened),
            gone=tuple(found.unlisted),
            tasks=tuple(found.tasks),
            places=tuple(found.places),
            region=self.region,
            at_us=now_us,
            view=self._region_view(),
            wants=self._request_batch(),
        )

    def _confirm(self, slot: KnownSlot, found: _Confirmations) -> None:
        tasks = self._observations.own_tasks_at(slot.machine)
        if not self._observations.is_listed(slot.machine):
            found.unlisted.append(slot.number)
        if slot.state == SlotState.REQUESTED:
            place = self._observations.place_of(slot.machine)
            found.tasks.append((slot.number, max(0, tasks)))
            if place is not None:
                found.places.append((slot.number, *place))
            return
        reply = self._observations.reply_for(slot.number)
        if slot.state == SlotState.RETURNED:
            if reply == MachineReply.OPEN:
                self._confirm_opened(slot, found)
            return
        if tasks == 0:
            found.clear.append(slot.number)
        if reply == MachineReply.EMPTY:
            found.empty.append(slot.number)

    def _confirm_opened(self, slot: KnownSlot, found: _Confirmations) -> None:
        found.opened.append(slot.number)
        if slot.contact != self.me:
            return
        outcome = self._observations.trial_outcome(slot.number)
        if outcome == TrialOutcome.SUCCEEDED:
            found.tried.append(slot.number)
        elif outcome == TrialOutcome.FAILED:
            found.failed.append(slot.number)

    def _region_view(self) -> RegionView | None:
        view = self._observations.region_view() if self.is_region_reporter else None
        if view is None:
            return None
        if len(view.cells) > MAX_REPORTED_CELLS or len(view.lost) > MAX_REPORTED_LOSSES:
            return None  # the region then counts as out of reach: none of its machines is given out
        return view

    def _request_batch(self) -> tuple[SlotRequest, ...]:
        """Return as many requests as a report holds, in rotation; the leader skips the ones that it knows."""
        found = list(self._observations.slot_requests()) if self.is_region_reporter else []
        if len(found) <= MAX_REPORTED_REQUESTS:
            return tuple(found)
        begin = self._next_request % len(found)
        self._next_request = begin + MAX_REPORTED_REQUESTS
        return tuple((found + found)[begin : begin + MAX_REPORTED_REQUESTS])

    def on_response(
        self, now_us: int, asked_us: int, response: MaintenanceResponse | None
    ) -> list[Effect]:
        """Replace the known slots by those of a grant; return a notification for each change of state."""
        if response is None or response.version < self._version:
            return []  # Danger: a late grant would open a machine that a later slot has closed
        self._version = response.version
        self.is_region_reporter = response.tell
        before = self.slots
        silent = frozenset(response.silent)
        self.slots = {
            number: KnownSlot(number, machine, state, contact, number in silent)
            for number, machine, state, contact in response.turns
        }
        self._closed = frozenset(each.machine for each in self.slots.values() if self._closes(each))
        return list(_state_notifications(before, self.slots))

    def _closes(self, slot: KnownSlot) -> bool:
        if slot.state == SlotState.REQUESTED:
            return False
        return slot.state != SlotState.RETURNED or slot.contact != self.me


def _state_notifications(
    before: Mapping[int, KnownSlot], after: Mapping[int, KnownSlot]
) -> Iterator[Notify]:
    for number, slot in after.items():
        held = before.get(number)
        is_new = held is None or (held.state, held.has_lapsed_operator) != (
            slot.state,
            slot.has_lapsed_operator,
        )
        if is_new and slot.state != SlotState.REQUESTED:
            yield _notification(slot, "silent" if slot.has_lapsed_operator else slot.state)
    for number, held in before.items():
        if number not in after and held.state != SlotState.REQUESTED:
            yield _notification(held, "over")


def _notification(slot: KnownSlot, state: str) -> Notify:
    return Notify("turn", {"number": slot.number, "machine": slot.machine, "state": state})
