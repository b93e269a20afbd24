"""What a machine's release means, by its cause, its remark and whether the task's answer has come. No I/O.

Source: the platform's protocol, "Placers to machines". Messages may overtake each other: an answer that was delayed on
its way comes after the release that ended its task.
"""

from __future__ import annotations

from enum import Enum

from wingbarrow import interface as api
from wingbarrow.relay.message import Cause, Code, Message

REASONS = {
    "nc": api.Reason.NO_CORES,
    "nm": api.Reason.NO_MEMORY,
    "nq": api.Reason.OFFERS_WAIT,
    "nh": api.Reason.NOT_HERE,
    "ev": api.Reason.EVICTED,
    "pre": api.Reason.PUSHED_OUT,
    "dr": api.Reason.SENT_AWAY,
}
NOTES = {
    "live": api.NoteKind.RUNS,
    "c": api.NoteKind.CORES_USED,
    "m": api.NoteKind.MEMORY_USED,
    "s": api.NoteKind.SERVED,
    "p": api.NoteKind.MACHINE_MEMORY,
}
BEFORE_ANSWER: dict[int, api.Outcome] = {
    Cause.FULL: api.Outcome.REFUSED,
    Cause.ERROR: api.Outcome.ERROR,
    Cause.MOOT: api.Outcome.NOT_SENT,
}
AFTER_ANSWER: dict[int, api.Outcome] = {
    Cause.OVER: api.Outcome.DONE,
    Cause.CANCELLED: api.Outcome.CANCELLED,
}
# Given only for a task that stood.
REASONS_AFTER_PLACEMENT = (api.Reason.EVICTED, api.Reason.PUSHED_OUT, api.Reason.SENT_AWAY)


class EarlyRelease(Enum):
    """What a release means for a task whose answer has not come."""

    NOT_PLACED = "it did not stand, or nobody can tell"
    ENDED_WITH_ANSWER = "it came to its end; the release brings the answer's description"
    ENDED = "it came to its end; its answer is late or lost"
    CUT = "it stood and was cut; its answer is late or lost"


def reason_of(message: Message) -> api.Reason:
    """The reason that a refusal or release gives."""
    return REASONS.get(message.text(Code.REMARK) or "", api.Reason.UNTOLD)


def classify_early_release(message: Message) -> EarlyRelease:
    """What a release says that came before its task's answer."""
    if message.cause == Cause.OVER:
        return (
            EarlyRelease.ENDED_WITH_ANSWER
            if Code.DESCRIPTION in message.values
            else EarlyRelease.ENDED
        )
    # Danger: taken for a set-up that broke on its way, the task would be sent out again after its end, and its owner be
    # told that it stands, though what it is owed is the release.
    if message.cause == Cause.RESET and reason_of(message) in REASONS_AFTER_PLACEMENT:
        return EarlyRelease.CUT
    return EarlyRelease.NOT_PLACED
