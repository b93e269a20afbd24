"""How long a member is suspected before it counts as dead, and how much a placer trusts itself to judge.

After Lifeguard (Dadgar, Phillips, Currey 2018): a suspicion starts long and gets shorter with each independent
confirmation (LHA-Suspicion); who fails to do its own part in time probes slower and waits longer (LHA-Probe).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

HEALTH_WORST = 8  # the highest count against oneself


@dataclass(slots=True)
class Health:
    """A count of what speaks against this placer itself; 0 is well."""

    score: int = 0

    def blame(self, much: int = 1) -> None:
        """Something of its own was late or failed."""
        self.score = min(HEALTH_WORST, self.score + much)

    def praise(self) -> None:
        """A probe went well."""
        self.score = max(0, self.score - 1)

    @property
    def factor(self) -> int:
        """By how much its periods and time-outs stretch."""
        return self.score + 1


def shortest_us(alpha: float, members: int, period_us: int) -> int:
    """A suspicion that enough others share."""
    return int(alpha * max(1.0, log10(max(1, members))) * period_us)


@dataclass(slots=True)
class Suspicion:
    """One member's: `least_us` with all confirmations, `most_us` alone; times in microseconds."""

    since_us: int
    least_us: int
    most_us: int
    wanted: int  # confirmations that make it shortest
    by: set[str] = field(default_factory=set)
    asked: int = 0  # how often the member itself was asked, since it was due
    again_us: int = 0  # when to ask once more, or to give up

    def confirm(self, who: str) -> bool:
        """Another placer suspects it too; whether that is news."""
        if who in self.by or len(self.by) > self.wanted:
            return False
        self.by.add(who)
        return True

    @property
    def due_us(self) -> int:
        """When it counts as dead unless it speaks up."""
        confirmations = max(0, len(self.by) - 1)
        if self.wanted <= 0:
            return self.since_us + self.least_us
        share = min(1.0, log(confirmations + 1) / log(self.wanted + 1))
        return self.since_us + max(
            self.least_us, int(self.most_us - (self.most_us - self.least_us) * share)
        )
