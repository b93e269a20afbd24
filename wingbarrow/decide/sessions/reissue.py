"""Decides whether a task of a Job is started again after its holder's session has ended, and which of two copies stays.

Each decision is looked up in a table. Each row has the danger that it guards against, or the proof that it relies on.
`docs/reissue.md` shows both tables. The key of the reissue table is the effect of the class, the phase of the task as
this replica holder knows it, the answer of the task's machine, and the window of the Job's key.

These decisions are made only after the voters have ended the holder's session, when its lease and the machines' lease
have expired by every clock: no earlier copy of a leased task still runs on a machine that observes its lease.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum

from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.sessions.leased_job_record import (
    EFFECTS,
    TASK_PHASES,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import MachineReport


class ReissueDecision(Enum):
    """The decision on one task or copy; the values are notified and sent."""

    RUN = "run"
    WAIT = "waiting"
    QUERY = "asked"
    UNKNOWN = "unknown"
    STOP = "stopped"
    NOTHING = "nothing"


class MachineAnswer(StrEnum):
    """Answer of the machine of a task's latest attempt."""

    UNASKED = "unasked"
    UNREACHABLE = "unreachable"
    HOLDS = "holds"  # it accepted the task
    CLEAR = "clear"  # it never had the task, and has been up since before the attempt could be sent
    RESTARTED = "restarted"  # it does not have the task, but has restarted since the attempt may have been sent
    OPERATOR = "operator"  # an operator confirms that the task never ran


class KeyWindow(StrEnum):
    """State of a key's window."""

    RUNNING = "running"
    PAST = "past"
    UNKNOWN = "unknown"  # its start is not known here


@dataclass(frozen=True, slots=True, kw_only=True)
class ReissueRow:
    """A row of the reissue table. The first matching row applies; an empty column matches any value."""

    effects: tuple[str, ...] = ()
    phases: tuple[str, ...] = ()
    answers: tuple[MachineAnswer, ...] = ()
    windows: tuple[KeyWindow, ...] = ()
    decision: ReissueDecision
    why: str

    def matches(self, effect: str, phase: str, answer: str, window: str) -> bool:
        """Whether each column matches."""
        columns = (
            (self.effects, effect),
            (self.phases, phase),
            (self.answers, answer),
            (self.windows, window),
        )
        return all(not column or value in column for column, value in columns)


REISSUE_TABLE = (
    ReissueRow(
        phases=("over",),
        decision=ReissueDecision.NOTHING,
        why="it is over: what has ended would be done again",
    ),
    ReissueRow(
        effects=("safe",),
        decision=ReissueDecision.RUN,
        why="it may repeat; a copy that a machine has not stopped yet overlaps until its lease has passed there",
    ),
    ReissueRow(
        effects=("keyed",),
        answers=(MachineAnswer.OPERATOR,),
        decision=ReissueDecision.RUN,
        why="the operator answers for it",
    ),
    ReissueRow(
        effects=("keyed",),
        windows=(KeyWindow.RUNNING,),
        decision=ReissueDecision.WAIT,
        why="the former holder may have sent the same key just before its right lapsed, "
        "within the window and the group",
    ),
    ReissueRow(
        effects=("keyed",),
        windows=(KeyWindow.UNKNOWN,),
        decision=ReissueDecision.UNKNOWN,
        why="another may have started it since, or may yet, within the window of a key that holds everywhere",
    ),
    ReissueRow(
        effects=("keyed",),
        windows=(KeyWindow.PAST,),
        decision=ReissueDecision.RUN,
        why="no copy runs any more, and the key's window, where its group reaches here, has passed",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("none", "about", "placed", "doubt"),
        answers=(MachineAnswer.OPERATOR,),
        decision=ReissueDecision.RUN,
        why="the operator answers for it that it never ran",
    ),
    ReissueRow(
        effects=("unsafe",),
        answers=(MachineAnswer.HOLDS,),
        decision=ReissueDecision.UNKNOWN,
        why="its machine took it: it had its effect, or may have",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("doubt",),
        decision=ReissueDecision.UNKNOWN,
        why="its holder, or a successor, may have gone on by other keepers than this one",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("none",),
        decision=ReissueDecision.RUN,
        why="nothing of it ever left: every keeper hears of an attempt before its first byte",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("placed",),
        decision=ReissueDecision.UNKNOWN,
        why="it was started: whether it ended well nobody here can prove",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("about",),
        answers=(MachineAnswer.UNASKED,),
        decision=ReissueDecision.QUERY,
        why="the attempt may have left, or may still be on its way: its machine has to refuse it first, and say",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("about",),
        answers=(MachineAnswer.CLEAR,),
        decision=ReissueDecision.RUN,
        why="its machine never had it since before it could be sent, and refuses it from now on by its epoch",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("about",),
        answers=(MachineAnswer.RESTARTED,),
        decision=ReissueDecision.UNKNOWN,
        why="its machine started anew since: what ran there before its start it does not know",
    ),
    ReissueRow(
        effects=("unsafe",),
        phases=("about",),
        answers=(MachineAnswer.UNREACHABLE,),
        decision=ReissueDecision.UNKNOWN,
        why="a machine that does not answer may have run it, and is asked again",
    ),
)


