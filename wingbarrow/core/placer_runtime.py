"""One placer's life, whatever front it serves: hub, counters, log, seeded chance, background tasks."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from wingbarrow.transport import Hub, Nursery


class PlacerRuntime:
    """What every component of a placer shares; it ends when something in it fails."""

    def __init__(self, hub: Hub, log: Callable[..., None], seed: int) -> None:
        self.hub = hub
        self.log = log
        self.counts: Counter[str] = Counter()
        self.random = random.Random(seed)
        self._nursery: Nursery | None = None

    def attach_nursery(self, nursery: Nursery) -> None:
        """Background tasks belong to this nursery from now on; without one they are not started."""
        self._nursery = nursery

    def spawn(self, call: Callable[[], Any], name: str) -> None:
        """Start a task that lives as long as the placer."""
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)

    def shut_down(self) -> None:
        """End the placer: what failed must not go on."""
        if self._nursery is not None:
            self._nursery.cancel()
