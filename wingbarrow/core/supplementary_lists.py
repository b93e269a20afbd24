"""Supplementary lists: read while the watch goes on, for machines that have become wanted since the last list.

One list is read at a time, each after a random delay.
"""

from __future__ import annotations

from wingbarrow.core.context import CoreContext
from wingbarrow.core.reflector import Reflector
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed
from wingbarrow.kube.status import ApiError

MIN_BACKOFF_US = 200_000
MAX_BACKOFF_US = 5_000_000


class SupplementaryLists:
    """Reads supplementary lists with a reflector.

    `spread_us`: upper bound of the random delay before a list, which spreads the lists of placers that respond to the
    same event.
    """

    def __init__(self, context: CoreContext, reflector: Reflector, spread_us: int) -> None:
        self._context, self._reflector = context, reflector
        self._spread_us = spread_us
        self.running = self._requested = False

    def request(self) -> None:
        """Have a list read that is requested after this call, as more machines are wanted now."""
        self._requested = True
        if not self.running:
            self.running = True
            self._context.spawn(self._run, "list missing machines")

    def _run(self) -> None:
        hub = self._context.hub
        pause = Backoff(self._context.random, MIN_BACKOFF_US, MAX_BACKOFF_US)
        try:
            while self._requested:
                self._requested, lists = False, self._reflector.relists
                hub.sleep(int(self._context.random.random() * self._spread_us))
                # A full list that the reflector has read meanwhile contains all wanted machines.
                while self._reflector.relists == lists and not self._list_once():
                    hub.sleep(pause.next_delay_us())
        finally:
            self.running = False

    def _list_once(self) -> bool:
        try:
            self._reflector.list_missing_machines()
        except (CallFailed, ApiError, ValueError) as error:
            self._context.counts["subset:relists failed"] += 1
            self._context.log("subset-list-failed", level="warning", why=str(error)[:200])
            return False
        return True
