"""The judge's eye on limits of the whole fleet: what stood at once and what came within a window, at the sockets.

A breach here is certain: tasks count only while machines ran them, and new tasks only where owner and clock leave no
doubt that more than the limit were accepted within less than the window. `rules` tell the limits, the loosest that was
in use of each.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.lab.record import Record


def loosest(rules: Iterable[RuleSet]) -> dict[str, FleetLimit]:
    """Each limit that stood in all rules; where they differ, the one that allows most."""
    sets = [{each.key: each for each in one.limits} for one in rules]
    keys = set.intersection(*(set(each) for each in sets)) if sets else set()
    return {
        key: max((each[key] for each in sets), key=lambda limit: (limit.most, -limit.window_us))
        for key in keys
    }


def over(limits: dict[str, FleetLimit], records: list[Record]) -> Iterator[str]:
    """Each limit that was passed, in words."""
    for key, limit in sorted(limits.items()):
        if limit.about == "cold":
            continue  # the audit's rule 4 looks at each cold machine
        wanted = limit.name if limit.about == "class" else ""
        if limit.kind == "standing":
            most, at_us = standing(records, wanted)
            if most > limit.most:
                yield f"{at_us}: {key}: {most} ran at once, {limit.most} are allowed"
        elif (at := crowded(records, wanted, limit.most, limit.window_us)) is not None:
            yield f"{at}: {key}: more than {limit.most} were accepted within {limit.window_us / 1e6:g} s"


def standing(records: list[Record], task_class: str) -> tuple[int, int]:
    """Most tasks that machines ran at once, of a class or of all, and when that was first."""
    running: set[tuple[str, str]] = set()
    most = at_us = 0
    for each in sorted(records, key=lambda each: each.at_us):
        if each.what == "start" and task_class in ("", each.data["task_class"]):
            running.add((each.where, each.data["pod"]))
        elif each.what == "end":
            running.discard((each.where, each.data["pod"]))
        if len(running) > most:
            most, at_us = len(running), each.at_us
    return most, at_us


def crowded(records: list[Record], task_class: str, most: int, window_us: int) -> int | None:
    """When more than `most` Jobs were surely accepted within a window; None where never."""
    spans = sorted(
        (each.data["sent_us"], each.at_us)
        for each in records
        if each.what == "accepted" and task_class in ("", each.data["task_class"])
    )
    for index in range(len(spans) - most):
        some = spans[index : index + most + 1]
        if max(at for _, at in some) - some[0][0] < window_us:
            return int(some[0][0])
    return None


def unaccounted(limits: dict[str, FleetLimit], shares: dict[str, dict[str, Any]]) -> Iterator[str]:
    """Limits of which placers hold more together than there is; `shares` of each that runs, as it told last."""
    for key, limit in sorted(limits.items()):
        held = sum(int(each.get(key, 0)) for each in shares.values())
        if held > limit.most:
            yield f"{key}: {held} are held at the end, {limit.most} are there"


def unfounded(
    machine: str, at_us: int, window_us: int, witnesses: int, records: list[Record]
) -> bool:
    """Whether a verdict closed a machine though fewer placers than are wanted had a start fail there before.

    Failed is what the machine answered with a fault of its own, broke off, or did not answer; not what it refused.
    """
    offers = {
        each.data["pod"]: each.data["placer"]
        for each in records
        if each.what == "offer"
        and each.where == machine
        and at_us - window_us <= each.at_us <= at_us
    }
    good = {
        each.data["pod"]
        for each in records
        if each.what == "answer"
        and each.where == machine
        and each.data["status"] < 500
        and each.at_us <= at_us
    }
    return len({placer for pod, placer in offers.items() if pod not in good}) < witnesses
