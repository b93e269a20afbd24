"""The greenlet hub: a run queue, heaps of timers with cheap cancel, `select.poll`, one clock."""

from __future__ import annotations

import errno
import heapq
import os
import select
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

from wingbarrow.transport.clock import Clock, RealClock
from wingbarrow.transport.domain import Domain
from wingbarrow.transport.lag import Lag
from wingbarrow.transport.scopes import Cancelled, CancelScope, Task

READ, WRITE = select.POLLIN, select.POLLOUT
_BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
# Longest wait of one poll. Input is known only to have arrived after the start of the poll before the one that found
# it, so this bounds by how much its arrival time is underestimated.
_MAX_POLL_MS = 25
# How long ready tasks run before timers, urgent tasks and the poll get a turn.
_MAX_TURN_US = 10_000
_COMPACT_THRESHOLD = 512  # cancelled timers in the heaps above which these may be rebuilt


class Timer:
    """A call scheduled at `at_us`; `cancel` only sets a flag, and the heap drops the entry later."""

    __slots__ = ("at_us", "call", "hub")

    def __init__(self, hub: Hub, at_us: int, call: Callable[[], None]) -> None:
        self.hub = hub
        self.at_us = at_us
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call; does nothing once it has run."""
        if self.call is not None:
            self.call = None
            self.hub._dead_timers += 1


class Hub:
    """The task scheduler; one per thread, created at program start."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or RealClock()
        self._ready: deque[tuple[Task, BaseException | None]] = deque()
        self._urgent_tasks: deque[tuple[Task, BaseException | None]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        # Timers that run before all others that are due.
        self._urgent_timers: list[tuple[int, int, Timer]] = []
        self._sequence = 0
        self._dead_timers = 0
        self._poll = select.poll()
        self._waiting: dict[int, dict[int, Task]] = {}  # by descriptor, then by READ or WRITE
        self._loop = greenlet(self._run)
        self._tasks: dict[greenlet, Task] = {}
        self._timer_domain: Domain | None = None  # the domain of the timer that runs now
        self.switches = 0
        self.polls = 0
        self.lag = Lag()
        self._last_poll_us = self.clock.now_us()  # when the latest poll began
        # Whether a socket was written, read, opened or closed since a poll last found nothing. Under a virtual clock
        # both ends of every socket are in this process, so nothing else can make a descriptor ready.
        self.socket_activity = True
        self._stopped = False
        self.on_task_error: Callable[[str, BaseException], None] = _raise

    def now_us(self) -> int:
        """The clock's monotonic microseconds."""
        return self.clock.now_us()

    def current(self) -> Task:
        """The running task."""
        return self._tasks[getcurrent()]

    def lag_us(self) -> int:
        """The recent lag of this process in microseconds; see `transport.lag`."""
        task = self._tasks.get(getcurrent())
        domain = task.domain if task is not None else self._timer_domain
        now = self.clock.now_us()
        return max(self.lag.recent_us(now), domain.lag.recent_us(now) if domain is not None else 0)

    # -- tasks

    def run(self, call: Callable[[], Any]) -> Any:
        """Run `call` as the main task until it returns; returns its result or raises its exception."""
        result: list[Any] = []
        task = self.spawn(lambda: result.append(call()), name="main")
        main = getcurrent()
        task.on_end.append(lambda _: self._finish(main))
        self._stopped = False
        self._loop.parent = main
        self._loop.switch()
        if task.error is not None:
            raise task.error
        return result[0] if result else None

    def _finish(self, main: greenlet) -> None:
        self._stopped = True

    def spawn(
        self,
        call: Callable[[], Any],
        name: str = "",
        domain: Domain | None = None,
        scopes: list[CancelScope] | None = None,
    ) -> Task:
        """Start a background task; its exception goes to `on_task_error`, unless it has an `on_end` callback."""
        parent = self._tasks.get(getcurrent())
        if domain is None:
            domain = parent.domain if parent is not None else self._timer_domain
        task = Task(self, None, domain, name)

        def body() -> None:
            try:
                call()
            except Cancelled:
                pass
            except Exception as error:
                task.error = error
            finally:
                task.done = True
                self._tasks.pop(task.glet, None)
                if domain is not None:
                    domain.tasks.pop(task, None)
                for scope in task.scopes:
                    scope._tasks.pop(task, None)
                for each in task.on_end:
                    each(task)
                if task.error is not None and not task.on_end:
                    self.on_task_error(task.name, task.error)

        task.glet = greenlet(body, self._loop)
        task.scopes = [*(scopes or []), task.own_scope]
        for scope in task.scopes:
            scope._tasks[task] = None
        self._tasks[task.glet] = task
        if domain is not None:
            domain.tasks[task] = None
        self._wake(task, None)
        return task

    def _wake(self, task: Task, error: BaseException | None) -> None:
        domain = task.domain
        if domain is not None and domain.held_until_us > self.clock.now_us():
            domain.deferred_tasks.append((task, error))
        elif task.urgent and not self.clock.virtual:
            self._urgent_tasks.append((task, error))
        else:
            self._ready.append((task, error))

    def block(self, undo: Callable[[], None]) -> None:
        """Block until `wake`; `undo` withdraws the wait when a scope is cancelled, which raises Cancelled."""
        task = self.current()
        for scope in task.scopes:
            if scope.cancelled:
                undo()
                raise Cancelled(scope)
        task.undo_wait = undo
        self._loop.switch()

    def wake(self, task: Task) -> None:
        """Make a task that is in `block` ready; does nothing for one that is not."""
        if task.undo_wait is not None:
            task.undo_wait = None
            self._wake(task, None)

    def checkpoint(self) -> None:
        """Let other ready tasks run; raises Cancelled when a scope is cancelled."""
        for scope in self.current().scopes:
            if scope.cancelled:
                raise Cancelled(scope)
        self.yield_turn()

    def yield_turn(self) -> None:
        """Let other ready tasks run; a cancelled scope raises at the next call that blocks, not here.

        For calls that go on with what has come already, and are cancelled only while they wait for more.
        """
        self._ready.append((self.current(), None))
        self._loop.switch()

    # -- time

    def _at(
        self, at_us: int, call: Callable[[], None], domain: Domain | None, urgent: bool = False
    ) -> Timer:
        def guarded() -> None:
            if domain is not None and (domain.dead or domain.held_until_us > self.clock.now_us()):
                if not domain.dead:
                    domain.deferred_calls.append((urgent, call))
                return
            self._timer_domain = domain
            try:
                call()
            finally:
                self._timer_domain = None

        timer = Timer(self, at_us, guarded if domain is not None else call)
        self._sequence += 1
        heapq.heappush(
            self._urgent_timers if urgent else self._timers, (at_us, self._sequence, timer)
        )
        return timer

    def call_at(self, at_us: int, call: Callable[[], None], urgent: bool = False) -> Timer:
        """Schedule a short call in the hub at a time of its clock; the call must not block.

        An `urgent` one runs before all other due timers, however many of them wait after a stall.
        """
        parent = self._tasks.get(getcurrent())
        return self._at(at_us, call, parent.domain if parent else self._timer_domain, urgent)

    def sleep(self, for_us: int) -> None:
        """Block for `for_us` microseconds."""
        task = self.current()
        timer = self.call_at(self.now_us() + for_us, lambda: self.wake(task))
        self.block(timer.cancel)

    def sleep_until(self, at_us: int) -> None:
        """Block until a time of the hub's clock."""
        self.sleep(max(0, at_us - self.now_us()))

    def limit(self, for_us: int) -> CancelScope:
        """A scope that is cancelled `for_us` microseconds from now."""
        return CancelScope(self, self.now_us() + for_us)

    # -- descriptors

    def wait(self, fd: int, what: int) -> int:
        """Block until the descriptor can be read (READ) or written (WRITE), or is broken.

        Returns the latest time at which it was certainly not ready: the start of the poll before the one that
        found it ready. Raises RuntimeError if another task already waits for the same.
        """
        task = self.current()
        for scope in task.scopes:
            if scope.cancelled:
                raise Cancelled(scope)
        waiters = self._waiting.setdefault(fd, {})
        if what in waiters:
            raise RuntimeError(
                f"two tasks wait for descriptor {fd}: {waiters[what].name!r} and {task.name!r}"
            )
        waiters[what] = task
        self._register(fd)

        def undo() -> None:
            if waiters.get(what) is task:
                del waiters[what]
                self._register(fd)

        task.last_empty_us = 0
        self.block(undo)
        return task.last_empty_us

    def _register(self, fd: int) -> None:
        waiters = self._waiting.get(fd)
        if waiters:
            self._poll.register(fd, sum(waiters))
        elif waiters is not None:
            del self._waiting[fd]
            self._poll.unregister(fd)

    def is_ready(self, fd: int, what: int) -> bool:
        """Whether the descriptor can be read (READ) or written (WRITE), or is broken, at this moment."""
        poll = select.poll()
        poll.register(fd, what)
        return bool(poll.poll(0))

    def last_poll_us(self, fd: int) -> int | None:
        """Start of the latest poll that found nothing to read, if a reader waits for the descriptor; else None."""
        return self._last_poll_us if READ in self._waiting.get(fd, ()) else None

    def forget(self, fd: int) -> None:
        """Wake the tasks that wait for a descriptor and unregister it, before it is closed."""
        for task in list(self._waiting.get(fd, {}).values()):
            self.wake(task)
        if fd in self._waiting:
            self._waiting[fd].clear()
            self._register(fd)

    # -- the loop

    def _run(self) -> None:
        while not self._stopped:
            self._run_turn()
        self._loop = greenlet(self._run)

    def _run_turn(self) -> None:
        begun = self.clock.now_us()
        end = None if self.clock.virtual else begun + _MAX_TURN_US
        for _ in range(len(self._ready)):
            self._run_urgent()
            if self._stopped:
                return
            self._switch(*self._ready.popleft())
            if self._stopped:
                return
            # Danger (rule 1): a long queue of new work would delay due answers and the tasks that write them.
            if end is not None and self.clock.now_us() >= end:
                break
        self._run_urgent()
        if self._stopped:
            return
        timeout = self._run_timers()
        if self._stopped:
            return
        self._poll_or_jump(0 if self._ready or self._urgent_tasks else timeout)

    def _run_urgent(self) -> None:
        while self._urgent_tasks and not self._stopped:
            self._switch(*self._urgent_tasks.popleft())

    def _switch(self, task: Task, error: BaseException | None) -> None:
        if task.glet.dead:
            return
        self.switches += 1
        task.glet.parent = self._loop
        if error is None:
            task.glet.switch()
        else:
            task.glet.throw(error)

    def _run_timers(self) -> int | None:
        """Run the due timers, urgent ones first; returns microseconds until the next timer, None without one."""
        if self._dead_timers > _COMPACT_THRESHOLD and self._dead_timers * 2 > len(
            self._timers
        ) + len(self._urgent_timers):
            for heap in (self._timers, self._urgent_timers):
                heap[:] = [each for each in heap if each[2].call is not None]
                heapq.heapify(heap)
            self._dead_timers = 0
        now = self.clock.now_us()
        after_urgent = self._run_due(self._urgent_timers, now)
        after = self._run_due(self._timers, now)
        return (
            after_urgent
            if after is None
            else after
            if after_urgent is None
            else min(after, after_urgent)
        )

    def _run_due(self, heap: list[tuple[int, int, Timer]], now: int) -> int | None:
        end = now + _MAX_TURN_US
        while heap:
            at_us, _, timer = heap[0]
            if timer.call is None:
                heapq.heappop(heap)
                self._dead_timers = max(0, self._dead_timers - 1)
            elif at_us <= now:
                heapq.heappop(heap)
                call, timer.call = timer.call, None
                self.lag.note(now, now - at_us)
                call()
                # Urgent timers all run; others stop after one turn's time.
                if heap is self._timers and not self.clock.virtual and self.clock.now_us() >= end:
                    return 0
            else:
                return at_us - now
        return None

    def _poll_or_jump(self, timeout_us: int | None) -> None:
        if self.clock.virtual and timeout_us:
            # Loopback bytes are in the peer's buffer when send returns; a second poll covers a delayed softirq.
            if self.socket_activity and (self._poll_once(0) or self._poll_once(0)):
                return
            self.socket_activity = False
            self.clock.jump(self.clock.now_us() + timeout_us)
            self._last_poll_us = self.clock.now_us()  # nothing can arrive during the jump
            return
        if self.clock.virtual and timeout_us == 0 and not self.socket_activity:
            return
        self._poll_once(timeout_us)

    def _poll_once(self, timeout_us: int | None) -> bool:
        self.polls += 1
        # Rounded up to milliseconds: waking before a timer is due would busy-wait.
        wait = _MAX_POLL_MS if timeout_us is None else min(_MAX_POLL_MS, -(-timeout_us // 1000))
        last_empty_us, self._last_poll_us = self._last_poll_us, self.clock.now_us()
        self.lag.note(self._last_poll_us, self._last_poll_us - last_empty_us - _MAX_POLL_MS * 1000)
        try:
            events = self._poll.poll(wait)
        except OSError as error:
            if error.errno != errno.EINTR:
                raise
            return True
        for fd, mask in events:
            waiters = self._waiting.get(fd)
            if waiters is None:
                continue
            for what in list(waiters):
                if mask & (what | _BROKEN):
                    task = waiters.pop(what)
                    # A suspended process does not poll: it last saw the descriptor empty before its suspension.
                    domain = task.domain
                    held = domain is not None and domain.held_until_us > self._last_poll_us
                    task.last_empty_us = (
                        min(last_empty_us, domain.held_from_us)
                        if domain and held
                        else last_empty_us
                    )
                    self.wake(task)
            self._register(fd)
        return bool(events)

    def wake_pipe(self) -> tuple[int, int]:
        """A non-blocking pipe for signal handlers (`signal.set_wakeup_fd`)."""
        reading, writing = os.pipe()
        os.set_blocking(reading, False)
        os.set_blocking(writing, False)
        return reading, writing


def _raise(name: str, error: BaseException) -> None:
    raise error
