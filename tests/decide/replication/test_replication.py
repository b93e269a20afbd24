"""Custody: what is acknowledged is with a living keeper, and nothing leaves that a keeper does not know of."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.primary import Primary
from wingbarrow.decide.replication.records import ReplicationLimits, choose, phase_of
from wingbarrow.decide.replication.replica import Replica, unclaimed
from wingbarrow.decide.replication.replicated_job import ReplicatedJob, Tokens
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import (
    HeldRecords,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
)
from wingbarrow.decide.sessions.session import EndedSession, Session

S = 1_000_000
ALLOWED = ("north", "south", "west")
WHERE = {"b": "south", "c": "west", "d": "south", "e": "west"}
ME = Session("a", 1, 0)


def record(
    uid: str, effect: str = "safe", version: int = 1, manifest: str = "{}", session: Session = ME
) -> LeasedJobRecord:
    return LeasedJobRecord(
        1,
        uid,
        f"shop/{uid}",
        session,
        0,
        version,
        "north",
        "spread",
        effect,
        "all",
        3 * S,
        5 * S,
        0,
        1.0,
        1.0,
        1,
        manifest,
        (),
        "",
        0,
    )


def holder(bounds: ReplicationLimits = ReplicationLimits(), names: str = "bcde") -> Primary:
    made = Primary("a", 1, "north", 1, bounds)
    made.members(0, {"a": ("north", 1)} | {name: (WHERE[name], 1) for name in names})
    return made


def kept(effects: list[Effect]) -> dict[int, tuple[bool, str]]:
    return {
        each.fields["token"]: (each.fields["good"], each.fields["why"])
        for each in effects
        if isinstance(each, Notify) and each.event == "kept"
    }


def exchange(
    made: Primary, keepers: dict[str, Replica], now_us: int, deaf: str = ""
) -> list[Effect]:
    """All mail goes to and fro at once, but to and from the deaf."""
    told: list[Effect] = []
    todo = made.on_timer(now_us)
    for effect in todo:  # grows by the answers while it is read
        if isinstance(effect, Notify):
            told.append(effect)
        elif isinstance(effect, Send) and effect.ident in keepers and effect.ident not in deaf:
            for answer in keepers[effect.ident].on_keep(now_us, "a", effect.message):
                if isinstance(answer, Send):
                    todo += made.on_message(now_us, effect.ident, answer.message)
    return told


@given(st.text("abcdef0123456789", min_size=1), st.integers(1, 3), st.sampled_from("bcde"))
def test_keepers_stand_in_other_allowed_regions_and_change_only_for_who_goes(
    uid: str, copies: int, gone: str
) -> None:
    regions = {"north": ("a", "n"), "south": ("b", "d"), "west": ("c", "e"), "east": ("f",)}
    chosen = choose(uid, "north", ALLOWED, regions, copies)
    assert len(chosen) == len(set(chosen)) == copies
    assert set(chosen) <= set("bcde")
    if copies >= 2:
        assert {WHERE[name] for name in chosen[:2]} == {"south", "west"}
    after = choose(uid, "north", ALLOWED, regions, copies, (gone,))
    assert gone not in after
    if gone not in chosen:
        assert after == chosen
    assert not choose(uid, "north", ("north", "moon"), regions, copies)


@pytest.mark.parametrize(
    ("made", "job", "why"),
    [
        (holder(names=""), record("u"), "no keeper"),
        (
            holder(ReplicationLimits(bytes=3000)),
            record("u", manifest="x" * 4000),
            "no room at any keeper",
        ),
        (holder(), record("u", manifest="x" * 16384), "record of 17582 bytes, at most 16384"),
    ],
)
def test_what_cannot_be_kept_is_refused_at_once_with_its_reason(
    made: Primary, job: LeasedJobRecord, why: str
) -> None:
    token, effects = made.hold(0, job, ALLOWED, 1, S)
    assert kept(effects) == {token: (False, why)}
    assert not made.jobs


def test_a_token_is_settled_once_and_at_its_deadline_at_the_latest() -> None:
    made, keepers = holder(), {name: Replica(name, 1) for name in WHERE}
    first, _ = made.hold(0, record("u"), ALLOWED, 1, S)
    assert kept(exchange(made, keepers, 2_000)) == {first: (True, "")}
    second, _ = made.answered(3_000, "u", "placed", 503_000)
    assert not kept(exchange(made, keepers, 10_000, "bcde"))
    told = exchange(made, keepers, 503_000, "bcde")
    assert set(kept(told)) == {second}
    assert not kept(told)[second][0]
    assert not kept(exchange(made, keepers, 900_000))
    assert not kept(made.on_timer(2 * S))
    third, effects = made.answered(2 * S, "v", "placed", 3 * S)
    assert kept(effects) == {third: (False, "not held")}


def test_a_holder_hears_once_that_its_session_is_over_and_holds_nothing_until_it_has_another() -> (
    None
):
    made, keepers = holder(), {name: Replica(name, 1) for name in WHERE}
    made.hold(0, record("u"), ALLOWED, 1, S)
    exchange(made, keepers, 2_000)
    for keeper in keepers.values():
        keeper.ended(S, EndedSession(1, ME, "north"))
    token, _ = made.answered(S, "u", "placed", 3 * S)
    told = exchange(made, keepers, S + 2_000)
    assert kept(told) == {token: (False, "session over")}
    assert [each.event for each in told if isinstance(each, Notify)] == ["kept", "session-over"]
    late, effects = made.hold(2 * S, record("v"), ALLOWED, 1, 3 * S)
    assert kept(effects) == {late: (False, "session over")}
    assert not made.jobs
    assert set(made.former) == {"u"}
    assert not made.buried(2 * S, ME, 1)
    made.begin(3 * S, Session("a", 1, 1))
    token, _ = made.hold(3 * S, record("w"), ALLOWED, 1, 4 * S)
    assert kept(exchange(made, keepers, 3 * S + 2_000)) == {token: (True, "")}


def test_a_silent_keeper_is_replaced_in_the_stated_time_and_holds_up_nobody_else() -> None:
    bounds = ReplicationLimits()
    made, keepers = holder(bounds), {name: Replica(name, 1) for name in WHERE}
    for index in range(400):
        made.hold(0, record(f"u{index}"), ALLOWED, 1, 10 * S)
    for now in range(2_000, 60_000, 2_000):
        exchange(made, keepers, now)
    mine = [uid for uid, job in made.jobs.items() if job.chosen == ["b"]]
    tokens = {uid: made.answered(60_000, uid, "placed", 10 * S)[0] for uid in made.jobs}
    good: dict[int, int] = {}
    for now in range(60_000, 3 * S, 5_000):
        good |= {
            token: now
            for token, (well, _) in kept(exchange(made, keepers, now, "b")).items()
            if well
        }
    assert len(mine) > 50
    assert all(good[tokens[uid]] < 60_000 + 20_000 for uid in made.jobs if uid not in mine)
    assert all(good[tokens[uid]] < 60_000 + bounds.replaced_us(len(mine)) + 50_000 for uid in mine)
    assert all("b" not in job.chosen for job in made.jobs.values())


@pytest.mark.parametrize("way", ["forgot", "buried", "neither"])
def test_nothing_leaves_of_a_never_twice_job_before_a_dropped_keeper_is_out_of_it(way: str) -> None:
    made, keepers = holder(), {name: Replica(name, 1) for name in WHERE}
    made.hold(0, record("u", "unsafe"), ALLOWED, 1, S)
    exchange(made, keepers, 2_000)
    (first,) = made.jobs["u"].chosen
    made.answered(3_000, "u", "", 3 * S)
    for now in range(3_000, 2 * S, 5_000):
        exchange(made, keepers, now, first)
    assert made.jobs["u"].chosen != [first]
    token, _ = made.about(2 * S, "u", KnownTask(0, "about", "m", "p"), 9 * S)
    assert not kept(exchange(made, keepers, 2 * S + 5_000, first))
    if way == "forgot":
        assert kept(exchange(made, keepers, 8 * S)) == {token: (True, "")}
        assert "u" not in keepers[first].entries
    elif way == "buried":
        assert kept(made.buried(8 * S, Session(first, 1, 0), 1)) == {token: (True, "")}
    else:
        exchange(made, keepers, 8 * S, first)
        assert kept(exchange(made, keepers, 9 * S, first)) == {
            token: (False, f"no word in time from {first}")
        }


def test_a_keeper_takes_a_mail_whole_or_refuses_it_whole() -> None:
    keeper = Replica("b", 1, ReplicationLimits(records=3))

    def say(
        number: int, *uids: str, session: Session = ME, sender: str = "a", **more: Any
    ) -> ReplicateResponse:
        records = tuple(record(uid, session=session) for uid in uids)
        (answer,) = keeper.on_keep(
            0, sender, ReplicateRequest(number, session, records, life=1, **more)
        )
        assert isinstance(answer, Send)
        assert isinstance(answer.message, ReplicateResponse)
        return answer.message

    assert say(1, "u", "v").good
    assert keeper.kept() == (HeldRecords(ME, 2, 5 * S),)
    refused = say(2, "w", "x")
    assert not refused.good
    assert "no room" in refused.why
    assert set(keeper.entries) == {"u", "v"}
    assert say(3, "w", gone=("u",)).good
    assert set(keeper.entries) == {"v", "w"}
    assert not keeper.on_keep(0, "a", ReplicateRequest(2, ME, (record("u"),), life=1)), (
        "late mail is not answered, nor taken"
    )
    assert not say(4, "w", sender="b").good
    assert not say(4, "w", serial=1).good
    assert (
        say(5, "w", session=Session("a", 2, 0)).taken == (("w", 0, "a"),) or "w" in keeper.entries
    )
    assert say(6, "v").over, "a life before"


def test_only_the_successor_takes_over_and_a_later_end_of_its_own_leaves_doubt() -> None:
    keepers = {name: Replica(name, 1) for name in "bc"}
    job = replace(record("u", "unsafe"), keepers=("b", "c"))
    for keeper in keepers.values():
        keeper.on_keep(0, "a", ReplicateRequest(1, ME, (job,), life=1))
    assert unclaimed(3, keepers["b"].kept()) == 2
    end = EndedSession(1, ME, "north", (("c",),))
    assert not keepers["b"].ended(0, end)
    (taking,) = keepers["c"].ended(S, end)
    assert taking.must == ("b",)
    assert taking.record.born_age_us == S
    assert not keepers["c"].ended(S, end)
    assert keepers["b"].others() == {"c": ["u"]}
    keepers["b"].own_end(Session("b", 1, 1), ())
    gone = EndedSession(1, ME, "north", (("c",), ("b",)), ("c",))
    assert not keepers["b"].ended(S, gone)
    assert "u" in keepers["b"].others()[""]
    late = keepers["b"].take(S, "u")
    assert late is not None
    assert phase_of(late.record, 0).phase == "doubt"
    (answer,) = keepers["c"].settle("b", ResolveRequest(1, ME, ("u", "x")), {"x": (4, "run")})
    assert isinstance(answer, Send)
    assert answer.message.fates == (
        ("u", 1, "waiting"),
        ("x", 4, "run"),
    )


def test_of_two_that_took_over_at_one_epoch_the_lesser_name_stands_unless_the_other_started() -> (
    None
):
    for started, stands in ((False, True), (True, False)):
        keeper = Replica("c", 1)
        keeper.on_keep(
            0, "a", ReplicateRequest(1, ME, (replace(record("u"), keepers=("c",)),), life=1)
        )
        keeper.ended(0, EndedSession(2, ME, "north", (("c",),)))
        keeper.fate("u", "run" if started else "asked")
        rival = Session("b", 1, 0)
        claim = ReplicateRequest(
            1, rival, (replace(record("u", session=rival), epoch=2, version=2),), life=1
        )
        *told, answer = keeper.on_keep(0, "b", claim)
        assert isinstance(answer, Send)
        assert (not answer.message.taken) is stands
        assert [each.event for each in told if isinstance(each, Notify)] == (
            ["superseded"] if stands else []
        )


class World(RuleBasedStateMachine):
    """A holder and four keepers; mail is lost, late, doubled; keepers die, come back, or are ended alive."""

    tokens: type[Tokens] = Tokens

    def __init__(self) -> None:
        super().__init__()
        self.found: Counter[str] = Counter()
        self.now_us = 0
        self.made = holder()
        self.made._tokens = self.tokens()
        self.keepers: dict[str, Replica] = {name: Replica(name, 1) for name in WHERE}
        self.lives = dict.fromkeys(WHERE, 1)
        self.mail: list[tuple[str, str, Any]] = []
        self.open: dict[int, tuple[str, int, bool]] = {}
        self.promised: dict[str, int] = {}  # versions that were acknowledged, of each Job
        self.lost: dict[
            str, int
        ] = {}  # the latest version that died with the only keeper that had it
        self.ends = 0
        self.born = 0

    def carry(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.mail.append(("a", effect.ident, effect.message))
            elif isinstance(effect, Notify) and effect.event == "kept":
                uid, version, every = self.open.pop(
                    effect.fields["token"]
                )  # KeyError: settled twice
                if effect.fields["good"]:
                    self.settled(uid, version, every)

    def having(self, uid: str, version: int) -> set[str]:
        return {
            name
            for name, each in self.keepers.items()
            if uid in each.entries and each.entries[uid].record.version >= version
        }

    def settled(self, uid: str, version: int, every: bool) -> None:
        if uid not in self.made.jobs:
            return
        if not self.having(uid, version) and self.lost.get(uid, 0) < version:
            self.found["nobody has it"] += 1
        if every:
            older = [
                name
                for name, each in self.keepers.items()
                if uid in each.entries
                and not each.entries[uid].doubt
                and each.entries[uid].record.version < version
            ]
            self.found["one believes that nothing left"] += bool(older)
        self.promised[uid] = max(version, self.promised.get(uid, 0))

    def ask(self, answer: tuple[int, list[Effect]], uid: str, every: bool = False) -> None:
        token, effects = answer
        job = self.made.jobs.get(uid)
        self.open[token] = uid, job.record.version if job is not None else 0, every
        self.carry(effects)

    @rule(
        effect=st.sampled_from(("safe", "unsafe")),
        copies=st.integers(1, 2),
        wait=st.integers(1, 40),
    )
    def hold(self, effect: str, copies: int, wait: int) -> None:
        self.born += 1
        uid = f"{effect}{self.born}"
        self.ask(
            self.made.hold(
                self.now_us, record(uid, effect), ALLOWED, copies, self.now_us + wait * S // 10
            ),
            uid,
        )

    @precondition(lambda self: self.made.jobs)
    @rule(
        which=st.integers(0, 9),
        what=st.sampled_from(("about", "placed", "answered", "drop")),
        wait=st.integers(1, 40),
    )
    def change(self, which: int, what: str, wait: int) -> None:
        uid = sorted(self.made.jobs)[which % len(self.made.jobs)]
        until, known = self.now_us + wait * S // 10, KnownTask(0, what, "m", "p")
        if what == "about":
            self.ask(self.made.about(self.now_us, uid, known, until), uid, uid.startswith("unsafe"))
        elif what == "placed":
            self.ask(self.made.placed(self.now_us, uid, known, until), uid)
        elif what == "answered":
            self.ask(self.made.answered(self.now_us, uid, "placed", until), uid)
        else:
            self.promised.pop(uid, None)
            self.carry(self.made.drop(self.now_us, uid))

    @precondition(lambda self: self.mail)
    @rule(which=st.integers(0, 50), keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        sender, receiver, message = self.mail[which % len(self.mail)]
        if not keep:
            del self.mail[which % len(self.mail)]
        if isinstance(message, ReplicateResponse):
            self.carry(self.made.on_message(self.now_us, sender, message))
        elif receiver in self.keepers:
            for effect in self.keepers[receiver].on_keep(self.now_us, sender, message):
                if isinstance(effect, Send):
                    self.mail.append((receiver, sender, effect.message))

    @rule()
    def deliver_all(self) -> None:
        for _ in range(min(40, len(self.mail))):
            self.deliver(0, False)

    @precondition(lambda self: self.mail)
    @rule(which=st.integers(0, 50))
    def lose(self, which: int) -> None:
        del self.mail[which % len(self.mail)]

    @rule(by=st.sampled_from((2_000, 100_000, 400_000, 1_600_000, 31 * S)))
    def pass_time(self, by: int) -> None:
        self.now_us += by
        self.carry(self.made.on_timer(self.now_us))

    @rule(name=st.sampled_from("bcde"))
    def die(self, name: str) -> None:
        if name in self.keepers:
            for uid, entry in self.keepers[name].entries.items():
                if self.having(uid, entry.record.version) == {name}:
                    self.lost[uid] = max(entry.record.version, self.lost.get(uid, 0))
            del self.keepers[name]
            self.members()

    @rule(name=st.sampled_from("bcde"))
    def rise(self, name: str) -> None:
        if name not in self.keepers:
            self.lives[name] += 1
            self.keepers[name] = Replica(name, self.lives[name])
            self.members()

    @rule(name=st.sampled_from("bcde"), first=st.booleans())
    def end_alive(self, name: str, first: bool) -> None:
        """The voters end a keeper's session: it hears of that before the holder, or after."""
        if name not in self.keepers:
            return
        self.ends += 1
        session = self.keepers[name].session
        if first:
            self.keepers[name].own_end(replace(session, serial=session.serial + 1), ())
        self.carry(self.made.buried(self.now_us, session, self.ends))
        self.keepers[name].own_end(replace(session, serial=session.serial + 1), ())

    def members(self) -> None:
        self.carry(
            self.made.members(
                self.now_us, {name: (WHERE[name], self.lives[name]) for name in self.keepers}
            )
        )

    @invariant()
    def what_was_acknowledged_is_kept(self) -> None:
        for uid, version in self.promised.items():
            if (
                uid in self.made.jobs
                and not self.having(uid, version)
                and self.lost.get(uid, 0) < version
            ):
                self.found["acknowledged and nowhere"] += 1

    @invariant()
    def nothing_was_found(self) -> None:
        assert not self.found, self.found


QUIET = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

BLUNT = settings(
    QUIET, max_examples=400, phases=[Phase.generate]
)  # what is planted need not be shrunk


def test_what_is_acknowledged_is_kept_and_known() -> None:
    stateful.run_state_machine_as_test(World, settings=QUIET)  # type: ignore[no-untyped-call]


class OneIsEnough(Tokens):
    """Planted: an attempt that must not start twice leaves once one keeper knows."""

    def wait(self, job: ReplicatedJob, number: int, deadline_us: int, every: bool) -> None:
        super().wait(job, number, deadline_us, False)


class Hasty(Tokens):
    """Planted: a change counts as kept once the version before is."""

    def met(self, job: ReplicatedJob) -> list[Effect]:
        for token in job.tokens:
            token.version -= 1
        return super().met(job)


@pytest.mark.parametrize("planted", [OneIsEnough, Hasty])
def test_planted_errors_are_found(planted: type[Tokens]) -> None:
    broken = type("Broken", (World,), {"tokens": planted})
    with pytest.raises(AssertionError, match="Counter"):
        stateful.run_state_machine_as_test(broken, settings=BLUNT)  # type: ignore[no-untyped-call]
