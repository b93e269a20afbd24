"""Follows the machine list of the journal service by long polling, and handles gaps and renumbering of its events."""

from __future__ import annotations

import json
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.entries import (
    Entry,
    Event,
    ListState,
    ListUpdate,
    machine_id,
    merge,
    parse,
    read,
)
from wingbarrow.transport import CancelScope

# Danger (rule 3): an event that a silent service withholds counts as delivered soon after the requested wait. A short
# wait detects a silent service early, at the cost of more frequent polls.
POLL_WAIT_MS = 1_000
POLL_GRACE_US = 400_000  # a poll times out this long after the requested wait
CONNECT_US = 500_000
MAX_BODY_BYTES = 4 << 20
MIN_POLL_US = POLL_WAIT_MS * 500  # half the wait; an empty answer before it counts as early
MAX_GAP_POLLS = 3  # polls for missing events before they are skipped
# Danger (rule 3): a drain that is unread after a stall counts as delivered. The grace is 250 ms; a fifth is used here.
MAX_UNREAD_US = 50_000
MAX_MARKS = 1024  # event hashes kept, to distinguish a lagging service from a renumbered one
MAX_LOGGED_TEXTS = 64  # remembered, so that a repeated fault is logged once


class Follower:
    """Passes each event once to `deliver(news)`, and calls `on_failure()` when a poll fails or times out.

    `known` holds the events from the configuration, up to `position`. Entries are states, not differences, so events
    after a gap are delivered at once. When a missing event arrives, only its machines without a later event are used.
    `shift_us` converts the list's wall-clock times to the hub's clock.
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
        self.position = position  # all events up to it were applied or skipped
        # Events applied beyond a gap, by number, with the names of their machines.
        self._applied_ahead: dict[int, tuple[str, ...]] = {}
        self._gap_polls = 0  # consecutive polls after which events were still missing
        self._refetch_all = False  # the position regressed: the next poll asks for all events
        self._lagging_position: int | None = None  # highest number of a service known to lag
        self._list_state = ListState(known)
        self._marks = OrderedDict((each.position, each.digest) for each in known)
        self._logged: deque[str] = deque(maxlen=MAX_LOGGED_TEXTS)
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
        tail = 0 if self._refetch_all or self._gap_polls == MAX_GAP_POLLS - 1 else self.position
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
        self._warn_once("journal-early", "empty answer before half of the requested wait")
        return False

    def _request(self, pool: Pool, tail: int) -> tuple[int, list[Event]]:
        until_us = self._runtime.hub.now_us() + POLL_WAIT_MS * 1000 + POLL_GRACE_US
        response = pool.request(
            "GET", f"/journal?tail={tail}&max_wait={POLL_WAIT_MS}", until_us=until_us
        )
        if response.status != 200:
            raise ValueError(f"journal service answered status {response.status}, expected 200")
        return parse(json.loads(response.body), self._shift_us)

    # -- applying an answer

    def _apply(self, tail: int, last: int, events: list[Event]) -> bool:
        """Deliver the new events of an answer; whether there were any."""
        self._refetch_all = False
        highest = max([last, *(event.position for event in events)])
        if highest < self.position:
            news = self._on_position_regressed(tail, highest, events)
        else:
            self._lagging_position = None
            news = self._new_events(events)
        for each in news:
            self._deliver(each)
        return bool(news)

    def _new_events(self, events: list[Event]) -> list[ListUpdate]:
        news: list[ListUpdate] = []
        top = 0
        for event in events:
            number = event.position
            if event.why:
                self._report_bad_entry(event.why)
                top = max(top, number)
            elif number > self.position and (number not in self._applied_ahead or event.full):
                newer = {
                    name
                    for later, names in self._applied_ahead.items()
                    if later > number
                    for name in names
                }
                news.append(self._merge_event(event, newer))
                self._applied_ahead[number] = tuple(entry.name for entry in news[-1].entries)
                if event.full:
                    self._advance_to(number)
                while self.position + 1 in self._applied_ahead:
                    self._advance_to(self.position + 1)
        self._check_for_gap(max([top, *self._applied_ahead]))
        return news

    def _merge_event(self, event: Event, newer: set[str]) -> ListUpdate:
        self._marks[event.position] = event.digest
        if len(self._marks) > MAX_MARKS:
            self._marks.popitem(last=False)
        return self._list_state.apply(event, self._report_bad_entry, newer)

    def _advance_to(self, number: int) -> None:
        """Set the position; missing events up to it are no longer expected."""
        self.position = number
        self._applied_ahead = {
            ahead: names for ahead, names in self._applied_ahead.items() if ahead > number
        }

    def _check_for_gap(self, top: int) -> None:
        """Count consecutive polls that leave an event up to number `top` missing, and skip the gap after the last.

        The last of these polls asks for all events, not only those after the position.
        """
        if top <= self.position:
            self._gap_polls = 0
            return
        self._gap_polls += 1
        if self._gap_polls == 1:
            self._runtime.counts["journal_gaps"] += 1
            self._runtime.log("journal-gap", level="warning", after=self.position, before=top)
        if self._gap_polls > MAX_GAP_POLLS - 1:
            self._gap_polls = 0
            self._runtime.counts["journal_gaps_given_up"] += 1
            self._runtime.log("journal-gap-skipped", level="error", after=self.position, before=top)
            self._advance_to(top)

    def _on_position_regressed(
        self, tail: int, highest: int, events: list[Event]
    ) -> list[ListUpdate]:
        """Handle an answer that ends before our position: the service lags, or it has renumbered its events."""
        if highest == self._lagging_position:
            return []
        if tail > 0:
            self._runtime.counts["journal_went_back"] += 1
            self._warn_once("journal-went-back", f"highest event number is {highest}")
            self._refetch_all = True
            return []
        readable = [event for event in events if not event.why]
        # Danger (rule 3): applying a lagging list would mark draining machines as running.
        hashes_match = all(
            self._marks.get(event.position, event.digest) == event.digest for event in readable
        )
        if not readable or (hashes_match and readable[-1].position in self._marks):
            self._lagging_position = highest
            return []
        self._runtime.log("journal-renumbered", level="warning", ours=self.position, theirs=highest)
        self._marks.clear()
        self._gap_polls = 0
        # Merged into one delivery: a machine that only a later event lists must not count as gone in between.
        news = merge([self._merge_event(event, set()) for event in readable])
        self._applied_ahead.clear()
        self.position = news.position
        return [news]

    # -- logging

    def _warn_once(self, what: str, why: str) -> None:
        if f"{what} {why}" not in self._logged:
            self._logged.append(f"{what} {why}")
            self._runtime.log(what, level="warning", why=why)

    def _report_bad_entry(self, why: str) -> None:
        self._runtime.counts["journal_bad_entries"] += 1
        self._warn_once("bad-list-entry", why)


__all__ = ["Entry", "Follower", "ListUpdate", "machine_id", "read"]
