"""Converts KDL text to settings: checks the parsed document against a schema and collects every error."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import ckdl
from netaddr import IPSet

from wingbarrow import interface as api
from wingbarrow.config import agreement, federation, subset_settings
from wingbarrow.config.node_lines import NodeLines
from wingbarrow.config.schema import (
    REQUIRED,
    Node,
    NodeSchema,
    Reader,
    SettingsError,
    address,
    flag,
    network,
    number,
    one_of,
    read_duration,
    read_size,
    suggestion,
    text,
)
from wingbarrow.config.settings import ClassSettings, Limits, PeerAddress, PlacerSettings

__all__ = ["SettingsError", "load_file", "load_text"]
_MAX_FILE_BYTES = 1 << 20
_MAX_PEERS = 64
_SPREAD_LEVELS = ("none", "machine", "cell", "zone")
_COUNT = number(1, 10_000_000, True)
# Keys of the `limits` node, and the fields that they set.
_LIMIT_FIELDS = {each.name.replace("_", "-").removesuffix("-us"): each for each in fields(Limits)}
_SCHEMA = NodeSchema(
    children={
        "placer": NodeSchema(
            (text,),
            {
                "index": (number(0, 10_000, True), 0),
                "of": (number(1, 10_000, True), 1),
                "seed": (number(0, 1 << 62, True), 1),
                "region": (text, ""),
                "cluster": (text, "main"),
                "machines": (flag, True),
            },
        ),
        "peer": NodeSchema(
            (address,),
            {"port": (number(1, 65535, True), REQUIRED), "name": (text, ""), "seed": (flag, True)},
            is_repeatable=True,
        ),
        "allow-peer": NodeSchema((network,), is_repeatable=True),
        "calendar": NodeSchema((text,), is_repeatable=True),
        "listen": NodeSchema((text,), {"port": (number(0, 65535, True), 0)}),
        "list-source": NodeSchema((text,), {"port": (number(1, 65535, True), REQUIRED)}),
        "state": NodeSchema((text,)),
        "history": NodeSchema((text,)),
        "bar": NodeSchema((text,), is_repeatable=True),
        "agree": agreement.SCHEMA,
        "subset": subset_settings.SCHEMA,
        "class": NodeSchema(
            (text,),
            {
                "effect": (one_of("safe", "keyed", "unsafe"), REQUIRED),
                "group": (one_of("machine", "cell", "zone", "all"), "all"),
                "window": (read_duration, 0),
                "patience": (read_duration, REQUIRED),
                "worth": (number(0, 1e6), 1.0),
                "priority": (number(0, 3, True), 0),
                "restarts": (number(0, 1000, True), 6),
                "kind": (text, None),
                **federation.CLASS_PROPS,
            },
            {
                "spread": NodeSchema(
                    (), {"by": (one_of(*_SPREAD_LEVELS), REQUIRED), "most": (_COUNT, REQUIRED)}
                ),
                "served": NodeSchema(
                    (), {"calm": (number(0, 10), 0.8), "fade": (number(0, 10), 0.2)}
                ),
            },
            is_repeatable=True,
        ),
        **federation.SCHEMAS,
        "kind": NodeSchema(
            (text,),
            {"cores": (number(0.01, 1e6), REQUIRED), "memory": (read_size, REQUIRED)},
            is_repeatable=True,
        ),
        "booking": NodeSchema(
            (), {"cores": (number(0.01, 100), 1.0), "memory": (number(0.01, 100), 1.0)}
        ),
        "attempts": NodeSchema((), {"most": (number(1, 100, True), 4)}),
        "cold": NodeSchema(
            (),
            {
                "lasts": (read_duration, 18_000_000),
                "offers": (number(0, 1e6), 20.0),
                "window": (read_duration, 2_000_000),
            },
        ),
        "drain": NodeSchema((), {"grace": (read_duration, 250_000)}),
        "tick": NodeSchema((read_duration,)),
        "reports": NodeSchema((one_of("on-probes", "none"),), {"room-in-list": (flag, True)}),
        "prices": NodeSchema(
            (), {"fleet": (number(0, 100), 0.0), "probe": (number(0, 100), 0.003)}
        ),
        "limits": NodeSchema(
            (),
            {},
            {
                name: NodeSchema((read_duration if each.name.endswith("_us") else _COUNT,))
                for name, each in _LIMIT_FIELDS.items()
            },
        ),
    }
)


def load_file(path: str | Path) -> PlacerSettings:
    """Settings from a file. Raises SettingsError if it cannot be read, or with every error in it."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(str(path), [(1, f"cannot be read: {error.strerror}")]) from None
    if len(raw) > _MAX_FILE_BYTES:
        raise SettingsError(str(path), [(1, f"more than {_MAX_FILE_BYTES} bytes")])
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise SettingsError(str(path), [(line, "not UTF-8")]) from None
    return load_text(text, str(path))


