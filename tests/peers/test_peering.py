"""Membership over the placers' fronts, on a virtual clock: joins, kills, pauses, invalid and foreign envelopes."""

from __future__ import annotations

from typing import Any

from tests.stage import S, Stage
from wingbarrow.decide.membership.messages import MemberStatus, MemberUpdate, Sync
from wingbarrow.http.client import Pool
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.peers.message import MAX_ENVELOPE_BYTES, encode_envelope, encode_message
from wingbarrow.peers.outbox import MAX_ADDRESSES, PATH

ALLOW = '\nallow-peer "127.0.0.0/8"\n'


class PeerStage(Stage):
    """Placers whose only seed is the first one."""

    def join(self) -> None:
        first = self.cluster.placers[0]
        for slot in self.cluster.placers:
            slot.kill()
            slot.extra = ALLOW + (
                f'peer "127.0.0.1" port={first.port}\n' if slot is not first else ""
            )
        for slot in self.cluster.placers:
            slot.start()

    def status(self, who: int, of: int) -> MemberStatus | None:
        service = self.cluster.placers[who].service
        assert service is not None
        held = service.placer.peering.members.get(f"placer-{of}")
        return held.status if held is not None else None

    def wait(self, done: Any, seconds: float) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 10)
        return bool(done())

    def all_see_all_alive(self) -> bool:
        live = [slot.index for slot in self.cluster.placers if slot.service is not None]
        return all(self.status(a, b) is MemberStatus.ALIVE for a in live for b in live if a != b)


def test_placers_with_one_seed_discover_all_others_failures_and_returns() -> None:
    stage = PeerStage(machines=1, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_see_all_alive, 20)
        gone: PlacerSlot = stage.cluster.placers[3]
        gone.kill()
        assert stage.wait(
            lambda: all(stage.status(a, 3) is MemberStatus.DEAD for a in (0, 1, 2, 4)), 40
        )
        gone.start()
        assert stage.wait(stage.all_see_all_alive, 51)

    stage.play(script)


def test_a_paused_placer_rejoins_and_no_other_is_reported_dead() -> None:
    stage = PeerStage(machines=1, placers=4)
    events: list[tuple[str, str]] = []

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_see_all_alive, 20)
        stage.cluster.log = lambda event, level="info", **fields: events.append(
            (event, fields.get("member", ""))
        )
        for slot in stage.cluster.placers:
            slot.service.placer.peering._log = stage.cluster.log  # type: ignore[union-attr]
        stage.cluster.placers[2].hold(6 * S)
        stage.hub.sleep(40 * S)
        assert stage.all_see_all_alive()
        assert {member for event, member in events if event == "member-dead"} <= {"placer-2"}

    stage.play(script)


def test_invalid_and_foreign_envelopes_are_rejected_without_effect() -> None:
    stage = PeerStage(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_see_all_alive, 20)
        pool = stage.pool()
        false_update = MemberUpdate(
            "placer-1", 1 << 61, MemberStatus.DEAD, "127.0.0.1:9", "", 1, "liar"
        )
        foreign_envelope = encode_envelope(
            "other", "x", "y:1", [encode_message(Sync(True, (false_update,)))]
        )
        for body in (b"", b"{}", b"\x00" * 300_000, foreign_envelope):
            assert pool.request("POST", PATH, body).status in (413, 422)
        assert stage.all_see_all_alive()
        stage.hub.sleep(20 * S)
        assert stage.all_see_all_alive()
        stage.submit("works")
        assert "Placed" in stage.settled("works")

    stage.play(script)


def test_gossip_cannot_direct_a_placer_to_addresses_that_its_settings_do_not_allow() -> None:
    stage = PeerStage(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_see_all_alive, 20)
        service = stage.cluster.placers[0].service
        assert service is not None
        updates = tuple(
            MemberUpdate(f"x{number}", 5, MemberStatus.ALIVE, address, "", 5)
            for number, address in enumerate(
                ("192.0.2.1:80", "example.org:80", "127.0.0.1:0", "nonsense")
            )
        )
        pool = Pool(stage.hub, "127.0.0.1", stage.cluster.placers[0].port)
        envelope = encode_envelope(
            "main", "x9", "127.0.0.1:1", [encode_message(Sync(False, updates))]
        )
        assert pool.request("POST", PATH, envelope).status == 200
        stage.hub.sleep(10 * S)
        peering = service.placer.peering
        assert peering.counts["peers:addresses refused"] >= 2
        assert all(host == "127.0.0.1" and port > 0 for host, port in peering._outbox._queues)
        assert len(peering._outbox._queues) <= MAX_ADDRESSES

    stage.play(script)


def test_a_message_too_long_for_an_envelope_is_dropped_and_blocks_nothing() -> None:
    stage = PeerStage(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_see_all_alive, 20)
        service = stage.cluster.placers[0].service
        assert service is not None
        peering = service.placer.peering
        for size in (MAX_ENVELOPE_BYTES // 2 + 1, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_BYTES * 3):
            peering._outbox.send(
                "127.0.0.1", stage.cluster.placers[1].port, b'"' + b"x" * size + b'"'
            )
        assert peering.counts["peers:letters dropped, too long"] == 2
        stage.hub.sleep(5 * S)
        assert stage.all_see_all_alive()

    stage.play(script)


def test_peering_is_disabled_without_peers() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        service = stage.cluster.placers[0].service
        assert service is not None
        assert not service.placer.peering.is_enabled
        stage.hub.sleep(10 * S)
        assert not service.placer.peering.counts

    stage.play(script)
