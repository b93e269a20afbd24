"""Follows the machine list of the journal service by long polling, with overlapping calls while answers are late."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.list_freshness import MAX_UNREAD_US, ListFreshness
from wingbarrow.decide.long_poll import (
    CALL_INTERVAL_US,
    CONNECT_US,
    MAX_CALLS,
    SILENCE_US,
    WAIT_US,
    AbandonCall,
    LongPoll,
    ReportSilence,
    StartCall,
    WaitUntil,
)
from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.message import Limits
from wingbarrow.relay.configuration import Address
from wingbarrow.relay.entries import Entry, Event, ListUpdate, machine_id, parse, read
from wingbarrow.relay.event_sequence import EventQuery, EventSequence
from wingbarrow.relay.once_log import OnceLog
from wingbarrow.transport import CancelScope, Hub, Signal

MAX_BODY_BYTES = 4 << 20
MIN_POLL_US = WAIT_US // 2  # an empty answer before it counts as early
UNREAD_CHECK_US = 1_000  # between checks whether an answer that has arrived was read
MAX_REASON_CHARS = 200
HTTP_OK = 200
NO_WAIT_US = 1_000  # asked for where the answer is wanted at once


@dataclass(frozen=True, slots=True)
class _Call:
    """A call in flight."""

    number: int
    query: EventQuery
    started_us: int
    wait_us: int
    scope: CancelScope


@dataclass(frozen=True, slots=True)
class _Answer:
    """The content of an answer: the service's last event number, and the events that were asked for."""

    last: int
    events: list[Event]
    earliest_arrival_us: int


