"""What a life leaves on disk for the next: the last list of machines, and a stamp that it was alive."""

from __future__ import annotations

from pathlib import Path

from wingbarrow.core import saved_list as saved
from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet, saved_entries
from wingbarrow.interface import ListForm

SAVE_EVERY_US = 5_000_000
ALIVE_EVERY_US = 1_000_000


class Checkpoint:
    """Without a folder for state, nothing is kept and nothing is known at a start."""

    def __init__(self, base: Base, fleet: Fleet) -> None:
        self._base, self._fleet = base, fleet

    def load(self) -> None:
        """Give the fleet the saved list; an empty one where there is none, or it cannot be used (which is told)."""
        entries = []
        if self._base.settings.state:
            try:
                entries = saved_entries(
                    saved.load(Path(self._base.settings.state)), self._base.shift_us
                )
            except ValueError as error:
                self._base.log("saved-list-unusable", level="error", why=str(error))
                self._fleet.forgotten()
        self._fleet.take(ListForm.SAVED, entries, [])

    def run(self) -> None:
        """Keep stamp and list up to date until cancelled."""
        held: dict[str, int] = {}
        folder, saved_us = Path(self._base.settings.state or "."), self._base.hub.now_us()
        while True:
            self._stamp(folder)
            self._base.hub.sleep(ALIVE_EVERY_US)
            # Danger (rule 5): a machine that a next life holds no longer is known to it by this list alone.
            fresh = (
                self._base.settings.subset is not None
                and not self._fleet.held.keys() <= held.keys()
            )
            if self._base.hub.now_us() - saved_us < SAVE_EVERY_US and not fresh:
                continue
            saved_us = self._base.hub.now_us()
            now = {name: entry.version for name, entry in self._fleet.held.items()}
            if now and now != held:
                try:
                    saved.save(folder, [entry.value for entry in self._fleet.held.values()])
                    held = now
                except OSError as error:
                    self._base.log("list-not-saved", level="error", why=str(error))

    def _stamp(self, folder: Path) -> None:
        try:
            saved.stamp_alive(folder, self._base.hub.clock.wall_us())
        except OSError as error:
            self._base.counts["stamps_failed"] += 1
            if self._base.counts["stamps_failed"] == 1:
                self._base.log("stamp-not-saved", level="error", why=str(error))
