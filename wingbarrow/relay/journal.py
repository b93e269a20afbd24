"""The follower of the machine list: long poll from the last whole event, and what is done about missing ones."""

from __future__ import annotations

import json
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

from wingbarrow.core.life import Life
from wingbarrow.decide.backoff import Backoff
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.entries import Entry, Event, News, Roster, ident, merge, parse, read
from wingbarrow.transport import CancelScope

# Danger (rule 3): what a service that fell silent would have told counts as told soon after the wait that was asked
# for. A short wait has it noticed soon, at the price of a call as often.
POLL_WAIT_MS = 1_000
POLL_GRACE_US = 400_000  # beyond the wait asked for, until it counts as silent
CONNECT_US = 500_000
MAX_BODY_BYTES = 4 << 20
MIN_POLL_US = (
    POLL_WAIT_MS * 500
)  # an answer without news before that is not the wait that was asked for
MAX_GAP_POLLS = 3  # for missing events, until they are given up
# Danger (rule 3): a drain that lies unread after a stall counts as told. Of a grace of 250 ms a fifth may pass.
MAX_UNREAD_US = 50_000
MAX_MARKS = 1024  # events remembered, to tell a service that lags from one that numbers anew
MAX_LOGGED_TEXTS = 64  # texts remembered, so that one fault is not logged over and over


