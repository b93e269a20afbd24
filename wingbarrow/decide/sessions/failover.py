"""Failover of the Jobs of one ended session at one of its successors.

State transitions of a Job (`FailoverState`):

    CLAIMING -> any below but STARTED     once its other replica holders have responded, or cannot change the decision
    QUERYING, WAITING, UNKNOWN -> any     when machines respond, a key's window ends, or an operator confirms
    READY -> STARTED                      when the core starts it (`start`)

The successor first holds a Job under its own session, at the epoch of the failover, with replica holders of its own. If
the successor is lost during the failover, its own successor therefore rebuilds this state from the replicated records.
Danger: a Job that must not repeat freely is started only after every other placer that may have its record has
confirmed that it is held here, and has sent any later state that it knew. A safe Job waits for that no longer than
`MAX_CLAIM_WAIT_US`.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import ClassVar

from wingbarrow.decide.effects import Effect, Notify, SetTimer
from wingbarrow.decide.replication.records import known_task
from wingbarrow.decide.replication.replica import JobClaim
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.machine_queries import MachineQueries
from wingbarrow.decide.sessions.messages import MachineReport
from wingbarrow.decide.sessions.reissue import (
    REISSUE_TABLE,
    MachineAnswer,
    ReissueDecision,
    ReissueRow,
    decide,
    key_window,
    window_until_us,
    worst_case_state,
)
from wingbarrow.decide.sessions.session import Session

MAX_CLAIM_WAIT_US = 2_000_000  # longest wait of a safe Job for its other replica holders


class FailoverState(Enum):
    """State of one Job's failover; the values are notified, and sent to a returning holder."""

    CLAIMING = "claiming"  # not all of its other replica holders have responded
    QUERYING = "asked"  # a machine has to respond first
    WAITING = "waiting"  # waits for the end of a key's window
    READY = "ready"  # may be started by the core
    STARTED = "run"
    UNKNOWN = "unknown"  # it cannot be proven whether the Job had its effect: left to an operator
    NOTHING = "nothing"  # all of its tasks had ended: nothing is started


FINAL_STATES = (FailoverState.READY, FailoverState.STARTED, FailoverState.NOTHING)
# Decisions that no response of another replica holder can change.
SETTLED_DECISIONS = {ReissueDecision.UNKNOWN, ReissueDecision.NOTHING}
ENDING_DECISIONS = (ReissueDecision.RUN, ReissueDecision.UNKNOWN, ReissueDecision.NOTHING)


