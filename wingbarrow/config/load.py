"""KDL text to settings: a small schema walked over the parsed document, collecting every error."""

from __future__ import annotations

import difflib
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import ckdl
from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from wingbarrow import interface as api
from wingbarrow.config.lines import NodeLines
from wingbarrow.config.settings import (
    Agree,
    ClassSettings,
    Limits,
    PeerAddress,
    PlacerSettings,
    parse_duration,
    parse_size,
)
from wingbarrow.decide.peers.limits import STRANDED_US, FleetLimit, check_limits

_FILE_MOST = 1 << 20
_PEERS_MOST = 64
_VOTERS, _GRANTS = (1, 3, 5, 7), (200_000, 4_000_000)


class SettingsError(Exception):
    """A file of settings that cannot be used; `problems` are (line, what is wrong), in order of lines."""

    def __init__(self, name: str, problems: list[tuple[int, str]]) -> None:
        self.name = name
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{name}:{line}: {text}" for line, text in self.problems))


def text(value: Any) -> str:
    """A name."""
    if not isinstance(value, str) or not value or len(value) > 253:
        raise ValueError(f"a name of 1 to 253 characters is wanted, not {value!r}")
    return value


def number(low: float, high: float, whole: bool = False) -> Callable[[Any], Any]:
    """A number within bounds."""
    def read(value: Any) -> Any:
        if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
            raise ValueError(f"a {'whole ' if whole else ''}number is wanted, not {value!r}")
        if not low <= value <= high:
            raise ValueError(f"between {low:g} and {high:g} is wanted, not {value:g}")
        return value
    return read


def flag(value: Any) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise ValueError(f"true or false is wanted, not {value!r}")
    return value


def read_duration(value: Any) -> int:
    """Microseconds from a duration in words."""
    if not isinstance(value, str):
        raise ValueError(f"a duration such as \"5s\" is wanted, not {value!r}")
    return parse_duration(value)


def _size(value: Any) -> float:
    if isinstance(value, str):
        return parse_size(value)
    raise ValueError(f"a size such as \"48Gi\" is wanted, not {value!r}")


def _address(value: Any) -> str:
    try:
        return str(IPAddress(value if isinstance(value, str) else ""))
    except (AddrFormatError, ValueError):
        raise ValueError(f"an IP address is wanted, not {value!r}") from None


def _network(value: Any) -> IPNetwork:
    try:
        return IPNetwork(value if isinstance(value, str) else "")
    except (AddrFormatError, ValueError):
        raise ValueError(f"a network such as \"10.0.0.0/8\" is wanted, not {value!r}") from None


def word(*words: str) -> Callable[[Any], str]:
    """One of some words."""
    def read(value: Any) -> str:
        if value not in words:
            near = difflib.get_close_matches(str(value), words, 1)
            hint = f"; did you mean {near[0]!r}?" if near else ""
            raise ValueError(f"one of {', '.join(words)} is wanted, not {value!r}{hint}")
        return str(value)
    return read


@dataclass(frozen=True)
class Shape:
    """What a node may hold: positional arguments, properties (name to reader and default), children."""

    args: tuple[Callable[[Any], Any], ...] = ()
    props: dict[str, tuple[Callable[[Any], Any], Any]] | None = None
    children: dict[str, Shape] | None = None
    many: bool = False


