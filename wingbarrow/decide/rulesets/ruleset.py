"""Rule sets that placers agree on, and how two of them compare, field by field; no I/O.

`allows(a, b)`: whatever `a` allows, `b` allows too. Where that holds neither way, the two contradict each other, and
the fleet goes from one to the other by their `meet`, which allows only what both do. The floor is a rule set that every
version must allow: what a placer that cannot hear of new versions goes on by.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields, replace
from typing import Any

from wingbarrow.decide.federation import compare, form
from wingbarrow.decide.federation.faults import unfit
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.quotas.limits import (
    FleetLimit,
    check_limits,
    limits_allow,
    limits_intersection,
    normalized_limits,
)
from wingbarrow.decide.rulesets.agreed_drains import (
    AskedDrain,
    DrainPlan,
    WindowRules,
    check_planned,
    plan_meet,
    plan_within,
    read_plan,
    read_window,
)

CLASSES_MOST, NAMES_MOST = 256, 4096
TEXT_MOST = (
    32 * 1024
)  # characters without the federation's, so that a snapshot with all that is kept fits one mail
MAILED_MOST = TEXT_MOST * 3 // 2  # of the same, with what mail puts before each quotation mark
EFFECTS = ("unsafe", "keyed", "safe")  # from what forbids most
DRAINS = ("windows", "asked", "cancelled", "plan")  # fields about drains
FLOORLESS = (
    *DRAINS,
    "limits",
    "federation",
)  # no floor speaks of these; rights to a limit are lost with the grant


class RuleSetError(ValueError):
    """A rule set that cannot be used; what is wrong in words, one for each thing."""


@dataclass(frozen=True, slots=True)
class ClassRules:
    """A class of tasks, as far as placers must agree on it."""

    name: str
    effect: str
    spread_by: str  # none, machine, cell, zone
    spread_most: int


@dataclass(frozen=True, slots=True)
class RuleSet:
    """One version's rules. Times in microseconds.

    `cold_shares`: offers to one cold machine within the window, by placer; who is not named has none.
    """

    classes: tuple[ClassRules, ...]
    attempts_most: int
    cold_us: int
    cold_window_us: int
    cold_shares: tuple[tuple[str, int], ...]
    drain_grace_us: int
    barred: tuple[str, ...]  # machines that get nothing
    windows: tuple[WindowRules, ...] = ()
    asked: tuple[AskedDrain, ...] = ()
    cancelled: tuple[str, ...] = ()  # keys of drains that were taken back
    plan: DrainPlan = DrainPlan()
    limits: tuple[FleetLimit, ...] = ()  # of the whole fleet, held in parts
    federation: Federation = Federation()

    def text(self) -> str:
        """The canonical text: the same rules, the same text. What is nothing of drains and limits is left out."""
        value = asdict(replace(self, federation=Federation()))
        value["federation"] = form.write(self.federation)
        for name in FLOORLESS:
            if getattr(self, name) == _NOTHING[name]:
                del value[name]
        return json.dumps(value, sort_keys=True, separators=(",", ":"))

    @property
    def digest(self) -> str:
        """Over the canonical text."""
        return hashlib.blake2b(self.text().encode(), digest_size=8).hexdigest()

    def cold_share(self, placer: str) -> int:
        """Of one placer."""
        return dict(self.cold_shares).get(placer, 0)


_NOTHING: dict[str, Any] = {
    each.name: each.default for each in fields(RuleSet) if each.name in FLOORLESS
}


def normalized(rules: RuleSet) -> RuleSet:
    """The one form of the same rules: names in order, shares of nothing and figures without a meaning left out."""
    classes = (
        each if each.spread_by != "none" else replace(each, spread_most=0) for each in rules.classes
    )
    return replace(
        rules,
        classes=tuple(sorted(classes, key=lambda each: each.name)),
        cold_shares=tuple(sorted((name, share) for name, share in rules.cold_shares if share != 0)),
        barred=tuple(sorted(set(rules.barred))),
        asked=tuple(sorted(set(rules.asked))),
        windows=tuple(sorted(rules.windows, key=lambda each: (each.name, repr(each)))),
        cancelled=tuple(sorted(set(rules.cancelled))),
        limits=normalized_limits(rules.limits),
        federation=form.normal(rules.federation),
    )


def parse_rule_set(text: str) -> RuleSet:
    """A rule set from its text; BadRules says what is wrong."""
    if len(text) > TEXT_MOST + form.MAX_FEDERATION:
        raise RuleSetError(
            f"{len(text)} characters; {TEXT_MOST}, and {form.MAX_FEDERATION} of a federation, are the most"
        )
    try:
        value = json.loads(text)
        if not isinstance(value, dict) or set(value) | set(FLOORLESS) != {
            each.name for each in fields(RuleSet)
        }:
            raise RuleSetError("not the fields of a rule set")
        value["federation"] = form.read(value.get("federation", ""))
        classes = tuple(ClassRules(**each) for each in value["classes"])
        shares = tuple((name, share) for name, share in value["cold_shares"])
        value |= {
            "classes": classes,
            "cold_shares": shares,
            "barred": tuple(value["barred"]),
            "windows": tuple(read_window(each) for each in value.get("windows", ())),
            "asked": tuple(AskedDrain(**each) for each in value.get("asked", ())),
            "cancelled": tuple(value.get("cancelled", ())),
            "limits": tuple(
                FleetLimit(**{**each, "among": tuple(each["among"])})
                for each in value.get("limits", ())
            ),
        }
        if "plan" in value:
            value["plan"] = read_plan(value["plan"])
        rules = normalized(RuleSet(**value))
    except RuleSetError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise RuleSetError(f"no rule set: {str(error)[:120]}") from None
    problems = check(rules) + too_long(rules)
    if problems:
        raise RuleSetError("; ".join(problems))
    return rules


def apart(rules: RuleSet) -> tuple[str, str]:
    """The text without the federation, and the federation's."""
    return replace(rules, federation=Federation()).text(), form.write(rules.federation)


