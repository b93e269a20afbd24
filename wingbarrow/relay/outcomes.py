"""Maps a machine's release to its meaning by its cause, its remark and whether the task's answer has arrived. No I/O.

Source: the platform's protocol, "Placers to machines". Messages may be reordered: a delayed answer arrives after the
release that ended its task.
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
# Machines give these reasons only for a task that was placed there.
REASONS_AFTER_PLACEMENT = (api.Reason.EVICTED, api.Reason.PUSHED_OUT, api.Reason.SENT_AWAY)


class EarlyRelease(Enum):
    """Meaning of a release that arrives before the task's answer."""

    NOT_PLACED = "the task was not placed, or this is unknown"
    ENDED_WITH_ANSWER = "the task has ended; the release carries the answer's description"
    ENDED = "the task has ended; its answer is delayed or lost"
    STOPPED = "the task was placed and then stopped by the machine; its answer is delayed or lost"
    AMBIGUOUS = "this attempt's end, or that of an earlier run under the same id on this machine"


def reason_of(message: Message) -> api.Reason:
    """The reason given by a refusal or release; UNTOLD if it has none or an unknown one."""
    return REASONS.get(message.text(Code.REMARK) or "", api.Reason.UNTOLD)


def classify_early_release(message: Message, may_have_run_before: bool = False) -> EarlyRelease:
    """Classify a release that arrived before its task's answer. Raises BadMessage if it has no cause.

    `may_have_run_before`: an earlier attempt of the task may have run on this machine. A machine repeats the release of
    a run on the next connection that opens, and that may be the one of the new attempt.
    """
    if may_have_run_before and message.cause not in BEFORE_ANSWER:
        return EarlyRelease.AMBIGUOUS
    if message.cause == Cause.OVER:
        return (
            EarlyRelease.ENDED_WITH_ANSWER
            if Code.DESCRIPTION in message.values
            else EarlyRelease.ENDED
        )
    # Danger: treated as a set-up that failed in transit, the task would be offered again after its end, and its owner
    # would be told that it runs instead of receiving the release.
    if message.cause == Cause.RESET and reason_of(message) in REASONS_AFTER_PLACEMENT:
        return EarlyRelease.STOPPED
    return EarlyRelease.NOT_PLACED
