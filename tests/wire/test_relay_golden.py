"""The platform's binary messages, both ways, byte by byte: each type, each parameter, and what a placer sends."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from tests.relay.stage import Client, Machine, Stage, release_message
from tests.relay.test_owner_races import move
from tests.wire.golden import assert_golden
from wingbarrow.relay import message as wire
from wingbarrow.relay.message import Framer, encode, with_cause
from wingbarrow.transport import Stream

# By number: names in the program may change, these may not.
KINDS = (1, 6, 9, 12, 16, 44, 51, 52, 53)
CODES = (3, 6, 12, 15, 18, 21, 24, 30, 33, 39, 45, 48)
CAUSES = (16, 31, 34, 41, 42, 47, 102)
HEX = "{:02x}".format


def hexed(data: bytes) -> str:
    return " ".join(map(HEX, data))


def test_no_number_is_missing_here() -> None:
    assert sorted(set(wire.Kind)) == list(KINDS)
    assert sorted(set(wire.Code)) == list(CODES)
    assert sorted(set(wire.Cause)) == list(CAUSES)


def messages() -> dict[str, bytes]:
    """Each type with each parameter, empty and not, and each cause; ids at both ends of their range."""
    made = {}
    for kind in KINDS:
        made[f"{kind} bare"] = encode(kind, 0x0123456789ABCDEF, {})
        made[f"{kind} last id"] = encode(kind, 2**64 - 1, {})
        for code in CODES:
            made[f"{kind} parameter {code}"] = encode(kind, 7, {code: b"some text"})
        for cause in CAUSES:
            made[f"{kind} cause {cause}"] = with_cause(kind, 8, cause)
    made["every parameter"] = encode(1, 9, {code: bytes([code] * 2) for code in CODES})
    made["an empty one, and one without a name"] = encode(1, 10, {24: b"", 200: b"\x00\xff"})
    made["a cause and more"] = with_cause(12, 11, 42, {21: b"250", 24: b"busy"})
    return made


def test_messages_as_they_are_written() -> None:
    lines = [f"{name}: {hexed(data)}" for name, data in messages().items()]
    assert_golden("relay/messages.txt", "\n".join([*lines, ""]).encode())


def test_messages_as_they_are_read() -> None:
    framer, lines = Framer(), []
    for name, data in messages().items():
        framer.feed(data)
        read = framer.next()
        assert read is not None
        assert framer.next() is None
        values = {code: value.hex() for code, value in read.values.items()}
        lines.append(f"{name}: {json.dumps([read.kind, read.task, values])}")
    assert_golden("relay/read.txt", "\n".join([*lines, ""]).encode())


class Wiretap:
    """All bytes that a placer sends to its stand-in machines and owners, by connection, as they come."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lines: list[str] = []
        receive = Stream.receive

        def tapped(stream: Stream, *arguments: int) -> bytes:
            data = receive(stream, *arguments)
            who = next((name for each, name in self.ends if each is stream), "")
            if who and data:
                self.lines += [f"{who}: {hexed(each)}" for each in split(data)]
            return data

        monkeypatch.setattr(Stream, "receive", tapped)
        self.ends: list[tuple[Stream, str]] = []

        def serving(
            serve: Callable[[Machine, Stream], None],
        ) -> Callable[[Machine, Stream], None]:
            def named(machine: Machine, stream: Stream) -> None:
                self.ends.append((stream, f"to machine {machine.name}"))
                serve(machine, stream)

            return named

        monkeypatch.setattr(Machine, "_serve", serving(Machine._serve))
        read = Client._read

        def reading(client: Client) -> None:
            self.ends.append((client.stream, "to owner"))
            read(client)

        monkeypatch.setattr(Client, "_read", reading)


def split(data: bytes) -> list[bytes]:
    """Whole messages of a read; the stand-ins read each before more comes."""
    found = []
    while data:
        end = 2 + int.from_bytes(data[:2], "big")
        found.append(data[:end])
        data = data[end:]
    return found


class Exchange:
    """One exchange with a placer, in sections, each with a connection of its own."""

    def __init__(self, stage: Stage, tap: Wiretap) -> None:
        self.stage, self._tap = stage, tap

    def section(self, what: str) -> None:
        self.stage.sleep(300)
        self._tap.lines.append(f"-- {what}")
        self.stage.owner = self.stage.client()

    def machine_of(self, task: int) -> Machine:
        ((machine, _),) = self.stage.set_ups(task)
        return machine

    def refuse_with(self, cause: int) -> None:
        def refuse(stream: Stream, message: wire.Message) -> None:
            stream.send(with_cause(12, message.task, cause, {21: b"100", 24: b"1"}))

        for machine in self.stage.machines:
            machine.on_set_up = refuse


def test_what_a_placer_sends_of_tasks_that_stand(monkeypatch: pytest.MonkeyPatch) -> None:
    tap = Wiretap(monkeypatch)

    def play(stage: Stage) -> None:
        exchange = Exchange(stage, tap)
        exchange.section("a test")
        stage.owner.stream.send(with_cause(52, 99, 0))
        exchange.section("a task that stands, is told of and is released")
        stage.owner.ask(7, patience_ms=1500)
        stage.sleep(50)
        machine = exchange.machine_of(7)
        machine.tell(encode(44, 7, {39: b"0.5", 24: b"cores"}))
        machine.tell(encode(6, 7, {24: b"on its way"}))
        machine.tell(release_message(7))
        exchange.section("with all parameters")
        stage.owner.ask(8, RETRY=b"1", REMARK=b"words", LEVEL=b"3")
        stage.sleep(300)
        tap.lines.append("-- given up by its owner")
        stage.owner.stream.send(with_cause(12, 8, 16))
        exchange.section("a machine leaves, its task moves")
        stage.owner.ask(60)
        stage.sleep(100)
        machine = exchange.machine_of(60)
        stage.journal.add(machine.entry("Terminating"))
        stage.sleep(1000)
        exchange.section("the module moves a task")
        stage.owner.ask(1)
        stage.sleep(100)
        machine = exchange.machine_of(1)
        move(stage)
        exchange.section("a machine is gone with a task on it")
        stage.owner.ask(61)
        stage.sleep(100)
        exchange.machine_of(61).die()
        exchange.section("the end")

    Stage().run(play)
    assert_golden("relay/sent-of-standing.txt", "\n".join([*tap.lines, ""]).encode())


def test_what_a_placer_sends_of_tasks_that_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    tap = Wiretap(monkeypatch)

    def play(stage: Stage) -> None:
        exchange = Exchange(stage, tap)
        exchange.section("an unknown class, no name, no figures, held already")
        stage.owner.ask(20, cls="none")
        stage.owner.ask(21, name="x")
        stage.owner.ask(22, figures="")
        stage.owner.ask(23, figures="cores:1;memory:1;service:s1;at:s-00000001")
        exchange.section("an id twice")
        stage.owner.ask(24)
        stage.owner.ask(24)
        for number, cause in enumerate(CAUSES):
            exchange.section(f"refused by machines for {cause}, till it is out of tries")
            exchange.refuse_with(cause)
            stage.owner.ask(30 + number, patience_ms=400)
            stage.sleep(900)
        exchange.section("no answer before its patience ends")
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: None
        stage.owner.ask(50, patience_ms=300)
        stage.sleep(1000)
        exchange.section("the end")

    Stage().run(play)
    assert_golden("relay/sent-of-refused.txt", "\n".join([*tap.lines, ""]).encode())
