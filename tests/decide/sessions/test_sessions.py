"""Sessions: opened, renewed and ended over partitions, pauses, incarnations and leaders; none is opened twice."""

from __future__ import annotations

import random
from typing import Any

import pytest

from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.quotas.escrow import Requester
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.decide.sessions.lease_times import (
    MAX_TURN_US,
    ended_within_us,
    holder_lease_us,
    one_way_renewal_us,
    unreplicated_wait_us,
    voter_lease_us,
)
from wingbarrow.decide.sessions.messages import MAX_ENDED_PER_RESPONSE, HeldRecords
from wingbarrow.decide.sessions.session import Session, successor_of
from wingbarrow.decide.sessions.session_lease import SessionLease
from wingbarrow.decide.sessions.session_log import (
    MAX_ENDED_CHARS,
    MAX_ENDED_SESSIONS,
    MAX_OPEN_SESSIONS_PER_PLACER,
    SessionLog,
    parse_session_log,
)
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.lab.fleet.fault_schedules import rules
from wingbarrow.lab.fleet.simulation import SECOND

LEASE = 10 * SECOND
VOTER_LEASE = voter_lease_us(LEASE, MAX_TURN_US)
AFTER = 15 * SECOND
RULES: RuleSet = rules()


class LeaderWithPlacers:
    """A single leader with placers that report to it directly; its proposals are decided at once.

    undecided: None, or the proposals that wait for a decision.
    """

    def __init__(self) -> None:
        self.now, self.sessions = 0, SessionSubsystem(LEASE)
        self.sessions.on_leadership_change(0, True)
        self.leases: dict[str, SessionLease] = {}
        self.lives: dict[str, int] = {}
        self.notifications: list[tuple[str, Notify]] = []
        self.undecided: list[Proposal] | None = None

    def join(self, name: str, life: int = 1) -> SessionLease:
        self.leases[name], self.lives[name] = SessionLease(name, f"of {name}"), life
        self.request(name)
        self.request(name)
        return self.leases[name]

    def hold_replicas(self, holder: str, session: Session | None, after_us: int = AFTER) -> None:
        assert session is not None
        self.leases[holder].set_report_sources(
            held_records=lambda: (HeldRecords(session, 3, after_us),)
        )

    def request(
        self,
        name: str,
        drop_response: bool = False,
        lease: SessionLease | None = None,
        life: int | None = None,
    ) -> None:
        lease = lease or self.leases[name]
        requester = Requester(name, self.lives[name] if life is None else life, 1, self.now)
        report = lease.report(self.now)
        assert report is not None
        self.sessions.on_report(self.now, requester, report)
        response = self.sessions.response_for(self.now, requester)
        if not drop_response:
            self.record_notifications(name, lease.on_response(self.now, self.now, response))
        self.decide()

    def record_notifications(self, name: str, effects: list[Effect]) -> None:
        self.notifications += [(name, each) for each in effects if isinstance(each, Notify)]

    def decide(self) -> None:
        if self.undecided is not None:
            if not self.undecided:  # no further proposals before these are decided
                self.undecided += self.sessions.next_proposals(self.now, RULES)[0]
            return
        for each in self.sessions.next_proposals(self.now, RULES)[0]:
            self.sessions.apply(each.kind, each.value)

    def advance(
        self,
        for_us: int,
        *names: str,
        step_us: int = SECOND // 2,
        drop_responses_to: tuple[str, ...] = (),
    ) -> None:
        end = self.now + for_us
        while self.now < end:
            self.now = min(end, self.now + step_us)
            for name in names:
                self.request(name, name in drop_responses_to)
            self.decide()

    def has_ended(self, session: Session | None) -> bool:
        assert session is not None
        return session in self.sessions.log.ended


def test_leases_expire_in_order_and_the_end_waits_for_after_and_names_replica_holders() -> None:
    cluster = LeaderWithPlacers()
    lost, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", lost.session)
    assert lost.session == Session("a", 1, 1)
    assert lost.may_send(cluster.now)
    assert lost.machine_lease_until_us == LEASE
    session, renewed_us = lost.session, cluster.now
    cluster.advance(holder_lease_us(LEASE), "b")
    assert not lost.may_send(cluster.now)
    assert lost.may_send(cluster.now - 1)
    cluster.advance(renewed_us + AFTER - cluster.now, "b")
    assert not cluster.has_ended(session)
    cluster.advance(renewed_us + ended_within_us(LEASE, AFTER) - cluster.now, "b")
    ended = cluster.sessions.log.ended[session]
    assert (ended.epoch, ended.batches, ended.region) == (1, (("b",),), "of a")
    assert cluster.leases["b"].ended[session].batches[0] == ("b",)
    assert successor_of(ended, ("c", "b")) == "b"


