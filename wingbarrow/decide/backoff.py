"""Exponential backoff with a bound and jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays that double from `initial_us` up to `max_us`; jitter draws each from its upper half."""

    def __init__(
        self, rng: random.Random, initial_us: int = 100_000, max_us: int = 10_000_000
    ) -> None:
        self._rng = rng
        self._initial_us, self._max_us = initial_us, max_us
        self.failures = 0

    def next_delay_us(self) -> int:
        """Count one more failure and return the delay before the next attempt."""
        delay = min(self._max_us, self._initial_us << min(self.failures, 20))
        self.failures += 1
        return delay // 2 + self._rng.randrange(delay // 2 + 1)

    def reset(self) -> None:
        """Start again from the initial delay, after a success."""
        self.failures = 0
