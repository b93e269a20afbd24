"""This placer's load report of its own region: capacity by the machine list, recent demand and refusals."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.decide.regions.reports import RegionReport
from wingbarrow.interface import Phase

DEMAND_WINDOW_US = 10_000_000  # over which demand is summed
REPORT_INTERVAL_US = 500_000  # between summaries of the machine list
REJECTED_COUNTER_PREFIX = "turned_away"


class LocalRegion:
    """Builds the report that is sent with requests to other regions.

    `leased_by_spec` returns the capacity that is leased in this region: per federation spec its name, cores and GiB.
    """

    def __init__(self, context: CoreContext, jobs: JobStore, fleet: Fleet) -> None:
        self._context = context
        self._jobs = jobs
        self._fleet = fleet
        # Time, total of tasks answered or rejected until then, total of those refused or rejected.
        self._samples: deque[tuple[int, int, int]] = deque()
        self._last_report: RegionReport | None = None
        self._reported_us = -REPORT_INTERVAL_US
        self.leased_by_spec: Callable[[], tuple[tuple[str, float, float], ...]] = tuple

    def report(self, now_us: int) -> RegionReport | None:
        """The report, at most REPORT_INTERVAL_US old; None without a region, machines, or a list of them."""
        settings = self._context.settings
        if (
            not settings.region
            or not settings.machines
            or not self._fleet.ready
            or not self._fleet.held_fraction
        ):
            return None
        if now_us - self._reported_us >= REPORT_INTERVAL_US:
            self._last_report = self._summarise(now_us)
            self._reported_us = now_us
        return self._last_report

    def _summarise(self, now_us: int) -> RegionReport:
        """Build a report, where the capacity of a subset of the machines is scaled up to that of the region."""
        scheduler, sizes = self._context.settings.scheduler, self._context.sizes
        capacity = [0.0, 0.0]
        free = [0.0, 0.0]
        machines = 0
        for entry in self._fleet.held.values():
            if entry.listed.phase is not Phase.RUNNING:
                continue
            cores, memory = sizes.get(entry.listed.kind, (0.0, 0.0))
            capacity[0] += cores * scheduler.booking_cores
            capacity[1] += memory * scheduler.booking_memory
            free[0] += max(0.0, entry.listed.free_cores)
            free[1] += max(0.0, entry.listed.free_memory)
            machines += 1
        fraction = self._fleet.held_fraction
        capacity = [each / fraction for each in capacity]
        free = [each / fraction for each in free]
        machines = round(machines / fraction)
        demanded, refused = self._recent_demand(now_us)
        return RegionReport(
            self._context.settings.region,
            round(capacity[0], 3),
            round(capacity[1], 3),
            round(free[0], 3),
            round(free[1], 3),
            capacity[0] <= 0,
            demanded,
            refused,
            machines,
            self.leased_by_spec(),
        )

    def _recent_demand(self, now_us: int) -> tuple[int, int]:
        """Numbers of tasks answered or rejected in DEMAND_WINDOW_US, and of those refused or rejected."""
        rejected = sum(
            count
            for name, count in self._context.counts.items()
            if name.startswith(REJECTED_COUNTER_PREFIX)
        )
        answers = self._jobs.answers
        demanded = answers.total() + rejected
        refused = answers[State.REFUSED] + rejected
        self._samples.append((now_us, demanded, refused))
        while len(self._samples) > 1 and self._samples[1][0] <= now_us - DEMAND_WINDOW_US:
            self._samples.popleft()
        _, demanded_before, refused_before = self._samples[0]
        return demanded - demanded_before, refused - refused_before
