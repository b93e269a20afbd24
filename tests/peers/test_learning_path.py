"""Learning over sockets from peers that stall, send invalid or false pages, or belong to another cluster."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest

from tests.stage import S, Stage
from wingbarrow.decide.learning import Announcement, MachineObservation
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer, Server
from wingbarrow.interface import Phase
from wingbarrow.kube import names
from wingbarrow.lab.fleet.link import Proxy
from wingbarrow.lab.node import node_value
from wingbarrow.peers.knowledge_pages import (
    MACHINES_PER_PAGE,
    Snapshots,
    UsageRatios,
    decode_page,
    encode_instance,
)
from wingbarrow.transport import Nursery

ALLOW = '\nallow-peer "127.0.0.0/8"\n'


def peer_line(port: int) -> str:
    return f'peer "127.0.0.1" port={port}\n'


def observation(name: str, **more: Any) -> MachineObservation:
    fields: dict[str, Any] = {
        "machine": name,
        "version": 5000,
        "phase": Phase.RUNNING,
        "launched_age_us": None,
        "asked": (1.0, 2.0),
        "asked_age_us": 0,
        "beyond": (0.0, 0.0),
        "measured_age_us": 0,
        "warm_us": {"default/heard": 9 * S},
        "rests_us": {},
    }
    return MachineObservation(**{**fields, **more})


class FakePeer:
    """A scripted instance: it sends an announcement, and pages of its observations as changed by `spoil`.

    `spoil` gets the number and bytes of a page; for None, the request is never answered.
    """

    def __init__(
        self,
        stage: Stage,
        observations: list[MachineObservation],
        ident: str = "fake",
        spoil: Callable[[int, bytes], bytes | None] = lambda _, page: page,
        **announce: Any,
    ) -> None:
        self.stage, self.observations, self.spoil = stage, observations, spoil
        self.ident, self.announce = ident, announce
        self.pages = 0
        self.clock_us = 0
        self.snapshots = Snapshots(1)
        self.server = Server(stage.hub, "127.0.0.1", 0, self.answer, print)
        stage.hub.spawn(self.server.serve)

    def answer(self, request: Request) -> Answer:
        if request.target.endswith("/instance"):
            fields: dict[str, Any] = {
                "region": "",
                "cluster": "main",
                "uptime_us": 60 * S,
                "list_age_us": 0,
                "machines": 50,
                **self.announce,
            }
            return Answer(
                200, encode_instance(Announcement("", self.ident, 1, rtt_us=0, **fields), "")
            )
        if "knowledge" not in request.target or "watch" in request.target:
            return Answer(404)
        token = request.target.partition("continue=")[2]
        now = self.stage.hub.now_us() + self.clock_us
        page = self.snapshots.page(
            token,
            now,
            lambda: (self.observations, UsageRatios((0.6, 0.7), (50, 50), 0)),
            lambda: None,
        )
        self.pages += 1
        sent_page = self.spoil(self.pages, page)
        if sent_page is None:
            self.stage.hub.sleep(600 * S)
        return Answer(200, sent_page or b"")


def restarted(stage: Stage, *peers: int) -> Any:
    """Restart the stage's first placer with an empty state and these peer ports; returns its core."""
    slot = stage.cluster.placers[0]
    slot.kill()
    slot.state = ""
    slot.extra = ALLOW + "".join(peer_line(port) for port in peers)
    slot.start()
    assert slot.service is not None
    return slot.service.placer


def known_warm(placer: Any) -> set[str]:
    return {service for each in placer.host.knowledge().machines for service in each.warm_us}


def test_a_new_instance_learns_from_a_running_one_without_holding_up_a_task() -> None:
    stage = Stage(machines=6, placers=2)

    def script() -> None:
        teacher = stage.cluster.placers[1]
        teacher.kill()
        teacher.extra = ALLOW
        teacher.start()
        stage.hub.sleep(S)
        pool = stage.pool(teacher.port)
        for number in range(12):
            value = {
                "metadata": {
                    "name": f"t{number}",
                    "labels": {names.SERVICE: f"taught-{number}"},
                    "annotations": {names.RUNS_FOR: "60s"},
                },
                "spec": {
                    "template": {
                        "spec": {
                            "containers": [
                                {
                                    "name": "c",
                                    "resources": {"requests": {"cpu": "1", "memory": "1Gi"}},
                                }
                            ]
                        }
                    }
                },
            }
            assert (
                pool.request(
                    "POST", "/apis/batch/v1/namespaces/default/jobs", names.encode(value)
                ).status
                == 201
            )
        stage.hub.sleep(5 * S)
        placer = restarted(stage, teacher.port)
        stage.submit("at-once")
        stage.settled("at-once", 2)
        stage.hub.sleep(S)
        assert placer.learner.state == "followed"
        assert placer.learner.source == "placer-1"
        assert {f"default/taught-{number}" for number in range(12)} <= known_warm(placer)
        assert not [
            task for task in placer.job_store.by_request.values() if "taught" in task.job.key
        ]
        stage.hub.sleep(70 * S)
        assert placer.learner.state == "learned"
        assert placer.learner.counts["followed"] >= 50
        assert teacher.service is not None
        assert teacher.service.rest.instances.active_transfers == 0
        member = placer.peering.members["placer-1"]
        assert member.status.value == "alive"

    stage.play(script)
    assert stage.audit().clean


