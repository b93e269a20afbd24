"""Slow start (rule 4): this placer's share of offers to cold machines where placers hold subsets; the gate checks it.

Once the offers in flight use up a machine's share, the machine is shown as draining to the decision module alone, until
part of the share is free again. The module then chooses other machines, and a task spends few attempts on offers that
the gate holds: only those that were chosen within the same module event.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.slow_start import Arrival, SlowStartShare
from wingbarrow.decide.subsets import Subsets

CHECK_INTERVAL_US = 50_000
# What an offer's outcome shows of its arrival at the machine; outcomes not listed show contact.
ARRIVALS = {
    api.Outcome.NOT_SENT: Arrival.NEVER,
    api.Outcome.UNREACHABLE: Arrival.NEVER,
    api.Outcome.TIMED_OUT: Arrival.UNKNOWN,
    api.Outcome.CANCELLED: Arrival.UNKNOWN,
    api.Outcome.BROKEN: Arrival.ARRIVED,
}


class SlowStartShares:
    """Keeps the account of this placer's offers to cold machines, and closes machines whose share is used up.

    `fleet_offers()`: the offers of all placers together to one cold machine within the window, by the rules in force.
    """

    def __init__(
        self,
        context: CoreContext,
        fleet: Fleet,
        attempts: Attempts,
        subsets: Subsets,
        fleet_offers: Callable[[], float],
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._attempts = attempts
        self._subsets = subsets
        self._fleet_offers = fleet_offers
        rules = context.settings.scheduler
        self._cold_us = rules.cold_us
        # A quarter longer than the window, as in the decision module, because offers take time to arrive.
        self._account = SlowStartShare(rules.fall_us * 5 // 4)
        # Machines shown to the module as draining because their share is used up, in order of closing.
        self._closed: dict[str, None] = {}
        self._reopening = False
        fleet.slow_start_guard = self._limit

    def has_share(self, link: MachineLink) -> bool:
        """Whether one more offer may be sent to a machine now; always True for a machine that is not cold."""
        now = self._context.hub.now_us()
        return (
            not self._is_cold(link.launched_us, now)
            or self._remaining(now, link.name, link.launched_us) > 0
        )

    def _remaining(self, now_us: int, name: str, launched_us: int) -> int:
        share = self._subsets.max_cold_offers(
            self._context.settings.name, name, self._fleet_offers()
        )
        return self._account.remaining(now_us, name, launched_us, share)

    def on_chosen(self, link: MachineLink) -> None:
        """Close the machine if the offer that was just bound to it uses up its share."""
        entry = self._fleet.held.get(link.name)
        if (
            entry is not None
            and link.name not in self._closed
            and self._is_used_up(link.name, link.launched_us)
        ):
            self._fleet.reapply([entry])

    def _is_used_up(self, name: str, launched_us: int) -> bool:
        """Whether the offers that wait to be sent use up what remains of a cold machine's share."""
        now = self._context.hub.now_us()
        if not self._is_cold(launched_us, now):
            return False
        waiting = sum(each.stage is Stage.WAITING for each in self._attempts.on_machine_named(name))
        return self._remaining(now, name, launched_us) <= waiting

    def on_sent(self, attempt: Attempt) -> None:
        """Count an offer that has passed the gate; its first byte is about to be sent."""
        link, now = attempt.link, self._context.hub.now_us()
        if self._is_cold(link.launched_us, now):
            self._account.on_sent(
                link.name, link.launched_us, link.launched_us + self._cold_us, attempt.key
            )

    def on_attempt_answered(self, attempt: Attempt, outcome: api.Outcome | None) -> None:
        """Record the end of an offer; an outcome of None means that its task is running."""
        arrival = Arrival.CONTACT if outcome is None else ARRIVALS.get(outcome, Arrival.CONTACT)
        self._account.on_ended(self._context.hub.now_us(), attempt.link.name, attempt.key, arrival)

    def on_contact(self, name: str) -> None:
        """Record that a machine answered a probe: offers to it that were given up before have arrived."""
        self._account.on_ended(self._context.hub.now_us(), name, "", Arrival.CONTACT)

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
            self._context.spawn(self._reopen_machines, "slow start")
        return replace(listed, phase=api.Phase.DRAINING)

    def _reopen_machines(self) -> None:
        """Show machines that have a free share again to the module as listed, in one delivery per interval."""
        try:
            while self._closed:
                self._context.hub.sleep(CHECK_INTERVAL_US)
                held = self._fleet.held
                for name in [name for name in self._closed if name not in held]:
                    del self._closed[name]
                reopened = [
                    held[name]
                    for name in self._closed
                    if not self._is_used_up(name, held[name].listed.launched_us)
                ]
                if reopened:
                    self._fleet.reapply(reopened)
        finally:
            self._reopening = False
