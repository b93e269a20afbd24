"""Case 1: one of twenty machines hangs for 10 s; the ends of its tasks never reach their owner."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import rig as stand  # noqa: E402
from sites import vantaa_campus  # noqa: E402

HANG_S = 10.0
APART = 4  # the machine that hangs
END_S = 8.05  # "the deadline is 8 s after its end", and 50 ms for each time limit
LIVES_S = (8.0, 11.0, 13.0, 18.0)


async def play(rig: stand.Rig, trouble: bool) -> bool:
    record = rig.record
    zones = ["hall-a", "hall-b"]
    await rig.start_machines(20, cells=4, zones=zones, apart=APART)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", str(FOLDER.parent / "standins/machine_process.py"), stand.machine_name(APART), "0", "hall-a",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        return await watch(rig, trouble, process, zones)
    finally:
        process.kill()
        await process.wait()


async def watch(rig: stand.Rig, trouble: bool, process: asyncio.subprocess.Process, zones: list[str]) -> bool:
    record = rig.record
    assert process.stdout is not None
    hung = stand.Machine(rig, stand.machine_name(APART), 0, "hall-a")
    hung.port = int(await process.stdout.readline())
    answered: set[int] = set()
    released: dict[int, float] = {}

    async def read() -> None:
        while line := (await process.stdout.readline()).decode():
            at, _, what = line.strip().partition(" ")
            record(hung.name, f"{what} (at {float(at) - record.began:.3f} s)")
            words = what.split()
            if words[:2] == ["sends", "answer"]:
                answered.add(int(words[2], 16))
            elif words[:2] == ["sends", "release"] or words[1:3] == ["has", "ended,"]:
                task = int(words[2] if words[0] == "sends" else words[0], 16)
                released.setdefault(task, float(at) - record.began)

    rig.spawn(read())
    rig.journal.add(*(machine.entry() for machine in [*rig.machines, hung]), reset=True)
    await rig.start_placer(rig.temporary)

    # An owner that asks once a second all the time, so that it is always connected and served.
    state = {"on": True}

    async def keep_asking() -> None:
        owner = await rig.owner("owner-0")
        for i in range(100):
            if not state["on"]:
                return
            if owner.closed is not None:
                owner = await rig.owner("owner-0")
            owner.ask(0x9000 + i, "tracking", "steady:2", 8000, 0.5, 0.5)
            await asyncio.sleep(1)

    # Find services whose tasks go to the machine in question.
    owner = await rig.owner("owner-1", keeps=True)
    tasks: list[int] = []
    for i in range(300):
        life_s = LIVES_S[len(tasks)]
        owner.ask(0x100 + i, "label-web", f"web-{i}:{life_s}", 5000, 0.25, 1)
        assert await rig.until_answered(0x100 + i), "a task is not placed"
        await asyncio.sleep(0.02)
        if 0x100 + i in answered:
            tasks.append(0x100 + i)
        else:
            owner.writer.write(stand.encode(stand.RELEASE, 0x100 + i, {stand.CAUSE: b"\x1f"}))
        if len(tasks) == len(LIVES_S):
            break
    assert len(tasks) == len(LIVES_S), "no task goes to the machine"
    rig.spawn(keep_asking())
    await asyncio.sleep(3)
    if trouble:
        process.send_signal(signal.SIGSTOP)
        record(hung.name, "hangs (SIGSTOP)")
    await asyncio.sleep(HANG_S)
    if trouble:
        process.send_signal(signal.SIGCONT)
        record(hung.name, "goes on (SIGCONT)")
    until = time.time() + 25
    while time.time() < until and len([t for t in tasks if t in released]) < len(tasks):
        await asyncio.sleep(0.05)
    assert all(task in released for task in tasks), "a task has not ended"
    await asyncio.sleep(END_S + 1)
    state["on"] = False

    broken = False
    for task in tasks:
        told = rig.first(task, stand.RELEASE, stand.MOVE)
        end = released[task]
        broken = broken or told is None or told[0] - end > END_S
        text = f"told after {told[0] - end:.3f} s" if told else "never told"
        record("verdict", f"{task:016x}: released by its machine at {end:.3f} s; its owner was {text}")
    return broken


if __name__ == "__main__":
    stand.main(FOLDER, vantaa_campus(), play)
