"""A change that is bad for service is taken back, chance alone takes none back."""

from __future__ import annotations

import random

import pytest

from wingbarrow.decide.rulesets.canary import ANSWERS_LEAST, Advice, Count, Trial

S = 1_000_000


def played(before: float, after: float, seed: int, answers: int = 400) -> tuple[Advice, int]:
    """What was advised, after how many answers."""
    rng = random.Random(seed)
    trial = Trial(Count(1000, int(1000 * before)), Count(5000, 100), 0.05, 60 * S)
    count = Count(5000, 100)
    for number in range(answers):
        count = Count(count.answers + 1, count.bad + (rng.random() < after))
        advice = trial.judge(number, count)
        if advice is not Advice.WAIT:
            return advice, number
    return trial.judge(60 * S, count), answers


@pytest.mark.parametrize("seed", range(20))
def test_a_bad_change_is_taken_back_soon_and_a_good_one_kept(seed: int) -> None:
    advice, number = played(0.02, 0.4, seed)
    assert advice is Advice.BACK
    assert ANSWERS_LEAST - 1 <= number < 100
    assert played(0.02, 0.02, seed)[0] is Advice.KEEP
    assert played(0.30, 0.05, seed)[0] is Advice.KEEP


def test_a_rise_within_the_bound_is_kept_and_chance_seldom_takes_back() -> None:
    back = sum(played(0.02, 0.05, seed)[0] is Advice.BACK for seed in range(200))
    assert back <= 6, "a rise of 0.03 where 0.05 is the bound"


def test_few_answers_say_nothing_and_a_placer_that_began_anew_counts_from_nothing() -> None:
    trial = Trial(Count(100, 0), Count(1000, 10), 0.05, 60 * S)
    assert trial.judge(S, Count(1010, 20)) is Advice.WAIT
    assert trial.judge(S, Count(50, 1)) is Advice.WAIT
    assert trial.after == Count(50, 1)
    assert trial.judge(S, Count(60, 40)) is Advice.BACK
