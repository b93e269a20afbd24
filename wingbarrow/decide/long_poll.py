"""Overlapping calls of a long poll: when a call begins, when one is abandoned, and when the service counts as silent.

A client that breaks off a late call and repeats it never gets an answer from a service that needs longer than the time
limit. Here a late call stays open while further calls begin, at most MAX_CALLS at a time. A slow service is therefore
followed, and one that has died, lost a call, or was replaced behind its address is called again as soon as with a time
limit. The answer to a call ends all earlier ones: they were lost, or their answers hold nothing more.

While MAX_CALLS are in flight, one is abandoned for each new one. The oldest is kept for a patience that doubles each
time it expires, like the retransmission timeout of RFC 6298, so that any service is followed eventually; the next
oldest is abandoned meanwhile, so that calls lost in an outage do not displace those after it. `docs/relay.md` derives
the longest time from an event to its delivery.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from wingbarrow.decide.backoff import Backoff

WAIT_US = 1_000_000  # how long the service is asked to wait for news
# From one call to the next while the first is not answered. Above WAIT_US, so that there are no more calls a second
# than when the service answers in time.
CALL_INTERVAL_US = 1_200_000
SILENCE_US = 1_400_000  # time without an answer after which the service counts as silent
CONNECT_US = 500_000  # time without a connection after which the service counts as unreachable
MAX_CALLS = 4  # in flight; each holds a descriptor, and a place in the service's queue
MIN_BACKOFF_US = 20_000
MAX_BACKOFF_US = 500_000


@dataclass(frozen=True, slots=True)
class StartCall:
    """Begin a call now, and report it by `on_started`."""


@dataclass(frozen=True, slots=True)
class AbandonCall:
    """Break off a call; nothing is reported for it any more."""

    call: int
    overtaken: bool  # whether a later call was answered first


@dataclass(frozen=True, slots=True)
class ReportSilence:
    """The service has not answered for SILENCE_US though a call is in flight, or cannot be connected to."""

    connecting: bool = False


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Nothing is due before this time, unless a call ends."""

    at_us: int


Step = StartCall | AbandonCall | ReportSilence | WaitUntil


@dataclass(slots=True)
class _Call:
    number: int
    started_us: int
    is_connected: bool = False
    is_connecting_late: bool = False
    overtaken: bool = False


class LongPoll:
    """The calls to one service; all times in microseconds of one clock.

    The caller carries out `next_step` until it is a WaitUntil, and again at that time and after each call of `on_...`.
    `patience_us`: the initial time for which the oldest call is kept while no further one can begin.
    """

    def __init__(self, rng: random.Random, patience_us: int) -> None:
        self._initial_patience_us = self._patience_us = patience_us
        self._backoff = Backoff(rng, MIN_BACKOFF_US, MAX_BACKOFF_US)
        self._calls: list[_Call] = []  # in flight, in the order of their start
        self._calls_started = 0
        self._retry_us = 0  # no call begins before this time
        self._quiet_since_us = 0  # the last answer or failure, or the start of the only call
        self._handshakes_are_slow = False  # the latest handshake took CONNECT_US or more

    @property
    def in_flight(self) -> int:
        """Calls that have begun and not ended."""
        return len(self._calls)

    def next_step(self, now_us: int) -> Step:
        """What to do now."""
        for call in self._calls:
            if call.overtaken:
                self._calls.remove(call)
                return AbandonCall(call.number, overtaken=True)
        if self._calls and now_us >= self._quiet_since_us + SILENCE_US:
            self._quiet_since_us = now_us
            return ReportSilence()
        if now_us >= self._connect_deadline_us():
            self._calls[-1].is_connecting_late = True
            self._delay_next_call(now_us)
            return ReportSilence(connecting=True)
        if now_us >= self._next_call_us():
            if len(self._calls) < MAX_CALLS:
                return StartCall()
            call = self._remove_stale_call(now_us)
            if not call.is_connecting_late:
                self._delay_next_call(now_us)
            return AbandonCall(call.number, overtaken=False)
        return WaitUntil(self._next_step_us())

    def _remove_stale_call(self, now_us: int) -> _Call:
        """Make room for another call."""
        if now_us - self._calls[0].started_us < self._patience_us:
            return self._calls.pop(1)
        self._patience_us *= 2
        return self._calls.pop(0)

    def _next_call_us(self) -> int:
        """When the next call may begin, or one is abandoned for it."""
        if not self._calls:
            return self._retry_us
        latest = self._calls[-1]
        if latest.is_connecting_late and not self._handshakes_are_slow:
            return self._retry_us
        is_full = len(self._calls) == MAX_CALLS
        interval_us = SILENCE_US if is_full else CALL_INTERVAL_US
        return max(self._retry_us, latest.started_us + interval_us)

    def _connect_deadline_us(self) -> float:
        """When the service counts as unreachable, unless the latest call is connected."""
        latest = self._calls[-1] if self._calls else None
        if latest is None or latest.is_connected or latest.is_connecting_late:
            return inf
        return inf if self._handshakes_are_slow else latest.started_us + CONNECT_US

    def _next_step_us(self) -> int:
        """When there is something to do, if no call ends or is connected before."""
        if not self._calls:
            return self._retry_us
        silent_us = self._quiet_since_us + SILENCE_US
        return int(min(self._next_call_us(), silent_us, self._connect_deadline_us()))

    def _delay_next_call(self, now_us: int) -> None:
        # Calls that fail together delay the next one once.
        if now_us >= self._retry_us:
            self._retry_us = now_us + self._backoff.next_delay_us()

    def on_started(self, now_us: int) -> int:
        """A call begins; its number."""
        if not self._calls:
            self._quiet_since_us = now_us
        self._calls_started += 1
        self._calls.append(_Call(self._calls_started, now_us))
        return self._calls_started

    def on_connected(self, now_us: int, number: int) -> None:
        """A call has a connection, and is about to be sent."""
        for call in self._calls:
            if call.number == number:
                call.is_connected = True
                if now_us > call.started_us:  # not a connection that was kept from an earlier call
                    self._handshakes_are_slow = now_us - call.started_us >= CONNECT_US

    def on_answered(self, now_us: int, number: int, is_early: bool) -> None:
        """A call was answered; `is_early`: without news, and long before the requested wait was over."""
        for call in self._calls:
            call.overtaken = call.overtaken or call.number < number
            if call.number == number:
                took_us = now_us - call.started_us
                self._patience_us = max(self._initial_patience_us, 2 * took_us)
        self._on_ended(now_us, number)
        if is_early:
            self._delay_next_call(now_us)
        else:
            self._backoff.reset()

    def on_failed(self, now_us: int, number: int) -> None:
        """A call has failed: it was refused, broken off, or its answer is unreadable."""
        self._on_ended(now_us, number)
        self._delay_next_call(now_us)

    def _on_ended(self, now_us: int, number: int) -> None:
        self._calls = [call for call in self._calls if call.number != number]
        self._quiet_since_us = now_us

    def on_service_changed(self) -> None:
        """The service has another address now, and the caller has broken off all calls."""
        self._calls.clear()
        self._backoff.reset()
        self._retry_us = 0
        self._patience_us = self._initial_patience_us
        self._handshakes_are_slow = False


__all__ = [
    "CALL_INTERVAL_US",
    "CONNECT_US",
    "MAX_CALLS",
    "SILENCE_US",
    "WAIT_US",
    "AbandonCall",
    "LongPoll",
    "ReportSilence",
    "StartCall",
    "Step",
    "WaitUntil",
]
