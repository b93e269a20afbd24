"""What tasks on a stand-in machine use, and which are pushed out for another."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wingbarrow.lab.build import SECOND, Pod


def use_of(pod: Pod, now_us: int, factors: Mapping[str, float]) -> tuple[float, float]:
    """Cores and memory (GiB) of a running task; `factors` by service or class make it use more."""
    factor = factors.get(pod.service, factors.get(pod.task_class, 1.0))
    grown = min(1.0, 0.5 + (now_us - pod.started_us) / (10 * SECOND))
    return pod.use_cores * factor, pod.use_memory * min(factor, 1.6) * grown


def used(pods: Iterable[Pod], now_us: int, factors: Mapping[str, float]) -> tuple[float, float]:
    """Cores and memory of all that run."""
    cores = memory = 0.0
    for pod in pods:
        if pod.phase == "Running":
            use = use_of(pod, now_us, factors)
            cores, memory = cores + use[0], memory + use[1]
    return cores, memory


def victims(pods: Iterable[Pod], pod: Pod, which: int, missing: float) -> list[Pod] | None:
    """Running tasks of lower priority, lowest first, that make room for `missing` cores (0) or memory (1)."""
    chosen: list[Pod] = []
    lower = (each for each in pods if each.phase == "Running" and each.priority < pod.priority)
    for each in sorted(lower, key=lambda p: p.priority):
        if missing <= 1e-9:
            break
        chosen.append(each)
        missing -= (each.cores, each.memory)[which]
    return None if missing > 1e-9 else chosen
