"""What voters have decided about rules: versions, the edition in force, the steps still to go, the floors.

Deterministic: the same entries in the same order make the same state at every voter. An *edition* is one step in force;
a version that contradicts the one before takes two, by way of what both allow. Which edition placers may act on at a
time is told by grants (`agreement`); the next begins by a `step` entry, once the leader knows that those before have
lapsed.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from wingbarrow.decide.peers.rules import BadRules, RuleSet, contradict, keeps_floor, meet, read

VERSIONS_MOST, VERSIONS_CHARS = 64, 128 * 1024  # kept whole; older ones are known by number alone
IDENTS_MOST = 256  # proposals whose outcome is remembered, for those that are sent again
RECOVERED = "recovered"  # the kind of the entry by which one voter went on alone
EDITIONS_LEFT = 1000  # for those that may have been decided by voters that were lost
FLOORS_MOST = 4  # that may be out at a time
DAY_US = 86_400_000_000


@dataclass(frozen=True, slots=True)
class Version:
    """One accepted version."""

    number: int
    rules: str
    base: int
    by: str
    why: str
    digest: str


@dataclass(frozen=True, slots=True)
class Floor:
    """Rules that every version allows, and for how long one may go on by them without hearing of anybody."""

    number: int
    rules: str
    lasts_us: int


@dataclass(slots=True)
class Agreed:
    """The replicated state. Texts are the canonical ones of `rules`."""

    edition: int = 0  # in force; 0: nothing is agreed on yet
    rules: str = ""  # of that edition
    version: int = 0  # the latest accepted, which the steps lead to
    steps: list[str] = field(default_factory=list)  # rules of the editions still to come
    versions: list[Version] = field(default_factory=list)
    floors: list[Floor] = field(default_factory=list)  # the latest last; those before may still be out
    outcomes: dict[str, str] = field(default_factory=dict)  # by proposal: "" where it was accepted, else why not
    chapters: dict[str, str] = field(default_factory=dict)  # each one's text as of the last snapshot

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
        except (ValueError, KeyError, TypeError, BadRules):
            return

    @property
    def latest(self) -> str:
        """The rules of the latest version; "" before there is one."""
        return self.steps[-1] if self.steps else self.rules

    # -- proposals

    def objection(self, base: int, text: str) -> str:
        """Why a version cannot be accepted now; "" where it can."""
        try:
            rules = read(text)
        except BadRules as error:
            return str(error)
        if base != self.version:
            return f"version {self.version} has been accepted since; yours is based on {base}: see `rules diff`"
        if rules.text() == self.latest:
            return "these are the rules already"
        for floor in self.floors:
            if not keeps_floor(read(floor.rules), rules):
                return f"it forbids what floor {floor.number} allows: lower the floor first"
        moved = self._moved(rules)
        return f"what a class is spread by cannot change while placers run: {', '.join(moved)}" if moved else ""

    def _moved(self, rules: RuleSet) -> list[str]:
        """Classes whose spread would be counted by other places than tasks already are."""
        if not self.edition:
            return []
        texts = [self.rules, *self.steps]
        held = {each.name: each.spread_by for text in texts for each in read(text).classes}
        return [each.name for each in rules.classes if held.get(each.name, each.spread_by) != each.spread_by]

    def _propose(self, value: dict[str, Any]) -> None:
        ident = str(value["ident"])
        if ident in self.outcomes:
            return  # sent again: it has its outcome
        text = str(value["rules"])
        why_not = self.objection(int(value["base"]), text)
        self._remember(ident, why_not)
        if why_not:
            return
        rules = read(text)
        self.version += 1
        self.versions.append(Version(self.version, rules.text(), int(value["base"]), str(value["by"])[:253],
                                     str(value["why"])[:500], rules.digest))
        self.versions = self.versions[-VERSIONS_MOST:]
        while sum(len(each.rules) for each in self.versions) > VERSIONS_CHARS:
            del self.versions[0]
        if not self.edition:
            self.edition, self.rules = 1, rules.text()
            return
        # From what is in force, whatever was still to come: a version proposed in the middle of a step to another takes
        # its place, and no more than two neighbouring editions are ever in use.
        now = read(self.rules)
        self.steps = [meet(now, rules).text(), rules.text()] if contradict(now, rules) else [rules.text()]

    def _remember(self, ident: str, outcome: str) -> None:
        self.outcomes[ident] = outcome
        while len(self.outcomes) > IDENTS_MOST:
            del self.outcomes[next(iter(self.outcomes))]

    # -- floors

    def floor_objection(self, text: str, lasts_us: int) -> str:
        """Why a floor cannot be taken now; "" where it can."""
        try:
            floor = read(text)
        except BadRules as error:
            return str(error)
        if not 0 < lasts_us <= DAY_US:
            return "a floor holds for at most a day"
        if len(self.floors) >= FLOORS_MOST:
            return "too many floors may still be out: wait for the oldest to lapse"
        if not self.edition:
            return "nothing is agreed on yet"
        for each in [self.rules, *self.steps]:
            if not keeps_floor(floor, read(each)):
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
            self.floors.append(Floor(number, read(str(value["rules"])).text(), int(value["lasts_us"])))

    # -- snapshots

    def text(self) -> str:
        """All of it."""
        return json.dumps(asdict(self), sort_keys=True, separators=(",", ":"))


def from_text(text: str) -> Agreed:
    """What `text` gave; an empty one is the state at the beginning."""
    if not text:
        return Agreed()
    value = json.loads(text)
    return Agreed(value["edition"], value["rules"], value["version"], list(value["steps"]),
                  [Version(**each) for each in value["versions"]], [Floor(**each) for each in value["floors"]],
                  dict(value["outcomes"]), dict(value.get("chapters", {})))
