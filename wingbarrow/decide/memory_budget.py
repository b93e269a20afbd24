"""Shares of a process's memory limit for what clients make it hold: open set-ups, unsent answers, and unread input.

Each share is an eighth of the limit. A limit on each connection alone does not bound their sum. Owners' set-ups are
small, so that a client which has not shown to be an owner's may fill half of the share of set-ups only.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

SHARES = 8  # of the limit; three are dealt out here, the rest is the program's own
MIN_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 64 * 1024

ConnectionT = TypeVar("ConnectionT")


class MemoryBudget:
    """The budget of a process that may use `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        self._share_bytes = limit_bytes // SHARES

    def may_open(self, open_bytes: int, more_bytes: int, is_proven: bool) -> bool:
        """Whether a set-up of `more_bytes` may be opened beside all that are open, which hold `open_bytes`."""
        share_bytes = self._share_bytes if is_proven else self._share_bytes // 2
        return open_bytes + more_bytes <= share_bytes

    def read_bytes(self, max_connections: int) -> int:
        """How much to read from a connection at once, as that may wait here for the others' turns."""
        return max(MIN_READ_BYTES, min(MAX_READ_BYTES, self._share_bytes // max_connections))

    def connections_to_close(self, unsent: Iterable[tuple[ConnectionT, int]]) -> list[ConnectionT]:
        """The connections to close for their unsent bytes, from pairs of both: the largest, until the rest fits."""
        waiting = sorted(unsent, key=lambda each: each[1])
        total_bytes = sum(unsent_bytes for _, unsent_bytes in waiting)
        to_close = []
        while total_bytes > self._share_bytes:
            connection, unsent_bytes = waiting.pop()
            to_close.append(connection)
            total_bytes -= unsent_bytes
        return to_close


__all__ = ["MemoryBudget"]
