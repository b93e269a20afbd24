"""Owners' connections, bad clients and releases, checked by the messages at the stand-ins' sockets."""

from __future__ import annotations

import pytest

from tests.relay.stage import MACHINE_DESCRIPTION, ROOMY_SETTINGS, S, Stage, release_message
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.transport import Stream


def test_a_task_whose_owner_gives_up_or_closes_is_not_answered_and_its_machine_gets_a_release() -> (
    None
):
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        machine.on_set_up = lambda stream, message: None
        leaver = stage.client()
        leaver.ask(1)
        stage.owner.ask(2, name="f" * 16)
        stage.sleep(50)
        leaver.stream.close()
        stage.owner.stream.send(with_cause(Kind.RELEASE, 2, Cause.GIVEN_UP))
        stage.sleep(50)
        assert sorted(
            e.message.task for e in machine.received if e.message.kind == Kind.RELEASE
        ) == [
            1,
            2,
        ]
        stage.sleep(3000)
        assert stage.owner.of(2) == []

    Stage(1).run(play)


@pytest.mark.parametrize("is_on_the_same_connection", [True, False])
def test_a_task_that_its_owner_releases_is_stopped_and_its_owner_gets_no_release(
    is_on_the_same_connection: bool,
) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        other = stage.client()
        other.ask(2, name="2" * 16)
        stage.sleep(50)
        ending = stage.owner if is_on_the_same_connection else other
        ending.stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))
        stage.sleep(50)
        assert [e.message.task for e in machine.received if e.message.kind == Kind.RELEASE] == [1]
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)


# Replaces the part of the test above in which a connection that had asked for nothing ended a task: it was trusted like
# an owner's. A new connection of an owner is obeyed as before, and as it may be a stranger's, owners are told.
def test_a_release_on_a_connection_that_may_be_an_owners_stops_the_task_and_owners_are_told() -> (
    None
):
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.client().stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))
        stage.sleep(50)
        assert [e.message.task for e in machine.received if e.message.kind == Kind.RELEASE] == [1]
        machine.tell(release_message(1, Cause.CANCELLED))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


STANDING = 100  # more ids than were once remembered of one connection


# review/9: a client that asked under the ids of running tasks, was refused, and took all back ended the oldest ones.
def test_a_client_that_asked_under_the_ids_of_running_tasks_ends_none_of_them() -> None:
    def play(stage: Stage) -> None:
        tasks = range(1, STANDING + 1)
        for task in tasks:
            stage.owner.ask(
                task,
                name=f"{task:016x}",
                figures="cores:0.1;memory:0.1;service:s1",
                patience_ms=4900,
            )
            stage.sleep(30)
        stage.sleep(1000)
        assert all(stage.owner.kinds(task) == [Kind.ANSWER] for task in tasks)
        stranger = stage.client()
        for task in tasks:
            stranger.ask(task, name="f" * 16)
        for task in tasks:
            stranger.stream.send(with_cause(Kind.RELEASE, task, Cause.GIVEN_UP))
        stage.sleep(200)
        assert [stranger.of(task)[0].cause for task in tasks] == [Cause.ERROR] * STANDING
        stopped = [
            each.message.task
            for machine in stage.machines
            for each in machine.received
            if each.message.kind == Kind.RELEASE
        ]
        assert stopped == []
        # It still ends what it asked for itself.
        stranger.ask(STANDING + 1, name="e" * 16)
        stage.sleep(100)
        stranger.stream.send(with_cause(Kind.RELEASE, STANDING + 1, Cause.CANCELLED))
        stage.sleep(100)
        assert stage.placer.runtime.counts["withdrawn"] == 1

    Stage(2, settings=ROOMY_SETTINGS).run(play)


def test_an_adopted_task_gets_no_answer_and_is_released_when_it_ends() -> None:
    def play(stage: Stage) -> None:
        figures = "cores:1;memory:1;service:s1;at:s-00000000"
        stage.owner.ask(5, figures=figures, patience_ms=0)
        stage.owner.ask(5, figures=figures, patience_ms=0)  # a repeated adoption is ignored
        stage.sleep(300)
        assert stage.owner.of(5) == []
        assert stage.machines[0].set_ups() == []
        stage.machines[0].tell(release_message(5))  # the adoption opened a connection
        stage.sleep(50)
        # A placed task makes the connection a proven owner's, which releases can go to.
        stage.client().ask(6, name="e" * 16)
        stage.sleep(400)
        assert stage.placer.runtime.counts["run:done"] == 1

    Stage(1).run(play)


