"""A Hypothesis state machine of a primary and its replicas under generated faults, which has to detect planted bugs."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.decide.replication.helpers import (
    ALLOWED,
    REGIONS,
    S,
    new_primary,
    new_record,
    new_replicas,
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


class ReplicationModel(RuleBasedStateMachine):
    """A primary and four replicas.

    Messages are lost, delayed and duplicated; replicas restart, or have their session ended.
    """

    pending_type: type[PendingAcknowledgements] = PendingAcknowledgements

    def __init__(self) -> None:
        super().__init__()
        self.violations: Counter[str] = Counter()
        self.now_us = 0
        self.primary = new_primary()
        self.primary._pending = self.pending_type()
        self.replicas = new_replicas()
        self.incarnations = dict.fromkeys(REGIONS, 1)
        self.messages: list[tuple[str, str, Any]] = []
        self.pending: dict[int, tuple[str, int, bool]] = {}
        self.acknowledged: dict[str, int] = {}  # by uid, the latest acknowledged version
        # By uid, the latest version that was lost with the only replica that had it.
        self.lost_versions: dict[str, int] = {}
        self.epoch = 0
        self.last_job_number = 0

    def perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.messages.append(("a", effect.ident, effect.message))
            elif isinstance(effect, Notify) and effect.event == "kept":
                # A KeyError means that a token was settled twice.
                uid, version, requires_all = self.pending.pop(effect.fields["token"])
                if effect.fields["good"]:
                    self.on_settled(uid, version, requires_all)

    def replicas_with(self, uid: str, version: int) -> set[str]:
        return {
            name
            for name, each in self.replicas.items()
            if uid in each.entries and each.entries[uid].record.version >= version
        }

    def on_settled(self, uid: str, version: int, requires_all: bool) -> None:
        if uid not in self.primary.jobs:
            return
        if not self.replicas_with(uid, version) and self.lost_versions.get(uid, 0) < version:
            self.violations["settled as good without a replica"] += 1
        if requires_all:
            stale_replicas = [
                name
                for name, each in self.replicas.items()
                if uid in each.entries
                and not each.entries[uid].in_doubt
                and each.entries[uid].record.version < version
            ]
            self.violations["send acknowledged despite a stale replica"] += bool(stale_replicas)
        self.acknowledged[uid] = max(version, self.acknowledged.get(uid, 0))

    def track(self, change: tuple[int, list[Effect]], uid: str, requires_all: bool = False) -> None:
        token, effects = change
        job = self.primary.jobs.get(uid)
        self.pending[token] = uid, job.record.version if job is not None else 0, requires_all
        self.perform(effects)

    @rule(
        effect=st.sampled_from(("safe", "unsafe")),
        copies=st.integers(1, 2),
        wait=st.integers(1, 40),
    )
    def replicate(self, effect: str, copies: int, wait: int) -> None:
        self.last_job_number += 1
        uid = f"{effect}{self.last_job_number}"
        self.track(
            self.primary.replicate(
                self.now_us,
                new_record(uid, effect),
                ReplicationTerms(ALLOWED, copies),
                self.now_us + wait * S // 10,
            ),
            uid,
        )

    @precondition(lambda self: self.primary.jobs)
    @rule(
        which=st.integers(0, 9),
        what=st.sampled_from(("about", "placed", "answered", "drop")),
        wait=st.integers(1, 40),
    )
    def change(self, which: int, what: str, wait: int) -> None:
        uid = sorted(self.primary.jobs)[which % len(self.primary.jobs)]
        deadline_us = self.now_us + wait * S // 10
        known_task = KnownTask(0, what, "m", "p")
        if what == "about":
            self.track(
                self.primary.record_send(self.now_us, uid, known_task, deadline_us),
                uid,
                uid.startswith("unsafe"),
            )
        elif what == "placed":
            self.track(self.primary.record_placed(self.now_us, uid, known_task, deadline_us), uid)
        elif what == "answered":
            self.track(self.primary.record_answer(self.now_us, uid, "placed", deadline_us), uid)
        else:
            self.acknowledged.pop(uid, None)
            self.perform(self.primary.remove(self.now_us, uid))

    @precondition(lambda self: self.messages)
    @rule(which=st.integers(0, 50), keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        sender, receiver, message = self.messages[which % len(self.messages)]
        if not keep:
            del self.messages[which % len(self.messages)]
        if isinstance(message, ReplicateResponse):
            self.perform(self.primary.on_message(self.now_us, sender, message))
        elif receiver in self.replicas:
            for effect in self.replicas[receiver].on_request(self.now_us, sender, message):
                if isinstance(effect, Send):
                    self.messages.append((receiver, sender, effect.message))

    @rule()
    def deliver_all(self) -> None:
        for _ in range(min(40, len(self.messages))):
            self.deliver(0, False)

    @precondition(lambda self: self.messages)
    @rule(which=st.integers(0, 50))
    def drop_message(self, which: int) -> None:
        del self.messages[which % len(self.messages)]

    @rule(by=st.sampled_from((2_000, 100_000, 400_000, 1_600_000, 31 * S)))
    def pass_time(self, by: int) -> None:
        self.now_us += by
        self.perform(self.primary.on_timer(self.now_us))

    @rule(name=st.sampled_from("bcde"))
    def kill_replica(self, name: str) -> None:
        if name in self.replicas:
            for uid, entry in self.replicas[name].entries.items():
                if self.replicas_with(uid, entry.record.version) == {name}:
                    self.lost_versions[uid] = max(
                        entry.record.version, self.lost_versions.get(uid, 0)
                    )
            del self.replicas[name]
            self.update_membership()

    @rule(name=st.sampled_from("bcde"))
    def restart_replica(self, name: str) -> None:
        if name not in self.replicas:
            self.incarnations[name] += 1
            self.replicas[name] = Replica(Session(name, self.incarnations[name], 0))
            self.update_membership()

    @rule(name=st.sampled_from("bcde"), first=st.booleans())
    def end_session(self, name: str, first: bool) -> None:
        """The voters end a replica's session; with `first`, the replica learns of it before the primary."""
        if name not in self.replicas:
            return
        self.epoch += 1
        session = self.replicas[name].session
        if first:
            self.replicas[name].on_own_session_ended(
                replace(session, serial=session.serial + 1), ()
            )
        self.perform(self.primary.on_session_ended(self.now_us, session, self.epoch))
        self.replicas[name].on_own_session_ended(replace(session, serial=session.serial + 1), ())

    def update_membership(self) -> None:
        self.perform(
            self.primary.on_membership(
                self.now_us,
                {name: (REGIONS[name], self.incarnations[name]) for name in self.replicas},
            )
        )

    @invariant()
    def acknowledged_versions_are_stored(self) -> None:
        for uid, version in self.acknowledged.items():
            if (
                uid in self.primary.jobs
                and not self.replicas_with(uid, version)
                and self.lost_versions.get(uid, 0) < version
            ):
                self.violations["acknowledged version is not stored"] += 1

    @invariant()
    def no_violation(self) -> None:
        assert not self.violations, self.violations


