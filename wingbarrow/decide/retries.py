"""Whether, and after how long, a task that was lost, moved or sent away is asked for again on its owner's behalf.

A Job promises its owner that the placer goes on asking, `restarts` times. What must never start twice is left
to its owner: only the owner can know that a second start does no harm.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect, Reason

MOVED_DELAY_US = 50_000  # a moved task has been stopped: it may come again at once
LOST_DELAY_US = 200_000
EVICTED_DELAY_US = (
    1_000_000  # its machine ran out of memory: a short wait keeps it from coming straight back
)
MAX_DOUBLINGS = 5
ANSWER_MARGIN_US = (
    3_000_000  # a start this long before a life's last sign was answered in that life
)


class RunEnd(Enum):
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
class RetryDecision:
    """`after_us` is None where the task is not asked for again; `counts` where it uses up a restart."""

    after_us: int | None
    counts: bool


def run_end_for(reason: Reason) -> RunEnd:
    """The run's end by the machine's reason for giving it up."""
    return {
        Reason.EVICTED: RunEnd.EVICTED,
        Reason.PUSHED_OUT: RunEnd.PUSHED_OUT,
        Reason.SENT_AWAY: RunEnd.SENT_AWAY,
    }.get(reason, RunEnd.LOST)


def decide_retry(
    end: RunEnd, effect: Effect, restarts_left: int, losses: int, seed: random.Random
) -> RetryDecision:
    """`losses`: how often this task was lost or evicted already; waits double with them and are spread by half."""
    if end in (RunEnd.DONE, RunEnd.STOPPED):
        return RetryDecision(None, False)
    # Rule 2. Danger: a second start of what may have had its effect already.
    if effect is Effect.UNSAFE:
        return RetryDecision(None, False)
    if end is RunEnd.MOVED:
        return RetryDecision(MOVED_DELAY_US, False)
    if restarts_left <= 0:
        return RetryDecision(None, True)
    base = EVICTED_DELAY_US if end is RunEnd.EVICTED else LOST_DELAY_US
    wait = base << min(losses, MAX_DOUBLINGS)
    return RetryDecision(wait // 2 + seed.randrange(wait // 2 + 1), True)


def was_answered(started_us: int | None, alive_us: int | None, born_us: int) -> bool:
    """Whether a former life's running task surely had its answer "placed" (wall clock, microseconds).

    `started_us`: its start by the machine, to a second; `alive_us`: the former life's last sign; `born_us`: this life's
    start. Danger (rule 1): a task whose owner had no answer is its owner's to ask for again; asked for here too, it
    would be sent after its end. A clock that went back proves nothing.
    """
    if started_us is None or alive_us is None or alive_us > born_us:
        return False
    return started_us + ANSWER_MARGIN_US <= alive_us
