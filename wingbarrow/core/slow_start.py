"""What this placer may send to cold machines where placers hold subsets: its share by rank, asked at the gate (rule 4).

A machine is shown to the module as draining, and to nobody else, as soon as the offers under way use up its share,
until there is some again: the module goes elsewhere, and spends few of a task's attempts on offers that the gate would
hold (those alone that it chose in one and the same turn). What was chosen before goes out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.link import MachineLink
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.slow_start import Arrival, SlowStartShare
from wingbarrow.decide.subsets import Subsets

CHECK_INTERVAL_US = 50_000
ARRIVALS = {
    api.Outcome.NOT_SENT: Arrival.NEVER,
    api.Outcome.UNREACHABLE: Arrival.NEVER,
    api.Outcome.TIMED_OUT: Arrival.UNKNOWN,
    api.Outcome.CANCELLED: Arrival.UNKNOWN,
    api.Outcome.BROKEN: Arrival.ARRIVED,
}


class SlowStartShares:
    """`offers`: what all placers together may send to one cold machine within the window, by the rules in force."""

    def __init__(
        self,
        base: Base,
        fleet: Fleet,
        attempts: Attempts,
        subsets: Subsets,
        offers: Callable[[], float],
    ) -> None:
        self._base, self._fleet, self._attempts = base, fleet, attempts
        self._subsets, self._fleet_offers = subsets, offers
        rules = base.settings.scheduler
        self._cold_us = rules.cold_us
        self._account = SlowStartShare(
            rules.fall_us * 5 // 4
        )  # a quarter longer, as in the module: offers travel
        self._closed: dict[
            str, None
        ] = {}  # machines that are shown as draining for want of a share
        self._reopening = False
        fleet.slow_start_guard = self._limit

    def has_share(self, link: MachineLink) -> bool:
        """Whether one more offer may go to a machine now; True for any that is not cold."""
        now = self._base.hub.now_us()
        return (
            not self._is_cold(link.launched_us, now)
            or self._left(now, link.name, link.launched_us) > 0
        )

    def _left(self, now_us: int, name: str, launched_us: int) -> int:
        share = self._subsets.cold_most(self._base.settings.name, name, self._fleet_offers())
        return self._account.remaining(now_us, name, launched_us, share)

    def on_chosen(self, link: MachineLink) -> None:
        """The module has chosen a machine for an offer that is under way from now on."""
        entry = self._fleet.held.get(link.name)
        if (
            entry is not None
            and link.name not in self._closed
            and self._is_used_up(link.name, link.launched_us)
        ):
            self._fleet.reapply([entry])

    def _is_used_up(self, name: str, launched_us: int) -> bool:
        """Whether what is under way uses up what is left of a cold machine's share."""
        now = self._base.hub.now_us()
        if not self._is_cold(launched_us, now):
            return False
        waiting = sum(each.stage is Stage.WAITING for each in self._attempts.on_named(name))
        return self._left(now, name, launched_us) <= waiting

    def on_sent(self, attempt: Attempt) -> None:
        """The first byte of an offer goes out, which the gate allowed."""
        link, now = attempt.link, self._base.hub.now_us()
        if self._is_cold(link.launched_us, now):
            self._account.on_sent(
                link.name, link.launched_us, link.launched_us + self._cold_us, attempt.key
            )

    def on_attempt_answered(self, attempt: Attempt, outcome: api.Outcome | None) -> None:
        """How an offer ended; None: its task runs."""
        came = Arrival.CONTACT if outcome is None else ARRIVALS.get(outcome, Arrival.CONTACT)
        self._account.on_ended(self._base.hub.now_us(), attempt.link.name, attempt.key, came)

    def on_contact(self, name: str) -> None:
        """A machine has answered something else: what it was sent and given up before has come."""
        self._account.on_ended(self._base.hub.now_us(), name, "", Arrival.CONTACT)

    def _is_cold(self, launched_us: int, now_us: int) -> bool:
        return launched_us > 0 and now_us < launched_us + self._cold_us

    def _limit(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        if listed.phase is not api.Phase.RUNNING or not self._is_used_up(
            entry.name, listed.launched_us
        ):
            self._closed.pop(entry.name, None)
            return listed
        self._closed[entry.name] = None
        if not self._reopening:
            self._reopening = True
            self._base.spawn(self._reopen_machines, "cold shares")
        return replace(listed, phase=api.Phase.DRAINING)

    def _reopen_machines(self) -> None:
        """Open machines of which there is some share again, all of a while at once."""
        try:
            while self._closed:
                self._base.hub.sleep(CHECK_INTERVAL_US)
                held = self._fleet.held
                for name in [name for name in self._closed if name not in held]:
                    del self._closed[name]
                again = [
                    held[name]
                    for name in self._closed
                    if not self._is_used_up(name, held[name].listed.launched_us)
                ]
                if again:
                    self._fleet.reapply(again)
        finally:
            self._reopening = False
