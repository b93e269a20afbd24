"""Sub-state machines of the voters' log: what each must offer at a voter, and at every placer.

The rule set is one part of the replicated state; sessions, quotas, maintenance slots and remote regions are others. A
subsystem has a name, and three things are found by it: its log entries, of kind `NAME/KIND`; its part of a placer's
`LeaseRequest`; its part of the `LeaseGrant` that answers. `Coordinator` and `Leader` know these names alone, and
nothing of what the parts mean. A leader passes a report on, and answers it, only after a majority of the voters has
followed it since the report came (ReadIndex, Ongaro 2014, 6.4).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias, TypeVar

from wingbarrow.decide.effects import Effect
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

# What `json` reads and writes as an object: each subsystem knows the keys of its own entries.
JsonObject: TypeAlias = dict[str, Any]

ReportT_contra = TypeVar("ReportT_contra", contravariant=True)
ResponseT_co = TypeVar("ResponseT_co", covariant=True)
ResponseT_contra = TypeVar("ResponseT_contra", contravariant=True)
ReportT_co = TypeVar("ReportT_co", covariant=True)


@dataclass(frozen=True, slots=True)
class Proposal:
    """An entry for the log: `kind` without the subsystem's name, `value` as it is written in JSON."""

    kind: str
    value: JsonObject


class ReplicatedSubsystem(Protocol[ReportT_contra, ResponseT_co]):
    """A voter's part: replicated state, and at the leader what its members report and are answered.

    `Coordinator` calls `apply`, `snapshot` and `restore` at every voter; they must come to the same state everywhere,
    so they may use neither a clock nor chance. `Leader` calls the other methods, at the leader alone.
    """

    name: str

    def apply(self, kind: str, value: JsonObject) -> None:
        """Apply one committed entry; the same entry may come twice, and then changes nothing the second time.

        Raises ValueError, KeyError or TypeError where the entry cannot be read; the state is then unchanged.
        """

    def snapshot(self) -> str:
        """The whole replicated state as text; called when the log is compacted."""

    def restore(self, text: str) -> None:
        """Replace the state by that of a `snapshot`; "" stands for the initial state."""

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """This voter was elected (`is_leader`), and knows only what the log says; or it leads no longer."""

    def on_report(self, now_us: int, requester: Requester, report: ReportT_contra) -> None:
        """A placer's report, leadership confirmed since. Not called where the request has no such part."""

    def response_for(self, now_us: int, requester: Requester) -> ResponseT_co | None:
        """This subsystem's part of the grant to a placer; None for nothing.

        Called for each request, with or without a report, once the whole batch's reports are in.
        """

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """What to propose now, and when to be called again at the latest (None: after the next batch of requests).

        Called after each batch of requests, and only while no entry is uncommitted.
        """


class MemberSubsystem(Protocol[ReportT_co, ResponseT_contra]):
    """Every placer's part, a voter's too. `LeaseClient` calls it: `report` with each request, then `on_response`."""

    name: str

    def report(self, now_us: int) -> ReportT_co | None:
        """Its part of the next request; None for nothing."""

    def on_response(
        self, now_us: int, requested_us: int, response: ResponseT_contra | None
    ) -> list[Effect]:
        """Its part of the grant that answers the request of `requested_us`; None where the leader has sent none."""


# Subsystems of a placer, of different types: which report and response go together is known by `name` alone.
AnyReplicatedSubsystem: TypeAlias = ReplicatedSubsystem[Any, Any]
AnyMemberSubsystem: TypeAlias = MemberSubsystem[Any, Any]
