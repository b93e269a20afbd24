"""Sessions: opened, renewed and ended by rule, over cuts, stops, lives and leaders; nothing is opened a second time."""

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


class Desk:
    """A leader alone, and placers that ask it directly; what it proposes is decided at once."""

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
        self.leases[keeper].report_jobs(held_records=lambda: (HeldRecords(session, 3, after_us),))

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


def test_what_lapses_does_so_in_order_and_an_end_waits_for_after_and_names_who_keeps() -> None:
    desk = Desk()
    lost, _ = desk.join("a"), desk.join("b")
    desk.keep("b", lost.session)
    assert lost.session == Session("a", 1, 1)
    assert lost.may_send(desk.now)
    assert lost.machine_lease_until_us == LEASE
    session, last = lost.session, desk.now
    desk.wait(holder_lease_us(LEASE), "b")
    assert not lost.may_send(desk.now)
    assert lost.may_send(desk.now - 1)
    desk.wait(last + AFTER - desk.now, "b")
    assert not desk.over(session)
    desk.wait(last + ended_within_us(LEASE, AFTER) - desk.now, "b")
    ended = desk.sessions.log.ended[session]
    assert (ended.epoch, ended.batches, ended.region) == (1, (("b",),), "of a")
    assert desk.leases["b"].ended[session].batches[0] == ("b",)
    assert successor_of(ended, ("c", "b")) == "b"


