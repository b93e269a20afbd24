"""Machines that leave or enter a placer's subset while the placer has tasks, offers or stops there."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from tests.core.subset_stage import SETTLE_S, SubsetStage
from tests.stage import S
from wingbarrow.core import saved_list
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.subset import LINGER_US, Subset
from wingbarrow.decide.subsets import Subsets
from wingbarrow.interface import ListedMachine, Phase
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.node import node_value

SLOW = Build(start_us=2 * S, setup=1.0)


def find_moving_machine(stage: SubsetStage) -> tuple[PlacerSlot, str, PlacerSlot]:
    """A placer, a machine that it holds only while another placer is dead, and that other placer."""
    slots = stage.cluster.placers
    subsets = stage.subset(0).subsets
    everybody = frozenset(slot.name for slot in slots)
    for slot in slots:
        for other in slots:
            for machine in stage.running_machines():
                if (
                    other is not slot
                    and subsets.holds(slot.name, machine, everybody - {other.name})
                    and not subsets.holds(slot.name, machine, everybody)
                ):
                    return slot, machine, other
    raise AssertionError("no machine moves")


def show_only(stage: SubsetStage, slot: PlacerSlot, machine: str) -> None:
    """Show only that machine as open to a placer's decision module."""
    placer = slot.service.placer if slot.service else None
    assert placer is not None
    placer.fleet.guards.append(
        lambda entry, listed: listed if entry.name == machine else _drained(listed)
    )
    placer.fleet.reapply(list(placer.fleet.held.values()))


def _drained(listed: ListedMachine) -> ListedMachine:
    return replace(listed, phase=Phase.DRAINING)


def phase_of(link: MachineLink) -> Phase:
    return link.phase


def set_members(stage: SubsetStage, subset: Subset, live: set[str]) -> None:
    """Set what membership reports to a placer from now on.

    The settle time of the last change is waited out first, so that a placer that is back counts at once.
    """
    stage.hub.sleep(int(SETTLE_S * S))
    subset._members = lambda: (frozenset(live), len(live))
    subset._check_membership(stage.hub.now_us())


def move_machine_in(stage: SubsetStage) -> tuple[PlacerSlot, str, PlacerSlot, MachineLink]:
    """Kill the other placer, so that the machine enters the first placer's subset, as the only one open to it."""
    slot, machine, other = find_moving_machine(stage)
    other.kill()
    assert slot.service is not None
    placer = slot.service.placer
    assert stage.wait(
        lambda: machine in placer.machines.links and placer.machines.links[machine].reachable, 60
    )
    show_only(stage, slot, machine)
    return slot, machine, other, placer.machines.links[machine]


@pytest.mark.parametrize("drains", [False, True])
def test_a_machine_that_leaves_with_an_attempt_in_flight_is_watched_until_its_task_has_ended(
    drains: bool,
) -> None:
    """Also with a drain that is announced at the same time."""
    stage = SubsetStage(machines=6, placers=3, replicas=1, build=SLOW)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        stage.submit_to(slot, "out", "settlement", runs_s=20, patience_s=10)
        assert stage.wait(lambda: bool(stage.seen("offer")), 1)
        simulated = next(each for each in stage.cluster.machines if each.name == machine)
        subset = placer.subset
        assert subset is not None
        set_members(stage, subset, {each.name for each in stage.cluster.placers})
        if drains:
            stage.cluster.set_drain(simulated, True)
        assert link.phase is Phase.DRAINING
        assert machine in subset.lingering
        stage.submit_to(slot, "later", patience_s=2)
        assert stage.wait_for_answer(slot, "out") == "placed", "an attempt in flight continues"
        assert stage.wait_for_answer(slot, "later") == "refused", "no new task is sent there"
        other.start()
        stage.hub.sleep(LINGER_US + 2 * S)
        assert placer.machines.links[machine] is link
        assert link.reachable
        assert machine in placer.fleet.held
        if drains:
            assert placer.fleet.held[machine].listed.phase is Phase.DRAINING
            stage.cluster.set_drain(simulated, False)
        assert stage.wait(lambda: stage.has_expected_subsets(), 60), (
            "it is released once its task has ended"
        )
        assert link.retired
        assert not link.reachable
        assert machine not in placer.fleet.held
        assert placer.objects.nodes.objects.get(machine) is None
        stage.hub.sleep(S)
        assert not link._pool._open and not link._stop_pool._open, "its connections are closed"

    stage.play(script, start=False)
    assert len(stage.seen("offer")) == 1
    assert len(stage.seen("start")) == 1
    assert stage.audit().clean


