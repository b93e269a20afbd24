"""Warnings that are logged once each, for faults that repeat with every message."""

from __future__ import annotations

from collections import deque

from wingbarrow.core.placer_runtime import PlacerRuntime

MAX_REMEMBERED_TEXTS = 64


class OnceLog:
    """Logs a warning unless the same text is among the last MAX_REMEMBERED_TEXTS."""

    def __init__(self, runtime: PlacerRuntime) -> None:
        self._runtime = runtime
        self._texts: deque[str] = deque(maxlen=MAX_REMEMBERED_TEXTS)

    def warn(self, what: str, why: str) -> None:
        """Log the event `what` with its reason, if this is the first time."""
        text = f"{what} {why}"
        if text not in self._texts:
            self._texts.append(text)
            self._runtime.log(what, level="warning", why=why)


__all__ = ["OnceLog"]
