"""The times by which the leader schedules maintenance."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.maintenance.slots import AGING_PERIOD_US

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class MaintenanceTiming:
    """All in microseconds. `grant_us` is the coordinator's; the leader measures the rest by its own clock."""

    grant_us: int = 2 * SECOND
    # A placer whose last report, or a region whose last view, is older counts as out of reach.
    report_max_age_us: int = 6 * SECOND
    # After this time a requested slot is queued even if task counts are still missing.
    count_timeout_us: int = 3 * SECOND
    # Lease of a maintenance operator on its slot.
    lease_us: int = 30 * SECOND
    # After this time a returned machine that received no task to start is trusted again.
    trial_us: int = 30 * SECOND
    # After this time the slot of a machine that is on no list ends.
    unlisted_us: int = 600 * SECOND
    # A queued slot that has waited longer reserves its capacity ahead of those behind it.
    reserve_after_us: int = 10 * AGING_PERIOD_US

    def lapse_us(self) -> int:
        """The longest time after a grant for which its holder may act, by the leader's clock."""
        return lease_expiry_us(0, self.grant_us)
