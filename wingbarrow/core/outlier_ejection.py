"""Outlier ejection: reports the outcomes of starts, and sends no offers to machines that agreed verdicts eject."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.nodes import NodeEntry
from wingbarrow.decide.coordination.coordinator import Coordinator

# A refusal for lack of capacity is no fault of the machine, nor is an offer that was not sent or was cancelled here.
FAULT_OUTCOMES = (
    api.Outcome.ERROR,
    api.Outcome.TIMED_OUT,
    api.Outcome.UNREACHABLE,
    api.Outcome.BROKEN,
)


class OutlierEjections:
    """Applies the ejection verdicts to the machine list.

    `coordinator` returns the replicated state machine through which placers agree, None where there is none.
    """

    def __init__(
        self, context: CoreContext, fleet: Fleet, coordinator: Callable[[], Coordinator | None]
    ) -> None:
        self._context, self._fleet, self._coordinator = context, fleet, coordinator
        self._ejected: frozenset[str] = frozenset()
        fleet.guards.append(self._guard)

    def record_outcome(self, machine: str, outcome: api.Outcome | None) -> None:
        """Record the outcome of an attempt on a machine; None where its task runs."""
        coordinator = self._coordinator()
        if coordinator is not None and (outcome is None or outcome in FAULT_OUTCOMES):
            coordinator.health_observer.record(self._context.hub.now_us(), machine, outcome is None)

    def on_verdicts(self, closed: frozenset[str]) -> None:
        """Apply the verdicts in force: exactly these machines are ejected from now on."""
        changed, self._ejected = self._ejected ^ closed, closed
        for name in sorted(changed):
            self._context.counts["verdicts:closed" if name in closed else "verdicts:opened"] += 1
            self._context.log("verdict", machine=name, closed=name in closed)
        held = self._fleet.held
        self._fleet.reapply([held[name] for name in sorted(changed) if name in held])

    def zones(self) -> Mapping[str, str]:
        """The zone of each machine that the list has as running."""
        return {
            name: entry.listed.zone
            for name, entry in self._fleet.held.items()
            if entry.listed.phase is api.Phase.RUNNING
        }

    def _guard(self, entry: NodeEntry, listed: api.ListedMachine) -> api.ListedMachine:
        """Set an ejected machine to draining; a verdict never opens a machine that the list has closed.

        A verdict that is older than the machine's last start does not apply.
        """
        coordinator = self._coordinator()
        if (
            entry.name not in self._ejected
            or listed.phase is not api.Phase.RUNNING
            or coordinator is None
        ):
            return listed
        now = self._context.hub.now_us()
        if listed.launched_us > now - coordinator.ejections.age_us(now, entry.name):
            return listed
        return replace(listed, phase=api.Phase.DRAINING)
