"""Durations of a session's lease, in microseconds."""

from __future__ import annotations

from wingbarrow.decide.quotas.limits import drifted_us

LEASE_US = 10_000_000  # by default
HOLDER_LEASE_SHARE = 0.8  # of the lease: until then a holder may send first bytes


def holder_lease_us(lease_us: int) -> int:
    """For how long after it asked a holder may send."""
    return int(lease_us * HOLDER_LEASE_SHARE)


def voter_lease_us(lease_us: int, max_turn_us: int) -> int:
    """For how long after a grant the voters reckon with its session: whoever asked did so before."""
    return drifted_us(lease_us) + max_turn_us


UNREPLICATED_LEASES = 6  # leases, after which a session with no living keeper ends
CHECKS_PER_LEASE = 8  # in a lease: how often the leader looks at all sessions at least
MAX_TURN_US = 10_000  # the hub's longest turn


def unreplicated_wait_us(lease_us: int) -> int:
    """For how long after its last renewal a session without a living keeper stays open."""
    return UNREPLICATED_LEASES * drifted_us(lease_us)


def one_way_renewal_us(lease_us: int) -> int:
    """For how long after the last grant that reached it a placer's asks, which go on coming, renew its session."""
    return holder_lease_us(lease_us) + lease_us // 2


def ended_within_us(
    lease_us: int, after_us: int | None, max_turn_us: int = MAX_TURN_US, round_us: int = 250_000
) -> int:
    """Within which a session's end is decided, from the later of its last renewal and the election of the leader that
    a majority follows since, without a pause of it longer than a look's; `after_us`: the least that living keepers say,
    None where there is none. `round_us`: what a decision among the voters takes. The last renewal may come `deaf_us`
    after the last grant that came, where a cut lets asks through alone.
    """
    waits = (
        unreplicated_wait_us(lease_us)
        if after_us is None
        else max(voter_lease_us(lease_us, max_turn_us), drifted_us(after_us))
    )
    return waits + lease_us // CHECKS_PER_LEASE + round_us