NEEDED = object()
_PLACES = ("none", "machine", "cell", "zone")
_WHOLE = number(1, 10_000_000, True)
_LIMITS = {each.name.replace("_", "-").removesuffix("-us"): each for each in fields(Limits)}
_SCHEMA = Shape(children={
    "placer": Shape((text,), {"index": (number(0, 10_000, True), 0), "of": (number(1, 10_000, True), 1),
                                "seed": (number(0, 1 << 62, True), 1), "region": (text, ""),
                                "cluster": (text, "main")}),
    "peer": Shape((_address,), {"port": (number(1, 65535, True), NEEDED), "name": (text, ""),
                                "seed": (flag, True)}, many=True),
    "allow-peer": Shape((_network,), many=True),
    "calendar": Shape((text,), many=True),
    "listen": Shape((text,), {"port": (number(0, 65535, True), 0)}),
    "list-source": Shape((text,), {"port": (number(1, 65535, True), NEEDED)}),
    "state": Shape((text,)),
    "history": Shape((text,)),
    "bar": Shape((text,), many=True),
    "agree": Shape((), {"grant": (read_duration, 2_000_000)}, {
        "voter": Shape((text,), many=True), "member": Shape((text,), many=True),
        "limit": Shape((text,), {"most": (_WHOLE, None), "per": (read_duration, 0),
                                 "stranded": (read_duration, STRANDED_US)}, many=True)}),
    "class": Shape((text,), {
        "effect": (word("safe", "keyed", "unsafe"), NEEDED),
        "group": (word("machine", "cell", "zone", "all"), "all"), "window": (read_duration, 0),
        "patience": (read_duration, NEEDED), "worth": (number(0, 1e6), 1.0),
        "priority": (number(0, 3, True), 0), "restarts": (number(0, 1000, True), 6), "kind": (text, None),
    }, {
        "spread": Shape((), {"by": (word(*_PLACES), NEEDED), "most": (_WHOLE, NEEDED)}),
        "served": Shape((), {"calm": (number(0, 10), 0.8), "fade": (number(0, 10), 0.2)}),
    }, many=True),
    "kind": Shape((text,), {"cores": (number(0.01, 1e6), NEEDED), "memory": (_size, NEEDED)}, many=True),
    "booking": Shape((), {"cores": (number(0.01, 100), 1.0), "memory": (number(0.01, 100), 1.0)}),
    "attempts": Shape((), {"most": (number(1, 100, True), 4)}),
    "cold": Shape((), {"lasts": (read_duration, 18_000_000), "offers": (number(0, 1e6), 20.0),
                        "window": (read_duration, 2_000_000)}),
    "drain": Shape((), {"grace": (read_duration, 250_000)}),
    "tick": Shape((read_duration,)),
    "reports": Shape((word("on-probes", "none"),), {"room-in-list": (flag, True)}),
    "prices": Shape((), {"fleet": (number(0, 100), 0.0), "probe": (number(0, 100), 0.003)}),
    "limits": Shape((), {}, {name: Shape((read_duration if each.name.endswith("_us") else _WHOLE,))
                              for name, each in _LIMITS.items()}),
})


@dataclass
class Node:
    """A node as read: its line, values and children by name."""

    line: int
    args: list[Any]
    props: dict[str, Any]
    children: dict[str, list[Node]]

    def one(self, name: str) -> Node | None:
        """The first child of that name."""
        found = self.children.get(name)
        return found[0] if found else None

    def get(self, name: str, prop: str, default: Any) -> Any:
        """A property of the first child of that name."""
        node = self.one(name)
        return default if node is None else node.props.get(prop, default)


