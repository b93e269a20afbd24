"""The workload: task arrivals drawn from a seed, and the Job that an owner submits for each."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from wingbarrow.kube import names

SECOND = 1_000_000
PATIENCE_US = {
    "web": 5 * SECOND,
    "settlement": 10 * SECOND,
    "tracked": 5 * SECOND,
    "parcel": 5 * SECOND,
}


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task to submit at `at_us` that runs for `runs_us`; memory in GiB."""

    at_us: int
    ident: str
    task_class: str
    service: str
    cores: float
    memory: float
    runs_us: int
    federation: str = ""  # the federation spec that its Job names; empty for none


@dataclass(frozen=True, slots=True)
class Mix:
    """Parameters of the workload."""

    rate: float = 14.0  # tasks per second
    services: int = 40
    settlement: float = 0.02  # share of `settlement` tasks
    # (class, share of the `web` tasks that it replaces).
    classes: tuple[tuple[str, float], ...] = ()
    federation: tuple[str, float] = ("", 0.0)  # (spec, share of the `web` tasks that name it)
    life_s: tuple[float, float] = (4.0, 16.0)  # range of run times of `web` tasks, seconds
    # (begin, end, factor on `rate`); seconds since the start of the day.
    burst: tuple[tuple[float, float, float], ...] = ()


def draw(mix: Mix, seconds: float, seed: int, prefix: str = "w") -> list[TaskSpec]:
    """Poisson arrivals of a day of `seconds`; the same arguments give the same tasks."""
    rng, at = random.Random(seed), 0.0
    out: list[TaskSpec] = []
    while True:
        factor = max((times for begin, end, times in mix.burst if begin <= at < end), default=1.0)
        at += rng.expovariate(mix.rate * factor)
        if at >= seconds:
            return out
        if rng.random() < mix.settlement:
            task_class, cores, memory = "settlement", *rng.choice(((4.0, 8.0), (6.0, 12.0)))
            runs = rng.uniform(8, 20)
        else:
            task_class, cores, memory = "web", *rng.choice(((0.5, 1.0), (1.0, 2.0), (2.0, 3.0)))
            runs = rng.uniform(*mix.life_s)
            task_class = _pick_class(mix, rng)
        service = f"{task_class}-{min(rng.randrange(mix.services), rng.randrange(mix.services))}"
        names_federation = (
            mix.federation[1] and task_class == "web" and rng.random() < mix.federation[1]
        )
        out.append(
            TaskSpec(
                int(at * SECOND),
                f"{prefix}{len(out)}",
                task_class,
                service,
                cores,
                memory,
                int(runs * SECOND),
                mix.federation[0] if names_federation else "",
            )
        )


def _pick_class(mix: Mix, rng: random.Random) -> str:
    """`web`, or one of the classes that replace a share of it; draws no random number if there are none."""
    drawn = rng.random() if mix.classes else 1.0
    for name, share in mix.classes:
        if drawn < share:
            return name
        drawn -= share
    return "web"


def job_value(spec: TaskSpec, name: str, patience_us: int) -> dict[str, Any]:
    """The Job object that an owner submits for a task; `spec.ident` is its `lab/task` annotation."""
    federation_note = {names.FEDERATION: spec.federation} if spec.federation else {}
    return {
        "apiVersion": "batch/v1",
        "kind": "Job",
        "metadata": {
            "name": name,
            "labels": {names.CLASS: spec.task_class, names.SERVICE: spec.service},
            "annotations": {
                names.PATIENCE: f"{patience_us // 1000}ms",
                names.EXPECTED: f"{spec.runs_us // 1000}ms",
                names.RUNS_FOR: f"{spec.runs_us // 1000}ms",
                **federation_note,
            },
        },
        "spec": {
            "template": {
                "metadata": {"annotations": {"lab/task": spec.ident}},
                "spec": {
                    "restartPolicy": "Never",
                    "containers": [
                        {
                            "name": "task",
                            "image": "stand-in",
                            "resources": {
                                "requests": {
                                    "cpu": f"{spec.cores * 1000:.0f}m",
                                    "memory": f"{spec.memory * 1024:.0f}Mi",
                                }
                            },
                        }
                    ],
                },
            }
        },
    }
