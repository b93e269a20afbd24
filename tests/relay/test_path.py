"""Tasks' way through the sockets, judged by what crossed them at the stand-ins."""

from __future__ import annotations

import pytest
from tests.relay.stage import DESCRIPTION, MADE, MS, S, Machine, Stage, over

from wingbarrow.decide.descriptors import Table
from wingbarrow.relay import links
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.transport import PeerGone, Stream


def test_a_task_stands_with_its_machines_description_and_is_released() -> None:
    def play(stage: Stage) -> None:
        assert stage.owner.test() == 1
        stage.owner.ask(7, patience_ms=1500)
        stage.sleep(50)
        ((machine, heard),) = stage.set_ups(7)
        values = dict(heard.message.values)
        assert 1300 <= int(values.pop(Code.PATIENCE)) <= 1500
        assert values == {Code.CLASS: b"web", Code.NAME: b"0123456789abcdef", Code.DESCRIPTION: DESCRIPTION}
        (answer,) = stage.owner.of(7)
        assert answer.kind == Kind.ANSWER and answer.values == {Code.DESCRIPTION: MADE}
        machine.tell(over(7))
        machine.tell(over(7))  # the machine says it twice, on the next connection too
        stage.sleep(50)
        assert stage.owner.kinds(7) == [Kind.ANSWER, Kind.RELEASE] and stage.owner.of(7)[1].cause == Cause.OVER
    Stage().run(play)


def test_what_was_refused_goes_elsewhere_and_the_reason_reaches_the_module() -> None:
    def play(stage: Stage) -> None:
        def full(stream: Stream, message: Message) -> None:
            stream.send(with_cause(Kind.RELEASE, message.task, Cause.FULL, {Code.REMARK: b"nc"}))
        for machine in stage.machines:
            machine.on_set_up = full
        stage.machines[0].on_set_up = stage.machines[0].take
        for task in range(1, 9):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
        stage.sleep(500)
        assert all(stage.owner.kinds(task) == [Kind.ANSWER] for task in range(1, 9))
        assert 1 <= len(stage.machines[1].set_ups()) <= 4  # believed once told
    Stage().run(play)


def test_a_task_that_ended_before_it_stood_is_answered_and_released_and_tried_nowhere_else() -> None:
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: stream.send(
                with_cause(Kind.RELEASE, message.task, Cause.OVER, {Code.DESCRIPTION: MADE}))
        stage.owner.ask(1)
        stage.sleep(300)
        assert len(stage.set_ups(1)) == 1
        answer, released = stage.owner.of(1)
        assert answer.kind == Kind.ANSWER and answer.values == {Code.DESCRIPTION: MADE}
        assert released.kind == Kind.RELEASE and released.cause == Cause.OVER
    Stage().run(play)


def test_an_offer_whose_connection_is_reset_is_repeated_only_where_that_is_harmless() -> None:
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, _: stream.abort()
        stage.owner.ask(1, "settlement")
        stage.owner.ask(2, "web")
        stage.sleep(1500)
        assert len(stage.set_ups(1)) == 1 and len(stage.set_ups(2)) == 4
        (failed,) = stage.owner.of(1)
        assert failed.kind == Kind.RELEASE and failed.cause not in (34, 42, 102)
        (refused,) = stage.owner.of(2)
        assert refused.kind == Kind.RELEASE and refused.cause in (34, 42, 102)
    Stage().run(play)


def test_a_spoilt_answer_costs_its_own_task_alone() -> None:
    def play(stage: Stage) -> None:
        spoilt = stage.machines[0]
        spoilt.on_set_up = lambda stream, message: (
            stream.send(b"\xff\xffnoise") if message.task == 1 else spoilt.take(stream, message))
        for task in (1, 2, 3):
            stage.owner.ask(task, name=f"{task:016x}", cls="settlement" if task == 1 else "web")
        stage.sleep(300)
        assert stage.owner.kinds(1) == [Kind.RELEASE]
        assert stage.owner.kinds(2) == stage.owner.kinds(3) == [Kind.ANSWER]
    Stage(1).run(play)


def test_answers_doubled_ahead_or_without_a_description_change_nothing() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines

        def odd(stream: Stream, message: Message) -> None:
            stream.send(encode(Kind.ANSWER, 999, {Code.DESCRIPTION: b"ahead"}))
            stream.send(encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MADE}) * 2)
        machine.on_set_up = odd
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER] and stage.owner.of(999) == []
        machine.on_set_up = lambda stream, message: stream.send(encode(Kind.ANSWER, message.task, {}))
        stage.owner.ask(2, "settlement")
        stage.sleep(50)
        assert stage.owner.kinds(2) == [Kind.RELEASE]
    Stage(1).run(play)


