"""The replica: requests are stored whole or refused whole, and one placer takes a Job over."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tests.decide.replication.arrangement import (
    ME,
    S,
    record,
)
from wingbarrow.decide.effects import Notify, Send
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    phase_of,
)
from wingbarrow.decide.replication.replica import Replica, count_unreplicated
from wingbarrow.decide.sessions.messages import (
    HeldRecords,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
)
from wingbarrow.decide.sessions.session import EndedSession, Session


def test_a_keeper_takes_a_mail_whole_or_refuses_it_whole() -> None:
    keeper = Replica(Session("b", 1, 0), ReplicationLimits(max_records_per_peer=3))

    def say(
        number: int, *uids: str, session: Session = ME, sender: str = "a", **more: Any
    ) -> ReplicateResponse:
        records = tuple(record(uid, session=session) for uid in uids)
        (answer,) = keeper.on_request(
            0, sender, ReplicateRequest(number, session, records, life=1, **more)
        )
        assert isinstance(answer, Send)
        assert isinstance(answer.message, ReplicateResponse)
        return answer.message

    assert say(1, "u", "v").good
    assert keeper.summary() == (HeldRecords(ME, 2, 5 * S),)
    refused = say(2, "w", "x")
    assert not refused.good
    assert "no room" in refused.why
    assert set(keeper.entries) == {"u", "v"}
    assert say(3, "w", gone=("u",)).good
    assert set(keeper.entries) == {"v", "w"}
    assert not keeper.on_request(0, "a", ReplicateRequest(2, ME, (record("u"),), life=1)), (
        "late mail is not answered, nor taken"
    )
    assert not say(4, "w", sender="b").good
    assert not say(4, "w", serial=1).good
    assert (
        say(5, "w", session=Session("a", 2, 0)).taken == (("w", 0, "a"),) or "w" in keeper.entries
    )
    assert say(6, "v").over, "a life before"


def test_only_the_successor_takes_over_and_a_later_end_of_its_own_leaves_doubt() -> None:
    keepers = {name: Replica(Session(name, 1, 0)) for name in "bc"}
    job = replace(record("u", "unsafe"), keepers=("b", "c"))
    for keeper in keepers.values():
        keeper.on_request(0, "a", ReplicateRequest(1, ME, (job,), life=1))
    assert count_unreplicated(3, keepers["b"].summary()) == 2
    end = EndedSession(1, ME, "north", (("c",),))
    assert not keepers["b"].on_session_ended(0, end)
    (taking,) = keepers["c"].on_session_ended(S, end)
    assert taking.must == ("b",)
    assert taking.record.born_age_us == S
    assert not keepers["c"].on_session_ended(S, end)
    assert keepers["b"].awaiting_successors() == {"c": ["u"]}
    keepers["b"].on_own_session_ended(Session("b", 1, 1), ())
    gone = EndedSession(1, ME, "north", (("c",), ("b",)), ("c",))
    assert not keepers["b"].on_session_ended(S, gone)
    assert "u" in keepers["b"].awaiting_successors()[""]
    late = keepers["b"].take_over(S, "u")
    assert late is not None
    assert phase_of(late.record, 0).phase == "doubt"
    (answer,) = keepers["c"].on_resolve("b", ResolveRequest(1, ME, ("u", "x")), {"x": (4, "run")})
    assert isinstance(answer, Send)
    assert answer.message.fates == (
        ("u", 1, "waiting"),
        ("x", 4, "run"),
    )


def test_of_two_that_took_over_at_one_epoch_the_lesser_name_stands_unless_the_other_started() -> (
    None
):
    for started, stands in ((False, True), (True, False)):
        keeper = Replica(Session("c", 1, 0))
        keeper.on_request(
            0, "a", ReplicateRequest(1, ME, (replace(record("u"), keepers=("c",)),), life=1)
        )
        keeper.on_session_ended(0, EndedSession(2, ME, "north", (("c",),)))
        keeper.set_outcome("u", "run" if started else "asked")
        rival = Session("b", 1, 0)
        claim = ReplicateRequest(
            1, rival, (replace(record("u", session=rival), epoch=2, version=2),), life=1
        )
        *told, answer = keeper.on_request(0, "b", claim)
        assert isinstance(answer, Send)
        assert (not answer.message.taken) is stands
        assert [each.event for each in told if isinstance(each, Notify)] == (
            ["superseded"] if stands else []
        )
