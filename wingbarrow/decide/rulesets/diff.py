"""Differences between two rule sets as lines of text for operators; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import fields
from typing import Any

from wingbarrow.decide.federation import compare
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain, DrainPlan, WindowRules
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet

SECOND_US = 1_000_000
Shares = tuple[tuple[str, int], ...]


def differences(a: RuleSet, b: RuleSet) -> list[str]:
    """One line for each difference of `b` from `a`, in the order of fields."""
    lines: list[str] = []
    for field in fields(RuleSet):
        before, after = getattr(a, field.name), getattr(b, field.name)
        if before == after:
            continue
        describe = _DESCRIBERS.get(field.name)
        if describe is None:
            lines.append(f"{_spaced(field.name)}: {before} -> {after}")
        else:
            lines.extend(describe(before, after))
    return lines


def _spaced(name: str) -> str:
    return name.replace("_", " ")


def _classes(before: tuple[ClassRules, ...], after: tuple[ClassRules, ...]) -> Iterator[str]:
    old = {each.name: each for each in before}
    new = {each.name: each for each in after}
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            yield f"class {name}: {_class(old.get(name))} -> {_class(new.get(name))}"


def _class(rules: ClassRules | None) -> str:
    if rules is None:
        return "not there"
    if rules.spread_by == "none":
        return rules.effect
    return f"{rules.effect}, {rules.spread_most} by {rules.spread_by}"


def _cold_shares(before: Shares, after: Shares) -> Iterator[str]:
    old = dict(before)
    new = dict(after)
    for placer in sorted(old.keys() | new.keys()):
        if old.get(placer, 0) != new.get(placer, 0):
            yield f"cold share of {placer}: {old.get(placer, 0)} -> {new.get(placer, 0)}"


def _windows(before: tuple[WindowRules, ...], after: tuple[WindowRules, ...]) -> Iterator[str]:
    old = {each.name: each for each in before}
    new = {each.name: each for each in after}
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"window {name}: gone"
        elif name not in old:
            yield f"window {name}: new"
        elif old[name] != new[name]:
            yield f"window {name}: changed"


def _requested_drains(
    before: tuple[AskedDrain, ...], after: tuple[AskedDrain, ...]
) -> Iterator[str]:
    for each in sorted(set(after) - set(before)):
        yield f"drain asked for: {_drain(each)}"
    for each in sorted(set(before) - set(after)):
        yield f"no longer a drain asked for: {_drain(each)}"


def _drain(drain: AskedDrain) -> str:
    return f"{drain.machine} for {drain.lasts_us // SECOND_US} s"


def _cancelled_drains(before: tuple[str, ...], after: tuple[str, ...]) -> Iterator[str]:
    for key in sorted(set(after) - set(before)):
        yield f"drain taken back: {key}"
    for key in sorted(set(before) - set(after)):
        yield f"no longer a drain taken back: {key}"


def _barred(before: tuple[str, ...], after: tuple[str, ...]) -> Iterator[str]:
    for machine in sorted(set(after) - set(before)):
        yield f"barred: {machine}"
    for machine in sorted(set(before) - set(after)):
        yield f"no longer barred: {machine}"


def _plan(before: DrainPlan, after: DrainPlan) -> Iterator[str]:
    for field in fields(DrainPlan):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"drains, {_spaced(field.name)}: {old} -> {new}"


def _limits(before: tuple[FleetLimit, ...], after: tuple[FleetLimit, ...]) -> Iterator[str]:
    old = {each.key: each for each in before}
    new = {each.key: each for each in after}
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key):
            yield f"limit {key}: {_limit(old.get(key))} -> {_limit(new.get(key))}"


def _limit(limit: FleetLimit | None) -> str:
    if limit is None:
        return "none"
    window = f" in {limit.window_us / SECOND_US:g} s" if limit.window_us else ""
    return (
        f"{limit.most}{window} among {len(limit.among)}, "
        f"stranded for {limit.stranded_us / SECOND_US:g} s"
    )


_DESCRIBERS: dict[str, Callable[[Any, Any], Iterator[str] | list[str]]] = {
    "classes": _classes,
    "cold_shares": _cold_shares,
    "barred": _barred,
    "windows": _windows,
    "asked": _requested_drains,
    "cancelled": _cancelled_drains,
    "plan": _plan,
    "limits": _limits,
    "federation": compare.differences,
}
