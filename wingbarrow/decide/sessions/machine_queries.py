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
from wingbarrow.decide.sessions.reissue import said_of

ASK_US = 1_000_000  # until a machine's answer is asked for again
AGAIN_US = 15_000_000  # between asks of a machine that is unreachable
UNREACHED = 3
ASKS_MOST = 64  # at a time
NUMBERS = 1 << 24  # to each epoch its own, so that late mail of another take-over means nothing


@dataclass(slots=True)
class Ask:
    """One task; the attempt left after `since_us`, if it did. `word`: what its machine told."""

    uid: str
    index: int
    machine: str
    since_us: int
    word: str = ""
    number: int = 0
    tries: int = 0
    due_us: int = 0
    out: bool = False
    queued: bool = False


class MachineQueries:
    """All asks of one take-over."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.askers: tuple[str, ...] = ()
        self.asks: dict[str, dict[int, Ask]] = {}
        self._number = epoch * NUMBERS
        self._numbers: dict[int, Ask] = {}  # of the latest mails, answered or not
        self._queue: deque[Ask] = deque()
        self._due: list[tuple[int, str, int]] = []
        self._out = 0

    def word(self, uid: str, index: int) -> str:
        """As the table takes it."""
        ask = self.asks.get(uid, {}).get(index)
        if ask is None:
            return "unasked"
        if ask.word:
            return ask.word
        gone = not self.askers or ask.tries > UNREACHED or (ask.tries == UNREACHED and not ask.out)
        return "unreachable" if gone else "unasked"

    def want(self, uid: str, index: int, machine: str, since_us: int) -> None:
        """A task's machine is to be asked from now on."""
        former = self.asks.setdefault(uid, {}).get(index)
        if former is None or former.machine != machine or since_us < former.since_us:
            if former is not None:
                self._back(former)
            ask = self.asks[uid][index] = Ask(uid, index, machine, since_us)
            self._line_up(ask)

    def answered(self, uid: str, index: int, word: str) -> None:
        """Somebody else's word for a task."""
        ask = self.asks.setdefault(uid, {}).setdefault(index, Ask(uid, index, "", 0))
        self._back(ask)
        ask.word = word

    def forget(self, uid: str) -> None:
        """A Job is no matter any more."""
        for ask in self.asks.pop(uid, {}).values():
            self._back(ask)
            ask.word = "forgotten"

    def places(self, askers: tuple[str, ...]) -> set[str]:
        """Placers of the region that are there; uids whose word may be another now."""
        back = set(askers) - set(self.askers)
        changed = bool(askers) != bool(self.askers)
        self.askers = askers
        open_asks = [ask for asks in self.asks.values() for ask in asks.values() if not ask.word]
        if back:
            for ask in open_asks:
                self._line_up(ask)
        return {ask.uid for ask in open_asks} if changed else set()

    def on_message(self, now_us: int, message: MachineReport) -> str:
        """A machine told, late or twice; the uid that it is about, "" for nothing new."""
        ask = self._numbers.get(message.number)
        if (
            ask is None
            or (message.uid, message.machine) != (ask.uid, ask.machine)
            or ask.word == "forgotten"
        ):
            return ""
        if not message.reached:
            if ask.out and ask.number == message.number:
                self._missed(now_us, ask)
                return ask.uid
            return ""
        word = said_of(message, now_us - ask.since_us)
        self._back(ask)
        # Danger: once a machine took the task, no other word takes that back.
        if ask.word in ("", "clear", "anew") and (not ask.word or word == "holds"):
            ask.word = word
            return ask.uid
        return ""

    def on_time(self, now_us: int) -> set[str]:
        """What was not answered in time; uids whose word may be another now."""
        out = set()
        while self._due and self._due[0][0] <= now_us:
            _, uid, index = heapq.heappop(self._due)
            ask = self.asks.get(uid, {}).get(index)
            if ask is None or ask.word or ask.queued or ask.due_us > now_us:
                continue
            if ask.out:
                self._missed(now_us, ask)
                out.add(uid)
            else:
                self._line_up(ask)
        return out

    def mail(self, now_us: int) -> list[Effect]:
        """Asks that go now."""
        out: list[Effect] = []
        while self._queue and self._out < ASKS_MOST and self.askers:
            ask = self._queue.popleft()
            ask.queued = False
            if ask.word or ask.out or self.asks.get(ask.uid, {}).get(ask.index) is not ask:
                continue
            self._number += 1
            self._numbers[self._number] = ask
            if len(self._numbers) > 16 * ASKS_MOST:
                del self._numbers[next(iter(self._numbers))]
            ask.number, ask.tries, ask.out = self._number, ask.tries + 1, True
            self._out += 1
            self._wait(ask, now_us + ASK_US)
            asker = self.askers[ask.number % len(self.askers)]
            out.append(Send(asker, "", MachineQuery(ask.number, ask.machine, ask.uid, self.epoch)))
        return out

    def due(self) -> int | None:
        """When to call `on_time`."""
        return self._due[0][0] if self._due else None

    # -- inside

    def _line_up(self, ask: Ask) -> None:
        if not ask.queued and not ask.out:
            ask.queued = True
            self._queue.append(ask)

    def _wait(self, ask: Ask, until_us: int) -> None:
        ask.due_us = until_us
        heapq.heappush(self._due, (until_us, ask.uid, ask.index))

    def _back(self, ask: Ask) -> None:
        if ask.out:
            ask.out = False
            self._out -= 1

    def _missed(self, now_us: int, ask: Ask) -> None:
        self._back(ask)
        if ask.tries < UNREACHED:
            self._line_up(ask)
        else:
            self._wait(ask, now_us + AGAIN_US)
