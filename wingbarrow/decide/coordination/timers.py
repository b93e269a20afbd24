"""The timers of a `Coordinator` and its parts, by key."""

from __future__ import annotations

from wingbarrow.decide.effects import SetTimer

REQUEST_TIMER = "ask"  # send the next LeaseRequest
EXPIRY_TIMER = "lapse"  # a lease of this placer's own ends
BATCH_TIMER = "batch"  # at the leader: answer the requests that wait
PROPOSAL_TIMER = "step"  # at the leader: look for what is to be proposed


class Timers:
    """Which timers are set: a host may report one twice, or late, after it was set anew."""

    def __init__(self) -> None:
        self._pending: set[str] = set()

    def set(self, key: str, at_us: int) -> SetTimer:
        """Set a timer, or move it."""
        self._pending.add(key)
        return SetTimer(key, at_us)

    def consume(self, key: str) -> bool:
        """A timer is reported as due: whether it was set. It no longer is."""
        was_set = key in self._pending
        self._pending.discard(key)
        return was_set
