"""Health checks of machines that have gone silent, by whether new connections to them are established.

A machine that vanished, or is partitioned, leaves its connections open and silent. One whose process is stalled, or
that merely has nothing to report, still accepts connections, as its operating system does that for it. A new connection
is therefore the probe: it costs the machine's process no work. Offers are given up sooner than running tasks: an
offer that is given up is tried elsewhere, whereas a running task that is written off too early is lost to its owner
though it still runs.
"""

from __future__ import annotations

from enum import Enum

OFFER_SILENCE_US = 400_000  # silence after which a machine with an offer in flight is probed
TASK_SILENCE_US = 1_500_000  # silence after which a machine with running tasks is probed
PROBE_INTERVAL_US = 2_000_000  # least time between probes that succeed
UNREACHABLE_FAILURES = 2  # consecutive failed probes after which offers are given up
# Running tasks are written off this long after the first failed probe, and only after LOST_FAILURES consecutive
# failures: a single failure followed by a long time without a probe proves nothing.
LOST_AFTER_US = 4_000_000
LOST_FAILURES = 4
SAME_PROBE_US = 50_000  # connection attempts that began within this time count as one probe
FAILED_PROBE_INTERVAL_US = 300_000  # least time between probes while they fail


class HealthAction(Enum):
    """What to do about a machine now."""

    NONE = "none"
    PROBE = "open a connection to probe the machine"
    FAIL_OFFERS = "give up its offers in flight: they will not be answered"
    FAIL_TASKS = "write off its running tasks"


class Liveness:
    """The health of one machine, as its connections show it; all times in microseconds of one clock."""

    __slots__ = (
        "_failed_probe_us",
        "_failed_since_us",
        "_failures",
        "_had_running",
        "_probed_us",
        "last_received_us",
    )

    def __init__(self, now_us: int) -> None:
        self.last_received_us = now_us
        self._probed_us = now_us - PROBE_INTERVAL_US
        self._failed_since_us: int | None = None
        self._failed_probe_us = now_us  # when the latest failed probe began
        self._failures = 0  # consecutive failed probes
        self._had_running = False  # at the latest check

    def on_data_received(self, now_us: int) -> None:
        """The machine sent data."""
        self.last_received_us = now_us
        self._failed_since_us, self._failures = None, 0

    def on_connected(self, now_us: int) -> None:
        """A new connection was established: the machine is up, whatever its process does."""
        self._probed_us = now_us
        self._failed_since_us, self._failures = None, 0

    def on_refused(self, now_us: int) -> None:
        """A new connection was refused: the machine is up, though nothing listens; its open connections stay in use."""
        self.on_connected(now_us)

    def on_connect_timeout(self, now_us: int, started_us: int) -> None:
        """A connection attempt that began at `started_us` timed out."""
        self._probed_us = now_us
        if self._failed_since_us is None:
            self._failed_since_us = started_us
        elif started_us - self._failed_probe_us < SAME_PROBE_US:
            # Danger: concurrent connection attempts, as several offers start them, are one probe, not several in a row.
            return
        self._failed_probe_us = started_us
        self._failures += 1

    @property
    def is_suspect(self) -> bool:
        """Whether the latest probe failed: data written to an open connection may never arrive."""
        return self._failures > 0

    def failed_recently(self, now_us: int) -> bool:
        """Whether a probe failed so recently that another one now would show nothing new."""
        return self._failures > 0 and now_us - self._probed_us < FAILED_PROBE_INTERVAL_US

    def next_action(self, now_us: int, offers: bool, running: bool) -> HealthAction:
        """What to do now; to be called periodically.

        `offers`: the machine has offers in flight; `running`: it has running tasks.
        """
        if running and not self._had_running:
            # Danger: the machine may have come back since, as it is not probed while nothing is out there. A task that
            # is handed over would be written off by failures from before.
            self._failed_since_us, self._failures = None, 0
        self._had_running = running
        if self._failures:
            since_us = self._failed_since_us
            if (
                since_us is not None
                and now_us - since_us >= LOST_AFTER_US
                and self._failures >= LOST_FAILURES
            ):
                return HealthAction.FAIL_TASKS
            if offers and self._failures >= UNREACHABLE_FAILURES:
                return HealthAction.FAIL_OFFERS
            due = offers or running
            return (
                HealthAction.PROBE
                if due and now_us - self._probed_us >= FAILED_PROBE_INTERVAL_US
                else HealthAction.NONE
            )
        silent_us = now_us - self.last_received_us
        due = (offers and silent_us >= OFFER_SILENCE_US) or (
            running and silent_us >= TASK_SILENCE_US
        )
        return (
            HealthAction.PROBE
            if due and now_us - self._probed_us >= PROBE_INTERVAL_US
            else HealthAction.NONE
        )
