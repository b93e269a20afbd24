"""The rig of many processes: real `serve` processes, stand-ins in this one, and faulty links between each two placers.

One play: everything comes up, owners submit their load while faults happen, all heals, and what was recorded is
written (`places`), for the judge to read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from wingbarrow.decide.membership.swim import SwimSettings
from wingbarrow.lab.fleet.commands import Commands
from wingbarrow.lab.fleet.fault_injection import FaultInjector
from wingbarrow.lab.fleet.layout import Size
from wingbarrow.lab.fleet.places import START_US, Places
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.load import Owners, PlacerAddress
from wingbarrow.lab.workload import Mix, TaskSpec, draw
from wingbarrow.transport import Hub, Nursery

__all__ = ["Rig", "Size"]

TAIL_US = 12 * SECOND  # of load after the last fault, for what was owed to be answered


class Rig:
    """One play; `run` returns when it is over and everything is written."""

    def __init__(
        self, hub: Hub, size: Size, faults: list[Fault], folder: Path, log: Callable[..., None]
    ) -> None:
        self._hub, self._faults = hub, faults
        self.places = Places(hub, size, folder, log)
        self.commands = Commands(self.places)
        self._fault_injector = FaultInjector(self.places, self.commands)
        self.progress: Callable[[str], None] = lambda text: None

    def run(self) -> None:
        """Play."""
        places, commands = self.places, self.commands
        places.open(self._faults)
        try:
            places.start_all()
            self.progress("all processes listen")
            commands.wait_until(commands.all_listed, START_US, "every placer has the whole list")
            commands.wait_until(commands.all_alive, START_US, "every placer knows all others")
            commands.wait_until(commands.all_agree, START_US, "every placer acts on agreed rules")
            self.progress("all placers have their list, know each other and act on agreed rules")
            self._play()
        finally:
            places.close()

    def _play(self) -> None:
        hub, places, commands, size = self._hub, self.places, self.commands, self.places.size
        places.event("begin")
        begun = hub.now_us()
        hub.spawn(places.watch_starvation, "watches processes")
        until = begun + int(size.seconds * SECOND) + 60 * SECOND
        with Nursery(hub) as nursery:
            for fault in self._faults:
                nursery.spawn(lambda fault=fault: self._inject(fault, begun), "fault")  # type: ignore[misc]
            for owners, wants in self._owners():
                nursery.spawn(
                    lambda owners=owners, wants=wants: owners.run(wants, until),  # type: ignore[misc]
                    "owners",
                )
        hub.sleep_until(begun + int(size.seconds * SECOND))
        places.event("quiet")
        hub.sleep(SECOND)
        commands.propose_last()
        self.progress("the last fault is over")
        hub.sleep(TAIL_US // 4)
        # The judge holds the fleet to its stated time: the rig waits that long at most, and less where all is well.
        end = hub.now_us() + SwimSettings().healing_bound_us(len(places.names))
        while not (commands.all_alive() and commands.all_agree()) and hub.now_us() < end:
            hub.sleep(SECOND // 5)
        hub.sleep(SECOND)
        places.event("over", lag_worst_us=hub.lag.worst_us)

    def _owners(self) -> list[tuple[Owners, list[TaskSpec]]]:
        """Those of each region ask its own placers; without regions all ask all."""
        places, size, out = self.places, self.places.size, []
        for at, (region, names) in enumerate(places.layout.regions.items() or [("", places.names)]):
            addresses = [PlacerAddress(name, places.slot(name).front.port) for name in names]
            mix = Mix(rate=size.rate)
            if region:
                mix = replace(mix, rate=size.rate / size.regions, life_s=(5.0, 25.0))
            if places.layout.specs():
                mix = replace(
                    mix,
                    settlement=0.08,
                    classes=(("tracked", 0.35), ("parcel", 0.12)),
                    federation=("homebound", 0.1),
                )
            out.append(
                (
                    Owners(self._hub, addresses, size.seed + 77 + 31 * at, places.record),
                    draw(mix, size.seconds, size.seed + 5 + 31 * at, region[:1] or "w"),
                )
            )
        return out

    def _inject(self, fault: Fault, begun: int) -> None:
        self._hub.sleep_until(begun + fault.at_us)
        self.progress(f"{fault.kind} {fault.who} {fault.other} for {fault.lasts_us / SECOND:.1f} s")
        self._fault_injector.inject(fault)