def joined(rest: str, federation: str) -> str:
    """The text of both, as canonical as they are."""
    if not federation:
        return rest
    return json.dumps(
        {**json.loads(rest), "federation": federation}, sort_keys=True, separators=(",", ":")
    )


def too_long(rules: RuleSet) -> list[str]:
    """What of a rule set's text is more than is kept and mailed, in words."""
    rest, federation = apart(rules)
    out = []
    if len(rest) > TEXT_MOST or len(json.dumps(rest)) > MAILED_MOST:
        out.append(
            f"{len(rest)} characters without the federation; {TEXT_MOST} are the most, and {MAILED_MOST} with "
            "what mail puts before quotation marks"
        )
    if len(federation) > form.MAX_FEDERATION:
        out.append(
            f"{len(federation)} characters of specs and data sets; {form.MAX_FEDERATION} are the most"
        )
    return out


def check(rules: RuleSet) -> list[str]:
    """What is wrong with a rule set by itself, in words; under one without a fault the five rules can be kept."""
    out: list[str] = []

    def want(good: bool, words: str) -> None:
        if not good:
            out.append(words)

    def whole(value: object, low: int, high: int) -> bool:
        return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high

    def name(value: object) -> bool:
        return isinstance(value, str) and 0 < len(value) <= 253

    want(0 < len(rules.classes) <= CLASSES_MOST, f"1 to {CLASSES_MOST} classes are wanted")
    want(len({each.name for each in rules.classes}) == len(rules.classes), "a class is named twice")
    for each in rules.classes:
        want(name(each.name), "a class without a name")
        want(each.effect in EFFECTS, f"{each.name}: effect is one of {', '.join(EFFECTS)}")
        want(each.spread_by in ("none", "machine", "cell", "zone"), f"{each.name}: spread by what?")
        want(
            whole(each.spread_most, 0 if each.spread_by == "none" else 1, 1_000_000),
            f"{each.name}: spread most",
        )
    want(whole(rules.attempts_most, 1, 100), "attempts: 1 to 100 are wanted")
    want(whole(rules.cold_us, 0, 86_400_000_000), "cold: lasts at most a day")
    want(
        whole(rules.cold_window_us, 1, 3_600_000_000), "cold: a window of at most an hour is wanted"
    )
    want(
        len(rules.cold_shares) <= NAMES_MOST and len(rules.barred) <= NAMES_MOST,
        f"more than {NAMES_MOST} names",
    )
    want(
        all(name(who) and whole(share, 0, 1_000_000) for who, share in rules.cold_shares),
        "cold: a share of whom?",
    )
    want(
        len({who for who, _ in rules.cold_shares}) == len(rules.cold_shares),
        "cold: two shares for one placer",
    )
    want(
        whole(rules.drain_grace_us, 0, 3_600_000_000), "drain: a grace of at most an hour is wanted"
    )
    want(all(name(machine) for machine in rules.barred), "barred: a machine without a name")
    effects = {each.name: each.effect for each in rules.classes}
    for task_class, named in rules.federation.uses:
        spec = rules.federation.named.get(named)
        why_not = unfit(spec, effects.get(task_class, ""), 0) if spec is not None else ""
        want(not why_not, f"{task_class}: federation {named} {why_not}")
    return (
        out
        + check_planned(rules.windows, rules.asked, rules.cancelled, rules.plan)
        + check_limits(rules.limits)
        + list(form.bounds(rules.federation))
    )


def shares(offers: int, placers: tuple[str, ...]) -> tuple[tuple[str, int], ...]:
    """A cold budget cut into whole parts; what is left over goes to the first by name: the sum is the budget."""
    each, over = divmod(offers, max(1, len(placers)))
    return tuple(
        (name, each + (index < over))
        for index, name in enumerate(sorted(placers))
        if each + (index < over)
    )


# -- how two compare: for each field whether what `a` allows is within what `b` allows, and what both allow


