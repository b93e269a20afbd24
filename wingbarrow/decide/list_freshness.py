"""As of when the list of machines is known, and whether that allows a new task to be sent (rule 3).

A long poll that is in flight has no news: the service answers it as soon as there is some. So what is known is as of
now, but for the time between two calls. That is short, unless the process stood still with an answer unread: the answer
may have been written long ago, and a drain that was told since is not in it.

So after such an answer no task is sent before the answer to a call that began later. That call asks for no wait, so
that a sound service answers it at once. A service that does not answer would stop all work: after MAX_HOLD_US tasks
are sent again, as without any news.
"""

from __future__ import annotations

# Danger (rule 3): the grace after a drain is 250 ms; a fifth of it may pass with an answer unread.
MAX_UNREAD_US = 50_000
MAX_HOLD_US = 300_000


class ListFreshness:
    """Follows the calls to the service; times in microseconds."""

    def __init__(self) -> None:
        # When an answer was read that may have been written long before; None while the knowledge is current.
        self._outdated_since_us: int | None = None

    @property
    def is_outdated(self) -> bool:
        """Whether the next call is to be answered without a wait."""
        return self._outdated_since_us is not None

    def on_answer(self, now_us: int, call_began_us: int, earliest_arrival_us: int) -> None:
        """The answer to a call that began at `call_began_us` was read; it had not arrived at `earliest_arrival_us`."""
        since_us = self._outdated_since_us
        if since_us is not None and call_began_us >= since_us:
            self._outdated_since_us = None
        if now_us - earliest_arrival_us > MAX_UNREAD_US:
            self._outdated_since_us = now_us

    def on_service_changed(self) -> None:
        """Another service is asked from now on, from its first call on."""
        self._outdated_since_us = None

    def holds_sends(self, now_us: int) -> bool:
        """Whether no new task is to be sent now."""
        since_us = self._outdated_since_us
        return since_us is not None and now_us < since_us + MAX_HOLD_US


__all__ = ["MAX_HOLD_US", "MAX_UNREAD_US", "ListFreshness"]
