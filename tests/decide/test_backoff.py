"""Exponential backoff with jitter."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from wingbarrow.decide.backoff import Backoff


@given(st.integers(), st.integers(1, 60))
def test_backoff_doubles_within_a_bound(seed: int, count: int) -> None:
    pause = Backoff(random.Random(seed), 100, 6400)
    waits = [pause.next_us() for _ in range(count)]
    assert all(50 <= wait <= 6400 for wait in waits)
    assert waits[0] <= 100
    assert all(wait >= 3200 for wait in waits[7:])
    pause.clear()
    assert pause.next_us() <= 100
