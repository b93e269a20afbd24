"""Whether a Job of a lost region is started again: one table, each row with the danger it guards against.

A row is looked up by the class's effect, what this keeper knows of the task, what its machine tells, and the time. The
voters ended the holder's session before anything is asked here, so that its right to send and its machines' word for
what runs have lapsed by every clock: no old copy of a leased task runs any more where machines keep their word.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wingbarrow.decide.quotas.limits import drifted_us
from wingbarrow.decide.sessions.leased_job_record import TASK_PHASES, KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import MachineReport

EVERY = ("unsafe", "keyed", "safe")
SAYS = ("unasked", "unreachable", "holds", "clear", "anew", "operator")
TIMES = (
    "window",
    "past",
    "open",
)  # of a key: its window runs, has passed, or nobody here knows since when it runs
ANY: tuple[str, ...] = ()


class ReissueDecision(Enum):
    """What becomes of a task."""

    RUN = "run"
    WAIT = "waiting"
    QUERY = "asked"
    UNKNOWN = "unknown"
    STOP = "stopped"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class ReissueRow:
    """The first row that fits holds; an empty column fits all. `why` names the danger, or the proof."""

    effects: tuple[str, ...]
    phases: tuple[str, ...]
    answers: tuple[str, ...]
    windows: tuple[str, ...]
    decision: ReissueDecision
    why: str


REISSUE_TABLE = (
    ReissueRow(
        ANY,
        ("over",),
        ANY,
        ANY,
        ReissueDecision.NOTHING,
        "it is over: what has ended would be done again",
    ),
    ReissueRow(
        ("safe",),
        ANY,
        ANY,
        ANY,
        ReissueDecision.RUN,
        "it may repeat; a copy that a machine has not stopped yet overlaps until its lease has passed there",
    ),
    ReissueRow(
        ("keyed",), ANY, ("operator",), ANY, ReissueDecision.RUN, "the operator answers for it"
    ),
    ReissueRow(
        ("keyed",),
        ANY,
        ANY,
        ("window",),
        ReissueDecision.WAIT,
        "the former holder may have sent the same key just before its right lapsed, within the window and the group",
    ),
    ReissueRow(
        ("keyed",),
        ANY,
        ANY,
        ("open",),
        ReissueDecision.UNKNOWN,
        "another may have started it since, or may yet, within the window of a key that holds everywhere",
    ),
    ReissueRow(
        ("keyed",),
        ANY,
        ANY,
        ("past",),
        ReissueDecision.RUN,
        "no copy runs any more, and the key's window, where its group reaches here, has passed",
    ),
    ReissueRow(
        ("unsafe",),
        ("none", "about", "placed", "doubt"),
        ("operator",),
        ANY,
        ReissueDecision.RUN,
        "the operator answers for it that it never ran",
    ),
    ReissueRow(
        ("unsafe",),
        ANY,
        ("holds",),
        ANY,
        ReissueDecision.UNKNOWN,
        "its machine took it: it had its effect, or may have",
    ),
    ReissueRow(
        ("unsafe",),
        ("doubt",),
        ANY,
        ANY,
        ReissueDecision.UNKNOWN,
        "its holder, or a successor, may have gone on by other keepers than this one",
    ),
    ReissueRow(
        ("unsafe",),
        ("none",),
        ANY,
        ANY,
        ReissueDecision.RUN,
        "nothing of it ever left: every keeper hears of an attempt before its first byte",
    ),
    ReissueRow(
        ("unsafe",),
        ("placed",),
        ANY,
        ANY,
        ReissueDecision.UNKNOWN,
        "it was started: whether it ended well nobody here can prove",
    ),
    ReissueRow(
        ("unsafe",),
        ("about",),
        ("unasked",),
        ANY,
        ReissueDecision.QUERY,
        "the attempt may have left, or may still be on its way: its machine has to refuse it first, and say",
    ),
    ReissueRow(
        ("unsafe",),
        ("about",),
        ("clear",),
        ANY,
        ReissueDecision.RUN,
        "its machine never had it since before it could be sent, and refuses it from now on by its epoch",
    ),
    ReissueRow(
        ("unsafe",),
        ("about",),
        ("anew",),
        ANY,
        ReissueDecision.UNKNOWN,
        "its machine started anew since: what ran there before its start it does not know",
    ),
    ReissueRow(
        ("unsafe",),
        ("about",),
        ("unreachable",),
        ANY,
        ReissueDecision.UNKNOWN,
        "a machine that does not answer may have run it, and is asked again",
    ),
)


def decide(
    effect: str, knows: str, says: str, time: str, table: tuple[ReissueRow, ...] = REISSUE_TABLE
) -> ReissueRow:
    """The row that holds."""
    for row in table:
        if all(
            not column or figure in column
            for column, figure in (
                (row.effects, effect),
                (row.phases, knows),
                (row.answers, says),
                (row.windows, time),
            )
        ):
            return row
    raise ValueError(f"no row for {effect}, {knows}, {says}, {time}")


def window_until_us(record: LeasedJobRecord, heard_us: int) -> int:
    """Until when a keyed Job waits: the last send was before the end of its holder's session was heard of.

    Of a key that holds for all, or where another successor of this region may have started it: the whole window, by
    any clock. A narrower group ends within the lost region.
    """
    if record.effect != "keyed" or not (record.group == "all" or _doubt(record)):
        return heard_us
    return heard_us + drifted_us(record.window_us)


def key_window(record: LeasedJobRecord, now_us: int, until_us: int) -> str:
    """As the table takes it."""
    if record.effect == "keyed" and record.group == "all" and _doubt(record):
        return "open"
    return "window" if now_us < until_us else "past"


def _doubt(record: LeasedJobRecord) -> bool:
    return any(each.phase == "doubt" for each in record.tasks)


def machine_answer(report: MachineReport | None, age_us: int) -> str:
    """What a machine's answer means for an attempt that could leave `age_us` ago at the earliest.

    Danger: "never had it" counts only where the machine remembers all of that time, by any clock.
    """
    if report is None:
        return "unasked"
    if not report.reached:
        return "unreachable"
    if report.holds:
        return "holds"
    return "clear" if report.boot_age_us > drifted_us(age_us) else "anew"


def worst_known(mine: KnownTask, theirs: KnownTask) -> KnownTask:
    """Of two words about one task, the one that says more: a successor goes by the worst that may be."""
    if TASK_PHASES.index(theirs.phase) != TASK_PHASES.index(mine.phase):
        return theirs if TASK_PHASES.index(theirs.phase) > TASK_PHASES.index(mine.phase) else mine
    return theirs if theirs.age_us > mine.age_us else mine


@dataclass(frozen=True, slots=True)
class RecoveryRow:
    """What becomes of two copies of one Job that both are believed in: the earlier's and the later's, by epoch."""

    effects: tuple[str, ...]
    earlier_runs: bool
    later_runs: bool
    earlier: ReissueDecision
    later: ReissueDecision
    why: str


RECOVERY_TABLE = (
    RecoveryRow(
        ("unsafe",),
        True,
        True,
        ReissueDecision.RUN,
        ReissueDecision.RUN,
        "what must not start twice is never stopped to tidy up; told as a breach",
    ),
    RecoveryRow(
        ("unsafe",),
        True,
        False,
        ReissueDecision.RUN,
        ReissueDecision.NOTHING,
        "it runs where it ran: a second start, or a stop in its middle, would do harm",
    ),
    RecoveryRow(
        ("keyed", "safe"),
        True,
        True,
        ReissueDecision.STOP,
        ReissueDecision.RUN,
        "one copy is enough: the later epoch's",
    ),
    RecoveryRow(
        ("keyed", "safe"),
        True,
        False,
        ReissueDecision.STOP,
        ReissueDecision.WAIT,
        "a holder whose session was ended has no more say; its successor starts it",
    ),
    RecoveryRow(
        EVERY,
        False,
        True,
        ReissueDecision.NOTHING,
        ReissueDecision.RUN,
        "the later epoch's goes on",
    ),
    RecoveryRow(
        EVERY,
        False,
        False,
        ReissueDecision.NOTHING,
        ReissueDecision.WAIT,
        "the later epoch's holder decides",
    ),
)


@dataclass(frozen=True, slots=True)
class RunCopy:
    """One side's view of a Job: at which epoch and by whom it is held, and whether a run of it stands there."""

    epoch: int
    holder: str
    is_running: bool


