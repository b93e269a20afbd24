"""Detection of tasks that wait long for a machine: which tasks count, and how many are checked."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

from wingbarrow.core.job_store import JobRecord, State, TaskRecord
from wingbarrow.core.waits import MAX_CHECKED_PER_GROUP, Waits

S = 1_000_000


class OpenRequests:
    """Tasks with open requests, and the requests with an attempt in flight."""

    def __init__(self) -> None:
        self.in_flight: set[int] = set()
        self.checks = 0
        self.waits = Waits(self._has_attempt)
        self._next = 1

    def _has_attempt(self, request: int) -> bool:
        self.checks += 1
        return request in self.in_flight

    def open(self, now_us: int, patience_us: int) -> TaskRecord:
        job = cast(JobRecord, SimpleNamespace(request=SimpleNamespace(patience_us=patience_us)))
        task = TaskRecord(job, 0, request=self._next, deadline_us=now_us + patience_us)
        self._next += 1
        self.waits.add(task)
        return task


def test_a_task_waits_long_from_a_quarter_of_its_patience_until_it_is_answered() -> None:
    requests = OpenRequests()
    task = requests.open(10 * S, 4 * S)
    assert not requests.waits.has_long_wait(11 * S - 1)
    assert requests.waits.has_long_wait(11 * S)
    requests.waits.remove(task, task.request)
    assert not requests.waits.has_long_wait(12 * S)


def test_a_task_in_flight_answered_or_requested_anew_does_not_wait() -> None:
    requests = OpenRequests()
    one, other, third = (requests.open(0, 4 * S) for _ in range(3))
    requests.in_flight = {one.request, other.request, third.request}
    assert not requests.waits.has_long_wait(3 * S)
    requests.in_flight.remove(one.request)
    assert requests.waits.has_long_wait(3 * S)
    one.state = State.PLACED
    assert not requests.waits.has_long_wait(3 * S)
    requests.in_flight.remove(other.request)
    other.request = 99
    assert not requests.waits.has_long_wait(3 * S)


def test_a_task_that_waits_long_is_found_among_many_in_flight_or_more_patient() -> None:
    requests = OpenRequests()
    for _ in range(MAX_CHECKED_PER_GROUP - 1):
        requests.in_flight.add(requests.open(0, 5 * S).request)
    requests.open(0, 5 * S)
    assert requests.waits.has_long_wait(2 * S)
    patient = OpenRequests()
    for _ in range(5 * MAX_CHECKED_PER_GROUP):
        patient.open(0, 600 * S)
    patient.open(S, 4 * S)
    assert not patient.waits.has_long_wait(2 * S - 1)
    assert patient.waits.has_long_wait(2 * S)


def test_a_check_visits_few_tasks_however_many_wait() -> None:
    requests = OpenRequests()
    for number in range(20_000):
        requests.in_flight.add(requests.open(number, (2, 5, 60)[number % 3] * S).request)
    assert not requests.waits.has_long_wait(40 * S)
    assert 0 < requests.checks <= 3 * MAX_CHECKED_PER_GROUP
