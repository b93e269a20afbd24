"""More clients than the placer may hold connections: what was read gets an answer, and owners still come in."""

from __future__ import annotations

import pytest

from tests.relay.stage import Client, Stage
from wingbarrow.relay.message import Cause, Kind, Message
from wingbarrow.transport import Stream

STRANGERS = 60
SOCKETS = 96  # 32 connections of owners
# Fits on an empty machine alone, and so waits.
LARGE = "cores:20;memory:1;service:s9"


def hold(stage: Stage) -> list[tuple[Stream, Message]]:
    """Have the machine start tasks for as long as the test likes."""
    held: list[tuple[Stream, Message]] = []
    stage.machines[0].on_set_up = lambda stream, message: held.append((stream, message))
    return held


def crowd(stage: Stage, figures: str = LARGE) -> list[Client]:
    """Clients with a set-up each, one after the other."""
    clients = []
    for task in range(100, 100 + STRANGERS):
        client = stage.client()
        client.ask(task, name=f"{task:016x}", figures=figures, patience_ms=4900)
        stage.sleep(5)
        clients.append(client)
    return clients


# review/8: the owner's connection was closed without an answer, in favour of clients that nothing was read of yet.
@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_a_set_up_that_a_machine_starts_is_answered_however_many_clients_come(
    task_class: str,
) -> None:
    def play(stage: Stage) -> None:
        held = hold(stage)
        stage.owner.ask(1, task_class, patience_ms=4900)
        stage.sleep(50)
        crowd(stage)
        assert stage.owner.ended_us is None
        stage.machines[0].take(*held[0])
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1, sockets=SOCKETS).run(play)


def test_a_connection_is_closed_only_after_its_set_ups_are_refused() -> None:
    def play(stage: Stage) -> None:
        hold(stage)
        stage.owner.ask(1, patience_ms=4900)
        stage.sleep(50)
        clients = crowd(stage)
        closed = [
            (task, client)
            for task, client in enumerate(clients, start=100)
            if client.ended_us is not None
        ]
        counts = stage.placer.runtime.counts
        assert counts["owners:refused"] == len(closed) > 0
        for task, client in closed:
            assert [each.cause for each in client.of(task)] == [Cause.BUSY]
        assert len(stage.placer.owners) <= stage.placer.owners._limits.max_connections

    Stage(1, sockets=SOCKETS).run(play)


def test_a_new_owner_is_served_while_strangers_hold_all_connections() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        crowd(stage)
        owner = stage.client()
        owner.ask(2, name="2" * 16)
        stage.sleep(50)
        assert owner.kinds(2) == [Kind.ANSWER]

    Stage(1, sockets=SOCKETS).run(play)


def test_a_newcomer_is_turned_away_unread_where_every_connection_has_a_set_up_at_a_machine() -> (
    None
):
    def play(stage: Stage) -> None:
        hold(stage)
        clients = crowd(stage, "cores:0.1;memory:0.1;service:s1")
        stage.sleep(500)
        served = [client for client in clients if client.ended_us is None]
        counts = stage.placer.runtime.counts
        assert counts["owners:turned_away"] == len(clients) - len(served) - counts["owners:refused"]
        assert counts["owners:crowded"] == 1, (
            "the connection of the test's owner, which has asked for nothing"
        )
        for task, client in enumerate(clients, start=100):
            asked_of_a_machine = bool(stage.set_ups(task))
            assert not asked_of_a_machine or client.ended_us is None

    Stage(1, sockets=SOCKETS).run(play)


# Beside review/8: a set-up larger than any machine held its connection until its patience ended.
def test_a_set_up_that_no_machine_of_the_settings_can_hold_is_refused_at_once() -> None:
    def play(stage: Stage) -> None:
        for task, figures in ((1, "cores:20.5;memory:1"), (2, "cores:1;memory:41")):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"{figures};service:s1")
        stage.sleep(20)
        assert [stage.owner.of(task)[0].cause for task in (1, 2)] == [Cause.ERROR] * 2

    Stage(1).run(play)
