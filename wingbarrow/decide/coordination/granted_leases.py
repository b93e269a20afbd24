"""A leader's account of the leases that it has granted: until when somebody may act on an earlier revision, or a floor.

It is not replicated. A new leader, which knows of no leases, reckons with those that any leader before it may have
granted until its own election. Times are by this leader's clock; `lease_expiry_us` allows for the holder's.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.coordination.leases import lease_expiry_us

MAX_LEASE_HOLDERS = 4096


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """What a placer may act on, and until when at the latest."""

    revision: int
    expires_us: int


class GrantedLeases:
    """Kept from election to election; a leader makes it anew."""

    def __init__(self) -> None:
        self.by_holder: dict[str, GrantedLease] = {}
        self._floor_expiries_us: dict[int, int] = {}  # by the floor's number
        # Placers that were granted a later revision, and have not come back with it: until when each may still act on
        # its last one, as the grant may never reach it.
        self._unacknowledged_us: dict[str, int] = {}

    def has_capacity_for(self, holder: str, now_us: int) -> bool:
        """Whether a lease can be granted to this placer; expired ones are dropped where there are too many."""
        if holder in self.by_holder or len(self.by_holder) < MAX_LEASE_HOLDERS:
            return True
        self.by_holder = {
            name: lease for name, lease in self.by_holder.items() if lease.expires_us > now_us
        }
        return len(self.by_holder) < MAX_LEASE_HOLDERS

    def grant(self, holder: str, known_revision: int, lease: GrantedLease) -> None:
        """Enter a lease for a placer that acts on `known_revision` now."""
        last = self.by_holder.get(holder)
        if known_revision >= lease.revision:
            self._unacknowledged_us.pop(holder, None)
        elif last is not None and last.revision < lease.revision:
            expires_us = max(self._unacknowledged_us.get(holder, 0), last.expires_us)
            self._unacknowledged_us[holder] = expires_us
        self.by_holder[holder] = lease

    def grant_floor(self, number: int, expires_us: int) -> None:
        """Enter that somebody may go by a floor until then."""
        self._floor_expiries_us[number] = expires_us

    def floor_expires_us(self, number: int, elected_at_us: int, duration_us: int) -> int:
        """When nobody can go by a floor any more, unless it is granted again."""
        granted_us = self._floor_expiries_us.get(number, 0)
        return max(granted_us, lease_expiry_us(elected_at_us, duration_us))

    def earlier_leases_expire_us(self, revision: int, elected_at_us: int, duration_us: int) -> int:
        """When nobody can act on a revision before this one any more."""
        earlier = [
            lease.expires_us for lease in self.by_holder.values() if lease.revision < revision
        ]
        unknown_us = lease_expiry_us(elected_at_us, duration_us)
        return max([unknown_us, *earlier, *self._unacknowledged_us.values()])
