"""Stops that are owed: tasks that must not run on, by machine, each asked for until the machine confirms it.

A stop is owed by pod: asking twice for one costs nothing. They go after offers and by a connection or two of their
own, so that work for tasks that are gone never crowds out work for those that wait. What is owed counts against
the bound on open tasks (`decide.admission`), so it cannot pile up.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wingbarrow.core.link import Gone, MachineLink
from wingbarrow.decide.backoff import Backoff
from wingbarrow.interface import Phase
from wingbarrow.transport import Hub, Signal

WORKERS = 2  # stops on their way to one machine at a time
REMEMBERED = 4096  # confirmed stops, so that late news of them costs no further call


def _always() -> bool:
    return True


def _nothing() -> None:
    pass


@dataclass(slots=True, eq=False)
class _Owed:
    """One pod's stop."""

    pod: str
    namespace: str
    wanted: Callable[[], bool]  # False: it has ended by itself
    settled: Callable[
        [], bool
    ]  # False: its offer is still under way, so "not found" may be too early
    done: Callable[[], None]
    pause: Backoff


class _Machine:
    """What is owed on one machine: `fresh` in order of coming, `later` by when they are tried again."""

    def __init__(self, hub: Hub) -> None:
        self.pods: set[str] = set()
        self.fresh: deque[_Owed] = deque()
        self.later: list[tuple[int, str, _Owed]] = []
        self.workers = 0
        self.came = Signal(hub)


class Stops:
    """All stops one placer owes; `spawn` starts a task that lives as long as the placer."""

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
        self._machines: dict[MachineLink, _Machine] = {}
        self._confirmed: dict[str, None] = {}
        self.owed = 0

    def owe(
        self,
        link: MachineLink,
        namespace: str,
        pod: str,
        wanted: Callable[[], bool] = _always,
        settled: Callable[[], bool] = _always,
        done: Callable[[], None] = _nothing,
    ) -> None:
        """Have a pod stopped; `done` is called once the machine says that it is not there any longer."""
        if pod in self._confirmed:
            return
        machine = self._machines.get(link)
        if machine is None:
            machine = self._machines[link] = _Machine(self._hub)
        if pod in machine.pods:
            return
        machine.pods.add(pod)
        machine.fresh.append(
            _Owed(pod, namespace, wanted, settled, done, Backoff(self._seed, 100_000, 5_000_000))
        )
        machine.came.notify()
        self.owed += 1
        self._counts["stops_owed"] += 1
        if machine.workers < min(WORKERS, len(machine.pods)):
            machine.workers += 1
            self._spawn(lambda: self._work(link, machine), f"stops on {link.name}")

    def owes(self, link: MachineLink, pod: str) -> bool:
        """Whether that stop is still owed."""
        machine = self._machines.get(link)
        return machine is not None and pod in machine.pods

    def owed_on(self, link: MachineLink) -> int:
        """How many are owed on one machine."""
        machine = self._machines.get(link)
        return len(machine.pods) if machine is not None else 0

    def _work(self, link: MachineLink, machine: _Machine) -> None:
        while machine.fresh or machine.later:
            now = self._hub.now_us()
            if machine.later and machine.later[0][0] <= now:
                owed = heapq.heappop(machine.later)[2]
            elif machine.fresh:
                owed = machine.fresh.popleft()
            else:
                with self._hub.limit(machine.later[0][0] - now):
                    machine.came.wait()
                continue
            if self._try(link, owed):
                self.owed -= 1
                machine.pods.discard(owed.pod)
            else:
                heapq.heappush(
                    machine.later, (self._hub.now_us() + owed.pause.next_us(), owed.pod, owed)
                )
        machine.workers -= 1
        if not machine.pods and not machine.workers and self._machines.get(link) is machine:
            del self._machines[link]

    def _try(self, link: MachineLink, owed: _Owed) -> bool:
        """One try; True where nothing more is owed."""
        self._hub.checkpoint()  # offers that are ready go first
        if link.retired or not owed.wanted():
            return True
        self._counts["stops_sent"] += 1
        gone = link.delete(owed.namespace, owed.pod)
        if gone is None:
            # Danger: a stop that is forgotten leaves a task running; only a machine that is gone is let go.
            return link.phase is Phase.GONE and not link.reachable
        if gone is Gone.WAS_NOT_THERE and not owed.settled():
            return False
        self._counts["stops_done"] += 1
        if gone is Gone.STOPPED:
            self._remember(
                owed.pod
            )  # one that was not there may yet come: its offer waits in a socket
        owed.done()
        return True

    def _remember(self, pod: str) -> None:
        self._confirmed[pod] = None
        if len(self._confirmed) > REMEMBERED:
            del self._confirmed[next(iter(self._confirmed))]
