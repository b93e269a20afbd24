"""The page of the standing test, sentence by sentence, without its bench."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from math import sqrt
from pathlib import Path
from typing import Any

import pytest

from tests.relay.stage import (
    MACHINE_DESCRIPTION,
    MS,
    SETTINGS,
    Client,
    Journal,
    S,
    Stage,
    release_message,
)
from wingbarrow.relay import links
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import Code, Kind, Message, encode
from wingbarrow.relay.placer import Placer
from wingbarrow.transport import Stream, connect


def tell(stream: Stream, message: Message) -> None:
    stream.send_now(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}))


def answer_after(stage: Stage, ms: int) -> Callable[[Stream, Message], None]:
    """A machine's way to take set-ups: so much later."""

    def later(stream: Stream, message: Message) -> None:
        stage.hub.call_at(stage.hub.now_us() + ms * MS, lambda: tell(stream, message))

    return later


def test_a_request_on_an_open_connection_after_sigterm_is_answered_and_not_closed_under() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        stage.placer.finish()
        stage.sleep(600)
        stage.machines[0].on_set_up = answer_after(stage, 1800)
        stage.owner.ask(2, patience_ms=2500, name="2" * 16)
        stage.sleep(1900)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        assert stage.owner.ended_us is None

    Stage(1).run(play)


@pytest.mark.parametrize("after_ms", [0, 200, 400])
def test_new_connections_for_a_while_after_sigterm_are_served(after_ms: int) -> None:
    def play(stage: Stage) -> None:
        stage.placer.finish()
        stage.sleep(after_ms)
        late = stage.client()
        stage.sleep(100)
        late.ask(1)
        stage.sleep(100)
        assert late.kinds(1) == [Kind.ANSWER]
        assert late.ended_us is None

    Stage(1).run(play)


def test_what_a_hung_machine_leaves_open_is_waited_for_and_answered_before_a_restart_kills() -> (
    None
):
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        goes_on = answer_after(stage, 2830)
        machine.on_set_up = (
            lambda stream, message: goes_on(stream, message) if message.task == 3 else None
        )
        stage.placer.finish()
        told = stage.hub.now_us()
        stage.sleep(600)
        stage.owner.ask(2, "settlement", patience_ms=2900, name="2" * 16)  # it hangs to the end
        stage.owner.ask(3, "settlement", patience_ms=2900, name="3" * 16)
        while stage.ended_us is None:
            stage.sleep(20)
        (answer,) = stage.owner.of(2)
        assert answer.kind == Kind.RELEASE and answer.cause not in (34, 42, 102), "it may have run"
        assert stage.owner.kinds(3) == [Kind.ANSWER]
        assert stage.ended_us - told <= 3_700 * MS

    Stage(1).run(play)


def test_sighup_that_moves_discovery_holds_while_a_restart_goes_on(tmp_path: Path) -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1, name="1" * 16)
        stage.placer.finish()
        fresh = Journal(stage.hub)
        fresh.events = list(stage.journal.events)
        stage.journal.server.close()
        path = tmp_path / "config.json"
        path.write_text(json.dumps({"journal": f"127.0.0.1:{fresh.server.port}"}))
        stage.placer.reload(str(path))
        stage.sleep(100)
        fresh.add(stage.machines[0].entry("Terminating"))
        stage.sleep(100)
        before = len(stage.machines[0].set_ups())
        for task in range(2, 8):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
        stage.sleep(100)
        assert len(stage.machines[0].set_ups()) == before
        assert all(stage.owner.kinds(task) == [Kind.ANSWER] for task in range(2, 8))

    Stage().run(play)


def test_a_second_answer_some_milliseconds_late_changes_nothing() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        ends: list[Stream] = []
        machine.on_end = ends.append

        def twice(stream: Stream, message: Message) -> None:
            machine.take(stream, message)
            answer_after(stage, 5 * message.task)(stream, message)

        machine.on_set_up = twice
        for task in range(1, 5):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(12)
        machine.tell(release_message(4))  # its second answer comes after its release
        stage.sleep(100)
        machine.tell(release_message(1))
        stage.sleep(50)
        assert stage.owner.kinds(1) == stage.owner.kinds(4) == [Kind.ANSWER, Kind.RELEASE]
        assert stage.owner.kinds(2) == stage.owner.kinds(3) == [Kind.ANSWER]
        assert not ends
        assert not [each for each in machine.received if each.message.kind == Kind.RELEASE], (
            "nothing is stopped"
        )

    Stage(1).run(play)


def late_connections(stage: Stage, patched: pytest.MonkeyPatch, count: int) -> None:
    """The next so many connections to machines come up after a second."""
    left = [count]

    def late(hub: Any, host: str, port: int) -> Stream:
        if left[0] > 0:
            left[0] -= 1
            hub.sleep(S)
        return connect(hub, host, port)

    patched.setattr(links, "connect", late)


def test_a_request_whose_connection_comes_up_late_has_not_run_and_goes_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play(stage: Stage) -> None:
        with monkeypatch.context() as patched:
            late_connections(stage, patched, 1)
            stage.owner.ask(1, "settlement", patience_ms=4000)
            stage.sleep(3000)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert len(stage.set_ups(1)) == 1

    Stage(1).run(play)


def test_what_stands_where_connections_come_up_late_is_not_written_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        with monkeypatch.context() as patched:
            late_connections(stage, patched, 3)
            for stream in machine.streams:
                stream.abort()
            stage.sleep(3000)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        machine.tell(release_message(1))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def test_what_a_watch_that_fell_silent_would_have_told_is_kept_in_time() -> None:
    def play(stage: Stage) -> None:
        drained = stage.machines[0]
        stage.sleep(1200)
        stage.journal.troubles.append(lambda _: stage.hub.sleep(60 * S))
        stage.journal.add(
            stage.machines[1].entry()
        )  # ends the call that is open: the next one falls silent
        stage.sleep(100)
        stage.journal.add(drained.entry("Terminating"))
        stage.sleep(2000)
        owner = stage.client()
        for task in range(1, 7):
            owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
        stage.sleep(100)
        assert not stage.journal.troubles
        assert not drained.set_ups()
        assert all(owner.kinds(task) == [Kind.ANSWER] for task in range(1, 7))

    Stage().run(play)


