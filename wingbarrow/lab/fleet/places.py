"""Processes of a fleet run: one for each placer, the links between them, the simulated clusters, and the records.

A run leaves a directory: `fleet.json` (the run's parameters), `events.jsonl` (faults and changes of processes, with
their times), `recording.jsonl` (the traffic of the simulated clusters), `placer-N.history.jsonl` (each process's own
record, by the same clock), settings and logs. `judge` reads these files and nothing else.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from wingbarrow.lab.cluster import Cluster, settings_text
from wingbarrow.lab.fleet.layout import FAR_US, WITNESS, Layout, Size
from wingbarrow.lab.fleet.link import Network, Proxy
from wingbarrow.lab.fleet.process import SECOND, Process
from wingbarrow.lab.fleet.script import Fault
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.record import Recorder
from wingbarrow.store.voter_store import create
from wingbarrow.transport import Hub, Nursery

START_US = 60 * SECOND
SEED_COUNT = 3  # placers that all others name as seed peers
TERMINATION_TIMEOUT_US = 20 * SECOND
STARVATION_INTERVAL_US = SECOND // 2  # between two checks of the time that processes wait for a CPU
STARVATION_SHARE = 0.2  # of the interval; a process that waits longer is recorded as starved


class Slot:
    """Slot of one placer: its process, if it runs, and the link through which owners reach it."""

    def __init__(self, name: str, index: int, front: Proxy) -> None:
        self.name, self.index, self.front = name, index, front
        self.process: Process | None = None
        self.incarnation = 0
        self.stopped = self.starting = False


class Places:
    """Processes, links and clusters of one run. Started and ended once."""

    def __init__(self, hub: Hub, size: Size, folder: Path, log: Callable[..., None]) -> None:
        self.hub, self.size, self.folder, self._log = hub, size, folder, log
        folder.mkdir(parents=True, exist_ok=True)
        self.layout = Layout(size)
        self.names, self.voters = self.layout.all, self.layout.voters
        self.record = Recorder(hub.now_us)
        self._events = (folder / "events.jsonl").open("w", encoding="utf-8")

    def event(self, what: str, **fields: Any) -> None:
        """Records an event of the rig with the current time."""
        self._events.write(json.dumps({"at_us": self.hub.now_us(), "what": what, **fields}) + "\n")
        self._events.flush()

    def open(self, faults: list[Fault]) -> None:
        """Creates simulated clusters and links and writes the run's parameters; starts no process."""
        hub, layout, seed = self.hub, self.layout, self.size.seed
        self.clusters = {
            region: Cluster(
                hub, count, 0, seed + 1009 * at, self._log, region=region, record=self.record
            )
            for at, (region, count) in enumerate(layout.machines().items())
        }
        self.network = Network(hub, self.names, seed)
        for (one, other), link in self.network.links.items():
            link.base_delay_us = FAR_US if layout.far(one, other) else 0
        self.slots = [
            Slot(name, index, Proxy(hub, 1, seed=index)) for index, name in enumerate(self.names)
        ]
        (self.folder / "fleet.json").write_text(
            json.dumps(
                {
                    "size": asdict(self.size),
                    "names": self.names,
                    "voters": self.voters,
                    "regions": layout.places,
                    "machines": {
                        machine.name: [region, machine.build.zone, machine.build.cell]
                        for region, cluster in self.clusters.items()
                        for machine in cluster.machines
                    },
                    "specs": layout.specs(),
                    "class_specs": layout.class_specs(),
                    "faults": [asdict(fault) for fault in faults],
                },
                indent=1,
            )
        )

    @property
    def machines(self) -> list[Machine]:
        """All machines, in order of regions."""
        return [machine for cluster in self.clusters.values() for machine in cluster.machines]

    def cluster(self, name: str) -> Cluster | None:
        """List source and machines of a placer's region; None if it has none."""
        return self.clusters.get(self.layout.region(name))

    def start_all(self) -> None:
        """Starts clusters and placers. Returns once all processes listen."""
        for cluster in self.clusters.values():
            cluster.start()
        for name in self.voters:
            create(self.folder / f"{name}.state" / "rules", tuple(self.voters))
        with Nursery(self.hub) as nursery:
            for slot in self.slots:
                nursery.spawn(lambda slot=slot: self.start(slot), "starts")  # type: ignore[misc]

    def slot(self, name: str) -> Slot:
        """Slot of a placer."""
        return self.slots[self.names.index(name)]

    @property
    def placers(self) -> list[Slot]:
        """Slots of placers with machines, to which owners send requests."""
        return [slot for slot in self.slots if slot.name != WITNESS]

    def running(self) -> list[Slot]:
        """Slots whose process runs and is not stopped."""
        return [slot for slot in self.slots if slot.process is not None and not slot.stopped]

    def start(self, slot: Slot) -> None:
        """Starts a placer's process. Returns once it listens."""
        path = self.folder / f"{slot.name}.kdl"
        path.write_text(self.settings(slot))
        slot.incarnation += 1
        self.event("starting", who=slot.name, life=slot.incarnation)
        log, checkout = self.folder / f"{slot.name}.log", self.size.checkout(slot.index)
        process = Process(self.hub, ["serve", str(path)], log, checkout)
        slot.process, slot.starting = process, True
        port = int(process.line("placer", START_US)["url"].rpartition(":")[2])
        slot.starting = False
        slot.front.to = port
        self.network.set_port(slot.name, port)
        self.event("started", who=slot.name, life=slot.incarnation, pid=process.pid)

    def kill(self, slot: Slot) -> None:
        """Kills a placer's process and waits for its end."""
        self.send_kill(slot)
        self.reap(slot)

    def send_kill(self, slot: Slot) -> None:
        """Sends SIGKILL to a placer's process and records it, without waiting for the end."""
        assert slot.process is not None
        slot.process.send(signal.SIGKILL)
        self.record(slot.name, "killed")
        self.event("killed", who=slot.name, life=slot.incarnation)

    def reap(self, slot: Slot) -> None:
        """Waits for the end of a killed process and disconnects its links."""
        process, slot.process = slot.process, None
        assert process is not None
        process.end(signal.SIGKILL)
        slot.front.to = 1
        self.network.set_port(slot.name, 1)

    def delete_state(self, slot: Slot) -> None:
        """Deletes a placer's saved state, except a voter's store, without which it is no voter (`raft.Raft.empty`)."""
        for file in (self.folder / f"{slot.name}.state").glob("*"):
            if file.is_file():
                file.unlink()

    def settings(self, slot: Slot) -> str:
        """Text of a placer's settings file."""
        seeds = [name for name in self.names[:SEED_COUNT] if name != slot.name]
        others = [name for name in self.names if name != slot.name]
        # All links are named as peers: a placer is reached through its link, whatever address it advertises.
        peers = "".join(
            f'peer "127.0.0.1" port={self.network.links[slot.name, name].port} name="{name}"'
            f"{'' if name in seeds else ' seed=false'}\n"
            for name in others
        )
        state = self.folder / f"{slot.name}.state"
        state.mkdir(exist_ok=True)
        region_peers, cluster = self.layout.mates(slot.name), self.cluster(slot.name)
        text = settings_text(
            region_peers.index(slot.name) if slot.name in region_peers else 0,
            len(region_peers),
            self.size.seed + slot.index,
            cluster.source.port if cluster else 1,
            0,
            str(state),
        )
        return (
            self.layout.text(slot.name, text)
            + f'allow-peer "127.0.0.0/8"\nhistory "{self.folder}/{slot.name}'
            f'.history.jsonl"\n{peers}{self.layout.subset(slot.name)}{self.layout.agree()}'
        )

    def watch_starvation(self) -> None:
        """Records, as long as the run lasts, when a process was ready to run but got no CPU time from the machine."""
        before: dict[int, int] = {}
        while True:
            self.hub.sleep(STARVATION_INTERVAL_US)
            for slot in self.running():
                assert slot.process is not None
                waited, pid = slot.process.waited_us(), slot.process.pid
                if waited - before.get(pid, waited) > STARVATION_INTERVAL_US * STARVATION_SHARE:
                    self.event("starved", who=slot.name, for_us=STARVATION_INTERVAL_US)
                before[pid] = waited

    def close(self) -> None:
        """Terminates all processes, waits for their end, and writes the recording."""
        for slot in self.slots:
            if slot.process is not None:
                self.event("ending", who=slot.name, use_s=slot.process.use_s())
        with Nursery(self.hub) as nursery:
            for slot in self.slots:
                if slot.process is not None:
                    nursery.spawn(
                        lambda slot=slot: self.event(  # type: ignore[misc]
                            "ended",
                            who=slot.name,
                            status=slot.process.end(signal.SIGTERM, TERMINATION_TIMEOUT_US),
                        ),
                        "ends",
                    )
        self.record.write(self.folder / "recording.jsonl")
        self._events.close()
        self.network.close()
        for slot in self.slots:
            slot.front.close()
        for cluster in self.clusters.values():
            cluster.close()
