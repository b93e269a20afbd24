"""Orphaned Jobs: records of ended sessions that are stored here, and whose Jobs another placer is to take over.

That placer, the successor, is queried at intervals. Jobs that it does not know are taken over here. So are, after
`NO_SUCCESSOR_TIMEOUT_US`, Jobs without a successor and Jobs that are in doubt here.
"""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.replica import UNKNOWN_HERE, Replica
from wingbarrow.decide.sessions.messages import MAX_RESOLVE_UIDS, ResolveRequest, ResolveResponse
from wingbarrow.decide.sessions.session import Session

CHECK_INTERVAL_US = 3_000_000
NO_SUCCESSOR_TIMEOUT_US = 30_000_000  # after a session's end, until any replica may take over
MAX_PENDING_REQUESTS = 1024  # the oldest ones beyond it are discarded
ORPHAN_TIMER = "watch"


class OrphanedJobs:
    """Queries successors about the Jobs of ended sessions whose records `replica` stores.

    `take_over(now_us, uids)` takes Jobs over here, and returns the effects.
    """

    def __init__(
        self, replica: Replica, take_over: Callable[[int, list[str]], list[Effect]]
    ) -> None:
        self._replica = replica
        self._take_over = take_over
        self._check_us: int | None = None
        self._ended_us: dict[Session, int] = {}  # when each end was received
        self._pending_requests: dict[int, str] = {}  # placer by number
        self._last_number = 0

    def on_session_ended(self, now_us: int, session: Session) -> None:
        """Note when the end of a session by the voters was received, if its records are stored here."""
        if session in self._replica.session_ends:
            self._ended_us.setdefault(session, now_us)

    def prune(self) -> None:
        """Discard the ends of sessions without stored records."""
        self._ended_us = {
            session: ended_us
            for session, ended_us in self._ended_us.items()
            if session in self._replica.session_ends
        }

    def on_timer(self, now_us: int) -> list[Effect]:
        """Query the successors; the host calls this at `ORPHAN_TIMER`."""
        self._check_us = None
        return self.check(now_us, resolve=True)

    def check(self, now_us: int, *, resolve: bool) -> list[Effect]:
        """Set the timer while Jobs are to be taken over by their successors.

        With `resolve`, also query those successors, and take over the Jobs that are overdue.
        """
        out: list[Effect] = []
        uids_by_successor = self._replica.awaiting_successors()
        if resolve:
            for name, uids in sorted(uids_by_successor.items()):
                for session, session_uids in self._group_by_session(uids).items():
                    if name:
                        out.append(self._request(name, session, session_uids))
                    else:
                        out += self._take_over_overdue(now_us, session, session_uids)
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[next(iter(self._pending_requests))]
        if uids_by_successor and self._check_us is None:
            self._check_us = now_us + CHECK_INTERVAL_US
            out.append(SetTimer(ORPHAN_TIMER, self._check_us))
        return out

    def on_response(self, now_us: int, ident: str, message: ResolveResponse) -> list[Effect]:
        """Handle a successor's outcomes of Jobs; a response to any but a pending request is ignored.

        A Job that it does not know is taken over, unless it is in doubt here. A Job in doubt that it knows is
        discarded.
        """
        if self._pending_requests.pop(message.number, "") != ident:
            return []
        out: list[Effect] = []
        for uid, epoch, outcome in message.fates:
            entry = self._replica.entries.get(uid)
            if entry is None:
                continue
            if outcome != UNKNOWN_HERE and epoch > entry.record.epoch:
                self._replica.on_known_elsewhere(uid)
            elif outcome == UNKNOWN_HERE and not entry.in_doubt:
                out += self._take_over(now_us, [uid])
        return out

    def _group_by_session(self, uids: list[str]) -> dict[Session, list[str]]:
        uids_by_session: dict[Session, list[str]] = {}
        for uid in uids:
            uids_by_session.setdefault(self._replica.entries[uid].record.session, []).append(uid)
        return uids_by_session

    def _request(self, name: str, session: Session, uids: list[str]) -> Send:
        self._last_number += 1
        self._pending_requests[self._last_number] = name
        request = ResolveRequest(self._last_number, session, tuple(uids[:MAX_RESOLVE_UIDS]))
        return Send(name, "", request)

    def _take_over_overdue(self, now_us: int, session: Session, uids: list[str]) -> list[Effect]:
        """Take over Jobs that are in doubt or without a successor, once the timeout after their session's end is over.

        The timeout runs from the receipt of the end at this placer.
        """
        if now_us < self._ended_us.get(session, now_us) + NO_SUCCESSOR_TIMEOUT_US:
            return []
        orphans = Notify("orphans", {"session": session.text(), "jobs": len(uids)})
        return [orphans, *self._take_over(now_us, uids)]
