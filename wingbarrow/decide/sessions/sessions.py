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
from collections.abc import Callable
from typing import Any

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.sessions.messages import (
    ENDED_MOST,
    KEPT_MOST,
    LEASE_US,
    EndedSession,
    HeldRecords,
    Session,
    SessionsReport,
    SessionsResponse,
    reckoned_us,
    right_us,
)
from wingbarrow.decide.sessions.session_log import (
    ENDED_KEPT,
    SUCCESSORS_MOST,
    SessionLog,
    from_text,
)

LONE = 6  # leases, after which a session with no living keeper ends
LOOKS = 8  # in a lease: how often the leader looks at all sessions at least
PROPOSALS_MOST = 64  # at a time
TOLD_CHARS = 128 * 1024  # of names in one grant
TURN_US = 10_000  # the hub's longest turn


def lone_us(lease_us: int) -> int:
    """For how long after its last renewal a session without a living keeper stays open."""
    return LONE * drifted_us(lease_us)


def deaf_us(lease_us: int) -> int:
    """For how long after the last grant that reached it a placer's asks, which go on coming, renew its session."""
    return right_us(lease_us) + lease_us // 2


def ended_within_us(
    lease_us: int, after_us: int | None, turn_us: int = TURN_US, round_us: int = 250_000
) -> int:
    """Within which a session's end is decided, from the later of its last renewal and the election of the leader that
    a majority follows since, without a pause of it longer than a look's; `after_us`: the least that living keepers say,
    None where there is none. `round_us`: what a decision among the voters takes. The last renewal may come `deaf_us`
    after the last grant that came, where a cut lets asks through alone.
    """
    waits = (
        lone_us(lease_us)
        if after_us is None
        else max(reckoned_us(lease_us, turn_us), drifted_us(after_us))
    )
    return waits + lease_us // LOOKS + round_us


class SessionSubsystem:
    """The voters' part; times by the leader's clock. `lease_us` is that of sessions that are opened from now on."""

    name = "sessions"

    def __init__(self, lease_us: int = LEASE_US, turn_us: int = TURN_US) -> None:
        self.lease_us, self.turn_us = lease_us, turn_us
        self.log = SessionLog()
        self.counts: Counter[str] = Counter()
        self._forget(0)

    def _forget(self, now_us: int) -> None:
        """Know nothing that is not in the log."""
        self.began_us = self._seen_us = self._look_us = now_us
        self.renewed_us: dict[Session, int] = {}
        self._ending: set[Session] = set()
        self._wanted: dict[
            str, tuple[Session, int, str]
        ] = {}  # by placer: session, process, region
        self._deaf_us: dict[Session, int] = {}  # since when its asks say that no grant comes
        self.says: dict[
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
        self.log = from_text(text)

    # -- the leader

    def on_leadership_change(self, now_us: int, on: bool) -> None:
        """Leads from now on, or no longer. Danger: what leaders before renewed is not known: it counts from now."""
        self._forget(now_us)

    def _awake(self, now_us: int) -> None:
        """Danger: what others said to a leader that stood still lies unread; by its clock all of them are silent."""
        if self.log.open and now_us - self._seen_us > 2 * self.lease_us // LOOKS:
            self.began_us = now_us
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
                    self.says[asker.ident].keeping if asker.ident in self.says else ()
                ):
                    self._look_us = 0
                self.says[asker.ident] = said
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
        if self.log.may_open(asker.ident):
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
        for each in missed[:ENDED_MOST]:
            chars += sum(len(name) + 4 for batch in (*each.batches, each.gone) for name in batch)
            if some and chars > TOLD_CHARS:
                break
            some.append(each)
        return tuple(some), self.log.epoch if len(some) == len(missed) else some[-1].changed

    # -- ends

    def until_us(self, session: Session) -> int:
        """Until when this leader reckons with an open session."""
        return max(self.renewed_us.get(session, self.began_us), self.began_us) + reckoned_us(
            self.log.open[session].lease_us, self.turn_us
        )

    def _lapsed(self, now_us: int, session: Session) -> bool:
        return session not in self.log.open or now_us >= self.until_us(session)

    def lives(self, now_us: int, session: Session) -> bool:
        """Whether an open session was renewed by this leader so lately that its holder may send."""
        renewed = self.renewed_us.get(session)
        return (
            renewed is not None
            and session not in self._ending
            and (now_us < renewed + right_us(self.log.open[session].lease_us))
        )

    def keepers(self, now_us: int) -> dict[Session, tuple[int, list[Session]]]:
        """For each session that living placers keep for: the least `after`, and the keepers' own sessions."""
        out: dict[Session, tuple[int, list[Session]]] = {}
        for ident, said in self.says.items():
            held = self.log.latest.get(ident)
            if (
                held is None
                or said.deaf
                or held.session not in self.log.open
                or not self.lives(now_us, held.session)
            ):
                continue
            for each in said.keeping:
                if each.session.placer != ident and each.jobs > 0:
                    after, some = out.setdefault(each.session, (each.after_us, []))
                    some.append(held.session)
                    out[each.session] = min(after, each.after_us), some
        return out

    def end_due_us(self, session: Session, kept: tuple[int, list[Session]] | None) -> int:
        """When an open session may end, unless it is renewed."""
        terms = self.log.open[session]
        base = max(self.renewed_us.get(session, self.began_us), self.began_us)
        due = max(self.until_us(session), self.began_us + drifted_us(terms.lease_us))
        latest = self.log.latest.get(session.placer)
        if latest is not None and latest.session != session:
            return due  # a later process, or a later session of this one: nobody comes back to it
        return max(due, base + (lone_us(terms.lease_us) if kept is None else drifted_us(kept[0])))

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """What is to be decided, and when to look again."""
        self._awake(now_us)
        self._round = {}
        out = self._look(now_us) if now_us >= self._look_us else []
        for session, process, region in list(self._wanted.values())[:PROPOSALS_MOST]:
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
        keepers = self.keepers(now_us)
        following = now_us + self.lease_us // LOOKS
        for session in self.log.open:
            kept = keepers.get(session)
            due = self.end_due_us(session, kept)
            if due > now_us or len(out) >= PROPOSALS_MOST:
                following = min(following, max(due, now_us + 1))
            elif session not in self._ending:
                self._ending.add(session)
                out.append(_proposal("ended", session, kept[1] if kept is not None else []))
        for session, (_, some) in keepers.items():
            ended = self.log.ended.get(session)
            if ended is not None and len(out) < PROPOSALS_MOST:
                by = self.log.by[session]
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
        self.says = {name: said for name, said in self.says.items() if name in present}
        return out


