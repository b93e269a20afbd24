"""Whether a change of rules is bad for service: the share of answers that place nothing, after it beside before.

No I/O and no clock: it is told counts of answers so far, of any number of placers together, and says what to do.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import sqrt

ANSWERS_LEAST = 30  # after the change, before it is judged
CERTAIN = (
    2.5  # standard errors by which a rise must be above the bound: it is looked at again and again
)


class CanaryAdvice(Enum):
    """What to do now."""

    WAIT = "too little is known yet"
    KEEP = "the time is over, and service is as it was"
    BACK = "service is worse by more than the bound"


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers so far: all, and those that did not place."""

    answers: int
    bad: int

    def since(self, other: AnswerCounts) -> AnswerCounts:
        """What came after another count; a placer that began anew in between counts from nothing."""
        if self.answers < other.answers or self.bad < other.bad:
            return self
        return AnswerCounts(self.answers - other.answers, self.bad - other.bad)

    @property
    def share(self) -> float:
        """Bad ones of all."""
        return self.bad / self.answers if self.answers else 0.0


class CanaryAnalysis:
    """One change: `before` is what was counted over some time before it, `at` the counts when it was accepted."""

    def __init__(self, before: AnswerCounts, at: AnswerCounts, bound: float, end_us: int) -> None:
        self._before, self._at, self._bound, self._end_us = before, at, bound, end_us
        self.after = AnswerCounts(0, 0)

    @property
    def rise(self) -> float:
        """By how much the share of bad answers has risen."""
        return self.after.share - self._before.share

    def judge(self, now_us: int, count: AnswerCounts) -> CanaryAdvice:
        """Take the counts of now."""
        self.after = count.since(self._at)
        if self.after.answers >= ANSWERS_LEAST and self.rise > self._bound:
            # Danger: with few answers a share moves by chance alone, and a good change would be taken back.
            share = max(self.after.share, 1 / self.after.answers)
            error = sqrt(share * (1 - min(share, 0.999)) / self.after.answers)
            if self.rise - self._bound > CERTAIN * error:
                return CanaryAdvice.BACK
        return CanaryAdvice.KEEP if now_us >= self._end_us else CanaryAdvice.WAIT
