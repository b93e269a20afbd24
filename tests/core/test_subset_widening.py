"""A full subset is widened within its bounds while tasks wait, and narrowed again after a calm period."""

from __future__ import annotations

from dataclasses import replace

from tests.core.subset_stage import SubsetStage
from tests.core.test_subset_cold import FLEET_OFFERS, max_cold_offers, submit_burst
from tests.stage import S
from wingbarrow.core.placer import Placer
from wingbarrow.core.subset import CHECK_INTERVAL_US, LINGER_US, WIDENING_LIST_SPREAD_US
from wingbarrow.decide.subset_widening import CALM_PERIOD_US, MIN_STEP_INTERVAL_US
from wingbarrow.interface import Phase
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import PlacerSlot

TWO_TASKS = Build(booking_cores=2 / 24)  # a machine with capacity for two tasks of one core
INDEX = 1  # a placer that holds one of eight machines


def start(stage: SubsetStage, index: int = INDEX) -> tuple[PlacerSlot, Placer, set[str]]:
    """Start the stage; returns a placer's slot, the placer, and the names of the machines it holds."""
    stage.begin()
    slot, placer = stage.cluster.placers[index], stage.placer(index)
    held = set(placer.fleet.held)
    assert 0 < len(held) < 8
    return slot, placer, held


def fill(stage: SubsetStage, slot: PlacerSlot, machines: int, runs_s: float = 200) -> None:
    """Place two tasks for each machine of the placer's subset."""
    for number in range(2 * machines):
        stage.submit_to(slot, f"fills-{slot.name}-{number}", runs_s=runs_s)
        assert stage.wait_for_answer(slot, f"fills-{slot.name}-{number}") == "placed"


def machine_of(placer: Placer, job: str) -> str:
    return placer.job_store.jobs[f"default/{job}"].tasks[0].machine


def test_a_job_that_fits_nowhere_in_the_subset_is_placed_outside_it_well_within_its_patience() -> (
    None
):
    stage = SubsetStage(machines=8, placers=4, replicas=1, build=TWO_TASKS, widen=2)

    def script() -> None:
        slot, placer, held = start(stage)
        subset = stage.subset(INDEX)
        # As with a hundred placers: a list for widening must not wait that long.
        subset._supplementary_lists._spread_us = 10 * S
        subset._supplementary_lists.request()
        fill(stage, slot, len(held))
        assert subset.extra_ranks == 0, "no task has waited that long"
        asked_us, lists_before = stage.hub.now_us(), placer.fleet.reflector.supplementary_lists
        stage.submit_to(slot, "more")
        assert stage.wait_for_answer(slot, "more") == "placed"
        elapsed_us = stage.hub.now_us() - asked_us
        print("placed after", elapsed_us / S, "s")
        assert elapsed_us <= 5 * S // 4 + CHECK_INTERVAL_US + WIDENING_LIST_SPREAD_US + S // 2
        machine = machine_of(placer, "more")
        assert machine not in held
        assert subset.holds(machine)
        assert subset.extra_ranks == 1
        first_two = {
            name
            for name in stage.running_machines()
            if slot.name in subset.subsets.ranking(name)[:2]
        }
        assert set(placer.fleet.held) == first_two, "the machines of one more rank"
        assert placer.fleet.reflector.supplementary_lists == lists_before + 1
        metrics = stage.pool(slot.port).request("GET", "/metrics").body.decode()
        assert "\nwingbarrow_subset_extra_ranks 1.0\n" in metrics
        assert 'subset:widened"} 1.0' in metrics

    stage.play(script, start=False)
    assert stage.audit().clean


def test_without_the_setting_the_same_job_is_refused_and_nothing_more_is_held() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=1, build=TWO_TASKS)

    def script() -> None:
        slot, placer, held = start(stage)
        fill(stage, slot, len(held))
        stage.submit_to(slot, "more")
        assert stage.wait_for_answer(slot, "more") == "refused"
        assert set(placer.fleet.held) == held
        assert placer.fleet.reflector.supplementary_lists == 0
        assert not placer.context.counts["subset:widened"]

    stage.play(script, start=False)
    assert stage.audit().clean


