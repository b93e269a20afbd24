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
from wingbarrow.lab.wants import Want, job_value

LEAVE_S, SETTLE_S = 3.0, 0.5


class SubsetStage(Stage):
    """`cuts`: what placers say to each other goes through proxies, by (from, to)."""

    def __init__(
        self,
        machines: int,
        placers: int,
        replicas: int,
        seed: int = 3,
        build: Build | None = None,
        cuts: bool = False,
        extra: str = "",
        widen: int = 0,
    ) -> None:
        super().__init__(machines, placers, seed, build)
        self.replicas, self.widen = replicas, widen
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self._cuts = cuts
        for slot in self.cluster.placers:
            slot.extra = extra

    def begin(self) -> None:
        """Machines, list source and placers, once each placer knows the others."""
        if self._cuts:
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
            if self._cuts
            else other.port,
            self.widen,
        )
        self.cluster.start()
        assert self.wait(
            lambda: all(
                len(each.peering.membership.table.live_members()) == len(self.live()) - 1
                for each in self.live()
            )
        ), "they do not know each other"
        assert self.wait(self.settled_subsets)

    def wait(self, done: Callable[[], Any], seconds: float = 60) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 20)
        return bool(done())

    def live(self) -> list[Placer]:
        """The placers that run."""
        return [slot.service.placer for slot in self.cluster.placers if slot.service is not None]

    def placer(self, index: int) -> Placer:
        service = self.cluster.placers[index].service
        assert service is not None
        return service.placer

    def subset(self, index: int) -> Subset:
        found = self.placer(index).subset
        assert found is not None
        return found

    def names(self) -> list[str]:
        """The machines that are up."""
        return [machine.name for machine in self.cluster.machines if machine.up]

    def wanted(self, living: list[str]) -> dict[str, set[str]]:
        """Each living placer's machines by the pure function."""
        subsets = self.placer(
            next(i for i, slot in enumerate(self.cluster.placers) if slot.service)
        ).subset
        assert subsets is not None
        return {
            name: {
                machine
                for machine in self.names()
                if subsets.subsets.holds(name, machine, frozenset(living))
            }
            for name in living
        }

    def settled_subsets(self) -> bool:
        """Whether each placer that runs reaches just what it is to hold while these live, and all of it."""
        wanted = self.wanted([each.context.settings.name for each in self.live()])
        return all(
            set(each.machines.links) == wanted[each.context.settings.name] == set(each.fleet.held)
            and all(link.reachable for link in each.machines.links.values())
            for each in self.live()
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
        """Submit to one placer; recorded as its owner would."""
        want = Want(0, name, task_class, service or name, 1.0, 1.0, int(runs_s * S))
        sent = self.hub.now_us()
        made = call(
            self.pool(slot.port),
            "POST",
            JOBS,
            names.encode(job_value(want, name, int(patience_s * S))),
        )
        uid = str(made["metadata"]["uid"])
        self.cluster.record(
            "owner",
            "accepted",
            placer=slot.name,
            job=name,
            uid=uid,
            task=name,
            task_class=task_class,
            patience_us=int(patience_s * S),
            sent_us=sent,
        )
        return uid

    def answer_of(self, slot: PlacerSlot, name: str, within_s: float = 12) -> str:
        """The first answer of a Job at a placer, which the recording keeps."""
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

    def cut(self, one: list[PlacerSlot], other: list[PlacerSlot], on: bool) -> None:
        """Nothing passes between two groups of placers, or all does again."""
        for a in one:
            for b in other:
                for pair in ((a.name, b.name), (b.name, a.name)):
                    if on:
                        self.proxies[pair].sever()
                    else:
                        self.proxies[pair].heal()
