"""Host of the decision module: passes it events in order, and each of its actions to the component that acts on it.

It is the only caller of `Scheduler.handle`. Components report events by `Host.feed`. All actions that follow from one
event are carried out before the next event is handled; events that these actions cause wait in the queue.
"""

from __future__ import annotations

import time
from collections import deque
from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.scheduler import Scheduler
from wingbarrow.transport import Timer


class ActionHandler(Protocol):
    """Carries out the actions of the decision module."""

    def bind(self, bind: api.Bind) -> None:
        """Offer a task to a machine."""

    def refuse(self, request: int) -> None:
        """Give the final answer "refused": a retry by the owner is safe."""

    def fail(self, request: int) -> None:
        """Give the final answer "failed": the task may or may not have taken effect."""

    def move(self, request: int) -> None:
        """Stop a placed task and request it again."""

    def probe(self, machine: int) -> None:
        """Request a machine's load report."""

    def flush(self) -> None:
        """Publish the results; called once the queue of events is empty."""


class Host:
    """The decision module with its event queue and its timers."""

    def __init__(self, runtime: PlacerRuntime, settings: api.Settings) -> None:
        self._runtime = runtime
        self._scheduler = Scheduler(settings, runtime.random.randrange(1 << 48))
        self._queue: deque[api.Event] = deque()
        self._timers: dict[str, Timer] = {}
        self._is_handling = False
        self.action_handler: ActionHandler | None = None
        self.module_ns = 0  # processor time spent in the module
        self.failed: Exception | None = None

    def feed(self, event: api.Event) -> None:
        """Queue an event; unless events are being handled already, handle all queued events and their actions."""
        self._queue.append(event)
        if self._is_handling:
            return
        action_handler = self.action_handler
        assert action_handler is not None, (
            "the placer sets the action handler before the first event"
        )
        self._is_handling = True
        try:
            while self._queue:
                next_event = self._queue.popleft()
                started_ns = time.perf_counter_ns()
                actions = self._scheduler.handle(self._runtime.hub.now_us(), next_event)
                self.module_ns += time.perf_counter_ns() - started_ns
                for action in actions:
                    self._carry_out(action, action_handler)
        except Exception as error:
            # A core that failed halfway through an event must not place any more tasks: the whole placer ends.
            self.failed = error
            self._runtime.log("core-failed", level="error", why=f"{type(error).__name__}: {error}")
            self._runtime.shut_down()
            raise
        finally:
            self._is_handling = False
        action_handler.flush()

    def _carry_out(self, action: api.Action, action_handler: ActionHandler) -> None:
        match action:
            case api.Bind():
                action_handler.bind(action)
            case api.Refuse(request):
                action_handler.refuse(request)
            case api.Fail(request):
                action_handler.fail(request)
            case api.Move(request):
                action_handler.move(request)
            case api.SetTimer(at_us, name):
                self._set_timer(at_us, name)
            case api.Probe(machine):
                action_handler.probe(machine)
            case api.WatchList():
                # The list is watched for the placer's whole lifetime, so that there is nothing more to do.
                self._runtime.counts["watch_list"] += 1
            case api.Log(text):
                self._runtime.log("module", text=text)

    def _set_timer(self, at_us: int, name: str) -> None:
        def on_due() -> None:
            self._timers.pop(name, None)
            self.feed(api.TimerDue(name))

        # A request's own timer gives the final answer that its owner is owed: it runs before other timers that are due.
        timer = self._runtime.hub.call_at(at_us, on_due, urgent=name.isdecimal())
        if name.isdecimal():
            self._timers[name] = timer

    def cancel_timer(self, request: int) -> None:
        """Cancel a request's own timer, if it is set."""
        timer = self._timers.pop(str(request), None)
        if timer is not None:
            timer.cancel()

    def knowledge(self) -> api.Knowledge:
        """The module's knowledge of machines."""
        return self._scheduler.knowledge(self._runtime.hub.now_us())
