"""Placers that know each other over their fronts, on a virtual clock: joins, kills, stalls, rubbish, strangers."""

from __future__ import annotations

from typing import Any

from tests.stage import S, Stage
from wingbarrow.decide.membership.messages import MemberStatus, MemberUpdate, Sync
from wingbarrow.http.client import Pool
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.peers.message import MAX_ENVELOPE_BYTES, encode_envelope, encode_message
from wingbarrow.peers.outbox import MAX_ADDRESSES, PATH

ALLOW = '\nallow-peer "127.0.0.0/8"\n'


class Peers(Stage):
    """All placers have the first one as their seed."""

    def join(self) -> None:
        first = self.cluster.placers[0]
        for slot in self.cluster.placers:
            slot.kill()
            slot.extra = ALLOW + (
                f'peer "127.0.0.1" port={first.port}\n' if slot is not first else ""
            )
        for slot in self.cluster.placers:
            slot.start()

    def standing(self, who: int, of: int) -> MemberStatus | None:
        service = self.cluster.placers[who].service
        assert service is not None
        held = service.placer.peering.members.get(f"placer-{of}")
        return held.status if held is not None else None

    def wait(self, done: Any, seconds: float) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 10)
        return bool(done())

    def whole(self) -> bool:
        live = [slot.index for slot in self.cluster.placers if slot.service is not None]
        return all(self.standing(a, b) is MemberStatus.ALIVE for a in live for b in live if a != b)


def test_placers_that_have_one_seed_learn_of_all_others_and_of_deaths_and_returns() -> None:
    stage = Peers(machines=1, placers=5)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.whole, 20)
        gone: PlacerSlot = stage.cluster.placers[3]
        gone.kill()
        assert stage.wait(
            lambda: all(stage.standing(a, 3) is MemberStatus.DEAD for a in (0, 1, 2, 4)), 40
        )
        gone.start()
        assert stage.wait(stage.whole, 51)

    stage.play(script)


def test_a_placer_held_still_is_back_without_a_word_against_anybody_else() -> None:
    stage = Peers(machines=1, placers=4)
    told: list[tuple[str, str]] = []

    def script() -> None:
        stage.join()
        assert stage.wait(stage.whole, 20)
        stage.cluster.log = lambda event, level="info", **fields: told.append(
            (event, fields.get("member", ""))
        )
        for slot in stage.cluster.placers:
            slot.service.placer.peering._log = stage.cluster.log  # type: ignore[union-attr]
        stage.cluster.placers[2].hold(6 * S)
        stage.hub.sleep(40 * S)
        assert stage.whole()
        assert {member for event, member in told if event == "member-dead"} <= {"placer-2"}

    stage.play(script)


def test_rubbish_and_strangers_are_refused_and_change_nothing() -> None:
    stage = Peers(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.whole, 20)
        pool = stage.pool()
        liar = MemberUpdate("placer-1", 1 << 61, MemberStatus.DEAD, "127.0.0.1:9", "", 1, "liar")
        stranger = encode_envelope("other", "x", "y:1", [encode_message(Sync(True, (liar,)))])
        for body in (b"", b"{}", b"\x00" * 300_000, stranger):
            assert pool.request("POST", PATH, body).status in (413, 422)
        assert stage.whole()
        stage.hub.sleep(20 * S)
        assert stage.whole()
        stage.submit("works")
        assert "Placed" in stage.settled("works")

    stage.play(script)


def test_gossip_cannot_have_a_placer_call_addresses_that_its_settings_do_not_allow() -> None:
    stage = Peers(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.whole, 20)
        service = stage.cluster.placers[0].service
        assert service is not None
        words = tuple(
            MemberUpdate(f"x{number}", 5, MemberStatus.ALIVE, address, "", 5)
            for number, address in enumerate(
                ("192.0.2.1:80", "example.org:80", "127.0.0.1:0", "nonsense")
            )
        )
        pool = Pool(stage.hub, "127.0.0.1", stage.cluster.placers[0].port)
        mail = encode_envelope("main", "x9", "127.0.0.1:1", [encode_message(Sync(False, words))])
        assert pool.request("POST", PATH, mail).status == 200
        stage.hub.sleep(10 * S)
        peering = service.placer.peering
        assert peering.counts["peers:addresses refused"] >= 2
        assert all(host == "127.0.0.1" and port > 0 for host, port in peering._outbox._queues)
        assert len(peering._outbox._queues) <= MAX_ADDRESSES

    stage.play(script)


def test_a_letter_that_no_mail_has_room_for_is_dropped_and_holds_up_nothing() -> None:
    stage = Peers(machines=1, placers=2)

    def script() -> None:
        stage.join()
        assert stage.wait(stage.whole, 20)
        service = stage.cluster.placers[0].service
        assert service is not None
        peering = service.placer.peering
        for size in (MAX_ENVELOPE_BYTES // 2 + 1, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_BYTES * 3):
            peering._outbox.send(
                "127.0.0.1", stage.cluster.placers[1].port, b'"' + b"x" * size + b'"'
            )
        assert peering.counts["peers:letters dropped, too long"] == 2
        stage.hub.sleep(5 * S)
        assert stage.whole()

    stage.play(script)


def test_a_placer_without_peers_takes_no_part_and_costs_nothing() -> None:
    stage = Stage(machines=1)

    def script() -> None:
        service = stage.cluster.placers[0].service
        assert service is not None
        assert not service.placer.peering.is_enabled
        stage.hub.sleep(10 * S)
        assert not service.placer.peering.counts

    stage.play(script)
