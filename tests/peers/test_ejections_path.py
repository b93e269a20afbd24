"""Agreed ejections end to end on a virtual clock: a bad machine wastes few starts, and only one placer probes it."""

from __future__ import annotations

from tests.peers.stage import AgreementStage
from tests.stage import S, Stage
from wingbarrow.lab.cluster import PlacerSlot

VERDICTS = "/apis/wingbarrow.io/v1/verdicts"


class EjectionStage(AgreementStage):
    """Placers with work, and machines that can be made to fail every start."""

    def work(self, seconds: float, tag: str) -> None:
        for number in range(int(seconds * 25)):
            slot = self.cluster.placers[number % len(self.cluster.placers)]
            if slot.service is not None:
                self.post(slot.port, f"{tag}-{number}")
            self.hub.sleep(S // 25)

    def is_closed(self, slot: PlacerSlot, machine: str) -> bool:
        assert slot.service is not None
        return bool(slot.service.placer.machines.links[machine].phase.value == "draining")

    def offers(self, machine: str, since_us: int) -> list[str]:
        return [
            each.data["placer"]
            for each in self.seen("offer")
            if each.where == machine and each.at_us >= since_us
        ]


def starts_on_bad_machine(placers: int, agree: bool, seed: int = 3) -> int:
    """The number of offers that one bad machine of eight gets in 12 s."""
    stage = EjectionStage(machines=8, placers=placers, seed=seed)
    start_us: list[int] = []

    def script() -> None:
        if agree:
            stage.join()
            assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(2 * S)
        stage.cluster.machines[3].faulty = True
        start_us.append(stage.hub.now_us())
        stage.work(12, "w")

    stage.play(script)
    return len(stage.offers("node-3", start_us[0]))


def test_two_reporters_eject_a_bad_machine_one_placer_probes_it_and_successes_reinstate_it() -> (
    None
):
    stage = EjectionStage(machines=8, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        bad = stage.cluster.machines[3]
        bad.faulty = True
        start_us = stage.hub.now_us()
        stage.work(5, "a")
        slots = stage.cluster.placers
        assert sum(stage.is_closed(slot, "node-3") for slot in slots) >= 4
        answer = stage.ask(stage.leader(), path=VERDICTS)[1]
        (verdict,) = answer["items"]
        assert verdict["machine"] == "node-3"
        assert len(verdict["by"]) >= 2
        assert not verdict["ended"]
        assert any("node-3" in each["evidence"] for each in answer["witnesses"])
        assert stage.ask(slots[4], path=VERDICTS)[1]["closed"] in ([], ["node-3"])
        since = stage.hub.now_us()
        stage.work(3, "b")
        assert len(set(stage.offers("node-3", since))) <= 1, (
            "at most one placer probes the ejected machine"
        )
        bad.faulty = False
        stage.work(10, "c")
        assert not any(stage.is_closed(slot, "node-3") for slot in slots)
        assert len(set(stage.offers("node-3", start_us))) >= 4, (
            "the reinstated machine is used again"
        )

    stage.play(script)


def test_a_bad_machine_wastes_fewer_starts_with_agreed_ejections_than_without() -> None:
    assert starts_on_bad_machine(8, True) * 2 < starts_on_bad_machine(8, False)


def test_false_reports_of_one_placer_eject_nothing() -> None:
    stage = EjectionStage(machines=8, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        liar = stage.cluster.placers[4].service
        assert liar is not None
        assert liar.placer.peering.agreement is not None
        for _ in range(20):
            for machine in stage.cluster.machines:
                liar.placer.peering.agreement.health_observer.record(
                    stage.hub.now_us(), machine.name, False
                )
            stage.hub.sleep(S // 4)
        answer = stage.ask(stage.leader(), path=VERDICTS)[1]
        assert not answer["items"]
        assert any(each["bad"] == 8 for each in answer["witnesses"])
        assert not any(
            stage.is_closed(slot, machine.name)
            for slot in stage.cluster.placers
            for machine in stage.cluster.machines
        )

    stage.play(script)


def test_placer_without_agreement_has_no_verdicts_resource() -> None:
    stage = Stage(machines=2)

    def script() -> int:
        return stage.pool().request("GET", VERDICTS).status

    assert stage.play(script) == 404
