"""The leader's outlier detection over the health reports of all placers, with a panic threshold.

As outlier ejection in load balancers (a bound on the ejected part, ejection times that double and expire), but with
many observers: several reporters are required, and a reporter that finds too many machines faulty does not count.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from wingbarrow.decide.outliers.ejections import MAX_EJECTIONS_PER_GRANT, Ejection
from wingbarrow.decide.outliers.health import (
    MAX_REPORTS_PER_REQUEST,
    HealthReport,
    HealthSummary,
    OutlierSettings,
    is_outlier,
)

MIN_REPORTING_REGIONS = 2  # if placers of more than one region report


@dataclass(slots=True)
class Reporter:
    """The last reports of one placer."""

    received_us: int
    region: str
    outliers: int
    tried: int
    reports: dict[str, HealthReport]  # by machine


@dataclass(slots=True)
class EjectionRecord:
    """An ejection, in force until `end_reason` is set; afterwards it is kept to double the time of the next one."""

    start_us: int
    until_us: int
    doublings: int
    reporters: tuple[str, ...]
    end_reason: str = ""
    prober: str = ""  # the placer that probes the machine, as of the last evaluation


@dataclass(slots=True)
class OutlierDetector:
    """The leader's reports and ejections; a new leader starts with none, and has all reports within a second."""

    settings: OutlierSettings = OutlierSettings()
    reporters: dict[str, Reporter] = field(default_factory=dict)
    ejections: dict[str, EjectionRecord] = field(default_factory=dict)
    not_ejected: dict[str, str] = field(default_factory=dict)  # reason by outlier

    def on_report(self, now_us: int, placer: str, region: str, summary: HealthSummary) -> None:
        """Replace the reports of a placer."""
        reports = summary.reports[:MAX_REPORTS_PER_REQUEST]
        self.reporters[placer] = Reporter(
            now_us,
            region,
            summary.outliers,
            summary.tried,
            {each.machine: each for each in reports},
        )

    def evaluate(self, now_us: int, zones: Mapping[str, str]) -> None:
        """End expired ejections and eject outliers; `zones` has the zone of each machine in the endpoint list."""
        self.reporters = {
            name: each
            for name, each in self.reporters.items()
            if now_us - each.received_us <= self.settings.window_us
        }
        for machine, record in list(self.ejections.items()):
            record.prober = "" if record.end_reason else self._prober(now_us, machine, record)
            self._end_or_forget(now_us, machine, record, zones)
        self.not_ejected = {}
        outliers = self._reporters_by_outlier(zones)
        for machine, names in sorted(outliers.items(), key=lambda pair: (-len(pair[1]), pair[0])):
            if self._is_ejected(machine):
                continue
            reason = self._reason_against(machine, names, zones)
            if reason:
                self.not_ejected[machine] = reason
            else:
                self._eject(now_us, machine, names)

    def active(self, now_us: int) -> tuple[Ejection, ...]:
        """The ejections in force, at most `MAX_EJECTIONS_PER_GRANT`, to send in a grant."""
        active = [
            Ejection(machine, each.until_us - now_us, now_us - each.start_us, each.prober)
            for machine, each in sorted(self.ejections.items())
            if not each.end_reason
        ]
        return tuple(active[:MAX_EJECTIONS_PER_GRANT])

    def _reporters_by_outlier(self, zones: Mapping[str, str]) -> dict[str, list[str]]:
        reporters: dict[str, list[str]] = {}
        for name, reporter in sorted(self.reporters.items()):
            if self._is_faulty(reporter):
                continue
            for report in reporter.reports.values():
                if is_outlier(report, self.settings) and report.machine in zones:
                    reporters.setdefault(report.machine, []).append(name)
        return reporters

    def _is_faulty(self, reporter: Reporter) -> bool:
        """Whether the reporter itself is likely at fault, as too many of its machines are outliers to it."""
        allowed = self.settings.faulty_reporter_ratio * reporter.tried
        return reporter.outliers > 1 and reporter.outliers > allowed

    def _is_ejected(self, machine: str) -> bool:
        record = self.ejections.get(machine)
        return record is not None and not record.end_reason

    def _end_or_forget(
        self, now_us: int, machine: str, record: EjectionRecord, zones: Mapping[str, str]
    ) -> None:
        if record.end_reason:
            if now_us - record.until_us > self.settings.forget_after_us:
                del self.ejections[machine]
            return
        if machine not in zones:
            record.end_reason = "it left the list"
        elif now_us >= record.until_us:
            record.end_reason = "its time is over"
        elif self._is_healthy_to_prober(machine, record):
            record.end_reason = "whoever tried it found it well"
            record.until_us = now_us

    def _is_healthy_to_prober(self, machine: str, record: EjectionRecord) -> bool:
        prober = self.reporters.get(record.prober)
        report = prober.reports.get(machine) if prober is not None else None
        if report is None:
            return False
        return report.tried > report.failed and not is_outlier(report, self.settings)

    def _reason_against(self, machine: str, names: list[str], zones: Mapping[str, str]) -> str:
        """Why an outlier to these reporters is not ejected; "" if it is. The API shows the texts."""
        settings = self.settings
        if len(names) < settings.min_reporters:
            return f"{len(names)} witness(es), {settings.min_reporters} are wanted"
        failed = sum(self.reporters[name].reports[machine].failed for name in names)
        if failed < settings.min_failures:
            return f"{failed} failed start(s) by all witnesses, {settings.min_failures} are wanted"
        regions = {each.region for each in self.reporters.values()}
        reporting_regions = {self.reporters[name].region for name in names}
        if len(regions) > 1 and len(reporting_regions) < MIN_REPORTING_REGIONS:
            return "all witnesses are of one region"
        return self._panic_reason(zones[machine], zones)

    def _panic_reason(self, zone: str, zones: Mapping[str, str]) -> str:
        """Why one more ejection in a zone would exceed the panic threshold of fleet or zone; "" if it would not."""
        settings = self.settings
        ejected = [each for each in self.ejections if self._is_ejected(each)]
        if len(ejected) + 1 > settings.max_fleet_ratio * len(zones):
            return (
                f"{len(ejected)} machines are closed, "
                f"{settings.max_fleet_ratio:.0%} of the fleet may be"
            )
        in_zone = sum(each == zone for each in zones.values())
        ejected_in_zone = sum(zones.get(each) == zone for each in ejected)
        if ejected_in_zone + 1 > settings.max_zone_ratio * in_zone:
            return f"{settings.max_zone_ratio:.0%} of zone {zone} may be closed"
        return ""

    def _eject(self, now_us: int, machine: str, names: list[str]) -> None:
        last = self.ejections.get(machine)
        doublings = 0
        if last is not None:
            doublings = min(last.doublings + 1, self.settings.max_doublings)
        until_us = now_us + (self.settings.base_ejection_us << doublings)
        self.ejections[machine] = EjectionRecord(now_us, until_us, doublings, tuple(names))

    def _prober(self, now_us: int, machine: str, record: EjectionRecord) -> str:
        """The placer that probes an ejected machine, by rendezvous hashing; "" before `probe_after_us`."""
        if now_us < record.start_us + self.settings.probe_after_us:
            return ""
        candidates = [name for name, each in self.reporters.items() if not self._is_faulty(each)]
        return max(
            candidates,
            key=lambda name: hashlib.blake2b(f"{machine}/{name}".encode(), digest_size=8).digest(),
            default="",
        )
