"""The Jobs of one ended session at one of its successors: held anew, asked after, and given to the core in order.

    claiming -> (asked ->) waiting -> run, or unknown, or nothing

Each Job is first held under this placer's own session, at its epoch, by keepers of its own; so that a successor that is
lost in the middle is succeeded like any holder, and all of this is built again from records. Danger: what must not
repeat freely is started only once everybody else who may have its record has heard of that, and has told what more it
knew; of a safe Job nobody waits for that longer than `CLAIM_US`.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from wingbarrow.decide.effects import Effect, Notify, SetTimer
from wingbarrow.decide.replication.records import known_task
from wingbarrow.decide.replication.replica import JobClaim
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.machine_queries import MachineQueries
from wingbarrow.decide.sessions.messages import MachineReport
from wingbarrow.decide.sessions.reissue import (
    REISSUE_TABLE,
    ReissueDecision,
    ReissueRow,
    decide,
    key_window,
    window_until_us,
    worst_known,
)
from wingbarrow.decide.sessions.session import Session

MAX_CLAIM_WAIT_US = 2_000_000  # a safe Job waits so long for its keepers' word


class FailoverState(Enum):
    """Where one Job's failover stands; values as they are notified and answered to a returning holder."""

    CLAIMING = "claiming"  # its other replica holders have not all answered yet
    QUERYING = "asked"  # a machine has to answer first
    WAITING = "waiting"  # for the end of a key's window
    READY = "ready"  # to be started by the core
    STARTED = "run"
    UNKNOWN = "unknown"  # whether it had its effect cannot be proven: left to an operator
    NOTHING = "nothing"  # it was over


FINAL_STATES = (FailoverState.READY, FailoverState.STARTED, FailoverState.NOTHING)


