"""Raft model-based: messages, timers, crashes and restarts in any order, against one list of committed entries."""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any, ClassVar

import pytest
from hypothesis import HealthCheck, Phase, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wingbarrow.decide.consensus.effects import (
    Effects,
    EntriesCommitted,
    LeadershipChanged,
    SnapshotRestored,
)
from wingbarrow.decide.consensus.entries import VOTERS, LogEntry
from wingbarrow.decide.consensus.log import PersistentState
from wingbarrow.decide.consensus.messages import VoteRequest
from wingbarrow.decide.consensus.raft import Raft
from wingbarrow.decide.effects import Persist, Send, SetTimer

NAMES = ("v0", "v1", "v2", "v3")
PICK = st.integers(0, 1 << 16)
PLAY = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Voters(RuleBasedStateMachine):
    """Three voters, and a fourth that may be added. Only rules deliver messages and let time pass."""

    kind: type[Raft] = Raft
    found: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.mail: list[tuple[str, str, Any]] = []
        self.timers: dict[tuple[str, str], int] = {}
        self.disks = {name: PersistentState(NAMES[:3]) for name in NAMES}
        self.live: dict[str, Raft] = {}
        self.leaders: dict[int, str] = {}
        self.decided: list[LogEntry] = []  # the reference
        self.applied: dict[str, int] = {}
        self.number = self.lives = 0
        for name in NAMES:
            self.begin(name)

    def begin(self, name: str) -> None:
        self.lives += 1
        self.live[name] = self.kind(name, copy.deepcopy(self.disks[name]), self.lives * 31)
        self.applied[name] = self.disks[name].snapshot_index
        self.act(name, self.live[name].start(self.now_us))

    def act(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                self.disks[name].persist(effect)
            elif isinstance(effect, SetTimer):
                self.timers[name, effect.key.removeprefix("raft ")] = effect.at_us
            elif isinstance(effect, Send):
                self.mail.append((name, effect.ident, effect.message))
            elif isinstance(effect, LeadershipChanged) and effect.is_leader:
                self.elected(name)
            elif isinstance(effect, SnapshotRestored):
                assert effect.index <= len(self.decided), (
                    "a snapshot of what nobody was told is decided"
                )
                self.applied[name] = effect.index
            elif isinstance(effect, EntriesCommitted):
                self.committed(name, effect)

    def elected(self, name: str) -> None:
        disk = self.live[name].persistent
        self.found["elected"] += 1
        assert self.leaders.setdefault(disk.term, name) == name, f"two leaders in term {disk.term}"
        for index, entry in enumerate(self.decided, 1):
            if index > disk.snapshot_index:
                held = disk.log[index - disk.snapshot_index - 1 :][:1]
                assert held == [entry], "a leader that lacks a decision"

    def committed(self, name: str, effect: EntriesCommitted) -> None:
        assert effect.first_index == self.applied[name] + 1, "in order, and once"
        for index, entry in enumerate(effect.entries, effect.first_index):
            if index > len(self.decided):
                assert index == len(self.decided) + 1
                self.decided.append(entry)
                self.found[entry.kind or "of its own term"] += 1
            assert self.decided[index - 1] == entry, f"{name}: another decision at {index}"
            self.applied[name] = index

    def take(self, index: int, keep: bool) -> None:
        if self.mail:
            at = index % len(self.mail)
            sender, receiver, message = self.mail[at] if keep else self.mail.pop(at)
            if receiver in self.live:
                self.act(receiver, self.live[receiver].on_message(self.now_us, sender, message))

    @rule(picks=st.lists(PICK, min_size=1, max_size=8))
    def deliver(self, picks: list[int]) -> None:
        for pick in picks:
            self.take(pick, False)

    @rule(count=st.integers(1, 12))
    def deliver_in_order(self, count: int) -> None:
        for _ in range(count):
            self.take(0, False)

    @rule(pick=PICK)
    def deliver_and_keep(self, pick: int) -> None:
        self.take(pick, True)

    @rule(name=st.sampled_from(NAMES))
    def lose_all_to(self, name: str) -> None:
        self.mail = [each for each in self.mail if each[1] != name]

    @rule(pick=PICK)
    def pass_time(self, pick: int) -> None:
        due = sorted((at, *key) for key, at in self.timers.items() if key[0] in self.live)
        if due:
            at, name, key = due[
                pick % min(3, len(due))
            ]  # one that stands still lets others go first
            del self.timers[name, key]
            self.now_us = max(self.now_us, at)
            self.act(name, self.live[name].on_timer(self.now_us, key))

    @rule(count=st.integers(5, 60))
    def go_on(self, count: int) -> None:
        for _ in range(count):
            if self.mail:
                self.take(0, False)
            else:
                self.pass_time(0)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.live.pop(name, None)
        self.timers = {key: at for key, at in self.timers.items() if key[0] != name}

    @rule(name=st.sampled_from(NAMES))
    def come_back(self, name: str) -> None:
        if name not in self.live:
            self.begin(name)

    @rule(pick=PICK)
    def propose(self, pick: int) -> None:
        leading = [raft for raft in self.live.values() if raft.is_leader]
        if leading:  # also one that was deposed and does not know it
            raft = leading[pick % len(leading)]
            self.number += 1
            self.act(raft.name, raft.propose(self.now_us, "x", str(self.number))[1])

    @rule(pick=PICK)
    def change_voters(self, pick: int) -> None:
        leading = [raft for raft in self.live.values() if raft.is_leader]
        if leading:
            raft, name = leading[pick % len(leading)], NAMES[pick % 4]
            voters = (
                tuple(each for each in raft.voters if each != name)
                if name in raft.voters
                else (*raft.voters, name)
            )
            if voters:
                self.act(raft.name, raft.change_voters(self.now_us, voters)[1])

    @rule(name=st.sampled_from(NAMES))
    def compact(self, name: str) -> None:
        if name in self.live:
            self.act(name, self.live[name].log.compact(f"state up to {self.applied[name]}"))

    @invariant()
    def what_is_on_disk_is_what_is_said(self) -> None:
        for name, raft in self.live.items():
            disk, said = self.disks[name], raft.persistent
            assert (disk.term, disk.vote, disk.snapshot_index, disk.log) == (
                said.term,
                said.vote,
                said.snapshot_index,
                said.log,
            )


run: Callable[..., None] = stateful.run_state_machine_as_test


def test_any_order_of_events_commits_one_log() -> None:
    Voters.found = Counter()
    run(Voters, settings=PLAY)
    assert min(Voters.found[each] for each in ("elected", "x")) >= 20, Voters.found
    assert Voters.found[VOTERS] >= 3, Voters.found


class VotesForAnybody(Raft):
    """Planted: whose log is shorter may be elected."""

    def on_message(self, now_us: int, ident: str, message: Any) -> Effects:
        if isinstance(message, VoteRequest):
            message = replace(message, last_term=1 << 30)
        return super().on_message(now_us, ident, message)


class VotesTwice(Raft):
    """Planted: a vote is forgotten as soon as it is given."""

    def on_message(self, now_us: int, ident: str, message: Any) -> Effects:
        if isinstance(message, VoteRequest):
            self.persistent.vote = ""
        return super().on_message(now_us, ident, message)


class DecidesAlone(Raft):
    """Planted: what one other holds counts as decided, however many vote."""

    @property
    def voters(self) -> tuple[str, ...]:
        return super().voters[:1] if self.is_leader else super().voters


@pytest.mark.parametrize("planted", [VotesTwice, DecidesAlone])
def test_a_planted_error_is_found(planted: type[Raft]) -> None:
    machine = type(planted.__name__, (Voters,), {"kind": planted})
    with pytest.raises(AssertionError):
        run(machine, settings=settings(PLAY, phases=[Phase.generate], max_examples=3000))


def lagging(kind: type[Raft]) -> None:
    """A decision that one voter lacks; then the leader dies, and that one stands again and again."""
    machine = type("Lagging", (Voters,), {"kind": kind})()
    while not any(raft.is_leader for raft in machine.live.values()):
        machine.go_on(10)
    machine.go_on(60)
    leader = next(name for name, raft in machine.live.items() if raft.is_leader)
    lags = next(name for name in NAMES[:3] if name != leader)
    before = len(machine.decided)
    machine.propose(0)
    while len(machine.decided) == before:
        machine.mail = [each for each in machine.mail if lags not in each[:2]]
        machine.take(0, False)
    machine.kill(leader)
    machine.mail = []
    for _ in range(20):
        due = [key for (name, key) in machine.timers if name == lags]
        machine.now_us += 2_000_000
        for key in due:
            del machine.timers[lags, key]
            machine.act(lags, machine.live[lags].on_timer(machine.now_us, key))
        machine.deliver_in_order(12)


def test_a_voter_that_lacks_a_committed_entry_is_elected_only_by_a_planted_error() -> None:
    lagging(Raft)
    with pytest.raises(AssertionError, match="lacks a decision"):
        lagging(VotesForAnybody)
