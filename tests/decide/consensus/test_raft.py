"""Raft under generated faults on a virtual clock, against a plain reference: one leader a term, one committed log."""

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
from wingbarrow.decide.consensus.log import PersistentState
from wingbarrow.decide.consensus.raft import TIMER_PREFIX, Raft
from wingbarrow.decide.effects import Persist, Send, SetTimer

S = 1_000_000


class Cluster:
    """Voters on a virtual clock. A voter that was killed restarts with what it persisted, and nothing else."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.now_us, self.loss = 0, loss
        self.names = [f"v{index}" for index in range(count)]
        self.random = random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = 0
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.disks: dict[str, PersistentState] = {
            name: PersistentState(tuple(self.names)) for name in self.names
        }
        self.lives: dict[str, int] = dict.fromkeys(self.names, 0)
        self.live: dict[str, Raft] = {}
        self.timers: dict[tuple[str, str], int] = {}
        self.leaders: dict[int, str] = {}  # by term
        self.decided: dict[
            int, LogEntry
        ] = {}  # the reference: what anybody was ever told is decided
        self.applied: dict[str, int] = {}
        self.states: dict[str, list[str]] = {}
        self.confirmed: list[tuple[str, int]] = []
        for name in self.names:
            self.start(name)

    def start(self, name: str, empty: bool = False) -> None:
        self.lives[name] += 1
        raft = self.live[name] = Raft(
            name, None if empty else copy.deepcopy(self.disks[name]), self.random.randrange(1 << 30)
        )
        self.act(name, raft.start(self.now_us))

    def kill(self, name: str) -> None:
        self.live.pop(name, None)

    def at(self, at_us: int, call: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (at_us, self.sequence, call))

    def run(self, for_us: int) -> None:
        end = self.now_us + for_us
        while self.queue and self.queue[0][0] <= end:
            self.now_us, _, call = heapq.heappop(self.queue)
            call()
        self.now_us = end

    def act(self, name: str, effects: list[Any]) -> None:
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
                self.confirmed.append((name, effect.read_id))
        self.check_persisted(name)

    def set_timer(self, name: str, timer: SetTimer) -> None:
        life = self.lives[name]
        key = timer.key.removeprefix(TIMER_PREFIX)
        self.timers[name, key] = timer.at_us

        def due() -> None:
            is_same_voter = name in self.live and self.lives[name] == life
            if self.timers.get((name, key)) == timer.at_us and is_same_voter:
                self.act(name, self.live[name].on_timer(self.now_us, key))

        self.at(timer.at_us, due)

    def on_leadership_change(self, name: str, change: LeadershipChanged) -> None:
        if change.is_leader:
            term = self.live[name].persistent.term
            assert self.leaders.setdefault(term, name) == name, f"two leaders in term {term}"

    def on_committed(self, name: str, committed: EntriesCommitted) -> None:
        for index, entry in enumerate(committed.entries, committed.first_index):
            assert index == self.applied[name] + 1
            reference = self.decided.setdefault(index, entry)
            assert reference == entry, f"{name}: another entry committed at {index}"
            self.applied[name] = index
            if entry.kind == "x":
                self.states[name].append(entry.body)

    def check_persisted(self, name: str) -> None:
        """What a voter goes by is what it has asked to be persisted."""
        disk, live = self.disks[name], self.live[name].persistent
        if not self.live[name].has_lost_state:
            assert (disk.term, disk.vote) == (live.term, live.vote)
            assert (disk.snapshot_index, disk.log) == (live.snapshot_index, live.log)

    def send(self, name: str, send: Send) -> None:
        if self.cut(name, send.ident) or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < 0.05)):

            def arrive() -> None:
                if send.ident in self.live:
                    self.act(
                        send.ident,
                        self.live[send.ident].on_message(self.now_us, name, send.message),
                    )

            delay = (
                self.random.randrange(200, 20_000)
                if self.random.random() < 0.95
                else self.random.randrange(2 * S)
            )
            self.at(self.now_us + delay, arrive)

    def leader(self) -> Raft | None:
        found = [raft for raft in self.live.values() if raft.is_leader]
        return max(found, key=lambda raft: raft.persistent.term, default=None)

    def propose(self, body: str, kind: str = "x") -> bool:
        leader = self.leader()
        if leader is None:
            return False
        index, effects = leader.propose(self.now_us, kind, body)
        self.act(leader.name, effects)
        return index > 0

    def settle(self) -> None:
        """Heal all faults: all voters come to the same state."""
        self.cut, self.loss = (lambda a, b: False), 0.0
        for name in self.names:
            if name not in self.live:
                self.start(name)
        for _ in range(40):
            self.run(S // 2)
            self.propose(f"last-{self.now_us}")
        self.run(2 * S)
        voters = [
            name for name in self.names if name in self.live and not self.live[name].has_lost_state
        ]
        assert len({self.applied[name] for name in voters}) == 1
        assert len({tuple(self.states[v]) for v in voters}) == 1


def test_one_leader_is_elected_and_its_proposals_are_applied_by_all() -> None:
    cluster = Cluster(3, 1)
    cluster.run(5 * S)
    assert len(cluster.leaders) == 1
    for number in range(50):
        assert cluster.propose(str(number))
    cluster.run(S)
    assert all(state == [str(number) for number in range(50)] for state in cluster.states.values())


def change_faults(cluster: Cluster, rng: random.Random, choice: float) -> None:
    """Partition, heal, lose messages or kill a voter, by a choice in 0..0.5."""
    if choice < 0.15:
        side = set(rng.sample(cluster.names, rng.randrange(1, len(cluster.names))))
        is_one_way = rng.random() < 0.3
        cluster.cut = lambda a, b: (
            (a in side and b not in side) or (not is_one_way and b in side and a not in side)
        )
    elif choice < 0.3:
        cluster.cut = lambda a, b: False
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
        cluster.run(rng.randrange(S))
        choice = rng.random()
        if choice < 0.4 or (choice < 0.5 and len(cluster.live) > 1):
            change_faults(cluster, rng, choice)
        elif choice < 0.6:
            for name in sorted(set(cluster.names) - set(cluster.live)):
                cluster.start(name)
        elif choice < 0.65 and (leader := cluster.leader()) is not None:
            state = " ".join(cluster.states[leader.name])
            cluster.act(leader.name, leader.log.compact(state))
        else:
            proposed += cluster.propose(f"{seed}-{proposed}")
    cluster.settle()
    assert proposed >= 5
    assert any(entry.kind == "x" for entry in cluster.decided.values())


def test_a_partitioned_voter_neither_raises_the_term_nor_deposes_the_leader_on_return() -> None:
    cluster = Cluster(5, 3)
    cluster.run(5 * S)
    leader = cluster.leader()
    assert leader is not None
    term, other = (
        leader.persistent.term,
        next(name for name in cluster.names if name != leader.name),
    )
    cluster.cut = lambda a, b: other in (a, b)
    cluster.run(30 * S)
    cluster.cut = lambda a, b: False
    cluster.run(5 * S)
    assert cluster.leader() is leader
    assert leader.persistent.term == term


def test_a_leader_without_a_majority_steps_down_and_confirms_no_read() -> None:
    cluster = Cluster(5, 4)
    cluster.run(5 * S)
    old = cluster.leader()
    assert old is not None
    cluster.act(old.name, old.confirm_leadership(cluster.now_us, 1))
    cluster.run(S // 2)
    assert cluster.confirmed == [(old.name, 1)]
    side = {old.name, next(name for name in cluster.names if name != old.name)}
    cluster.cut = lambda a, b: (a in side) != (b in side)
    cluster.act(old.name, old.confirm_leadership(cluster.now_us, 2))
    cluster.run(4 * S)
    assert not old.is_leader
    assert (old.name, 2) not in cluster.confirmed
    new = cluster.leader()
    assert new is not None
    assert new.name not in side


def test_a_voter_that_lost_its_store_takes_no_part() -> None:
    cluster = Cluster(3, 5)
    cluster.run(5 * S)
    leader = cluster.leader()
    assert leader is not None
    lost, other = (name for name in cluster.names if name != leader.name)
    cluster.kill(lost)
    cluster.start(lost, empty=True)
    cluster.kill(other)
    cluster.run(10 * S)
    assert not leader.is_leader, (
        "two of three are a majority only where both remember what they said"
    )
    cluster.start(other)
    cluster.run(10 * S)
    assert cluster.leader() is not None


def test_voters_change_one_at_a_time_and_the_new_majority_commits() -> None:
    cluster = Cluster(4, 6)
    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.disks[name] = PersistentState(tuple(cluster.names[:3]))
        cluster.start(name)
    cluster.run(5 * S)
    leader = cluster.leader()
    assert leader is not None
    assert leader.change_voters(cluster.now_us, ("v0", "v3", "v9"))[0] == -1
    index, effects = leader.change_voters(cluster.now_us, tuple(cluster.names))
    cluster.act(leader.name, effects)
    assert index > 0
    refused, _ = leader.change_voters(cluster.now_us, tuple(cluster.names[:3]))
    assert refused == -1, "the first change is not committed yet"
    cluster.run(2 * S)
    assert all(cluster.live[name].voters == tuple(cluster.names) for name in cluster.names)
    index, effects = leader.change_voters(
        cluster.now_us, tuple(n for n in cluster.names if n != leader.name)
    )
    cluster.act(leader.name, effects)
    cluster.run(6 * S)
    new = cluster.leader()
    assert index > 0
    assert new is not None
    assert new.name != leader.name
    assert leader.name not in new.voters
    assert any(entry.kind == VOTERS for entry in cluster.decided.values())
