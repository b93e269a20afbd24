"""Canary analysis rolls back a change that makes service worse, and none because of random variation."""

from __future__ import annotations

import random

import pytest

from wingbarrow.decide.rulesets.canary import (
    MIN_ANSWERS,
    AnswerCounts,
    CanaryAdvice,
    CanaryAnalysis,
)

S = 1_000_000


def simulate(
    before: float, after: float, seed: int, answers: int = 400
) -> tuple[CanaryAdvice, int]:
    """The advice, and after how many answers it was given, for these shares of unplaced answers."""
    rng = random.Random(seed)
    analysis = CanaryAnalysis(
        AnswerCounts(1000, int(1000 * before)), AnswerCounts(5000, 100), 0.05, 60 * S
    )
    count = AnswerCounts(5000, 100)
    for number in range(answers):
        count = AnswerCounts(count.answers + 1, count.unplaced + (rng.random() < after))
        advice = analysis.judge(number, count)
        if advice is not CanaryAdvice.WAIT:
            return advice, number
    return analysis.judge(60 * S, count), answers


@pytest.mark.parametrize("seed", range(20))
def test_bad_change_is_rolled_back_soon_and_good_one_kept(seed: int) -> None:
    advice, number = simulate(0.02, 0.4, seed)
    assert advice is CanaryAdvice.ROLLBACK
    assert MIN_ANSWERS - 1 <= number < 100
    assert simulate(0.02, 0.02, seed)[0] is CanaryAdvice.KEEP
    assert simulate(0.30, 0.05, seed)[0] is CanaryAdvice.KEEP


def test_rise_within_the_bound_is_rarely_rolled_back() -> None:
    rolled_back = sum(simulate(0.02, 0.05, seed)[0] is CanaryAdvice.ROLLBACK for seed in range(200))
    assert rolled_back <= 6, "a rise of 0.03 is within the bound of 0.05"


def test_few_answers_give_no_advice_and_a_restarted_placer_counts_from_zero() -> None:
    analysis = CanaryAnalysis(AnswerCounts(100, 0), AnswerCounts(1000, 10), 0.05, 60 * S)
    assert analysis.judge(S, AnswerCounts(1010, 20)) is CanaryAdvice.WAIT
    assert analysis.judge(S, AnswerCounts(50, 1)) is CanaryAdvice.WAIT
    assert analysis.after == AnswerCounts(50, 1)
    assert analysis.judge(S, AnswerCounts(60, 40)) is CanaryAdvice.ROLLBACK
