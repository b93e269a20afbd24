"""Three regions of placer processes under load: one is cut off and heals, one is killed and restarted; three turns."""

from __future__ import annotations

import json
from pathlib import Path

from wingbarrow.core.logs import silent
from wingbarrow.lab.fleet.judge import judge
from wingbarrow.lab.fleet.layout import Size
from wingbarrow.lab.fleet.rig import Rig
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.transport import Hub

S = 1_000_000
SIZE = Size(
    placers=6, machines=9, seconds=50, seed=3, rate=5.0, regions=3, lease_s=6.0, after_s=7.0
)
FAULTS = [
    Fault("work", 1 * S, "placer-0", lasts_us=2 * S, amount=304.0),
    Fault("cut-region", 2 * S, "north", lasts_us=13 * S),
    Fault("work", 10 * S, "placer-1", lasts_us=2 * S, amount=108.0),
    Fault("kill-region", 23 * S, "south", lasts_us=24 * S, machines=True),
    Fault("work", 26 * S, "placer-2", lasts_us=2 * S, amount=206.0),
]


def test_three_regions_one_cut_off_one_killed_and_three_turns(tmp_path: Path) -> None:
    hub = Hub()
    hub.run(Rig(hub, SIZE, FAULTS, tmp_path / "run", silent).run)
    verdict = judge(tmp_path / "run")
    assert verdict.clean, verdict.notes
    assert (verdict.regions, verdict.kills, verdict.turns) == (3, 2, 3)
    # Enough to judge: leased tasks in every region, some of them reissued by other placers.
    assert verdict.audit.placed >= 60
    assert verdict.leased >= 40
    assert verdict.reissued >= 1
    assert 0 < verdict.longest_reissue_ms <= verdict.stated_reissue_ms
    ended = [
        line
        for file in sorted((tmp_path / "run").glob("*.history.jsonl"))
        for line in map(json.loads, file.read_text().splitlines())
        if line["what"] == "session-ended"
    ]
    assert {line["region"] for line in ended} == {"north", "south"}, (
        "the voters' log ended the sessions of both regions"
    )
    worked = [
        line["where"]
        for line in map(json.loads, (tmp_path / "run" / "recording.jsonl").read_text().splitlines())
        if line["what"] == "work-end"
    ]
    assert len(worked) == 3, "three machines were worked on"
