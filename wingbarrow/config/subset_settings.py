"""The `subset` node: that each placer of a region holds only some of its machines.

    subset replicas=3 widen=2 machines=1200 cells=60 {
        roster "placer-0" "placer-1" "placer-2" "placer-3" "placer-4"
        leave-after "10s"
        settle "1s"
    }

`replicas`: placers that hold each machine while all live. `spare`: the part of a cold machine's offers kept for others
than those (0 to 1). `widen`: further ranks (0 to 8) whose machines a placer holds for a while where tasks of its own
wait long. `machines` and `cells`: the region's size; where they are told, subsets too small are refused.
`roster`: every placer that may ever hold machines of this region, the same in the files of all; without it, the members
by `agree` that stand in this placer's region and have machines. `leave-after` and `settle`: see
`decide.membership_damping`.
"""

from __future__ import annotations

from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.config.schema import NEEDED, Node, Shape, number, read_duration, text
from wingbarrow.config.settings import (
    AgreementSettings,
    ClassSettings,
    Limits,
    PlacerSettings,
    SubsetSettings,
)
from wingbarrow.decide.membership_damping import LEAVE_AFTER_US, SETTLE_US
from wingbarrow.decide.subsets import MAX_ROSTER, SubsetRules, Subsets, subset_size

MAX_WIDEN = 8
MIN_MACHINES = (
    8  # of an expected subset: with fewer, one in which most are full or rest is no rarity
)
_LEAVE_US, _SETTLE_US = (1_000_000, 600_000_000), (100_000, 60_000_000)
SHAPE = Shape(
    (),
    {
        "replicas": (number(1, MAX_ROSTER, True), NEEDED),
        "spare": (number(0, 1), 0.25),
        "widen": (number(0, MAX_WIDEN, True), 0),
        "machines": (number(1, 10_000_000, True), None),
        "cells": (number(1, 10_000_000, True), None),
    },
    {
        "roster": Shape(rest=text),
        "leave-after": Shape((read_duration,)),
        "settle": Shape((read_duration,)),
    },
)


def read_subset(
    top: Node,
    agree: AgreementSettings | None,
    classes: dict[str, ClassSettings],
    limits: Limits,
    problems: list[tuple[int, str]],
) -> SubsetSettings | None:
    """What a whole document says of subsets; None where it has no such node. What is wrong goes to `problems`."""
    node = top.one("subset")
    if node is None:
        return None
    found: list[tuple[int, str]] = []
    placer, named = top.children["placer"][0], node.one("roster")
    roster = tuple(named.args) if named is not None else _members(placer, agree)
    leave_us, settle_us = (
        _time(node, "leave-after", LEAVE_AFTER_US),
        _time(node, "settle", SETTLE_US),
    )
    line = named.line if named is not None else node.line
    if not roster:
        found.append(
            (line, "a roster is wanted: no member by `agree` has machines in this placer's region")
        )
    for name in sorted({name for name in roster if roster.count(name) > 1}):
        found.append((line, f"{name!r} is named twice in the roster"))
    if len(roster) > MAX_ROSTER:
        found.append((line, f"more than {MAX_ROSTER} placers in the roster"))
    if roster and placer.args[0] not in roster:
        found.append((line, f"{placer.args[0]!r} is not in the roster"))
    if roster and node.props["replicas"] > len(roster):
        found.append(
            (
                node.line,
                f"{node.props['replicas']} replicas, but {len(roster)} placer(s) in the roster",
            )
        )
    elif roster and node.props["replicas"] + node.props["widen"] > len(roster):
        found.append(
            (
                node.line,
                f"{node.props['replicas']} replicas and {node.props['widen']} to widen by, but "
                f"{len(roster)} placer(s) in the roster",
            )
        )
    if not placer.props["machines"]:
        found.append((node.line, f"{placer.args[0]!r} has no machines to hold"))
    if len(roster) > 1 and not top.children.get("allow-peer"):
        found.append(
            (
                node.line,
                "nobody could tell who lives: `allow-peer` for the roster's addresses is wanted",
            )
        )
    if len(roster) > 1 and "state" not in top.children:
        # Danger (rule 5): tasks of a former life may run on machines that the next life would not hold.
        found.append(
            (
                node.line,
                "a state folder is wanted: by it alone a next life knows what this one held",
            )
        )
    if "calendar" in top.children:
        found.append(
            (
                top.children["calendar"][0].line,
                "drains by a calendar are planned by the whole list, and no placer has it",
            )
        )
    for what, time_us, (least, most) in (
        ("leave-after", leave_us, _LEAVE_US),
        ("settle", settle_us, _SETTLE_US),
    ):
        if not least <= time_us <= most:
            child = node.one(what)
            found.append(
                (
                    child.line if child else node.line,
                    f"{what}: {least / 1e6:g} s to {most / 1e6:g} s, not {time_us / 1e6:g} s",
                )
            )
    if not found:
        found += [(node.line, words) for words in _too_small(node, roster, top, classes, limits)]
    problems += [(at, f"subset: {words}") for at, words in found]
    if found:
        return None
    return SubsetSettings(
        SubsetRules(roster, node.props["replicas"], float(node.props["spare"])),
        leave_us,
        settle_us,
        node.props["widen"],
    )


