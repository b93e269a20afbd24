"""The request table's transitions, and the validation of set-ups."""

from __future__ import annotations

import pytest

from tests.conftest import task_class
from wingbarrow import interface as api
from wingbarrow.relay import setup
from wingbarrow.relay.message import Code, Kind, Message
from wingbarrow.relay.tasks import RequestTable, State, Step, Task

WEB = task_class("web")


def task(requests: RequestTable, ident: int = 7, state: State = State.PENDING) -> Task:
    request = requests.next_request()
    arrival = api.TaskArrived(request, "web", "s", "t", 1, 1, 0, None)
    made = Task(request, ident, WEB, arrival, None, 0, {3: b"web"}, state)
    requests.add(made)
    return made


@pytest.mark.parametrize("final", [Step.START, Step.REFUSE, Step.FAIL, Step.WITHDRAW])
@pytest.mark.parametrize("late", list(Step))
def test_a_final_answer_is_given_once_whatever_comes_late(final: Step, late: Step) -> None:
    requests = RequestTable()
    requested = task(requests)
    assert requests.pending == 1
    assert requests.step(requested, final)
    assert requests.pending == 0
    changed = requests.step(requested, late)
    assert changed is (final is Step.START and late in (Step.WITHDRAW, Step.END, Step.MOVE))
    assert requests.pending == 0
    assert bool(requests.unexpected_transitions) is not changed
    assert not requested.passed_on  # parameters for machines are not kept after the final answer


@pytest.mark.parametrize("end", [Step.END, Step.MOVE, Step.WITHDRAW])
def test_a_task_that_stands_ends_once_and_is_forgotten(end: Step) -> None:
    requests = RequestTable()
    running = task(requests, state=State.RUNNING)
    assert requests.pending == 0
    assert requests.step(running, end)
    assert not requests.step(running, Step.END)
    assert not requests.by_ident
    assert not requests.by_request


def test_an_id_that_is_used_again_is_another_task() -> None:
    requests = RequestTable()
    first = task(requests)
    requests.step(first, Step.FAIL)
    second = task(requests)
    assert requests.by_ident[7] is second
    assert first.request != second.request
    assert not requests.step(first, Step.REFUSE)
    assert requests.by_ident[7] is second


GOOD = {
    Code.CLASS: b"web",
    Code.PATIENCE: b"1500",
    Code.NAME: b"7f3a9c21e0b4d655",
    Code.HINT: b"8200.0",
    Code.FIGURES: b"cores:1;memory:2;service:00000000b4d65521",
    Code.DESCRIPTION: b"x",
}


def read(changes: dict[int, bytes | None], ident: int = 9) -> setup.SetUp:
    values = {**GOOD, **changes}
    return setup.read(
        Message(Kind.SET_UP, ident, {k: v for k, v in values.items() if v is not None}),
        {"web": WEB},
    )


def test_a_set_up_is_read_whole() -> None:
    set_up = read({Code.RETRY: b"1"})
    assert (set_up.name, set_up.service, set_up.cores, set_up.memory) == (
        "7f3a9c21e0b4d655",
        "00000000b4d65521",
        1,
        2,
    )
    assert (set_up.patience_us, set_up.hint_us, set_up.is_retry, set_up.running_on) == (
        1_500_000,
        8_200_000,
        True,
        None,
    )
    assert set(set_up.passed_on) == {Code.CLASS, Code.NAME, Code.DESCRIPTION}


def test_what_a_machine_holds_already_needs_no_patience() -> None:
    figures = GOOD[Code.FIGURES] + b";at:s-00c41f7a"
    for patience in (None, b"-3100", b"0"):
        set_up = read({Code.FIGURES: figures, Code.PATIENCE: patience})
        assert set_up.running_on == "s-00c41f7a"


@pytest.mark.parametrize(
    "changes",
    [
        {Code.CLASS: b"nosuch"},
        {Code.CLASS: None},
        {Code.CLASS: b"\xff\xfe"},
        {Code.NAME: None},
        {Code.NAME: b"short"},
        {Code.PATIENCE: b"-5"},
        {Code.PATIENCE: b"soon"},
        {Code.PATIENCE: None},
        {Code.PATIENCE: b"1e300"},
        {Code.HINT: b"nan"},
        {Code.HINT: b"-1"},
        {Code.DESCRIPTION: None},
        {Code.FIGURES: None},
        {Code.FIGURES: b"cores:0;memory:2;service:s"},
        {Code.FIGURES: b"cores:inf;memory:2;service:s"},
        {Code.FIGURES: b"cores:1;memory:-2;service:s"},
        {Code.FIGURES: b"cores:1;memory:2"},
        {Code.FIGURES: b"cores:1;memory:2;service:a b"},
        {Code.FIGURES: b"cores:1;memory:2;service:s;at:"},
    ],
)
def test_a_bad_set_up_is_named(changes: dict[int, bytes | None]) -> None:
    with pytest.raises(setup.BadSetUp):
        read(changes)


def test_a_set_up_without_an_id_is_bad() -> None:
    with pytest.raises(setup.BadSetUp):
        read({}, ident=0)
