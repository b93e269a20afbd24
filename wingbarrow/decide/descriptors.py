"""One budget for the whole descriptor table: what is kept free, what owners may hold, who goes for a new connection.

The platform counts every descriptor, and a placer that goes over the limit has failed. So the table is never filled:
`KEPT` stay free for what nobody asks leave for (log, listener, signals, the journal's connection and its successor, a
burst of connections that are accepted and not yet counted). The rest is shared: owners up to a half, machines all that
owners do not hold. Where it is used up, connections to machines go by what their end costs, cheapest first.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

KEPT = 32
OWNERS_LEAST = 16
MACHINES_LEAST = 16
LEAST = KEPT + OWNERS_LEAST + MACHINES_LEAST  # below it the budget would be over the limit
EXTRAS_PART = 7 / 8  # of the budget; beyond it no machine gets a second connection for an offer
LOOKS_PART = 1 / 4  # of the budget that may be under way to machines that do not answer


class Rank(IntEnum):
    """What the end of a connection to a machine costs, cheapest first."""

    RETIRING = 0  # closed here already, read to its end: what the machine was saying is said again on the next one
    SPARE = 1  # a handshake at the next crowd of offers
    IDLE = 2  # the last one, and nothing stands: a handshake before the next offer
    NEWS = 3  # the last one, and tasks stand: their news waits until the machine is visited
    BUSY = 4  # a set-up is open on it: the set-up would be lost. It never goes


class Connection(Protocol):
    """A connection to a machine, as it is ranked."""

    used_us: int

    @property
    def rank(self) -> Rank:
        """What its end costs now."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class Table:
    """The budget of one process that may hold `limit` descriptors; it counts nothing itself."""

    def __init__(self, limit: int) -> None:
        self.most = max(limit - KEPT, OWNERS_LEAST + MACHINES_LEAST)
        self.owners_most = max(OWNERS_LEAST, self.most // 2)
        self.extras_most = int(self.most * EXTRAS_PART)
        self.looks_most = max(MACHINES_LEAST // 2, int(self.most * LOOKS_PART))

    def over(self, owners: int, machines: int) -> int:
        """How many connections to machines have to go; `owners`, `machines`: held by each, with those wanted."""
        return max(0, owners + machines - self.most)

    def may_add_extra(self, owners: int, machines: int) -> bool:
        """Whether one more connection to a machine that has one already fits beside what is held."""
        return owners + machines < self.extras_most

    def whom_to_close(self, held: Iterable[ConnectionT], worst: Rank) -> ConnectionT | None:
        """The cheapest, of alike ones the least lately used; None where each costs more than `worst`."""
        best = min(held, key=lambda each: (each.rank, each.used_us), default=None)
        return None if best is None or best.rank > worst else best