def spoil_digest(number: int, page: bytes) -> bytes:
    return page.replace(b"node-1", b"node-9") if number == 1 else page


def garbage(number: int, page: bytes) -> bytes:
    return b"\xff\x00 not a page"


def another_form(number: int, page: bytes) -> bytes:
    return page.replace(b'"form":1', b'"form":2')


def too_many(number: int, page: bytes) -> bytes:
    return page.replace(b'"total":', b'"total":1000000')


@pytest.mark.parametrize("spoil", [spoil_digest, garbage, another_form, too_many])
def test_an_invalid_page_is_ignored_and_the_next_peer_is_asked(
    spoil: Callable[[int, bytes], bytes],
) -> None:
    stage = Stage(machines=4)

    def script() -> None:
        observations = [observation(f"node-{i}") for i in range(4)]
        bad = FakePeer(
            stage,
            [observation(f"node-{i}", warm_us={"default/bad": 9 * S}) for i in range(4)],
            "a-bad",
            spoil,
        )
        good = FakePeer(stage, observations, "b-good")
        placer = restarted(stage, bad.server.port, good.server.port)
        stage.hub.sleep(3 * S)
        assert known_warm(placer) == {"default/heard"}
        assert placer.learner.source == "b-good"
        assert placer.learner.counts["bad_pages"] == 1

    stage.play(script)