def test_where_the_whole_region_is_full_a_job_is_refused_in_time_after_so_many_steps() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=1, build=TWO_TASKS, widen=2)

    def script() -> None:
        slot, placer, held = start(stage)
        for index, each in enumerate(stage.cluster.placers):
            fill(stage, each, len(stage.placer(index).fleet.held))
        subset, steps_us = stage.subset(INDEX), [0]
        asked_us, lists_before = stage.hub.now_us(), placer.fleet.reflector.supplementary_lists
        for name in ("a", "b", "c"):
            stage.submit_to(slot, name, patience_s=8)
        assert len(placer.waits) == 3, "tasks placed before do not wait"
        while placer.job_store.unanswered:
            if subset.extra_ranks > len(steps_us) - 1:
                steps_us.append(stage.hub.now_us())
            stage.hub.sleep(10_000)
        assert [stage.wait_for_answer(slot, name) for name in ("a", "b", "c")] == ["refused"] * 3
        assert stage.hub.now_us() - asked_us <= 8 * S + S // 2
        assert not len(placer.waits)
        assert subset.extra_ranks == 2 == placer.context.counts["subset:widened"]
        assert steps_us[2] - steps_us[1] >= MIN_STEP_INTERVAL_US - 10_000
        assert steps_us[1] - asked_us >= 2 * S
        assert placer.fleet.reflector.supplementary_lists - lists_before == 2, (
            "one list for each step"
        )
        out = [
            name
            for name in stage.running_machines()
            if slot.name not in subset.subsets.ranking(name)[:3]
        ]
        assert out and not set(out) & set(placer.fleet.held), "machines of later ranks stay out"

    stage.play(script, start=False)
    assert stage.audit().clean


def test_after_calm_the_machines_are_released_and_a_task_there_is_watched_until_it_ends() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=1, build=TWO_TASKS, widen=2)

    def script() -> None:
        slot, placer, held = start(stage, 2)
        subset = stage.subset(2)
        fill(stage, slot, len(held), runs_s=200)
        stage.submit_to(slot, "more", runs_s=90)
        assert stage.wait_for_answer(slot, "more") == "placed"
        placed_us, machine = stage.hub.now_us(), machine_of(placer, "more")
        others, lists_before = (
            set(placer.fleet.held) - held - {machine},
            placer.fleet.reflector.supplementary_lists,
        )
        assert others, "the additional rank contains more than one machine"
        assert stage.wait(lambda: subset.extra_ranks == 0, 40)
        assert CALM_PERIOD_US - S <= stage.hub.now_us() - placed_us <= CALM_PERIOD_US + S
        link = placer.machines.links[machine]
        assert link.phase is Phase.DRAINING
        assert set(subset.lingering) == others | {machine}
        assert stage.wait(lambda: subset.lingering == [machine], (LINGER_US + 5 * S) / S)
        assert placer.context.counts["subset:narrowed"] == 1
        assert placer.fleet.reflector.supplementary_lists == lists_before, "narrowing reads no list"
        # A task waits long again: the machine that is still watched is opened at once.
        stage.submit_to(slot, "again", runs_s=1)
        assert stage.wait_for_answer(slot, "again") == "placed"
        assert machine_of(placer, "again") not in held
        assert placer.machines.links[machine] is link
        job = placer.job_store.jobs["default/more"]
        assert stage.wait(lambda: not job.open_tasks, 90) and job.tasks[0].state.value == "done", (
            "its machine was watched until it ended"
        )
        assert stage.wait(stage.has_expected_subsets, 60), "all are released in the end"
        assert placer.context.counts["subset:narrowed"] == 2

    stage.play(script, start=False)
    assert stage.audit().clean


def test_a_cold_machine_outside_the_subset_gets_at_most_this_placers_share_by_rank() -> None:
    stage = SubsetStage(machines=8, placers=4, replicas=1, widen=2)

    def script() -> None:
        slot, placer, held = start(stage)
        subset = stage.subset(INDEX)
        for machine in stage.cluster.machines:
            if machine.name in held:
                machine.build = replace(machine.build, booking_cores=2 / 24)
        fill(stage, slot, len(held))
        others = [machine for machine in stage.cluster.machines if machine.name not in held]
        for machine in others:
            stage.hub.spawn(lambda machine=machine: stage.cluster.crash(machine, 1.0))
        stage.hub.sleep(S + S // 5)
        answers = submit_burst(stage, [INDEX], 30, interval_s=0.05)
        assert subset.extra_ranks >= 1 and answers["placed"] > 0, answers
        shares = {
            machine.name: subset.subsets.max_cold_offers(slot.name, machine.name, FLEET_OFFERS)
            for machine in others
        }
        assert max(shares.values()) <= 2, "the ranks after the first share a quarter"
        found = max_cold_offers(stage, others)
        print("shares", shares, "found", found, "answers", dict(answers))
        assert found and all(most <= shares[machine] for (_, machine), most in found.items()), found
        assert any(most == shares[machine] for (_, machine), most in found.items()), (
            "no share was used up"
        )

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes
