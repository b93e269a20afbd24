"""Whether a task waits long for a machine: which tasks count, and how many are looked at."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

from wingbarrow.core.job_store import JobRecord, State, TaskRecord
from wingbarrow.core.waits import MAX_CHECKED_PER_GROUP, Waits

S = 1_000_000


class Asked:
    """Tasks that are asked for, and those requests of which an attempt is out."""

    def __init__(self) -> None:
        self.out: set[int] = set()
        self.looks = 0
        self.waits = Waits(self._is_out)
        self._next = 1

    def _is_out(self, request: int) -> bool:
        self.looks += 1
        return request in self.out

    def ask(self, now_us: int, patience_us: int) -> TaskRecord:
        job = cast(JobRecord, SimpleNamespace(request=SimpleNamespace(patience_us=patience_us)))
        task = TaskRecord(job, 0, request=self._next, deadline_us=now_us + patience_us)
        self._next += 1
        self.waits.add(task)
        return task


def test_a_task_waits_long_from_a_quarter_of_its_patience_until_it_is_answered() -> None:
    asked = Asked()
    task = asked.ask(10 * S, 4 * S)
    assert not asked.waits.any_long(11 * S - 1)
    assert asked.waits.any_long(11 * S)
    asked.waits.remove(task, task.request)
    assert not asked.waits.any_long(12 * S)


def test_what_has_an_attempt_out_does_not_wait_nor_what_was_answered_or_asked_anew() -> None:
    asked = Asked()
    one, other, third = (asked.ask(0, 4 * S) for _ in range(3))
    asked.out = {one.request, other.request, third.request}
    assert not asked.waits.any_long(3 * S)
    asked.out.remove(one.request)
    assert asked.waits.any_long(3 * S)
    one.state = State.PLACED
    assert not asked.waits.any_long(3 * S)
    asked.out.remove(other.request)
    other.request = 99
    assert not asked.waits.any_long(3 * S)


def test_among_many_whose_attempts_are_out_or_who_are_more_patient_one_that_waits_long_is_found() -> (
    None
):
    asked = Asked()
    for _ in range(MAX_CHECKED_PER_GROUP - 1):
        asked.out.add(asked.ask(0, 5 * S).request)
    asked.ask(0, 5 * S)
    assert asked.waits.any_long(2 * S)
    patient = Asked()
    for _ in range(5 * MAX_CHECKED_PER_GROUP):
        patient.ask(0, 600 * S)
    patient.ask(S, 4 * S)
    assert not patient.waits.any_long(2 * S - 1)
    assert patient.waits.any_long(2 * S)


def test_a_look_asks_of_few_tasks_however_many_wait() -> None:
    asked = Asked()
    for number in range(20_000):
        asked.out.add(asked.ask(number, (2, 5, 60)[number % 3] * S).request)
    assert not asked.waits.any_long(40 * S)
    assert 0 < asked.looks <= 3 * MAX_CHECKED_PER_GROUP
