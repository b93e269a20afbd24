"""One budget for all file descriptors of a process: reserved ones, the limits of owners and machines, and evictions.

The platform counts every descriptor, and a placer that exceeds its limit has failed, so the descriptor table is never
filled. `RESERVED_DESCRIPTORS` stay free for those that are not requested from this budget: the log, the listener,
signals, the overlapping calls to the journal, and a burst of accepted connections that are not counted yet. The rest
is shared: owners get up to a half, machines all that owners do not hold. When the budget is exhausted,
connections to machines are closed in ascending order of what closing them costs.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

RESERVED_DESCRIPTORS = 32
MIN_OWNER_DESCRIPTORS = 16
MIN_MACHINE_DESCRIPTORS = 16
# With a smaller process limit the budget would exceed it.
MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + MIN_OWNER_DESCRIPTORS + MIN_MACHINE_DESCRIPTORS
# Above this share of the budget no machine gets a second connection for an offer.
EXTRA_CONNECTIONS_SHARE = 7 / 8
# Share of the budget for connection attempts in progress to machines that do not answer.
PROBES_SHARE = 1 / 4


class CloseCost(IntEnum):
    """What closing a connection to a machine costs, cheapest first; lower-case names are counted as `given_up:NAME`."""

    RETIRING = 0  # half-closed here, and the machine runs no task: nothing is expected on it
    SPARE = 1  # not the only one: costs a handshake when many offers come at once
    IDLE = 2  # the only one, and no task runs: costs a handshake before the next offer
    # The only one, and tasks run: their reports wait until the machine is connected to again.
    NEWS = 3
    # Half-closed here, not by the machine, and tasks run: if its process hangs, what it reports here later is lost.
    UNREAD = 4
    BUSY = 5  # has an open set-up, which would be lost; never closed


class Connection(Protocol):
    """A connection to a machine."""

    used_us: int

    @property
    def close_cost(self) -> CloseCost:
        """What closing it costs now."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class DescriptorBudget:
    """The budget of a process that may hold `limit` descriptors; callers count the descriptors that are held."""

    def __init__(self, limit: int) -> None:
        self.total = max(
            limit - RESERVED_DESCRIPTORS, MIN_OWNER_DESCRIPTORS + MIN_MACHINE_DESCRIPTORS
        )
        self.max_owners = max(MIN_OWNER_DESCRIPTORS, self.total // 2)
        self.max_with_extras = int(self.total * EXTRA_CONNECTIONS_SHARE)
        self.max_probes = max(MIN_MACHINE_DESCRIPTORS // 2, int(self.total * PROBES_SHARE))

    def excess(self, owners: int, machines: int) -> int:
        """How many connections to machines must be closed.

        `owners`, `machines`: connections held for each, including those about to be opened.
        """
        return max(0, owners + machines - self.total)

    def may_add_extra(self, owners: int, machines: int) -> bool:
        """Whether a second connection to a machine fits, given the connections held."""
        return owners + machines < self.max_with_extras

    def connection_to_close(
        self, held: Iterable[ConnectionT], worst: CloseCost
    ) -> ConnectionT | None:
        """The cheapest one to close, the least recently used among equals; None if all cost more than `worst`."""
        best = min(held, key=lambda each: (each.close_cost, each.used_us), default=None)
        return None if best is None or best.close_cost > worst else best
