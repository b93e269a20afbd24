"""The holder's side of leases of the rule set: until when a placer may act on which rules.

As in Chubby (Burrows 2006): a lease counts from when it was requested, by its holder's clock, and for its giver from
when it was granted and longer by the drift that two clocks may have; so the holder's always ends first. A holder whose
lease has expired goes on by the floor, rules that every version must allow, while the floor's own lease lasts; then it
may act on nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import drifted_us


def lease_expiry_us(now_us: int, duration_us: int) -> int:
    """Until when the giver of a lease reckons with it; `now_us` is a time after its holder requested it."""
    return now_us + drifted_us(duration_us)


@dataclass(frozen=True, slots=True)
class RulesInForce:
    """What a placer acts on; `rules` is a rule set's text."""

    label: str  # of each offer: `e7` for revision 7, `f2` for floor 2
    revision: int  # 0 for a floor
    rules: str


@dataclass(slots=True)
class RulesLease:
    """One placer's leases; times by its own clock, expiries of 0 for none."""

    revision: int = 0
    rules: str = ""
    expires_us: int = 0
    floor: int = 0
    floor_rules: str = ""
    floor_expires_us: int = 0

    def renew(self, requested_us: int, revision: int, rules: str, duration_us: int) -> bool:
        """Renew, as requested at that time; False for a grant of a revision before the one held: it has no effect."""
        if revision < self.revision:
            # Danger: a late grant must not bring back rules whose time has passed.
            return False
        if revision > self.revision:
            self.revision, self.rules, self.expires_us = revision, rules, 0
        self.expires_us = max(self.expires_us, requested_us + duration_us)
        return True

    def renew_floor(self, requested_us: int, number: int, rules: str, duration_us: int) -> None:
        """Renew the lease of a floor; a grant of an earlier floor has no effect."""
        if number < self.floor:
            return
        if number > self.floor:
            self.floor, self.floor_rules, self.floor_expires_us = number, rules, 0
        self.floor_expires_us = max(self.floor_expires_us, requested_us + duration_us)

    def rules_in_force(self, now_us: int) -> RulesInForce | None:
        """What may be acted on at this moment; None for nothing."""
        if self.revision and now_us < self.expires_us:
            return RulesInForce(f"e{self.revision}", self.revision, self.rules)
        if self.floor and now_us < self.floor_expires_us:
            return RulesInForce(f"f{self.floor}", 0, self.floor_rules)
        return None
