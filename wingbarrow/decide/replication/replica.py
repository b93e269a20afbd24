"""The replica's side of replication: other placers' records, stored in order and within limits, and their failover.

A request is stored as a whole, or refused as a whole if capacity is missing. A record is replaced only by a later one:
of a later epoch, or of the same epoch and a later version. If two primaries took a Job over at the same epoch, the one
with the lesser name has precedence. Ages are converted to times of this placer's clock on receipt. A delayed message
makes events appear later than they were, which only makes a successor wait longer.

Danger: a message that was sent before this placer's own session ended must not be taken for a new one. A request to any
session but the present one is therefore refused. Records that were stored under an earlier session are *in doubt*, as
their primary may have gone on without this placer.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import nsmallest

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    record_size_bytes,
    version_order,
    with_ages_advanced,
    with_tasks_in_doubt,
)
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

MAX_PRIMARIES = 4096
UNKNOWN_HERE = "not known here"
WAITING = "waiting"  # the outcome of a Job that was taken over, until its reissue is decided
RUNNING = "run"
UNLIMITED = 1 << 30


@dataclass(slots=True)
class ReplicaEntry:
    """One stored record.

    `superseded` is the entry of another primary that it replaced at the same epoch; it is restored if this one is
    removed. `in_doubt`: the primary may have changed the record since, without this placer.
    """

    record: LeasedJobRecord
    received_us: int
    size_bytes: int
    in_doubt: bool = False
    superseded: ReplicaEntry | None = None

    def record_at(self, now_us: int) -> LeasedJobRecord:
        """Return the record with its ages as of now."""
        return with_ages_advanced(self.record, now_us - self.received_us)


@dataclass(slots=True)
class JobClaim:
    """A Job that this placer takes over; `possible_replicas` are the other placers that may have its record.

    A task of the record is in doubt if its state may be later than recorded. It remains in doubt at later successors.
    """

    record: LeasedJobRecord
    epoch: int
    possible_replicas: tuple[str, ...]


class Replica:
    """Stores records for other placers, under this placer's present session."""

    def __init__(self, session: Session, limits: ReplicationLimits = ReplicationLimits()) -> None:
        self.session = session
        self.limits = limits
        self.entries: dict[str, ReplicaEntry] = {}
        self.uids_by_session: dict[Session, dict[str, None]] = {}  # by the primary's session
        self.taken_over: dict[str, tuple[int, str]] = {}  # epoch and outcome, by uid
        self.session_ends: dict[Session, EndedSession] = {}  # of sessions with entries
        self.last_ended: dict[str, Session] = {}  # by placer
        self._bytes_by_primary: dict[str, int] = {}
        self._total_bytes = 0
        self._last_responses: dict[str, tuple[Session, int, ReplicateResponse]] = {}
        self._summary: tuple[HeldRecords, ...] | None = None  # None: to be computed

    # -- requests of primaries

    def on_request(self, now_us: int, ident: str, request: ReplicateRequest) -> list[Effect]:
        """Store a request's records, or refuse them, and respond.

        A repeated request gets the same response again. A request older than the last one gets none.
        """
        last = self._last_responses.get(ident)
        if last is not None and last[0] == request.session and request.number <= last[1]:
            return [Send(ident, "", last[2])] if request.number == last[1] else []
        response = ReplicateResponse(
            request.number,
            request.session,
            False,
            life=self.session.life,
            serial=self.session.serial,
        )
        reason = self._validation_error(ident, request)
        if reason:
            return [Send(ident, "", replace(response, why=reason))]
        if self._has_ended(request.session) or (last is not None and request.session < last[0]):
            refusal = replace(response, why="this session has ended", over=True)
            return [Send(ident, "", refusal)]
        if (request.life, request.serial) != (self.session.life, self.session.serial):
            return [Send(ident, "", replace(response, why="not to this keeper's session"))]
        taken = tuple(
            (each.uid, *self._known_primary(each.uid))
            for each in request.records
            if not self._has_precedence(each)
        )
        rejected = {uid for uid, _, _ in taken}
        records = [each for each in request.records if each.uid not in rejected]
        reason = self._capacity_refusal_reason(ident, records)
        if reason:
            return [Send(ident, "", replace(response, why=reason))]
        out: list[Effect] = []
        later: list[LeasedJobRecord] = []
        for record in records:
            out += self._store(now_us, record, later)
        for uid in request.gone:
            self._remove(request.session, uid)
        response = replace(response, good=True, taken=taken, later=tuple(later))
        self._last_responses[ident] = request.session, request.number, response
        return [*out, Send(ident, "", response)]

    def _validation_error(self, ident: str, request: ReplicateRequest) -> str:
        """Return why a request is refused regardless of the stored records; "" if it is valid."""
        if request.session.placer != ident:
            return "not the sender's session"
        if ident not in self._last_responses and len(self._last_responses) >= MAX_PRIMARIES:
            return f"more than {MAX_PRIMARIES} holders"
        for record in request.records:
            if (
                record.form != RECORD_FORMAT
                or record.effect not in EFFECTS
                or record.session != request.session
            ):
                return f"record {record.uid[:64]}: a field that this placer does not read"
            size_bytes = record_size_bytes(record)
            if size_bytes > MAX_RECORD_BYTES:
                return f"record {record.uid[:64]}: {size_bytes} bytes, at most {MAX_RECORD_BYTES}"
        return ""

    def _has_ended(self, session: Session) -> bool:
        last = self.last_ended.get(session.placer)
        return last is not None and session <= last

    def _capacity_refusal_reason(self, primary: str, new: Iterable[LeasedJobRecord]) -> str:
        """Return which limit on number or size keeps these records of a primary from being stored; "" if none does."""
        records = sum(
            len(uids) for session, uids in self.uids_by_session.items() if session.placer == primary
        )
        stored_bytes = self._bytes_by_primary.get(primary, 0)
        size_bytes = stored_bytes
        for record in new:
            previous = self.entries.get(record.uid)
            size_bytes += record_size_bytes(record)
            if previous is not None and previous.record.session.placer == primary:
                size_bytes -= previous.size_bytes
            else:
                records += 1
        limits = self.limits
        if records > limits.max_records_per_peer:
            return (
                f"no room: {records} records of one holder, at most {limits.max_records_per_peer}"
            )
        if size_bytes > limits.max_bytes_per_peer:
            return f"no room: {size_bytes} bytes of one holder, at most {limits.max_bytes_per_peer}"
        total_bytes = self._total_bytes + size_bytes - stored_bytes
        if total_bytes > limits.max_total_bytes:
            return f"no room: {total_bytes} bytes, at most {limits.max_total_bytes}"
        return ""

    # -- precedence

    def _has_precedence(self, record: LeasedJobRecord) -> bool:
        """Return whether a received record replaces what this placer has of the Job."""
        has_lesser_name = record.session.placer < self.session.placer
        own = self.taken_over.get(record.uid)
        if own is not None:
            epoch, outcome = own
            if record.epoch <= epoch:
                # Danger: a Job that was started here keeps running here. The other primary has not started it, as that
                # requires an acknowledgement by this placer.
                return record.epoch == epoch and has_lesser_name and outcome != RUNNING
        entry = self.entries.get(record.uid)
        if entry is None:
            return True
        known = entry.record
        if known.session == record.session or record.epoch > known.epoch:
            return True
        return record.epoch == known.epoch and record.session.placer < known.session.placer

    def _known_primary(self, uid: str) -> tuple[int, str]:
        """Return a Job's epoch and primary, as far as this placer knows them."""
        if uid in self.taken_over:
            return self.taken_over[uid][0], self.session.placer
        record = self.entries[uid].record
        return record.epoch, record.session.placer

    # -- storage

    def _store(
        self, now_us: int, record: LeasedJobRecord, later: list[LeasedJobRecord]
    ) -> list[Effect]:
        """Store a record. Append the previous primary's record to `later`, unless the Job is safe."""
        out: list[Effect] = []
        previous = self.entries.get(record.uid)
        entry = ReplicaEntry(record, now_us, record_size_bytes(record))
        if record.uid in self.taken_over:
            out.append(self._give_up(record))
        if previous is not None and previous.record.session == record.session:
            if version_order(previous.record) > version_order(record):
                return out
            entry.superseded = previous.superseded
        elif previous is not None:
            if record.effect != "safe":
                later.append(replace(previous.record_at(now_us), manifest=""))
            if previous.record.epoch == record.epoch:
                entry.superseded = previous
        self._discard(record.uid)
        self._add(entry)
        return out

    def _give_up(self, record: LeasedJobRecord) -> Notify:
        """Give up a Job that was taken over here, as it has another primary."""
        _, outcome = self.taken_over.pop(record.uid)
        fields = {
            "uid": record.uid,
            "epoch": record.epoch,
            "fate": outcome,
            "by": record.session.placer,
            "record": record,
        }
        return Notify("superseded", fields)

    def _remove(self, session: Session, uid: str) -> None:
        """Remove the record that the primary of this session has stored here."""
        entry = self.entries.get(uid)
        if entry is None:
            return
        if entry.record.session == session:
            self._discard(uid)
            if entry.superseded is not None:
                self._add(entry.superseded)
        elif entry.superseded is not None and entry.superseded.record.session == session:
            entry.superseded = None

    def _add(self, entry: ReplicaEntry) -> None:
        record = entry.record
        primary = record.session.placer
        self.entries[record.uid] = entry
        self.uids_by_session.setdefault(record.session, {})[record.uid] = None
        self._bytes_by_primary[primary] = self._bytes_by_primary.get(primary, 0) + entry.size_bytes
        self._total_bytes += entry.size_bytes
        self._summary = None

    def _discard(self, uid: str) -> None:
        entry = self.entries.pop(uid, None)
        if entry is None:
            return
        session = entry.record.session
        self._bytes_by_primary[session.placer] -= entry.size_bytes
        self._total_bytes -= entry.size_bytes
        del self.uids_by_session[session][uid]
        if not self.uids_by_session[session]:
            del self.uids_by_session[session]
            self.session_ends.pop(session, None)
        self._summary = None

    def record_at(self, now_us: int, uid: str) -> LeasedJobRecord | None:
        """Return the stored record of a Job, with its ages as of now."""
        entry = self.entries.get(uid)
        return entry.record_at(now_us) if entry is not None else None

    # -- ends of sessions

    def summary(self) -> tuple[HeldRecords, ...]:
        """Return, for each primary's session, the number of stored Jobs and their least `after_us`.

        Jobs that were taken over here are not counted. The at most `MAX_HELD_SESSIONS` sessions with the most Jobs are
        returned, in that order.
        """
        if self._summary is None:
            out = []
            for session, uids in self.uids_by_session.items():
                delays_us = [
                    self.entries[uid].record.after_us for uid in uids if uid not in self.taken_over
                ]
                if delays_us:
                    out.append(HeldRecords(session, len(delays_us), min(delays_us)))
            out.sort(key=lambda each: (-each.jobs, each.session))
            self._summary = tuple(out[:MAX_HELD_SESSIONS])
        return self._summary

    def on_session_ended(
        self, now_us: int, ended: EndedSession, limit: int = UNLIMITED
    ) -> list[JobClaim]:
        """Handle the end of a session, or new successors of it: return the Jobs that this placer takes over, each once.

        At most `limit` Jobs are returned, by priority, then the oldest first. The caller repeats the call as long as
        `limit` Jobs are returned.
        """
        if not self._has_ended(ended.session):
            self.last_ended[ended.session.placer] = ended.session
        if ended.session not in self.uids_by_session:
            return []
        self.session_ends[ended.session] = ended
        candidates = []
        for uid in self.uids_by_session[ended.session]:
            entry = self.entries[uid]
            if self._is_successor(ended, uid, entry):
                born_us = entry.received_us - entry.record.born_age_us
                candidates.append((-entry.record.priority, born_us, uid))
        return [self._take_over(now_us, uid, ended) for _, _, uid in nsmallest(limit, candidates)]

    def _is_successor(self, ended: EndedSession, uid: str, entry: ReplicaEntry) -> bool:
        """Return whether this placer takes a Job over; a Job in doubt is left to a replica that is not in doubt."""
        if uid in self.taken_over or entry.in_doubt:
            return False
        placer_name = self.session.placer
        return successor_of(ended, (*entry.record.keepers, placer_name)) == placer_name

    def take_over(self, now_us: int, uid: str) -> JobClaim | None:
        """Take over a Job of an ended session that has no successor, or whose successor does not know the Job.

        Returns None for any other Job, and for one that has been taken over already.
        """
        entry = self.entries.get(uid)
        ended = self.session_ends.get(entry.record.session) if entry is not None else None
        if ended is None or uid in self.taken_over:
            return None
        return self._take_over(now_us, uid, ended)

    def _take_over(self, now_us: int, uid: str, ended: EndedSession) -> JobClaim:
        entry = self.entries[uid]
        placer_name = self.session.placer
        record = entry.record_at(now_us)
        names = {*record.keepers, *record.others}
        if record.moves:
            names |= {name for batch in ended.batches for name in batch}
        gone = set(ended.gone) - {placer_name}
        # Danger: a successor that is gone may have started the Job after it queried only the replicas that it knew of,
        # not this placer. Or the Job was never accepted, as this placer's acknowledgement was missing, and its owner
        # submitted it elsewhere.
        if (
            entry.in_doubt
            or (record.moves > 0 and bool(gone))
            or placer_name in ended.gone
            or record.answered == OFFERED
        ):
            record = with_tasks_in_doubt(record)
        self.taken_over[uid] = ended.epoch, WAITING
        self._summary = None
        return JobClaim(record, ended.epoch, tuple(sorted(names - gone - {placer_name})))

    def awaiting_successors(self) -> dict[str, list[str]]:
        """Return the uids of Jobs of ended sessions that another placer is to take over, by that successor's name.

        Jobs without a known successor are listed under "". A Job that is in doubt here is listed under "" and under
        all successors of its session.
        """
        out: dict[str, list[str]] = {}
        for ended in self.session_ends.values():
            successors = {name for batch in ended.batches for name in batch} - {*ended.gone}
            for uid in self.uids_by_session.get(ended.session, ()):
                if uid in self.taken_over:
                    continue
                entry = self.entries[uid]
                if entry.in_doubt:
                    names = {*successors, ""}
                else:
                    names = {successor_of(ended, entry.record.keepers)}
                for name in sorted(names - {self.session.placer}):
                    out.setdefault(name, []).append(uid)
        return out

    def on_known_elsewhere(self, uid: str) -> None:
        """Discard the entry of a Job that is in doubt here, as a successor knows the Job."""
        entry = self.entries.get(uid)
        if (
            entry is not None
            and entry.in_doubt
            and uid not in self.taken_over
            and entry.record.session in self.session_ends
        ):
            self._discard(uid)

    def on_own_session_ended(self, session: Session, own_jobs: Collection[str]) -> None:
        """Begin a new session after the end of this placer's own; entries become in doubt, except those of safe Jobs.

        `own_jobs` are the uids of the Jobs that this placer had replicated itself. Of those that it had taken over,
        the entries are discarded: these Jobs go to this placer's own successors, by the records that those have.
        """
        self.session = session
        for uid in set(own_jobs) & self.taken_over.keys():
            self.release(uid)
        self.taken_over.clear()
        self._summary = None
        for entry in self.entries.values():
            entry.in_doubt = entry.in_doubt or entry.record.effect != "safe"

    # -- outcomes

    def set_outcome(self, uid: str, outcome: str) -> None:
        """Set the outcome of a Job that was taken over here; any other Job is ignored."""
        if uid in self.taken_over:
            epoch, _ = self.taken_over[uid]
            self.taken_over[uid] = epoch, outcome

    def release(self, uid: str) -> None:
        """Discard the entry of a Job that was taken over here, as the Job has ended or has another primary."""
        if (
            self.taken_over.pop(uid, None) is not None
            and uid in self.entries
            and self.entries[uid].record.session in self.session_ends
        ):
            self._discard(uid)

    def on_resolve(
        self, ident: str, request: ResolveRequest, own_jobs: Mapping[str, tuple[int, str]]
    ) -> list[Effect]:
        """Respond to a former primary, or to another replica, with the outcomes of Jobs of an ended session.

        `own_jobs`: epoch and outcome, by uid, of the Jobs of which this placer itself is primary.
        """
        fates = [
            (uid, *self._outcome(uid, request, own_jobs)) for uid in request.uids[:MAX_RESOLVE_UIDS]
        ]
        return [Send(ident, "", ResolveResponse(request.number, request.session, tuple(fates)))]

    def _outcome(
        self, uid: str, request: ResolveRequest, own_jobs: Mapping[str, tuple[int, str]]
    ) -> tuple[int, str]:
        """Return the epoch and outcome of one Job; the outcome is `UNKNOWN_HERE` if this placer does not have it."""
        if uid in self.taken_over:
            return self.taken_over[uid]
        if uid in own_jobs:
            return own_jobs[uid]
        entry = self.entries.get(uid)
        if entry is not None and entry.record.session != request.session:
            return entry.record.epoch, WAITING
        return 0, UNKNOWN_HERE


def count_unreplicated(leased: int, summaries: Iterable[HeldRecords]) -> int:
    """Return how many of a lost session's `leased` Jobs have no replica, given the summaries of all replicas."""
    return max(0, leased - sum(each.jobs for each in summaries))
