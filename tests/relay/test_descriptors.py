"""More machines than the descriptor table has room for: the budget holds, and nobody is looked after the less."""

from __future__ import annotations

from typing import Any

import pytest

from tests.relay.stage import SETTINGS, Client, Machine, S, Stage, over
from wingbarrow.decide.descriptor_budget import DescriptorBudget
from wingbarrow.relay.message import Kind
from wingbarrow.transport import Stream

MANY: dict[str, Any] = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "fresh_offers": 200.0},
}


class Telling(Machine):
    """Says what is over on any open connection and again on the next that opens, as the protocol has it."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.ended: dict[int, int] = {}  # tasks that are over here, and when

    def end_all(self) -> None:
        """Every task that stands here comes to its end."""
        for heard in self.set_ups():
            self.ended.setdefault(heard.message.task, self.hub.now_us())
        for stream in self.streams:
            if stream.open:
                self._tell_all(stream)
                return

    def _tell_all(self, stream: Stream) -> None:
        for task in self.ended:
            stream.send_now(over(task))

    def _serve(self, stream: Stream) -> None:
        self._tell_all(stream)
        super()._serve(stream)


class Crowded(Stage):
    """A stage whose machines come later, and so many tasks for each."""

    a_machine = 3.0

    def fill(self, count: int) -> list[Telling]:
        """So many machines, and a task running on each."""
        machines = [Telling(self.hub, f"m-{i:08x}") for i in range(count)]
        self.journal.add(*(each.entry() for each in machines))
        self.sleep(200)
        self.held_most = 0
        self.hub.spawn(lambda: self._watch(machines), "watch")
        for task in range(1, int(count * self.a_machine) + 1):
            self.owner.ask(
                task,
                name=f"{task:016x}",
                figures=f"cores:7;memory:1;service:s{task}",
                patience_ms=4000,
            )
            self.sleep(5)
        self.sleep(500)
        return machines

    def _watch(self, machines: list[Telling]) -> None:
        while True:
            at_machines = sum(stream.open for each in machines for stream in each.streams)
            self.held_most = max(self.held_most, len(self.placer.owners) + at_machines)
            self.sleep(5)


@pytest.mark.parametrize(("sockets", "count"), [(96, 120), (192, 250)])
def test_more_machines_than_the_table_holds_are_all_heard_in_time(sockets: int, count: int) -> None:
    def play(stage: Stage) -> None:
        assert isinstance(stage, Crowded)
        machines = stage.fill(count)
        with_tasks = [each for each in machines if each.set_ups()]
        assert len(with_tasks) > min(count * 0.8, sockets * 0.6), (
            "tasks stand on more machines than half the table"
        )
        stage.sleep(6000)  # looks go round meanwhile
        for machine in with_tasks:
            machine.end_all()
        stage.sleep(8000)
        assert stage.held_most <= DescriptorBudget(sockets).total
        heard = {
            each.message.task: each.at_us
            for each in stage.owner.heard
            if each.message.kind == Kind.RELEASE
        }
        answered = {
            each.message.task for each in stage.owner.heard if each.message.kind == Kind.ANSWER
        }
        ended = {
            task: at_us
            for each in with_tasks
            for task, at_us in each.ended.items()
            if task in answered
        }
        missing = [task for task in ended if task not in heard]
        assert not missing, f"{len(missing)} of {len(ended)} releases never came"
        assert max(heard[task] - at_us for task, at_us in ended.items()) <= 8 * S

    Crowded(0, settings=MANY, sockets=sockets).run(play)


def test_looks_at_machines_that_have_nothing_to_say_pile_up_no_connections() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        two = 0
        for _ in range(200):
            stage.sleep(50)
            two += sum(stream.open for stream in machine.streams) > 1
        assert len(machine.streams) >= 4, "it was looked at"
        assert two <= 10, "each took the place of the one before"
        assert stage.owner.kinds(1) == [Kind.ANSWER]

    Stage(1).run(play)


def test_owners_get_room_from_machines_as_long_as_they_hold_less_than_their_part() -> None:
    def play(stage: Stage) -> None:
        assert isinstance(stage, Crowded)
        stage.fill(110)
        usual = stage.owner
        more: list[Client] = []
        for task in range(1001, 1021):
            more.append(stage.client())
            more[-1].ask(task, name=f"{task:016x}", figures="cores:0.1;memory:0.1;service:late")
            stage.sleep(20)
        stage.sleep(300)
        assert all(client.stream.open for client in [usual, *more]), (
            "none of them is closed for a machine's sake"
        )
        answers = sum(
            client.kinds(task) == [Kind.ANSWER]
            for task, client in zip(range(1001, 1021), more, strict=True)
        )
        assert answers >= 15
        assert stage.held_most <= DescriptorBudget(96).total

    Crowded(0, settings=MANY, sockets=96).run(play)


@pytest.mark.parametrize("broken", [0, 1])
def test_a_machine_that_takes_no_new_connections_and_keeps_the_old_is_asked_at_a_bounded_pace(
    broken: int,
) -> None:
    """As on a drain: its process lives and has closed its door. `broken`: one of its old connections was reset too."""

    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        for task in (1, 2):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(50)
        assert len(machine.streams) == 2
        machine.listener.close()
        for stream in machine.streams[:broken]:
            stream.abort()
        counts = stage.placer.life.counts
        stage.sleep(10_000)
        refused = counts["dials_failed:ECONNREFUSED"]
        assert 1 <= refused <= 24, f"{refused} times in 10 s"
        assert stage.owner.kinds(2) == [Kind.ANSWER], "what stands there stands"
        machine.tell(over(2))
        stage.sleep(100)
        assert stage.owner.kinds(2) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)
