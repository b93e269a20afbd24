"""Maintenance slots end to end: requested over REST, confirmed by placers, enforced by the machine, done."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from tests.peers.stage import AgreementStage
from tests.peers.test_drains_agreed import DrainStage
from tests.stage import S
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.turnguard import TurnGuard

SLOTS_PATH = "/apis/wingbarrow.io/v1/turns"


class MaintenanceStage(DrainStage):
    """A fleet whose maintenance slots are requested at the leader."""

    def slot(self, number: int) -> dict[str, Any]:
        return self.ask(self.leader(), path=f"{SLOTS_PATH}/{number}")[1]

    def state(self, number: int) -> str:
        return str(self.slot(number).get("state"))

    def request_slot(self, machine: str, **more: Any) -> dict[str, Any]:
        status, answer = self.ask(
            self.leader(), "POST", {"machine": machine, "worker": "w", **more}, SLOTS_PATH
        )
        assert status == 201, answer
        return answer

    def act(self, number: int, action: str, **more: Any) -> tuple[int, dict[str, Any]]:
        return self.ask(self.leader(), "POST", more, f"{SLOTS_PATH}/{number}/{action}")

    def live_pods(self, machine: str) -> int:
        found = next(each for each in self.cluster.machines if each.name == machine)
        return sum(pod.phase in ("Pending", "Running") for pod in found.pods.values())

    def guard(self, machine: str) -> TurnGuard:
        return next(each for each in self.cluster.machines if each.name == machine).turns

    def ready(self) -> None:
        self.join()
        assert self.wait(lambda: self.all_on("e1"))
        self.hub.sleep(2 * S)


def test_a_slot_from_request_to_done() -> None:
    stage = MaintenanceStage(machines=8, placers=5)

    def script() -> None:
        stage.ready()
        other = next(slot for slot in stage.cluster.placers if slot is not stage.leader())
        status, answer = stage.ask(other, "POST", {"machine": "node-2"}, SLOTS_PATH)
        assert (status, answer["name"]) == (307, stage.leader().name)
        stage.work(3, "before")
        assert stage.live_pods("node-2") > 0
        number = stage.request_slot("node-2", urgency=7, ident="once", lasts="5m")["number"]
        resent = stage.ask(
            stage.leader(),
            "POST",
            {"machine": "node-2", "worker": "w", "ident": "once"},
            SLOTS_PATH,
        )
        assert (resent[0], resent[1]["number"]) == (201, number)
        status, answer = stage.ask(stage.leader(), "POST", {"machine": "node-2"}, SLOTS_PATH)
        assert status == 409
        assert f"has turn {number}" in answer["message"]
        assert stage.wait(lambda: stage.state(number) == "out", 30), stage.slot(number)
        slot = stage.slot(number)
        assert slot["cell"]
        assert slot["zone"]
        assert slot["tasks"] > 0
        assert stage.live_pods("node-2") == 0
        assert stage.guard("node-2").refuses()
        assert stage.everywhere("node-2", "draining")
        since = stage.hub.now_us()
        for round_ in range(4):
            stage.work(2, f"out-{round_}")
            assert stage.act(number, "renew", worker="w")[0] == 200
            assert stage.live_pods("node-2") == 0
        assert stage.act(number, "renew", worker="another")[0] == 409
        assert stage.act(number, "give-back")[0] == 409, "the worker's lease has not expired"
        assert stage.act(number, "out-done", worker="w")[1]["state"] == "back"
        assert stage.act(number, "renew", worker="w")[0] == 409
        stage.work(6, "back")
        senders = {each.data["placer"] for each in stage.sent("node-2", since)}
        assert len(senders) <= 1 or stage.state(number) == "done"
        assert stage.wait(lambda: stage.state(number) == "done", 40), stage.slot(number)
        stage.work(3, "after")
        assert stage.everywhere("node-2", "running")
        assert not stage.guard("node-2").refuses()
        assert {
            each["state"] for each in stage.ask(stage.leader(), path=SLOTS_PATH)[1]["items"]
        } == {"done"}
        records = [each.data for each in stage.seen("turn") if each.where == "node-2"]
        assert records[-1]["shut"] is False
        assert any(each["shut"] and each["empty"] for each in records)

    stage.play(script)


def test_a_window_takes_its_machines_one_after_another_and_requests_none_twice() -> None:
    stage = MaintenanceStage(machines=8, placers=3)

    def script() -> None:
        stage.ready()
        machines = [["node-1", "", "", ""], ["node-3", "", "", ""]]
        window = {**stage.window(8, 100), "each_us": 20 * S, "machines": machines}
        budgets = {
            **read_plan(stage.latest_rules()),
            "budgets": [["all", "max", 1.0]],
            "lead_us": 5 * S,
        }
        assert stage.propose("w", windows=[window], plan=budgets)[0] == 201
        seen: dict[str, set[str]] = {"node-1": set(), "node-3": set()}
        for step in range(110):
            stage.hub.sleep(S)
            if step % 6 == 0:
                stage.work(0.3, f"load-{step}")
            items = stage.ask(stage.leader(), path=SLOTS_PATH)[1]["items"]
            out = [each for each in items if each["state"] == "out"]
            assert len(out) <= 1
            assert all(stage.live_pods(each["machine"]) == 0 for each in out)
            for each in items:
                seen[each["machine"]].add(each["state"])
        assert len(items) == 2 and {each["state"] for each in items} == {"done"}, items
        assert all("out" in states for states in seen.values())
        assert stage.everywhere("node-1", "running")
        assert stage.everywhere("node-3", "running")

    stage.play(script)


def read_plan(rules: dict[str, Any]) -> dict[str, Any]:
    plan = asdict(parse_rule_set(json.dumps(rules)).plan)
    return {**plan, "budgets": [list(each) for each in plan["budgets"]], "blackouts": []}


def test_a_slot_survives_a_killed_leader_and_an_unknown_machine_waits() -> None:
    stage = MaintenanceStage(machines=8, placers=5)

    def script() -> None:
        stage.ready()
        unknown = stage.request_slot("no-such-machine")
        number = stage.request_slot("node-5")["number"]
        assert stage.wait(lambda: stage.state(number) in ("closing", "empty", "out"), 10)
        killed = stage.leader()
        killed.kill()
        assert stage.wait(lambda: has_leader(stage), 20)
        assert stage.wait(lambda: stage.state(number) == "out", 30), stage.slot(number)
        answer = stage.slot(unknown["number"])
        assert answer["state"] == "asked"
        assert "no list" in answer["blocked"]
        assert stage.act(unknown["number"], "give-back", note="a slip")[1]["state"] == "given-back"
        assert stage.act(number, "renew")[1]["state"] == "out"
        killed.start()
        assert stage.wait(lambda: killed.service is not None and killed.service.placer.ready, 20)
        assert stage.wait(lambda: stage.phase(killed, "node-5") == "draining", 10), (
            "a restarted placer must learn of the slot"
        )
        for wrong in (
            {"machine": "node-1", "urgency": 11},
            {"machine": 5},
            {"machine": "node-1", "lasts": "long"},
            {"machine": "node-1", "latest": "x"},
        ):
            assert stage.ask(stage.leader(), "POST", wrong, SLOTS_PATH)[0] == 422, wrong
        assert stage.ask(stage.leader(), "POST", {}, f"{SLOTS_PATH}/77/renew")[0] == 404
        assert stage.ask(stage.leader(), "POST", {}, f"{SLOTS_PATH}/{number}/dance")[0] == 404

    stage.play(script)


def has_leader(stage: AgreementStage) -> bool:
    def is_leader(slot: PlacerSlot) -> bool:
        service = slot.service
        return (
            service is not None
            and service.placer.peering.agreement is not None
            and (service.placer.peering.agreement.is_leader)
        )

    return any(map(is_leader, stage.cluster.placers))
