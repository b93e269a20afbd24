"""A rule set: what all placers of a region must agree on, its canonical text and digest; no I/O.

`parsing` parses and checks the text; `comparison` finds which of two rule sets allows more.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, fields, replace
from typing import Any

from wingbarrow.decide.federation import encoding
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.quotas.limits import FleetLimit, normalized_limits
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain, DrainPlan, WindowRules

EFFECTS = ("unsafe", "keyed", "safe")  # the strictest first
SPREAD_DOMAINS = ("none", "machine", "cell", "zone")
OPTIONAL_FIELDS = ("windows", "asked", "cancelled", "plan", "limits", "federation")
NO_DRAIN_PLAN = DrainPlan()
NO_FEDERATION = Federation()


class RuleSetError(ValueError):
    """An invalid rule set; `faults` has one sentence for each fault."""

    def __init__(self, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class ClassRules:
    """The properties of a task class that placers must agree on."""

    name: str
    effect: str  # of EFFECTS
    spread_by: str  # of SPREAD_DOMAINS
    spread_most: int


@dataclass(frozen=True, slots=True)
class RuleSet:
    """The rules of one version. Times are in microseconds. Field names are those of the JSON form.

    `cold_shares`: offers to one cold machine within the window, by placer; a placer that is not listed has none.
    """

    classes: tuple[ClassRules, ...]
    attempts_most: int
    cold_us: int
    cold_window_us: int
    cold_shares: tuple[tuple[str, int], ...]
    drain_grace_us: int
    barred: tuple[str, ...]  # machines that get no tasks
    windows: tuple[WindowRules, ...] = ()
    asked: tuple[AskedDrain, ...] = ()
    cancelled: tuple[str, ...] = ()  # keys of cancelled drains
    plan: DrainPlan = NO_DRAIN_PLAN
    limits: tuple[FleetLimit, ...] = ()  # fleet-wide
    federation: Federation = NO_FEDERATION

    def text(self) -> str:
        """The canonical JSON text, equal for equal rule sets; optional fields with their default value are omitted.

        Digests are computed over it, and members compare it, so its bytes must not change.
        """
        value = asdict(replace(self, federation=NO_FEDERATION))
        value["federation"] = encoding.encode(self.federation)
        for name in OPTIONAL_FIELDS:
            if getattr(self, name) == _DEFAULTS[name]:
                del value[name]
        return canonical_json(value)

    @property
    def digest(self) -> str:
        """BLAKE2b over the canonical text, 16 hexadecimal digits."""
        return digest_of(self.text())

    def cold_share(self, placer: str) -> int:
        """How many offers to one cold machine a placer may make within the window."""
        return dict(self.cold_shares).get(placer, 0)


_DEFAULTS: dict[str, Any] = {
    each.name: each.default for each in fields(RuleSet) if each.name in OPTIONAL_FIELDS
}


def canonical_json(value: Any) -> str:
    """The canonical text of a JSON value: sorted keys, no whitespace."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def digest_of(text: str) -> str:
    """BLAKE2b over a text, 16 hexadecimal digits."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def normalized(rules: RuleSet) -> RuleSet:
    """The canonical form: sorted by name, without shares of 0 and without a spread bound where it has no effect."""
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
        federation=encoding.normalized(rules.federation),
    )


def equal_shares(offers: int, placers: tuple[str, ...]) -> tuple[tuple[str, int], ...]:
    """Divide a cold budget into equal whole shares that sum to it; the first names get one more for the remainder."""
    share, remainder = divmod(offers, max(1, len(placers)))
    return tuple(
        (name, share + (index < remainder))
        for index, name in enumerate(sorted(placers))
        if share + (index < remainder)
    )
