"""The reflector decodes the same Node the same way each time."""

from __future__ import annotations

import random
from typing import Any

from wingbarrow.config import load_text
from wingbarrow.core.context import CoreContext
from wingbarrow.core.logs import silent
from wingbarrow.core.reflector import Reflector
from wingbarrow.lab.cluster import settings_text
from wingbarrow.transport import Hub, VirtualClock

NODE: dict[str, Any] = {
    "metadata": {
        "name": "n1",
        "resourceVersion": "1",
        "labels": {},
        "annotations": {"wingbarrow.io/launched": "2026-06-01T00:00:00.000000Z"},
    },
    "spec": {},
    "status": {
        "addresses": [{"type": "InternalIP", "address": "127.0.0.1"}],
        "daemonEndpoints": {"kubeletEndpoint": {"Port": 10250}},
    },
}


class JitteringClock(VirtualClock):
    """A virtual clock whose wall clock jitters, because two real clocks are never read at the same moment."""

    def __init__(self) -> None:
        super().__init__()
        self._jitter = random.Random(7)

    def wall_us(self) -> int:
        """Microseconds since 1970, up to 42 us late."""
        return super().wall_us() + self._jitter.randrange(42)


def test_a_start_is_the_same_time_at_each_reading() -> None:
    """Otherwise each reading would look like a new start of the machine.

    The decision module would then discard what it knows of the machine, including offers that await a response.
    """
    hub = Hub(JitteringClock())
    context = CoreContext(hub, load_text(settings_text(0, 1, 1, 1)), silent)
    reflector = Reflector(
        hub,
        "127.0.0.1",
        1,
        "wingbarrow/p0",
        random.Random(1),
        10,
        context.shift_us,
        lambda form, entries, gone: None,
        silent,
    )
    starts = {
        entry.listed.launched_us
        for entry in (reflector._read(NODE) for _ in range(500))
        if entry is not None
    }
    assert len(starts) == 1
