"""A bad client asks under the ids of open requests with another description, and takes all of them back at once."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import (  # noqa: E402
    ANSWER, BROKEN, CAUSE, GIVEN_UP, HELD, RELEASE, RELEASE_BOUND_S, TROUBLE, Site, Unable, message, run_case,
)
from sites import VANTAA  # noqa: E402

RUNS, SMALL = 0x8A00, 0x8B00
TASKS = 100  # in all: some 21 tasks a second that live 6.5 to 20 s stand at 3 to 5 placers
CUT_AFTER_S = 10.0


async def play(site: Site) -> tuple[int, str]:
    for i in range(12):
        machine = await site.machine(f"s-{i:08x}", "small-node", 24, 50, cell=i // 4)
        machine.life_s = lambda set_up: 60.0
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    owner = await site.connect("owner")
    for i in range(2):  # the two oldest tasks are runs that must never be started twice
        owner.ask(RUNS + i, "settlement", "0000000000000001", 8, 13, 10_000)
        await asyncio.sleep(0.2)
    for i in range(TASKS - 2):
        owner.ask(SMALL + i, "label-web", f"{i + 2:016x}", 0.5, 1, 5_000)
        await asyncio.sleep(0.03)
    await asyncio.sleep(1.0)
    standing = [got.task for _, got in owner.received if got.kind == ANSWER]
    if len(standing) < TASKS * 0.8:
        raise Unable(f"only {len(standing)} tasks were placed")
    began = site.record.now()
    if TROUBLE:
        bad = await site.connect("bad client")
        for task in standing:
            bad.ask(task, "label-web", "bad", 0.5, 1, 5_000)
        site.record("bad client", f"takes all {len(standing)} requests back at once")
        for task in standing:
            bad.writer.write(message(RELEASE, task, {CAUSE: bytes((GIVEN_UP,))}))
    await asyncio.sleep(CUT_AFTER_S)
    if not site.is_up():
        return BROKEN, "the placer has ended"
    cut = {task: (machine.name, at) for machine in site.machines for task, (_, at) in machine.released.items()
           if task in standing and at >= began}
    told = {got.task for _, got in owner.received if got.kind == RELEASE}
    lost = sorted(task for task, (_, at) in cut.items() if task not in told and site.record.now() - at > RELEASE_BOUND_S)
    if not lost:
        return HELD, f"{len(standing)} tasks stood, {len(cut)} were cut, and their owner was told of each"
    runs = sum(task in (RUNS, RUNS + 1) for task in lost)
    return BROKEN, (
        f"{len(lost)} of {len(standing)} standing tasks were stopped at their machines through a stranger, {runs} of them "
        f"settlement runs, and their owner, connected all the time, was not told within {CUT_AFTER_S:.0f} s"
    )


run_case(__file__, VANTAA, play)
