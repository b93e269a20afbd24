"""A steady load at 60 to 300% of what one placer can do: goodput, answers' times, what is turned away, the way back.

    python benchmarks/overload.py [--seconds 10] [--nodes 40] [--out FOLDER]

`lab up` gives machines and a list source, `serve` the placer under test, two processes the load: arrivals by a Poisson
process, open loop; an answer's time runs from when its Job was due to be sent (no coordinated omission) to when the
owner's watch read it. First, what the placer can do: 600 owners in a closed loop.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.churn import JOBS
from benchmarks.rig import running
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.watching import call, list_all, watch
from wingbarrow.kube.names import encode
from wingbarrow.kube.status import ApiError
from wingbarrow.transport import Hub, Nursery

SECOND = 1_000_000
PATIENCE_S = 3
LOADS = (0.6, 0.9, 1.1, 1.5, 3.0)
PROCESSES = 2


def job(name: str, label: str) -> bytes:
    return encode(
        {
            "apiVersion": "batch/v1",
            "kind": "Job",
            "metadata": {
                "name": name,
                "labels": {"wingbarrow.io/class": "web", "load": label},
                "annotations": {
                    "wingbarrow.io/runs-for": "1s",
                    "wingbarrow.io/patience": f"{PATIENCE_S}s",
                    "wingbarrow.io/expected-duration": "1s",
                },
            },
            "spec": {
                "template": {
                    "spec": {
                        "restartPolicy": "Never",
                        "containers": [
                            {
                                "name": "task",
                                "image": "stand-in",
                                "resources": {"requests": {"cpu": "50m", "memory": "16Mi"}},
                            }
                        ],
                    }
                }
            },
        }
    )


class Load:
    """One process's load; `due` has when each Job was to be sent."""

    def __init__(self, port: int, label: str) -> None:
        self.hub, self.port, self.label = Hub(), port, label
        self.pool = Pool(self.hub, "127.0.0.1", port, PoolLimits(connections=800, waiting=100_000))
        self.due: dict[str, int] = {}
        self.answers: list[tuple[int, int, str]] = []  # due, answered, what
        self.turned: list[tuple[int, int]] = []  # due, told
        self.errors = 0
        self.ready = False

    def follow(self) -> None:
        selector = f"labelSelector=load={self.label}"
        pool = Pool(self.hub, "127.0.0.1", self.port)
        _, version = list_all(pool, JOBS, selector, 500, self.hub.now_us() + 10 * SECOND)
        self.ready = True
        for _, value in watch(pool, f"{JOBS}?watch=true&{selector}&resourceVersion={version}"):
            due = self.due.get(value["metadata"]["name"])
            if due is None:
                continue
            for each in value["status"].get("conditions", []):
                if each["type"] in ("Placed", "Failed"):
                    del self.due[value["metadata"]["name"]]
                    self.answers.append((due, self.hub.now_us(), each["reason"]))
                    break

    def one(self, name: str, due: int) -> bool:
        self.due[name] = due
        try:
            call(self.pool, "POST", JOBS, job(name, self.label), due + 20 * SECOND)
            return True
        except ApiError as error:
            del self.due[name]
            if error.code != 429:
                raise
            self.turned.append((due, self.hub.now_us()))
        except CallFailed:
            self.due.pop(name, None)
            self.errors += 1
        return False

    def open_loop(self, rates: list[tuple[float, float]], prefix: str) -> None:
        """Rates a second, each for so many seconds."""
        rng = random.Random(prefix + self.label)

        def main() -> None:
            with Nursery(self.hub) as nursery:
                nursery.spawn(self.follow, "watch")
                while not self.ready:
                    self.hub.sleep(5_000)
                at = self.hub.now_us()
                count = 0
                for rate, seconds in rates:
                    end = at + int(seconds * SECOND)
                    while True:
                        at += int(rng.expovariate(rate) * SECOND)
                        if at >= end:
                            at = end
                            break
                        self.hub.sleep_until(at)
                        name = f"{prefix}-{self.label}-{count}"
                        count += 1
                        nursery.spawn(lambda name=name, at=at: self.one(name, at), "post")  # type: ignore[misc]
                self.hub.sleep((PATIENCE_S + 1) * SECOND)
                nursery.cancel()

        self.hub.run(main)

    def closed_loop(self, owners: int, seconds: float) -> float:
        def main() -> None:
            with Nursery(self.hub) as nursery:
                nursery.spawn(self.follow, "watch")
                while not self.ready:
                    self.hub.sleep(5_000)
                begun = self.hub.now_us()
                until = begun + int(seconds * SECOND)

                def owner(number: int) -> None:
                    turn = 0
                    while self.hub.now_us() < until:
                        name = f"closed-{self.label}-{number}-{turn}"
                        turn += 1
                        if not self.one(name, self.hub.now_us()):
                            self.hub.sleep(50_000)
                        while name in self.due and self.hub.now_us() < until:
                            self.hub.sleep(2_000)

                for number in range(owners):
                    nursery.spawn(lambda number=number: owner(number), "owner")  # type: ignore[misc]
                self.hub.sleep(int(seconds * SECOND))
                nursery.cancel()

        self.hub.run(main)
        return sum(what == "AllPlaced" for _, _, what in self.answers) / seconds


