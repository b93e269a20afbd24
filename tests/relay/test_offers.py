"""Offers, answers and refusals, checked by the messages that the fake owner and machines received."""

from __future__ import annotations

from tests.relay.stage import DESCRIPTION, MACHINE_DESCRIPTION, MS, Stage, release_message
from wingbarrow.relay.message import Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.transport import Stream


def test_a_task_stands_with_its_machines_description_and_is_released() -> None:
    def play(stage: Stage) -> None:
        assert stage.owner.test() == 1
        stage.owner.ask(7, patience_ms=1500)
        stage.sleep(50)
        ((machine, received),) = stage.set_ups(7)
        values = dict(received.message.values)
        assert 1300 <= int(values.pop(Code.PATIENCE)) <= 1500
        assert values == {
            Code.CLASS: b"web",
            Code.NAME: b"0123456789abcdef",
            Code.DESCRIPTION: DESCRIPTION,
        }
        (answer,) = stage.owner.of(7)
        assert answer.kind == Kind.ANSWER
        assert answer.values == {Code.DESCRIPTION: MACHINE_DESCRIPTION}
        machine.tell(release_message(7))
        machine.tell(release_message(7))  # a machine may repeat a release
        stage.sleep(50)
        assert stage.owner.kinds(7) == [Kind.ANSWER, Kind.RELEASE]
        assert stage.owner.of(7)[1].cause == Cause.OVER

    Stage().run(play)


def test_parameters_that_the_page_does_not_name_go_on_as_they_came() -> None:
    """Unknown parameters are forwarded unchanged: keyed classes have one by which machines detect a repeated offer.

    Parameters addressed to the placer are not forwarded.
    """

    def play(stage: Stage) -> None:
        client, key = stage.client(), b"19ec28eaa14f2143824331079fb2de33"
        values = {
            Code.CLASS: b"web",
            Code.PATIENCE: b"1500",
            Code.HINT: b"14967.4",
            42: key,
            Code.RETRY: b"1",
            200: b"",
            Code.NAME: b"000cd763bdabd81b",
            Code.FIGURES: b"cores:0.250;memory:0.500;service:0001c9e2b3fe8a71",
            Code.DESCRIPTION: DESCRIPTION,
        }
        client.stream.send(encode(Kind.SET_UP, 7, values))
        stage.sleep(50)
        ((_, received),) = stage.set_ups(7)
        passed_on = dict(received.message.values)
        assert int(passed_on.pop(Code.PATIENCE)) <= 1500
        assert passed_on == {
            Code.CLASS: b"web",
            42: key,
            200: b"",
            Code.NAME: b"000cd763bdabd81b",
            Code.DESCRIPTION: DESCRIPTION,
        }
        assert client.kinds(7) == [Kind.ANSWER]

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
        # The refusal's reason keeps further offers away.
        assert 1 <= len(stage.machines[1].set_ups()) <= 4

    Stage().run(play)


def test_a_task_that_ended_before_it_stood_is_answered_and_released_and_tried_nowhere_else() -> (
    None
):
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, message: stream.send(
                with_cause(
                    Kind.RELEASE, message.task, Cause.OVER, {Code.DESCRIPTION: MACHINE_DESCRIPTION}
                )
            )
        stage.owner.ask(1)
        stage.sleep(300)
        assert len(stage.set_ups(1)) == 1
        answer, released = stage.owner.of(1)
        assert answer.kind == Kind.ANSWER
        assert answer.values == {Code.DESCRIPTION: MACHINE_DESCRIPTION}
        assert released.kind == Kind.RELEASE
        assert released.cause == Cause.OVER

    Stage().run(play)


def test_an_offer_whose_connection_is_reset_is_repeated_only_where_that_is_harmless() -> None:
    def play(stage: Stage) -> None:
        for machine in stage.machines:
            machine.on_set_up = lambda stream, _: stream.abort()
        stage.owner.ask(1, "settlement")
        stage.owner.ask(2, "web")
        stage.sleep(1500)
        assert len(stage.set_ups(1)) == 1
        assert len(stage.set_ups(2)) == 4
        (failed,) = stage.owner.of(1)
        assert failed.kind == Kind.RELEASE
        assert failed.cause not in (34, 42, 102)
        (refused,) = stage.owner.of(2)
        assert refused.kind == Kind.RELEASE
        assert refused.cause in (34, 42, 102)

    Stage().run(play)


def test_a_spoilt_answer_costs_its_own_task_alone() -> None:
    def play(stage: Stage) -> None:
        malformed = stage.machines[0]
        malformed.on_set_up = lambda stream, message: (
            stream.send(b"\xff\xffnoise") if message.task == 1 else malformed.take(stream, message)
        )
        for task in (1, 2, 3):
            stage.owner.ask(task, name=f"{task:016x}", cls="settlement" if task == 1 else "web")
        stage.sleep(300)
        assert stage.owner.kinds(1) == [Kind.RELEASE]
        assert stage.owner.kinds(2) == stage.owner.kinds(3) == [Kind.ANSWER]

    Stage(1).run(play)


def test_answers_doubled_ahead_or_without_a_description_change_nothing() -> None:
    def play(stage: Stage) -> None:
        (machine,) = stage.machines

        def answer_oddly(stream: Stream, message: Message) -> None:
            stream.send(encode(Kind.ANSWER, 999, {Code.DESCRIPTION: b"ahead"}))
            stream.send(
                encode(Kind.ANSWER, message.task, {Code.DESCRIPTION: MACHINE_DESCRIPTION}) * 2
            )

        machine.on_set_up = answer_oddly
        stage.owner.ask(1)
        stage.sleep(50)
        assert stage.owner.kinds(1) == [Kind.ANSWER]
        assert stage.owner.of(999) == []
        machine.on_set_up = lambda stream, message: stream.send(
            encode(Kind.ANSWER, message.task, {})
        )
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
        given_up = [
            each.message.task for each in machine.received if each.message.kind == Kind.RELEASE
        ]
        assert sorted(given_up) == [1, 2]
        for stream, message in held:
            machine.take(stream, message)
        stage.sleep(100)
        cut = [each.message.task for each in machine.received if each.message.kind == Kind.RELEASE][
            2:
        ]
        assert cut == [1]
        assert [len(stage.owner.of(task)) for task in (1, 2)] == [1, 1]

    Stage(1).run(play)


def test_decisions_go_out_in_time_where_nothing_has_room() -> None:
    def play(stage: Stage) -> None:
        stage.owner.ask(1, patience_ms=1000, figures="cores:500;memory:1;service:s")
        asked = stage.hub.now_us()
        stage.sleep(1500)
        (answer,) = stage.owner.received
        assert answer.message.kind == Kind.RELEASE
        assert answer.at_us - asked <= 1000 * MS

    Stage().run(play)