@dataclass(frozen=True, slots=True)
class _Order:
    """One field's."""

    within: Callable[[Any, Any], bool]
    intersection: Callable[[Any, Any], Any]


def _class_within(a: ClassRules, b: ClassRules) -> bool:
    if EFFECTS.index(a.effect) > EFFECTS.index(b.effect):
        return False
    if b.spread_by == "none":
        return True
    return a.spread_by == b.spread_by and a.spread_most <= b.spread_most


def _class_meet(a: ClassRules, b: ClassRules) -> ClassRules | None:
    effect = EFFECTS[min(EFFECTS.index(a.effect), EFFECTS.index(b.effect))]
    if "none" in (a.spread_by, b.spread_by):
        one = b if a.spread_by == "none" else a
        return ClassRules(a.name, effect, one.spread_by, one.spread_most)
    if a.spread_by != b.spread_by:
        return None  # both at once cannot be told to the module: nothing of the class starts during the step
    return ClassRules(a.name, effect, a.spread_by, min(a.spread_most, b.spread_most))


def _classes_within(a: tuple[ClassRules, ...], b: tuple[ClassRules, ...]) -> bool:
    held = {each.name: each for each in b}
    return all(each.name in held and _class_within(each, held[each.name]) for each in a)


def _classes_meet(a: tuple[ClassRules, ...], b: tuple[ClassRules, ...]) -> tuple[ClassRules, ...]:
    held = {each.name: each for each in b}
    met = (_class_meet(each, held[each.name]) for each in a if each.name in held)
    return tuple(each for each in met if each is not None)


def _shares_within(a: tuple[tuple[str, int], ...], b: tuple[tuple[str, int], ...]) -> bool:
    held = dict(b)
    return all(share <= held.get(name, 0) for name, share in a)


def _shares_meet(
    a: tuple[tuple[str, int], ...], b: tuple[tuple[str, int], ...]
) -> tuple[tuple[str, int], ...]:
    held = dict(b)
    return tuple((name, min(share, held.get(name, 0))) for name, share in a)


def _closing(windows: tuple[WindowRules, ...]) -> set[WindowRules]:
    """What windows close, whatever they are called."""
    return {replace(each, name="") for each in windows}


def _windows_meet(
    a: tuple[WindowRules, ...], b: tuple[WindowRules, ...]
) -> tuple[WindowRules, ...]:
    """All of both, those that close the same once; where two of one name differ, one goes by another for the step."""
    named: dict[WindowRules, str] = {}
    for each in sorted((*a, *b), key=lambda each: each.name):
        named.setdefault(replace(each, name=""), each.name)
    met: dict[str, WindowRules] = {}
    for closing, name in sorted(named.items(), key=lambda pair: (pair[1], repr(pair[0]))):
        while name in met:
            name += "+"
        met[name] = replace(closing, name=name)
    return tuple(met.values())


_NAMED = _Order(
    lambda a, b: set(a) >= set(b), lambda a, b: tuple(set(a) | set(b))
)  # more of them allow less
_LESS = _Order(lambda a, b: a <= b, min)  # a smaller figure allows less
_MORE = _Order(lambda a, b: a >= b, max)  # a larger figure allows less
_FIELDS: dict[str, _Order] = {
    "classes": _Order(_classes_within, _classes_meet),
    "attempts_most": _LESS,
    "cold_us": _MORE,  # a machine counts as cold for longer
    "cold_window_us": _MORE,  # the same offers within a longer time
    "cold_shares": _Order(_shares_within, _shares_meet),
    "drain_grace_us": _LESS,
    "barred": _NAMED,
    "windows": _Order(lambda a, b: _closing(a) >= _closing(b), _windows_meet),
    "asked": _NAMED,
    "cancelled": _Order(lambda a, b: set(a) <= set(b), lambda a, b: tuple(set(a) & set(b))),
    "plan": _Order(plan_within, plan_meet),
    "limits": _Order(limits_allow, limits_intersection),
    "federation": _Order(compare.within, compare.meet),
}


def allows(a: RuleSet, b: RuleSet) -> bool:
    """Whether whatever `a` allows, `b` allows too."""
    return all(order.within(getattr(a, name), getattr(b, name)) for name, order in _FIELDS.items())


def keeps_floor(floor: RuleSet, rules: RuleSet) -> bool:
    """Whether rules allow what a floor does; of drains who is cut off hears later, of limits it holds nothing."""
    return all(
        order.within(getattr(floor, name), getattr(rules, name))
        for name, order in _FIELDS.items()
        if name not in FLOORLESS
    )


def contradict(a: RuleSet, b: RuleSet) -> bool:
    """Whether each allows something that the other forbids."""
    return not allows(a, b) and not allows(b, a)


def intersection(a: RuleSet, b: RuleSet) -> RuleSet:
    """What both allow, and no more."""
    return normalized(
        RuleSet(
            **{
                name: order.intersection(getattr(a, name), getattr(b, name))
                for name, order in _FIELDS.items()
            }
        )
    )
