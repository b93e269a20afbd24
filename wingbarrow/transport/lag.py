"""How late a process is: the delay of what was due, as a peak that fades.

A stall shows in the first turn after it, a load that is too much shows in every turn; both make answers late, so
both count alike. The peak halves every second.
"""

from __future__ import annotations

HALF_LIFE_US = 1_000_000
COUNTED_LAG_US = 50_000  # a lag from here on is counted


class Lag:
    """Times in microseconds of the hub's clock."""

    __slots__ = ("_at_us", "_peak_us", "late_count", "worst_us")

    def __init__(self) -> None:
        self._peak_us = self._at_us = 0
        self.worst_us = 0
        self.late_count = 0  # lags of 50 ms or more

    def note(self, now_us: int, late_us: int) -> None:
        """Something ran so late; small or negative figures cost next to nothing."""
        if late_us < 1_000:
            return
        if late_us >= COUNTED_LAG_US:
            self.late_count += 1
        if late_us > self.worst_us:
            self.worst_us = late_us
        if late_us >= self.recent_us(now_us):
            self._peak_us, self._at_us = late_us, now_us

    def recent_us(self, now_us: int) -> int:
        """The peak as it has faded by now."""
        if not self._peak_us:
            return 0
        half_lives = (now_us - self._at_us) / HALF_LIFE_US
        if half_lives > 20:
            self._peak_us = 0
            return 0
        return int(self._peak_us * 0.5**half_lives)
