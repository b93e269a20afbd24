"""Failover of one ended session's Jobs at one of its successors.

Each Job goes through the states of `FailoverState`:

    CLAIMING -> any below but STARTED     once its other replica holders have answered, or cannot change the decision
    QUERYING, WAITING, UNKNOWN -> any     as machines answer, a key's window ends, an operator confirms
    READY -> STARTED                      when the core takes it (`start`)

A Job is first held under this placer's own session, at the epoch of the failover, with replica holders of its own. So a
successor that is lost meanwhile is succeeded like any holder, and all of this is built again from records. Danger: what
must not repeat freely is started only once everybody else who may have its record has confirmed that it is held here,
and has sent what more it knew. A safe Job waits for that no longer than `MAX_CLAIM_WAIT_US`.
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

MAX_CLAIM_WAIT_US = 2_000_000  # for a safe Job's other replica holders


class FailoverState(Enum):
    """Where one Job's failover stands; values as they are notified and sent to a returning holder."""

    CLAIMING = "claiming"  # its other replica holders have not all answered yet
    QUERYING = "asked"  # a machine has to answer first
    WAITING = "waiting"  # for the end of a key's window
    READY = "ready"  # to be started by the core
    STARTED = "run"
    UNKNOWN = "unknown"  # whether it had its effect cannot be proven: left to an operator
    NOTHING = "nothing"  # it was over


FINAL_STATES = (FailoverState.READY, FailoverState.STARTED, FailoverState.NOTHING)
# A decision that nothing more can be learned for.
SETTLED_DECISIONS = {ReissueDecision.UNKNOWN, ReissueDecision.NOTHING}
ENDING_DECISIONS = (ReissueDecision.RUN, ReissueDecision.UNKNOWN, ReissueDecision.NOTHING)


@dataclass(slots=True)
class FailoverCase:
    """One Job.

    window_until_us: of a keyed one, the end of its key's window.
    claimed: whether all that may have its record have confirmed that it is held here.
    start_indexes: the tasks that are to be started.
    notified: decisions with their tasks, as last notified.
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
    """What the core is to start: these tasks of a Job, at its epoch; the manifest is in the record."""

    record: LeasedJobRecord
    epoch: int
    indexes: tuple[int, ...]


class SessionFailover:
    """All Jobs of one ended session that this placer succeeds to.

    cases: by uid. ready: uids in state READY, in order. Each handler returns effects, among them a `reissue`
    notification for each decision that is new.
    """

    table: ClassVar[tuple[ReissueRow, ...]] = REISSUE_TABLE

    def __init__(self, session: Session, epoch: int) -> None:
        self.session = session
        self.epoch = epoch
        self.timer = f"failover/{session.text()}"
        self.cases: dict[str, FailoverCase] = {}
        self.ready: dict[str, None] = {}
        self.queries = MachineQueries(epoch)
        self._due: list[tuple[int, str]] = []  # heap of time and uid
        self._timer_us: int | None = None

    def add(self, now_us: int, claims: Collection[JobClaim]) -> list[Effect]:
        """Add Jobs; the host holds each at once, and calls `on_claimed` when that is confirmed."""
        for claim in claims:
            record = claim.record
            case = FailoverCase(record, claim.epoch, now_us, window_until_us(record, now_us))
            self.cases[record.uid] = case
            self._query_machines(now_us, case)
            for at_us in (case.window_until_us, now_us + MAX_CLAIM_WAIT_US):
                heapq.heappush(self._due, (at_us, record.uid))
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
        """All that may have a record of this Job have confirmed that it is held here."""
        case = self.cases.get(uid)
        if case is None or case.claimed:
            return []
        case.claimed = True
        return self._advance(now_us, (uid,))

    def on_replica_record(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """Merge what another replica holder knew.

        Danger: this placer's own record may date from before an attempt was sent.
        """
        case = self.cases.get(record.uid)
        if case is None or case.claimed or record.epoch >= case.epoch:
            return []
        # It was requested after this case was added, so its ages count from then at the latest.
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
        """Drop a Job that another placer holds at a later epoch, or that was deleted."""
        self.cases.pop(uid, None)
        self.ready.pop(uid, None)
        self.queries.forget(uid)

    def on_operator_confirmation(self, now_us: int, uid: str) -> list[Effect]:
        """An operator confirms that no task of an unknown Job ever ran."""
        case = self.cases.get(uid)
        if case is None or case.state is not FailoverState.UNKNOWN:
            return []
        for index in range(case.record.count):
            self.queries.set_answer(uid, index, MachineAnswer.OPERATOR)
        return self._advance(now_us, (uid,))

    def on_placers(self, now_us: int, placers: Iterable[str]) -> list[Effect]:
        """The live placers of the lost region are these."""
        return self._advance(now_us, sorted(self.queries.set_placers(tuple(sorted(placers)))))

    def on_machine_report(self, now_us: int, message: MachineReport) -> list[Effect]:
        """A machine answered; the report may be late or a duplicate."""
        uid = self.queries.on_machine_report(now_us, message)
        return self._advance(now_us, (uid,) if uid else ())

    def on_timer(self, now_us: int) -> list[Effect]:
        """A timeout, or the end of a wait, is due."""
        self._timer_us = None
        uids = self.queries.on_timer(now_us)
        while self._due and self._due[0][0] <= now_us:
            uids.add(heapq.heappop(self._due)[1])
        return self._advance(now_us, sorted(uids))

    def start(self, uid: str) -> StartOrder:
        """Give a ready Job to the core."""
        del self.ready[uid]
        case = self.cases[uid]
        case.state = FailoverState.STARTED
        return StartOrder(case.record, case.epoch, case.start_indexes)

    # -- decisions

    def _decide(self, now_us: int, case: FailoverCase) -> dict[int, ReissueRow]:
        """Return, by task, the row that holds now."""
        record = case.record
        window = key_window(record, now_us, case.window_until_us)
        rows = {}
        for index in range(record.count):
            phase = known_task(record, index).phase
            answer = self.queries.answer(record.uid, index)
            rows[index] = decide(record.effect, phase, answer, window, self.table)
        return rows

    def _advance(self, now_us: int, uids: Iterable[str]) -> list[Effect]:
        """Decide on these Jobs anew, send queries that are due, and set the timer."""
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
        """Whether no answer of another replica holder has to be waited for."""
        if case.claimed or {row.decision for row in rows.values()} <= SETTLED_DECISIONS:
            return True
        return case.record.effect == "safe" and now_us >= case.added_us + MAX_CLAIM_WAIT_US

    def _set_timer(self, now_us: int) -> list[Effect]:
        deadlines = [self.queries.next_deadline_us(), self._due[0][0] if self._due else None]
        due_us = min((each for each in deadlines if each is not None), default=None)
        if due_us is None or (self._timer_us is not None and due_us >= self._timer_us):
            return []
        self._timer_us = max(now_us, due_us)
        return [SetTimer(self.timer, self._timer_us)]

    def _apply(self, case: FailoverCase, rows: dict[int, ReissueRow]) -> list[Effect]:
        """Set the Job's state by the decisions on its tasks, and notify those that are new."""
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
    """Return the sort key by which Jobs are started: priority, then how long the owner has waited, then name."""
    return -case.record.priority, case.added_us - case.record.born_age_us, case.record.key
