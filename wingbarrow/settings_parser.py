"""The platform's settings object and load reports as the scheduler's types, for all who are handed them.

Figures, names, counts and orders are whatever the site says; what cannot be used is a ValueError of one line
that names its key in full, as `lanes[2].effect`. What the page on settings does not name is passed over.
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
# Danger (rule 2): machines that discard no repeats at all ("off") would be taken for all machines.
GROUPS = {name: place for name, place in PLACES.items() if place is not api.Place.NONE}
DISCOVERY = {"push": api.Discovery.PUSH, "ask": api.Discovery.ASK}
REPORTS = {
    "inline": api.Reports.IN_ANSWERS,
    "on_probe": api.Reports.ON_PROBES,
    "off": api.Reports.NONE,
}
COUNTED = {"asked": False, "used": True}
# Discovery is asked again after half of `rules.ask_every_us`: were that 0, a placer would do nothing else.
MIN_ASK_US = 100_000
MAX_SHOWN = 60
T = TypeVar("T")


def format_value(value: object) -> str:
    """A value in a message: on one line, and short. Danger: `repr` of what is nested deeply fails."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."


@dataclass(frozen=True, slots=True)
class JsonValue:
    """A value of a JSON document and its path there; ValueError names the path of what is wrong."""

    value: Any
    path: str = ""

    def find(self, path: str) -> JsonValue | None:
        """The value at a dotted path below this one; None where it is absent."""
        part = self
        for key in path.split("."):
            if not isinstance(part.value, dict) or key not in part.value:
                return None
            part = JsonValue(part.value[key], f"{part.path}.{key}" if part.path else key)
        return part

    def at(self, path: str) -> JsonValue:
        """The value at a dotted path below this one."""
        found = self.find(path)
        if found is None:
            raise ValueError(f"{self.path}.{path}: missing" if self.path else f"{path}: missing")
        return found

    def error(self, why: str) -> ValueError:
        """What is said of this value."""
        return ValueError(f"{self.path}: {why}: {format_value(self.value)}")

    def items(self, minimum: int = 0) -> list[JsonValue]:
        """The values of a list; one that runs parallel to another holds at least `minimum` entries."""
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
        """A time in microseconds; a part of one is dropped. Also from 2000.0."""
        return int(self.number(minimum))

    def count(self, minimum: int = 0) -> int:
        """A number of things, or a position; ValueError where it is none, such as 2.5."""
        number = self.number(minimum)
        if number != int(number):
            raise self.error("not a whole number")
        return int(number)

    def boolean(self) -> bool:
        """A truth value."""
        if not isinstance(self.value, bool):
            raise self.error("neither true nor false")
        return self.value

    def name(self) -> str:
        """Text that is not empty."""
        if not isinstance(self.value, str) or not self.value:
            raise self.error("not a name")
        return self.value

    def choice(self, table: dict[str, T]) -> T:
        """What a table holds for this word."""
        if not isinstance(self.value, str) or self.value not in table:
            raise self.error("unknown")
        return table[self.value]


def parse_settings_text(text: str) -> api.Settings:
    """Settings from JSON text; ValueError names what is missing or out of range."""
    return parse_settings(json.loads(text))


def _names(parts: list[JsonValue]) -> list[str]:
    names: list[str] = []
    for part in parts:
        if part.name() in names:
            raise part.error("a second one of this name")
        names.append(part.name())
    return names


def _kinds(setup: JsonValue) -> tuple[api.MachineKind, ...]:
    """The kinds of machines; none at all is no fault, but of such a site no machine's size is known."""
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
        # Each set-up names its class: without one nothing can ever be placed, and every task would be failed.
        # The fault is better seen at the start.
        raise ValueError(f"{setup.at('lanes').path}: at least one is needed")
    names = _names([lane.at("name") for lane in lanes])
    columns = {
        key: setup.at(f"family_info.{key}").items(len(lanes))
        for key in ("class_kind", "class_most", "easy_until", "lost_after", "spread_by")
    }
    classes = []
    for i, lane in enumerate(lanes):
        row = {key: column[i] for key, column in columns.items()}
        needs = row["class_kind"].count(minimum=-1)
        if needs >= len(kinds):
            raise row["class_kind"].error("no such kind")
        effect = lane.at("effect").choice(EFFECTS)
        keyed = effect is api.Effect.KEYED
        spread = row["spread_by"].choice(PLACES)
        bounded = spread is not api.Place.NONE  # else the figure says nothing, and may be 0 or -1
        classes.append(
            api.TaskClass(
                name=names[i],
                effect=effect,
                group=lane.at("dedup_scope").choice(GROUPS) if keyed else api.Place.ALL,
                window_us=lane.at("dedup_window_us").microseconds() if keyed else 0,
                worth=lane.at("importance").number(),
                spread=spread,
                spread_most=row["class_most"].count(minimum=1) if bounded else 0,
                kind=kinds[needs].name if needs >= 0 else None,
                calm=row["easy_until"].number(),
                fade=row["lost_after"].number(),
            )
        )
    return tuple(classes)


def parse_settings(value: Any, path: str = "") -> api.Settings:
    """Settings from the object, found at `path` of its document; ValueError names what is missing or wrong.

    Only `costs.fleet` may be absent: no such cost. An interval of 0 counts as the shortest, 1 us.
    """
    setup = JsonValue(value, path)
    kinds = _kinds(setup)
    placers = setup.at("balancers").count(minimum=1)
    me = setup.at("me")
    if me.count() >= placers:
        raise me.error(f"no such one of {placers}")
    fleet = setup.find("costs.fleet")
    return api.Settings(
        placers=placers,
        index=me.count(),
        classes=_classes(setup, kinds),
        kinds=kinds,
        booking_cores=setup.at("family_info.cpu_booking").number(exclusive=True),
        booking_memory=setup.at("family_info.admit_memory").number(exclusive=True),
        attempts_most=setup.at("bounds.send_cap").count(minimum=1),
        discovery=setup.at("discovery").choice(DISCOVERY),
        may_probe=setup.at("bounds.probes").boolean(),
        reports=setup.at("report.how").choice(REPORTS),
        reports_use=setup.at("family_info.report_counts").choice(COUNTED),
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
    """A load report; a value that cannot be read counts as not told."""
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
