"""Sessions: opened, renewed and ended over cuts, pauses, incarnations and leaders; none is opened twice."""

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
from wingbarrow.lab.fleet.schedules import rules
from wingbarrow.lab.fleet.swarm import SECOND

LEASE = 10 * SECOND
RECKONED = voter_lease_us(LEASE, MAX_TURN_US)
AFTER = 15 * SECOND
RULES: RuleSet = rules()


class Voters:
    """A leader alone, with placers that report to it directly; what it proposes is decided at once."""

    def __init__(self) -> None:
        self.now, self.sessions = 0, SessionSubsystem(LEASE)
        self.sessions.on_leadership_change(0, True)
        self.leases: dict[str, SessionLease] = {}
        self.lives: dict[str, int] = {}
        self.told: list[tuple[str, Notify]] = []
        self.undecided: list[Proposal] | None = None

    def join(self, name: str, life: int = 1) -> SessionLease:
        self.leases[name], self.lives[name] = SessionLease(name, f"of {name}"), life
        self.ask(name)
        self.ask(name)
        return self.leases[name]

    def keep(self, keeper: str, session: Session | None, after_us: int = AFTER) -> None:
        assert session is not None
        self.leases[keeper].set_report_sources(
            held_records=lambda: (HeldRecords(session, 3, after_us),)
        )

    def ask(
        self,
        name: str,
        lose: bool = False,
        lease: SessionLease | None = None,
        life: int | None = None,
    ) -> None:
        lease = lease or self.leases[name]
        asker = Requester(name, self.lives[name] if life is None else life, 1, self.now)
        report = lease.report(self.now)
        assert report is not None
        self.sessions.on_report(self.now, asker, report)
        told = self.sessions.response_for(self.now, asker)
        if not lose:
            self.tell(name, lease.on_response(self.now, self.now, told))
        self.decide()

    def tell(self, name: str, effects: list[Effect]) -> None:
        self.told += [(name, each) for each in effects if isinstance(each, Notify)]

    def decide(self) -> None:
        if self.undecided is not None:
            if not self.undecided:  # nothing more is asked for while something is being decided
                self.undecided += self.sessions.next_proposals(self.now, RULES)[0]
            return
        for each in self.sessions.next_proposals(self.now, RULES)[0]:
            self.sessions.apply(each.kind, each.value)

    def wait(
        self, for_us: int, *names: str, step_us: int = SECOND // 2, lose: tuple[str, ...] = ()
    ) -> None:
        end = self.now + for_us
        while self.now < end:
            self.now = min(end, self.now + step_us)
            for name in names:
                self.ask(name, name in lose)
            self.decide()

    def over(self, session: Session | None) -> bool:
        assert session is not None
        return session in self.sessions.log.ended


def test_leases_expire_in_order_and_the_end_waits_for_after_and_names_replica_holders() -> None:
    voters = Voters()
    lost, _ = voters.join("a"), voters.join("b")
    voters.keep("b", lost.session)
    assert lost.session == Session("a", 1, 1)
    assert lost.may_send(voters.now)
    assert lost.machine_lease_until_us == LEASE
    session, last = lost.session, voters.now
    voters.wait(holder_lease_us(LEASE), "b")
    assert not lost.may_send(voters.now)
    assert lost.may_send(voters.now - 1)
    voters.wait(last + AFTER - voters.now, "b")
    assert not voters.over(session)
    voters.wait(last + ended_within_us(LEASE, AFTER) - voters.now, "b")
    ended = voters.sessions.log.ended[session]
    assert (ended.epoch, ended.batches, ended.region) == (1, (("b",),), "of a")
    assert voters.leases["b"].ended[session].batches[0] == ("b",)
    assert successor_of(ended, ("c", "b")) == "b"


