"""Lists read beside the watch, for machines that are wanted by now: one at a time, each after a random wait."""

from __future__ import annotations

from wingbarrow.core.base import Base
from wingbarrow.core.reflector import Reflector
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed
from wingbarrow.kube.status import ApiError

MIN_BACKOFF_US, MAX_BACKOFF_US = 200_000, 5_000_000


class SupplementaryLists:
    """`spread_us`: the longest wait before a list, for placers that hear of one cause at about the same time."""

    def __init__(self, base: Base, reflector: Reflector, spread_us: int) -> None:
        self._base, self._reflector = base, reflector
        self._spread_us = spread_us
        self.running = self._requested = False

    def request(self) -> None:
        """What is wanted has grown: have a list read that is asked for after this."""
        self._requested = True
        if not self.running:
            self.running = True
            self._base.spawn(self._run, "list missing machines")

    def _run(self) -> None:
        hub = self._base.hub
        pause = Backoff(self._base.random, MIN_BACKOFF_US, MAX_BACKOFF_US)
        try:
            while self._requested:
                self._requested, lists = False, self._reflector.relists
                hub.sleep(int(self._base.random.random() * self._spread_us))
                # A list that the reflector took in meanwhile has all that is wanted.
                while self._reflector.relists == lists and not self._list_once():
                    hub.sleep(pause.next_delay_us())
        finally:
            self.running = False

    def _list_once(self) -> bool:
        try:
            self._reflector.list_missing_machines()
        except (CallFailed, ApiError, ValueError) as error:
            self._base.counts["subset:relists failed"] += 1
            self._base.log("subset-relist-failed", level="warning", why=str(error)[:200])
            return False
        return True