SETTINGS = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

# Without the shrinking phase, as a planted bug only has to be found.
PLANTED_SETTINGS = settings(SETTINGS, max_examples=400, phases=[Phase.generate])


def test_acknowledged_versions_are_stored_under_generated_faults() -> None:
    stateful.run_state_machine_as_test(ReplicationModel, settings=SETTINGS)  # type: ignore[no-untyped-call]


class OneAcknowledgementIsEnough(PendingAcknowledgements):
    """Planted bug: an attempt that must not start twice is sent after a single acknowledgement."""

    def add(self, job: ReplicatedJob, token: int, deadline_us: int, requires_all: bool) -> None:
        super().add(job, token, deadline_us, False)


class PreviousVersionIsEnough(PendingAcknowledgements):
    """Planted bug: a change counts as acknowledged when only the previous version is."""

    def settle_acknowledged(self, job: ReplicatedJob) -> list[Effect]:
        for pending in job.pending:
            pending.version -= 1
        return super().settle_acknowledged(job)


@pytest.mark.parametrize("planted", [OneAcknowledgementIsEnough, PreviousVersionIsEnough])
def test_planted_errors_are_found(planted: type[PendingAcknowledgements]) -> None:
    broken = type("Broken", (ReplicationModel,), {"pending_type": planted})
    with pytest.raises(AssertionError, match="Counter"):
        stateful.run_state_machine_as_test(broken, settings=PLANTED_SETTINGS)  # type: ignore[no-untyped-call]