class Reader:
    """Walks a parsed document by a shape, collecting every problem with its line."""

    def __init__(self, lines: list[int]) -> None:
        self._lines = iter(lines)
        self.problems: list[tuple[int, str]] = []

    def children(self, nodes: list[Any], shape: Shape, where: str) -> dict[str, list[Node]]:
        """Read the nodes that a shape allows; what it does not goes to `problems`."""
        known = shape.children or {}
        found: dict[str, list[Node]] = {}
        for node in nodes:
            line = next(self._lines, 1)
            if node.name not in known:
                self.problems.append((line, f"unknown node {node.name!r}{where}{_near(node.name, known)}"))
                self._pass_over(node)
                continue
            entry = self._node(node, known[node.name], line)
            if node.name in found and not known[node.name].many:
                first = found[node.name][0].line
                self.problems.append((line, f"{node.name!r} was given before, in line {first}"))
            found.setdefault(node.name, []).append(entry)
        return found

    def _pass_over(self, node: Any) -> None:
        for child in node.children:
            next(self._lines, 1)
            self._pass_over(child)

    def _node(self, node: Any, shape: Shape, line: int) -> Node:
        def bad(text: str) -> None:
            self.problems.append((line, f"{node.name}: {text}"))
        args: list[Any] = []
        if len(node.args) != len(shape.args):
            bad(f"{len(shape.args)} value(s) are wanted, not {len(node.args)}")
        for value, read in zip(node.args, shape.args, strict=False):
            try:
                args.append(read(value))
            except ValueError as error:
                bad(str(error))
        known = shape.props or {}
        props = {name: default for name, (_, default) in known.items() if default is not NEEDED}
        for name, (_, default) in known.items():
            if default is NEEDED and name not in node.properties:
                bad(f"{name}= is missing")
        for name, value in node.properties.items():
            if name not in known:
                bad(f"unknown property {name!r}{_near(name, known)}")
                continue
            try:
                props[name] = known[name][0](value)
            except ValueError as error:
                bad(f"{name}: {error}")
        return Node(line, args, props, self.children(node.children, shape, f" in {node.name!r}"))


def _near(name: str, known: Any) -> str:
    near = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {near[0]!r}?" if near else ""


