"""Slow start: the offers of one placer to each cold machine within a time span, and whether one more may be sent.

Where placers hold subsets of the machines, more placers than usual may hold a machine at one time: in a partition each
side takes over the other's machines. A placer's share of the offers to a cold machine therefore depends on its rank
alone (`subsets.Subsets.max_cold_offers`), and this account enforces it, whatever the decision module counts.

An offer counts from its first byte until `span_us` after it is known to have arrived, because offers that are unread at
a stalled machine all arrive together when the machine resumes. No I/O, no clock; times are microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

# Accounts at one time; while there are so many, no further cold machine gets an offer.
MAX_MACHINES = 16_384


class Arrival(Enum):
    """What the end of an offer shows of its arrival, and of the arrival of offers that were given up before."""

    NEVER = "no byte of it reached the machine"
    UNKNOWN = "given up, and it may still arrive"
    ARRIVED = "it has arrived; nothing is known about others"
    CONTACT = "the machine has answered: offers sent before have arrived too"


@dataclass(slots=True)
class _MachineOffers:
    """The account of one cold machine: arrival times within the span, and offers not known to have arrived."""

    launched_us: int
    cold_until_us: int = 0
    arrived_us: deque[int] = field(default_factory=deque)
    # By offer: whether it was given up.
    not_arrived: dict[str, bool] = field(default_factory=dict)

    def expire(self, before_us: int) -> None:
        """Drop arrivals up to `before_us`."""
        while self.arrived_us and self.arrived_us[0] <= before_us:
            self.arrived_us.popleft()


class SlowStartShare:
    """One placer's accounts of cold machines.

    `span_us`: for how long an offer counts, the same as in the decision module and no shorter than on machines. Raises
    ValueError where it or `max_machines` is not above 0.
    """

    def __init__(self, span_us: int, max_machines: int = MAX_MACHINES) -> None:
        if span_us <= 0 or max_machines <= 0:
            raise ValueError(f"span_us and max_machines: above 0, not {span_us} and {max_machines}")
        self._span_us = span_us
        self._max_machines = max_machines
        self._machines: dict[str, _MachineOffers] = {}

    def __len__(self) -> int:
        return len(self._machines)

    def remaining(self, now_us: int, machine: str, launched_us: int, share: int) -> int:
        """How many more of `share` offers may be sent to a machine now; 0 for a new one while there is no free account.

        `launched_us`: the machine's latest start.
        """
        account = self._machines.get(machine)
        if account is None:
            self._prune(now_us)
            return max(0, share) if len(self._machines) < self._max_machines else 0
        if account.launched_us != launched_us:
            # Danger: offers to the machine's earlier process may reach the new one: they count as arriving now.
            account.arrived_us.extend([now_us] * len(account.not_arrived))
            account.not_arrived.clear()
            account.launched_us = launched_us
        account.expire(now_us - self._span_us)
        return max(0, share - len(account.arrived_us) - len(account.not_arrived))

    def on_sent(self, machine: str, launched_us: int, cold_until_us: int, offer: str) -> None:
        """Record an offer right before its first byte; to be called only after `remaining` allowed it."""
        account = self._machines.get(machine)
        if account is None:
            account = self._machines[machine] = _MachineOffers(launched_us)
        account.cold_until_us = cold_until_us
        account.not_arrived[offer] = False

    def on_ended(self, now_us: int, machine: str, offer: str, arrival: Arrival) -> None:
        """Record the end of an offer. One that is not on the account matters only for what it shows of others."""
        account = self._machines.get(machine)
        if account is None:
            return
        if arrival is Arrival.NEVER:
            account.not_arrived.pop(offer, None)
        elif arrival is Arrival.UNKNOWN:
            if offer in account.not_arrived:
                account.not_arrived[offer] = True
        else:
            arrived = [
                each
                for each, given_up in account.not_arrived.items()
                if each == offer or (given_up and arrival is Arrival.CONTACT)
            ]
            for each in arrived:
                del account.not_arrived[each]
            account.arrived_us.extend([now_us] * len(arrived))

    def _prune(self, now_us: int) -> None:
        if len(self._machines) < self._max_machines:
            return
        for name in [name for name, each in self._machines.items() if self._is_over(each, now_us)]:
            del self._machines[name]

    def _is_over(self, account: _MachineOffers, now_us: int) -> bool:
        account.expire(now_us - self._span_us)
        return now_us >= account.cold_until_us or not (account.arrived_us or account.not_arrived)
