"""The host of the decision module: events in, in order; actions out, each to the component that carries it out.

It is the only caller of `Scheduler.handle`. A component that has something to tell feeds an event; what the module then
decides is carried out before the next event is taken, and what that brings about waits in the queue.
"""

from __future__ import annotations

import time
from collections import deque
from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.scheduler import Scheduler
from wingbarrow.transport import Timer


class Hands(Protocol):
    """Who carries out what the module decides."""

    def bind(self, bind: api.Bind) -> None:
        """Offer a task to a machine."""

    def refuse(self, request: int) -> None:
        """Give the final answer: refused, trying again is harmless."""

    def fail(self, request: int) -> None:
        """Give the final answer: failed, with no promise as to the effect."""

    def move(self, request: int) -> None:
        """Stop a placed task and ask for it again."""

    def probe(self, machine: int) -> None:
        """Ask a machine for its report."""

    def flush(self) -> None:
        """All that one event brought about is done: show it."""


class Host:
    """The module with its queue and its timers."""

    def __init__(self, runtime: PlacerRuntime, settings: api.Settings) -> None:
        self._runtime = runtime
        self._scheduler = Scheduler(settings, runtime.random.randrange(1 << 48))
        self._queue: deque[api.Event] = deque()
        self._timers: dict[str, Timer] = {}
        self._pumping = False
        self.hands: Hands | None = None
        self.module_ns = 0  # processor time spent in the module
        self.failed: Exception | None = None

    def feed(self, event: api.Event) -> None:
        """Tell the module of an event, in order, and carry out what it answers."""
        self._queue.append(event)
        if self._pumping:
            return
        hands = self.hands
        assert hands is not None, "the placer puts the components together before anything happens"
        self._pumping = True
        try:
            while self._queue:
                happened = self._queue.popleft()
                begun = time.perf_counter_ns()
                actions = self._scheduler.handle(self._runtime.hub.now_us(), happened)
                self.module_ns += time.perf_counter_ns() - begun
                for action in actions:
                    self._carry_out(action, hands)
        except Exception as error:
            # A core that failed halfway through an event must not go on placing: the whole placer ends.
            self.failed = error
            self._runtime.log("core-failed", level="error", why=f"{type(error).__name__}: {error}")
            self._runtime.shut_down()
            raise
        finally:
            self._pumping = False
        hands.flush()

    def _carry_out(self, action: api.Action, hands: Hands) -> None:
        match action:
            case api.Bind():
                hands.bind(action)
            case api.Refuse(request):
                hands.refuse(request)
            case api.Fail(request):
                hands.fail(request)
            case api.Move(request):
                hands.move(request)
            case api.SetTimer(at_us, name):
                self._set_timer(at_us, name)
            case api.Probe(machine):
                hands.probe(machine)
            case api.WatchList():
                self._runtime.counts["watch_list"] += (
                    1  # the list is followed for as long as the placer lives
                )
            case api.Log(text):
                self._runtime.log("module", text=text)

    def _set_timer(self, at_us: int, name: str) -> None:
        def due() -> None:
            self._timers.pop(name, None)
            self.feed(api.TimerDue(name))

        # A request's own timer gives the final answer that is owed: it runs before all else that is due.
        timer = self._runtime.hub.call_at(at_us, due, owed=name.isdecimal())
        if name.isdecimal():
            self._timers[name] = timer

    def cancel_timer(self, request: int) -> None:
        """A request's own timer is not needed any more."""
        timer = self._timers.pop(str(request), None)
        if timer is not None:
            timer.cancel()

    def knowledge(self) -> api.Knowledge:
        """What the module knows of machines."""
        return self._scheduler.knowledge(self._runtime.hub.now_us())
