"""Leases on the whole path, on a virtual clock, judged at the machines' sockets and by the owners' answers."""

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
        machine.ppm = (500, -500)[index // 3]

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        uid = stage.taken(north, "one")
        other = stage.taken(north, "two")
        assert stage.running(uid) != stage.running(other), (
            "one machine's clock is fast, the other's slow"
        )
        start = stage.seen("start", uid=uid)[0]
        assert start.data["session"].startswith("placer-0/")
        assert start.data["until_us"] > start.at_us
        stage.hub.sleep(12 * S)
        assert stage.running(uid), "renewed, it runs on"
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
        floor = {**stage.changed(), "cold_shares": [], "attempts_most": 4}
        status, told = stage.ask(
            stage.leader(), "POST", {"ident": "f", "rules": floor, "lastsUs": 60 * S}
        )
        assert status == 201, told
        assert north.service is not None
        placer = north.service.placer
        assert placer.leases is not None
        assert placer.leases.read_clock(placer.fleet._machines.links["node-0"])
        uid = stage.taken(north, "one")
        stage.cut(0)
        stage.hub.sleep(6 * S)
        assert not stage.running(uid), "its machine stopped it, and it is asked for again"
        assert stage.label(north) == "f1"
        assert stage.give(north, "bare", spec="")[0] == 201
        stage.hub.sleep(S)
        assert placer.context.counts["held:no_lease"]
        assert len(stage.seen("offer", uid=uid)) == 1
        assert len(stage.seen("offer", rules="f1")) == 1, "what needs no lease goes on"

    stage.play(script)


def test_machine_rejects_a_task_of_an_expired_lease_a_fenced_epoch_or_a_former_clock() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        machine = stage.cluster.machines[0]
        pool = stage.pool(machine.port)

        def ask(path: str, **said: Any) -> tuple[int, dict[str, Any]]:
            response = pool.request(
                "POST" if said else "GET",
                path,
                names.encode(said) if said else None,
                [("Content-Type", "application/json")],
            )
            return response.status, names.decode(response.body)

        def offer(name: str, until: str, epoch: int = 0) -> tuple[int, str]:
            status, value = ask(
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
            boot, _, now = ask("/leases")[1]["clock"].rpartition(":")
            return f"{boot}:{int(now) + us}"

        past = later(0)
        stage.hub.sleep(S)
        assert offer("late", past) == (409, "LeaseLapsed")
        assert offer("strange", "7-x:99999999999") == (409, "LeaseLapsed")
        assert offer("good", later(2 * S))[0] == 201
        assert ask("/leases", session="p/1/1", until=later(4 * S))[0] == 200
        stage.hub.sleep(3 * S)
        assert machine.pods["good"].phase == "Running", "renewed"
        assert ask("/leases", session="p/1/1", until=later(S // 10))[0] == 200, (
            "a late renewal shortens nothing"
        )
        stage.hub.sleep(S // 2)
        assert machine.pods["good"].phase == "Running"
        stage.hub.sleep(S)
        assert machine.pods["good"].phase == "Failed"
        told = ask("/fence", uid="u", epoch=3)[1]
        assert told["holds"] == ["good"], "what ran and is over had its effect"
        assert told["sure"]
        assert offer("old", later(2 * S), 2) == (409, "Fenced")
        assert offer("new", later(2 * S), 3)[0] == 201
        former = later(2 * S)
        machine.die()
        machine.launch(cold=False)
        assert ask("/leases", session="p/1/1", until=former)[0] == 409
        assert offer("former", former, 3) == (409, "LeaseLapsed")
        assert ask("/fence", uid="u", epoch=3)[1]["holds"] == [], (
            "it remembers nothing, and its clock says since when"
        )
        assert int(ask("/leases")[1]["clock"].rpartition(":")[2]) < S

    stage.play(script)


def test_leased_job_without_a_replica_is_rejected_with_503_and_delays_no_other() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        south = stage.cluster.placers[1]
        stage.cut(2)
        began = stage.hub.now_us()
        status, value = stage.give(south, "kept", spec="home")
        assert status == 503, value
        assert "keeper" in value["message"]
        assert value["retry-after"], value
        assert stage.hub.now_us() - began <= 3 * S, "a bounded wait"
        began = stage.hub.now_us()
        assert stage.give(south, "bare", spec="")[0] == 201
        assert stage.hub.now_us() - began < S // 10
        assert stage.give(south, "none", spec="nowhere")[0] == 422
        assert stage.give(stage.cluster.placers[0], "away", spec="home")[0] == 201, (
            "elsewhere: it is forwarded"
        )
        stage.cut(2, False)
        assert stage.wait(lambda: stage.give(south, "kept", spec="home")[0] in (201, 409), 20)
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
        status, value = stage.give(south, "lost", task_class, "home", patience_s=5)
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
        assert stage.wait(lambda: stage.told(south, "lost").get("Failed") == "LeaseLost", 6)
        assert stage.hub.now_us() <= due + S // 10, "in its owner's patience"
        assert stage.starts(uid) == 1
        assert stage.wait(lambda: not stage.running(uid), 1)
        stage.cut(2, False)
        stage.hub.sleep(20 * S)
        assert stage.starts(uid) == 1, "answered: nobody starts it again"
        assert not stage.running(uid)

    stage.play(script)


def test_safe_work_of_a_lost_region_runs_elsewhere_and_unsafe_work_is_listed_as_unknown() -> None:
    stage = Regions()

    def script() -> None:
        stage.join()
        north = stage.cluster.placers[0]
        safe, never = stage.taken(north, "safe"), stage.taken(north, "never", "settlement")
        stage.cut(0)
        assert stage.wait(lambda: len(stage.running(safe)) == 1 and stage.starts(safe) == 2, 25), (
            stage.running(safe)
        )
        first, second = stage.seen("start", uid=safe)
        assert second.at_us >= first.data["until_us"]
        assert second.data["epoch"] > first.data["epoch"]
        assert not second.data["session"].startswith("placer-0/")
        stage.hub.sleep(5 * S)
        assert stage.starts(never) == 1, "it is neither started again"
        holders = [
            slot
            for slot in stage.cluster.placers
            if slot.index % 3 and stage.told(slot, "never").get("wingbarrow.io/Unknown")
        ]
        assert len(holders) == 1, "nor lost: one placer tells of it"
        stage.cut(0, False)
        assert stage.wait(lambda: stage.may_send(north), 20)
        stage.hub.sleep(10 * S)
        assert len(stage.running(safe)) == 1, "its successor's copy goes on, alone"
        assert stage.starts(safe) == 2
        assert stage.told(north, "safe").get("wingbarrow.io/TakenOver") == "Run", stage.told(
            north, "safe"
        )
        assert stage.starts(never) == 1
        assert stage.give(north, "fresh")[0] == 201, "it starts as holder of nothing, and works"

    stage.play(script)