def test_a_lingering_machine_that_reenters_the_subset_is_used_again_over_the_same_connections() -> (
    None
):
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        stage.submit_to(slot, "first", runs_s=40)
        assert stage.wait_for_answer(slot, "first") == "placed"
        subset = placer.subset
        assert subset is not None
        without = set(subset.live_members)
        set_members(stage, subset, without | {other.name})
        assert phase_of(link) is Phase.DRAINING
        set_members(stage, subset, without)
        assert stage.wait(lambda: machine not in subset.lingering, 10)
        assert phase_of(link) is Phase.RUNNING
        assert placer.machines.links[machine] is link
        stage.submit_to(slot, "second", runs_s=2)
        assert stage.wait_for_answer(slot, "second") == "placed"

    stage.play(script, start=False)
    assert len(stage.seen("offer")) == 2
    assert stage.audit().clean


def test_a_machine_is_not_released_while_it_has_a_pending_stop_or_a_running_task() -> None:
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        stage.submit_to(slot, "t", runs_s=200)
        assert stage.wait_for_answer(slot, "t") == "placed"
        simulated = next(each for each in stage.cluster.machines if each.name == machine)
        subset = placer.subset
        assert subset is not None
        attempt = placer.attempts.on(link)[0]
        other.start()
        assert stage.wait(lambda: machine in subset.lingering, 60)
        stage.cluster.hold_machine(simulated, 20)
        stage.hub.sleep(S // 10)
        placer.admission.delete_job("default/t")
        stage.hub.sleep(15 * S)
        assert placer.stops.pending_on(link) == 1 and subset.lingering == [machine], (
            "the other machines are released"
        )
        assert stage.wait(lambda: not subset.lingering, 90)
        assert attempt.key not in {
            pod.name for pod in simulated.pods.values() if pod.phase == "Running"
        }

    stage.play(script, start=False)
    assert len(stage.seen("end")) == 1


def test_tasks_of_an_earlier_incarnation_outside_the_present_subset_are_found_and_counted() -> None:
    """Rule 5: the next incarnation knows the machine by its saved list, and releases it when the task has ended."""
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        stage.submit_to(slot, "t", runs_s=60)
        assert stage.wait_for_answer(slot, "t") == "placed"
        # The list is saved within a second where machines have been added to it.
        stage.hub.sleep(S + S // 10)
        slot.kill()
        other.start()
        stage.hub.sleep(S)
        slot.start()
        placer = slot.service.placer  # type: ignore[union-attr]
        assert placer.subset is not None
        assert not placer.subset.holds(machine)
        assert stage.wait(lambda: "default/t" in placer.job_store.jobs, 10), (
            "its Job is recreated from the running pod"
        )
        assert machine in placer.subset.lingering
        assert placer.machines.links[machine].phase is Phase.DRAINING
        assert stage.wait(stage.has_expected_subsets, 120)

    stage.play(script, start=False)
    assert len(stage.seen("start")) == 1
    assert len(stage.seen("end")) == 1


def test_a_machine_that_was_added_is_on_the_saved_list_within_little_more_than_a_second() -> None:
    """Otherwise the list is saved only every five seconds, and the placer could die before that."""
    stage = SubsetStage(machines=4, placers=2, replicas=2)

    def script() -> None:
        stage.begin()
        placer, folder = stage.placer(0), Path(stage.cluster.placers[0].state)
        for number in range(5):
            value = node_value(stage.cluster.machines[0])
            value["metadata"] = {**value["metadata"], "name": f"more-{number}"}
            stage.cluster.source.show(f"more-{number}", value)
            assert stage.wait(lambda name=f"more-{number}": name in placer.fleet.held, 5)
            stage.hub.sleep(S + S // 5)
            assert f"more-{number}" in {
                each["metadata"]["name"] for each in saved_list.load(folder)
            }

    stage.play(script, start=False)


def test_a_placer_whose_saved_list_cannot_be_read_asks_every_machine_once() -> None:
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, _ = move_machine_in(stage)
        stage.submit_to(slot, "t", runs_s=60)
        assert stage.wait_for_answer(slot, "t") == "placed"
        slot.kill()
        (Path(slot.state) / "machines.json").write_text("{")
        other.start()
        slot.start()
        placer = slot.service.placer  # type: ignore[union-attr]
        assert stage.wait(lambda: "default/t" in placer.job_store.jobs, 10)
        assert placer.subset is not None
        assert len(placer.machines.links) == 6
        assert stage.wait(
            lambda: placer.subset is not None and placer.subset.lingering == [machine], 20
        )
        assert stage.wait(stage.has_expected_subsets, 120)

    stage.play(script, start=False)


def test_a_machine_with_an_attempt_or_a_pending_stop_is_not_released_whatever_it_reports() -> None:
    """The machine knows nothing of an offer that waits for its connection, nor of a stop that it cannot confirm yet."""
    stage = SubsetStage(machines=6, placers=3, replicas=1, build=SLOW)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        subset = placer.subset
        assert subset is not None
        assert subset._may_release(link, stage.hub.now_us())
        stage.submit_to(slot, "out", runs_s=4)
        assert placer.attempts.on(link)
        assert link.last_offer_us is None
        assert not subset._may_release(link, stage.hub.now_us()), "an attempt is in flight"
        assert stage.wait_for_answer(slot, "out") == "placed"
        assert stage.wait(lambda: not placer.attempts.on(link), 30)
        offered_us = link.last_offer_us
        assert offered_us is not None and not subset._may_release(
            link, offered_us + LINGER_US - 1
        ), "its offer has just ended"
        assert subset._may_release(link, offered_us + LINGER_US)
        placer.stops.request(link, "default", "ghost", is_settled=lambda: False)
        assert not subset._may_release(link, offered_us + LINGER_US), "a stop is pending"
        link.reachable = False
        assert not subset._may_release(link, offered_us + 9 * LINGER_US), (
            "an unreachable machine cannot report its tasks"
        )

    stage.play(script, start=False)


def test_a_machine_is_queried_before_its_release_and_kept_while_it_holds_a_task_or_does_not_respond() -> (
    None
):
    """An abandoned offer may still start its task; until then no watch event reports it."""
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        subset = placer.subset
        assert subset is not None
        answers: list[bool | None] = [None, True, True, False]
        link.has_tasks = lambda: answers.pop(0) if answers else False  # type: ignore[method-assign]
        set_members(stage, subset, set(subset.live_members) | {other.name})
        while answers:
            assert placer.machines.links.get(machine) is link, answers
            stage.hub.sleep(S // 10)
        assert stage.wait(lambda: machine not in placer.machines.links, 5)

    stage.play(script, start=False)


def test_no_drain_is_reported_to_peers_for_a_machine_that_has_only_left_this_subset() -> None:
    """Nor is a peer that reports machines outside this subset taken for a member of another cluster."""
    stage = SubsetStage(machines=12, placers=6, replicas=1)

    def script() -> None:
        stage.begin()
        slot, machine, other, link = move_machine_in(stage)
        placer = slot.service.placer  # type: ignore[union-attr]
        stage.submit_to(slot, "t", runs_s=30)
        assert stage.wait_for_answer(slot, "t") == "placed"
        subset = placer.subset
        assert subset is not None
        placer.fleet.guards.pop()  # the other machines are open again
        placer.fleet.reapply(list(placer.fleet.held.values()))
        set_members(stage, subset, set(subset.live_members) | {other.name})
        assert phase_of(link) is Phase.DRAINING
        assert machine in subset.lingering
        sights = placer.peer_hints.knowledge()[0]
        assert {sight.phase for sight in sights} == {Phase.RUNNING}
        for each in stage.live_placers():
            others = [sight for sight in sights if sight.machine not in each.fleet.held]
            assert each.peer_hints.on_observations(others * 4, 0, True), (
                "taken for a peer of another cluster"
            )
            assert all(each.fleet.reflector.is_wanted(name) for name in each.peer_hints._pending)
        assert stage.wait(lambda: machine not in placer.machines.links, 60)
        assert machine not in {sight.machine for sight in placer.peer_hints.knowledge()[0]}, (
            "it is not reported as gone"
        )

    stage.play(script, start=False)


def test_a_machine_outside_the_subset_is_not_reported_as_off_the_list() -> None:
    """A maintenance slot ends once the agreeing placers report its machine as gone."""
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        for each in stage.live_placers():
            out = [name for name in stage.running_machines() if name not in each.fleet.held]
            assert out
            assert not any(each.fleet.is_off_list(name) for name in out)
            gone = next(iter(each.fleet.held))
            assert each.fleet.is_off_list(gone)

    stage.play(script, start=False)


def test_the_stage_and_all_placers_compute_the_same_subsets() -> None:
    stage = SubsetStage(machines=6, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        rules = stage.subset(0).subsets.rules
        assert all(stage.subset(index).subsets.rules == rules for index in range(3))
        assert Subsets(rules).ranking("node-1") == stage.subset(1).subsets.ranking("node-1")

    stage.play(script, start=False)
