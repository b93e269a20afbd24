"""Tasks with an open request, and whether any of them has waited long for a machine.

Requests are grouped by patience, rounded to a power of two. Within a group the oldest request has used up the largest
part of its patience, to a factor of two, so checking the first few of each group is enough, however many wait.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from wingbarrow.core.job_store import State, TaskRecord
from wingbarrow.decide.subset_widening import is_long_wait

MAX_CHECKED_PER_GROUP = 64  # patience is bounded, and so is the number of groups


class Waits:
    """Open requests by group; `has_attempt(request)` returns whether a request has an attempt in flight."""

    def __init__(self, has_attempt: Callable[[int], bool]) -> None:
        self._has_attempt = has_attempt
        # Tasks by request, oldest first; by the bit length of their patience.
        self._groups: dict[int, dict[int, TaskRecord]] = {}

    def add(self, task: TaskRecord) -> None:
        """Add the request that a task has just opened."""
        self._groups.setdefault(_group(task), {})[task.request] = task

    def remove(self, task: TaskRecord, request: int) -> None:
        """Remove a request that was answered, withdrawn or closed."""
        self._groups.get(_group(task), {}).pop(request, None)

    def __len__(self) -> int:
        return sum(len(group) for group in self._groups.values())

    def has_long_wait(self, now_us: int) -> bool:
        """Whether a task without an attempt in flight has waited long (`decide.subset_widening.is_long_wait`)."""
        return any(
            self._waits_long(now_us, request, task)
            for group in self._groups.values()
            for request, task in islice(group.items(), MAX_CHECKED_PER_GROUP)
        )

    def _waits_long(self, now_us: int, request: int, task: TaskRecord) -> bool:
        if task.request != request or task.state is not State.PENDING or self._has_attempt(request):
            return False
        patience_us = task.job.request.patience_us
        return is_long_wait(patience_us - (task.deadline_us - now_us), patience_us)


def _group(task: TaskRecord) -> int:
    return task.job.request.patience_us.bit_length()
