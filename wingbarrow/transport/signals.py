"""Handling of operating system signals in the hub."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

from wingbarrow.transport.hub import READ, Hub


def on_signals(hub: Hub, handlers: dict[int, Callable[[], None]]) -> Callable[[], None]:
    """Install handlers by signal number; returns the task body that calls them when a signal arrives."""
    reading, writing = hub.wake_pipe()
    signal.set_wakeup_fd(writing, warn_on_full_buffer=False)
    for number in handlers:
        signal.signal(number, lambda *_: None)

    def listen() -> None:
        while True:
            hub.wait(reading, READ)
            for number in os.read(reading, 64):
                if number in handlers:
                    handlers[number]()

    return listen
