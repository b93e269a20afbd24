"""The primary: what is acknowledged has a replica that is alive, and nothing is sent that a replica does not know."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.decide.replication.arrangement import (
    ALLOWED,
    ME,
    TERMS,
    WHERE,
    S,
    exchange,
    holder,
    kept,
    record,
)
from wingbarrow.decide.effects import Notify
from wingbarrow.decide.replication.primary import Primary
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
    choose_replicas,
)
from wingbarrow.decide.replication.replica import Replica
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.session import EndedSession, Session


@given(st.text("abcdef0123456789", min_size=1), st.integers(1, 3), st.sampled_from("bcde"))
def test_keepers_stand_in_other_allowed_regions_and_change_only_for_who_goes(
    uid: str, copies: int, gone: str
) -> None:
    regions = {"north": ("a", "n"), "south": ("b", "d"), "west": ("c", "e"), "east": ("f",)}
    terms = ReplicationTerms(ALLOWED, copies)
    chosen = choose_replicas(uid, "north", terms, regions)
    assert len(chosen) == len(set(chosen)) == copies
    assert set(chosen) <= set("bcde")
    if copies >= 2:
        assert {WHERE[name] for name in chosen[:2]} == {"south", "west"}
    after = choose_replicas(uid, "north", terms, regions, (gone,))
    assert gone not in after
    if gone not in chosen:
        assert after == chosen
    assert not choose_replicas(uid, "north", ReplicationTerms(("north", "moon"), copies), regions)


@pytest.mark.parametrize(
    ("made", "job", "why"),
    [
        (holder(names=""), record("u"), "no keeper"),
        (
            holder(ReplicationLimits(max_bytes_per_peer=3000)),
            record("u", manifest="x" * 4000),
            "no room at any keeper",
        ),
        (holder(), record("u", manifest="x" * 16384), "record of 17582 bytes, at most 16384"),
    ],
)
def test_what_cannot_be_kept_is_refused_at_once_with_its_reason(
    made: Primary, job: LeasedJobRecord, why: str
) -> None:
    token, effects = made.replicate(0, job, TERMS, S)
    assert kept(effects) == {token: (False, why)}
    assert not made.jobs


def test_a_token_is_settled_once_and_at_its_deadline_at_the_latest() -> None:
    made, keepers = holder(), {name: Replica(Session(name, 1, 0)) for name in WHERE}
    first, _ = made.replicate(0, record("u"), TERMS, S)
    assert kept(exchange(made, keepers, 2_000)) == {first: (True, "")}
    second, _ = made.record_answer(3_000, "u", "placed", 503_000)
    assert not kept(exchange(made, keepers, 10_000, "bcde"))
    told = exchange(made, keepers, 503_000, "bcde")
    assert set(kept(told)) == {second}
    assert not kept(told)[second][0]
    assert not kept(exchange(made, keepers, 900_000))
    assert not kept(made.on_timer(2 * S))
    third, effects = made.record_answer(2 * S, "v", "placed", 3 * S)
    assert kept(effects) == {third: (False, "not held")}


def test_a_holder_hears_once_that_its_session_is_over_and_holds_nothing_until_it_has_another() -> (
    None
):
    made, keepers = holder(), {name: Replica(Session(name, 1, 0)) for name in WHERE}
    made.replicate(0, record("u"), TERMS, S)
    exchange(made, keepers, 2_000)
    for keeper in keepers.values():
        keeper.on_session_ended(S, EndedSession(1, ME, "north"))
    token, _ = made.record_answer(S, "u", "placed", 3 * S)
    told = exchange(made, keepers, S + 2_000)
    assert kept(told) == {token: (False, "session over")}
    assert [each.event for each in told if isinstance(each, Notify)] == ["kept", "session-over"]
    late, effects = made.replicate(2 * S, record("v"), TERMS, 3 * S)
    assert kept(effects) == {late: (False, "session over")}
    assert not made.jobs
    assert set(made.former_jobs) == {"u"}
    assert not made.on_session_ended(2 * S, ME, 1)
    made.begin_session(3 * S, Session("a", 1, 1))
    token, _ = made.replicate(3 * S, record("w"), TERMS, 4 * S)
    assert kept(exchange(made, keepers, 3 * S + 2_000)) == {token: (True, "")}


def test_a_silent_keeper_is_replaced_in_the_stated_time_and_holds_up_nobody_else() -> None:
    bounds = ReplicationLimits()
    made, keepers = holder(bounds), {name: Replica(Session(name, 1, 0)) for name in WHERE}
    for index in range(400):
        made.replicate(0, record(f"u{index}"), TERMS, 10 * S)
    for now in range(2_000, 60_000, 2_000):
        exchange(made, keepers, now)
    mine = [uid for uid, job in made.jobs.items() if job.replicas == ["b"]]
    tokens = {uid: made.record_answer(60_000, uid, "placed", 10 * S)[0] for uid in made.jobs}
    good: dict[int, int] = {}
    for now in range(60_000, 3 * S, 5_000):
        good |= {
            token: now
            for token, (well, _) in kept(exchange(made, keepers, now, "b")).items()
            if well
        }
    assert len(mine) > 50
    assert all(good[tokens[uid]] < 60_000 + 20_000 for uid in made.jobs if uid not in mine)
    assert all(
        good[tokens[uid]] < 60_000 + bounds.reassigned_within_us(len(mine)) + 50_000 for uid in mine
    )
    assert all("b" not in job.replicas for job in made.jobs.values())


@pytest.mark.parametrize("way", ["forgot", "buried", "neither"])
def test_nothing_leaves_of_a_never_twice_job_before_a_dropped_keeper_is_out_of_it(way: str) -> None:
    made, keepers = holder(), {name: Replica(Session(name, 1, 0)) for name in WHERE}
    made.replicate(0, record("u", "unsafe"), TERMS, S)
    exchange(made, keepers, 2_000)
    (first,) = made.jobs["u"].replicas
    made.record_answer(3_000, "u", "", 3 * S)
    for now in range(3_000, 2 * S, 5_000):
        exchange(made, keepers, now, first)
    assert made.jobs["u"].replicas != [first]
    token, _ = made.record_send(2 * S, "u", KnownTask(0, "about", "m", "p"), 9 * S)
    assert not kept(exchange(made, keepers, 2 * S + 5_000, first))
    if way == "forgot":
        assert kept(exchange(made, keepers, 8 * S)) == {token: (True, "")}
        assert "u" not in keepers[first].entries
    elif way == "buried":
        assert kept(made.on_session_ended(8 * S, Session(first, 1, 0), 1)) == {token: (True, "")}
    else:
        exchange(made, keepers, 8 * S, first)
        assert kept(exchange(made, keepers, 9 * S, first)) == {
            token: (False, f"no word in time from {first}")
        }
