"""Whether a machine that says nothing is still there, judged by whether new connections come up.

A machine that vanished, or is cut off, leaves its connections open and silent; one that stands still, or only has
nothing to tell, still takes connections, as its system does that for it. So a new connection is asked for, not a
test: it costs the machine no work. Offers are given up sooner than what stands: an offer that is given up is tried
elsewhere, a standing task that is written off too early is lost to its owner though it runs.
"""

from __future__ import annotations

from enum import Enum

LOOK_OFFER_US = 400_000  # silence with an offer out before a look
LOOK_US = 1_500_000  # silence with tasks standing before a look
AGAIN_US = 2_000_000  # looks that went well are repeated no sooner
CUT_LOOKS = 2  # looks in a row that did not come up: offers are given up
LOST_US = 4_000_000  # and so long after the first of them, what stands is written off,
LOST_LOOKS = 4  # by so many looks in a row: one that did not come up, and a long time without another, prove nothing
APART_US = 50_000  # dials that began within it count as one look
RETRY_US = 300_000  # between looks while none comes up


class Verdict(Enum):
    """What to do now."""

    FINE = "fine"
    LOOK = "open a connection to see whether it comes up"
    CUT = "offers will not be answered"
    LOST = "what stood there is over"


class Liveness:
    """One machine, as its connections show it; all times in microseconds of one clock."""

    __slots__ = ("_began_us", "_failed_since_us", "_fails", "_looked_us", "heard_us")

    def __init__(self, now_us: int) -> None:
        self.heard_us = now_us
        self._looked_us = now_us - AGAIN_US
        self._failed_since_us: int | None = None
        self._began_us = now_us  # the latest look that failed
        self._fails = 0

    def on_heard(self, now_us: int) -> None:
        """It said something."""
        self.heard_us = now_us
        self._failed_since_us, self._fails = None, 0

    def on_came_up(self, now_us: int) -> None:
        """A new connection came up: its system is there, whatever the program does."""
        self._looked_us = now_us
        self._failed_since_us, self._fails = None, 0

    def on_refused(self, now_us: int) -> None:
        """A new connection was refused: its system is there, though nothing listens; old connections go on."""
        self.on_came_up(now_us)

    def on_no_show(self, now_us: int, began_us: int) -> None:
        """A connection asked for at `began_us` did not come up in its time."""
        self._looked_us = now_us
        if self._failed_since_us is None:
            self._failed_since_us = began_us
        elif began_us - self._began_us < APART_US:
            return  # Danger: dials asked for together, as offers ask, are one look and not several in a row
        self._began_us = began_us
        self._fails += 1

    @property
    def doubtful(self) -> bool:
        """Whether the latest look failed: what is written on an old connection may never arrive."""
        return self._fails > 0

    def doubts(self, now_us: int) -> bool:
        """Whether a look failed so lately that another now would tell no more."""
        return self._fails > 0 and now_us - self._looked_us < RETRY_US

    def judge(self, now_us: int, offers: bool, standing: bool) -> Verdict:
        """Asked now and then, as often as it may matter."""
        if self._fails:
            since_us = self._failed_since_us
            if since_us is not None and now_us - since_us >= LOST_US and self._fails >= LOST_LOOKS:
                return Verdict.LOST
            if offers and self._fails >= CUT_LOOKS:
                return Verdict.CUT
            due = offers or standing
            return Verdict.LOOK if due and now_us - self._looked_us >= RETRY_US else Verdict.FINE
        silent_us = now_us - self.heard_us
        due = (offers and silent_us >= LOOK_OFFER_US) or (standing and silent_us >= LOOK_US)
        return Verdict.LOOK if due and now_us - self._looked_us >= AGAIN_US else Verdict.FINE
