"""The times by which the leader schedules maintenance."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.maintenance.slots import AGING_PERIOD_US

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class MaintenanceTiming:
    """In microseconds. `grant_us` is the coordinator's; the rest is measured by the leader's own clock."""

    grant_us: int = 2 * SECOND
    view_us: int = 6 * SECOND  # a placer or a region's view that is older is out of reach
    count_us: int = 3 * SECOND  # after that a slot is queued without the counts that are missing
    lease_us: int = 30 * SECOND  # of a maintenance operator
    try_us: int = 30 * SECOND  # a returned machine that got nothing to start is trusted after that
    gone_us: int = 600 * SECOND  # the slot of a machine that no list has ends after that
    patience_us: int = 10 * AGING_PERIOD_US  # a slot that waited longer reserves its capacity

    def lapse_us(self) -> int:
        """The longest time after a grant for which its holder may act, by the leader's clock."""
        return lease_expiry_us(0, self.grant_us)