def _proposal(kind: str, session: Session, successors: list[Session]) -> Proposal:
    return Proposal(
        kind,
        {
            "session": session.text(),
            "successors": [each.text() for each in sorted(successors)[:SUCCESSORS_MOST]],
        },
    )


class SessionLease:
    """A placer's part; times by its own clock. Off where it stands in no region: then it has no session."""

    name = "sessions"

    def __init__(self, me: str, region: str) -> None:
        self.me, self.region = me, region
        self.session: Session | None = None
        self.serial = 0  # of the latest session of this life, the present or one that has ended
        self.open = False  # as it was told last, and by time
        self.asked_us = 0  # for what renewed it last
        self.runs_until_us = 0  # when the lease ends that machines are to be told
        self.lease_us = 0
        self.heard = 0
        self.ended: dict[Session, EndedSession] = {}  # as heard; the latest ENDED_KEPT
        self.leased: Callable[[], int] = lambda: 0  # Jobs under it
        self.keeping: Callable[[], tuple[HeldRecords, ...]] = tuple  # for others' sessions
        self.counts: Counter[str] = Counter()
        self._right_until_us = self._told_us = 0

    def may_send(self, now_us: int) -> bool:
        """Whether a leased Job's first byte may leave at this moment. A floor never stands in for this."""
        return self.session is not None and now_us < self._right_until_us

    def report(self, now_us: int) -> SessionsReport | None:
        """With the next ask."""
        if not self.region:
            return None
        keeping = self.keeping()
        if len(keeping) > KEPT_MOST:
            self.counts["sessions: kept for more than can be said"] += 1
        deaf = self.session is not None and now_us - self._told_us >= right_us(self.lease_us)
        return SessionsReport(
            self.region, self.serial, self.leased(), keeping[:KEPT_MOST], self.heard, deaf
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
            if each.changed > self.heard:
                out += self._hear(each)
        self.heard = max(self.heard, told.epoch)
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
            self.asked_us = max(self.asked_us, asked_us)
            self._right_until_us = self.asked_us + right_us(told.lease_us)
            self.runs_until_us = self.asked_us + told.lease_us
        return [*out, *self.look(now_us)]

    def _hear(self, ended: EndedSession) -> list[Effect]:
        self.ended.pop(ended.session, None)
        self.ended[ended.session] = ended
        while len(self.ended) > ENDED_KEPT:
            del self.ended[next(iter(self.ended))]
        out: list[Effect] = []
        if ended.session == self.session:
            # Danger: a successor may act from here on, whatever this lease's own time would still allow.
            self.session, self._right_until_us, self.runs_until_us = None, 0, 0
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

    def look(self, now_us: int) -> list[Effect]:
        """Tell where this session opened or lapsed since it was looked at last."""
        may = self.may_send(now_us)
        if may == self.open or self.session is None:
            return []
        return self._told(may, self.session)

    def _told(self, may: bool, session: Session) -> list[Effect]:
        if self.open == may:
            return []
        self.open = may
        return [Notify("session", {"session": session.text(), "open": may, "epoch": self.heard})]
