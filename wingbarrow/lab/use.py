"""Resource usage of tasks on a simulated machine, and the choice of tasks to preempt."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wingbarrow.lab.build import SECOND, Pod


def use_of(pod: Pod, now_us: int, factors: Mapping[str, float]) -> tuple[float, float]:
    """Cores and memory (GiB) that a running task uses; `factors`, by service or class, scale its usage."""
    factor = factors.get(pod.service, factors.get(pod.task_class, 1.0))
    memory_fraction = min(1.0, 0.5 + (now_us - pod.started_us) / (10 * SECOND))
    return pod.use_cores * factor, pod.use_memory * min(factor, 1.6) * memory_fraction


def used(pods: Iterable[Pod], now_us: int, factors: Mapping[str, float]) -> tuple[float, float]:
    """Cores and memory (GiB) that all running tasks use."""
    cores = memory = 0.0
    for pod in pods:
        if pod.phase == "Running":
            usage = use_of(pod, now_us, factors)
            cores, memory = cores + usage[0], memory + usage[1]
    return cores, memory


def victims(pods: Iterable[Pod], pod: Pod, which: int, missing: float) -> list[Pod] | None:
    """Running tasks of lower priority to preempt, lowest first, to free `missing` cores (`which` 0) or GiB (1).

    None if all of them together would not free enough.
    """
    chosen: list[Pod] = []
    lower = (each for each in pods if each.phase == "Running" and each.priority < pod.priority)
    for each in sorted(lower, key=lambda p: p.priority):
        if missing <= 1e-9:
            break
        chosen.append(each)
        missing -= (each.cores, each.memory)[which]
    return None if missing > 1e-9 else chosen
