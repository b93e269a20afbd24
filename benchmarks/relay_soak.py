"""A soak of the placer on the platform's protocol: tasks, connections and machines always new; nothing may grow.

    python -m benchmarks.relay_soak --minutes 10 --rate 25

Owners, machines and the journal service are the tests' stand-ins, on loopback and a virtual clock, in one process; what
they keep is cleared as it goes. Prints a JSON line for each eighth of the time; `--profile` adds where the processor
time went. Figures are from simulated servers.
"""

from __future__ import annotations

import argparse
import cProfile
import gc
import json
import os
import pstats
import time
from typing import Any

from tests.relay.stage import Machine, S, Stage, release_message

EVERY_S = 9  # a machine is replaced so often


def memory_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def soak(stage: Stage, minutes: float, rate: int) -> None:
    life_s, task, number, began = 3, 0, 0, time.process_time()
    seconds = int(minutes * 60)
    running: list[tuple[int, int]] = []
    for second in range(seconds):
        owner = stage.client()
        for _ in range(rate):
            task += 1
            owner.ask(
                task, name=f"{task:016x}", figures=f"cores:0.2;memory:0.2;service:s{task // 4}"
            )
            running.append((second + life_s, task))
            stage.hub.sleep(S // rate)
        while running and running[0][0] <= second:
            _, ended = running.pop(0)
            for machine in stage.machines:
                if ended in machine.holds and any(stream.open for stream in machine.streams):  # type: ignore[attr-defined]
                    machine.holds.discard(ended)  # type: ignore[attr-defined]
                    machine.tell(release_message(ended))
        owner.stream.close()
        if second % EVERY_S == EVERY_S - 1:
            number += 1
            fresh = machine_of(stage, f"s-2{number:07x}")
            old = stage.machines.pop(0)
            stage.machines.append(fresh)
            stage.journal.add(fresh.entry(), old.entry("Gone"))
            old.die()
        for machine in stage.machines:
            machine.received.clear()
            machine.streams[:] = [stream for stream in machine.streams if stream.open]
        stage.journal.calls.clear()
        if (second + 1) % max(1, seconds // 8) == 0:
            gc.collect()
            placer = stage.placer
            print(
                json.dumps(
                    {
                        "second": second + 1,
                        "tasks": task,
                        "memory_mb": round(memory_mb(), 1),
                        "descriptors": len(os.listdir("/proc/self/fd")),
                        "links": len(placer._links.by_name),
                        "book": len(placer._requests.by_ident),
                        "cpu_s": round(time.process_time() - began, 1),
                        "module_s": round(placer._host.module_ns / 1e9, 1),
                    }
                ),
                flush=True,
            )


def machine_of(stage: Stage, name: str) -> Machine:
    machine = Machine(stage.hub, name)
    holds: set[int] = set()
    machine.holds = holds  # type: ignore[attr-defined]

    def take(stream: Any, message: Any) -> None:
        holds.add(message.task)
        machine.take(stream, message)

    machine.on_set_up = take
    return machine


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--rate", type=int, default=25)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()

    def play(stage: Stage) -> None:
        fresh = [machine_of(stage, f"s-3{i:07x}") for i in range(6)]
        stage.journal.add(
            *(machine.entry() for machine in fresh), *(old.entry("Gone") for old in stage.machines)
        )
        for old in stage.machines:
            old.die()
        stage.machines[:] = fresh
        stage.sleep(500)
        soak(stage, options.minutes, options.rate)

    profile = cProfile.Profile() if options.profile else None
    if profile is not None:
        profile.enable()
    Stage(2).run(play)
    if profile is not None:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(22)


if __name__ == "__main__":
    main()
