"""Figures of single runs, and the points that they become: the median over seeds, the least and the most."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from benchmarks.capacity.metered import Account
from benchmarks.capacity.results import Point

SEEDS = 3
RUN_MOST_S = 5.0  # of processor time; a run that takes more is not repeated
MB = 1e6


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value of one run."""

    role: str
    measure: str
    unit: str
    value: float


def repeated(
    varies: str, size: int, once: Callable[[int], Iterable[Figure]], seeds: int = SEEDS
) -> Iterator[Point]:
    """`once` with seeds 1, 2, ... as long as a run is short; its figures as points."""
    found: list[list[Figure]] = []
    for seed in range(1, seeds + 1):
        begun = time.process_time()
        found.append(list(once(seed)))
        if time.process_time() - begun > RUN_MOST_S:
            break
    values: dict[tuple[str, str, str], list[float]] = {}
    for figures in found:
        for each in figures:
            values.setdefault((each.role, each.measure, each.unit), []).append(each.value)
    for (role, measure, unit), measured in values.items():
        several = len(measured) > 1
        yield Point(
            role,
            varies,
            size,
            measure,
            unit,
            statistics.median(measured),
            len(measured),
            min(measured) if several else None,
            max(measured) if several else None,
        )


def accounted(
    role: str,
    accounts: list[Account],
    span_s: float,
    parts: Iterable[str],
    suffix: str = "",
) -> Iterator[Figure]:
    """Messages, bytes and processor time a second: the median of these placers."""

    def middle(value: Callable[[Account], float]) -> float:
        return statistics.median(value(each) for each in accounts) / span_s

    yield Figure(role, f"messages sent{suffix}", "messages/s", middle(lambda each: each.sent))
    yield Figure(
        role, f"messages received{suffix}", "messages/s", middle(lambda each: each.received)
    )
    yield Figure(role, f"bytes sent{suffix}", "B/s", middle(lambda each: each.sent_bytes))
    yield Figure(role, f"bytes received{suffix}", "B/s", middle(lambda each: each.received_bytes))
    for part in parts:
        yield Figure(
            role,
            f"processor: {part}{suffix}",
            "us/s",
            middle(lambda each, part=part: each.used_ns[part] / 1000),  # type: ignore[misc]
        )
    yield Figure(
        role, f"processor{suffix}", "us/s", middle(lambda each: sum(each.used_ns.values()) / 1000)
    )


def persisted(
    role: str, accounts: list[Account], span_s: float, suffix: str = ""
) -> Iterator[Figure]:
    """What voters write to disk: the median of these."""
    yield Figure(
        role,
        f"disk writes, agreement{suffix}",
        "per s",
        statistics.median(each.persists for each in accounts) / span_s,
    )
    yield Figure(
        role,
        f"disk bytes, agreement{suffix}",
        "B/s",
        statistics.median(each.persisted_chars for each in accounts) / span_s,
    )


def spread(role: str, measure: str, unit: str, values: list[float]) -> Iterator[Figure]:
    """Its median and its largest, where there are any."""
    if values:
        yield Figure(role, f"{measure} p50", unit, statistics.median(values))
        yield Figure(role, f"{measure} most", unit, max(values))
