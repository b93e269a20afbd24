"""Whether, and after what delay, a task whose run was lost, moved or evicted is retried on its owner's behalf.

A Job has its placer retry up to `restarts` times. A task that must not start twice is left to its owner, who alone can
know that a second start does no harm.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect, Reason

MOVED_DELAY_US = 50_000  # a moved task was stopped in order: it may start again at once
LOST_DELAY_US = 200_000
EVICTED_DELAY_US = 1_000_000  # its machine ran out of memory: not straight back to the same one
MAX_DOUBLINGS = 5
ANSWER_MARGIN_US = (
    3_000_000  # a start this long before an incarnation's last heartbeat was answered by it
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
    """`after_us`: delay of the retry, None for none; `counts`: whether it uses up one of the Job's restarts."""

    after_us: int | None
    counts: bool


def run_end_for(reason: Reason) -> RunEnd:
    """How a run ended, by the reason that the machine gave."""
    return {
        Reason.EVICTED: RunEnd.EVICTED,
        Reason.PUSHED_OUT: RunEnd.PUSHED_OUT,
        Reason.SENT_AWAY: RunEnd.SENT_AWAY,
    }.get(reason, RunEnd.LOST)


def decide_retry(
    end: RunEnd, effect: Effect, restarts_left: int, losses: int, rng: random.Random
) -> RetryDecision:
    """`losses`: earlier losses and evictions of this task; the delay doubles with each, with jitter of one half."""
    if end in (RunEnd.DONE, RunEnd.STOPPED):
        return RetryDecision(None, counts=False)
    # Rule 2. Danger: a second start of a task that may have had its effect already.
    if effect is Effect.UNSAFE:
        return RetryDecision(None, counts=False)
    if end is RunEnd.MOVED:
        return RetryDecision(MOVED_DELAY_US, counts=False)
    if restarts_left <= 0:
        return RetryDecision(None, counts=True)
    base = EVICTED_DELAY_US if end is RunEnd.EVICTED else LOST_DELAY_US
    wait = base << min(losses, MAX_DOUBLINGS)
    return RetryDecision(wait // 2 + rng.randrange(wait // 2 + 1), counts=True)


def was_answered(started_us: int | None, alive_us: int | None, born_us: int) -> bool:
    """Whether a running task of the earlier incarnation was certainly answered `placed` (wall clock, microseconds).

    `started_us`: its start by the machine, to a second; `alive_us`: the earlier incarnation's last heartbeat;
    `born_us`: this incarnation's start. Danger (rule 1): a task whose owner had no answer is retried by its owner;
    retried here too, it would be sent after its end. A clock that was set back proves nothing.
    """
    if started_us is None or alive_us is None or alive_us > born_us:
        return False
    return started_us + ANSWER_MARGIN_US <= alive_us
