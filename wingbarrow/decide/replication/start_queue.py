"""A priority queue of the Jobs that were taken over and are ready to be started, emptied at the pace of failover."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from wingbarrow.decide.effects import Effect, Notify, SetTimer
from wingbarrow.decide.sessions.failover import (
    FailoverCase,
    SessionFailover,
    StartOrder,
    start_order_key,
)
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord

RETRY_US = 1_000_000  # after none of the ready Jobs could be started
MAX_POSTPONED_PER_START = 8  # ready Jobs that a batch may pass over, as a multiple of its starts
STARTABLE_TIMER = "startable"


class StartQueue:
    """Orders Jobs by `start_order_key`. `failover_of(uid)` returns the failover that a Job belongs to, if any."""

    def __init__(
        self, pace: FailoverPace, failover_of: Callable[[str], SessionFailover | None]
    ) -> None:
        self._pace = pace
        self._failover_of = failover_of
        self._entries: list[tuple[int, int, str, str]] = []  # heap of order key and uid
        self._next_start_us = 0
        self._timer_us: int | None = None

    def push(self, now_us: int, case: FailoverCase) -> list[Effect]:
        """Add a Job that is ready; `take` skips it if it is no longer ready by then."""
        heapq.heappush(self._entries, (*start_order_key(case), case.record.uid))
        return self._schedule(now_us)

    def take(
        self,
        now_us: int,
        cores: float,
        memory: float,
        may_start: Callable[[LeasedJobRecord], bool],
    ) -> tuple[list[StartOrder], list[Effect]]:
        """Return the Jobs to be started now, within this capacity (cores, GiB) and the pace; all others stay queued."""
        starts: list[StartOrder] = []
        postponed: list[tuple[int, int, str, str]] = []
        max_postponed = MAX_POSTPONED_PER_START * self._pace.max_starts
        while (
            now_us >= self._next_start_us
            and self._entries
            and len(starts) < self._pace.max_starts
            and len(postponed) < max_postponed
        ):
            entry = heapq.heappop(self._entries)
            uid = entry[-1]
            failover = self._failover_of(uid)
            if failover is None or uid not in failover.ready:
                continue
            case = failover.cases[uid]
            needed_cores = case.record.cores * len(case.start_indexes)
            needed_memory = case.record.memory * len(case.start_indexes)
            if needed_cores > cores or needed_memory > memory or not may_start(case.record):
                postponed.append(entry)
                continue
            cores -= needed_cores
            memory -= needed_memory
            starts.append(failover.start(uid))
        for entry in postponed:
            heapq.heappush(self._entries, entry)
        if starts:
            self._next_start_us = now_us + self._pace.start_interval_us
        return starts, self._schedule(now_us, 0 if starts else RETRY_US)

    def _schedule(self, now_us: int, after_us: int = 0) -> list[Effect]:
        """Set the timer for when the pace allows more starts, at the earliest after `after_us`."""
        if not self._entries or self._timer_us is not None:
            return []
        earliest_us = now_us + max(after_us, self._pace.start_interval_us // 4)
        self._timer_us = max(self._next_start_us, earliest_us)
        return [SetTimer(STARTABLE_TIMER, self._timer_us)]

    def on_timer(self) -> list[Effect]:
        """Notify the host that Jobs are ready; called at `STARTABLE_TIMER`."""
        self._timer_us = None
        return [Notify("startable", {"jobs": len(self._entries)})] if self._entries else []

    def clear(self) -> None:
        """Discard all Jobs."""
        self._entries.clear()