@dataclass(slots=True)
class FailoverCase:
    """The failover of one Job.

    added_us: when the Job was added.
    window_until_us: end of the key's window of a keyed Job.
    claimed: whether all other placers that may have its record have confirmed that it is held here.
    start_indexes: indexes of the tasks to be started.
    notified: decisions as last notified, with the indexes of their tasks.
    """

    record: LeasedJobRecord
    epoch: int
    added_us: int
    window_until_us: int
    claimed: bool = False
    state: FailoverState = FailoverState.CLAIMING
    start_indexes: tuple[int, ...] = ()
    notified: tuple[tuple[str, tuple[int, ...]], ...] = ()


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to the core to start these tasks of a Job at its epoch; the manifest is in the record."""

    record: LeasedJobRecord
    epoch: int
    indexes: tuple[int, ...]


class SessionFailover:
    """The failover of all Jobs of one ended session for which this placer is the successor.

    cases: by uid. ready: uids in state READY, in the order in which they became ready. Each handler returns effects,
    with a `reissue` notification for each new decision.
    """

    table: ClassVar[tuple[ReissueRow, ...]] = REISSUE_TABLE

    def __init__(self, session: Session, epoch: int) -> None:
        self.session = session
        self.epoch = epoch
        self.timer = f"failover/{session.text()}"
        self.cases: dict[str, FailoverCase] = {}
        self.ready: dict[str, None] = {}
        self.queries = MachineQueries(epoch)
        self._deadlines: list[tuple[int, str]] = []  # heap of time and uid
        self._timer_us: int | None = None

    def add(self, now_us: int, claims: Collection[JobClaim]) -> list[Effect]:
        """Add Jobs; the caller replicates each at once, and calls `on_claimed` when that is confirmed."""
        for claim in claims:
            record = claim.record
            case = FailoverCase(record, claim.epoch, now_us, window_until_us(record, now_us))
            self.cases[record.uid] = case
            self._query_machines(now_us, case)
            for at_us in (case.window_until_us, now_us + MAX_CLAIM_WAIT_US):
                heapq.heappush(self._deadlines, (at_us, record.uid))
        return self._advance(now_us, [each.record.uid for each in claims])

    def _query_machines(self, now_us: int, case: FailoverCase) -> None:
        if case.record.effect != "unsafe":
            return
        for known in case.record.tasks:
            if known.phase == "about":
                sent_us = now_us - known.age_us
                self.queries.add(case.record.uid, known.index, known.machine, sent_us)

    # -- events

    def on_claimed(self, now_us: int, uid: str) -> list[Effect]:
        """Every other placer that may have a record of this Job has confirmed that it is held here."""
        case = self.cases.get(uid)
        if case is None or case.claimed:
            return []
        case.claimed = True
        return self._advance(now_us, (uid,))

    def on_replica_record(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """Merge the record of another replica holder.

        Danger: this placer's own record may be older than an attempt that was sent.
        """
        case = self.cases.get(record.uid)
        if case is None or case.claimed or record.epoch >= case.epoch:
            return []
        # The record was requested after this case was added, so its ages have grown by at most this much since.
        waited_us = now_us - case.added_us
        tasks = {each.index: each for each in case.record.tasks}
        for known in record.tasks:
            aged = replace(known, age_us=known.age_us + waited_us)
            tasks[known.index] = worst_case_state(known_task(case.record, known.index), aged)
        case.record = replace(
            case.record,
            tasks=tuple(tasks[index] for index in sorted(tasks)),
            answered=case.record.answered or record.answered,
        )
        self.queries.forget(record.uid)
        self._query_machines(now_us, case)
        return self._advance(now_us, ())

    def remove(self, uid: str) -> None:
        """Remove a Job that another placer holds at a later epoch, or that was deleted."""
        self.cases.pop(uid, None)
        self.ready.pop(uid, None)
        self.queries.forget(uid)

    def on_operator_confirmation(self, now_us: int, uid: str) -> list[Effect]:
        """An operator confirms that no task of a Job in state UNKNOWN ever ran."""
        case = self.cases.get(uid)
        if case is None or case.state is not FailoverState.UNKNOWN:
            return []
        for index in range(case.record.count):
            self.queries.set_answer(uid, index, MachineAnswer.OPERATOR)
        return self._advance(now_us, (uid,))

    def on_placers(self, now_us: int, placers: Iterable[str]) -> list[Effect]:
        """Replace the list of live placers of the lost region."""
        return self._advance(now_us, sorted(self.queries.set_placers(tuple(sorted(placers)))))

    def on_machine_report(self, now_us: int, message: MachineReport) -> list[Effect]:
        """Handle a machine's report; it may be late or a duplicate."""
        uid = self.queries.on_machine_report(now_us, message)
        return self._advance(now_us, (uid,) if uid else ())

    def on_timer(self, now_us: int) -> list[Effect]:
        """Handle query timeouts and ends of waits that are due."""
        self._timer_us = None
        uids = self.queries.on_timer(now_us)
        while self._deadlines and self._deadlines[0][0] <= now_us:
            uids.add(heapq.heappop(self._deadlines)[1])
        return self._advance(now_us, sorted(uids))

    def start(self, uid: str) -> StartOrder:
        """Mark a ready Job as started; return the order for the core."""
        del self.ready[uid]
        case = self.cases[uid]
        case.state = FailoverState.STARTED
        return StartOrder(case.record, case.epoch, case.start_indexes)

    # -- decisions

    def _decide(self, now_us: int, case: FailoverCase) -> dict[int, ReissueRow]:
        """Return the matching row of the reissue table by task index."""
        record = case.record
        window = key_window(record, now_us, case.window_until_us)
        rows = {}
        for index in range(record.count):
            phase = known_task(record, index).phase
            answer = self.queries.answer(record.uid, index)
            rows[index] = decide(record.effect, phase, answer, window, self.table)
        return rows

    def _advance(self, now_us: int, uids: Iterable[str]) -> list[Effect]:
        """Re-evaluate these Jobs, send queries that are due, and set the timer."""
        effects: list[Effect] = []
        for uid in uids:
            case = self.cases.get(uid)
            if case is None or case.state in FINAL_STATES:
                continue
            rows = self._decide(now_us, case)
            if self._may_act(now_us, case, rows):
                effects += self._apply(case, rows)
        effects += self.queries.next_requests(now_us)
        return [*effects, *self._set_timer(now_us)]

    @staticmethod
    def _may_act(now_us: int, case: FailoverCase, rows: dict[int, ReissueRow]) -> bool:
        """Whether a decision may take effect without further responses from other replica holders."""
        if case.claimed or {row.decision for row in rows.values()} <= SETTLED_DECISIONS:
            return True
        return case.record.effect == "safe" and now_us >= case.added_us + MAX_CLAIM_WAIT_US

    def _set_timer(self, now_us: int) -> list[Effect]:
        deadlines = [
            self.queries.next_deadline_us(),
            self._deadlines[0][0] if self._deadlines else None,
        ]
        due_us = min((each for each in deadlines if each is not None), default=None)
        if due_us is None or (self._timer_us is not None and due_us >= self._timer_us):
            return []
        self._timer_us = max(now_us, due_us)
        return [SetTimer(self.timer, self._timer_us)]

    def _apply(self, case: FailoverCase, rows: dict[int, ReissueRow]) -> list[Effect]:
        """Set the Job's state from the decisions on its tasks, and notify new decisions."""
        decisions = {row.decision for row in rows.values()}
        if ReissueDecision.QUERY in decisions:
            case.state = FailoverState.QUERYING
            return self._notify(case, rows, (ReissueDecision.QUERY,))
        if ReissueDecision.WAIT in decisions:
            case.state = FailoverState.WAITING
            return self._notify(case, rows, (ReissueDecision.WAIT,))
        case.start_indexes = tuple(
            index for index, row in rows.items() if row.decision is ReissueDecision.RUN
        )
        if case.start_indexes:
            case.state = FailoverState.READY
            self.ready[case.record.uid] = None
        elif ReissueDecision.UNKNOWN in decisions:
            case.state = FailoverState.UNKNOWN
        else:
            case.state = FailoverState.NOTHING
        return self._notify(case, rows, ENDING_DECISIONS)

    @staticmethod
    def _notify(
        case: FailoverCase, rows: dict[int, ReissueRow], decisions: tuple[ReissueDecision, ...]
    ) -> list[Effect]:
        effects: list[Effect] = []
        notified = []
        for decision in decisions:
            indexes = tuple(index for index, row in rows.items() if row.decision is decision)
            if not indexes:
                continue
            notified.append((decision.value, indexes))
            if (decision.value, indexes) in case.notified:
                continue
            fields = {
                "uid": case.record.uid,
                "key": case.record.key,
                "verdict": decision.value,
                "epoch": case.epoch,
                "why": rows[indexes[0]].why,
                "tasks": indexes,
            }
            effects.append(Notify("reissue", fields))
        case.notified = tuple(notified)
        return effects


def start_order_key(case: FailoverCase) -> tuple[int, int, str]:
    """Return the sort key for the order of starts: highest priority, then longest wait of the owner, then name."""
    return -case.record.priority, case.added_us - case.record.born_age_us, case.record.key
