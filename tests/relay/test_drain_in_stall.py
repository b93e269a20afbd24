"""A drain that is told while the placer stands still, after the answer that it will read first was written."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from tests.relay.stage import MS, Stage
from wingbarrow.decide.list_freshness import MAX_HOLD_US
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import Kind
from wingbarrow.transport import Hub, PeerGone, Stream, listen

STALL_MS = 1800
NETWORK_US = 1_500  # to the journal service and back


@dataclass
class Call:
    """A call that waits for news."""

    stream: Stream
    tail: int
    wait_ms: int


class ManualJournal:
    """A journal service that answers calls without news only when it is told to; `is_mute`: not at all."""

    def __init__(self, hub: Hub, known: dict[str, Any]) -> None:
        self.hub = hub
        self.events: list[dict[str, Any]] = list(known["entries"])
        self.waiting: list[Call] = []
        self.waits_ms: list[int] = []
        self.is_mute = False
        self.listener = listen(hub, "127.0.0.1", 0, print)
        hub.spawn(lambda: self.listener.serve(self._serve), "manual journal")

    def _serve(self, stream: Stream) -> None:
        head = b""
        while data := stream.receive():
            head += data
            while b"\r\n\r\n" in head:
                line, _, head = head.partition(b"\r\n\r\n")
                target = line.split(b" ")[1].decode()
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                self._on_call(Call(stream, int(query["tail"]), int(query["max_wait"])))

    def _on_call(self, call: Call) -> None:
        self.waits_ms.append(call.wait_ms)
        self.waiting.append(call)
        if call.tail < len(self.events) or call.wait_ms <= 1:
            self.hub.call_at(self.hub.now_us() + NETWORK_US, self.answer_all)

    def answer_all(self) -> None:
        """Answer the calls that wait."""
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            if self.is_mute:
                continue
            value = {"pos": len(self.events), "entries": self.events[call.tail :]}
            body = json.dumps(value).encode()
            try:
                call.stream.send_now(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                )
            except PeerGone:
                pass

    def add(self, *entries: dict[str, Any]) -> None:
        """Put an event into the service, and answer the calls that wait."""
        position = len(self.events) + 1
        hosts = {"generation": position, "reset": False, "instances": list(entries)}
        self.events.append({"pos": position, "hosts": hosts})
        self.answer_all()


def follow(stage: Stage) -> ManualJournal:
    """Have the placer ask another journal service, until a call of it waits there; its owner is known by then."""
    stage.owner.ask(50, name="5" * 16)
    journal = ManualJournal(stage.hub, stage.journal.known())
    stage.placer._follower.change_address(Address("127.0.0.1", journal.listener.port))
    while not journal.waiting:
        stage.sleep(5)
    return journal


def stall(stage: Stage, meanwhile: Callable[[], None]) -> None:
    """The placer stands still for STALL_MS; `meanwhile` happens shortly before it goes on."""

    def call() -> None:
        stage.hub.clock.jump(stage.hub.now_us() + STALL_MS * MS)
        meanwhile()

    stage.hub.spawn(call, "stall")


# KNOWN-RED since issue 57: review/3 of 873f3e0. The set-up went to the machine 0.8 s after its drain had been told.
@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_nothing_goes_to_a_machine_whose_drain_was_told_in_a_stall_behind_an_older_answer(
    task_class: str,
) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        journal = follow(stage)

        def meanwhile() -> None:
            journal.add(machine.entry("Terminating"))
            stage.owner.ask(1, task_class, patience_ms=5000)

        journal.answer_all()  # without news, as the wait is over; unread until the stall ends
        stall(stage, meanwhile)
        stage.sleep(STALL_MS + 1000)
        assert stage.set_ups(1) == []
        assert stage.placer.runtime.counts["sends_held_for_list"] > 0
        assert 1 in journal.waits_ms, "the call after the stall asks for no wait"

    Stage(1).run(play)


def test_where_no_drain_was_told_the_task_is_sent_as_soon_as_the_service_says_so() -> None:
    def play(stage: Stage) -> None:
        journal = follow(stage)
        journal.answer_all()
        stall(stage, lambda: stage.owner.ask(1, patience_ms=5000))
        resumed_us = stage.hub.now_us() + STALL_MS * MS
        stage.sleep(STALL_MS + 1000)
        ((_, set_up),) = stage.set_ups(1)
        assert set_up.at_us - resumed_us <= 20 * MS
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)


def test_a_service_that_does_not_answer_holds_work_for_a_stated_time_only() -> None:
    def play(stage: Stage) -> None:
        journal = follow(stage)

        def meanwhile() -> None:
            journal.is_mute = True
            stage.owner.ask(1, patience_ms=5000)

        journal.answer_all()
        stall(stage, meanwhile)
        resumed_us = stage.hub.now_us() + STALL_MS * MS
        stage.sleep(STALL_MS + 1000)
        ((_, set_up),) = stage.set_ups(1)
        held_us = set_up.at_us - resumed_us
        assert MAX_HOLD_US - 5 * MS <= held_us <= MAX_HOLD_US + 20 * MS

    Stage(1).run(play)


def test_without_a_stall_nothing_is_held() -> None:
    def play(stage: Stage) -> None:
        for task in range(1, 30):
            stage.owner.ask(task, name=f"{task:016x}", figures="cores:0.1;memory:0.1;service:s1")
            stage.sleep(130)
        assert stage.placer.runtime.counts["sends_held_for_list"] == 0

    Stage(1).run(play)
