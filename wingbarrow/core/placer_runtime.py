"""Runtime that a placer's components share, whatever its front: hub, counters, log, random numbers, nursery."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from wingbarrow.transport import Hub, Nursery


class PlacerRuntime:
    """What every component of a placer shares. A component that cannot go on after a failure calls `shut_down`."""

    def __init__(self, hub: Hub, log: Callable[..., None], seed: int) -> None:
        self.hub = hub
        self.log = log
        self.counts: Counter[str] = Counter()
        self.random = random.Random(seed)
        self._nursery: Nursery | None = None

    def attach_nursery(self, nursery: Nursery) -> None:
        """Start background tasks in this nursery from now on. Without a nursery, `spawn` does nothing."""
        self._nursery = nursery

    def spawn(self, call: Callable[[], Any], name: str) -> None:
        """Start a background task, which is cancelled when the placer shuts down."""
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)

    def shut_down(self) -> None:
        """Cancel all background tasks, and so end the placer: after a failure it must not go on."""
        if self._nursery is not None:
            self._nursery.cancel()
