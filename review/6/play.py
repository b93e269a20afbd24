"""An answer is spoilt; the task runs to its end there, and is offered to the same machine again as that has room."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import ANSWER, BROKEN, HELD, RELEASE, TROUBLE, Site, Unable, run_case  # noqa: E402
from sites import VANTAA  # noqa: E402

TASK, OTHERS = 0x6A01, 0x6B00
PATIENCE_S = 8.0  # of tracking, by its brief
BUSY_S = 3.0  # for so long the machines are full; also the life of the task where it ran first
LIST_LATE_S = 0.3  # the list tells room late


async def play(site: Site) -> tuple[int, str]:
    for i in range(10):
        machine = await site.machine(f"s-0000000{i}", "small-node", 24, 50, cell=i // 4)
        machine.start_s = lambda set_up: 0.2  # the work of a start
    # A busy time: tasks of other placers fill all machines but one, which has room for one task more.
    first = site.machines[6]
    for i, machine in enumerate(site.machines):
        machine.hold(OTHERS + i, *((21.5, 40.0) if machine is first else (23.5, 48.0)),
                     3600.0 if machine is first else BUSY_S + 0.5)
    lives = [BUSY_S]
    first.life_s = lambda set_up: lives.pop() if lives else 3600.0
    spoilt = [TROUBLE]
    first.answer = lambda task, whole: b"\0\5noise" if spoilt and spoilt.pop() else whole
    site.journal.tell(*(machine.entry() for machine in site.machines), reset=True)
    await site.start_placer()
    owner = await site.connect("owner")
    owner.ask(TASK, "tracking", "0000000000000001", 2, 2, int(PATIENCE_S * 1000), hint_ms=3000.0)
    await asyncio.sleep(LIST_LATE_S)
    if TASK not in first.runs:
        raise Unable("the request did not reach the machine with room")
    site.journal.tell(first.entry())
    while TASK in first.runs or any(len(machine.runs) for machine in site.machines if machine is not first):
        await asyncio.sleep(0.02)
    await asyncio.sleep(LIST_LATE_S)
    site.journal.tell(*(machine.entry() for machine in site.machines))
    await asyncio.sleep(PATIENCE_S + 0.6 - (site.record.now() - site.asked[TASK]))
    if not site.is_up():
        return BROKEN, "the placer has ended"
    attempts = sorted((each for machine in site.machines for each in machine.attempts if each.task == TASK),
                      key=lambda each: each.came)
    finals = [got for _, got in owner.of(TASK) if got.kind in (ANSWER, RELEASE)]
    for earlier, later in zip(attempts, attempts[1:]):
        if later.came < earlier.over:
            stands = [machine.name for machine in site.machines if TASK in machine.runs]
            return BROKEN, (
                f"two attempts out at once: one came to {earlier.machine} at {earlier.came:.3f} s and was out until "
                f"{earlier.over:.3f} s ({earlier.why}), the next came to {later.machine} at {later.came:.3f} s; the task "
                f"now runs on {' and '.join(stands) or 'no machine'}"
            )
    return HELD, f"{len(attempts)} attempts, one at a time; the owner got: {finals[0] if finals else 'nothing'}"


run_case(__file__, VANTAA, play)
