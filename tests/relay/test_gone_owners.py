"""Owners that close, reset or give up: no attempt begins for them once that can be known, whatever stands still.

A stall is played as the process sees it: within one call of the hub the clock jumps, and what came meanwhile lies
unread when all that is due runs.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import pytest

from tests.relay.stage import MS, Client, Stage
from wingbarrow.relay.message import Cause, Kind, Message, encode, with_cause
from wingbarrow.relay.owners import UNREAD_US
from wingbarrow.transport import Stream

STALL_MS = 400
BORNE_MS = 100  # the platform's term: an attempt that begins later than this after its client has gone is a break


def close(client: Client, _: list[int]) -> None:
    client.stream._socket.shutdown(
        socket.SHUT_RDWR
    )  # the end of stream without this hub's knowing of it


def half_close(client: Client, _: list[int]) -> None:
    client.stream._socket.shutdown(socket.SHUT_WR)


def reset(client: Client, _: list[int]) -> None:
    client.stream._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    twin = socket.socket(fileno=client.stream._socket.detach())
    twin.close()


def give_up(client: Client, tasks: list[int]) -> None:
    client.stream.send_now(
        b"".join(with_cause(Kind.RELEASE, task, Cause.GIVEN_UP) for task in tasks)
    )


def half_a_message_and_close(client: Client, _: list[int]) -> None:
    client.stream.send_now(encode(Kind.SET_UP, 77, {})[:7])
    client.stream._socket.shutdown(socket.SHUT_RDWR)


WAYS = [close, half_close, reset, give_up, half_a_message_and_close]


def stall(stage: Stage, before: Callable[[], None]) -> None:
    """Among the tasks of one turn, before its timers: something happens out there, and this process stands still."""

    def call() -> None:
        before()
        stage.hub.clock.jump(stage.hub.now_us() + STALL_MS * MS)

    stage.hub.spawn(call, "stall")


def hold_then_free(stage: Stage) -> None:
    """The only machine is cold; a placer that has just started sends there after its span alone, here 2.5 s."""
    (machine,) = stage.machines
    stage.owner.ask(50, name="5" * 16)  # leaves a connection to it that is free
    stage.sleep(20)
    stage.journal.add(machine.entry(started_ms=stage.hub.clock.wall_us() // 1000))
    stage.sleep(50)


@pytest.mark.parametrize("open_at_once", [1, 12])
@pytest.mark.parametrize("leaves", WAYS)
def test_a_held_request_whose_client_left_during_a_stall_is_not_sent(
    leaves: Callable[[Client, list[int]], None], open_at_once: int
) -> None:
    def play(stage: Stage) -> None:
        hold_then_free(stage)
        client, tasks = stage.client(), list(range(1, open_at_once + 1))
        for task in tasks:
            client.ask(task, name=f"{task:016x}", patience_ms=4900)
        stage.sleep(2150)
        assert len(stage.machines[0].set_ups()) == 1, "held until the placer's first span is over"
        stall(stage, lambda: leaves(client, tasks))
        stage.sleep(1500)
        assert len(stage.machines[0].set_ups()) == 1
        assert stage.placer.life.counts["withdrawn"] == open_at_once
        other = stage.client()  # the placer goes on
        other.ask(99)
        stage.sleep(100)
        assert other.kinds(99) == [Kind.ANSWER]

    Stage(1).run(play)


def test_a_held_request_whose_connection_was_closed_here_is_not_sent_before_it_is_taken_back() -> (
    None
):
    def play(stage: Stage) -> None:
        hold_then_free(stage)
        client = stage.client()
        client.ask(1, patience_ms=4900)
        stage.sleep(2150)
        owners = stage.placer.owners
        (owner,) = [each for each in owners._owners if 1 in each.tasks]
        stall(stage, lambda: owners.close(owner, "id twice"))
        stage.sleep(1500)
        assert len(stage.machines[0].set_ups()) == 1
        assert stage.placer.life.counts["withdrawn"] == 1

    Stage(1).run(play)


@pytest.mark.parametrize("leaves", [close, reset, give_up])
def test_a_further_attempt_does_not_begin_where_the_refusal_and_the_clients_end_come_together(
    leaves: Callable[[Client, list[int]], None],
) -> None:
    def play(stage: Stage) -> None:
        for task in range(50, 58):  # each machine has a connection that is free
            stage.owner.ask(
                task, name=f"{task:016x}", figures=f"cores:0.1;memory:0.1;service:s{task}"
            )
            stage.sleep(20)
        assert all(machine.set_ups() for machine in stage.machines)
        waiting: list[tuple[Stream, Message]] = []
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: waiting.append((stream, message))
        client = stage.client()
        client.ask(1)
        stage.sleep(20)
        client.stream.send(
            encode(Kind.PROGRESS, 1, {})
        )  # heard after the machine's connection was last waited for
        stage.sleep(20)
        ((stream, _),) = waiting

        def both() -> None:
            stream.send_now(with_cause(Kind.RELEASE, 1, Cause.FULL))
            leaves(client, [1])

        stall(stage, both)
        stage.sleep(1500)
        assert stage.placer.life.counts["release:sent:34"] == 1, "the refusal was read"
        assert len(stage.set_ups(1)) == 1

    Stage().run(play)


def test_a_set_up_and_its_give_up_that_lay_unread_together_are_not_sent() -> None:
    def play(stage: Stage) -> None:
        client = stage.client()
        client.ask(1)
        stage.sleep(20)
        before = len(stage.set_ups(1))

        def both() -> None:
            client.ask(2, name="2" * 16)
            give_up(client, [2])

        stall(stage, both)
        stage.sleep(500)
        assert before == 1
        assert stage.set_ups(2) == []
        client.ask(3, name="3" * 16)
        stage.sleep(50)
        assert client.kinds(3) == [Kind.ANSWER]

    Stage().run(play)


def test_a_client_that_stays_is_served_after_a_stall_whatever_else_it_had_said() -> None:
    def play(stage: Stage) -> None:
        hold_then_free(stage)
        client = stage.client()
        client.ask(1, patience_ms=4900)
        stage.sleep(2150)

        def talk() -> None:
            for task in range(2, 6):
                client.ask(task, name=f"{task:016x}")
            give_up(client, [4])

        stall(stage, talk)
        stage.sleep(1500)
        assert [client.kinds(task) for task in (1, 2, 3, 5)] == [[Kind.ANSWER]] * 4
        assert client.kinds(4) == []
        assert stage.set_ups(4) == []
        assert stage.placer.life.counts["sends_behind"] > 0

    Stage(1).run(play)


def test_an_answer_whose_owner_broke_in_the_same_turn_leaves_no_task_standing() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        waiting: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: waiting.append((stream, message))
        stage.owner.ask(50, "settlement", name="5" * 16)
        stage.sleep(20)
        client = stage.client()
        client.ask(1, "settlement")
        stage.sleep(20)
        client.stream.send(
            encode(Kind.PROGRESS, 1, {})
        )  # heard after the machine's connection was last waited for
        stage.sleep(20)
        ((stream, message),) = [each for each in waiting if each[1].task == 1]
        before = len(machine.received)
        reset(client, [1])
        machine.take(stream, message)
        stage.sleep(50)
        assert len(machine.received) == before + 1
        assert [
            each.message.task for each in machine.received if each.message.kind == Kind.RELEASE
        ] == [1]
        assert stage.placer.life.counts["answers_unheard"] == 1
        assert stage.placer._requests.by_ident.get(1) is None

    Stage(1).run(play)


def test_the_bound_leaves_room_within_the_platforms_term() -> None:
    assert UNREAD_US * 2 <= BORNE_MS * MS
