"""What to do with an orphan: a task that runs on a machine without an open attempt of this placer to account for it.

Orphans result from lost answers, from offers that were accepted after they had been given up, and from tasks of an
earlier incarnation of the placer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect


class OrphanAction(Enum):
    """What is done with an orphan. Values appear in counters and logs."""

    ADOPT = "adopt"  # track it; the answer that its owner got is unchanged
    PLACE = "place"  # answer the open request as placed, with this copy
    STOP = "stop"
    LEAVE = "leave"


@dataclass(frozen=True, slots=True)
class Orphan:
    """What the placer knows of an orphan's task."""

    effect: Effect
    is_known: bool  # this incarnation of the placer has its Job
    is_wanted: bool  # its Job was not deleted
    is_unanswered: bool  # its owner waits for a final answer
    has_attempt: bool  # an attempt for it is open
    has_other_copy: bool  # another copy of it is placed
    has_ended: bool  # it succeeded, or was stopped


def action_for(orphan: Orphan) -> OrphanAction:
    """The action for one orphan."""
    if not orphan.is_known:
        # Danger: a task of an earlier incarnation would keep running untracked; each is adopted once.
        return OrphanAction.ADOPT
    if not orphan.is_wanted or orphan.has_ended:
        return OrphanAction.STOP
    if orphan.has_other_copy:
        # Rule 2. Danger: a second copy that continues to have its effect. An unsafe task is sent once and cannot have
        # one. If one is observed nevertheless, stopping either copy would hide the fault: it is left running, logged
        # and counted.
        return OrphanAction.LEAVE if orphan.effect is Effect.UNSAFE else OrphanAction.STOP
    if orphan.is_unanswered:
        if orphan.has_attempt:
            # The open attempt may be rejected because of this copy (keyed), or run concurrently with it (safe).
            return OrphanAction.STOP if orphan.effect is Effect.SAFE else OrphanAction.LEAVE
        return OrphanAction.PLACE
    # Its owner has a final answer. The owner of a safe task retries it: this copy would only use capacity.
    return OrphanAction.STOP if orphan.effect is Effect.SAFE else OrphanAction.ADOPT
