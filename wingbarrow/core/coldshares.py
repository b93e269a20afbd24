"""What this placer may send to cold machines where placers hold subsets: its share by rank, asked at the gate (rule 4).

A machine whose share is used up is shown to the module as draining until there is some again: the module goes
elsewhere at once, and spends none of a task's attempts on offers that the gate would hold.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt
from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.link import MachineLink
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.coldshare import Came, ColdShare
from wingbarrow.decide.subsets import Subsets

LOOK_US = 50_000
CAME = {api.Outcome.NOT_SENT: Came.NEVER, api.Outcome.UNREACHABLE: Came.NEVER, api.Outcome.TIMED_OUT: Came.UNKNOWN,
        api.Outcome.CANCELLED: Came.UNKNOWN, api.Outcome.BROKEN: Came.ALONE}


class ColdShares:
    """`offers`: what all placers together may send to one cold machine within the window, by the rules in force."""

    def __init__(self, base: Base, fleet: Fleet, subsets: Subsets, offers: Callable[[], float]) -> None:
        self._base, self._fleet, self._subsets, self._offers = base, fleet, subsets, offers
        rules = base.settings.scheduler
        self._cold_us = rules.cold_us
        self._account = ColdShare(rules.fall_us * 5 // 4)  # a quarter longer, as in the module: offers travel
        self._closed: dict[str, None] = {}  # machines that are shown as draining for want of a share
        self._looking = False
        fleet.guards.append(self._guard)
        fleet.apart.append(self._closed.__contains__)

    def left(self, name: str, launched_us: int) -> bool:
        """Whether one more offer may go to a machine; True for any that is not cold."""
        now = self._base.hub.now_us()
        if not self._cold(launched_us, now):
            return True
        share = self._subsets.cold_most(self._base.settings.name, name, self._offers())
        return self._account.left(now, name, launched_us, share) > 0

    def sent(self, attempt: Attempt) -> None:
        """The first byte of an offer goes out, which the gate allowed."""
        link, now = attempt.link, self._base.hub.now_us()
        if self._cold(link.launched_us, now):
            self._account.sent(link.name, link.launched_us, link.launched_us + self._cold_us, attempt.key)
            if not self.left(link.name, link.launched_us):
                self.close_soon(link)

    def ended(self, attempt: Attempt, outcome: api.Outcome | None) -> None:
        """How an offer ended; None: its task runs."""
        came = Came.SPOKE if outcome is None else CAME.get(outcome, Came.SPOKE)
        self._account.ended(self._base.hub.now_us(), attempt.link.name, attempt.key, came)

    def spoke(self, name: str) -> None:
        """A machine has answered something else: what it was sent and given up before has come."""
        self._account.ended(self._base.hub.now_us(), name, "", Came.SPOKE)

    def close_soon(self, link: MachineLink) -> None:
        """Have the module go elsewhere: this machine's share is used up."""
        def due() -> None:
            entry = self._fleet.held.get(link.name)
            if entry is not None and link.phase is api.Phase.RUNNING:
                self._fleet.take_again([entry])
        self._base.hub.call_at(self._base.hub.now_us(), due)

    def _cold(self, launched_us: int, now_us: int) -> bool:
        return launched_us > 0 and now_us < launched_us + self._cold_us

    def _guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        if listed.phase is not api.Phase.RUNNING or self.left(entry.name, listed.launched_us):
            self._closed.pop(entry.name, None)
            return listed
        self._closed[entry.name] = None
        if not self._looking:
            self._looking = True
            self._base.spawn(self._look, "cold shares")
        return replace(listed, phase=api.Phase.DRAINING)

    def _look(self) -> None:
        """Open machines of which there is some share again, all of a while at once."""
        try:
            while self._closed:
                self._base.hub.sleep(LOOK_US)
                held = self._fleet.held
                for name in [name for name in self._closed if name not in held]:
                    del self._closed[name]
                again = [held[name] for name in self._closed if self.left(name, held[name].listed.launched_us)]
                if again:
                    self._fleet.take_again(again)
        finally:
            self._looking = False
