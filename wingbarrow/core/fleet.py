"""The fleet: list entries pass the guards, then go to the module, the API objects and the machine connections."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Iterable
from dataclasses import replace
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.nodes import NodeEntry, read_node
from wingbarrow.core.pod_observer import PodObserver
from wingbarrow.core.reflector import Reflector
from wingbarrow.core.runs import Runs
from wingbarrow.decide.restarts import RestartGuard

REOPEN_DELAY_US = 50_000  # machines that open within it are passed to the module together
MAX_OPEN_PROBES = 32
Guard = Callable[[NodeEntry, api.ListedMachine], api.ListedMachine]


class Fleet:
    """Owns the machines' connections, and decides in which phase the module sees each machine.

    `guards` restrict each entry, in order, for the module and the gate; `slow_start_guard` restricts what the module
    alone sees, last of all. The callbacks `on_gone`, `on_machine_listed` and `on_delivery_applied` are called for each
    machine that left the list, for each that is on it, and after each delivery.
    """

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        objects: ApiObjects,
        machines: Machines,
        attempts: Attempts,
        runs: Runs,
        pod_observer: PodObserver,
    ) -> None:
        self._context = context
        self._host = host
        self._objects = objects
        self._machines = machines
        self._attempts = attempts
        self._runs = runs
        self._pod_observer = pod_observer
        self._restart_guard = RestartGuard(context.settings.scheduler.classes)
        self._reopening = False
        self._open_probes = 0
        settings = context.settings
        self.reflector = Reflector(
            context.hub,
            settings.source_host,
            settings.source_port,
            f"wingbarrow/{settings.name}",
            random.Random(context.random.random()),
            settings.limits.machines,
            context.shift_us,
            self.apply,
            context.log,
        )
        self.ready = False  # whether a list was received from the source
        self.guards: list[Guard] = []
        self.slow_start_guard: Guard = lambda entry, listed: listed
        self.on_gone: Callable[[str], None] = lambda name: None
        self.on_machine_listed: Callable[[str], None] = lambda name: None
        self.on_contact: Callable[[str], None] = lambda name: None  # a machine answered a probe
        self.on_delivery_applied: Callable[[], None] = lambda: None
        self.is_drained: Callable[[str], bool] = lambda name: False  # by the drain calendar
        # The checkpoint of the earlier incarnation cannot be read.
        self.on_state_lost: Callable[[], None] = lambda: None
        # Predicates on machine names: whether a machine is closed to this placer alone.
        self.closed_locally: list[Callable[[str], bool]] = []
        pod_observer.on_listed = self._on_pods_listed

    @property
    def held(self) -> dict[str, NodeEntry]:
        """The list's entries by name."""
        return self.reflector.held

    @property
    def held_fraction(self) -> float:
        """The fraction of the listed machines that this placer holds; 1.0 where none is left out."""
        held, left_out = len(self.held), self.reflector.left_out
        return held / (held + left_out) if left_out else 1.0

    # -- the list

    def apply(self, form: api.ListForm, entries: list[NodeEntry], gone: list[str]) -> None:
        """Apply a delivery of the reflector: changed entries and the names of machines that are gone."""
        if form is api.ListForm.FAILED:
            self._host.feed(api.MachineList(form, ()))
            return
        if form is not api.ListForm.SAVED:
            self.ready = True
        now = self._context.hub.now_us()
        for entry in entries:
            self._restart_guard.on_machine_listed(entry.name, entry.listed, now)
        # Every entry passes the guards here (rules 3 and 5).
        restricted = {entry.name: self._restrict(entry) for entry in entries}
        listed = [self.slow_start_guard(entry, restricted[entry.name]) for entry in entries]
        for name in gone:
            last_entry = self._on_gone(name)
            if form is api.ListForm.CHANGES and last_entry is not None:
                listed.append(last_entry)
        new_links: list[MachineLink] = []
        for entry in entries:
            link = self._link(entry, new_links)
            link.phase = restricted[entry.name].phase
            link.launched_us = restricted[entry.name].launched_us
            self.on_machine_listed(entry.name)
            self._objects.publish_node_if_changed(entry, self.is_drained(entry.name))
        self._host.feed(api.MachineList(form, tuple(listed)))
        self._restart_guard.list_received |= form is api.ListForm.FULL
        for link in new_links:
            self._pod_observer.watch(link)
        for name in gone:
            self._retire(name)
        self.on_delivery_applied()

    def reapply(self, entries: Iterable[NodeEntry]) -> None:
        """Pass entries through the guards again; their free capacity is not current and counts as unknown."""
        self.apply(api.ListForm.CHANGES, [without_free_capacity(entry) for entry in entries], [])

    def reapply_named(self, names: Container[str]) -> None:
        """As `reapply`, for the machines of these names that are held."""
        self.reapply([entry for name, entry in self.held.items() if name in names])

    def _restrict(self, entry: NodeEntry) -> api.ListedMachine:
        listed = entry.listed
        for guard in self.guards:
            listed = guard(entry, listed)
        if listed.phase is api.Phase.RUNNING and self._restart_guard.is_closed(entry.listed):
            # Danger (rule 5): tasks of the earlier incarnation that are not known yet would not be counted.
            listed = replace(listed, phase=api.Phase.DRAINING)
        return listed

    def _on_gone(self, name: str) -> api.ListedMachine | None:
        self.on_gone(name)
        return self._remove_node(name)

    def _remove_node(self, name: str) -> api.ListedMachine | None:
        """Withdraw a machine's Node and mark its link as gone. Its last entry for the module; None without a link."""
        link = self._machines.links.get(name)
        stored = self._objects.withdraw_node(name)
        if link is None:
            return None
        link.phase = api.Phase.GONE
        if stored is None:
            return api.ListedMachine(
                link.ident, "", 0, "", api.Phase.GONE, link.launched_us, 0.0, 0.0
            )
        entry = read_node(stored.value, self._context.shift_us).listed
        return replace(entry, phase=api.Phase.GONE, launched_us=link.launched_us)

    def release(self, name: str) -> None:
        """Release a machine that stays on the list: no task of this placer is there, and none will be sent.

        The module and clients see it as gone; peers and the callbacks for the list are not notified.
        """
        self.reflector.drop(name)
        entry = self._remove_node(name)
        link = self._machines.links.get(name)
        if link is not None:
            link.disconnect()
            self._machines.remove(link)
        if entry is not None:
            self._host.feed(api.MachineList(api.ListForm.CHANGES, (entry,)))

    # -- after a restart

    def is_closed_by_restart(self, entry: NodeEntry) -> bool:
        """Whether a machine is closed only because this placer has restarted."""
        return self._restart_guard.is_closed(entry.listed)

    def is_closed_locally(self, entry: NodeEntry) -> bool:
        """Whether a machine is closed to this placer alone, so that peers must not take it for draining."""
        return self.is_closed_by_restart(entry) or any(
            closed(entry.name) for closed in self.closed_locally
        )

    def is_off_list(self, name: str) -> bool:
        """Whether a machine that is not held is absent from the list, and not merely outside the subset."""
        return self.ready and self.reflector.is_wanted(name)

    @property
    def reopening(self) -> bool:
        """Whether machines that were opened are still to be passed to the module."""
        return self._reopening

    def run_restart_timeouts(self) -> None:
        """Expire the wait for machines that cannot be reached after a restart; returns once none is waited for."""
        while not self._restart_guard.is_over:
            if self._restart_guard.expire(self._context.hub.now_us()):
                self._reopen()
            if not self._restart_guard.is_over:
                self._context.hub.sleep(REOPEN_DELAY_US)

    def _on_pods_listed(self, name: str) -> None:
        """Open a machine that has listed its pods of this placer."""
        if self._restart_guard.on_pods_listed(name):
            self._reopen()

    def _reopen(self) -> None:
        """Pass opened machines to the module, after a delay that collects those that open at about the same time."""
        if self._reopening:
            return
        self._reopening = True

        def on_due() -> None:
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

        self._context.hub.call_at(self._context.hub.now_us() + REOPEN_DELAY_US, on_due)

    def has_complete_view(self, machines: int) -> bool:
        """Whether the list names at least `machines` machines and each of them has listed its pods."""
        return (
            len(self.held) + self.reflector.left_out >= machines
            and self._restart_guard.pending_count == 0
            and all(link.reachable for link in self._machines.links.values())
        )

    # -- connections

    def _link(self, entry: NodeEntry, new_links: list[MachineLink]) -> MachineLink:
        link = self._machines.links.get(entry.name)
        offered_us = None
        if link is not None and (link.host, link.port) != (entry.host, entry.port):
            # The machine has another address: close the connections to the former one.
            link.retired = True
            link.close()
            offered_us = link.last_offer_us
            link = None
        if link is None:
            settings = self._context.settings
            link = MachineLink(
                self._context.hub,
                entry.name,
                entry.host,
                entry.port,
                settings.name,
                settings.limits.per_machine,
                random.Random(self._context.random.random()),
            )
            link.last_offer_us = offered_us
            self._machines.add(link)
            new_links.append(link)
        return link

    def _retire(self, name: str) -> None:
        """Declare the tasks of a machine that left the list lost, once it is unreachable or after 10 minutes."""
        link = self._machines.links.get(name)
        if link is None:
            return

        def wait() -> None:
            for _ in range(600):
                if link.phase is not api.Phase.GONE:
                    return
                if not self._attempts.on(link) or not link.reachable:
                    break
                self._context.hub.sleep(1_000_000)
            if link.phase is not api.Phase.GONE:
                return
            for attempt in self._attempts.on(link):
                self._runs.on_lost(attempt, "its machine is gone")
            if not self._attempts.on(link):
                link.retired = True
                link.close()
                self._machines.remove(link)

        self._context.spawn(wait, "retire")

    def size_of(self, entry: NodeEntry | None) -> tuple[float, float]:
        """Cores and memory of a machine by its kind; (1.0, 1.0) if the kind is unknown."""
        return self._context.sizes.get(entry.listed.kind if entry else "", (1.0, 1.0))

    def probe(self, machine: int) -> None:
        """Request a machine's load report; dropped, and counted, while MAX_OPEN_PROBES are open."""
        link = self._machines.by_ident(machine)
        if link is None or self._open_probes >= MAX_OPEN_PROBES:
            self._context.counts["probes_dropped"] += 1
            return
        size = self.size_of(self.held.get(link.name))
        self._context.counts["probes"] += 1
        self._open_probes += 1

        def probe() -> None:
            try:
                report = link.probe(size)
            finally:
                self._open_probes -= 1
            if report is not None:
                self.on_contact(link.name)
            outcome = api.Outcome.DONE if report else api.Outcome.TIMED_OUT
            self._host.feed(api.Probed(machine, outcome, report))

        self._context.spawn(probe, "probe")


def without_free_capacity(entry: NodeEntry) -> NodeEntry:
    """The entry with unknown free capacity, because the age of its figures is unknown."""
    return replace(entry, listed=replace(entry.listed, free_cores=math.nan, free_memory=math.nan))


def saved_entries(values: list[dict[str, Any]], wall_to_mono_us: int) -> list[NodeEntry]:
    """A saved list's entries; ValueError names the field that cannot be read."""
    return [without_free_capacity(read_node(value, wall_to_mono_us)) for value in values]
