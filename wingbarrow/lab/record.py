"""The recording taken at the stand-ins' sockets; the auditor reads this and the settings, nothing else."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Record:
    """What crossed a socket, or happened to a stand-in: time (microseconds), where, what, and its figures."""

    at_us: int
    where: str
    what: str
    data: dict[str, Any]


class Recorder:
    """Keeps records in order; `most` bounds them, and `full` tells that some were lost."""

    def __init__(self, now_us: Callable[[], int], most: int = 5_000_000) -> None:
        self._now_us = now_us
        self._most = most
        self.records: list[Record] = []
        self.full = False

    def __call__(self, where: str, what: str, **data: Any) -> None:
        """Add a record of now."""
        if len(self.records) >= self._most:
            self.full = True
            return
        self.records.append(Record(self._now_us(), where, what, data))

    @staticmethod
    def read(path: Path) -> list[Record]:
        """What `write` wrote."""
        with open(path, encoding="utf-8") as file:
            return [
                Record(value.pop("at_us"), value.pop("where"), value.pop("what"), value)
                for value in map(json.loads, file)
            ]

    def limit(self, most: int) -> None:
        """Keep at most so many from now on."""
        self._most = most

    def write(self, path: Path) -> None:
        """One JSON object a line."""
        with open(path, "w", encoding="utf-8") as file:
            for each in self.records:
                line = {"at_us": each.at_us, "where": each.where, "what": each.what, **each.data}
                file.write(json.dumps(line) + "\n")
