"""What this placer says of its own region: room by its list, and how much of what came lately it turned away."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.decide.regions.reports import RegionReport
from wingbarrow.interface import Phase

LATELY_US = 10_000_000
EVERY_US = 500_000  # the list is summed up no more often
TURNED_AWAY = "turned_away"


class OwnRegion:
    """Sums, as of the last look."""

    def __init__(self, base: Base, book: JobStore, fleet: Fleet) -> None:
        self._base, self._book, self._fleet = base, book, fleet
        self._seen: deque[tuple[int, int, int]] = (
            deque()
        )  # when, what came in all, what of it was refused
        self._said: RegionReport | None = None
        self._at_us = -EVERY_US
        self.leased: Callable[[], tuple[tuple[str, float, float], ...]] = tuple

    def say(self, now_us: int) -> RegionReport | None:
        """With an ask; None without a region, machines, or a list of them."""
        settings = self._base.settings
        if (
            not settings.region
            or not settings.machines
            or not self._fleet.ready
            or not self._fleet.part
        ):
            return None
        if now_us - self._at_us >= EVERY_US:
            self._at_us, self._said = now_us, self._sum(now_us)
        return self._said

    def _sum(self, now_us: int) -> RegionReport:
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
        part = self._fleet.part
        whole, free = [each / part for each in whole], [each / part for each in free]
        machines = round(machines / part)
        came, refused = self._lately(now_us)
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

    def _lately(self, now_us: int) -> tuple[int, int]:
        away = sum(
            count for what, count in self._base.counts.items() if what.startswith(TURNED_AWAY)
        )
        answers = self._book.answers
        came, refused = answers.total() + away, answers[State.REFUSED] + away
        self._seen.append((now_us, came, refused))
        while len(self._seen) > 1 and self._seen[1][0] <= now_us - LATELY_US:
            self._seen.popleft()
        _, came_then, refused_then = self._seen[0]
        return came - came_then, refused - refused_then
