"""Suspicion time-outs and local health, after Lifeguard (Dadgar, Phillips, Currey 2018).

A suspicion starts long and gets shorter with each independent confirmation (LHA-Suspicion). A placer that fails to do
its own part in time pings less often and waits longer for answers (LHA-Probe).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MAX_HEALTH_SCORE = 8


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health score: 0 is healthy, `MAX_HEALTH_SCORE` the worst."""

    score: int = 0

    def record_failure(self, points: int = 1) -> None:
        """Raise the score: something that this placer had to do was late or failed."""
        self.score = min(MAX_HEALTH_SCORE, self.score + points)

    def record_success(self) -> None:
        """Lower the score: a ping was acknowledged."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """The local health multiplier, by which protocol periods and time-outs stretch."""
        return self.score + 1


def min_suspicion_us(alpha: float, members: int, period_us: int) -> int:
    """The shortest suspicion time-out: `alpha` protocol periods times the logarithm of the number of members."""
    return int(alpha * max(1.0, log10(max(1, members))) * period_us)


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member; it lasts `max_us` without confirmations, `min_us` with all expected ones."""

    start_us: int
    min_us: int
    max_us: int
    expected_confirmations: int
    confirmed_by: set[str] = field(default_factory=set)  # the first suspecting placer among them
    direct_checks: int = 0  # sent to the member itself since the deadline
    next_check_us: int = 0

    def confirm(self, placer: str) -> bool:
        """Count `placer` as suspecting the member too; False where it was counted before or none is needed."""
        if placer in self.confirmed_by or len(self.confirmed_by) > self.expected_confirmations:
            return False
        self.confirmed_by.add(placer)
        return True

    @property
    def deadline_us(self) -> int:
        """When the member is declared dead, after the last direct checks, unless it refutes."""
        confirmations = max(0, len(self.confirmed_by) - 1)
        if self.expected_confirmations <= 0:
            return self.start_us + self.min_us
        share = min(1.0, log(confirmations + 1) / log(self.expected_confirmations + 1))
        return self.start_us + max(
            self.min_us, int(self.max_us - (self.max_us - self.min_us) * share)
        )
