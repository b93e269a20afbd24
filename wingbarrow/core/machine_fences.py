"""Fencing of Jobs at this region's machines, for placers of other regions that take over the Jobs.

A fence makes a machine reject a Job's tasks of epochs before the given one, and report what it runs of the Job.
"""

from __future__ import annotations

from wingbarrow.core.context import CoreContext
from wingbarrow.core.machines import Machines
from wingbarrow.decide.sessions.messages import MachineQuery, MachineReport
from wingbarrow.peers.replication import RecordReplication

MAX_PENDING_QUERIES = 64


class MachineFences:
    """Answers machine queries, each in a background task of its own."""

    def __init__(
        self, context: CoreContext, machines: Machines, records: RecordReplication
    ) -> None:
        self._context = context
        self._machines = machines
        self._records = records
        self._pending = 0

    def on_machine_query(self, ident: str, query: MachineQuery) -> None:
        """Fence a Job at a machine, and report to `ident`. A query beyond the limit is dropped; the sender retries."""
        if self._pending >= MAX_PENDING_QUERIES:
            self._context.counts["fences dropped"] += 1
            return
        link = self._machines.links.get(query.machine)
        self._pending += 1

        def fence() -> None:
            try:
                fenced = link.fence(query.uid, query.epoch) if link is not None else None
            finally:
                self._pending -= 1
            # Danger: a machine that does not remember all tasks since its start cannot report what it does not run.
            report = MachineReport(
                query.number,
                query.machine,
                query.uid,
                fenced is not None,
                fenced is not None and bool(fenced.pods),
                fenced.uptime_us if fenced is not None and fenced.is_complete else 0,
            )
            self._records.send_machine_report(ident, report)

        self._context.spawn(fence, "asks a machine")
