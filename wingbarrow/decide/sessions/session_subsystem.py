"""Sessions: until when a placer may act for its leased Jobs, at which epoch that has ended, and who succeeds. No I/O.

`Sessions` is the voters' part, a chapter of their log (`sessionlog`), with what its leader reckons; `Lease` is every
placer's. As Chubby's sessions and sequencers (Burrows 2006), except that nothing is kept alive between elections: a new
leader reckons with every open session from its own election. What an end rests on, in order:

- a session is renewed only by a grant, which a majority confirmed after it was asked for, and for no longer than the
  leader reckons with (`reckoned_us`); what has been proposed to end is renewed no more;
- a leader proposes an end when its reckoning is over, the least `after` of what keepers say has passed since the last
  renewal (or its election), and keepers have had a lease's time to be heard by it;
- with no living keeper it waits for `lone_us` instead and names nobody; keepers that come later join in later batches;
- one that is heard but does not hear (a cut one way) is renewed for a while only (`deaf_us`): it can do nothing;
- a later process of the same name proves that the one before is over: its session ends without `after`;
- whoever comes back before its end goes on, whoever comes after it has a new session, and gets it only together with
  all ends that it has not heard of.
"""

from __future__ import annotations

from collections import Counter
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
    MAX_SUCCESSORS_PER_BATCH,
    SessionLog,
    parse_session_log,
)

MAX_PROPOSALS = 64  # at a time
MAX_ENDED_CHARS_PER_RESPONSE = 128 * 1024  # of names in one grant