def decide(
    effect: str,
    phase: str,
    answer: str,
    window: str,
    table: tuple[ReissueRow, ...] = REISSUE_TABLE,
) -> ReissueRow:
    """Return the first matching row; raise ValueError if there is none."""
    for row in table:
        if row.matches(effect, phase, answer, window):
            return row
    raise ValueError(
        f"reissue table has no row for effect {effect!r}, phase {phase!r}, answer {answer!r}, window {window!r}"
    )


def window_until_us(record: LeasedJobRecord, ended_us: int) -> int:
    """Return the end of a keyed Job's wait, from the time when this placer learned that its holder's session has ended.

    The holder's last attempt was sent before that time. A key with the group `all`, or a Job that another successor may
    have started, waits for its whole window by any clock. A narrower group lies within the lost region: no wait.
    """
    if record.effect != "keyed" or not (record.group == "all" or _is_doubted(record)):
        return ended_us
    return ended_us + drifted_us(record.window_us)


def key_window(record: LeasedJobRecord, now_us: int, until_us: int) -> KeyWindow:
    """Return the state of the window of a Job's key, given the result of `window_until_us`."""
    if record.effect == "keyed" and record.group == "all" and _is_doubted(record):
        return KeyWindow.UNKNOWN
    return KeyWindow.RUNNING if now_us < until_us else KeyWindow.PAST


def _is_doubted(record: LeasedJobRecord) -> bool:
    return any(each.phase == "doubt" for each in record.tasks)


def machine_answer(report: MachineReport | None, age_us: int) -> MachineAnswer:
    """Return the answer that a machine's report implies for an attempt that was sent at most `age_us` ago.

    Danger: a report that it does not hold the task counts only if it has been up for all of that time, by any clock.
    """
    if report is None:
        return MachineAnswer.UNASKED
    if not report.reached:
        return MachineAnswer.UNREACHABLE
    if report.holds:
        return MachineAnswer.HOLDS
    if report.boot_age_us > drifted_us(age_us):
        return MachineAnswer.CLEAR
    return MachineAnswer.RESTARTED


def worst_case_state(mine: KnownTask, theirs: KnownTask) -> KnownTask:
    """Return the worst case of two replica holders' states of a task: the more advanced phase, then the greater age."""
    my_phase = TASK_PHASES.index(mine.phase)
    their_phase = TASK_PHASES.index(theirs.phase)
    if their_phase != my_phase:
        return theirs if their_phase > my_phase else mine
    return theirs if theirs.age_us > mine.age_us else mine


# -- two copies of one Job after a holder has returned


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryRow:
    """A row of the recovery table: decisions for the copies of the earlier and the later epoch."""

    effects: tuple[str, ...]
    earlier_runs: bool
    later_runs: bool
    earlier: ReissueDecision
    later: ReissueDecision
    why: str


