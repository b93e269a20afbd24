"""Context that the components behind the REST front share: the placer's settings, identity and lifetime."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.config import PlacerSettings
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.kube import names
from wingbarrow.transport import Hub


class CoreContext(PlacerRuntime):
    """Shared context of one placer; `settings` are replaced when the settings file is reloaded."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.started_us = hub.clock.wall_us()
        # The module's clock minus the Unix clock; constant, so that a machine's start always converts to the same time.
        self.shift_us = hub.clock.now_us() - self.started_us
        super().__init__(hub, log, settings.seed * 1_000_003 + self.started_us)
        self.settings = settings
        # Part of every pod name: two placers, or two incarnations of one, must never use the same pod name.
        self.incarnation = format(names.ident(f"{settings.name}/{self.started_us}"), "013x")
        self.sizes = {kind.name: (kind.cores, kind.memory) for kind in settings.scheduler.kinds}
