"""The placer follows a journal service that answers late, out of order, or not at all for a while."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest

from tests.relay.slow_journal import LOOK_US, HeldCall, SlowJournal
from tests.relay.stage import MS, Journal, S, Stage
from tests.relay.test_list import (
    answer_with,
    change_address,
    deliveries,
    event,
    follower,
    phase,
    respond,
    submit_five,
    tails,
    wait_until,
)
from tests.slow_service import Order
from wingbarrow import interface as api
from wingbarrow.decide.long_poll import CALL_INTERVAL_US, MAX_CALLS, SILENCE_US, WAIT_US
from wingbarrow.http import client
from wingbarrow.http.message import Request
from wingbarrow.transport import Hub, PeerGone, Stream, connect

RETRY_US = 1900 * MS  # from call to call at a silent service, as docs/relay.md states
ROUNDING_US = LOOK_US + 10 * MS


def slow_journal(stage: Stage, late_ms: int, order: Order = Order.WAIT_THEN_LATE) -> SlowJournal:
    """A slow service in the place of the stage's, with its events."""
    journal = SlowJournal(stage.hub, late_ms * MS, order)
    journal.events = list(stage.journal.events)
    change_address(stage, journal)
    return journal


def is_draining(stage: Stage, index: int = 0) -> bool:
    return phase(stage, stage.machines[index]) is api.Phase.DRAINING


def drain(stage: Stage, journal: Journal, index: int = 0) -> None:
    journal.add(stage.machines[index].entry("Terminating"))


def hold_calls(stage: Stage, count: int) -> tuple[SlowJournal, list[HeldCall]]:
    """A service that holds its first `count` calls, after they have begun."""
    journal = SlowJournal(stage.hub)
    journal.events = list(stage.journal.events)
    journal.holds = count
    change_address(stage, journal)
    wait_until(stage, lambda: len(journal.held) == count)
    return journal, journal.held


def time_to_learn_drain(stage: Stage, journal: Journal, max_ms: int = 60_000) -> int:
    """Add a drain to the service; after how many microseconds the placer acts on it."""
    drain(stage, journal)
    learned_us = wait_until(stage, lambda: is_draining(stage), max_ms)
    stage.owner = stage.client()  # a resting connection is closed after a while
    submit_five(stage)
    assert not stage.machines[0].set_ups()
    return learned_us


# review/3: each call was broken off 0.4 s after the wait that it asked for, so a slower service was never heard.
@pytest.mark.parametrize("order", Order)
@pytest.mark.parametrize("told_ms", [3000, 3400, 3800, 4200])
@pytest.mark.parametrize("late_ms", [450, 700, 1450, 1800, 2000, 3800])
def test_a_drain_is_learned_in_the_stated_time_from_a_service_that_answers_late(
    late_ms: int, told_ms: int, order: Order
) -> None:
    def play(stage: Stage) -> None:
        journal = slow_journal(stage, late_ms, order)
        stage.sleep(told_ms)
        learned_us = time_to_learn_drain(stage, journal)
        assert learned_us <= CALL_INTERVAL_US + late_ms * MS + ROUNDING_US

    Stage().run(play)


@pytest.mark.parametrize("late_ms", [8_000, 25_000])
def test_a_service_that_is_slower_than_all_calls_together_is_heard_in_the_end(late_ms: int) -> None:
    def play(stage: Stage) -> None:
        journal = slow_journal(stage, late_ms)
        assert time_to_learn_drain(stage, journal, 5 * late_ms) <= 4 * (WAIT_US + late_ms * MS)

    Stage().run(play)


@pytest.mark.parametrize("late_ms", [0, 150, 450, 1800, 5000])
def test_a_slow_service_gets_no_more_calls_and_bytes_than_one_in_time(late_ms: int) -> None:
    def play(stage: Stage) -> None:
        journal = slow_journal(stage, late_ms)
        stage.sleep(100_000)
        assert len(journal.calls) <= 100 + 1
        assert journal.bytes_out <= 101 * len(json.dumps(journal.known(1)))

    Stage().run(play)


