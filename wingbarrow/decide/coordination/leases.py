"""Until when a placer may act on which rules: the holder's side, counted from when it asked, by its own clock alone.

As leases in Chubby, but that time only ever shortens them: the giver reckons with a grant until later than its holder
does, by the drift that two clocks may have. A holder that hears of nobody goes on by the floor, as long as the floor's
own grant lasts; then it refuses.
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.quotas.limits import drifted_us


def lease_expiry_us(now_us: int, lasts_us: int) -> int:
    """Until when the giver reckons with a grant that it gives now: its holder asked before."""
    return now_us + drifted_us(lasts_us)


@dataclass(frozen=True, slots=True)
class RulesInForce:
    """What a placer acts on: `label` goes with each offer. `rules` is a rule set's text."""

    label: str
    edition: int  # 0 for a floor
    rules: str


@dataclass(slots=True)
class RulesLease:
    """One placer's grants; times by its own clock."""

    edition: int = 0
    rules: str = ""
    expires_us: int = 0
    floor: int = 0
    floor_rules: str = ""
    floor_expires_us: int = 0

    def renew(self, asked_us: int, edition: int, rules: str, lasts_us: int) -> bool:
        """A grant, as asked for at `asked_us`; False for one of an edition that was left behind."""
        if edition < self.edition:
            return False  # Danger: an answer that was late must not bring rules back whose time has passed
        if edition > self.edition:
            self.edition, self.rules, self.expires_us = edition, rules, 0
        self.expires_us = max(self.expires_us, asked_us + lasts_us)
        return True

    def renew_floor(self, asked_us: int, number: int, rules: str, lasts_us: int) -> None:
        """A floor's grant."""
        if number < self.floor:
            return
        if number > self.floor:
            self.floor, self.floor_rules, self.floor_expires_us = number, rules, 0
        self.floor_expires_us = max(self.floor_expires_us, asked_us + lasts_us)

    def rules_in_force(self, now_us: int) -> RulesInForce | None:
        """What may be acted on at this moment; None: nothing."""
        if self.edition and now_us < self.expires_us:
            return RulesInForce(f"e{self.edition}", self.edition, self.rules)
        if self.floor and now_us < self.floor_expires_us:
            return RulesInForce(f"f{self.floor}", 0, self.floor_rules)
        return None
