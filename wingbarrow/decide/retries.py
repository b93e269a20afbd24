"""Whether, and after what delay, a task whose run was lost, moved or evicted is retried on its owner's behalf.

A placer retries each task up to the `restarts` of its Job. A task that must not start twice is left to its owner, as
only the owner can know that a second start is harmless.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect, Reason

MOVED_DELAY_US = 50_000  # short, as a moved task was stopped cleanly
LOST_DELAY_US = 200_000
EVICTED_DELAY_US = 1_000_000  # long, to not return at once to a machine that ran out of memory
MAX_DOUBLINGS = 5
# A task that started at least this long before an incarnation's last heartbeat was answered by that incarnation.
ANSWER_MARGIN_US = 3_000_000


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
    """`delay_us`: delay of the retry, None for no retry; `uses_restart`: whether it uses one of the Job's restarts."""

    delay_us: int | None
    uses_restart: bool


def run_end_for(reason: Reason) -> RunEnd:
    """How a run ended, by the machine's reason; every other reason counts as lost."""
    return {
        Reason.EVICTED: RunEnd.EVICTED,
        Reason.PUSHED_OUT: RunEnd.PUSHED_OUT,
        Reason.SENT_AWAY: RunEnd.SENT_AWAY,
    }.get(reason, RunEnd.LOST)


def decide_retry(
    end: RunEnd, effect: Effect, restarts_left: int, losses: int, rng: random.Random
) -> RetryDecision:
    """Whether and when to retry a task whose run ended with `end`.

    `losses`: earlier losses and evictions of this task. The delay doubles with each, up to MAX_DOUBLINGS times; jitter
    draws it from its upper half.
    """
    if end in (RunEnd.DONE, RunEnd.STOPPED):
        return RetryDecision(None, uses_restart=False)
    # Rule 2. Danger: a second start of a task that may have had its effect already.
    if effect is Effect.UNSAFE:
        return RetryDecision(None, uses_restart=False)
    if end is RunEnd.MOVED:
        return RetryDecision(MOVED_DELAY_US, uses_restart=False)
    if restarts_left <= 0:
        return RetryDecision(None, uses_restart=True)
    base = EVICTED_DELAY_US if end is RunEnd.EVICTED else LOST_DELAY_US
    wait = base << min(losses, MAX_DOUBLINGS)
    return RetryDecision(wait // 2 + rng.randrange(wait // 2 + 1), uses_restart=True)


def was_answered(
    started_us: int | None, last_heartbeat_us: int | None, incarnation_start_us: int
) -> bool:
    """Whether a running task of the earlier incarnation was certainly answered `placed` (wall clock, microseconds).

    `started_us`: its start as the machine reports it, to a second; `last_heartbeat_us`: of the earlier incarnation;
    `incarnation_start_us`: of this one. Danger (rule 1): a task whose owner got no answer is retried by its owner; if
    it were retried here too, it would be sent after its end. A clock that was set back proves nothing.
    """
    if started_us is None or last_heartbeat_us is None or last_heartbeat_us > incarnation_start_us:
        return False
    return started_us + ANSWER_MARGIN_US <= last_heartbeat_us
