"""A trace of tasks by their ids: which connection heard of what, and when. Off unless the environment asks for it.

What becomes of a release between machine and owner cannot be told from counters. `RELAY_TRACE=N` has the first N events
written as log lines `task`, outside the ration of ordinary lines; without it an event costs a call and writes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

ENVIRONMENT_VARIABLE = "RELAY_TRACE"
MAX_EVENTS = 1_000_000


class Trace:
    """Writes at most `lines` events by `write(event, level, fields)`."""

    def __init__(
        self, max_events: int = 0, write: Callable[[str, str, dict[str, Any]], None] | None = None
    ) -> None:
        self._left = min(max_events, MAX_EVENTS) if write is not None else 0
        self._write = write

    @property
    def enabled(self) -> bool:
        """Whether one more event would be written: asked before fields are worked out that cost something."""
        return self._left > 0

    def __call__(self, ident: int, what: str, **fields: Any) -> None:
        """One event of the task with this id on the wire."""
        if not self.enabled or self._write is None:
            return
        self._left -= 1
        self._write("task", "info", {"id": f"{ident:016x}", "what": what, **fields})


def from_environment(
    environment: Mapping[str, str], write: Callable[[str, str, dict[str, Any]], None]
) -> Trace:
    """As the environment asks; what is no number asks for nothing."""
    text = environment.get(ENVIRONMENT_VARIABLE, "")
    return Trace(int(text), write) if text.isascii() and text.isdigit() else Trace()
