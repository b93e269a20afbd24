"""Releases of tasks that the placer does not know yet.

After a restart of the placer, a machine may release a task before its owner has handed it over.
"""

from __future__ import annotations

from collections import OrderedDict

RETENTION_US = 8_500_000
MAX_RELEASES = 1024


class EarlyReleases:
    """The causes of such releases, by machine and task id, for RETENTION_US."""

    def __init__(self) -> None:
        self._releases: OrderedDict[tuple[int, int], tuple[int, int]] = OrderedDict()

    def add(self, now_us: int, machine: int, ident: int, cause: int) -> None:
        """Remember a release; the oldest ones make room."""
        self._releases[machine, ident] = cause, now_us + RETENTION_US
        while len(self._releases) > MAX_RELEASES or self._oldest_until_us() <= now_us:
            self._releases.popitem(last=False)

    def _oldest_until_us(self) -> int:
        _, until_us = next(iter(self._releases.values()))
        return until_us

    def take(self, now_us: int, machine: int, ident: int) -> int | None:
        """Remove and return the cause of a release; None if there is none."""
        cause, until_us = self._releases.pop((machine, ident), (0, 0))
        return cause if now_us < until_us else None


__all__ = ["EarlyReleases"]
