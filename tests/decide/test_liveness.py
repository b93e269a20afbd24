"""Liveness of machines, and who stays at the door when there are too many."""

from __future__ import annotations

from wingbarrow.decide.connection_limits import (
    FIRST_MESSAGE_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    ConnectionLimits,
    OwnerConnection,
)
from wingbarrow.decide.liveness import (
    FAILED_PROBE_INTERVAL_US,
    LOST_AFTER_US,
    OFFER_SILENCE_US,
    PROBE_INTERVAL_US,
    TASK_SILENCE_US,
    HealthAction,
    Liveness,
)


def test_a_machine_that_speaks_is_not_looked_at() -> None:
    live = Liveness(0)
    for now in range(0, 10_000_000, 100_000):
        live.on_data_received(now)
        assert live.next_action(now + 50_000, True, True) is HealthAction.NONE


def test_silence_matters_only_where_something_is_expected() -> None:
    live = Liveness(0)
    assert live.next_action(60_000_000, False, False) is HealthAction.NONE
    assert live.next_action(60_000_000, False, True) is HealthAction.PROBE


def test_an_offer_out_has_a_silent_machine_looked_at_sooner() -> None:
    live = Liveness(0)
    assert live.next_action(OFFER_SILENCE_US, True, True) is HealthAction.PROBE
    assert live.next_action(OFFER_SILENCE_US, False, True) is HealthAction.NONE
    assert live.next_action(TASK_SILENCE_US, False, True) is HealthAction.PROBE


def test_a_machine_whose_connections_come_up_is_there_however_long_it_is_silent() -> None:
    live, looks = Liveness(0), 0
    for now in range(0, 60_000_000, 100_000):
        verdict = live.next_action(now, True, True)
        assert verdict in (HealthAction.NONE, HealthAction.PROBE)
        if verdict is HealthAction.PROBE:
            looks += 1
            live.on_connected(now)
    assert looks <= 60_000_000 // PROBE_INTERVAL_US + 1


def test_offers_are_given_up_before_what_stands() -> None:
    live, cut, lost = Liveness(0), None, None
    for now in range(0, 10_000_000, 100_000):
        verdict = live.next_action(now, cut is None, True)
        if verdict is HealthAction.PROBE:
            live.on_connect_timeout(now, now - 250_000)
        elif verdict is HealthAction.FAIL_OFFERS:
            cut = now
        elif verdict is HealthAction.FAIL_TASKS:
            lost = now
            break
    assert cut is not None
    assert cut <= OFFER_SILENCE_US + 4 * FAILED_PROBE_INTERVAL_US
    assert lost is not None
    assert lost >= LOST_AFTER_US
    assert lost <= LOST_AFTER_US + TASK_SILENCE_US


def test_a_word_or_a_connection_clears_all_doubt() -> None:
    for clear in ("on_data_received", "on_connected", "on_refused"):
        live = Liveness(0)
        live.on_connect_timeout(1_000_000, 750_000)
        live.on_connect_timeout(2_000_000, 1_750_000)
        assert live.is_suspect
        getattr(live, clear)(2_100_000)
        assert not live.is_suspect
        assert live.next_action(2_200_000, True, True) is HealthAction.NONE


def test_one_that_says_nothing_is_closed_in_time_and_a_usual_owner_much_later() -> None:
    limits = ConnectionLimits(4)
    mute = OwnerConnection(0)
    assert not limits.is_idle(FIRST_MESSAGE_TIMEOUT_US - 1, mute, 0)
    assert limits.is_idle(FIRST_MESSAGE_TIMEOUT_US, mute, 0)
    usual = OwnerConnection(0, last_message_us=0, proven=True)
    assert not limits.is_idle(IDLE_TIMEOUT_US - 1, usual, 0)
    assert limits.is_idle(IDLE_TIMEOUT_US, usual, 0)
    assert not limits.is_idle(100 * IDLE_TIMEOUT_US, usual, 1)


def test_of_too_many_the_useful_ones_stay() -> None:
    limits = ConnectionLimits(4)
    open_set_up = OwnerConnection(0, last_message_us=1)
    usual, once, mute = (
        OwnerConnection(0, last_message_us=2, proven=True),
        OwnerConnection(0, last_message_us=9),
        OwnerConnection(5),
    )
    crowd_of = [(open_set_up, 1), (usual, 0), (once, 0), (mute, 0)]
    for leaves in (mute, once, usual, open_set_up):
        assert limits.connection_to_close(crowd_of) is leaves
        crowd_of = [each for each in crowd_of if each[0] is not leaves]
    assert limits.connection_to_close([]) is None


def test_what_failed_lately_is_not_asked_again_for_an_offer() -> None:
    live = Liveness(0)
    assert not live.failed_recently(0)
    live.on_connect_timeout(1_000_000, 750_000)
    assert live.failed_recently(1_000_000 + FAILED_PROBE_INTERVAL_US - 1)
    assert not live.failed_recently(1_000_000 + FAILED_PROBE_INTERVAL_US)
    live.on_connected(1_100_000)
    assert not live.failed_recently(1_100_000)
