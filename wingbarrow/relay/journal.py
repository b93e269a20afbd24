"""Follows the machine list of the journal service by long polling."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.entries import Entry, Event, ListUpdate, machine_id, parse, read
from wingbarrow.relay.event_sequence import EventSequence
from wingbarrow.relay.once_log import OnceLog
from wingbarrow.transport import CancelScope

# Danger (rule 3): an event that a silent service withholds counts as delivered soon after the requested wait. A short
# wait detects a silent service early, at the cost of more frequent polls.
POLL_WAIT_MS = 1_000
POLL_GRACE_US = 400_000  # a poll times out this long after the requested wait
CONNECT_US = 500_000
MAX_BODY_BYTES = 4 << 20
MIN_POLL_US = POLL_WAIT_MS * 500  # half the wait; an empty answer before it counts as early
# Danger (rule 3): a drain that is unread after a stall counts as delivered. The grace is 250 ms; a fifth is used here.
MAX_UNREAD_US = 50_000


class Follower:
    """Passes each event once to `deliver(news)`, and calls `on_failure()` when a poll fails or times out.

    `known` holds the events from the configuration, up to `position`. `shift_us` converts the list's wall-clock times
    to the hub's clock.
    """

    def __init__(
        self,
        runtime: PlacerRuntime,
        address: Address,
        position: int,
        shift_us: int,
        deliver: Callable[[ListUpdate], None],
        on_failure: Callable[[], None],
        known: Sequence[ListUpdate] = (),
    ) -> None:
        # Fixed for the life of the process, so that a machine's start time never changes.
        self._shift_us = shift_us
        self._runtime, self._address = runtime, address
        self._deliver, self._on_failure = deliver, on_failure
        self._sequence = EventSequence(runtime, position, known)
        self._once_log = OnceLog(runtime)
        self._scope: CancelScope | None = None
        self._pool: Pool | None = None
        self._backoff = Backoff(random.Random(runtime.random.random()), 20_000, 500_000)

    def change_address(self, address: Address) -> None:
        """Poll another address from now on; a poll of the old one is cancelled."""
        if address != self._address:
            self._address = address
            self._backoff.reset()
            if self._scope is not None:
                self._scope.cancel()

    def has_stale_input(self, now_us: int) -> bool:
        """Whether input of the service older than MAX_UNREAD_US may still be unread."""
        return self._pool is not None and self._pool.has_unread(now_us, MAX_UNREAD_US)

    def run(self) -> None:
        """Poll until cancelled."""
        hub = self._runtime.hub
        # Danger (rule 3): offers that are ready must not be sent before drains are read.
        hub.current().urgent = True
        while True:
            address = self._address
            limits = PoolLimits(
                connections=1, connect_us=CONNECT_US, message=Limits(body=MAX_BODY_BYTES)
            )
            pool = self._pool = Pool(hub, address.host, address.port, limits)
            try:
                while address == self._address:
                    if not self._poll(pool, address) and address == self._address:
                        with CancelScope(hub) as self._scope:  # an address change ends the backoff
                            hub.sleep(self._backoff.next_delay_us())
            finally:
                pool.close()

    def _poll(self, pool: Pool, address: Address) -> bool:
        """Poll once and apply the answer; whether the next poll may follow without backoff."""
        runtime, started_us = self._runtime, self._runtime.hub.now_us()
        tail = self._sequence.next_tail()
        answer: tuple[int, list[Event]] | None = None
        why = ""
        # The scope ends before delivery, so that an address change never interrupts one.
        with CancelScope(runtime.hub) as scope:
            self._scope = scope
            try:
                answer = self._request(pool, tail)
            except (CallFailed, ValueError, RecursionError) as error:
                why = str(error)[:200]
        if answer is None and scope.cancelled:
            return True  # cancelled by an address change: not a failure of the new service
        if answer is None:
            runtime.counts["journal_failures"] += 1
            runtime.log("journal-poll-failed", level="warning", address=str(address), why=why)
            self._on_failure()
            return False
        if self._apply(tail, *answer) or runtime.hub.now_us() - started_us >= MIN_POLL_US:
            self._backoff.reset()
            return True
        runtime.counts["journal_early"] += 1
        self._once_log.warn("journal-early", "empty answer before half of the requested wait")
        return False

    def _request(self, pool: Pool, tail: int) -> tuple[int, list[Event]]:
        until_us = self._runtime.hub.now_us() + POLL_WAIT_MS * 1000 + POLL_GRACE_US
        response = pool.request(
            "GET", f"/journal?tail={tail}&max_wait={POLL_WAIT_MS}", until_us=until_us
        )
        if response.status != 200:
            raise ValueError(f"journal service answered status {response.status}, expected 200")
        return parse(json.loads(response.body), self._shift_us)

    def _apply(self, tail: int, last: int, events: list[Event]) -> bool:
        """Deliver the new events of an answer; whether there were any."""
        news = self._sequence.apply(tail, last, events)
        for each in news:
            self._deliver(each)
        return bool(news)


__all__ = ["Entry", "Follower", "ListUpdate", "machine_id", "read"]
