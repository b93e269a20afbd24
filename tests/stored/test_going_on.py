"""Placers that start with the state folders of commit ff53260 continue from the state there."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

from tests.peers.stage import AgreementStage
from tests.stage import S, Stage
from tests.stored import make, state
from tests.wire import samples
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.http.watching import call
from wingbarrow.lab.node import node_value
from wingbarrow.store.voter_store import VoterStore
from wingbarrow.transport import VirtualClock

STORED = samples.DATA / "stored"


def advance_wall_clock(stage: Stage, seconds: int) -> None:
    """Advance the wall clock, to a time after the stored files were written."""
    clock = stage.hub.clock
    assert isinstance(clock, VirtualClock)
    clock._wall += seconds * S


def port_of(node: dict[str, Any]) -> int:
    port: int = node["status"]["daemonEndpoints"]["kubeletEndpoint"]["Port"]
    return port


def test_a_placer_uses_the_saved_list_and_goes_on_with_a_drain() -> None:
    stage = Stage(machines=2)

    def script() -> None:
        slot = stage.cluster.placers[0]
        slot.kill()
        stage.cluster.source.set_down(True)
        advance_wall_clock(stage, 40)
        for name in (state.MACHINES_FILE, state.HEARTBEAT_FILE, state.DRAINS_FILE):
            shutil.copy(STORED / "placer" / name, Path(slot.state) / name)
        slot.extra = f'\ncalendar "{STORED / "placer" / "windows.kdl"}"\n'
        slot.start()
        assert slot.service is not None
        placer = slot.service.placer
        stage.hub.sleep(S // 10)
        nodes = call(stage.pool(), "GET", "/api/v1/nodes")["items"]
        assert {each["metadata"]["name"]: port_of(each) for each in nodes} == {
            "node-0": 1,
            "node-1": 1,
        }
        drains = placer.drainer.describe()
        assert [(each["key"], each["phase"]) for each in drains] == [
            ("patch@1780000015/node-0", "out")
        ]
        saved = placer.drainer.drains.tracked["patch@1780000015/node-0"]
        assert saved.since_us == 1_780_000_011_500_000, "the saved drain, not a new one"
        source_up_us = stage.hub.now_us()
        stage.cluster.source.set_down(False)
        for machine in stage.cluster.machines:
            stage.cluster.source.show(machine.name, node_value(machine))
        stage.hub.sleep(5 * S)
        assert {name: each.port for name, each in placer.fleet.held.items()} == {
            each.name: each.port for each in stage.cluster.machines
        }
        for number in range(6):
            stage.submit(f"t{number}", service=f"s{number}", runs_s=1)
            assert "Placed" in stage.settled(f"t{number}")
        sent = {each.where for each in stage.seen("offer") if each.at_us > source_up_us}
        assert sent == {"node-1"}

    stage.play(script)


def test_voters_go_on_with_rules_that_were_agreed_on() -> None:
    stage = AgreementStage(machines=2, placers=3)
    stage.limits = make.LIMITS

    def script() -> None:
        stage.join()
        for slot in stage.cluster.placers:
            slot.kill()
            shutil.rmtree(slot.state)
            shutil.copytree(STORED / "cluster" / slot.name, slot.state)
        before = {
            slot.name: load_copy(STORED / "cluster" / slot.name, slot.name)
            for slot in stage.cluster.placers
        }
        advance_wall_clock(stage, 3600)
        for slot in stage.cluster.placers:
            slot.start()
        assert stage.wait(lambda: stage.all_on("e2"), 30)
        body = stage.ask(stage.leader())[1]
        assert [each["number"] for each in body["versions"]] == [1, 2]
        assert body["versions"][-1]["rules"]["barred"] == ["node-1"]
        value = {"ident": "y", "rules": stage.latest_rules(barred=["node-1", "node-5"])}
        status, body = stage.ask(stage.leader(), "POST", value)
        assert (status, body["version"]) == (201, 3)
        assert stage.wait(lambda: stage.all_on("e3"), 30)
        stage.submit("t", runs_s=1)
        assert "Placed" in stage.settled("t")
        assert {each.where for each in stage.seen("offer")} == {"node-0"}
        for slot in stage.cluster.placers:
            slot.kill()
            after = load_copy(Path(slot.state), slot.name)
            assert after.term > before[slot.name].term
            assert after.log[: len(before[slot.name].log)] == before[slot.name].log
            assert after.snapshot_index == before[slot.name].snapshot_index

    def load_copy(folder: Path, name: str) -> PersistentState:
        scratch = Path(stage.cluster.placers[0].state).parent / f"copy-{folder.parent.name}-{name}"
        shutil.copytree(folder / "rules", scratch)
        store = VoterStore(scratch)
        try:
            return store.load()
        finally:
            store.close()

    stage.play(script)
