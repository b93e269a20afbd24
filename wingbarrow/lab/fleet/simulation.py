"""Simulation of the state machines of hundreds of placers on a virtual clock, without sockets or processes.

Messages can be lost, delayed, duplicated or blocked by partitions. A stopped placer behaves like a process that the
operating system does not schedule: its messages wait and its timers fire late. Clocks may drift and start at any value.
A killed placer keeps only what it persisted.
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


class StateMachine(Protocol):
    """State machine of one placer."""

    def start(self, now_us: int) -> list[Effect]:
        """Starts the state machine."""

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Handles a message from another placer."""

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handles the expiry of a timer that it set."""


StateMachineT = TypeVar("StateMachineT", bound=StateMachine)


@dataclass(frozen=True, slots=True)
class Notification:
    """A notification of a placer and its time."""

    at_us: int
    placer: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ClockDrift:
    """Error of a placer's clock: difference of its rate from the true rate (1e-6 is 1 ppm) and offset at time 0."""

    rate: float = 0.0
    offset_us: int = 0

    def local_us(self, true_us: int) -> int:
        """Local time at a true time."""
        return int(true_us * (1 + self.rate)) + self.offset_us

    def true_us(self, local_us: int) -> int:
        """True time by which the clock shows a local time."""
        return int((local_us - self.offset_us) / (1 + self.rate)) + 1


