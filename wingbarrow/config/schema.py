"""Schema of a settings file: value readers, node schemas, and a reader that reports every error with its line.

A value reader returns the typed value, or raises ValueError with what it expected and what it got.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from netaddr import AddrFormatError, IPAddress, IPNetwork

from wingbarrow.config.settings import parse_duration, parse_size


class SettingsError(Exception):
    """A settings file is invalid; `problems` has (line, what is wrong) in order of lines."""

    def __init__(self, name: str, problems: list[tuple[int, str]]) -> None:
        self.name = name
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{name}:{line}: {text}" for line, text in self.problems))


def text(value: Any) -> str:
    """Reads a name of 1 to 253 characters."""
    if not isinstance(value, str) or not value or len(value) > 253:
        raise ValueError(f"a name of 1 to 253 characters is wanted, not {value!r}")
    return value


def number(low: float, high: float, whole: bool = False) -> Callable[[Any], Any]:
    """A reader of numbers from `low` to `high`, both included."""

    def read(value: Any) -> Any:
        if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
            raise ValueError(f"a {'whole ' if whole else ''}number is wanted, not {value!r}")
        if not low <= value <= high:
            raise ValueError(f"between {low:g} and {high:g} is wanted, not {value:g}")
        return value

    return read


def flag(value: Any) -> bool:
    """Reads a boolean."""
    if not isinstance(value, bool):
        raise ValueError(f"true or false is wanted, not {value!r}")
    return value


def read_duration(value: Any) -> int:
    """Reads a duration such as "5s" as microseconds."""
    if not isinstance(value, str):
        raise ValueError(f'a duration such as "5s" is wanted, not {value!r}')
    return parse_duration(value)


def read_size(value: Any) -> float:
    """Reads a size such as "48Gi" as bytes."""
    if isinstance(value, str):
        return parse_size(value)
    raise ValueError(f'a size such as "48Gi" is wanted, not {value!r}')


def address(value: Any) -> str:
    """Reads an IP address."""
    try:
        return str(IPAddress(value if isinstance(value, str) else ""))
    except (AddrFormatError, ValueError):
        raise ValueError(f"an IP address is wanted, not {value!r}") from None


def network(value: Any) -> IPNetwork:
    """Reads an IP network such as "10.0.0.0/8"."""
    try:
        return IPNetwork(value if isinstance(value, str) else "")
    except (AddrFormatError, ValueError):
        raise ValueError(f'a network such as "10.0.0.0/8" is wanted, not {value!r}') from None


def one_of(*words: str) -> Callable[[Any], str]:
    """A reader that accepts only the given words."""

    def read(value: Any) -> str:
        if value not in words:
            raise ValueError(
                f"one of {', '.join(words)} is wanted, not {value!r}{suggestion(str(value), words)}"
            )
        return str(value)

    return read


@dataclass(frozen=True)
class NodeSchema:
    """Schema of a node: readers of positional arguments, properties (name to reader and default), children.

    `further_arg` reads all further arguments, of which there must be at least one. `is_repeatable` allows several
    nodes of the same name.
    """

    args: tuple[Callable[[Any], Any], ...] = ()
    props: dict[str, tuple[Callable[[Any], Any], Any]] | None = None
    children: dict[str, NodeSchema] | None = None
    is_repeatable: bool = False
    further_arg: Callable[[Any], Any] | None = None


REQUIRED = object()  # default of a property that must be given


@dataclass
class Node:
    """A node with its values as read: line, arguments, properties, and children by name."""

    line: int
    args: list[Any]
    props: dict[str, Any]
    children: dict[str, list[Node]]

    def first(self, name: str) -> Node | None:
        """The first child of that name; None without one."""
        found = self.children.get(name)
        return found[0] if found else None

    def get(self, name: str, prop: str, default: Any) -> Any:
        """A property of the first child of that name; `default` without the child or the property."""
        node = self.first(name)
        return default if node is None else node.props.get(prop, default)


class Reader:
    """Reads a parsed document by a schema and collects every error with its line."""

    def __init__(self, lines: list[int]) -> None:
        self._lines = iter(lines)
        self.problems: list[tuple[int, str]] = []

    def children(self, nodes: list[Any], schema: NodeSchema, where: str) -> dict[str, list[Node]]:
        """Read the nodes that a schema allows; others are reported in `problems`."""
        known = schema.children or {}
        found: dict[str, list[Node]] = {}
        for node in nodes:
            line = next(self._lines, 1)
            if node.name not in known:
                self.problems.append(
                    (line, f"unknown node {node.name!r}{where}{suggestion(node.name, known)}")
                )
                self._skip_lines(node)
                continue
            entry = self._node(node, known[node.name], line)
            if node.name in found and not known[node.name].is_repeatable:
                first = found[node.name][0].line
                self.problems.append((line, f"{node.name!r} was given before, in line {first}"))
            found.setdefault(node.name, []).append(entry)
        return found

    def _skip_lines(self, node: Any) -> None:
        for child in node.children:
            next(self._lines, 1)
            self._skip_lines(child)

    def _node(self, node: Any, schema: NodeSchema, line: int) -> Node:
        def report_problem(text: str) -> None:
            self.problems.append((line, f"{node.name}: {text}"))

        args: list[Any] = []
        readers = list(schema.args)
        if schema.further_arg is not None:
            readers += [schema.further_arg] * max(1, len(node.args) - len(readers))
        if len(node.args) != len(readers):
            report_problem(
                f"{len(readers)} value(s) {'or more ' if schema.further_arg else ''}are wanted, not {len(node.args)}"
            )
        for value, read in zip(node.args, readers, strict=False):
            try:
                args.append(read(value))
            except ValueError as error:
                report_problem(str(error))
        known = schema.props or {}
        props = {name: default for name, (_, default) in known.items() if default is not REQUIRED}
        for name, (_, default) in known.items():
            if default is REQUIRED and name not in node.properties:
                report_problem(f"{name}= is missing")
        for name, value in node.properties.items():
            if name not in known:
                report_problem(f"unknown property {name!r}{suggestion(name, known)}")
                continue
            try:
                props[name] = known[name][0](value)
            except ValueError as error:
                report_problem(f"{name}: {error}")
        return Node(line, args, props, self.children(node.children, schema, f" in {node.name!r}"))


def suggestion(name: str, known: Iterable[str]) -> str:
    """A hint at the most similar of the known names; "" if none is similar."""
    found = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {found[0]!r}?" if found else ""