def load_text(text: str, name: str = "settings") -> PlacerSettings:
    """Settings from KDL text. Raises SettingsError with every error and its line; `name` is the file to report."""
    lines = NodeLines(text)
    try:
        document = ckdl.parse(text)
    except (ckdl.ParseError, ValueError) as error:
        raise SettingsError(name, [(_broken_line(text, lines), f"not KDL: {error}")]) from None
    reader = Reader(lines.lines)
    top = Node(1, [], {}, reader.children(document.nodes, _SCHEMA, ""))
    problems = reader.problems
    votes_only = any(
        not node.props.get("machines", True) for node in top.children.get("placer", [])
    )
    for needed in ("placer", "list-source", "class", "kind"):
        if needed == "list-source" and votes_only:
            continue
        if needed not in top.children and not any(f"{needed!r}" in text for _, text in problems):
            problems.append((1, f"node {needed!r} is missing"))
    if problems:
        raise SettingsError(name, problems)
    settings = _build(top, problems)
    if problems or settings is None:
        raise SettingsError(name, problems)
    return settings


def _broken_line(text: str, lines: NodeLines) -> int:
    """The line of the first top-level node that does not parse by itself; the last line if all of them do."""
    for line, start, end in lines.top_level_nodes:
        try:
            ckdl.parse(text[start:end])
        except (ckdl.ParseError, ValueError):
            return line
    return max(1, text.rstrip().count("\n") + 1)


