"""Interfaces of subsystems: state machines that share the replicated log, at voters and at every placer.

The rule set is one part of the replicated state; sessions, quotas, maintenance slots and remote regions are others. The
name of a subsystem identifies its log entries, of kind `NAME/KIND`, its field of a placer's `LeaseRequest`, and its
field of the `LeaseGrant` in response. `Coordinator` and `Leader` depend on these names only, not on the contents. A
leader delivers a report to a subsystem, and responds to it, only after a majority of the voters has confirmed its
leadership since the report arrived (ReadIndex, Ongaro 2014, 6.4).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias, TypeVar

from wingbarrow.decide.effects import Effect
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet

# A JSON object as read and written by `json`; each subsystem defines the keys of its own entries.
JsonObject: TypeAlias = dict[str, Any]

ReportT_contra = TypeVar("ReportT_contra", contravariant=True)
ResponseT_co = TypeVar("ResponseT_co", covariant=True)
ResponseT_contra = TypeVar("ResponseT_contra", contravariant=True)
ReportT_co = TypeVar("ReportT_co", covariant=True)


@dataclass(frozen=True, slots=True)
class Proposal:
    """An entry to propose: `kind` without the subsystem's name, `value` as a JSON object."""

    kind: str
    value: JsonObject


class ReplicatedSubsystem(Protocol[ReportT_contra, ResponseT_co]):
    """A subsystem at a voter: its replicated state and, at the leader, its reports and responses.

    `Coordinator` calls `apply`, `snapshot` and `restore` at every voter; they must be deterministic, without clocks or
    random numbers, so that all voters reach the same state. `Leader` calls the other methods, at the leader only.
    """

    name: str

    def apply(self, kind: str, value: JsonObject) -> None:
        """Apply one committed entry; idempotent, as the same entry may be committed twice.

        Raises ValueError, KeyError or TypeError if the entry cannot be read; the state is then unchanged.
        """

    def snapshot(self) -> str:
        """The complete replicated state as text; called when the log is compacted."""

    def restore(self, text: str) -> None:
        """Replace the state by that of a `snapshot`; "" is the initial state."""

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """Handle a leadership change: drop all state that is not replicated. `is_leader`: this voter was elected."""

    def on_report(self, now_us: int, requester: Requester, report: ReportT_contra) -> None:
        """Handle a placer's report, after leadership was confirmed; not called for requests without a report."""

    def response_for(self, now_us: int, requester: Requester) -> ResponseT_co | None:
        """This subsystem's field of the grant to a placer; None for no response.

        Called for each request, with or without a report, after all reports of the batch were handled.
        """

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """The entries to propose, and the time in microseconds by which to call again (None: after the next batch).

        Called after each batch of requests, and only while no entry is uncommitted.
        """


class MemberSubsystem(Protocol[ReportT_co, ResponseT_contra]):
    """A subsystem at every placer. `LeaseClient` calls `report` for each request, `on_response` for each grant."""

    name: str

    def report(self, now_us: int) -> ReportT_co | None:
        """This subsystem's field of the next request; None for no report."""

    def on_response(
        self, now_us: int, requested_us: int, response: ResponseT_contra | None
    ) -> list[Effect]:
        """Handle the field of a grant, requested at `requested_us`; None if the leader sent no response."""


# Subsystems with different report and response types, which are matched by `name` only.
AnyReplicatedSubsystem: TypeAlias = ReplicatedSubsystem[Any, Any]
AnyMemberSubsystem: TypeAlias = MemberSubsystem[Any, Any]