RECOVERY_TABLE = (
    RecoveryRow(
        effects=("unsafe",),
        earlier_runs=True,
        later_runs=True,
        earlier=ReissueDecision.RUN,
        later=ReissueDecision.RUN,
        why="what must not start twice is never stopped to tidy up; told as a breach",
    ),
    RecoveryRow(
        effects=("unsafe",),
        earlier_runs=True,
        later_runs=False,
        earlier=ReissueDecision.RUN,
        later=ReissueDecision.NOTHING,
        why="it runs where it ran: a second start, or a stop in its middle, would do harm",
    ),
    RecoveryRow(
        effects=("keyed", "safe"),
        earlier_runs=True,
        later_runs=True,
        earlier=ReissueDecision.STOP,
        later=ReissueDecision.RUN,
        why="one copy is enough: the later epoch's",
    ),
    RecoveryRow(
        effects=("keyed", "safe"),
        earlier_runs=True,
        later_runs=False,
        earlier=ReissueDecision.STOP,
        later=ReissueDecision.WAIT,
        why="a holder whose session was ended has no more say; its successor starts it",
    ),
    RecoveryRow(
        effects=EFFECTS,
        earlier_runs=False,
        later_runs=True,
        earlier=ReissueDecision.NOTHING,
        later=ReissueDecision.RUN,
        why="the later epoch's goes on",
    ),
    RecoveryRow(
        effects=EFFECTS,
        earlier_runs=False,
        later_runs=False,
        earlier=ReissueDecision.NOTHING,
        later=ReissueDecision.WAIT,
        why="the later epoch's holder decides",
    ),
)


@dataclass(frozen=True, slots=True)
class RunCopy:
    """One holder's copy of a Job, with its epoch and whether it runs there."""

    epoch: int
    holder: str
    is_running: bool


@dataclass(frozen=True, slots=True)
class Resolution:
    """The decisions on both copies, and the reason."""

    mine: ReissueDecision
    theirs: ReissueDecision
    why: str


def resolve_copies(
    effect: str,
    mine: RunCopy,
    theirs: RunCopy,
    table: tuple[RecoveryRow, ...] = RECOVERY_TABLE,
) -> Resolution:
    """Decide on two copies of a Job. The later one has the greater epoch, or at equal epochs the lesser holder's name.

    Both holders reach the same decisions. Raises ValueError if no row matches.
    """
    if (mine.epoch, mine.holder) == (theirs.epoch, theirs.holder):
        keep = ReissueDecision.RUN if mine.is_running else ReissueDecision.WAIT
        return Resolution(keep, ReissueDecision.NOTHING, "they are the same")
    mine_is_later = (mine.epoch, _descending(mine.holder)) > (
        theirs.epoch,
        _descending(theirs.holder),
    )
    earlier, later = (theirs, mine) if mine_is_later else (mine, theirs)
    for row in table:
        runs = (row.earlier_runs, row.later_runs)
        if effect in row.effects and runs == (earlier.is_running, later.is_running):
            if mine_is_later:
                return Resolution(row.later, row.earlier, row.why)
            return Resolution(row.earlier, row.later, row.why)
    raise ValueError(
        f"recovery table has no row for effect {effect!r}, earlier runs: {earlier.is_running}, "
        f"later runs: {later.is_running}"
    )


def _descending(name: str) -> tuple[int, ...]:
    """Return a sort key that reverses the order of names."""
    return (*(-ord(each) for each in name), 1)


# -- tables of docs/reissue.md

REISSUE_COLUMNS = (
    "effect",
    "the replica holder knows",
    "the machine answers",
    "key's window",
    "decision",
    "why",
)
RECOVERY_COLUMNS = ("effect", "earlier runs", "later runs", "the earlier", "the later", "why")


def reissue_rows() -> list[tuple[str, ...]]:
    """Return the rows of the reissue table as text, in the order of REISSUE_COLUMNS."""
    return [
        (
            *(
                ", ".join(column) or "any"
                for column in (row.effects, row.phases, row.answers, row.windows)
            ),
            row.decision.value,
            row.why,
        )
        for row in REISSUE_TABLE
    ]


def recovery_rows() -> list[tuple[str, ...]]:
    """Return the rows of the recovery table as text, in the order of RECOVERY_COLUMNS."""
    return [
        (
            ", ".join(row.effects),
            "yes" if row.earlier_runs else "no",
            "yes" if row.later_runs else "no",
            row.earlier.value,
            row.later.value,
            row.why,
        )
        for row in RECOVERY_TABLE
    ]


def markdown() -> str:
    """Return both tables in Markdown, as in docs/reissue.md."""
    first = _markdown_table(REISSUE_COLUMNS, reissue_rows())
    second = _markdown_table(RECOVERY_COLUMNS, recovery_rows())
    return f"{first}\n\n{second}\n"


def _markdown_table(columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = (columns, ("---",) * len(columns), *rows)
    return "\n".join("| " + " | ".join(each) + " |" for each in lines)