def test_after_shorter_than_the_lease_does_not_shorten_the_reckoning() -> None:
    desk = Desk()
    lost, _ = desk.join("a"), desk.join("b")
    desk.keep("b", lost.session, 1)
    desk.wait(RECKONED - 1, "b")
    assert not desk.over(Session("a", 1, 1))
    desk.wait(LEASE // 8 + SECOND, "b")
    assert desk.over(Session("a", 1, 1))


def test_without_a_keeper_it_ends_later_with_nobody_and_a_late_keeper_joins() -> None:
    desk = Desk()
    lost, late = desk.join("a"), desk.join("b")
    session = lost.session
    assert session is not None
    desk.wait(unreplicated_wait_us(LEASE) - 1, "b")
    assert not desk.over(session)
    desk.wait(LEASE // 8 + SECOND, "b")
    assert desk.sessions.log.ended[session].batches == ()
    desk.keep("b", session)
    desk.wait(2 * SECOND, "b")
    assert late.ended[session].batches == (("b",),)
    assert late.ended[session].changed == 2


def test_who_comes_back_before_the_end_goes_on_and_after_it_begins_anew_with_all_ends_heard() -> (
    None
):
    desk = Desk()
    lost, _ = desk.join("a"), desk.join("b")
    desk.keep("b", lost.session)
    first = lost.session
    desk.wait(AFTER - SECOND, "b")
    desk.ask("a")
    assert lost.session == first
    assert lost.may_send(desk.now)
    desk.wait(AFTER + 5 * SECOND, "b")
    assert desk.over(first) and lost.session == first, "it does not know yet"
    desk.told.clear()
    desk.ask("a")
    assert lost.session is None
    assert not lost.may_send(desk.now)
    desk.ask("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(desk.now)
    # Its first session lapsed in silence, so that the last that was told of it was that it is open.
    assert [(each.event, each.fields.get("open")) for name, each in desk.told if name == "a"] == [
        ("session", False),
        ("session-ended", None),
        ("session", True),
    ]


def test_an_end_that_is_proposed_is_not_overtaken_by_a_renewal() -> None:
    desk = Desk()
    lost, _ = desk.join("a"), desk.join("b")
    desk.keep("b", lost.session)
    desk.undecided = []
    desk.wait(AFTER + 2 * SECOND, "b")
    assert [each.kind for each in desk.undecided] == ["ended"]
    assert not desk.over(lost.session)
    desk.ask("a")
    assert not lost.may_send(desk.now)
    desk.sessions.apply(desk.undecided[0].kind, desk.undecided[0].value)
    desk.ask("a")
    assert lost.session is None


def test_a_later_process_ends_the_session_of_the_one_before_without_after_and_that_one_renews_nothing() -> (
    None
):
    desk = Desk()
    old = desk.join("a")
    desk.wait(5 * SECOND, "a")
    desk.lives["a"], twin = 2, SessionLease("a", "of a")
    desk.ask("a", lease=twin)
    desk.ask("a", lease=twin)
    assert twin.session == Session("a", 2, 1)
    assert twin.may_send(desk.now)
    begun = desk.now
    while desk.now < begun + RECKONED:
        desk.now += SECOND // 2
        desk.ask("a", lease=twin)
        desk.ask("a", lease=old, life=1)
    desk.wait(2 * SECOND)
    assert desk.over(Session("a", 1, 1))
    assert not old.may_send(desk.now)
    assert twin.may_send(desk.now)
    desk.ask("a", lease=old, life=1)
    desk.wait(SECOND)
    desk.ask("a", lease=old, life=1)
    assert old.session is None
    assert list(desk.sessions.log.open) == [Session("a", 2, 1)]


def test_a_wall_clock_set_back_between_two_lives_costs_a_session_until_the_former_one_is_silent_and_no_longer() -> (
    None
):
    desk = Desk()
    desk.join("a", life=9_000)
    desk.lives["a"], later = 5_000, SessionLease("a", "of a")
    desk.leases["a"] = later
    desk.wait(RECKONED - SECOND, "a")
    assert later.session is None
    desk.wait(3 * SECOND, "a")
    assert later.session == Session("a", 9_001, 1)
    assert later.may_send(desk.now)


def test_one_that_is_heard_and_does_not_hear_ends_and_one_that_hears_again_goes_on() -> None:
    desk = Desk()
    deaf, _ = desk.join("a"), desk.join("b")
    desk.keep("b", deaf.session)
    session, last = deaf.session, desk.now
    desk.wait(one_way_renewal_us(LEASE) + AFTER - SECOND, "a", "b", lose=("a",))
    assert not desk.over(session)
    desk.wait(
        last + one_way_renewal_us(LEASE) + ended_within_us(LEASE, AFTER) - desk.now,
        "a",
        "b",
        lose=("a",),
    )
    assert desk.over(session)
    desk = Desk()
    deaf = desk.join("a")
    desk.wait(3 * LEASE, "a", lose=("a",))
    desk.wait(SECOND, "a")
    assert deaf.session == Session("a", 1, 1)
    assert deaf.may_send(desk.now)


def test_a_new_leader_reckons_with_all_that_is_open_from_its_election() -> None:
    desk = Desk()
    lost, _ = desk.join("a"), desk.join("b")
    desk.keep("b", lost.session, 1)
    desk.wait(RECKONED - 1, "b")
    desk.sessions.on_leadership_change(desk.now, True)
    begun = desk.now
    desk.wait(RECKONED - 1, "b")
    assert not desk.over(lost.session)
    assert desk.now == begun + RECKONED - 1
    desk.wait(LEASE // 8 + SECOND, "b")
    assert desk.over(lost.session)


def test_a_leader_that_stood_still_ends_nobody_whose_asks_lie_unread() -> None:
    desk = Desk()
    desk.join("a"), desk.join("b")
    desk.keep("b", desk.leases["a"].session, 1)
    desk.now += 20 * LEASE
    desk.decide()
    assert not desk.sessions.log.ended
    desk.wait(LEASE, "a", "b")
    assert not desk.sessions.log.ended
    assert desk.leases["a"].session == Session("a", 1, 1)


def test_successors_that_are_lost_themselves_are_gone_and_may_join_again_behind_the_others() -> (
    None
):
    desk = Desk()
    for name in "abcd":
        desk.join(name)
    session = desk.leases["a"].session
    assert session is not None
    desk.keep("b", session)
    desk.keep("c", session)
    desk.wait(AFTER + 2 * SECOND, "b", "c", "d")
    assert successor_of(desk.sessions.log.ended[session], ("b", "c")) == "b"
    desk.wait(unreplicated_wait_us(LEASE) + 2 * SECOND, "c", "d")
    ended = desk.sessions.log.ended[session]
    assert (ended.gone, successor_of(ended, ("b", "c")), successor_of(ended, ("b",))) == (
        ("b",),
        "c",
        "",
    )
    assert ended.changed > ended.epoch and desk.leases["c"].ended[session] == ended, (
        "who takes over acts under more"
    )
    desk.wait(2 * SECOND, "b", "c", "d")  # back, under a new session, and still a keeper
    again = desk.sessions.log.ended[session]
    assert again.batches == (("c",), ("b",))
    assert not again.gone
    assert successor_of(again, ("b", "c")) == "c"
    desk.wait(unreplicated_wait_us(LEASE) + 2 * SECOND, "b", "d")  # the second one is lost, too
    assert successor_of(desk.sessions.log.ended[session], ("b", "c")) == "b"


def test_a_new_session_waits_until_all_ends_are_heard_so_many_at_a_time() -> None:
    desk = Desk()
    for number in range(MAX_ENDED_PER_RESPONSE + 10):
        _over(desk.sessions.log, Session(f"x{number:03d}", 1, 1))
    late = SessionLease("a", "r")
    desk.leases["a"], desk.lives["a"] = late, 1
    desk.ask("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE
    assert late.session is None
    desk.ask("a")
    assert late.known_epoch == MAX_ENDED_PER_RESPONSE + 10 == len(late.ended)
    assert late.session is not None


def test_what_is_forgotten_is_over_all_the_same() -> None:
    desk = Desk()
    lost = desk.join("a")
    session = lost.session
    assert session is not None
    desk.sessions.apply("ended", {"session": session.text(), "successors": []})
    for number in range(MAX_ENDED_SESSIONS):
        _over(desk.sessions.log, Session(f"x{number:03d}", 1, 1))
    assert len(desk.sessions.log.ended) == MAX_ENDED_SESSIONS
    assert session not in desk.sessions.log.ended
    for _ in range(8):
        desk.ask("a")
    assert lost.session == Session("a", 1, 2)
    assert lost.may_send(desk.now)
    assert [each.fields["session"] for _, each in desk.told if each.event == "session-ended"].count(
        session.text()
    ) == 1


def _over(log: SessionLog, session: Session) -> None:
    log.apply("opened", {"session": session.text(), "process": 1, "region": "r", "lease_us": LEASE})
    log.apply("ended", {"session": session.text(), "successors": []})


# -- the log


def test_nothing_is_opened_twice_whatever_is_proposed_and_the_state_is_read_back() -> None:
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


def test_what_is_kept_of_ends_has_a_bound_by_count_and_by_length() -> None:
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
def test_what_cannot_be_read_changes_nothing(kind: str, value: dict[str, Any]) -> None:
    log = SessionLog()
    before = log.text()
    try:
        log.apply(kind, value)
    except (ValueError, KeyError, TypeError):
        pass
    assert log.text() == before


def test_lives_that_follow_each_other_fast_wait_for_room_and_it_is_counted() -> None:
    desk = Desk()
    for life in range(1, 4 * MAX_OPEN_SESSIONS_PER_PLACER):
        desk.join("a", life)
    assert desk.sessions.log.open_count("a") == MAX_OPEN_SESSIONS_PER_PLACER
    assert desk.sessions.counts["sessions: no room for another"]
    desk.wait(RECKONED + 3 * SECOND, "a")
    assert desk.leases["a"].may_send(desk.now)
    assert desk.sessions.log.open_count("a") == 1


def test_one_that_stands_in_no_region_has_no_session() -> None:
    lease = SessionLease("a", "")
    assert lease.report(5) is None
    assert lease.on_response(5, 5, None) == []
    assert not lease.may_send(5)
