"""The replica: a request is stored or refused as a whole, and exactly one placer takes a Job over."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.decide.replication.helpers import (
    SESSION,
    S,
    new_record,
)
from wingbarrow.decide.effects import Notify, Send
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    known_task,
)
from wingbarrow.decide.replication.replica import Replica, count_unreplicated
from wingbarrow.decide.sessions.messages import (
    HeldRecords,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
)
from wingbarrow.decide.sessions.session import EndedSession, Session


def test_request_is_stored_whole_or_refused_whole() -> None:
    replica = Replica(Session("b", 1, 0), ReplicationLimits(max_records_per_peer=3))

    def send(
        number: int, *uids: str, session: Session = SESSION, sender: str = "a", **more: Any
    ) -> ReplicateResponse:
        records = tuple(new_record(uid, session=session) for uid in uids)
        (response,) = replica.on_request(
            0, sender, ReplicateRequest(number, session, records, life=1, **more)
        )
        assert isinstance(response, Send)
        assert isinstance(response.message, ReplicateResponse)
        return response.message

    assert send(1, "u", "v").good
    assert replica.summary() == (HeldRecords(SESSION, 2, 5 * S),)
    refused = send(2, "w", "x")
    assert not refused.good
    assert "no room" in refused.why
    assert set(replica.entries) == {"u", "v"}
    assert send(3, "w", gone=("u",)).good
    assert set(replica.entries) == {"v", "w"}
    assert not replica.on_request(
        0, "a", ReplicateRequest(2, SESSION, (new_record("u"),), life=1)
    ), "an older request is neither answered nor stored"
    assert not send(4, "w", sender="b").good
    assert not send(4, "w", serial=1).good
    assert (
        send(5, "w", session=Session("a", 2, 0)).taken == (("w", 0, "a"),) or "w" in replica.entries
    )
    assert send(6, "v").over, "a request of an earlier incarnation"


def test_only_the_successor_takes_over_and_its_own_end_leaves_doubt() -> None:
    replicas = {name: Replica(Session(name, 1, 0)) for name in "bc"}
    job = replace(new_record("u", "unsafe"), keepers=("b", "c"))
    for replica in replicas.values():
        replica.on_request(0, "a", ReplicateRequest(1, SESSION, (job,), life=1))
    assert count_unreplicated(3, replicas["b"].summary()) == 2
    end = EndedSession(1, SESSION, "north", (("c",),))
    assert not replicas["b"].on_session_ended(0, end)
    (claim,) = replicas["c"].on_session_ended(S, end)
    assert claim.possible_replicas == ("b",)
    assert claim.record.born_age_us == S
    assert not replicas["c"].on_session_ended(S, end)
    assert replicas["b"].awaiting_successors() == {"c": ["u"]}
    replicas["b"].on_own_session_ended(Session("b", 1, 1), ())
    gone = EndedSession(1, SESSION, "north", (("c",), ("b",)), ("c",))
    assert not replicas["b"].on_session_ended(S, gone)
    assert "u" in replicas["b"].awaiting_successors()[""]
    late = replicas["b"].take_over(S, "u")
    assert late is not None
    assert known_task(late.record, 0).phase == "doubt"
    (response,) = replicas["c"].on_resolve(
        "b", ResolveRequest(1, SESSION, ("u", "x")), {"x": (4, "run")}
    )
    assert isinstance(response, Send)
    assert response.message.fates == (
        ("u", 1, "waiting"),
        ("x", 4, "run"),
    )


@pytest.mark.parametrize(("is_started", "is_stored"), [(False, True), (True, False)])
def test_lesser_name_has_precedence_at_one_epoch_unless_the_other_started(
    is_started: bool, is_stored: bool
) -> None:
    replica = Replica(Session("c", 1, 0))
    job = replace(new_record("u"), keepers=("c",))
    replica.on_request(0, "a", ReplicateRequest(1, SESSION, (job,), life=1))
    replica.on_session_ended(0, EndedSession(2, SESSION, "north", (("c",),)))
    replica.set_outcome("u", "run" if is_started else "asked")
    rival = Session("b", 1, 0)
    rival_job = replace(new_record("u", session=rival), epoch=2, version=2)
    *events, response = replica.on_request(0, "b", ReplicateRequest(1, rival, (rival_job,), life=1))
    assert isinstance(response, Send)
    assert (not response.message.taken) is is_stored
    assert [each.event for each in events if isinstance(each, Notify)] == (
        ["superseded"] if is_stored else []
    )
