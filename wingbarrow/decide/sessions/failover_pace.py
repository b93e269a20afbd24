"""How fast the Jobs of a lost region reach a successor, and the bound on when the last safe one is started again."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.failover import MAX_CLAIM_WAIT_US
from wingbarrow.decide.sessions.lease_times import voter_lease_us


@dataclass(frozen=True, slots=True)
class FailoverPace:
    """Bounds on how many Jobs are claimed by a successor, and started by its core, in one interval each."""

    max_starts: int = 32
    start_interval_us: int = 100_000
    max_claims: int = 64
    claim_interval_us: int = 5_000

    def duration_us(self, jobs: int) -> int:
        """Return how long so many Jobs take where there is capacity for them."""
        start_intervals = 1 + -(-jobs // self.max_starts)
        claim_intervals = 1 + jobs // self.max_claims
        return self.start_interval_us * start_intervals + self.claim_interval_us * claim_intervals


@dataclass(frozen=True, slots=True, kw_only=True)
class FailoverTimes:
    """What the bound rests on, in microseconds.

    after_us: of the spec.
    request_interval_us: between a placer's requests for a lease.
    election_us: of a new leader, where the present one is lost with the region.
    one_way_us: latency between regions.
    """

    lease_us: int
    max_turn_us: int
    after_us: int
    request_interval_us: int
    election_us: int
    one_way_us: int


def reissue_within_us(times: FailoverTimes, jobs: int, pace: FailoverPace) -> int:
    """Return the bound from a region's loss until the last of its safe Jobs is started elsewhere, given capacity.

    The last grant may have been given at the loss: the voters count it (a new leader, once elected, from then on), or
    wait for `after`. The end is decided with a round. Each successor reports, and learns of the end, with a request,
    one of which may be lost: three. A safe Job waits for its other replica holders for at most `MAX_CLAIM_WAIT_US`.
    Then comes the pace at the successor with the most Jobs, `jobs`, and one message with its answer.
    """
    lease_us = voter_lease_us(times.lease_us, times.max_turn_us)
    round_us = 2 * times.one_way_us + times.max_turn_us
    ended_us = times.election_us + max(lease_us, times.after_us) + round_us
    claimed_us = ended_us + 3 * times.request_interval_us + MAX_CLAIM_WAIT_US
    answer_us = 2 * (times.max_turn_us + times.one_way_us)
    return claimed_us + pace.duration_us(jobs) + answer_us
