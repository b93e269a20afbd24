"""The leader's volatile state of live slots: when each entered its state, and the lease of its operator.

It is not in the log, and each leader rebuilds it. A renewal counts only once a majority has followed the leader after
it was made (ReadIndex, Raft section 6.4): otherwise a deposed leader would let an operator go on working on a machine
whose slot has been given back.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from wingbarrow.decide.maintenance.slots import ENDED_STATES, SlotQueue, SlotState
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.quotas.limits import drifted_us

MAX_PENDING_RENEWALS = 16  # for one slot


@dataclass(slots=True)
class TrackedSlot:
    """The volatile state of one slot."""

    since_us: int  # when this leader first saw the slot in `state`
    state: SlotState
    unlisted_since_us: int | None = None  # since when no list contains its machine
    renewed_us: int = 0  # when the latest confirmed renewal was made; 0: none
    pending_renewals_us: list[int] = field(default_factory=list)  # not confirmed yet


class SlotTracker:
    """Tracks the live slots; an entry is created when a slot is first seen in its current state."""

    def __init__(self, queue: SlotQueue, timing: MaintenanceTiming) -> None:
        self._queue = queue
        self._timing = timing
        self._tracked: dict[int, TrackedSlot] = {}

    def clear(self) -> None:
        """Discard all entries."""
        self._tracked = {}

    def forget_unknown(self) -> None:
        """Discard the slots that the queue no longer has."""
        for number in self._tracked.keys() - self._queue.slots.keys():
            del self._tracked[number]

    def tracked(self, now_us: int, number: int) -> TrackedSlot | None:
        """Return the volatile state of a slot in its current state; None if it is not live."""
        slot = self._queue.slots.get(number)
        if slot is None or slot.state in ENDED_STATES:
            self._tracked.pop(number, None)
            return None
        held = self._tracked.get(number)
        if held is None or held.state != slot.state:
            held = TrackedSlot(now_us, slot.state)
            self._tracked[number] = held
        return held

    def renew(self, now_us: int, number: int) -> None:
        """Renew the lease of a slot's operator; it is confirmed once `renewed_us` is at or after `now_us`."""
        tracked = self.tracked(now_us, number)
        if tracked is not None and len(tracked.pending_renewals_us) < MAX_PENDING_RENEWALS:
            tracked.pending_renewals_us.append(now_us)

    def confirm_renewals(self, until_us: int) -> None:
        """Confirm renewals made until a time at which a majority followed this leader."""
        for number, tracked in self._tracked.items():
            slot = self._queue.slots.get(number)
            for renewal_us in tracked.pending_renewals_us:
                if renewal_us <= until_us and slot is not None and slot.state == SlotState.OUT:
                    tracked.renewed_us = max(tracked.renewed_us, renewal_us)
            tracked.pending_renewals_us = [
                each for each in tracked.pending_renewals_us if each > until_us
            ]

    def renewed_us(self, number: int) -> int:
        """Return when the operator's latest confirmed renewal was made; 0 for none."""
        return self._tracked[number].renewed_us if number in self._tracked else 0

    def lapsed_operator_slots(self, now_us: int) -> Iterator[int]:
        """Yield slots whose machine is out and whose operator's lease has lapsed, as far as this leader knows."""
        lapse_us = drifted_us(self._timing.lease_us)
        for slot in self._queue.slots.values():
            tracked = self.tracked(now_us, slot.number) if slot.state == SlotState.OUT else None
            if tracked is None or not (slot.worker or not slot.lasts_us):
                continue
            if now_us >= max(tracked.since_us, tracked.renewed_us) + lapse_us:
                yield slot.number
