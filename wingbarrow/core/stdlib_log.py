"""Rate limit for log lines, by event, and a JSON log that uses the standard library alone."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

MAX_LINES_PER_WINDOW = 20
RATE_WINDOW_US = 10_000_000
MAX_EVENTS = 512


class LogRateLimiter:
    """Admits at most MAX_LINES_PER_WINDOW lines of an event in a window, and counts the lines that it drops."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self._windows: dict[str, tuple[int, int]] = {}  # by event: start of the window, lines in it

    def admit(self, event: str) -> int | None:
        """Count a line. None drops it; otherwise the number of lines that were dropped in the window before.

        That number is other than 0 only for the first line of a window.
        """
        now = self._now_us()
        start, count = self._windows.get(event, (now, 0))
        left_out = 0
        if now - start >= RATE_WINDOW_US:
            left_out, start, count = max(0, count - MAX_LINES_PER_WINDOW), now, 0
        if event not in self._windows and len(self._windows) >= MAX_EVENTS:
            del self._windows[next(iter(self._windows))]
        self._windows[event] = (start, count + 1)
        return None if count >= MAX_LINES_PER_WINDOW else left_out


class StdlibLog:
    """`log("offer-refused", machine=...)` writes a JSON line as `core.logs.Log` does, and needs far less memory.

    `min_level` is "debug" or "info", the lowest level that is written.
    """

    def __init__(
        self, now_us: Callable[[], int], sink: TextIO | None = None, min_level: str = "info"
    ) -> None:
        self._rate_limiter = LogRateLimiter(now_us)
        self._sink = sink or sys.stderr
        self._suppressed_levels = ("debug",) if min_level == "info" else ()

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one line, unless its level is too low or the rate limit drops it."""
        left_out = None if level in self._suppressed_levels else self._rate_limiter.admit(event)
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        self.write(event, level, fields)

    def write(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Write a line without the rate limit; the caller bounds the number of lines."""
        now = time.time()
        stamp = (
            time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1000):03d}Z"
        )
        line = json.dumps(
            {"event": event, "level": level, "timestamp": stamp, **fields}, default=str
        )
        try:
            self._sink.write(line + "\n")
            self._sink.flush()
        except (OSError, ValueError):
            pass  # a log that cannot be written must not stop the placer
