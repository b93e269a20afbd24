"""Rate limits of a failover, and the bound on the time until the last safe Job of a lost region is started again."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.sessions.failover import MAX_CLAIM_WAIT_US
from wingbarrow.decide.sessions.lease_times import voter_lease_us


@dataclass(frozen=True, slots=True)
class FailoverPace:
    """Maximum number of Jobs that a successor claims, and that its core starts, each per interval."""

    max_starts: int = 32
    start_interval_us: int = 100_000
    max_claims: int = 64
    claim_interval_us: int = 5_000

    def duration_us(self, jobs: int) -> int:
        """Return how long claiming and starting this many Jobs takes, given capacity for them."""
        start_intervals = 1 + -(-jobs // self.max_starts)
        claim_intervals = 1 + jobs // self.max_claims
        return self.start_interval_us * start_intervals + self.claim_interval_us * claim_intervals


@dataclass(frozen=True, slots=True, kw_only=True)
class FailoverTimes:
    """Times that the bound depends on, in microseconds.

    max_turn_us: longest turn of the event loop.
    after_us: `after` of the federation spec.
    request_interval_us: interval of a placer's lease requests.
    election_us: time to elect a new leader, if the current one is lost with the region.
    one_way_us: one-way latency between regions.
    """

    lease_us: int
    max_turn_us: int
    after_us: int
    request_interval_us: int
    election_us: int
    one_way_us: int


def reissue_within_us(times: FailoverTimes, jobs: int, pace: FailoverPace) -> int:
    """Return the bound on the time from a region's loss until the last of its safe Jobs is started elsewhere.

    It applies if there is capacity for these Jobs, and is the sum of:

    - the election, and the voters' lease or `after`, whichever is longer: the last grant may date from the moment of
      the loss, and a new leader counts from its election;
    - one round of the voters to decide the end;
    - three request intervals: a successor reports its replicas with one request and learns of the end with another,
      and one request may be lost;
    - `MAX_CLAIM_WAIT_US`, the longest wait of a safe Job for its other replica holders;
    - the rate limits at the successor with the most Jobs, `jobs`;
    - one message with its response.
    """
    lease_us = voter_lease_us(times.lease_us, times.max_turn_us)
    round_us = 2 * times.one_way_us + times.max_turn_us
    ended_us = times.election_us + max(lease_us, times.after_us) + round_us
    claimed_us = ended_us + 3 * times.request_interval_us + MAX_CLAIM_WAIT_US
    answer_us = 2 * (times.max_turn_us + times.one_way_us)
    return claimed_us + pace.duration_us(jobs) + answer_us
