"""Drains as far as placers agree on them: windows of the calendar, drains asked for, drains taken back; no I/O.

Each compares by what may be sent: a window more, or a drain more, allows less. Times in microseconds; those of `asked`
and of blackouts by the wall clock, as the windows' own.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, date, datetime
from typing import Any

from wingbarrow.decide.maintenance.drain_plan import Budget, PlanRules, Scope
from wingbarrow.decide.maintenance.drain_progress import DrainPolicy
from wingbarrow.decide.maintenance.windows import (
    Blackout,
    Selector,
    Series,
    UnsafePolicy,
    check_rule,
    to_us,
    zone,
)

SECOND = 1_000_000
LASTS_MOST_US = 31 * 86_400 * SECOND
WINDOWS_MOST, ASKED_MOST, CANCELLED_MOST, DATES_MOST = 128, 128, 512, 64
KEPT_US = 40 * 86_400 * SECOND  # a cancelled drain is over by then, whatever its window's length


@dataclass(frozen=True, slots=True)
class WindowRules:
    """A window as text: `decide.maintenance.windows.Series` in a form that has one spelling."""

    name: str
    start: str  # local to `zone`; with its offset where that is ""
    zone: str
    lasts_us: int
    each_us: int
    repeats: str
    exceptions: tuple[str, ...]
    extra: tuple[str, ...]
    machines: tuple[tuple[str, str, str, str], ...]  # name, cell, zone, label (key=value)
    precedence: int
    unsafe: str


@dataclass(frozen=True, slots=True, order=True)
class AskedDrain:
    """A drain that an operator asked for; from a whole second on."""

    machine: str
    start_us: int
    lasts_us: int

    @property
    def window(self) -> str:
        """The name of the window that it stands for."""
        return f"now-{self.machine}-{self.start_us // SECOND}"

    @property
    def key(self) -> str:
        """Of the drain that comes of it."""
        return f"{self.window}@{self.start_us // SECOND}/{self.machine}"

    def series(self) -> Series:
        """As a window that outranks the calendar's."""
        start = datetime.fromtimestamp(self.start_us // SECOND, UTC)
        return Series(
            self.window,
            start,
            self.lasts_us,
            self.lasts_us,
            selectors=(Selector(name=self.machine),),
            precedence=1000,
            unsafe=UnsafePolicy.WAIT,
        )


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """What all plans keep and how drains are done: `drain_plan.Rules` and `drain_progress.Policy`."""

    budgets: tuple[tuple[str, str, float], ...] = (
        ("cell", "max", 1.0),
        ("zone", "max-share", 0.25),
    )
    blackouts: tuple[tuple[str, int, int], ...] = ()
    fill: float = 0.9
    lead_us: int = 60 * SECOND
    moves: int = 4
    every_us: int = SECOND
    failed_share: float = 0.5
    take_back: bool = True

    def rules(self, kinds_needed: tuple[str, ...]) -> PlanRules:
        """For planning; which kinds some class needs is the placer's to know."""
        budgets = tuple(
            Budget(
                Scope(scope),
                figure if kind.startswith("max") else None,
                figure if kind.startswith("min") else None,
                kind.endswith("share"),
            )
            for scope, kind, figure in self.budgets
        )
        return PlanRules(
            budgets, tuple(Blackout(*each) for each in self.blackouts), self.fill, kinds_needed
        )

    def policy(self) -> DrainPolicy:
        """For carrying out."""
        return DrainPolicy(
            self.lead_us, self.moves, self.every_us, self.failed_share, self.take_back
        )


def plan_of(rules: PlanRules, policy: DrainPolicy) -> DrainPlan:
    """From what a calendar says."""

    def budget(each: Budget) -> tuple[str, str, float]:
        kind = "max" if each.max_unavailable is not None else "min"
        figure = (
            each.max_unavailable if each.max_unavailable is not None else each.min_available or 0
        )
        return each.scope.value, kind + ("-share" if each.share else ""), float(figure)

    return DrainPlan(
        tuple(sorted({budget(each) for each in rules.budgets})),
        tuple(sorted({(each.name, each.start_us, each.end_us) for each in rules.blackouts})),
        rules.fill,
        policy.lead_us,
        policy.moves,
        policy.every_us,
        policy.failed_share,
        policy.take_back,
    )


def plan_within(a: DrainPlan, b: DrainPlan) -> bool:
    """Whether whatever `a` allows, `b` allows too."""
    return (
        set(a.budgets) >= set(b.budgets)
        and set(a.blackouts) >= set(b.blackouts)
        and a.fill <= b.fill
        and a.lead_us >= b.lead_us
        and a.moves <= b.moves
        and a.every_us >= b.every_us
        and a.failed_share <= b.failed_share
        and a.take_back >= b.take_back
    )


def plan_meet(a: DrainPlan, b: DrainPlan) -> DrainPlan:
    """What both allow."""
    return DrainPlan(
        tuple(sorted({*a.budgets, *b.budgets})),
        tuple(sorted({*a.blackouts, *b.blackouts})),
        min(a.fill, b.fill),
        max(a.lead_us, b.lead_us),
        min(a.moves, b.moves),
        max(a.every_us, b.every_us),
        min(a.failed_share, b.failed_share),
        a.take_back or b.take_back,
    )


def window_of(series: Series) -> WindowRules:
    """The text form of a window."""
    named = getattr(series.start.tzinfo, "key", "")
    start = series.start.replace(tzinfo=None) if named else series.start
    return WindowRules(
        series.name,
        start.isoformat(),
        named,
        series.duration_us,
        series.each_us,
        series.rule,
        tuple(each.isoformat() for each in series.exceptions),
        tuple(each.isoformat() for each in series.extra),
        tuple(
            (each.name, each.cell, each.zone, "=".join(each.label) if each.label else "")
            for each in series.selectors
        ),
        series.precedence,
        series.unsafe.value,
    )


def series_of(window: WindowRules) -> Series:
    """The window that a text stands for; ValueError says what is wrong with it."""
    start = datetime.fromisoformat(window.start)
    if window.zone:
        start = start.replace(tzinfo=zone(window.zone))
    if start.tzinfo is None:
        raise ValueError("a start without zone or offset")
    if not 0 < window.each_us <= window.lasts_us <= LASTS_MOST_US:
        raise ValueError(
            "a length of at most 31 days, no shorter than each machine's turn, is wanted"
        )
    if max(len(window.exceptions), len(window.extra), len(window.machines)) > DATES_MOST:
        raise ValueError(f"more than {DATES_MOST} dates or machines")
    if window.repeats:
        check_rule(window.repeats, start)
    exceptions: list[datetime | date] = [
        date.fromisoformat(each) if len(each) == 10 else datetime.fromisoformat(each)
        for each in window.exceptions
    ]
    extra = tuple(datetime.fromisoformat(each) for each in window.extra)
    selectors = tuple(_selector(*each) for each in window.machines)
    if not selectors or not -1000 <= window.precedence <= 1000:
        raise ValueError("machines, and a precedence of -1000 to 1000, are wanted")
    to_us(start)
    return Series(
        window.name,
        start,
        window.lasts_us,
        window.each_us,
        window.repeats,
        tuple(exceptions),
        extra,
        selectors,
        window.precedence,
        UnsafePolicy(window.unsafe),
    )


def _selector(name: str, cell: str, hall: str, label: str) -> Selector:
    key, _, value = label.partition("=")
    if not all(isinstance(each, str) for each in (name, cell, hall, label)) or (
        label and not (key and value)
    ):
        raise ValueError("machines: a name, cell, zone or label (key=value) is wanted")
    made = Selector(name, cell, hall, (key, value) if label else None)
    if made == Selector():
        raise ValueError("machines: one that names none")
    return made


def read_window(value: dict[str, Any]) -> WindowRules:
    """From a JSON object; ValueError, TypeError or KeyError where it is none."""
    value = dict(value)
    for name in ("exceptions", "extra"):
        value[name] = tuple(value[name])
    value["machines"] = tuple(tuple(each) for each in value["machines"])
    return WindowRules(**value)


def read_plan(value: dict[str, Any]) -> DrainPlan:
    """From a JSON object, as `read_window`."""
    value = dict(value)
    for name in ("budgets", "blackouts"):
        value[name] = tuple(tuple(each) for each in value[name])
    return DrainPlan(**value)


def check_planned(
    windows: tuple[WindowRules, ...],
    asked: tuple[AskedDrain, ...],
    cancelled: tuple[str, ...],
    plan: DrainPlan,
) -> list[str]:
    """What is wrong, in words."""
    out: list[str] = []
    if len(windows) > WINDOWS_MOST or len(asked) > ASKED_MOST or len(cancelled) > CANCELLED_MOST:
        out.append(
            f"more than {WINDOWS_MOST} windows, {ASKED_MOST} drains asked for or {CANCELLED_MOST} taken back"
        )
    if len({each.name for each in windows}) != len(windows):
        out.append("a window is named twice")
    for each in windows:
        try:
            if not each.name or each.name.startswith("now-"):
                raise ValueError("a name that does not begin with now- is wanted")
            series_of(each)
        except (ValueError, TypeError, OverflowError) as error:
            out.append(f"window {str(each.name)[:60]}: {str(error)[:120]}")
    for drain in asked:
        if not (
            isinstance(drain.machine, str)
            and 0 < len(drain.machine) <= 253
            and type(drain.start_us) is int
            and type(drain.lasts_us) is int
            and 0 < drain.lasts_us <= LASTS_MOST_US
            and 0 <= drain.start_us < 1 << 53
            and drain.start_us % SECOND == 0
        ):
            out.append(
                "a drain asked for: a machine, a start in whole seconds and a length of at most 31 days"
            )
    if not all(isinstance(key, str) and 0 < len(key) <= 600 for key in cancelled):
        out.append("a drain taken back without its key")
    try:
        plan.rules(())
        good = (
            0.05 <= plan.fill <= 1
            and 0 <= plan.lead_us <= LASTS_MOST_US
            and 1 <= plan.moves <= 10_000
            and 1 <= plan.every_us <= LASTS_MOST_US
            and 0.01 <= plan.failed_share <= 1
            and len(plan.budgets) <= 64
            and len(plan.blackouts) <= 256
            and isinstance(plan.take_back, bool)
            and all(
                kind in ("max", "max-share", "min", "min-share") and 0 <= figure <= 1_000_000
                for _, kind, figure in plan.budgets
            )
            and all(
                type(begin) is int and type(end) is int and begin < end
                for _, begin, end in plan.blackouts
            )
        )
    except (ValueError, TypeError) as error:
        out.append(f"drains' plan: {str(error)[:120]}")
    else:
        if not good:
            out.append("drains' plan: a figure out of its bounds")
    return out


def fresh(
    asked: tuple[AskedDrain, ...],
    cancelled: tuple[str, ...],
    wall_us: int,
) -> tuple[tuple[AskedDrain, ...], tuple[str, ...]]:
    """Without what is over: drains past their end, and what was taken back of long ago."""

    def recent(key: str) -> bool:
        begun = key.partition("@")[2].partition("/")[0]
        return not begun.isdecimal() or int(begun) * SECOND + KEPT_US > wall_us

    return (
        tuple(each for each in asked if each.start_us + each.lasts_us > wall_us),
        tuple(key for key in cancelled if recent(key)),
    )
