"""Injection of faults into links, processes, machines and regions. One method per kind of fault."""

from __future__ import annotations

import signal
from collections import Counter

from wingbarrow.lab.fleet.commands import Commands
from wingbarrow.lab.fleet.maintenance_operator import MaintenanceOperator
from wingbarrow.lab.fleet.places import Places
from wingbarrow.lab.fleet.process import SECOND
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.transport import Nursery


class FaultInjector:
    """Injects faults of a script and records when each began and ended."""

    def __init__(self, places: Places, commands: Commands) -> None:
        self._places, self._commands, self._hub = places, commands, places.hub
        self._operator = MaintenanceOperator(places, commands)
        # Faults now active, by sender, receiver and the link property that they change.
        self._active: Counter[tuple[str, str, str]] = Counter()

    def inject(self, fault: Fault) -> None:
        """Injects one fault now. Returns once the fault has ended."""
        fields = {
            "kind": fault.kind,
            "who": fault.who,
            "other": fault.other,
            "amount": fault.amount,
            "both": fault.both,
        }
        self._places.event("fault", **fields)
        getattr(self, "_" + fault.kind.replace("-", "_"))(fault)
        self._places.event("healed", **fields)

    # -- links

    def _impair_links(
        self,
        fault: Fault,
        pairs: list[tuple[str, str]],
        on: dict[str, object],
        off: dict[str, object],
    ) -> None:
        """Sets link properties `on` for the fault's duration, then sets `off`.

        Where faults of one kind overlap on a link, `off` is set when the last of them ends.
        """
        network, kind = self._places.network, next(iter(on))
        for sender, receiver in pairs:
            self._active[sender, receiver, kind] += 1
            network.set(sender, receiver, **on)
        self._hub.sleep(fault.lasts_us)
        for sender, receiver in pairs:
            self._active[sender, receiver, kind] -= 1
            if not self._active[sender, receiver, kind]:
                network.set(sender, receiver, **off)

    def _pairs(self, fault: Fault) -> list[tuple[str, str]]:
        forward = [(fault.who, fault.other)]
        return [*forward, (fault.other, fault.who)] if fault.both else forward

    def _cut(self, fault: Fault) -> None:
        self._impair_links(fault, self._pairs(fault), {"cut": True}, {"cut": False})

    def _late(self, fault: Fault) -> None:
        self._impair_links(
            fault, self._pairs(fault), {"delay_us": int(fault.amount)}, {"delay_us": 0}
        )

    def _slow(self, fault: Fault) -> None:
        self._impair_links(
            fault, self._pairs(fault), {"bytes_per_s": int(fault.amount)}, {"bytes_per_s": 0}
        )

    def _lossy(self, fault: Fault) -> None:
        self._impair_links(
            fault, self._pairs(fault), {"reset_share": fault.amount}, {"reset_share": 0.0}
        )

    def _twice(self, fault: Fault) -> None:
        self._impair_links(
            fault, self._pairs(fault), {"duplicate_share": fault.amount}, {"duplicate_share": 0.0}
        )

    def _reset(self, fault: Fault) -> None:
        end = self._hub.now_us() + fault.lasts_us
        while True:
            self._places.network.reset(fault.who, fault.other)
            if self._hub.now_us() >= end:
                return
            self._hub.sleep(SECOND // 5)

    def _isolate(self, fault: Fault) -> None:
        others = [name for name in self._places.names if name != fault.who]
        pairs = [(fault.who, other) for other in others] + [(other, fault.who) for other in others]
        self._impair_links(fault, pairs, {"cut": True}, {"cut": False})

    def _deafen(self, fault: Fault) -> None:
        """Cuts all links towards one placer: it can send but not receive."""
        self._impair_links(
            fault,
            [(other, fault.who) for other in self._places.names if other != fault.who],
            {"cut": True},
            {"cut": False},
        )

    # -- processes and machines

    def _stop(self, fault: Fault) -> None:
        slot = self._places.slot(fault.who)
        process = slot.process
        if process is None or slot.starting:
            return
        self._places.record(slot.name, "hold", for_us=fault.lasts_us)
        slot.stopped = True
        process.send(signal.SIGSTOP)
        self._places.event("stopped", who=slot.name)
        self._hub.sleep(fault.lasts_us)
        process.send(signal.SIGCONT)
        slot.stopped = False
        self._places.event("continued", who=slot.name)

    def _kill(self, fault: Fault) -> None:
        slot = self._places.slot(fault.who)
        if slot.process is None or slot.starting:
            return  # on a busy machine a start may take until the next fault
        self._places.kill(slot)
        if not fault.state:
            self._places.delete_state(slot)
        self._hub.sleep(fault.lasts_us)
        self._places.start(slot)

    # -- regions

    def _region_pairs(self, fault: Fault) -> list[tuple[str, str]]:
        """Links from the fault's region to its other region (or to all others); both directions if `fault.both`."""
        regions = self._places.layout.places
        others = (
            [fault.other] if fault.other else [region for region in regions if region != fault.who]
        )
        pairs = [(a, b) for a in regions[fault.who] for region in others for b in regions[region]]
        return pairs + [(b, a) for a, b in pairs] * fault.both

    def _cut_region(self, fault: Fault) -> None:
        self._impair_links(fault, self._region_pairs(fault), {"cut": True}, {"cut": False})

    def _slow_region(self, fault: Fault) -> None:
        self._impair_links(
            fault, self._region_pairs(fault), {"delay_us": int(fault.amount)}, {"delay_us": 0}
        )

    def _kill_region(self, fault: Fault) -> None:
        """Kills all placers of a region at once, and its list source and machines if the fault has `machines` set."""
        places = self._places
        slots = [places.slot(name) for name in places.layout.places[fault.who]]
        slots = [slot for slot in slots if slot.process is not None and not slot.starting]
        for slot in slots:
            places.send_kill(slot)
        with Nursery(self._hub) as nursery:
            for slot in slots:
                nursery.spawn(lambda slot=slot: places.reap(slot), "reap")  # type: ignore[misc]
            if fault.machines and fault.who in places.clusters:
                nursery.spawn(lambda: places.clusters[fault.who].dark(fault.lasts_us), "region")
            self._hub.sleep(fault.lasts_us)
        with Nursery(self._hub) as nursery:
            for slot in slots:
                if not fault.state:
                    places.delete_state(slot)
                nursery.spawn(lambda slot=slot: places.start(slot), "starts")  # type: ignore[misc]

    def _faulty(self, fault: Fault) -> None:
        """Makes one machine, given by its number in `amount`, fail every start of a task."""
        machines = self._places.machines
        machine = machines[int(fault.amount) % len(machines)]
        machine.faulty = True
        self._hub.sleep(fault.lasts_us)
        machine.faulty = False

    # -- operator commands

    def _propose(self, fault: Fault) -> None:
        """Asks a placer to change the rules. It reaches the leader in the end, as an operator's command does."""
        self._commands.propose(int(fault.amount), self._places.slot(fault.who))

    def _drain(self, fault: Fault) -> None:
        self._commands.drain(fault)

    def _work(self, fault: Fault) -> None:
        self._operator.work(fault)
