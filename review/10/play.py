"""A task ends while its owner's only connection has an open request, and some bad clients have asked after it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import (  # noqa: E402
    ANSWER, BROKEN, HELD, OWNER_IDLE_S, RELEASE, RELEASE_BOUND_S, TROUBLE, UNSENT_BOUND_S, Site, Unable, run_case,
)
from sites import VANTAA  # noqa: E402

FIRST, TASK, SECOND = 0x7A01, 0x7A02, 0x7A03
LIFE_S = 8.0  # of TASK; label tasks live 6.5 to 18 s on average
BAD_CLIENTS = 20


async def play(site: Site) -> tuple[int, str]:
    for i in range(2):
        machine = await site.machine(f"s-0000000{i}", "small-node", 24, 50)
        machine.life_s = lambda set_up: LIFE_S if set_up.task == TASK else 3600.0
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    owner = await site.connect("owner")
    for i in range(2):  # two settlement runs: neither machine has room for a third one of 14 cores
        owner.ask(FIRST + 0x100 * i, "settlement", "0000000000000001", 14, 28, 10_000)
        await asyncio.sleep(0.3)
    owner.ask(TASK, "label-web", "0000000000000002", 0.5, 1, 5_000)
    await asyncio.sleep(0.5)
    if len([got for _, got in owner.received if got.kind == ANSWER]) != 3:
        raise Unable("the tasks were not placed")
    ran_on = next(machine for machine in site.machines if TASK in machine.runs)
    if len([run for machine in site.machines for run in machine.runs.values() if run.cores == 14]) != 2:
        raise Unable("the settlement runs were not placed")
    await asyncio.sleep(OWNER_IDLE_S)
    owner.close()  # owners close a connection with no task on it after 4 s
    owner = await site.connect("owner again")
    # Waits for room: 14 cores are free on neither machine.
    owner.ask(SECOND, "settlement", "0000000000000003", 14, 28, 10_000)
    await asyncio.sleep(0.3)
    if TROUBLE:
        for i in range(BAD_CLIENTS):
            client = await site.connect(f"bad client {i}")
            client.ask(0xBAD0000 + i, "settlement", f"bad{i}", 640, 1, 10_000)  # figures out of range: no such machine
    while TASK not in ran_on.released:
        await asyncio.sleep(0.05)
    ended = ran_on.released[TASK][1]
    await asyncio.sleep(UNSENT_BOUND_S + 1.0)
    if not site.is_up():
        return BROKEN, "the placer has ended"
    open_until = owner.ended_at or site.record.now()
    told = [at for at, got in owner.of(TASK) if got.kind == RELEASE]
    strangers = sum(bool(each.of(TASK)) for each in site.connections if each.who.startswith("bad"))
    if told and told[0] - ended <= RELEASE_BOUND_S:
        return HELD, f"the owner was told of the end {told[0] - ended:.2f} s after it"
    if told:
        return BROKEN, f"the owner was told of the end only {told[0] - ended:.2f} s after it; {strangers} bad clients were"
    return BROKEN, (
        f"the owner was not told of the end within {UNSENT_BOUND_S} s, though its connection was open until "
        f"{open_until - ended:.2f} s after it; {strangers} bad clients were told"
    )


run_case(__file__, VANTAA, play)
