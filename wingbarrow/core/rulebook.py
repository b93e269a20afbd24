"""The rules that this placer acts on, where placers agree on them: fed to the module, asked by the gate."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.gate import Held
from wingbarrow.decide.peers.grants import Acting
from wingbarrow.decide.peers.rules import RuleSet, read
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.ruleset import scheduler_under


class Rulebook:
    """`acting` tells what may be acted on at a time; None where placers agree on nothing here."""

    def __init__(self, base: Base, host: Host) -> None:
        self._base, self._host = base, host
        self.acting: Callable[[int], Acting | None] | None = None
        self.pass_again: Callable[[set[str]], None] = lambda names: None  # has machines pass the fleet's guards anew
        self.on_drains: Callable[[RuleSet], None] = lambda rules: None
        self.drained: Callable[[str], bool] = lambda machine: False  # by a drain that placers agree on
        self.label = ""  # of the rules that the module goes by
        self._rules: RuleSet | None = None
        self._classes: frozenset[str] = frozenset()
        self._barred: frozenset[str] = frozenset()

    def take(self, label: str, text: str) -> None:
        """Other rules are acted on from now on; an empty text: none, and the module keeps those it has."""
        self.label = label
        self._base.log("rules", label=label or "none")
        if not text:
            return
        self._rules = read(text)
        self._host.feed(scheduler_under(self._base.settings, text))
        before, self._barred = self._barred, frozenset(self._rules.barred)
        self._classes = frozenset(each.name for each in self._rules.classes)
        changed = set(before ^ self._barred)
        if changed:
            self.pass_again(changed)
        if label.startswith("e"):  # a floor speaks of no drains: those known last go on
            self.on_drains(self._rules)

    def guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """A barred machine, or one that is to be drained, gets nothing."""
        if not (entry.name in self._barred or self.drained(entry.name)) or listed.phase is not api.Phase.RUNNING:
            return listed
        return api.ListedMachine(listed.machine, listed.kind, listed.cell, listed.zone, api.Phase.DRAINING,
                                 listed.launched_us, listed.free_cores, listed.free_memory)

    def against(self, now_us: int, label: str, task_class: str, machine: str) -> Held | None:
        """What speaks against an offer that was decided under rules of a label, right before its first byte."""
        if self.acting is None:
            return None
        acting = self.acting(now_us)
        if acting is None:
            return Held.NO_GRANT
        if acting.label != label or self._rules is None:
            return Held.OTHER_RULES
        if machine in self._barred or self.drained(machine) or task_class not in self._classes:
            return Held.FORBIDDEN
        return None

    def look(self) -> None:
        """Asked of each Job: ApiError 503 where this placer may act on nothing."""
        if self.acting is not None and self.acting(self._base.hub.now_us()) is None:
            self._base.counts["turned_away:no grant"] += 1
            raise ApiError(503, "this placer is out of touch with the others and may act on no rules now",
                           "ServiceUnavailable", retry_after_s=1)
