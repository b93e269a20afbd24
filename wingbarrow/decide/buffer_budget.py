"""Two budgets for the bytes that a server holds for all clients: of unfinished requests, and of answers not yet taken.

A limit on each message alone does not bound their sum, as it is multiplied by the connections. Where a sum exceeds its
budget, the worst client makes room and no other is refused anything: of unfinished requests the largest one is refused,
and of answers the one that has waited longest for its client is broken off.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

HolderT = TypeVar("HolderT", bound=Hashable)


class _Held(Generic[HolderT]):
    """Bytes by holder, the holder that came first first."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._by_holder: dict[HolderT, int] = {}
        self.total_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        return self.total_bytes > self._max_bytes

    def set(self, holder: HolderT, held_bytes: int) -> None:
        self.total_bytes += held_bytes - self._by_holder.get(holder, 0)
        if held_bytes:
            self._by_holder[holder] = held_bytes
        else:
            self._by_holder.pop(holder, None)

    def largest(self) -> HolderT:
        return max(self._by_holder, key=self._by_holder.__getitem__)

    def __iter__(self) -> Iterator[HolderT]:
        return iter(self._by_holder)


class BufferBudget(Generic[HolderT]):
    """The bytes held for each connection; each of the two sums is at most `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._unfinished: _Held[HolderT] = _Held(max_bytes)
        self._answers: _Held[HolderT] = _Held(max_bytes)

    @property
    def held_bytes(self) -> int:
        """The bytes held for all connections."""
        return self._unfinished.total_bytes + self._answers.total_bytes

    def on_read(self, holder: HolderT, held_bytes: int) -> list[HolderT]:
        """A connection's unfinished request holds `held_bytes`, 0 once it is whole; returns those to refuse."""
        self._unfinished.set(holder, held_bytes)
        to_refuse = []
        while self._unfinished.is_exceeded:
            largest = self._unfinished.largest()
            self._unfinished.set(largest, 0)
            to_refuse.append(largest)
        return to_refuse

    def on_answer(self, holder: HolderT, held_bytes: int) -> list[HolderT]:
        """A connection's answer waits for its client; returns those whose answers to break off.

        The newest answer is never among them, and may exceed the budget alone.
        """
        self._answers.set(holder, held_bytes)
        to_break_off = []
        for waiting in list(self._answers):
            if not self._answers.is_exceeded:
                break
            if waiting != holder:
                self._answers.set(waiting, 0)
                to_break_off.append(waiting)
        return to_break_off

    def on_answer_ended(self, holder: HolderT) -> None:
        """A connection's answer was taken, or given up."""
        self._answers.set(holder, 0)

    def on_closed(self, holder: HolderT) -> None:
        """A connection has ended."""
        self._unfinished.set(holder, 0)
        self._answers.set(holder, 0)


__all__ = ["BufferBudget"]
