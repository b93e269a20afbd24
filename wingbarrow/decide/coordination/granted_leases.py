"""The leases that a leader has granted: until when a placer may act on an earlier revision or a floor.

They are not replicated. A new leader does not know them and assumes that earlier leaders granted leases until its own
election. Times are in microseconds of the leader's clock; `lease_expiry_us` allows for clock drift at the holder.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.coordination.leases import lease_expiry_us

MAX_LEASE_HOLDERS = 4096


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """The revision that a placer may act on, and the latest time at which it may."""

    revision: int
    expires_us: int


class GrantedLeases:
    """The leases granted by one leader in one term."""

    def __init__(self) -> None:
        self.by_holder: dict[str, GrantedLease] = {}
        self._floor_expiries_us: dict[int, int] = {}  # by the number of the floor
        # Until when a placer that was granted a later revision, but has not acknowledged it by a request yet, may still
        # act on an earlier one: the grant may have been lost.
        self._unacknowledged_until_us: dict[str, int] = {}

    def has_capacity_for(self, holder: str, now_us: int) -> bool:
        """Whether a lease can be granted to this placer; removes expired leases if there are `MAX_LEASE_HOLDERS`."""
        if holder in self.by_holder or len(self.by_holder) < MAX_LEASE_HOLDERS:
            return True
        self.by_holder = {
            name: lease for name, lease in self.by_holder.items() if lease.expires_us > now_us
        }
        return len(self.by_holder) < MAX_LEASE_HOLDERS

    def grant(self, holder: str, known_revision: int, lease: GrantedLease) -> None:
        """Record a lease for a placer whose request stated that it holds `known_revision`."""
        last = self.by_holder.get(holder)
        if known_revision >= lease.revision:
            self._unacknowledged_until_us.pop(holder, None)
        elif last is not None and last.revision < lease.revision:
            expires_us = max(self._unacknowledged_until_us.get(holder, 0), last.expires_us)
            self._unacknowledged_until_us[holder] = expires_us
        self.by_holder[holder] = lease

    def grant_floor(self, number: int, expires_us: int) -> None:
        """Record that a placer may act on a floor until `expires_us`."""
        self._floor_expiries_us[number] = expires_us

    def floor_expires_us(self, number: int, elected_at_us: int, duration_us: int) -> int:
        """The time from which no placer can act on a floor, unless it is granted again."""
        granted_us = self._floor_expiries_us.get(number, 0)
        return max(granted_us, lease_expiry_us(elected_at_us, duration_us))

    def earlier_leases_expire_us(self, revision: int, elected_at_us: int, duration_us: int) -> int:
        """The time from which no placer can act on a revision before `revision`."""
        earlier = [
            lease.expires_us for lease in self.by_holder.values() if lease.revision < revision
        ]
        unknown_us = lease_expiry_us(elected_at_us, duration_us)
        return max([unknown_us, *earlier, *self._unacknowledged_until_us.values()])
