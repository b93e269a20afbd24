"""The `subset` node, by which each placer of a region holds only some of the region's machines.

    subset replicas=3 widen=2 machines=1200 cells=60 {
        roster "placer-0" "placer-1" "placer-2" "placer-3" "placer-4"
        leave-after "10s"
        settle "1s"
    }

`replicas`: number of placers that hold each machine while all placers are live. `spare`: the share (0 to 1) of a cold
machine's offers that is reserved for placers other than these. `widen`: number of further ranks (0 to 8) whose machines
a placer holds temporarily while its own tasks wait long. `machines` and `cells`: size of the region; if set, subsets
that are too small are rejected. `roster`: every placer that may ever hold machines of this region, the same in the
files of all placers; by default the members of `agree` in this placer's region that have machines. `leave-after` and
`settle`: see `decide.membership_damping`.
"""

from __future__ import annotations

from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.config.schema import REQUIRED, Node, NodeSchema, number, read_duration, text
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
# Of a subset of the expected size: with fewer machines, subsets in which most are full or resting are not rare.
MIN_MACHINES = 8
_LEAVE_BOUNDS_US = (1_000_000, 600_000_000)
_SETTLE_BOUNDS_US = (100_000, 60_000_000)
SCHEMA = NodeSchema(
    (),
    {
        "replicas": (number(1, MAX_ROSTER, True), REQUIRED),
        "spare": (number(0, 1), 0.25),
        "widen": (number(0, MAX_WIDEN, True), 0),
        "machines": (number(1, 10_000_000, True), None),
        "cells": (number(1, 10_000_000, True), None),
    },
    {
        "roster": NodeSchema(further_arg=text),
        "leave-after": NodeSchema((read_duration,)),
        "settle": NodeSchema((read_duration,)),
    },
)


def read_subset(
    top: Node,
    agree: AgreementSettings | None,
    classes: dict[str, ClassSettings],
    limits: Limits,
    problems: list[tuple[int, str]],
) -> SubsetSettings | None:
    """The settings of the `subset` node of a document; None without that node or with errors in it.

    Appends errors to `problems`.
    """
    node = top.first("subset")
    if node is None:
        return None
    found: list[tuple[int, str]] = []
    placer, named = top.children["placer"][0], node.first("roster")
    roster = tuple(named.args) if named is not None else _region_members(placer, agree)
    leave_us = _duration_us(node, "leave-after", LEAVE_AFTER_US)
    settle_us = _duration_us(node, "settle", SETTLE_US)
    line = named.line if named is not None else node.line
    if not roster:
        found.append(
            (line, "a roster is wanted: no member of `agree` has machines in this placer's region")
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
                "`allow-peer` for the roster's addresses is wanted, to learn which placers are live",
            )
        )
    if len(roster) > 1 and "state" not in top.children:
        # Danger (rule 5): after a restart, tasks started before it may run on machines that are no longer held.
        found.append(
            (
                node.line,
                "a state folder is wanted, to know after a restart which machines were held before",
            )
        )
    if "calendar" in top.children:
        found.append(
            (
                top.children["calendar"][0].line,
                "drains of a calendar are planned on the whole list of machines, which no placer holds",
            )
        )
    for what, time_us, (low, high) in (
        ("leave-after", leave_us, _LEAVE_BOUNDS_US),
        ("settle", settle_us, _SETTLE_BOUNDS_US),
    ):
        if not low <= time_us <= high:
            child = node.first(what)
            found.append(
                (
                    child.line if child else node.line,
                    f"{what}: {low / 1e6:g} s to {high / 1e6:g} s, not {time_us / 1e6:g} s",
                )
            )
    if not found:
        found += [(node.line, words) for words in _check_size(node, roster, top, classes, limits)]
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
    """Settings of the decision module: `scheduler`, by default those of `settings`, with shares among the holders.

    Without subsets they are returned unchanged. With subsets the module's share is only a first bound (rule 4): the
    offers that the first ranks have for a cold machine, divided among as many placers as there are replicas.
    `Subsets.max_cold_offers` limits what each placer may send, and is checked before an offer is sent.
    """
    base = scheduler or settings.scheduler
    if settings.subset is None:
        return base
    rules = settings.subset.rules
    subsets, replicas = Subsets(rules), rules.replicas
    offers = sum(
        subsets.max_cold_offers(name, "", base.fresh_offers)
        for name in subsets.ranking("")[:replicas]
    )
    return replace(
        base,
        placers=replicas,
        index=sorted(rules.roster).index(settings.name) % replicas,
        fresh_offers=float(offers),
    )


def _region_members(placer: Node, agree: AgreementSettings | None) -> tuple[str, ...]:
    """The members of `agree` in this placer's region that have machines."""
    if agree is None:
        return ()
    regions = dict(agree.regions)
    here = regions.get(placer.args[0], "")
    return tuple(
        each
        for each in agree.members
        if each not in agree.members_without_machines and regions.get(each, "") == here
    )


def _duration_us(node: Node, name: str, default_us: int) -> int:
    child = node.first(name)
    return int(child.args[0]) if child is not None else default_us


def _check_size(
    node: Node,
    roster: tuple[str, ...],
    top: Node,
    classes: dict[str, ClassSettings],
    limits: Limits,
) -> list[str]:
    """Errors of a subset of the expected size that is too small; none if the size of the region is not set."""
    machines, cells, replicas = node.props["machines"], node.props["cells"], node.props["replicas"]
    if machines is None:
        return ["cells= without machines="] if cells is not None else []
    if cells is not None and cells > machines:
        return [f"{cells} cells, but {machines} machines"]
    if replicas == len(roster):
        return []  # every placer holds every machine
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
