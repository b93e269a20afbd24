"""The proof that a slot's machine holds no task and gets none, without which it is not given out.

It needs, as of now, that (1) each placer that may act has confirmed, under the slot's number, that none of its tasks is
at the machine or on its way: one whose grant has lapsed may not act, unless by a floor, which knows no slots; hence
that (2) the machine itself, called with the number, refuses new work and holds nothing. Proof: `docs/maintenance.md`.
"""

from __future__ import annotations

from wingbarrow.decide.maintenance.reports import PlacerReports
from wingbarrow.decide.maintenance.timing import MaintenanceTiming


class EmptinessProof:
    """Who may act by grants of this leader, and what is missing for the proof of a slot."""

    def __init__(self, reports: PlacerReports, timing: MaintenanceTiming) -> None:
        self.reports = reports
        self.timing = timing
        self.leading_since_us = 0
        self._grant_ends_us: dict[str, int] = {}

    def on_leadership_change(self, now_us: int) -> None:
        """Forget the grants of an earlier term."""
        self.leading_since_us = now_us
        self._grant_ends_us = {}

    def on_grant(self, now_us: int, placer: str) -> None:
        """A placer may act from now on until its grant has lapsed."""
        self._grant_ends_us[placer] = now_us + self.timing.lapse_us()

    def grant_holders(self, now_us: int) -> list[str]:
        """Placers that may act by a grant of this leader."""
        return [name for name, until_us in self._grant_ends_us.items() if now_us < until_us]

    def is_complete(self, now_us: int, number: int) -> bool:
        """Whether the machine of a slot is proved to be empty and to stay so."""
        return not self.missing(now_us, number)

    def missing(self, now_us: int, number: int) -> str:
        """What is missing for the proof, in words for operators; "" if it is complete."""
        lapse_us = self.timing.lapse_us()
        if now_us < self.leading_since_us + lapse_us:
            # Danger: a placer that was not heard from yet may act by a grant of an earlier leader.
            return "grants of an earlier leader may not have lapsed"
        for name in self.grant_holders(now_us):
            report = self.reports.last_report(name)
            if report is None or number not in report.clear:
                return f"placer {name} has not confirmed"
        # Danger: a floor knows no slots. Its holder may send at any time; it is the machine that refuses.
        if any(number in report.empty for _, report in self.reports.since(now_us, lapse_us)):
            return ""
        return "the machine has not said that it refuses new work and is empty"