@pytest.mark.parametrize("stall_at", [1, 2, 3])
def test_pages_before_a_stall_are_kept_and_the_delay_is_bounded(
    stall_at: int,
) -> None:
    stage = Stage(machines=4)

    def script() -> None:
        observations = [observation(f"node-{i}") for i in range(4)] + [
            observation(f"other-{i}") for i in range(2 * MACHINES_PER_PAGE)
        ]
        stuck = FakePeer(
            stage, observations, spoil=lambda number, page: None if number == stall_at else page
        )
        # Too many unlisted machines would make it a peer of another cluster: here all observed machines are listed.
        stuck.observations = list(
            itertools.chain(
                *([observation(f"node-{i % 4}")] * 1 for i in range(2 * MACHINES_PER_PAGE + 8))
            )
        )
        start_us = stage.hub.now_us()
        placer = restarted(stage, stuck.server.port)
        stage.submit("at-once")
        assert "Placed" in stage.settled("at-once", 2)
        while placer.learner.state == "asking":
            stage.hub.sleep(S // 10)
        assert stage.hub.now_us() - start_us <= 4 * S
        assert placer.learner.state == ("cold" if stall_at == 1 else "learned")
        assert known_warm(placer) >= (set() if stall_at == 1 else {"default/heard"})

    stage.play(script)


@pytest.mark.parametrize("cut", [10, 200, 500])
def test_a_transfer_cut_inside_a_page_applies_nothing_of_it(cut: int) -> None:
    stage = Stage(machines=4)

    def script() -> None:
        peer = FakePeer(stage, [observation(f"node-{i}") for i in range(4)])
        proxy = Proxy(stage.hub, peer.server.port)
        original = peer.answer

        def answer(request: Request) -> Answer:
            if "knowledge" in request.target:
                proxy.reset_after_bytes = cut
            return original(request)

        peer.server._handler = answer
        placer = restarted(stage, proxy.port)
        stage.hub.sleep(8 * S)
        assert not known_warm(placer)
        assert placer.learner.state == "cold"

    stage.play(script)


def test_repeated_or_reordered_pages_end_the_transfer() -> None:
    for repeated in (1, 3):
        stage = Stage(machines=4)

        def script(repeated: int = repeated, stage: Stage = stage) -> None:
            kept: dict[int, bytes] = {}

            def spoil(number: int, page: bytes) -> bytes:
                kept[number] = page
                return (
                    kept[repeated]
                    if number == 2 and repeated in kept
                    else (page.replace(b'"first":200', b'"first":400') if number == 2 else page)
                )

            peer = FakePeer(
                stage,
                [observation(f"node-{i % 4}") for i in range(3 * MACHINES_PER_PAGE)],
                spoil=spoil,
            )
            placer = restarted(stage, peer.server.port)
            stage.hub.sleep(3 * S)
            assert placer.learner.counts["bad_pages"] == 1
            assert peer.pages == 2

        stage.play(script)


def test_observations_of_another_cluster_are_rejected_as_a_whole() -> None:
    stage = Stage(machines=6)

    def script() -> None:
        peer = FakePeer(
            stage,
            [observation(f"node-{i}") for i in range(2)]
            + [observation(f"far-{i}") for i in range(30)],
        )
        slot = stage.cluster.placers[0]
        placer = restarted(stage)
        stage.hub.sleep(S)
        assert slot.service is not None
        assert placer.peer_hints.on_observations(peer.observations, 0, True) is False
        assert not known_warm(placer)
        other = FakePeer(stage, [observation("node-0")], "elsewhere", cluster="other")
        placer = restarted(stage, other.server.port)
        stage.hub.sleep(2 * S)
        assert other.pages == 0
        assert placer.learner.state == "cold"

    stage.play(script)


def test_a_constant_clock_offset_is_harmless_and_a_clock_jump_is_not_trusted() -> None:
    for jump, is_trusted in ((0, True), (1800 * S, False)):
        stage = Stage(machines=4)

        def script(jump: int = jump, is_trusted: bool = is_trusted, stage: Stage = stage) -> None:
            def spoil(number: int, page: bytes) -> bytes:
                peer.clock_us += jump if number == 1 else 0
                return page

            first = [observation(f"node-{i % 4}", warm_us={}) for i in range(MACHINES_PER_PAGE)]
            peer = FakePeer(
                stage, [*first, *(observation(f"node-{i}") for i in range(4))], spoil=spoil
            )
            peer.clock_us = 3600 * S
            placer = restarted(stage, peer.server.port)
            stage.hub.sleep(3 * S)
            assert (known_warm(placer) == {"default/heard"}) is is_trusted

        stage.play(script)


def test_stale_knowledge_with_a_fresh_age_is_overridden_by_a_newer_list() -> None:
    stage = Stage(machines=4)

    def script() -> None:
        liar = FakePeer(
            stage,
            [
                observation(f"node-{i}", version=1, asked=(23.9, 47.9), asked_age_us=0, warm_us={})
                for i in range(4)
            ],
        )
        placer = restarted(stage, liar.server.port)
        stage.hub.sleep(2 * S)
        assert all(each.asked[0] < 10 for each in placer.host.knowledge().machines)
        stage.submit("fits", cores=20, memory=40)
        assert "Placed" in stage.settled("fits")

    stage.play(script)


@pytest.mark.parametrize("seen_after_list", [False, True])
def test_a_machine_the_peer_saw_draining_gets_nothing_until_a_newer_list_says_it_runs(
    seen_after_list: bool,
) -> None:
    stage = Stage(machines=2)

    def script() -> None:
        machine = stage.cluster.machines[0]
        version = int(stage.cluster.source._nodes.objects["node-0"].version)
        peer = FakePeer(
            stage,
            [
                observation(
                    "node-0", version=version + (5 if seen_after_list else -1), phase=Phase.DRAINING
                ),
                observation("node-1", version=1),
            ],
        )
        placer = restarted(stage, peer.server.port)
        stage.hub.sleep(2 * S)
        for number in range(8):
            stage.submit(f"t{number}", service=f"s{number}", runs_s=60)
            stage.settled(f"t{number}")
        began = {record.where for record in stage.seen("offer", placer="placer-0")}
        assert began == ({"node-1"} if seen_after_list else {"node-0", "node-1"})
        if seen_after_list:
            assert placer.machines.links["node-0"].phase is Phase.DRAINING
            stage.cluster.source._store.version += 10
            machine.build = machine.build.__class__(
                **{**_fields(machine.build), "cached_programs": 9}
            )
            value = node_value(machine)
            value["metadata"]["labels"]["fresh"] = "yes"
            stage.cluster.source.show("node-0", value)
            stage.hub.sleep(S)
            assert placer.machines.links["node-0"].phase.value == "running"
            for number in range(8, 20):
                stage.submit(f"t{number}", service=f"s{number}", runs_s=60)
                stage.settled(f"t{number}")
            assert {record.where for record in stage.seen("offer", placer="placer-0")} == {
                "node-0",
                "node-1",
            }

    stage.play(script)


def _fields(build: Any) -> dict[str, Any]:
    return {name: getattr(build, name) for name in build.__slots__}


def test_two_new_instances_learn_nothing_from_each_other() -> None:
    stage = Stage(machines=3, placers=2)

    def script() -> None:
        first, second = stage.cluster.placers
        for slot, other in ((first, second), (second, first)):
            slot.kill()
            slot.extra = ALLOW + peer_line(other.port)
        first.start()
        second.start()
        stage.hub.sleep(4 * S)
        for slot in (first, second):
            assert slot.service is not None
            learner = slot.service.placer.learner
            assert learner.state == "cold"
            assert not learner.counts["pages"]
            assert len(slot.service.placer.peering.members) == 1
        stage.submit("works")
        assert "Placed" in stage.settled("works")

    stage.play(script)


def test_ten_concurrent_watches_are_bounded_and_placing_continues() -> None:
    stage = Stage(machines=6)

    def script() -> None:
        teacher = stage.cluster.placers[0]
        teacher.kill()
        teacher.extra = ALLOW
        teacher.start()
        stage.hub.sleep(S)
        instances = teacher.service.rest.instances  # type: ignore[union-attr]
        answers: list[int] = []

        def ask() -> None:
            pool = stage.pool()
            response, parts = pool.stream("GET", "/apis/wingbarrow.io/v1/knowledge?watch=true")
            answers.append(response.status)
            with stage.hub.limit(5 * S):
                for _ in parts:
                    pass
            parts.close()  # type: ignore[attr-defined]

        with Nursery(stage.hub) as nursery:
            for _ in range(10):
                nursery.spawn(ask)
            stage.hub.sleep(S)
            stage.submit("meanwhile")
            assert "Placed" in stage.settled("meanwhile", 2)
            assert instances.active_transfers == 4
        assert sorted(answers) == [200] * 4 + [429] * 6
        stage.hub.sleep(2 * S)
        assert instances.active_transfers == 0

    stage.play(script)


def test_a_client_that_is_not_allowed_gets_403_and_is_logged_once() -> None:
    events: list[str] = []
    stage = Stage(machines=1)
    stage.cluster.log = lambda event, level="info", **fields: events.append(event)

    def script() -> None:
        pool = stage.pool()
        for path in ("instance", "knowledge", "members"):
            assert pool.request("GET", f"/apis/wingbarrow.io/v1/{path}").status == 403
        assert pool.request("POST", "/apis/wingbarrow.io/v1/peers", b"{}").status == 403

    stage.play(script)
    assert events.count("peer-refused") == 1


def test_a_snapshot_is_resumed_until_it_expires() -> None:
    snapshots = Snapshots(7)
    observations = [observation(f"m{i}") for i in range(450)]
    first = decode_page(
        snapshots.page("", 0, lambda: (observations, UsageRatios((1, 1), (1, 1), 0)), lambda: None),
        1000,
    )
    assert (first.first, first.total, len(first.observations)) == (0, 450, MACHINES_PER_PAGE)
    second = decode_page(
        snapshots.page(first.next, 5 * S, lambda: ([], first.usage), lambda: None), 1000
    )
    assert (second.first, second.snapshot_age_us) == (200, 5 * S)
    with pytest.raises(KeyError):
        snapshots.page(first.next, 40 * S, lambda: ([], first.usage), lambda: None)
    for bad in ("nonsense", "7-1.x", "7-1.99", "7-1.-1"):
        with pytest.raises(KeyError):
            snapshots.page(bad, 5 * S, lambda: ([], first.usage), lambda: None)


def test_a_mass_restart_with_nobody_to_learn_from_starts_cold_and_keeps_the_rules() -> None:
    stage = Stage(machines=4, placers=3)

    def script() -> None:
        slots = stage.cluster.placers
        ports = [slot.port for slot in slots]
        for slot in slots:
            slot.kill()
            slot.state = ""
            slot.extra = ALLOW + "".join(peer_line(port) for port in ports)
        for slot in slots:
            slot.start()
        stage.submit("first")
        assert "Placed" in stage.settled("first")
        stage.hub.sleep(8 * S)
        assert all(slot.service and slot.service.placer.learner.state == "cold" for slot in slots)

    stage.play(script)
    assert stage.audit().clean
