"""KDL text to settings: a small schema walked over the parsed document, collecting every error."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import ckdl
from netaddr import IPSet

from wingbarrow import interface as api
from wingbarrow.config import agreement, federation, subset_settings
from wingbarrow.config.node_lines import NodeLines
from wingbarrow.config.schema import (
    NEEDED,
    Node,
    Reader,
    SettingsError,
    Shape,
    address,
    flag,
    near,
    network,
    number,
    read_duration,
    read_size,
    text,
    word,
)
from wingbarrow.config.settings import ClassSettings, Limits, PeerAddress, PlacerSettings

__all__ = ["SettingsError", "load_file", "load_text"]
_MAX_FILE_BYTES = 1 << 20
_MAX_PEERS = 64
_PLACES = ("none", "machine", "cell", "zone")
_WHOLE = number(1, 10_000_000, True)
_LIMITS = {each.name.replace("_", "-").removesuffix("-us"): each for each in fields(Limits)}
_SCHEMA = Shape(
    children={
        "placer": Shape(
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
        "peer": Shape(
            (address,),
            {"port": (number(1, 65535, True), NEEDED), "name": (text, ""), "seed": (flag, True)},
            many=True,
        ),
        "allow-peer": Shape((network,), many=True),
        "calendar": Shape((text,), many=True),
        "listen": Shape((text,), {"port": (number(0, 65535, True), 0)}),
        "list-source": Shape((text,), {"port": (number(1, 65535, True), NEEDED)}),
        "state": Shape((text,)),
        "history": Shape((text,)),
        "bar": Shape((text,), many=True),
        "agree": agreement.SHAPE,
        "subset": subset_settings.SHAPE,
        "class": Shape(
            (text,),
            {
                "effect": (word("safe", "keyed", "unsafe"), NEEDED),
                "group": (word("machine", "cell", "zone", "all"), "all"),
                "window": (read_duration, 0),
                "patience": (read_duration, NEEDED),
                "worth": (number(0, 1e6), 1.0),
                "priority": (number(0, 3, True), 0),
                "restarts": (number(0, 1000, True), 6),
                "kind": (text, None),
                **federation.CLASS_PROPS,
            },
            {
                "spread": Shape((), {"by": (word(*_PLACES), NEEDED), "most": (_WHOLE, NEEDED)}),
                "served": Shape((), {"calm": (number(0, 10), 0.8), "fade": (number(0, 10), 0.2)}),
            },
            many=True,
        ),
        **federation.SHAPES,
        "kind": Shape(
            (text,),
            {"cores": (number(0.01, 1e6), NEEDED), "memory": (read_size, NEEDED)},
            many=True,
        ),
        "booking": Shape(
            (), {"cores": (number(0.01, 100), 1.0), "memory": (number(0.01, 100), 1.0)}
        ),
        "attempts": Shape((), {"most": (number(1, 100, True), 4)}),
        "cold": Shape(
            (),
            {
                "lasts": (read_duration, 18_000_000),
                "offers": (number(0, 1e6), 20.0),
                "window": (read_duration, 2_000_000),
            },
        ),
        "drain": Shape((), {"grace": (read_duration, 250_000)}),
        "tick": Shape((read_duration,)),
        "reports": Shape((word("on-probes", "none"),), {"room-in-list": (flag, True)}),
        "prices": Shape((), {"fleet": (number(0, 100), 0.0), "probe": (number(0, 100), 0.003)}),
        "limits": Shape(
            (),
            {},
            {
                name: Shape((read_duration if each.name.endswith("_us") else _WHOLE,))
                for name, each in _LIMITS.items()
            },
        ),
    }
)


def load_file(path: str | Path) -> PlacerSettings:
    """Settings from a file; SettingsError for what cannot be read or used."""
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
    """Settings from KDL text; SettingsError names every problem with its line."""
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
    """The line of the first top-level node that does not parse by itself."""
    for line, start, end in lines.tops:
        try:
            ckdl.parse(text[start:end])
        except (ckdl.ParseError, ValueError):
            return line
    return max(1, text.rstrip().count("\n") + 1)


def _build(top: Node, problems: list[tuple[int, str]]) -> PlacerSettings | None:
    placer = top.children["placer"][0]
    listen, source = top.one("listen"), top.one("list-source")
    kinds = {node.args[0]: node for node in top.children["kind"]}
    _twice(top.children["kind"], "kind", problems)
    _twice(top.children["class"], "class", problems)
    if placer.props["index"] >= placer.props["of"]:
        problems.append(
            (placer.line, f"placer: index {placer.props['index']} of {placer.props['of']}")
        )
    classes = {node.args[0]: _class(node, kinds, problems) for node in top.children["class"]}
    limits = Limits(
        **{
            _LIMITS[key].name: nodes[0].args[0]
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
            problems.append((node.line, "class: patience is above the limit for patience"))
    reports, state, tick = top.one("reports"), top.one("state"), top.one("tick")
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


def _twice(nodes: list[Node], what: str, problems: list[tuple[int, str]]) -> None:
    seen: dict[str, int] = {}
    for node in nodes:
        name = node.args[0]
        if name in seen:
            problems.append((node.line, f"{what} {name!r} was given before, in line {seen[name]}"))
        seen.setdefault(name, node.line)


def _class(node: Node, kinds: dict[str, Node], problems: list[tuple[int, str]]) -> ClassSettings:
    props, spread, served = node.props, node.one("spread"), node.one("served")
    effect = api.Effect(props["effect"])
    if effect is api.Effect.KEYED and props["window"] <= 0:
        problems.append(
            (node.line, "class: a keyed class needs a window in which duplicates are discarded")
        )
    if props["kind"] is not None and props["kind"] not in kinds:
        problems.append(
            (node.line, f"class: no such kind: {props['kind']!r}{near(props['kind'], kinds)}")
        )
    if props["patience"] < 100_000:
        problems.append((node.line, "class: a patience of less than 100ms cannot be kept"))
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
