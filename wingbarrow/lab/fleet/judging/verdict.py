"""What a run came to."""

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
    """What a run came to; times in milliseconds, None where nothing of the kind happened."""

    placers: int
    sends: int = 0
    faults: int = 0
    kills: int = 0
    burials: int = 0
    unfounded_burials: int = 0
    late_burials: int = 0
    not_healed: int = 0
    versions: int = 0  # accepted while it was played
    editions: int = 0  # in use
    contradictions: int = 0
    longest_contradiction_ms: int = 0
    stated_ms: int = 0
    forbidden_sends: int = 0
    limit_overs: int = 0
    turned_away: int = 0  # by a limit of the whole fleet
    needless_refusals: int = 0
    needless_stated_ms: int = 0
    starved: int = 0  # half seconds in which a process got no processor for a fifth: no refusal is needless then
    closures: int = 0  # of a machine to a placer, by a verdict
    unfounded_closures: int = 0
    not_on_last: int = 0
    sends_on_floor: int = 0
    ended_badly: int = 0  # processes that ended by themselves, or not with status 0 when asked to
    detect_stated_ms: int = 0
    detect_longest_ms: int | None = None
    heal_stated_ms: int = 0
    heal_longest_ms: int | None = None
    slack_ms: int = 0
    regions: int = 0  # with machines; all that follows is about them
    leased: int = 0  # Jobs accepted
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
    double_answers: int = 0  # by two placers; with the audit's, by one
    stated_reissue_ms: int = 0
    longest_reissue_ms: int = 0
    audit: Audit = field(default_factory=Audit)
    notes: list[str] = field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        """Names of the lines that are not 0, beside the audit's."""
        return [name for name in BREACHES if getattr(self, name)]

    @property
    def clean(self) -> bool:
        """Whether nothing was broken."""
        return self.audit.clean and not self.broken

    def breach(self, name: str, words: str) -> None:
        """Count one of a kind, and note it while there is room."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.notes) < MAX_NOTES:
            self.notes.append(words)

    def line(self) -> dict[str, Any]:
        """The last line of a run."""
        own = {key: value for key, value in vars(self).items() if key not in ("audit", "notes")}
        audit = {key: value for key, value in self.audit.line().items() if key != "kind"}
        return {
            "kind": "verdict",
            **own,
            **audit,
            "double_answers": self.double_answers + self.audit.double_answers,
        }
