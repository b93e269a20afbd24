"""Overload control: whether a Job is admitted, by how long its request waited unread and by the patience left.

An owner's patience starts when it sends its request, not when the placer reads it. A request that waited in a socket,
in the listen backlog or behind other work has used up part of it; `docs/promptness.md` describes how that is measured
and what is guaranteed. An admitted Job is never dropped; a rejected one leaves no state and may be retried.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TARGET_US = 200_000  # CoDel's target: waits up to this do not indicate overload
# With more lag than this, no Job is admitted while more than MIN_UNANSWERED tasks are unanswered.
MAX_LAG_US = 150_000
# No Job is rejected for the number of unanswered tasks while there are at most so many.
MIN_UNANSWERED = 64
# With less lag than this, no Job is rejected for the rate of answers.
NOTICEABLE_LAG_US = 40_000
RATE_INTERVAL_US = 250_000  # between updates of the rate of answers
# CoDel's interval: waits above the target for this long indicate overload rather than a stall.
INTERVAL_US = 500_000
MAX_RESERVE_DIVISOR = 8  # at most patience / 8 is reserved for lag


class RejectReason(Enum):
    """Why a Job is rejected; clients see the value."""

    OVERLOADED = "the placer is behind with what it was asked before"
    OUT_OF_PATIENCE = "its owner's patience ends before it could be answered"


@dataclass(frozen=True, slots=True)
class Rejected:
    """A rejection: its reason, and after how many seconds to retry."""

    why: RejectReason
    retry_after_s: int = 1


class OverloadControl:
    """Overload control of one placer; all times in microseconds of its clock."""

    def __init__(self, tick_us: int) -> None:
        self._tick_us = tick_us
        # Since when every wait has been above the target.
        self._above_target_since_us: int | None = None
        self._last_check_us = 0
        self._rate = 0.0  # final answers a second, smoothed
        self._rate_updated_us = 0
        self._answered_before = 0

    def check_wait(
        self, now_us: int, arrived_us: int, lag_us: int, unanswered: int
    ) -> Rejected | None:
        """Why to reject a Job before its body is read; None to go on.

        `arrived_us`: a time before the request arrived; `lag_us`: the process's recent scheduling lag; `unanswered`:
        tasks without a final answer.

        As CoDel for packets (RFC 8289): a queue left by a stall is worked off, a standing queue is cut.
        """
        # Danger (rule 1): an admitted task waits behind all unanswered ones. While deciding on those makes the process
        # lag, further ones would make every answer late.
        if lag_us > MAX_LAG_US and unanswered > MIN_UNANSWERED:
            return Rejected(RejectReason.OVERLOADED)
        # No request for an interval: there was no standing queue.
        quiet = now_us - self._last_check_us > INTERVAL_US
        self._last_check_us = now_us
        if now_us - arrived_us <= TARGET_US:
            self._above_target_since_us = None
            return None
        if quiet:
            self._above_target_since_us = None
        if self._above_target_since_us is None:
            self._above_target_since_us = now_us
            return None
        # Danger (rule 1): admitting more than can be decided makes every answer late, not only the latest one.
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
        """The time at which the final answer is due, or why the Job is rejected.

        `unanswered`: tasks without a final answer; `answered`: final answers given so far. The recent lag `lag_us` is
        reserved before the deadline, up to an eighth of the patience.
        """
        due = arrived_us + patience_us - min(lag_us, patience_us // MAX_RESERVE_DIVISOR)
        # Danger (rule 1): a request whose patience is used up by the time it is read cannot be answered in time.
        if now_us >= due - 2 * self._tick_us:
            return Rejected(RejectReason.OUT_OF_PATIENCE)
        self._update_rate(now_us, answered)
        # Danger (rule 1): the process lags, and at the present rate of answers the unanswered tasks take more than half
        # of the time left to this one: its answer would be late. Tasks that wait for capacity do not indicate that.
        slow = lag_us > NOTICEABLE_LAG_US and unanswered > MIN_UNANSWERED and self._rate > 0
        if slow and unanswered / self._rate * 1e6 > (due - now_us) / 2:
            return Rejected(RejectReason.OVERLOADED)
        return due

    def _update_rate(self, now_us: int, answered: int) -> None:
        passed_us = now_us - self._rate_updated_us
        if passed_us < RATE_INTERVAL_US:
            return
        rate = (answered - self._answered_before) * 1e6 / passed_us
        if passed_us > 8 * RATE_INTERVAL_US:
            # After an idle time the rate is unknown, and no Job is rejected for it.
            self._rate = 0.0
        elif self._rate:
            self._rate = (self._rate + rate) / 2
        else:
            self._rate = rate
        self._rate_updated_us = now_us
        self._answered_before = answered
