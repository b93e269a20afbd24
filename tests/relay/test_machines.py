"""Machines that crash, are cut off, are silent, restart or are replaced, and the placer's connections to them."""

from __future__ import annotations

import pytest

from tests.relay.stage import Machine, S, Stage, release_message
from wingbarrow.decide.descriptor_budget import DescriptorBudget
from wingbarrow.relay import link
from wingbarrow.relay.message import Cause, Kind, Message, with_cause
from wingbarrow.transport import PeerGone, Stream


def test_a_release_lost_with_its_connection_is_fetched_on_a_new_one() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        stage.owner.ask(1)
        stage.sleep(20)
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(2, name="f" * 16)  # uses the idle connection and keeps it busy
        stage.owner.ask(3, name="e" * 16)  # opens a second connection
        stage.sleep(50)
        first, second = [stream for stream in machine.streams if stream.open]
        count = len(machine.streams)
        first.abort()  # a release on it may be lost, although another connection is open
        stage.sleep(300)
        assert second.open
        assert len(machine.streams) > count

    Stage(1).run(play)


def test_what_a_machine_says_while_a_connection_is_closed_here_is_heard() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        ended: list[Stream] = []

        def crossing(stream: Stream) -> None:
            ended.append(stream)
            if len(ended) <= 2:
                stream.send(release_message(len(ended)))  # sent before the machine saw the close

        machine.on_end = crossing
        for task in (1, 2, 3):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(3500)  # all connections but one have exceeded the spare idle timeout
        assert len(ended) >= 2
        assert [stage.owner.kinds(task) for task in (1, 2)] == [[Kind.ANSWER, Kind.RELEASE]] * 2
        assert stage.owner.kinds(3) == [Kind.ANSWER]

    Stage(1).run(play)


def test_a_dead_machine_releases_what_stood_there_at_once() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        died = stage.hub.now_us()
        machine.die()
        stage.sleep(900)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
        assert stage.owner.received[-1].at_us - died <= S
        assert stage.owner.of(1)[1].cause == Cause.RESET

    Stage(1).run(play)


def test_a_reset_connection_alone_ends_no_standing_task() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        for stream in list(machine.streams):
            stream.abort()
        stage.sleep(400)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        machine.tell(release_message(1))  # on the new connection
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def test_a_machine_that_vanished_is_found_out_without_a_test() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        vanished, fillers = stage.hub.now_us(), machine.vanish()
        stage.owner.ask(2, "settlement", patience_ms=4000, name="c" * 16)
        stage.sleep(2500)
        assert stage.owner.kinds(2) == [Kind.RELEASE], (
            "the offer is abandoned long before its deadline"
        )
        stage.sleep(5500)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
        released = next(
            e.at_us
            for e in stage.owner.received
            if e.message.task == 1 and e.message.kind == Kind.RELEASE
        )
        assert 3 * S <= released - vanished <= 8 * S
        assert not any(each.message.kind == Kind.TEST for each in machine.received)
        for filler in fillers:
            filler.close()

    Stage(1).run(play)


def test_an_offer_does_not_wait_for_a_machine_whose_last_dial_has_just_failed() -> None:
    def play(stage: Stage) -> None:
        gone, other = stage.machines
        other.on_set_up = lambda stream, message: stream.send(
            with_cause(Kind.RELEASE, message.task, Cause.FULL)
        )
        stage.owner.ask(1)
        stage.sleep(100)
        assert gone.set_ups(1)
        other.on_set_up = other.take
        fillers = gone.vanish()
        link = stage.placer._links.by_name[gone.name]
        for _ in range(1000):
            stage.sleep(5)
            if link.liveness.failed_recently(stage.hub.now_us()):
                break
        began = stage.hub.now_us()
        assert link.connection_for_offer() is None and stage.hub.now_us() == began, (
            "the offer does not wait for a second dial timeout"
        )
        for filler in fillers:
            filler.close()

    Stage(2).run(play)