def test_a_placer_that_knows_400_machines_is_ready_before_any_of_them_is_reached() -> None:
    """The clock here counts no processor time, so what a start costs is counted in calls: some tenths of a second."""

    def play(stage: Stage) -> None:
        stage.journal.add(
            *(
                {
                    **stage.machines[0].entry(),
                    "instanceId": f"m-{i:08x}",
                    "hostPort": f"127.0.0.1:{1 + i}",
                }
                for i in range(400)
            ),
            reset=True,
        )
        calls = [0]

        def count(*_: object) -> None:
            calls[0] += 1

        sys.setprofile(count)
        try:
            placer = stage.make()
        finally:
            sys.setprofile(None)
        began = stage.hub.now_us()
        stage.hub.spawn(placer.run, "second")
        stage.hub.checkpoint()
        front = Client(stage.hub, placer.port)
        assert front.test() == 1
        assert stage.hub.now_us() - began <= 100 * MS
        assert calls[0] <= 400 * 500
        assert placer._links.held == 0
        placer.life.end()

    Stage(1).run(play)


PLACERS, OFFERS = 16, 20.0


def crowd_settings(index: int) -> dict[str, Any]:
    family = {**SETTINGS["family_info"], "fresh_offers": OFFERS}
    return {**SETTINGS, "balancers": PLACERS, "me": index, "family_info": family}


def first_fall(offers: list[tuple[int, bool]]) -> float | None:
    """The page's formula: of the first fall, which part came from placers that had been told; None without one."""
    most, fall_us = OFFERS + 3 * sqrt(OFFERS) + 3, SETTINGS["rules"]["fall_us"]
    for at_us, _ in offers:
        within = [told for when, told in offers if at_us - fall_us < when <= at_us]
        if len(within) > most:
            return sum(within) / len(within)
    return None


def test_the_formula_of_the_page() -> None:
    assert first_fall([(i, True) for i in range(36)]) is None
    assert first_fall([(i, i % 10 > 0) for i in range(40)]) == 33 / 37
    assert first_fall([(i * 100 * MS, True) for i in range(100)]) is None


@pytest.mark.parametrize("late", [0, 4])
def test_sixteen_placers_told_of_a_cold_machine_do_not_push_it_over(late: int) -> None:
    def play(stage: Stage) -> None:
        (machine,), told_at = stage.machines, [stage.journal] * (PLACERS - late)
        lagging = Journal(stage.hub)  # what these placers are told comes later
        lagging.events = list(stage.journal.events)
        placers: list[Placer] = []
        for index, journal in enumerate(told_at + [lagging] * late):
            stage.journal, stage.settings = journal, crowd_settings(index)
            placer: Placer = stage.make()
            stage.hub.spawn(placer.run, f"placer {index}")
            placers.append(placer)
        stage.sleep(3000)  # after its own start a placer takes a cold machine's offers as spent
        owners = [Client(stage.hub, placer.port) for placer in placers]
        entry = machine.entry(started_ms=stage.hub.clock.wall_us() // 1000)
        told_at[0].add(entry)
        stage.sleep(100)
        began = stage.hub.now_us()
        for task in range(1, 13):
            for index, owner in enumerate(owners):
                owner.ask(
                    1000 * (index + 1) + task,
                    name=f"{index:08x}{task:08x}",
                    patience_ms=4000,
                    figures=f"cores:0.01;memory:0.01;service:s{task}",
                )
            stage.sleep(50)
            if task == 10:
                lagging.add(entry)
        stage.sleep(5000)
        offers = [
            (heard.at_us, int(heard.message.values[Code.NAME][:8], 16) < PLACERS - late)
            for heard in machine.set_ups()
            if heard.at_us >= began
        ]
        share = first_fall(offers)
        assert share is None if not late else share is None or share <= 2 / 3
        from_told = sum(
            told for at_us, told in offers if at_us < began + SETTINGS["rules"]["fall_us"]
        )
        assert PLACERS - late <= from_told <= OFFERS, "each its part, and not less"

    Stage(1).run(play)


def odd_files() -> list[Any]:
    """What a replaced file may hold by mistake."""
    return [
        "",
        "{",
        "[]",
        "7",
        "null",
        b"\xff\xfe\x00",
        "[" * 100_000,
        {},
        {"journal": None},
        {"journal": 7},
        {"journal": "nowhere"},
        {"journal": "h:"},
        {"journal": "h:99999"},
        {"journal": ["127.0.0.1:1"]},
    ]


def test_a_replaced_file_that_cannot_be_used_leaves_the_old_one_in_force(tmp_path: Path) -> None:
    def play(stage: Stage) -> None:
        lines: list[str] = []
        stage.placer.life.log = lambda event, **more: lines.append(event)
        for index, value in enumerate(odd_files()):
            path = tmp_path / f"{index}.json"
            path.write_bytes(
                value
                if isinstance(value, bytes)
                else value.encode()
                if isinstance(value, str)
                else json.dumps(value).encode()
            )
            stage.placer.reload(str(path))
        stage.placer.reload(str(tmp_path))  # a folder
        assert lines == ["reload-refused"] * (len(odd_files()) + 1)
        assert stage.placer._follower._address == Address("127.0.0.1", stage.journal.server.port)
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)
