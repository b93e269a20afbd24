"""The REST resource of the agreed rule sets, at any placer: state, proposals, floors, voters.

Other placers answer requests that only the leader can process with 307 and the leader's address, or 503 without a
known leader.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Self

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.rulesets.entries import FloorEntry, ProposalEntry
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet, RuleSetError, normalized
from wingbarrow.decide.rulesets.versions import RuleSetState
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.peers.ruleset_settings import with_current_drains
from wingbarrow.transport import Hub

DECISION_TIMEOUT_US = 5_000_000  # for a proposal to be decided
DECISION_POLL_US = 10_000
MAX_IDENT_CHARS = 100  # of an idempotency key, and of an author's name
MAX_REASON_CHARS = 500
MAX_CHANGE_ATTEMPTS = 5
PATH = "/apis/wingbarrow.io/v1/rules"


@dataclass(frozen=True, slots=True)
class _ProposalRequest:
    """The body of POST rules: a version, or with `lasts_us` a floor."""

    ident: str  # the proposal's idempotency key
    rules: str
    base: int
    lasts_us: int | None
    by: str
    why: str
    keep_drains: bool
    is_dry_run: bool

    @classmethod
    def from_body(cls, value: dict[str, Any], latest_version: int) -> Self:
        """Read the body; raises ApiError 422 if it is invalid."""
        ident, rules, lasts_us = value.get("ident"), value.get("rules"), value.get("lastsUs")
        if (
            not isinstance(ident, str)
            or not 0 < len(ident) <= MAX_IDENT_CHARS
            or not isinstance(rules, dict)
        ):
            raise ApiError(422, "ident (a name of its own) and rules are wanted", "Invalid")
        base = value.get("base", latest_version)
        if not isinstance(base, int) or (lasts_us is not None and not isinstance(lasts_us, int)):
            raise ApiError(422, "base and lastsUs are whole numbers", "Invalid")
        return cls(
            ident=ident,
            rules=json.dumps(rules),
            base=base,
            lasts_us=lasts_us,
            by=str(value.get("by", ""))[:MAX_IDENT_CHARS],
            why=str(value.get("why", ""))[:MAX_REASON_CHARS],
            keep_drains=bool(value.get("keepDrains")),
            is_dry_run=bool(value.get("dryRun")),
        )


class RuleSetsApi:
    """Routes below /apis/wingbarrow.io/v1/rules."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub = hub
        self._peering = peering

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer one request to the path `parts` below the API's root; raises ApiError if it is rejected."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees on rules with nobody: `agree` in its settings", "NotFound"
            )
        if request.method == "GET" and not parts:
            return Answer(200, names.encode(self._state(agreement)))
        if request.method == "POST" and parts in ([], ["voters"]):
            if not agreement.is_leader:
                return self._redirect_to_leader(agreement, request)
            value = self._body(request)
            if parts:
                return self._change_voters(value)
            return self._propose(agreement, value)
        raise ApiError(
            405 if parts in ([], ["voters"]) else 404, "GET or POST rules, POST rules/voters"
        )

    # -- used by other resources

    def redirect(self, request: Request) -> Answer | None:
        """The redirection of a request that only the leader can process; None at the leader.

        Raises ApiError 503 without voters in the settings, or without a known leader.
        """
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                503, "this placer takes part in nothing yet", "ServiceUnavailable", retry_after_s=1
            )
        return None if agreement.is_leader else self._redirect_to_leader(agreement, request)

    def latest(self) -> RuleSet | None:
        """At the leader: the rules of the latest version; None before the first one."""
        agreement = self._peering.agreement
        if agreement is None or not agreement.rule_set_state.latest:
            return None
        return parse_rule_set(agreement.rule_set_state.latest)

    def change(self, edit: Callable[[RuleSet], RuleSet], why: str) -> dict[str, Any]:
        """At the leader: propose the latest rules as changed by `edit`; retried if another version is accepted first.

        Returns the accepted `version`, and `floors`: for how long isolated placers may continue without it. Raises
        ApiError 409 if it is rejected, 503 before the first version, 504 if it is not decided in time.
        """
        agreement = self._peering.agreement
        if agreement is None or not agreement.rule_set_state.revision:
            raise ApiError(503, "nothing is agreed on yet", "ServiceUnavailable", retry_after_s=1)
        objection = ""
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            agreed = agreement.rule_set_state
            proposed = normalized(edit(parse_rule_set(agreed.latest))).text()
            if proposed == agreed.latest:
                return self._accepted_change(agreed)
            objection = agreed.objection(agreed.version, proposed)
            if objection:
                break
            proposal = ProposalEntry(
                ident=f"{agreement.name}-{self._hub.now_us()}-{attempt}",
                base=agreed.version,
                rules=proposed,
                by=agreement.name,
                why=why[:MAX_REASON_CHARS],
            )
            self._peering.propose("propose", proposal.to_entry())
            objection = self._outcome_of(agreement, proposal.ident)
            if not objection:
                return self._accepted_change(agreed)
        raise ApiError(409, objection, "Conflict")

    def _accepted_change(self, agreed: RuleSetState) -> dict[str, Any]:
        return {
            "version": agreed.version,
            "floors": [{"number": each.number, "lastsUs": each.lasts_us} for each in agreed.floors],
        }

    def _redirect_to_leader(self, agreement: Coordinator, request: Request) -> Answer:
        address = self._peering.address_of(agreement.leader) if agreement.leader else ""
        if not address:
            raise ApiError(
                503,
                "no leader is known now: too few voters hear each other",
                "ServiceUnavailable",
                retry_after_s=1,
            )
        return Answer(
            307,
            names.encode({"kind": "Leader", "name": agreement.leader, "address": address}),
            fields=[("Location", f"http://{address}{request.target}")],
        )

    def _body(self, request: Request) -> dict[str, Any]:
        try:
            return names.decode(request.body)
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from error

    # -- GET rules

    def _state(self, agreement: Coordinator) -> dict[str, Any]:
        now_us = self._hub.now_us()
        acting = agreement.rules_in_force(now_us)
        raft = agreement.raft
        state: dict[str, Any] = {
            "kind": "Rules",
            "apiVersion": "wingbarrow.io/v1",
            "placer": agreement.name,
            "leader": agreement.leader,
            "label": acting.label if acting else "",
            "rules": json.loads(acting.rules) if acting else None,
            "version": max(agreement.version, agreement.rule_set_state.version),
            "grantLeftUs": max(0, agreement.rules_lease.expires_us - now_us),
            "floorLeftUs": max(0, agreement.rules_lease.floor_expires_us - now_us),
        }
        if raft is not None and not raft.has_lost_state:
            state |= {"voters": list(raft.voters), "term": raft.persistent.term}
            state |= self._agreed_state(agreement.rule_set_state)
        if agreement.is_leader:
            state["holders"] = [
                {
                    "placer": name,
                    "edition": lease.revision,
                    "leftUs": max(0, lease.expires_us - now_us),
                    "lapsedUs": max(0, now_us - lease.expires_us),
                }
                for name, lease in sorted(agreement.lease_holders.items())
            ]
        return state

    def _agreed_state(self, agreed: RuleSetState) -> dict[str, Any]:
        return {
            "edition": agreed.revision,
            "steps": len(agreed.steps),
            "versions": [
                {
                    "number": each.number,
                    "by": each.by,
                    "why": each.why,
                    "base": each.base,
                    "digest": each.digest,
                    "rules": json.loads(agreed.text_of(each) or "null"),
                }
                for each in agreed.versions
            ],
            "floors": [
                {"number": each.number, "lastsUs": each.lasts_us, "rules": json.loads(each.rules)}
                for each in agreed.floors
            ],
        }

    # -- POST rules

    def _propose(self, agreement: Coordinator, value: dict[str, Any]) -> Answer:
        agreed = agreement.rule_set_state
        request = _ProposalRequest.from_body(value, agreed.version)
        rules = request.rules
        if request.keep_drains and agreed.revision:
            try:
                rules = with_current_drains(
                    parse_rule_set(rules), parse_rule_set(agreed.latest)
                ).text()
            except RuleSetError as error:
                raise ApiError(409, str(error), "Conflict") from error
        outcome = agreed.outcomes.get(request.ident)
        if outcome is None:
            objection = (
                agreed.objection(request.base, rules)
                if request.lasts_us is None
                else agreed.floor_objection(rules, request.lasts_us)
            )
            if objection or request.is_dry_run:
                return self._answer(agreement, objection, is_dry_run=request.is_dry_run)
            self._propose_entry(request, rules)
            outcome = self._outcome_of(agreement, request.ident)
        return self._answer(agreement, outcome, is_dry_run=False)

    def _propose_entry(self, request: _ProposalRequest, rules: str) -> None:
        if request.lasts_us is not None:
            floor = FloorEntry(request.ident, rules, request.by, request.why, request.lasts_us)
            self._peering.propose("floor", floor.to_entry())
            return
        proposal = ProposalEntry(request.ident, request.base, rules, request.by, request.why)
        entry = proposal.to_entry()
        entry["base"] = entry.pop(
            "base"
        )  # last: the order in which this resource has always encoded entries
        self._peering.propose("propose", entry)

    def _outcome_of(self, agreement: Coordinator, ident: str) -> str:
        """Wait until a proposal is decided; returns the objection, or "" if it was accepted.

        Raises ApiError 504 after `DECISION_TIMEOUT_US`.
        """
        end_us = self._hub.now_us() + DECISION_TIMEOUT_US
        while ident not in agreement.rule_set_state.outcomes:
            if self._hub.now_us() >= end_us:
                raise ApiError(
                    504,
                    "not decided yet: send it again under the same ident to learn what became of it",
                    "Timeout",
                )
            self._hub.sleep(DECISION_POLL_US)
        return agreement.rule_set_state.outcomes[ident]

    def _answer(self, agreement: Coordinator, objection: str, *, is_dry_run: bool) -> Answer:
        if objection:
            raise ApiError(409, objection, "Conflict")
        return Answer(
            200 if is_dry_run else 201,
            names.encode(
                {
                    "kind": "Accepted",
                    "version": agreement.rule_set_state.version,
                    "edition": agreement.rule_set_state.revision,
                    "steps": len(agreement.rule_set_state.steps),
                    "dryRun": is_dry_run,
                }
            ),
        )

    # -- POST rules/voters

    def _change_voters(self, value: dict[str, Any]) -> Answer:
        proposed = value.get("voters")
        if not isinstance(proposed, list) or not all(
            isinstance(each, str) and each for each in proposed
        ):
            raise ApiError(422, "voters: a list of names is wanted", "Invalid")
        if not self._peering.change_voters(tuple(dict.fromkeys(proposed))):
            raise ApiError(
                409, "one voter at a time, and not before the last change is decided", "Conflict"
            )
        return Answer(202, names.encode({"kind": "Voters", "voters": proposed}))
