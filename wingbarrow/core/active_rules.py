"""The agreed rule set in force at this placer: passed to the decision module, and checked before each offer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.coordination.leases import RulesInForce
from wingbarrow.decide.federation.spec import Federation
from wingbarrow.decide.gate import HoldReason
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.ruleset_settings import agreed_scheduler_settings, total_cold_offers
from wingbarrow.transport import Signal

MAX_QUOTA_WAIT_US = 1_000_000  # of one Job; a third of its patience is a further bound
QUOTA_RECHECK_INTERVAL_US = 100_000  # tasks that end free quota without a notification
MAX_QUOTA_WAITERS = 256  # Jobs that wait for quota at one time
REVISION_LABEL_PREFIX = "e"  # of a revision's label; that of a floor's label is "f"
NO_CONTACT = "this placer is out of touch with the others and may act on no rules now"


class ActiveRules:
    """The rule set in force at this placer, and its quotas.

    `Placer` sets the callbacks below where placers agree on rules. While `permitted_rules` is None, they do not.
    """

    def __init__(self, context: CoreContext, host: Host) -> None:
        self._context = context
        self._host = host
        # The rules that this placer may act on at a given time (us); None while it may act on none.
        self.permitted_rules: Callable[[int], RulesInForce | None] | None = None
        self.quotas: Callable[[], QuotaAccount | None] = lambda: None
        # Requests quota from the voters soon.
        self.request_quota_soon: Callable[[], None] = lambda: None
        self.recheck_machines: Callable[[set[str]], None] = lambda names: None
        self.on_agreed_drains: Callable[[RuleSet], None] = lambda rules: None
        self.is_drained: Callable[[str], bool] = lambda machine: False  # by an agreed drain
        self.label = ""  # of the rule set that the decision module uses
        self._text = ""
        self._rules: RuleSet | None = None
        self._federation = context.settings.federation
        self._classes: frozenset[str] = frozenset()
        self._barred: frozenset[str] = frozenset()
        self._is_cold_limited = False  # the cold budget is a limit of the whole fleet
        self._cold_share: int | None = None  # of that limit, as last passed to the module
        self._cold_reduced_us = 0  # when that share was last reduced
        self._changed = Signal(context.hub)  # notified of another rule set and of other quotas
        self._quota_waiters = 0  # Jobs that wait for quota

    # -- changes

    def on_rules(self, label: str, text: str) -> None:
        """Put another rule set in force. An empty text means none; the module then keeps its present one."""
        self.label = label
        self._changed.notify()
        self._context.log("rules", label=label or "none")
        if not text:
            return
        rules = self._rules = parse_rule_set(text)
        self._text = text
        is_revision = label.startswith(REVISION_LABEL_PREFIX)
        self._is_cold_limited = is_revision and any(each.about == "cold" for each in rules.limits)
        self._cold_share = None
        if self._is_cold_limited:
            self.on_quotas()
        else:
            self._host.feed(agreed_scheduler_settings(self._context.settings, text))
        barred_before = self._barred
        self._barred = frozenset(rules.barred)
        self._classes = frozenset(each.name for each in rules.classes)
        changed = set(barred_before ^ self._barred)
        if changed:
            self.recheck_machines(changed)
        if is_revision:  # a floor has no drains and specs: the last known ones stay
            self._federation = rules.federation
            self.on_agreed_drains(rules)

    def on_quotas(self) -> None:
        """Apply changed shares of the fleet's limits."""
        self._changed.notify()
        quotas = self.quotas()
        if not self._is_cold_limited or quotas is None:
            return
        share = quotas.shares.get("cold", 0)
        if share == self._cold_share:
            return
        if self._cold_share is not None and share < self._cold_share:
            self._cold_reduced_us = self._context.hub.now_us()
        self._cold_share = share
        self._host.feed(agreed_scheduler_settings(self._context.settings, self._text, share))

    # -- what is in force

    def in_force(self) -> RuleSet | None:
        """The latest rule set that was put in force; None before the first one."""
        return self._rules

    def federation(self) -> Federation:
        """The federation specs in force. A floor has none: the last ones stay, for residency while cut off."""
        return self._federation

    def cold_offers(self) -> float:
        """Number of offers that all placers together may send to one cold machine within the window."""
        if self._rules is None:
            return self._context.settings.scheduler.fresh_offers
        return float(total_cold_offers(self._rules))

    def check_rules_permitted(self) -> None:
        """Called for each Job: raises ApiError 503 while this placer may act on no rules."""
        if (
            self.permitted_rules is not None
            and self.permitted_rules(self._context.hub.now_us()) is None
        ):
            self._context.counts["turned_away:no grant"] += 1
            raise ApiError(503, NO_CONTACT, "ServiceUnavailable", retry_after_s=1)

    # -- limits of the whole fleet

    def use_quota_or_wait(
        self, namespace: str, task_class: str, count: int, until_us: int
    ) -> FleetLimit | None:
        """As `use_quota`, but waits, until `until_us` at the latest, for quota that other placers can give up.

        Danger: without the wait, a share that is briefly short here, while most of the limit is unused elsewhere, would
        make the fleet reject work that it has capacity for.
        """
        hub = self._context.hub
        until_us = min(until_us, hub.now_us() + MAX_QUOTA_WAIT_US)
        exceeded = self.use_quota(namespace, task_class, count)
        if exceeded is None or self._quota_waiters >= MAX_QUOTA_WAITERS:
            return exceeded
        self._quota_waiters += 1
        try:
            while exceeded is not None and hub.now_us() < until_us and count <= exceeded.most:
                self.request_quota_soon()
                with hub.limit(min(QUOTA_RECHECK_INTERVAL_US, until_us - hub.now_us())):
                    self._changed.wait()
                exceeded = self.use_quota(namespace, task_class, count, is_retry=True)
        finally:
            self._quota_waiters -= 1
        return exceeded

    def use_quota(
        self, namespace: str, task_class: str, count: int, *, is_retry: bool = False
    ) -> FleetLimit | None:
        """Count `count` more tasks against this placer's shares; returns the limit they would exceed, if any."""
        quotas = self.quotas()
        if self.permitted_rules is None or quotas is None or self._rules is None:
            return None
        now_us = self._context.hub.now_us()
        names = {"namespace": namespace, "class": task_class}
        limits = [each for each in self._rules.limits if names.get(each.about) == each.name]
        permitted = self.permitted_rules(now_us)
        if limits and (permitted is None or not permitted.revision):
            # Danger: on a floor, this placer's shares have expired and others may hold them by now.
            return limits[0]
        for limit in limits:
            if not quotas.has_capacity(now_us, limit.key, count, is_retry=is_retry):
                return limit
        for limit in limits:
            quotas.record_use(now_us, limit.key, count)
        return None

    # -- machines and offers

    def guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """Present a barred machine, or one under an agreed drain, as draining: it gets no offers."""
        if (
            not (entry.name in self._barred or self.is_drained(entry.name))
            or listed.phase is not api.Phase.RUNNING
        ):
            return listed
        return replace(listed, phase=api.Phase.DRAINING)

    def hold_reason(
        self, now_us: int, label: str, task_class: str, machine: str, decided_us: int
    ) -> HoldReason | None:
        """Why an offer decided under the rules of `label` must be held; None if it may go.

        Called right before the first byte of the offer is sent.
        """
        if self.permitted_rules is None:
            return None
        permitted = self.permitted_rules(now_us)
        if permitted is None:
            return HoldReason.NO_GRANT
        if permitted.label != label or self._rules is None or decided_us < self._cold_reduced_us:
            return HoldReason.OTHER_RULES
        if machine in self._barred or self.is_drained(machine) or task_class not in self._classes:
            return HoldReason.FORBIDDEN
        return None
