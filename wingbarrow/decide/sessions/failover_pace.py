"""How fast a lost region's Jobs come to a successor, and within what time the last safe one is started again."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.failover import CLAIM_US
from wingbarrow.decide.sessions.messages import reckoned_us


@dataclass(frozen=True, slots=True)
class Pace:
    """At most so many Jobs are taken over in one turn, and given to the core in one go, every so often."""

    starts: int = 32
    every_us: int = 100_000
    takes: int = 64
    take_us: int = 5_000

    def within_us(self, jobs: int) -> int:
        """How long so many take where there is room."""
        return self.every_us * (1 + -(-jobs // self.starts)) + self.take_us * (
            1 + jobs // self.takes
        )


def reissue_within_us(
    lease_us: int,
    turn_us: int,
    after_us: int,
    ask_us: int,
    elect_us: int,
    jobs: int,
    pace: Pace,
    far_us: int,
) -> int:
    """From a region's loss until the last of its safe Jobs is started elsewhere, where there is room for all.

    The last grant may have been given at the loss: the voters reckon with it (a new leader, once it is elected, from
    then on), or wait for `after`. Their end is decided with a round; each successor was heard, and hears, with a grant
    of its own, one of which may be lost: three. A safe Job waits for its keepers' word for `CLAIM_US` at most. Then the
    pace, at the successor that has the most, `jobs`; and a send with its answer. `far_us`: one way between regions.
    """
    ended = elect_us + max(reckoned_us(lease_us, turn_us), after_us) + 2 * far_us + turn_us
    return ended + 3 * ask_us + CLAIM_US + pace.within_us(jobs) + 2 * (turn_us + far_us)
