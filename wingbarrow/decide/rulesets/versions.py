"""What voters have decided about rules: versions, the edition in force, the steps still to go, the floors.

Deterministic: the same entries in the same order make the same state at every voter. An *edition* is one step in force;
a version that contradicts the one before takes two, by way of what both allow. Which edition placers may act on at a
time is told by grants (`agreement`); the next begins by a `step` entry, once the leader knows that those before have
lapsed.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from wingbarrow.decide.federation.form import MAX_FEDERATION
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.rulesets.ruleset import (
    MAILED_MOST,
    RuleSet,
    RuleSetError,
    apart,
    check,
    contradict,
    intersection,
    joined,
    keeps_floor,
    parse_rule_set,
    too_long,
)

# A snapshot goes in one mail of 1 MiB. Counted as mailed: in force and two steps, versions, floors, federations (each
# once, whoever names it), outcomes; what is left is for `chapters`.
VERSIONS_MOST, VERSIONS_MAILED = 64, 160 * 1024  # kept; older ones are known by number alone
FEDERATIONS_MOST = (
    3 * MAX_FEDERATION + 64 * 1024
)  # in force, two steps, and those of versions before
FLOORS_MAILED = 96 * 1024
IDENTS_MOST, OUTCOME_MOST = (
    256,
    200,
)  # proposals whose outcome is remembered, for those that are sent again
OUTCOMES_MAILED = IDENTS_MOST * (OUTCOME_MOST + 120)
SNAPSHOT_MOST = (
    3 * MAILED_MOST + VERSIONS_MAILED + FEDERATIONS_MOST + FLOORS_MAILED + OUTCOMES_MAILED
)
CHAPTERS_MAILED = (
    128 * 1024
)  # all chapters' texts together, as mailed: what their own bounds come to must stay below
RECOVERED = "recovered"  # the kind of the entry by which one voter went on alone
EDITIONS_LEFT = 1000  # for those that may have been decided by voters that were lost
FLOORS_MOST = 4  # that may be out at a time
DAY_US = 86_400_000_000


@dataclass(frozen=True, slots=True)
class Version:
    """One accepted version. `rules` is the text without the federation, which `Agreed.whole` adds."""

    number: int
    rules: str
    base: int
    by: str
    why: str
    digest: str
    federation: str = ""  # the digest of its text

    def mailed(self) -> int:
        """Its size in a snapshot."""
        return len(json.dumps(self.rules)) + len(json.dumps(json.dumps(self.by + self.why))) + 200


@dataclass(frozen=True, slots=True)
class Floor:
    """Rules that every version allows, and for how long one may go on by them without hearing of anybody."""

    number: int
    rules: str
    lasts_us: int


@dataclass(slots=True)
class RuleSetState:
    """The replicated state. Texts are the canonical ones of `rules`."""

    edition: int = 0  # in force; 0: nothing is agreed on yet
    rules: str = ""  # of that edition
    version: int = 0  # the latest accepted, which the steps lead to
    steps: list[str] = field(default_factory=list)  # rules of the editions still to come
    versions: list[Version] = field(default_factory=list)
    floors: list[Floor] = field(
        default_factory=list
    )  # the latest last; those before may still be out
    outcomes: dict[str, str] = field(
        default_factory=dict
    )  # by proposal: "" where it was accepted, else why not
    chapters: dict[str, str] = field(
        default_factory=dict
    )  # each one's text as of the last snapshot
    federations: dict[str, str] = field(
        default_factory=dict
    )  # texts of versions' by digest, the latest last

    def apply(self, kind: str, body: str) -> None:
        """Take one decided entry; what cannot be read changes nothing (it was checked before it was proposed)."""
        try:
            value = json.loads(body) if body else {}
            if kind == "propose":
                self._propose(value)
            elif kind == "step" and value["from"] == self.edition and self.steps:
                self.edition, self.rules = self.edition + 1, self.steps.pop(0)
            elif kind == RECOVERED and self.edition:
                self.edition += EDITIONS_LEFT
            elif kind == "floor":
                self._floor(value)
            elif kind == "floor-lapsed" and len(self.floors) > 1:
                self.floors = [each for each in self.floors if each.number >= value["number"]]
        except (ValueError, KeyError, TypeError, RuleSetError):
            return

    @property
    def latest(self) -> str:
        """The rules of the latest version; "" before there is one."""
        return self.steps[-1] if self.steps else self.rules

    def whole(self, version: Version) -> str | None:
        """The text of a version's rules; None where its federation is no longer kept."""
        if not version.federation:
            return version.rules
        federation = self.federations.get(version.federation)
        return None if federation is None else joined(version.rules, federation)

    # -- proposals

    def objection(self, base: int, text: str) -> str:
        """Why a version cannot be accepted now; "" where it can."""
        try:
            rules = parse_rule_set(text)
        except RuleSetError as error:
            return str(error)
        if base != self.version:
            return f"version {self.version} has been accepted since; yours is based on {base}: see `rules diff`"
        if rules.text() == self.latest:
            return "these are the rules already"
        for floor in self.floors:
            if not keeps_floor(parse_rule_set(floor.rules), rules):
                return f"it forbids what floor {floor.number} allows: lower the floor first"
        moved = self._moved(rules)
        if moved:
            return f"what a class is spread by cannot change while placers run: {', '.join(moved)}"
        return self._no_way(rules)

    def _no_way(self, rules: RuleSet) -> str:
        """Why the fleet cannot go to these rules by what both allow; "" where it can."""
        now = parse_rule_set(self.rules) if self.edition else rules
        if not contradict(now, rules):
            return ""
        between = intersection(now, rules)
        problems = too_long(between) + check(between)
        return (
            f"what both allow cannot be said, go in smaller steps: {'; '.join(problems)}"
            if problems
            else ""
        )

    def _moved(self, rules: RuleSet) -> list[str]:
        """Classes whose spread would be counted by other places than tasks already are."""
        if not self.edition:
            return []
        texts = [self.rules, *self.steps]
        held = {
            each.name: each.spread_by for text in texts for each in parse_rule_set(text).classes
        }
        return [
            each.name
            for each in rules.classes
            if held.get(each.name, each.spread_by) != each.spread_by
        ]

    def _propose(self, value: dict[str, Any]) -> None:
        ident = str(value["ident"])
        if ident in self.outcomes:
            return  # sent again: it has its outcome
        text = str(value["rules"])
        why_not = self.objection(int(value["base"]), text)
        self._remember(ident, why_not)
        if why_not:
            return
        rules = parse_rule_set(text)
        self.version += 1
        rest, federation = apart(rules)
        self.versions.append(
            Version(
                self.version,
                rest,
                int(value["base"]),
                str(value["by"])[:253],
                str(value["why"])[:500],
                rules.digest,
                _digest(federation),
            )
        )
        if federation:
            self.federations.pop(_digest(federation), None)
            self.federations[_digest(federation)] = federation
        self._go_to(rules)
        self._drop_old()

    def _go_to(self, rules: RuleSet) -> None:
        if not self.edition:
            self.edition, self.rules = 1, rules.text()
            return
        # From what is in force, whatever was still to come: a version proposed in the middle of a step to another takes
        # its place, and no more than two neighbouring editions are ever in use.
        now = parse_rule_set(self.rules)
        self.steps = (
            [intersection(now, rules).text(), rules.text()]
            if contradict(now, rules)
            else [rules.text()]
        )

    def _drop_old(self) -> None:
        """Versions, and federations that only they have, beyond what fits a snapshot."""
        self.versions = self.versions[-VERSIONS_MOST:]
        while sum(each.mailed() for each in self.versions) > VERSIONS_MAILED:
            del self.versions[0]
        named = {each.federation for each in self.versions}
        self.federations = {
            digest: text for digest, text in self.federations.items() if digest in named
        }
        used = [apart(parse_rule_set(text))[1] for text in (self.rules, *self.steps)]
        while (
            len(self.federations) > 1
            and sum(map(len, {*used, *self.federations.values()})) > FEDERATIONS_MOST
        ):
            del self.federations[next(iter(self.federations))]

    def _remember(self, ident: str, outcome: str) -> None:
        self.outcomes[ident] = outcome[:OUTCOME_MOST]
        while len(self.outcomes) > IDENTS_MOST:
            del self.outcomes[next(iter(self.outcomes))]

    # -- floors

    def floor_objection(self, text: str, lasts_us: int) -> str:
        """Why a floor cannot be taken now; "" where it can."""
        try:
            floor = parse_rule_set(text)
        except RuleSetError as error:
            return str(error)
        if not 0 < lasts_us <= DAY_US:
            return "a floor holds for at most a day"
        if len(self.floors) >= FLOORS_MOST:
            return "too many floors may still be out: wait for the oldest to lapse"
        if not self.edition:
            return "nothing is agreed on yet"
        held = [*(each.rules for each in self.floors), _of_floor(floor)]
        if sum(len(json.dumps(each)) + 200 for each in held) > FLOORS_MAILED:
            return f"more than {FLOORS_MAILED} characters of floors that may still be out: wait for the oldest to lapse"
        for each in [self.rules, *self.steps]:
            if not keeps_floor(floor, parse_rule_set(each)):
                return "it allows what the rules in force, or still to come, forbid"
        return ""

    def _floor(self, value: dict[str, Any]) -> None:
        ident = str(value["ident"])
        if ident in self.outcomes:
            return
        why_not = self.floor_objection(str(value["rules"]), int(value["lasts_us"]))
        self._remember(ident, why_not)
        if not why_not:
            number = self.floors[-1].number + 1 if self.floors else 1
            self.floors.append(
                Floor(
                    number, _of_floor(parse_rule_set(str(value["rules"]))), int(value["lasts_us"])
                )
            )

    # -- snapshots

    def text(self) -> str:
        """All of it. Rules stand in it as objects, so that mail puts fewer marks before theirs; a federation once."""
        parts = [
            apart(parse_rule_set(text)) if text else ("", "") for text in (self.rules, *self.steps)
        ]
        federations = dict(self.federations)
        for _, federation in parts:
            if federation:
                federations.setdefault(_digest(federation), federation)
        named = [
            [json.loads(rest) if rest else "", _digest(federation)] for rest, federation in parts
        ]
        value = asdict(self) | {
            "rules": named[0],
            "steps": named[1:],
            "federations": federations,
            "kept": list(self.federations),
        }
        for each in (*value["versions"], *value["floors"]):
            each["rules"] = json.loads(each["rules"])
        return json.dumps(value, separators=(",", ":"))


