"""A whole cluster on loopback in one process: list source, machines, placers; each in a domain of its own."""

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
from wingbarrow.lab.ports import PortHold
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
    """The default settings of the laboratory's placers."""
    return SETTINGS.format(
        index=index,
        of=of,
        seed=seed,
        source=source,
        port=port,
        state=f'state "{state}"' if state else "",
    )


def place(index: int, count: int) -> tuple[str, str]:
    """Hall and rack of a machine: two halls, racks of three."""
    hall = "hall-a" if index < (count + 1) // 2 else "hall-b"
    return hall, f"rack-{index // 3}"


class PlacerSlot:
    """One placer's place: it can be started, held, killed and started again on the same port."""

    def __init__(self, cluster: Cluster, index: int, of: int, seed: int, state: str) -> None:
        self.cluster, self.index, self.of, self.seed, self.state = cluster, index, of, seed, state
        self.name = f"placer-{index}"
        self.hold_port = PortHold()
        self.port = self.hold_port.port
        self.source_port = 0  # another way to the list source, where set
        self.extra = ""  # more settings, in KDL
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
        """End the placer at once, as a killed process."""
        self.cluster.record(self.name, "killed")
        self.domain.kill()
        self.service = None

    def hold(self, for_us: int) -> None:
        """Stop the placer for a while, as a process that gets no processor."""
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
        self._named = f"node-{region[0]}-" if region else "node-"
        self.source = ListSource(hub, seed + 1, self.record, self._say)
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory(prefix="wingbarrow-lab-")
        self._dirty: dict[str, Machine] = {}
        self._gone: set[str] = set()
        self._made = 0
        for index in range(machines):
            hall, rack = place(index, machines)
            build = builds(index) if builds else (LARGE if index % 4 == 3 else SMALL)
            self._add(replace(build, zone=f"{region}-{hall}" if region else hall, cell=rack))
        self.placers = [
            PlacerSlot(
                self, index, placers, seed + index, str(Path(self._folder.name) / f"p{index}")
            )
            for index in range(placers)
        ]

    def _say(self, text: str) -> None:
        self.log("stand-in", text=text)

    def _add(self, build: Build) -> Machine:
        machine = Machine(
            self.hub,
            f"{self._named}{self._made}",
            build,
            self.seed * 1000 + self._made,
            self.record,
            self._say,
        )
        machine.changed = self._changed
        self._made += 1
        self.machines.append(machine)
        return machine

    def _changed(self, machine: Machine) -> None:
        self._dirty[machine.name] = machine

    def start(self) -> None:
        """Bring everything up."""
        for machine in self.machines:
            machine.launch(cold=False)
        self.source.start()
        for machine in self.machines:
            self.source.show(machine.name, node_value(machine))
        self.hub.spawn(self._tell_room, "tells room")
        for slot in self.placers:
            slot.start()

    def _tell_room(self) -> None:
        while True:
            self.hub.sleep(SECOND)
            dirty, self._dirty = self._dirty, {}
            for machine in dirty.values():
                if machine.up and machine.name not in self._gone:
                    self.source.show(machine.name, node_value(machine))

    def ready(self) -> bool:
        """Whether every placer has the whole list, and every machine has taken its watch."""
        machines = len(self.machines)
        return all(
            slot.service is not None and slot.service.placer.has_complete_view(machines)
            for slot in self.placers
        )

    def addresses(self) -> list[PlacerAddress]:
        """Where the placers listen."""
        return [PlacerAddress(slot.name, slot.port) for slot in self.placers]

    def hold_subsets(
        self,
        replicas: int,
        leave_after: str = "2s",
        settle: str = "500ms",
        port: Callable[[PlacerSlot, PlacerSlot], int] = lambda slot, other: other.port,
        widen: int = 0,
    ) -> None:
        """Have each placer hold a subset of the machines from its next start on; `port`: where one finds another."""
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
        """Do something at a time from now, in a task of its own."""
        at_us = self.hub.now_us() + int(seconds * SECOND)

        def due() -> None:
            self.hub.spawn(call, "trouble")

        self.hub._at(at_us, due, None)

    def dark(self, for_us: int) -> None:
        """List source and machines go down at once, and come back, the machines cold."""
        self.source.set_down(True)
        fell = [machine for machine in self.machines if machine.up]
        for machine in fell:
            machine.die()
        self.hub.sleep(for_us)
        self.source.set_down(False)
        for machine in fell:
            machine.launch(cold=True)
            self.source.show(machine.name, node_value(machine))

    def drain(self, machine: Machine, then_gone_s: float | None = 6.0) -> None:
        """The list says that a machine drains, it sends its tasks away, and goes."""
        if machine.name in self._gone:
            return
        machine.begin_drain()
        self.source.show(machine.name, node_value(machine))
        if then_gone_s is not None:
            self.hub.sleep(int(then_gone_s * SECOND))
            machine.die()
            self._gone.add(machine.name)
            self.source.show(machine.name, None)

    def set_drain(self, machine: Machine, on: bool) -> None:
        """The list says that a machine drains, or takes it back; its tasks stay."""
        if not machine.up or machine.name in self._gone:
            return
        machine.draining = on
        self.source.show(machine.name, node_value(machine))

    def hold_source(self, for_us: int) -> None:
        """The list source stands still and goes on."""
        self.record("list-source", "hold", for_us=for_us)
        self.source.domain.hold(for_us)

    def crash(self, machine: Machine, back_s: float | None) -> None:
        """A machine that is up dies at once; it comes back cold after a while, or never."""
        if not machine.up:
            return
        machine.die()
        if back_s is None:
            self._gone.add(machine.name)
            self.hub.sleep(4 * SECOND)
            self.source.show(machine.name, None)
            return
        self.hub.sleep(int(back_s * SECOND))
        if not machine.crashed_by_load and not machine.up and machine.name not in self._gone:
            machine.launch(cold=True)
            self.source.show(machine.name, node_value(machine))

    def replace(self, machine: Machine) -> None:
        """A deploy's step: a cold successor comes up, the old one drains and goes."""
        fresh = self._add(machine.build)
        fresh.launch(cold=True)
        self.source.show(fresh.name, node_value(fresh))
        self.drain(machine, 4.0)

    def hold_machine(self, machine: Machine, for_s: float) -> None:
        """A machine stands still and goes on."""
        if not machine.up:
            return
        self.record(machine.name, "hold", for_us=int(for_s * SECOND))
        machine.domain.hold(int(for_s * SECOND))

    def restart_placer(self, slot: PlacerSlot, after_s: float) -> None:
        """Kill a placer; it is back after a while with nothing but its saved list."""
        if slot.service is None:
            return  # it is down already
        slot.kill()
        self.hub.sleep(int(after_s * SECOND))
        slot.start()

    def live(self) -> list[Machine]:
        """Machines that are up and do not drain."""
        return [machine for machine in self.machines if machine.up and not machine.draining]

    def close(self) -> None:
        """Let go of the temporary folder and the ports."""
        self._folder.cleanup()
        self.source.hold.close()
        for machine in self.machines:
            machine.hold.close()
        for slot in self.placers:
            slot.hold_port.close()