def test_what_was_given_up_and_runs_all_the_same_is_stopped_where_it_is_safe() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        for task, cls in ((1, "web"), (2, "settlement")):
            stage.owner.ask(task, cls, patience_ms=300, name=f"{task:016x}")
        stage.sleep(600)
        assert [stage.owner.kinds(task) for task in (1, 2)] == [[Kind.RELEASE]] * 2
        given_up = [each.message.task for each in machine.heard if each.message.kind == Kind.RELEASE]
        assert sorted(given_up) == [1, 2]
        for stream, message in held:
            machine.take(stream, message)
        stage.sleep(100)
        cut = [each.message.task for each in machine.heard if each.message.kind == Kind.RELEASE][2:]
        assert cut == [1] and [len(stage.owner.of(task)) for task in (1, 2)] == [1, 1]
    Stage(1).run(play)


def test_an_owner_that_gives_up_or_closes_is_owed_nothing_and_the_machine_hears_of_it() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        machine.on_set_up = lambda stream, message: None
        leaver = stage.client()
        leaver.ask(1)
        stage.owner.ask(2, name="f" * 16)
        stage.sleep(50)
        leaver.stream.close()
        stage.owner.stream.send(with_cause(Kind.RELEASE, 2, Cause.GIVEN_UP))
        stage.sleep(50)
        assert sorted(e.message.task for e in machine.heard if e.message.kind == Kind.RELEASE) == [1, 2]
        stage.sleep(3000)
        assert stage.owner.of(2) == []
    Stage(1).run(play)


def test_an_owner_that_ends_a_standing_task_has_it_cut_and_gets_no_release() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.client().stream.send(with_cause(Kind.RELEASE, 1, Cause.CANCELLED))  # on any connection
        stage.sleep(50)
        assert [e.message.task for e in machine.heard if e.message.kind == Kind.RELEASE] == [1]
        machine.tell(over(1, Cause.CANCELLED))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
    Stage(1).run(play)


def test_a_task_that_a_machine_holds_already_wants_no_answer_and_is_released() -> None:
    def play(stage: Stage) -> None:
        figures = "cores:1;memory:1;service:s1;at:s-00000000"
        stage.owner.ask(5, figures=figures, patience_ms=0)
        stage.owner.ask(5, figures=figures, patience_ms=0)  # it may name what is held already
        stage.sleep(300)
        assert stage.owner.of(5) == [] and stage.machines[0].set_ups() == []
        stage.machines[0].tell(over(5))  # a connection is there for its news
        stage.sleep(50)
        stage.client().ask(6, name="e" * 16)  # proves itself an owner: releases can go there
        stage.sleep(400)
        assert stage.placer.life.counts["run:done"] == 1
    Stage(1).run(play)


def test_a_release_waits_until_an_owner_has_a_connection() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)
        stage.owner.stream.close()
        stage.sleep(20)
        machine.tell(over(1))
        stage.sleep(500)
        fresh = stage.client()
        fresh.ask(2, name="d" * 16)
        stage.sleep(300)
        assert fresh.kinds(1) == [Kind.RELEASE]
    Stage(1).run(play)


def test_a_release_that_crosses_the_end_of_its_connection_goes_on_another() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        other = stage.client()
        other.ask(2, name="e" * 16)
        stage.sleep(100)
        stage.owner.ask(1)  # the latest heard of: releases go here first
        stage.sleep(50)
        machine.tell(over(1))
        machine.tell(over(2))
        stage.hub.checkpoint()
        stage.owner.stream.abort()  # nothing was said to be heard
        stage.sleep(100)
        assert [each.kind for each in other.of(1)] == [Kind.RELEASE] and Kind.RELEASE in other.kinds(2)
    Stage(1).run(play)


def test_a_release_lost_with_its_connection_is_fetched_on_a_new_one() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        stage.owner.ask(1)
        stage.sleep(20)
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(2, name="f" * 16)  # goes on the free connection, and keeps it in use
        stage.owner.ask(3, name="e" * 16)  # on a second one
        stage.sleep(50)
        first, second = [stream for stream in machine.streams if stream.open]
        count = len(machine.streams)
        first.abort()  # with it a release may be lost, though another connection is open
        stage.sleep(300)
        assert second.open and len(machine.streams) > count
    Stage(1).run(play)


