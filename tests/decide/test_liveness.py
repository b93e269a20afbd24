"""Health checks of machines: when they are probed, and when offers and running tasks are given up."""

from __future__ import annotations

from wingbarrow.decide.liveness import (
    FAILED_PROBE_INTERVAL_US,
    LOST_AFTER_US,
    OFFER_SILENCE_US,
    PROBE_INTERVAL_US,
    TASK_SILENCE_US,
    HealthAction,
    Liveness,
)


def test_a_machine_that_sends_data_is_not_probed() -> None:
    live = Liveness(0)
    for now in range(0, 10_000_000, 100_000):
        live.on_data_received(now)
        assert live.next_action(now + 50_000, True, True) is HealthAction.NONE


def test_a_silent_machine_is_probed_only_with_offers_or_running_tasks() -> None:
    live = Liveness(0)
    assert live.next_action(60_000_000, False, False) is HealthAction.NONE
    assert live.next_action(60_000_000, False, True) is HealthAction.PROBE


def test_a_silent_machine_with_an_offer_in_flight_is_probed_sooner() -> None:
    live = Liveness(0)
    assert live.next_action(OFFER_SILENCE_US, True, True) is HealthAction.PROBE
    assert live.next_action(OFFER_SILENCE_US, False, True) is HealthAction.NONE
    assert live.next_action(TASK_SILENCE_US, False, True) is HealthAction.PROBE


def test_a_machine_that_accepts_connections_is_healthy_however_long_it_is_silent() -> None:
    live, probes = Liveness(0), 0
    for now in range(0, 60_000_000, 100_000):
        action = live.next_action(now, True, True)
        assert action in (HealthAction.NONE, HealthAction.PROBE)
        if action is HealthAction.PROBE:
            probes += 1
            live.on_connected(now)
    assert probes <= 60_000_000 // PROBE_INTERVAL_US + 1


def test_offers_are_given_up_before_running_tasks() -> None:
    live, cut, lost = Liveness(0), None, None
    for now in range(0, 10_000_000, 100_000):
        action = live.next_action(now, cut is None, True)
        if action is HealthAction.PROBE:
            live.on_connect_timeout(now, now - 250_000)
        elif action is HealthAction.FAIL_OFFERS:
            cut = now
        elif action is HealthAction.FAIL_TASKS:
            lost = now
            break
    assert cut is not None
    assert cut <= OFFER_SILENCE_US + 4 * FAILED_PROBE_INTERVAL_US
    assert lost is not None
    assert lost >= LOST_AFTER_US
    assert lost <= LOST_AFTER_US + TASK_SILENCE_US


def test_data_or_an_answered_connection_attempt_clears_suspicion() -> None:
    for clear in ("on_data_received", "on_connected", "on_refused"):
        live = Liveness(0)
        live.on_connect_timeout(1_000_000, 750_000)
        live.on_connect_timeout(2_000_000, 1_750_000)
        assert live.is_suspect
        getattr(live, clear)(2_100_000)
        assert not live.is_suspect
        assert live.next_action(2_200_000, True, True) is HealthAction.NONE


def test_a_recent_failure_counts_until_the_next_probe_is_due() -> None:
    live = Liveness(0)
    assert not live.failed_recently(0)
    live.on_connect_timeout(1_000_000, 750_000)
    assert live.failed_recently(1_000_000 + FAILED_PROBE_INTERVAL_US - 1)
    assert not live.failed_recently(1_000_000 + FAILED_PROBE_INTERVAL_US)
    live.on_connected(1_100_000)
    assert not live.failed_recently(1_100_000)


# Issue 61, item 4: failures of a machine that was not probed since counted for a task that was handed over later.
def test_failures_from_before_a_task_is_handed_over_do_not_write_it_off() -> None:
    live = Liveness(0)
    for started_us in range(0, 4 * FAILED_PROBE_INTERVAL_US, FAILED_PROBE_INTERVAL_US):
        live.on_connect_timeout(started_us + 250_000, started_us)
    now = 60_000_000  # nothing was out there meanwhile, and the machine has come back
    live.next_action(now, False, False)
    assert live.next_action(now, False, True) is HealthAction.PROBE
    live.on_connected(now + 1_000)
    assert live.next_action(now + 10_000, False, True) is HealthAction.NONE


def test_a_handed_over_task_on_a_machine_that_is_lost_is_written_off_in_time() -> None:
    live, now, lost_us = Liveness(0), 60_000_000, None
    live.on_connect_timeout(now - 300_000, now - 550_000)
    began = now
    while lost_us is None:
        action = live.next_action(now, False, True)
        if action is HealthAction.PROBE:
            live.on_connect_timeout(now + 250_000, now)
        lost_us = now if action is HealthAction.FAIL_TASKS else None
        now += 100_000
    assert LOST_AFTER_US <= lost_us - began <= PROBE_INTERVAL_US + LOST_AFTER_US + 500_000
