"""Drains over REST: GET lists them, POST {"machine", "lasts"} starts one now, DELETE cancels one.

Where placers agree on rules, the leader proposes both changes as a new version of the rules, so that they reach every
placer. The other placers answer 307 with the leader's address.
"""

from __future__ import annotations

from dataclasses import replace

from wingbarrow.config import parse_duration
from wingbarrow.core.drainer import Drainer
from wingbarrow.decide.maintenance.drain_plan import PlanOutcome
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain, without_expired
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, Cause, invalid, not_found
from wingbarrow.peers.rulesets_api import RuleSetsApi
from wingbarrow.transport import Hub

API = "wingbarrow.io/v1"


class DrainsFront:
    """Routes below /apis/wingbarrow.io/v1/drains."""

    def __init__(self, hub: Hub, drainer: Drainer, rules: RuleSetsApi) -> None:
        self._hub, self._drainer, self._rules = hub, drainer, rules

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer one request; raises ApiError if it is rejected."""
        if request.method == "GET" and not parts:
            return Answer(
                200,
                names.encode(
                    {"kind": "DrainList", "apiVersion": API, "items": self._drainer.describe()}
                ),
            )
        if request.method != ("DELETE" if parts else "POST"):
            raise ApiError(405, "DELETE is allowed here" if parts else "GET, POST are allowed here")
        redirect = self._rules.redirect(request) if self._drainer.is_agreed else None
        if redirect is not None:
            return redirect
        return self._cancel("/".join(parts)) if parts else self._create(request)

    def _create(self, request: Request) -> Answer:
        machine, lasts = self._read_request(request)
        if not self._drainer.is_agreed:
            drain = self._drainer.drain_now(machine, lasts)
            outcome = {}
        else:
            # Danger: a client whose response was lost retries, and a second drain would end later than the first.
            held = self._requested_drain(self._rules.latest(), machine)
            if held is not None:
                return Answer(
                    200, names.encode({"kind": "Drain", "apiVersion": API, "key": held.key})
                )
            asked, drain = self._drainer.plan_drain(machine, lasts)
            if drain.outcome is PlanOutcome.PLANNED:
                outcome = self._rules.change(
                    lambda rules: self._with_request(rules, asked), f"drain {machine}"
                )
        if drain.outcome is PlanOutcome.REFUSED:
            raise ApiError(409, f"{machine}: {drain.reason}", "Conflict")
        return Answer(
            201, names.encode({"kind": "Drain", "apiVersion": API, "key": drain.key, **outcome})
        )

    def _requested_drain(self, rules: RuleSet | None, machine: str) -> AskedDrain | None:
        """The unexpired request for a drain of a machine in the rules; None without one."""
        return (
            next((each for each in self._unexpired(rules).asked if each.machine == machine), None)
            if rules
            else None
        )

    def _with_request(self, rules: RuleSet, asked: AskedDrain) -> RuleSet:
        rules = self._unexpired(rules)
        return (
            rules
            if self._requested_drain(rules, asked.machine)
            else replace(rules, asked=(*rules.asked, asked))
        )

    def _read_request(self, request: Request) -> tuple[str, int]:
        try:
            value = names.decode(request.body)
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from None
        machine, lasts = value.get("machine"), value.get("lasts")
        try:
            if not isinstance(machine, str) or not isinstance(lasts, str):
                raise ValueError("machine and lasts are wanted")
            return machine, parse_duration(lasts)
        except ValueError as error:
            raise invalid(
                "Drain",
                "",
                [
                    Cause(
                        "lasts" if isinstance(machine, str) else "machine",
                        "FieldValueInvalid",
                        str(error),
                    )
                ],
            ) from None

    def _cancel(self, key: str) -> Answer:
        outcome = {}
        if not self._drainer.is_agreed:
            if not self._drainer.cancel(key):
                raise not_found("drains", key)
        else:
            if key not in self._drainer.drains.tracked:
                raise not_found("drains", key)
            outcome = self._rules.change(
                lambda rules: self._unexpired(_without(rules, key)), f"take back {key}"
            )
        return Answer(
            200,
            names.encode(
                {
                    "kind": "Status",
                    "apiVersion": "v1",
                    "metadata": {},
                    "status": "Success",
                    **outcome,
                }
            ),
        )

    def _unexpired(self, rules: RuleSet) -> RuleSet:
        asked, cancelled = without_expired(rules.asked, rules.cancelled, self._hub.clock.wall_us())
        return replace(rules, asked=asked, cancelled=cancelled)


def _without(rules: RuleSet, key: str) -> RuleSet:
    """The rules without a drain: without its request, or, for a drain of the calendar, with its key as cancelled."""
    window = key.partition("@")[0]
    kept = tuple(each for each in rules.asked if each.window != window)
    if len(kept) < len(rules.asked):
        return replace(rules, asked=kept)
    return replace(rules, cancelled=(*rules.cancelled, key))
