"""A machine's release that overtakes its answer: the delayed answer arrives later or never."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.relay.stage import MACHINE_DESCRIPTION, Machine, ReceivedMessage, Stage, release_message
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.relay.offers import END_NOTICE_DELAY_US
from wingbarrow.transport import Stream

MAX_END_NOTICE_MS = 1_000  # the platform's bound, from the machine's release
assert END_NOTICE_DELAY_US < MAX_END_NOTICE_MS * 1_000


def release_before_answer(stage: Stage, release: Callable[[int], bytes]) -> None:
    """Make the machine that gets the first offer release the task after 300 ms and answer 2 s after that."""
    first_offer: list[Stream] = []

    def take(machine: Machine) -> Callable[[Stream, Message], None]:
        def on_set_up(stream: Stream, message: Message) -> None:
            if first_offer:
                machine.take(stream, message)
                return
            first_offer.append(stream)
            stage.sleep(300)
            stream.send(release(message.task))
            stage.sleep(2_000)
            stream.send(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}))

        return on_set_up

    for machine in stage.machines:
        machine.on_set_up = take(machine)


def eviction_release(remark: bytes) -> Callable[[int], bytes]:
    """A release of a placed task, with a reason that is given for placed tasks only."""
    return lambda task: with_cause(Kind.RELEASE, task, Cause.RESET, {Code.REMARK: remark})


@pytest.mark.parametrize("remark", [b"ev", b"pre", b"dr"])
@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_a_cut_that_overtakes_its_answer_ends_the_task_at_once_and_nothing_is_sent_after(
    remark: bytes, task_class: str
) -> None:
    def play(stage: Stage) -> None:
        release_before_answer(stage, eviction_release(remark))
        stage.owner.ask(1, task_class, patience_ms=5_000)
        stage.sleep(4_000)
        ((machine, first_offer),) = stage.set_ups(1)
        (notice,) = [each for each in stage.owner.received if each.message.task == 1]
        assert notice.message.kind == Kind.RELEASE
        assert notice.message.cause == Cause.RESET
        assert notice.at_us - first_offer.at_us <= 300_000 + 50_000
        assert [each for each in machine.received if each.message.kind == Kind.RELEASE] == []
        assert stage.placer.runtime.counts["answers_overtaken"] == 1

    Stage().run(play)


def test_a_reset_without_a_reason_is_a_set_up_that_broke_on_its_way_and_is_tried_elsewhere() -> (
    None
):
    def play(stage: Stage) -> None:
        release_before_answer(stage, lambda task: release_message(task, Cause.RESET))
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(1_000)
        assert len(stage.set_ups(1)) == 2
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage().run(play)


def test_an_end_that_overtakes_its_answer_is_told_in_time_though_no_other_machine_says_anything() -> (
    None
):
    def play(stage: Stage) -> None:
        release_before_answer(stage, release_message)
        silence_others(stage)
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(4_500)
        notices = received_of(stage, 1)
        assert [each.message.kind for each in notices] == [Kind.RELEASE]
        first = min(each.at_us for _, each in stage.set_ups(1))
        assert notices[0].at_us - (first + 300_000) <= MAX_END_NOTICE_MS * 1_000
        given_up = [
            each.message
            for machine in stage.machines
            for each in machine.received
            if each.message.kind == Kind.RELEASE and each.message.task == 1
        ]
        assert [each.cause for each in given_up] == [Cause.GIVEN_UP]

    Stage().run(play)


def test_an_end_that_overtakes_its_answer_is_answered_by_the_next_machine_that_knows_it() -> None:
    def play(stage: Stage) -> None:
        release_before_answer(stage, release_message)
        others_report_end(stage)
        stage.owner.ask(1, patience_ms=5_000)
        stage.sleep(3_000)
        answer, release = stage.owner.of(1)
        assert answer.kind == Kind.ANSWER
        assert release.kind == Kind.RELEASE
        assert release.cause == Cause.OVER

    Stage().run(play)


def received_of(stage: Stage, task: int) -> list[ReceivedMessage]:
    """Messages that the owner received for a task, with times."""
    return [each for each in stage.owner.received if each.message.task == task]


def silence_others(stage: Stage) -> None:
    """Make every machine but the first one asked ignore the set-up."""
    for machine in stage.machines:
        machine.take = lambda stream, message: None  # type: ignore[method-assign]


def others_report_end(stage: Stage) -> None:
    """Make every machine but the first one asked release the task as ended, with a description."""
    for machine in stage.machines:
        machine.take = lambda stream, message: stream.send(  # type: ignore[method-assign]
            with_cause(
                Kind.RELEASE, message.task, Cause.OVER, {Code.DESCRIPTION: MACHINE_DESCRIPTION}
            )
        )
