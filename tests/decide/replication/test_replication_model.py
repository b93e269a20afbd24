"""A primary and its replicas under generated faults: a hypothesis state machine, and errors planted in it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.decide.replication.arrangement import (
    ALLOWED,
    WHERE,
    S,
    holder,
    record,
)
from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.records import (
    ReplicationTerms,
)
from wingbarrow.decide.replication.replica import Replica
from wingbarrow.decide.replication.replicated_job import PendingAcknowledgements, ReplicatedJob
from wingbarrow.decide.sessions.leased_job_record import KnownTask
from wingbarrow.decide.sessions.messages import ReplicateResponse
from wingbarrow.decide.sessions.session import Session


class World(RuleBasedStateMachine):
    """A holder and four keepers; mail is lost, late, doubled; keepers die, come back, or are ended alive."""

    tokens: type[PendingAcknowledgements] = PendingAcknowledgements

    def __init__(self) -> None:
        super().__init__()
        self.found: Counter[str] = Counter()
        self.now_us = 0
        self.made = holder()
        self.made._pending = self.tokens()
        self.keepers: dict[str, Replica] = {name: Replica(Session(name, 1, 0)) for name in WHERE}
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
                and not each.entries[uid].in_doubt
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
            self.made.replicate(
                self.now_us,
                record(uid, effect),
                ReplicationTerms(ALLOWED, copies),
                self.now_us + wait * S // 10,
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
            self.ask(
                self.made.record_send(self.now_us, uid, known, until), uid, uid.startswith("unsafe")
            )
        elif what == "placed":
            self.ask(self.made.record_placed(self.now_us, uid, known, until), uid)
        elif what == "answered":
            self.ask(self.made.record_answer(self.now_us, uid, "placed", until), uid)
        else:
            self.promised.pop(uid, None)
            self.carry(self.made.remove(self.now_us, uid))

    @precondition(lambda self: self.mail)
    @rule(which=st.integers(0, 50), keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        sender, receiver, message = self.mail[which % len(self.mail)]
        if not keep:
            del self.mail[which % len(self.mail)]
        if isinstance(message, ReplicateResponse):
            self.carry(self.made.on_message(self.now_us, sender, message))
        elif receiver in self.keepers:
            for effect in self.keepers[receiver].on_request(self.now_us, sender, message):
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
            self.keepers[name] = Replica(Session(name, self.lives[name], 0))
            self.members()

    @rule(name=st.sampled_from("bcde"), first=st.booleans())
    def end_alive(self, name: str, first: bool) -> None:
        """The voters end a keeper's session: it hears of that before the holder, or after."""
        if name not in self.keepers:
            return
        self.ends += 1
        session = self.keepers[name].session
        if first:
            self.keepers[name].on_own_session_ended(replace(session, serial=session.serial + 1), ())
        self.carry(self.made.on_session_ended(self.now_us, session, self.ends))
        self.keepers[name].on_own_session_ended(replace(session, serial=session.serial + 1), ())

    def members(self) -> None:
        self.carry(
            self.made.on_membership(
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


class OneIsEnough(PendingAcknowledgements):
    """Planted: an attempt that must not start twice leaves once one keeper knows."""

    def add(self, job: ReplicatedJob, token: int, deadline_us: int, requires_all: bool) -> None:
        super().add(job, token, deadline_us, False)


class Hasty(PendingAcknowledgements):
    """Planted: a change counts as kept once the version before is."""

    def settle_acknowledged(self, job: ReplicatedJob) -> list[Effect]:
        for pending in job.pending:
            pending.version -= 1
        return super().settle_acknowledged(job)


@pytest.mark.parametrize("planted", [OneIsEnough, Hasty])
def test_planted_errors_are_found(planted: type[PendingAcknowledgements]) -> None:
    broken = type("Broken", (World,), {"tokens": planted})
    with pytest.raises(AssertionError, match="Counter"):
        stateful.run_state_machine_as_test(broken, settings=BLUNT)  # type: ignore[no-untyped-call]
