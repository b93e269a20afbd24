"""A stop, a move or a release crosses the end of its connection or the set-up that names its task; floods of such."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.relay.stage import MS, Client, Machine, S, Stage, release_message
from wingbarrow.relay.message import Cause, Kind, with_cause

MANY = 12_000  # more tasks than one placer ever looks after
AT = "cores:1;memory:1;service:s1;at:s-00000000"


def releases(machine: Machine, task: int) -> int:
    """How often a machine heard that a task is to be cut."""
    return sum(
        each.message.kind == Kind.RELEASE and each.message.task == task for each in machine.received
    )


def release(stage: Stage) -> None:
    stage.owner.stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))


def move(stage: Stage) -> None:
    stage.placer.move(
        stage.placer._requests.by_ident[1].request
    )  # as the module's hands are asked to


@pytest.mark.parametrize("ends", [release, move])
def test_a_stop_that_crosses_the_reset_of_its_connection_is_said_again_on_the_next(
    ends: Callable[[Stage], None],
) -> None:
    """The bytes left here, the connection was reset before the machine read them: the task runs on there."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        machine.silent = True  # what comes now is never read
        ends(stage)
        stage.sleep(20)
        assert stage.placer._requests.by_ident.get(1) is None
        assert releases(machine, 1) == 0
        for stream in machine.streams:
            stream.abort()
        machine.silent = False
        stage.sleep(3000)
        assert any(stream.open for stream in machine.streams), "a new connection came up"
        assert releases(machine, 1) >= 1
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(50)
        assert len(stage.placer._attempts) == 0

    Stage(1).run(play)


def prove(client: Client, task: int) -> None:
    """A task of this connection stands: releases may go there."""
    client.ask(task, name=f"{task:016x}")
    client.hub.sleep(100 * MS)
    assert client.kinds(task) == [Kind.ANSWER]


def turns_until(stage: Stage, holds: Callable[[], bool]) -> None:
    """Let turns pass, and no time, until something has happened here."""
    for _ in range(1000):
        if holds():
            return
        stage.hub.checkpoint()
    raise AssertionError("it did not happen")


def test_a_move_that_crosses_the_end_of_its_connection_goes_on_another() -> None:
    """Nobody else tells the owner: the release that the machine sends of a moved task is not passed on."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        other = stage.client()
        prove(other, 2)
        prove(stage.owner, 1)  # the latest heard of: what is told goes here first
        move(stage)
        stage.owner.stream.abort()  # before it was read
        stage.sleep(50)
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(8500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert [each.kind for each in other.of(1)] == [Kind.MOVE]

    Stage(1).run(play)


def test_a_release_that_crosses_the_ends_of_two_connections_goes_on_a_third() -> None:
    def play(stage: Stage) -> None:
        third, second = stage.client(), stage.client()
        prove(third, 3)
        prove(second, 2)
        prove(stage.owner, 1)
        stage.sleep(50)
        stage.placer.owners.release(1, Cause.OVER)
        stage.owner.stream.abort()
        turns_until(stage, lambda: stage.placer.life.counts["releases_again"] == 1)
        second.stream.abort()
        stage.sleep(8500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert second.kinds(1) == []
        assert third.kinds(1) == [Kind.RELEASE]

    Stage(1).run(play)


def test_a_release_that_waited_for_a_connection_and_crosses_its_end_goes_on_another() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        prove(stage.owner, 1)
        stage.owner.stream.close()
        stage.sleep(20)
        machine.tell(release_message(1))
        stage.sleep(20)
        assert stage.placer.life.counts["releases_waited"] == 1
        fresh = stage.client()
        fresh.ask(2, name="2" * 16)
        turns_until(stage, lambda: stage.placer._requests.answered == 2)
        fresh.stream.abort()  # the answer, and with it what waited, had been written
        stage.sleep(50)
        last = stage.client()
        prove(last, 3)
        stage.sleep(500)
        assert fresh.kinds(1) == []
        assert last.kinds(1) == [Kind.RELEASE]

    Stage(1).run(play)


def test_a_release_that_comes_before_the_set_up_of_a_task_that_stands_already_is_passed_on() -> (
    None
):
    """After a start: a connection opened for another task brings the end of one that its owner has yet to name."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        prove(stage.owner, 1)
        machine.tell(release_message(5))
        stage.sleep(5)
        stage.owner.ask(5, figures=AT, patience_ms=0)
        began = stage.hub.now_us()
        stage.sleep(1000)
        assert [each.kind for each in stage.owner.of(5)] == [Kind.RELEASE]
        assert stage.owner.received[-1].at_us - began <= S
        assert stage.placer._requests.by_ident.get(5) is None

    Stage(1).run(play)


def test_a_flood_of_tasks_that_are_said_to_stand_already_is_bounded() -> None:
    """Nothing shows whether a machine holds them; the memory of a placer is 32 MB at the least."""

    def play(stage: Stage) -> None:
        stranger = stage.client()
        for task in range(1000, 1000 + MANY):
            stranger.ask(task, figures=AT, patience_ms=0)
            if task % 100 == 0:
                stage.hub.checkpoint()
        stage.sleep(1000)
        assert len(stage.placer._attempts) < MANY
        assert len(stage.placer._requests.by_ident) < MANY
        usual = stage.client()  # the placer goes on
        prove(usual, 1)

    Stage(1).run(play)
