"""Whether a Job is accepted: bounds on open tasks, in all and by namespace. Nothing accepted is ever dropped."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TooMany:
    """A bound that a Job would pass, and after how many seconds to try again."""

    what: str
    most: int
    retry_after_s: int


class Admission:
    """Counts open tasks: those that owe an answer, run, or wait to be asked for again."""

    def __init__(self, tasks_open: int, per_namespace: int) -> None:
        self._most = tasks_open
        self._per_namespace = per_namespace
        self.open = 0
        self._namespaces: Counter[str] = Counter()
        self.classes: Counter[str] = Counter()

    def take_limits(self, tasks_open: int, per_namespace: int) -> None:
        """New bounds; what is open stays."""
        self._most, self._per_namespace = tasks_open, per_namespace

    def check(self, namespace: str, count: int, stops_owed: int = 0) -> TooMany | None:
        """What stands against `count` more tasks, None where nothing does.

        Stops that are owed count like open tasks: deleting does not make room before the machines have acted on it.
        """
        if self.open + stops_owed + count > self._most:
            return TooMany("open tasks", self._most, 1)
        if self._namespaces[namespace] + count > self._per_namespace:
            return TooMany(f"open tasks in namespace {namespace}", self._per_namespace, 1)
        return None

    def standing(self, about: str, name: str) -> int:
        """Open tasks of a namespace, or of a class."""
        return self.classes[name] if about == "class" else self._namespaces[name]

    def add(self, namespace: str, count: int, task_class: str = "") -> None:
        """So many tasks were accepted."""
        self.open += count
        self._namespaces[namespace] += count
        self.classes[task_class] += count

    def remove(self, namespace: str, count: int = 1, task_class: str = "") -> None:
        """So many tasks have ended for good."""
        self.open -= count
        self.classes[task_class] -= count
        self._namespaces[namespace] -= count
        if self._namespaces[namespace] <= 0:
            del self._namespaces[namespace]
