"""How a stand-in machine that has just come up warms, and what makes it fall over."""

from __future__ import annotations

from collections import deque

from wingbarrow.lab.build import SECOND, Build


class Warmth:
    """One launch; `launched_us` is 0 for a machine that has long been up."""

    def __init__(self, build: Build, launched_us: int) -> None:
        self._build, self._launched_us = build, launched_us
        self._offers: deque[int] = deque()

    def pace(self, now_us: int) -> float:
        """The part of its full pace at which it starts tasks."""
        if not self._launched_us:
            return 1.0
        grown = min(1.0, (now_us - self._launched_us) / self._build.cold_us)
        return self._build.cold_from + (1 - self._build.cold_from) * grown

    def offer(self, now_us: int) -> int | None:
        """An offer has come: how many came within the window, where that is more than the machine bears."""
        build = self._build
        if not self._launched_us or now_us >= self._launched_us + build.cold_us:
            return None
        self._offers.append(now_us)
        while self._offers[0] <= now_us - build.fall_us:
            self._offers.popleft()
        rate = build.slots * SECOND / build.start_us / build.setup * self.pace(now_us)
        most = max(build.fresh_offers, build.fall_multiple * rate * build.fall_us / SECOND)
        return len(self._offers) if len(self._offers) > most else None
