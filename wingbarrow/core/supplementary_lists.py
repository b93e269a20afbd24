"""Lists read beside the watch, for machines that are wanted by now: one at a time, each after a random wait."""

from __future__ import annotations

from wingbarrow.core.base import Base
from wingbarrow.core.reflector import Reflector
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed
from wingbarrow.kube.status import ApiError

PAUSE_FIRST_US, PAUSE_MOST_US = 200_000, 5_000_000


class Refills:
    """`spread_us`: the longest wait before a list, for placers that hear of one cause at about the same time."""

    def __init__(self, base: Base, reflector: Reflector, spread_us: int) -> None:
        self._base, self._reflector = base, reflector
        self._spread_us = spread_us
        self.going = self._again = False

    def ask(self) -> None:
        """What is wanted has grown: have a list read that is asked for after this."""
        self._again = True
        if not self.going:
            self.going = True
            self._base.spawn(self._run, "takes in machines")

    def _run(self) -> None:
        hub = self._base.hub
        pause = Backoff(self._base.random, PAUSE_FIRST_US, PAUSE_MOST_US)
        try:
            while self._again:
                self._again, lists = False, self._reflector.relists
                hub.sleep(int(self._base.random.random() * self._spread_us))
                # A list that the reflector took in meanwhile has all that is wanted.
                while self._reflector.relists == lists and not self._refilled():
                    hub.sleep(pause.next_delay_us())
        finally:
            self.going = False

    def _refilled(self) -> bool:
        try:
            self._reflector.refill()
        except (CallFailed, ApiError, ValueError) as error:
            self._base.counts["subset:relists failed"] += 1
            self._base.log("subset-relist-failed", level="warning", why=str(error)[:200])
            return False
        return True