def _build(top: Node, problems: list[tuple[int, str]]) -> PlacerSettings | None:
    placer = top.children["placer"][0]
    listen, source = top.first("listen"), top.first("list-source")
    kinds = {node.args[0]: node for node in top.children["kind"]}
    _check_unique(top.children["kind"], "kind", problems)
    _check_unique(top.children["class"], "class", problems)
    if placer.props["index"] >= placer.props["of"]:
        problems.append(
            (
                placer.line,
                f"placer: index {placer.props['index']} is not below of={placer.props['of']}",
            )
        )
    classes = {node.args[0]: _class(node, kinds, problems) for node in top.children["class"]}
    limits = Limits(
        **{
            _LIMIT_FIELDS[key].name: nodes[0].args[0]
            for node in top.children.get("limits", [])
            for key, nodes in node.children.items()
        }
    )
    if len(top.children.get("peer", [])) > _MAX_PEERS:
        problems.append(
            (top.children["peer"][_MAX_PEERS].line, f"peer: more than {_MAX_PEERS} peers")
        )
    for node in top.children["class"]:
        if node.props["patience"] > limits.patience_us:
            problems.append((node.line, "class: patience exceeds the limit for patience"))
    reports, state, tick = top.first("reports"), top.first("state"), top.first("tick")
    try:
        scheduler = api.Settings(
            placers=placer.props["of"],
            index=placer.props["index"],
            classes=tuple(each.task_class for each in classes.values()),
            kinds=tuple(
                api.MachineKind(name, node.props["cores"], node.props["memory"] / 2**30)
                for name, node in kinds.items()
            ),
            booking_cores=top.get("booking", "cores", 1.0),
            booking_memory=top.get("booking", "memory", 1.0),
            attempts_most=top.get("attempts", "most", 4),
            discovery=api.Discovery.PUSH,
            may_probe=reports is None or reports.args[0] == "on-probes",
            reports=api.Reports.NONE
            if reports and reports.args[0] == "none"
            else api.Reports.ON_PROBES,
            reports_use=True,
            room_in_list=top.get("reports", "room-in-list", True),
            tick_us=tick.args[0] if tick else 20_000,
            ask_every_us=10_000_000,
            cold_us=top.get("cold", "lasts", 18_000_000),
            fall_us=top.get("cold", "window", 2_000_000),
            fresh_offers=float(top.get("cold", "offers", 20.0)),
            arrivals_told=True,
            prices=api.Prices(top.get("prices", "fleet", 0.0), top.get("prices", "probe", 0.003)),
        )
    except ValueError as error:
        if not problems:
            problems.append((1, str(error)))
        return None
    agree = agreement.read_agree(top, problems)
    return PlacerSettings(
        name=placer.args[0],
        seed=placer.props["seed"],
        host=listen.args[0] if listen else "127.0.0.1",
        port=listen.props["port"] if listen else 0,
        source_host=source.args[0] if source else "",
        source_port=source.props["port"] if source else 0,
        state=state.args[0] if state else None,
        scheduler=scheduler,
        classes=classes,
        drain_grace_us=top.get("drain", "grace", 250_000),
        limits=limits,
        region=placer.props["region"],
        cluster=placer.props["cluster"],
        peers=tuple(
            PeerAddress(node.args[0], node.props["port"], node.props["name"], node.props["seed"])
            for node in top.children.get("peer", [])
        ),
        agree=agree,
        machines=placer.props["machines"],
        subset=subset_settings.read_subset(top, agree, classes, limits, problems),
        federation=federation.read_federation(top, classes, agree, problems),
        barred=tuple(node.args[0] for node in top.children.get("bar", [])),
        history=top.children["history"][0].args[0] if "history" in top.children else None,
        calendars=tuple(node.args[0] for node in top.children.get("calendar", [])),
        peers_allowed=IPSet(node.args[0] for node in top.children.get("allow-peer", [])),
    )


def _check_unique(nodes: list[Node], what: str, problems: list[tuple[int, str]]) -> None:
    seen: dict[str, int] = {}
    for node in nodes:
        name = node.args[0]
        if name in seen:
            problems.append((node.line, f"{what} {name!r} was given before, in line {seen[name]}"))
        seen.setdefault(name, node.line)


def _class(node: Node, kinds: dict[str, Node], problems: list[tuple[int, str]]) -> ClassSettings:
    props, spread, served = node.props, node.first("spread"), node.first("served")
    effect = api.Effect(props["effect"])
    if effect is api.Effect.KEYED and props["window"] <= 0:
        problems.append(
            (node.line, "class: a keyed class needs a window in which duplicates are discarded")
        )
    if props["kind"] is not None and props["kind"] not in kinds:
        problems.append(
            (node.line, f"class: no such kind: {props['kind']!r}{suggestion(props['kind'], kinds)}")
        )
    if props["patience"] < 100_000:
        problems.append((node.line, "class: patience is less than 100ms"))
    by = spread.props["by"] if spread else "none"
    task_class = api.TaskClass(
        name=node.args[0],
        effect=effect,
        group=api.Place(props["group"]),
        window_us=props["window"],
        worth=float(props["worth"]),
        spread=api.Place(by),
        spread_most=spread.props["most"] if spread else 0,
        kind=props["kind"],
        calm=float(served.props["calm"] if served else 0.8),
        fade=float(served.props["fade"] if served else 0.2),
    )
    return ClassSettings(
        task_class,
        props["patience"],
        props["priority"],
        props["restarts"],
        federation.class_spec(node, problems),
    )
