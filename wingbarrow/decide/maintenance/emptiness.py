"""The proof that a slot's machine runs no task and receives none; the machine is not given out without it.

Two conditions must hold now. (1) Each placer that may act has confirmed, under the slot's number, that none of its
tasks is at the machine or on its way there. A placer whose grant has lapsed may not act, except by a floor, and floors
do not know slots. Therefore (2) the machine itself, called with the slot's number, has to refuse new work and be empty.
The proof is in `docs/maintenance.md`.
"""

from __future__ import annotations

from wingbarrow.decide.maintenance.reports import PlacerReports
from wingbarrow.decide.maintenance.timing import MaintenanceTiming


class EmptinessProof:
    """Tracks the grants of this leader and checks the proof for each slot."""

    def __init__(self, reports: PlacerReports, timing: MaintenanceTiming) -> None:
        self.reports = reports
        self.timing = timing
        self.leading_since_us = 0
        self._grant_ends_us: dict[str, int] = {}

    def on_leadership_change(self, now_us: int) -> None:
        """Discard the grants of an earlier term."""
        self.leading_since_us = now_us
        self._grant_ends_us = {}

    def on_grant(self, now_us: int, placer: str) -> None:
        """Record a grant: the placer may act from now until it lapses."""
        self._grant_ends_us[placer] = now_us + self.timing.lapse_us()

    def grant_holders(self, now_us: int) -> list[str]:
        """Return the placers that may act by a grant of this leader."""
        return [name for name, until_us in self._grant_ends_us.items() if now_us < until_us]

    def is_complete(self, now_us: int, number: int) -> bool:
        """Whether it is proved that the machine of a slot is empty and stays empty."""
        return not self.missing(now_us, number)

    def missing(self, now_us: int, number: int) -> str:
        """Return what is missing from the proof, as text for operators; "" if it is complete."""
        lapse_us = self.timing.lapse_us()
        if now_us < self.leading_since_us + lapse_us:
            # Danger: a placer that has not yet contacted this leader may act by a grant of an earlier leader.
            return "grants of an earlier leader may not have lapsed"
        for name in self.grant_holders(now_us):
            report = self.reports.last_report(name)
            if report is None or number not in report.clear:
                return f"placer {name} has not confirmed"
        # Danger: a floor does not know slots, so its holder may send at any time; only the machine can refuse.
        if any(
            number in report.empty for _, report in self.reports.received_within(now_us, lapse_us)
        ):
            return ""
        return "the machine has not said that it refuses new work and is empty"
