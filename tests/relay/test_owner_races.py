"""Races of a stop, move or release with the end of its connection or with its task's set-up; floods of adoptions."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.relay.stage import MS, Client, Machine, S, Stage, release_message
from wingbarrow.relay.message import Cause, Kind, with_cause

TASKS_OVER_LIMIT = 12_000  # more tasks than one placer tracks
RUNNING_ON_FIGURES = "cores:1;memory:1;service:s1;at:s-00000000"


def releases(machine: Machine, task: int) -> int:
    """Number of RELEASE messages that a machine received for a task."""
    return sum(
        each.message.kind == Kind.RELEASE and each.message.task == task for each in machine.received
    )


def release(stage: Stage) -> None:
    stage.owner.stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))


def move(stage: Stage) -> None:
    stage.placer.move(stage.placer._requests.by_ident[1].request)  # as the scheduler requests it


@pytest.mark.parametrize("end_task", [release, move])
def test_a_stop_lost_in_a_connection_reset_is_resent_on_the_next_connection(
    end_task: Callable[[Stage], None],
) -> None:
    """The stop was sent, but the connection was reset before the machine read it, so that the task still runs there."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        machine.silent = True  # discards its input from now on
        end_task(stage)
        stage.sleep(20)
        assert stage.placer._requests.by_ident.get(1) is None
        assert releases(machine, 1) == 0
        for stream in machine.streams:
            stream.abort()
        machine.silent = False
        stage.sleep(3000)
        assert any(stream.open for stream in machine.streams), "no new connection came up"
        assert releases(machine, 1) >= 1
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(50)
        assert len(stage.placer._attempts) == 0

    Stage(1).run(play)


def prove(client: Client, task: int) -> None:
    """Place a task of this connection, so that releases may be sent there."""
    client.ask(task, name=f"{task:016x}")
    client.hub.sleep(100 * MS)
    assert client.kinds(task) == [Kind.ANSWER]


def run_turns_until(stage: Stage, holds: Callable[[], bool]) -> None:
    """Run turns of the hub, without advancing time, until the condition holds."""
    for _ in range(1000):
        if holds():
            return
        stage.hub.checkpoint()
    raise AssertionError("the condition did not hold within 1000 turns")


def test_a_move_lost_with_its_connection_is_resent_on_another() -> None:
    """The move must be resent, as the machine's release of a moved task is not forwarded."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        other = stage.client()
        prove(other, 2)
        prove(stage.owner, 1)  # the most recently active: messages go here first
        move(stage)
        stage.owner.stream.abort()  # before the move was read
        stage.sleep(50)
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(8500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert [each.kind for each in other.of(1)] == [Kind.MOVE]

    Stage(1).run(play)


def test_a_release_lost_with_two_connections_is_resent_on_a_third() -> None:
    def play(stage: Stage) -> None:
        third, second = stage.client(), stage.client()
        prove(third, 3)
        prove(second, 2)
        prove(stage.owner, 1)
        stage.sleep(50)
        stage.placer.owners.delivery.release(1, Cause.OVER)
        stage.owner.stream.abort()
        run_turns_until(stage, lambda: stage.placer.runtime.counts["releases_again"] == 1)
        second.stream.abort()
        stage.sleep(8500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert second.kinds(1) == []
        assert third.kinds(1) == [Kind.RELEASE]

    Stage(1).run(play)


def test_a_deferred_release_lost_with_its_connection_is_resent_on_another() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        prove(stage.owner, 1)
        stage.owner.stream.close()
        stage.sleep(20)
        machine.tell(release_message(1))
        stage.sleep(20)
        assert stage.placer.runtime.counts["releases_waited"] == 1
        fresh = stage.client()
        fresh.ask(2, name="2" * 16)
        run_turns_until(stage, lambda: stage.placer._requests.answered == 2)
        fresh.stream.abort()  # the answer and the deferred release had been written
        stage.sleep(50)
        last = stage.client()
        prove(last, 3)
        stage.sleep(500)
        assert fresh.kinds(1) == []
        assert last.kinds(1) == [Kind.RELEASE]

    Stage(1).run(play)


def test_a_release_that_arrives_before_its_task_is_adopted_is_forwarded() -> None:
    """After a restart, a connection opened for another task can bring the release of a task not adopted yet."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        prove(stage.owner, 1)
        machine.tell(release_message(5))
        stage.sleep(5)
        stage.owner.ask(5, figures=RUNNING_ON_FIGURES, patience_ms=0)
        began = stage.hub.now_us()
        stage.sleep(1000)
        assert [each.kind for each in stage.owner.of(5)] == [Kind.RELEASE]
        assert stage.owner.received[-1].at_us - began <= S
        assert stage.placer._requests.by_ident.get(5) is None

    Stage(1).run(play)


def test_a_flood_of_adopted_tasks_is_bounded() -> None:
    """A placer cannot check whether a machine runs adopted tasks, and may have as little as 32 MB of memory."""

    def play(stage: Stage) -> None:
        stranger = stage.client()
        for task in range(1000, 1000 + TASKS_OVER_LIMIT):
            stranger.ask(task, figures=RUNNING_ON_FIGURES, patience_ms=0)
            if task % 100 == 0:
                stage.hub.checkpoint()
        stage.sleep(1000)
        assert len(stage.placer._attempts) < TASKS_OVER_LIMIT
        assert len(stage.placer._requests.by_ident) < TASKS_OVER_LIMIT
        usual = stage.client()  # the placer still serves others
        prove(usual, 1)

    Stage(1).run(play)
