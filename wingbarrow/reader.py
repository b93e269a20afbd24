"""The platform's settings object and load reports as the scheduler's types, for all who are handed them."""

from __future__ import annotations

import json
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
DISCOVERY = {"push": api.Discovery.PUSH, "ask": api.Discovery.ASK}
REPORTS = {"inline": api.Reports.IN_ANSWERS, "on_probe": api.Reports.ON_PROBES, "off": api.Reports.NONE}
T = TypeVar("T")


def need(source: Any, path: str) -> Any:
    """The value at a dotted path of the settings; ValueError names the path where it is missing."""
    value = source
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            raise ValueError(f"{path}: missing")
        value = value[part]
    return value


def number(source: Any, path: str) -> float:
    """The number at a path; ValueError names it otherwise."""
    value = need(source, path)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{path}: not a number: {value!r}")
    return float(value)


def whole(source: Any, path: str) -> int:
    """The number at a path as a whole one; ValueError names it otherwise."""
    value = number(source, path)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{path}: out of range: {value}")
    return int(value)


def flag(source: Any, path: str) -> bool:
    """The truth value at a path; ValueError names it otherwise."""
    value = need(source, path)
    if not isinstance(value, bool):
        raise ValueError(f"{path}: neither true nor false: {value!r}")
    return value


def _choice(table: dict[str, T], source: Any, path: str) -> T:
    value = need(source, path)
    if value not in table:
        raise ValueError(f"{path}: unknown: {value!r}")
    return table[value]


def _list(source: Any, path: str) -> list[Any]:
    value = need(source, path)
    if not isinstance(value, list):
        raise ValueError(f"{path}: not a list: {value!r}")
    return value


def _per_item(source: Any, path: str, count: int) -> list[dict[str, Any]]:
    """A list of the settings that runs parallel to another, wrapped so that each value can be named."""
    values = _list(source, path)
    if len(values) < count:
        raise ValueError(f"{path}: {len(values)} values for {count}")
    return [{path.rpartition(".")[2]: value} for value in values]


def read_settings(text: str) -> api.Settings:
    """Settings from JSON text; ValueError names what is missing or out of range."""
    return settings_of(json.loads(text))


def settings_of(setup: Any) -> api.Settings:
    """Settings from the object; ValueError names what is missing or out of range."""
    names = _list(setup, "kinds")
    cores, memory = (
        _per_item(setup, f"family_info.{key}", len(names)) for key in ("cores_by_kind", "memory_by_kind")
    )
    kinds = tuple(
        api.MachineKind(str(name), number(cores[i], "cores_by_kind"), number(memory[i], "memory_by_kind"))
        for i, name in enumerate(names)
    )
    lanes = _list(setup, "lanes")
    columns = {
        key: _per_item(setup, f"family_info.{key}", len(lanes))
        for key in ("class_kind", "class_most", "easy_until", "lost_after", "spread_by")
    }
    classes = []
    for i, lane in enumerate(lanes):
        row = {key: column[i][key] for key, column in columns.items()}
        needs = whole(row, "class_kind")
        if needs >= len(kinds):
            raise ValueError(f"class_kind: no such kind: {needs}")
        effect = _choice(EFFECTS, lane, "effect")
        keyed = effect is api.Effect.KEYED
        classes.append(
            api.TaskClass(
                name=str(need(lane, "name")),
                effect=effect,
                group=_choice(PLACES, lane, "dedup_scope") if keyed else api.Place.ALL,
                window_us=whole(lane, "dedup_window_us") if keyed else 0,
                worth=number(lane, "importance"),
                spread=_choice(PLACES, row, "spread_by"),
                spread_most=whole(row, "class_most"),
                kind=kinds[needs].name if needs >= 0 else None,
                calm=number(row, "easy_until"),
                fade=number(row, "lost_after"),
            )
        )
    return api.Settings(
        placers=whole(setup, "balancers"),
        index=whole(setup, "me"),
        classes=tuple(classes),
        kinds=kinds,
        booking_cores=number(setup, "family_info.cpu_booking"),
        booking_memory=number(setup, "family_info.admit_memory"),
        attempts_most=whole(setup, "bounds.send_cap"),
        discovery=_choice(DISCOVERY, setup, "discovery"),
        may_probe=flag(setup, "bounds.probes"),
        reports=_choice(REPORTS, setup, "report.how"),
        reports_use=need(setup, "family_info.report_counts") == "used",
        room_in_list=flag(setup, "family_info.free_in_list"),
        tick_us=whole(setup, "quantum_us"),
        ask_every_us=whole(setup, "rules.ask_every_us"),
        cold_us=whole(setup, "rules.cold_us"),
        fall_us=whole(setup, "rules.fall_us"),
        fresh_offers=number(setup, "family_info.fresh_offers"),
        prices=api.Prices(
            fleet=float(setup.get("costs", {}).get("fleet", 0.0)), probe=number(setup, "costs.probe")
        ),
    )


def read_report(text: str, between: str = ",") -> api.Report | None:
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
