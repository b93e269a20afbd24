"""A small cluster on a virtual clock for end-to-end tests; the traffic of its sockets is in `cluster.record`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wingbarrow.core.logs import silent
from wingbarrow.http.client import Pool, PoolLimits
from wingbarrow.http.watching import call
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.audit import Audit, audit
from wingbarrow.lab.build import Build
from wingbarrow.lab.cluster import Cluster
from wingbarrow.lab.record import Record
from wingbarrow.lab.workload import TaskSpec, job_value
from wingbarrow.transport import Hub, VirtualClock

S = 1_000_000
JOBS = "/apis/batch/v1/namespaces/default/jobs"


class Stage:
    """A cluster, a client of its first placer, and helpers."""

    def __init__(
        self, machines: int = 2, placers: int = 1, seed: int = 3, build: Build | None = None
    ) -> None:
        self.hub = Hub(VirtualClock())
        self.cluster = Cluster(
            self.hub,
            machines,
            placers,
            seed,
            silent,
            (lambda _: build) if build is not None else None,
        )
        self.cluster.source.lag_us = 0

    def play(self, script: Callable[[], Any], start: bool = True) -> Any:
        def main() -> Any:
            if start:
                self.cluster.start()
                self.hub.sleep(S)
            try:
                return script()
            finally:
                # Danger: a process that is stalled at the end would keep its sockets, and later tests would run out.
                for domain in [
                    *(slot.domain for slot in self.cluster.placers),
                    *(machine.domain for machine in self.cluster.machines),
                    self.cluster.source.domain,
                ]:
                    domain.kill()

        try:
            return self.hub.run(main)
        finally:
            self.cluster.close()

    def pool(self, port: int | None = None) -> Pool:
        return Pool(
            self.hub,
            "127.0.0.1",
            port or self.cluster.placers[0].port,
            PoolLimits(connections=64, first_byte_us=60 * S),
            "owner",
        )

    def submit(
        self,
        name: str,
        task_class: str = "web",
        runs_s: float = 5,
        patience_s: float = 5,
        service: str = "",
        cores: float = 1.0,
        memory: float = 1.0,
        **spec: Any,
    ) -> dict[str, Any]:
        want = TaskSpec(0, name, task_class, service or name, cores, memory, int(runs_s * S))
        value = job_value(want, name, int(patience_s * S))
        value["spec"] |= spec
        sent = self.hub.now_us()
        made = call(self.pool(), "POST", JOBS, names.encode(value))
        self.cluster.record(
            "owner",
            "accepted",
            placer="placer-0",
            job=name,
            uid=made["metadata"]["uid"],
            task=name,
            task_class=task_class,
            patience_us=int(patience_s * S),
            sent_us=sent,
        )
        return made

    def job(self, name: str) -> dict[str, Any]:
        return call(self.pool(), "GET", f"{JOBS}/{name}")

    def post(self, port: int, name: str) -> None:
        """Submit a Job to a placer by its port and ignore its answer; nothing is recorded."""
        want = TaskSpec(0, name, "web", name, 0.25, 0.25, 5 * S)
        try:
            call(self.pool(port), "POST", JOBS, names.encode(job_value(want, name, 5 * S)))
        except ApiError:
            pass

    def jobs(self) -> list[dict[str, Any]]:
        items: list[dict[str, Any]] = call(self.pool(), "GET", JOBS)["items"]
        return items

    def delete(self, name: str) -> None:
        uid = self.job(name)["metadata"]["uid"]
        call(self.pool(), "DELETE", f"{JOBS}/{name}")
        self.cluster.record("owner", "deleted", placer="placer-0", job=name, uid=uid)

    def refused(self, name: str) -> tuple[int, str]:
        """The status code and message of a Job that is rejected."""
        try:
            self.submit(name)
        except ApiError as error:
            return error.code, error.message
        raise AssertionError(f"Job {name} was accepted")

    def conditions(self, name: str) -> dict[str, str]:
        return {
            each["type"]: each["reason"] for each in self.job(name)["status"].get("conditions", [])
        }

    def settled(self, name: str, within_s: float = 12) -> dict[str, str]:
        """The Job's conditions as soon as it has a final answer; the answer is recorded."""
        until = self.hub.now_us() + int(within_s * S)
        while True:
            found = self.conditions(name)
            answer = (
                "placed"
                if "Placed" in found
                else {"Refused": "refused", "Failed": "failed"}.get(found.get("Failed", ""))
            )
            if answer:
                self.cluster.record(
                    "owner",
                    "answer",
                    placer="placer-0",
                    job=name,
                    uid=self.job(name)["metadata"]["uid"],
                    answer=answer,
                    failed="",
                )
                return found
            assert self.hub.now_us() < until, f"no answer to Job {name}: {found}"
            self.hub.sleep(5_000)

    def seen(self, what: str, **data: Any) -> list[Record]:
        return [
            record
            for record in self.cluster.record.records
            if record.what == what
            and record.where != "owner"
            and all(record.data.get(key) == value for key, value in data.items())
        ]

    def audit(self) -> Audit:
        return audit(self.cluster.record.records, self.cluster.placers[0].settings)