def test_after_shorter_than_the_lease_does_not_shorten_the_voters_lease() -> None:
    cluster = LeaderWithPlacers()
    lost, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", lost.session, 1)
    cluster.advance(VOTER_LEASE - 1, "b")
    assert not cluster.has_ended(Session("a", 1, 1))
    cluster.advance(LEASE // 8 + SECOND, "b")
    assert cluster.has_ended(Session("a", 1, 1))


def test_without_a_replica_holder_it_ends_later_and_a_late_one_joins_as_successor() -> None:
    cluster = LeaderWithPlacers()
    lost, late = cluster.join("a"), cluster.join("b")
    session = lost.session
    assert session is not None
    cluster.advance(unreplicated_wait_us(LEASE) - 1, "b")
    assert not cluster.has_ended(session)
    cluster.advance(LEASE // 8 + SECOND, "b")
    assert cluster.sessions.log.ended[session].batches == ()
    cluster.hold_replicas("b", session)
    cluster.advance(2 * SECOND, "b")
    assert late.ended[session].batches == (("b",),)
    assert late.ended[session].changed == 2


def test_a_holder_that_returns_before_its_end_keeps_its_session_and_later_gets_a_new_one() -> None:
    cluster = LeaderWithPlacers()
    lost, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", lost.session)
    first = lost.session
    cluster.advance(AFTER - SECOND, "b")
    cluster.request("a")
    assert lost.session == first
    assert lost.may_send(cluster.now)
    cluster.advance(AFTER + 5 * SECOND, "b")
    assert cluster.has_ended(first) and lost.session == first, "it does not know of the end yet"
    cluster.notifications.clear()
    cluster.request("a")
    assert lost.session is None
    assert not lost.may_send(cluster.now)
    cluster.request("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(cluster.now)
    # The expiry of its first lease was not checked, so that its latest notification was that the session is open.
    assert [
        (each.event, each.fields.get("open")) for name, each in cluster.notifications if name == "a"
    ] == [
        ("session", False),
        ("session-ended", None),
        ("session", True),
    ]


def test_a_session_whose_end_is_proposed_is_not_renewed() -> None:
    cluster = LeaderWithPlacers()
    lost, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", lost.session)
    cluster.undecided = []
    cluster.advance(AFTER + 2 * SECOND, "b")
    assert [each.kind for each in cluster.undecided] == ["ended"]
    assert not cluster.has_ended(lost.session)
    cluster.request("a")
    assert not lost.may_send(cluster.now)
    cluster.sessions.apply(cluster.undecided[0].kind, cluster.undecided[0].value)
    cluster.request("a")
    assert lost.session is None


def test_a_later_incarnation_ends_the_earlier_session_without_after() -> None:
    cluster = LeaderWithPlacers()
    earlier_lease = cluster.join("a")
    cluster.advance(5 * SECOND, "a")
    cluster.lives["a"], later_lease = 2, SessionLease("a", "of a")
    cluster.request("a", lease=later_lease)
    cluster.request("a", lease=later_lease)
    assert later_lease.session == Session("a", 2, 1)
    assert later_lease.may_send(cluster.now)
    start_us = cluster.now
    while cluster.now < start_us + VOTER_LEASE:
        cluster.now += SECOND // 2
        cluster.request("a", lease=later_lease)
        cluster.request("a", lease=earlier_lease, life=1)
    cluster.advance(2 * SECOND)
    assert cluster.has_ended(Session("a", 1, 1))
    assert not earlier_lease.may_send(cluster.now)
    assert later_lease.may_send(cluster.now)
    cluster.request("a", lease=earlier_lease, life=1)
    cluster.advance(SECOND)
    cluster.request("a", lease=earlier_lease, life=1)
    assert earlier_lease.session is None
    assert list(cluster.sessions.log.open) == [Session("a", 2, 1)]


def test_an_incarnation_with_a_wall_clock_set_back_waits_until_the_earlier_session_expires() -> (
    None
):
    cluster = LeaderWithPlacers()
    cluster.join("a", life=9_000)
    cluster.lives["a"], later = 5_000, SessionLease("a", "of a")
    cluster.leases["a"] = later
    cluster.advance(VOTER_LEASE - SECOND, "a")
    assert later.session is None
    cluster.advance(3 * SECOND, "a")
    assert later.session == Session("a", 9_001, 1)
    assert later.may_send(cluster.now)


def test_a_placer_that_receives_no_grants_loses_its_session_unless_they_arrive_again() -> None:
    cluster = LeaderWithPlacers()
    cut_off, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", cut_off.session)
    session, renewed_us = cut_off.session, cluster.now
    cluster.advance(one_way_renewal_us(LEASE) + AFTER - SECOND, "a", "b", drop_responses_to=("a",))
    assert not cluster.has_ended(session)
    cluster.advance(
        renewed_us + one_way_renewal_us(LEASE) + ended_within_us(LEASE, AFTER) - cluster.now,
        "a",
        "b",
        drop_responses_to=("a",),
    )
    assert cluster.has_ended(session)
    cluster = LeaderWithPlacers()
    cut_off = cluster.join("a")
    cluster.advance(3 * LEASE, "a", drop_responses_to=("a",))
    cluster.advance(SECOND, "a")
    assert cut_off.session == Session("a", 1, 1)
    assert cut_off.may_send(cluster.now)


def test_a_new_leader_counts_every_open_session_from_its_election() -> None:
    cluster = LeaderWithPlacers()
    lost, _ = cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", lost.session, 1)
    cluster.advance(VOTER_LEASE - 1, "b")
    cluster.sessions.on_leadership_change(cluster.now, True)
    start_us = cluster.now
    cluster.advance(VOTER_LEASE - 1, "b")
    assert not cluster.has_ended(lost.session)
    assert cluster.now == start_us + VOTER_LEASE - 1
    cluster.advance(LEASE // 8 + SECOND, "b")
    assert cluster.has_ended(lost.session)


def test_a_leader_after_a_pause_ends_no_session() -> None:
    cluster = LeaderWithPlacers()
    cluster.join("a"), cluster.join("b")
    cluster.hold_replicas("b", cluster.leases["a"].session, 1)
    cluster.now += 20 * LEASE
    cluster.decide()
    assert not cluster.sessions.log.ended
    cluster.advance(LEASE, "a", "b")
    assert not cluster.sessions.log.ended
    assert cluster.leases["a"].session == Session("a", 1, 1)


def test_lost_successors_are_gone_and_may_join_again_in_a_later_batch() -> None:
    cluster = LeaderWithPlacers()
    for name in "abcd":
        cluster.join(name)
    session = cluster.leases["a"].session
    assert session is not None
    cluster.hold_replicas("b", session)
    cluster.hold_replicas("c", session)
    cluster.advance(AFTER + 2 * SECOND, "b", "c", "d")
    assert successor_of(cluster.sessions.log.ended[session], ("b", "c")) == "b"
    cluster.advance(unreplicated_wait_us(LEASE) + 2 * SECOND, "c", "d")
    ended = cluster.sessions.log.ended[session]
    assert (ended.gone, successor_of(ended, ("b", "c")), successor_of(ended, ("b",))) == (
        ("b",),
        "c",
        "",
    )
    assert ended.changed > ended.epoch and cluster.leases["c"].ended[session] == ended, (
        "a later successor acts under a greater epoch"
    )
    # b returns with a new session, and still holds replicas.
    cluster.advance(2 * SECOND, "b", "c", "d")
    rejoined = cluster.sessions.log.ended[session]
    assert rejoined.batches == (("c",), ("b",))
    assert not rejoined.gone
    assert successor_of(rejoined, ("b", "c")) == "c"
    cluster.advance(unreplicated_wait_us(LEASE) + 2 * SECOND, "b", "d")  # c is lost, too
    assert successor_of(cluster.sessions.log.ended[session], ("b", "c")) == "b"


def test_a_new_session_waits_until_its_holder_knows_all_ends() -> None:
    cluster = LeaderWithPlacers()
    for number in range(MAX_ENDED_PER_RESPONSE + 10):
        _open_and_end(cluster.sessions.log, Session(f"x{number:03d}", 1, 1))
    late = SessionLease("a", "r")
    cluster.leases["a"], cluster.lives["a"] = late, 1
    cluster.request("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE
    assert late.session is None
    cluster.request("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE + 10 == len(late.ended)
    assert late.session is not None


def test_a_session_whose_end_was_dropped_is_not_reopened() -> None:
    cluster = LeaderWithPlacers()
    lost = cluster.join("a")
    session = lost.session
    assert session is not None
    cluster.sessions.apply("ended", {"session": session.text(), "successors": []})
    for number in range(MAX_ENDED_SESSIONS):
        _open_and_end(cluster.sessions.log, Session(f"x{number:03d}", 1, 1))
    assert len(cluster.sessions.log.ended) == MAX_ENDED_SESSIONS
    assert session not in cluster.sessions.log.ended
    for _ in range(8):
        cluster.request("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(cluster.now)
    assert [
        each.fields["session"] for _, each in cluster.notifications if each.event == "session-ended"
    ].count(session.text()) == 1


def _open_and_end(log: SessionLog, session: Session) -> None:
    log.apply("opened", {"session": session.text(), "process": 1, "region": "r", "lease_us": LEASE})
    log.apply("ended", {"session": session.text(), "successors": []})


# -- the log


def test_no_session_is_opened_twice_and_the_state_is_read_back() -> None:
    rng = random.Random(5)
    log, ended_sessions = SessionLog(), set[Session]()
    for _ in range(3_000):
        session, successor = (
            Session(rng.choice("abcde"), rng.randrange(1, 9), rng.randrange(1, 9)) for _ in range(2)
        )
        before, kind = log.epoch, rng.choice(("opened", "ended", "succeed"))
        log.apply(
            kind,
            {
                "session": session.text(),
                "process": session.life,
                "region": "r",
                "lease_us": LEASE,
                "successors": [successor.text()],
            },
        )
        assert not log.open.keys() & ended_sessions
        assert log.epoch >= before
        ended_sessions |= log.ended.keys()
        assert max(log.open_count(name) for name in "abcde") <= MAX_OPEN_SESSIONS_PER_PLACER
        for ended in log.ended.values():
            joined = [name for batch in ended.batches for name in batch]
            assert len(joined) == len(set(joined))
            assert set(ended.gone) <= set(joined) == set(log.joined_by[ended.session])
    assert log.ended
    assert parse_session_log(log.text()) == log
    assert parse_session_log("") == SessionLog()


def test_kept_ends_are_bounded_by_count_and_by_length() -> None:
    log = SessionLog()
    holders = [Session("k" * 240 + f"{number:03d}", 1, 1) for number in range(64)]
    for holder in holders:
        log.apply(
            "opened", {"session": holder.text(), "process": 1, "region": "r", "lease_us": LEASE}
        )
    for number in range(20):
        lost = Session(f"x{number}", 1, 1)
        log.apply(
            "opened", {"session": lost.text(), "process": 1, "region": "r", "lease_us": LEASE}
        )
        log.apply(
            "ended", {"session": lost.text(), "successors": [each.text() for each in holders]}
        )
    assert 1 < len(log.ended) < 20
    assert len(log.text()) < 2 * MAX_ENDED_CHARS
    assert Session("x19", 1, 1) in log.ended


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        ("opened", {}),
        ("opened", {"session": "x", "process": 1, "region": "", "lease_us": 1}),
        ("opened", {"session": "a/1/1", "process": 1, "region": "", "lease_us": 0}),
        ("ended", {"session": "a/1/1"}),
        ("ended", {"session": "a/1/1", "successors": [3]}),
        ("nonsense", {"session": "a/1/1"}),
    ],
)
def test_an_unreadable_entry_changes_nothing(kind: str, value: dict[str, Any]) -> None:
    log = SessionLog()
    before = log.text()
    try:
        log.apply(kind, value)
    except (ValueError, KeyError, TypeError):
        pass
    assert log.text() == before


def test_incarnations_in_quick_succession_wait_for_a_free_session_and_are_counted() -> None:
    cluster = LeaderWithPlacers()
    for life in range(1, 4 * MAX_OPEN_SESSIONS_PER_PLACER):
        cluster.join("a", life)
    assert cluster.sessions.log.open_count("a") == MAX_OPEN_SESSIONS_PER_PLACER
    assert cluster.sessions.counts["sessions: no room for another"]
    cluster.advance(VOTER_LEASE + 3 * SECOND, "a")
    assert cluster.leases["a"].may_send(cluster.now)
    assert cluster.sessions.log.open_count("a") == 1


def test_a_placer_without_a_region_has_no_session() -> None:
    lease = SessionLease("a", "")
    assert lease.report(5) is None
    assert lease.on_response(5, 5, None) == []
    assert not lease.may_send(5)