def load_file(path: str | Path) -> PlacerSettings:
    """Settings from a file; SettingsError for what cannot be read or used."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(str(path), [(1, f"cannot be read: {error.strerror}")]) from None
    if len(raw) > _FILE_MOST:
        raise SettingsError(str(path), [(1, f"more than {_FILE_MOST} bytes")])
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
    for needed in ("placer", "list-source", "class", "kind"):
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
    listen, source = top.one("listen"), top.children["list-source"][0]
    kinds = {node.args[0]: node for node in top.children["kind"]}
    _twice(top.children["kind"], "kind", problems)
    _twice(top.children["class"], "class", problems)
    if placer.props["index"] >= placer.props["of"]:
        problems.append((placer.line, f"placer: index {placer.props['index']} of {placer.props['of']}"))
    classes = {node.args[0]: _class(node, kinds, problems) for node in top.children["class"]}
    limits = Limits(**{_LIMITS[key].name: nodes[0].args[0]
                       for node in top.children.get("limits", []) for key, nodes in node.children.items()})
    if len(top.children.get("peer", [])) > _PEERS_MOST:
        problems.append((top.children["peer"][_PEERS_MOST].line, f"peer: more than {_PEERS_MOST} peers"))
    for node in top.children["class"]:
        if node.props["patience"] > limits.patience_us:
            problems.append((node.line, "class: patience is above the limit for patience"))
    reports, state, tick = top.one("reports"), top.one("state"), top.one("tick")
    try:
        scheduler = api.Settings(
            placers=placer.props["of"], index=placer.props["index"],
            classes=tuple(each.task_class for each in classes.values()),
            kinds=tuple(api.MachineKind(name, node.props["cores"], node.props["memory"] / 2**30)
                        for name, node in kinds.items()),
            booking_cores=top.get("booking", "cores", 1.0), booking_memory=top.get("booking", "memory", 1.0),
            attempts_most=top.get("attempts", "most", 4), discovery=api.Discovery.PUSH,
            may_probe=reports is None or reports.args[0] == "on-probes",
            reports=api.Reports.NONE if reports and reports.args[0] == "none" else api.Reports.ON_PROBES,
            reports_use=True,
            room_in_list=top.get("reports", "room-in-list", True),
            tick_us=tick.args[0] if tick else 20_000, ask_every_us=10_000_000,
            cold_us=top.get("cold", "lasts", 18_000_000), fall_us=top.get("cold", "window", 2_000_000),
            fresh_offers=float(top.get("cold", "offers", 20.0)),
            arrivals_told=True,
            prices=api.Prices(top.get("prices", "fleet", 0.0), top.get("prices", "probe", 0.003)))
    except ValueError as error:
        if not problems:
            problems.append((1, str(error)))
        return None
    return PlacerSettings(
        name=placer.args[0], seed=placer.props["seed"], host=listen.args[0] if listen else "127.0.0.1",
        port=listen.props["port"] if listen else 0, source_host=source.args[0], source_port=source.props["port"],
        state=state.args[0] if state else None, scheduler=scheduler, classes=classes,
        drain_grace_us=top.get("drain", "grace", 250_000), limits=limits, region=placer.props["region"],
        cluster=placer.props["cluster"],
        peers=tuple(PeerAddress(node.args[0], node.props["port"], node.props["name"], node.props["seed"])
                    for node in top.children.get("peer", [])),
        agree=_agree(top, placer.args[0], state is not None, problems),
        barred=tuple(node.args[0] for node in top.children.get("bar", [])),
        history=top.children["history"][0].args[0] if "history" in top.children else None,
        calendars=tuple(node.args[0] for node in top.children.get("calendar", [])),
        peers_allowed=IPSet(node.args[0] for node in top.children.get("allow-peer", [])))


def _agree(top: Node, name: str, has_state: bool, problems: list[tuple[int, str]]) -> Agree | None:
    node = top.one("agree")
    if node is None:
        return None
    voters = tuple(each.args[0] for each in node.children.get("voter", []))
    members = tuple(sorted({*voters, *(each.args[0] for each in node.children.get("member", []))}))
    if len(voters) not in _VOTERS or len(set(voters)) != len(voters):
        problems.append((node.line, f"agree: {', '.join(map(str, _VOTERS))} different voters are wanted, "
                         f"not {len(voters)}"))
    if name not in members:
        problems.append((node.line, f"agree: {name!r} is neither a voter nor a member"))
    if name in voters and not has_state:
        problems.append((node.line, "agree: a voter needs a state folder"))
    if not _GRANTS[0] <= node.props["grant"] <= _GRANTS[1]:
        problems.append((node.line, "agree: a grant lasts 200ms to 4s"))
    limits = tuple(_limit(each, members, top, problems) for each in node.children.get("limit", []))
    problems += [(node.line, words) for words in check_limits(limits)]
    return Agree(voters, members, node.props["grant"], limits)


def _limit(node: Node, members: tuple[str, ...], top: Node, problems: list[tuple[int, str]]) -> FleetLimit:
    """`limit "namespace/shop" most=100`, `limit "class/web" most=50 per="10s"`, `limit "cold"`: the cold budget."""
    about, _, name = node.args[0].partition("/")
    most, per = node.props["most"], node.props["per"]
    if about == "cold":
        if most is not None or per:
            problems.append((node.line, "limit: that of cold machines is said by `cold`"))
        most, per = int(top.get("cold", "offers", 20)), top.get("cold", "window", 2_000_000) * 5 // 4
    elif most is None:
        problems.append((node.line, f"limit {node.args[0]!r}: most= is wanted"))
    return FleetLimit(about, name, "rate" if per else "standing", most or 0, per, node.props["stranded"], members)


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
        problems.append((node.line, "class: a keyed class needs a window in which duplicates are discarded"))
    if props["kind"] is not None and props["kind"] not in kinds:
        problems.append((node.line, f"class: no such kind: {props['kind']!r}{_near(props['kind'], kinds)}"))
    if props["patience"] < 100_000:
        problems.append((node.line, "class: a patience of less than 100ms cannot be kept"))
    by = spread.props["by"] if spread else "none"
    task_class = api.TaskClass(
        name=node.args[0], effect=effect, group=api.Place(props["group"]), window_us=props["window"],
        worth=float(props["worth"]), spread=api.Place(by), spread_most=spread.props["most"] if spread else 0,
        kind=props["kind"], calm=float(served.props["calm"] if served else 0.8),
        fade=float(served.props["fade"] if served else 0.2))
    return ClassSettings(task_class, props["patience"], props["priority"], props["restarts"])
