"""Pauses between repeated calls to something that fails: doubling, bounded, spread by a seed."""

from __future__ import annotations

import random


class Backoff:
    """Pauses from `first_us` doubling to `most_us`, each spread over its upper half."""

    def __init__(
        self, seed: random.Random, first_us: int = 100_000, most_us: int = 10_000_000
    ) -> None:
        self._seed = seed
        self._first, self._most = first_us, most_us
        self.failures = 0

    def next_us(self) -> int:
        """The pause after one more failure."""
        pause = min(self._most, self._first << min(self.failures, 20))
        self.failures += 1
        return pause // 2 + self._seed.randrange(pause // 2 + 1)

    def clear(self) -> None:
        """A call went well."""
        self.failures = 0
