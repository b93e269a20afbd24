"""As of when the list is known: what holds sends, and for how long."""

from __future__ import annotations

from wingbarrow.decide.list_freshness import MAX_HOLD_US, MAX_UNREAD_US, ListFreshness


def test_an_answer_that_lay_unread_holds_sends_until_a_later_call_is_answered() -> None:
    freshness = ListFreshness()
    freshness.on_answer(1000, 0, 1000)
    assert not freshness.holds_sends(1000)
    read_us = 10 * MAX_UNREAD_US
    freshness.on_answer(read_us, 2000, read_us - MAX_UNREAD_US - 1)
    assert freshness.holds_sends(read_us)
    assert freshness.is_outdated
    freshness.on_answer(read_us + 10, 3000, read_us + 10)
    assert freshness.holds_sends(read_us + 10), "that call began before"
    freshness.on_answer(read_us + 20, read_us, read_us + 20)
    assert not freshness.holds_sends(read_us + 20)
    assert not freshness.is_outdated


def test_a_service_that_does_not_answer_holds_sends_for_a_stated_time_only() -> None:
    freshness = ListFreshness()
    freshness.on_answer(10 * MAX_UNREAD_US, 0, 0)
    assert freshness.holds_sends(10 * MAX_UNREAD_US + MAX_HOLD_US - 1)
    assert not freshness.holds_sends(10 * MAX_UNREAD_US + MAX_HOLD_US)


def test_stalls_in_a_row_and_another_service_begin_anew() -> None:
    freshness = ListFreshness()
    first_us, second_us = 10 * MAX_UNREAD_US, 20 * MAX_UNREAD_US
    freshness.on_answer(first_us, 0, 0)
    freshness.on_answer(second_us, first_us, first_us)
    assert freshness.holds_sends(second_us), "the answer to the second call lay unread, too"
    freshness.on_service_changed()
    assert not freshness.holds_sends(second_us)
