"""A placer's side of agreement: it asks for grants, again and again, and holds what the answers bring.

With the grant of rules come rights to the fleet's limits, verdicts on machines, and the parts of all chapters.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from wingbarrow.decide.coordination.leases import RulesInForce, RulesLease
from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest, NotLeader, Timing
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem
from wingbarrow.decide.effects import Effect, Notify, SetTimer
from wingbarrow.decide.outliers.ejection import ActiveEjections, HealthObserver
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.rulesets.parsing import parse_rule_set

MAX_REDIRECTS = (
    2  # from one who does not lead to the one that it names, before the next ask is due by time
)

MAX_RELAYED_GRANTS = 8  # answers by way of a voter, before the leader itself is asked again
MIN_REQUEST_INTERVAL_US = 100_000  # between asks for which somebody waits


class LeaseClient:
    """`timer` sets one of the owner's; `named`: the voters of the settings, who are asked in turn while no leader is
    known."""

    def __init__(
        self,
        me: str,
        named: tuple[str, ...],
        seed: int,
        times: Timing,
        life: int,
        timer: Callable[[str, int], SetTimer],
        sides: tuple[AnyMemberSubsystem, ...] = (),
    ) -> None:
        (
            self.name,
            self.configured_voters,
            self.timing,
            self.incarnation,
            self._timer,
            self.subsystems,
        ) = (
            me,
            named,
            times,
            life,
            timer,
            sides,
        )
        self.started_us = 0
        self.region = ""
        self.quotas = QuotaAccount()
        self.health_observer, self.ejections = HealthObserver(), ActiveEjections()
        self.rules_lease = RulesLease()
        self.version = 0  # the latest that a grant told of
        self.leader = ""  # as the last answer told
        self._closed: frozenset[str] = frozenset()
        self._random = random.Random(seed)
        self._number = 0
        self.term = 0  # of the latest grant taken
        self._asked: dict[int, int] = {}  # own asks without an answer: when each was sent
        self._tried = 0
        self._acting: RulesInForce | None = None
        self._last, self._failed = (
            "",
            "",
        )  # whom the last ask went to, as the leader; who did not answer as such
        self._by, self._relayed = (
            "",
            0,
        )  # the voter that passes asks on, while the leader does not answer; how many
        self._forwarded: set[int] = set()  # own asks without an answer that were to be passed on
        self._hint, self._hops = (
            "",
            0,
        )  # whom the last one asked named, to be asked now; how often one led to another
        self._gave_up = False  # by the last answer: some share became less
        self._sent_us = -times.grant_us  # when the last ask was sent

    def next_request(self, now_us: int, known: str) -> tuple[LeaseRequest, str, list[Effect]]:
        """The next ask, whom to send it to ("" for nobody; `known` leads as far as is known), and what else is to be
        done."""
        out: list[Effect] = []
        unanswered = bool(self._asked)
        self._asked = {
            number: at for number, at in self._asked.items() if now_us - at < self.timing.grant_us
        }
        hinted = bool(self._hint)
        self._hops = self._hops if hinted else 0
        self._number += 1
        self._asked[self._number] = self._sent_us = now_us
        evidence, bad, tried = self.health_observer.evidence(now_us, self.ejections.mine)
        if now_us >= self.rules_lease.expires_us and self.quotas.shares:
            self.quotas.expire()
            out.append(Notify("rights", {"shares": {}}))
        receiver, forward = self._whom(known, unanswered)
        ask = LeaseRequest(
            self._number,
            self.rules_lease.edition,
            self.rules_lease.floor,
            self.incarnation,
            max(0, now_us - self.started_us),
            self.quotas.report(now_us),
            self.region,
            evidence,
            bad,
            tried,
            reign=self.term,
            forward=forward,
            **{side.name: side.report(now_us) for side in self.subsystems},
        )
        self._last = "" if forward else receiver
        self._forwarded = {
            each
            for each in self._forwarded | ({self._number} if forward else set())
            if each in self._asked
        }
        self._hint = ""
        wait = self.timing.retry_us + self._random.randrange(self.timing.retry_us // 2)
        return (
            ask,
            receiver,
            [
                *out,
                self._timer("ask", now_us + wait),
                *self.notify_rules(now_us),
                *self._look_at_closed(now_us),
            ],
        )

    def request_soon(self, now_us: int) -> list[Effect]:
        """Somebody waits for rights: ask soon, unless an answer is on its way; at a bounded pace."""
        if self._asked:
            return []
        return [self._timer("ask", max(now_us + 1, self._sent_us + MIN_REQUEST_INTERVAL_US))]

    def _whom(self, known: str, unanswered: bool) -> tuple[str, bool]:
        """Whom to ask, and whether it is to pass that on to the leader, which did not answer."""
        if known == self.name:
            return known, False
        if unanswered:
            self._failed = (
                self._failed or self._last
            )  # somebody else may know better, or may reach it
            self._by = ""
        elif self._hint:
            return self._hint, False
        elif self._by:
            return self._by, True
        if known and known != self._failed:
            return known, False
        others = [name for name in self.configured_voters if name not in (self.name, self._failed)]
        if not others:
            self._failed = ""
            return known, False
        self._tried += 1
        receiver, forward = others[self._tried % len(others)], bool(self._failed)
        if self._tried % len(others) == 0:
            self._failed = ""  # Danger: it may be the only one that can be reached
        return receiver, forward

    def _look_at_closed(self, now_us: int) -> list[Effect]:
        """Tell which machines verdicts close, where those are others than before; also as they end unrenewed."""
        closed = self.ejections.now(now_us)
        if closed == self._closed:
            return []
        self._closed = closed
        return [Notify("verdicts", {"machines": sorted(closed)})]

    def on_grant(self, now_us: int, ident: str, grant: LeaseGrant) -> list[Effect]:
        """An answer."""
        asked_us = self._asked.pop(grant.number, None)
        if asked_us is None:
            return []  # given up, or doubled: when it was asked for is not known
        self._asked.clear()
        self.leader = grant.leader or ident
        if grant.number in self._forwarded and self._relayed < MAX_RELAYED_GRANTS:
            self._by, self._relayed, self._failed = ident, self._relayed + 1, self.leader
        else:
            self._by, self._relayed, self._failed, self._tried = "", 0, "", 0
        self._forwarded.clear()
        self.term = max(self.term, grant.reign)
        out: list[Effect] = []
        rules = grant.rules or self.rules_lease.rules
        if grant.edition and (grant.rules or grant.edition == self.rules_lease.edition):
            before, gap = self.rules_lease.edition, now_us >= self.rules_lease.expires_us
            if self.rules_lease.renew(asked_us, grant.edition, rules, grant.lasts_us):
                out += self._take_rights(now_us, asked_us, grant, before, gap)
        if grant.floor and (grant.floor_rules or grant.floor == self.rules_lease.floor):
            self.rules_lease.renew_floor(
                asked_us,
                grant.floor,
                grant.floor_rules or self.rules_lease.floor_rules,
                grant.floor_us,
            )
        self.version = max(self.version, grant.version)
        self.ejections.take(now_us, self.name, grant.closed)
        out += self._look_at_closed(now_us)
        for side in self.subsystems:
            out += side.on_response(now_us, asked_us, getattr(grant, side.name))
        # A third of the grant between asks: two may be lost before one lapses. Sooner where rights are short: what
        # others give back comes by the answers.
        # Sooner too where they became less: what is given up here is wanted elsewhere, and free by the next ask.
        soon = self.quotas.limits and (self.quotas.is_short(now_us) or self._gave_up)
        wait = self.timing.retry_us if soon else self.timing.grant_us // 3
        return [self._timer("ask", now_us + wait), *self.notify_rules(now_us), *out]

    def _take_rights(
        self, now_us: int, asked_us: int, grant: LeaseGrant, before: int, gap: bool
    ) -> list[Effect]:
        shares = dict(self.quotas.shares)
        if self.rules_lease.edition != before:
            self.quotas.on_limits(parse_rule_set(self.rules_lease.rules).limits)
        if gap:
            self.quotas.expire()
        # Danger: an earlier ask stated what may have been given back since; and what was given is not counted any more
        # once the grant that it came with is over.
        if grant.number == self._number and now_us < asked_us + grant.lasts_us:
            self.quotas.on_grants(grant.rights)
        self._gave_up = any(self.quotas.shares.get(key, 0) < share for key, share in shares.items())
        return (
            [Notify("rights", {"shares": dict(self.quotas.shares)})]
            if shares != self.quotas.shares
            else []
        )

    def on_not_leader(self, now_us: int, message: NotLeader) -> list[Effect]:
        """Whoever was asked does not lead."""
        if self._asked.pop(message.number, None) is None:
            return []
        self.leader, self._by = (
            message.leader,
            "",
        )  # who passed asks on does not know the leader any more
        # Danger: two that name each other, each behind in its way, would be asked in turn as fast as mail goes.
        if (
            not message.leader
            or message.leader in (self.name, self._hint, self._failed)
            or self._hops >= MAX_REDIRECTS
        ):
            return []
        self._hint, self._hops = message.leader, self._hops + 1
        return [self._timer("ask", now_us + 1)]

    def notify_rules(self, now_us: int) -> list[Effect]:
        """Tell what is acted on, where that is another than before."""
        acting = self.rules_lease.rules_in_force(now_us)
        out: list[Effect] = []
        if acting != self._acting:
            self._acting = acting
            told = acting or RulesInForce("", 0, "")
            out.append(
                Notify("rules", {"label": told.label, "edition": told.edition, "rules": told.rules})
            )
        ends = [
            at
            for at in (self.rules_lease.expires_us, self.rules_lease.floor_expires_us)
            if at > now_us
        ]
        if ends:
            out.append(self._timer("lapse", min(ends)))
        return out
