"""Stated times, as formulas with their figures: all that the judge shares with what it judges. Microseconds."""

from __future__ import annotations

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.sessions.lease_times import voter_lease_us

MAX_HUB_TURN_US = 10_000  # the hub's longest turn, between the gate and the write
SESSION_CHECKS_PER_LEASE = 8  # in a lease: how often a leader looks at sessions at least
MAX_CLAIM_WAIT_US = (
    2_000_000  # a successor waits so long at most for what else is known of a safe Job
)
STARTS_PER_BATCH, BATCH_INTERVAL_US = 32, 100_000  # of Jobs taken over, in one go
VOTE_ROUND_US = 250_000  # a decision among the voters
START_ALLOWANCE_US = 5_000_000  # of the patience in which each is offered to machines and starts
MACHINE_STATE_DELAY_US = (
    15_000_000  # until a leader knows that a machine is lost, or is there again
)


def max_reissue_delay_us(lease_us: int, after_us: int, jobs: int, times: Timing) -> int:
    """From a region's loss until the last of so many safe runs of it stands elsewhere, where there is room.

    A leader is elected where it went with the region; by it the session lapses (`voter_lease_us`, or `after_us`), which
    it sees at one of its looks and has decided in one round; each successor hears with its next grant, claims, and
    gives its Jobs to the core in order, which has them started.
    """
    ended = (
        max(voter_lease_us(lease_us, MAX_HUB_TURN_US), drifted_us(after_us))
        + lease_us // SESSION_CHECKS_PER_LEASE
        + VOTE_ROUND_US
    )
    paced = BATCH_INTERVAL_US * (1 + (jobs + STARTS_PER_BATCH - 1) // STARTS_PER_BATCH)
    return (
        times.reacquire_us()
        + ended
        + 2 * times.grant_us // 3
        + MAX_CLAIM_WAIT_US
        + paced
        + START_ALLOWANCE_US
    )


def min_reissue_delay_us(lease_us: int, after_us: int, times: Timing) -> int:
    """No sooner than this after a session's holder was surely renewed: the last grant before is at most a grant old."""
    return max(voter_lease_us(lease_us, MAX_HUB_TURN_US), after_us) - drifted_us(times.grant_us)
