"""Formulas of the stated times, in microseconds: the only code that the judge shares with the processes it judges."""

from __future__ import annotations

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.sessions.lease_times import voter_lease_us

MAX_HUB_TURN_US = 10_000  # longest turn of the hub, between the send gate and the write
SESSION_CHECKS_PER_LEASE = 8  # a leader checks sessions at least this often in each lease
MAX_CLAIM_WAIT_US = 2_000_000  # a successor's longest wait for other records of a safe Job
STARTS_PER_BATCH = 32  # Jobs taken over that a successor starts together
BATCH_INTERVAL_US = 100_000
VOTE_ROUND_US = 250_000  # time for one decision of the voters
START_ALLOWANCE_US = 5_000_000  # part of a task's patience for offers to machines and the start
MACHINE_STATE_DELAY_US = 15_000_000  # until a leader knows that a machine is lost or is back


def max_reissue_delay_us(lease_us: int, after_us: int, jobs: int, times: Timing) -> int:
    """Longest time from a region's loss until the last of its `jobs` safe Jobs runs elsewhere, given capacity.

    The sum of: the election of a leader, if the former one was lost with the region; the expiry of the session
    (`voter_lease_us` or `after_us`, whichever is longer), the leader's next check of sessions and one decision of the
    voters; each successor's next grant; its claim; the batches in which it starts the Jobs; and the start itself.
    """
    session_end_us = (
        max(voter_lease_us(lease_us, MAX_HUB_TURN_US), drifted_us(after_us))
        + lease_us // SESSION_CHECKS_PER_LEASE
        + VOTE_ROUND_US
    )
    batches_us = BATCH_INTERVAL_US * (1 + (jobs + STARTS_PER_BATCH - 1) // STARTS_PER_BATCH)
    return (
        times.reacquire_us()
        + session_end_us
        + 2 * times.grant_us // 3
        + MAX_CLAIM_WAIT_US
        + batches_us
        + START_ALLOWANCE_US
    )


def min_reissue_delay_us(lease_us: int, after_us: int, times: Timing) -> int:
    """Shortest time from a holder's last certain contact until a reissue: its last grant is at most a grant older."""
    return max(voter_lease_us(lease_us, MAX_HUB_TURN_US), after_us) - drifted_us(times.grant_us)
