"""Stalled placers, and Jobs that wait unread in the socket meanwhile: checked by what crosses the sockets."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.stage import JOBS, S, Stage
from wingbarrow.http.watching import call
from wingbarrow.kube import names
from wingbarrow.lab.build import Build
from wingbarrow.lab.faults import Fault, FaultRule
from wingbarrow.lab.node import node_value
from wingbarrow.lab.workload import TaskSpec, job_value
from wingbarrow.transport import Nursery, Stream, connect

BIG = Build(cores=64.0, memory=128.0)


def job_request(name: str, patience_s: float, cores: float = 1.0) -> bytes:
    value = job_value(TaskSpec(0, name, "web", name, cores, 1.0, 5 * S), name, int(patience_s * S))
    body = names.encode(value)
    return (
        b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
        % (JOBS.encode(), len(body), body)
    )


def read_response(stream: Stream, buffered: bytearray) -> tuple[int, dict[str, Any]]:
    """Read the next response of a connection; bytes received beyond it stay in `buffered`."""
    while True:
        head, mark, rest = bytes(buffered).partition(b"\r\n\r\n")
        if mark:
            length = int(
                next(
                    line.split(b":")[1]
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                )
            )
            if len(rest) >= length:
                buffered[:] = rest[length:]
                return int(head.split()[1]), json.loads(rest[:length])
        part = stream.receive()
        assert part, "closed"
        buffered += part


def record_accepted(stage: Stage, name: str, sent_us: int, patience_s: float, uid: str) -> None:
    stage.cluster.record(
        "owner",
        "accepted",
        placer="placer-0",
        job=name,
        uid=uid,
        task=name,
        task_class="web",
        patience_us=int(patience_s * S),
        sent_us=sent_us,
    )


def stall_placer(stage: Stage, for_s: float) -> Any:
    slot = stage.cluster.placers[0]
    slot.hold(int(for_s * S))
    return slot.service.placer  # type: ignore[union-attr]


def drain_all_machines(stage: Stage) -> None:
    for machine in stage.cluster.machines:
        stage.cluster.source.show(
            machine.name, {**node_value(machine), "spec": {"unschedulable": True}}
        )


@pytest.mark.parametrize("stall_s", [0.2, 1.0, 4.0])
@pytest.mark.parametrize(
    "how", ["open connection", "new connection", "half before, half after", "pipelined"]
)
def test_an_owners_patience_runs_while_its_placer_stands_still(stall_s: float, how: str) -> None:
    """No machine accepts offers, so the placer's own timer answers: within the patience, counted from the sending."""
    stage = Stage()

    def script() -> None:
        drain_all_machines(stage)
        stage.hub.sleep(S)
        port = stage.cluster.placers[0].port
        stream, buffered = connect(stage.hub, "127.0.0.1", port), bytearray()
        if how != "new connection":
            stream.send(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            while b"ok" not in buffered:
                buffered += stream.receive()
            buffered.clear()
        text = job_request("late", 5.0)
        first_us = stage.hub.now_us()
        if how == "half before, half after":
            stream.send(text[:200])
            stage.hub.sleep(50_000)
        begun = stage.hub.now_us()
        stall_placer(stage, stall_s)
        if how == "half before, half after":
            stage.hub.sleep(int(stall_s * S) + 100_000)
            stream.send(text[200:])
            sent = first_us
        else:
            stage.hub.sleep(int(stall_s * S * 0.3))
            sent = stage.hub.now_us()
            if how == "new connection":
                stream.close()
                stream = connect(stage.hub, "127.0.0.1", port)
            stream.send(text + (job_request("second", 5.0) if how == "pipelined" else b""))
        status, value = read_response(stream, buffered)
        assert status == 201 and stage.hub.now_us() >= begun + int(stall_s * S)
        record_accepted(stage, "late", sent, 5.0, value["metadata"]["uid"])
        if how == "pipelined":
            status, value = read_response(stream, buffered)
            assert status == 201
            record_accepted(stage, "second", sent, 5.0, value["metadata"]["uid"])
            stage.settled("second")
        assert stage.settled("late")["Failed"] == "Refused"
        assert stage.hub.now_us() <= sent + 5 * S

    stage.play(script)
    found = stage.audit()
    assert found.clean and found.refused == found.accepted, found.notes


def test_a_job_out_of_patience_when_read_is_rejected_at_once_and_not_offered() -> None:
    stage = Stage()

    def script() -> None:
        stream, buffered = (
            connect(stage.hub, "127.0.0.1", stage.cluster.placers[0].port),
            bytearray(),
        )
        stage.hub.sleep(10_000)
        placer = stall_placer(stage, 4.0)
        stream.send(job_request("short", 2.0) + job_request("long", 30.0))
        stage.hub.sleep(4 * S + 50_000)
        status, value = read_response(stream, buffered)
        assert (
            status == 429
            and value["details"]["retryAfterSeconds"] >= 1
            and "patience" in value["message"]
        )
        status, value = read_response(stream, buffered)
        assert status == 201
        stage.hub.sleep(2 * S)
        assert placer.context.counts["turned_away:out_of_patience"] == 1
        assert [each["metadata"]["name"] for each in stage.jobs()] == ["long"]

    stage.play(script)
    assert len(stage.seen("offer")) == 1


def test_a_drain_announced_during_a_stall_is_respected_when_the_placer_resumes() -> None:
    stage = Stage(machines=4, build=BIG)

    def script() -> None:
        stall_placer(stage, 2.0)
        stage.hub.sleep(S)
        for machine in stage.cluster.machines[:3]:
            stage.cluster.set_drain(machine, True)
        streams = [
            connect(stage.hub, "127.0.0.1", stage.cluster.placers[0].port) for _ in range(30)
        ]
        for number, stream in enumerate(streams):
            stream.send(job_request(f"j{number}", 5.0, 0.5))
        stage.hub.sleep(3 * S)

    stage.play(script)
    grace = stage.cluster.placers[0].settings.drain_grace_us
    after = [
        record
        for record in stage.seen("offer")
        if record.where != "node-3" and record.at_us > 1_003_000_000 + grace
    ]
    assert stage.audit().clean and not after


def test_stalls_while_offers_are_out_and_just_before_the_last_timer() -> None:
    for stall_at_s in (0.05, 4.9, 4.97):
        stage = Stage()

        def script(stage: Stage = stage, stall_at_s: float = stall_at_s) -> None:
            for machine in stage.cluster.machines:
                machine.faults.rules.append(FaultRule(Fault.SILENT_AFTER, 1.0))
            stage.submit("a", "settlement", patience_s=5)
            stage.submit("b", patience_s=5)
            stage.hub.sleep(int(stall_at_s * S))
            stall_placer(stage, 1.0)
            for name in ("a", "b"):
                assert stage.settled(name)
            stage.hub.sleep(5 * S)

        stage.play(script)
        found = stage.audit()
        assert found.clean and found.placed + found.failed + found.refused == 2, found.notes
        assert len(stage.seen("start", task_class="settlement")) <= 1


def test_two_thousand_answers_due_during_a_stall_are_given_first_and_at_once() -> None:
    stage = Stage()

    def script() -> None:
        drain_all_machines(stage)
        stage.hub.sleep(S)
        for number in range(20):
            stage.submit(f"many{number}", parallelism=100, completions=100, patience_s=3)
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        hub, answered = stage.hub, list[int]()
        for _ in range(50):
            hub._at(
                hub.now_us() + S,
                lambda: answered.append(sum(placer.job_store.answers.values())),
                stage.cluster.placers[0].domain,
            )
        before = placer.job_store.answers.copy()
        assert not before
        stage.hub.sleep(S // 2)
        stall_placer(stage, 4.0)
        stage.hub.sleep(4 * S)
        assert answered == [2000] * 50, (
            "another timer that was due ran before an answer that was owed"
        )
        for number in range(20):
            assert stage.settled(f"many{number}")["Failed"] == "Refused"

    stage.play(script)


def test_list_source_and_all_placers_stand_still_together() -> None:
    stage = Stage(machines=6, placers=3)

    def script() -> None:
        for slot in stage.cluster.placers:
            slot.hold(2 * S)
        stage.cluster.hold_source(2 * S)
        stage.hub.sleep(S)
        stage.cluster.set_drain(stage.cluster.machines[0], True)
        stage.cluster.hub.spawn(lambda: stage.cluster.crash(stage.cluster.machines[1], 0.5))
        stage.hub.sleep(int(1.2 * S))
        with Nursery(stage.hub) as nursery:
            for number in range(12):
                nursery.spawn(lambda number=number: stage.submit(f"j{number}"))
        for number in range(12):
            assert stage.settled(f"j{number}")
        stage.hub.sleep(3 * S)

    stage.play(script)
    assert stage.audit().clean, stage.audit().notes


@pytest.mark.parametrize("vanish", [False, True])
def test_a_service_at_its_spread_limit_keeps_it_over_a_restart(vanish: bool) -> None:
    """Two racks of three machines; a service is at its spread limit, half the machines crash, the placer restarts."""
    stage = Stage(machines=6, build=BIG)

    def script() -> None:
        for number in range(6):
            stage.submit(f"s{number}", service="crowd", runs_s=60)
            assert "Placed" in stage.settled(f"s{number}")
        stage.hub.sleep(4 * S)
        if vanish:
            for machine in stage.cluster.machines[::2]:
                stage.cluster.hub.spawn(lambda machine=machine: stage.cluster.crash(machine, 1.0))
        stage.cluster.restart_placer(stage.cluster.placers[0], 0.5)
        for number in range(8):
            stage.submit(f"t{number}", service="crowd", runs_s=60, patience_s=3)
        for number in range(8):
            stage.settled(f"t{number}")
        stage.hub.sleep(2 * S)
        running: dict[str, int] = {}
        for machine in stage.cluster.machines:
            for pod in machine.pods.values():
                running[machine.build.cell] = running.get(machine.build.cell, 0) + (
                    pod.phase == "Running"
                )
        assert all(count <= 3 for count in running.values()), running

    stage.play(script)
    found = stage.audit()
    assert found.clean, found.notes
    assert vanish or found.refused == 8


def test_a_job_deleted_before_its_offer_went_out_costs_the_machines_nothing() -> None:
    stage = Stage()

    def script() -> None:
        drain_all_machines(stage)
        stage.hub.sleep(S)
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        for number in range(20):
            stage.submit(f"j{number}")
            stage.delete(f"j{number}")
        stage.hub.sleep(S)
        assert placer.context.counts["stops_owed"] == 0 and placer.stops.pending == 0

    stage.play(script)
    assert not stage.seen("offer")


def test_a_job_deleted_while_its_offer_is_out_costs_one_stop_and_never_comes_back() -> None:
    stage = Stage(machines=3)

    def script() -> None:
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        for number in range(40):
            stage.submit(f"j{number}", runs_s=100)
            stage.hub.sleep(number * 4_000)
            stage.delete(f"j{number}")
        stage.hub.sleep(10 * S)
        assert not stage.jobs() and placer.stops.pending == 0
        assert (
            placer.context.counts["stops_sent"] <= 40 and placer.context.counts["jobs_adopted"] == 0
        )
        assert not any(
            pod.phase == "Running"
            for machine in stage.cluster.machines
            for pod in machine.pods.values()
        )
        stage.submit("next")
        assert "Placed" in stage.settled("next"), (
            "no machine is avoided because owners deleted Jobs"
        )

    stage.play(script)
    assert stage.audit().clean


def test_a_stop_is_pending_until_a_stalled_machine_confirms_it() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        stage.submit("a", runs_s=1000)
        stage.settled("a")
        stage.cluster.hold_machine(stage.cluster.machines[0], 40.0)
        stage.delete("a")
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        stage.hub.sleep(30 * S)
        assert placer.stops.pending == 1
        stage.hub.sleep(20 * S)
        assert placer.stops.pending == 0 and stage.seen("end", why="Terminated")

    stage.play(script)


def test_a_deleted_task_that_ends_by_itself_before_its_stop_comes_is_stopped() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        stage.submit("a", runs_s=2)
        stage.settled("a")
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        stage.cluster.hold_machine(stage.cluster.machines[0], 4.0)
        stage.delete("a")
        stage.hub.sleep(8 * S)
        assert not placer.unexpected_transitions() and placer.stops.pending == 0

    stage.play(script)


def test_pending_stops_limit_the_admission_of_new_jobs() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        placer = stage.cluster.placers[0].service.placer  # type: ignore[union-attr]
        placer.job_store.set_limits(20_000, 4, 4)
        for number in range(4):
            stage.submit(f"j{number}", runs_s=1000, cores=0.25)
            stage.settled(f"j{number}")
        stage.cluster.hold_machine(stage.cluster.machines[0], 5.0)
        for number in range(4):
            stage.delete(f"j{number}")
        status, value = stage.refused("more")
        assert status == 429 and "open tasks" in value
        stage.hub.sleep(8 * S)
        stage.submit("more")
        assert "Placed" in stage.settled("more")

    stage.play(script)


def test_a_pod_of_this_incarnation_without_a_job_is_stopped() -> None:
    """No matter how long ago its Job was deleted, and how many Jobs were deleted since."""
    stage = Stage(machines=1)

    def script() -> None:
        stage.submit("a", runs_s=1000)
        stage.settled("a")
        machine = stage.cluster.machines[0]
        pod = next(iter(machine.pods.values()))
        value = {
            **pod.value,
            "metadata": {**pod.value["metadata"], "name": pod.name.rpartition("-")[0] + "-77"},
        }
        stage.delete("a")
        stage.hub.sleep(S)
        assert not machine.pods
        # A delayed offer from the machine's socket: its Job is unknown, its name is of this incarnation.
        call(
            stage.pool(machine.port), "POST", "/api/v1/namespaces/default/pods", names.encode(value)
        )
        assert machine.pods
        stage.hub.sleep(3 * S)
        assert not machine.pods and not stage.jobs()

    stage.play(script)


def test_a_task_of_an_earlier_incarnation_without_a_certain_answer_is_not_retried() -> None:
    for wait_s, is_retried in ((0.0, False), (5.0, True)):
        stage = Stage(machines=3)

        def script(
            stage: Stage = stage, wait_s: float = wait_s, is_retried: bool = is_retried
        ) -> None:
            stage.submit("a", runs_s=100)
            stage.hub.sleep(700_000)
            stage.hub.sleep(int(wait_s * S))
            slot = stage.cluster.placers[0]
            stage.cluster.restart_placer(slot, 0.5)
            stage.hub.sleep(S)
            where = next(machine for machine in stage.cluster.machines if machine.pods)
            before = len(stage.seen("offer"))
            stage.cluster.hub.spawn(lambda: stage.cluster.crash(where, None))
            stage.hub.sleep(8 * S)
            assert (len(stage.seen("offer")) > before) is is_retried
            conditions = stage.conditions("a")
            assert is_retried or conditions["Failed"] == "Lost"

        stage.play(script)


def test_a_stall_while_machines_come_back_cold_pushes_none_over() -> None:
    stage = Stage(machines=3, placers=2, build=BIG)

    def script() -> None:
        for machine in stage.cluster.machines[:2]:
            stage.hub.spawn(lambda machine=machine: stage.cluster.crash(machine, 1.0))
        stage.hub.sleep(S + S // 2)
        for number, slot in enumerate(stage.cluster.placers):
            stage.hub._at(stage.hub.now_us() + number * S, lambda slot=slot: slot.hold(S), None)
        for number in range(80):
            port = stage.cluster.placers[number % 2].port
            stage.hub.spawn(lambda number=number, port=port: stage.post(port, f"c{number}"))
            stage.hub.sleep(50_000)
        stage.hub.sleep(8 * S)
        assert not any(machine.crashed_by_load for machine in stage.cluster.machines)

    stage.play(script)
    assert stage.audit().clean, stage.audit().notes
