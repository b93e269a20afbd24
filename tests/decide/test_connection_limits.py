"""Connections from owners: idle timeouts, and the order in which they are closed."""

from __future__ import annotations

from wingbarrow.decide.connection_limits import (
    FIRST_MESSAGE_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    ConnectionActivity,
    ConnectionLimits,
    ReleaseRoute,
    release_route,
)


def test_a_silent_connection_times_out_and_a_proven_one_much_later() -> None:
    limits = ConnectionLimits(4)
    silent = ConnectionActivity(0)
    assert not limits.is_idle(FIRST_MESSAGE_TIMEOUT_US - 1, silent, 0)
    assert limits.is_idle(FIRST_MESSAGE_TIMEOUT_US, silent, 0)
    proven_one = ConnectionActivity(0, last_message_us=0, proven=True)
    assert not limits.is_idle(IDLE_TIMEOUT_US - 1, proven_one, 0)
    assert limits.is_idle(IDLE_TIMEOUT_US, proven_one, 0)
    assert not limits.is_idle(100 * IDLE_TIMEOUT_US, proven_one, 1)


def test_unused_connections_are_closed_before_useful_ones() -> None:
    limits = ConnectionLimits(4)
    open_set_up = ConnectionActivity(0, last_message_us=1)
    proven_one, unproven, silent = (
        ConnectionActivity(0, last_message_us=2, proven=True),
        ConnectionActivity(0, last_message_us=9),
        ConnectionActivity(5),
    )
    connections = [(open_set_up, 1), (proven_one, 0), (unproven, 0), (silent, 0)]
    for closed in (silent, unproven, proven_one):
        assert limits.connection_to_close(connections) is closed
        connections = [each for each in connections if each[0] is not closed]
    # review/8: it was closed as the last one, and the set-up on it was lost.
    assert connections == [(open_set_up, 1)]
    assert limits.connection_to_close(connections) is None
    assert limits.connection_to_close([]) is None


def test_open_set_ups_are_refused_on_unproven_connections_alone_the_oldest_first() -> None:
    limits = ConnectionLimits(4)
    early, late = ConnectionActivity(0, last_message_us=1), ConnectionActivity(0, last_message_us=9)
    proven_one = ConnectionActivity(0, last_message_us=0, proven=True)
    unused = ConnectionActivity(0, last_message_us=0)
    connections = [(late, 2), (proven_one, 1), (early, 1), (unused, 0)]
    assert limits.connections_to_refuse(connections) == [early, late]


def test_any_client_that_has_asked_can_carry_a_release_and_owners_come_first() -> None:
    owner = ConnectionActivity(0, received_answer=True)
    asked = ConnectionActivity(0, sent_set_up=True, proven=True)
    routes = [release_route(owner, 1), release_route(owner, 0), release_route(asked, 1)]
    assert routes == sorted(ReleaseRoute)
    assert release_route(asked, 0) is release_route(asked, 1)
    assert [route.is_owner for route in ReleaseRoute] == [True, True, False]
    assert release_route(ConnectionActivity(0, last_message_us=1, was_written_to=True), 0) is None
