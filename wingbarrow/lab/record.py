"""The recording taken at the simulated servers' sockets; the auditor reads only this and the settings."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Record:
    """Something that crossed a socket or happened to a simulated server: time (microseconds), where, kind, fields."""

    at_us: int
    where: str
    what: str
    data: dict[str, Any]


class Recorder:
    """Keeps up to `max_records` records in order; `full` is set once one was dropped."""

    def __init__(self, now_us: Callable[[], int], max_records: int = 5_000_000) -> None:
        self._now_us = now_us
        self._max_records = max_records
        self.records: list[Record] = []
        self.full = False

    def __call__(self, where: str, what: str, **data: Any) -> None:
        """Add a record with the present time."""
        if len(self.records) >= self._max_records:
            self.full = True
            return
        self.records.append(Record(self._now_us(), where, what, data))

    @staticmethod
    def read(path: Path) -> list[Record]:
        """Read a file that `write` wrote."""
        with open(path, encoding="utf-8") as file:
            return [
                Record(value.pop("at_us"), value.pop("where"), value.pop("what"), value)
                for value in map(json.loads, file)
            ]

    def limit(self, max_records: int) -> None:
        """Change the maximum number of records."""
        self._max_records = max_records

    def write(self, path: Path) -> None:
        """Write the records as one JSON object per line."""
        with open(path, "w", encoding="utf-8") as file:
            for each in self.records:
                line = {"at_us": each.at_us, "where": each.where, "what": each.what, **each.data}
                file.write(json.dumps(line) + "\n")
