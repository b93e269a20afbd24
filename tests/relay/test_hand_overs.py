"""Running tasks that are handed over before the list names their machine."""

from __future__ import annotations

import pytest

from tests.relay.stage import MS, Client, Machine, Stage, release_message
from wingbarrow.relay.hand_overs import MAX_HAND_OVERS, MAX_WAIT_US, HandOvers
from wingbarrow.relay.message import Cause, Kind, with_cause

TASK = 7


def hand_over(owner: Client, machine: str, task: int = TASK) -> None:
    owner.ask(task, figures=f"cores:1;memory:1;service:s1;at:{machine}", patience_ms=0)


# review/REPORT-2.md, "A task that runs is said to be over": it was, at once, as the list ran behind.
@pytest.mark.parametrize("listed_after_ms", [5, 600])
def test_a_task_on_a_machine_that_is_listed_shortly_after_is_adopted(listed_after_ms: int) -> None:
    def play(stage: Stage) -> None:
        new = Machine(stage.hub, "s-late")
        hand_over(stage.owner, new.name)
        stage.sleep(listed_after_ms)
        stage.journal.add(new.entry())
        stage.sleep(500)
        assert stage.owner.of(TASK) == []
        assert stage.placer.runtime.counts["found"] == 1
        new.tell(release_message(TASK))
        stage.sleep(300)
        assert [each.cause for each in stage.owner.of(TASK)] == [Cause.OVER]

    Stage(1).run(play)


def test_a_task_on_a_machine_that_is_not_listed_in_time_is_said_to_run_nowhere() -> None:
    def play(stage: Stage) -> None:
        asked_us = stage.hub.now_us()
        hand_over(stage.owner, "s-nowhere")
        stage.sleep(1000)
        (told,) = [each for each in stage.owner.received if each.message.task == TASK]
        assert told.message.cause == Cause.RESET
        assert MAX_WAIT_US <= told.at_us - asked_us <= 1000 * MS

    Stage(1).run(play)


def test_a_task_on_a_machine_that_has_gone_is_said_to_run_nowhere_at_once() -> None:
    def play(stage: Stage) -> None:
        stage.journal.add(stage.machines[0].entry("Gone"))
        stage.sleep(100)
        hand_over(stage.owner, stage.machines[0].name)
        stage.sleep(50)
        assert [each.cause for each in stage.owner.of(TASK)] == [Cause.RESET]

    Stage(1).run(play)


def test_a_task_that_its_owner_ends_while_it_waits_is_not_adopted() -> None:
    def play(stage: Stage) -> None:
        new = Machine(stage.hub, "s-late")
        hand_over(stage.owner, new.name)
        stage.owner.stream.send(with_cause(Kind.RELEASE, TASK, Cause.CANCELLED))
        stage.sleep(100)
        stage.journal.add(new.entry())
        stage.sleep(1000)
        assert stage.owner.of(TASK) == []
        assert stage.placer.runtime.counts["found"] == 0

    Stage(1).run(play)


def test_a_hand_over_that_comes_again_while_it_waits_costs_nothing_more() -> None:
    def play(stage: Stage) -> None:
        timers = len(stage.hub._timers)
        for _ in range(200):
            hand_over(stage.owner, "s-nowhere")
        stage.sleep(100)
        assert len(stage.hub._timers) - timers < 20
        stage.sleep(1000)
        assert [each.cause for each in stage.owner.of(TASK)] == [Cause.RESET]

    Stage(1).run(play)


def test_the_number_of_hand_overs_that_wait_is_bounded() -> None:
    waiting = HandOvers[None]()
    assert all(waiting.add(0, ident, "m", None) for ident in range(MAX_HAND_OVERS))
    assert not waiting.add(0, MAX_HAND_OVERS, "m", None)
    assert 0 in waiting
    assert len(waiting.take_expired(MAX_WAIT_US)) == MAX_HAND_OVERS


# Issue 61, item 4: a machine did not answer for a while, came back, and its task was said to be over when handed over.
def test_a_task_handed_over_on_a_machine_that_has_come_back_is_not_said_to_be_over() -> None:
    def play(stage: Stage) -> None:
        machine, other = stage.machines
        link = stage.placer._links.by_name[machine.name]
        now = stage.hub.now_us()
        for started_us in range(now, now + 1_200 * MS, 300 * MS):
            link.liveness.on_connect_timeout(started_us + 250 * MS, started_us)
        owner = stage.owner
        owner.ask(1, name="1" * 16)
        stage.sleep(10_000)
        assert [each.kind for each in owner.of(1)] == [Kind.ANSWER]
        assert len(other.set_ups(1)) == 1
        hand_over(owner, machine.name)
        stage.sleep(1_000)
        assert owner.of(TASK) == []
        assert link.running

    Stage(2).run(play)
