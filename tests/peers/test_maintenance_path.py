"""Turns on a virtual clock with whole placers: asked over REST, confirmed, refused by the machine, worked on, tried."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from tests.peers.stage import Agreeing
from tests.peers.test_drains_agreed import Draining
from tests.stage import S
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.turnguard import TurnGuard

TURNS = "/apis/wingbarrow.io/v1/turns"


class Turning(Draining):
    """With turns asked of the leader."""

    def turn(self, number: int) -> dict[str, Any]:
        return self.ask(self.leader(), path=f"{TURNS}/{number}")[1]

    def state(self, number: int) -> str:
        return str(self.turn(number).get("state"))

    def want(self, machine: str, **more: Any) -> dict[str, Any]:
        status, told = self.ask(
            self.leader(), "POST", {"machine": machine, "worker": "w", **more}, TURNS
        )
        assert status == 201, told
        return told

    def say(self, number: int, action: str, **more: Any) -> tuple[int, dict[str, Any]]:
        return self.ask(self.leader(), "POST", more, f"{TURNS}/{number}/{action}")

    def holds(self, machine: str) -> int:
        found = next(each for each in self.cluster.machines if each.name == machine)
        return sum(pod.phase in ("Pending", "Running") for pod in found.pods.values())

    def guard(self, machine: str) -> TurnGuard:
        return next(each for each in self.cluster.machines if each.name == machine).turns

    def ready(self) -> None:
        self.join()
        assert self.wait(lambda: self.all_on("e1"))
        self.hub.sleep(2 * S)


def test_one_whole_turn() -> None:
    stage = Turning(machines=8, placers=5)

    def script() -> None:
        stage.ready()
        other = next(slot for slot in stage.cluster.placers if slot is not stage.leader())
        status, told = stage.ask(other, "POST", {"machine": "node-2"}, TURNS)
        assert (status, told["name"]) == (307, stage.leader().name)
        stage.work(3, "before")
        assert stage.holds("node-2") > 0
        number = stage.want("node-2", urgency=7, ident="once", lasts="5m")["number"]
        again = stage.ask(
            stage.leader(), "POST", {"machine": "node-2", "worker": "w", "ident": "once"}, TURNS
        )
        assert (again[0], again[1]["number"]) == (201, number)
        status, told = stage.ask(stage.leader(), "POST", {"machine": "node-2"}, TURNS)
        assert status == 409
        assert f"has turn {number}" in told["message"]
        assert stage.wait(lambda: stage.state(number) == "out", 30), stage.turn(number)
        turn = stage.turn(number)
        assert turn["cell"]
        assert turn["zone"]
        assert turn["tasks"] > 0
        assert stage.holds("node-2") == 0
        assert stage.guard("node-2").refuses()
        assert stage.everywhere("node-2", "draining")
        since = stage.hub.now_us()
        for round_ in range(4):
            stage.work(2, f"out-{round_}")
            assert stage.say(number, "renew", worker="w")[0] == 200
            assert stage.holds("node-2") == 0
        assert stage.say(number, "renew", worker="another")[0] == 409
        assert stage.say(number, "give-back")[0] == 409, "its worker is heard of"
        assert stage.say(number, "out-done", worker="w")[1]["state"] == "back"
        assert stage.say(number, "renew", worker="w")[0] == 409
        stage.work(6, "back")
        senders = {each.data["placer"] for each in stage.sent("node-2", since)}
        assert len(senders) <= 1 or stage.state(number) == "done"
        assert stage.wait(lambda: stage.state(number) == "done", 40), stage.turn(number)
        stage.work(3, "after")
        assert stage.everywhere("node-2", "running")
        assert not stage.guard("node-2").refuses()
        assert {each["state"] for each in stage.ask(stage.leader(), path=TURNS)[1]["items"]} == {
            "done"
        }
        records = [each.data for each in stage.seen("turn") if each.where == "node-2"]
        assert records[-1]["shut"] is False
        assert any(each["shut"] and each["empty"] for each in records)

    stage.play(script)


def test_a_window_has_its_turns_one_after_another_and_asks_for_none_twice() -> None:
    stage = Turning(machines=8, placers=3)

    def script() -> None:
        stage.ready()
        machines = [["node-1", "", "", ""], ["node-3", "", "", ""]]
        window = {**stage.window(8, 100), "each_us": 20 * S, "machines": machines}
        budgets = {**read_plan(stage.changed()), "budgets": [["all", "max", 1.0]], "lead_us": 5 * S}
        assert stage.propose("w", windows=[window], plan=budgets)[0] == 201
        seen: dict[str, set[str]] = {"node-1": set(), "node-3": set()}
        for step in range(110):
            stage.hub.sleep(S)
            if step % 6 == 0:
                stage.work(0.3, f"load-{step}")
            items = stage.ask(stage.leader(), path=TURNS)[1]["items"]
            out = [each for each in items if each["state"] == "out"]
            assert len(out) <= 1
            assert all(stage.holds(each["machine"]) == 0 for each in out)
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


def test_a_leader_killed_in_the_middle_and_a_machine_nobody_knows() -> None:
    stage = Turning(machines=8, placers=5)

    def script() -> None:
        stage.ready()
        unknown = stage.want("no-such-machine")
        number = stage.want("node-5")["number"]
        assert stage.wait(lambda: stage.state(number) in ("closing", "empty", "out"), 10)
        killed = stage.leader()
        killed.kill()
        assert stage.wait(lambda: leads(stage), 20)
        assert stage.wait(lambda: stage.state(number) == "out", 30), stage.turn(number)
        told = stage.turn(unknown["number"])
        assert told["state"] == "asked"
        assert "no list" in told["blocked"]
        assert stage.say(unknown["number"], "give-back", note="a slip")[1]["state"] == "given-back"
        assert stage.say(number, "renew")[1]["state"] == "out"
        killed.start()
        assert stage.wait(lambda: killed.service is not None and killed.service.placer.ready, 20)
        assert stage.wait(lambda: stage.phase(killed, "node-5") == "draining", 10), (
            "one that comes back hears of it"
        )
        for wrong in (
            {"machine": "node-1", "urgency": 11},
            {"machine": 5},
            {"machine": "node-1", "lasts": "long"},
            {"machine": "node-1", "latest": "x"},
        ):
            assert stage.ask(stage.leader(), "POST", wrong, TURNS)[0] == 422, wrong
        assert stage.ask(stage.leader(), "POST", {}, f"{TURNS}/77/renew")[0] == 404
        assert stage.ask(stage.leader(), "POST", {}, f"{TURNS}/{number}/dance")[0] == 404

    stage.play(script)


def leads(stage: Agreeing) -> bool:
    def one(slot: PlacerSlot) -> bool:
        service = slot.service
        return (
            service is not None
            and service.placer.peering.agreement is not None
            and (service.placer.peering.agreement.is_leader)
        )

    return any(map(one, stage.cluster.placers))
