"""Durations of a session's lease and of what its end waits for, in microseconds.

Three leases end in this order, all counted from the request that renewed them, each by its own clock:

    holder   0.8 L                 no first byte of a leased Job is sent after it (`holder_lease_us`)
    machine  L                     a machine ends what runs under the session
    voters   1.002 L + 1 + turn    counted from the answer; the session may be ended after it (`voter_lease_us`)

`drifted_us` is the bound on the drift between two clocks (1.002 t + 1).
"""

from __future__ import annotations

from wingbarrow.decide.quotas.limits import drifted_us

LEASE_US = 10_000_000  # by default
HOLDER_LEASE_SHARE = 0.8
UNREPLICATED_WAIT_LEASES = 6
CHECKS_PER_LEASE = 8  # how often, at least, the leader checks all sessions during one lease
MAX_TURN_US = 10_000  # longest turn of the hub


def holder_lease_us(lease_us: int) -> int:
    """Return 0.8 L: for how long after its request a holder may send a leased Job's first byte."""
    return int(lease_us * HOLDER_LEASE_SHARE)


def voter_lease_us(lease_us: int, max_turn_us: int) -> int:
    """Return drifted(L) + turn: for how long after its grant the voters count a session as held.

    The holder counts from its request, which it sent before that grant.
    """
    return drifted_us(lease_us) + max_turn_us


def unreplicated_wait_us(lease_us: int) -> int:
    """Return 6 drifted(L): how long after its last renewal a session without live replica holder stays open."""
    return UNREPLICATED_WAIT_LEASES * drifted_us(lease_us)


def one_way_renewal_us(lease_us: int) -> int:
    """Return 0.8 L + L / 2: how long requests renew the session of a placer after the last grant that reached it.

    Such a placer is cut off in one direction: the leader receives its requests, and it receives no grant.
    """
    return holder_lease_us(lease_us) + lease_us // 2


def ended_within_us(
    lease_us: int, after_us: int | None, max_turn_us: int = MAX_TURN_US, round_us: int = 250_000
) -> int:
    """Return within what time a lost session's end is decided.

    max(voter lease, drifted(after)) + L / 8 + round, or 6 drifted(L) in place of the maximum where `after_us` is None.
    It counts from the session's last renewal, or from the election of a later leader that a majority has followed since
    and that has not paused for longer than a check's interval. After a cut that lets only requests through, the last
    renewal comes up to `one_way_renewal_us` after the last grant that arrived.

    after_us: least `after` that live replica holders report; None where there is no live replica holder.
    round_us: duration of a decision among the voters.
    """
    waits = (
        unreplicated_wait_us(lease_us)
        if after_us is None
        else max(voter_lease_us(lease_us, max_turn_us), drifted_us(after_us))
    )
    return waits + lease_us // CHECKS_PER_LEASE + round_us
