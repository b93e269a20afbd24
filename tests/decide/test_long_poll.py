"""Overlapping calls of a long poll, against services that are slow, crowded, dead or failing, by a small simulation."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

import pytest

from tests.slow_service import Order
from wingbarrow.decide.long_poll import (
    CALL_INTERVAL_US,
    MAX_CALLS,
    SILENCE_US,
    WAIT_US,
    AbandonCall,
    LongPoll,
    ReportSilence,
    StartCall,
    WaitUntil,
)

MS, S = 1_000, 1_000_000
PATIENCE_US = 10 * S
# From call to call with a limit of 1.4 s a call, and a backoff of 0.5 s at most.
RETRY_US = 1900 * MS

# How late the answer to a call that begins at a time is; None: it is never answered.
Lateness = Callable[[int], int | None]


@dataclass
class Call:
    """A call as the service sees it; its answer has every event up to `snapshot_us`."""

    number: int
    started_us: int
    connected_us: int | None
    snapshot_us: int = 0
    answer_us: int | None = None
    is_connected: bool = False
    ended: bool = False


@dataclass
class Simulation:
    """One client and one service, whose events are only their times."""

    lateness: Lateness
    handshake: Lateness = lambda now: 0  # how long a call is connected to the service
    order: Order = Order.WAIT_THEN_LATE
    seed: int = 1
    events: list[int] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    silences: list[int] = field(default_factory=list)
    abandoned: list[Call] = field(default_factory=list)
    learned: dict[int, int] = field(default_factory=dict)  # by time of the event
    answers: list[int] = field(default_factory=list)
    most_in_flight: int = 0

    def run(self, until_us: int) -> Simulation:
        """Play up to a time."""
        poll, now = LongPoll(random.Random(self.seed), PATIENCE_US), 0
        while now < until_us:
            self._serve(poll, now)
            wait_us = self._act(poll, now)
            self.most_in_flight = max(self.most_in_flight, poll.in_flight)
            now = min([wait_us, *self._service_events(now)])
        return self

    def _service_events(self, now: int) -> list[int]:
        calls = self._in_flight()
        times = [call.answer_us for call in calls]
        times += [call.connected_us for call in calls if not call.is_connected]
        return [max(at, now) for at in times if at is not None]

    def _serve(self, poll: LongPoll, now: int) -> None:
        for call in self._in_flight():
            if not call.is_connected and call.connected_us is not None and call.connected_us <= now:
                call.is_connected = True
                poll.on_connected(now, call.number)
            if call.answer_us is not None and call.answer_us <= now and not call.ended:
                self._answer(poll, call, now)

    def _in_flight(self) -> list[Call]:
        return [call for call in self.calls if not call.ended]

    def _new_call(self, number: int, now: int) -> Call:
        handshake_us, late_us = self.handshake(now), self.lateness(now)
        if handshake_us is None:
            return Call(number, now, None)
        came_us = now + handshake_us
        if late_us is None:
            return Call(number, now, came_us)
        looks_us = came_us if self.order is Order.WAIT_THEN_LATE else came_us + late_us
        waits_from_us = looks_us if self.order is Order.QUEUE_THEN_WAIT else came_us
        until_us = max(looks_us, waits_from_us + WAIT_US)
        unknown = (at for at in self.events if at <= until_us and self.learned.get(at, now) >= now)
        first_us = next(unknown, until_us)
        snapshot_us = max(looks_us, first_us)
        answer_us = snapshot_us + (late_us if self.order is Order.WAIT_THEN_LATE else 0)
        return Call(number, now, came_us, snapshot_us, max(answer_us, now + 1))

    def _answer(self, poll: LongPoll, call: Call, now: int) -> None:
        call.ended = True
        self.answers.append(now)
        for event in self.events:
            if event <= call.snapshot_us:
                self.learned.setdefault(event, now)
        poll.on_answered(now, call.number, is_early=False)

    def _act(self, poll: LongPoll, now: int) -> int:
        """Carry out what is due; when there is something to do next."""
        while True:
            match poll.next_step(now):
                case StartCall():
                    self.calls.append(self._new_call(poll.on_started(now), now))
                    self._serve(poll, now)
                case AbandonCall(number, overtaken):
                    call = next(each for each in self.calls if each.number == number)
                    call.ended = True
                    if not overtaken:
                        self.abandoned.append(call)
                case ReportSilence():
                    self.silences.append(now)
                case WaitUntil(at_us):
                    assert at_us > now, "it would be asked again at once"
                    return at_us

    def learning_times(self, until_us: int) -> list[int]:
        """How long each event took to be learned, of those told before a time."""
        return [self.learned[at] - at for at in self.events if at < until_us]

    def calls_between(self, from_us: int, to_us: int) -> int:
        """Calls that began in a span."""
        return sum(from_us <= call.started_us < to_us for call in self.calls)


def always(late_us: int | None) -> Lateness:
    return lambda now: late_us


def phases(*spans: tuple[int, int | None]) -> Lateness:
    """Lateness by time: pairs of a span's end and the lateness in it."""
    return lambda now: next(late_us for end_us, late_us in spans if now < end_us)


