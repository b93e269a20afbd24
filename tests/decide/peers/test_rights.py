"""Rights in escrow: fair parts, and that nobody passes the whole whatever is lost, doubled, late, stopped or reborn."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wingbarrow.decide.peers.limits import FleetLimit
from wingbarrow.decide.peers.rights import Asker, Bank, Purse, Right, Stated, fair

S = 1_000_000
GRANT, WINDOW, STRANDED, MOST = 2 * S, 3 * S, 5 * S, 6
NAMES = ("a", "b", "c")
STANDING = FleetLimit("namespace", "shop", "standing", MOST, 0, STRANDED, NAMES)
RATE = FleetLimit("class", "web", "rate", MOST, WINDOW, STRANDED, NAMES)
LIMITS = (STANDING, RATE)


@given(st.integers(0, 50), st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 60), min_size=1))
def test_parts_are_fair_and_make_the_whole(total: int, wants: dict[str, int]) -> None:
    parts = fair(total, wants)
    assert sum(parts.values()) <= total and min(parts.values()) >= 0
    assert sum(parts.values()) >= min(total, sum(wants.values()))
    for name, part in parts.items():
        if part < wants[name]:
            assert all(other <= part + 1 or other <= wants[who] for who, other in parts.items())


def test_one_that_asks_for_all_leaves_to_others_what_they_want() -> None:
    assert fair(100, {"liar": 10 ** 6, "x": 20, "y": 30}) == {"liar": 50, "x": 20, "y": 30}
    assert fair(100, {"liar": 10 ** 6, "x": 80, "y": 90}) == {"liar": 34, "x": 33, "y": 33}


class Placer:
    """A purse with its grant, its tasks and the times of what it started."""

    def __init__(self, life: int, born_us: int) -> None:
        self.life, self.born_us = life, born_us
        self.standing = 0
        self.purse = Purse(lambda key: self.standing)
        self.purse.take_limits(LIMITS)
        self.number = self.until_us = self.asked_us = 0


class Fleet(RuleBasedStateMachine):
    """Three placers, leaders one after the other, mail in any order; all clocks are one here."""

    bank: type[Bank] = Bank
    latest_only = lapses = True
    found: Counter[str] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.now_us, self.lives = 100 * S, 0
        self.leader = self.bank(GRANT, self.now_us - 100 * S)
        self.placers: dict[str, Placer] = {}
        self.mail: list[tuple[str, Asker, tuple[Stated, ...]]] = []
        self.answers: list[tuple[str, int, int, tuple[Right, ...]]] = []
        self.orphans: list[tuple[int, int]] = []  # tasks of placers that were killed: until when they run, how many
        self.starts: list[int] = []
        for name in NAMES:
            self.rise(name)

    def rise(self, name: str) -> None:
        self.lives += 1
        self.placers[name] = Placer(self.lives, self.now_us)

    @rule(by=st.integers(1, 1500))
    def pass_time(self, by: int) -> None:
        self.now_us += by * 1000
        self.orphans = [each for each in self.orphans if each[0] > self.now_us]
        self.starts = [at for at in self.starts if at > self.now_us - WINDOW]

    @rule(name=st.sampled_from(NAMES), wants=st.integers(0, 20))
    def ask(self, name: str, wants: int) -> None:
        placer = self.placers[name]
        placer.number, placer.asked_us = placer.number + 1, self.now_us
        if self.now_us >= placer.until_us and self.lapses:
            placer.purse.lapse()
        placer.purse.demand = lambda key: wants
        asker = Asker(name, placer.life, self.now_us - placer.born_us, placer.number)
        self.mail.append((name, asker, placer.purse.stated(self.now_us)))

    @rule(pick=st.integers(0, 99), keep=st.booleans())
    def reach_the_leader(self, pick: int, keep: bool) -> None:
        if self.mail:
            at = pick % len(self.mail)
            name, asker, stated = self.mail[at] if keep else self.mail.pop(at)
            rights = self.leader.answer(self.now_us, asker, stated, LIMITS, frozenset(NAMES))
            self.answers.append((name, asker.life, asker.number, rights))

    @rule(pick=st.integers(0, 99), keep=st.booleans())
    def reach_the_placer(self, pick: int, keep: bool) -> None:
        if self.answers:
            at = pick % len(self.answers)
            name, life, number, rights = self.answers[at] if keep else self.answers.pop(at)
            placer = self.placers[name]
            latest = placer.number == number or not self.latest_only
            if placer.life == life and latest and self.now_us < placer.asked_us + GRANT:
                if self.now_us < placer.until_us or not self.lapses:
                    placer.purse.take(rights)
                placer.until_us = max(placer.until_us, placer.asked_us + GRANT)
                self.found["given"] += sum(each.share for each in rights)

    @rule(name=st.sampled_from(NAMES))
    def call(self, name: str) -> None:
        """An ask and its answer without trouble, as it mostly is."""
        self.get(name, 6)

    def get(self, name: str, wants: int, to_placer: bool = True) -> None:
        if self.now_us >= self.placers[name].until_us and to_placer:
            self.get_once(name, wants, True)  # the first grant after a gap brings no rights
        self.get_once(name, wants, to_placer)

    def get_once(self, name: str, wants: int, to_placer: bool) -> None:
        self.ask(name, wants)
        self.reach_the_leader(len(self.mail) - 1, False)
        if to_placer:
            self.reach_the_placer(len(self.answers) - 1, False)

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def start(self, name: str, count: int) -> None:
        placer = self.placers[name]
        if self.now_us < placer.until_us:
            if placer.purse.may(self.now_us, STANDING.key, count):
                placer.standing += count
                self.found["standing"] += count
            if placer.purse.may(self.now_us, RATE.key, count):
                placer.purse.use(self.now_us, RATE.key, count)
                self.starts += [self.now_us] * count
                self.found["starts"] += count

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def end(self, name: str, count: int) -> None:
        self.placers[name].standing = max(0, self.placers[name].standing - count)

    @rule(name=st.sampled_from(NAMES), wants=st.integers(1, 6), count=st.integers(1, 6))
    def work(self, name: str, wants: int, count: int) -> None:
        self.get(name, wants)
        self.start(name, count)

    @rule(name=st.sampled_from(NAMES), rarely=st.integers(0, 3))
    def may_die(self, name: str, rarely: int) -> None:
        if not rarely:
            self.die(name)

    def die(self, name: str) -> None:
        """What it ran goes on for as long as tasks of this limit may."""
        if self.placers[name].standing:
            self.orphans.append((self.now_us + STRANDED - 1, self.placers[name].standing))
        self.found["deaths"] += 1
        self.rise(name)

    @rule(rarely=st.integers(0, 3))
    def may_be_deposed(self, rarely: int) -> None:
        if not rarely:
            self.another_leader()

    def another_leader(self) -> None:
        self.leader = self.bank(GRANT, self.now_us)
        self.found["leaders"] += 1

    @invariant()
    def nobody_passes_the_whole(self) -> None:
        # One that is out of touch keeps what it runs, which the account counts for `stranded` alone.
        lost = [each for each in self.placers.values() if self.now_us >= each.until_us + STRANDED and each.standing]
        running = sum(each.standing for each in self.placers.values()) + sum(count for _, count in self.orphans)
        assert running - sum(each.standing for each in lost) <= MOST, f"{running} stand"
        assert sum(at > self.now_us - WINDOW for at in self.starts) <= MOST, f"{len(self.starts)} within the window"


run: Callable[..., None] = stateful.run_state_machine_as_test
PLAY = settings(max_examples=150, stateful_step_count=50, deadline=None, derandomize=True,
                suppress_health_check=list(HealthCheck))


def test_whatever_happens_nobody_passes_the_whole() -> None:
    Fleet.found = Counter()
    run(Fleet, settings=PLAY)
    assert min(Fleet.found[each] for each in ("given", "standing", "starts", "deaths", "leaders")) >= 20, Fleet.found


class NoLag(Bank):
    """Planted: what was given back is given away at once."""

    def _settle(self, *_: Any) -> None:
        pass


class Forgetful(Bank):
    """Planted: what has lapsed counts for nothing."""

    def _in_use(self, now_us: int, account: Any, limit: FleetLimit) -> int:
        return super()._in_use(now_us, account, limit) if now_us < account.until_us else 0


class Hasty(Bank):
    """Planted: a new leader thinks that it knows all."""

    def answer(self, now_us: int, asker: Asker, stated: Any, limits: Any, holders: frozenset[str]) -> tuple[Right, ...]:
        return super().answer(now_us, asker, stated, limits, frozenset())


class Reborn(Bank):
    """Planted: a new leader takes one that is reborn for one that has never held anything."""

    def answer(self, now_us: int, asker: Asker, stated: Any, limits: Any, holders: frozenset[str]) -> tuple[Right, ...]:
        return super().answer(now_us, replace(asker, up_us=1 << 40), stated, limits, holders)


class AnyAnswer(Fleet):
    """Planted: a purse takes answers to asks before its latest."""

    latest_only = False


def has_all(fleet: Fleet) -> None:
    """`a` holds the whole and uses it."""
    for name, wants in (("a", 6), ("b", 0), ("c", 0), ("a", 6)):
        fleet.get(name, wants)
    fleet.start("a", 6)
    assert fleet.placers["a"].standing == 6


def reborn(fleet: Fleet) -> None:
    has_all(fleet)
    fleet.die("a")
    fleet.get("a", 0)


def silent(fleet: Fleet) -> None:
    has_all(fleet)
    fleet.pass_time(1500)
    fleet.pass_time(1500)


def deposed(fleet: Fleet) -> None:
    has_all(fleet)
    fleet.another_leader()


def reborn_under_another(fleet: Fleet) -> None:
    has_all(fleet)
    fleet.another_leader()
    fleet.die("a")
    fleet.get("a", 0)
    fleet.get("c", 0)


class Stale(Fleet):
    """Planted: a purse states what has lapsed."""

    lapses = False


def lapsed_and_deposed(fleet: Fleet) -> None:
    has_all(fleet)
    fleet.end("a", 6)
    for _ in range(6):
        fleet.pass_time(1500)
    for name, wants in (("c", 0), ("b", 6), ("b", 6)):
        fleet.get(name, wants)
    fleet.start("b", 6)
    fleet.another_leader()
    fleet.get("a", 6)
    fleet.start("a", 6)


def late_answer(fleet: Fleet) -> None:
    for name, wants in (("a", 0), ("b", 0), ("c", 0), ("a", 6), *((each, 0) for each in "bcbc")):
        fleet.get(name, wants)
    fleet.ask("a", 6)
    fleet.reach_the_leader(0, False)
    fleet.get("a", 0, to_placer=False)
    for _ in range(2):
        fleet.get("b", 6)
    fleet.start("b", fleet.placers["b"].purse.shares[STANDING.key])
    fleet.reach_the_placer(0, False)
    fleet.start("a", 6)


@pytest.mark.parametrize("planted, story", [
    (NoLag, reborn), (Forgetful, silent), (Hasty, deposed), (Reborn, reborn_under_another), (AnyAnswer, late_answer),
    (Stale, lapsed_and_deposed)])
def test_a_planted_error_is_found(planted: Any, story: Callable[[Fleet], None]) -> None:
    def play(fleet: Fleet) -> None:
        story(fleet)
        for _ in range(2):
            fleet.get("b", 6)
            fleet.start("b", 2)
        fleet.nobody_passes_the_whole()
    play(Fleet())
    machine = planted if issubclass(planted, Fleet) else type(planted.__name__, (Fleet,), {"bank": planted})
    with pytest.raises(AssertionError, match="stand"):
        play(machine())
