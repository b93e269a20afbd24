"""The `federation`, `dataset` and `room` nodes: federation specs, data sets, and the capacity of regions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from wingbarrow.config.schema import (
    REQUIRED,
    Node,
    NodeSchema,
    flag,
    number,
    one_of,
    read_duration,
    read_size,
    text,
)
from wingbarrow.config.settings import AgreementSettings, ClassSettings
from wingbarrow.decide.federation.check import Path, ValidationContext, check
from wingbarrow.decide.federation.encoding import normalized
from wingbarrow.decide.federation.spec import (
    CLASS_SPEC_PREFIX,
    FAILOVER_CAUSES,
    LOCALITIES,
    MAX_REPLICAS,
    PARTITION_ACTIONS,
    RETURN_MODES,
    Back,
    DataSet,
    Failover,
    Federation,
    Need,
    Spec,
)

# By the generated spec of a class with failover=#true, a region counts as lost after this many lease times.
_LEASES_UNTIL_LOST = 2
_MIB = 2**20
_CORES = number(0, 1e7)
_REGIONS = NodeSchema(further_arg=text)
SCHEMAS = {
    "federation": NodeSchema(
        (text,),
        {},
        {
            "prefer": _REGIONS,
            "allow": _REGIONS,
            "forbid": _REGIONS,
            "reads": NodeSchema(
                (text,),
                {
                    "near": (one_of(*LOCALITIES), "wanted"),
                    "much": (read_size, 0.0),
                    "behind": (read_duration, 0),
                },
                is_repeatable=True,
            ),
            "failover": NodeSchema(
                (),
                {
                    "after": (read_duration, REQUIRED),
                    "refusing": (read_duration, 0),
                    "room": (number(1, 100, True), 100),
                    "copies": (number(1, MAX_REPLICAS, True), 1),
                    "cores": (_CORES, 0),
                    "memory": (read_size, 0.0),
                },
                {"to": _REGIONS},
                further_arg=one_of(*FAILOVER_CAUSES),
            ),
            "back": NodeSchema(
                (one_of(*RETURN_MODES),),
                {"after": (read_duration, 0), "pace": (number(1, 1000, True), 1)},
            ),
            "cut": NodeSchema((one_of(*PARTITION_ACTIONS),)),
            "over": NodeSchema(
                (), {"lower": (number(0, 100, True), 60), "upper": (number(1, 100, True), 90)}
            ),
        },
        is_repeatable=True,
    ),
    "dataset": NodeSchema(
        (text,),
        {},
        {
            "copy": NodeSchema((text,), {"behind": (read_duration, 0)}, is_repeatable=True),
            "stays": _REGIONS,
        },
        is_repeatable=True,
    ),
    "room": NodeSchema(
        (text,), {"cores": (_CORES, REQUIRED), "memory": (read_size, REQUIRED)}, is_repeatable=True
    ),
}
CLASS_PROPS: dict[str, tuple[Any, Any]] = {"federation": (text, ""), "failover": (flag, False)}


def class_spec(node: Node, problems: list[tuple[int, str]]) -> str:
    """The name of the federation spec that applies to a class; "" if there is none."""
    named, failover = node.props["federation"], node.props["failover"]
    if named and failover:
        problems.append(
            (
                node.line,
                "class: federation= and failover= at once, but a spec sets its own failover",
            )
        )
    return str(named) or (CLASS_SPEC_PREFIX + str(node.args[0]) if failover else "")


def read_federation(
    top: Node,
    classes: Mapping[str, ClassSettings],
    agree: AgreementSettings | None,
    problems: list[tuple[int, str]],
) -> Federation:
    """All specs and data sets of a document, checked together. Appends errors to `problems`."""
    places = (
        {who: region for who, region in agree.regions if who not in agree.members_without_machines}
        if agree is not None
        else {}
    )
    regions = tuple(dict.fromkeys(places.values()))
    lines: dict[Path, int] = {}
    nodes = top.children.get("federation", [])
    specs = [_spec(node, regions, ("federation", at), lines) for at, node in enumerate(nodes)]
    problems += [
        (
            node.line,
            f"federation: {node.args[0]!r}: {CLASS_SPEC_PREFIX!r} begins the names of specs that classes have by "
            "failover=#true",
        )
        for node in nodes
        if node.args[0].startswith(CLASS_SPEC_PREFIX)
    ]
    datasets = tuple(
        _dataset(node, ("dataset", at), lines)
        for at, node in enumerate(top.children.get("dataset", []))
    )
    for at, node in enumerate(top.children.get("room", [])):
        lines["room", at] = node.line
    lease_us = agree.lease_us if agree is not None else 0
    if agree is not None:
        lines[()] = top.children["agree"][0].line
    for node in top.children["class"]:
        lines["class", node.args[0]] = node.line
        if node.props["failover"]:
            lines["federation", len(specs)] = node.line
            specs.append(
                Spec(
                    CLASS_SPEC_PREFIX + node.args[0],
                    regions,
                    ranked=False,
                    failover=Failover(("lost",), _LEASES_UNTIL_LOST * lease_us),
                )
            )
    uses = tuple((name, each.federation) for name, each in classes.items() if each.federation)
    federation = Federation(tuple(specs), datasets, uses)
    known = ValidationContext(
        regions,
        places,
        lease_us,
        {name: each.task_class.effect.name.lower() for name, each in classes.items()},
        tuple(
            (node.args[0], float(node.props["cores"]), int(node.props["memory"] / _MIB))
            for node in top.children.get("room", [])
        ),
        tuple(sorted({region for _, region in agree.regions} - set(regions)))
        if agree is not None
        else (),
    )
    for fault in check(federation, known):
        problems.append(
            (
                _line(fault.path, lines),
                fault.message
                + (f" (see line {_line(fault.related_path, lines)})" if fault.related_path else ""),
            )
        )
    return normalized(federation)


def _line(path: Path, lines: Mapping[Path, int]) -> int:
    """The line of a path, or of its nearest known ancestor; 1 if there is none."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _spec(node: Node, regions: tuple[str, ...], path: Path, lines: dict[Path, int]) -> Spec:
    def names(what: str) -> tuple[str, ...]:
        child = node.first(what)
        return tuple(child.args) if child is not None else ()

    lines[path] = node.line
    for what, children in node.children.items():
        lines[*path, what] = children[0].line
    needs = node.children.get("reads", [])
    for at, child in enumerate(needs):
        lines[*path, "reads", at] = child.line
    prefer, forbidden = names("prefer"), names("forbid")
    allow = names("allow")
    if not prefer and not allow:
        allow = tuple(each for each in regions if each not in forbidden)
    back, cut = node.first("back"), node.first("cut")
    return Spec(
        node.args[0],
        prefer + allow,
        forbidden,
        tuple(
            Need(
                each.args[0],
                each.props["near"],
                int(each.props["much"] / _MIB),
                each.props["behind"],
            )
            for each in needs
        ),
        _failover(node.first("failover"), path, lines),
        Back(back.args[0], back.props["after"], back.props["pace"]) if back else Back(),
        cut.args[0] if cut else "carry-on",
        node.get("over", "lower", 60),
        node.get("over", "upper", 90),
        ranked=bool(prefer),
    )


def _failover(node: Node | None, path: Path, lines: dict[Path, int]) -> Failover | None:
    if node is None:
        return None
    to, props = node.first("to"), node.props
    if to is not None:
        lines[*path, "failover", "to"] = to.line
    return Failover(
        tuple(node.args),
        props["after"],
        tuple(to.args) if to else (),
        props["room"],
        props["refusing"],
        props["copies"],
        int(props["cores"]),
        int(props["memory"] / _MIB),
    )


def _dataset(node: Node, path: Path, lines: dict[Path, int]) -> DataSet:
    lines[path] = node.line
    copies = node.children.get("copy", [])
    for at, child in enumerate(copies):
        lines[*path, "copy", at] = child.line
    stays = node.first("stays")
    if stays is not None:
        lines[*path, "stays"] = stays.line
    return DataSet(
        node.args[0],
        tuple((each.args[0], each.props["behind"]) for each in copies),
        tuple(stays.args) if stays else (),
    )
