"""What the components behind the REST front share beside a placer's life: its settings in force and its name."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.config import PlacerSettings
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.kube import names
from wingbarrow.transport import Hub


class Base(PlacerRuntime):
    """One placer's life; `settings` are replaced when the file is read again."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.started_us = hub.clock.wall_us()
        # The module's clock less the Unix clock, the same for a whole life: a start is never two times.
        self.shift_us = hub.clock.now_us() - self.started_us
        super().__init__(hub, log, settings.seed * 1_000_003 + self.started_us)
        self.settings = settings
        # Part of every pod name: two placers, and two lives of one, must never share a name.
        self.incarnation = format(names.ident(f"{settings.name}/{self.started_us}"), "013x")
        self.sizes = {kind.name: (kind.cores, kind.memory) for kind in settings.scheduler.kinds}
