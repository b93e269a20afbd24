"""Who of the connections at the door may stay when there are too many, and how long one may say nothing.

Usual owners come first: a connection on which a task was placed has proven itself. What has open set-ups is closed
only when nothing else is left, as its owner would have to ask again.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

SILENT_US = 1_800_000  # from connecting to the first message that was answered
IDLE_US = 30_000_000  # without an open set-up, once it has proven itself
ODD_IDLE_US = 5_000_000  # the same, where it never has
OPEN_MOST = 256  # set-ups open on one connection that has proven itself
UNPROVEN_MOST = 16  # the same, where it has not: a usual owner's first tasks
ERRORS_MOST = 2  # of set-ups on an unproven connection that machines could not use


@dataclass(slots=True, eq=False)
class Guest:
    """One connection as this is decided; times in microseconds."""

    born_us: int
    heard_us: int | None = None  # its latest whole message
    proven: bool = False  # a task of it was placed, or found standing
    told: bool = False  # something was sent to it
    errors: int = 0  # of its set-ups at machines


class Crowd:
    """Built from the descriptors that this side may hold."""

    def __init__(self, most: int) -> None:
        self.most = most

    def may_open(self, guest: Guest, open_set_ups: int) -> bool:
        """Whether one more set-up of a connection is taken in.

        Danger: hundreds of set-ups at once that no machine can use would each take machines' time, while usual owners
        wait. Whether machines can use them shows only there, so few go in until one has.
        """
        if guest.proven:
            return open_set_ups < OPEN_MOST
        return open_set_ups < UNPROVEN_MOST and guest.errors < ERRORS_MOST

    def is_idle(self, now_us: int, guest: Guest, open_set_ups: int) -> bool:
        """Whether a connection has said nothing for too long."""
        if open_set_ups:
            return False
        # What says nothing that wants an answer is owed a close as soon as what says nothing at all.
        if guest.heard_us is None or not (guest.told or guest.proven):
            return now_us - guest.born_us >= SILENT_US
        return now_us - guest.heard_us >= (IDLE_US if guest.proven else ODD_IDLE_US)

    def whom_to_close(self, guests: list[tuple[Guest, int]]) -> Guest | None:
        """Which of too many goes: never heard of, then unproven, then idle; of alike ones the oldest news."""

        def order(each: tuple[Guest, int]) -> tuple[bool, bool, bool, float]:
            guest, open_set_ups = each
            return (
                open_set_ups > 0,
                guest.proven,
                guest.heard_us is not None,
                guest.born_us if guest.heard_us is None else guest.heard_us,
            )

        return min(guests, key=order, default=(None, inf))[0]
