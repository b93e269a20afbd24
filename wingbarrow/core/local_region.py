"""What this placer says of its own region: room by its list, and how much of what came lately it turned away."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.decide.regions.reports import RegionReport
from wingbarrow.interface import Phase

DEMAND_WINDOW_US = 10_000_000
REPORT_INTERVAL_US = 500_000  # the list is summed up no more often
REJECTED_COUNTERS = "turned_away"


class LocalRegion:
    """Sums, as of the last look."""

    def __init__(self, base: Base, book: JobStore, fleet: Fleet) -> None:
        self._base, self._jobs, self._fleet = base, book, fleet
        self._samples: deque[tuple[int, int, int]] = (
            deque()
        )  # when, what came in all, what of it was refused
        self._last_report: RegionReport | None = None
        self._reported_us = -REPORT_INTERVAL_US
        self.leased: Callable[[], tuple[tuple[str, float, float], ...]] = tuple

    def report(self, now_us: int) -> RegionReport | None:
        """With an ask; None without a region, machines, or a list of them."""
        settings = self._base.settings
        if (
            not settings.region
            or not settings.machines
            or not self._fleet.ready
            or not self._fleet.held_fraction
        ):
            return None
        if now_us - self._reported_us >= REPORT_INTERVAL_US:
            self._reported_us, self._last_report = now_us, self._summarise(now_us)
        return self._last_report

    def _summarise(self, now_us: int) -> RegionReport:
        """Where this placer holds a part of the machines, what that part has stands for the whole."""
        scheduler, sizes = self._base.settings.scheduler, self._base.sizes
        whole, machines = [0.0, 0.0], 0
        free = [0.0, 0.0]
        for entry in self._fleet.held.values():
            if entry.listed.phase is not Phase.RUNNING:
                continue
            cores, memory = sizes.get(entry.listed.kind, (0.0, 0.0))
            whole[0] += cores * scheduler.booking_cores
            whole[1] += memory * scheduler.booking_memory
            free[0] += max(0.0, entry.listed.free_cores)
            free[1] += max(0.0, entry.listed.free_memory)
            machines += 1
        part = self._fleet.held_fraction
        whole, free = [each / part for each in whole], [each / part for each in free]
        machines = round(machines / part)
        came, refused = self._recent_demand(now_us)
        return RegionReport(
            self._base.settings.region,
            round(whole[0], 3),
            round(whole[1], 3),
            round(free[0], 3),
            round(free[1], 3),
            whole[0] <= 0,
            came,
            refused,
            machines,
            self.leased(),
        )

    def _recent_demand(self, now_us: int) -> tuple[int, int]:
        away = sum(
            count for what, count in self._base.counts.items() if what.startswith(REJECTED_COUNTERS)
        )
        answers = self._jobs.answers
        came, refused = answers.total() + away, answers[State.REFUSED] + away
        self._samples.append((now_us, came, refused))
        while len(self._samples) > 1 and self._samples[1][0] <= now_us - DEMAND_WINDOW_US:
            self._samples.popleft()
        _, came_then, refused_then = self._samples[0]
        return came - came_then, refused - refused_then
