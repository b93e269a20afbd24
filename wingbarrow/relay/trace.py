"""Traces tasks by id: which connection received or sent what, and when. Off unless enabled in the environment.

Counters cannot show what happens to a single release between machine and owner. `RELAY_TRACE=N` writes the first N
events as log lines `task`, which do not count against the log's rate limit; without it an event costs one call.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

ENVIRONMENT_VARIABLE = "RELAY_TRACE"
MAX_EVENTS = 1_000_000


class Trace:
    """Writes up to `max_events` events, and never more than MAX_EVENTS, by `write(event, level, fields)`."""

    def __init__(
        self, max_events: int = 0, write: Callable[[str, str, dict[str, Any]], None] | None = None
    ) -> None:
        self._left = min(max_events, MAX_EVENTS) if write is not None else 0
        self._write = write

    @property
    def enabled(self) -> bool:
        """Whether another event would be written; callers check it before they compute expensive fields."""
        return self._left > 0

    def __call__(self, ident: int, what: str, **fields: Any) -> None:
        """Write an event of the task with this id on the wire; no effect if tracing is off or its limit is reached."""
        if not self.enabled or self._write is None:
            return
        self._left -= 1
        self._write("task", "info", {"id": f"{ident:016x}", "what": what, **fields})


def from_environment(
    environment: Mapping[str, str], write: Callable[[str, str, dict[str, Any]], None]
) -> Trace:
    """The trace that RELAY_TRACE asks for; off if the variable is not a number."""
    text = environment.get(ENVIRONMENT_VARIABLE, "")
    return Trace(int(text), write) if text.isascii() and text.isdigit() else Trace()
