"""This placer's report on its own region: capacity by its list, and recent demand with its rejected part."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.decide.regions.reports import RegionReport
from wingbarrow.interface import Phase

DEMAND_WINDOW_US = 10_000_000
REPORT_INTERVAL_US = 500_000  # between summaries of the list
REJECTED_COUNTERS = "turned_away"


class LocalRegion:
    """Builds the report that goes with requests to other regions; `leased` sums what is leased here by spec."""

    def __init__(self, context: CoreContext, jobs: JobStore, fleet: Fleet) -> None:
        self._context = context
        self._jobs = jobs
        self._fleet = fleet
        # Time, tasks and rejections in all until then, what of that was refused.
        self._samples: deque[tuple[int, int, int]] = deque()
        self._last_report: RegionReport | None = None
        self._reported_us = -REPORT_INTERVAL_US
        self.leased: Callable[[], tuple[tuple[str, float, float], ...]] = tuple

    def report(self, now_us: int) -> RegionReport | None:
        """The report, at most half a second old; None without a region, machines, or a list of them."""
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
        """Where this placer holds a subset of the machines, its capacity is scaled up to the region's."""
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
            self.leased(),
        )

    def _recent_demand(self, now_us: int) -> tuple[int, int]:
        """Tasks answered or rejected in the window, and those of them refused or rejected."""
        rejected = sum(
            count
            for name, count in self._context.counts.items()
            if name.startswith(REJECTED_COUNTERS)
        )
        answers = self._jobs.answers
        demanded = answers.total() + rejected
        refused = answers[State.REFUSED] + rejected
        self._samples.append((now_us, demanded, refused))
        while len(self._samples) > 1 and self._samples[1][0] <= now_us - DEMAND_WINDOW_US:
            self._samples.popleft()
        _, demanded_before, refused_before = self._samples[0]
        return demanded - demanded_before, refused - refused_before
