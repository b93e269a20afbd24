"""Another machine comes up at the address of one that has gone, before the list of machines says so."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.stage import S, Stage
from wingbarrow.lab.machine import Machine

LIST_LAG_S = 3


def replace_silently(stage: Stage, checks_node_name: bool) -> Machine:
    """The only machine dies, and another one starts at its address; the list still names the former."""
    cluster = stage.cluster
    (old,) = cluster.machines
    cluster.source.lag_us = LIST_LAG_S * S
    new = cluster._add(old.build)
    new.checks_node_name = checks_node_name
    new.port = old.port
    old.die()
    new.launch(cold=False)
    stage.hub.sleep(S // 5)
    return new


def tell_list(stage: Stage, new: Machine) -> None:
    """The list names the new machine in place of the former."""
    old = stage.cluster.machines[0]
    stage.cluster.source.show(old.name, None)
    stage.cluster._changed(new)
    stage.hub.sleep((LIST_LAG_S + 2) * S)


def starts(stage: Stage, machine: Machine) -> int:
    return sum(record.where == machine.name for record in stage.seen("start"))


def play(script: Callable[[Stage], None]) -> None:
    stage = Stage(machines=1)
    stage.play(lambda: script(stage))


# Picture (d) of issue 71: the new process was taken for the one that had gone, and got its work.
@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_nothing_is_placed_through_the_former_machines_name(task_class: str) -> None:
    def script(stage: Stage) -> None:
        new = replace_silently(stage, checks_node_name=True)
        stage.submit("work", task_class, runs_s=30, patience_s=2)
        assert stage.settled("work") == {"Failed": "Refused"}
        assert starts(stage, new) == 0
        tell_list(stage, new)
        stage.submit("later", task_class, runs_s=30)
        assert "Placed" in stage.settled("later")
        assert starts(stage, new) == 1

    play(script)


# The same where the agent does not look at the name that a pod is bound to.
def test_a_task_that_another_machine_accepted_is_not_said_to_run_on_the_former() -> None:
    def script(stage: Stage) -> None:
        new = replace_silently(stage, checks_node_name=False)
        stage.submit("work", "settlement", runs_s=30, patience_s=2)
        assert stage.settled("work") == {"Failed": "Failed"}, "it may have run"
        assert starts(stage, new) == 1
        tell_list(stage, new)
        assert starts(stage, new) == 1, "and is not started again"

    play(script)
