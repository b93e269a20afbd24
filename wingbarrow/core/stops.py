"""Pending stops of pods, by machine: each DELETE is retried with backoff until the machine confirms it.

Stops are idempotent by pod name. They yield to offers and use at most MAX_CALLS_PER_MACHINE connections of a machine,
so that cleaning up never delays waiting tasks. Pending stops count as open tasks in `decide.admission`, which
bounds their number.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wingbarrow.core.machine_link import DeleteOutcome, MachineLink
from wingbarrow.decide.backoff import Backoff
from wingbarrow.interface import Phase
from wingbarrow.transport import Hub, Signal

MAX_CALLS_PER_MACHINE = 2
# Pod names of confirmed stops to keep, so that a late watch event causes no further call.
MAX_CONFIRMED = 4096
MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 5_000_000


def _always() -> bool:
    return True


def _no_op() -> None:
    pass


@dataclass(slots=True, eq=False)
class _PendingStop:
    """The pending stop of one pod.

    `is_wanted` turns False when the pod has ended by itself. While `is_settled` is False, the pod's offer is still in
    flight, and the response "not found" proves nothing. `on_stopped` is called once the machine confirms that the pod
    is gone.
    """

    pod: str
    namespace: str
    is_wanted: Callable[[], bool]
    is_settled: Callable[[], bool]
    on_stopped: Callable[[], None]
    backoff: Backoff


class _MachineStops:
    """Pending stops on one machine: `new` in order of request, `retries` a heap by due time."""

    def __init__(self, hub: Hub) -> None:
        self.pods: set[str] = set()
        self.new: deque[_PendingStop] = deque()
        self.retries: list[tuple[int, str, _PendingStop]] = []
        self.workers = 0
        self.added = Signal(hub)


class Stops:
    """All pending stops of one placer; `spawn` starts a task that runs no longer than the placer."""

    def __init__(
        self,
        hub: Hub,
        seed: random.Random,
        spawn: Callable[[Callable[[], Any], str], None],
        counts: Counter[str],
    ) -> None:
        self._hub = hub
        self._seed = seed
        self._spawn = spawn
        self._counts = counts
        self._machines: dict[MachineLink, _MachineStops] = {}
        self._confirmed: dict[str, None] = {}
        self.pending = 0

    def request(
        self,
        link: MachineLink,
        namespace: str,
        pod: str,
        is_wanted: Callable[[], bool] = _always,
        is_settled: Callable[[], bool] = _always,
        on_stopped: Callable[[], None] = _no_op,
    ) -> None:
        """Request the stop of a pod; a second request for the same pod has no effect."""
        if pod in self._confirmed:
            return
        machine = self._machines.get(link)
        if machine is None:
            machine = self._machines[link] = _MachineStops(self._hub)
        if pod in machine.pods:
            return
        machine.pods.add(pod)
        machine.new.append(
            _PendingStop(
                pod,
                namespace,
                is_wanted,
                is_settled,
                on_stopped,
                Backoff(self._seed, MIN_BACKOFF_US, MAX_BACKOFF_US),
            )
        )
        machine.added.notify()
        self.pending += 1
        self._counts["stops_owed"] += 1
        if machine.workers < min(MAX_CALLS_PER_MACHINE, len(machine.pods)):
            machine.workers += 1
            self._spawn(lambda: self._work(link, machine), f"stops on {link.name}")

    def is_pending(self, link: MachineLink, pod: str) -> bool:
        """Whether the pod has a stop that is not confirmed yet."""
        machine = self._machines.get(link)
        return machine is not None and pod in machine.pods

    def pending_on(self, link: MachineLink) -> int:
        """Number of pending stops on one machine."""
        machine = self._machines.get(link)
        return len(machine.pods) if machine is not None else 0

    def _work(self, link: MachineLink, machine: _MachineStops) -> None:
        while machine.new or machine.retries:
            now = self._hub.now_us()
            if machine.retries and machine.retries[0][0] <= now:
                stop = heapq.heappop(machine.retries)[2]
            elif machine.new:
                stop = machine.new.popleft()
            else:
                with self._hub.limit(machine.retries[0][0] - now):
                    machine.added.wait()
                continue
            if self._try(link, stop):
                self.pending -= 1
                machine.pods.discard(stop.pod)
            else:
                heapq.heappush(
                    machine.retries,
                    (self._hub.now_us() + stop.backoff.next_delay_us(), stop.pod, stop),
                )
        machine.workers -= 1
        if not machine.pods and not machine.workers and self._machines.get(link) is machine:
            del self._machines[link]

    def _try(self, link: MachineLink, stop: _PendingStop) -> bool:
        """One attempt; True where the stop is no longer pending."""
        self._hub.checkpoint()  # offers that are ready go first
        if link.retired or not stop.is_wanted():
            return True
        self._counts["stops_sent"] += 1
        gone = link.delete(stop.namespace, stop.pod)
        if gone is None:
            # Danger: a dropped stop leaves a task running. It is dropped only where the machine is off the list and
            # unreachable.
            return link.phase is Phase.GONE and not link.reachable
        if gone is DeleteOutcome.NOT_FOUND and not stop.is_settled():
            return False
        self._counts["stops_done"] += 1
        if gone is DeleteOutcome.STOPPED:
            # A pod that was not found is not recorded as confirmed: its offer may still wait in a socket.
            self._add_confirmed(stop.pod)
        stop.on_stopped()
        return True

    def _add_confirmed(self, pod: str) -> None:
        self._confirmed[pod] = None
        if len(self._confirmed) > MAX_CONFIRMED:
            del self._confirmed[next(iter(self._confirmed))]
