"""Hand-overs of running tasks on machines that the list does not name yet.

A placer that has just started may be handed tasks over before its first answer of the list. Such a hand-over waits for
the machine to be listed, and is answered as nowhere after MAX_WAIT_US.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

# A release is due within 1 s; the rest is for the timer and the way.
MAX_WAIT_US = 800_000
MAX_HAND_OVERS = 256

ContentT = TypeVar("ContentT")


@dataclass(frozen=True, slots=True)
class HandOver(Generic[ContentT]):
    """One hand-over that waits for its machine."""

    ident: int
    machine: str
    until_us: int
    content: ContentT


class HandOvers(Generic[ContentT]):
    """All hand-overs that wait, by task id, the oldest first."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, HandOver[ContentT]] = OrderedDict()

    def __contains__(self, ident: int) -> bool:
        """Whether the hand-over of this task waits."""
        return ident in self._waiting

    def add(self, now_us: int, ident: int, machine: str, content: ContentT) -> bool:
        """Have a hand-over wait that does not yet; False if too many do."""
        if len(self._waiting) >= MAX_HAND_OVERS:
            return False
        self._waiting[ident] = HandOver(ident, machine, now_us + MAX_WAIT_US, content)
        return True

    def take_listed(self, machines: set[str]) -> list[HandOver[ContentT]]:
        """Remove and return those whose machine is among `machines`."""
        return self._take([each for each in self._waiting.values() if each.machine in machines])

    def take_expired(self, now_us: int) -> list[HandOver[ContentT]]:
        """Remove and return those that have waited for too long."""
        return self._take([each for each in self._waiting.values() if each.until_us <= now_us])

    def take(self, ident: int) -> HandOver[ContentT] | None:
        """Remove and return the hand-over of one task; None if it does not wait."""
        return self._waiting.pop(ident, None)

    def _take(self, taken: list[HandOver[ContentT]]) -> list[HandOver[ContentT]]:
        for each in taken:
            del self._waiting[each.ident]
        return taken


__all__ = ["MAX_HAND_OVERS", "MAX_WAIT_US", "HandOver", "HandOvers"]
