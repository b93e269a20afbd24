"""Limits on connections from owners: open set-ups per connection, idle timeouts, and which connection to close first.

A connection is proven once a task of it was placed or found running; proven connections are kept in preference to
others. A connection with open set-ups is never closed before they are answered: what was read and never answered is
lost. The same marks tell which connections can carry the release of a task, which belongs to no connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# From connecting to the first message that was answered.
FIRST_MESSAGE_TIMEOUT_US = 1_800_000
# Without an open set-up, on a proven connection.
IDLE_TIMEOUT_US = 30_000_000
# Without an open set-up, on an unproven connection.
UNPROVEN_IDLE_TIMEOUT_US = 5_000_000
MAX_OPEN_SET_UPS = 256  # on one proven connection
# On one unproven connection: enough for the first tasks of a regular owner.
MAX_UNPROVEN_SET_UPS = 16
MAX_UNPROVEN_ERRORS = 2  # set-ups of an unproven connection that machines could not use


@dataclass(slots=True, eq=False)
class ConnectionActivity:
    """What the limits need to know of one connection; times in microseconds."""

    connected_us: int
    last_message_us: int | None = None  # when the latest complete message was read
    sent_set_up: bool = False  # a valid one
    proven: bool = False  # one of its tasks was placed, or is said to run
    received_answer: bool = False  # for a task of its own that was placed: only an owner gets one
    asked_under_used_id: bool = False  # while another client's task had it: an owner uses new ids
    was_written_to: bool = False  # at least one message was sent to it
    errors: int = 0  # set-ups of it that machines could not use


class ReleaseRoute(IntEnum):
    """What a connection is worth for telling owners that a task is over, best first.

    A connection that received the answer for a placed task is an owner's. Any other that has asked for something may be
    an owner's or a bad client's. Danger: an owner's new connection has no answer until its first set-up is placed,
    which takes as long as the owner's patience if its machine hangs, and it may be the only one that the owner has.
    """

    OWNER_IN_USE = 0  # with open set-ups, so that its owner keeps it open
    OWNER = 1
    POSSIBLE_OWNER = 2

    @property
    def is_owner(self) -> bool:
        """Whether an owner reads what is sent there."""
        return self <= ReleaseRoute.OWNER


def release_route(connection: ConnectionActivity, open_set_ups: int) -> ReleaseRoute | None:
    """The worth of a connection with `open_set_ups` for releases; None for a client that has asked for nothing."""
    if connection.received_answer:
        return ReleaseRoute.OWNER_IN_USE if open_set_ups else ReleaseRoute.OWNER
    return ReleaseRoute.POSSIBLE_OWNER if connection.sent_set_up else None


class ConnectionLimits:
    """`max_connections`: connections from owners that this process may hold."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections

    def may_open_set_up(self, connection: ConnectionActivity, open_set_ups: int) -> bool:
        """Whether a connection with `open_set_ups` open set-ups may open one more.

        Danger: hundreds of concurrent set-ups that no machine can use would each cost machine time while regular owners
        wait. Only a machine can tell whether it can use a set-up, so an unproven connection gets few.
        """
        if connection.proven:
            return open_set_ups < MAX_OPEN_SET_UPS
        return open_set_ups < MAX_UNPROVEN_SET_UPS and connection.errors < MAX_UNPROVEN_ERRORS

    def is_idle(self, now_us: int, connection: ConnectionActivity, open_set_ups: int) -> bool:
        """Whether a connection has sent no message for longer than its idle timeout."""
        if open_set_ups:
            return False
        # A client whose messages need no answer gets the same short timeout as one that sends nothing at all.
        if connection.last_message_us is None or not (
            connection.was_written_to or connection.proven
        ):
            return now_us - connection.connected_us >= FIRST_MESSAGE_TIMEOUT_US
        return now_us - connection.last_message_us >= (
            IDLE_TIMEOUT_US if connection.proven else UNPROVEN_IDLE_TIMEOUT_US
        )

    def connection_to_close(
        self, connections: list[tuple[ConnectionActivity, int]]
    ) -> ConnectionActivity | None:
        """The connection to close when there are too many, from pairs of connection and number of open set-ups.

        In this order: one that sent no message, an unproven one, a proven one; among equals the one whose latest
        message is oldest. None if all have open set-ups.
        """

        def order(connection: ConnectionActivity) -> tuple[bool, bool, int]:
            return (
                connection.proven,
                connection.last_message_us is not None,
                _last_used_us(connection),
            )

        unused = [connection for connection, open_set_ups in connections if not open_set_ups]
        return min(unused, key=order, default=None)

    def connections_to_refuse(
        self, connections: list[tuple[ConnectionActivity, int]]
    ) -> list[ConnectionActivity]:
        """The connections whose open set-ups may be refused to make room, the first one first.

        Danger: clients that ask for what no machine can give would hold all connections for as long as their patience
        lasts, and keep owners out.
        """
        waiting = [
            connection
            for connection, open_set_ups in connections
            if open_set_ups and not connection.proven
        ]
        return sorted(waiting, key=_last_used_us)


def _last_used_us(connection: ConnectionActivity) -> int:
    """When the latest message was read, or else the connection was opened."""
    if connection.last_message_us is None:
        return connection.connected_us
    return connection.last_message_us
