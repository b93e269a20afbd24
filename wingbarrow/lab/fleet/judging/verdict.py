"""The verdict on a run: counts of breaches, and the measured and stated times."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from wingbarrow.lab.audit import Audit

BREACHES = (
    "unfounded_burials",
    "late_burials",
    "not_healed",
    "contradictions",
    "forbidden_sends",
    "limit_overs",
    "unfounded_closures",
    "not_on_last",
    "ended_badly",
    "needless_refusals",
    "double_starts",
    "past_lease",
    "early_reissues",
    "lost_runs",
    "forbidden_regions",
    "turn_overs",
    "worked_on_busy",
    "turn_disorder",
    "double_answers",
)
MAX_NOTES = 100


@dataclass
class Verdict:
    """The verdict on a run; times in milliseconds, None where nothing of the kind was measured."""

    placers: int
    sends: int = 0
    faults: int = 0
    kills: int = 0
    burials: int = 0
    unfounded_burials: int = 0
    late_burials: int = 0
    not_healed: int = 0
    versions: int = 0  # of the rules, accepted during the run
    editions: int = 0  # of the rules, in use
    contradictions: int = 0
    longest_contradiction_ms: int = 0
    stated_ms: int = 0
    forbidden_sends: int = 0
    limit_overs: int = 0
    turned_away: int = 0  # by a limit of the whole fleet
    needless_refusals: int = 0
    needless_stated_ms: int = 0
    starved: int = (
        0  # half seconds with no processor for a fifth of them, in which no refusal is needless
    )
    closures: int = 0  # by outlier verdicts, counted for each machine and placer
    unfounded_closures: int = 0
    not_on_last: int = 0
    sends_on_floor: int = 0
    ended_badly: int = 0  # processes that ended unasked, or with a status other than 0
    detect_stated_ms: int = 0
    detect_longest_ms: int | None = None
    heal_stated_ms: int = 0
    heal_longest_ms: int | None = None
    slack_ms: int = 0
    regions: int = 0  # with machines; the fields below are about regions
    leased: int = 0  # Jobs accepted with a lease
    reissued: int = 0  # Jobs started again by a successor
    double_starts: int = 0
    past_lease: int = 0
    early_reissues: int = 0
    lost_runs: int = 0
    forbidden_regions: int = 0
    turns: int = 0  # asked for and taken into the queue
    turn_overs: int = 0
    worked_on_busy: int = 0
    turn_disorder: int = 0
    double_answers: int = (
        0  # by two placers; `line` adds those by one placer, which the audit counts
    )
    stated_reissue_ms: int = 0
    longest_reissue_ms: int = 0
    audit: Audit = field(default_factory=Audit)
    notes: list[str] = field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        """Names of the breach counts that are not 0, without the audit's."""
        return [name for name in BREACHES if getattr(self, name)]

    @property
    def clean(self) -> bool:
        """Whether neither this verdict nor the audit counted a breach."""
        return self.audit.clean and not self.broken

    def breach(self, name: str, note: str) -> None:
        """Counts one breach and notes it, up to `MAX_NOTES` notes."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.notes) < MAX_NOTES:
            self.notes.append(note)

    def line(self) -> dict[str, Any]:
        """The JSON object that ends the output of a run, with the audit's counts."""
        own = {key: value for key, value in vars(self).items() if key not in ("audit", "notes")}
        audit = {key: value for key, value in self.audit.line().items() if key != "kind"}
        return {
            "kind": "verdict",
            **own,
            **audit,
            "double_answers": self.double_answers + self.audit.double_answers,
        }
