"""More machines than descriptors: the budget holds, and every machine's releases still arrive in time; a full table."""

from __future__ import annotations

import errno
import os
import resource
import socket
from typing import Any

import pytest

from tests.relay.stage import MS, SETTINGS, Client, Journal, Machine, S, Stage, release_message
from tests.relay.test_list import follower, phase, wait_until
from wingbarrow import interface as api
from wingbarrow.decide.descriptor_budget import DescriptorBudget
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.message import Kind
from wingbarrow.transport import Stream

MANY: dict[str, Any] = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "fresh_offers": 200.0},
}


class RepeatingMachine(Machine):
    """Sends releases on any open connection and repeats them on the next one, as the protocol requires."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.ended: dict[int, int] = {}  # when each task ended here, by task

    def end_all(self) -> None:
        """End every task that runs here."""
        for received in self.set_ups():
            self.ended.setdefault(received.message.task, self.hub.now_us())
        for stream in self.streams:
            if stream.open:
                self._send_releases(stream)
                return

    def _send_releases(self, stream: Stream) -> None:
        for task in self.ended:
            stream.send_now(release_message(task))

    def _serve(self, stream: Stream) -> None:
        self._send_releases(stream)
        super()._serve(stream)


class CrowdedStage(Stage):
    """A stage whose machines are added by `fill`, with `tasks_per_machine` tasks for each."""

    tasks_per_machine = 3.0

    def fill(self, count: int) -> list[RepeatingMachine]:
        """Add `count` machines and submit `tasks_per_machine` tasks for each."""
        machines = [RepeatingMachine(self.hub, f"m-{i:08x}") for i in range(count)]
        self.journal.add(*(each.entry() for each in machines))
        self.sleep(200)
        self.max_held = 0
        self.hub.spawn(lambda: self._watch(machines), "watch")
        for task in range(1, int(count * self.tasks_per_machine) + 1):
            self.owner.ask(
                task,
                name=f"{task:016x}",
                figures=f"cores:7;memory:1;service:s{task}",
                patience_ms=4000,
            )
            self.sleep(5)
        self.sleep(500)
        return machines

    def _watch(self, machines: list[RepeatingMachine]) -> None:
        while True:
            at_machines = sum(stream.open for each in machines for stream in each.streams)
            self.max_held = max(self.max_held, len(self.placer.owners) + at_machines)
            self.sleep(5)


@pytest.mark.parametrize(("sockets", "count"), [(96, 120), (192, 250)])
def test_more_machines_than_the_table_holds_are_all_heard_in_time(sockets: int, count: int) -> None:
    def play(stage: Stage) -> None:
        assert isinstance(stage, CrowdedStage)
        machines = stage.fill(count)
        with_tasks = [each for each in machines if each.set_ups()]
        assert len(with_tasks) > min(count * 0.8, sockets * 0.6), (
            "tasks run on more machines than half the descriptor table"
        )
        stage.sleep(6000)  # liveness dials take place meanwhile
        for machine in with_tasks:
            machine.end_all()
        stage.sleep(8000)
        assert stage.max_held <= DescriptorBudget(sockets).total
        received = {
            each.message.task: each.at_us
            for each in stage.owner.received
            if each.message.kind == Kind.RELEASE
        }
        answered = {
            each.message.task for each in stage.owner.received if each.message.kind == Kind.ANSWER
        }
        ended = {
            task: at_us
            for each in with_tasks
            for task, at_us in each.ended.items()
            if task in answered
        }
        missing = [task for task in ended if task not in received]
        assert not missing, f"{len(missing)} of {len(ended)} releases never came"
        assert max(received[task] - at_us for task, at_us in ended.items()) <= 8 * S

    CrowdedStage(0, settings=MANY, sockets=sockets).run(play)


def test_liveness_dials_to_silent_machines_do_not_accumulate_connections() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        double_samples = 0
        for _ in range(200):
            stage.sleep(50)
            double_samples += sum(stream.open for stream in machine.streams) > 1
        assert len(machine.streams) >= 4, "liveness dials took place"
        assert double_samples <= 10, "each new connection replaced the previous one"
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)


def test_owners_get_room_from_machines_as_long_as_they_hold_less_than_their_part() -> None:
    def play(stage: Stage) -> None:
        assert isinstance(stage, CrowdedStage)
        stage.fill(110)
        usual = stage.owner
        more: list[Client] = []
        for task in range(1001, 1021):
            more.append(stage.client())
            more[-1].ask(task, name=f"{task:016x}", figures="cores:0.1;memory:0.1;service:late")
            stage.sleep(20)
        stage.sleep(300)
        assert all(client.stream.open for client in [usual, *more]), (
            "no owner connection is closed to make room for a machine's"
        )
        answers = sum(
            client.kinds(task) == [Kind.ANSWER]
            for task, client in zip(range(1001, 1021), more, strict=True)
        )
        assert answers >= 15
        assert stage.max_held <= DescriptorBudget(96).total

    CrowdedStage(0, settings=MANY, sockets=96).run(play)


@pytest.mark.parametrize("broken", [0, 1])
def test_a_machine_that_takes_no_new_connections_and_keeps_the_old_is_asked_at_a_bounded_pace(
    broken: int,
) -> None:
    """A draining machine refuses new connections. With `broken`, one of its open connections was reset, too."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        for task in (1, 2):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(50)
        assert len(machine.streams) == 2
        machine.listener.close()
        for stream in machine.streams[:broken]:
            stream.abort()
        counts = stage.placer.runtime.counts
        stage.sleep(10_000)
        refused = counts["dials_failed:ECONNREFUSED"]
        assert 1 <= refused <= 24, f"{refused} times in 10 s"
        assert stage.owner.kinds(2) == [Kind.ANSWER], "the task continues to run"
        machine.tell(release_message(2))
        stage.sleep(100)
        assert stage.owner.kinds(2) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def duplicate() -> int | None:
    """A copy of a descriptor; None if the table is full."""
    try:
        return os.dup(0)
    except OSError as error:
        if error.errno != errno.EMFILE:
            raise
        return None


def test_a_full_descriptor_table_delays_polls_by_half_a_second_at_most() -> None:
    def play(stage: Stage) -> None:
        counts = stage.placer.runtime.counts
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        held: list[int] = []

        def fill() -> bool:
            while (descriptor := duplicate()) is not None:
                held.append(descriptor)
            return counts["journal_failures"] >= 8

        reasons: list[str] = []

        def log(what: str, **fields: object) -> None:
            if what == "journal-poll-failed":
                reasons.append(str(fields["why"]))

        stage.placer.runtime.log = log
        # Nobody listens there: a call that got a descriptor after all does not wait for a stand-in without one.
        with socket.create_server(("127.0.0.1", 0)) as unused:
            port = unused.getsockname()[1]
        calls = len(stage.journal.calls)
        try:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 3, hard)
            )
            follower(stage).change_address(Address("127.0.0.1", port))
            wait_until(stage, fill)
            reasons.clear()
            for _ in range(4000):
                stage.sleep(1)
                fill()  # takes the descriptors of connections that end meanwhile
            assert 14 <= counts["journal_failures"] <= 30
            assert reasons == ["connection refused: EMFILE"] * len(reasons)
            assert len(stage.journal.calls) == calls
        finally:
            for each in held:
                os.close(each)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        fresh = Journal(stage.hub, port)
        fresh.events = list(stage.journal.events)
        fresh.add(stage.machines[0].entry("Terminating"))
        assert (
            wait_until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
            <= 510 * MS
        )

    Stage().run(play)