class Follower:
    """Passes each event once to `deliver(news)`, and calls `on_failure()` when a call fails or the service is silent.

    `known` holds the events from the configuration, up to `position`. `shift_us` converts the list's wall-clock times
    to the hub's clock. `patience_us`: the initial time for which a single call is kept while the service is silent.
    """

    def __init__(
        self,
        runtime: PlacerRuntime,
        address: Address,
        position: int,
        shift_us: int,
        deliver: Callable[[ListUpdate], None],
        on_failure: Callable[[], None],
        patience_us: int,
        known: Sequence[ListUpdate] = (),
    ) -> None:
        # Fixed for the life of the process, so that a machine's start time never changes.
        self._shift_us = shift_us
        self._runtime, self._address = runtime, address
        self._deliver, self._on_failure = deliver, on_failure
        self._sequence = EventSequence(runtime, position, known)
        self._once_log = OnceLog(runtime)
        self._long_poll = LongPoll(random.Random(runtime.random.random()), patience_us)
        self._freshness = ListFreshness()
        self._calls: dict[int, _Call] = {}
        self._was_late = False  # the latest answer
        self._changed = Signal(runtime.hub)  # a call has ended, or the address has changed
        self._pool = self._new_pool()

    def _new_pool(self) -> Pool:
        limits = PoolLimits(
            connections=MAX_CALLS,
            connect_us=None,  # LongPoll decides how long to wait for connections and answers
            first_byte_us=None,
            max_idle=1,
            message=Limits(body=MAX_BODY_BYTES),
        )
        return Pool(self._runtime.hub, self._address.host, self._address.port, limits)

    def change_address(self, address: Address) -> None:
        """Call another address from now on; calls to the old one are broken off."""
        if address == self._address:
            return
        self._break_off_all()
        self._pool.close()
        self._address = address
        self._pool = self._new_pool()
        self._long_poll.on_service_changed()
        self._freshness.on_service_changed()
        self._changed.notify()

    def has_stale_input(self, now_us: int) -> bool:
        """Whether input of the service older than MAX_UNREAD_US may still be unread."""
        return self._pool.has_unread(now_us, MAX_UNREAD_US)

    def holds_sends(self, now_us: int) -> bool:
        """Whether a drain may have been told while this process stood still, and nothing was heard since."""
        return self._freshness.holds_sends(now_us)

    def run(self) -> None:
        """Follow the list until cancelled."""
        hub = self._runtime.hub
        hub.current().urgent = True
        try:
            while True:
                # After a stall, an answer that has arrived meanwhile is read before its call may be abandoned.
                if self._pool.has_unread(hub.now_us(), 0):
                    hub.sleep(UNREAD_CHECK_US)
                else:
                    self._take_step(hub)
        finally:
            self._break_off_all()
            self._pool.close()

    def _take_step(self, hub: Hub) -> None:
        match self._long_poll.next_step(hub.now_us()):
            case StartCall():
                self._start_call()
            case AbandonCall(number, overtaken):
                self._abandon(number, overtaken)
            case ReportSilence(connecting=True):
                self._report_failure(f"no connection in {CONNECT_US // 1000} ms")
            case ReportSilence():
                self._report_failure(f"no answer for {SILENCE_US // 1000} ms")
            case WaitUntil(at_us):
                with CancelScope(hub, at_us):
                    self._changed.wait()

    # -- calls

    def _start_call(self) -> None:
        hub, pool = self._runtime.hub, self._pool
        number = self._long_poll.on_started(hub.now_us())
        wait_us = NO_WAIT_US if self._freshness.is_outdated else WAIT_US
        call = _Call(number, self._sequence.next_query(), hub.now_us(), wait_us, CancelScope(hub))
        self._calls[number] = call
        self._runtime.spawn(lambda: self._carry_out(call, pool), "journal-call")

    def _abandon(self, number: int, overtaken: bool) -> None:
        self._runtime.counts["journal_overtaken" if overtaken else "journal_abandoned"] += 1
        self._calls.pop(number).scope.cancel()

    def _break_off_all(self) -> None:
        for call in self._calls.values():
            call.scope.cancel()
        self._calls.clear()

    def _carry_out(self, call: _Call, pool: Pool) -> None:
        """Make a call and apply its answer."""
        # Danger (rule 3): offers that are ready must not be sent before drains are read.
        self._runtime.hub.current().urgent = True
        answer: _Answer | None = None
        why = ""
        # The scope ends before delivery, so that a delivery is never interrupted.
        with call.scope:
            try:
                answer = self._request(pool, call)
            except (CallFailed, ValueError, RecursionError) as error:
                why = str(error)[:MAX_REASON_CHARS]
        if pool is not self._pool:
            pool.close()  # the address has changed: its connection is not used again
        self._calls.pop(call.number, None)
        if answer is not None:
            self._on_answer(call, answer)
        elif not call.scope.cancelled:
            self._long_poll.on_failed(self._runtime.hub.now_us(), call.number)
            self._report_failure(why)
        self._changed.notify()

    def _request(self, pool: Pool, call: _Call) -> _Answer:
        def on_connected() -> bool:
            self._long_poll.on_connected(self._runtime.hub.now_us(), call.number)
            self._changed.notify()
            return True

        target = f"/journal?tail={call.query.tail}&max_wait={call.wait_us // 1000}"
        response = pool.request("GET", target, may_send=on_connected)
        if response.status != HTTP_OK:
            raise ValueError(
                f"journal service answered status {response.status}, expected {HTTP_OK}"
            )
        last, events = parse(json.loads(response.body), self._shift_us)
        return _Answer(last, events, response.earliest_arrival_us)

    def _report_failure(self, why: str) -> None:
        self._runtime.counts["journal_failures"] += 1
        self._runtime.log(
            "journal-poll-failed",
            level="warning",
            address=str(self._address),
            why=why,
            in_flight=self._long_poll.in_flight,
        )
        self._on_failure()

    def _on_answer(self, call: _Call, answer: _Answer) -> None:
        now = self._runtime.hub.now_us()
        took_us = now - call.started_us
        self._count_answer(took_us)
        self._freshness.on_answer(now, call.started_us, answer.earliest_arrival_us)
        was_outdated = self._sequence.is_outdated(call.query)
        news = self._sequence.apply(call.query, answer.last, answer.events)
        is_early = not news and not was_outdated and took_us < min(MIN_POLL_US, call.wait_us // 2)
        if not call.scope.cancelled:
            self._long_poll.on_answered(self._runtime.hub.now_us(), call.number, is_early)
            if is_early:
                self._runtime.counts["journal_early"] += 1
                self._once_log.warn(
                    "journal-early", "empty answer before half of the requested wait"
                )
        for each in news:
            self._deliver(each)

    def _count_answer(self, took_us: int) -> None:
        """Count answers, so that metrics distinguish a slow service from a dead one; log the first of late answers."""
        is_late = took_us >= CALL_INTERVAL_US
        self._runtime.counts["journal_answers"] += 1
        self._runtime.counts["journal_late_answers"] += is_late
        if is_late and not self._was_late:
            in_flight = self._long_poll.in_flight
            self._runtime.log("journal-answer-late", took_ms=took_us // 1000, in_flight=in_flight)
        self._was_late = is_late


__all__ = ["Entry", "Follower", "ListUpdate", "machine_id", "read"]
