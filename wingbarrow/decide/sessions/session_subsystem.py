"""The voters' side of sessions: renewal and end of a placer's session, and its successors. No I/O.

This is the subsystem `sessions` of the voters' log (`session_log`), with the state that only the current leader has. It
follows Chubby's sessions and sequencers (Burrows 2006), except that sessions are not renewed during an election: a new
leader counts every open session from its own election. A session ends by these rules:

- A session is renewed only by a grant, which a majority confirmed after its request, and for no longer than the leader
  counts (`voter_lease_us`). It is not renewed after its end is proposed.
- A leader proposes an end when the voters' lease has expired, the smallest `after` that replica holders report has
  passed since the last renewal (or the election), and replica holders had one lease duration to report to this leader.
- Without a live replica holder the leader waits for `unreplicated_wait_us` instead, and the end has no successor.
  Replica holders that report later join as successors in later batches.
- A placer that reports but receives no grants (a partition in one direction) is renewed for half a lease only
  (`one_way_renewal_us`), as it cannot act.
- A later incarnation of a name proves that the earlier one has ended: its session ends without waiting for `after`.
- A holder that returns before its session ends keeps the session. One that returns later gets a new session, and only
  together with all ends that it does not know.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.sessions.lease_times import (
    CHECKS_PER_LEASE,
    LEASE_US,
    MAX_TURN_US,
    holder_lease_us,
    unreplicated_wait_us,
    voter_lease_us,
)
from wingbarrow.decide.sessions.messages import (
    MAX_ENDED_PER_RESPONSE,
    SessionsReport,
    SessionsResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_log import (
    SessionEnded,
    SessionEntry,
    SessionLog,
    SessionOpened,
    SuccessorsJoined,
    limited_successors,
    parse_session_log,
)

MAX_PROPOSALS = 64  # in one round
MAX_ENDED_CHARS_PER_RESPONSE = 128 * 1024  # bound on the successor names


@dataclass(slots=True)
class ReplicaHolders:
    """Live placers that hold replicas for one session: their own sessions, and the smallest `after` they report."""

    after_us: int
    sessions: list[Session]


@dataclass(frozen=True, slots=True)
class ConfirmedReport:
    """A report that a majority confirmed, and the session that it renewed."""

    requester: Requester
    report: SessionsReport
    renewed: Session | None


@dataclass(slots=True)
class LeaderState:
    """State of a leader that is not in the log; empty at its election. Times are by the leader's clock.

    counting_since_us: its election, or the end of its latest pause; renewals count from this time at the earliest.
    active_us: when it last handled a report or made proposals.
    next_check_us: time of the next check of all sessions.
    renewed_us: by session, its latest renewal.
    ending: sessions whose end is proposed.
    requested: by placer, the session to be opened for it.
    no_grant_since_us: by session, since when its holder reports that no grant arrives.
    reports: by placer with an open session, its latest report.
    confirmed: by placer, its report of this round.
    """

    counting_since_us: int
    active_us: int
    next_check_us: int
    renewed_us: dict[Session, int] = field(default_factory=dict)
    ending: set[Session] = field(default_factory=set)
    requested: dict[str, SessionOpened] = field(default_factory=dict)
    no_grant_since_us: dict[Session, int] = field(default_factory=dict)
    reports: dict[str, SessionsReport] = field(default_factory=dict)
    confirmed: dict[str, ConfirmedReport] = field(default_factory=dict)


class SessionSubsystem:
    """The voters' side. `lease_us` is the lease duration of sessions that this leader opens."""

    name = "sessions"

    def __init__(self, lease_us: int = LEASE_US, max_turn_us: int = MAX_TURN_US) -> None:
        self.lease_us = lease_us
        self.max_turn_us = max_turn_us
        self.log = SessionLog()
        self.counts: Counter[str] = Counter()
        self._reset_leader(0)

    def _reset_leader(self, now_us: int) -> None:
        """Reset the state that is not in the log."""
        self.leader = LeaderState(now_us, now_us, now_us)

    # -- the log

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply one decided entry; see `SessionLog.apply`."""
        self.log.apply(kind, value)
        self.leader.next_check_us = 0
        self.leader.ending &= self.log.open.keys()

    def snapshot(self) -> str:
        """Return the whole replicated state."""
        return self.log.text()

    def restore(self, text: str) -> None:
        """Replace the replicated state with that of a snapshot."""
        self.log = parse_session_log(text)

    # -- reports and responses, at the leader

    def on_leadership_change(self, now_us: int, is_leader: bool) -> None:
        """Reset the leader's state when this voter becomes leader, or stops being it.

        Danger: renewals by earlier leaders are not known, so the lease of every open session counts from now.
        """
        self._reset_leader(now_us)

    def on_report(self, now_us: int, requester: Requester, report: SessionsReport) -> None:
        """Renew the session of a placer whose request a majority confirmed, or request a new session for it."""
        self._note_activity(now_us)
        renewed: Session | None = None
        latest = self.log.latest.get(requester.placer)
        if latest is None:
            # The placer is unknown, or was dropped: the session that it reports has ended, and is not opened again.
            self._request(
                requester,
                Session(requester.placer, requester.incarnation, report.serial + 1),
                report,
            )
        elif latest.process == requester.incarnation:
            if latest.session not in self.log.open:
                serial = max(latest.session.serial, report.serial) + 1
                self._request(
                    requester, Session(requester.placer, latest.session.life, serial), report
                )
            elif self._may_renew(now_us, latest.session, report):
                self._renew(now_us, latest.session, report)
                renewed = latest.session
        elif latest.process < requester.incarnation or (
            report.serial == 0 and self._is_expired(now_us, latest.session)
        ):
            # A later incarnation; or, after a wall clock was set back, a process that never had a session while the
            # lease of the known session has expired. Danger: an earlier process that resumes has had a session: it
            # neither renews nor opens one.
            life = max(requester.incarnation, latest.session.life + 1)
            self._request(requester, Session(requester.placer, life, 1), report)
        self.leader.confirmed[requester.placer] = ConfirmedReport(requester, report, renewed)

    def response_for(self, now_us: int, requester: Requester) -> SessionsResponse | None:
        """Return the response to the requester's report of this round; None if it made none."""
        confirmed = self.leader.confirmed.get(requester.placer)
        if confirmed is None or confirmed.requester != requester:
            return None
        report = confirmed.report
        ended, epoch = self._changes_after(report.heard)
        latest = self.log.latest.get(requester.placer)
        if latest is None or latest.process != requester.incarnation:
            return SessionsResponse(False, report.serial, self.lease_us, epoch, ended)
        session = latest.session
        opened = self.log.open.get(session)
        # Danger: a holder that got a new session without knowing all ends would continue Jobs that others hold now.
        is_open = (
            opened is not None
            and confirmed.renewed == session
            and (report.serial == session.serial or epoch >= self.log.epoch)
        )
        lease_us = self.lease_us if opened is None else opened.lease_us
        return SessionsResponse(is_open, session.serial, lease_us, epoch, ended, session.life)

    def _note_activity(self, now_us: int) -> None:
        """Restart the leases after a pause of this process: unread reports make every placer appear silent."""
        leader = self.leader
        if self.log.open and now_us - leader.active_us > 2 * self.lease_us // CHECKS_PER_LEASE:
            leader.counting_since_us = now_us
            self.counts["sessions: leader stood still"] += 1
        leader.active_us = now_us

    def _may_renew(self, now_us: int, session: Session, report: SessionsReport) -> bool:
        """Whether a session may be renewed.

        Danger: a proposed end will be decided; a renewal of that session would outlast it.
        """
        return session not in self.leader.ending and self._receives_grants(now_us, session, report)

    def _receives_grants(self, now_us: int, session: Session, report: SessionsReport) -> bool:
        """Whether the placer receives grants, or has reported for less than half a lease that it does not.

        Danger: renewing a placer that only sends would block its Jobs from failover forever.
        """
        if not report.deaf:
            self.leader.no_grant_since_us.pop(session, None)
            return True
        since_us = self.leader.no_grant_since_us.setdefault(session, now_us)
        return now_us - since_us < self.log.open[session].lease_us // 2

    def _renew(self, now_us: int, session: Session, report: SessionsReport) -> None:
        former = self.leader.reports.get(session.placer)
        if report.keeping != (former.keeping if former is not None else ()):
            self.leader.next_check_us = 0
        self.leader.renewed_us[session] = now_us
        self.leader.reports[session.placer] = report

    def _request(self, requester: Requester, session: Session, report: SessionsReport) -> None:
        """Open a session with the next proposals, if the limits allow it."""
        if self.log.can_open(requester.placer):
            self.leader.requested[requester.placer] = SessionOpened(
                session, requester.incarnation, report.region, self.lease_us
            )
        else:
            self.counts["sessions: no room for another"] += 1

    def _changes_after(self, epoch: int) -> tuple[tuple[EndedSession, ...], int]:
        """Return the ends that changed after an epoch, as many as fit, and the epoch up to which they are complete."""
        if epoch >= self.log.epoch:
            return (), self.log.epoch
        missed = sorted(
            (each for each in self.log.ended.values() if each.changed > epoch),
            key=lambda each: each.changed,
        )
        chars = 0
        fitting: list[EndedSession] = []
        for each in missed[:MAX_ENDED_PER_RESPONSE]:
            chars += sum(len(name) + 4 for batch in (*each.batches, each.gone) for name in batch)
            if fitting and chars > MAX_ENDED_CHARS_PER_RESPONSE:
                break
            fitting.append(each)
        complete = len(fitting) == len(missed)
        return tuple(fitting), self.log.epoch if complete else fitting[-1].changed

    # -- leases, as counted by this leader

    def _renewed_us(self, session: Session) -> int:
        """Return the time from which an open session's lease counts."""
        since_us = self.leader.counting_since_us
        return max(self.leader.renewed_us.get(session, since_us), since_us)

    def lease_until_us(self, session: Session) -> int:
        """Return when the voters' lease of an open session expires."""
        lease_us = voter_lease_us(self.log.open[session].lease_us, self.max_turn_us)
        return self._renewed_us(session) + lease_us

    def _is_expired(self, now_us: int, session: Session) -> bool:
        return session not in self.log.open or now_us >= self.lease_until_us(session)

    def is_live(self, now_us: int, session: Session) -> bool:
        """Whether this leader renewed an open session so recently that its holder may send."""
        renewed_us = self.leader.renewed_us.get(session)
        if renewed_us is None or session in self.leader.ending:
            return False
        return now_us < renewed_us + holder_lease_us(self.log.open[session].lease_us)

    def replica_holders(self, now_us: int) -> dict[Session, ReplicaHolders]:
        """Return, by session, the live placers that hold replicas for it."""
        holders: dict[Session, ReplicaHolders] = {}
        for name, report in self.leader.reports.items():
            session = self._live_session(now_us, name)
            if session is None or report.deaf:
                continue
            for held in report.keeping:
                if held.session.placer != name and held.jobs > 0:
                    found = holders.setdefault(held.session, ReplicaHolders(held.after_us, []))
                    found.after_us = min(found.after_us, held.after_us)
                    found.sessions.append(session)
        return holders

    def _live_session(self, now_us: int, placer: str) -> Session | None:
        latest = self.log.latest.get(placer)
        if latest is None or latest.session not in self.log.open:
            return None
        return latest.session if self.is_live(now_us, latest.session) else None

    def earliest_end_us(self, session: Session, holders: ReplicaHolders | None) -> int:
        """Return the earliest time at which an open session may end, unless it is renewed."""
        lease_us = self.log.open[session].lease_us
        due_us = max(
            self.lease_until_us(session), self.leader.counting_since_us + drifted_us(lease_us)
        )
        latest = self.log.latest.get(session.placer)
        if latest is not None and latest.session != session:
            return due_us  # the placer has a later session and cannot return to this one
        wait_us = (
            unreplicated_wait_us(lease_us) if holders is None else drifted_us(holders.after_us)
        )
        return max(due_us, self._renewed_us(session) + wait_us)

    # -- proposals

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """Return the proposals, and when to call this again; see `ReplicatedSubsystem.next_proposals`."""
        leader = self.leader
        self._note_activity(now_us)
        leader.confirmed = {}
        entries = self._check(now_us) if now_us >= leader.next_check_us else []
        for entry in list(leader.requested.values())[:MAX_PROPOSALS]:
            latest = self.log.latest.get(entry.session.placer)
            if latest is None or entry.session > latest.session:
                # The lease counts from a time before its first grant.
                leader.renewed_us[entry.session] = now_us
                entries.append(entry)
        leader.requested = {}
        proposals = [Proposal(entry.kind, entry.value()) for entry in entries]
        return proposals, leader.next_check_us if self.log.open or proposals else None

    def _check(self, now_us: int) -> list[SessionEntry]:
        """Check all sessions; return the ends that are due, and the replica holders that join as successors."""
        holders = self.replica_holders(now_us)
        entries = self._ends_due(now_us, holders)
        for session, found in holders.items():
            if session in self.log.ended and len(entries) < MAX_PROPOSALS:
                late = [each for each in found.sessions if self.log.can_join(session, each)]
                if late:
                    entries.append(SuccessorsJoined(session, limited_successors(late)))
        self._prune()
        return entries

    def _ends_due(self, now_us: int, holders: dict[Session, ReplicaHolders]) -> list[SessionEntry]:
        entries: list[SessionEntry] = []
        next_check_us = now_us + self.lease_us // CHECKS_PER_LEASE
        for session in self.log.open:
            found = holders.get(session)
            due_us = self.earliest_end_us(session, found)
            if due_us > now_us or len(entries) >= MAX_PROPOSALS:
                next_check_us = min(next_check_us, max(due_us, now_us + 1))
            elif session not in self.leader.ending:
                self.leader.ending.add(session)
                successors = found.sessions if found is not None else []
                entries.append(SessionEnded(session, limited_successors(successors)))
        self.leader.next_check_us = next_check_us
        return entries

    def _prune(self) -> None:
        """Drop the state of sessions that are not open any more."""
        leader = self.leader
        opened = self.log.open
        leader.renewed_us = {each: at for each, at in leader.renewed_us.items() if each in opened}
        leader.no_grant_since_us = {
            each: at for each, at in leader.no_grant_since_us.items() if each in opened
        }
        present = {each.placer for each in self.log.open}
        leader.reports = {name: each for name, each in leader.reports.items() if name in present}
