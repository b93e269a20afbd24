"""Comparison of rule sets field by field: which of two allows more, and what both allow; no I/O.

`allows(a, b)` is a partial order. If it holds in neither direction, the two rule sets contradict each other, and the
fleet changes from one to the other by way of their `intersection`, as in online schema change (F1, Rae et al. 2013): at
most two neighbouring revisions are in use at a time. A floor is a rule set that every version must allow; a placer that
is cut off from the voters acts on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wingbarrow.decide.federation import compare
from wingbarrow.decide.quotas.limits import limits_allow, limits_intersection
from wingbarrow.decide.rulesets.agreed_drains import WindowRules, plan_allows, plan_intersection
from wingbarrow.decide.rulesets.ruleset import (
    EFFECTS,
    OPTIONAL_FIELDS,
    ClassRules,
    RuleSet,
    normalized,
)

Names = tuple[Any, ...]
Shares = tuple[tuple[str, int], ...]


def allows(a: RuleSet, b: RuleSet) -> bool:
    """Whether `b` allows all that `a` allows."""
    return all(field.allows(getattr(a, name), getattr(b, name)) for name, field in _FIELDS.items())


def allows_floor(floor: RuleSet, rules: RuleSet) -> bool:
    """Whether rules allow all that a floor allows.

    A floor does not cover drains, limits or federations: a placer that is cut off receives drains later, and its quotas
    expire with its lease.
    """
    return all(
        field.allows(getattr(floor, name), getattr(rules, name))
        for name, field in _FIELDS.items()
        if name not in OPTIONAL_FIELDS
    )


def contradict(a: RuleSet, b: RuleSet) -> bool:
    """Whether each allows something that the other forbids."""
    return not allows(a, b) and not allows(b, a)


def intersection(a: RuleSet, b: RuleSet) -> RuleSet:
    """What both allow, and no more."""
    return normalized(
        RuleSet(
            **{
                name: field.intersection(getattr(a, name), getattr(b, name))
                for name, field in _FIELDS.items()
            }
        )
    )


@dataclass(frozen=True, slots=True)
class _FieldOrder:
    """The order of a field: whether the second value allows all that the first allows, and what both allow."""

    allows: Callable[[Any, Any], bool]
    intersection: Callable[[Any, Any], Any]


# -- values


def _is_at_most(a: float, b: float) -> bool:
    return a <= b


def _is_at_least(a: float, b: float) -> bool:
    return a >= b


def _has_all_names(a: Names, b: Names) -> bool:
    return set(a) >= set(b)


def _union(a: Names, b: Names) -> Names:
    return tuple(set(a) | set(b))


def _has_no_other_names(a: Names, b: Names) -> bool:
    return set(a) <= set(b)


def _common(a: Names, b: Names) -> Names:
    return tuple(set(a) & set(b))


def _shares_allow(a: Shares, b: Shares) -> bool:
    share_in_b = dict(b)
    return all(share <= share_in_b.get(name, 0) for name, share in a)


def _shares_intersection(a: Shares, b: Shares) -> Shares:
    share_in_b = dict(b)
    return tuple((name, min(share, share_in_b.get(name, 0))) for name, share in a)


# -- classes


def _class_allows(a: ClassRules, b: ClassRules) -> bool:
    if EFFECTS.index(a.effect) > EFFECTS.index(b.effect):
        return False
    if b.spread_by == "none":
        return True
    return a.spread_by == b.spread_by and a.spread_most <= b.spread_most


def _class_intersection(a: ClassRules, b: ClassRules) -> ClassRules | None:
    effect = EFFECTS[min(EFFECTS.index(a.effect), EFFECTS.index(b.effect))]
    if "none" in (a.spread_by, b.spread_by):
        bounded = b if a.spread_by == "none" else a
        return ClassRules(a.name, effect, bounded.spread_by, bounded.spread_most)
    if a.spread_by != b.spread_by:
        return None  # a class has one spread domain only: no task of it starts during the step
    return ClassRules(a.name, effect, a.spread_by, min(a.spread_most, b.spread_most))


def _classes_allow(a: tuple[ClassRules, ...], b: tuple[ClassRules, ...]) -> bool:
    b_by_name = {each.name: each for each in b}
    return all(each.name in b_by_name and _class_allows(each, b_by_name[each.name]) for each in a)


def _classes_intersection(
    a: tuple[ClassRules, ...], b: tuple[ClassRules, ...]
) -> tuple[ClassRules, ...]:
    b_by_name = {each.name: each for each in b}
    common = (
        _class_intersection(each, b_by_name[each.name]) for each in a if each.name in b_by_name
    )
    return tuple(each for each in common if each is not None)


# -- windows


def _without_name(window: WindowRules) -> WindowRules:
    """The window without its name, to compare windows by effect."""
    return replace(window, name="")


def _windows_allow(a: tuple[WindowRules, ...], b: tuple[WindowRules, ...]) -> bool:
    return {_without_name(each) for each in a} >= {_without_name(each) for each in b}


def _windows_intersection(
    a: tuple[WindowRules, ...], b: tuple[WindowRules, ...]
) -> tuple[WindowRules, ...]:
    """All windows of both, equal ones once; if two share a name, one is renamed for the step."""
    name_of: dict[WindowRules, str] = {}
    for each in sorted((*a, *b), key=lambda each: each.name):
        name_of.setdefault(_without_name(each), each.name)
    by_name: dict[str, WindowRules] = {}
    for unnamed, original in sorted(name_of.items(), key=lambda pair: (pair[1], repr(pair[0]))):
        name = original
        while name in by_name:
            name += "+"
        by_name[name] = replace(unnamed, name=name)
    return tuple(by_name.values())


_SMALLER_ALLOWS_LESS = _FieldOrder(_is_at_most, min)
_LARGER_ALLOWS_LESS = _FieldOrder(_is_at_least, max)
_MORE_NAMES_ALLOW_LESS = _FieldOrder(_has_all_names, _union)
_FEWER_NAMES_ALLOW_LESS = _FieldOrder(_has_no_other_names, _common)
_FIELDS: dict[str, _FieldOrder] = {
    "classes": _FieldOrder(_classes_allow, _classes_intersection),
    "attempts_most": _SMALLER_ALLOWS_LESS,
    "cold_us": _LARGER_ALLOWS_LESS,  # a machine counts as cold for longer
    "cold_window_us": _LARGER_ALLOWS_LESS,  # the same number of offers within a longer time
    "cold_shares": _FieldOrder(_shares_allow, _shares_intersection),
    "drain_grace_us": _SMALLER_ALLOWS_LESS,
    "barred": _MORE_NAMES_ALLOW_LESS,
    "windows": _FieldOrder(_windows_allow, _windows_intersection),
    "asked": _MORE_NAMES_ALLOW_LESS,
    "cancelled": _FEWER_NAMES_ALLOW_LESS,
    "plan": _FieldOrder(plan_allows, plan_intersection),
    "limits": _FieldOrder(limits_allow, limits_intersection),
    "federation": _FieldOrder(compare.within, compare.intersection),
}