def test_what_a_machine_says_while_a_connection_is_closed_here_is_heard() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        ended: list[Stream] = []

        def crossing(stream: Stream) -> None:
            ended.append(stream)
            if len(ended) <= 2:
                stream.send(over(len(ended)))  # it had left before the machine heard of the end
        machine.on_end = crossing
        for task in (1, 2, 3):
            stage.owner.ask(task, name=f"{task:016x}")
        stage.sleep(3500)  # all but one of the connections are spare by then
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
        assert stage.owner.heard[-1].at_us - died <= S and stage.owner.of(1)[1].cause == Cause.RESET
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
        machine.tell(over(1))  # on the connection that has come up since
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
        assert stage.owner.kinds(2) == [Kind.RELEASE], "its offer is given up long before its time"
        stage.sleep(5500)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
        released = next(e.at_us for e in stage.owner.heard if e.message.task == 1 and e.message.kind == Kind.RELEASE)
        assert 3 * S <= released - vanished <= 8 * S
        assert not any(each.message.kind == Kind.TEST for each in machine.heard)
        for filler in fillers:
            filler.close()
    Stage(1).run(play)


def test_an_offer_does_not_wait_for_a_machine_whose_look_has_just_failed() -> None:
    def play(stage: Stage) -> None:
        gone, other = stage.machines
        other.on_set_up = lambda stream, message: stream.send(with_cause(Kind.RELEASE, message.task, Cause.FULL))
        stage.owner.ask(1)
        stage.sleep(100)
        assert gone.set_ups(1)
        other.on_set_up = other.take
        fillers = gone.vanish()
        link = stage.placer._links.by_name[gone.name]
        for _ in range(1000):
            stage.sleep(5)
            if link.liveness.doubts(stage.hub.now_us()):
                break
        began = stage.hub.now_us()
        assert link.line_for_offer() is None and stage.hub.now_us() == began, "no second wait for the same news"
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
        cut = [each.message.task for each in back.heard if each.message.kind == Kind.RELEASE]
        assert cut == [1], "a second copy of a safe task is not left running; of others the owner decides"
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
        assert stage.owner.kinds(1) == [Kind.ANSWER] and len(stage.set_ups(1)) == 1
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
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]  # it stood at the old one
        stage.journal.add(old.entry("Gone"))
        stage.sleep(100)
        stage.owner.ask(2, name="b" * 16)
        stage.sleep(100)
        assert stage.owner.kinds(2) == [Kind.ANSWER] and len(new.set_ups(2)) == 1
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
            stage.owner.ask(100 + turn, name=f"{turn:016x}", figures=f"cores:1;memory:1;service:n{turn}")
            stage.sleep(200)
            for machine, _ in stage.set_ups(100 + turn):
                machine.tell(over(100 + turn))
            stage.journal.add(fresh.entry("Gone"))
            stage.sleep(3000)
            fresh.die()
        stage.sleep(60_000)
        stage.journal.add(stage.machines[0].entry())
        stage.sleep(1500)
        placer = stage.placer
        assert len(placer._links.by_name) == 2 and len(placer._attempts) == 0 and not placer._book.by_ident
        scheduler = placer._host._scheduler
        assert len(scheduler._fleet.machines) == 2 and not scheduler._tasks and not scheduler._choice._spread
    Stage().run(play)


def test_offers_at_once_to_a_machine_without_a_connection_all_reach_it() -> None:
    def play(stage: Stage) -> None:
        for task in range(1, 9):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:1;memory:1;service:s{task}")
        stage.sleep(200)
        assert all(stage.owner.kinds(task) == [Kind.ANSWER] for task in range(1, 9))
        assert len(stage.machines[0].set_ups()) == 8, "none was counted as out of reach"
    Stage(1).run(play)


def test_a_flood_on_one_connection_is_bounded_and_others_are_served() -> None:
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: stream.send(
                with_cause(Kind.RELEASE, message.task, Cause.ERROR) if message.values[Code.NAME][:1] == b"f"
                else encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MADE}))
        stage.owner.ask(1)
        stage.sleep(50)
        flood = stage.client()
        for task in range(1000, 1400):
            flood.ask(task, name=f"f{task:015x}")
        stage.owner.ask(2, name="a" * 16)
        stage.sleep(2500)
        assert stage.owner.kinds(2) == [Kind.ANSWER]
        answers = [flood.kinds(task) for task in range(1000, 1400)]
        assert all(each == [Kind.RELEASE] for each in answers), "each got one answer, none 'served'"
        reached = {heard.message.task for machine in stage.machines for heard in machine.set_ups()} - {1, 2}
        assert len(reached) <= 32, "what nobody knows reaches machines only as far as it must"
    Stage().run(play)


