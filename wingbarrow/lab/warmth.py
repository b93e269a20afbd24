"""Warm-up of a simulated machine after a cold launch, and how many offers it survives meanwhile."""

from __future__ import annotations

from collections import deque

from wingbarrow.lab.build import SECOND, Build


class Warmth:
    """Warm-up of one launch; `launched_us` is 0 for a machine that is warm already."""

    def __init__(self, build: Build, launched_us: int) -> None:
        self._build, self._launched_us = build, launched_us
        self._offers: deque[int] = deque()

    def start_rate_fraction(self, now_us: int) -> float:
        """The fraction of its full rate at which it starts tasks, rising linearly to 1 over `cold_us`."""
        if not self._launched_us:
            return 1.0
        progress = min(1.0, (now_us - self._launched_us) / self._build.cold_us)
        return self._build.cold_from + (1 - self._build.cold_from) * progress

    def count_offer(self, now_us: int) -> int | None:
        """Count an offer; returns the number within the window if it exceeds what the machine survives, else None."""
        build = self._build
        if not self._launched_us or now_us >= self._launched_us + build.cold_us:
            return None
        self._offers.append(now_us)
        while self._offers[0] <= now_us - build.fall_us:
            self._offers.popleft()
        rate = (
            build.slots * SECOND / build.start_us / build.setup * self.start_rate_fraction(now_us)
        )
        max_offers = max(build.fresh_offers, build.fall_multiple * rate * build.fall_us / SECOND)
        return len(self._offers) if len(self._offers) > max_offers else None
