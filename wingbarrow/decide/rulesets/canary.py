"""Canary analysis of a rule set change: compares the share of answers that place nothing after and before it; no I/O.

The input is cumulative counts of answers, summed over any number of placers; the result is advice to keep the change,
to roll it back or to wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import sqrt

MIN_ANSWERS = 30  # after the change; with fewer it is not judged
# A rise must exceed the bound by this many standard errors: many, as the same change is judged repeatedly.
MIN_STANDARD_ERRORS = 2.5
MAX_SHARE_IN_ERROR = 0.999  # a ratio; gives a share of 1 a standard error above 0


class CanaryAdvice(Enum):
    """What to do with the change."""

    WAIT = "too little is known yet"
    KEEP = "the time is over, and service is as it was"
    ROLLBACK = "service is worse by more than the bound"


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Cumulative counts of answers: all, and those that placed nothing."""

    answers: int
    unplaced: int

    def since(self, other: AnswerCounts) -> AnswerCounts:
        """The counts after those of `other`; if a placer restarted in between, these counts, which began at 0."""
        if self.answers < other.answers or self.unplaced < other.unplaced:
            return self
        return AnswerCounts(self.answers - other.answers, self.unplaced - other.unplaced)

    @property
    def share(self) -> float:
        """The share of unplaced answers, 0 to 1; 0 if there are no answers."""
        return self.unplaced / self.answers if self.answers else 0.0


class CanaryAnalysis:
    """The analysis of one change.

    before: counts over some time before the change.
    at_acceptance: cumulative counts when it was accepted.
    bound: by how much the share of unplaced answers may rise, 0 to 1.
    end_us: when the analysis ends and the change is kept.
    """

    def __init__(
        self, before: AnswerCounts, at_acceptance: AnswerCounts, bound: float, end_us: int
    ) -> None:
        self._before = before
        self._at_acceptance = at_acceptance
        self._bound = bound
        self._end_us = end_us
        self.after = AnswerCounts(0, 0)

    @property
    def rise(self) -> float:
        """By how much the share of unplaced answers has risen."""
        return self.after.share - self._before.share

    def judge(self, now_us: int, count: AnswerCounts) -> CanaryAdvice:
        """Advice from the cumulative counts as of `now_us`, which is on the clock of `end_us`."""
        self.after = count.since(self._at_acceptance)
        if self.after.answers >= MIN_ANSWERS and self.rise > self._bound:
            # Danger: with few answers the share varies by chance, which would roll a good change back.
            share = max(self.after.share, 1 / self.after.answers)
            error = sqrt(share * (1 - min(share, MAX_SHARE_IN_ERROR)) / self.after.answers)
            if self.rise - self._bound > MIN_STANDARD_ERRORS * error:
                return CanaryAdvice.ROLLBACK
        return CanaryAdvice.KEEP if now_us >= self._end_us else CanaryAdvice.WAIT
