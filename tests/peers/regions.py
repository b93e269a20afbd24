"""Three regions of two placers and two machines each, on a virtual clock, with own list sources and links to cut."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.peers.stage import AgreementStage
from tests.stage import JOBS, S
from wingbarrow.kube import names
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.fleet.link import Network
from wingbarrow.lab.load import TaskSpec, job_value
from wingbarrow.lab.machine import Machine
from wingbarrow.lab.node import node_value
from wingbarrow.lab.source import ListSource
from wingbarrow.store.voter_store import create

NAMES = ("north", "south", "east")
SPECS = """
federation "quick" {
    allow "north" "south" "east"
    failover "lost" after="6s"
}
federation "home" {
    allow "south" "east"
    failover "lost" after="6s"
}
"""


class Regions(AgreementStage):
    """Placer `i` is in region `i % 3`, machine `j` in region `j % 3`; the first placer of each region is a voter."""

    lease_s = 3
    specs = SPECS

    def __init__(self, placers: int = 6, machines: int = 6) -> None:
        super().__init__(machines, placers)
        self.sources = [
            self.cluster.source,
            *(
                ListSource(self.hub, 7 + at, self.cluster.record, self.cluster._log_text)
                for at in (1, 2)
            ),
        ]
        self.network = Network(self.hub, [], 1)

    def machines_of(self, region: int) -> list[Machine]:
        return self.cluster.machines[region::3]

    def join(self) -> None:
        slots = self.cluster.placers
        for at, source in enumerate(self.sources):
            source.lag_us = 0
            if at:
                source.start()
        for at, machine in enumerate(self.cluster.machines):
            if at % 3:
                self.cluster.source.show(machine.name, None)
                self.sources[at % 3].show(machine.name, node_value(machine))
                machine.changed = lambda _: None
        self.network = Network(self.hub, [slot.name for slot in slots], 5)
        voters = [slot.name for slot in slots[:3]]
        agree = (
            f'agree grant="1s" lease="{self.lease_s}s" {{\n'
            + "".join(
                f'    {"voter" if slot.name in voters else "member"} "{slot.name}" region="{NAMES[slot.index % 3]}"\n'
                for slot in slots
            )
            + "}\n"
        )
        for slot in slots:
            slot.kill()
            self.network.set_port(slot.name, slot.port)
            slot.region, slot.source_port = NAMES[slot.index % 3], self.sources[slot.index % 3].port
            slot.extra = (
                '\nallow-peer "127.0.0.0/8"\n'
                + agree
                + self.specs
                + "".join(
                    f'peer "127.0.0.1" port={self.network.links[slot.name, each.name].port} name="{each.name}"\n'
                    for each in slots
                    if each is not slot
                )
            )
            if slot.name in voters:
                create(Path(slot.state) / "rules", tuple(voters))
        for slot in slots:
            slot.start()
        assert self.wait(
            lambda: self.all_on("e1") and all(self.may_send(slot) for slot in slots), 20
        )
        self.hub.sleep(S)

    def cut(self, region: int, on: bool = True) -> None:
        """Cut a region off from the others, or reconnect it."""
        for one in self.cluster.placers:
            for other in self.cluster.placers:
                if one is not other and (one.index % 3 == region) != (other.index % 3 == region):
                    self.network.set(one.name, other.name, cut=on)

    def may_send(self, slot: PlacerSlot) -> bool:
        if slot.service is None:
            return True
        return slot.service.placer.peering.lease.may_send(self.hub.now_us())

    def submit_to(
        self,
        slot: PlacerSlot,
        name: str,
        task_class: str = "web",
        spec: str = "quick",
        runs_s: float = 600,
        patience_s: float = 5,
    ) -> tuple[int, dict[str, Any]]:
        """Submit a Job to a placer; returns the status and the body with the Retry-After header."""
        value = job_value(
            TaskSpec(0, name, task_class, name, 1.0, 1.0, int(runs_s * S)),
            name,
            int(patience_s * S),
        )
        if spec:
            value["metadata"].setdefault("annotations", {})[names.FEDERATION] = spec
        response = self.pool(slot.port).request("POST", JOBS, names.encode(value))
        return response.status, {
            **names.decode(response.body),
            "retry-after": response.get("retry-after"),
        }

    def submit_placed(
        self, slot: PlacerSlot, name: str, task_class: str = "web", **more: Any
    ) -> str:
        """Submit a Job that must be accepted and placed; returns its uid."""
        status, value = self.submit_to(slot, name, task_class, **more)
        assert status == 201, value
        assert self.wait(lambda: "Placed" in self.job_conditions(slot, name), 6), (
            self.job_conditions(slot, name)
        )
        return str(value["metadata"]["uid"])

    def job_conditions(self, slot: PlacerSlot, name: str) -> dict[str, str]:
        status, value = self.ask(slot, path=f"{JOBS}/{name}")
        conditions = value["status"].get("conditions", ()) if status == 200 else ()
        return {each["type"]: each["reason"] for each in conditions}

    def running(self, uid: str) -> list[str]:
        """The names of the machines on which a Job runs, one for each Pod."""
        return [
            machine.name
            for machine in self.cluster.machines
            for pod in machine.pods.values()
            if pod.uid == uid and pod.phase == "Running"
        ]

    def starts(self, uid: str) -> int:
        return len(self.seen("start", uid=uid))

    def play(self, script: Callable[[], Any], start: bool = True) -> Any:
        def run_script() -> Any:
            try:
                return script()
            finally:
                self.network.close()

        return super().play(run_script, start)
