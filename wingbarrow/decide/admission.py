"""Admission of Jobs by the number of open tasks, in total and per namespace. An accepted Job is never dropped."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The limit that a Job would exceed, in words and as a number, and after how many seconds to retry."""

    what: str
    limit: int
    retry_after_s: int


class Admission:
    """Counts open tasks: those without a final answer, those that run, and those that wait for a retry.

    `tasks_open` limits open tasks in total, `per_namespace` those of each namespace.
    """

    def __init__(self, tasks_open: int, per_namespace: int) -> None:
        self._max_open = tasks_open
        self._max_per_namespace = per_namespace
        self.open_tasks = 0
        self._open_by_namespace: Counter[str] = Counter()
        self.open_by_class: Counter[str] = Counter()

    def set_limits(self, tasks_open: int, per_namespace: int) -> None:
        """Replace the limits; open tasks are unaffected."""
        self._max_open, self._max_per_namespace = tasks_open, per_namespace

    def check(self, namespace: str, count: int, pending_stops: int = 0) -> LimitExceeded | None:
        """The limit that `count` more tasks would exceed, or None.

        Pending stops count like open tasks: a deletion frees capacity only after the machines have carried it out.
        """
        if self.open_tasks + pending_stops + count > self._max_open:
            return LimitExceeded("open tasks", self._max_open, 1)
        if self._open_by_namespace[namespace] + count > self._max_per_namespace:
            return LimitExceeded(f"open tasks in namespace {namespace}", self._max_per_namespace, 1)
        return None

    def open_count(self, about: str, name: str) -> int:
        """Open tasks of a class where `about` is "class", else of a namespace."""
        return self.open_by_class[name] if about == "class" else self._open_by_namespace[name]

    def add(self, namespace: str, count: int, task_class: str = "") -> None:
        """Count tasks that were accepted."""
        self.open_tasks += count
        self._open_by_namespace[namespace] += count
        self.open_by_class[task_class] += count

    def remove(self, namespace: str, count: int = 1, task_class: str = "") -> None:
        """Discount tasks that have ended and will not be retried."""
        self.open_tasks -= count
        self.open_by_class[task_class] -= count
        self._open_by_namespace[namespace] -= count
        if self._open_by_namespace[namespace] <= 0:
            del self._open_by_namespace[namespace]
