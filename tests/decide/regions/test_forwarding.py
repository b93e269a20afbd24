"""Forwarding: at most one start under loss, delay, duplicates and restarts, and always one outcome for the owner."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.regions import forwarding
from wingbarrow.decide.regions.forwarding import (
    ACCEPTED,
    DONE,
    FAILED,
    FINAL,
    PLACED,
    RAN,
    REJECTED,
    RETRY_US,
    ForwardBudget,
    ForwardCancel,
    ForwardedJob,
    ForwardReceiver,
    ForwardRequest,
    ForwardSender,
    ForwardStatus,
    ForwardTarget,
)
from wingbarrow.lab.fleet.simulation import SECOND, Simulation


class ForwardingPlacer:
    """Forwarding sender and receiver of one placer."""

    def __init__(self, simulation: ForwardingSimulation, name: str, life: int) -> None:
        self.sender, self.receiver = ForwardSender(name, life), ForwardReceiver(life)
        self._simulation, self._name = simulation, name

    def start(self, now_us: int) -> list[Effect]:
        return []

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        if isinstance(message, ForwardStatus):
            return self.sender.on_message(now_us, ident, address, message)
        return self.receiver.on_message(now_us, ident, address, message)

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        return self.sender.on_timer(now_us, key)


class ForwardingSimulation(Simulation[ForwardingPlacer]):
    """Three placers forward to three others, which accept each Job, then place or reject it after a random time."""

    def __init__(self, seed: int, loss: float) -> None:
        self.starts: Counter[str] = Counter()
        self.outcomes: dict[str, list[str]] = {}
        self.idempotent: dict[str, bool] = {}
        self.rejected: set[str] = set()
        super().__init__(
            [f"g{index}" for index in range(3)] + [f"t{index}" for index in range(3)],
            seed,
            loss,
            lambda rng: rng.choice((1, 50, 400, 2000)) * 1000,
        )
        self.duplication = 0.2
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> ForwardingPlacer:
        return ForwardingPlacer(self, name, self.incarnations[name])

    def act(self, name: str, effects: Any) -> None:
        effects = list(effects)
        super().act(name, [each for each in effects if not isinstance(each, Notify)])
        for each in effects:
            if isinstance(each, Notify) and each.event == "handed":
                self.outcomes[each.fields["ident"]].append(each.fields["state"])
            elif isinstance(each, Notify) and each.event == "take":
                later = partial(
                    self.place_or_reject, name, self.incarnations[name], each.fields["ident"]
                )
                self.at(self.now_us + self.random.randrange(SECOND), later)

    def place_or_reject(self, name: str, life: int, ident: str) -> None:
        if name not in self.members or self.incarnations[name] != life:
            return
        receiver = self.members[name].receiver
        if self.random.random() < 0.3:
            self.rejected.add(ident)
            self.act(name, receiver.report_status(self.now_us, ident, REJECTED))
            return
        self.starts[ident] += 1
        self.act(name, receiver.report_status(self.now_us, ident, PLACED, "node-1"))
        self.at(
            self.now_us + 2 * SECOND,
            lambda: self.act(name, receiver.report_status(self.now_us, ident, DONE))
            if name in self.members and self.incarnations[name] == life
            else None,
        )

    def forward_job(self, sender: str) -> None:
        targets = [
            ForwardTarget(name, self.incarnations[name])
            for name in self.names
            if name.startswith("t")
        ]
        self.random.shuffle(targets)
        is_idempotent = self.random.random() < 0.5
        job = ForwardedJob("{}", "spec", is_idempotent, self.now_us + 5 * SECOND)
        ident, effects = self.members[sender].sender.begin(self.now_us, job, targets)
        self.outcomes[ident] = []
        self.idempotent[ident] = is_idempotent
        self.act(sender, effects)


def simulate(seed: int, loss: float = 0.2, restarts: bool = True) -> ForwardingSimulation:
    simulation = ForwardingSimulation(seed, loss)
    rng = random.Random(seed)
    for turn in range(60):
        simulation.forward_job(f"g{rng.randrange(3)}")
        if restarts and turn % 7 == 3:
            name = f"t{rng.randrange(3)}"
            simulation.kill(name)
            simulation.run(simulation.now_us + SECOND // 10)
            simulation.start(name)
        simulation.run(simulation.now_us + SECOND // 4)
    simulation.run(simulation.now_us + 200 * SECOND)
    return simulation


def breaches(simulation: ForwardingSimulation) -> list[str]:
    out = [
        f"{ident} started {count} times"
        for ident, count in simulation.starts.items()
        if count > 1 and not simulation.idempotent[ident]
    ]
    for ident, states in simulation.outcomes.items():
        later_states = [each for each in states if each != ACCEPTED]
        if (
            not later_states
            or later_states[0] in RAN
            or later_states.count(PLACED) > 1
            or sum(each in FINAL for each in later_states) > 1
        ):
            out.append(f"{ident} was reported as {states}")
        if states[-1:] == [REJECTED] and simulation.starts[ident]:
            out.append(f"{ident} was reported as rejected, and was started")
    return out


@pytest.mark.parametrize("seed", range(12))
def test_each_forwarded_job_starts_once_and_has_one_outcome_under_loss(seed: int) -> None:
    simulation = simulate(seed)
    assert sum(simulation.starts.values()) > 10 and not breaches(simulation), f"seed {seed}"


def test_without_loss_a_rejected_job_goes_to_the_next_target() -> None:
    simulation = simulate(3, 0.0, False)
    assert not breaches(simulation)
    placed = sum(PLACED in states for states in simulation.outcomes.values())
    assert placed == sum(simulation.starts.values())
    assert placed > len(simulation.rejected) // 3


def test_planted_errors_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarding, "MAX_FINISHED", 0)  # final statuses are dropped at once
    assert not any(breaches(simulate(seed)) for seed in range(4)), (
        "positions up to a dropped status are rejected"
    )
    monkeypatch.setattr(ForwardReceiver, "_finish", lambda self, status: status)
    assert any(breaches(simulate(seed)) for seed in range(12))
    monkeypatch.undo()
    original = ForwardSender._on_receiver_restarted

    def treat_as_idempotent(
        sender: ForwardSender, now_us: int, ident: str, sent: Any
    ) -> list[Effect]:
        sent.job = replace(sent.job, is_idempotent=True)
        return original(sender, now_us, ident, sent)

    monkeypatch.setattr(ForwardSender, "_on_receiver_restarted", treat_as_idempotent)
    assert any(breaches(simulate(seed, 0.4)) for seed in range(40)), (
        "a status of a later incarnation is handled like a rejection"
    )


def test_a_cancel_that_overtakes_its_request_is_remembered() -> None:
    receiver = ForwardReceiver(7)
    assert [
        each.message.state
        for each in receiver.on_message(0, "g", "", ForwardCancel("g/1/1", 7))
        if isinstance(each, Send)
    ] == [REJECTED]
    answer = receiver.on_message(1, "g", "", ForwardRequest("g/1/1", 7, 1, "s", SECOND, "{}"))
    assert [each.message.state for each in answer if isinstance(each, Send)] == [REJECTED]
    assert len(answer) == 1


def test_a_request_that_cannot_be_accepted_is_rejected_with_its_reason() -> None:
    receiver = ForwardReceiver(7)
    for request, reason in (
        (ForwardRequest("g/1/1", 7, 2, "s", SECOND, "{}"), "hops"),
        (ForwardRequest("g/1/2", 7, 1, "s", 0, "{}"), "patience"),
    ):
        [response] = receiver.on_message(0, "g", "", request)
        assert isinstance(response, Send)
        assert response.message.state == REJECTED
        assert reason in response.message.words
    [response] = receiver.on_message(0, "g", "", ForwardRequest("g/1/3", 6, 1, "s", SECOND, "{}"))
    assert isinstance(response, Send)
    assert response.message.stranger
    assert not receiver.on_message(
        0, "another", "", ForwardRequest("g/1/3", 7, 1, "s", SECOND, "{}")
    )


def test_the_budget_is_a_share_of_first_attempts() -> None:
    budget = ForwardBudget(0.2, 3.0)
    assert [budget.try_acquire() for _ in range(5)] == [True, True, True, False, False]
    for _ in range(100):
        budget.on_first_attempt()
    assert [budget.try_acquire() for _ in range(4)] == [True, True, True, False], (
        "unused tokens accumulate only up to the burst"
    )


def test_an_unanswered_request_fails_in_time_and_is_cancelled() -> None:
    sender = ForwardSender("g", 1)
    ident, effects = sender.begin(
        0, ForwardedJob("{}", "s", False, SECOND), [ForwardTarget("t", 1)]
    )
    now = 0
    states: list[tuple[int, str]] = []
    while now < 3 * SECOND:
        now += RETRY_US
        for each in sender.on_timer(min(now, SECOND) if not states else now, ident):
            if isinstance(each, Notify):
                states.append((now, each.fields["state"]))
            elif isinstance(each, Send) and states:
                assert isinstance(each.message, ForwardCancel)
    assert [state for _, state in states] == [FAILED]
    assert states[0][0] <= SECOND + RETRY_US
