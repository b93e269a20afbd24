"""Timer keys of a `Coordinator` and its parts, and the set of pending timers."""

from __future__ import annotations

from wingbarrow.decide.effects import SetTimer

REQUEST_TIMER = "ask"  # send the next LeaseRequest
EXPIRY_TIMER = "lapse"  # a lease held by this placer expires
BATCH_TIMER = "batch"  # at the leader: confirm leadership for the pending requests
PROPOSAL_TIMER = "step"  # at the leader: propose entries that are due


class Timers:
    """The pending timers: used to ignore a timer that the host reports twice, or late after it was reset."""

    def __init__(self) -> None:
        self._pending: set[str] = set()

    def set(self, key: str, at_us: int) -> SetTimer:
        """Set a timer, or change its time."""
        self._pending.add(key)
        return SetTimer(key, at_us)

    def consume(self, key: str) -> bool:
        """Clear a timer that is due; return whether it was set."""
        was_set = key in self._pending
        self._pending.discard(key)
        return was_set
