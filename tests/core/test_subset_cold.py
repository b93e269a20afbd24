"""Rule 4 with subsets: each placer stays within its share by rank, whichever others hold a cold machine too."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from tests.core.subset_stage import SubsetStage
from tests.stage import S
from wingbarrow.core.placer import Placer
from wingbarrow.core.slow_start import SlowStartShares
from wingbarrow.interface import Phase, Settings
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.machine import Machine
from wingbarrow.transport import Nursery

OFFER_WINDOW_US = 2 * S  # over which a cold machine's offers are counted
FLEET_OFFERS = 20  # of all placers to a cold machine in a window


def cold_shares(placer: Placer) -> SlowStartShares:
    found = placer.offers.slow_start
    assert isinstance(found, SlowStartShares)
    return found


def crash_zone(stage: SubsetStage, restart_s: float = 2.0) -> list[Machine]:
    """Crash all machines of one zone at once, and wait until they are back, cold."""
    crashed = [machine for machine in stage.cluster.machines if machine.build.zone == "hall-a"]
    for machine in crashed:
        stage.hub.spawn(lambda m=machine: stage.cluster.crash(m, restart_s))
    stage.hub.sleep(int((restart_s + 0.2) * S))
    return crashed


def submit_burst(
    stage: SubsetStage, placers: list[int], tasks: int, name: str = "b", interval_s: float = 0.0
) -> dict[str, int]:
    """Submit tasks to the placers by turns, and count each answer."""
    answers: dict[str, int] = defaultdict(int)

    def one(slot: PlacerSlot, job: str, service: str) -> None:
        stage.submit_to(slot, job, runs_s=1.0, service=service)
        answers[stage.wait_for_answer(slot, job)] += 1

    with Nursery(stage.hub) as nursery:
        for index in range(tasks):
            slot = stage.cluster.placers[placers[index % len(placers)]]
            nursery.spawn(
                lambda slot=slot, index=index: one(slot, f"{name}{index}", f"s{index % 12}")
            )
            stage.hub.sleep(int(interval_s * S))
    return answers


def max_cold_offers(stage: SubsetStage, machines: list[Machine]) -> dict[tuple[str, str], int]:
    """By placer and machine: the maximum number of offers in a window while the machine was cold."""
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
        key: max(sum(each <= other < each + OFFER_WINDOW_US for other in times) for each in times)
        for key, times in at.items()
    }


def test_a_zone_that_returns_cold_is_not_overloaded_by_all_placers() -> None:
    stage = SubsetStage(machines=6, placers=4, replicas=2)

    def script() -> None:
        stage.begin()
        crashed = crash_zone(stage)
        answers = submit_burst(stage, [0, 1, 2, 3], 160, interval_s=0.05)
        print("answers", dict(answers))
        subsets = stage.subset(0).subsets
        found = max_cold_offers(stage, crashed)
        assert found and all(
            count <= subsets.max_cold_offers(placer, machine, FLEET_OFFERS)
            for (placer, machine), count in found.items()
        ), found
        assert answers["placed"] == 160

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def test_a_surviving_placer_stays_within_its_cold_share_and_does_not_repeat_decisions() -> None:
    """Three of four placers are killed one after the other; the last one stays within its share by rank."""
    stage = SubsetStage(machines=3, placers=4, replicas=1)

    def script() -> None:
        stage.begin()
        for slot in stage.cluster.placers[1:]:
            slot.kill()
        assert stage.wait(stage.has_expected_subsets, 60)
        crashed = crash_zone(stage)
        placer, subsets = stage.placer(0), stage.subset(0).subsets
        before = placer.context.counts["binds"]
        answers = submit_burst(stage, [0], 60, interval_s=0.05)
        found = max_cold_offers(stage, crashed)
        shares = {
            machine.name: subsets.max_cold_offers("placer-0", machine.name, FLEET_OFFERS)
            for machine in crashed
        }
        print(
            "shares",
            shares,
            "answers",
            dict(answers),
            "held",
            placer.context.counts["held:cold_share"],
        )
        assert min(shares.values()) < FLEET_OFFERS // 2
        assert all(count <= shares[machine] for (_, machine), count in found.items())
        assert placer.context.counts["binds"] - before <= 60 * 2, (
            "the module repeats decisions for offers that are held back"
        )
        stage.hub.sleep(18 * S)
        assert not cold_shares(placer)._closed
        assert submit_burst(stage, [0], 12, "warm")["placed"] == 12

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
        assert stage.wait(stage.has_expected_subsets, 60)
        placer = stage.placer(index)
        cold = cold_shares(placer)
        # Two offers for the whole region: ranks beyond the second have no share.
        cold._fleet_offers = lambda: 2.0
        assert subsets.max_cold_offers(slot.name, machine.name, 2.0) == 0
        begun_us = stage.hub.now_us()
        crash_zone(stage)
        assert set(cold._closed) == {machine.name}
        sights, _ = placer.peer_hints.knowledge()
        assert {sight.machine: sight.phase for sight in sights}[machine.name] is Phase.RUNNING, (
            "peers must not learn of a drain"
        )
        submit_burst(stage, [index], 20)
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


def test_the_send_gate_alone_holds_offers_beyond_the_share() -> None:
    """The guard that keeps the module off the machine is removed, and the module's own limits are raised."""
    stage = SubsetStage(machines=2, placers=3, replicas=2)

    def script() -> None:
        stage.begin()
        for each in stage.live_placers():
            each.fleet.slow_start_guard = lambda entry, listed: listed
            scheduler = each.host._scheduler
            each.host.feed(_unlimited_settings(each))
            assert scheduler is each.host._scheduler
        crashed = crash_zone(stage)
        submit_burst(stage, [0, 1, 2], 60)
        subsets = stage.subset(0).subsets
        found = max_cold_offers(stage, crashed)
        assert found and all(
            count <= subsets.max_cold_offers(placer, machine, FLEET_OFFERS)
            for (placer, machine), count in found.items()
        ), found
        assert sum(each.context.counts["held:cold_share"] for each in stage.live_placers()) > 0

    stage.play(script, start=False)
    assert stage.audit().clean, stage.audit().notes


def _unlimited_settings(placer: Placer) -> Settings:
    return replace(placer.context.settings.scheduler, placers=1, index=0, fresh_offers=1000.0)
