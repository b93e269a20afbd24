"""A small cluster whose placers hold subsets of the machines, on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.stage import JOBS, S, Stage
from wingbarrow.core.placer import Placer
from wingbarrow.core.subset import Subset
from wingbarrow.http.watching import call
from wingbarrow.kube import names
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.lab.fleet.link import Proxy
from wingbarrow.lab.workload import TaskSpec, job_value

LEAVE_S, SETTLE_S = 3.0, 0.5


class SubsetStage(Stage):
    """A `Stage` with subsets. With `partitionable`, placers talk to each other through `proxies`, by (from, to).

    `replicas` placers hold each machine, and a busy placer widens its subset by up to `widen` ranks.
    """

    def __init__(
        self,
        machines: int,
        placers: int,
        replicas: int,
        seed: int = 3,
        build: Build | None = None,
        partitionable: bool = False,
        extra: str = "",
        widen: int = 0,
    ) -> None:
        super().__init__(machines, placers, seed, build)
        self.replicas, self.widen = replicas, widen
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self._partitionable = partitionable
        for slot in self.cluster.placers:
            slot.extra = extra

    def begin(self) -> None:
        """Start machines, list source and placers, and wait until placers know each other and hold their subsets."""
        if self._partitionable:
            self.proxies = {
                (slot.name, other.name): Proxy(self.hub, other.port)
                for slot in self.cluster.placers
                for other in self.cluster.placers
                if other is not slot
            }
        self.cluster.hold_subsets(
            self.replicas,
            f"{LEAVE_S:g}s",
            f"{int(SETTLE_S * 1000)}ms",
            lambda slot, other: self.proxies[slot.name, other.name].port
            if self._partitionable
            else other.port,
            self.widen,
        )
        self.cluster.start()
        assert self.wait(
            lambda: all(
                len(each.peering.membership.table.live_members()) == len(self.live_placers()) - 1
                for each in self.live_placers()
            )
        ), "placers do not know each other"
        assert self.wait(self.has_expected_subsets)

    def wait(self, done: Callable[[], Any], seconds: float = 60) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 20)
        return bool(done())

    def live_placers(self) -> list[Placer]:
        """The running placers."""
        return [slot.service.placer for slot in self.cluster.placers if slot.service is not None]

    def placer(self, index: int) -> Placer:
        service = self.cluster.placers[index].service
        assert service is not None
        return service.placer

    def subset(self, index: int) -> Subset:
        found = self.placer(index).subset
        assert found is not None
        return found

    def running_machines(self) -> list[str]:
        """Names of the running machines."""
        return [machine.name for machine in self.cluster.machines if machine.up]

    def expected_subsets(self, live: list[str]) -> dict[str, set[str]]:
        """The subset of each placer of `live`, computed from the rules as if these placers were the live ones."""
        subsets = self.placer(
            next(i for i, slot in enumerate(self.cluster.placers) if slot.service)
        ).subset
        assert subsets is not None
        return {
            name: {
                machine
                for machine in self.running_machines()
                if subsets.subsets.holds(name, machine, frozenset(live))
            }
            for name in live
        }

    def has_expected_subsets(self) -> bool:
        """Whether each running placer is connected to exactly its expected subset, and watches all of it."""
        wanted = self.expected_subsets([each.context.settings.name for each in self.live_placers()])
        return all(
            set(each.machines.links) == wanted[each.context.settings.name] == set(each.fleet.held)
            and all(link.reachable for link in each.machines.links.values())
            for each in self.live_placers()
        )

    def submit_to(
        self,
        slot: PlacerSlot,
        name: str,
        task_class: str = "web",
        runs_s: float = 5,
        patience_s: float = 5,
        service: str = "",
    ) -> str:
        """Submit a Job to one placer, record that it was accepted, and return its uid."""
        want = TaskSpec(0, name, task_class, service or name, 1.0, 1.0, int(runs_s * S))
        sent_us = self.hub.now_us()
        created = call(
            self.pool(slot.port),
            "POST",
            JOBS,
            names.encode(job_value(want, name, int(patience_s * S))),
        )
        uid = str(created["metadata"]["uid"])
        self.cluster.record(
            "owner",
            "accepted",
            placer=slot.name,
            job=name,
            uid=uid,
            task=name,
            task_class=task_class,
            patience_us=int(patience_s * S),
            sent_us=sent_us,
        )
        return uid

    def wait_for_answer(self, slot: PlacerSlot, name: str, within_s: float = 12) -> str:
        """Wait for the first answer of a Job at a placer, record it, and return "placed", "refused" or "failed"."""
        until = self.hub.now_us() + int(within_s * S)
        while True:
            value = call(self.pool(slot.port), "GET", f"{JOBS}/{name}")
            found = {each["type"]: each["reason"] for each in value["status"].get("conditions", [])}
            answer = (
                "placed"
                if "Placed" in found
                else {"Refused": "refused", "Failed": "failed"}.get(found.get("Failed", ""))
            )
            if answer:
                self.cluster.record(
                    "owner",
                    "answer",
                    placer=slot.name,
                    job=name,
                    uid=value["metadata"]["uid"],
                    answer=answer,
                    failed="",
                )
                return answer
            assert self.hub.now_us() < until, f"no answer: {found}"
            self.hub.sleep(20_000)

    def set_partitioned(
        self, one: list[PlacerSlot], other: list[PlacerSlot], partitioned: bool
    ) -> None:
        """Partition two groups of placers from each other, or heal the partition."""
        for a in one:
            for b in other:
                for pair in ((a.name, b.name), (b.name, a.name)):
                    if partitioned:
                        self.proxies[pair].sever()
                    else:
                        self.proxies[pair].heal()
