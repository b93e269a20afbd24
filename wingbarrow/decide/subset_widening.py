"""Temporary widening of a placer's subset: holding machines of further ranks while tasks wait long for capacity.

One further rank is held at a time, and released again after a calm period without long waits. Bounds, with
`max_extra` from the settings:

- `extra` is from 0 to `max_extra`.
- It changes at most once in `step_us`, by one.
- It decreases at most once in `calm_us`, and only if no long wait was reported within the last `calm_us`.

No I/O, no clock: times are microseconds of one monotonic clock. State: three numbers.
"""

from __future__ import annotations

# Time to read a list, and to send offers and receive their answers, before one more rank is held.
MIN_STEP_INTERVAL_US = 1_000_000
# Without long waits, before a rank is released.
CALM_PERIOD_US = 30_000_000
# A wait of patience / 4 or more is long: three quarters are left to place the task.
LONG_WAIT_DIVISOR = 4
# Shorter waits are normal: the module's turn, or a connection being established.
MIN_LONG_WAIT_US = 200_000


def is_long_wait(waited_us: int, patience_us: int) -> bool:
    """Whether a task has waited long for a machine, relative to its owner's patience."""
    return waited_us >= MIN_LONG_WAIT_US and waited_us * LONG_WAIT_DIVISOR >= patience_us


class SubsetWidening:
    """`extra`: the number of further ranks whose machines this placer holds.

    Raises ValueError where `max_extra` is negative, `step_us` below 1 or `calm_us` below `step_us`.
    """

    def __init__(
        self, max_extra: int, step_us: int = MIN_STEP_INTERVAL_US, calm_us: int = CALM_PERIOD_US
    ) -> None:
        if max_extra < 0:
            raise ValueError(f"widen: at least 0, not {max_extra}")
        if step_us < 1 or calm_us < step_us:
            raise ValueError(
                f"step_us: from 1 to calm_us, not {step_us} with a calm_us of {calm_us}"
            )
        self.extra = 0
        self._max_extra, self._step_us, self._calm_us = max_extra, step_us, calm_us
        self._changed_us: int | None = None  # the latest step, up or down
        self._calm_since_us = 0  # the latest long wait, or step down

    def update(self, now_us: int, waits_long: bool, max_useful: int) -> int:
        """Take a step if one is due, and return the number of further ranks.

        `waits_long`: whether a task waits long now; `max_useful`: the number of ranks above which no machine is added.
        """
        if waits_long:
            self._calm_since_us = now_us
            if self.extra < min(self._max_extra, max_useful) and self._may_change(now_us):
                self._step(now_us, 1)
        elif (
            self.extra
            and now_us - self._calm_since_us >= self._calm_us
            and self._may_change(now_us)
        ):
            self._calm_since_us = now_us
            self._step(now_us, -1)
        return self.extra

    def _may_change(self, now_us: int) -> bool:
        return self._changed_us is None or now_us - self._changed_us >= self._step_us

    def _step(self, now_us: int, by: int) -> None:
        self.extra += by
        self._changed_us = now_us
