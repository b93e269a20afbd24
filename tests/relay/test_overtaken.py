"""A machine's release that overtakes its answer: the answer, delayed on its way, comes after it or never."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.relay.stage import MADE, Heard, Machine, Stage, over
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.relay.offers import TOLD_US
from wingbarrow.transport import Stream

TOLD_MS = 1_000  # the platform's own bound, from the machine's release
assert TOLD_US < TOLD_MS * 1_000


def releases_first(stage: Stage, release: Callable[[int], bytes]) -> None:
    """Whichever machine is asked first ends the task 300 ms later, with its answer 2 s after that."""
    asked: list[Stream] = []

    def take(machine: Machine) -> Callable[[Stream, Message], None]:
        def on_set_up(stream: Stream, message: Message) -> None:
            if asked:
                machine.take(stream, message)
                return
            asked.append(stream)
            stage.sleep(300)
            stream.send(release(message.task))
            stage.sleep(2_000)
            stream.send(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MADE}))

        return on_set_up

    for machine in stage.machines:
        machine.on_set_up = take(machine)


def sent_away(remark: bytes) -> Callable[[int], bytes]:
    """A cut of a task that stood, with the reason that only such a task can have."""
    return lambda task: with_cause(Kind.RELEASE, task, Cause.RESET, {Code.REMARK: remark})


@pytest.mark.parametrize("remark", [b"ev", b"pre", b"dr"])
@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_a_cut_that_overtakes_its_answer_ends_the_task_at_once_and_nothing_is_sent_after(
    remark: bytes, task_class: str
) -> None:
    def play(stage: Stage) -> None:
        releases_first(stage, sent_away(remark))
        stage.owner.ask(1, task_class, patience_ms=5_000)
        stage.sleep(4_000)
        ((machine, asked),) = stage.set_ups(1)
        (told,) = [each for each in stage.owner.heard if each.message.task == 1]
        assert told.message.kind == Kind.RELEASE
        assert told.message.cause == Cause.RESET
        assert told.at_us - asked.at_us <= 300_000 + 50_000
        assert [each for each in machine.heard if each.message.kind == Kind.RELEASE] == []
        assert stage.placer.runtime.counts["answers_overtaken"] == 1

    Stage().run(play)


def test_a_reset_without_a_reason_is_a_set_up_that_broke_on_its_way_and_is_tried_elsewhere() -> (
    None
):
    def play(stage: Stage) -> None:
        releases_first(stage, lambda task: over(task, Cause.RESET))
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(1_000)
        assert len(stage.set_ups(1)) == 2
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage().run(play)


def test_an_end_that_overtakes_its_answer_is_told_in_time_though_no_other_machine_says_anything() -> (
    None
):
    def play(stage: Stage) -> None:
        releases_first(stage, over)
        quiet(stage)
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(4_500)
        told = heard_of(stage, 1)
        assert [each.message.kind for each in told] == [Kind.RELEASE]
        first = min(each.at_us for _, each in stage.set_ups(1))
        assert told[0].at_us - (first + 300_000) <= TOLD_MS * 1_000
        given_up = [
            each.message
            for machine in stage.machines
            for each in machine.heard
            if each.message.kind == Kind.RELEASE and each.message.task == 1
        ]
        assert [each.cause for each in given_up] == [Cause.GIVEN_UP]

    Stage().run(play)


def test_an_end_that_overtakes_its_answer_is_answered_by_the_next_machine_that_knows_it() -> None:
    def play(stage: Stage) -> None:
        releases_first(stage, over)
        knows(stage)
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(3_000)
        answer, release = stage.owner.of(1)
        assert answer.kind == Kind.ANSWER
        assert release.kind == Kind.RELEASE
        assert release.cause == Cause.OVER

    Stage().run(play)


def heard_of(stage: Stage, task: int) -> list[Heard]:
    """What the owner heard of a task, with times."""
    return [each for each in stage.owner.heard if each.message.task == task]


def quiet(stage: Stage) -> None:
    """Every machine but the one asked first says nothing."""
    for machine in stage.machines:
        machine.take = lambda stream, message: None  # type: ignore[method-assign]


def knows(stage: Stage) -> None:
    """Every machine but the one asked first says that the task has come to its end."""
    for machine in stage.machines:
        machine.take = lambda stream, message: stream.send(  # type: ignore[method-assign]
            with_cause(Kind.RELEASE, message.task, Cause.OVER, {Code.DESCRIPTION: MADE})
        )