# Beside review/3: a connection that took longer than 0.5 s was broken off, and begun anew.
@pytest.mark.parametrize("handshake_ms", [300, 700, 1500])
def test_a_service_with_a_slow_handshake_is_heard(
    handshake_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def play(stage: Stage) -> None:
        journal = SlowJournal(stage.hub)
        journal.events = list(stage.journal.events)

        def connect_slowly(hub: Hub, host: str, port: int) -> Stream:
            if port == journal.server.port:
                hub.sleep(handshake_ms * MS)
            return connect(hub, host, port)

        monkeypatch.setattr(client, "connect", connect_slowly)
        change_address(stage, journal)
        learned_us = time_to_learn_drain(stage, journal)
        assert learned_us <= CALL_INTERVAL_US + handshake_ms * MS + ROUNDING_US
        counts = stage.placer.runtime.counts
        stage.sleep(3000)  # calls that began before the first was connected come meanwhile
        failures, calls = counts["journal_failures"], len(journal.calls)
        stage.sleep(20_000)
        assert counts["journal_failures"] == failures
        assert len(journal.calls) - calls <= 20

    Stage().run(play)


def test_a_service_that_cannot_be_connected_to_is_noticed_in_half_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play(stage: Stage) -> None:
        dials_us: list[int] = []

        def connect_never(hub: Hub, host: str, port: int) -> Stream:
            dials_us.append(hub.now_us())
            hub.sleep(3600 * S)
            raise PeerGone("unreachable")

        monkeypatch.setattr(client, "connect", connect_never)
        stage.journal.troubles.append(respond(b"", b"500 Broken"))  # ends its connection
        counts = stage.placer.runtime.counts
        wait_until(stage, lambda: counts["journal_failures"] == 1)
        noticed_us = wait_until(stage, lambda: counts["journal_failures"] == 2)
        assert noticed_us <= 500 * MS + 25 * MS
        stage.sleep(30_000)
        assert max(later - earlier for earlier, later in pairwise(dials_us)) <= 1002 * MS
        monkeypatch.setattr(client, "connect", connect)
        drain(stage, stage.journal)
        assert wait_until(stage, lambda: is_draining(stage)) <= 1010 * MS

    Stage().run(play)


def test_a_service_that_is_slow_then_dead_then_slow_is_noticed_and_heard_again() -> None:
    def play(stage: Stage) -> None:
        journal = slow_journal(stage, 1800)
        counts = stage.placer.runtime.counts
        stage.sleep(20_000)
        failures, journal.is_dead = counts["journal_failures"], True
        stage.sleep(3000)  # answers to calls that began before still come
        silent_us = stage.hub.now_us() - journal.answered[-1]
        wait_until(stage, lambda: counts["journal_failures"] > failures, 5000)
        assert stage.hub.now_us() - journal.answered[-1] <= max(silent_us, SILENCE_US + 2 * MS)
        drain(stage, journal)
        stage.sleep(30_000)
        assert not is_draining(stage)
        journal.is_dead = False
        learned_us = wait_until(stage, lambda: is_draining(stage))
        assert learned_us <= RETRY_US + 1800 * MS + ROUNDING_US

    Stage().run(play)


def test_a_service_that_dies_is_noticed_as_soon_as_with_a_time_limit() -> None:
    def play(stage: Stage) -> None:
        counts = stage.placer.runtime.counts
        journal = slow_journal(stage, 0)
        wait_until(stage, lambda: len(journal.calls) == 3)
        journal.is_dead = True  # for the calls after this one
        wait_until(stage, lambda: counts["journal_failures"] == 1)
        fourth_call_us = journal.calls[3][0]
        assert stage.hub.now_us() - fourth_call_us <= 1400 * MS + 2 * MS

    Stage().run(play)


def test_a_trickling_answer_holds_up_no_other_and_is_cut_off_by_the_next() -> None:
    def play(stage: Stage) -> None:
        cut_off_us: list[int] = []

        def trickle(request: Request) -> None:
            try:
                for each in b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b" " * 900:
                    request.connection.stream.send(bytes([each]))
                    stage.sleep(100)
            except PeerGone:
                cut_off_us.append(stage.hub.now_us())
                raise

        stage.journal.troubles.append(trickle)
        stage.journal.add(stage.machines[1].entry())
        stage.sleep(10)
        begun = stage.journal.calls[-1][0]
        stage.journal.add(stage.machines[0].entry("Terminating"))
        wait_until(stage, lambda: phase(stage, stage.machines[0]) is api.Phase.DRAINING)
        known_us = stage.hub.now_us()
        assert CALL_INTERVAL_US <= known_us - begun <= CALL_INTERVAL_US + 50 * MS
        wait_until(stage, lambda: bool(cut_off_us), max_ms=250)
        counts = stage.placer.runtime.counts
        assert counts["journal_overtaken"] == 1
        assert counts["journal_failures"] == 0

    Stage().run(play)


def test_connections_of_a_slow_phase_are_closed_after_it() -> None:
    def play(stage: Stage) -> None:
        journal, held = hold_calls(stage, MAX_CALLS)
        pool = follower(stage)._pool
        assert pool._open == MAX_CALLS
        drain(stage, journal)
        for call in held:  # in the order of their start, so that none is broken off
            call.answer(journal.known(1))
            stage.sleep(5)
        stage.sleep(10_000)
        assert pool._open <= 2

    Stage().run(play)


# -- answers out of order


def test_a_later_answer_with_fewer_events_reverts_nothing_and_starts_no_renumbering() -> None:
    """Two calls of one tail; the answer to the second one was made before that to the first."""

    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal = SlowJournal(stage.hub)
        journal.events = list(stage.journal.events)
        older = [event(2, first.entry("Terminating"))]
        newer = [*older, event(3, second.entry("Terminating"))]

        def answer_first(request: Request) -> None:
            stage.sleep(CALL_INTERVAL_US // MS + 300)
            answer_with(3, *newer)(request)

        def answer_second(request: Request) -> None:
            stage.sleep(400)
            answer_with(2, *older)(request)

        journal.troubles += [answer_first, answer_second]
        change_address(stage, journal)
        delivered = deliveries(stage)
        wait_until(stage, lambda: is_draining(stage, 1))
        journal.events += newer
        stage.sleep(5000)
        assert [each.position for each in delivered] == [2, 3]
        assert is_draining(stage, 0)
        assert is_draining(stage, 1)
        counts = stage.placer.runtime.counts
        assert counts["journal_went_back"] == counts["journal_gaps"] == 0
        assert counts["journal_early"] == 0

    Stage().run(play)


def test_an_answer_read_in_the_instant_its_call_is_overtaken_is_applied() -> None:
    """Both answers arrive together, that of the later call without the event."""

    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal, held = hold_calls(stage, 2)
        last, drained = event(2, second.entry()), event(3, first.entry("Terminating"))
        held[1].answer({"pos": 2, "entries": [last]})
        held[0].answer({"pos": 3, "entries": [last, drained]})
        journal.events += [last, drained]
        assert wait_until(stage, lambda: is_draining(stage)) <= 10 * MS

    Stage().run(play)


def test_an_event_that_two_answers_bring_is_applied_once_and_neither_counts_as_early() -> None:
    def play(stage: Stage) -> None:
        delivered = deliveries(stage)
        journal, held = hold_calls(stage, 2)
        drain(stage, journal)
        for call in held:
            call.answer(journal.known(1))
        stage.sleep(3000)
        assert [each.position for each in delivered] == [2]
        assert stage.placer.runtime.counts["journal_early"] == 0

    Stage().run(play)


def test_calls_in_flight_together_count_once_for_a_missing_event() -> None:
    """With three answers that lack an event, it would be skipped before all events were asked for."""

    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal = SlowJournal(stage.hub, 2500)
        journal.events = list(stage.journal.events)
        gap = [event(3, second.entry())]

        def lossy(request: Request) -> None:
            stage.sleep(2500)
            answer_with(3, *gap)(request)

        journal.troubles += [lossy] * 3
        change_address(stage, journal)
        wait_until(stage, lambda: len(journal.calls) == 3)
        journal.events += [event(2, first.entry("Terminating")), *gap]
        wait_until(stage, lambda: is_draining(stage))
        counts = stage.placer.runtime.counts
        assert counts["journal_gaps"] == 1
        assert counts["journal_gaps_given_up"] == 0

    Stage().run(play)


def test_a_renumbering_in_a_late_answer_is_applied_once_whatever_else_is_in_flight() -> None:
    def play(stage: Stage) -> None:
        first, second = stage.machines
        journal = slow_journal(stage, 1800)
        journal.events += [event(number, second.entry()) for number in range(2, 9)]
        wait_until(stage, lambda: 8 in tails(journal))
        stage.sleep(5000)
        delivered = deliveries(stage)
        journal.events = [event(1, first.entry("Terminating"), second.entry(), reset=True)]
        wait_until(stage, lambda: is_draining(stage), 12_000)
        journal.add(second.entry("Terminating"))
        learned_us = wait_until(stage, lambda: is_draining(stage, 1))
        assert learned_us <= CALL_INTERVAL_US + WAIT_US + 1800 * MS + ROUNDING_US
        stage.sleep(10_000)
        assert [each.position for each in delivered] == [1, 2]
        assert is_draining(stage)

    Stage().run(play)


# -- the process itself stands still, or is told another address


@pytest.mark.parametrize("stall_ms", [100, 1500, 1800, 6000])
def test_an_answer_that_came_during_a_stall_is_read_before_its_call_is_judged(
    stall_ms: int,
) -> None:
    """Of four calls in flight the last three could be abandoned; the answer to one of them lies unread."""

    def play(stage: Stage) -> None:
        journal = SlowJournal(stage.hub)
        journal.events = list(stage.journal.events)
        requests: list[Request] = []

        def hold(request: Request) -> None:
            requests.append(request)
            stage.hub.sleep(3600 * S)

        journal.troubles += [hold] * MAX_CALLS
        change_address(stage, journal)
        wait_until(stage, lambda: len(requests) == MAX_CALLS)
        drain(stage, journal)
        with pytest.raises(PeerGone):  # after it has sent the answer
            respond(json.dumps(journal.known(1)).encode())(requests[1])
        stage.hub.clock.jump(stage.hub.now_us() + stall_ms * MS)
        failures = stage.placer.runtime.counts["journal_failures"]
        assert wait_until(stage, lambda: is_draining(stage)) <= 10 * MS
        assert stage.placer.runtime.counts["journal_failures"] == failures
        assert stage.placer.runtime.counts["journal_abandoned"] == 0

    Stage().run(play)


def test_an_address_change_ends_late_calls_and_the_new_service_is_called_at_once() -> None:
    def play(stage: Stage) -> None:
        old = slow_journal(stage, 3500)
        stage.sleep(10_000)
        failures = stage.placer.runtime.counts["journal_failures"]
        fresh = SlowJournal(stage.hub)
        fresh.events = list(stage.journal.events)
        drain(stage, fresh)
        drain(stage, old, 1)  # told by the old service alone, whose answers are under way
        change_address(stage, fresh)
        assert wait_until(stage, lambda: is_draining(stage)) <= 10 * MS
        stage.sleep(10_000)
        assert phase(stage, stage.machines[1]) is api.Phase.RUNNING
        assert stage.placer.runtime.counts["journal_failures"] == failures
        assert old.server.connections == 0
        assert len(follower(stage)._calls) == 1

    Stage().run(play)


@pytest.mark.parametrize(
    "answer",
    [{"pos": 9, "entries": 7}, {"pos": "x", "entries": []}, {"entries": []}, []],
    ids=["entries", "position", "none", "list"],
)
def test_a_damaged_late_answer_is_counted_and_harms_no_other(answer: Any) -> None:
    def play(stage: Stage) -> None:
        journal = slow_journal(stage, 1800)

        def damaged(request: Request) -> None:
            stage.sleep(1800)
            respond(json.dumps(answer).encode())(request)

        stage.sleep(5000)
        counts = stage.placer.runtime.counts
        failures = counts["journal_failures"]
        journal.troubles += [damaged]
        stage.sleep(2500)
        learned_us = time_to_learn_drain(stage, journal)
        assert learned_us <= CALL_INTERVAL_US + 1800 * MS + ROUNDING_US
        assert counts["journal_failures"] >= failures + 1

    Stage().run(play)
