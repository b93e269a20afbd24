"""Where a process spends its processor time: samples by ITIMER_PROF, booked to the innermost frame of the project."""

from __future__ import annotations

import signal
from collections import Counter
from types import FrameType

SAMPLE_S = 0.002  # of processor time between two samples
PARTS = ("module", "core", "http", "hub", "other")
_BY_PACKAGE = {
    "transport": "hub",
    "http": "http",
    "core": "core",
    "decide": "core",
    "kube": "core",
    "fronts": "core",
    "config": "core",
}


def booked(frame: FrameType | None) -> str:
    """Which part of the project a stack stands in."""
    while frame is not None:
        name = frame.f_code.co_filename.rpartition("/wingbarrow/")[2]
        if name.startswith(("scheduler", "placement", "machine_state")):
            return "module"
        part = _BY_PACKAGE.get(name.partition("/")[0])
        if part is not None:
            return part
        frame = frame.f_back
    return "other"


class Sampler:
    """Counts samples by part from `start` on; one for a process, as the signal belongs to the whole of it.

    While it runs, Linux counts the process's own clock in ticks of some milliseconds: what takes less than that is to
    be measured without it.
    """

    def __init__(self) -> None:
        self.samples: Counter[str] = Counter()

    def start(self) -> None:
        """Take samples from now on."""
        signal.signal(signal.SIGPROF, lambda _, frame: self.samples.update([booked(frame)]))
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)

    def stop(self) -> None:
        """Take no more."""
        signal.setitimer(signal.ITIMER_PROF, 0)

    def take(self) -> dict[str, int]:
        """The samples since the last call, by part."""
        taken = dict(self.samples)
        self.samples.clear()
        return taken