def random_events(seed: int, until_us: int, mean_us: int) -> list[int]:
    drawn = random.Random(seed)
    times, at = [], 0
    while (at := at + 1 + int(drawn.expovariate(1 / mean_us))) < until_us:
        times.append(at)
    return times


def longest_learning_us(late_us: int) -> int:
    """The bound that docs/relay.md states, by how late the service's answers are at most."""
    if WAIT_US + late_us <= MAX_CALLS * CALL_INTERVAL_US:
        return CALL_INTERVAL_US + late_us
    return WAIT_US + 2 * late_us


def test_a_service_in_time_has_one_call_at_a_time() -> None:
    played = Simulation(always(10 * MS)).run(20 * S)
    assert played.most_in_flight == 1
    assert not played.silences
    assert not played.abandoned
    assert 19 <= len(played.calls) <= 20


@pytest.mark.parametrize("order", Order)
@pytest.mark.parametrize(
    "late_ms", [0, 150, 350, 450, 700, 1300, 1800, 2000, 2700, 3800, 5000, 8000]
)
def test_every_event_is_learned_within_the_stated_time(late_ms: int, order: Order) -> None:
    """The fault of review/3: an answer that was later than the time limit of a call was never heard."""
    late_us, end_us = late_ms * MS, 300 * S
    bound_us = longest_learning_us(late_us) + MS
    for seed in range(1, 9):
        events = random_events(seed, end_us, 4 * S)
        played = Simulation(always(late_us), order=order, seed=seed, events=events).run(end_us)
        assert max(played.learning_times(end_us - bound_us)) <= bound_us, f"seed {seed}"


@pytest.mark.parametrize("late_s", [12, 30, 100])
def test_a_service_slower_than_the_patience_is_heard_in_the_end(late_s: int) -> None:
    late_us, end_us = late_s * S, 2000 * S
    events = random_events(late_s, end_us, 20 * S)
    played = Simulation(always(late_us), events=events).run(end_us)
    call_us = WAIT_US + late_us
    assert played.answers[0] <= 4 * call_us
    settled = [at for at in events if 4 * call_us < at < end_us - 3 * call_us]
    assert max(played.learned[at] - at for at in settled) <= longest_learning_us(late_us) + MS


@pytest.mark.parametrize("seed", range(1, 21))
def test_answers_that_overtake_each_other_do_not_delay_an_event(seed: int) -> None:
    drawn, end_us, most_us = random.Random(seed), 120 * S, 3800 * MS
    events = random_events(seed, end_us, 3 * S)
    order = drawn.choice(list(Order))
    played = Simulation(
        lambda now: drawn.randrange(most_us), order=order, seed=seed, events=events
    ).run(end_us)
    bound_us = longest_learning_us(most_us) + MS
    assert max(played.learning_times(end_us - bound_us)) <= bound_us


