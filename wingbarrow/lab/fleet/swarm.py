"""Memberships by the hundred on a virtual clock, without sockets: messages that are lost, late, doubled or cut off.

Stalls are as an operating system makes them: what came for a stopped placer waits, and its timers run late.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from wingbarrow.decide.peers.effects import Effect, Send, SetTimer, Tell
from wingbarrow.decide.peers.membership import Me, Membership, Rules, Seed
from wingbarrow.decide.peers.words import Standing

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Told:
    """Something that a placer's membership told, and when."""

    at_us: int
    who: str
    what: str
    fields: dict[str, Any]


class Swarm:
    """`count` memberships that know the first three as seeds; `delay_us` draws how long a message takes."""

    def __init__(self, count: int, seed: int, rules: Rules = Rules(), loss: float = 0.0,  # noqa: B008 - frozen
                 delay_us: Callable[[random.Random], int] = lambda rng: 200 + rng.randrange(800)) -> None:
        self.now_us = 0
        self.rules, self.loss = rules, loss
        self.told: list[Told] = []
        self.sent: Counter[str] = Counter()  # by sender
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self._delay_us, self._random = delay_us, random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._timers: dict[tuple[str, str], int] = {}
        self._stopped: dict[str, int] = {}
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self.members: dict[str, Membership] = {}
        self._lives: Counter[str] = Counter()
        self.names = [f"p{index:03d}" for index in range(count)]
        for name in self.names:
            self.start(name)

    # -- what happens to placers

    def start(self, name: str, life: int | None = None) -> None:
        """Begin a life of a placer; `life` as its wall clock would give it."""
        self._lives[name] += 1
        seeds = tuple(Seed("", f"at {each}") for each in self.names[:3] if each != name)
        me = Me(name, f"at {name}", "", life if life is not None else 1 + self.now_us)
        member = self.members[name] = Membership(me, seeds, self._random.randrange(1 << 30), self.rules)
        self._act(name, member.start(self.now_us))

    def kill(self, name: str) -> None:
        """End a life at once."""
        del self.members[name]
        self._stopped.pop(name, None)
        self._waiting.pop(name, None)

    def stop(self, name: str, for_us: int) -> None:
        """Stand still for a while, as a process that gets no processor."""
        self._stopped[name] = self.now_us + for_us
        self._at(self.now_us + for_us, lambda: self._go_on(name))

    def _go_on(self, name: str) -> None:
        if self._stopped.get(name, self.now_us + 1) <= self.now_us:
            del self._stopped[name]
            for call in self._waiting.pop(name, []):
                call()

    # -- time

    def run(self, until_us: int) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, call = heapq.heappop(self._queue)
            call()
        self.now_us = until_us

    def run_until(self, done: Callable[[], bool], most_us: int, step_us: int = SECOND // 4) -> bool:
        """Let time pass until something holds; False where it did not within `most_us`."""
        end = self.now_us + most_us
        while not done() and self.now_us < end:
            self.run(min(end, self.now_us + step_us))
        return done()

    def _at(self, at_us: int, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._sequence, call))

    def _when_running(self, name: str, life: int, call: Callable[[], None]) -> None:
        """Now, or once the placer goes on; never in another life."""
        def alive() -> None:
            if name in self.members and self._lives[name] == life:
                call()
        if name in self._stopped:
            self._waiting.setdefault(name, []).append(alive)
        else:
            alive()

    # -- effects

    def _act(self, name: str, effects: Iterable[Effect]) -> None:
        life = self._lives[name]
        for effect in effects:
            if isinstance(effect, Tell):
                self.told.append(Told(self.now_us, name, effect.what, effect.fields))
            elif isinstance(effect, SetTimer):
                self._set_timer(name, life, effect)
            elif isinstance(effect, Send):
                self._send(name, effect)

    def _set_timer(self, name: str, life: int, timer: SetTimer) -> None:
        self._timers[name, timer.key] = timer.at_us

        def due() -> None:
            if self._timers.get((name, timer.key)) == timer.at_us:
                del self._timers[name, timer.key]
                self._act(name, self.members[name].on_timer(self.now_us, timer.key))
        self._at(timer.at_us, lambda: self._when_running(name, life, due))

    def _send(self, name: str, send: Send) -> None:
        self.sent[name] += 1
        receiver = send.ident or send.address.removeprefix("at ")
        if self.cut(name, receiver) or self._random.random() < self.loss:
            return

        def arrive() -> None:
            if receiver in self.members:
                self._when_running(receiver, self._lives[receiver], lambda: self._act(
                    receiver, self.members[receiver].on_message(self.now_us, name, f"at {name}", send.message)))
        self._at(self.now_us + self._delay_us(self._random), arrive)

    # -- questions

    def standing(self, who: str, of: str) -> Standing | None:
        """What one thinks of another."""
        held = self.members[who].table.members.get(of)
        return held.standing if held is not None else None

    def all_think(self, of: str, standing: Standing | None) -> bool:
        """Whether every living placer thinks the same of one."""
        return all(self.standing(who, of) is standing for who in self.members if who != of)

    def whole(self) -> bool:
        """Whether all that live are alive to each other."""
        return all(self.standing(who, of) is Standing.ALIVE
                   for who in self.members for of in self.members if who != of)

    def deaths(self, since_us: int = 0) -> list[Told]:
        """Burials told since a time."""
        return [each for each in self.told if each.what == "dead" and each.at_us >= since_us]
