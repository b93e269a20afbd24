"""Queries to the machines of a lost region, sent through placers of that region: which tasks of a Job they hold.

At most MAX_OUTSTANDING queries are outstanding. A query without a response is sent again, through another placer. A
machine counts as unreachable after UNREACHABLE_AFTER attempts, and while its region has no live placer. It is then
queried at longer intervals, as long as its response can change the decision on the task.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass

from wingbarrow.decide.effects import Effect, Send
from wingbarrow.decide.sessions.messages import MachineQuery, MachineReport
from wingbarrow.decide.sessions.reissue import MachineAnswer, machine_answer

ANSWER_TIMEOUT_US = 1_000_000
UNREACHABLE_RETRY_US = 15_000_000
UNREACHABLE_AFTER = 3  # attempts
MAX_OUTSTANDING = 64
MAX_REMEMBERED_NUMBERS = 16 * MAX_OUTSTANDING
# Each epoch has its own range of query numbers, so that late messages of another failover match no query.
NUMBERS_PER_EPOCH = 1 << 24


@dataclass(slots=True)
class TaskQuery:
    """The query for one task.

    since_us: the task's attempt, if any, was sent after this time.
    answer: final unless a machine later reports that it holds the task.
    number: number of the latest message.
    attempts: number of messages sent.
    due_us: when the latest message times out, or when the next one is sent.
    is_dropped: the Job has left the failover: reports are ignored.
    """

    uid: str
    index: int
    machine: str
    since_us: int
    answer: MachineAnswer | None = None
    number: int = 0
    attempts: int = 0
    due_us: int = 0
    is_outstanding: bool = False
    is_queued: bool = False
    is_dropped: bool = False


class MachineQueries:
    """All queries of one failover. `placers`: live placers of the region. `queries`: by uid and task index."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.placers: tuple[str, ...] = ()
        self.queries: dict[str, dict[int, TaskQuery]] = {}
        self._last_number = epoch * NUMBERS_PER_EPOCH
        self._query_by_number: dict[int, TaskQuery] = {}  # by number, the latest messages
        self._queue: deque[TaskQuery] = deque()
        self._deadlines: list[tuple[int, str, int]] = []  # heap of time, uid and index
        self._outstanding = 0

    def answer(self, uid: str, index: int) -> MachineAnswer:
        """Return the machine's answer on a task, as far as it is known."""
        query = self.queries.get(uid, {}).get(index)
        if query is None:
            return MachineAnswer.UNASKED
        if query.answer is not None:
            return query.answer
        if not self.placers or query.attempts > UNREACHABLE_AFTER:
            return MachineAnswer.UNREACHABLE
        if query.attempts == UNREACHABLE_AFTER and not query.is_outstanding:
            return MachineAnswer.UNREACHABLE
        return MachineAnswer.UNASKED

    def add(self, uid: str, index: int, machine: str, since_us: int) -> None:
        """Query a task's machine until it answers.

        This replaces an earlier query for the task if that is to another machine, or has a later `since_us`.
        """
        former = self.queries.setdefault(uid, {}).get(index)
        if former is None or former.machine != machine or since_us < former.since_us:
            if former is not None:
                self._end_attempt(former)
            query = TaskQuery(uid, index, machine, since_us)
            self.queries[uid][index] = query
            self._enqueue(query)

    def set_answer(self, uid: str, index: int, answer: MachineAnswer) -> None:
        """Set an answer that does not come from the machine, such as an operator's."""
        query = self.queries.setdefault(uid, {}).setdefault(index, TaskQuery(uid, index, "", 0))
        self._end_attempt(query)
        query.answer = answer

    def forget(self, uid: str) -> None:
        """Remove the queries for a Job."""
        for query in self.queries.pop(uid, {}).values():
            self._end_attempt(query)
            query.is_dropped = True

    def set_placers(self, placers: tuple[str, ...]) -> set[str]:
        """Replace the list of live placers of the region; return the uids whose answers may have changed."""
        new = set(placers) - set(self.placers)
        changed = bool(placers) != bool(self.placers)
        self.placers = placers
        unanswered = [
            query
            for queries in self.queries.values()
            for query in queries.values()
            if query.answer is None
        ]
        if new:
            for query in unanswered:
                self._enqueue(query)
        return {query.uid for query in unanswered} if changed else set()

    def on_machine_report(self, now_us: int, message: MachineReport) -> str:
        """Handle a report, which may be late or a duplicate; return its uid, "" if no answer may have changed."""
        query = self._query_by_number.get(message.number)
        if query is None or query.is_dropped:
            return ""
        if (message.uid, message.machine) != (query.uid, query.machine):
            return ""
        if not message.reached:
            if query.is_outstanding and query.number == message.number:
                self._on_unanswered(now_us, query)
                return query.uid
            return ""
        answer = machine_answer(message, now_us - query.since_us)
        self._end_attempt(query)
        if not _may_replace(query.answer, answer):
            return ""
        query.answer = answer
        return query.uid

    def on_timer(self, now_us: int) -> set[str]:
        """Handle due timeouts and retries; return the uids whose answers may have changed."""
        changed = set()
        while self._deadlines and self._deadlines[0][0] <= now_us:
            _, uid, index = heapq.heappop(self._deadlines)
            query = self.queries.get(uid, {}).get(index)
            if query is None or query.answer is not None:
                continue
            if query.is_queued or query.due_us > now_us:
                continue
            if query.is_outstanding:
                self._on_unanswered(now_us, query)
                changed.add(uid)
            else:
                self._enqueue(query)
        return changed

    def next_requests(self, now_us: int) -> list[Effect]:
        """Return the queries to be sent now."""
        effects: list[Effect] = []
        while self._queue and self._outstanding < MAX_OUTSTANDING and self.placers:
            query = self._queue.popleft()
            query.is_queued = False
            if query.answer is None and not query.is_outstanding and self._is_current(query):
                effects.append(self._begin_attempt(now_us, query))
        return effects

    def next_deadline_us(self) -> int | None:
        """Return when to call `on_timer`, None if no query has a deadline."""
        return self._deadlines[0][0] if self._deadlines else None

    # -- attempts

    def _is_current(self, query: TaskQuery) -> bool:
        return self.queries.get(query.uid, {}).get(query.index) is query

    def _begin_attempt(self, now_us: int, query: TaskQuery) -> Send:
        self._last_number += 1
        self._query_by_number[self._last_number] = query
        if len(self._query_by_number) > MAX_REMEMBERED_NUMBERS:
            del self._query_by_number[next(iter(self._query_by_number))]
        query.number = self._last_number
        query.attempts += 1
        query.is_outstanding = True
        self._outstanding += 1
        self._set_deadline(query, now_us + ANSWER_TIMEOUT_US)
        placer = self.placers[query.number % len(self.placers)]
        return Send(placer, "", MachineQuery(query.number, query.machine, query.uid, self.epoch))

    def _end_attempt(self, query: TaskQuery) -> None:
        if query.is_outstanding:
            query.is_outstanding = False
            self._outstanding -= 1

    def _on_unanswered(self, now_us: int, query: TaskQuery) -> None:
        self._end_attempt(query)
        if query.attempts < UNREACHABLE_AFTER:
            self._enqueue(query)
        else:
            self._set_deadline(query, now_us + UNREACHABLE_RETRY_US)

    def _enqueue(self, query: TaskQuery) -> None:
        if not query.is_queued and not query.is_outstanding:
            query.is_queued = True
            self._queue.append(query)

    def _set_deadline(self, query: TaskQuery, due_us: int) -> None:
        query.due_us = due_us
        heapq.heappush(self._deadlines, (due_us, query.uid, query.index))


def _may_replace(known: MachineAnswer | None, answer: MachineAnswer) -> bool:
    """Whether an answer may replace the known one.

    Danger: after a machine reported that it holds the task, no later answer may replace that.
    """
    if known is None:
        return True
    return answer is MachineAnswer.HOLDS and known in (
        MachineAnswer.CLEAR,
        MachineAnswer.RESTARTED,
    )
