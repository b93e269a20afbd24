"""How many offers one placer has lately sent to each cold machine, and whether it may send one more.

Where placers hold subsets of the machines, more placers than usual may hold one at a time: each side of a cut takes
the other's machines. What each may send to a cold machine is then said by its rank alone (`subsets.Subsets.cold_most`),
and this account is what keeps a placer within it, whatever the decision module counts.

An offer counts from its first byte until `span_us` after it is known to have come, as one that lies unread at a machine
that stands still comes with all others of its kind when the machine goes on. No I/O, no clock: times are microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MAX_MACHINES = (
    16_384  # machines that are cold and were offered to at one time; beyond it nothing cold is sent
)


class Arrival(Enum):
    """What the end of an offer tells of its coming, and of others that were given up before."""

    NEVER = "no byte of it reached the machine"
    UNKNOWN = "nobody waits for it, and it may come yet"
    ARRIVED = "it came, as far as is known; nothing is said of others"
    CONTACT = "the machine has answered: what it was sent before has come too"


@dataclass(slots=True)
class _MachineOffers:
    """One cold machine's."""

    launched_us: int
    cold_until_us: int = 0
    arrived_us: deque[int] = field(default_factory=deque)
    not_arrived: dict[str, bool] = field(
        default_factory=dict
    )  # offers not known to have come; True: given up

    def forget(self, before_us: int) -> None:
        while self.arrived_us and self.arrived_us[0] <= before_us:
            self.arrived_us.popleft()


class SlowStartShare:
    """One placer's account; `span_us` as long as the module counts offers, at least the span in which machines do."""

    def __init__(self, span_us: int, max_machines: int = MAX_MACHINES) -> None:
        if span_us <= 0 or max_machines <= 0:
            raise ValueError("span and machines: above 0")
        self._span_us, self._max_machines = span_us, max_machines
        self._machines: dict[str, _MachineOffers] = {}

    def __len__(self) -> int:
        return len(self._machines)

    def remaining(self, now_us: int, machine: str, launched_us: int, share: int) -> int:
        """How many more offers a share of so many allows now; 0 for every new machine while the table is full."""
        held = self._machines.get(machine)
        if held is None:
            self._prune(now_us)
            return max(0, share) if len(self._machines) < self._max_machines else 0
        if held.launched_us != launched_us:
            # Danger: offers to the former process may reach its successor: they count as come now.
            held.arrived_us.extend([now_us] * len(held.not_arrived))
            held.not_arrived.clear()
            held.launched_us = launched_us
        held.forget(now_us - self._span_us)
        return max(0, share - len(held.arrived_us) - len(held.not_arrived))

    def on_sent(self, machine: str, launched_us: int, cold_until_us: int, offer: str) -> None:
        """The first byte of an offer to a cold machine goes out; only right after `left` allowed it."""
        held = self._machines.get(machine)
        if held is None:
            held = self._machines[machine] = _MachineOffers(launched_us)
        held.cold_until_us = cold_until_us
        held.not_arrived[offer] = False

    def on_ended(self, now_us: int, machine: str, offer: str, arrival: Arrival) -> None:
        """What is known of an offer's coming; of one that is not on the account nothing changes but what it tells."""
        held = self._machines.get(machine)
        if held is None:
            return
        if arrival is Arrival.NEVER:
            held.not_arrived.pop(offer, None)
        elif arrival is Arrival.UNKNOWN:
            if offer in held.not_arrived:
                held.not_arrived[offer] = True
        else:
            known = [
                each
                for each, given_up in held.not_arrived.items()
                if each == offer or (given_up and arrival is Arrival.CONTACT)
            ]
            for each in known:
                del held.not_arrived[each]
            held.arrived_us.extend([now_us] * len(known))

    def _prune(self, now_us: int) -> None:
        if len(self._machines) < self._max_machines:
            return
        for name in [name for name, each in self._machines.items() if self._over(each, now_us)]:
            del self._machines[name]

    def _over(self, held: _MachineOffers, now_us: int) -> bool:
        held.forget(now_us - self._span_us)
        return now_us >= held.cold_until_us or not (held.arrived_us or held.not_arrived)
