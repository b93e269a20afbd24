"""Decides on an orphan: a task that runs on a machine though no open attempt of this placer accounts for it.

Orphans come of lost answers, of offers that were given up and accepted all the same, and of an earlier incarnation of
the placer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect


class OrphanAction(Enum):
    """What is done with an orphan. Values appear in counters and logs."""

    ADOPT = "adopt"  # look after it; what its owner was answered stays as it is
    PLACE = "place"  # the open request ends as placed, with this copy
    STOP = "stop"
    LEAVE = "leave"


@dataclass(frozen=True, slots=True)
class Orphan:
    """What the placer knows of an orphan's task."""

    effect: Effect
    is_known: bool  # this incarnation of the placer has its Job
    is_wanted: bool  # its Job was not deleted
    is_unanswered: bool  # its owner awaits a final answer
    has_attempt: bool  # an attempt of it is open
    has_other_copy: bool  # another copy is placed
    has_ended: bool  # succeeded, or stopped


def action_for(orphan: Orphan) -> OrphanAction:
    """Decide on one orphan."""
    if not orphan.is_known:
        # Danger: a task of an earlier incarnation would run on unobserved; each is adopted once.
        return OrphanAction.ADOPT
    if not orphan.is_wanted or orphan.has_ended:
        return OrphanAction.STOP
    if orphan.has_other_copy:
        # Rule 2. Danger: a second copy that goes on having its effect. Of an unsafe task none can be: it is sent
        # once. Should one be observed all the same, stopping either would hide it: it is left, logged and counted.
        return OrphanAction.LEAVE if orphan.effect is Effect.UNSAFE else OrphanAction.STOP
    if orphan.is_unanswered:
        if orphan.has_attempt:
            # The open attempt may be rejected because of this copy (keyed), or run beside it (safe).
            return OrphanAction.STOP if orphan.effect is Effect.SAFE else OrphanAction.LEAVE
        return OrphanAction.PLACE
    # Its owner was answered. The owner of a safe task retries: this copy would only use capacity.
    return OrphanAction.STOP if orphan.effect is Effect.SAFE else OrphanAction.ADOPT