@pytest.mark.parametrize("order", Order)
@pytest.mark.parametrize("late_ms", [0, 100, 350, 450, 900, 1800, 3000, 5000, 15_000, None])
def test_there_are_no_more_calls_a_second_than_when_calm(late_ms: int | None, order: Order) -> None:
    late_us = None if late_ms is None else late_ms * MS
    played = Simulation(always(late_us), order=order).run(100 * S)
    assert played.calls_between(0, 100 * S) <= 100
    assert played.most_in_flight <= MAX_CALLS


@pytest.mark.parametrize("late_ms", [10, 1800, 5000])
def test_a_service_that_dies_is_noticed_within_the_silence_time_of_its_last_answer(
    late_ms: int,
) -> None:
    played = Simulation(phases((30 * S, late_ms * MS), (90 * S, None))).run(90 * S)
    last_us = played.answers[-1]
    assert min(at for at in played.silences if at >= last_us) <= last_us + SILENCE_US


def test_a_dead_service_is_called_again_as_often_as_with_a_time_limit() -> None:
    played = Simulation(always(None)).run(60 * S)
    starts = [call.started_us for call in played.calls]
    assert max(later - earlier for earlier, later in pairwise(starts)) <= RETRY_US


# Beside review/3: a connection that took longer than 0.5 s was broken off, and begun anew.
@pytest.mark.parametrize("handshake_ms", [10, 490, 510, 700, 1500])
def test_a_service_with_slow_handshakes_is_heard_in_the_stated_time(handshake_ms: int) -> None:
    late_us, end_us = 300 * MS, 300 * S
    bound_us = longest_learning_us(late_us + handshake_ms * MS) + MS
    for seed in range(1, 9):
        events = random_events(seed, end_us, 4 * S)
        handshake = always(handshake_ms * MS)
        played = Simulation(always(late_us), handshake, seed=seed, events=events).run(end_us)
        assert max(played.learning_times(end_us - bound_us)) <= bound_us, f"seed {seed}"
        news = sum(10 * S <= at < 110 * S for at in events)
        assert played.calls_between(10 * S, 110 * S) <= 100 + news


def test_a_service_that_cannot_be_connected_to_is_noticed_and_tried_again_as_with_a_time_limit() -> (
    None
):
    """A limit of 0.5 s for a connection, and a backoff of 0.5 s at most."""
    played = Simulation(always(0), phases((10 * S, 0), (60 * S, None))).run(60 * S)
    last_us = played.answers[-1]
    assert min(at for at in played.silences if at >= last_us) <= last_us + 500 * MS
    starts = [call.started_us for call in played.calls if call.started_us >= last_us]
    assert max(later - earlier for earlier, later in pairwise(starts)) <= 1000 * MS


@pytest.mark.parametrize("handshake_ms", [10, 700, 1400])
def test_slow_handshakes_after_an_outage_succeed(handshake_ms: int) -> None:
    back_us, end_us = 60 * S, 120 * S
    for seed in range(1, 9):
        handshake = phases((20 * S, 10 * MS), (back_us, None), (end_us, handshake_ms * MS))
        played = Simulation(always(0), handshake, seed=seed, events=[30 * S]).run(end_us)
        assert played.learned[30 * S] <= back_us + 1000 * MS + handshake_ms * MS + MS


@pytest.mark.parametrize("dead_s", [2, 10, 60, 600])
@pytest.mark.parametrize("late_ms", [10, 400, 1800, 2800])
def test_a_service_that_is_slow_then_dead_then_slow_again_is_heard_again(
    late_ms: int, dead_s: int
) -> None:
    late_us, dies_us = late_ms * MS, 20 * S
    back_us = dies_us + dead_s * S
    end_us = back_us + 60 * S
    events = [dies_us + S, back_us + 30 * S]
    for seed in range(1, 9):
        lateness = phases((dies_us, late_us), (back_us, None), (end_us, late_us))
        played = Simulation(lateness, seed=seed, events=events).run(end_us)
        assert played.learned[events[0]] <= back_us + RETRY_US + late_us + MS
        assert played.learned[events[1]] - events[1] <= longest_learning_us(late_us) + MS


