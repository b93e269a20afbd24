"""Agreed windows, drains and changes of rules under load, on a virtual clock, checked at the sockets."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest

from tests.peers.stage import RULES, AgreementStage
from tests.stage import S
from wingbarrow.decide.rulesets.versions import RECOVERED
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.record import Record
from wingbarrow.store.voter_store import StoreError, VoterStore, become_sole_voter, create, load

DRAINS = "/apis/wingbarrow.io/v1/drains"


class DrainStage(AgreementStage):
    """A fleet with work at all placers."""

    def phase(self, slot: PlacerSlot, machine: str) -> str:
        assert slot.service is not None
        return slot.service.placer.machines.links[machine].phase.value

    def everywhere(self, machine: str, phase: str) -> bool:
        return all(
            self.phase(slot, machine) == phase
            for slot in self.cluster.placers
            if slot.service is not None
        )

    def work(self, seconds: float, tag: str) -> None:
        for number in range(int(seconds * 10)):
            slot = self.cluster.placers[number % len(self.cluster.placers)]
            if slot.service is not None:
                self.post(slot.port, f"{tag}-{number}")
            self.hub.sleep(S // 10)

    def sent(self, machine: str, since_us: int) -> list[Record]:
        return [
            each for each in self.seen("offer") if each.where == machine and each.at_us > since_us
        ]

    def window(self, starts_s: float, lasts_s: float = 60) -> dict[str, Any]:
        start = datetime.fromtimestamp(self.hub.clock.wall_us() / S, UTC) + timedelta(
            seconds=starts_s
        )
        return {
            "name": "patch",
            "start": start.isoformat(),
            "zone": "",
            "lasts_us": int(lasts_s * S),
            "each_us": int(lasts_s * S),
            "repeats": "",
            "exceptions": [],
            "extra": [],
            "machines": [["node-1", "", "", ""]],
            "precedence": 0,
            "unsafe": "wait",
        }

    def propose(self, ident: str, **changes: Any) -> tuple[int, dict[str, Any]]:
        return self.ask(
            self.leader(), "POST", {"ident": ident, "rules": self.latest_rules(**changes)}
        )


def test_drain_requested_at_one_placer_is_agreed_by_all_and_cancelled_at_another() -> None:
    stage = DrainStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        other = next(slot for slot in stage.cluster.placers if slot is not stage.leader())
        request = {"machine": "node-2", "lasts": "10m"}
        status, answer = stage.ask(other, "POST", request, DRAINS)
        assert (status, answer["name"]) == (307, stage.leader().name)
        status, answer = stage.ask(stage.leader(), "POST", request, DRAINS)
        assert status == 201
        assert answer["version"] == 2
        assert answer["floors"] == []
        assert stage.wait(lambda: stage.everywhere("node-2", "draining"), 5)
        repeated = stage.ask(stage.leader(), "POST", request, DRAINS)
        assert (repeated[0], repeated[1]["key"]) == (200, answer["key"]), (
            "a repeated request is accepted once, as its first answer may be lost"
        )
        assert stage.ask(stage.leader())[1]["version"] == 2
        assert stage.ask(stage.leader(), "POST", {**request, "machine": "none"}, DRAINS)[0] == 409
        since = stage.hub.now_us()
        stage.work(4, "drained")
        assert not stage.sent("node-2", since)
        # A placer that restarts without its saved drains must close the machine before it sends an offer.
        back = stage.cluster.placers[4]
        back.kill()
        stage.hub.sleep(S)
        (Path(back.state) / "drains.json").unlink(missing_ok=True)
        back.start()
        stage.work(4, "back")
        assert stage.phase(back, "node-2") == "draining"
        assert not stage.sent("node-2", since)
        # A proposal from a file contains no requested drains; they must be kept nevertheless.
        assert stage.propose("bars", barred=["node-0"])[0] == 201
        stage.hub.sleep(4 * S)
        assert stage.everywhere("node-2", "draining")
        assert stage.everywhere("node-0", "draining")
        key = stage.ask(other, path=DRAINS)[1]["items"][0]["key"]
        assert stage.ask(stage.leader(), "DELETE", None, f"{DRAINS}/{key}x")[0] == 404
        assert stage.ask(stage.leader(), "DELETE", None, f"{DRAINS}/{key}")[0] == 200
        assert stage.wait(lambda: stage.everywhere("node-2", "running"), 5)
        stage.work(3, "open")
        assert stage.sent("node-2", since)

    stage.play(script)


def test_window_removed_at_the_last_second_and_added_again_applies_to_all() -> None:
    stage = DrainStage(machines=4, placers=3)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        patch = stage.window(70)  # closes 60 s earlier
        assert stage.propose("w", windows=[patch])[0] == 201
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        stage.hub.sleep(3 * S)
        assert stage.everywhere("node-1", "running")
        key = stage.ask(stage.leader(), path=DRAINS)[1]["items"][0]["key"]
        assert stage.wait(lambda: stage.phase(stage.leader(), "node-1") == "draining", 15)
        assert stage.ask(stage.leader(), "DELETE", None, f"{DRAINS}/{key}")[0] == 200
        assert stage.wait(lambda: stage.everywhere("node-1", "running"), 5)
        stage.hub.sleep(20 * S)
        assert stage.everywhere("node-1", "running"), (
            "a placer that plans the drain after its cancellation must not apply it"
        )
        assert stage.propose("again", cancelled=[])[0] == 201
        assert stage.wait(lambda: stage.everywhere("node-1", "draining"), 5)
        assert stage.propose("none", windows=[])[0] == 201
        assert stage.wait(lambda: stage.everywhere("node-1", "running"), 5)

    stage.play(script)


def test_placer_without_rules_moves_no_tasks() -> None:
    stage = DrainStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        alone = stage.cluster.placers[4]
        assert alone.service is not None
        assert stage.propose("w", windows=[stage.window(66)])[0] == 201
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        for number in range(12):
            stage.post(alone.port, f"long-{number}")
        assert stage.wait(lambda: stage.phase(alone, "node-1") == "draining", 15)
        for slot in stage.cluster.placers[:3]:
            slot.kill()
        assert stage.wait(lambda: stage.rules_label(alone) == "", 10)
        moved = alone.service.placer.context.counts["drain_moves"]
        stage.hub.sleep(15 * S)
        assert stage.rules_label(alone) == ""
        assert alone.service.placer.context.counts["drain_moves"] == moved
        assert stage.phase(alone, "node-1") == "draining"

    stage.play(script)


def test_drain_under_a_floor_is_accepted_with_the_floors_time() -> None:
    stage = DrainStage(machines=4, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        floor = {**stage.latest_rules(), "cold_shares": [], "attempts_most": 2}
        assert (
            stage.ask(stage.leader(), "POST", {"ident": "f", "rules": floor, "lastsUs": 60 * S})[0]
            == 201
        )
        stage.hub.sleep(2 * S)
        status, answer = stage.ask(
            stage.leader(), "POST", {"machine": "node-2", "lasts": "10m"}, DRAINS
        )
        assert status == 201
        assert answer["floors"] == [{"number": 1, "lastsUs": 60 * S}]
        assert stage.wait(lambda: stage.everywhere("node-2", "draining"), 5)
        for slot in stage.cluster.placers[:3]:
            slot.kill()
        stage.hub.sleep(4 * S)
        alone = stage.cluster.placers[4]
        assert stage.rules_label(alone) == "f1"
        assert stage.phase(alone, "node-2") == "draining", "a drain known before the loss continues"

    stage.play(script)


def test_spread_is_lowered_while_services_run_at_more() -> None:
    stage = DrainStage(machines=3, placers=3)

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        for number in range(6):
            stage.submit(f"stands-{number}", service="one", runs_s=60, patience_s=5)
        stage.hub.sleep(2 * S)
        offers = len(stage.seen("offer"))
        assert offers >= 3
        classes = [
            {**each, "spread_most": 2} if each["name"] == "web" else each
            for each in stage.latest_rules()["classes"]
        ]
        assert stage.propose("t", classes=classes)[0] == 201
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        since = stage.hub.now_us()
        for number in range(6):
            stage.submit(f"more-{number}", service="one", runs_s=60, patience_s=2)
        stage.hub.sleep(4 * S)
        assert not [each for each in stage.seen("offer") if each.at_us > since], (
            "no cell has capacity under the new limit"
        )
        running = [
            each
            for each in stage.jobs()
            if each["metadata"]["name"].startswith("stands") and each["status"].get("ready")
        ]
        assert len(running) == 6, "running tasks are not stopped"

    stage.play(script)


def test_placer_joins_the_cold_budget_while_a_zone_warms_up() -> None:
    stage = DrainStage(machines=4, placers=4)
    offers: list[int] = []
    since: list[int] = []

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        offers.append(sum(share for _, share in stage.latest_rules()["cold_shares"]))
        three = [[f"placer-{index}", offers[0] // 3] for index in range(3)]
        assert stage.propose("three", cold_shares=three)[0] == 201
        assert stage.wait(lambda: stage.all_on("e3"), 8), "after the step that both rule sets allow"
        hall = [machine for machine in stage.cluster.machines if machine.build.zone == "hall-a"]
        for machine in hall:
            machine.die()
        stage.hub.sleep(2 * S)
        for machine in hall:
            machine.launch(cold=True)
        since.append(stage.hub.now_us())
        four = [[f"placer-{index}", offers[0] // 4] for index in range(4)]
        assert stage.propose("four", cold_shares=four)[0] == 201
        stage.work(8, "cold")
        assert stage.all_on("e5")

    stage.play(script)
    assert stage.audit().clean
    window = stage.cluster.placers[0].settings.scheduler
    for machine in stage.cluster.machines:
        if machine.build.zone == "hall-a":
            times = [each.at_us for each in stage.sent(machine.name, since[0])]
            most = max(
                (sum(at <= other < at + window.fall_us for other in times) for at in times),
                default=0,
            )
            assert 0 < most <= offers[0], f"{machine.name}: {most} offers within the window"


def test_fleet_goes_on_without_a_lost_majority_of_voters(tmp_path: Path) -> None:
    stage = DrainStage(machines=4, placers=5)
    files: dict[str, Path] = {}

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        assert stage.propose("b", barred=["node-0"])[0] == 201
        assert stage.wait(lambda: stage.all_on("e2"), 5)
        left = stage.cluster.placers[2]
        for slot in stage.cluster.placers[:3]:
            slot.kill()
        stage.hub.sleep(4 * S)
        folder = Path(left.state) / "rules"
        holder = VoterStore(folder)
        with pytest.raises(StoreError, match="another process has it open"):
            become_sole_voter(folder, left.name, RECOVERED)
        holder.close()
        before = load(folder)
        assert (
            become_sole_voter(folder, left.name, RECOVERED).last_log_index == before.last_log_index
        ), "loading a store does not change it"
        left.start()
        assert stage.wait(lambda: stage.all_on("e1002"), 20), "with the rules of its store"
        create(Path(stage.cluster.placers[3].state) / "rules", (left.name,))
        files["new"] = Path(stage.cluster.placers[3].state)
        taken_in = stage.cluster.placers[3]
        taken_in.kill()
        stage.hub.sleep(S)
        taken_in.start()
        assert left.service is not None
        # Both seeds are down: the two discover each other through placers that still probe dead members.
        assert stage.wait(lambda: taken_in.name in left.service.placer.peering.members, 40)
        request = {"voters": [left.name, taken_in.name]}
        assert stage.ask(stage.leader(), "POST", request, f"{RULES}/voters")[0] == 202
        assert stage.propose("c", barred=["node-1"])[0] == 201
        assert stage.wait(lambda: stage.all_on("e1004"), 20)
        assert stage.ask(taken_in)[1]["voters"] == [left.name, taken_in.name]
        # A lost voter returns with its store: it receives a later term and must not decide anything.
        stage.cluster.placers[0].start()
        stage.hub.sleep(8 * S)
        assert stage.rules_label(stage.cluster.placers[0]) == "e1004"
        assert stage.leader() in (
            left,
            taken_in,
        )

    stage.play(script)
