"""Placements a second, time from submit to placed, and where the placer's processor time goes.

    python -m benchmarks.placements [MACHINES ...] [--seconds S]

Three processes on loopback and real time: stand-in machines with their list source, one placer, and owners that
keep some Jobs outstanding. Figures are from simulated machines that start a task in a few milliseconds. Where the
time goes is sampled by processor time (ITIMER_PROF) and booked to the innermost frame of the project.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import platform
import sys
import time
from collections import Counter
from multiprocessing.connection import Connection
from typing import Any

from benchmarks.capacity.load import load
from benchmarks.capacity.profile import PARTS, Sampler
from wingbarrow.config import load_text
from wingbarrow.core.logs import silent
from wingbarrow.fronts.serve import Service
from wingbarrow.http.client import Pool
from wingbarrow.kube import names
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import settings_text, zone_and_cell
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.node import node_value
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.source import ListSource
from wingbarrow.transport import Hub

SECOND = 1_000_000
JOBS = "/apis/batch/v1/namespaces/default/jobs"


def machines(pipe: Connection, count: int) -> None:
    hub = Hub()

    def main() -> None:
        record = Recorder(hub.now_us, 0)
        source = ListSource(hub, 1, record, print)
        source.lag_us = 0
        every = []
        for index in range(count):
            hall, rack = zone_and_cell(index, count)
            build = Build(
                zone=hall,
                cell=rack,
                admit_us=200,
                start_us=1_000,
                setup=2.0,
                slots=8,
                queue_length=256,
                tick_us=30 * SECOND,
            )
            every.append(Machine(hub, f"node-{index}", build, index, record, print))
            every[-1].launch(cold=False)
        source.start()
        for machine in every:
            source.show(machine.name, node_value(machine))
        dirty: dict[str, Machine] = {}
        for machine in every:
            machine.changed = lambda m: dirty.__setitem__(m.name, m)
        pipe.send(source.port)
        while True:
            hub.sleep(SECOND)
            for machine in dirty.values():
                source.show(machine.name, node_value(machine))
            dirty.clear()

    hub.run(main)


def placer(pipe: Connection, source: int) -> None:
    hub, sampler = Hub(), Sampler()
    settings = load_text(
        settings_text(0, 1, 1, source).replace(
            "drain grace", "limits { window 65536; }\ndrain grace"
        )
        + '\nallow-peer "127.0.0.0/8"\n'
    )

    def main() -> None:
        service = Service(hub, settings, silent)
        pipe.send(service.rest.port)

        def report() -> None:
            while True:
                hub.wait(pipe.fileno(), 1)
                pipe.recv()
                usage = time.process_time()
                pipe.send(
                    {
                        "samples": sampler.take(),
                        "cpu_s": usage,
                        "ready": service.placer.ready,
                        "counts": dict(service.placer.context.counts),
                        "module_s": service.placer.host.module_ns / 1e9,
                    }
                )

        hub.spawn(report)
        sampler.start()
        service.run()

    hub.run(main)


def learners(pipe: Connection, port: int, count: int) -> None:
    """New instances by the dozen: each takes all pages, follows for some seconds, and begins again."""
    hub, figures = Hub(), Counter[str]()

    def learn() -> None:
        pool = Pool(hub, "127.0.0.1", port)
        while True:
            token = ""
            while True:
                page = pool.request(
                    "GET",
                    "/apis/wingbarrow.io/v1/knowledge" + (f"?continue={token}" if token else ""),
                )
                if page.status != 200:
                    figures["turned away"] += 1
                    hub.sleep(SECOND)
                    break
                figures["pages"] += 1
                figures["bytes"] += len(page.body)
                token = names.decode(page.body)["next"]
                if not token:
                    break
            response, parts = pool.stream("GET", "/apis/wingbarrow.io/v1/knowledge?watch=true")
            with hub.limit(5 * SECOND):
                for part in parts:
                    figures["followed bytes"] += len(part)
            parts.close()  # type: ignore[attr-defined]
            if response.status != 200:
                figures["turned away"] += 1
                hub.sleep(SECOND)

    def main() -> None:
        for _ in range(count):
            hub.spawn(learn)
        pipe.send("ready")
        while True:
            hub.wait(pipe.fileno(), 1)
            pipe.recv()
            pipe.send(dict(figures))
            figures.clear()

    hub.run(main)


def started(target: Any, *args: Any) -> tuple[Any, Connection, Any]:
    here, there = multiprocessing.Pipe()
    process = multiprocessing.get_context("fork").Process(
        target=target, args=(there, *args), daemon=True
    )
    process.start()
    return process, here, here.recv()


def measure(count: int, seconds: float, askers: int) -> dict[str, Any]:
    stand_ins, _, source = started(machines, count)
    served, pipe, port = started(placer, source)
    while True:
        pipe.send("?")
        if pipe.recv()["ready"]:
            break
        time.sleep(0.1)
    time.sleep(1.0 + count / 200)
    load(port, 1.0, 8, "warm")
    runs = []
    for outstanding in (1, 32):
        pipe.send("?")
        before = pipe.recv()
        run = load(port, seconds, outstanding, f"r{outstanding}")
        pipe.send("?")
        after = pipe.recv()
        total = sum(after["samples"].values()) or 1
        run["placer_cpu_share"] = round((after["cpu_s"] - before["cpu_s"]) / seconds, 2)
        run["share"] = {name: round(after["samples"].get(name, 0) / total, 2) for name in PARTS}
        runs.append(run)
        if askers and outstanding == 32:
            asking, asking_pipe, _ = started(learners, port, askers)
            taught = load(port, seconds, outstanding, "taught")
            asking_pipe.send("?")
            taught["learners"] = {"count": askers, **asking_pipe.recv()}
            asking.kill()
            again = load(port, seconds, outstanding, "after")
            runs += [taught, {**again, "after": True}]
    served.kill()
    stand_ins.kill()
    return {"machines": count, "runs": runs}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("machines", nargs="*", type=int, default=[20, 100, 500])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument(
        "--learners", type=int, default=0, help="New instances that ask the placer under load."
    )
    wanted = parser.parse_args()
    out = {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}",
        "sizes": [measure(count, wanted.seconds, wanted.learners) for count in wanted.machines],
    }
    json.dump(out, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
