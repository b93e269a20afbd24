"""Rule 4 where placers hold subsets: each stays within its share by rank, whoever else holds a cold machine."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from tests.core.subsetstage import SubsetStage
from tests.stage import S
from wingbarrow.core.placer import Placer
from wingbarrow.core.slow_start import SlowStartShares
from wingbarrow.interface import Phase, Settings
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.machine import Machine
from wingbarrow.transport import Nursery

FALL = 2 * S
OFFERS = 20


def cold_shares(placer: Placer) -> SlowStartShares:
    found = placer.offers.slow_start
    assert isinstance(found, SlowStartShares)
    return found


def zone_falls(stage: SubsetStage, back_s: float = 2.0) -> list[Machine]:
    """All machines of one hall die at once and come back cold."""
    fallen = [machine for machine in stage.cluster.machines if machine.build.zone == "hall-a"]
    for machine in fallen:
        stage.hub.spawn(lambda m=machine: stage.cluster.crash(m, back_s))
    stage.hub.sleep(int((back_s + 0.2) * S))
    return fallen


def burst(
    stage: SubsetStage, placers: list[int], tasks: int, name: str = "b", pace_s: float = 0.0
) -> dict[str, int]:
    """Many tasks at placers in turn; the number of each answer."""
    answers: dict[str, int] = defaultdict(int)

    def one(slot: PlacerSlot, job: str, service: str) -> None:
        stage.submit_to(slot, job, runs_s=1.0, service=service)
        answers[stage.answer_of(slot, job)] += 1

    with Nursery(stage.hub) as nursery:
        for turn in range(tasks):
            slot = stage.cluster.placers[placers[turn % len(placers)]]
            nursery.spawn(lambda slot=slot, turn=turn: one(slot, f"{name}{turn}", f"s{turn % 12}"))
            stage.hub.sleep(int(pace_s * S))
    return answers


def most_within(stage: SubsetStage, machines: list[Machine]) -> dict[tuple[str, str], int]:
    """By placer and machine: the most offers that came within a window while the machine was cold."""
    cold_from = {
        record.where: record.at_us
        for record in stage.cluster.record.records
        if record.what == "launch" and record.data["cold"]
    }
    at: dict[tuple[str, str], list[int]] = defaultdict(list)
    for record in stage.seen("offer"):
        begun = cold_from.get(record.where)
        if begun is not None and begun <= record.at_us < begun + 18 * S:
            at[record.data["placer"], record.where].append(record.at_us)
    return {
        key: max(sum(each <= other < each + FALL for other in times) for each in times)
        for key, times in at.items()
    }


def test_a_zone_that_comes_back_cold_under_all_placers_is_not_pushed_over() -> None:
    stage = SubsetStage(machines=6, placers=4, replicas=2)

    def script() -> None:
        stage.begin()
        fallen = zone_falls(stage)
        answers = burst(stage, [0, 1, 2, 3], 160, pace_s=0.05)
        print("answers", dict(answers))
        subsets = stage.subset(0).subsets
        found = most_within(stage, fallen)
        assert found and all(
            most <= subsets.max_cold_offers(placer, machine, OFFERS)
            for (placer, machine), most in found.items()
        ), found
        assert answers["placed"] == 160

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def test_more_placers_than_usual_on_a_cold_machine_stay_within_its_offers_and_nothing_spins() -> (
    None
):
    """Three of four are killed one after the other: whoever is left has its share by rank, and no more."""
    stage = SubsetStage(machines=3, placers=4, replicas=1)

    def script() -> None:
        stage.begin()
        for slot in stage.cluster.placers[1:]:
            slot.kill()
        assert stage.wait(stage.settled_subsets, 60)
        fallen = zone_falls(stage)
        placer, subsets = stage.placer(0), stage.subset(0).subsets
        before = placer.context.counts["binds"]
        answers = burst(stage, [0], 60, pace_s=0.05)
        found = most_within(stage, fallen)
        shares = {
            machine.name: subsets.max_cold_offers("placer-0", machine.name, OFFERS)
            for machine in fallen
        }
        print(
            "shares",
            shares,
            "answers",
            dict(answers),
            "held",
            placer.context.counts["held:cold_share"],
        )
        assert min(shares.values()) < OFFERS // 2
        assert all(most <= shares[machine] for (_, machine), most in found.items())
        assert placer.context.counts["binds"] - before <= 60 * 2, (
            "offers are chosen again and again"
        )
        stage.hub.sleep(18 * S)
        assert not cold_shares(placer)._closed
        assert burst(stage, [0], 12, "warm")["placed"] == 12

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def test_a_placer_without_a_share_sends_nothing_to_a_machine_before_it_is_warm() -> None:
    stage = SubsetStage(machines=2, placers=3, replicas=1)

    def script() -> None:
        stage.begin()
        subsets = stage.subset(0).subsets
        machine = stage.cluster.machines[0]
        order = subsets.ranking(machine.name)
        slot = next(each for each in stage.cluster.placers if each.name == order[-1])
        index = stage.cluster.placers.index(slot)
        for other in stage.cluster.placers:
            if other is not slot:
                other.kill()
        assert stage.wait(stage.settled_subsets, 60)
        placer = stage.placer(index)
        cold = cold_shares(placer)
        cold._fleet_offers = (
            lambda: 2.0
        )  # two for the whole region: ranks beyond the second have none
        assert subsets.max_cold_offers(slot.name, machine.name, 2.0) == 0
        begun_us = stage.hub.now_us()
        zone_falls(stage)
        assert set(cold._closed) == {machine.name}
        sights, _ = placer.peer_hints.know()
        assert {sight.machine: sight.phase for sight in sights}[machine.name] is Phase.RUNNING, (
            "peers hear of no drain"
        )
        burst(stage, [index], 20)
        assert stage.wait(lambda: not cold._closed, 30)
        launched = next(
            record.at_us
            for record in stage.cluster.record.records
            if record.what == "launch" and record.at_us > begun_us
        )
        assert stage.hub.now_us() >= launched + 18 * S
        assert not [
            record
            for record in stage.seen("offer")
            if record.where == machine.name and launched <= record.at_us < launched + 18 * S
        ]

    stage.play(script, start=False)


def test_the_gate_alone_holds_what_the_module_would_send_beyond_the_share() -> None:
    """Without the guard that has the module go elsewhere, and with a module that may send as much as it likes."""
    stage = SubsetStage(machines=2, placers=3, replicas=2)

    def script() -> None:
        stage.begin()
        for each in stage.live():
            each.fleet.slow_start_guard = lambda entry, listed: listed
            told = each.host._scheduler
            each.host.feed(_generous(each))
            assert told is each.host._scheduler
        fallen = zone_falls(stage)
        burst(stage, [0, 1, 2], 60)
        subsets = stage.subset(0).subsets
        found = most_within(stage, fallen)
        assert found and all(
            most <= subsets.max_cold_offers(placer, machine, OFFERS)
            for (placer, machine), most in found.items()
        ), found
        assert sum(each.context.counts["held:cold_share"] for each in stage.live()) > 0

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def _generous(placer: Placer) -> Settings:
    return replace(placer.context.settings.scheduler, placers=1, index=0, fresh_offers=1000.0)
