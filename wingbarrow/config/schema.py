"""What a settings file may hold: readers of values, shapes of nodes, and a walk that collects every problem's line."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from netaddr import AddrFormatError, IPAddress, IPNetwork

from wingbarrow.config.settings import parse_duration, parse_size


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
        raise ValueError(f'a duration such as "5s" is wanted, not {value!r}')
    return parse_duration(value)


def read_size(value: Any) -> float:
    """Bytes from a size in words."""
    if isinstance(value, str):
        return parse_size(value)
    raise ValueError(f'a size such as "48Gi" is wanted, not {value!r}')


def address(value: Any) -> str:
    """An IP address."""
    try:
        return str(IPAddress(value if isinstance(value, str) else ""))
    except (AddrFormatError, ValueError):
        raise ValueError(f"an IP address is wanted, not {value!r}") from None


def network(value: Any) -> IPNetwork:
    """A network of them."""
    try:
        return IPNetwork(value if isinstance(value, str) else "")
    except (AddrFormatError, ValueError):
        raise ValueError(f'a network such as "10.0.0.0/8" is wanted, not {value!r}') from None


def word(*words: str) -> Callable[[Any], str]:
    """One of some words."""

    def read(value: Any) -> str:
        if value not in words:
            raise ValueError(
                f"one of {', '.join(words)} is wanted, not {value!r}{near(str(value), words)}"
            )
        return str(value)

    return read


@dataclass(frozen=True)
class Shape:
    """What a node may hold: positional arguments, properties (name to reader and default), children.

    `rest` reads any further arguments, of which there is at least one.
    """

    args: tuple[Callable[[Any], Any], ...] = ()
    props: dict[str, tuple[Callable[[Any], Any], Any]] | None = None
    children: dict[str, Shape] | None = None
    many: bool = False
    rest: Callable[[Any], Any] | None = None


NEEDED = object()


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
                self.problems.append(
                    (line, f"unknown node {node.name!r}{where}{near(node.name, known)}")
                )
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
        readers = list(shape.args)
        if shape.rest is not None:
            readers += [shape.rest] * max(1, len(node.args) - len(readers))
        if len(node.args) != len(readers):
            bad(
                f"{len(readers)} value(s) {'or more ' if shape.rest else ''}are wanted, not {len(node.args)}"
            )
        for value, read in zip(node.args, readers, strict=False):
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
                bad(f"unknown property {name!r}{near(name, known)}")
                continue
            try:
                props[name] = known[name][0](value)
            except ValueError as error:
                bad(f"{name}: {error}")
        return Node(line, args, props, self.children(node.children, shape, f" in {node.name!r}"))


def near(name: str, known: Iterable[str]) -> str:
    """A hint at the nearest of some names; "" where none is near."""
    found = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {found[0]!r}?" if found else ""
