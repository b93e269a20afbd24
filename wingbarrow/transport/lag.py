"""Event loop lag: how late due timers and polls run, as a peak that decays exponentially.

A stall shows in the first turn after it, overload shows in every turn. Both delay answers, so both count
alike. The peak halves every second.
"""

from __future__ import annotations

HALF_LIFE_US = 1_000_000
COUNTED_LAG_US = 50_000  # lags at or above it are counted in `late_count`


class Lag:
    """The lag of one hub or domain; all times are microseconds of the hub's clock."""

    __slots__ = ("_at_us", "_peak_us", "late_count", "worst_us")

    def __init__(self) -> None:
        self._peak_us = self._at_us = 0
        self.worst_us = 0
        self.late_count = 0  # lags of 50 ms or more

    def note(self, now_us: int, late_us: int) -> None:
        """Record that something ran `late_us` after it was due; below 1 ms, or negative, is ignored."""
        if late_us < 1_000:
            return
        if late_us >= COUNTED_LAG_US:
            self.late_count += 1
        if late_us > self.worst_us:
            self.worst_us = late_us
        if late_us >= self.recent_us(now_us):
            self._peak_us, self._at_us = late_us, now_us

    def recent_us(self, now_us: int) -> int:
        """The peak, decayed by the time since it was recorded; 0 after 20 half-lives."""
        if not self._peak_us:
            return 0
        half_lives = (now_us - self._at_us) / HALF_LIFE_US
        if half_lives > 20:
            self._peak_us = 0
            return 0
        return int(self._peak_us * 0.5**half_lives)
