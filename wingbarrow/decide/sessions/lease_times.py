"""Durations of a session's lease L, and of the waits before its end, in microseconds.

Three leases expire in this order. Those of holder and machine count from the request that renewed them, the voters'
lease from the grant, each by the local clock:

    holder   0.8 L                 after it the holder sends no first byte of a leased Job (`holder_lease_us`)
    machine  L                     at its expiry the machine ends the tasks of the session
    voters   1.002 L + 1 + turn    after it the voters may end the session (`voter_lease_us`)

`drifted_us` is the bound on the drift between two clocks (1.002 t + 1).
"""

from __future__ import annotations

from wingbarrow.decide.quotas.limits import drifted_us

LEASE_US = 10_000_000  # default
HOLDER_LEASE_SHARE = 0.8  # of the lease
# Wait, in leases, before a session without live replica holder is ended.
UNREPLICATED_WAIT_LEASES = 6
CHECKS_PER_LEASE = 8  # minimum number of checks of all sessions by the leader during one lease
MAX_TURN_US = 10_000  # longest turn of the event loop


def holder_lease_us(lease_us: int) -> int:
    """Return 0.8 L: how long after its request a holder may send the first byte of a leased Job."""
    return int(lease_us * HOLDER_LEASE_SHARE)


def voter_lease_us(lease_us: int, max_turn_us: int) -> int:
    """Return drifted(L) + turn: how long after its grant the voters count a session as held.

    The holder's lease expires earlier: it counts from the request, which was sent before the grant.
    """
    return drifted_us(lease_us) + max_turn_us


def unreplicated_wait_us(lease_us: int) -> int:
    """Return 6 drifted(L): how long a session without live replica holder stays open after its last renewal."""
    return UNREPLICATED_WAIT_LEASES * drifted_us(lease_us)


def one_way_renewal_us(lease_us: int) -> int:
    """Return 0.8 L + L / 2: how long requests renew a placer's session after the last grant that it received.

    This is for a partition in one direction, in which the leader receives the placer's requests but the placer receives
    no grants.
    """
    return holder_lease_us(lease_us) + lease_us // 2


def ended_within_us(
    lease_us: int, after_us: int | None, max_turn_us: int = MAX_TURN_US, round_us: int = 250_000
) -> int:
    """Return the bound on the time until the end of a lost session is decided.

    The bound is max(voter lease, drifted(after)) + L / 8 + round, with 6 drifted(L) in place of the maximum if
    `after_us` is None. It counts from the session's last renewal, or from the election of a later leader that has kept
    a majority since and has not paused for longer than a check interval. If a partition lets only requests through, the
    last renewal is up to `one_way_renewal_us` later than the last grant that arrived.

    after_us: smallest `after` that live replica holders report; None without a live replica holder.
    round_us: duration of a decision among the voters.
    """
    waits = (
        unreplicated_wait_us(lease_us)
        if after_us is None
        else max(voter_lease_us(lease_us, max_turn_us), drifted_us(after_us))
    )
    return waits + lease_us // CHECKS_PER_LEASE + round_us
