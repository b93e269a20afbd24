"""What all rooms of the core share: hub, settings in force, counters, log, seeded chance, background tasks."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from wingbarrow.config import PlacerSettings
from wingbarrow.kube import names
from wingbarrow.transport import Hub, Nursery


class Base:
    """One placer's life; `settings` are replaced when the file is read again."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.hub = hub
        self.settings = settings
        self.log = log
        self.born_us = hub.clock.wall_us()
        self.counts: Counter[str] = Counter()
        self.random = random.Random(settings.seed * 1_000_003 + self.born_us)
        # Part of every pod name: two placers, and two lives of one, must never share a name.
        self.life = format(names.ident(f"{settings.name}/{self.born_us}"), "013x")
        self.sizes = {kind.name: (kind.cores, kind.memory) for kind in settings.scheduler.kinds}
        self._nursery: Nursery | None = None

    def live_in(self, nursery: Nursery) -> None:
        """Background tasks belong to this nursery from now on; without one they are not started."""
        self._nursery = nursery

    def spawn(self, call: Callable[[], Any], name: str) -> None:
        """Start a task that lives as long as the placer."""
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)

    def end(self) -> None:
        """End the placer: what failed must not go on."""
        if self._nursery is not None:
            self._nursery.cancel()
