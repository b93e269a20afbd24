"""Churn: clients that POST a Job and DELETE the one five before, at full speed, against `serve` and stand-ins.

    python -m benchmarks.churn [--seconds 60] [--nodes 50] [--clients 8] [--out FILE]

`lab up` gives machines and a list source; the placer under test is a `serve` process of its own. Ten seconds after
the load has ended the machines are asked, at their own sockets, what still runs. Exit 1 where a deleted Job is listed
or runs, where a Job that was kept is not placed, or where memory grew.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.rig import asked, running
from wingbarrow.http.client import Pool, PoolLimits
from wingbarrow.http.watching import call
from wingbarrow.kube.names import encode
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import Hub, Nursery

SECOND = 1_000_000
JOBS = "/apis/batch/v1/namespaces/default/jobs"


def job(name: str) -> bytes:
    return encode(
        {
            "apiVersion": "batch/v1",
            "kind": "Job",
            "metadata": {
                "name": name,
                "labels": {"wingbarrow.io/class": "web"},
                "annotations": {"wingbarrow.io/runs-for": "1h"},
            },
            "spec": {
                "template": {
                    "spec": {
                        "restartPolicy": "Never",
                        "containers": [
                            {
                                "name": "task",
                                "image": "stand-in",
                                "resources": {"requests": {"cpu": "250m", "memory": "256Mi"}},
                            }
                        ],
                    }
                }
            },
        }
    )


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Client:
    """One keep-alive connection's worth of churn."""

    def __init__(self, hub: Hub, port: int, number: int) -> None:
        self.hub, self.number = hub, number
        self.pool = Pool(hub, "127.0.0.1", port, PoolLimits(connections=1), f"churn-{number}")
        self.kept: list[str] = []
        self.deleted: list[str] = []
        self.turned_away = self.made = 0

    def run(self, until_us: int) -> None:
        while self.hub.now_us() < until_us:
            name = f"c{self.number}-{self.made}"
            self.made += 1
            try:
                call(self.pool, "POST", JOBS, job(name), self.hub.now_us() + 10 * SECOND)
                self.kept.append(name)
            except ApiError as error:
                if error.code != 429:
                    raise
                self.turned_away += 1
                self.hub.sleep(20_000)
            if len(self.kept) > 5:
                gone = self.kept.pop(0)
                call(self.pool, "DELETE", f"{JOBS}/{gone}", None, self.hub.now_us() + 10 * SECOND)
                self.deleted.append(gone)


def load(port: int, first: int, clients: int, seconds: float) -> None:
    """A load process; its last line on stdout is what it kept and deleted."""
    hub = Hub()
    made = [Client(hub, port, first + i) for i in range(clients)]

    def main() -> None:
        until = hub.now_us() + int(seconds * SECOND)
        with Nursery(hub) as nursery:
            for each in made:
                nursery.spawn(lambda each=each: each.run(until), "client")  # type: ignore[misc]

    hub.run(main)
    print(
        json.dumps(
            {
                "kept": sum((each.kept for each in made), []),
                "deleted": sum(len(e.deleted) for e in made),
                "turned_away": sum(each.turned_away for each in made),
            }
        )
    )


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--nodes", type=int, default=50)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--load", nargs=3, type=int, help=argparse.SUPPRESS)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    if options.load:
        port, first, clients = options.load
        load(port, first, clients, options.seconds)
        return 0
    with running(options.nodes) as rig:
        result = measure(rig.hub, options, rig.port, rig.nodes, rig.lab, rig.serve)
    print(json.dumps(result, indent=1))
    if options.out:
        options.out.write_text(json.dumps(result, indent=1) + "\n")
    return 0 if result["clean"] else 1


def measure(
    hub: Hub, options: argparse.Namespace, port: int, nodes: dict[str, int], lab: int, serve: int
) -> dict[str, Any]:
    loads = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.churn",
                "--seconds",
                str(options.seconds),
                "--load",
                str(port),
                str(i),
                "1",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for i in range(options.clients)
    ]
    memory: list[tuple[float, float, float]] = []
    begun = time.monotonic()
    while any(each.poll() is None for each in loads):
        memory.append((time.monotonic() - begun, resident_mb(serve), resident_mb(lab)))
        time.sleep(1)
    told = [json.loads(each.communicate()[0].splitlines()[-1]) for each in loads]
    kept = {name for each in told for name in each["kept"]}
    time.sleep(10)
    jobs = hub.run(lambda: asked(hub, port, "/apis/batch/v1/jobs"))["items"]
    states = {
        item["metadata"]["name"]: [c["type"] for c in item["status"].get("conditions", [])]
        for item in jobs
    }
    running: dict[str, int] = {}
    for node in nodes.values():
        for pod in hub.run(lambda node=node: asked(hub, node, "/api/v1/pods"))["items"]:  # type: ignore[misc]
            if pod["status"]["phase"] in ("Pending", "Running"):
                name = pod["metadata"]["annotations"]["wingbarrow.io/job"].partition("/")[2]
                running[name] = running.get(name, 0) + 1
    metrics = hub.run(lambda: Pool(hub, "127.0.0.1", port).request("GET", "/metrics")).body.decode()
    third = len(memory) // 3
    grown = (
        {
            who: round(
                max(row[i] for row in memory[-third:]) - max(row[i] for row in memory[: 2 * third]),
                1,
            )
            for who, i in (("serve", 1), ("lab_up", 2))
        }
        if third
        else {}
    )
    deleted = sum(each["deleted"] for each in told)
    figures = {
        "command": f"python -m benchmarks.churn --seconds {options.seconds:g} --nodes {options.nodes} "
        f"--clients {options.clients}",
        "cores": os.cpu_count(),
        "deleted": deleted,
        "kept": len(kept),
        "turned_away": sum(each["turned_away"] for each in told),
        "jobs_a_second": round(deleted / options.seconds),
        "listed": len(states),
        "listed_though_deleted": len(set(states) - kept),
        "kept_not_placed": sum("Placed" not in states.get(name, []) for name in kept),
        "running_though_deleted": len(set(running) - kept),
        "running_twice": sum(n > 1 for n in running.values()),
        "memory_mb": {
            "serve": [round(memory[0][1]), round(memory[-1][1])],
            "lab_up": [round(memory[0][2]), round(memory[-1][2])],
        },
        "grown_in_last_third_mb": grown,
        "metrics": sorted(
            line for line in metrics.splitlines() if "happenings" in line and line[0] != "#"
        ),
    }
    figures["clean"] = not (
        figures["listed_though_deleted"]
        or figures["kept_not_placed"]
        or figures["running_though_deleted"]
        or figures["running_twice"]
        or any(mb > 8 for mb in grown.values())
    )
    return figures


if __name__ == "__main__":
    sys.exit(main())
