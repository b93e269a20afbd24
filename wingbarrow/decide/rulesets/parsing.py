"""Parses rule sets from JSON text and checks them, also against the bounds that keep a snapshot in one message; no I/O.

Under a rule set without faults a placer can keep the five rules of docs/architecture.md.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import fields, replace
from typing import Any

from wingbarrow.decide.federation import encoding
from wingbarrow.decide.federation.faults import effect_conflict
from wingbarrow.decide.quotas.limits import FleetLimit, check_limits
from wingbarrow.decide.rulesets.agreed_drains import (
    AskedDrain,
    check_drains,
    read_plan,
    read_window,
)
from wingbarrow.decide.rulesets.ruleset import (
    EFFECTS,
    NO_FEDERATION,
    OPTIONAL_FIELDS,
    SPREAD_DOMAINS,
    ClassRules,
    RuleSet,
    RuleSetError,
    canonical_json,
    normalized,
)

MAX_CLASSES = 256
MAX_NAMES = 4096
MAX_NAME_CHARS = 253
MAX_SPREAD = 1_000_000
MAX_COLD_SHARE = 1_000_000
MAX_ATTEMPTS = 100
MAX_COLD_US = 86_400_000_000
HOUR_US = 3_600_000_000
# Of the text without the federation, so that a full snapshot fits into one message.
MAX_TEXT_CHARS = 32 * 1024
MAX_ESCAPED_CHARS = MAX_TEXT_CHARS * 3 // 2  # of the same text in a message, with escaped quotes
MAX_REASON_CHARS = 120


def parse_rule_set(text: str) -> RuleSet:
    """The rule set of a JSON text, canonical or not, in its canonical form; raises RuleSetError for an invalid one."""
    if len(text) > MAX_TEXT_CHARS + encoding.MAX_FEDERATION_CHARS:
        raise RuleSetError(
            f"{len(text)} characters; {MAX_TEXT_CHARS}, and {encoding.MAX_FEDERATION_CHARS} of a federation, "
            "are the most"
        )
    try:
        rules = normalized(RuleSet(**_read_fields(text)))
    except RuleSetError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise RuleSetError(f"no rule set: {str(error)[:MAX_REASON_CHARS]}") from error
    faults = check_rule_set(rules) + length_faults(rules)
    if faults:
        raise RuleSetError(*faults)
    return rules


def _read_fields(text: str) -> dict[str, Any]:
    value = json.loads(text)
    names = {each.name for each in fields(RuleSet)}
    if not isinstance(value, dict) or set(value) | set(OPTIONAL_FIELDS) != names:
        raise RuleSetError("not the fields of a rule set")
    value["federation"] = encoding.decode(value.get("federation", ""))
    value |= {
        "classes": tuple(ClassRules(**each) for each in value["classes"]),
        "cold_shares": tuple((name, share) for name, share in value["cold_shares"]),
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
    return value


def split_federation(rules: RuleSet) -> tuple[str, str]:
    """The text of the rule set without its federation, and the text of the federation."""
    return replace(rules, federation=NO_FEDERATION).text(), encoding.encode(rules.federation)


def join_federation(rest: str, federation: str) -> str:
    """Inverse of `split_federation`; the text is canonical if both parts are."""
    if not federation:
        return rest
    return canonical_json({**json.loads(rest), "federation": federation})


def length_faults(rules: RuleSet) -> list[str]:
    """Parts of a rule set's text that are too long to store and send, one sentence each."""
    rest, federation = split_federation(rules)
    faults = []
    if len(rest) > MAX_TEXT_CHARS or len(json.dumps(rest)) > MAX_ESCAPED_CHARS:
        faults.append(
            f"{len(rest)} characters without the federation; {MAX_TEXT_CHARS} are the most, "
            f"and {MAX_ESCAPED_CHARS} with what mail puts before quotation marks"
        )
    if len(federation) > encoding.MAX_FEDERATION_CHARS:
        faults.append(
            f"{len(federation)} characters of specs and data sets; {encoding.MAX_FEDERATION_CHARS} are the most"
        )
    return faults


def check_rule_set(rules: RuleSet) -> list[str]:
    """Faults of a rule set by itself, one sentence each; empty if it can be used."""
    return [
        *_class_faults(rules),
        *_scheduling_faults(rules),
        *_federation_faults(rules),
        *check_drains(rules.windows, rules.asked, rules.cancelled, rules.plan),
        *check_limits(rules.limits),
        *encoding.bounds_violations(rules.federation),
    ]


def _is_int_between(value: object, low: int, high: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS


def _class_faults(rules: RuleSet) -> Iterator[str]:
    if not 0 < len(rules.classes) <= MAX_CLASSES:
        yield f"1 to {MAX_CLASSES} classes are wanted"
    if len({each.name for each in rules.classes}) != len(rules.classes):
        yield "a class is named twice"
    for each in rules.classes:
        if not _is_name(each.name):
            yield "a class without a name"
        if each.effect not in EFFECTS:
            yield f"{each.name}: effect is one of {', '.join(EFFECTS)}"
        if each.spread_by not in SPREAD_DOMAINS:
            yield f"{each.name}: spread by what?"
        if not _is_int_between(each.spread_most, 0 if each.spread_by == "none" else 1, MAX_SPREAD):
            yield f"{each.name}: spread most"


def _scheduling_faults(rules: RuleSet) -> Iterator[str]:
    if not _is_int_between(rules.attempts_most, 1, MAX_ATTEMPTS):
        yield f"attempts: 1 to {MAX_ATTEMPTS} are wanted"
    yield from _cold_faults(rules)
    if not _is_int_between(rules.drain_grace_us, 0, HOUR_US):
        yield "drain: a grace of at most an hour is wanted"
    if not all(_is_name(machine) for machine in rules.barred):
        yield "barred: a machine without a name"


def _cold_faults(rules: RuleSet) -> Iterator[str]:
    if not _is_int_between(rules.cold_us, 0, MAX_COLD_US):
        yield "cold: lasts at most a day"
    if not _is_int_between(rules.cold_window_us, 1, HOUR_US):
        yield "cold: a window of at most an hour is wanted"
    if len(rules.cold_shares) > MAX_NAMES or len(rules.barred) > MAX_NAMES:
        yield f"more than {MAX_NAMES} names"
    if not all(
        _is_name(placer) and _is_int_between(share, 0, MAX_COLD_SHARE)
        for placer, share in rules.cold_shares
    ):
        yield "cold: a share of whom?"
    if len({placer for placer, _ in rules.cold_shares}) != len(rules.cold_shares):
        yield "cold: two shares for one placer"


def _federation_faults(rules: RuleSet) -> Iterator[str]:
    effects = {each.name: each.effect for each in rules.classes}
    for task_class, name in rules.federation.uses:
        spec = rules.federation.specs_by_name.get(name)
        reason = effect_conflict(spec, effects.get(task_class, ""), 0) if spec is not None else ""
        if reason:
            yield f"{task_class}: federation {name} {reason}"
