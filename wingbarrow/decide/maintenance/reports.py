"""The leader's store of maintenance reports: the last report of each placer, the last view of each region."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wingbarrow.decide.maintenance.messages import MaintenanceReport, RegionView
from wingbarrow.decide.quotas.escrow import Requester

MAX_PLACERS = 4096


@dataclass(frozen=True, slots=True)
class PlacerReport:
    """A placer's last report. `incarnation` and `sequence` order the reports of one placer."""

    incarnation: int
    sequence: int
    received_us: int
    report: MaintenanceReport


@dataclass(frozen=True, slots=True)
class ReportedView:
    """The last view of a region, and the placer that reported it."""

    received_us: int
    reporter: str
    view: RegionView


class PlacerReports:
    """Reports received by this leader. `max_age_us`: the sender of an older report counts as out of reach."""

    def __init__(self, max_age_us: int) -> None:
        self._max_age_us = max_age_us
        self._reports: dict[str, PlacerReport] = {}
        self._views: dict[str, ReportedView] = {}

    def clear(self) -> None:
        """Discard all reports."""
        self._reports = {}
        self._views = {}

    def record(self, now_us: int, sender: Requester, report: MaintenanceReport) -> bool:
        """Replace the sender's last report; False for a late or duplicate one, or beyond MAX_PLACERS senders."""
        last = self._reports.get(sender.placer)
        if last is not None and (sender.incarnation, sender.sequence) <= (
            last.incarnation,
            last.sequence,
        ):
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
        """Return a placer's last report, however old it is; None without one."""
        held = self._reports.get(placer)
        return held.report if held is not None else None

    def received_within(
        self, now_us: int, max_age_us: int
    ) -> Iterator[tuple[str, MaintenanceReport]]:
        """Yield the placers whose last report is younger than an age, with that report."""
        for name, each in self._reports.items():
            if now_us - each.received_us < max_age_us:
                yield name, each.report

    def recent(self, now_us: int) -> Iterator[MaintenanceReport]:
        """Return the reports of the placers in reach."""
        return (report for _, report in self.received_within(now_us, self._max_age_us))

    def placers_in_reach(self, now_us: int, region: str) -> list[str]:
        """Return the placers of a region that are in reach."""
        return [
            name
            for name, report in self.received_within(now_us, self._max_age_us)
            if report.region == region
        ]

    def views_in_reach(self, now_us: int) -> Mapping[str, RegionView]:
        """Return the views of the regions in reach."""
        return {
            region: each.view
            for region, each in self._views.items()
            if now_us - each.received_us < self._max_age_us
        }

    def is_unlisted(self, now_us: int, region: str, number: int) -> bool:
        """Whether the region's reporter is in reach and reports that its list does not contain a slot's machine."""
        held = self._views.get(region)
        if held is None or now_us - held.received_us >= self._max_age_us:
            return False
        report = self.last_report(held.reporter)
        return report is not None and number in report.gone

    def task_counts(self, now_us: int, region: str, number: int) -> list[int | None]:
        """Return the counts of own tasks at a slot's machine of a region's placers in reach; None: not counted yet."""
        counts: list[int | None] = []
        for name in self.placers_in_reach(now_us, region):
            report = self._reports[name].report
            counts.append(dict(report.tasks).get(number))
        return counts

    def place_of(self, now_us: int, number: int) -> tuple[str, str, str] | None:
        """Return region, zone and cell of a slot's machine by the first list that contains it; None without one."""
        for report in self.recent(now_us):
            for listed, zone, cell in report.places:
                if listed == number:
                    return report.region, zone, cell
        return None


def rendezvous_weight(subject: str, placer: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar 1998): a subject is assigned to the placer of the greatest weight."""
    return hashlib.blake2b(f"{subject}/{placer}".encode(), digest_size=8).digest()
