"""Bad clients send hundreds of requests of the largest size to a placer with a small limit on memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import ANSWER, BROKEN, HELD, RELEASE, TROUBLE, Site, Unable, run_case  # noqa: E402
from sites import VANTAA  # noqa: E402

TASK = 0xAA01
START_S = 4.0  # 6 to 12 times the work of up to 370 ms, where the machine holds nothing of the service
BAD_CLIENTS, REQUESTS = 100, 40
DESCRIPTION_BYTES = 16_000  # a message holds at most 16 KiB
MEMORY_MB, SOCKETS = 48, 256  # a placer gets 32 to 192 MB, and 256 to 1,024 descriptors


async def flood(site: Site, number: int) -> None:
    """Hundreds of requests at once; the client reads what is sent to it."""
    try:
        client = await site.connect(f"bad client {number}")
        for i in range(REQUESTS):
            task = 0xBAD0000 + number * REQUESTS + i
            # Figures out of range: no machine has 640 cores.
            client.ask(task, "settlement", f"bad{number}", 640, 1, 10_000, description=b"x" * DESCRIPTION_BYTES)
            await client.writer.drain()
    except (ConnectionError, OSError):
        site.record(f"bad client {number}", "its connection was ended")


async def play(site: Site) -> tuple[int, str]:
    for i in range(10):
        machine = await site.machine(f"s-0000000{i}", "small-node", 24, 50, cell=i // 4)
        machine.start_s = lambda set_up: START_S if set_up.task == TASK else 0.05
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    owner = await site.connect("owner")
    owner.ask(TASK - 1, "label-web", "0000000000000001", 0.5, 1, 5_000)  # a usual owner: its connection is known
    await asyncio.sleep(0.5)
    owner.ask(TASK, "settlement", "00000000b4d65521", 8, 13, 10_000)
    await asyncio.sleep(0.5)
    if not any(TASK in machine.runs for machine in site.machines):
        raise Unable("the request did not reach a machine")
    before = most = site.memory_used_mb()
    floods = [asyncio.create_task(flood(site, i)) for i in range(BAD_CLIENTS)] if TROUBLE else []
    while site.record.now() - site.asked[TASK] < 10.6:
        if not site.is_up():
            return BROKEN, "the placer has ended"
        most = max(most, site.memory_used_mb())
        if most > MEMORY_MB:
            site.record("platform", f"the placer holds {most:.1f} MB, over its limit of {MEMORY_MB} MB: it is killed")
            site.end_placer()
            await asyncio.gather(*floods)
            await asyncio.sleep(0.2)
            lost = not any(got.kind in (ANSWER, RELEASE) for _, got in owner.of(TASK))
            return BROKEN, (
                f"the placer held {before:.1f} MB before, then {most:.1f} MB, over its limit of {MEMORY_MB} MB, for which "
                f"it is killed; the usual owner's open request was {'lost' if lost else 'answered'}"
            )
        await asyncio.sleep(0.02)
    finals = [(at, got) for at, got in owner.of(TASK) if got.kind in (ANSWER, RELEASE)]
    if not finals:
        return BROKEN, "the usual owner's request got no final answer"
    return HELD, f"the placer held {before:.1f} to {most:.1f} MB of {MEMORY_MB} MB, and answered: {finals[0][1]}"


run_case(__file__, VANTAA, play, SOCKETS, MEMORY_MB)