class SessionSubsystem:
    """The voters' part; times by the leader's clock. `lease_us` is that of sessions that are opened from now on."""

    name = "sessions"

    def __init__(self, lease_us: int = LEASE_US, max_turn_us: int = MAX_TURN_US) -> None:
        self.lease_us, self.max_turn_us = lease_us, max_turn_us
        self.log = SessionLog()
        self.counts: Counter[str] = Counter()
        self._forget(0)

    def _forget(self, now_us: int) -> None:
        """Know nothing that is not in the log."""
        self.counting_since_us = self._seen_us = self._look_us = now_us
        self.renewed_us: dict[Session, int] = {}
        self._ending: set[Session] = set()
        self._wanted: dict[
            str, tuple[Session, int, str]
        ] = {}  # by placer: session, process, region
        self._deaf_us: dict[Session, int] = {}  # since when its asks say that no grant comes
        self.reports: dict[
            str, SessionsReport
        ] = {}  # by placer whose session is open, what it said last
        self._round: dict[
            str, tuple[Requester, SessionsReport, Session | None]
        ] = {}  # who asked, and what that renewed

    # -- the log

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Take one decided entry."""
        self.log.apply(kind, value)
        self._look_us = 0
        self._ending &= self.log.open.keys()

    def snapshot(self) -> str:
        """All of the replicated state."""
        return self.log.text()

    def restore(self, text: str) -> None:
        """What `text` gave."""
        self.log = parse_session_log(text)

    # -- the leader

    def on_leadership_change(self, now_us: int, on: bool) -> None:
        """Leads from now on, or no longer. Danger: what leaders before renewed is not known: it counts from now."""
        self._forget(now_us)

    def _awake(self, now_us: int) -> None:
        """Danger: what others said to a leader that stood still lies unread; by its clock all of them are silent."""
        if self.log.open and now_us - self._seen_us > 2 * self.lease_us // CHECKS_PER_LEASE:
            self.counting_since_us = now_us
            self.counts["sessions: leader stood still"] += 1
        self._seen_us = now_us

    def on_report(self, now_us: int, asker: Requester, said: SessionsReport | None) -> None:
        """A placer's part of an ask that a majority confirmed: its session is renewed, or one is to be opened."""
        if said is None:
            return
        self._awake(now_us)
        renewed: Session | None = None
        held = self.log.latest.get(asker.ident)
        if held is None:
            # Not known, or forgotten: what it states that it had is over, and is not opened again.
            self._want(asker, Session(asker.ident, asker.life, said.serial + 1), said)
        elif held.process == asker.life:
            if held.session not in self.log.open:
                serial = max(held.session.serial, said.serial) + 1
                self._want(asker, Session(asker.ident, held.session.life, serial), said)
            elif held.session not in self._ending and self._hears(now_us, held.session, said):
                # Danger: an end that is proposed is decided sooner or later; a renewal would run on beyond it.
                self.renewed_us[held.session] = now_us
                renewed = held.session
                if said.keeping != (
                    self.reports[asker.ident].keeping if asker.ident in self.reports else ()
                ):
                    self._look_us = 0
                self.reports[asker.ident] = said
        elif held.process < asker.life or (said.serial == 0 and self._lapsed(now_us, held.session)):
            # A later process; or, by a wall clock that was set back, one that never had a session while the one that is
            # known is silent. Danger: a former one that woke up has had a session, and renews and opens nothing.
            self._want(asker, Session(asker.ident, max(asker.life, held.session.life + 1), 1), said)
        self._round[asker.ident] = asker, said, renewed

    def _hears(self, now_us: int, session: Session, said: SessionsReport) -> bool:
        """Danger: one that is heard and does not hear would keep its work from everybody for good."""
        if not said.deaf:
            self._deaf_us.pop(session, None)
            return True
        return (
            now_us - self._deaf_us.setdefault(session, now_us)
            < self.log.open[session].lease_us // 2
        )

    def _want(self, asker: Requester, session: Session, said: SessionsReport) -> None:
        if self.log.can_open(asker.ident):
            self._wanted[asker.ident] = session, asker.life, said.region
        else:
            self.counts["sessions: no room for another"] += 1

    def response_for(self, now_us: int, asker: Requester) -> SessionsResponse | None:
        """Its part of the grant."""
        heard = self._round.get(asker.ident)
        if heard is None or heard[0] != asker:
            return None
        _, said, renewed = heard
        ended, upto = self._news(said.heard)
        held = self.log.latest.get(asker.ident)
        if held is None or held.process != asker.life:
            return SessionsResponse(False, said.serial, self.lease_us, upto, ended)
        session = held.session
        terms = self.log.open.get(session)
        # Danger: a new session before its holder knows which have ended would go on with what is somebody else's now.
        good = (
            terms is not None
            and renewed == session
            and (said.serial == session.serial or upto >= self.log.epoch)
        )
        return SessionsResponse(
            good,
            session.serial,
            terms.lease_us if terms is not None else self.lease_us,
            upto,
            ended,
            session.life,
        )

    def _news(self, heard: int) -> tuple[tuple[EndedSession, ...], int]:
        """What changed after an epoch, as much as goes with a grant, and up to which epoch that is all."""
        if heard >= self.log.epoch:
            return (), self.log.epoch
        missed = sorted(
            (each for each in self.log.ended.values() if each.changed > heard),
            key=lambda each: each.changed,
        )
        chars, some = 0, list[EndedSession]()
        for each in missed[:MAX_ENDED_PER_RESPONSE]:
            chars += sum(len(name) + 4 for batch in (*each.batches, each.gone) for name in batch)
            if some and chars > MAX_ENDED_CHARS_PER_RESPONSE:
                break
            some.append(each)
        return tuple(some), self.log.epoch if len(some) == len(missed) else some[-1].changed

    # -- ends

    def lease_until_us(self, session: Session) -> int:
        """Until when this leader reckons with an open session."""
        return max(
            self.renewed_us.get(session, self.counting_since_us), self.counting_since_us
        ) + voter_lease_us(self.log.open[session].lease_us, self.max_turn_us)

    def _lapsed(self, now_us: int, session: Session) -> bool:
        return session not in self.log.open or now_us >= self.lease_until_us(session)

    def is_live(self, now_us: int, session: Session) -> bool:
        """Whether an open session was renewed by this leader so lately that its holder may send."""
        renewed = self.renewed_us.get(session)
        return (
            renewed is not None
            and session not in self._ending
            and (now_us < renewed + holder_lease_us(self.log.open[session].lease_us))
        )

    def replica_holders(self, now_us: int) -> dict[Session, tuple[int, list[Session]]]:
        """For each session that living placers keep for: the least `after`, and the keepers' own sessions."""
        out: dict[Session, tuple[int, list[Session]]] = {}
        for ident, said in self.reports.items():
            held = self.log.latest.get(ident)
            if (
                held is None
                or said.deaf
                or held.session not in self.log.open
                or not self.is_live(now_us, held.session)
            ):
                continue
            for each in said.keeping:
                if each.session.placer != ident and each.jobs > 0:
                    after, some = out.setdefault(each.session, (each.after_us, []))
                    some.append(held.session)
                    out[each.session] = min(after, each.after_us), some
        return out

    def earliest_end_us(self, session: Session, kept: tuple[int, list[Session]] | None) -> int:
        """When an open session may end, unless it is renewed."""
        terms = self.log.open[session]
        base = max(self.renewed_us.get(session, self.counting_since_us), self.counting_since_us)
        due = max(self.lease_until_us(session), self.counting_since_us + drifted_us(terms.lease_us))
        latest = self.log.latest.get(session.placer)
        if latest is not None and latest.session != session:
            return due  # a later process, or a later session of this one: nobody comes back to it
        return max(
            due,
            base + (unreplicated_wait_us(terms.lease_us) if kept is None else drifted_us(kept[0])),
        )

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """What is to be decided, and when to look again."""
        self._awake(now_us)
        self._round = {}
        out = self._look(now_us) if now_us >= self._look_us else []
        for session, process, region in list(self._wanted.values())[:MAX_PROPOSALS]:
            held = self.log.latest.get(session.placer)
            if held is None or session > held.session:
                self.renewed_us[session] = now_us  # reckoned with from before it can be given
                out.append(
                    Proposal(
                        "opened",
                        {
                            "session": session.text(),
                            "process": process,
                            "region": region,
                            "lease_us": self.lease_us,
                        },
                    )
                )
        self._wanted = {}
        return out, self._look_us if self.log.open or out else None

    def _look(self, now_us: int) -> list[Proposal]:
        out: list[Proposal] = []
        keepers = self.replica_holders(now_us)
        following = now_us + self.lease_us // CHECKS_PER_LEASE
        for session in self.log.open:
            kept = keepers.get(session)
            due = self.earliest_end_us(session, kept)
            if due > now_us or len(out) >= MAX_PROPOSALS:
                following = min(following, max(due, now_us + 1))
            elif session not in self._ending:
                self._ending.add(session)
                out.append(_proposal("ended", session, kept[1] if kept is not None else []))
        for session, (_, some) in keepers.items():
            ended = self.log.ended.get(session)
            if ended is not None and len(out) < MAX_PROPOSALS:
                by = self.log.joined_by[session]
                late = [
                    each
                    for each in some
                    if by.get(each.placer) != each
                    and (each.placer not in by or each.placer in ended.gone)
                ]
                if late:
                    out.append(_proposal("succeed", session, late))
        self._look_us = following
        self.renewed_us = {
            each: at for each, at in self.renewed_us.items() if each in self.log.open
        }
        self._deaf_us = {each: at for each, at in self._deaf_us.items() if each in self.log.open}
        present = {each.placer for each in self.log.open}
        self.reports = {name: said for name, said in self.reports.items() if name in present}
        return out


def _proposal(kind: str, session: Session, successors: list[Session]) -> Proposal:
    return Proposal(
        kind,
        {
            "session": session.text(),
            "successors": [each.text() for each in sorted(successors)[:MAX_SUCCESSORS_PER_BATCH]],
        },
    )