@dataclass(slots=True)
class FailoverCase:
    """One Job. `fate` is a verdict's word, or `claiming`, or `ready` to be given to the core."""

    record: LeasedJobRecord
    epoch: int
    added_us: int
    window_until_us: int  # of a keyed one, its window
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
    """One ended session's at this placer. The host calls it with time, mail and the word of custody."""

    table: tuple[ReissueRow, ...] = REISSUE_TABLE

    def __init__(self, session: Session, epoch: int) -> None:
        self.session, self.epoch = session, epoch
        self.timer = f"failover/{session.text()}"
        self.cases: dict[str, FailoverCase] = {}
        self.ready: dict[str, None] = {}
        self.queries = MachineQueries(epoch)
        self._due: list[tuple[int, str]] = []
        self._timer_us: int | None = None

    def add(self, now_us: int, claims: Collection[JobClaim]) -> list[Effect]:
        """Take Jobs over; each is to be held at once, and `claimed` called with what came of it."""
        for claim in claims:
            record = claim.record
            case = FailoverCase(record, claim.epoch, now_us, window_until_us(record, now_us))
            self.cases[record.uid] = case
            self._inquire(now_us, case)
            for at in (case.window_until_us, now_us + MAX_CLAIM_WAIT_US):
                heapq.heappush(self._due, (at, record.uid))
        return self._go_on(now_us, [each.record.uid for each in claims])

    def _inquire(self, now_us: int, case: FailoverCase) -> None:
        for known in case.record.tasks if case.record.effect == "unsafe" else ():
            if known.phase == "about":
                self.queries.add(case.record.uid, known.index, known.machine, now_us - known.age_us)

    # -- what it hears

    def on_claimed(self, now_us: int, uid: str) -> list[Effect]:
        """All that may have a record of this Job have heard that it is held here."""
        case = self.cases.get(uid)
        if case is None or case.claimed:
            return []
        case.claimed = True
        return self._go_on(now_us, (uid,))

    def on_replica_record(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """What another keeper knew. Danger: this placer's own record may be of before an attempt left."""
        case = self.cases.get(record.uid)
        if case is None or case.claimed or record.epoch >= case.epoch:
            return []
        # It was asked after this case came: what it said is no older than that by its own word.
        more = {
            each.index: replace(each, age_us=each.age_us + now_us - case.added_us)
            for each in record.tasks
        }
        tasks = {
            index: worst_known(known_task(case.record, index), known)
            for index, known in more.items()
        }
        tasks = {each.index: each for each in case.record.tasks} | tasks
        case.record = replace(
            case.record,
            tasks=tuple(tasks[index] for index in sorted(tasks)),
            answered=case.record.answered or record.answered,
        )
        self.queries.forget(record.uid)
        self._inquire(now_us, case)
        return self._go_on(now_us, ())

    def remove(self, uid: str) -> None:
        """Another holds it by a later word, or it was deleted."""
        self.cases.pop(uid, None)
        self.ready.pop(uid, None)
        self.queries.forget(uid)

    def on_operator_confirmation(self, now_us: int, uid: str) -> list[Effect]:
        """An operator answers for it that no task of this Job ever ran."""
        case = self.cases.get(uid)
        if case is None or case.state is not FailoverState.UNKNOWN:
            return []
        for index in range(case.record.count):
            self.queries.set_answer(uid, index, "operator")
        return self._go_on(now_us, (uid,))

    def on_placers(self, now_us: int, placers: Iterable[str]) -> list[Effect]:
        """Placers of the lost region that are there."""
        return self._go_on(now_us, sorted(self.queries.set_placers(tuple(sorted(placers)))))

    def on_machine_report(self, now_us: int, message: MachineReport) -> list[Effect]:
        """A machine told, late or twice."""
        uid = self.queries.on_machine_report(now_us, message)
        return self._go_on(now_us, (uid,) if uid else ())

    def on_timer(self, now_us: int) -> list[Effect]:
        """Something is due."""
        self._timer_us = None
        uids = self.queries.on_timer(now_us)
        while self._due and self._due[0][0] <= now_us:
            uids.add(heapq.heappop(self._due)[1])
        return self._go_on(now_us, sorted(uids))

    def start(self, uid: str) -> StartOrder:
        """Start it: the core has it from now on."""
        del self.ready[uid]
        case = self.cases[uid]
        case.state = FailoverState.STARTED
        return StartOrder(case.record, case.epoch, case.start_indexes)

    # -- inside

    def _judge(self, now_us: int, case: FailoverCase) -> dict[int, ReissueRow]:
        record = case.record
        time = key_window(record, now_us, case.window_until_us)
        out = {}
        for index in range(record.count):
            phase, word = known_task(record, index).phase, self.queries.answer(record.uid, index)
            out[index] = decide(record.effect, phase, word, time, self.table)
        return out

    def _go_on(self, now_us: int, uids: Iterable[str]) -> list[Effect]:
        out: list[Effect] = []
        for uid in uids:
            case = self.cases.get(uid)
            if case is None or case.state in FINAL_STATES:
                continue
            found = self._judge(now_us, case)
            sure = {row.decision for row in found.values()} <= {
                ReissueDecision.UNKNOWN,
                ReissueDecision.NOTHING,
            }
            if (
                sure
                or case.claimed
                or (case.record.effect == "safe" and now_us >= case.added_us + MAX_CLAIM_WAIT_US)
            ):
                out += self._settle(case, found)
        out += self.queries.next_requests(now_us)
        due = [
            at
            for at in (self.queries.next_deadline_us(), self._due[0][0] if self._due else None)
            if at is not None
        ]
        if due and (self._timer_us is None or min(due) < self._timer_us):
            self._timer_us = max(now_us, min(due))
            out.append(SetTimer(self.timer, self._timer_us))
        return out

    def _settle(self, case: FailoverCase, found: dict[int, ReissueRow]) -> list[Effect]:
        """What is decided of a Job's tasks becomes its fate, told where it is another than before."""
        verdicts = {row.decision for row in found.values()}
        for verdict in (ReissueDecision.QUERY, ReissueDecision.WAIT):
            if verdict in verdicts:
                case.state = FailoverState(verdict.value)
                return self._tell(case, found, (verdict,))
        case.start_indexes = tuple(
            index for index, row in found.items() if row.decision is ReissueDecision.RUN
        )
        if case.start_indexes:
            case.state = FailoverState.READY
            self.ready[case.record.uid] = None
        else:
            case.state = (
                FailoverState.UNKNOWN
                if ReissueDecision.UNKNOWN in verdicts
                else FailoverState.NOTHING
            )
        return self._tell(
            case, found, (ReissueDecision.RUN, ReissueDecision.UNKNOWN, ReissueDecision.NOTHING)
        )

    @staticmethod
    def _tell(
        case: FailoverCase, found: dict[int, ReissueRow], which: tuple[ReissueDecision, ...]
    ) -> list[Effect]:
        out: list[Effect] = []
        told = []
        for each in which:
            indexes = tuple(index for index, row in found.items() if row.decision is each)
            if not indexes:
                continue
            told.append((each.value, indexes))
            if (each.value, indexes) not in case.notified:
                out.append(
                    Notify(
                        "reissue",
                        {
                            "uid": case.record.uid,
                            "key": case.record.key,
                            "verdict": each.value,
                            "epoch": case.epoch,
                            "why": found[indexes[0]].why,
                            "tasks": indexes,
                        },
                    )
                )
        case.notified = tuple(told)
        return out


def start_order_key(case: FailoverCase) -> tuple[int, int, str]:
    """As work comes, the least first: by priority, by how long its owner has waited for it, by name."""
    return -case.record.priority, case.added_us - case.record.born_age_us, case.record.key
