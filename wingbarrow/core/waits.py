"""Tasks that were asked of the module and are not answered yet: whether one waits long for a machine.

They are kept apart by patience, to the next power of two: within such a group the first asked has used up most of its
patience, to a factor of two, so that a look at the first few of each group is enough, however many wait.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from wingbarrow.core.job_store import State, TaskRecord
from wingbarrow.decide.widening import is_long

MAX_CHECKED_PER_GROUP = (
    64  # of each group; patience has an upper bound, and so has the number of groups
)


class Waits:
    """`is_out(request)`: whether an attempt of a request is out."""

    def __init__(self, is_out: Callable[[int], bool]) -> None:
        self._is_out = is_out
        self._groups: dict[
            int, dict[int, TaskRecord]
        ] = {}  # by bits of the patience: tasks by request, oldest first

    def add(self, task: TaskRecord) -> None:
        """Its present request was asked of the module."""
        self._groups.setdefault(_group(task), {})[task.request] = task

    def remove(self, task: TaskRecord, request: int) -> None:
        """A request is answered, withdrawn or closed."""
        self._groups.get(_group(task), {}).pop(request, None)

    def __len__(self) -> int:
        return sum(len(group) for group in self._groups.values())

    def any_long(self, now_us: int) -> bool:
        """Whether a task without an attempt out has waited long, since its owner or its own loss asked for it."""
        return any(
            self._waits_long(now_us, request, task)
            for group in self._groups.values()
            for request, task in islice(group.items(), MAX_CHECKED_PER_GROUP)
        )

    def _waits_long(self, now_us: int, request: int, task: TaskRecord) -> bool:
        if task.request != request or task.state is not State.ASKED or self._is_out(request):
            return False
        patience_us = task.job.request.patience_us
        return is_long(patience_us - (task.deadline_us - now_us), patience_us)


def _group(task: TaskRecord) -> int:
    return task.job.request.patience_us.bit_length()
