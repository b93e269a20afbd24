"""Dissemination of member updates that ride on other messages (SWIM, section 4.1).

Each update is transmitted about `RETRANSMIT_MULTIPLIER * log2(n + 1)` times, the least transmitted first, so that
updates about few members are not starved by updates about many.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log2
from typing import Generic, Protocol, TypeVar

RETRANSMIT_MULTIPLIER = 3
MAX_BUFFERED_UPDATES = 512


class MemberKeyed(Protocol):
    """An update; it replaces an earlier one about the same member."""

    @property
    def ident(self) -> str:
        """The name of the member that it is about."""


UpdateT = TypeVar("UpdateT", bound=MemberKeyed)


@dataclass(slots=True)
class _Buffered(Generic[UpdateT]):
    update: UpdateT
    transmissions: int = 0


class GossipBuffer(Generic[UpdateT]):
    """Updates that are still to be disseminated, one for each member.

    `peer_count` returns the number of other members, from which the number of transmissions follows.
    """

    def __init__(self, peer_count: Callable[[], int]) -> None:
        self._peer_count = peer_count
        self._buffered: dict[str, _Buffered[UpdateT]] = {}

    def __len__(self) -> int:
        return len(self._buffered)

    def add(self, update: UpdateT) -> None:
        """Disseminate `update` in place of an earlier one about its member.

        A full buffer drops the update that was transmitted most often.
        """
        self._buffered.pop(update.ident, None)
        self._buffered[update.ident] = _Buffered(update)
        if len(self._buffered) > MAX_BUFFERED_UPDATES:
            most_transmitted = max(
                self._buffered, key=lambda ident: self._buffered[ident].transmissions
            )
            del self._buffered[most_transmitted]

    def next_updates(self, limit: int, first: str = "") -> tuple[UpdateT, ...]:
        """At most `limit` updates for one message; each counts as transmitted.

        The update about the member `first` goes before all others.
        """
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log2(self._peer_count() + 2))
        order = sorted(
            self._buffered, key=lambda ident: (ident != first, self._buffered[ident].transmissions)
        )[:limit]
        updates: list[UpdateT] = []
        for ident in order:
            buffered = self._buffered[ident]
            updates.append(buffered.update)
            buffered.transmissions += 1
            if buffered.transmissions >= max_transmissions:
                del self._buffered[ident]
        return tuple(updates)