def test_a_release_is_deferred_until_an_owner_is_connected() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.owner.stream.close()
        stage.sleep(20)
        machine.tell(release_message(1))
        stage.sleep(500)
        fresh = stage.client()
        fresh.ask(2, name="d" * 16)
        stage.sleep(300)
        assert fresh.kinds(1) == [Kind.RELEASE]

    Stage(1).run(play)


def test_a_release_lost_with_its_connection_is_resent_on_another() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        other = stage.client()
        other.ask(2, name="e" * 16)
        stage.sleep(100)
        stage.owner.ask(1)  # the most recently active: releases go here first
        stage.sleep(50)
        machine.tell(release_message(1))
        machine.tell(release_message(2))
        stage.hub.checkpoint()
        stage.owner.stream.abort()  # before any acknowledgement
        stage.sleep(100)
        assert [each.kind for each in other.of(1)] == [Kind.RELEASE]
        assert Kind.RELEASE in other.kinds(2)

    Stage(1).run(play)


def test_a_flood_on_one_connection_is_bounded_and_others_are_served() -> None:
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: stream.send(
                with_cause(Kind.RELEASE, message.task, Cause.ERROR)
                if message.values[Code.NAME][:1] == b"f"
                else encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION})
            )
        stage.owner.ask(1)
        stage.sleep(50)
        flood = stage.client()
        for task in range(1000, 1400):
            flood.ask(task, name=f"f{task:015x}")
        stage.owner.ask(2, name="a" * 16)
        stage.sleep(2500)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        answers = [flood.kinds(task) for task in range(1000, 1400)]
        assert all(each == [Kind.RELEASE] for each in answers), (
            "a set-up got no answer, several, or was placed"
        )
        reached = {
            heard.message.task for machine in stage.machines for heard in machine.set_ups()
        } - {1, 2}
        assert len(reached) <= 32, "an unproven client reached machines with more than 32 set-ups"

    Stage().run(play)


def test_unreadable_data_ends_only_its_own_connection() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        for data in (
            b"\x00\x01",
            b"\xff\xff",
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x40\x00\x01" + bytes(100_000),
        ):
            bad = stage.client()
            bad.stream.send(data)
            stage.sleep(20)
            assert bad.ended_us is not None or data[0] == 0x40
        mute, half = stage.client(), stage.client()
        half.stream.send(b"\x00\x40\x01")
        began = stage.hub.now_us()
        stage.sleep(3000)
        for each in (mute, half):
            assert each.ended_us is not None
            assert each.ended_us - began <= 3 * S
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage().run(play)


def test_unanswered_messages_and_rejected_adoptions_do_not_keep_an_idle_connection() -> None:
    def play(stage: Stage) -> None:
        idle, lost = stage.client(), stage.client()
        began = stage.hub.now_us()
        idle.stream.send(encode(Kind.PROGRESS, 5, {}) + encode(Kind.RELEASE_HEARD, 6, {}))
        lost.ask(7, figures="cores:1;memory:1;service:s1;at:s-nowhere")
        stage.sleep(2500)
        assert idle.ended_us is not None
        assert idle.ended_us - began <= 3 * S
        assert lost.kinds(7) == [Kind.RELEASE]
        assert stage.owner.of(7) == []

    Stage().run(play)


def test_bad_set_ups_are_failed_and_reach_no_machine() -> None:
    def play(stage: Stage) -> None:
        bad = stage.client()
        bad.ask(1, "nosuch")
        bad.ask(2, figures="cores:nan;memory:1;service:s")
        bad.ask(3, DESCRIPTION=None)
        bad.ask(4, patience_ms=-5)
        stage.sleep(100)
        assert all(bad.kinds(task) == [Kind.RELEASE] for task in (1, 2, 3, 4))
        assert not stage.machines[0].set_ups()

    Stage(1).run(play)


def test_a_second_set_up_with_an_open_id_does_not_affect_the_open_task() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(1)
        stage.sleep(20)
        thief = stage.client()
        thief.ask(1, DESCRIPTION=b"another")
        stage.sleep(20)
        assert thief.kinds(1) == [Kind.RELEASE]
        assert stage.owner.of(1) == []
        machine.take(*held[0])
        stage.sleep(20)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert len(held) == 1
        # Withdraws a task that is another owner's.
        thief.stream.send(with_cause(Kind.RELEASE, 1, Cause.GIVEN_UP))
        stage.sleep(50)
        assert not any(each.message.kind == Kind.RELEASE for each in machine.received)
        machine.tell(release_message(1))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def test_connections_beyond_the_descriptor_limit_do_not_displace_proven_owners() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        for _ in range(120):
            stage.client()
        stage.sleep(50)
        stage.owner.ask(2, name="9" * 16)
        stage.sleep(50)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        assert len(stage.placer.owners) <= 64

    Stage(sockets=128).run(play)
