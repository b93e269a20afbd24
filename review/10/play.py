"""A quiet deployment: the only client asks once, keeps its connection, and its run takes longer than the placer waits."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import (  # noqa: E402
    ANSWER, BROKEN, HELD, RELEASE, RELEASE_BOUND_S, TROUBLE, UNSENT_BOUND_S, Connection, Site, Unable, run_case,
)
from sites import VANTAA  # noqa: E402

TASK = 0x8A01
LIFE_S = 45.0  # settlement lives 22 to 52 s on average
TRAFFIC_EVERY_S = 5.0  # with TROUBLE=0


async def keep(site: Site, connections: list[Connection]) -> None:
    """The client keeps a connection for good: whenever the placer ends it, it connects again at once."""
    while True:
        await connections[-1].gone.wait()
        try:
            connections.append(await site.connect(f"client, connection {len(connections) + 1}"))
        except OSError:
            await asyncio.sleep(0.1)


async def play(site: Site) -> tuple[int, str]:
    for i in range(10):
        machine = await site.machine(f"s-0000000{i}", "small-node", 24, 50, cell=i // 4)
        machine.life_s = lambda set_up: LIFE_S if set_up.task == TASK else 2.0
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    connections = [await site.connect("client, connection 1")]
    keeper = asyncio.create_task(keep(site, connections))
    connections[0].ask(TASK, "settlement", "00000000b4d65521", 8, 13, 10_000, hint_ms=45000.0)
    await asyncio.sleep(1.0)
    ran_on = next((machine for machine in site.machines if TASK in machine.runs), None)
    if ran_on is None or not any(got.kind == ANSWER for _, got in connections[0].of(TASK)):
        raise Unable("the task was not placed")
    number = 0
    while TASK not in ran_on.released:
        if not TROUBLE and site.record.now() - site.asked[TASK] >= (number + 1) * TRAFFIC_EVERY_S:
            number += 1
            connections[-1].ask(TASK + number, "label-web", f"{number:016x}", 0.5, 1, 5_000)
        await asyncio.sleep(0.05)
    ended = ran_on.released[TASK][1]
    await asyncio.sleep(UNSENT_BOUND_S + 1.0)
    keeper.cancel()
    if not site.is_up():
        return BROKEN, "the placer has ended"
    told = [at for each in connections for at, got in each.of(TASK) if got.kind == RELEASE]
    if told and told[0] - ended <= RELEASE_BOUND_S:
        return HELD, f"the client was told of the end {told[0] - ended:.2f} s after it"
    closed = connections[0].ended_at
    why = f"; the placer closed its connection {closed - site.asked[TASK]:.1f} s after the request" if closed else ""
    if told:
        return BROKEN, f"the client was told of the end only {told[0] - ended:.2f} s after it{why}"
    return BROKEN, (
        f"the client was not told of the end within {UNSENT_BOUND_S} s, though it was connected{why}, and it connected "
        f"again {len(connections) - 1} times"
    )


run_case(__file__, VANTAA, play)
