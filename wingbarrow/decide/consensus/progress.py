"""A leader's volatile state (Ongaro 2014, figure 3.1): its followers' progress, and reads that wait for a majority."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0  # the latest broadcast that it has answered
    last_response_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A ReadIndex request (6.4) that is confirmed once a majority has answered broadcast `round` or a later one."""

    read_id: int
    round: int


@dataclass(slots=True)
class LeaderState:
    """Made anew at each election."""

    progress: dict[str, Progress] = field(default_factory=dict)
    pending_reads: deque[PendingRead] = field(default_factory=deque)

    def track(self, followers: Iterable[str], next_index: int, now_us: int) -> None:
        """Keep the progress of these followers alone; new ones begin at `next_index`, as if heard from right now."""
        followers = tuple(followers)
        for name in followers:
            if name not in self.progress:
                self.progress[name] = Progress(next_index, last_response_us=now_us)
        for name in [name for name in self.progress if name not in followers]:
            del self.progress[name]

    def count_responded_since(self, since_us: int) -> int:
        """How many followers have answered after a time."""
        return sum(each.last_response_us > since_us for each in self.progress.values())

    def count_acked(self, broadcast: int) -> int:
        """How many followers have answered a broadcast or a later one."""
        return sum(each.acked_round >= broadcast for each in self.progress.values())
