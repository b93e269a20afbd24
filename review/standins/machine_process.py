"""One machine as a process of its own, so that it can be stopped and continued as a whole.

Arguments: name, cell, zone. Writes its port, then a line for each thing that it does, with the Unix time.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from collections.abc import Coroutine
from typing import Any

import rig as stand


class Record:
    """Writes lines to standard output."""

    def now(self) -> float:
        """The Unix time."""
        return time.time()

    def __call__(self, who: str, what: str) -> None:
        print(f"{time.time():.6f} {what}", flush=True)


class Host:
    """What a machine needs of the rig."""

    def __init__(self) -> None:
        self.record = Record()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run in the background."""
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def life(self, values: dict[int, bytes]) -> float:
        """How long a task lives: the number after the last colon of its service."""
        return float(values[stand.DESCRIPTION].decode().rpartition(":")[2])


async def main() -> None:
    name, cell, zone = sys.argv[1:]
    machine = stand.Machine(Host(), name, int(cell), zone)  # type: ignore[arg-type]
    await machine.start()
    print(machine.port, flush=True)
    await asyncio.Event().wait()


logging.getLogger("asyncio").setLevel(logging.CRITICAL)
asyncio.run(main())
