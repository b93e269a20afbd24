"""Liveness of machines, and who stays at the door when there are too many."""

from __future__ import annotations

from wingbarrow.decide.crowd import IDLE_US, SILENT_US, Crowd, Guest
from wingbarrow.decide.liveness import (
    AGAIN_US,
    LOOK_OFFER_US,
    LOOK_US,
    LOST_US,
    RETRY_US,
    Liveness,
    Verdict,
)


def test_a_machine_that_speaks_is_not_looked_at() -> None:
    live = Liveness(0)
    for now in range(0, 10_000_000, 100_000):
        live.on_heard(now)
        assert live.judge(now + 50_000, True, True) is Verdict.FINE


def test_silence_matters_only_where_something_is_expected() -> None:
    live = Liveness(0)
    assert live.judge(60_000_000, False, False) is Verdict.FINE
    assert live.judge(60_000_000, False, True) is Verdict.LOOK


def test_an_offer_out_has_a_silent_machine_looked_at_sooner() -> None:
    live = Liveness(0)
    assert live.judge(LOOK_OFFER_US, True, True) is Verdict.LOOK
    assert live.judge(LOOK_OFFER_US, False, True) is Verdict.FINE
    assert live.judge(LOOK_US, False, True) is Verdict.LOOK


def test_a_machine_whose_connections_come_up_is_there_however_long_it_is_silent() -> None:
    live, looks = Liveness(0), 0
    for now in range(0, 60_000_000, 100_000):
        verdict = live.judge(now, True, True)
        assert verdict in (Verdict.FINE, Verdict.LOOK)
        if verdict is Verdict.LOOK:
            looks += 1
            live.on_came_up(now)
    assert looks <= 60_000_000 // AGAIN_US + 1


def test_offers_are_given_up_before_what_stands() -> None:
    live, cut, lost = Liveness(0), None, None
    for now in range(0, 10_000_000, 100_000):
        verdict = live.judge(now, cut is None, True)
        if verdict is Verdict.LOOK:
            live.on_no_show(now, now - 250_000)
        elif verdict is Verdict.CUT:
            cut = now
        elif verdict is Verdict.LOST:
            lost = now
            break
    assert cut is not None
    assert cut <= LOOK_OFFER_US + 4 * RETRY_US
    assert lost is not None
    assert lost >= LOST_US
    assert lost <= LOST_US + LOOK_US


def test_a_word_or_a_connection_clears_all_doubt() -> None:
    for clear in ("on_heard", "on_came_up", "on_refused"):
        live = Liveness(0)
        live.on_no_show(1_000_000, 750_000)
        live.on_no_show(2_000_000, 1_750_000)
        assert live.doubtful
        getattr(live, clear)(2_100_000)
        assert not live.doubtful
        assert live.judge(2_200_000, True, True) is Verdict.FINE


def test_one_that_says_nothing_is_closed_in_time_and_a_usual_owner_much_later() -> None:
    crowd = Crowd(4)
    mute = Guest(0)
    assert not crowd.is_idle(SILENT_US - 1, mute, 0)
    assert crowd.is_idle(SILENT_US, mute, 0)
    usual = Guest(0, heard_us=0, proven=True)
    assert not crowd.is_idle(IDLE_US - 1, usual, 0)
    assert crowd.is_idle(IDLE_US, usual, 0)
    assert not crowd.is_idle(100 * IDLE_US, usual, 1)


def test_of_too_many_the_useful_ones_stay() -> None:
    crowd = Crowd(4)
    open_set_up = Guest(0, heard_us=1)
    usual, once, mute = Guest(0, heard_us=2, proven=True), Guest(0, heard_us=9), Guest(5)
    crowd_of = [(open_set_up, 1), (usual, 0), (once, 0), (mute, 0)]
    for leaves in (mute, once, usual, open_set_up):
        assert crowd.whom_to_close(crowd_of) is leaves
        crowd_of = [each for each in crowd_of if each[0] is not leaves]
    assert crowd.whom_to_close([]) is None


def test_what_failed_lately_is_not_asked_again_for_an_offer() -> None:
    live = Liveness(0)
    assert not live.doubts(0)
    live.on_no_show(1_000_000, 750_000)
    assert live.doubts(1_000_000 + RETRY_US - 1)
    assert not live.doubts(1_000_000 + RETRY_US)
    live.on_came_up(1_100_000)
    assert not live.doubts(1_100_000)
