"""Leases end to end on a virtual clock, checked at the machines' sockets and by the owners' answers."""

from __future__ import annotations

from typing import Any

import pytest

from tests.peers.regions import Regions
from tests.stage import S, Stage
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.kube import names


def test_leased_job_runs_while_it_is_renewed_and_its_machine_stops_it_at_expiry() -> None:
    stage = Regions()
    for index, machine in enumerate(stage.cluster.machines):
        machine.clock_drift_ppm = (500, -500)[index // 3]

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        uid = stage.submit_placed(north, "one")
        other = stage.submit_placed(north, "two")
        assert stage.running(uid) != stage.running(other), (
            "one task must run on the machine with the fast clock, the other on the slow one"
        )
        start = stage.seen("start", uid=uid)[0]
        assert start.data["session"].startswith("placer-0/")
        assert start.data["until_us"] > start.at_us
        stage.hub.sleep(12 * S)
        assert stage.running(uid), "a renewed Job must continue"
        assert stage.starts(uid) == 1
        north.kill()
        killed = stage.hub.now_us()
        stage.hub.sleep(4 * S)
        for each in (uid, other):
            end = stage.seen("end", uid=each)[0]
            assert end.data["why"] == "lease"
            assert killed + S < end.at_us <= killed + 3 * S + 3 * S // 1000
            assert not stage.running(each)

    stage.play(script)


def test_send_gate_alone_blocks_a_send_without_a_lease_that_a_floor_allows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = Regions(machines=3)
    monkeypatch.setattr(LeasedJobs, "before_send", lambda self, attempt: None)

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        floor = {**stage.latest_rules(), "cold_shares": [], "attempts_most": 4}
        status, answer = stage.ask(
            stage.leader(), "POST", {"ident": "f", "rules": floor, "lastsUs": 60 * S}
        )
        assert status == 201, answer
        assert north.service is not None
        placer = north.service.placer
        assert placer.leases is not None
        assert placer.leases.read_clock(placer.fleet._machines.links["node-0"])
        uid = stage.submit_placed(north, "one")
        stage.cut(0)
        stage.hub.sleep(6 * S)
        assert not stage.running(uid), (
            "its machine must stop it; the placer tries to start it again"
        )
        assert stage.rules_label(north) == "f1"
        assert stage.submit_to(north, "bare", spec="")[0] == 201
        stage.hub.sleep(S)
        assert placer.context.counts["held:no_lease"]
        assert len(stage.seen("offer", uid=uid)) == 1
        assert len(stage.seen("offer", rules="f1")) == 1, "Jobs without a lease must continue"

    stage.play(script)


def test_machine_rejects_a_task_of_an_expired_lease_a_fenced_epoch_or_a_former_clock() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        machine = stage.cluster.machines[0]
        pool = stage.pool(machine.port)

        def request(path: str, **body: Any) -> tuple[int, dict[str, Any]]:
            response = pool.request(
                "POST" if body else "GET",
                path,
                names.encode(body) if body else None,
                [("Content-Type", "application/json")],
            )
            return response.status, names.decode(response.body)

        def offer(name: str, until: str, epoch: int = 0) -> tuple[int, str]:
            status, value = request(
                "/api/v1/namespaces/default/pods",
                metadata={
                    "name": name,
                    "namespace": "default",
                    "annotations": {
                        names.PREFIX + "job-uid": "u",
                        names.SESSION: "p/1/1",
                        names.LEASE_UNTIL: until,
                        names.EPOCH: str(epoch),
                        names.RUNS_FOR: "60s",
                    },
                },
                spec={
                    "containers": [
                        {"name": "a", "resources": {"requests": {"cpu": "1", "memory": "1Gi"}}}
                    ]
                },
            )
            return status, str(value.get("reason", ""))

        def later(us: int) -> str:
            boot, _, now = request("/leases")[1]["clock"].rpartition(":")
            return f"{boot}:{int(now) + us}"

        past = later(0)
        stage.hub.sleep(S)
        assert offer("late", past) == (409, "LeaseLapsed")
        assert offer("strange", "7-x:99999999999") == (409, "LeaseLapsed")
        assert offer("good", later(2 * S))[0] == 201
        assert request("/leases", session="p/1/1", until=later(4 * S))[0] == 200
        stage.hub.sleep(3 * S)
        assert machine.pods["good"].phase == "Running", "a renewed task must continue"
        assert request("/leases", session="p/1/1", until=later(S // 10))[0] == 200, (
            "a renewal with an earlier end must not shorten the lease"
        )
        stage.hub.sleep(S // 2)
        assert machine.pods["good"].phase == "Running"
        stage.hub.sleep(S)
        assert machine.pods["good"].phase == "Failed"
        answer = request("/fence", uid="u", epoch=3)[1]
        assert answer["holds"] == ["good"], "an ended run is reported too: it had its effect"
        assert answer["sure"]
        assert offer("old", later(2 * S), 2) == (409, "Fenced")
        assert offer("new", later(2 * S), 3)[0] == 201
        former = later(2 * S)
        machine.die()
        machine.launch(cold=False)
        assert request("/leases", session="p/1/1", until=former)[0] == 409
        assert offer("former", former, 3) == (409, "LeaseLapsed")
        assert request("/fence", uid="u", epoch=3)[1]["holds"] == [], (
            "a restarted machine has no record of runs, and its clock shows since when"
        )
        assert int(request("/leases")[1]["clock"].rpartition(":")[2]) < S

    stage.play(script)


def test_leased_job_without_a_replica_is_rejected_with_503_and_delays_no_other() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        south = stage.cluster.placers[1]
        stage.cut(2)
        began = stage.hub.now_us()
        status, value = stage.submit_to(south, "kept", spec="home")
        assert status == 503, value
        assert "keeper" in value["message"]
        assert value["retry-after"], value
        assert stage.hub.now_us() - began <= 3 * S, "the wait must be bounded"
        began = stage.hub.now_us()
        assert stage.submit_to(south, "bare", spec="")[0] == 201
        assert stage.hub.now_us() - began < S // 10
        assert stage.submit_to(south, "none", spec="nowhere")[0] == 422
        assert stage.submit_to(stage.cluster.placers[0], "away", spec="home")[0] == 201, (
            "the spec allows other regions: the Job is forwarded"
        )
        stage.cut(2, False)
        assert stage.wait(lambda: stage.submit_to(south, "kept", spec="home")[0] in (201, 409), 20)
        assert south.service is not None
        assert not south.service.placer.unexpected_transitions()

    stage.play(script)


@pytest.mark.parametrize("task_class", ["web", "settlement"])
def test_unacknowledged_placement_is_answered_lease_lost_and_its_copy_is_stopped(
    task_class: str,
) -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        south = stage.cluster.placers[1]
        for machine in stage.machines_of(1):
            machine.slowness = 6.0
        status, value = stage.submit_to(south, "lost", task_class, "home", patience_s=5)
        assert status == 201
        due = stage.hub.now_us() + 5 * S
        uid = value["metadata"]["uid"]
        assert stage.wait(
            lambda: any(
                pod.uid == uid for machine in stage.machines_of(1) for pod in machine.pods.values()
            ),
            3,
        )
        stage.cut(2)
        assert stage.wait(
            lambda: stage.job_conditions(south, "lost").get("Failed") == "LeaseLost", 6
        )
        assert stage.hub.now_us() <= due + S // 10, "answered within the owner's patience"
        assert stage.starts(uid) == 1
        assert stage.wait(lambda: not stage.running(uid), 1)
        stage.cut(2, False)
        stage.hub.sleep(20 * S)
        assert stage.starts(uid) == 1, "an answered Job must not be started again"
        assert not stage.running(uid)

    stage.play(script)


def test_safe_work_of_a_lost_region_runs_elsewhere_and_unsafe_work_is_listed_as_unknown() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        safe, never = (
            stage.submit_placed(north, "safe"),
            stage.submit_placed(north, "never", "settlement"),
        )
        stage.cut(0)
        assert stage.wait(lambda: len(stage.running(safe)) == 1 and stage.starts(safe) == 2, 25), (
            stage.running(safe)
        )
        first, second = stage.seen("start", uid=safe)
        assert second.at_us >= first.data["until_us"]
        assert second.data["epoch"] > first.data["epoch"]
        assert not second.data["session"].startswith("placer-0/")
        stage.hub.sleep(5 * S)
        assert stage.starts(never) == 1, "an unsafe Job must not be started again"
        holders = [
            slot
            for slot in stage.cluster.placers
            if slot.index % 3 and stage.job_conditions(slot, "never").get("wingbarrow.io/Unknown")
        ]
        assert len(holders) == 1, "one placer must report the unsafe Job as unknown"
        stage.cut(0, False)
        assert stage.wait(lambda: stage.may_send(north), 20)
        stage.hub.sleep(10 * S)
        assert len(stage.running(safe)) == 1, "only the successor's run continues"
        assert stage.starts(safe) == 2
        assert stage.job_conditions(north, "safe").get("wingbarrow.io/TakenOver") == "Run", (
            stage.job_conditions(north, "safe")
        )
        assert stage.starts(never) == 1
        assert stage.submit_to(north, "fresh")[0] == 201, (
            "the placer of the lost region must accept new Jobs"
        )

    stage.play(script)