def module_settings(
    settings: PlacerSettings, scheduler: api.Settings | None = None
) -> api.Settings:
    """What the decision module is told, `scheduler` or the settings' own: with subsets, its deal among the holders.

    Only a first bound (rule 4): the module deals what the first ranks have of a cold machine's offers to as many
    placers as there are replicas; what each may send is asked at the gate, by `Subsets.max_cold_offers`.
    """
    told = scheduler or settings.scheduler
    if settings.subset is None:
        return told
    rules = settings.subset.rules
    subsets, replicas = Subsets(rules), rules.replicas
    offers = sum(
        subsets.max_cold_offers(name, "", told.fresh_offers)
        for name in subsets.ranking("")[:replicas]
    )
    return replace(
        told,
        placers=replicas,
        index=sorted(rules.roster).index(settings.name) % replicas,
        fresh_offers=float(offers),
    )


def _members(placer: Node, agree: AgreementSettings | None) -> tuple[str, ...]:
    """Those that hold machines of this placer's region by `agree`."""
    if agree is None:
        return ()
    regions = dict(agree.regions)
    here = regions.get(placer.args[0], "")
    return tuple(
        each
        for each in agree.members
        if each not in agree.members_without_machines and regions.get(each, "") == here
    )


def _time(node: Node, name: str, default_us: int) -> int:
    child = node.one(name)
    return int(child.args[0]) if child is not None else default_us


def _too_small(
    node: Node,
    roster: tuple[str, ...],
    top: Node,
    classes: dict[str, ClassSettings],
    limits: Limits,
) -> list[str]:
    """What a subset of the expected size is too small for; nothing where the region's size is not told."""
    machines, cells, replicas = node.props["machines"], node.props["cells"], node.props["replicas"]
    if machines is None:
        return ["cells= without machines="] if cells is not None else []
    if cells is not None and cells > machines:
        return [f"{cells} cells, but {machines} machines"]
    if replicas == len(roster):
        return []  # everybody holds every machine
    size = subset_size(machines, len(roster), replicas)
    out = []
    if size < MIN_MACHINES:
        out.append(f"about {size:.1f} machines for each placer, fewer than {MIN_MACHINES}")
    stated = any("tasks-per-job" in each.children for each in top.children.get("limits", []))
    missed = 1 - replicas / len(roster)
    cells_held = None if cells is None else cells * (1 - missed ** (machines / cells))
    places = {api.Place.MACHINE: ("machines", size), api.Place.CELL: ("cells", cells_held)}
    for name, each in classes.items() if stated else ():
        what, held = places.get(each.task_class.spread, ("", None))
        if held is not None and int(held) * each.task_class.spread_most < limits.tasks_per_job:
            out.append(
                f"class {name!r} allows {each.task_class.spread_most} of a service on each of about "
                f"{int(held)} {what}, and a Job may have {limits.tasks_per_job} tasks"
            )
    return out
