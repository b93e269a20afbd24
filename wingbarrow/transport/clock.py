"""The hub's clock: real time, or virtual time that jumps to the next timer when nothing is ready."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic microseconds for decisions and timers, wall-clock microseconds for display and timestamps."""

    virtual: bool

    def now_us(self) -> int:
        """Monotonic microseconds since an arbitrary origin."""

    def wall_us(self) -> int:
        """Microseconds since 1970 in UTC."""

    def jump(self, to_us: int) -> None:
        """Advance a virtual clock to a monotonic time; a real clock ignores the call."""


class RealClock:
    """The clocks of the operating system."""

    virtual = False

    def now_us(self) -> int:
        """Microseconds of the monotonic clock."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Microseconds since 1970 in UTC."""
        return time.time_ns() // 1000

    def jump(self, to_us: int) -> None:
        """Do nothing: real time cannot be advanced."""


class VirtualClock:
    """Time that stops while tasks are ready, and jumps to the next timer when none is."""

    virtual = True

    def __init__(self, start_us: int = 1_000_000_000, wall_us: int = 1_780_000_000_000_000) -> None:
        self._now = start_us
        self._wall = wall_us - start_us

    def now_us(self) -> int:
        """Virtual monotonic microseconds, `start_us` at first."""
        return self._now

    def wall_us(self) -> int:
        """Virtual microseconds since 1970 in UTC, counted from the fixed `wall_us` of the constructor."""
        return self._wall + self._now

    def jump(self, to_us: int) -> None:
        """Advance to a monotonic time; an earlier one is ignored."""
        self._now = max(self._now, to_us)
