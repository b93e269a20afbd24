"""Parses the platform's settings object and load reports into the scheduler's types.

Figures, names, counts and orders depend on the site. A value that cannot be used raises a ValueError of one
line that names its key in full, such as `lanes[2].effect`. Keys that are not documented are ignored.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, TypeVar

from wingbarrow import interface as api

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
PLACES = {
    "off": api.Place.NONE,
    "machine": api.Place.MACHINE,
    "cell": api.Place.CELL,
    "zone": api.Place.ZONE,
    "all": api.Place.ALL,
}
# Danger (rule 2): "off" (no machine deduplicates) would be treated as deduplication across all machines.
GROUPS = {name: place for name, place in PLACES.items() if place is not api.Place.NONE}
DISCOVERY = {"push": api.Discovery.PUSH, "ask": api.Discovery.ASK}
REPORTS = {
    "inline": api.Reports.IN_ANSWERS,
    "on_probe": api.Reports.ON_PROBES,
    "off": api.Reports.NONE,
}
REPORT_COUNTS_USE = {"asked": False, "used": True}
# Least `rules.ask_every_us`. Discovery is asked again after half of it: at 0, a placer would do nothing else.
MIN_ASK_US = 100_000
MAX_SHOWN = 60  # characters of a value in an error message
T = TypeVar("T")


def format_value(value: object) -> str:
    """Format a value for an error message: one short line. Danger: `repr` of a deeply nested value fails."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."


@dataclass(frozen=True, slots=True)
class JsonValue:
    """A value of a JSON document with its path; checks raise ValueError with the path and the value."""

    value: Any
    path: str = ""

    def find(self, path: str) -> JsonValue | None:
        """The value at a dotted path below this one; None if it is absent."""
        part = self
        for key in path.split("."):
            if not isinstance(part.value, dict) or key not in part.value:
                return None
            part = JsonValue(part.value[key], f"{part.path}.{key}" if part.path else key)
        return part

    def at(self, path: str) -> JsonValue:
        """The value at a dotted path below this one; ValueError if it is absent."""
        found = self.find(path)
        if found is None:
            raise ValueError(f"{self.path}.{path}: missing" if self.path else f"{path}: missing")
        return found

    def error(self, why: str) -> ValueError:
        """A ValueError for this value, to raise: its path, the reason and the value."""
        return ValueError(f"{self.path}: {why}: {format_value(self.value)}")

    def items(self, minimum: int = 0) -> list[JsonValue]:
        """The elements of a list; ValueError for another type or fewer than `minimum` elements."""
        if not isinstance(self.value, list):
            raise self.error("not a list")
        if len(self.value) < minimum:
            raise ValueError(f"{self.path}: {len(self.value)} values for {minimum}")
        return [JsonValue(value, f"{self.path}[{i}]") for i, value in enumerate(self.value)]

    def number(self, minimum: float = 0.0, exclusive: bool = False) -> float:
        """A finite number, not less than `minimum`, and not equal to it where `exclusive`."""
        if isinstance(self.value, bool) or not isinstance(self.value, (int, float)):
            raise self.error("not a number")
        try:
            number = float(self.value)
        except OverflowError:
            number = inf
        if not isfinite(number) or number < minimum or (exclusive and number == minimum):
            raise self.error("out of range")
        return number

    def microseconds(self, minimum: int = 0) -> int:
        """A time in microseconds, not less than `minimum`; a fraction is cut off, so that 2000.0 is valid."""
        return int(self.number(minimum))

    def count(self, minimum: int = 0) -> int:
        """A count or a position: a whole number not less than `minimum`; ValueError for one such as 2.5."""
        number = self.number(minimum)
        if number != int(number):
            raise self.error("not a whole number")
        return int(number)

    def boolean(self) -> bool:
        """True or false."""
        if not isinstance(self.value, bool):
            raise self.error("neither true nor false")
        return self.value

    def name(self) -> str:
        """A string that is not empty."""
        if not isinstance(self.value, str) or not self.value:
            raise self.error("not a name")
        return self.value

    def choice(self, table: dict[str, T]) -> T:
        """The entry of `table` for this word; ValueError if there is none."""
        if not isinstance(self.value, str) or self.value not in table:
            raise self.error("unknown")
        return table[self.value]


def parse_settings_text(text: str) -> api.Settings:
    """Parse settings from JSON text; ValueError names the key that is missing or invalid."""
    return parse_settings(json.loads(text))


def _names(parts: list[JsonValue]) -> list[str]:
    names: list[str] = []
    for part in parts:
        if part.name() in names:
            raise part.error("a second one of this name")
        names.append(part.name())
    return names


