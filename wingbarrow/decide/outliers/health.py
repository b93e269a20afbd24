"""Passive health checks: the outcomes of one placer's starts by machine, as it reports them to the leader."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_REPORTS_PER_REQUEST = 32
MAX_OUTCOMES_PER_MACHINE = 64
STALL_US = 2 * SECOND_US


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """When a machine is ejected, and for how long; times in microseconds, ratios parts of 1."""

    window_us: int = 10 * SECOND_US  # older outcomes and reports do not count
    min_failures: int = 3  # by all reporters together
    failure_ratio: float = 0.5  # of one reporter's attempts at the machine
    min_reporters: int = 2
    faulty_reporter_ratio: float = (
        0.3  # of a reporter's machines being outliers: above, its reports do not count
    )
    max_fleet_ratio: float = 0.2  # ejected at once (panic threshold)
    max_zone_ratio: float = 0.34  # likewise, of each zone
    base_ejection_us: int = 10 * SECOND_US
    max_doublings: int = 4  # of the base time, one for each ejection before
    probe_after_us: int = 3 * SECOND_US  # from then on one placer may try the machine
    forget_after_us: int = 120 * SECOND_US  # since the last ejection, for its doublings


@dataclass(frozen=True, slots=True)
class HealthReport:
    """One placer's outcomes at one machine within the window; fields are wire names."""

    machine: str
    failed: int
    tried: int


def is_outlier(report: HealthReport, settings: OutlierSettings) -> bool:
    """Whether a machine is an outlier to one reporter."""
    return report.failed > 0 and report.failed >= settings.failure_ratio * report.tried


@dataclass(frozen=True, slots=True)
class HealthSummary:
    """What one placer reports: of `tried` machines, `outliers` are outliers to it; `reports` may leave some out."""

    reports: tuple[HealthReport, ...] = ()
    outliers: int = 0
    tried: int = 0


@dataclass(frozen=True, slots=True)
class _Outcome:
    at_us: int
    succeeded: bool


class HealthObserver:
    """One placer's outcomes by machine; a stall of the placer clears them, as all machines looked late then."""

    def __init__(self, settings: OutlierSettings = OutlierSettings()) -> None:
        self.settings = settings
        self._outcomes: dict[str, deque[_Outcome]] = {}
        self._last_report_us: int | None = None

    def record(self, now_us: int, machine: str, succeeded: bool) -> None:
        """Record a start that succeeded, or that failed by the machine's fault."""
        outcomes = self._outcomes.setdefault(machine, deque(maxlen=MAX_OUTCOMES_PER_MACHINE))
        outcomes.append(_Outcome(now_us, succeeded))

    def report(self, now_us: int, probed_here: Container[str] = ()) -> HealthSummary:
        """The outcomes within the window, of at most `MAX_REPORTS_PER_REQUEST` machines.

        Machines in `probed_here`, which this placer tries for all, come first, then those with most failures. More
        than `STALL_US` after the last call it counts as a stall.
        """
        if self._last_report_us is not None and now_us - self._last_report_us > STALL_US:
            self._outcomes.clear()
        self._last_report_us = now_us
        reports: list[HealthReport] = []
        for machine, outcomes in list(self._outcomes.items()):
            while outcomes and outcomes[0].at_us <= now_us - self.settings.window_us:
                outcomes.popleft()
            if not outcomes:
                del self._outcomes[machine]
                continue
            failed = sum(not each.succeeded for each in outcomes)
            reports.append(HealthReport(machine, failed, len(outcomes)))
        outliers = sum(is_outlier(each, self.settings) for each in reports)
        # Danger: among many other machines, the report that ends an ejection would be left out.
        reports.sort(key=lambda each: (each.machine not in probed_here, -each.failed, each.machine))
        return HealthSummary(tuple(reports[:MAX_REPORTS_PER_REQUEST]), outliers, len(reports))
