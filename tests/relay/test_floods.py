"""Peers that send at full speed: others are served meanwhile, and what no sound peer sends ends the connection."""

from __future__ import annotations

import pytest

from tests.relay.stage import MACHINE_DESCRIPTION, Machine, Stage
from wingbarrow.relay import link
from wingbarrow.relay.message import Code, Kind, encode
from wingbarrow.transport import Hub, PeerGone, Stream
from wingbarrow.transport.turns import MAX_MESSAGES_PER_TURN

TASK = 1
ANSWER = encode(Kind.ANSWER, TASK, {Code.DESCRIPTION: MACHINE_DESCRIPTION})
PROGRESS = encode(Kind.PROGRESS, TASK, {})
MESSAGES = 4000


class Ticker:
    """Counts the turns that other tasks get."""

    def __init__(self, hub: Hub) -> None:
        self.ticks = 0
        self._hub = hub
        self._is_running = True
        hub.spawn(self._run, "ticker")

    def _run(self) -> None:
        while self._is_running:
            self.ticks += 1
            self._hub.checkpoint()

    def stop(self) -> int:
        self._is_running = False
        return self.ticks


def place(stage: Stage, task: int = TASK, task_class: str = "web") -> Stream:
    """Have a task placed; the machine's connection that it was placed on."""
    stage.owner.ask(task, task_class, name=f"{task:016x}", patience_ms=4900)
    stage.sleep(50)
    assert stage.owner.kinds(task) == [Kind.ANSWER]
    return next(stream for stream in stage.machines[0].streams if stream.open)


def flood(stream: Stream, message: bytes, count: int = MESSAGES) -> None:
    """Send a message again and again, without a pause."""
    try:
        stream.send(message * count)
    except PeerGone:
        pass


# review/7: the placer read the connection on which an answer kept coming, and did nothing else.
@pytest.mark.parametrize("message", [ANSWER, PROGRESS], ids=["answer", "progress"])
def test_other_tasks_run_while_a_machine_sends_without_end(
    message: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(link, "MAX_UNEXPECTED_MESSAGES", 2 * MESSAGES)

    def play(stage: Stage) -> None:
        stream = place(stage)
        (connection,) = stage.placer._links.by_name[stage.machines[0].name].connections
        expected_bytes = connection.stream.bytes_in + MESSAGES * len(message)
        ticker = Ticker(stage.hub)
        stage.hub.spawn(lambda: flood(stream, message), "flood")
        while connection.stream.bytes_in < expected_bytes or connection.framer.buffered:
            stage.hub.checkpoint()
        assert ticker.stop() >= MESSAGES // MAX_MESSAGES_PER_TURN
        assert stage.placer.runtime.counts["machines:unreadable"] == 0

    Stage(1).run(play)


def test_a_machine_whose_answer_keeps_coming_is_cut_and_its_tasks_go_on() -> None:
    def play(stage: Stage) -> None:
        place(stage, 2, "settlement")
        stream = place(stage, TASK)
        flood(stream, ANSWER)
        stage.sleep(500)
        counts = stage.placer.runtime.counts
        assert counts["machines:unreadable"] == 1
        assert counts["answers_doubled"] == link.MAX_UNEXPECTED_MESSAGES + 1
        assert stage.owner.kinds(TASK) == stage.owner.kinds(2) == [Kind.ANSWER]
        assert [len(stage.set_ups(task)) for task in (TASK, 2)] == [1, 1]
        assert any(each.open for each in stage.machines[0].streams), "connected again for its news"

    Stage(1).run(play)


def test_an_open_set_up_behind_a_connection_that_is_cut_is_not_started_twice() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[Stream] = []
        machine.on_set_up = lambda stream, message: held.append(stream)
        stage.owner.ask(TASK, "settlement", patience_ms=4900)
        stage.sleep(50)
        other = encode(Kind.ANSWER, TASK + 1, {Code.DESCRIPTION: MACHINE_DESCRIPTION})
        flood(held[0], other)
        stage.sleep(4000)
        assert len(stage.set_ups(TASK)) == 1
        assert stage.owner.kinds(TASK) == [Kind.RELEASE]

    Stage(1).run(play)


def test_second_answers_between_sound_messages_do_not_end_a_connection() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        doubled = Doubling(machine)
        for task in range(1, 40):
            stage.owner.ask(task, name=f"{task:016x}", figures="cores:0.1;memory:0.1;service:s1")
            stage.sleep(60)
        assert doubled.sent > link.MAX_UNEXPECTED_MESSAGES
        assert stage.placer.runtime.counts["machines:unreadable"] == 0

    Stage(1).run(play)


class Doubling:
    """Has a machine answer each set-up many times."""

    COPIES = 60

    def __init__(self, machine: Machine) -> None:
        self.sent = 0
        machine.on_set_up = lambda stream, message: self._answer(stream, message.task)

    def _answer(self, stream: Stream, task: int) -> None:
        self.sent += self.COPIES
        stream.send(
            encode(Kind.ANSWER, task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}) * self.COPIES
        )


# Beside review/7: the answer of another machine to a test that it was not asked for took the probe's place.
def test_a_test_answer_that_nobody_asked_for_changes_nothing() -> None:
    def play(stage: Stage) -> None:
        stage.machines[0].silent = True
        probes = stage.placer._offers.probes
        probes.ask(stage.placer._links.by_name[stage.machines[0].name].ident)
        place_on = stage.placer._links.by_name[stage.machines[1].name]
        stage.sleep(50)
        (ident,) = probes._pending
        message = encode(Kind.TESTED, ident, {})
        place_on.dial()
        stage.sleep(50)
        stage.machines[1].tell(message)
        stage.sleep(50)
        assert list(probes._pending) == [ident]

    Stage(2).run(play)
