"""Asking the machines of a lost region what they have of a Job's tasks, through placers of that region.

So many at a time; a machine that did not answer is asked again through another placer, and counts as unreachable after
`UNREACHED` asks, or while no placer of its region is there; then it is asked now and then, for as long as it matters.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass

from wingbarrow.decide.effects import Effect, Send
from wingbarrow.decide.sessions.messages import MachineQuery, MachineReport
from wingbarrow.decide.sessions.reissue import machine_answer

ANSWER_TIMEOUT_US = 1_000_000  # until a machine's answer is asked for again
UNREACHABLE_RETRY_US = 15_000_000  # between asks of a machine that is unreachable
UNREACHABLE_AFTER = 3
MAX_OUTSTANDING = 64  # at a time
NUMBERS_PER_EPOCH = (
    1 << 24
)  # to each epoch its own, so that late mail of another take-over means nothing


@dataclass(slots=True)
class TaskQuery:
    """One task; the attempt left after `since_us`, if it did. `word`: what its machine told."""

    uid: str
    index: int
    machine: str
    since_us: int
    answer: str = ""
    number: int = 0
    attempts: int = 0
    due_us: int = 0
    is_outstanding: bool = False
    is_queued: bool = False


class MachineQueries:
    """All asks of one take-over."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.placers: tuple[str, ...] = ()
        self.queries: dict[str, dict[int, TaskQuery]] = {}
        self._number = epoch * NUMBERS_PER_EPOCH
        self._numbers: dict[int, TaskQuery] = {}  # of the latest mails, answered or not
        self._queue: deque[TaskQuery] = deque()
        self._due: list[tuple[int, str, int]] = []
        self._out = 0

    def answer(self, uid: str, index: int) -> str:
        """As the table takes it."""
        ask = self.queries.get(uid, {}).get(index)
        if ask is None:
            return "unasked"
        if ask.answer:
            return ask.answer
        gone = (
            not self.placers
            or ask.attempts > UNREACHABLE_AFTER
            or (ask.attempts == UNREACHABLE_AFTER and not ask.is_outstanding)
        )
        return "unreachable" if gone else "unasked"

    def add(self, uid: str, index: int, machine: str, since_us: int) -> None:
        """A task's machine is to be asked from now on."""
        former = self.queries.setdefault(uid, {}).get(index)
        if former is None or former.machine != machine or since_us < former.since_us:
            if former is not None:
                self._back(former)
            ask = self.queries[uid][index] = TaskQuery(uid, index, machine, since_us)
            self._line_up(ask)

    def set_answer(self, uid: str, index: int, answer: str) -> None:
        """Somebody else's word for a task."""
        ask = self.queries.setdefault(uid, {}).setdefault(index, TaskQuery(uid, index, "", 0))
        self._back(ask)
        ask.answer = answer

    def forget(self, uid: str) -> None:
        """A Job is no matter any more."""
        for ask in self.queries.pop(uid, {}).values():
            self._back(ask)
            ask.answer = "forgotten"

    def set_placers(self, placers: tuple[str, ...]) -> set[str]:
        """Placers of the region that are there; uids whose word may be another now."""
        back = set(placers) - set(self.placers)
        changed = bool(placers) != bool(self.placers)
        self.placers = placers
        open_asks = [
            ask for asks in self.queries.values() for ask in asks.values() if not ask.answer
        ]
        if back:
            for ask in open_asks:
                self._line_up(ask)
        return {ask.uid for ask in open_asks} if changed else set()

    def on_machine_report(self, now_us: int, message: MachineReport) -> str:
        """A machine told, late or twice; the uid that it is about, "" for nothing new."""
        ask = self._numbers.get(message.number)
        if (
            ask is None
            or (message.uid, message.machine) != (ask.uid, ask.machine)
            or ask.answer == "forgotten"
        ):
            return ""
        if not message.reached:
            if ask.is_outstanding and ask.number == message.number:
                self._missed(now_us, ask)
                return ask.uid
            return ""
        word = machine_answer(message, now_us - ask.since_us)
        self._back(ask)
        # Danger: once a machine took the task, no other word takes that back.
        if ask.answer in ("", "clear", "anew") and (not ask.answer or word == "holds"):
            ask.answer = word
            return ask.uid
        return ""

    def on_timer(self, now_us: int) -> set[str]:
        """What was not answered in time; uids whose word may be another now."""
        out = set()
        while self._due and self._due[0][0] <= now_us:
            _, uid, index = heapq.heappop(self._due)
            ask = self.queries.get(uid, {}).get(index)
            if ask is None or ask.answer or ask.is_queued or ask.due_us > now_us:
                continue
            if ask.is_outstanding:
                self._missed(now_us, ask)
                out.add(uid)
            else:
                self._line_up(ask)
        return out

    def next_requests(self, now_us: int) -> list[Effect]:
        """Asks that go now."""
        out: list[Effect] = []
        while self._queue and self._out < MAX_OUTSTANDING and self.placers:
            ask = self._queue.popleft()
            ask.is_queued = False
            if (
                ask.answer
                or ask.is_outstanding
                or self.queries.get(ask.uid, {}).get(ask.index) is not ask
            ):
                continue
            self._number += 1
            self._numbers[self._number] = ask
            if len(self._numbers) > 16 * MAX_OUTSTANDING:
                del self._numbers[next(iter(self._numbers))]
            ask.number, ask.attempts, ask.is_outstanding = self._number, ask.attempts + 1, True
            self._out += 1
            self._wait(ask, now_us + ANSWER_TIMEOUT_US)
            asker = self.placers[ask.number % len(self.placers)]
            out.append(Send(asker, "", MachineQuery(ask.number, ask.machine, ask.uid, self.epoch)))
        return out

    def next_deadline_us(self) -> int | None:
        """When to call `on_time`."""
        return self._due[0][0] if self._due else None

    # -- inside

    def _line_up(self, ask: TaskQuery) -> None:
        if not ask.is_queued and not ask.is_outstanding:
            ask.is_queued = True
            self._queue.append(ask)

    def _wait(self, ask: TaskQuery, until_us: int) -> None:
        ask.due_us = until_us
        heapq.heappush(self._due, (until_us, ask.uid, ask.index))

    def _back(self, ask: TaskQuery) -> None:
        if ask.is_outstanding:
            ask.is_outstanding = False
            self._out -= 1

    def _missed(self, now_us: int, ask: TaskQuery) -> None:
        self._back(ask)
        if ask.attempts < UNREACHABLE_AFTER:
            self._line_up(ask)
        else:
            self._wait(ask, now_us + UNREACHABLE_RETRY_US)
