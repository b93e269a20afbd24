"""Forwarding: at most one start under loss, delay, duplicates and deaths, and always one outcome for the owner."""

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
from wingbarrow.lab.fleet.swarm import SECOND, Virtual


class Both:
    """One placer's two sides; what it takes it starts after a while, or refuses."""

    def __init__(self, play: Play, name: str, life: int) -> None:
        self.giving, self.taking = ForwardSender(name, life), ForwardReceiver(life)
        self._play, self._name = play, name

    def start(self, now_us: int) -> list[Effect]:
        return []

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        if isinstance(message, ForwardStatus):
            return self.giving.on_message(now_us, ident, address, message)
        return self.taking.on_message(now_us, ident, address, message)

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        return self.giving.on_timer(now_us, key)


class Play(Virtual[Both]):
    """Three placers hand over to three others, which take, place, refuse and end at random."""

    def __init__(self, seed: int, loss: float) -> None:
        self.starts: Counter[str] = Counter()
        self.outcomes: dict[str, list[str]] = {}
        self.repeatable: dict[str, bool] = {}
        self.refused: set[str] = set()
        super().__init__(
            [f"g{index}" for index in range(3)] + [f"t{index}" for index in range(3)],
            seed,
            loss,
            lambda rng: rng.choice((1, 50, 400, 2000)) * 1000,
        )
        self.twice = 0.2
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> Both:
        return Both(self, name, self.lives[name])

    def act(self, name: str, effects: Any) -> None:
        effects = list(effects)
        super().act(name, [each for each in effects if not isinstance(each, Notify)])
        for each in effects:
            if isinstance(each, Notify) and each.event == "handed":
                self.outcomes[each.fields["ident"]].append(each.fields["state"])
            elif isinstance(each, Notify) and each.event == "take":
                later = partial(self.decide, name, self.lives[name], each.fields["ident"])
                self.at(self.now_us + self.random.randrange(SECOND), later)

    def decide(self, name: str, life: int, ident: str) -> None:
        if name not in self.members or self.lives[name] != life:
            return
        taking = self.members[name].taking
        if self.random.random() < 0.3:
            self.refused.add(ident)
            self.act(name, taking.report_status(self.now_us, ident, REJECTED))
            return
        self.starts[ident] += 1
        self.act(name, taking.report_status(self.now_us, ident, PLACED, "node-1"))
        self.at(
            self.now_us + 2 * SECOND,
            lambda: self.act(name, taking.report_status(self.now_us, ident, DONE))
            if name in self.members and self.lives[name] == life
            else None,
        )

    def hand(self, giver: str) -> None:
        targets = [
            ForwardTarget(name, self.lives[name]) for name in self.names if name.startswith("t")
        ]
        self.random.shuffle(targets)
        is_idempotent = self.random.random() < 0.5
        job = ForwardedJob("{}", "spec", is_idempotent, self.now_us + 5 * SECOND)
        ident, effects = self.members[giver].giving.begin(self.now_us, job, targets)
        self.outcomes[ident] = []
        self.repeatable[ident] = is_idempotent
        self.act(giver, effects)


