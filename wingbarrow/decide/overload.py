"""The door: whether a Job is taken in, by how long it waited unread and by what is left of its owner's patience.

An owner's patience runs from when it asked, not from when the placer came to read it. What waited in a socket, in
the listen backlog or behind other work has used up part of it; `docs/promptness.md` says how that is known and
what is promised. Nothing taken in is dropped; what is turned away has left no trace and may come again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TARGET_US = 200_000  # waits up to this are no sign of anything
MAX_LAG_US, MIN_UNANSWERED = (
    150_000,
    64,
)  # later than this, with more answers owed than these: it takes in no more
NOTICEABLE_LAG_US, RATE_INTERVAL_US = (
    40_000,
    250_000,
)  # a lag that shows; the pace of answers is counted so often
INTERVAL_US = (
    500_000  # waits that were all longer for this time show a load that is too much, not a stall
)
MAX_RESERVE_DIVISOR = 8  # of the patience, at most, is kept back for a placer that runs late


class RejectReason(Enum):
    """Why a Job is turned away at the door."""

    OVERLOADED = "the placer is behind with what it was asked before"
    OUT_OF_PATIENCE = "its owner's patience ends before it could be answered"


@dataclass(frozen=True, slots=True)
class Rejected:
    """Why, and after how many seconds to try again."""

    why: RejectReason
    retry_after_s: int = 1


class OverloadControl:
    """One placer's door; all times in microseconds of its clock."""

    def __init__(self, tick_us: int) -> None:
        self._tick_us = tick_us
        self._above_target_since_us: int | None = (
            None  # since when every wait was longer than the target
        )
        self._last_check_us = 0
        self._rate = 0.0  # final answers a second, lately
        self._rate_updated_us = self._answered_then = 0

    def check_wait(
        self, now_us: int, arrived_us: int, lag_us: int, unanswered: int
    ) -> Rejected | None:
        """Asked of each Job before its body is read; `came_us`: it had not come at that time.

        `lag_us`: how late the process has lately run; `owed`: tasks that have no final answer yet.

        As CoDel does for packets (RFC 8289): a queue that a stall left is worked off, one that stands is cut.
        """
        # Danger (rule 1): what is taken in waits behind what is owed; where deciding on that makes the process late,
        # more of it would make every answer late.
        if lag_us > MAX_LAG_US and unanswered > MIN_UNANSWERED:
            return Rejected(RejectReason.OVERLOADED)
        quiet = (
            now_us - self._last_check_us > INTERVAL_US
        )  # nothing came for a while: no queue can have stood
        self._last_check_us = now_us
        if now_us - arrived_us <= TARGET_US:
            self._above_target_since_us = None
            return None
        if quiet:
            self._above_target_since_us = None
        if self._above_target_since_us is None:
            self._above_target_since_us = now_us
            return None
        # Danger (rule 1): taking in more than can be decided makes every answer late, not only the newest.
        return (
            Rejected(RejectReason.OVERLOADED)
            if now_us - self._above_target_since_us >= INTERVAL_US
            else None
        )

    def due_us(
        self,
        now_us: int,
        arrived_us: int,
        patience_us: int,
        lag_us: int,
        unanswered: int = 0,
        answered: int = 0,
    ) -> int | Rejected:
        """When the final answer is due, or why the Job is turned away; `answered`: final answers given so far.

        A placer that has lately run `lag_us` late keeps back that much, up to an eighth of the patience.
        """
        due = arrived_us + patience_us - min(lag_us, patience_us // MAX_RESERVE_DIVISOR)
        # Danger (rule 1): what is out of patience when it is read cannot be answered in time, whatever is done.
        if now_us >= due - 2 * self._tick_us:
            return Rejected(RejectReason.OUT_OF_PATIENCE)
        self._update_rate(now_us, answered)
        # Danger (rule 1): at the pace of the answers lately given, what is owed already takes half the time that this
        # one has, and the process runs late: its turn would come too late. Waiting for room alone is no such sign.
        slow = lag_us > NOTICEABLE_LAG_US and unanswered > MIN_UNANSWERED and self._rate > 0
        if slow and unanswered / self._rate * 1e6 > (due - now_us) / 2:
            return Rejected(RejectReason.OVERLOADED)
        return due

    def _update_rate(self, now_us: int, answered: int) -> None:
        passed = now_us - self._rate_updated_us
        if passed >= RATE_INTERVAL_US:
            fresh = (answered - self._answered_then) * 1e6 / passed
            # After a quiet while the pace is not known, and nothing is judged by it.
            self._rate = (
                0.0
                if passed > 8 * RATE_INTERVAL_US
                else (self._rate + fresh) / 2
                if self._rate
                else fresh
            )
            self._rate_updated_us, self._answered_then = now_us, answered
