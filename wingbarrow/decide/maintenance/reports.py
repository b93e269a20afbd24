"""What the leader has heard from placers about maintenance: each placer's last report, each region's last view."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wingbarrow.decide.maintenance.messages import MaintenanceReport, RegionView
from wingbarrow.decide.quotas.escrow import Requester

MAX_PLACERS = 4096


@dataclass(frozen=True, slots=True)
class PlacerReport:
    """A placer's last report. `life` and `sequence` order those of one placer."""

    life: int
    sequence: int
    received_us: int
    report: MaintenanceReport


@dataclass(frozen=True, slots=True)
class ReportedView:
    """A region's last view."""

    received_us: int
    reporter: str
    view: RegionView


class PlacerReports:
    """Reports that this leader has received. `max_age_us`: older ones show nobody to be in reach."""

    def __init__(self, max_age_us: int) -> None:
        self._max_age_us = max_age_us
        self._reports: dict[str, PlacerReport] = {}
        self._views: dict[str, ReportedView] = {}

    def clear(self) -> None:
        """Forget all."""
        self._reports = {}
        self._views = {}

    def record(self, now_us: int, sender: Requester, report: MaintenanceReport) -> bool:
        """Replace the sender's last report; False for a late or duplicate one, and past MAX_PLACERS."""
        last = self._reports.get(sender.placer)
        if last is not None and (sender.incarnation, sender.sequence) <= (last.life, last.sequence):
            return False
        if last is None and len(self._reports) >= MAX_PLACERS:
            return False
        self._reports[sender.placer] = PlacerReport(
            sender.incarnation, sender.sequence, now_us, report
        )
        if report.view is not None:
            self._views[report.region] = ReportedView(now_us, sender.placer, report.view)
        return True

    def last_report(self, placer: str) -> MaintenanceReport | None:
        """A placer's last report, however old."""
        held = self._reports.get(placer)
        return held.report if held is not None else None

    def since(self, now_us: int, max_age_us: int) -> Iterator[tuple[str, MaintenanceReport]]:
        """Placers with their reports that are younger than an age."""
        for name, each in self._reports.items():
            if now_us - each.received_us < max_age_us:
                yield name, each.report

    def recent(self, now_us: int) -> Iterator[MaintenanceReport]:
        """Reports of the placers in reach."""
        return (report for _, report in self.since(now_us, self._max_age_us))

    def placers_in_reach(self, now_us: int, region: str) -> list[str]:
        """Placers of a region that are in reach."""
        return [
            name for name, report in self.since(now_us, self._max_age_us) if report.region == region
        ]

    def views_in_reach(self, now_us: int) -> Mapping[str, RegionView]:
        """Views of the regions in reach."""
        return {
            region: each.view
            for region, each in self._views.items()
            if now_us - each.received_us < self._max_age_us
        }

    def is_unlisted(self, now_us: int, region: str, number: int) -> bool:
        """Whether the region's reporter, being in reach, says that its list does not have a slot's machine."""
        held = self._views.get(region)
        if held is None or now_us - held.received_us >= self._max_age_us:
            return False
        report = self.last_report(held.reporter)
        return report is not None and number in report.gone

    def task_counts(self, now_us: int, region: str, number: int) -> list[int | None]:
        """Tasks at a slot's machine as each placer of the region in reach counts its own; None: not counted yet."""
        counts: list[int | None] = []
        for name in self.placers_in_reach(now_us, region):
            report = self._reports[name].report
            counts.append(dict(report.tasks).get(number))
        return counts

    def place_of(self, now_us: int, number: int) -> tuple[str, str, str] | None:
        """Region, zone and cell of a slot's machine by the first list that has it."""
        for report in self.recent(now_us):
            for listed, zone, cell in report.places:
                if listed == number:
                    return report.region, zone, cell
        return None


def rendezvous_weight(subject: str, placer: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar 1998): the placer of the greatest weight is chosen for a subject."""
    return hashlib.blake2b(f"{subject}/{placer}".encode(), digest_size=8).digest()
