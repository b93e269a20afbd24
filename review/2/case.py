"""Case 2: one of twenty machines hangs; the end of a task on another, sound machine is never told to its owner."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import rig as stand  # noqa: E402
from sites import vantaa_campus  # noqa: E402

END_S = 8.05  # "the deadline is 8 s after its end", and 50 ms for each time limit
LIFE_S = 37.0  # of a batch run; the site's live 22 to 52 s


async def play(rig: stand.Rig, trouble: bool) -> bool:
    await rig.start_machines(20, cells=4, zones=["hall-a", "hall-b"])
    await rig.start_placer(rig.temporary)
    record = rig.record

    # A quiet placer. A first batch run shows to which machine those of its service go; it ends soon.
    rig.lives = {"settle-1": 2.0}
    zero = await rig.owner("owner-0")
    zero.ask(0x51, "settlement", "settle-1", 10_000, 8, 13)
    assert await rig.until_answered(0x51), "the first batch run is not placed"
    batch = stand.holder(rig, 0x51)
    assert batch is not None

    # A client that asks once and keeps its connection for good: its batch run stands on another machine.
    machine, task = batch, 0
    for i in range(2, 9):
        rig.lives[f"settle-{i}"] = LIFE_S
        task = 0xA0 + i
        first = await rig.owner(f"owner-1{'abcdefgh'[i - 2]}", keeps=True)
        first.ask(task, "settlement", f"settle-{i}", 10_000, 8, 13)
        assert await rig.until_answered(task), "the second batch run is not placed"
        found = stand.holder(rig, task)
        assert found is not None
        machine = found
        if machine is not batch:
            break
    assert machine is not batch, "all batch runs go to one machine"
    record("case", f"{task:016x} stands on {machine.name}; those of settle-1 go to {batch.name}")

    # The placer closes that connection once it has rested for 30 s.
    until = record.now() + 33
    while first.closed is None and record.now() < until:
        await asyncio.sleep(0.05)
    assert first.closed is not None, "the placer has not closed the resting connection"
    if trouble:
        batch.hang()
    await asyncio.sleep(1)

    # The owner asks for its next batch run, on a new connection.
    second = await rig.owner("owner-2")
    second.ask(0x52, "settlement", "settle-1", 10_000, 8, 13)

    # The task comes to its end on its sound machine, which says so at once.
    while task not in machine.ended:
        await asyncio.sleep(0.01)
    end = machine.ended[task]
    if not trouble:
        await asyncio.sleep(1)
    while second.closed is None and record.now() < end + END_S + 2:
        await asyncio.sleep(0.05)

    # Later the owner asks again, on one more connection, and is served: is the end told then?
    third = await rig.owner("owner-3")
    third.ask(0xC0, "label-web", "web-c", 5000, 0.5, 1)
    assert await rig.until_answered(0xC0), "the web task is not placed"
    await asyncio.sleep(3)

    told = rig.first(task, stand.RELEASE, stand.MOVE)
    told_late = f"told after {told[0] - end:.3f} s" if told else "never told"
    record("verdict", f"{task:016x}: its machine released it at {end:.3f} s; its owner was {told_late}")
    closed = f"to {second.closed:.3f} s" if second.closed else "on"
    record("verdict", f"owner-2 was connected from {second.opened:.3f} s {closed}")
    return told is None or told[0] - end > END_S


if __name__ == "__main__":
    stand.main(FOLDER, vantaa_campus(), play)
