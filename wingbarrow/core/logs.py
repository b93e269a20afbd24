"""JSON log lines by structlog, rationed: a flood of one kind is counted, not written."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

BURST = 20
SPAN_US = 10_000_000
KINDS_MOST = 512


class Ration:
    """At most BURST lines of a kind in a span; the next span's first line tells how many were left out."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self._kinds: dict[str, tuple[int, int]] = {}  # start of the span, lines in it

    def admit(self, kind: str) -> int | None:
        """How many lines were left out before this one; None where this one is left out too."""
        now = self._now_us()
        start, count = self._kinds.get(kind, (now, 0))
        left_out = 0
        if now - start >= SPAN_US:
            left_out, start, count = max(0, count - BURST), now, 0
        if kind not in self._kinds and len(self._kinds) >= KINDS_MOST:
            del self._kinds[next(iter(self._kinds))]
        self._kinds[kind] = (start, count + 1)
        return None if count >= BURST else left_out


class Log:
    """`log("offer-refused", machine=..., request=...)` writes a line unless its kind is over its ration."""

    def __init__(self, now_us: Callable[[], int], sink: TextIO | None = None, **bound: Any) -> None:
        self._ration = Ration(now_us)
        self._out = structlog.wrap_logger(
            structlog.PrintLogger(sink or sys.stderr),
            processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                        structlog.processors.JSONRenderer()], **bound)

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one line."""
        left_out = self._ration.admit(event)
        if left_out is not None:
            if left_out:
                fields["left_out"] = left_out
            getattr(self._out, level)(event, **fields)


def silent(event: str, level: str = "info", **fields: Any) -> None:
    """A log that writes nothing, for tests."""
