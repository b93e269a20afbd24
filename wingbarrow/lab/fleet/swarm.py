"""State machines of placers by the hundred on a virtual clock, without sockets or processes.

Messages are lost, late, doubled or cut off. Stalls are as an operating system makes them: what came for a stopped
placer waits, and its timers run late. Clocks may drift and start anywhere; what was persisted is all that a killed one
keeps.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from wingbarrow.decide.effects import Effect, Notify, Persist, Send, SetTimer
from wingbarrow.decide.membership.messages import MemberStatus
from wingbarrow.decide.membership.swim import LocalMember, Membership, Seed, SwimSettings

SECOND = 1_000_000


class Machine(Protocol):
    """A state machine among placers."""

    def start(self, now_us: int) -> list[Effect]:
        """Begin."""

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail came."""

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer that it set is due."""


MachineT = TypeVar("MachineT", bound=Machine)


@dataclass(frozen=True, slots=True)
class Told:
    """Something that a placer told, and when."""

    at_us: int
    who: str
    what: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Drift:
    """A placer's clock: its rate, as a difference from the true one, and where it began."""

    rate: float = 0.0
    offset_us: int = 0

    def local_us(self, true_us: int) -> int:
        """What it shows."""
        return int(true_us * (1 + self.rate)) + self.offset_us

    def true_us(self, local_us: int) -> int:
        """When it shows that."""
        return int((local_us - self.offset_us) / (1 + self.rate)) + 1


class Virtual(Generic[MachineT]):
    """Placers by name; `make` gives the machine of a new life, at a time of its own clock."""

    def __init__(
        self,
        names: list[str],
        seed: int,
        loss: float = 0.0,
        delay_us: Callable[[random.Random], int] = lambda rng: 200 + rng.randrange(800),
    ) -> None:
        self.now_us = 0
        self.names, self.loss = names, loss
        self.twice = 0.0
        self.told: list[Told] = []
        self.sent: Counter[str] = Counter()  # by sender
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.drifts: dict[str, Drift] = {}
        self.members: dict[str, MachineT] = {}
        self.random = random.Random(seed)
        self._delay_us = delay_us
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._timers: dict[tuple[str, str], int] = {}
        self.stopped: dict[str, int] = {}
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self.lives: Counter[str] = Counter()

    def make(self, name: str, now_us: int) -> MachineT:
        """The machine of a new life."""
        raise NotImplementedError

    def persisted(self, name: str, what: Persist) -> None:
        """Something is on disk from now on."""

    # -- what happens to placers

    def clock_us(self, name: str) -> int:
        """What a placer's clock shows now."""
        return self.drifts.get(name, Drift()).local_us(self.now_us)

    def start(self, name: str) -> None:
        """Begin a life of a placer."""
        self.lives[name] += 1
        now = self.clock_us(name)
        self.members[name] = self.make(name, now)
        self.act(name, self.members[name].start(now))

    def kill(self, name: str) -> None:
        """End a life at once."""
        del self.members[name]
        self.stopped.pop(name, None)
        self._waiting.pop(name, None)

    def stop(self, name: str, for_us: int) -> None:
        """Stand still for a while, as a process that gets no processor."""
        self.stopped[name] = self.now_us + for_us
        self.at(self.now_us + for_us, lambda: self._go_on(name))

    def _go_on(self, name: str) -> None:
        if self.stopped.get(name, self.now_us + 1) <= self.now_us:
            del self.stopped[name]
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

    def at(self, at_us: int, call: Callable[[], None]) -> None:
        """Do something at a time."""
        self._sequence += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._sequence, call))

    def _when_running(self, name: str, life: int, call: Callable[[], None]) -> None:
        """Now, or once the placer goes on; never in another life."""

        def alive() -> None:
            if name in self.members and self.lives[name] == life:
                call()

        if name in self.stopped:
            self._waiting.setdefault(name, []).append(alive)
        else:
            alive()

    # -- effects

    def act(self, name: str, effects: Iterable[Effect]) -> None:
        """Carry out what a machine asked for."""
        life = self.lives[name]
        for effect in effects:
            if isinstance(effect, Notify):
                self.told.append(Told(self.now_us, name, effect.event, effect.fields))
            elif isinstance(effect, SetTimer):
                self._set_timer(name, life, effect)
            elif isinstance(effect, Persist):
                self.persisted(name, effect)
            else:
                self._send(name, effect)

    def _set_timer(self, name: str, life: int, timer: SetTimer) -> None:
        self._timers[name, timer.key] = timer.at_us

        def due() -> None:
            if self._timers.get((name, timer.key)) == timer.at_us:
                del self._timers[name, timer.key]
                self.act(name, self.members[name].on_timer(self.clock_us(name), timer.key))

        at = self.drifts.get(name, Drift()).true_us(timer.at_us)
        self.at(at, lambda: self._when_running(name, life, due))

    def _send(self, name: str, send: Send) -> None:
        self.sent[name] += 1
        receiver = send.ident or send.address.removeprefix("at ")
        if self.cut(name, receiver) or self.random.random() < self.loss:
            return

        def arrive() -> None:
            if receiver in self.members:
                self._when_running(
                    receiver,
                    self.lives[receiver],
                    lambda: self.act(
                        receiver,
                        self.members[receiver].on_message(
                            self.clock_us(receiver), name, f"at {name}", send.message
                        ),
                    ),
                )

        for _ in range(1 + (self.random.random() < self.twice)):
            self.at(self.now_us + self._delay_us(self.random), arrive)


class Swarm(Virtual[Membership]):
    """`count` memberships that know the first three as seeds; `delay_us` draws how long a message takes."""

    def __init__(
        self, count: int, seed: int, rules: SwimSettings = SwimSettings(), loss: float = 0.0
    ) -> None:
        super().__init__([f"p{index:03d}" for index in range(count)], seed, loss)
        self.rules = rules
        self.life: int | None = None  # of the next start, as its wall clock gives it
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> Membership:
        """A membership."""
        life, self.life = self.life if self.life is not None else 1 + now_us, None
        seeds = tuple(Seed("", f"at {each}") for each in self.names[:3] if each != name)
        return Membership(
            LocalMember(name, f"at {name}", "", life),
            seeds,
            self.random.randrange(1 << 30),
            self.rules,
        )

    # -- questions

    def standing(self, who: str, of: str) -> MemberStatus | None:
        """What one thinks of another."""
        held = self.members[who].table.members.get(of)
        return held.status if held is not None else None

    def all_think(self, of: str, standing: MemberStatus | None) -> bool:
        """Whether every living placer thinks the same of one."""
        return all(self.standing(who, of) is standing for who in self.members if who != of)

    def whole(self) -> bool:
        """Whether all that live are alive to each other."""
        return all(
            self.standing(who, of) is MemberStatus.ALIVE
            for who in self.members
            for of in self.members
            if who != of
        )

    def deaths(self, since_us: int = 0) -> list[Told]:
        """Burials told since a time."""
        return [each for each in self.told if each.what == "dead" and each.at_us >= since_us]
