"""Subsets where placers agree on rules: the roster by `agree`, the cold budget of the rules in force, a cold limit."""

from __future__ import annotations

import pytest

from tests.peers.stage import AgreementStage
from tests.stage import S, Stage
from wingbarrow.core.local_region import LocalRegion
from wingbarrow.core.slow_start import SlowStartShares
from wingbarrow.lab.build import Build


class AgreeingSubsets(AgreementStage):
    """Two members hold each machine; the members form the roster."""

    def join(self) -> None:
        super().join()
        for slot in self.cluster.placers:
            slot.kill()
            slot.extra += 'subset replicas=2 { leave-after "3s"; settle "500ms" }\n'
        for slot in self.cluster.placers:
            slot.start()


def test_capacity_reported_for_a_region_is_scaled_from_the_held_machines() -> None:
    """The scaled report is exact here, since all machines are alike."""
    stage = Stage(machines=12, placers=1, build=Build())

    def script() -> None:
        slot = stage.cluster.placers[0]
        assert slot.service is not None
        placer = slot.service.placer
        full = LocalRegion(placer.context, placer.job_store, placer.fleet)._summarise(0)
        for name in list(placer.fleet.held)[:9]:
            placer.fleet.reflector.drop(name)
        partial = LocalRegion(placer.context, placer.job_store, placer.fleet)._summarise(0)
        assert (placer.fleet.held_fraction, partial.machines, partial.cores, partial.memory) == (
            0.25,
            12,
            full.cores,
            full.memory,
        )
        for name in list(placer.fleet.held):
            placer.fleet.reflector.drop(name)
        assert placer.fleet.held_fraction == 0.0
        assert LocalRegion(placer.context, placer.job_store, placer.fleet).report(0) is None

    stage.play(script)


@pytest.mark.parametrize("limit", ["", '    limit "cold"\n'])
def test_members_hold_subsets_and_cold_machines_get_no_more_than_the_rules_in_force_allow(
    limit: str,
) -> None:
    stage = AgreeingSubsets(machines=6, placers=5)
    stage.limits = limit

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        live = [slot.service.placer for slot in stage.cluster.placers if slot.service is not None]
        assert all(
            each.subset is not None and len(each.subset.subsets.rules.roster) == 5 for each in live
        )
        assert stage.wait(lambda: sum(len(each.machines.links) for each in live) == 12, 20)
        for machine in stage.cluster.machines[:3]:
            stage.hub.spawn(lambda m=machine: stage.cluster.crash(m, 2.0))
        stage.hub.sleep(3 * S)
        for index in range(60):
            slot = stage.cluster.placers[index % 5]
            stage.post(slot.port, f"t{index}")
            stage.hub.sleep(S // 20)
        stage.hub.sleep(8 * S)
        placed = sum(each.context.counts["placed"] for each in live)
        assert placed >= 50
        fewer = stage.latest_rules(cold_shares=[["placer-0", 5]])
        status, _ = stage.ask(stage.leader(), "POST", {"ident": "x", "rules": fewer})
        assert status == 201 and stage.wait(lambda: stage.all_on("e3"), 20), (
            "the new rules did not take effect by the transition rules"
        )
        for each in live:
            assert isinstance(each.offers.slow_start, SlowStartShares)
            assert each.offers.slow_start._fleet_offers() == 5.0

    stage.play(script)
    assert stage.audit().cold_overruns == 0
    assert stage.audit().sends_to_draining == 0
