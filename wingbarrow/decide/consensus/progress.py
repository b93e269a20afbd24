"""A leader's volatile state (Ongaro 2014, figure 3.1): progress of its followers, and pending ReadIndex requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Progress:
    """The replication state of one follower; times are in microseconds of the leader's clock."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0  # number of the latest broadcast that the follower has responded to
    last_response_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A ReadIndex request (6.4), confirmed once a majority has responded to broadcast `round` or a later one."""

    read_id: int
    round: int


@dataclass(slots=True)
class LeaderState:
    """Volatile state of a leader, reinitialized after each election."""

    progress: dict[str, Progress] = field(default_factory=dict)
    pending_reads: deque[PendingRead] = field(default_factory=deque)

    def track(self, followers: Iterable[str], next_index: int, now_us: int) -> None:
        """Track exactly these followers; new ones start at `next_index`, as if they had responded at `now_us`."""
        followers = tuple(followers)
        for name in followers:
            if name not in self.progress:
                self.progress[name] = Progress(next_index, last_response_us=now_us)
        for name in [name for name in self.progress if name not in followers]:
            del self.progress[name]

    def count_responded_since(self, since_us: int) -> int:
        """The number of followers that have responded after `since_us`."""
        return sum(each.last_response_us > since_us for each in self.progress.values())

    def count_acked(self, broadcast: int) -> int:
        """The number of followers that have responded to this broadcast or a later one."""
        return sum(each.acked_round >= broadcast for each in self.progress.values())
