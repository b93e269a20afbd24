"""Suspicion timeouts and local health, after Lifeguard (Dadgar, Phillips, Currey 2018).

A suspicion timeout starts long and shrinks with each independent confirmation (LHA-Suspicion). A placer whose own
processing is slow probes less often and with longer timeouts (LHA-Probe).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MAX_HEALTH_SCORE = 8


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health score, from 0 (healthy) to `MAX_HEALTH_SCORE`."""

    score: int = 0

    def record_failure(self, points: int = 1) -> None:
        """Raise the score after a missed acknowledgement, a late timer or a refuted suspicion of this placer."""
        self.score = min(MAX_HEALTH_SCORE, self.score + points)

    def record_success(self) -> None:
        """Lower the score after an acknowledged ping."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """The local health multiplier of protocol periods and timeouts."""
        return self.score + 1


def min_suspicion_us(alpha: float, members: int, period_us: int) -> int:
    """The minimum suspicion timeout: `alpha` protocol periods times log10 of the number of members, at least 1."""
    return int(alpha * max(1.0, log10(max(1, members))) * period_us)


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member: it lasts `max_us` without confirmations, `min_us` with all expected ones."""

    start_us: int
    min_us: int
    max_us: int
    expected_confirmations: int
    confirmed_by: set[str] = field(
        default_factory=set
    )  # includes the placer that raised the suspicion
    direct_checks: int = 0  # sent to the suspect since the deadline
    next_check_us: int = 0

    def confirm(self, placer: str) -> bool:
        """Count a confirmation by `placer`; return False if it was counted before or no more are needed."""
        if placer in self.confirmed_by or len(self.confirmed_by) > self.expected_confirmations:
            return False
        self.confirmed_by.add(placer)
        return True

    @property
    def deadline_us(self) -> int:
        """When the timeout ends; unless it is refuted, direct checks follow and then the member is declared dead."""
        confirmations = max(0, len(self.confirmed_by) - 1)
        if self.expected_confirmations <= 0:
            return self.start_us + self.min_us
        share = min(1.0, log(confirmations + 1) / log(self.expected_confirmations + 1))
        return self.start_us + max(
            self.min_us, int(self.max_us - (self.max_us - self.min_us) * share)
        )
