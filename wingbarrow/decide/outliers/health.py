"""Passive health checks: a placer records the outcomes of its starts by machine, and reports them to the leader."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_REPORTS_PER_REQUEST = 32
MAX_OUTCOMES_PER_MACHINE = 64
STALL_US = 2 * SECOND_US  # between two reports; a longer time means that the placer stalled


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """When a machine is ejected, and for how long; times in microseconds, ratios from 0 to 1."""

    window_us: int = 10 * SECOND_US  # older outcomes and reports do not count
    min_failures: int = 3  # by all reporters together
    failure_ratio: float = 0.5  # failed part of one reporter's attempts at the machine
    min_reporters: int = 2
    # A reporter to which a larger part of its machines are outliers does not count.
    faulty_reporter_ratio: float = 0.3
    max_fleet_ratio: float = 0.2  # ejected part of the fleet (panic threshold)
    max_zone_ratio: float = 0.34  # ejected part of each zone
    base_ejection_us: int = 10 * SECOND_US
    max_doublings: int = 4  # of the base time, one for each earlier ejection
    probe_after_us: int = 3 * SECOND_US  # from then on one placer probes the machine
    forget_after_us: int = 120 * SECOND_US  # an ended ejection, and its doublings with it


@dataclass(frozen=True, slots=True)
class HealthReport:
    """The outcomes of one placer at one machine within the window; fields are wire names."""

    machine: str
    failed: int
    tried: int


def is_outlier(report: HealthReport, settings: OutlierSettings) -> bool:
    """Whether a machine is an outlier to one reporter."""
    return report.failed > 0 and report.failed >= settings.failure_ratio * report.tried


@dataclass(frozen=True, slots=True)
class HealthSummary:
    """What one placer reports: of `tried` machines, `outliers` are outliers to it; `reports` may omit some."""

    reports: tuple[HealthReport, ...] = ()
    outliers: int = 0
    tried: int = 0


@dataclass(frozen=True, slots=True)
class _Outcome:
    recorded_us: int
    succeeded: bool


class HealthObserver:
    """The outcomes of one placer by machine; a stall of the placer clears them, as all machines seemed late in it."""

    def __init__(self, settings: OutlierSettings = OutlierSettings()) -> None:
        self.settings = settings
        self._outcomes: dict[str, deque[_Outcome]] = {}
        self._last_report_us: int | None = None

    def record(self, now_us: int, machine: str, succeeded: bool) -> None:
        """Record a start that succeeded, or that failed through a fault of the machine."""
        outcomes = self._outcomes.setdefault(machine, deque(maxlen=MAX_OUTCOMES_PER_MACHINE))
        outcomes.append(_Outcome(now_us, succeeded))

    def report(self, now_us: int, probed_here: Container[str] = ()) -> HealthSummary:
        """The outcomes within the window, of at most `MAX_REPORTS_PER_REQUEST` machines.

        Machines in `probed_here`, which this placer probes, come first, then those with most failures. A call more than
        `STALL_US` after the last one counts as a stall, which clears all outcomes.
        """
        if self._last_report_us is not None and now_us - self._last_report_us > STALL_US:
            self._outcomes.clear()
        self._last_report_us = now_us
        reports: list[HealthReport] = []
        for machine, outcomes in list(self._outcomes.items()):
            while outcomes and outcomes[0].recorded_us <= now_us - self.settings.window_us:
                outcomes.popleft()
            if not outcomes:
                del self._outcomes[machine]
                continue
            failed = sum(not each.succeeded for each in outcomes)
            reports.append(HealthReport(machine, failed, len(outcomes)))
        outliers = sum(is_outlier(each, self.settings) for each in reports)
        # Danger: without this order, many other machines could displace the report that ends an ejection.
        reports.sort(key=lambda each: (each.machine not in probed_here, -each.failed, each.machine))
        return HealthSummary(tuple(reports[:MAX_REPORTS_PER_REQUEST]), outliers, len(reports))
