"""How fast a lost region's Jobs come to a successor, and within what time the last safe one is started again."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.failover import MAX_CLAIM_WAIT_US
from wingbarrow.decide.sessions.lease_times import voter_lease_us


@dataclass(frozen=True, slots=True)
class FailoverPace:
    """At most so many Jobs are taken over in one turn, and given to the core in one go, every so often."""

    max_starts: int = 32
    start_interval_us: int = 100_000
    max_claims: int = 64
    claim_interval_us: int = 5_000

    def within_us(self, jobs: int) -> int:
        """How long so many take where there is room."""
        return self.start_interval_us * (
            1 + -(-jobs // self.max_starts)
        ) + self.claim_interval_us * (1 + jobs // self.max_claims)


def reissue_within_us(
    lease_us: int,
    max_turn_us: int,
    after_us: int,
    request_interval_us: int,
    election_us: int,
    jobs: int,
    pace: FailoverPace,
    one_way_us: int,
) -> int:
    """From a region's loss until the last of its safe Jobs is started elsewhere, where there is room for all.

    The last grant may have been given at the loss: the voters reckon with it (a new leader, once it is elected, from
    then on), or wait for `after`. Their end is decided with a round; each successor was heard, and hears, with a grant
    of its own, one of which may be lost: three. A safe Job waits for its keepers' word for `CLAIM_US` at most. Then the
    pace, at the successor that has the most, `jobs`; and a send with its answer. `far_us`: one way between regions.
    """
    ended = (
        election_us
        + max(voter_lease_us(lease_us, max_turn_us), after_us)
        + 2 * one_way_us
        + max_turn_us
    )
    return (
        ended
        + 3 * request_interval_us
        + MAX_CLAIM_WAIT_US
        + pace.within_us(jobs)
        + 2 * (max_turn_us + one_way_us)
    )
