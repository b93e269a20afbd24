"""What the voters' log decides beside rules: each thing a chapter, with its part of the log, of asks and of grants.

`agreement` hosts chapters by name and knows nothing of what they are about. An entry of kind `sessions/ended` is given
to the chapter `sessions` as `ended`; its part of an ask is the field of that name (`asking.Ask.sessions`), likewise of
a grant. Only a leader that a majority has followed since an ask hears it and answers it, as with grants of rules.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from wingbarrow.decide.effects import Effect
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet


@dataclass(frozen=True, slots=True)
class Proposal:
    """An entry to be decided: `kind` without the chapter's name, `value` as JSON takes it."""

    kind: str
    value: dict[str, Any]


class ReplicatedSubsystem(Protocol):
    """The voters' side: `apply`, `text` and `restore` make the same state at every voter; the rest is the leader's."""

    name: str

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Take one decided entry; ValueError, KeyError or TypeError where it cannot be read: then nothing changed."""

    def snapshot(self) -> str:
        """All of the replicated state, for a snapshot."""

    def restore(self, text: str) -> None:
        """What `text` gave; an empty one is the state at the beginning."""

    def on_leadership_change(self, now_us: int, on: bool) -> None:
        """This voter leads from now on, and knows nothing that is not in the log; or does so no longer."""

    def on_report(self, now_us: int, asker: Requester, said: Any) -> None:
        """At the leader: a placer's part of an ask that a majority has confirmed since; None where it says nothing."""

    def response_for(self, now_us: int, asker: Requester) -> Any:
        """At the leader: its part of that placer's grant; None for nothing."""

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """At the leader: what is to be decided now, and when to ask again at the latest.

        Asked after each round, never while something that was proposed is not decided yet. What is proposed again is
        to change nothing the second time (`apply` checks).
        """


class MemberSubsystem(Protocol):
    """Every placer's side, a voter's too."""

    name: str

    def report(self, now_us: int) -> Any:
        """Its part of the next ask."""

    def on_response(self, now_us: int, asked_us: int, told: Any) -> list[Effect]:
        """The part of the grant that answers the ask of `asked_us`; None where the leader told nothing."""
