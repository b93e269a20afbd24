"""A placer's history: what it did and learned, a JSON object a line, for judges that come later.

Times are the host's monotonic microseconds, the same for all processes of one machine. Past its bound the file ends
with a line that says so; a disk that cannot be written ends it too, and the placer goes on.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

BYTES_MOST = 64 << 20


class History:
    """Appends to a file; without a path it does nothing."""

    def __init__(
        self,
        path: str | None,
        now_us: Callable[[], int],
        log: Callable[..., None],
        most: int = BYTES_MOST,
    ) -> None:
        self._now_us, self._log, self._most = now_us, log, most
        self._written = 0
        self._file = None
        if path is not None:
            try:
                self._file = Path(path).open("ab", buffering=0)  # noqa: SIM115 - open for the whole life
            except OSError as error:
                log("history-open-failed", level="error", file=path, why=error.strerror)

    def __call__(self, what: str, **fields: Any) -> None:
        """Add a line of now."""
        if self._file is None:
            return
        line = (
            json.dumps({"at_us": self._now_us(), "what": what, **fields}, default=str).encode()
            + b"\n"
        )
        full = self._written + len(line) > self._most
        try:
            # One write a line: a process that is killed leaves whole lines, and at most one torn one at the end.
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
        """End the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
