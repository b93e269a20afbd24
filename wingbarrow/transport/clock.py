"""The hub's one clock: real time, or a virtual one that jumps to the next timer when nothing is ready."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic microseconds for decisions and timers, wall microseconds for what people read."""

    virtual: bool

    def now_us(self) -> int:
        """Microseconds that never go backwards; the origin has no meaning."""

    def wall_us(self) -> int:
        """Microseconds since 1970 in UTC."""

    def jump(self, to_us: int) -> None:
        """Move a virtual clock forward to a monotonic time; a real one ignores it."""


class RealClock:
    """The machine's own clocks."""

    virtual = False

    def now_us(self) -> int:
        """Microseconds of the monotonic clock."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Microseconds since 1970 in UTC."""
        return time.time_ns() // 1000

    def jump(self, to_us: int) -> None:
        """Nothing: real time passes by itself."""


class VirtualClock:
    """Time that stands still while there is work and jumps to the next timer when there is none."""

    virtual = True

    def __init__(self, start_us: int = 1_000_000_000, wall_us: int = 1_780_000_000_000_000) -> None:
        self._now = start_us
        self._wall = wall_us - start_us

    def now_us(self) -> int:
        """Microseconds since an origin without meaning."""
        return self._now

    def wall_us(self) -> int:
        """Microseconds since 1970, from a fixed start."""
        return self._wall + self._now

    def jump(self, to_us: int) -> None:
        """Move forward, never backwards."""
        self._now = max(self._now, to_us)