def resolve_copies(
    effect: str, mine: RunCopy, theirs: RunCopy, table: tuple[RecoveryRow, ...] = RECOVERY_TABLE
) -> tuple[ReissueDecision, ReissueDecision, str]:
    """What becomes of mine, of theirs, and why. The greater epoch is the later; of one epoch the lesser name is."""
    if (mine.epoch, mine.holder) == (theirs.epoch, theirs.holder):
        return (
            (ReissueDecision.RUN if mine.is_running else ReissueDecision.WAIT),
            ReissueDecision.NOTHING,
            "they are the same",
        )
    later = (mine.epoch, _falling(mine.holder)) > (theirs.epoch, _falling(theirs.holder))
    first, second = (theirs, mine) if later else (mine, theirs)
    for row in table:
        if effect in row.effects and (row.earlier_runs, row.later_runs) == (
            first.is_running,
            second.is_running,
        ):
            return (row.later, row.earlier, row.why) if later else (row.earlier, row.later, row.why)
    raise ValueError(f"no row for {effect}")


def _falling(name: str) -> tuple[int, ...]:
    """Lesser names sort later; a name sorts before its own beginning."""
    return (*(-ord(each) for each in name), 1)


def reissue_rows() -> list[tuple[str, ...]]:
    """The table as text, for docs: effect, what the keeper knows, what machines tell, time, verdict, why."""
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
    """The table of healing as text: effect, earlier runs, later runs, what becomes of each, why."""
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
    """Both tables, as docs show them."""

    def table(head: tuple[str, ...], lines: list[tuple[str, ...]]) -> str:
        return "\n".join(
            "| " + " | ".join(each) + " |" for each in (head, ("---",) * len(head), *lines)
        )

    first = table(
        ("effect", "the keeper knows", "the machine tells", "time", "verdict", "why"),
        reissue_rows(),
    )
    second = table(
        ("effect", "earlier runs", "later runs", "the earlier", "the later", "why"), recovery_rows()
    )
    return f"{first}\n\n{second}\n"
