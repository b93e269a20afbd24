"""Whether, and after how long, a task that was lost, moved or sent away is asked for again on its owner's behalf.

A Job promises its owner that the placer goes on asking, `restarts` times. What must never start twice is left
to its owner: only the owner can know that a second start does no harm.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect, Reason

MOVED_US = 50_000  # a moved task has been stopped: it may come again at once
LOST_US = 200_000
EVICTED_US = (
    1_000_000  # its machine ran out of memory: a short wait keeps it from coming straight back
)
DOUBLINGS = 5
KNOWN_US = 3_000_000  # a start this long before a life's last sign was answered in that life


class End(Enum):
    """How a placed task's run ended."""

    DONE = "done"
    MOVED = "moved"
    EVICTED = "evicted"
    PUSHED_OUT = "pushed out"
    SENT_AWAY = "sent away"
    LOST = "lost with its machine"
    STOPPED = "stopped by its owner"
    FAILED = "failed by itself"


@dataclass(frozen=True, slots=True)
class Verdict:
    """`after_us` is None where the task is not asked for again; `counts` where it uses up a restart."""

    after_us: int | None
    counts: bool


def end_of(reason: Reason) -> End:
    """The run's end by the machine's reason for giving it up."""
    return {
        Reason.EVICTED: End.EVICTED,
        Reason.PUSHED_OUT: End.PUSHED_OUT,
        Reason.SENT_AWAY: End.SENT_AWAY,
    }.get(reason, End.LOST)


def judge(
    end: End, effect: Effect, restarts_left: int, losses: int, seed: random.Random
) -> Verdict:
    """`losses`: how often this task was lost or evicted already; waits double with them and are spread by half."""
    if end in (End.DONE, End.STOPPED):
        return Verdict(None, False)
    # Rule 2. Danger: a second start of what may have had its effect already.
    if effect is Effect.UNSAFE:
        return Verdict(None, False)
    if end is End.MOVED:
        return Verdict(MOVED_US, False)
    if restarts_left <= 0:
        return Verdict(None, True)
    base = EVICTED_US if end is End.EVICTED else LOST_US
    wait = base << min(losses, DOUBLINGS)
    return Verdict(wait // 2 + seed.randrange(wait // 2 + 1), True)


def was_answered(started_us: int | None, alive_us: int | None, born_us: int) -> bool:
    """Whether a former life's running task surely had its answer "placed" (wall clock, microseconds).

    `started_us`: its start by the machine, to a second; `alive_us`: the former life's last sign; `born_us`: this life's
    start. Danger (rule 1): a task whose owner had no answer is its owner's to ask for again; asked for here too, it
    would be sent after its end. A clock that went back proves nothing.
    """
    if started_us is None or alive_us is None or alive_us > born_us:
        return False
    return started_us + KNOWN_US <= alive_us
