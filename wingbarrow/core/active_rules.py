"""The rules that this placer acts on, where placers agree on them: fed to the module, asked by the gate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.base import Base
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

RIGHTS_US = 1_000_000  # a Job waits for rights that others may spare for so long, and a third of its patience
WAITING_MOST = 256  # Jobs that do
LOOK_US = 100_000  # they look again so often, as tasks that end free rights too


class ActiveRules:
    """`acting` tells what may be acted on at a time; None where placers agree on nothing here."""

    def __init__(self, base: Base, host: Host) -> None:
        self._base, self._host = base, host
        self.acting: Callable[[int], RulesInForce | None] | None = None
        self.purse: Callable[[], QuotaAccount | None] = lambda: None
        self._cold: int | None = (
            None  # this placer's part of the cold budget, where it is held in parts
        )
        self._cold_less_us = 0  # when that became less last
        self.pass_again: Callable[[set[str]], None] = (
            lambda names: None
        )  # has machines pass the fleet's guards anew
        self.on_drains: Callable[[RuleSet], None] = lambda rules: None
        self.drained: Callable[[str], bool] = (
            lambda machine: False
        )  # by a drain that placers agree on
        self.label = ""  # of the rules that the module goes by
        self._rules: RuleSet | None = None
        self._classes: frozenset[str] = frozenset()
        self._barred: frozenset[str] = frozenset()
        self._text, self._by_rights = "", False
        self._changed = Signal(base.hub)  # other rules or rights
        self._waiting = 0  # Jobs that wait for those
        self.hurry: Callable[[], None] = lambda: None  # has rights asked for soon
        self._federation = base.settings.federation

    def federation(self) -> Federation:
        """The specs in force. A floor speaks of none: those known last go on, so that residency holds behind a cut."""
        return self._federation

    def take(self, label: str, text: str) -> None:
        """Other rules are acted on from now on; an empty text: none, and the module keeps those it has."""
        self.label = label
        self._changed.notify()
        self._base.log("rules", label=label or "none")
        if not text:
            return
        self._rules, self._text = parse_rule_set(text), text
        self._by_rights = label.startswith("e") and any(
            each.about == "cold" for each in self._rules.limits
        )
        self._cold = None
        if self._by_rights:
            self.take_rights()
        else:
            self._host.feed(scheduler_under(self._base.settings, text))
        before, self._barred = self._barred, frozenset(self._rules.barred)
        self._classes = frozenset(each.name for each in self._rules.classes)
        changed = set(before ^ self._barred)
        if changed:
            self.pass_again(changed)
        if label.startswith("e"):  # a floor speaks of no drains: those known last go on
            self._federation = self._rules.federation
            self.on_drains(self._rules)

    def take_rights(self) -> None:
        """Another part of the fleet's limits is held now."""
        self._changed.notify()
        purse = self.purse()
        if not self._by_rights or purse is None:
            return
        share = purse.shares.get("cold", 0)
        if share != self._cold:
            if self._cold is not None and share < self._cold:
                self._cold_less_us = self._base.hub.now_us()
            self._cold = share
            self._host.feed(scheduler_under(self._base.settings, self._text, share))

    def beyond_after(
        self, namespace: str, task_class: str, count: int, until_us: int
    ) -> FleetLimit | None:
        """As `beyond`, but rights that others may spare are waited for, until then at the latest.

        Danger: a part that is short here for a moment, while most of the limit lies idle elsewhere, would have a fleet
        turn work away that it has room for.
        """
        hub = self._base.hub
        until_us = min(until_us, hub.now_us() + RIGHTS_US)
        found = self.beyond(namespace, task_class, count)
        if found is None or self._waiting >= WAITING_MOST:
            return found
        self._waiting += 1
        try:
            while found is not None and hub.now_us() < until_us and count <= found.most:
                self.hurry()
                with hub.limit(min(LOOK_US, until_us - hub.now_us())):
                    self._changed.wait()
                found = self.beyond(namespace, task_class, count, again=True)
        finally:
            self._waiting -= 1
        return found

    def beyond(
        self, namespace: str, task_class: str, count: int, again: bool = False
    ) -> FleetLimit | None:
        """The limit of the whole fleet that so many more tasks would pass, by what is held here; else they count."""
        purse = self.purse()
        if self.acting is None or purse is None or self._rules is None:
            return None
        now, names = self._base.hub.now_us(), {"namespace": namespace, "class": task_class}
        asked = [each for each in self._rules.limits if names.get(each.about) == each.name]
        acting = self.acting(now)
        if asked and (acting is None or not acting.revision):
            return asked[0]  # Danger: on a floor, rights have lapsed: others may hold them by now
        for each in asked:
            if not purse.has_room(now, each.key, count, is_retry=again):
                return each
        for each in asked:
            purse.record_use(now, each.key, count)
        return None

    def in_force(self) -> RuleSet | None:
        """The rules that were acted on last; None before there are any."""
        return self._rules

    def cold_offers(self) -> float:
        """Offers that one cold machine may get within the window, of all placers together."""
        return (
            self._base.settings.scheduler.fresh_offers
            if self._rules is None
            else float(cold_total(self._rules))
        )

    def guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """A barred machine, or one that is to be drained, gets nothing."""
        if (
            not (entry.name in self._barred or self.drained(entry.name))
            or listed.phase is not api.Phase.RUNNING
        ):
            return listed
        return replace(listed, phase=api.Phase.DRAINING)

    def against(
        self, now_us: int, label: str, task_class: str, machine: str, decided_us: int
    ) -> HoldReason | None:
        """What speaks against an offer that was decided under rules of a label, right before its first byte."""
        if self.acting is None:
            return None
        acting = self.acting(now_us)
        if acting is None:
            return HoldReason.NO_GRANT
        if acting.label != label or self._rules is None or decided_us < self._cold_less_us:
            return HoldReason.OTHER_RULES
        if machine in self._barred or self.drained(machine) or task_class not in self._classes:
            return HoldReason.FORBIDDEN
        return None

    def look(self) -> None:
        """Asked of each Job: ApiError 503 where this placer may act on nothing."""
        if self.acting is not None and self.acting(self._base.hub.now_us()) is None:
            self._base.counts["turned_away:no grant"] += 1
            raise ApiError(
                503,
                "this placer is out of touch with the others and may act on no rules now",
                "ServiceUnavailable",
                retry_after_s=1,
            )
