"""A task is offered again, under its id, to a machine where an earlier attempt may have run."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.relay.hanging_machine import HangingMachine
from tests.relay.stage import Stage, release_message
from wingbarrow.relay.message import Cause, Kind, Message, with_cause
from wingbarrow.transport import Stream

TASK = 1


def prepare(stage: Stage) -> HangingMachine:
    """A single machine that repeats releases on its next connection, and a new connection of the owner."""
    machine = HangingMachine(stage.hub, "h-00000000")
    stage.journal.add(machine.entry(), reset=True)
    stage.sleep(2500)
    stage.owner = stage.client()
    return machine


def spoil_first_answer(
    machine: HangingMachine, then: Callable[[Stream, Message], None]
) -> list[Stream]:
    """Have the machine run the task and spoil its answer once; later set-ups go to `then`."""
    spoilt: list[Stream] = []

    def on_set_up(stream: Stream, message: Message) -> None:
        if spoilt:
            then(stream, message)
            return
        spoilt.append(stream)
        stream.send(b"\0\5noise")

    machine.on_set_up = on_set_up
    return spoilt


def events(machine: HangingMachine) -> list[str]:
    """What the placer sent for the task, in order."""
    names = {Kind.SET_UP: "set-up", Kind.RELEASE: "release"}
    return [
        names[Kind(each.message.kind)] for each in machine.received if each.message.kind in names
    ]


def end_first_run(stage: Stage, machine: HangingMachine) -> None:
    """Let the placer break off the spoilt connection, and then the run that it was for end."""
    stage.owner.ask(TASK, patience_ms=4900)
    stage.sleep(20)
    machine.end(TASK)


# review/6: the release of the earlier run ended the new attempt here alone, and another was out beside it.
def test_an_attempt_is_given_up_when_a_release_may_be_an_earlier_runs() -> None:
    def play(stage: Stage) -> None:
        machine = prepare(stage)
        spoil_first_answer(machine, lambda stream, message: None)  # a slow start
        end_first_run(stage, machine)
        stage.sleep(4000)
        counts = stage.placer.runtime.counts
        assert counts["releases_ambiguous"] == 1
        sent = events(machine)
        assert sent[:4] == ["set-up", "set-up", "release", "set-up"], "given up before the next one"
        given_up = [e.message.cause for e in machine.received if e.message.kind == Kind.RELEASE]
        assert given_up[0] == Cause.GIVEN_UP

    Stage(0).run(play)


# Beside review/6: the owner was told that the task is over, 0.8 s after the earlier run's release.
def test_the_owner_is_not_told_of_the_end_of_a_run_that_it_was_not_told_of() -> None:
    def play(stage: Stage) -> None:
        machine = prepare(stage)
        attempts: list[int] = []

        def start(stream: Stream, message: Message) -> None:
            attempts.append(message.task)
            if len(attempts) == 1:
                del machine.running[message.task]  # it only starts, and is given up before it runs
            else:
                machine.take(stream, message)

        spoil_first_answer(machine, start)
        end_first_run(stage, machine)
        stage.sleep(4500)
        assert stage.owner.kinds(TASK) == [Kind.ANSWER]

    Stage(0).run(play)


# Beside review/6: the repeated release of an earlier run ended the placed run here, which went on at its machine.
def test_a_placed_run_is_stopped_when_a_release_may_be_an_earlier_runs() -> None:
    def play(stage: Stage) -> None:
        machine = prepare(stage)
        spoil_first_answer(machine, machine.take)
        stage.owner.ask(TASK, patience_ms=4900)
        stage.sleep(1500)
        assert stage.owner.kinds(TASK) == [Kind.ANSWER]
        machine.tell(release_message(TASK))
        stage.sleep(200)
        assert stage.owner.kinds(TASK) == [Kind.ANSWER, Kind.RELEASE]
        assert events(machine)[-1] == "release"
        assert machine.running == {}

    Stage(0).run(play)


@pytest.mark.parametrize("cause", [Cause.FULL, Cause.ERROR])
def test_a_refusal_is_the_new_attempts_own(cause: Cause) -> None:
    def play(stage: Stage) -> None:
        machine = prepare(stage)
        refused: list[int] = []

        def refuse(stream: Stream, message: Message) -> None:
            refused.append(message.task)
            del machine.running[message.task]
            stream.send(with_cause(Kind.RELEASE, message.task, cause))

        spoil_first_answer(machine, refuse)
        stage.owner.ask(TASK, patience_ms=4900)
        stage.sleep(4000)
        assert refused
        assert stage.placer.runtime.counts["releases_ambiguous"] == 0
        assert "release" not in events(machine)

    Stage(0).run(play)
