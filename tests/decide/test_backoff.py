"""Exponential backoff with jitter."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.backoff import Backoff


@given(st.integers(), st.integers(1, 60))
def test_backoff_doubles_within_a_bound(seed: int, count: int) -> None:
    backoff = Backoff(random.Random(seed), 100, 6400)
    delays = [backoff.next_delay_us() for _ in range(count)]
    assert all(50 <= delay <= 6400 for delay in delays)
    assert delays[0] <= 100
    assert all(delay >= 3200 for delay in delays[7:])
    backoff.reset()
    assert backoff.next_delay_us() <= 100
