"""A placer's side of its session: when it may send, and the ends that it has heard of. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.sessions.lease_times import holder_lease_us
from wingbarrow.decide.sessions.messages import (
    MAX_HELD_SESSIONS,
    HeldRecords,
    SessionsReport,
    SessionsResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_log import (
    MAX_ENDED_SESSIONS,
)


class SessionLease:
    """A placer's part; times by its own clock. Off where it stands in no region: then it has no session."""

    name = "sessions"

    def __init__(self, me: str, region: str) -> None:
        self.me, self.region = me, region
        self.session: Session | None = None
        self.serial = 0  # of the latest session of this life, the present or one that has ended
        self.is_open = False  # as it was told last, and by time
        self.requested_us = 0  # for what renewed it last
        self.machine_lease_until_us = 0  # when the lease ends that machines are to be told
        self.lease_us = 0
        self.known_epoch = 0
        self.ended: dict[Session, EndedSession] = {}  # as heard; the latest ENDED_KEPT
        self._count_leased: Callable[[], int] = int
        self._held_records: Callable[[], tuple[HeldRecords, ...]] = tuple
        self.counts: Counter[str] = Counter()
        self._right_until_us = self._told_us = 0

    def report_jobs(
        self,
        *,
        count_leased: Callable[[], int] = int,
        held_records: Callable[[], tuple[HeldRecords, ...]] = tuple,
    ) -> None:
        """Have reports state how many Jobs are leased under this session, and the replicas held for other sessions."""
        self._count_leased = count_leased
        self._held_records = held_records

    def may_send(self, now_us: int) -> bool:
        """Whether a leased Job's first byte may leave at this moment. A floor never stands in for this."""
        return self.session is not None and now_us < self._right_until_us

    def report(self, now_us: int) -> SessionsReport | None:
        """With the next ask."""
        if not self.region:
            return None
        keeping = self._held_records()
        if len(keeping) > MAX_HELD_SESSIONS:
            self.counts["sessions: kept for more than can be said"] += 1
        deaf = self.session is not None and now_us - self._told_us >= holder_lease_us(self.lease_us)
        return SessionsReport(
            self.region,
            self.serial,
            self._count_leased(),
            keeping[:MAX_HELD_SESSIONS],
            self.known_epoch,
            deaf,
        )

    def on_response(
        self, now_us: int, asked_us: int, told: SessionsResponse | None
    ) -> list[Effect]:
        """What the leader told: ends first, then whether this session goes on, or a new one begins."""
        if told is None:
            return []
        self._told_us = now_us
        out: list[Effect] = []
        for each in told.ended:
            if each.changed > self.known_epoch:
                out += self._hear(each)
        self.known_epoch = max(self.known_epoch, told.epoch)
        session = Session(self.me, told.life, told.serial)
        if (
            told.open
            and session not in self.ended
            and (self.session is None or session >= self.session)
        ):
            if self.session is not None and session != self.session:
                # Its end is known to nobody any more: it is over all the same, and nobody is known to succeed.
                out += self._hear(
                    EndedSession(told.epoch, self.session, self.region, changed=told.epoch)
                )
            self.session, self.serial, self.lease_us = session, told.serial, told.lease_us
            self.requested_us = max(self.requested_us, asked_us)
            self._right_until_us = self.requested_us + holder_lease_us(told.lease_us)
            self.machine_lease_until_us = self.requested_us + told.lease_us
        return [*out, *self.check_expiry(now_us)]

    def _hear(self, ended: EndedSession) -> list[Effect]:
        self.ended.pop(ended.session, None)
        self.ended[ended.session] = ended
        while len(self.ended) > MAX_ENDED_SESSIONS:
            del self.ended[next(iter(self.ended))]
        out: list[Effect] = []
        if ended.session == self.session:
            # Danger: a successor may act from here on, whatever this lease's own time would still allow.
            self.session, self._right_until_us, self.machine_lease_until_us = None, 0, 0
            out += self._told(False, ended.session)
        return [
            *out,
            Notify(
                "session-ended",
                {
                    "epoch": ended.epoch,
                    "session": ended.session.text(),
                    "region": ended.region,
                    "batches": [list(each) for each in ended.batches],
                    "gone": list(ended.gone),
                    "changed": ended.changed,
                },
            ),
        ]

    def check_expiry(self, now_us: int) -> list[Effect]:
        """Tell where this session opened or lapsed since it was looked at last."""
        may = self.may_send(now_us)
        if may == self.is_open or self.session is None:
            return []
        return self._told(may, self.session)

    def _told(self, may: bool, session: Session) -> list[Effect]:
        if self.is_open == may:
            return []
        self.is_open = may
        return [
            Notify("session", {"session": session.text(), "open": may, "epoch": self.known_epoch})
        ]