def played(seed: int, loss: float = 0.2, deaths: bool = True) -> Play:
    play = Play(seed, loss)
    rng = random.Random(seed)
    for turn in range(60):
        play.hand(f"g{rng.randrange(3)}")
        if deaths and turn % 7 == 3:
            name = f"t{rng.randrange(3)}"
            play.kill(name)
            play.run(play.now_us + SECOND // 10)
            play.start(name)
        play.run(play.now_us + SECOND // 4)
    play.run(play.now_us + 200 * SECOND)
    return play


def breaches(play: Play) -> list[str]:
    out = [
        f"{ident} started {count} times"
        for ident, count in play.starts.items()
        if count > 1 and not play.repeatable[ident]
    ]
    for ident, told in play.outcomes.items():
        firsts = [each for each in told if each != ACCEPTED]
        if (
            not firsts
            or firsts[0] in RAN
            or firsts.count(PLACED) > 1
            or sum(each in FINAL for each in firsts) > 1
        ):
            out.append(f"{ident} was told {told}")
        if told[-1:] == [REJECTED] and play.starts[ident]:
            out.append(f"{ident} was told refused, and ran")
    return out


@pytest.mark.parametrize("seed", range(12))
def test_each_forwarded_job_starts_once_and_has_one_outcome_under_loss(seed: int) -> None:
    play = played(seed)
    assert sum(play.starts.values()) > 10 and not breaches(play), f"seed {seed}"


def test_without_loss_a_rejected_job_goes_to_the_next_target() -> None:
    play = played(3, 0.0, False)
    assert not breaches(play)
    placed = sum(PLACED in told for told in play.outcomes.values())
    assert placed == sum(play.starts.values())
    assert placed > len(play.refused) // 3


def test_planted_errors_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarding, "MAX_FINISHED", 0)  # an end is forgotten at once...
    assert not any(breaches(played(seed)) for seed in range(4)), "...which the floor makes good"
    monkeypatch.setattr(ForwardReceiver, "_finish", lambda self, status: status)
    assert any(breaches(played(seed)) for seed in range(12))
    monkeypatch.undo()
    real = ForwardSender._on_stranger

    def forward_anew(sender: ForwardSender, now_us: int, ident: str, sent: Any) -> list[Effect]:
        sent.job = replace(sent.job, is_idempotent=True)
        return real(sender, now_us, ident, sent)

    monkeypatch.setattr(ForwardSender, "_on_stranger", forward_anew)
    assert any(breaches(played(seed, 0.4)) for seed in range(40)), (
        "a stranger's word is taken for a refusal"
    )


def test_a_cancel_that_overtakes_its_request_is_remembered() -> None:
    taking = ForwardReceiver(7)
    assert [
        each.message.state
        for each in taking.on_message(0, "g", "", ForwardCancel("g/1/1", 7))
        if isinstance(each, Send)
    ] == [REJECTED]
    answer = taking.on_message(1, "g", "", ForwardRequest("g/1/1", 7, 1, "s", SECOND, "{}"))
    assert [each.message.state for each in answer if isinstance(each, Send)] == [REJECTED]
    assert len(answer) == 1


def test_a_request_that_cannot_be_accepted_is_rejected_with_its_reason() -> None:
    taking = ForwardReceiver(7)
    for hand, words in (
        (ForwardRequest("g/1/1", 7, 2, "s", SECOND, "{}"), "hops"),
        (ForwardRequest("g/1/2", 7, 1, "s", 0, "{}"), "patience"),
    ):
        [says] = taking.on_message(0, "g", "", hand)
        assert isinstance(says, Send)
        assert says.message.state == REJECTED
        assert words in says.message.words
    [says] = taking.on_message(0, "g", "", ForwardRequest("g/1/3", 6, 1, "s", SECOND, "{}"))
    assert isinstance(says, Send)
    assert says.message.stranger
    assert not taking.on_message(0, "another", "", ForwardRequest("g/1/3", 7, 1, "s", SECOND, "{}"))


def test_the_budget_is_a_share_of_first_attempts() -> None:
    budget = ForwardBudget(0.2, 3.0)
    assert [budget.try_acquire() for _ in range(5)] == [True, True, True, False, False]
    for _ in range(100):
        budget.on_first_attempt()
    assert [budget.try_acquire() for _ in range(4)] == [True, True, True, False], (
        "what is not used does not pile up"
    )


def test_an_unanswered_request_fails_in_time_and_is_cancelled() -> None:
    giving = ForwardSender("g", 1)
    ident, effects = giving.begin(
        0, ForwardedJob("{}", "s", False, SECOND), [ForwardTarget("t", 1)]
    )
    now = 0
    told: list[tuple[int, str]] = []
    while now < 3 * SECOND:
        now += RETRY_US
        for each in giving.on_timer(min(now, SECOND) if not told else now, ident):
            if isinstance(each, Notify):
                told.append((now, each.fields["state"]))
            elif isinstance(each, Send) and told:
                assert isinstance(each.message, ForwardCancel)
    assert [state for _, state in told] == [FAILED]
    assert told[0][0] <= SECOND + RETRY_US
