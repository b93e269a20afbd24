"""A placer's history: its actions and the events that it received, as JSON lines for later verification.

Times are microseconds of the host's monotonic clock, which all processes of one machine share. At the size limit, a
last line `full` is written and the file is closed. A write error also closes it; the placer continues without history.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

MAX_FILE_BYTES = 64 << 20


class History:
    """Appends events to a file; does nothing without a path."""

    def __init__(
        self,
        path: str | None,
        now_us: Callable[[], int],
        log: Callable[..., None],
        max_bytes: int = MAX_FILE_BYTES,
    ) -> None:
        self._now_us, self._log, self._max_bytes = now_us, log, max_bytes
        self._written = 0
        self._file = None
        if path is not None:
            try:
                self._file = Path(path).open("ab", buffering=0)  # noqa: SIM115 - open until close()
            except OSError as error:
                log("history-open-failed", level="error", file=path, why=error.strerror)

    def __call__(self, what: str, **fields: Any) -> None:
        """Append an event with the current time."""
        if self._file is None:
            return
        line = (
            json.dumps({"at_us": self._now_us(), "what": what, **fields}, default=str).encode()
            + b"\n"
        )
        full = self._written + len(line) > self._max_bytes
        try:
            # One write per line: a killed process leaves complete lines, and at most one partial line at the end.
            self._file.write(
                json.dumps({"at_us": self._now_us(), "what": "full"}).encode() + b"\n"
                if full
                else line
            )
        except OSError as error:
            self._log("history-write-failed", level="error", why=error.strerror)
            full = True
        self._written += len(line)
        if full:
            self.close()

    def close(self) -> None:
        """Close the file; later events are ignored."""
        if self._file is not None:
            self._file.close()
            self._file = None
