"""Dissemination of member updates, piggybacked on other messages (SWIM, section 4.1).

Each update is transmitted about `RETRANSMIT_MULTIPLIER * log2(n + 1)` times among `n` members. The least transmitted
updates go first, so that a burst of updates does not starve the others.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log2
from typing import Generic, Protocol, TypeVar

RETRANSMIT_MULTIPLIER = 3
MAX_BUFFERED_UPDATES = 512


class MemberKeyed(Protocol):
    """An update about one member; it replaces earlier updates about the same member."""

    @property
    def ident(self) -> str:
        """The name of the member that the update describes."""


UpdateT = TypeVar("UpdateT", bound=MemberKeyed)


@dataclass(slots=True)
class _Buffered(Generic[UpdateT]):
    update: UpdateT
    transmissions: int = 0


class GossipBuffer(Generic[UpdateT]):
    """Updates that are still to be disseminated, one for each member.

    `peer_count` returns the number of other members, which determines how often an update is transmitted.
    """

    def __init__(self, peer_count: Callable[[], int]) -> None:
        self._peer_count = peer_count
        self._buffered: dict[str, _Buffered[UpdateT]] = {}

    def __len__(self) -> int:
        return len(self._buffered)

    def add(self, update: UpdateT) -> None:
        """Disseminate `update`; it replaces an earlier update about the same member.

        A full buffer drops the update that was transmitted most often.
        """
        self._buffered.pop(update.ident, None)
        self._buffered[update.ident] = _Buffered(update)
        if len(self._buffered) > MAX_BUFFERED_UPDATES:
            most_transmitted = max(
                self._buffered, key=lambda ident: self._buffered[ident].transmissions
            )
            del self._buffered[most_transmitted]

    def next_updates(self, limit: int, priority_ident: str = "") -> tuple[UpdateT, ...]:
        """Return at most `limit` updates for one message and count each as transmitted.

        The update about the member `priority_ident` is returned first.
        """
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log2(self._peer_count() + 2))
        order = sorted(
            self._buffered,
            key=lambda ident: (ident != priority_ident, self._buffered[ident].transmissions),
        )[:limit]
        updates: list[UpdateT] = []
        for ident in order:
            buffered = self._buffered[ident]
            updates.append(buffered.update)
            buffered.transmissions += 1
            if buffered.transmissions >= max_transmissions:
                del self._buffered[ident]
        return tuple(updates)
