"""Who is told that a task is over, and until when: the life of one notice to owners, as a state machine without I/O.

A placed task belongs to no connection, so its end may be told on any connection of owners. A client may claim to be
an owner, and only the answer for a placed task proves it. Hence:

- A notice goes to one connection of an owner. Until one has taken it, it goes to every connection of a possible
  owner, once to each and without delay, so that no other client's connection can use up what the owner's is due.
- Only an owner's connection can acknowledge a notice.

| state | event | next state |
| --- | --- | --- |
| WAITING | written to a possible owner's connection | WAITING, and not written there again |
| WAITING | written to an owner's connection, or to one that has become an owner's since | TOLD |
| WAITING | acknowledged on any other connection | WAITING |
| TOLD | acknowledged on the owner's connection | over: ACKNOWLEDGED |
| TOLD | that connection ended | WAITING, and due again on every connection |
| WAITING | its deadline | over: EXPIRED |
| TOLD | its deadline | over: UNACKNOWLEDGED |
| either | more than `max_notices` are kept | over: DROPPED, the oldest first |
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class NoticeEnd(Enum):
    """Why a notice is no longer kept; values appear in counters."""

    ACKNOWLEDGED = "acknowledged"
    UNACKNOWLEDGED = "unacknowledged"
    EXPIRED = "expired"
    DROPPED = "dropped"


@dataclass(slots=True, eq=False)
class Notice:
    """The end of one task, as the message that tells it; `sequence` orders the notices that wait."""

    ident: int
    data: bytes
    deadline_us: int
    sequence: int = 0
    told_on: int | None = None  # the owner's connection that it was written to; None while it waits


@dataclass(frozen=True, slots=True)
class EndedNotice:
    """A notice that is no longer kept; `written_to` counts the open connections that it was written to."""

    ident: int
    reason: NoticeEnd
    written_to: int


class ReleaseNotices:
    """All notices of one placer. Connections are named by numbers that are not used twice."""

    def __init__(self, lifetime_us: int, max_notices: int) -> None:
        self._lifetime_us, self._max_notices = lifetime_us, max_notices
        self._by_ident: OrderedDict[int, Notice] = OrderedDict()  # earliest deadline first
        self._waiting: OrderedDict[int, Notice] = OrderedDict()  # by task id, lowest sequence first
        self._next_sequence = 1
        # The highest sequence that was written to a possible owner's connection, by its number. All lower ones were
        # written there, too, as they go out in order.
        self._written_up_to: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._by_ident)

    @property
    def are_waiting(self) -> bool:
        """Whether a notice waits for an owner's connection."""
        return bool(self._waiting)

    def is_waiting(self, ident: int) -> bool:
        """Whether the notice of this task waits for an owner's connection."""
        return ident in self._waiting

    def add(self, now_us: int, ident: int, data: bytes) -> list[EndedNotice]:
        """Add a notice, in place of an earlier one for the same task; returns those dropped for it."""
        self._remove(ident)
        dropped = []
        while len(self._by_ident) >= self._max_notices:
            dropped.append(self._end(next(iter(self._by_ident.values())), NoticeEnd.DROPPED))
        notice = Notice(ident, data, now_us + self._lifetime_us)
        self._by_ident[ident] = notice
        self._wait(notice)
        return dropped

    def unwritten(self, connection: int) -> list[Notice]:
        """Waiting notices that were not written to this connection, in the order in which to write them."""
        written_up_to = self._written_up_to.get(connection, 0)
        found = []
        for notice in reversed(self._waiting.values()):
            if notice.sequence <= written_up_to:
                break
            found.append(notice)
        return found[::-1]

    def on_written(self, connection: int, notice: Notice) -> None:
        """A notice was written to a possible owner's connection."""
        self._written_up_to[connection] = notice.sequence

    def on_told(self, connection: int, notice: Notice) -> None:
        """A notice was written to an owner's connection."""
        notice.told_on = connection
        self._waiting.pop(notice.ident, None)

    def on_proven(self, connection: int) -> None:
        """A connection is an owner's: what was written there before has been told."""
        written_up_to = self._written_up_to.pop(connection, 0)
        for notice in list(self._waiting.values()):
            if notice.sequence > written_up_to:
                break
            self.on_told(connection, notice)

    def on_acknowledged(self, connection: int, ident: int) -> bool:
        """A client has said that it has heard of the end of a task; False if it is not one that had to be told."""
        notice = self._by_ident.get(ident)
        if notice is None or notice.told_on != connection:
            return False
        self._remove(ident)
        return True

    def on_closed(self, connection: int) -> list[Notice]:
        """A connection has ended; returns the notices that it took without an acknowledgement, which wait again."""
        self._written_up_to.pop(connection, None)
        lost = [notice for notice in self._by_ident.values() if notice.told_on == connection]
        for notice in lost:
            self._wait(notice)
        return lost

    def expire(self, now_us: int) -> list[EndedNotice]:
        """Forget the notices whose deadline has passed."""
        return [self._end(notice, self._expiry_of(notice)) for notice in self._expired(now_us)]

    def _expired(self, now_us: int) -> Iterator[Notice]:
        while self._by_ident:
            oldest = next(iter(self._by_ident.values()))
            if oldest.deadline_us > now_us:
                return
            yield oldest

    def _expiry_of(self, notice: Notice) -> NoticeEnd:
        return NoticeEnd.EXPIRED if notice.told_on is None else NoticeEnd.UNACKNOWLEDGED

    def _end(self, notice: Notice, reason: NoticeEnd) -> EndedNotice:
        written_to = sum(notice.sequence <= up_to for up_to in self._written_up_to.values())
        written_to += notice.told_on is not None
        self._remove(notice.ident)
        return EndedNotice(notice.ident, reason, written_to)

    def _remove(self, ident: int) -> None:
        self._by_ident.pop(ident, None)
        self._waiting.pop(ident, None)

    def _wait(self, notice: Notice) -> None:
        notice.told_on = None
        notice.sequence = self._next_sequence
        self._next_sequence += 1
        self._waiting[notice.ident] = notice


__all__ = ["EndedNotice", "Notice", "NoticeEnd", "ReleaseNotices"]
