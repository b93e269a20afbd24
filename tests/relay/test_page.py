"""The requirements of the platform's standing test, one by one, without its test bench."""

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
from wingbarrow.relay import link
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import Code, Kind, Message, encode
from wingbarrow.relay.placer import Placer
from wingbarrow.transport import Stream, connect


def send_answer(stream: Stream, message: Message) -> None:
    stream.send_now(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}))


def answer_after(stage: Stage, ms: int) -> Callable[[Stream, Message], None]:
    """A handler of set-ups that answers after `ms` milliseconds."""

    def later(stream: Stream, message: Message) -> None:
        stage.hub.call_at(stage.hub.now_us() + ms * MS, lambda: send_answer(stream, message))

    return later


def test_a_request_on_an_open_connection_after_sigterm_is_answered_before_the_close() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        stage.placer.begin_shutdown()
        stage.sleep(600)
        stage.machines[0].on_set_up = answer_after(stage, 1800)
        stage.owner.ask(2, patience_ms=2500, name="2" * 16)
        stage.sleep(1900)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        assert stage.owner.ended_us is None

    Stage(1).run(play)


@pytest.mark.parametrize("after_ms", [0, 200, 400])
def test_new_connections_shortly_after_sigterm_are_served(after_ms: int) -> None:
    def play(stage: Stage) -> None:
        stage.placer.begin_shutdown()
        stage.sleep(after_ms)
        late = stage.client()
        stage.sleep(100)
        late.ask(1)
        stage.sleep(100)
        assert late.kinds(1) == [Kind.ANSWER]
        assert late.ended_us is None

    Stage(1).run(play)


def test_requests_at_a_hung_machine_are_answered_before_a_restart_kills_the_placer() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        answer_late = answer_after(stage, 2830)
        machine.on_set_up = (
            lambda stream, message: answer_late(stream, message) if message.task == 3 else None
        )
        stage.placer.begin_shutdown()
        signalled_us = stage.hub.now_us()
        stage.sleep(600)
        # The machine never answers task 2, and answers task 3 late.
        stage.owner.ask(2, "settlement", patience_ms=2900, name="2" * 16)
        stage.owner.ask(3, "settlement", patience_ms=2900, name="3" * 16)
        while stage.ended_us is None:
            stage.sleep(20)
        (answer,) = stage.owner.of(2)
        assert answer.kind == Kind.RELEASE and answer.cause not in (34, 42, 102), (
            "the cause claims that it did not run"
        )
        assert stage.owner.kinds(3) == [Kind.ANSWER]
        assert stage.ended_us - signalled_us <= 3_700 * MS

    Stage(1).run(play)


def test_a_discovery_address_changed_by_sighup_is_used_during_shutdown(tmp_path: Path) -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1, name="1" * 16)
        stage.placer.begin_shutdown()
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


def test_a_duplicate_answer_changes_nothing() -> None:
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
        machine.tell(release_message(4))  # its second answer arrives after its release
        stage.sleep(100)
        machine.tell(release_message(1))
        stage.sleep(50)
        assert stage.owner.kinds(1) == stage.owner.kinds(4) == [Kind.ANSWER, Kind.RELEASE]
        assert stage.owner.kinds(2) == stage.owner.kinds(3) == [Kind.ANSWER]
        assert not ends
        assert not [each for each in machine.received if each.message.kind == Kind.RELEASE], (
            "a task was stopped"
        )

    Stage(1).run(play)


def late_connections(stage: Stage, patched: pytest.MonkeyPatch, count: int) -> None:
    """Delay the next `count` connections to machines by a second."""
    left = [count]

    def late(hub: Any, host: str, port: int) -> Stream:
        if left[0] > 0:
            left[0] -= 1
            hub.sleep(S)
        return connect(hub, host, port)

    patched.setattr(link, "connect", late)


