"""Checkpoint on disk for the next incarnation: the last machine list, and a heartbeat file."""

from __future__ import annotations

from pathlib import Path

from wingbarrow.core import saved_list
from wingbarrow.core.context import CoreContext
from wingbarrow.core.fleet import Fleet, saved_entries
from wingbarrow.interface import ListForm

SAVE_INTERVAL_US = 5_000_000
HEARTBEAT_INTERVAL_US = 1_000_000


class Checkpoint:
    """Loads the checkpoint at startup and keeps it up to date; does nothing without a state folder."""

    def __init__(self, context: CoreContext, fleet: Fleet) -> None:
        self._context, self._fleet = context, fleet

    def load(self) -> None:
        """Pass the saved list to the fleet; an empty one if there is none, or if it is unusable (logged)."""
        entries = []
        if self._context.settings.state:
            try:
                entries = saved_entries(
                    saved_list.load(Path(self._context.settings.state)), self._context.shift_us
                )
            except ValueError as error:  # the file or one of its entries is invalid
                self._context.log("saved-list-unusable", level="error", why=str(error))
                self._fleet.on_state_lost()
        self._fleet.apply(ListForm.SAVED, entries, [])

    def run(self) -> None:
        """Write heartbeat and list until cancelled."""
        saved_versions: dict[str, int] = {}
        folder = Path(self._context.settings.state or ".")
        saved_us = self._context.hub.now_us()
        while True:
            self._write_heartbeat(folder)
            self._context.hub.sleep(HEARTBEAT_INTERVAL_US)
            # Danger (rule 5): the next incarnation may have another subset of the machines, and only this list tells it
            # of machines that are no longer in its subset. New machines are therefore saved at once.
            has_new_machines = (
                self._context.settings.subset is not None
                and not self._fleet.held.keys() <= saved_versions.keys()
            )
            is_due = self._context.hub.now_us() - saved_us >= SAVE_INTERVAL_US
            if not is_due and not has_new_machines:
                continue
            saved_us = self._context.hub.now_us()
            versions = {name: entry.version for name, entry in self._fleet.held.items()}
            if versions and versions != saved_versions:
                try:
                    saved_list.save(folder, [entry.value for entry in self._fleet.held.values()])
                    saved_versions = versions
                except OSError as error:
                    self._context.log("machine-list-not-saved", level="error", why=str(error))

    def _write_heartbeat(self, folder: Path) -> None:
        try:
            saved_list.write_heartbeat(folder, self._context.hub.clock.wall_us())
        except OSError as error:
            self._context.counts["stamps_failed"] += 1
            if self._context.counts["stamps_failed"] == 1:
                self._context.log("heartbeat-not-saved", level="error", why=str(error))
