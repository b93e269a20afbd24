"""Sessions end to end on a virtual clock: placers of three regions, Lease objects, and notices of ended sessions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.peers.stage import AgreementStage
from tests.stage import S
from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.sessions.lease_times import ended_within_us
from wingbarrow.decide.sessions.messages import HeldRecords, ReplicateRequest, ReplicateResponse
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.peers.host import Peering

LEASES = "/apis/wingbarrow.io/v1/leases"
LEASE_US = 4 * S


def in_region(slot: PlacerSlot, region: str) -> None:
    """Set a placer's region and the lease duration in its settings."""
    made = slot._settings

    def settings() -> PlacerSettings:
        original = made()
        agree = replace(original.agree, lease_us=LEASE_US) if original.agree is not None else None
        return replace(original, region=region, agree=agree)

    slot._settings = settings  # type: ignore[method-assign]


class SessionStage(AgreementStage):
    """Five placers in three regions."""

    def join(self) -> None:
        for slot in self.cluster.placers:
            in_region(slot, f"region-{slot.index % 3}")
        super().join()

    def peering(self, index: int) -> Peering:
        service = self.cluster.placers[index].service
        assert service is not None
        return service.placer.peering

    def all_open(self) -> bool:
        now = self.hub.now_us()
        return all(
            slot.service is None or slot.service.placer.peering.lease.may_send(now)
            for slot in self.cluster.placers
        )

    def items(self, slot: PlacerSlot) -> dict[str, dict[str, Any]]:
        status, value = self.ask(slot, path=LEASES)
        assert status == 200
        assert value["kind"] == "LeaseList"
        return {each["spec"]["holderIdentity"]: each for each in value["items"]}


def test_the_end_of_a_session_reaches_its_replica_holder_and_its_holder() -> None:
    stage = SessionStage(machines=1, placers=5)
    ended: list[tuple[int, EndedSession]] = []
    session_changes: list[tuple[int, Session, bool]] = []

    def script() -> None:
        stage.join()
        assert stage.wait(stage.all_open, 30)
        lost = stage.cluster.placers[4]
        session = stage.peering(4).lease.session
        assert session is not None
        stage.peering(3).lease.set_report_sources(
            held_records=lambda: (HeldRecords(session, 7, 5 * S),)
        )
        for index in (3, 4):
            stage.peering(index).on_session_ended = lambda each, index=index: ended.append(
                (index, each)
            )
            stage.peering(index).on_session = (
                lambda session, may, epoch, index=index: session_changes.append(
                    (index, session, may)
                )
            )
        stage.hub.sleep(2 * S)
        leader = stage.leader()
        held = stage.items(leader)
        assert len(held) == 5
        assert {each["status"]["state"] for each in held.values()} == {"open"}
        assert held[session.text()]["spec"]["leaseDurationSeconds"] == 4
        holder_item = next(each for each in held.values() if each["status"].get("keepsFor"))
        assert holder_item["status"]["keepsFor"] == {session.text(): {"jobs": 7, "afterUs": 5 * S}}
        assert list(stage.items(lost)) == [session.text()], "only its own session"
        lost.hold(ended_within_us(LEASE_US, 5 * S) + 5 * S)
        assert stage.wait(lambda: bool(ended), 30)
        assert ended[0][0] == 3
        assert ended[0][1].session == session
        assert ended[0][1].batches == (("placer-3",),)
        over = stage.items(leader)[session.text()]
        assert (over["status"]["state"], over["spec"]["leaseTransitions"]) == (
            "ended",
            ended[0][1].changed,
        )
        assert stage.wait(lambda: (4, replace(session, serial=2), True) in session_changes, 30)
        assert session_changes[0] == (4, session, False)
        assert (4, ended[0][1]) in ended
        assert stage.items(stage.cluster.placers[3])[session.text()]["status"]["state"] == "ended"
        assert stage.ask(leader, "DELETE", path=LEASES)[0] == 405

    stage.play(script)


def test_placers_without_a_region_have_no_sessions_and_without_voters_no_route() -> None:
    stage = AgreementStage(machines=1, placers=5)

    def script() -> None:
        assert stage.ask(stage.cluster.placers[0], path=LEASES)[0] == 404
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        stage.hub.sleep(3 * S)
        assert stage.ask(stage.leader(), path=LEASES)[1]["items"] == []

    stage.play(script)


class EchoMachine:
    """A state machine that answers each ReplicateRequest, sets a timer and records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        self.calls.append((ident, message))
        if not isinstance(message, ReplicateRequest):
            return []
        return [
            Send(ident, address, ReplicateResponse(message.number, message.session, True)),
            SetTimer("one", now_us + S),
        ]

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        self.calls.append(("timer", key))
        return [Notify("custody-timer", {"key": key})]


def test_a_hosted_state_machine_gets_its_messages_and_timers_and_others_are_counted() -> None:
    stage = AgreementStage(machines=1, placers=5)
    replica, primary, session = EchoMachine(), EchoMachine(), Session("placer-0", 1, 1)

    def peering(index: int) -> Peering:
        service = stage.cluster.placers[index].service
        assert service is not None
        return service.placer.peering

    def script() -> None:
        stage.join()
        assert stage.wait(lambda: stage.all_on("e1"))
        peering(1).register("custody", replica, (ReplicateRequest, ReplicateResponse))
        peering(0).register("custody", primary, (ReplicateRequest, ReplicateResponse))
        for other in (1, 2):
            peering(0).perform(
                "custody", [Send(f"placer-{other}", "", ReplicateRequest(9, session))]
            )
        stage.hub.sleep(3 * S)
        assert replica.calls == [("placer-0", ReplicateRequest(9, session)), ("timer", "one")]
        assert primary.calls == [("placer-1", ReplicateResponse(9, session, True))]
        assert peering(2).counts["peers:letters about custody, which is not kept here"] == 1
        for name in ("custody", "rules", "members"):
            with pytest.raises(ValueError, match=name):
                peering(0).register(name, primary, ())

    stage.play(script)
