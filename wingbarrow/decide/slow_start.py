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

MACHINES_MOST = (
    16_384  # machines that are cold and were offered to at one time; beyond it nothing cold is sent
)


class Came(Enum):
    """What the end of an offer tells of its coming, and of others that were given up before."""

    NEVER = "no byte of it reached the machine"
    UNKNOWN = "nobody waits for it, and it may come yet"
    ALONE = "it came, as far as is known; nothing is said of others"
    SPOKE = "the machine has answered: what it was sent before has come too"


@dataclass(slots=True)
class _Machine:
    """One cold machine's."""

    launched_us: int
    cold_until_us: int = 0
    came_us: deque[int] = field(default_factory=deque)
    out: dict[str, bool] = field(
        default_factory=dict
    )  # offers not known to have come; True: given up

    def forget(self, before_us: int) -> None:
        while self.came_us and self.came_us[0] <= before_us:
            self.came_us.popleft()


class ColdShare:
    """One placer's account; `span_us` as long as the module counts offers, at least the span in which machines do."""

    def __init__(self, span_us: int, machines_most: int = MACHINES_MOST) -> None:
        if span_us <= 0 or machines_most <= 0:
            raise ValueError("span and machines: above 0")
        self._span_us, self._most = span_us, machines_most
        self._machines: dict[str, _Machine] = {}

    def __len__(self) -> int:
        return len(self._machines)

    def left(self, now_us: int, machine: str, launched_us: int, share: int) -> int:
        """How many more offers a share of so many allows now; 0 for every new machine while the table is full."""
        held = self._machines.get(machine)
        if held is None:
            self._prune(now_us)
            return max(0, share) if len(self._machines) < self._most else 0
        if held.launched_us != launched_us:
            # Danger: offers to the former process may reach its successor: they count as come now.
            held.came_us.extend([now_us] * len(held.out))
            held.out.clear()
            held.launched_us = launched_us
        held.forget(now_us - self._span_us)
        return max(0, share - len(held.came_us) - len(held.out))

    def sent(self, machine: str, launched_us: int, cold_until_us: int, offer: str) -> None:
        """The first byte of an offer to a cold machine goes out; only right after `left` allowed it."""
        held = self._machines.get(machine)
        if held is None:
            held = self._machines[machine] = _Machine(launched_us)
        held.cold_until_us = cold_until_us
        held.out[offer] = False

    def ended(self, now_us: int, machine: str, offer: str, came: Came) -> None:
        """What is known of an offer's coming; of one that is not on the account nothing changes but what it tells."""
        held = self._machines.get(machine)
        if held is None:
            return
        if came is Came.NEVER:
            held.out.pop(offer, None)
        elif came is Came.UNKNOWN:
            if offer in held.out:
                held.out[offer] = True
        else:
            known = [
                each
                for each, given_up in held.out.items()
                if each == offer or (given_up and came is Came.SPOKE)
            ]
            for each in known:
                del held.out[each]
            held.came_us.extend([now_us] * len(known))

    def _prune(self, now_us: int) -> None:
        if len(self._machines) < self._most:
            return
        for name in [name for name, each in self._machines.items() if self._over(each, now_us)]:
            del self._machines[name]

    def _over(self, held: _Machine, now_us: int) -> bool:
        held.forget(now_us - self._span_us)
        return now_us >= held.cold_until_us or not (held.came_us or held.out)