class Follower:
    """Tells `deliver(news)` each event once; `failed()` when the service breaks off or
    falls silent. `known`: the events of the start, to which `position` belongs.

    Entries are states, not differences: what comes after a missing event is told at once, and of the missing one, when
    it comes, what no later event has told of.
    """

    def __init__(
        self,
        life: Life,
        address: Address,
        position: int,
        shift_us: int,
        deliver: Callable[[News], None],
        on_failure: Callable[[], None],
        known: Sequence[News] = (),
    ) -> None:
        self._shift_us = shift_us  # the same for a whole life: a start is never two times
        self._life, self._address, self._deliver, self._on_failure = (
            life,
            address,
            deliver,
            on_failure,
        )
        self.position = position  # up to it nothing is missing
        self._applied_ahead: dict[
            int, tuple[str, ...]
        ] = {}  # events taken in beyond a missing one, and their machines
        self._gap_polls = 0  # in a row that left events missing
        self._poll_all = False  # the numbers went back: all events are asked for once
        self._lagging_position: int | None = None  # the last number of a service that lags
        self._roster = Roster(known)
        self._marks = OrderedDict((each.position, each.mark) for each in known)
        self._logged: deque[str] = deque(maxlen=MAX_LOGGED_TEXTS)
        self._scope: CancelScope | None = None
        self._pool: Pool | None = None
        self._backoff = Backoff(random.Random(life.random.random()), 20_000, 500_000)

    def change_address(self, address: Address) -> None:
        """Ask another address from now on; what was asked of the old one is let go."""
        if address != self._address:
            self._address = address
            self._backoff.clear()
            if self._scope is not None:
                self._scope.cancel()

    def has_stale_input(self, now_us: int) -> bool:
        """Whether something that the service told over UNREAD_US ago may lie unread here."""
        return self._pool is not None and self._pool.has_unread(now_us, MAX_UNREAD_US)

    def run(self) -> None:
        """Follow for ever."""
        hub = self._life.hub
        hub.current().first = (
            True  # Danger (rule 3): offers that are ready must not go before drains are read
        )
        while True:
            address = self._address
            limits = PoolLimits(
                connections=1, connect_us=CONNECT_US, message=Limits(body=MAX_BODY_BYTES)
            )
            pool = self._pool = Pool(hub, address.host, address.port, limits)
            try:
                while address == self._address:
                    if not self._poll(pool, address) and address == self._address:
                        with CancelScope(hub) as self._scope:  # a move ends the pause too
                            hub.sleep(self._backoff.next_us())
            finally:
                pool.close()

    def _poll(self, pool: Pool, address: Address) -> bool:
        """One call and what it tells; whether the next may follow at once."""
        life, started_us = self._life, self._life.hub.now_us()
        tail = 0 if self._poll_all or self._gap_polls == MAX_GAP_POLLS - 1 else self.position
        answer: tuple[int, list[Event]] | None = None
        why = ""
        # The scope ends before anything is delivered: a move never cuts a delivery short.
        with CancelScope(life.hub) as scope:
            self._scope = scope
            try:
                answer = self._request(pool, tail)
            except (CallFailed, ValueError, RecursionError) as error:
                why = str(error)[:200]
        if answer is None and scope.cancelled:
            return True  # the old service's failure is not the new one's
        if answer is None:
            life.counts["journal_failures"] += 1
            life.log("journal-failed", level="warning", address=str(address), why=why)
            self._on_failure()
            return False
        if self._apply(tail, *answer) or life.hub.now_us() - started_us >= MIN_POLL_US:
            self._backoff.clear()
            return True
        life.counts["journal_early"] += 1
        self._warn_once("journal-early", "an answer without news before its time")
        return False

    def _request(self, pool: Pool, tail: int) -> tuple[int, list[Event]]:
        until_us = self._life.hub.now_us() + POLL_WAIT_MS * 1000 + POLL_GRACE_US
        response = pool.request(
            "GET", f"/journal?tail={tail}&max_wait={POLL_WAIT_MS}", until_us=until_us
        )
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return parse(json.loads(response.body), self._shift_us)

    # -- what an answer tells

    def _apply(self, tail: int, last: int, events: list[Event]) -> bool:
        """Deliver what is new; whether there was anything."""
        self._poll_all = False
        highest = max([last, *(event.position for event in events)])
        if highest < self.position:
            news = self._on_position_regressed(tail, highest, events)
        else:
            self._lagging_position = None
            news = self._new_events(events)
        for each in news:
            self._deliver(each)
        return bool(news)

    def _new_events(self, events: list[Event]) -> list[News]:
        news: list[News] = []
        top = 0
        for event in events:
            number = event.position
            if event.why:
                self._report_bad_entry(event.why)
                top = max(top, number)
            elif number > self.position and (number not in self._applied_ahead or event.whole):
                newer = {
                    name
                    for later, names in self._applied_ahead.items()
                    if later > number
                    for name in names
                }
                news.append(self._merge_event(event, newer))
                self._applied_ahead[number] = tuple(entry.name for entry in news[-1].entries)
                if event.whole:
                    self._advance_to(number)
                while self.position + 1 in self._applied_ahead:
                    self._advance_to(self.position + 1)
        self._check_for_gap(max([top, *self._applied_ahead]))
        return news

    def _merge_event(self, event: Event, newer: set[str]) -> News:
        self._marks[event.position] = event.mark
        if len(self._marks) > MAX_MARKS:
            self._marks.popitem(last=False)
        return self._roster.take(event, self._report_bad_entry, newer)

    def _advance_to(self, number: int) -> None:
        """Up to this number nothing is missing, or nothing is waited for any more."""
        self.position = number
        self._applied_ahead = {
            ahead: names for ahead, names in self._applied_ahead.items() if ahead > number
        }

    def _check_for_gap(self, top: int) -> None:
        """Where an event up to `top` is missing: ask again, the last time for all, and then go on without it."""
        if top <= self.position:
            self._gap_polls = 0
            return
        self._gap_polls += 1
        if self._gap_polls == 1:
            self._life.counts["journal_gaps"] += 1
            self._life.log("journal-gap", level="warning", after=self.position, before=top)
        if self._gap_polls > MAX_GAP_POLLS - 1:
            self._gap_polls = 0
            self._life.counts["journal_gaps_given_up"] += 1
            self._life.log("journal-gap-given-up", level="error", after=self.position, before=top)
            self._advance_to(top)

    def _on_position_regressed(self, tail: int, highest: int, events: list[Event]) -> list[News]:
        """The service's numbers end before ours: it lags, or it numbers anew and then all that it has is new."""
        if highest == self._lagging_position:
            return []
        if tail > 0:
            self._life.counts["journal_went_back"] += 1
            self._warn_once("journal-went-back", f"to {highest}")
            self._poll_all = True
            return []
        good = [event for event in events if not event.why]
        # Danger (rule 3): a list that lags would have machines running that were told to drain since.
        same = all(self._marks.get(event.position, event.mark) == event.mark for event in good)
        if not good or (same and good[-1].position in self._marks):
            self._lagging_position = highest
            return []
        self._life.log("journal-anew", level="warning", ours=self.position, theirs=highest)
        self._marks.clear()
        self._gap_polls = 0
        # As one: a machine that comes after the first event has not gone in between.
        news = merge([self._merge_event(event, set()) for event in good])
        self._applied_ahead.clear()
        self.position = news.position
        return [news]

    # -- telling

    def _warn_once(self, what: str, why: str) -> None:
        if f"{what} {why}" not in self._logged:
            self._logged.append(f"{what} {why}")
            self._life.log(what, level="warning", why=why)

    def _report_bad_entry(self, why: str) -> None:
        self._life.counts["journal_bad_entries"] += 1
        self._warn_once("bad-list-entry", why)


__all__ = ["Entry", "Follower", "News", "ident", "read"]
