"""A whole cluster on loopback in one process: list source, machines and placers, each in its own domain."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from wingbarrow.config import PlacerSettings, load_text
from wingbarrow.fronts.serve import Service
from wingbarrow.lab.build import Build
from wingbarrow.lab.load import PlacerAddress
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.node import node_value
from wingbarrow.lab.ports import PortReservation
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.source import ListSource
from wingbarrow.transport import Domain, Hub, Signal

SECOND = 1_000_000

SETTINGS = """\
placer "placer-{index}" index={index} of={of} seed={seed}
listen "127.0.0.1" port={port}
list-source "127.0.0.1" port={source}
{state}
class "web" effect="safe" patience="5s" worth=1.0 priority=0 {{
    spread by="cell" most=3
    served calm=0.8 fade=0.2
}}
class "settlement" effect="unsafe" patience="10s" worth=3.0 priority=1 {{
    served calm=0.8 fade=0.15
}}
kind "small" cores=24 memory="48Gi"
kind "large" cores=48 memory="96Gi"
booking cores=1.5 memory=1.0
attempts most=4
cold lasts="18s" offers=20 window="2s"
drain grace="250ms"
tick "20ms"
"""

SMALL, LARGE = Build(), Build(kind="large", cores=48.0, memory=96.0, slots=6)


def settings_text(
    index: int, of: int, seed: int, source: int, port: int = 0, state: str = ""
) -> str:
    """The default settings (KDL) of one of `of` placers; `source` and `port` are ports on 127.0.0.1."""
    return SETTINGS.format(
        index=index,
        of=of,
        seed=seed,
        source=source,
        port=port,
        state=f'state "{state}"' if state else "",
    )


def zone_and_cell(index: int, count: int) -> tuple[str, str]:
    """Zone (one of two halls) and cell (racks of three machines) of a machine."""
    zone = "hall-a" if index < (count + 1) // 2 else "hall-b"
    return zone, f"rack-{index // 3}"


class PlacerSlot:
    """A placer that can be started, held, killed and started again on the same port."""

    def __init__(self, cluster: Cluster, index: int, of: int, seed: int, state: str) -> None:
        self.cluster, self.index, self.of, self.seed, self.state = cluster, index, of, seed, state
        self.name = f"placer-{index}"
        self.port_reservation = PortReservation()
        self.port = self.port_reservation.port
        self.source_port = 0  # port of a proxy to the list source; 0 for a direct connection
        self.extra = ""  # further settings, in KDL
        self.region = ""
        self.domain = Domain(cluster.hub, self.name)
        self.service: Service | None = None
        self.settings: PlacerSettings = self._settings()

    def _settings(self) -> PlacerSettings:
        source = self.source_port or self.cluster.source.port or 1
        text = settings_text(self.index, self.of, self.seed, source, self.port, self.state)
        if self.region:
            text = text.replace(" index=", f' region="{self.region}" index=', 1)
        return load_text(text + self.extra)

    def start(self) -> None:
        """Start the placer; returns when its front listens."""
        hub = self.cluster.hub
        self.settings = self._settings()
        ready = Signal(hub)

        def begin() -> None:
            service = Service(hub, self.settings, self.cluster.log)
            self.service, self.port = service, service.rest.port
            ready.notify()
            service.run()

        self.domain = Domain(hub, self.name)
        hub.spawn(begin, self.name, self.domain)
        ready.wait()

    def kill(self) -> None:
        """Stop the placer abruptly, like a killed process."""
        self.cluster.record(self.name, "killed")
        self.domain.kill()
        self.service = None

    def hold(self, for_us: int) -> None:
        """Suspend the placer for `for_us`, like a process that gets no CPU time."""
        self.cluster.record(self.name, "hold", for_us=for_us)
        self.domain.hold(for_us)


class Cluster:
    """Machines, list source and placers of one day, or of one region of a fleet that shares a recording."""

    def __init__(
        self,
        hub: Hub,
        machines: int,
        placers: int,
        seed: int,
        log: Callable[..., None],
        builds: Callable[[int], Build] | None = None,
        region: str = "",
        record: Recorder | None = None,
    ) -> None:
        self.hub, self.log, self.seed = hub, log, seed
        self.random = random.Random(seed)
        self.record = record or Recorder(hub.now_us)
        self._name_prefix = f"node-{region[0]}-" if region else "node-"
        self.source = ListSource(hub, seed + 1, self.record, self._log_text)
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory(prefix="wingbarrow-lab-")
        self._changed_machines: dict[str, Machine] = {}
        self._removed: set[str] = set()
        self._created = 0
        for index in range(machines):
            zone, rack = zone_and_cell(index, machines)
            build = builds(index) if builds else (LARGE if index % 4 == 3 else SMALL)
            self._add(replace(build, zone=f"{region}-{zone}" if region else zone, cell=rack))
        self.placers = [
            PlacerSlot(
                self, index, placers, seed + index, str(Path(self._folder.name) / f"p{index}")
            )
            for index in range(placers)
        ]

    def _log_text(self, text: str) -> None:
        self.log("stand-in", text=text)

    def _add(self, build: Build) -> Machine:
        machine = Machine(
            self.hub,
            f"{self._name_prefix}{self._created}",
            build,
            self.seed * 1000 + self._created,
            self.record,
            self._log_text,
        )
        machine.changed = self._changed
        self._created += 1
        self.machines.append(machine)
        return machine

    def _changed(self, machine: Machine) -> None:
        self._changed_machines[machine.name] = machine

    def start(self) -> None:
        """Start the machines, the list source and the placers."""
        for machine in self.machines:
            machine.launch(cold=False)
        self.source.start()
        for machine in self.machines:
            self.source.show(machine.name, node_value(machine))
        self.hub.spawn(self._publish_nodes, "publishes nodes")
        for slot in self.placers:
            slot.start()

    def _publish_nodes(self) -> None:
        while True:
            self.hub.sleep(SECOND)
            changed, self._changed_machines = self._changed_machines, {}
            for machine in changed.values():
                if machine.up and machine.name not in self._removed:
                    self.source.show(machine.name, node_value(machine))

    def ready(self) -> bool:
        """Whether every placer has the complete list and a watch on every machine."""
        machines = len(self.machines)
        return all(
            slot.service is not None and slot.service.placer.has_complete_view(machines)
            for slot in self.placers
        )

    def addresses(self) -> list[PlacerAddress]:
        """Addresses of the placers."""
        return [PlacerAddress(slot.name, slot.port) for slot in self.placers]

    def hold_subsets(
        self,
        replicas: int,
        leave_after: str = "2s",
        settle: str = "500ms",
        port: Callable[[PlacerSlot, PlacerSlot], int] = lambda slot, other: other.port,
        widen: int = 0,
    ) -> None:
        """Have each placer hold a subset of the machines from its next start on.

        `port` returns the port at which the first slot reaches the second.
        """
        roster = " ".join(f'"{slot.name}"' for slot in self.placers)
        for slot in self.placers:
            peers = "".join(
                f'peer "127.0.0.1" port={port(slot, other)} name="{other.name}"\n'
                for other in self.placers
                if other is not slot
            )
            slot.extra += (
                f'\nallow-peer "127.0.0.0/8"\n{peers}subset replicas={replicas} widen={widen} {{\n'
                f'    roster {roster}\n    leave-after "{leave_after}"\n    settle "{settle}"\n}}\n'
            )

    # -- troubles

    def at(self, seconds: float, call: Callable[[], Any]) -> None:
        """Run `call` after `seconds`, in its own task."""
        at_us = self.hub.now_us() + int(seconds * SECOND)

        def due() -> None:
            self.hub.spawn(call, "trouble")

        self.hub._at(at_us, due, None)

    def dark(self, for_us: int) -> None:
        """Stop the list source and all machines for `for_us`; the machines come back cold."""
        self.source.set_down(True)
        stopped = [machine for machine in self.machines if machine.up]
        for machine in stopped:
            machine.die()
        self.hub.sleep(for_us)
        self.source.set_down(False)
        for machine in stopped:
            machine.launch(cold=True)
            self.source.show(machine.name, node_value(machine))

    def drain(self, machine: Machine, then_gone_s: float | None = 6.0) -> None:
        """Drain a machine: the list shows it, its tasks end, and after `then_gone_s` (None: never) it is removed."""
        if machine.name in self._removed:
            return
        machine.begin_drain()
        self.source.show(machine.name, node_value(machine))
        if then_gone_s is not None:
            self.hub.sleep(int(then_gone_s * SECOND))
            machine.die()
            self._removed.add(machine.name)
            self.source.show(machine.name, None)

    def set_drain(self, machine: Machine, on: bool) -> None:
        """Show a machine as draining in the list, or no longer; its tasks keep running."""
        if not machine.up or machine.name in self._removed:
            return
        machine.draining = on
        self.source.show(machine.name, node_value(machine))

    def hold_source(self, for_us: int) -> None:
        """Suspend the list source for `for_us`."""
        self.record("list-source", "hold", for_us=for_us)
        self.source.domain.hold(for_us)

    def crash(self, machine: Machine, back_s: float | None) -> None:
        """Kill a machine that is up; it comes back cold after `back_s` seconds, or never (None)."""
        if not machine.up:
            return
        machine.die()
        if back_s is None:
            self._removed.add(machine.name)
            self.hub.sleep(4 * SECOND)
            self.source.show(machine.name, None)
            return
        self.hub.sleep(int(back_s * SECOND))
        if not machine.crashed_by_load and not machine.up and machine.name not in self._removed:
            machine.launch(cold=True)
            self.source.show(machine.name, node_value(machine))

    def replace(self, machine: Machine) -> None:
        """One step of a rolling replacement: a cold successor starts, the old machine drains and is removed."""
        successor = self._add(machine.build)
        successor.launch(cold=True)
        self.source.show(successor.name, node_value(successor))
        self.drain(machine, 4.0)

    def hold_machine(self, machine: Machine, for_s: float) -> None:
        """Suspend a machine that is up for `for_s` seconds."""
        if not machine.up:
            return
        self.record(machine.name, "hold", for_us=int(for_s * SECOND))
        machine.domain.hold(int(for_s * SECOND))

    def restart_placer(self, slot: PlacerSlot, after_s: float) -> None:
        """Kill a placer and start it after `after_s` seconds with nothing but its saved list."""
        if slot.service is None:
            return  # already down
        slot.kill()
        self.hub.sleep(int(after_s * SECOND))
        slot.start()

    def live(self) -> list[Machine]:
        """Machines that are up and not draining."""
        return [machine for machine in self.machines if machine.up and not machine.draining]

    def close(self) -> None:
        """Delete the temporary folder and release the ports."""
        self._folder.cleanup()
        self.source.port_reservation.close()
        for machine in self.machines:
            machine.port_reservation.close()
        for slot in self.placers:
            slot.port_reservation.close()
