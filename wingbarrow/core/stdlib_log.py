"""Rationed log lines: a flood of one kind is counted, not written; and a writer that needs no library."""

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
    """At most BURST lines of a kind in a span; the next span's first line tells how many were left out."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self._windows: dict[str, tuple[int, int]] = {}  # start of the span, lines in it

    def admit(self, kind: str) -> int | None:
        """How many lines were left out before this one; None where this one is left out too."""
        now = self._now_us()
        start, count = self._windows.get(kind, (now, 0))
        left_out = 0
        if now - start >= RATE_WINDOW_US:
            left_out, start, count = max(0, count - MAX_LINES_PER_WINDOW), now, 0
        if kind not in self._windows and len(self._windows) >= MAX_EVENTS:
            del self._windows[next(iter(self._windows))]
        self._windows[kind] = (start, count + 1)
        return None if count >= MAX_LINES_PER_WINDOW else left_out


class StdlibLog:
    """`log("offer-refused", machine=...)` writes a JSON line, as `core.logs.Log` does, at a fraction of the memory."""

    def __init__(
        self, now_us: Callable[[], int], sink: TextIO | None = None, least: str = "info"
    ) -> None:
        self._rate_limiter = LogRateLimiter(now_us)
        self._sink = sink or sys.stderr
        self._quiet = ("debug",) if least == "info" else ()

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one line."""
        left_out = None if level in self._quiet else self._rate_limiter.admit(event)
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        self.write(event, level, fields)

    def write(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Write a line whatever the ration says; the caller bounds how many."""
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
            pass  # nobody reads the log: no reason to stop placing