def test_what_cannot_be_read_ends_that_connection_alone() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        for data in (b"\x00\x01", b"\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x40\x00\x01" + bytes(100_000)):
            bad = stage.client()
            bad.stream.send(data)
            stage.sleep(20)
            assert bad.ended_us is not None or data[0] == 0x40
        mute, half = stage.client(), stage.client()
        half.stream.send(b"\x00\x40\x01")
        began = stage.hub.now_us()
        stage.sleep(3000)
        for each in (mute, half):
            assert each.ended_us is not None and each.ended_us - began <= 3 * S
        assert stage.owner.kinds(1) == [Kind.ANSWER]
    Stage().run(play)


def test_messages_that_want_no_answer_and_tasks_nowhere_are_no_reason_to_stay() -> None:
    def play(stage: Stage) -> None:
        idle, lost = stage.client(), stage.client()
        began = stage.hub.now_us()
        idle.stream.send(encode(Kind.PROGRESS, 5, {}) + encode(Kind.RELEASE_HEARD, 6, {}))
        lost.ask(7, figures="cores:1;memory:1;service:s1;at:s-nowhere")
        stage.sleep(2500)
        assert idle.ended_us is not None and idle.ended_us - began <= 3 * S
        assert lost.kinds(7) == [Kind.RELEASE] and stage.owner.of(7) == []
    Stage().run(play)


def test_a_full_descriptor_table_here_ends_nothing_that_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        stage.owner.ask(1)
        stage.sleep(50)

        def full(*_: object) -> Stream:
            raise PeerGone("EMFILE")
        with monkeypatch.context() as patched:
            patched.setattr(links, "connect", full)
            for stream in machine.streams:
                stream.abort()
            stage.sleep(1500)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        stage.sleep(500)
        machine.tell(over(1))  # a connection is there again
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
    Stage(1).run(play)


def test_connections_to_machines_are_bounded_in_all() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(100, name="f" * 16)  # a usual owner: it may have many open
        stage.sleep(50)
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: None
        for task in range(1, 61):
            stage.owner.ask(task, name=f"{task:016x}", figures=f"cores:0.1;memory:0.1;service:s{task}")
            stage.sleep(10)
        assert sum(bool(stage.set_ups(task)) for task in range(1, 61)) >= 50, "they share what there is"
        held = [link.held for link in stage.placer._links.by_name.values()]
        assert max(held) > 1 and sum(held) <= Table(48).extras_most
    Stage(8, sockets=48).run(play)


def test_bad_set_ups_are_failed_and_reach_no_machine() -> None:
    def play(stage: Stage) -> None:
        bad = stage.client()
        bad.ask(1, "nosuch")
        bad.ask(2, figures="cores:nan;memory:1;service:s")
        bad.ask(3, DESCRIPTION=None)
        bad.ask(4, patience_ms=-5)
        stage.sleep(100)
        assert all(bad.kinds(task) == [Kind.RELEASE] for task in (1, 2, 3, 4)) and not stage.machines[0].set_ups()
    Stage(1).run(play)


def test_an_open_id_with_another_description_leaves_the_open_one_alone() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines
        held: list[tuple[Stream, Message]] = []
        machine.on_set_up = lambda stream, message: held.append((stream, message))
        stage.owner.ask(1)
        stage.sleep(20)
        thief = stage.client()
        thief.ask(1, DESCRIPTION=b"another")
        stage.sleep(20)
        assert thief.kinds(1) == [Kind.RELEASE] and stage.owner.of(1) == []
        machine.take(*held[0])
        stage.sleep(20)
        assert stage.owner.kinds(1) == [Kind.ANSWER] and len(held) == 1
        thief.stream.send(with_cause(Kind.RELEASE, 1, Cause.GIVEN_UP))  # takes back what it never had
        stage.sleep(50)
        assert not any(each.message.kind == Kind.RELEASE for each in machine.heard)
        machine.tell(over(1))
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER, Kind.RELEASE]
    Stage(1).run(play)


def test_more_connections_than_descriptors_allow_leave_usual_owners_in_place() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1)
        stage.sleep(50)
        for _ in range(120):
            stage.client()
        stage.sleep(50)
        stage.owner.ask(2, name="9" * 16)
        stage.sleep(50)
        assert stage.owner.kinds(2) == [Kind.ANSWER] and len(stage.placer.owners) <= 64
    Stage(sockets=128).run(play)


def test_decisions_go_out_in_time_where_nothing_has_room() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1, patience_ms=1000, figures="cores:500;memory:1;service:s")
        asked = stage.hub.now_us()
        stage.sleep(1500)
        (answer,) = stage.owner.heard
        assert answer.message.kind == Kind.RELEASE and answer.at_us - asked <= 1000 * MS
    Stage().run(play)
