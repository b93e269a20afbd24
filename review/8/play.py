"""A usual owner's request is open at a slow start while bad clients send hundreds of requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import ANSWER, BROKEN, HELD, RELEASE, TROUBLE, Site, Unable, run_case  # noqa: E402
from sites import VANTAA  # noqa: E402

TASK = 0x6A01
PATIENCE_S = 10.0  # of settlement, by its brief
START_S = 4.0  # 6 to 12 times the work of up to 370 ms, where the machine holds nothing of the service
BAD_CLIENTS = 200
SOCKETS = 256


async def play(site: Site) -> tuple[int, str]:
    for i in range(10):
        machine = await site.machine(f"s-0000000{i}", "small-node", 24, 50, cell=i // 4)
        machine.start_s = lambda set_up: START_S
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    owner = await site.connect("owner")
    owner.ask(TASK, "settlement", "00000000b4d65521", 8, 13, int(PATIENCE_S * 1000), hint_ms=8200.0)
    await asyncio.sleep(0.5)
    if not any(TASK in machine.runs for machine in site.machines):
        raise Unable("the request did not reach a machine")
    if TROUBLE:
        bad = []
        for i in range(BAD_CLIENTS):
            client = await site.connect(f"bad client {i}")
            client.ask(0xBAD0000 + i, "label-web", f"bad{i}", 640, 1, 5000)  # figures out of range: no such machine
            bad.append(client)
            await asyncio.sleep(0.005)
    await asyncio.sleep(PATIENCE_S + 0.6 - (site.record.now() - site.asked[TASK]))
    if not site.is_up():
        return BROKEN, "the placer has ended"
    finals = [(at, got) for at, got in owner.of(TASK) if got.kind in (ANSWER, RELEASE)]
    if finals:
        return HELD, f"the owner got its final answer after {finals[0][0] - site.asked[TASK]:.2f} s: {finals[0][1]}"
    if owner.ended_at is None:
        return BROKEN, "the owner got no final answer"
    after = owner.ended_at - site.asked[TASK]
    return BROKEN, f"lost: the placer closed the owner's connection {after:.2f} s after its request, without an answer"


run_case(__file__, VANTAA, play, SOCKETS)
