"""Canary analysis of a change of rules: the share of answers that place nothing, after it and before; no I/O.

It takes cumulative counts of answers, of any number of placers together, and advises whether to keep the change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import sqrt

MIN_ANSWERS = 30  # after the change, before it is judged
# Standard errors by which a rise must exceed the bound: high, as the same change is judged again and again.
MIN_STANDARD_ERRORS = 2.5
MAX_SHARE_IN_ERROR = 0.999  # so that a share of 1 has a standard error too


class CanaryAdvice(Enum):
    """What to do with the change."""

    WAIT = "too little is known yet"
    KEEP = "the time is over, and service is as it was"
    ROLLBACK = "service is worse by more than the bound"


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Cumulative counts of answers: all, and those that did not place."""

    answers: int
    unplaced: int

    def since(self, other: AnswerCounts) -> AnswerCounts:
        """What came after another count; a placer that restarted in between counts from nothing."""
        if self.answers < other.answers or self.unplaced < other.unplaced:
            return self
        return AnswerCounts(self.answers - other.answers, self.unplaced - other.unplaced)

    @property
    def share(self) -> float:
        """The share of bad answers."""
        return self.unplaced / self.answers if self.answers else 0.0


class CanaryAnalysis:
    """One change. `before`: counts over some time before it; `at`: cumulative counts when it was accepted.

    `bound`: by how much the share of bad answers may rise. `end_us`: when the change is kept.
    """

    def __init__(self, before: AnswerCounts, at: AnswerCounts, bound: float, end_us: int) -> None:
        self._before = before
        self._at = at
        self._bound = bound
        self._end_us = end_us
        self.after = AnswerCounts(0, 0)

    @property
    def rise(self) -> float:
        """By how much the share of bad answers has risen."""
        return self.after.share - self._before.share

    def judge(self, now_us: int, count: AnswerCounts) -> CanaryAdvice:
        """Advice by the cumulative counts of now; `now_us` on the clock of `end_us`."""
        self.after = count.since(self._at)
        if self.after.answers >= MIN_ANSWERS and self.rise > self._bound:
            # Danger: with few answers a share moves by chance alone, and a good change would be rolled back.
            share = max(self.after.share, 1 / self.after.answers)
            error = sqrt(share * (1 - min(share, MAX_SHARE_IN_ERROR)) / self.after.answers)
            if self.rise - self._bound > MIN_STANDARD_ERRORS * error:
                return CanaryAdvice.ROLLBACK
        return CanaryAdvice.KEEP if now_us >= self._end_us else CanaryAdvice.WAIT
