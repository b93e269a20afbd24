"""The rule set that this placer acts on, where placers agree on one: fed to the module, asked before each send."""

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
from wingbarrow.peers.ruleset_settings import cold_total, scheduler_under
from wingbarrow.transport import Signal

QUOTA_WAIT_US = 1_000_000  # a Job waits for quota at most so long, and a third of its patience
QUOTA_CHECK_US = 100_000  # between its attempts, as tasks that end free quota too
MAX_WAITING = 256  # Jobs that wait for quota
REVISION_LABEL = "e"  # the prefix of a revision's label; a floor's is "f"
NO_CONTACT = "this placer is out of touch with the others and may act on no rules now"


class ActiveRules:
    """The rule set in force at this placer, and its quotas.

    The placer's assembly sets the callbacks below where placers agree on rules; without `acting` they agree on none.
    """

    def __init__(self, context: CoreContext, host: Host) -> None:
        self._context = context
        self._host = host
        # What may be acted on at a time; None for nothing.
        self.permitted_rules: Callable[[int], RulesInForce | None] | None = None
        self.quotas: Callable[[], QuotaAccount | None] = lambda: None
        self.request_quota_soon: Callable[[], None] = lambda: None  # has quota asked for soon
        self.recheck_machines: Callable[[set[str]], None] = lambda names: None
        self.on_agreed_drains: Callable[[RuleSet], None] = lambda rules: None
        self.is_drained: Callable[[str], bool] = lambda machine: False  # by an agreed drain
        self.label = ""  # of the rule set that the module goes by
        self._text = ""
        self._rules: RuleSet | None = None
        self._federation = context.settings.federation
        self._classes: frozenset[str] = frozenset()
        self._barred: frozenset[str] = frozenset()
        self._is_cold_limited = False  # the cold budget is a limit of the whole fleet
        self._cold_share: int | None = None  # of that limit, as the module was told last
        self._cold_reduced_us = 0  # when that became less last
        self._changed = Signal(context.hub)  # another rule set, or other quotas
        self._waiting = 0  # Jobs that wait for that

    # -- what changes

    def on_rules(self, label: str, text: str) -> None:
        """Act on another rule set; with an empty text on none, and the module keeps the one it has."""
        self.label = label
        self._changed.notify()
        self._context.log("rules", label=label or "none")
        if not text:
            return
        rules = self._rules = parse_rule_set(text)
        self._text = text
        is_revision = label.startswith(REVISION_LABEL)
        self._is_cold_limited = is_revision and any(each.about == "cold" for each in rules.limits)
        self._cold_share = None
        if self._is_cold_limited:
            self.on_quotas()
        else:
            self._host.feed(scheduler_under(self._context.settings, text))
        barred_before = self._barred
        self._barred = frozenset(rules.barred)
        self._classes = frozenset(each.name for each in rules.classes)
        changed = set(barred_before ^ self._barred)
        if changed:
            self.recheck_machines(changed)
        if is_revision:  # a floor has no drains and specs: those known last go on
            self._federation = rules.federation
            self.on_agreed_drains(rules)

    def on_quotas(self) -> None:
        """Take other shares of the fleet's limits."""
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
        self._host.feed(scheduler_under(self._context.settings, self._text, share))

    # -- what is in force

    def in_force(self) -> RuleSet | None:
        """The rule set that was acted on last; None before there is one."""
        return self._rules

    def federation(self) -> Federation:
        """The specs in force. A floor has none: those known last go on, so that residency holds while cut off."""
        return self._federation

    def cold_offers(self) -> float:
        """Offers that one cold machine may get within the window, of all placers together."""
        if self._rules is None:
            return self._context.settings.scheduler.fresh_offers
        return float(cold_total(self._rules))

    def check_rules_permitted(self) -> None:
        """Asked for each Job: raises ApiError 503 where this placer may act on no rules."""
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
        """As `use_quota`, but wait, until `until_us` at the latest, for quota that others may spare.

        Danger: a share that is short here for a moment, while most of the limit is idle elsewhere, would have a fleet
        reject work that it has capacity for.
        """
        hub = self._context.hub
        until_us = min(until_us, hub.now_us() + QUOTA_WAIT_US)
        exceeded = self.use_quota(namespace, task_class, count)
        if exceeded is None or self._waiting >= MAX_WAITING:
            return exceeded
        self._waiting += 1
        try:
            while exceeded is not None and hub.now_us() < until_us and count <= exceeded.most:
                self.request_quota_soon()
                with hub.limit(min(QUOTA_CHECK_US, until_us - hub.now_us())):
                    self._changed.wait()
                exceeded = self.use_quota(namespace, task_class, count, is_retry=True)
        finally:
            self._waiting -= 1
        return exceeded

    def use_quota(
        self, namespace: str, task_class: str, count: int, *, is_retry: bool = False
    ) -> FleetLimit | None:
        """The limit that `count` more tasks would exceed, by this placer's shares; None where they are counted."""
        quotas = self.quotas()
        if self.permitted_rules is None or quotas is None or self._rules is None:
            return None
        now_us = self._context.hub.now_us()
        names = {"namespace": namespace, "class": task_class}
        limits = [each for each in self._rules.limits if names.get(each.about) == each.name]
        acting = self.permitted_rules(now_us)
        if limits and (acting is None or not acting.revision):
            return limits[0]  # Danger: on a floor, shares have expired: others may hold them by now
        for limit in limits:
            if not quotas.has_room(now_us, limit.key, count, is_retry=is_retry):
                return limit
        for limit in limits:
            quotas.record_use(now_us, limit.key, count)
        return None

    # -- machines and offers

    def guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """A barred machine, or one that is to be drained, gets nothing."""
        if (
            not (entry.name in self._barred or self.is_drained(entry.name))
            or listed.phase is not api.Phase.RUNNING
        ):
            return listed
        return replace(listed, phase=api.Phase.DRAINING)

    def hold_reason(
        self, now_us: int, label: str, task_class: str, machine: str, decided_us: int
    ) -> HoldReason | None:
        """Why an offer that was decided under the rules of a label cannot go, asked right before its first byte."""
        if self.permitted_rules is None:
            return None
        acting = self.permitted_rules(now_us)
        if acting is None:
            return HoldReason.NO_GRANT
        if acting.label != label or self._rules is None or decided_us < self._cold_reduced_us:
            return HoldReason.OTHER_RULES
        if machine in self._barred or self.is_drained(machine) or task_class not in self._classes:
            return HoldReason.FORBIDDEN
        return None
