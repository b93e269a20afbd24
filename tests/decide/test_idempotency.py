"""Whether a task that may have run may be sent again."""

from __future__ import annotations

import pytest

from wingbarrow.decide.idempotency import EarlierAttempt, may_repeat
from wingbarrow.interface import Effect, ListedMachine, Phase, Place, TaskClass

S = 1_000_000


@pytest.mark.parametrize(
    ("effect", "group", "cell", "zone", "now", "allowed"),
    [
        (Effect.SAFE, Place.NONE, 9, "z", 99 * S, True),
        (Effect.UNSAFE, Place.ALL, 1, "a", 1 * S, False),
        (Effect.KEYED, Place.ALL, 9, "z", 2 * S - 1001, True),
        (Effect.KEYED, Place.ALL, 1, "a", 2 * S - 1000, False),
        (Effect.KEYED, Place.CELL, 1, "z", 1 * S, True),
        (Effect.KEYED, Place.CELL, 9, "a", 1 * S, False),
        (Effect.KEYED, Place.ZONE, 9, "a", 1 * S, True),
        (Effect.KEYED, Place.ZONE, 1, "z", 1 * S, False),
        (Effect.KEYED, Place.MACHINE, 1, "a", 1 * S, False),
    ],
)
def test_a_repeat_is_allowed_only_within_the_window_and_group(
    effect: Effect, group: Place, cell: int, zone: str, now: int, allowed: bool
) -> None:
    """A window of 1.5 s that starts at a decision at 0.5 s, with a margin of 1 ms."""
    cls = TaskClass("k", effect, group, 1_500_000, 1.0, Place.NONE, 0, None, 1.0, 1.0)
    first, second = (
        ListedMachine(i, "std", c, z, Phase.RUNNING, 0, 1.0, 1.0)
        for i, c, z in ((1, 1, "a"), (2, cell, zone))
    )
    assert may_repeat(now, cls, EarlierAttempt(S // 2, first), second, 1000) is allowed
    assert may_repeat(now, cls, None, second, 1000)
