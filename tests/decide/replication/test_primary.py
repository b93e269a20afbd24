"""The primary: choice and replacement of replicas, settlement of tokens, and the acknowledgements that they require."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.decide.replication.helpers import (
    ALLOWED,
    REGIONS,
    SESSION,
    TERMS,
    S,
    exchange,
    new_primary,
    new_record,
    new_replicas,
    settled,
)
from wingbarrow.decide.effects import Notify
from wingbarrow.decide.replication.records import (
    ReplicationLimits,
    ReplicationTerms,
    choose_replicas,
)
from wingbarrow.decide.sessions.leased_job_record import KnownTask
from wingbarrow.decide.sessions.session import EndedSession, Session


@given(st.text("abcdef0123456789", min_size=1), st.integers(1, 3), st.sampled_from("bcde"))
def test_replicas_are_in_other_allowed_regions_and_change_only_for_an_excluded_placer(
    uid: str, copies: int, gone: str
) -> None:
    regions = {"north": ("a", "n"), "south": ("b", "d"), "west": ("c", "e"), "east": ("f",)}
    terms = ReplicationTerms(ALLOWED, copies)
    chosen = choose_replicas(uid, "north", terms, regions)
    assert len(chosen) == len(set(chosen)) == copies
    assert set(chosen) <= set("bcde")
    if copies >= 2:
        assert {REGIONS[name] for name in chosen[:2]} == {"south", "west"}
    after = choose_replicas(uid, "north", terms, regions, (gone,))
    assert gone not in after
    if gone not in chosen:
        assert after == chosen
    assert not choose_replicas(uid, "north", ReplicationTerms(("north", "moon"), copies), regions)


@pytest.mark.parametrize(
    ("names", "max_bytes", "manifest", "why"),
    [
        ("", 64 << 20, "{}", "no keeper"),
        ("bcde", 3000, "x" * 4000, "no room at any keeper"),
        ("bcde", 64 << 20, "x" * 16384, "record of 17582 bytes, at most 16384"),
    ],
)
def test_job_that_no_replica_can_store_fails_at_once_with_its_reason(
    names: str, max_bytes: int, manifest: str, why: str
) -> None:
    primary = new_primary(ReplicationLimits(max_bytes_per_peer=max_bytes), names)
    token, effects = primary.replicate(0, new_record("u", manifest=manifest), TERMS, S)
    assert settled(effects) == {token: (False, why)}
    assert not primary.jobs


def test_token_is_settled_once_and_by_its_deadline() -> None:
    primary = new_primary()
    replicas = new_replicas()
    first, _ = primary.replicate(0, new_record("u"), TERMS, S)
    assert settled(exchange(primary, replicas, 2_000)) == {first: (True, "")}
    second, _ = primary.record_answer(3_000, "u", "placed", 503_000)
    assert not settled(exchange(primary, replicas, 10_000, "bcde"))
    events = exchange(primary, replicas, 503_000, "bcde")
    assert set(settled(events)) == {second}
    assert not settled(events)[second][0]
    assert not settled(exchange(primary, replicas, 900_000))
    assert not settled(primary.on_timer(2 * S))
    third, effects = primary.record_answer(2 * S, "v", "placed", 3 * S)
    assert settled(effects) == {third: (False, "not held")}


def test_ended_session_is_notified_once_and_has_no_jobs_until_the_next() -> None:
    primary = new_primary()
    replicas = new_replicas()
    primary.replicate(0, new_record("u"), TERMS, S)
    exchange(primary, replicas, 2_000)
    for replica in replicas.values():
        replica.on_session_ended(S, EndedSession(1, SESSION, "north"))
    token, _ = primary.record_answer(S, "u", "placed", 3 * S)
    events = exchange(primary, replicas, S + 2_000)
    assert settled(events) == {token: (False, "session over")}
    assert [each.event for each in events if isinstance(each, Notify)] == ["kept", "session-over"]
    late, effects = primary.replicate(2 * S, new_record("v"), TERMS, 3 * S)
    assert settled(effects) == {late: (False, "session over")}
    assert not primary.jobs
    assert set(primary.former_jobs) == {"u"}
    assert not primary.on_session_ended(2 * S, SESSION, 1)
    primary.begin_session(3 * S, Session("a", 1, 1))
    token, _ = primary.replicate(3 * S, new_record("w"), TERMS, 4 * S)
    assert settled(exchange(primary, replicas, 3 * S + 2_000)) == {token: (True, "")}


def test_silent_replica_is_replaced_within_the_stated_time_and_delays_no_other() -> None:
    limits = ReplicationLimits()
    primary = new_primary(limits)
    replicas = new_replicas()
    for index in range(400):
        primary.replicate(0, new_record(f"u{index}"), TERMS, 10 * S)
    for now in range(2_000, 60_000, 2_000):
        exchange(primary, replicas, now)
    reassigned = [uid for uid, job in primary.jobs.items() if job.replicas == ["b"]]
    tokens = {uid: primary.record_answer(60_000, uid, "placed", 10 * S)[0] for uid in primary.jobs}
    settled_us: dict[int, int] = {}
    for now in range(60_000, 3 * S, 5_000):
        settled_us |= {
            token: now
            for token, (is_good, _) in settled(exchange(primary, replicas, now, "b")).items()
            if is_good
        }
    assert len(reassigned) > 50
    assert all(
        settled_us[tokens[uid]] < 60_000 + 20_000 for uid in primary.jobs if uid not in reassigned
    )
    assert all(
        settled_us[tokens[uid]] < 60_000 + limits.reassigned_within_us(len(reassigned)) + 50_000
        for uid in reassigned
    )
    assert all("b" not in job.replicas for job in primary.jobs.values())


@pytest.mark.parametrize("released_by", ["removed", "session ended", "neither"])
def test_unsafe_send_waits_until_a_former_replica_has_removed_the_record_or_lost_its_session(
    released_by: str,
) -> None:
    primary = new_primary()
    replicas = new_replicas()
    primary.replicate(0, new_record("u", "unsafe"), TERMS, S)
    exchange(primary, replicas, 2_000)
    (first,) = primary.jobs["u"].replicas
    primary.record_answer(3_000, "u", "", 3 * S)
    for now in range(3_000, 2 * S, 5_000):
        exchange(primary, replicas, now, first)
    assert primary.jobs["u"].replicas != [first]
    token, _ = primary.record_send(2 * S, "u", KnownTask(0, "about", "m", "p"), 9 * S)
    assert not settled(exchange(primary, replicas, 2 * S + 5_000, first))
    if released_by == "removed":
        assert settled(exchange(primary, replicas, 8 * S)) == {token: (True, "")}
        assert "u" not in replicas[first].entries
    elif released_by == "session ended":
        assert settled(primary.on_session_ended(8 * S, Session(first, 1, 0), 1)) == {
            token: (True, "")
        }
    else:
        exchange(primary, replicas, 8 * S, first)
        assert settled(exchange(primary, replicas, 9 * S, first)) == {
            token: (False, f"no word in time from {first}")
        }
