"""Raft under generated faults on a virtual clock: at most one leader in each term, and one committed log."""

from __future__ import annotations

import copy
import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest

from wingbarrow.decide.consensus.effects import (
    EntriesCommitted,
    LeadershipChanged,
    LeadershipConfirmed,
    SnapshotRestored,
)
from wingbarrow.decide.consensus.entries import VOTERS, LogEntry
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.consensus.raft import TIMER_PREFIX, Raft
from wingbarrow.decide.effects import Persist, Send, SetTimer

SECOND_US = 1_000_000


class Cluster:
    """Voters on a virtual clock. A killed voter restarts from its persisted state only."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.now_us, self.loss = 0, loss
        self.names = [f"v{index}" for index in range(count)]
        self.random = random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = 0
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.disks: dict[str, PersistentState] = {
            name: PersistentState(tuple(self.names)) for name in self.names
        }
        self.incarnations: dict[str, int] = dict.fromkeys(self.names, 0)
        self.live: dict[str, Raft] = {}
        self.timers: dict[tuple[str, str], int] = {}
        self.leaders: dict[int, str] = {}  # by term
        # Reference: every entry that any voter has reported as committed, by index.
        self.committed: dict[int, LogEntry] = {}
        self.applied: dict[str, int] = {}
        self.states: dict[str, list[str]] = {}
        self.confirmed_reads: list[tuple[str, int]] = []
        for name in self.names:
            self.start(name)

    def start(self, name: str, empty: bool = False) -> None:
        self.incarnations[name] += 1
        raft = self.live[name] = Raft(
            name, None if empty else copy.deepcopy(self.disks[name]), self.random.randrange(1 << 30)
        )
        self.carry_out(name, raft.start(self.now_us))

    def kill(self, name: str) -> None:
        self.live.pop(name, None)

    def schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (at_us, self.sequence, callback))

    def run(self, for_us: int) -> None:
        end = self.now_us + for_us
        while self.queue and self.queue[0][0] <= end:
            self.now_us, _, callback = heapq.heappop(self.queue)
            callback()
        self.now_us = end

    def carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                self.disks[name].persist(effect)
            elif isinstance(effect, SetTimer):
                self.set_timer(name, effect)
            elif isinstance(effect, Send):
                self.send(name, effect)
            elif isinstance(effect, LeadershipChanged):
                self.on_leadership_change(name, effect)
            elif isinstance(effect, EntriesCommitted):
                self.on_committed(name, effect)
            elif isinstance(effect, SnapshotRestored):
                self.applied[name] = effect.index
                self.states[name] = effect.state.split()
            elif isinstance(effect, LeadershipConfirmed):
                self.confirmed_reads.append((name, effect.read_id))
        self.check_persisted(name)

    def set_timer(self, name: str, timer: SetTimer) -> None:
        incarnation = self.incarnations[name]
        key = timer.key.removeprefix(TIMER_PREFIX)
        self.timers[name, key] = timer.at_us

        def fire() -> None:
            is_same_voter = name in self.live and self.incarnations[name] == incarnation
            if self.timers.get((name, key)) == timer.at_us and is_same_voter:
                self.carry_out(name, self.live[name].on_timer(self.now_us, key))

        self.schedule(timer.at_us, fire)

    def on_leadership_change(self, name: str, change: LeadershipChanged) -> None:
        if change.is_leader:
            term = self.live[name].persistent.term
            assert self.leaders.setdefault(term, name) == name, f"two leaders in term {term}"

    def on_committed(self, name: str, committed: EntriesCommitted) -> None:
        for index, entry in enumerate(committed.entries, committed.first_index):
            assert index == self.applied[name] + 1
            reference = self.committed.setdefault(index, entry)
            assert reference == entry, f"{name}: another entry committed at {index}"
            self.applied[name] = index
            if entry.kind == "x":
                self.states[name].append(entry.body)

    def check_persisted(self, name: str) -> None:
        """The state in memory equals the persisted state."""
        disk, live = self.disks[name], self.live[name].persistent
        if not self.live[name].has_lost_state:
            assert (disk.term, disk.vote) == (live.term, live.vote)
            assert (disk.snapshot_index, disk.log) == (live.snapshot_index, live.log)

    def send(self, name: str, send: Send) -> None:
        if self.is_cut(name, send.ident) or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < 0.05)):

            def deliver() -> None:
                if send.ident in self.live:
                    self.carry_out(
                        send.ident,
                        self.live[send.ident].on_message(self.now_us, name, send.message),
                    )

            delay = (
                self.random.randrange(200, 20_000)
                if self.random.random() < 0.95
                else self.random.randrange(2 * SECOND_US)
            )
            self.schedule(self.now_us + delay, deliver)

    def leader(self) -> Raft | None:
        leaders = [raft for raft in self.live.values() if raft.is_leader]
        return max(leaders, key=lambda raft: raft.persistent.term, default=None)

    def propose(self, body: str, kind: str = "x") -> bool:
        leader = self.leader()
        if leader is None:
            return False
        index, effects = leader.propose(self.now_us, kind, body)
        self.carry_out(leader.name, effects)
        return index > 0

    def heal_and_converge(self) -> None:
        """Remove all faults, and check that all voters converge to the same state."""
        self.is_cut, self.loss = (lambda a, b: False), 0.0
        for name in self.names:
            if name not in self.live:
                self.start(name)
        for _ in range(40):
            self.run(SECOND_US // 2)
            self.propose(f"last-{self.now_us}")
        self.run(2 * SECOND_US)
        voters = [
            name for name in self.names if name in self.live and not self.live[name].has_lost_state
        ]
        assert len({self.applied[name] for name in voters}) == 1
        assert len({tuple(self.states[v]) for v in voters}) == 1


def test_one_leader_is_elected_and_its_proposals_are_applied_by_all() -> None:
    cluster = Cluster(3, 1)
    cluster.run(5 * SECOND_US)
    assert len(cluster.leaders) == 1
    for number in range(50):
        assert cluster.propose(str(number))
    cluster.run(SECOND_US)
    assert all(state == [str(number) for number in range(50)] for state in cluster.states.values())


def change_faults(cluster: Cluster, rng: random.Random, choice: float) -> None:
    """Partition, heal, lose messages or kill a voter, selected by `choice` in 0..0.5."""
    if choice < 0.15:
        side = set(rng.sample(cluster.names, rng.randrange(1, len(cluster.names))))
        is_one_way = rng.random() < 0.3
        cluster.is_cut = lambda a, b: (
            (a in side and b not in side) or (not is_one_way and b in side and a not in side)
        )
    elif choice < 0.3:
        cluster.is_cut = lambda a, b: False
    elif choice < 0.4:
        cluster.loss = rng.choice((0.0, 0.1, 0.4))
    else:
        cluster.kill(rng.choice(sorted(cluster.live)))


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", range(1, 31))
def test_generated_faults_and_proposals_commit_one_log(count: int, seed: int) -> None:
    rng = random.Random(seed)
    cluster = Cluster(count, seed)
    proposed = 0
    for _ in range(60):
        cluster.run(rng.randrange(SECOND_US))
        choice = rng.random()
        if choice < 0.4 or (choice < 0.5 and len(cluster.live) > 1):
            change_faults(cluster, rng, choice)
        elif choice < 0.6:
            for name in sorted(set(cluster.names) - set(cluster.live)):
                cluster.start(name)
        elif choice < 0.65 and (leader := cluster.leader()) is not None:
            state = " ".join(cluster.states[leader.name])
            cluster.carry_out(leader.name, leader.log.compact(state))
        else:
            proposed += cluster.propose(f"{seed}-{proposed}")
    cluster.heal_and_converge()
    assert proposed >= 5
    assert any(entry.kind == "x" for entry in cluster.committed.values())


def test_a_partitioned_voter_neither_raises_the_term_nor_deposes_the_leader_on_return() -> None:
    cluster = Cluster(5, 3)
    cluster.run(5 * SECOND_US)
    leader = cluster.leader()
    assert leader is not None
    term, other = (
        leader.persistent.term,
        next(name for name in cluster.names if name != leader.name),
    )
    cluster.is_cut = lambda a, b: other in (a, b)
    cluster.run(30 * SECOND_US)
    cluster.is_cut = lambda a, b: False
    cluster.run(5 * SECOND_US)
    assert cluster.leader() is leader
    assert leader.persistent.term == term


def test_a_leader_without_a_majority_steps_down_and_confirms_no_read() -> None:
    cluster = Cluster(5, 4)
    cluster.run(5 * SECOND_US)
    old = cluster.leader()
    assert old is not None
    cluster.carry_out(old.name, old.confirm_leadership(cluster.now_us, 1))
    cluster.run(SECOND_US // 2)
    assert cluster.confirmed_reads == [(old.name, 1)]
    side = {old.name, next(name for name in cluster.names if name != old.name)}
    cluster.is_cut = lambda a, b: (a in side) != (b in side)
    cluster.carry_out(old.name, old.confirm_leadership(cluster.now_us, 2))
    cluster.run(4 * SECOND_US)
    assert not old.is_leader
    assert (old.name, 2) not in cluster.confirmed_reads
    new = cluster.leader()
    assert new is not None
    assert new.name not in side


def test_a_voter_that_lost_its_store_takes_no_part() -> None:
    cluster = Cluster(3, 5)
    cluster.run(5 * SECOND_US)
    leader = cluster.leader()
    assert leader is not None
    lost, other = (name for name in cluster.names if name != leader.name)
    cluster.kill(lost)
    cluster.start(lost, empty=True)
    cluster.kill(other)
    cluster.run(10 * SECOND_US)
    assert not leader.is_leader, (
        "two of three voters are a majority only if both have their persisted state"
    )
    cluster.start(other)
    cluster.run(10 * SECOND_US)
    assert cluster.leader() is not None


def test_voters_change_one_at_a_time_and_the_new_majority_commits() -> None:
    cluster = Cluster(4, 6)
    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.disks[name] = PersistentState(tuple(cluster.names[:3]))
        cluster.start(name)
    cluster.run(5 * SECOND_US)
    leader = cluster.leader()
    assert leader is not None
    assert leader.change_voters(cluster.now_us, ("v0", "v3", "v9"))[0] == -1
    index, effects = leader.change_voters(cluster.now_us, tuple(cluster.names))
    cluster.carry_out(leader.name, effects)
    assert index > 0
    refused, _ = leader.change_voters(cluster.now_us, tuple(cluster.names[:3]))
    assert refused == -1, "the first change is not committed yet"
    cluster.run(2 * SECOND_US)
    assert all(cluster.live[name].voters == tuple(cluster.names) for name in cluster.names)
    index, effects = leader.change_voters(
        cluster.now_us, tuple(n for n in cluster.names if n != leader.name)
    )
    cluster.carry_out(leader.name, effects)
    cluster.run(6 * SECOND_US)
    new = cluster.leader()
    assert index > 0
    assert new is not None
    assert new.name != leader.name
    assert leader.name not in new.voters
    assert any(entry.kind == VOTERS for entry in cluster.committed.values())
