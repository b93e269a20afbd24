"""Checks of fleet limits against recorded traffic: tasks at once, Jobs accepted within a window, allocations held.

There are no false positives: a task counts only while a machine ran it, and a Job counts towards a rate only if owner
and clock readings prove that more than the limit were accepted within less than the window. Each limit is checked in
the loosest form that was in force during the run.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.record import Record


def loosest_limits(rules: Iterable[RuleSet]) -> dict[str, FleetLimit]:
    """Each limit that all rule sets contain, by key; where they differ, the form that allows most."""
    limits_by_set = [{each.key: each for each in one.limits} for one in rules]
    keys = set.intersection(*(set(each) for each in limits_by_set)) if limits_by_set else set()
    return {
        key: max(
            (each[key] for each in limits_by_set), key=lambda limit: (limit.most, -limit.window_us)
        )
        for key in keys
    }


def limit_violations(limits: dict[str, FleetLimit], records: list[Record]) -> Iterator[str]:
    """One sentence for each limit that was exceeded, with its first time in microseconds."""
    for key, limit in sorted(limits.items()):
        if limit.about == "cold":
            continue  # rule 4 of the audit checks each cold machine
        task_class = limit.name if limit.about == "class" else ""
        if limit.kind == "standing":
            peak, at_us = peak_concurrency(records, task_class)
            if peak > limit.most:
                yield f"{at_us}: {key}: {peak} ran at once, {limit.most} are allowed"
        elif (
            at := first_rate_violation_us(records, task_class, limit.most, limit.window_us)
        ) is not None:
            yield f"{at}: {key}: more than {limit.most} were accepted within {limit.window_us / 1e6:g} s"


def peak_concurrency(records: list[Record], task_class: str) -> tuple[int, int]:
    """The most tasks that machines ran at once and when that was first reached, in microseconds.

    An empty `task_class` counts the tasks of all classes.
    """
    running: set[tuple[str, str]] = set()
    peak = at_us = 0
    for each in sorted(records, key=lambda each: each.at_us):
        if each.what == "start" and task_class in ("", each.data["task_class"]):
            running.add((each.where, each.data["pod"]))
        elif each.what == "end":
            running.discard((each.where, each.data["pod"]))
        if len(running) > peak:
            peak, at_us = len(running), each.at_us
    return peak, at_us


def first_rate_violation_us(
    records: list[Record], task_class: str, max_starts: int, window_us: int
) -> int | None:
    """When more than `max_starts` Jobs were certainly accepted within less than `window_us`; None if never.

    An empty `task_class` counts the Jobs of all classes.
    """
    intervals = sorted(
        (each.data["sent_us"], each.at_us)
        for each in records
        if each.what == "accepted" and task_class in ("", each.data["task_class"])
    )
    for index in range(len(intervals) - max_starts):
        window = intervals[index : index + max_starts + 1]
        if max(at for _, at in window) - window[0][0] < window_us:
            return int(window[0][0])
    return None


def overallocated_limits(
    limits: dict[str, FleetLimit], shares: dict[str, dict[str, Any]]
) -> Iterator[str]:
    """One sentence for each limit of which the running placers together hold more than there is.

    `shares` maps a placer to the allocations by limit key that it reported last.
    """
    for key, limit in sorted(limits.items()):
        held = sum(int(each.get(key, 0)) for each in shares.values())
        if held > limit.most:
            yield f"{key}: {held} are held at the end, {limit.most} are there"


def is_unfounded_closure(
    machine: str, at_us: int, window_us: int, min_witnesses: int, records: list[Record]
) -> bool:
    """Whether a machine was closed though fewer than `min_witnesses` placers had a start fail there in the window.

    A start failed if the machine answered with a status of 500 or above, broke the connection or did not answer; a
    refusal is no failure.
    """
    offers = {
        each.data["pod"]: each.data["placer"]
        for each in records
        if each.what == "offer"
        and each.where == machine
        and at_us - window_us <= each.at_us <= at_us
    }
    answered = {
        each.data["pod"]
        for each in records
        if each.what == "answer"
        and each.where == machine
        and each.data["status"] < 500
        and each.at_us <= at_us
    }
    return len({placer for pod, placer in offers.items() if pod not in answered}) < min_witnesses
