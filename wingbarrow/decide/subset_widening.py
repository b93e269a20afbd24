"""When a placer holds machines beyond its own ranks for a while: where tasks wait long, as its subset has no room.

One more rank is held at a time, and let go again once nothing has waited long for a while. Bounds, with `most` from the
settings:

- `extra` is from 0 to `most`.
- It changes at most once in `step_us`, by one.
- It falls by one at most once in `calm_us`, and only where no long wait was told of within the last `calm_us`.

No I/O, no clock: times are microseconds of one clock that never goes back. State: three figures.
"""

from __future__ import annotations

MIN_STEP_INTERVAL_US = (
    1_000_000  # a list is read, and offers are made and answered, before one more rank is asked for
)
CALM_PERIOD_US = 30_000_000
LONG_WAIT_DIVISOR = (
    4  # a wait is long from this part of its patience on: three quarters are left to place the task
)
MIN_LONG_WAIT_US = 200_000  # waits shorter than this are usual: a turn of the module, a connection


def is_long_wait(waited_us: int, patience_us: int) -> bool:
    """Whether a task that waits for a machine has waited for long, measured by its owner's patience."""
    return waited_us >= MIN_LONG_WAIT_US and waited_us * LONG_WAIT_DIVISOR >= patience_us


class SubsetWidening:
    """How many further ranks this placer holds machines of; `extra` is the present number."""

    def __init__(
        self, max_extra: int, step_us: int = MIN_STEP_INTERVAL_US, calm_us: int = CALM_PERIOD_US
    ) -> None:
        if max_extra < 0:
            raise ValueError("widen: from 0")
        if step_us < 1 or calm_us < step_us:
            raise ValueError("a step takes at least a microsecond, and calm no less than a step")
        self.extra = 0
        self._max_extra, self._step_us, self._calm_us = max_extra, step_us, calm_us
        self._changed_us: int | None = None  # the latest step, up or down
        self._long_us = 0  # the latest long wait, or step down

    def update(self, now_us: int, waits_long: bool, max_useful: int) -> int:
        """The number of ranks from now on. `useful`: above so many, another rank adds no machine."""
        if waits_long:
            self._long_us = now_us
            if self.extra < min(self._max_extra, max_useful) and self._may_change(now_us):
                self._step(now_us, 1)
        elif self.extra and now_us - self._long_us >= self._calm_us and self._may_change(now_us):
            self._long_us = now_us
            self._step(now_us, -1)
        return self.extra

    def _may_change(self, now_us: int) -> bool:
        return self._changed_us is None or now_us - self._changed_us >= self._step_us

    def _step(self, now_us: int, by: int) -> None:
        self.extra += by
        self._changed_us = now_us
