"""What operators ask about agreed rules, of any placer: state, proposals, floors, voters.

What only the leader can do is answered elsewhere with 307 and the leader's address; 503 where none is known.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet, RuleSetError, normalized
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.peers.ruleset_settings import keeping_drains
from wingbarrow.transport import Hub

DECIDED_US = 5_000_000
TEXT_MOST = 100
CHANGE_TRIES = 5
PATH = "/apis/wingbarrow.io/v1/rules"


class RulesFront:
    """Routes below /apis/wingbarrow.io/v1/rules."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub, self._peering = hub, peering

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer one request; ApiError for what is refused."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees on rules with nobody: `agree` in its settings", "NotFound"
            )
        if request.method == "GET" and not parts:
            return Answer(200, names.encode(self._state(agreement)))
        if request.method == "POST" and parts in ([], ["voters"]):
            if not agreement.is_leader:
                return self._elsewhere(agreement, request)
            value = self._body(request)
            return self._voters(agreement, value) if parts else self._propose(agreement, value)
        raise ApiError(
            405 if parts in ([], ["voters"]) else 404, "GET or POST rules, POST rules/voters"
        )

    def _elsewhere(self, agreement: Coordinator, request: Request) -> Answer:
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

    def away(self, request: Request) -> Answer | None:
        """Where the leader is, for what only that can do; None at the leader. ApiError where nothing is agreed on."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                503, "this placer takes part in nothing yet", "ServiceUnavailable", retry_after_s=1
            )
        return None if agreement.is_leader else self._elsewhere(agreement, request)

    def latest(self) -> RuleSet | None:
        """At the leader: the rules of the latest version; None before there is one."""
        agreement = self._peering.agreement
        return (
            parse_rule_set(agreement.agreed.latest)
            if agreement is not None and agreement.agreed.latest
            else None
        )

    def change(self, edit: Callable[[RuleSet], RuleSet], why: str) -> dict[str, Any]:
        """At the leader: have the latest rules changed, anew where another change came first; what was accepted.

        `floors`: for how long placers that are cut off may go on without hearing of it, where there are floors.
        """
        agreement, why_not = self._peering.agreement, ""
        if agreement is None or not agreement.agreed.revision:
            raise ApiError(503, "nothing is agreed on yet", "ServiceUnavailable", retry_after_s=1)
        for number in range(CHANGE_TRIES):
            agreed = agreement.agreed
            wanted = normalized(edit(parse_rule_set(agreed.latest))).text()
            if wanted != agreed.latest:
                why_not = agreed.objection(agreed.version, wanted)
                if why_not:
                    break
                ident = f"{agreement.name}-{self._hub.now_us()}-{number}"
                self._peering.propose(
                    "propose",
                    {
                        "ident": ident,
                        "base": agreed.version,
                        "rules": wanted,
                        "by": agreement.name,
                        "why": why[:500],
                    },
                )
                why_not = self._decided(agreement, ident)
                if why_not:
                    continue
            return {
                "version": agreed.version,
                "floors": [
                    {"number": each.number, "lastsUs": each.lasts_us} for each in agreed.floors
                ],
            }
        raise ApiError(409, why_not, "Conflict")

    def _body(self, request: Request) -> dict[str, Any]:
        try:
            return names.decode(request.body)
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from None

    def _state(self, agreement: Coordinator) -> dict[str, Any]:
        now, acting, raft = (
            self._hub.now_us(),
            agreement.rules_in_force(self._hub.now_us()),
            agreement.raft,
        )
        state: dict[str, Any] = {
            "kind": "Rules",
            "apiVersion": "wingbarrow.io/v1",
            "placer": agreement.name,
            "leader": agreement.leader,
            "label": acting.label if acting else "",
            "rules": json.loads(acting.rules) if acting else None,
            "version": max(agreement.version, agreement.agreed.version),
            "grantLeftUs": max(0, agreement.rules_lease.expires_us - now),
            "floorLeftUs": max(0, agreement.rules_lease.floor_expires_us - now),
        }
        if raft is not None and not raft.has_lost_state:
            agreed = agreement.agreed
            state |= {
                "voters": list(raft.voters),
                "term": raft.persistent.term,
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
                    {
                        "number": each.number,
                        "lastsUs": each.lasts_us,
                        "rules": json.loads(each.rules),
                    }
                    for each in agreed.floors
                ],
            }
        if agreement.is_leader:
            state["holders"] = [
                {
                    "placer": name,
                    "edition": lease.revision,
                    "leftUs": max(0, lease.expires_us - now),
                    "lapsedUs": max(0, now - lease.expires_us),
                }
                for name, lease in sorted(agreement.lease_holders.items())
            ]
        return state

    def _propose(self, agreement: Coordinator, value: dict[str, Any]) -> Answer:
        ident, rules, lasts = value.get("ident"), value.get("rules"), value.get("lastsUs")
        if (
            not isinstance(ident, str)
            or not 0 < len(ident) <= TEXT_MOST
            or not isinstance(rules, dict)
        ):
            raise ApiError(422, "ident (a name of its own) and rules are wanted", "Invalid")
        text, agreed = json.dumps(rules), agreement.agreed
        base = value.get("base", agreed.version)
        if not isinstance(base, int) or (lasts is not None and not isinstance(lasts, int)):
            raise ApiError(422, "base and lastsUs are whole numbers", "Invalid")
        if value.get("keepDrains") and agreed.revision:
            try:
                text = keeping_drains(parse_rule_set(text), parse_rule_set(agreed.latest)).text()
            except RuleSetError as error:
                raise ApiError(409, str(error), "Conflict") from None
        held = agreed.outcomes.get(ident)
        if held is None:
            why_not = (
                agreed.objection(base, text)
                if lasts is None
                else agreed.floor_objection(text, lasts)
            )
            if why_not or value.get("dryRun"):
                return self._outcome(agreement, why_not, bool(value.get("dryRun")))
            told = {
                "ident": ident,
                "rules": text,
                "by": str(value.get("by", ""))[:TEXT_MOST],
                "why": str(value.get("why", ""))[:500],
            }
            if lasts is None:
                self._peering.propose("propose", {**told, "base": base})
            else:
                self._peering.propose("floor", {**told, "lasts_us": lasts})
            held = self._decided(agreement, ident)
        return self._outcome(agreement, held, False)

    def _decided(self, agreement: Coordinator, ident: str) -> str:
        end = self._hub.now_us() + DECIDED_US
        while ident not in agreement.agreed.outcomes:
            if self._hub.now_us() >= end:
                raise ApiError(
                    504,
                    "not decided yet: send it again under the same ident to learn what became of it",
                    "Timeout",
                )
            self._hub.sleep(10_000)
        return agreement.agreed.outcomes[ident]

    def _outcome(self, agreement: Coordinator, why_not: str, dry: bool) -> Answer:
        if why_not:
            raise ApiError(409, why_not, "Conflict")
        return Answer(
            200 if dry else 201,
            names.encode(
                {
                    "kind": "Accepted",
                    "version": agreement.agreed.version,
                    "edition": agreement.agreed.revision,
                    "steps": len(agreement.agreed.steps),
                    "dryRun": dry,
                }
            ),
        )

    def _voters(self, agreement: Coordinator, value: dict[str, Any]) -> Answer:
        wanted = value.get("voters")
        if not isinstance(wanted, list) or not all(
            isinstance(each, str) and each for each in wanted
        ):
            raise ApiError(422, "voters: a list of names is wanted", "Invalid")
        if not self._peering.change_voters(tuple(dict.fromkeys(wanted))):
            raise ApiError(
                409, "one voter at a time, and not before the last change is decided", "Conflict"
            )
        return Answer(202, names.encode({"kind": "Voters", "voters": wanted}))