def loads(port: int, rates: list[tuple[float, float]], prefix: str) -> list[dict[str, Any]]:
    command = [
        sys.executable,
        "-m",
        "benchmarks.overload",
        "--load",
        json.dumps([port, rates, prefix]),
    ]
    running = [
        subprocess.Popen([*command, "--label", str(i)], stdout=subprocess.PIPE, text=True)
        for i in range(PROCESSES)
    ]
    return [json.loads(each.communicate()[0].splitlines()[-1]) for each in running]


def figures(told: list[dict[str, Any]], seconds: float, offered: float) -> dict[str, Any]:
    answers = [answer for each in told for answer in each["answers"]]
    turned = [pair for each in told for pair in each["turned"]]
    times, refusals = HdrHistogram(1, 60 * SECOND, 3), HdrHistogram(1, 60 * SECOND, 3)
    for due, at, _ in answers:
        times.record_value(max(1, at - due))
    for due, at in turned:
        refusals.record_value(max(1, at - due))
    late = sum(at - due > PATIENCE_S * SECOND for due, at, _ in answers)
    return {
        "offered_a_second": round(offered, 1),
        "asked": len(answers) + len(turned) + sum(e["open"] for e in told),
        "placed_a_second": round(sum(what == "AllPlaced" for _, _, what in answers) / seconds, 1),
        "refused": sum(what != "AllPlaced" for _, _, what in answers),
        "late": late,
        "unanswered": sum(each["open"] for each in told),
        "errors": sum(each["errors"] for each in told),
        "turned_away": len(turned),
        "answer_ms": {f"p{p}": times.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 100)},
        "turned_away_ms": {f"p{p}": refusals.get_value_at_percentile(p) / 1000 for p in (50, 99)},
    }


def recovery(told: list[dict[str, Any]], fell_s: float, usual_ms: float) -> float | None:
    """Seconds after the load fell back until a second's median answer is within twice the usual one."""
    begun = min(due for each in told for due, _, _ in each["answers"])
    by_second: dict[int, list[int]] = {}
    for each in told:
        for due, at, _ in each["answers"]:
            by_second.setdefault((due - begun) // SECOND, []).append(at - due)
    for second in sorted(by_second):
        values = sorted(by_second[second])
        if second >= fell_s and values[len(values) // 2] / 1000 <= 2 * usual_ms:
            return second - fell_s
    return None


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--nodes", type=int, default=40)
    parser.add_argument("--load", help=argparse.SUPPRESS)
    parser.add_argument("--label", default="0", help=argparse.SUPPRESS)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    if options.load:
        port, rates, prefix = json.loads(options.load)
        load = Load(port, options.label)
        load.open_loop([(rate, seconds) for rate, seconds in rates], prefix)
        print(
            json.dumps(
                {
                    "answers": load.answers,
                    "turned": load.turned,
                    "errors": load.errors,
                    "open": len(load.due),
                }
            )
        )
        return 0
    with running(options.nodes) as rig:
        can = Load(rig.port, "closed").closed_loop(600, options.seconds)
        rows = []
        for share in LOADS:
            time.sleep(2)
            told = loads(
                rig.port, [(share * can / PROCESSES, options.seconds)], f"l{round(share * 100)}"
            )
            rows.append({"load": share, **figures(told, options.seconds, share * can)})
            print(json.dumps(rows[-1]), file=sys.stderr)
        time.sleep(2)
        each = can / PROCESSES
        told = loads(rig.port, [(3 * each, options.seconds), (0.6 * each, options.seconds)], "back")
        back = recovery(told, options.seconds, rows[0]["answer_ms"]["p50"])
    result = {
        "command": f"python -m benchmarks.overload --seconds {options.seconds:g} --nodes {options.nodes}",
        "cores": os.cpu_count(),
        "can_a_second": round(can, 1),
        "patience_s": PATIENCE_S,
        "rows": rows,
        "seconds_until_latency_is_as_before": back,
    }
    print(json.dumps(result, indent=1))
    if options.out:
        write(result, options.out)
    return 0 if all(row["late"] == 0 and row["unanswered"] == 0 for row in rows) else 1


def write(result: dict[str, Any], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "summary.json").write_text(json.dumps(result, indent=1) + "\n")
    figure, axes = pyplot.subplots(figsize=(7, 4.2))
    rows = result["rows"]
    offered = [row["offered_a_second"] for row in rows]
    axes.plot(offered, [row["placed_a_second"] for row in rows], "C0-o", label="placed")
    axes.axhline(result["can_a_second"], color="C7", linestyle="--", label="closed loop")
    axes.set(
        xlabel="Jobs offered a second",
        ylabel="Jobs placed a second",
        ylim=(0, None),
        title="Goodput against load, one placer (simulated servers)",
    )
    other = axes.twinx()
    other.plot(
        offered, [row["answer_ms"]["p99"] for row in rows], "C3:s", label="p99 of answers, ms"
    )
    other.set_ylabel("ms")
    axes.legend(loc="upper left")
    other.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(folder / "goodput.png", dpi=110)


if __name__ == "__main__":
    sys.exit(main())
