"""Retries of ended runs, and which running tasks were certainly answered."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide import retries
from wingbarrow.decide.retries import RunEnd, was_answered
from wingbarrow.interface import Effect

S = 1_000_000


@given(st.sampled_from(RunEnd), st.integers(0, 9), st.integers(0, 50), st.integers())
def test_an_unsafe_task_is_never_retried(end: RunEnd, left: int, losses: int, seed: int) -> None:
    assert (
        retries.decide_retry(end, Effect.UNSAFE, left, losses, random.Random(seed)).delay_us is None
    )


@given(
    st.sampled_from([RunEnd.EVICTED, RunEnd.LOST, RunEnd.SENT_AWAY, RunEnd.PUSHED_OUT]),
    st.integers(0, 50),
    st.integers(),
)
def test_retry_delay_grows_with_losses_within_a_bound(end: RunEnd, losses: int, seed: int) -> None:
    decision = retries.decide_retry(end, Effect.SAFE, 1, losses, random.Random(seed))
    assert decision.uses_restart
    assert decision.delay_us is not None
    assert 100_000 <= decision.delay_us <= retries.EVICTED_DELAY_US << retries.MAX_DOUBLINGS
    assert retries.decide_retry(end, Effect.SAFE, 0, losses, random.Random(seed)).delay_us is None


def test_a_move_uses_up_no_restart_and_a_finished_task_is_not_retried() -> None:
    moved = retries.decide_retry(RunEnd.MOVED, Effect.SAFE, 0, 9, random.Random(1))
    assert moved.delay_us == retries.MOVED_DELAY_US
    assert not moved.uses_restart
    for end in (RunEnd.DONE, RunEnd.STOPPED):
        assert retries.decide_retry(end, Effect.SAFE, 9, 0, random.Random(1)).delay_us is None


def test_only_a_start_well_before_the_last_heartbeat_was_certainly_answered() -> None:
    assert was_answered(10 * S, 13 * S, 20 * S)
    assert not was_answered(10 * S, 12 * S, 20 * S)
    assert not was_answered(None, 13 * S, 20 * S)
    assert not was_answered(10 * S, None, 20 * S)
    assert not was_answered(10 * S, 21 * S, 20 * S), (
        "the clock was set back: the heartbeat proves nothing"
    )
