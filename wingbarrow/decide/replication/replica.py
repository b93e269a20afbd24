"""The keeper's side of custody: records of other placers' Jobs, in order, within bounds, and what of them to take over.

A mail is kept whole or refused whole for want of room. A record gives way to a later one: of a later epoch, or of the
same epoch and a later version; two that took a Job over at the same epoch are told apart by their names, the lesser
stands. Ages become times of this clock: late mail makes what happened look later than it was, which only makes a
successor wait longer. Danger: mail of before this placer's own session ended must not pass for new, so that a mail for
another session than the present one is refused; and what was kept until then is *in doubt*, as its holder may go on
without telling this placer.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import nsmallest

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.records import ReplicationLimits, aged, doubted, order, size_of
from wingbarrow.decide.sessions.leased_job_record import (
    EFFECTS,
    MAX_RECORD_BYTES,
    OFFERED,
    RECORD_FORMAT,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import (
    MAX_HELD_SESSIONS,
    MAX_RESOLVE_UIDS,
    HeldRecords,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session, successor_of

HOLDERS_MOST = 4096
UNKNOWN_HERE = "not known here"


@dataclass(slots=True)
class ReplicaEntry:
    """One record kept; `under`: what it took the place of at the same epoch, which stands again if it goes."""

    record: LeasedJobRecord
    said_us: int
    size: int
    doubt: bool = False
    under: ReplicaEntry | None = None


@dataclass(slots=True)
class Taking:
    """A Job that this placer takes over; a task of which more may be true than is kept is in doubt, and stays so at
    later successors, too. `must`: who else may have it."""

    record: LeasedJobRecord
    epoch: int
    must: tuple[str, ...]


class Replica:
    """One placer's, as a keeper."""

    def __init__(self, me: str, life: int, bounds: ReplicationLimits = ReplicationLimits()) -> None:
        self.session, self.bounds = Session(me, life, 0), bounds
        self.entries: dict[str, ReplicaEntry] = {}
        self.sessions: dict[Session, dict[str, None]] = {}  # uids by holder's session
        self.taken: dict[
            str, tuple[int, str]
        ] = {}  # what this placer has taken over: epoch and fate
        self.ends: dict[Session, EndedSession] = {}  # of sessions of which something is kept
        self.latest: dict[str, Session] = {}  # of each placer, the last that has ended
        self._sizes: dict[str, int] = {}  # bytes by holder
        self._size = 0  # of all
        self._last: dict[str, tuple[Session, int, ReplicateResponse]] = {}
        self._kept: tuple[HeldRecords, ...] | None = None

    # -- mail of holders

    def on_keep(self, now_us: int, ident: str, keep: ReplicateRequest) -> list[Effect]:
        """Take it or not, and say so; nothing is said to what is older than what was answered already."""
        last = self._last.get(ident)
        if last is not None and last[0] == keep.session and keep.number <= last[1]:
            return [Send(ident, "", last[2])] if keep.number == last[1] else []
        out: list[Effect] = []
        answer = ReplicateResponse(
            keep.number, keep.session, False, life=self.session.life, serial=self.session.serial
        )
        why = self._wrong(ident, keep)
        if why:
            return [Send(ident, "", replace(answer, why=why))]
        if self._over(keep.session) or (last is not None and keep.session < last[0]):
            return [Send(ident, "", replace(answer, why="this session has ended", over=True))]
        if (keep.life, keep.serial) != (self.session.life, self.session.serial):
            return [Send(ident, "", replace(answer, why="not to this keeper's session"))]
        taken = tuple(
            (each.uid, *self._holder(each.uid)) for each in keep.records if not self._stands(each)
        )
        refused = {uid for uid, _, _ in taken}
        new = [each for each in keep.records if each.uid not in refused]
        why = self._room(ident, new)
        if why:
            return [Send(ident, "", replace(answer, why=why))]
        later: list[LeasedJobRecord] = []
        for record in new:
            out += self._put(now_us, record, later)
        for uid in keep.gone:
            self._gone(keep.session, uid)
        answer = replace(answer, good=True, taken=taken, later=tuple(later))
        self._last[ident] = keep.session, keep.number, answer
        return [*out, Send(ident, "", answer)]

    def _wrong(self, ident: str, keep: ReplicateRequest) -> str:
        if keep.session.placer != ident:
            return "not the sender's session"
        if ident not in self._last and len(self._last) >= HOLDERS_MOST:
            return f"more than {HOLDERS_MOST} holders"
        for record in keep.records:
            if (
                record.form != RECORD_FORMAT
                or record.effect not in EFFECTS
                or record.session != keep.session
            ):
                return f"record {record.uid[:64]}: a field that this placer does not read"
            if size_of(record) > MAX_RECORD_BYTES:
                return (
                    f"record {record.uid[:64]}: {size_of(record)} bytes, at most {MAX_RECORD_BYTES}"
                )
        return ""

    def _over(self, session: Session) -> bool:
        latest = self.latest.get(session.placer)
        return latest is not None and session <= latest

    def _room(self, holder: str, new: Iterable[LeasedJobRecord]) -> str:
        records = sum(
            len(uids) for session, uids in self.sessions.items() if session.placer == holder
        )
        size = self._sizes.get(holder, 0)
        for record in new:
            had = self.entries.get(record.uid)
            mine = had is not None and had.record.session.placer == holder
            records += not mine
            size += size_of(record) - (had.size if had is not None and mine else 0)
        if records > self.bounds.records:
            return f"no room: {records} records of one holder, at most {self.bounds.records}"
        if size > self.bounds.bytes:
            return f"no room: {size} bytes of one holder, at most {self.bounds.bytes}"
        total = self._size + size - self._sizes.get(holder, 0)
        return (
            f"no room: {total} bytes, at most {self.bounds.all_bytes}"
            if total > self.bounds.all_bytes
            else ""
        )

    # -- which of two records stands

    def _stands(self, record: LeasedJobRecord) -> bool:
        """Whether a record that was said takes the place of what is known here."""
        own = self.taken.get(record.uid)
        if own is not None and record.epoch <= own[0]:
            # Danger: what was started here goes on; the other has not started, as this placer did not agree to it.
            first = record.session.placer < self.session.placer
            return record.epoch == own[0] and first and own[1] != "run"
        had = self.entries.get(record.uid)
        if had is None or had.record.session == record.session or record.epoch > had.record.epoch:
            return True
        return (
            record.epoch == had.record.epoch and record.session.placer < had.record.session.placer
        )

    def _holder(self, uid: str) -> tuple[int, str]:
        """At which epoch a Job is held, and by whom, as far as this placer knows."""
        if uid in self.taken:
            return self.taken[uid][0], self.session.placer
        record = self.entries[uid].record
        return record.epoch, record.session.placer

    def _put(
        self, now_us: int, record: LeasedJobRecord, later: list[LeasedJobRecord]
    ) -> list[Effect]:
        out: list[Effect] = []
        had = self.entries.get(record.uid)
        entry = ReplicaEntry(record, now_us, size_of(record))
        if record.uid in self.taken:
            epoch, fate = self.taken.pop(record.uid)
            out.append(
                Notify(
                    "superseded",
                    {
                        "uid": record.uid,
                        "epoch": record.epoch,
                        "fate": fate,
                        "by": record.session.placer,
                        "record": record,
                    },
                )
            )
        if had is not None and had.record.session == record.session:
            if order(had.record) > order(record):
                return out
            entry.under = had.under
        elif had is not None:
            if record.effect != "safe":
                later.append(replace(self._now(now_us, had), manifest=""))
            entry.under = had if had.record.epoch == record.epoch else None
        self._forget(record.uid)
        self._add(entry)
        return out

    def _gone(self, session: Session, uid: str) -> None:
        entry = self.entries.get(uid)
        if entry is None:
            return
        if entry.record.session == session:
            self._forget(uid)
            if entry.under is not None:
                self._add(entry.under)
        elif entry.under is not None and entry.under.record.session == session:
            entry.under = None

    def _add(self, entry: ReplicaEntry) -> None:
        record = entry.record
        self.entries[record.uid] = entry
        self.sessions.setdefault(record.session, {})[record.uid] = None
        self._sizes[record.session.placer] = self._sizes.get(record.session.placer, 0) + entry.size
        self._size += entry.size
        self._kept = None

    def _forget(self, uid: str) -> None:
        entry = self.entries.pop(uid, None)
        if entry is None:
            return
        session = entry.record.session
        self._sizes[session.placer] -= entry.size
        self._size -= entry.size
        del self.sessions[session][uid]
        if not self.sessions[session]:
            del self.sessions[session]
            self.ends.pop(session, None)
        self._kept = None

    @staticmethod
    def _now(now_us: int, entry: ReplicaEntry) -> LeasedJobRecord:
        return aged(entry.record, now_us - entry.said_us)

    def record(self, now_us: int, uid: str) -> LeasedJobRecord | None:
        """What is kept of a Job, with the ages of now."""
        entry = self.entries.get(uid)
        return self._now(now_us, entry) if entry is not None else None

    # -- what the voters decide

    def kept(self) -> tuple[HeldRecords, ...]:
        """What is kept of each session, for the next ask; those that this placer has taken over do not count."""
        if self._kept is None:
            out = []
            for session, uids in self.sessions.items():
                afters = [
                    self.entries[uid].record.after_us for uid in uids if uid not in self.taken
                ]
                if afters:
                    out.append(HeldRecords(session, len(afters), min(afters)))
            out.sort(key=lambda each: (-each.jobs, each.session))
            self._kept = tuple(out[:MAX_HELD_SESSIONS])
        return self._kept

    def ended(self, now_us: int, ended: EndedSession, most: int = 1 << 30) -> list[Taking]:
        """A session is over, or has more successors than before: what this placer takes over, each Job once.

        The first `most` of them, by priority and age: to be called again while it returns so many.
        """
        if not self._over(ended.session):
            self.latest[ended.session.placer] = ended.session
        if ended.session not in self.sessions:
            return []
        self.ends[ended.session] = ended
        me = self.session.placer
        mine = []
        for uid in self.sessions[ended.session]:
            entry = self.entries[uid]
            # What is in doubt is left to one who knows better, while there may be one.
            if (
                uid not in self.taken
                and not entry.doubt
                and successor_of(ended, (*entry.record.keepers, me)) == me
            ):
                mine.append((-entry.record.priority, entry.said_us - entry.record.born_age_us, uid))
        return [self._take(now_us, uid, ended) for _, _, uid in nsmallest(most, mine)]

    def take(self, now_us: int, uid: str) -> Taking | None:
        """Take one over whose successor, as this placer reckons, knows nothing of it, or that has none."""
        entry = self.entries.get(uid)
        end = self.ends.get(entry.record.session) if entry is not None else None
        if entry is None or end is None or uid in self.taken:
            return None
        return self._take(now_us, uid, end)

    def _take(self, now_us: int, uid: str, ended: EndedSession) -> Taking:
        entry, me = self.entries[uid], self.session.placer
        record = self._now(now_us, entry)
        names = {*record.keepers, *record.others}
        names |= {name for batch in ended.batches for name in batch} if record.moves else set()
        gone = set(ended.gone) - {me}
        # Danger: one that is gone may have started it and asked those whom it knew of, not this placer.
        # Or it was never accepted, for want of this very answer, and its owner asked elsewhere.
        if (
            entry.doubt
            or (record.moves > 0 and bool(gone))
            or me in ended.gone
            or record.answered == OFFERED
        ):
            record = doubted(record)
        self.taken[uid] = ended.epoch, "waiting"
        self._kept = None
        return Taking(record, ended.epoch, tuple(sorted(names - gone - {me})))

    def others(self) -> dict[str, list[str]]:
        """Of sessions that are over: Jobs kept here that another is to take over, by its name ("": nobody known).

        Of one in doubt here all that succeed are named.
        """
        out: dict[str, list[str]] = {}
        for end in self.ends.values():
            every = {name for batch in end.batches for name in batch} - {*end.gone}
            for uid in self.sessions.get(end.session, ()):
                entry = self.entries[uid]
                first = successor_of(end, entry.record.keepers)
                names = {*every, ""} if entry.doubt else {first}
                for name in sorted(names - {self.session.placer}) if uid not in self.taken else ():
                    out.setdefault(name, []).append(uid)
        return out

    def known_elsewhere(self, uid: str) -> None:
        """What is in doubt here is known to one that succeeds: it is no matter here."""
        entry = self.entries.get(uid)
        if (
            entry is not None
            and entry.doubt
            and uid not in self.taken
            and entry.record.session in self.ends
        ):
            self._forget(uid)

    def own_end(self, session: Session, held: Collection[str]) -> None:
        """This placer's session was ended, and it has a new one: its holders may have gone on without it.

        What it had taken over and `held` is its own successors' by their records.
        """
        self.session = session
        for uid in set(held) & self.taken.keys():
            self.let_go(uid)
        self.taken.clear()
        self._kept = None
        for entry in self.entries.values():
            entry.doubt = entry.doubt or entry.record.effect != "safe"

    # -- what became of Jobs

    def fate(self, uid: str, fate: str) -> None:
        """What became of a Job that was taken over here; `nothing` and `stopped` need no keeping any more."""
        if uid in self.taken:
            self.taken[uid] = self.taken[uid][0], fate

    def let_go(self, uid: str) -> None:
        """A Job that was taken over here is over, or is another's: nothing of it is kept."""
        if (
            self.taken.pop(uid, None) is not None
            and uid in self.entries
            and self.entries[uid].record.session in self.ends
        ):
            self._forget(uid)

    def settle(
        self, ident: str, ask: ResolveRequest, held: Mapping[str, tuple[int, str]]
    ) -> list[Effect]:
        """What became of Jobs of a session that has ended, to one that came back or that keeps them too.

        `held`: what this placer holds itself, by uid: epoch and fate.
        """
        fates = []
        for uid in ask.uids[:MAX_RESOLVE_UIDS]:
            entry = self.entries.get(uid)
            if uid in self.taken:
                fates.append((uid, *self.taken[uid]))
            elif uid in held:
                fates.append((uid, *held[uid]))
            elif entry is not None and entry.record.session != ask.session:
                fates.append((uid, entry.record.epoch, "waiting"))
            else:
                fates.append((uid, 0, UNKNOWN_HERE))
        return [Send(ident, "", ResolveResponse(ask.number, ask.session, tuple(fates)))]


def unclaimed(leased: int, kept: Iterable[HeldRecords]) -> int:
    """How many Jobs of a lost session nobody keeps, as far as all keepers were heard."""
    return max(0, leased - sum(each.jobs for each in kept))
