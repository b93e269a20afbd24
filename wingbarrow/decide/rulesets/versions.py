"""Replicated state of the agreed rule sets: versions, the revision in force, transitions and floors; no I/O.

Deterministic: the same log entries in the same order give the same state at every voter. A *version* is an accepted
proposal; a *revision* is a rule set in force, numbered consecutively. A version that contradicts the one before takes
two revisions, the first of them the intersection of both, as in online schema change (F1, Rae et al. 2013): at most two
neighbouring revisions are in use. A lease names the revision that its placer may act on. A `step` entry puts the next
revision into force, once the leader knows that the leases of earlier ones have expired.

The JSON form of the state and the messages call a revision `edition`.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from wingbarrow.decide.federation.encoding import MAX_FEDERATION_CHARS
from wingbarrow.decide.rulesets.comparison import allows_floor, contradict, intersection
from wingbarrow.decide.rulesets.entries import (
    FloorEntry,
    FloorsExpiredEntry,
    ProposalEntry,
    StepEntry,
)
from wingbarrow.decide.rulesets.parsing import (
    MAX_ESCAPED_CHARS,
    check_rule_set,
    join_federation,
    length_faults,
    parse_rule_set,
    split_federation,
)
from wingbarrow.decide.rulesets.ruleset import (
    NO_FEDERATION,
    RuleSet,
    RuleSetError,
    canonical_json,
    digest_of,
)

# A snapshot is sent in one message of 1 MiB. Lengths are of escaped text: the rule set in force and two steps,
# versions, floors, federations (each only once), outcomes. The rest of the message is for the replicated subsystems.
MAX_VERSIONS = 64  # of older ones only the number is known
MAX_VERSIONS_CHARS = 160 * 1024
# The federations of three revisions, and of earlier versions.
MAX_FEDERATIONS_CHARS = 3 * MAX_FEDERATION_CHARS + 64 * 1024
MAX_FLOORS = 4  # that may be in use at a time
MAX_FLOORS_CHARS = 96 * 1024
MAX_OUTCOMES = 256  # of proposals, to answer a retry
MAX_OUTCOME_CHARS = 200
MAX_OUTCOMES_CHARS = MAX_OUTCOMES * (MAX_OUTCOME_CHARS + 120)
MAX_SNAPSHOT_CHARS = (
    3 * MAX_ESCAPED_CHARS
    + MAX_VERSIONS_CHARS
    + MAX_FEDERATIONS_CHARS
    + MAX_FLOORS_CHARS
    + MAX_OUTCOMES_CHARS
)
# Of the escaped snapshots of all subsystems together; their own bounds are lower.
MAX_SUBSYSTEMS_CHARS = 128 * 1024
MAX_AUTHOR_CHARS = 253
MAX_REASON_CHARS = 500
RECORD_OVERHEAD_CHARS = 200  # of a version or a floor, in addition to its texts
RECOVERED = "recovered"  # kind of the entry by which one voter recovers alone
REVISIONS_SKIPPED_AT_RECOVERY = 1000  # those that lost voters may have decided
DAY_US = 86_400_000_000


@dataclass(frozen=True, slots=True)
class Version:
    """An accepted version. `rules` is the text without the federation, which `RuleSetState.text_of` adds."""

    number: int
    rules: str
    base: int
    by: str
    why: str
    digest: str
    federation: str = ""  # digest of the federation's text; "" for none

    @property
    def snapshot_chars(self) -> int:
        """Escaped length of the version in a snapshot."""
        texts = len(json.dumps(self.rules)) + len(json.dumps(json.dumps(self.by + self.why)))
        return texts + RECORD_OVERHEAD_CHARS


@dataclass(frozen=True, slots=True)
class Floor:
    """Rules that every version allows, and for how long a placer that is cut off from the voters may act on them."""

    number: int
    rules: str
    lasts_us: int


@dataclass(slots=True)
class RuleSetState:
    """The replicated state. All texts of rule sets are canonical."""

    revision: int = 0  # in force; 0 before the first version
    rules: str = ""  # of that revision
    version: int = 0  # the latest accepted one, where the steps end
    steps: list[str] = field(default_factory=list)  # rules of the revisions that follow
    versions: list[Version] = field(default_factory=list)
    floors: list[Floor] = field(default_factory=list)  # latest last; earlier ones may be in use
    outcomes: dict[str, str] = field(default_factory=dict)  # by proposal: objection, "" for none
    subsystem_snapshots: dict[str, str] = field(default_factory=dict)  # by subsystem
    federations: dict[str, str] = field(default_factory=dict)  # texts by digest, latest last

    def apply(self, kind: str, body: str) -> None:
        """Apply a decided entry; an invalid one changes nothing (entries are checked before they are proposed)."""
        try:
            value = json.loads(body) if body else {}
            if kind == "propose":
                self._apply_proposal(ProposalEntry.from_entry(value))
            elif kind == "step":
                self._apply_step(StepEntry.from_entry(value))
            elif kind == "floor":
                self._apply_floor(FloorEntry.from_entry(value))
            elif kind == "floor-lapsed":
                self._apply_floors_expired(FloorsExpiredEntry.from_entry(value))
            elif kind == RECOVERED:
                self._apply_recovered()
        except (ValueError, KeyError, TypeError):
            return

    @property
    def latest(self) -> str:
        """The rules of the latest version; "" before the first one."""
        return self.steps[-1] if self.steps else self.rules

    def text_of(self, version: Version) -> str | None:
        """The text of a version's rules; None if its federation has been dropped."""
        if not version.federation:
            return version.rules
        federation = self.federations.get(version.federation)
        return None if federation is None else join_federation(version.rules, federation)

    # -- proposals

    def objection(self, base: int, text: str) -> str:
        """Why a version cannot be accepted now; "" if it can."""
        try:
            rules = parse_rule_set(text)
        except RuleSetError as error:
            return str(error)
        if base != self.version:
            return f"version {self.version} has been accepted since; yours is based on {base}: see `rules diff`"
        if rules.text() == self.latest:
            return "these are the rules already"
        return (
            self._floors_objection(rules)
            or self._spread_objection(rules)
            or self._transition_objection(rules)
        )

    def _floors_objection(self, rules: RuleSet) -> str:
        for floor in self.floors:
            if not allows_floor(parse_rule_set(floor.rules), rules):
                return f"it forbids what floor {floor.number} allows: lower the floor first"
        return ""

    def _spread_objection(self, rules: RuleSet) -> str:
        """Why no class may change its spread domain now, by which running tasks are counted; "" if none would."""
        if not self.revision:
            return ""
        spread_by = {
            each.name: each.spread_by
            for text in (self.rules, *self.steps)
            for each in parse_rule_set(text).classes
        }
        changed = [
            each.name
            for each in rules.classes
            if spread_by.get(each.name, each.spread_by) != each.spread_by
        ]
        if not changed:
            return ""
        return f"what a class is spread by cannot change while placers run: {', '.join(changed)}"

    def _transition_objection(self, rules: RuleSet) -> str:
        """Why no transition by way of the intersection leads to these rules; "" if one does."""
        in_force = parse_rule_set(self.rules) if self.revision else rules
        if not contradict(in_force, rules):
            return ""
        between = intersection(in_force, rules)
        faults = length_faults(between) + check_rule_set(between)
        if not faults:
            return ""
        return f"what both allow cannot be said, go in smaller steps: {'; '.join(faults)}"

    def _apply_proposal(self, proposal: ProposalEntry) -> None:
        if proposal.ident in self.outcomes:
            return  # a retry: its outcome is recorded
        objection = self.objection(proposal.base, proposal.rules)
        self._record_outcome(proposal.ident, objection)
        if objection:
            return
        rules = parse_rule_set(proposal.rules)
        rest, federation = split_federation(rules)
        federation_digest = _federation_digest(federation)
        self.version += 1
        self.versions.append(
            Version(
                number=self.version,
                rules=rest,
                base=proposal.base,
                by=proposal.by[:MAX_AUTHOR_CHARS],
                why=proposal.why[:MAX_REASON_CHARS],
                digest=rules.digest,
                federation=federation_digest,
            )
        )
        if federation:
            self.federations.pop(federation_digest, None)  # moves it to the end
            self.federations[federation_digest] = federation
        self._begin_transition(rules)
        self._drop_oldest()

    def _begin_transition(self, rules: RuleSet) -> None:
        """Begin the transition from the revision in force to a version; it replaces all pending steps."""
        if not self.revision:
            self.revision = 1
            self.rules = rules.text()
            return
        in_force = parse_rule_set(self.rules)
        self.steps = [rules.text()]
        if contradict(in_force, rules):
            self.steps.insert(0, intersection(in_force, rules).text())

    def _drop_oldest(self) -> None:
        """Drop the oldest versions, and federations that only they use, beyond the bounds of a snapshot."""
        self.versions = self.versions[-MAX_VERSIONS:]
        while sum(each.snapshot_chars for each in self.versions) > MAX_VERSIONS_CHARS:
            del self.versions[0]
        named = {each.federation for each in self.versions}
        self.federations = {
            digest: text for digest, text in self.federations.items() if digest in named
        }
        in_use = [split_federation(parse_rule_set(text))[1] for text in (self.rules, *self.steps)]
        while (
            len(self.federations) > 1
            and sum(map(len, {*in_use, *self.federations.values()})) > MAX_FEDERATIONS_CHARS
        ):
            del self.federations[next(iter(self.federations))]

    def _record_outcome(self, ident: str, outcome: str) -> None:
        self.outcomes[ident] = outcome[:MAX_OUTCOME_CHARS]
        while len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    # -- transitions

    def _apply_step(self, step: StepEntry) -> None:
        if step.from_revision == self.revision and self.steps:
            self.revision += 1
            self.rules = self.steps.pop(0)

    def _apply_recovered(self) -> None:
        if self.revision:
            self.revision += REVISIONS_SKIPPED_AT_RECOVERY

    # -- floors

    def floor_objection(self, text: str, lasts_us: int) -> str:
        """Why a floor cannot be accepted now; "" if it can."""
        try:
            floor = parse_rule_set(text)
        except RuleSetError as error:
            return str(error)
        if not 0 < lasts_us <= DAY_US:
            return "a floor holds for at most a day"
        if len(self.floors) >= MAX_FLOORS:
            return "too many floors may still be out: wait for the oldest to lapse"
        if not self.revision:
            return "nothing is agreed on yet"
        return self._floor_size_objection(floor) or self._floor_rules_objection(floor)

    def _floor_size_objection(self, floor: RuleSet) -> str:
        texts = [*(each.rules for each in self.floors), _floor_text(floor)]
        if sum(len(json.dumps(each)) + RECORD_OVERHEAD_CHARS for each in texts) <= MAX_FLOORS_CHARS:
            return ""
        return (
            f"more than {MAX_FLOORS_CHARS} characters of floors that may still be out: "
            "wait for the oldest to lapse"
        )

    def _floor_rules_objection(self, floor: RuleSet) -> str:
        for text in (self.rules, *self.steps):
            if not allows_floor(floor, parse_rule_set(text)):
                return "it allows what the rules in force, or still to come, forbid"
        return ""

    def _apply_floor(self, floor: FloorEntry) -> None:
        if floor.ident in self.outcomes:
            return
        objection = self.floor_objection(floor.rules, floor.lasts_us)
        self._record_outcome(floor.ident, objection)
        if not objection:
            number = self.floors[-1].number + 1 if self.floors else 1
            text = _floor_text(parse_rule_set(floor.rules))
            self.floors.append(Floor(number, text, floor.lasts_us))

    def _apply_floors_expired(self, expired: FloorsExpiredEntry) -> None:
        if len(self.floors) > 1:
            self.floors = [each for each in self.floors if each.number >= expired.number]

    # -- snapshots

    def text(self) -> str:
        """The state as JSON text.

        Rules are JSON objects in it, so that fewer quotes are escaped in a message; each federation occurs once.
        """
        federations = dict(self.federations)
        revisions = []
        for text in (self.rules, *self.steps):
            rest, federation = split_federation(parse_rule_set(text)) if text else ("", "")
            digest = _federation_digest(federation)
            if federation:
                federations.setdefault(digest, federation)
            revisions.append([json.loads(rest) if rest else "", digest])
        value = {
            "edition": self.revision,
            "rules": revisions[0],
            "version": self.version,
            "steps": revisions[1:],
            "versions": [_with_rules_as_object(asdict(each)) for each in self.versions],
            "floors": [_with_rules_as_object(asdict(each)) for each in self.floors],
            "outcomes": self.outcomes,
            "chapters": self.subsystem_snapshots,
            "federations": federations,
            "kept": list(self.federations),
        }
        return json.dumps(value, separators=(",", ":"))