def _kinds(setup: JsonValue) -> tuple[api.MachineKind, ...]:
    """The kinds of machines; there may be none, and then the size of no machine is known."""
    names = _names(setup.at("kinds").items())
    cores = setup.at("family_info.cores_by_kind").items(len(names))
    memory = setup.at("family_info.memory_by_kind").items(len(names))
    return tuple(
        api.MachineKind(name, cores[i].number(exclusive=True), memory[i].number(exclusive=True))
        for i, name in enumerate(names)
    )


def _classes(setup: JsonValue, kinds: tuple[api.MachineKind, ...]) -> tuple[api.TaskClass, ...]:
    lanes = setup.at("lanes").items()
    if not lanes:
        # Each task names its class: without classes every task would fail. The fault is easier to see at the
        # start.
        raise ValueError(f"{setup.at('lanes').path}: at least one is needed")
    names = _names([lane.at("name") for lane in lanes])
    columns = {
        key: setup.at(f"family_info.{key}").items(len(lanes))
        for key in ("class_kind", "class_most", "easy_until", "lost_after", "spread_by")
    }
    classes = []
    for i, lane in enumerate(lanes):
        row = {key: column[i] for key, column in columns.items()}
        kind_index = row["class_kind"].count(minimum=-1)
        if kind_index >= len(kinds):
            raise row["class_kind"].error("no such kind")
        effect = lane.at("effect").choice(EFFECTS)
        keyed = effect is api.Effect.KEYED
        spread = row["spread_by"].choice(PLACES)
        bounded = spread is not api.Place.NONE  # otherwise the bound is unused, and may be 0 or -1
        classes.append(
            api.TaskClass(
                name=names[i],
                effect=effect,
                group=lane.at("dedup_scope").choice(GROUPS) if keyed else api.Place.ALL,
                window_us=lane.at("dedup_window_us").microseconds() if keyed else 0,
                worth=lane.at("importance").number(),
                spread=spread,
                spread_most=row["class_most"].count(minimum=1) if bounded else 0,
                kind=kinds[kind_index].name if kind_index >= 0 else None,
                calm=row["easy_until"].number(),
                fade=row["lost_after"].number(),
            )
        )
    return tuple(classes)


def parse_settings(value: Any, path: str = "") -> api.Settings:
    """Parse settings from an object at `path` of its document; ValueError names the missing or invalid key.

    Only `costs.fleet` may be absent: it defaults to 0. Intervals of 0 count as 1 us, the shortest.
    """
    setup = JsonValue(value, path)
    kinds = _kinds(setup)
    placers = setup.at("balancers").count(minimum=1)
    index = setup.at("me")
    if index.count() >= placers:
        raise index.error(f"no such one of {placers}")
    fleet = setup.find("costs.fleet")
    return api.Settings(
        placers=placers,
        index=index.count(),
        classes=_classes(setup, kinds),
        kinds=kinds,
        booking_cores=setup.at("family_info.cpu_booking").number(exclusive=True),
        booking_memory=setup.at("family_info.admit_memory").number(exclusive=True),
        attempts_most=setup.at("bounds.send_cap").count(minimum=1),
        discovery=setup.at("discovery").choice(DISCOVERY),
        may_probe=setup.at("bounds.probes").boolean(),
        reports=setup.at("report.how").choice(REPORTS),
        reports_use=setup.at("family_info.report_counts").choice(REPORT_COUNTS_USE),
        room_in_list=setup.at("family_info.free_in_list").boolean(),
        tick_us=max(1, setup.at("quantum_us").microseconds()),
        ask_every_us=max(MIN_ASK_US, setup.at("rules.ask_every_us").microseconds()),
        cold_us=setup.at("rules.cold_us").microseconds(),
        fall_us=max(1, setup.at("rules.fall_us").microseconds()),
        fresh_offers=setup.at("family_info.fresh_offers").number(),
        prices=api.Prices(
            fleet=fleet.number() if fleet is not None else 0.0,
            probe=setup.at("costs.probe").number(),
        ),
    )


def parse_report(text: str, between: str = ",") -> api.Report | None:
    """Parse a load report of `name:value` pairs; None for "-". A value that is no number is left out."""
    if text == "-":
        return None
    values: dict[str, float] = {}
    for pair in text.split(between):
        name, _, value = pair.partition(":")
        try:
            values[name] = float(value)
        except ValueError:
            continue
    return api.Report(values.get("x0"), values.get("x1"))
