"""The fleet: entries of the list through the guards to the module, to clients and to the machines' own connections."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Iterable
from dataclasses import replace
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.nodes import NodeEntry, read_node
from wingbarrow.core.observations import Observations
from wingbarrow.core.reflector import Reflector
from wingbarrow.core.runs import Runs
from wingbarrow.decide.restarts import RestartGuard

REOPEN_US = 50_000
MAX_PROBES = 32
Guard = Callable[[NodeEntry, api.ListedMachine], api.ListedMachine]


class Fleet:
    """Owns which machines are reached and how the module may see them.

    `guards` narrow each entry, in order, before the module and the gate have it; `gone`, `listed` and `taken_in` hear
    of machines that left, of those that are on the list (again), and of each delivery that is taken in.
    """

    def __init__(
        self,
        base: Base,
        host: Host,
        board: ApiObjects,
        machines: Machines,
        attempts: Attempts,
        runs: Runs,
        sightings: Observations,
    ) -> None:
        self._base, self._host, self._objects, self._machines = base, host, board, machines
        self._attempts, self._runs, self._observations = attempts, runs, sightings
        self._restart_guard = RestartGuard(base.settings.scheduler.classes)
        self._reopening = False
        self._probes_out = 0
        settings = base.settings
        self.reflector = Reflector(
            base.hub,
            settings.source_host,
            settings.source_port,
            f"wingbarrow/{settings.name}",
            random.Random(base.random.random()),
            settings.limits.machines,
            base.shift_us,
            self.apply,
            base.log,
        )
        self.ready = False  # a list of machines has come
        self.guards: list[Guard] = []
        self.slow_start_guard: Guard = (
            lambda entry, listed: listed
        )  # narrows what the module alone sees, last of all
        self.on_gone: Callable[[str], None] = lambda name: None
        self.on_machine_listed: Callable[[str], None] = lambda name: None
        self.on_contact: Callable[[str], None] = lambda name: None  # a machine answered a probe
        self.on_delivery_applied: Callable[[], None] = lambda: None
        self.is_drained: Callable[[str], bool] = lambda name: False  # closed by the calendar
        self.on_state_lost: Callable[[], None] = (
            lambda: None
        )  # what a former life held cannot be read
        self.closed_locally: list[
            Callable[[str], bool]
        ] = []  # which machines are closed to this placer alone
        sightings.on_listed = self._on_pods_listed

    @property
    def held(self) -> dict[str, NodeEntry]:
        """The list's entries by name."""
        return self.reflector.held

    @property
    def held_fraction(self) -> float:
        """The part of the machines on the list that this placer holds; 1.0 where none is left out."""
        held, left_out = len(self.held), self.reflector.left_out
        return held / (held + left_out) if left_out else 1.0

    # -- the list

    def apply(self, form: api.ListForm, entries: list[NodeEntry], gone: list[str]) -> None:
        """A delivery of the reflector, or entries that are to pass the guards anew."""
        if form is api.ListForm.FAILED:
            self._host.feed(api.MachineList(form, ()))
            return
        if form is not api.ListForm.SAVED:
            self.ready = True
        now = self._base.hub.now_us()
        for entry in entries:
            self._restart_guard.on_machine_listed(entry.name, entry.listed, now)
        # Every entry passes here, and so the guards (rules 3 and 5).
        narrowed = {entry.name: self._narrow(entry) for entry in entries}
        listed = [self.slow_start_guard(entry, narrowed[entry.name]) for entry in entries]
        for name in gone:
            entry_gone = self._on_gone(name)
            if form is api.ListForm.CHANGES and entry_gone is not None:
                listed.append(entry_gone)
        fresh: list[MachineLink] = []
        for entry in entries:
            link = self._link(entry, fresh)
            link.phase, link.launched_us = (
                narrowed[entry.name].phase,
                narrowed[entry.name].launched_us,
            )
            self.on_machine_listed(entry.name)
            self._objects.show_node_if_changed(entry, self.is_drained(entry.name))
        self._host.feed(api.MachineList(form, tuple(listed)))
        self._restart_guard.list_received |= form is api.ListForm.FULL
        for link in fresh:
            self._observations.follow(link)
        for name in gone:
            self._retire(name)
        self.on_delivery_applied()

    def reapply(self, entries: Iterable[NodeEntry]) -> None:
        """Have entries pass the guards anew; their figures of room are no news and count as not told."""
        self.apply(api.ListForm.CHANGES, [without_free_capacity(entry) for entry in entries], [])

    def reapply_named(self, names: Container[str]) -> None:
        """As `reapply`, for the machines of these names that are held."""
        self.reapply([entry for name, entry in self.held.items() if name in names])

    def _narrow(self, entry: NodeEntry) -> api.ListedMachine:
        listed = entry.listed
        for guard in self.guards:
            listed = guard(entry, listed)
        if listed.phase is api.Phase.RUNNING and self._restart_guard.is_closed(entry.listed):
            # Danger (rule 5): a former life's tasks that are not known yet would not count.
            listed = replace(listed, phase=api.Phase.DRAINING)
        return listed

    def _on_gone(self, name: str) -> api.ListedMachine | None:
        self.on_gone(name)
        return self._remove_node(name)

    def _remove_node(self, name: str) -> api.ListedMachine | None:
        """A machine that is shown no more, and its last entry as the module is to have it; None where it had none."""
        link = self._machines.links.get(name)
        stored = self._objects.drop_node(name)
        if link is None:
            return None
        link.phase = api.Phase.GONE
        if stored is None:
            return api.ListedMachine(
                link.ident, "", 0, "", api.Phase.GONE, link.launched_us, 0.0, 0.0
            )
        entry = read_node(stored.value, self._base.shift_us).listed
        return replace(entry, phase=api.Phase.GONE, launched_us=link.launched_us)

    def release(self, name: str) -> None:
        """Let go of a machine that stays on the list: nothing of this placer's is there, and nothing is sent there.

        To the module and to clients it is gone; to peers, and to what follows the list, nothing is said.
        """
        self.reflector.drop(name)
        entry = self._remove_node(name)
        link = self._machines.links.get(name)
        if link is not None:
            link.release()
            self._machines.remove(link)
        if entry is not None:
            self._host.feed(api.MachineList(api.ListForm.CHANGES, (entry,)))

    # -- after a start

    def is_closed_by_restart(self, entry: NodeEntry) -> bool:
        """Whether only this placer's own start keeps it from a machine."""
        return self._restart_guard.is_closed(entry.listed)

    def is_closed_locally(self, entry: NodeEntry) -> bool:
        """Whether a machine is closed to this placer for reasons of its own: no drain that others should hear of."""
        return self.is_closed_by_restart(entry) or any(
            closed(entry.name) for closed in self.closed_locally
        )

    def is_off_list(self, name: str) -> bool:
        """Whether a machine that is not held is off the list, and not merely left out."""
        return self.ready and self.reflector.is_wanted(name)

    @property
    def reopening(self) -> bool:
        """Whether machines that may be sent to by now are still to be shown to the module."""
        return self._reopening

    def run_restart_timeouts(self) -> None:
        """Machines that cannot be reached hold up their rack for a while only; ends with that."""
        while not self._restart_guard.is_over:
            if self._restart_guard.expire(self._base.hub.now_us()):
                self._reopen()
            if not self._restart_guard.is_over:
                self._base.hub.sleep(REOPEN_US)

    def _on_pods_listed(self, name: str) -> None:
        """A machine has listed what it runs for this placer."""
        if self._restart_guard.on_pods_listed(name):
            self._reopen()

    def _reopen(self) -> None:
        """Show the module the machines that may be sent to by now; soon, all that open in a while at once."""
        if self._reopening:
            return
        self._reopening = True

        def due() -> None:
            self._reopening = False
            links = self._machines.links
            self.reapply(
                [
                    entry
                    for name, entry in self.held.items()
                    if name in links
                    and links[name].phase is api.Phase.DRAINING
                    and entry.listed.phase is api.Phase.RUNNING
                ]
            )

        self._base.hub.call_at(self._base.hub.now_us() + REOPEN_US, due)

    def has_complete_view(self, machines: int) -> bool:
        """Whether the list names at least so many machines and each of them has told what it runs."""
        return (
            len(self.held) + self.reflector.left_out >= machines
            and self._restart_guard.pending_count == 0
            and all(link.reachable for link in self._machines.links.values())
        )

    # -- connections

    def _link(self, entry: NodeEntry, fresh: list[MachineLink]) -> MachineLink:
        link, offered_us = self._machines.links.get(entry.name), None
        if link is not None and (link.host, link.port) != (entry.host, entry.port):
            # The machine answers at another address: what was there is reached no more.
            link.retired = True
            link.close()
            offered_us, link = link.offered_us, None
        if link is None:
            settings = self._base.settings
            link = MachineLink(
                self._base.hub,
                entry.name,
                entry.host,
                entry.port,
                settings.name,
                settings.limits.per_machine,
                random.Random(self._base.random.random()),
            )
            link.offered_us = offered_us
            self._machines.add(link)
            fresh.append(link)
        return link

    def _retire(self, name: str) -> None:
        """A machine left the list: once it cannot be reached, what ran there is lost."""
        link = self._machines.links.get(name)
        if link is None:
            return

        def wait() -> None:
            for _ in range(600):
                if link.phase is not api.Phase.GONE:
                    return
                mine = self._attempts.on(link)
                if not mine or not link.reachable:
                    break
                self._base.hub.sleep(1_000_000)
            if link.phase is not api.Phase.GONE:
                return
            for attempt in self._attempts.on(link):
                self._runs.on_lost(attempt, "its machine is gone")
            if not self._attempts.on(link):
                link.retired = True
                link.close()
                self._machines.remove(link)

        self._base.spawn(wait, "retire")

    def size_of(self, entry: NodeEntry | None) -> tuple[float, float]:
        """Cores and memory of a machine by its kind."""
        return self._base.sizes.get(entry.listed.kind if entry else "", (1.0, 1.0))

    def probe(self, machine: int) -> None:
        """Ask a machine for its own figures."""
        link = self._machines.of(machine)
        if link is None or self._probes_out >= MAX_PROBES:
            self._base.counts["probes_dropped"] += 1
            return
        size = self.size_of(self.held.get(link.name))
        self._base.counts["probes"] += 1
        self._probes_out += 1

        def probe() -> None:
            try:
                report = link.probe(size)
            finally:
                self._probes_out -= 1
            if report is not None:
                self.on_contact(link.name)
            outcome = api.Outcome.DONE if report else api.Outcome.TIMED_OUT
            self._host.feed(api.Probed(machine, outcome, report))

        self._base.spawn(probe, "probe")


def without_free_capacity(entry: NodeEntry) -> NodeEntry:
    """An entry whose figures of room are of an unknown age: they count as not told."""
    return replace(entry, listed=replace(entry.listed, free_cores=math.nan, free_memory=math.nan))


def saved_entries(values: list[dict[str, Any]], wall_to_mono_us: int) -> list[NodeEntry]:
    """A saved list's entries; ValueError names the field that cannot be read."""
    return [without_free_capacity(read_node(value, wall_to_mono_us)) for value in values]
