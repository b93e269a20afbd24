"""Leases recorded by a leader: the time from which an earlier revision or floor can no longer be in use."""

from __future__ import annotations

import pytest

from wingbarrow.decide.coordination import granted_leases
from wingbarrow.decide.coordination.granted_leases import GrantedLease, GrantedLeases
from wingbarrow.decide.coordination.leases import lease_expiry_us

ELECTED_US = 1_000
DURATION_US = 2_000_000


@pytest.fixture
def leases() -> GrantedLeases:
    return GrantedLeases()


def earlier_leases_expire_us(leases: GrantedLeases, revision: int) -> int:
    return leases.earlier_leases_expire_us(revision, ELECTED_US, DURATION_US)


def test_a_new_leader_waits_for_leases_that_others_may_have_granted(leases: GrantedLeases) -> None:
    assert earlier_leases_expire_us(leases, 1) == lease_expiry_us(ELECTED_US, DURATION_US)


def test_a_holder_of_an_earlier_revision_is_waited_for(leases: GrantedLeases) -> None:
    leases.grant("a", 0, GrantedLease(1, 9_000_000))
    assert earlier_leases_expire_us(leases, 2) == 9_000_000


def test_a_later_grant_counts_only_once_its_holder_has_come_back_with_it(
    leases: GrantedLeases,
) -> None:
    leases.grant("a", 0, GrantedLease(1, 9_000_000))
    leases.grant("a", 1, GrantedLease(2, 9_500_000))
    assert earlier_leases_expire_us(leases, 2) == 9_000_000, "the grant may have been lost"
    leases.grant("a", 2, GrantedLease(2, 9_900_000))
    assert earlier_leases_expire_us(leases, 2) == lease_expiry_us(ELECTED_US, DURATION_US)


def test_a_floor_is_held_until_its_last_lease_expires(leases: GrantedLeases) -> None:
    leases.grant_floor(1, 9_000_000)
    assert leases.floor_expires_us(1, ELECTED_US, DURATION_US) == 9_000_000


def test_too_many_holders_are_refused_until_leases_expire(
    leases: GrantedLeases, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(granted_leases, "MAX_LEASE_HOLDERS", 1)
    leases.grant("a", 1, GrantedLease(1, 500))
    assert leases.has_capacity_for("a", 499)
    assert not leases.has_capacity_for("b", 499)
    assert leases.has_capacity_for("b", 500)
