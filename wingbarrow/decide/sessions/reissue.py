"""Whether a task of a Job whose holder's session has ended is started again; and which of two copies of a Job goes on.

Both questions are answered by a table, each row with the danger that it guards against, or the proof that it rests on.
`docs/reissue.md` shows both tables. A row of the first is found by the class's effect, what this replica holder knows
of the task, what its machine answers, and the window of its key.

The voters ended the holder's session before anything is asked here, so that its lease and the machines' lease have
expired by every clock: no earlier copy of a leased task runs any more where machines observe their lease.
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
    """The decision on one task or copy; values as they are notified and sent."""

    RUN = "run"
    WAIT = "waiting"
    QUERY = "asked"
    UNKNOWN = "unknown"
    STOP = "stopped"
    NOTHING = "nothing"


class MachineAnswer(StrEnum):
    """What the machine of a task's latest attempt answered."""

    UNASKED = "unasked"
    UNREACHABLE = "unreachable"
    HOLDS = "holds"  # it took the task
    CLEAR = "clear"  # it never had it, and has been up since before the attempt could be sent
    RESTARTED = "restarted"  # it does not have it, and has restarted since
    OPERATOR = "operator"  # an operator confirms that the task never ran


class KeyWindow(StrEnum):
    """Where the window of a key stands."""

    RUNNING = "running"
    PAST = "past"
    UNKNOWN = "unknown"  # nobody here knows since when it runs


@dataclass(frozen=True, slots=True, kw_only=True)
class ReissueRow:
    """The first row that matches holds; an empty column matches all."""

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
    """Return the first row that matches; ValueError where none does."""
    for row in table:
        if row.matches(effect, phase, answer, window):
            return row
    raise ValueError(f"no row for {effect}, {phase}, {answer}, {window}")


def window_until_us(record: LeasedJobRecord, ended_us: int) -> int:
    """Return until when a keyed Job waits, given when this placer learned of the end of its holder's session.

    The holder's last attempt was sent before. A key that holds everywhere, or a Job that another successor may have
    started, waits for its whole window by any clock; a narrower group ends within the lost region.
    """
    if record.effect != "keyed" or not (record.group == "all" or _is_doubted(record)):
        return ended_us
    return ended_us + drifted_us(record.window_us)


def key_window(record: LeasedJobRecord, now_us: int, until_us: int) -> KeyWindow:
    """Return where the window of a Job's key stands, given the time from `window_until_us`."""
    if record.effect == "keyed" and record.group == "all" and _is_doubted(record):
        return KeyWindow.UNKNOWN
    return KeyWindow.RUNNING if now_us < until_us else KeyWindow.PAST


def _is_doubted(record: LeasedJobRecord) -> bool:
    return any(each.phase == "doubt" for each in record.tasks)


def machine_answer(report: MachineReport | None, age_us: int) -> MachineAnswer:
    """Return what a machine's report means for an attempt that was sent `age_us` ago at the earliest.

    Danger: that it never had the task counts only where it has been up for all of that time, by any clock.
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
    """Return the more advanced of what two replica holders know of a task, of one phase the older: the worst case."""
    my_phase = TASK_PHASES.index(mine.phase)
    their_phase = TASK_PHASES.index(theirs.phase)
    if their_phase != my_phase:
        return theirs if their_phase > my_phase else mine
    return theirs if theirs.age_us > mine.age_us else mine


# -- two copies of one Job, after a holder has returned


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryRow:
    """What each of two holders does with its copy: the one of the earlier epoch, and the one of the later."""

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
    """One side's copy of a Job: its epoch and holder, and whether a run of it is there."""

    epoch: int
    holder: str
    is_running: bool


@dataclass(frozen=True, slots=True)
class Resolution:
    """The decisions on both copies, and why."""

    mine: ReissueDecision
    theirs: ReissueDecision
    why: str


def resolve_copies(
    effect: str,
    mine: RunCopy,
    theirs: RunCopy,
    table: tuple[RecoveryRow, ...] = RECOVERY_TABLE,
) -> Resolution:
    """Decide on two copies of a Job: the greater epoch is the later one, at one epoch the lesser holder's name is.

    Both holders come to the same decisions. ValueError where no row matches.
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
    raise ValueError(f"no row for {effect}")


def _descending(name: str) -> tuple[int, ...]:
    """Return a key by which lesser names sort later; a name sorts before its own prefixes."""
    return (*(-ord(each) for each in name), 1)


# -- for docs/reissue.md

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
    """Return the table of reissue as text, in the order of REISSUE_COLUMNS."""
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
    """Return the table of recovery as text, in the order of RECOVERY_COLUMNS."""
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
    """Return both tables as the page shows them."""
    first = _markdown_table(REISSUE_COLUMNS, reissue_rows())
    second = _markdown_table(RECOVERY_COLUMNS, recovery_rows())
    return f"{first}\n\n{second}\n"


def _markdown_table(columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = (columns, ("---",) * len(columns), *rows)
    return "\n".join("| " + " | ".join(each) + " |" for each in lines)