class Simulation(Generic[StateMachineT]):
    """Simulated placers by name. Subclasses create the state machine of an incarnation in `make`.

    `loss` is the probability that a message is lost; `delay_us` draws how long a message takes.
    """

    def __init__(
        self,
        names: list[str],
        seed: int,
        loss: float = 0.0,
        delay_us: Callable[[random.Random], int] = lambda rng: 200 + rng.randrange(800),
    ) -> None:
        self.now_us = 0
        self.names, self.loss = names, loss
        self.duplication = 0.0
        self.notifications: list[Notification] = []
        self.sent: Counter[str] = Counter()  # messages, by sender
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.drifts: dict[str, ClockDrift] = {}
        self.members: dict[str, StateMachineT] = {}
        self.random = random.Random(seed)
        self._delay_us = delay_us
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._timers: dict[tuple[str, str], int] = {}
        self.stopped: dict[str, int] = {}
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self.incarnations: Counter[str] = Counter()

    def make(self, name: str, now_us: int) -> StateMachineT:
        """Creates the state machine of a new incarnation; `now_us` is the placer's local time."""
        raise NotImplementedError

    def persisted(self, name: str, what: Persist) -> None:
        """Called when a placer has persisted something; it then counts as on disk."""

    # -- placers

    def clock_us(self, name: str) -> int:
        """Local time of a placer now."""
        return self.drifts.get(name, ClockDrift()).local_us(self.now_us)

    def start(self, name: str) -> None:
        """Starts a new incarnation of a placer."""
        self.incarnations[name] += 1
        now = self.clock_us(name)
        self.members[name] = self.make(name, now)
        self.act(name, self.members[name].start(now))

    def kill(self, name: str) -> None:
        """Kills the running incarnation of a placer at once."""
        del self.members[name]
        self.stopped.pop(name, None)
        self._waiting.pop(name, None)

    def stop(self, name: str, for_us: int) -> None:
        """Stops a placer for a time, like a process that gets no CPU time."""
        self.stopped[name] = self.now_us + for_us
        self.at(self.now_us + for_us, lambda: self._continue(name))

    def _continue(self, name: str) -> None:
        if self.stopped.get(name, self.now_us + 1) <= self.now_us:
            del self.stopped[name]
            for call in self._waiting.pop(name, []):
                call()

    # -- time

    def run(self, until_us: int) -> None:
        """Advances the virtual clock and runs all calls that become due."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, call = heapq.heappop(self._queue)
            call()
        self.now_us = until_us

    def run_until(
        self, done: Callable[[], bool], timeout_us: int, step_us: int = SECOND // 4
    ) -> bool:
        """Advances the clock until a condition holds; returns whether it did within `timeout_us`."""
        end = self.now_us + timeout_us
        while not done() and self.now_us < end:
            self.run(min(end, self.now_us + step_us))
        return done()

    def at(self, at_us: int, call: Callable[[], None]) -> None:
        """Schedules a call at a true time, or now if that is past."""
        self._sequence += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._sequence, call))

    def _call_if_running(self, name: str, incarnation: int, call: Callable[[], None]) -> None:
        """Calls now, or once a stopped placer continues; not if its incarnation has ended."""

        def call_if_current() -> None:
            if name in self.members and self.incarnations[name] == incarnation:
                call()

        if name in self.stopped:
            self._waiting.setdefault(name, []).append(call_if_current)
        else:
            call_if_current()

    # -- effects

    def act(self, name: str, effects: Iterable[Effect]) -> None:
        """Carries out the effects that a state machine returned."""
        incarnation = self.incarnations[name]
        for effect in effects:
            if isinstance(effect, Notify):
                self.notifications.append(
                    Notification(self.now_us, name, effect.event, effect.fields)
                )
            elif isinstance(effect, SetTimer):
                self._set_timer(name, incarnation, effect)
            elif isinstance(effect, Persist):
                self.persisted(name, effect)
            else:
                self._send(name, effect)

    def _set_timer(self, name: str, incarnation: int, timer: SetTimer) -> None:
        self._timers[name, timer.key] = timer.at_us

        def due() -> None:
            if self._timers.get((name, timer.key)) == timer.at_us:
                del self._timers[name, timer.key]
                self.act(name, self.members[name].on_timer(self.clock_us(name), timer.key))

        at = self.drifts.get(name, ClockDrift()).true_us(timer.at_us)
        self.at(at, lambda: self._call_if_running(name, incarnation, due))

    def _send(self, name: str, send: Send) -> None:
        self.sent[name] += 1
        receiver = send.ident or send.address.removeprefix("at ")
        if self.cut(name, receiver) or self.random.random() < self.loss:
            return

        def arrive() -> None:
            if receiver in self.members:
                self._call_if_running(
                    receiver,
                    self.incarnations[receiver],
                    lambda: self.act(
                        receiver,
                        self.members[receiver].on_message(
                            self.clock_us(receiver), name, f"at {name}", send.message
                        ),
                    ),
                )

        for _ in range(1 + (self.random.random() < self.duplication)):
            self.at(self.now_us + self._delay_us(self.random), arrive)


class MembershipSimulation(Simulation[Membership]):
    """Simulation of `count` memberships with the first three placers as seeds."""

    def __init__(
        self, count: int, seed: int, rules: SwimSettings = SwimSettings(), loss: float = 0.0
    ) -> None:
        super().__init__([f"p{index:03d}" for index in range(count)], seed, loss)
        self.rules = rules
        self.next_incarnation: int | None = None  # of the next start; None takes the virtual time
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> Membership:
        """Creates the membership of a new incarnation."""
        incarnation, self.next_incarnation = (
            self.next_incarnation if self.next_incarnation is not None else 1 + now_us,
            None,
        )
        seeds = tuple(Seed("", f"at {each}") for each in self.names[:3] if each != name)
        return Membership(
            LocalMember(name, f"at {name}", "", incarnation),
            seeds,
            self.random.randrange(1 << 30),
            self.rules,
        )

    # -- queries

    def member_status(self, viewer: str, member: str) -> MemberStatus | None:
        """Status of a member in the table of another; None if it is not in the table."""
        held = self.members[viewer].table.members.get(member)
        return held.status if held is not None else None

    def all_see(self, member: str, status: MemberStatus | None) -> bool:
        """Whether every other running placer has a member with the given status."""
        return all(
            self.member_status(viewer, member) is status
            for viewer in self.members
            if viewer != member
        )

    def all_alive(self) -> bool:
        """Whether all running placers have each other as alive."""
        return all(
            self.member_status(viewer, member) is MemberStatus.ALIVE
            for viewer in self.members
            for member in self.members
            if viewer != member
        )

    def deaths(self, since_us: int = 0) -> list[Notification]:
        """Notifications, since a time, that a member was declared dead."""
        return [
            each for each in self.notifications if each.event == "dead" and each.at_us >= since_us
        ]