def test_calls_that_an_answer_has_overtaken_are_abandoned() -> None:
    poll = LongPoll(random.Random(1), PATIENCE_US)
    first = poll.on_started(0)
    second = poll.on_started(CALL_INTERVAL_US)
    third = poll.on_started(2 * CALL_INTERVAL_US)
    now = 2 * CALL_INTERVAL_US + 1
    poll.on_answered(now, second, is_early=False)
    assert poll.next_step(now) == AbandonCall(first, overtaken=True)
    assert isinstance(poll.next_step(now), WaitUntil)
    assert poll.in_flight == 1
    poll.on_answered(now + 1, third, is_early=False)
    assert poll.next_step(now + 1) == StartCall()


def test_the_patience_for_the_oldest_call_doubles_and_comes_back_down_with_an_answer() -> None:
    def lifetimes(poll: LongPoll, from_us: int, until_us: int) -> list[int]:
        """How long those calls were kept that were the oldest one when they were abandoned."""
        started: dict[int, int] = {}
        kept: list[int] = []
        now = from_us
        while now < until_us:
            match poll.next_step(now):
                case StartCall():
                    started[poll.on_started(now)] = now
                case AbandonCall(number, overtaken=False):
                    if number == min(started):
                        kept.append(now - started[number])
                    del started[number]
                case WaitUntil(at_us):
                    now = at_us
        poll.on_answered(now, max(started), is_early=False)
        return kept

    poll = LongPoll(random.Random(1), PATIENCE_US)
    for from_us in (0, 1000 * S):
        kept = lifetimes(poll, from_us, from_us + 300 * S)
        for expected_us, kept_us in zip((10 * S, 20 * S, 40 * S, 80 * S), kept, strict=False):
            assert expected_us <= kept_us <= expected_us + RETRY_US
        assert len(kept) >= 4


def test_calls_that_fail_together_delay_the_next_one_once() -> None:
    poll = LongPoll(random.Random(1), PATIENCE_US)
    numbers = [poll.on_started(each * CALL_INTERVAL_US) for each in range(MAX_CALLS)]
    now = MAX_CALLS * CALL_INTERVAL_US
    for number in numbers:
        poll.on_failed(now, number)
    step = poll.next_step(now)
    assert isinstance(step, WaitUntil)
    assert step.at_us - now <= 20 * MS


def test_failures_in_a_row_back_off_up_to_half_a_second() -> None:
    poll, now, delays = LongPoll(random.Random(1), PATIENCE_US), 0, []
    for _ in range(20):
        assert poll.next_step(now) == StartCall()
        poll.on_failed(now, poll.on_started(now))
        step = poll.next_step(now)
        assert isinstance(step, WaitUntil)
        delays.append(step.at_us - now)
        now = step.at_us
    assert delays[0] <= 20 * MS
    assert min(delays[6:]) >= 250 * MS
    assert max(delays) <= 500 * MS


def test_early_answers_without_news_back_off() -> None:
    poll = LongPoll(random.Random(1), PATIENCE_US)
    poll.on_answered(0, poll.on_started(0), is_early=True)
    step = poll.next_step(0)
    assert isinstance(step, WaitUntil)
    assert step.at_us > 0


def test_another_service_is_called_at_once() -> None:
    poll = LongPoll(random.Random(1), PATIENCE_US)
    for _ in range(5):
        poll.on_failed(0, poll.on_started(0))
    poll.on_started(0)
    poll.on_service_changed()
    assert poll.in_flight == 0
    assert poll.next_step(1) == StartCall()