def test_a_machine_that_was_written_off_and_comes_back_has_its_safe_tasks_cut() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.owner.ask(2, "settlement", name="c" * 16)
        stage.sleep(50)
        fillers = machine.vanish()
        stage.sleep(8000)
        assert stage.owner.kinds(1) == stage.owner.kinds(2) == [Kind.ANSWER, Kind.RELEASE]
        for filler in fillers:
            filler.close()
        back = Machine(stage.hub, machine.name, machine.port)
        stage.sleep(2000)
        cut = [each.message.task for each in back.received if each.message.kind == Kind.RELEASE]
        assert cut == [1], (
            "a second copy of a safe task is stopped; for other classes the owner decides"
        )

    Stage(1).run(play)


def test_a_machine_that_is_slow_to_answer_is_left_alone() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(1, patience_ms=4500)
        stage.sleep(3500)
        machine.take(*held[0])
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert len(stage.set_ups(1)) == 1

    Stage(1).run(play)


def test_a_new_machine_at_the_address_of_one_that_is_gone_shares_nothing_with_it() -> None:
    def play(stage: Stage) -> None:
        (old,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        old.die()
        new = Machine(stage.hub, "s-0000beef", old.port)
        stage.machines.append(new)
        stage.journal.add(new.entry())
        stage.sleep(900)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]  # it ran on the old machine
        stage.journal.add(old.entry("Gone"))
        stage.sleep(100)
        stage.owner.ask(2, name="b" * 16)
        stage.sleep(100)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        assert len(new.set_ups(2)) == 1

    Stage(1).run(play)


def test_a_machine_that_started_anew_has_lost_what_stood_there() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(200)
        started_ms = stage.hub.clock.wall_us() // 1000 - 20
        stage.journal.add(machine.entry(started_ms=started_ms))
        stage.sleep(100)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def test_the_state_of_gone_machines_and_ended_tasks_is_forgotten() -> None:
    def play(stage: Stage) -> None:
        for turn in range(20):
            fresh = Machine(stage.hub, f"s-1000{turn:04x}")
            stage.machines.append(fresh)
            stage.journal.add(fresh.entry())
            stage.owner.ask(
                100 + turn, name=f"{turn:016x}", figures=f"cores:1;memory:1;service:n{turn}"
            )
            stage.sleep(200)
            for machine, _ in stage.set_ups(100 + turn):
                machine.tell(release_message(100 + turn))
            stage.journal.add(fresh.entry("Gone"))
            stage.sleep(3000)
            fresh.die()
        stage.sleep(60_000)
        stage.journal.add(stage.machines[0].entry())
        stage.sleep(1500)
        placer = stage.placer
        assert len(placer._links.by_name) == 2
        assert len(placer._attempts) == 0
        assert not placer._requests.by_ident
        scheduler = placer._host._scheduler
        assert len(scheduler._fleet.machines) == 2
        assert not scheduler._tasks
        assert not scheduler._selector._spread

    Stage().run(play)


def test_offers_at_once_to_a_machine_without_a_connection_all_reach_it() -> None:
    def play(stage: Stage) -> None:
        for task in range(1, 9):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
        stage.sleep(200)
        assert all(stage.owner.kinds(task) == [Kind.ANSWER] for task in range(1, 9))
        assert len(stage.machines[0].set_ups()) == 8, "no offer was counted as unreachable"

    Stage(1).run(play)


def test_a_full_descriptor_table_here_ends_nothing_that_stands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)

        def full(*_: object) -> Stream:
            raise PeerGone("EMFILE")

        with monkeypatch.context() as patched:
            patched.setattr(link, "connect", full)
            for stream in machine.streams:
                stream.abort()
            stage.sleep(1500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        stage.sleep(500)
        machine.tell(release_message(1))  # a connection has been established again
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]

    Stage(1).run(play)


def test_connections_to_machines_are_bounded_in_all() -> None:
    def play(stage: Stage) -> None:
        # An owner with a placed task may have many open set-ups.
        stage.owner.ask(100, name="f" * 16)
        stage.sleep(50)
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: None
        for task in range(1, 61):
            stage.owner.ask(
                task, name=f"{task:016x}", figures=f"cores:0.1;memory:0.1;service:s{task}"
            )
            stage.sleep(10)
        assert sum(bool(stage.set_ups(task)) for task in range(1, 61)) >= 50, (
            "offers share the available connections"
        )
        held = [link.held for link in stage.placer._links.by_name.values()]
        assert max(held) > 1
        assert sum(held) <= DescriptorBudget(48).max_with_extras

    Stage(8, sockets=48).run(play)
