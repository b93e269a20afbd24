"""Model-based test of Raft: messages, timers, crashes and restarts in any order, against one committed log."""

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
from wingbarrow.decide.consensus.messages import VoteRequest
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.consensus.raft import Raft
from wingbarrow.decide.effects import Persist, Send, SetTimer

NAMES = ("v0", "v1", "v2", "v3")
PICK = st.integers(0, 1 << 16)
SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Voters(RuleBasedStateMachine):
    """Three voters, and a fourth that may be added. Only rules deliver messages and advance the clock."""

    raft_class: type[Raft] = Raft
    event_counts: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.in_flight: list[tuple[str, str, Any]] = []
        self.timers: dict[tuple[str, str], int] = {}
        self.disks = {name: PersistentState(NAMES[:3]) for name in NAMES}
        self.live: dict[str, Raft] = {}
        self.leaders: dict[int, str] = {}
        self.committed_log: list[LogEntry] = []  # the reference
        self.applied: dict[str, int] = {}
        self.number = self.starts = 0
        for name in NAMES:
            self.start_voter(name)

    def start_voter(self, name: str) -> None:
        self.starts += 1
        self.live[name] = self.raft_class(name, copy.deepcopy(self.disks[name]), self.starts * 31)
        self.applied[name] = self.disks[name].snapshot_index
        self.act(name, self.live[name].start(self.now_us))

    def act(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                self.disks[name].persist(effect)
            elif isinstance(effect, SetTimer):
                self.timers[name, effect.key.removeprefix("raft ")] = effect.at_us
            elif isinstance(effect, Send):
                self.in_flight.append((name, effect.ident, effect.message))
            elif isinstance(effect, LeadershipChanged) and effect.is_leader:
                self.on_elected(name)
            elif isinstance(effect, SnapshotRestored):
                assert effect.index <= len(self.committed_log), (
                    "a snapshot that includes uncommitted entries"
                )
                self.applied[name] = effect.index
            elif isinstance(effect, EntriesCommitted):
                self.on_committed(name, effect)

    def on_elected(self, name: str) -> None:
        disk = self.live[name].persistent
        self.event_counts["elected"] += 1
        assert self.leaders.setdefault(disk.term, name) == name, f"two leaders in term {disk.term}"
        for index, entry in enumerate(self.committed_log, 1):
            if index > disk.snapshot_index:
                held = disk.log[index - disk.snapshot_index - 1 :][:1]
                assert held == [entry], "the new leader lacks a committed entry"

    def on_committed(self, name: str, effect: EntriesCommitted) -> None:
        assert effect.first_index == self.applied[name] + 1, "entries are applied in order and once"
        for index, entry in enumerate(effect.entries, effect.first_index):
            if index > len(self.committed_log):
                assert index == len(self.committed_log) + 1
                self.committed_log.append(entry)
                self.event_counts[entry.kind or "no-op"] += 1
            assert self.committed_log[index - 1] == entry, (
                f"{name}: another entry committed at {index}"
            )
            self.applied[name] = index

    def deliver_one(self, index: int, keep: bool) -> None:
        if self.in_flight:
            at = index % len(self.in_flight)
            sender, receiver, message = self.in_flight[at] if keep else self.in_flight.pop(at)
            if receiver in self.live:
                self.act(receiver, self.live[receiver].on_message(self.now_us, sender, message))

    @rule(picks=st.lists(PICK, min_size=1, max_size=8))
    def deliver(self, picks: list[int]) -> None:
        for pick in picks:
            self.deliver_one(pick, False)

    @rule(count=st.integers(1, 12))
    def deliver_in_order(self, count: int) -> None:
        for _ in range(count):
            self.deliver_one(0, False)

    @rule(pick=PICK)
    def deliver_and_keep(self, pick: int) -> None:
        self.deliver_one(pick, True)

    @rule(name=st.sampled_from(NAMES))
    def lose_messages_to(self, name: str) -> None:
        self.in_flight = [each for each in self.in_flight if each[1] != name]

    @rule(pick=PICK)
    def pass_time(self, pick: int) -> None:
        due = sorted((at, *key) for key, at in self.timers.items() if key[0] in self.live)
        if due:
            # One of the next three timers: a voter that stalls is overtaken by others.
            at, name, key = due[pick % min(3, len(due))]
            del self.timers[name, key]
            self.now_us = max(self.now_us, at)
            self.act(name, self.live[name].on_timer(self.now_us, key))

    @rule(count=st.integers(5, 60))
    def execute_events(self, count: int) -> None:
        for _ in range(count):
            if self.in_flight:
                self.deliver_one(0, False)
            else:
                self.pass_time(0)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.live.pop(name, None)
        self.timers = {key: at for key, at in self.timers.items() if key[0] != name}

    @rule(name=st.sampled_from(NAMES))
    def come_online(self, name: str) -> None:
        if name not in self.live:
            self.start_voter(name)

    @rule(pick=PICK)
    def propose(self, pick: int) -> None:
        leaders = [raft for raft in self.live.values() if raft.is_leader]
        if leaders:  # may include a deposed leader that has not noticed yet
            raft = leaders[pick % len(leaders)]
            self.number += 1
            self.act(raft.name, raft.propose(self.now_us, "x", str(self.number))[1])

    @rule(pick=PICK)
    def change_voters(self, pick: int) -> None:
        leaders = [raft for raft in self.live.values() if raft.is_leader]
        if leaders:
            raft, name = leaders[pick % len(leaders)], NAMES[pick % 4]
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
    def persisted_state_matches_memory(self) -> None:
        for name, raft in self.live.items():
            disk, in_memory = self.disks[name], raft.persistent
            assert (disk.term, disk.vote, disk.snapshot_index, disk.log) == (
                in_memory.term,
                in_memory.vote,
                in_memory.snapshot_index,
                in_memory.log,
            )


run: Callable[..., None] = stateful.run_state_machine_as_test


def test_any_order_of_events_commits_one_log() -> None:
    Voters.event_counts = Counter()
    run(Voters, settings=SETTINGS)
    assert min(Voters.event_counts[each] for each in ("elected", "x")) >= 20, Voters.event_counts
    assert Voters.event_counts[VOTERS] >= 3, Voters.event_counts


class VotesForAnybody(Raft):
    """Planted fault: a candidate with a shorter log may be elected."""

    def on_message(self, now_us: int, ident: str, message: Any) -> Effects:
        if isinstance(message, VoteRequest):
            message = replace(message, last_term=1 << 30)
        return super().on_message(now_us, ident, message)


class VotesTwice(Raft):
    """Planted fault: a vote is forgotten as soon as it is cast."""

    def on_message(self, now_us: int, ident: str, message: Any) -> Effects:
        if isinstance(message, VoteRequest):
            self.persistent.vote = ""
        return super().on_message(now_us, ident, message)


class DecidesAlone(Raft):
    """Planted fault: a leader uses the first voter alone as its configuration, so that one voter commits entries."""

    @property
    def voters(self) -> tuple[str, ...]:
        return super().voters[:1] if self.is_leader else super().voters


@pytest.mark.parametrize("planted", [VotesTwice, DecidesAlone])
def test_a_planted_error_is_found(planted: type[Raft]) -> None:
    machine = type(planted.__name__, (Voters,), {"raft_class": planted})
    with pytest.raises(AssertionError):
        run(machine, settings=settings(SETTINGS, phases=[Phase.generate], max_examples=3000))


def elect_lagging_voter(raft_class: type[Raft]) -> None:
    """Commit an entry that one voter lacks, kill the leader, and let that voter campaign repeatedly."""
    machine = type("Lagging", (Voters,), {"raft_class": raft_class})()
    while not any(raft.is_leader for raft in machine.live.values()):
        machine.execute_events(10)
    machine.execute_events(60)
    leader = next(name for name, raft in machine.live.items() if raft.is_leader)
    lagging_voter = next(name for name in NAMES[:3] if name != leader)
    before = len(machine.committed_log)
    machine.propose(0)
    while len(machine.committed_log) == before:
        machine.in_flight = [each for each in machine.in_flight if lagging_voter not in each[:2]]
        machine.deliver_one(0, False)
    machine.kill(leader)
    machine.in_flight = []
    for _ in range(20):
        due = [key for (name, key) in machine.timers if name == lagging_voter]
        machine.now_us += 2_000_000
        for key in due:
            del machine.timers[lagging_voter, key]
            machine.act(lagging_voter, machine.live[lagging_voter].on_timer(machine.now_us, key))
        machine.deliver_in_order(12)


def test_a_voter_that_lacks_a_committed_entry_is_elected_only_by_a_planted_error() -> None:
    elect_lagging_voter(Raft)
    with pytest.raises(AssertionError, match="lacks a committed entry"):
        elect_lagging_voter(VotesForAnybody)
