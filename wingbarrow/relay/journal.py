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

# Danger (rule 3): what a service that fell silent would have told counts as told soon after the wait that was asked
# for. A short wait has it noticed soon, at the price of a call as often.
WAIT_MS = 1_000
GRACE_US = 400_000  # beyond the wait asked for, until it counts as silent
CONNECT_US = 500_000
MAX_BODY_BYTES = 4 << 20
EARLY_US = WAIT_MS * 500  # an answer without news before that is not the wait that was asked for
MAX_ASKS = 3  # for missing events, until they are given up
# Danger (rule 3): a drain that lies unread after a stall counts as told. Of a grace of 250 ms a fifth may pass.
UNREAD_US = 50_000
MAX_MARKS = 1024  # events remembered, to tell a service that lags from one that numbers anew
MAX_REPORTED = 64  # texts remembered, so that one fault is not logged over and over


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
        deliver: Callable[[ListUpdate], None],
        failed: Callable[[], None],
        known: Sequence[ListUpdate] = (),
    ) -> None:
        self._shift_us = shift_us  # the same for a whole life: a start is never two times
        self._life, self._address, self._deliver, self._failed = life, address, deliver, failed
        self.position = position  # up to it nothing is missing
        self._ahead: dict[
            int, tuple[str, ...]
        ] = {}  # events taken in beyond a missing one, and their machines
        self._asks = 0  # in a row that left events missing
        self._from_start = False  # the numbers went back: all events are asked for once
        self._behind: int | None = None  # the last number of a service that lags
        self._list_state = ListState(known)
        self._marks = OrderedDict((each.position, each.digest) for each in known)
        self._told: deque[str] = deque(maxlen=MAX_REPORTED)
        self._scope: CancelScope | None = None
        self._pool: Pool | None = None
        self._pause = Backoff(random.Random(life.random.random()), 20_000, 500_000)

    def move_to(self, address: Address) -> None:
        """Ask another address from now on; what was asked of the old one is let go."""
        if address != self._address:
            self._address = address
            self._pause.clear()
            if self._scope is not None:
                self._scope.cancel()

    def is_behind(self, now_us: int) -> bool:
        """Whether something that the service told over UNREAD_US ago may lie unread here."""
        return self._pool is not None and self._pool.has_unread(now_us, UNREAD_US)

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
                    if not self._turn(pool, address) and address == self._address:
                        with CancelScope(hub) as self._scope:  # a move ends the pause too
                            hub.sleep(self._pause.next_us())
            finally:
                pool.close()

    def _turn(self, pool: Pool, address: Address) -> bool:
        """One call and what it tells; whether the next may follow at once."""
        life, begun_us = self._life, self._life.hub.now_us()
        tail = 0 if self._from_start or self._asks == MAX_ASKS - 1 else self.position
        answer: tuple[int, list[Event]] | None = None
        why = ""
        # The scope ends before anything is delivered: a move never cuts a delivery short.
        with CancelScope(life.hub) as scope:
            self._scope = scope
            try:
                answer = self._ask(pool, tail)
            except (CallFailed, ValueError, RecursionError) as error:
                why = str(error)[:200]
        if answer is None and scope.cancelled:
            return True  # the old service's failure is not the new one's
        if answer is None:
            life.counts["journal_failures"] += 1
            life.log("journal-failed", level="warning", address=str(address), why=why)
            self._failed()
            return False
        if self._take_in(tail, *answer) or life.hub.now_us() - begun_us >= EARLY_US:
            self._pause.clear()
            return True
        life.counts["journal_early"] += 1
        self._tell("journal-early", "an answer without news before its time")
        return False

    def _ask(self, pool: Pool, tail: int) -> tuple[int, list[Event]]:
        until_us = self._life.hub.now_us() + WAIT_MS * 1000 + GRACE_US
        response = pool.request(
            "GET", f"/journal?tail={tail}&max_wait={WAIT_MS}", until_us=until_us
        )
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return parse(json.loads(response.body), self._shift_us)

    # -- what an answer tells

    def _take_in(self, tail: int, last: int, events: list[Event]) -> bool:
        """Deliver what is new; whether there was anything."""
        self._from_start = False
        highest = max([last, *(event.position for event in events)])
        if highest < self.position:
            news = self._gone_back(tail, highest, events)
        else:
            self._behind = None
            news = self._new_of(events)
        for each in news:
            self._deliver(each)
        return bool(news)

    def _new_of(self, events: list[Event]) -> list[ListUpdate]:
        news: list[ListUpdate] = []
        top = 0
        for event in events:
            number = event.position
            if event.why:
                self._complain(event.why)
                top = max(top, number)
            elif number > self.position and (number not in self._ahead or event.full):
                newer = {
                    name for later, names in self._ahead.items() if later > number for name in names
                }
                news.append(self._take(event, newer))
                self._ahead[number] = tuple(entry.name for entry in news[-1].entries)
                if event.full:
                    self._pass(number)
                while self.position + 1 in self._ahead:
                    self._pass(self.position + 1)
        self._look_for_missing(max([top, *self._ahead]))
        return news

    def _take(self, event: Event, newer: set[str]) -> ListUpdate:
        self._marks[event.position] = event.digest
        if len(self._marks) > MAX_MARKS:
            self._marks.popitem(last=False)
        return self._list_state.apply(event, self._complain, newer)

    def _pass(self, number: int) -> None:
        """Up to this number nothing is missing, or nothing is waited for any more."""
        self.position = number
        self._ahead = {ahead: names for ahead, names in self._ahead.items() if ahead > number}

    def _look_for_missing(self, top: int) -> None:
        """Where an event up to `top` is missing: ask again, the last time for all, and then go on without it."""
        if top <= self.position:
            self._asks = 0
            return
        self._asks += 1
        if self._asks == 1:
            self._life.counts["journal_gaps"] += 1
            self._life.log("journal-gap", level="warning", after=self.position, before=top)
        if self._asks > MAX_ASKS - 1:
            self._asks = 0
            self._life.counts["journal_gaps_given_up"] += 1
            self._life.log("journal-gap-given-up", level="error", after=self.position, before=top)
            self._pass(top)

    def _gone_back(self, tail: int, highest: int, events: list[Event]) -> list[ListUpdate]:
        """The service's numbers end before ours: it lags, or it numbers anew and then all that it has is new."""
        if highest == self._behind:
            return []
        if tail > 0:
            self._life.counts["journal_went_back"] += 1
            self._tell("journal-went-back", f"to {highest}")
            self._from_start = True
            return []
        good = [event for event in events if not event.why]
        # Danger (rule 3): a list that lags would have machines running that were told to drain since.
        same = all(self._marks.get(event.position, event.digest) == event.digest for event in good)
        if not good or (same and good[-1].position in self._marks):
            self._behind = highest
            return []
        self._life.log("journal-anew", level="warning", ours=self.position, theirs=highest)
        self._marks.clear()
        self._asks = 0
        # As one: a machine that comes after the first event has not gone in between.
        news = merge([self._take(event, set()) for event in good])
        self._ahead.clear()
        self.position = news.position
        return [news]

    # -- telling

    def _tell(self, what: str, why: str) -> None:
        if f"{what} {why}" not in self._told:
            self._told.append(f"{what} {why}")
            self._life.log(what, level="warning", why=why)

    def _complain(self, why: str) -> None:
        self._life.counts["journal_bad_entries"] += 1
        self._tell("bad-list-entry", why)


__all__ = ["Entry", "Follower", "ListUpdate", "machine_id", "read"]