def test_a_request_whose_connection_times_out_is_retried(
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


def test_running_tasks_are_kept_while_reconnecting_is_slow(
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


def test_a_drain_withheld_by_a_silent_service_is_respected_in_time() -> None:
    def play(stage: Stage) -> None:
        drained = stage.machines[0]
        stage.sleep(1200)
        stage.journal.troubles.append(lambda _: stage.hub.sleep(60 * S))
        # Ends the poll in progress; the next one gets no answer.
        stage.journal.add(stage.machines[1].entry())
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


def test_a_placer_with_400_machines_is_ready_before_it_connects_to_any() -> None:
    """The virtual clock counts no CPU time, so a start (tenths of a second) is counted in function calls."""

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
        placer.runtime.shut_down()

    Stage(1).run(play)


PLACERS = 16
FRESH_OFFERS = 20.0  # offers that a cold machine takes within `fall_us`


def placer_settings(index: int) -> dict[str, Any]:
    family = {**SETTINGS["family_info"], "fresh_offers": FRESH_OFFERS}
    return {**SETTINGS, "balancers": PLACERS, "me": index, "family_info": family}


def first_overload_share(offers: list[tuple[int, bool]]) -> float | None:
    """The standing test's formula: the share of offers from informed placers at the first overload, None without one.

    `offers` holds the time of each offer and whether its placer had the list event by then. An overload is more than
    FRESH_OFFERS + 3 * sqrt(FRESH_OFFERS) + 3 offers within `fall_us`.
    """
    most, fall_us = FRESH_OFFERS + 3 * sqrt(FRESH_OFFERS) + 3, SETTINGS["rules"]["fall_us"]
    for at_us, _ in offers:
        within = [informed for when, informed in offers if at_us - fall_us < when <= at_us]
        if len(within) > most:
            return sum(within) / len(within)
    return None


def test_the_overload_formula_of_the_standing_test() -> None:
    assert first_overload_share([(i, True) for i in range(36)]) is None
    assert first_overload_share([(i, i % 10 > 0) for i in range(40)]) == 33 / 37
    assert first_overload_share([(i * 100 * MS, True) for i in range(100)]) is None


@pytest.mark.parametrize("late", [0, 4])
def test_sixteen_placers_do_not_overload_a_cold_machine(late: int) -> None:
    def play(stage: Stage) -> None:
        (machine,), informed_journals = stage.machines, [stage.journal] * (PLACERS - late)
        lagging = Journal(stage.hub)  # delivers the event later to its placers
        lagging.events = list(stage.journal.events)
        placers: list[Placer] = []
        for index, journal in enumerate(informed_journals + [lagging] * late):
            stage.journal, stage.settings = journal, placer_settings(index)
            placer: Placer = stage.make()
            stage.hub.spawn(placer.run, f"placer {index}")
            placers.append(placer)
        # A placer that has just started assumes that a cold machine's offers are used up.
        stage.sleep(3000)
        owners = [Client(stage.hub, placer.port) for placer in placers]
        entry = machine.entry(started_ms=stage.hub.clock.wall_us() // 1000)
        informed_journals[0].add(entry)
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
        share = first_overload_share(offers)
        assert share is None if not late else share is None or share <= 2 / 3
        from_informed = sum(
            informed for at_us, informed in offers if at_us < began + SETTINGS["rules"]["fall_us"]
        )
        assert PLACERS - late <= from_informed <= FRESH_OFFERS, (
            "a placer sent less or more than its share"
        )

    Stage(1).run(play)


def invalid_files() -> list[Any]:
    """Invalid contents of a replaced configuration file."""
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


def test_an_unusable_replaced_file_keeps_the_old_address(tmp_path: Path) -> None:
    def play(stage: Stage) -> None:
        lines: list[str] = []
        stage.placer.runtime.log = lambda event, **more: lines.append(event)
        for index, value in enumerate(invalid_files()):
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
        assert lines == ["reload-refused"] * (len(invalid_files()) + 1)
        assert stage.placer._follower._address == Address("127.0.0.1", stage.journal.server.port)
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)
