"""Writes the files of `tests/data/wire` and `tests/data/stored` anew: `python -m tests.stored.make FOLDER`.

The new tree is for comparison, and must not replace the files there, which never change. The files of a running cluster
(`cluster`, `placer`) contain ports and times of that run, and differ each time; all others are the same byte for byte.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

from tests.peers.stage import AgreementStage
from tests.stage import S, Stage
from tests.stored import scenario, state
from tests.wire import samples
from wingbarrow.core import saved_list

LIMITS = 'limit "namespace/default" most=20 stranded="5s"\n'
WINDOW = """\
window "patch" start="2026-05-28T20:26:55+00:00" lasts="1h" unsafe="wait" { machines name="node-0"; }
lead "4s"
"""


def write_wire(folder: Path) -> None:
    for name in ("peers", "entries", "rules", "snapshots"):
        (folder / name).mkdir(parents=True)
    for kind, letters in samples.LETTERS.items():
        (folder / "peers" / f"{kind}.json").write_bytes(samples.write_mail(letters))
    (folder / "peers" / "knowledge-page.json").write_bytes(samples.write_page())
    (folder / "peers" / "knowledge-change.json").write_bytes(samples.write_change())
    for name, value in samples.INSTANCES.items():
        (folder / "peers" / name).write_bytes(samples.write_announced(value))
    for entry in reversed(scenario.entries(scenario.run_history()[0])):
        name = entry.kind.replace("/", ".") or "empty"
        (folder / "entries" / f"{name}.json").write_text(entry.body)
    for name, rules in samples.RULE_SETS.items():
        (folder / "rules" / f"{name}.json").write_text(samples.rules_text(rules))
        (folder / "rules" / f"{name}.digest").write_text(samples.rules_digest(rules))
    for name, text in samples.snapshots().items():
        (folder / "snapshots" / f"{name}.json").write_text(text)


def write_stored(folder: Path, scratch: Path) -> None:
    persisted = scenario.run_history()[0]
    scenario.write_store(folder / "votes", persisted, scratch / "votes")
    disk = scenario.disk_of(persisted)
    (folder / "texts").mkdir()
    digests = []
    last = None
    for kind, last in scenario.replayed(disk):
        digests.append(f"{kind or 'empty'} {last.digest}\n")
    (folder / "digests.txt").write_text("".join(digests))
    assert last is not None
    for name, text in last.texts().items():
        (folder / "texts" / f"{name}.txt").write_text(text)
    for write in (state.write_machines, state.write_alive, state.write_drains):
        write(folder / "state")


def write_placer(folder: Path) -> None:
    """Write the state folder of a placer that was killed during a drain; machines get port 1, which none has."""
    folder.mkdir(parents=True)
    (folder / "windows.kdl").write_text(WINDOW)
    stage = Stage(machines=2)

    def script() -> None:
        slot = stage.cluster.placers[0]
        slot.kill()
        slot.extra = f'\ncalendar "{folder / "windows.kdl"}"\n'
        slot.start()
        stage.hub.sleep(20 * S)
        slot.kill()
        nodes = saved_list.load(Path(slot.state))
        for each in nodes:
            each["status"]["daemonEndpoints"]["kubeletEndpoint"]["Port"] = 1
        saved_list.save(folder, nodes)
        for name in (state.HEARTBEAT_FILE, state.DRAINS_FILE):
            shutil.copy(Path(slot.state) / name, folder / name)

    stage.play(script)


def write_cluster(folder: Path, scratch: Path) -> None:
    """Write the stores of three voters after two versions of the rules."""
    stage = AgreementStage(machines=2, placers=3)
    stage.limits = LIMITS

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        value = {"ident": "x", "rules": stage.latest_rules(barred=["node-1"])}
        assert stage.ask(stage.leader(), "POST", value)[0] == 201
        assert stage.wait(lambda: stage.all_on("e2"), 10)
        stage.hub.sleep(S)
        for slot in stage.cluster.placers:
            slot.kill()
        for slot in stage.cluster.placers:
            # Copied first, as the killed placer's LMDB environment is still open in this process.
            copied = scratch / slot.name
            shutil.copytree(Path(slot.state) / "rules", copied)
            scenario.compact(copied, folder / slot.name / "rules")

    stage.play(script)


def main(folder: Path) -> None:
    folder.mkdir()
    write_wire(folder / "wire")
    scratch = folder / "scratch"
    write_stored(folder / "stored", scratch)
    write_placer(folder / "stored" / "placer")
    write_cluster(folder / "stored" / "cluster", scratch)
    shutil.rmtree(scratch)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