def _with_rules_as_object(record: dict[str, Any]) -> dict[str, Any]:
    return {**record, "rules": json.loads(record["rules"])}


def _federation_digest(federation: str) -> str:
    return digest_of(federation) if federation else ""


def _floor_text(rules: RuleSet) -> str:
    """The text of a floor, which has no federation: a placer that acts on it keeps the federation that it has."""
    return replace(rules, federation=NO_FEDERATION).text()


def _rules_text(value: Any) -> str:
    """The canonical text of rules in a snapshot; snapshots from before 2026-12 have texts, later ones JSON objects."""
    return value if isinstance(value, str) else canonical_json(value)


def from_text(text: str) -> RuleSetState:
    """Decode a snapshot's text; an empty text stands for the initial state."""
    if not text:
        return RuleSetState()
    value = json.loads(text)
    federations = dict(value.get("federations", {}))

    def revision_text(revision: Any) -> str:
        if isinstance(revision, str):
            return revision
        rest, digest = revision
        return join_federation(_rules_text(rest), federations[digest] if digest else "")

    return RuleSetState(
        revision=value["edition"],
        rules=revision_text(value["rules"]),
        version=value["version"],
        steps=[revision_text(each) for each in value["steps"]],
        versions=[
            Version(**{**each, "rules": _rules_text(each["rules"])}) for each in value["versions"]
        ],
        floors=[Floor(**{**each, "rules": _rules_text(each["rules"])}) for each in value["floors"]],
        outcomes=dict(value["outcomes"]),
        subsystem_snapshots=dict(value.get("chapters", {})),
        federations={digest: federations[digest] for digest in value.get("kept", ())},
    )
