"""What to do with a task that runs on a machine though no open attempt of this placer accounts for it.

It comes of an answer that was lost, of an offer that was given up and accepted all the same, or of this
placer's former life.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wingbarrow.interface import Effect


class Stray(Enum):
    """What happens to a stray."""

    ADOPT = "adopt"  # hand it to the module as found; its owner's answer stands as it is
    PLACE = "place"  # it is what the open request waits for: the request ends as placed
    STOP = "stop"
    LEAVE = "leave"


@dataclass(frozen=True, slots=True)
class Sight:
    """What is known of a stray's task."""

    effect: Effect
    known: bool  # this life of the placer knows its Job
    wanted: bool  # its Job was not deleted
    pending: bool  # a final answer is owed
    attempt_out: bool  # some attempt of it is out
    running_elsewhere: bool  # another copy is placed
    ended: bool  # succeeded, or stopped


def judge(sight: Sight) -> Stray:
    """Decide on one stray."""
    if not sight.known:
        # Danger: a former life's tasks would run on without anyone's care; each is taken in once.
        return Stray.ADOPT
    if not sight.wanted or sight.ended:
        return Stray.STOP
    if sight.running_elsewhere:
        # Rule 2. Danger: a second copy that goes on having its effect. Of an unsafe task none can be: it is sent
        # once. Should one be seen all the same, stopping either would only hide it: left, told, counted.
        return Stray.LEAVE if sight.effect is Effect.UNSAFE else Stray.STOP
    if sight.pending:
        if sight.attempt_out:
            # The attempt in flight may be turned away by this very copy (keyed), or run beside it (safe).
            return Stray.STOP if sight.effect is Effect.SAFE else Stray.LEAVE
        return Stray.PLACE
    # Its owner was answered. A safe task's owner asks again: this copy would only take room.
    return Stray.STOP if sight.effect is Effect.SAFE else Stray.ADOPT
