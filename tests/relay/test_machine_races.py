"""Races on machine connections: a stop with the connection's end, a dial with a stall, a close with a release."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.relay.stage import MS, S, Stage, release_message
from wingbarrow.relay import half_closed, link
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.transport import Stream, connect
from wingbarrow.transport.hub import WRITE


def releases(stage: Stage) -> list[int]:
    """Tasks for which the only machine has received a release."""
    return [
        each.message.task
        for each in stage.machines[0].received
        if each.message.kind == Kind.RELEASE
    ]


def stall_at_dial(stage: Stage, patch: pytest.MonkeyPatch, nth: int, for_ms: int) -> None:
    """Stall the process right after the SYN of its nth dial from now, while the kernel completes the handshake."""
    wait, dials = stage.hub.wait, [0]

    def stalled(fd: int, what: int) -> int:
        dials[0] += what == WRITE
        if what == WRITE and dials[0] == nth:
            stage.hub.clock.jump(stage.hub.now_us() + for_ms * MS)
        return wait(fd, what)

    patch.setattr(stage.hub, "wait", stalled)


def time_out_dials(patch: pytest.MonkeyPatch, when: Callable[[], bool]) -> None:
    """Make dials time out while `when` holds."""

    def connect_or_time_out(hub: Any, host: str, port: int) -> Stream:
        if when():
            hub.sleep(60 * S)
        return connect(hub, host, port)

    patch.setattr(link, "connect", connect_or_time_out)


@pytest.mark.parametrize("cls", ["web", "settlement"])
def test_a_stop_that_is_lost_with_its_connection_is_said_again_on_the_next(cls: str) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1, cls)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        (stream,) = machine.streams
        machine.silent = True  # data sent now stays unread, so that the close becomes a reset
        stage.owner.stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))
        stage.sleep(20)
        stream.abort()
        machine.silent = False
        stage.sleep(3000)
        assert len(machine.streams) >= 2, "a new connection was established"
        assert 1 in releases(stage), "its owner has ended it: it must not run on"

    Stage(1).run(play)


@pytest.mark.parametrize("cls", ["web", "settlement"])
def test_a_stop_on_a_connection_to_a_machine_that_was_cut_off_is_said_again_when_it_returns(
    cls: str,
) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1, cls)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        fillers = machine.vanish()
        stage.sleep(20)
        stage.owner.stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))
        stage.sleep(9000)
        assert not stage.placer._links.by_name[machine.name].running, "written off"
        for filler in fillers:
            filler.close()
        back = type(machine)(stage.hub, machine.name, machine.port)
        stage.machines[0] = back
        stage.sleep(3000)
        assert 1 in releases(stage), "its owner has ended it: it must not run on"

    Stage(1).run(play)


@pytest.mark.parametrize("why", ["stall", "late"])
def test_two_dials_at_once_that_run_out_of_time_end_no_offer_that_is_out(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another connection carries an offer that must not be repeated, and the machine answers it in time."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(1, "settlement", patience_ms=4000)
        stage.sleep(50)
        ((stream, message),) = held
        machine.on_set_up = machine.take
        if why == "stall":
            stall_at_dial(stage, monkeypatch, 2, 300)
        else:
            two = [2, 1]
            time_out_dials(monkeypatch, lambda: bool(two) and two.pop() > 0)
        for task in (2, 3):
            stage.owner.ask(task, name=f"{task:016x}", patience_ms=4000)
        stage.sleep(900)
        assert stage.owner.kinds(1) == [], (
            "its connection is open, and its machine accepts new ones"
        )
        machine.take(stream, message)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)


def test_a_dial_that_came_up_during_a_stall_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    def play(stage: Stage) -> None:
        stall_at_dial(stage, monkeypatch, 1, 300)
        stage.owner.ask(1, patience_ms=4000)
        stage.sleep(400)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert stage.placer.runtime.counts["dials_failed:silent"] == 0

    Stage(1).run(play)


@pytest.mark.parametrize("then", ["quiet", "stall"])
def test_one_connection_that_never_came_up_writes_off_nothing(
    then: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next dial would succeed, but it is late: no offer needed one, or this process stalled."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        failing_dials = [1]
        time_out_dials(monkeypatch, lambda: bool(failing_dials) and failing_dials.pop() == 1)
        found = "cores:1;memory:1;service:s1;at:" + machine.name
        if then == "quiet":
            stage.owner.ask(1, patience_ms=200)
            stage.sleep(5000)
            assert stage.placer.runtime.counts["dials_failed:silent"] == 1
            assert not stage.set_ups(1)
            stage.owner.ask(2, "settlement", name="2" * 16, figures=found)
        else:
            stage.owner.ask(2, "settlement", name="2" * 16, figures=found)
            for _ in range(400):
                stage.sleep(10)
                if stage.placer.runtime.counts["dials_failed:silent"]:
                    break
            assert stage.placer.runtime.counts["dials_failed:silent"] == 1
            stage.hub.clock.jump(stage.hub.now_us() + 5 * S)
        stage.sleep(2000)
        assert stage.owner.kinds(2) == [], (
            "the task runs, its machine is reachable, and no second dial has failed"
        )
        machine.tell(release_message(2))
        stage.sleep(100)
        assert stage.owner.kinds(2) == [Kind.RELEASE]
        assert stage.owner.of(2)[0].cause == Cause.OVER

    Stage(1).run(play)


def test_a_release_on_a_connection_that_is_retired_is_read_after_a_stall() -> None:
    """The release was sent before the machine saw the close; this process then stalls beyond CLOSE_TIMEOUT_US."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        crossed: list[Stream] = []

        def crossing(stream: Stream) -> None:
            if not crossed:
                crossed.append(stream)
                stream.send(release_message(1))
                stage.hub.clock.jump(stage.hub.now_us() + half_closed.CLOSE_TIMEOUT_US + 100 * MS)

        machine.on_end = crossing
        for task in (1, 2, 3):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(50)
        assert len(machine.streams) > 1
        note = encode(Kind.NOTE, 2, {Code.REMARK: b"c", Code.LEVEL: b"0.5"})
        for _ in range(
            40
        ):  # notes keep the machine from being silent, so that no liveness dial is due
            stage.sleep(300)
            open_ones = [each for each in machine.streams if each.open and each not in crossed]
            open_ones[-1].send_now(note)
        assert crossed
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
        assert stage.owner.kinds(2) == stage.owner.kinds(3) == [Kind.ANSWER]

    Stage(1).run(play)
