"""What is another between two rule sets, in words; no I/O."""

from __future__ import annotations

from dataclasses import fields

from wingbarrow.decide.federation import compare
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain, DrainPlan
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet


def differences(a: RuleSet, b: RuleSet) -> list[str]:
    """What is another in `b`, in words, a line each."""
    out: list[str] = []
    for name in (each.name for each in fields(RuleSet)):
        one, other = getattr(a, name), getattr(b, name)
        if one == other:
            continue
        if name == "classes":
            before, after = ({each.name: each for each in side} for side in (one, other))
            for key in sorted(before.keys() | after.keys()):
                if before.get(key) != after.get(key):
                    out.append(
                        f"class {key}: {_words(before.get(key))} -> {_words(after.get(key))}"
                    )
        elif name == "cold_shares":
            mine, theirs = dict(one), dict(other)
            out += [
                f"cold share of {key}: {mine.get(key, 0)} -> {theirs.get(key, 0)}"
                for key in sorted(mine.keys() | theirs.keys())
                if mine.get(key, 0) != theirs.get(key, 0)
            ]
        elif name == "windows":
            old, new = ({each.name: each for each in side} for side in (one, other))
            out += [
                f"window {key}: {'changed' if key in old and key in new else 'new' if key in new else 'gone'}"
                for key in sorted(old.keys() | new.keys())
                if old.get(key) != new.get(key)
            ]
        elif name in ("asked", "cancelled"):
            word = "drain asked for" if name == "asked" else "drain taken back"
            out += [f"{word}: {_drain(each)}" for each in sorted(set(other) - set(one))]
            out += [f"no longer a {word}: {_drain(each)}" for each in sorted(set(one) - set(other))]
        elif name == "limits":
            told, new = ({each.key: each for each in side} for side in (one, other))
            out += [
                f"limit {key}: {_limit(told.get(key))} -> {_limit(new.get(key))}"
                for key in sorted(told.keys() | new.keys())
                if told.get(key) != new.get(key)
            ]
        elif name == "federation":
            out += compare.differences(one, other)
        elif name == "plan":
            out += [
                f"drains, {field.name.replace('_', ' ')}: {getattr(one, field.name)} -> "
                f"{getattr(other, field.name)}"
                for field in fields(DrainPlan)
                if getattr(one, field.name) != getattr(other, field.name)
            ]
        elif name == "barred":
            out += [f"barred: {key}" for key in sorted(set(other) - set(one))]
            out += [f"no longer barred: {key}" for key in sorted(set(one) - set(other))]
        else:
            out.append(f"{name.replace('_', ' ')}: {one} -> {other}")
    return out


def _limit(limit: FleetLimit | None) -> str:
    if limit is None:
        return "none"
    return (
        f"{limit.most}"
        + (f" in {limit.window_us / 1_000_000:g} s" if limit.window_us else "")
        + f" among {len(limit.among)}, stranded for {limit.stranded_us / 1_000_000:g} s"
    )


def _drain(each: AskedDrain | str) -> str:
    return each if isinstance(each, str) else f"{each.machine} for {each.lasts_us // 1_000_000} s"


def _words(rules: ClassRules | None) -> str:
    if rules is None:
        return "not there"
    return f"{rules.effect}" + (
        f", {rules.spread_most} by {rules.spread_by}" if rules.spread_by != "none" else ""
    )
