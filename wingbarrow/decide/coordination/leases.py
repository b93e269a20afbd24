"""Leases of the rule set at their holder: until when a placer may act on which rules.

As in Chubby (Burrows 2006), the holder counts a lease from its request by its own clock; the grantor counts it from the
grant and adds the maximum drift between two clocks, so that a lease always expires at the holder first. A holder whose
lease has expired continues with the floor, rules that every version must allow, while the lease of the floor lasts;
after that it may not act at all.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import drifted_us


def lease_expiry_us(now_us: int, duration_us: int) -> int:
    """When a lease expires for its grantor, clock drift included; `now_us` is any time after it was requested."""
    return now_us + drifted_us(duration_us)


@dataclass(frozen=True, slots=True)
class RulesInForce:
    """The rules that a placer may act on; `rules` is the text of a rule set."""

    label: str  # attached to each offer: `e7` for revision 7, `f2` for floor 2
    revision: int  # 0 for a floor
    rules: str


@dataclass(slots=True)
class RulesLease:
    """One placer's leases; times are in microseconds of its own clock, an expiry of 0 means no lease."""

    revision: int = 0
    rules: str = ""
    expires_us: int = 0
    floor: int = 0
    floor_rules: str = ""
    floor_expires_us: int = 0

    def renew(self, requested_us: int, revision: int, rules: str, duration_us: int) -> bool:
        """Renew the lease from the time of its request; a grant of an earlier revision is ignored and returns False."""
        if revision < self.revision:
            # Danger: a delayed grant must not reinstate superseded rules.
            return False
        if revision > self.revision:
            self.revision, self.rules, self.expires_us = revision, rules, 0
        self.expires_us = max(self.expires_us, requested_us + duration_us)
        return True

    def renew_floor(self, requested_us: int, number: int, rules: str, duration_us: int) -> None:
        """Renew the lease of a floor from the time of its request; a grant of an earlier floor is ignored."""
        if number < self.floor:
            return
        if number > self.floor:
            self.floor, self.floor_rules, self.floor_expires_us = number, rules, 0
        self.floor_expires_us = max(self.floor_expires_us, requested_us + duration_us)

    def rules_in_force(self, now_us: int) -> RulesInForce | None:
        """The rules that may be acted on at `now_us`, those of the floor included; None for none."""
        if self.revision and now_us < self.expires_us:
            return RulesInForce(f"e{self.revision}", self.revision, self.rules)
        if self.floor and now_us < self.floor_expires_us:
            return RulesInForce(f"f{self.floor}", 0, self.floor_rules)
        return None