def test_after_shorter_than_the_lease_does_not_shorten_the_voters_lease() -> None:
    voters = Voters()
    lost, _ = voters.join("a"), voters.join("b")
    voters.keep("b", lost.session, 1)
    voters.wait(RECKONED - 1, "b")
    assert not voters.over(Session("a", 1, 1))
    voters.wait(LEASE // 8 + SECOND, "b")
    assert voters.over(Session("a", 1, 1))


def test_without_a_replica_holder_it_ends_later_and_a_late_one_joins_as_successor() -> None:
    voters = Voters()
    lost, late = voters.join("a"), voters.join("b")
    session = lost.session
    assert session is not None
    voters.wait(unreplicated_wait_us(LEASE) - 1, "b")
    assert not voters.over(session)
    voters.wait(LEASE // 8 + SECOND, "b")
    assert voters.sessions.log.ended[session].batches == ()
    voters.keep("b", session)
    voters.wait(2 * SECOND, "b")
    assert late.ended[session].batches == (("b",),)
    assert late.ended[session].changed == 2


def test_a_holder_that_returns_before_its_end_keeps_its_session_and_later_gets_a_new_one() -> None:
    voters = Voters()
    lost, _ = voters.join("a"), voters.join("b")
    voters.keep("b", lost.session)
    first = lost.session
    voters.wait(AFTER - SECOND, "b")
    voters.ask("a")
    assert lost.session == first
    assert lost.may_send(voters.now)
    voters.wait(AFTER + 5 * SECOND, "b")
    assert voters.over(first) and lost.session == first, "it does not know yet"
    voters.told.clear()
    voters.ask("a")
    assert lost.session is None
    assert not lost.may_send(voters.now)
    voters.ask("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(voters.now)
    # Its first session lapsed in silence, so that the last that was told of it was that it is open.
    assert [(each.event, each.fields.get("open")) for name, each in voters.told if name == "a"] == [
        ("session", False),
        ("session-ended", None),
        ("session", True),
    ]


def test_a_session_whose_end_is_proposed_is_not_renewed() -> None:
    voters = Voters()
    lost, _ = voters.join("a"), voters.join("b")
    voters.keep("b", lost.session)
    voters.undecided = []
    voters.wait(AFTER + 2 * SECOND, "b")
    assert [each.kind for each in voters.undecided] == ["ended"]
    assert not voters.over(lost.session)
    voters.ask("a")
    assert not lost.may_send(voters.now)
    voters.sessions.apply(voters.undecided[0].kind, voters.undecided[0].value)
    voters.ask("a")
    assert lost.session is None


def test_a_later_incarnation_ends_the_earlier_session_without_after() -> None:
    voters = Voters()
    old = voters.join("a")
    voters.wait(5 * SECOND, "a")
    voters.lives["a"], twin = 2, SessionLease("a", "of a")
    voters.ask("a", lease=twin)
    voters.ask("a", lease=twin)
    assert twin.session == Session("a", 2, 1)
    assert twin.may_send(voters.now)
    begun = voters.now
    while voters.now < begun + RECKONED:
        voters.now += SECOND // 2
        voters.ask("a", lease=twin)
        voters.ask("a", lease=old, life=1)
    voters.wait(2 * SECOND)
    assert voters.over(Session("a", 1, 1))
    assert not old.may_send(voters.now)
    assert twin.may_send(voters.now)
    voters.ask("a", lease=old, life=1)
    voters.wait(SECOND)
    voters.ask("a", lease=old, life=1)
    assert old.session is None
    assert list(voters.sessions.log.open) == [Session("a", 2, 1)]


def test_an_incarnation_with_a_wall_clock_set_back_waits_until_the_earlier_session_expires() -> (
    None
):
    voters = Voters()
    voters.join("a", life=9_000)
    voters.lives["a"], later = 5_000, SessionLease("a", "of a")
    voters.leases["a"] = later
    voters.wait(RECKONED - SECOND, "a")
    assert later.session is None
    voters.wait(3 * SECOND, "a")
    assert later.session == Session("a", 9_001, 1)
    assert later.may_send(voters.now)


def test_a_placer_that_receives_no_grants_loses_its_session_unless_they_arrive_again() -> None:
    voters = Voters()
    deaf, _ = voters.join("a"), voters.join("b")
    voters.keep("b", deaf.session)
    session, last = deaf.session, voters.now
    voters.wait(one_way_renewal_us(LEASE) + AFTER - SECOND, "a", "b", lose=("a",))
    assert not voters.over(session)
    voters.wait(
        last + one_way_renewal_us(LEASE) + ended_within_us(LEASE, AFTER) - voters.now,
        "a",
        "b",
        lose=("a",),
    )
    assert voters.over(session)
    voters = Voters()
    deaf = voters.join("a")
    voters.wait(3 * LEASE, "a", lose=("a",))
    voters.wait(SECOND, "a")
    assert deaf.session == Session("a", 1, 1)
    assert deaf.may_send(voters.now)


def test_a_new_leader_counts_every_open_session_from_its_election() -> None:
    voters = Voters()
    lost, _ = voters.join("a"), voters.join("b")
    voters.keep("b", lost.session, 1)
    voters.wait(RECKONED - 1, "b")
    voters.sessions.on_leadership_change(voters.now, True)
    begun = voters.now
    voters.wait(RECKONED - 1, "b")
    assert not voters.over(lost.session)
    assert voters.now == begun + RECKONED - 1
    voters.wait(LEASE // 8 + SECOND, "b")
    assert voters.over(lost.session)


def test_a_leader_after_a_pause_ends_no_session() -> None:
    voters = Voters()
    voters.join("a"), voters.join("b")
    voters.keep("b", voters.leases["a"].session, 1)
    voters.now += 20 * LEASE
    voters.decide()
    assert not voters.sessions.log.ended
    voters.wait(LEASE, "a", "b")
    assert not voters.sessions.log.ended
    assert voters.leases["a"].session == Session("a", 1, 1)


def test_lost_successors_are_gone_and_may_join_again_in_a_later_batch() -> None:
    voters = Voters()
    for name in "abcd":
        voters.join(name)
    session = voters.leases["a"].session
    assert session is not None
    voters.keep("b", session)
    voters.keep("c", session)
    voters.wait(AFTER + 2 * SECOND, "b", "c", "d")
    assert successor_of(voters.sessions.log.ended[session], ("b", "c")) == "b"
    voters.wait(unreplicated_wait_us(LEASE) + 2 * SECOND, "c", "d")
    ended = voters.sessions.log.ended[session]
    assert (ended.gone, successor_of(ended, ("b", "c")), successor_of(ended, ("b",))) == (
        ("b",),
        "c",
        "",
    )
    assert ended.changed > ended.epoch and voters.leases["c"].ended[session] == ended, (
        "who takes over acts under more"
    )
    voters.wait(2 * SECOND, "b", "c", "d")  # back, under a new session, and still a keeper
    again = voters.sessions.log.ended[session]
    assert again.batches == (("c",), ("b",))
    assert not again.gone
    assert successor_of(again, ("b", "c")) == "c"
    voters.wait(unreplicated_wait_us(LEASE) + 2 * SECOND, "b", "d")  # the second one is lost, too
    assert successor_of(voters.sessions.log.ended[session], ("b", "c")) == "b"


def test_a_new_session_waits_until_its_holder_knows_all_ends() -> None:
    voters = Voters()
    for number in range(MAX_ENDED_PER_RESPONSE + 10):
        _over(voters.sessions.log, Session(f"x{number:03d}", 1, 1))
    late = SessionLease("a", "r")
    voters.leases["a"], voters.lives["a"] = late, 1
    voters.ask("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE
    assert late.session is None
    voters.ask("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE + 10 == len(late.ended)
    assert late.session is not None


def test_a_session_whose_end_was_dropped_is_not_reopened() -> None:
    voters = Voters()
    lost = voters.join("a")
    session = lost.session
    assert session is not None
    voters.sessions.apply("ended", {"session": session.text(), "successors": []})
    for number in range(MAX_ENDED_SESSIONS):
        _over(voters.sessions.log, Session(f"x{number:03d}", 1, 1))
    assert len(voters.sessions.log.ended) == MAX_ENDED_SESSIONS
    assert session not in voters.sessions.log.ended
    for _ in range(8):
        voters.ask("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(voters.now)
    assert [
        each.fields["session"] for _, each in voters.told if each.event == "session-ended"
    ].count(session.text()) == 1


def _over(log: SessionLog, session: Session) -> None:
    log.apply("opened", {"session": session.text(), "process": 1, "region": "r", "lease_us": LEASE})
    log.apply("ended", {"session": session.text(), "successors": []})


# -- the log


def test_no_session_is_opened_twice_and_the_state_is_read_back() -> None:
    rng = random.Random(5)
    log, seen = SessionLog(), set[Session]()
    for _ in range(3_000):
        one, other = (
            Session(rng.choice("abcde"), rng.randrange(1, 9), rng.randrange(1, 9)) for _ in range(2)
        )
        before, kind = log.epoch, rng.choice(("opened", "ended", "succeed"))
        log.apply(
            kind,
            {
                "session": one.text(),
                "process": one.life,
                "region": "r",
                "lease_us": LEASE,
                "successors": [other.text()],
            },
        )
        assert not log.open.keys() & seen
        assert log.epoch >= before
        seen |= log.ended.keys()
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
    keepers = [Session("k" * 240 + f"{number:03d}", 1, 1) for number in range(64)]
    for keeper in keepers:
        log.apply(
            "opened", {"session": keeper.text(), "process": 1, "region": "r", "lease_us": LEASE}
        )
    for number in range(20):
        lost = Session(f"x{number}", 1, 1)
        log.apply(
            "opened", {"session": lost.text(), "process": 1, "region": "r", "lease_us": LEASE}
        )
        log.apply(
            "ended", {"session": lost.text(), "successors": [each.text() for each in keepers]}
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
    voters = Voters()
    for life in range(1, 4 * MAX_OPEN_SESSIONS_PER_PLACER):
        voters.join("a", life)
    assert voters.sessions.log.open_count("a") == MAX_OPEN_SESSIONS_PER_PLACER
    assert voters.sessions.counts["sessions: no room for another"]
    voters.wait(RECKONED + 3 * SECOND, "a")
    assert voters.leases["a"].may_send(voters.now)
    assert voters.sessions.log.open_count("a") == 1


def test_a_placer_without_a_region_has_no_session() -> None:
    lease = SessionLease("a", "")
    assert lease.report(5) is None
    assert lease.on_response(5, 5, None) == []
    assert not lease.may_send(5)
