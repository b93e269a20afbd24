"""The holder's side of sessions: when it may send the first byte of a leased Job, and known ends of sessions. No I/O.

Times are by the placer's own clock. `lease_times` has the order in which holder, machine and voter leases expire.
"""

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
from wingbarrow.decide.sessions.session_log import MAX_ENDED_SESSIONS


class SessionLease:
    """One placer's session lease. A placer without a region has no session.

    session: the current session; None before the first, and between an end and the next session.
    serial: serial of the latest session of this incarnation, current or ended.
    is_open: whether it may send, as last notified.
    requested_us: when the request of the latest renewal was sent.
    machine_lease_until_us: when machines are to end the tasks of the session.
    known_epoch: epoch up to which all ends are known.
    ended: the MAX_ENDED_SESSIONS ends that changed last.
    """

    name = "sessions"

    def __init__(self, me: str, region: str) -> None:
        self.me = me
        self.region = region
        self.session: Session | None = None
        self.serial = 0
        self.is_open = False
        self.requested_us = 0
        self.machine_lease_until_us = 0
        self.lease_us = 0
        self.known_epoch = 0
        self.ended: dict[Session, EndedSession] = {}
        self.counts: Counter[str] = Counter()
        self._leased_count_source: Callable[[], int] = int
        self._held_records_source: Callable[[], tuple[HeldRecords, ...]] = tuple
        self._holder_lease_until_us = 0
        self._responded_us = 0

    def set_report_sources(
        self,
        *,
        count_leased: Callable[[], int] = int,
        held_records: Callable[[], tuple[HeldRecords, ...]] = tuple,
    ) -> None:
        """Set the functions that give reports the number of leased Jobs, and the replicas held for other sessions."""
        self._leased_count_source = count_leased
        self._held_records_source = held_records

    def may_send(self, now_us: int) -> bool:
        """Whether the first byte of a leased Job may be sent now. The floor of a rule set never replaces this."""
        return self.session is not None and now_us < self._holder_lease_until_us

    def report(self, now_us: int) -> SessionsReport | None:
        """Return the report for the next lease request; None without a region."""
        if not self.region:
            return None
        held = self._held_records_source()
        if len(held) > MAX_HELD_SESSIONS:
            self.counts["sessions: kept for more than can be said"] += 1
        silent_us = now_us - self._responded_us
        return SessionsReport(
            self.region,
            self.serial,
            self._leased_count_source(),
            held[:MAX_HELD_SESSIONS],
            self.known_epoch,
            deaf=self.session is not None and silent_us >= holder_lease_us(self.lease_us),
        )

    def on_response(
        self, now_us: int, requested_us: int, response: SessionsResponse | None
    ) -> list[Effect]:
        """Apply the leader's response: first the ends, then a renewal or the start of a new session."""
        if response is None:
            return []
        self._responded_us = now_us
        effects: list[Effect] = []
        for ended in response.ended:
            if ended.changed > self.known_epoch:
                effects += self._on_ended(ended)
        self.known_epoch = max(self.known_epoch, response.epoch)
        session = Session(self.me, response.life, response.serial)
        if response.open and self._may_use(session):
            if self.session is not None and session != self.session:
                # The leader no longer has the end of the previous session; it has ended, with unknown successors.
                end = EndedSession(
                    response.epoch, self.session, self.region, changed=response.epoch
                )
                effects += self._on_ended(end)
            self._renew(session, requested_us, response.lease_us)
        return [*effects, *self.check_expiry(now_us)]

    def _may_use(self, session: Session) -> bool:
        """Whether a session is the current one or a later one, and has not ended."""
        return session not in self.ended and (self.session is None or session >= self.session)

    def _renew(self, session: Session, requested_us: int, lease_us: int) -> None:
        self.session = session
        self.serial = session.serial
        self.lease_us = lease_us
        self.requested_us = max(self.requested_us, requested_us)
        self._holder_lease_until_us = self.requested_us + holder_lease_us(lease_us)
        self.machine_lease_until_us = self.requested_us + lease_us

    def _on_ended(self, ended: EndedSession) -> list[Effect]:
        # Re-inserted, so that the latest change is last in order.
        self.ended.pop(ended.session, None)
        self.ended[ended.session] = ended
        while len(self.ended) > MAX_ENDED_SESSIONS:
            del self.ended[next(iter(self.ended))]
        effects: list[Effect] = []
        if ended.session == self.session:
            # Danger: a successor may act from now on, even if this lease has not expired yet.
            self.session = None
            self._holder_lease_until_us = 0
            self.machine_lease_until_us = 0
            effects += self._notify_change(ended.session, is_open=False)
        end = {
            "epoch": ended.epoch,
            "session": ended.session.text(),
            "region": ended.region,
            "batches": [list(each) for each in ended.batches],
            "gone": list(ended.gone),
            "changed": ended.changed,
        }
        return [*effects, Notify("session-ended", end)]

    def check_expiry(self, now_us: int) -> list[Effect]:
        """Notify if the lease was opened, or has expired, since the last notification."""
        if self.session is None:
            return []
        return self._notify_change(self.session, is_open=self.may_send(now_us))

    def _notify_change(self, session: Session, *, is_open: bool) -> list[Effect]:
        if self.is_open == is_open:
            return []
        self.is_open = is_open
        change = {"session": session.text(), "open": is_open, "epoch": self.known_epoch}
        return [Notify("session", change)]
