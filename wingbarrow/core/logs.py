"""JSON log lines by structlog, with a rate limit for each event."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from wingbarrow.core.stdlib_log import LogRateLimiter


class Log:
    """`log("offer-refused", machine=..., request=...)` writes a JSON line, unless the event's rate limit drops it."""

    def __init__(self, now_us: Callable[[], int], sink: TextIO | None = None, **bound: Any) -> None:
        self._rate_limiter = LogRateLimiter(now_us)
        self._out = structlog.wrap_logger(
            structlog.PrintLogger(sink or sys.stderr),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(),
            ],
            **bound,
        )

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one line, unless the rate limit drops it. Field `left_out` counts the lines that it dropped before."""
        left_out = self._rate_limiter.admit(event)
        if left_out is not None:
            if left_out:
                fields["left_out"] = left_out
            getattr(self._out, level)(event, **fields)


def silent(event: str, level: str = "info", **fields: Any) -> None:
    """A log that writes nothing, for tests."""