def _digest(federation: str) -> str:
    return hashlib.blake2b(federation.encode(), digest_size=8).hexdigest() if federation else ""


def _of_floor(rules: RuleSet) -> str:
    """The text of a floor, which speaks of no federation: who goes by it keeps to the one that it knew."""
    return replace(rules, federation=Federation()).text()


def _text(value: Any) -> str:
    """Rules of a snapshot; those of before 2026-12 are texts already."""
    return (
        value
        if isinstance(value, str)
        else json.dumps(value, sort_keys=True, separators=(",", ":"))
    )


def from_text(text: str) -> RuleSetState:
    """What `text` gave; an empty one is the state at the beginning."""
    if not text:
        return RuleSetState()
    value = json.loads(text)
    federations = dict(value.get("federations", {}))

    def whole(named: Any) -> str:
        return (
            named
            if isinstance(named, str)
            else joined(_text(named[0]), federations[named[1]] if named[1] else "")
        )

    return RuleSetState(
        value["edition"],
        whole(value["rules"]),
        value["version"],
        [whole(each) for each in value["steps"]],
        [Version(**{**each, "rules": _text(each["rules"])}) for each in value["versions"]],
        [Floor(**{**each, "rules": _text(each["rules"])}) for each in value["floors"]],
        dict(value["outcomes"]),
        dict(value.get("chapters", {})),
        {digest: federations[digest] for digest in value.get("kept", ())},
    )
