"""Coordination at every placer: renews the lease of the rule set and stores the contents of each grant.

A grant contains the rules to act on, shares of the fleet-wide quotas, the ejected machines, and a response for each
subsystem. It is valid from the time of the *request* by this placer's clock, so that no delay extends it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from wingbarrow.decide.coordination.leases import RulesInForce, RulesLease
from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest, NotLeader
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem
from wingbarrow.decide.coordination.timers import EXPIRY_TIMER, REQUEST_TIMER, Timers
from wingbarrow.decide.coordination.voter_selection import Receiver, VoterSelector
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.outliers.ejections import ActiveEjections
from wingbarrow.decide.outliers.health import HealthObserver
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.rulesets.parsing import parse_rule_set

MIN_REQUEST_INTERVAL_US = 100_000  # between requests sent early because work waits for quota
REQUESTS_PER_LEASE = 3  # so that a lease survives the loss of two requests


@dataclass(frozen=True, slots=True)
class _OutstandingRequest:
    """A request that has no response yet."""

    sent_us: int
    is_forwarded: bool


class LeaseClient:
    """One placer's leases. Its owner calls `next_request` when `REQUEST_TIMER` is due, and sends the request."""

    def __init__(
        self,
        local: LocalPlacer,
        settings: CoordinationSettings,
        seed: int,
        timers: Timers,
        subsystems: tuple[AnyMemberSubsystem, ...] = (),
    ) -> None:
        self.started_us = 0  # when `start` was called
        self.quotas = QuotaAccount()
        self.health_observer = HealthObserver()
        self.ejections = ActiveEjections()
        self.rules_lease = RulesLease()
        self.version = 0  # latest version of the rule set named by a grant
        self.leader = ""  # named by the latest response; "" for none
        self.term = 0  # of the leader that gave the latest grant
        self.selector = VoterSelector(local.name, settings.voters)
        self.local = local
        self._timing = settings.timing
        self._timers = timers
        self._subsystems = subsystems
        self._random = random.Random(seed)
        self._last_request_number = 0  # of the latest request
        self._last_sent_us = -settings.timing.grant_us
        self._outstanding: dict[int, _OutstandingRequest] = {}  # by request number
        self._notified_rules: RulesInForce | None = None
        self._notified_ejections: frozenset[str] = frozenset()
        self._has_released_quota = False  # whether the latest grant reduced a share

    def start(self, now_us: int) -> list[Effect]:
        """Start, and set the timer of the first request."""
        self.started_us = now_us
        return [self._timers.set(REQUEST_TIMER, now_us + 1)]

    # -- Requests

    def next_request(self, now_us: int, leader: str) -> tuple[LeaseRequest, Receiver, list[Effect]]:
        """Return the next request, its receiver and other effects; `leader` is the known one, "" for none."""
        effects: list[Effect] = []
        is_unanswered = bool(self._outstanding)
        self._outstanding = {
            number: each
            for number, each in self._outstanding.items()
            if now_us - each.sent_us < self._timing.grant_us
        }
        if now_us >= self.rules_lease.expires_us and self.quotas.shares:
            self.quotas.expire()
            effects.append(Notify("rights", {"shares": {}}))
        receiver = self.selector.choose(leader, is_unanswered=is_unanswered)
        self._last_request_number += 1
        self._last_sent_us = now_us
        self._outstanding[self._last_request_number] = _OutstandingRequest(now_us, receiver.forward)
        request = self._request(now_us, forward=receiver.forward)
        jitter_us = self._random.randrange(self._timing.retry_us // 2)
        retry_at_us = now_us + self._timing.retry_us + jitter_us
        effects.append(self._timers.set(REQUEST_TIMER, retry_at_us))
        effects += self.notify_rules(now_us)
        effects += self._notify_ejections(now_us)
        return request, receiver, effects

    def _request(self, now_us: int, *, forward: bool) -> LeaseRequest:
        health = self.health_observer.report(now_us, self.ejections.probed_here)
        return LeaseRequest(
            self._last_request_number,
            self.rules_lease.revision,
            self.rules_lease.floor,
            self.local.incarnation,
            max(0, now_us - self.started_us),
            self.quotas.report(now_us),
            self.local.region,
            health.reports,
            health.outliers,
            health.tried,
            reign=self.term,
            forward=forward,
            **{each.name: each.report(now_us) for each in self._subsystems},
        )

    def request_soon(self, now_us: int) -> list[Effect]:
        """Send the next request early, as work waits for quota; no effect while a request is outstanding."""
        if self._outstanding:
            return []
        at_us = max(now_us + 1, self._last_sent_us + MIN_REQUEST_INTERVAL_US)
        return [self._timers.set(REQUEST_TIMER, at_us)]

    # -- Responses

    def on_not_leader(self, now_us: int, message: NotLeader) -> list[Effect]:
        """Handle the response that the receiver of a request is not the leader."""
        if self._outstanding.pop(message.number, None) is None:
            return []
        self.leader = message.leader
        if not self.selector.on_redirect(message.leader):
            return []
        return [self._timers.set(REQUEST_TIMER, now_us + 1)]

    def on_grant(self, now_us: int, sender: str, grant: LeaseGrant) -> list[Effect]:
        """Handle a grant; one without an outstanding request, such as a duplicate, is ignored."""
        request = self._outstanding.pop(grant.number, None)
        if request is None:
            return []
        self._outstanding.clear()
        self.leader = grant.leader or sender
        self.selector.on_grant(sender, self.leader, was_forwarded=request.is_forwarded)
        self.term = max(self.term, grant.reign)
        effects = self._renew_rules(now_us, request.sent_us, grant)
        self._renew_floor(request.sent_us, grant)
        self.version = max(self.version, grant.version)
        self.ejections.apply(now_us, self.local.name, grant.closed)
        effects += self._notify_ejections(now_us)
        for each in self._subsystems:
            effects += each.on_response(now_us, request.sent_us, getattr(grant, each.name))
        return [
            self._timers.set(REQUEST_TIMER, now_us + self._request_interval_us(now_us)),
            *self.notify_rules(now_us),
            *effects,
        ]

    def _request_interval_us(self, now_us: int) -> int:
        """The delay in microseconds from a grant to the next request.

        It is shorter if quota is short, as quota returned by others arrives with grants, and if this placer released
        quota, which becomes available to others with its next request.
        """
        if self.quotas.limits and (
            self.quotas.has_unmet_demand(now_us) or self._has_released_quota
        ):
            return self._timing.retry_us
        return self._timing.grant_us // REQUESTS_PER_LEASE

    def _renew_rules(self, now_us: int, requested_us: int, grant: LeaseGrant) -> list[Effect]:
        lease = self.rules_lease
        if not grant.edition or not (grant.rules or grant.edition == lease.revision):
            return []  # no rules in force yet, or a revision whose rules are not known here
        old_revision = lease.revision
        had_expired = now_us >= lease.expires_us
        rules = grant.rules or lease.rules
        if not lease.renew(requested_us, grant.edition, rules, grant.lasts_us):
            return []
        old_shares = dict(self.quotas.shares)
        if lease.revision != old_revision:
            self.quotas.on_limits(parse_rule_set(lease.rules).limits)
        if had_expired:
            self.quotas.expire()
        # Danger: quota reported by an earlier request may have been returned since, and the leader no longer counts a
        # share once the lease granted with it has expired.
        is_latest = grant.number == self._last_request_number
        if is_latest and now_us < requested_us + grant.lasts_us:
            self.quotas.on_grants(grant.rights)
        shares = self.quotas.shares
        self._has_released_quota = any(
            shares.get(key, 0) < share for key, share in old_shares.items()
        )
        if shares == old_shares:
            return []
        return [Notify("rights", {"shares": dict(shares)})]

    def _renew_floor(self, requested_us: int, grant: LeaseGrant) -> None:
        lease = self.rules_lease
        if grant.floor and (grant.floor_rules or grant.floor == lease.floor):
            rules = grant.floor_rules or lease.floor_rules
            lease.renew_floor(requested_us, grant.floor, rules, grant.floor_us)

    # -- Notifications

    def notify_rules(self, now_us: int) -> list[Effect]:
        """Notify the host of the rules in force if they changed, and set the timer of the next expiry."""
        effects: list[Effect] = []
        rules = self.rules_lease.rules_in_force(now_us)
        if rules != self._notified_rules:
            self._notified_rules = rules
            notified = rules or RulesInForce("", 0, "")
            fields = {
                "label": notified.label,
                "edition": notified.revision,
                "rules": notified.rules,
            }
            effects.append(Notify("rules", fields))
        expiries_us = (self.rules_lease.expires_us, self.rules_lease.floor_expires_us)
        next_expiry_us = min((each for each in expiries_us if each > now_us), default=None)
        if next_expiry_us is not None:
            effects.append(self._timers.set(EXPIRY_TIMER, next_expiry_us))
        return effects

    def _notify_ejections(self, now_us: int) -> list[Effect]:
        """Notify the host of the ejected machines if they changed; an ejection may also end without a grant."""
        ejected = self.ejections.ejected(now_us)
        if ejected == self._notified_ejections:
            return []
        self._notified_ejections = ejected
        return [Notify("verdicts", {"machines": sorted(ejected)})]
