"""The parts of a rule set that concern drains: maintenance windows, requested and cancelled drains, the plan; no I/O.

They compare by what may be sent to machines: one more window or drain allows less. Times are in microseconds; requested
drains, blackouts and windows are on the wall clock.
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
    time_zone,
    to_wall_us,
)

SECOND_US = 1_000_000
DAY_US = 86_400 * SECOND_US
MAX_LENGTH_US = 31 * DAY_US  # of a window or a drain
MAX_WINDOWS = 128
MAX_REQUESTED = 128
MAX_CANCELLED = 512
MAX_DATES = 64  # exceptions, extra dates and machines of a window: so many of each
MAX_NAME_CHARS = 253
MAX_KEY_CHARS = 600
MAX_NAME_CHARS_SHOWN = 60
MAX_REASON_CHARS = 120
MAX_BUDGETS = 64
MAX_BLACKOUTS = 256
MAX_BUDGET = 1_000_000
MAX_MOVES = 10_000
MIN_FILL = 0.05
MIN_FAILED_SHARE = 0.01
MAX_PRECEDENCE = 1000
MAX_EXACT_INT = 1 << 53  # integers below are exact as JSON numbers
DATE_CHARS = len("2026-12-31")
REQUESTED_PREFIX = "now-"  # of the window name of a requested drain
BUDGET_KINDS = ("max", "max-share", "min", "min-share")
CANCELLED_KEPT_US = 40 * DAY_US  # the drain has ended by then: MAX_LENGTH_US is shorter


@dataclass(frozen=True, slots=True)
class WindowRules:
    """A window in the canonical form: `maintenance.windows.Series` as text. Field names are those of the JSON form."""

    name: str
    start: str  # ISO 8601, local to `zone`; with an offset if `zone` is ""
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
    """A drain that an operator requested; it starts at a whole second."""

    machine: str
    start_us: int
    lasts_us: int

    @property
    def window(self) -> str:
        """The name of the window that stands for the drain."""
        return f"{REQUESTED_PREFIX}{self.machine}-{self.start_us // SECOND_US}"

    @property
    def key(self) -> str:
        """The key by which the drain is cancelled."""
        return f"{self.window}@{self.start_us // SECOND_US}/{self.machine}"

    def series(self) -> Series:
        """The window that stands for the drain; it takes precedence over those of the calendar."""
        start = datetime.fromtimestamp(self.start_us // SECOND_US, UTC)
        return Series(
            self.window,
            start,
            self.lasts_us,
            self.lasts_us,
            selectors=(Selector(name=self.machine),),
            precedence=MAX_PRECEDENCE,
            unsafe=UnsafePolicy.WAIT,
        )


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """How drains are planned and carried out: the canonical form of a `PlanRules` and a `DrainPolicy` together."""

    budgets: tuple[tuple[str, str, float], ...] = (
        ("cell", "max", 1.0),
        ("zone", "max-share", 0.25),
    )
    blackouts: tuple[tuple[str, int, int], ...] = ()
    fill: float = 0.9
    lead_us: int = 60 * SECOND_US
    moves: int = 4
    every_us: int = SECOND_US
    failed_share: float = 0.5
    take_back: bool = True

    def rules(self, kinds_needed: tuple[str, ...]) -> PlanRules:
        """The rules for the planner; `kinds_needed` are the machine kinds that some class of the placer needs."""
        budgets = tuple(
            Budget(
                Scope(scope),
                max_unavailable=amount if kind.startswith("max") else None,
                min_available=amount if kind.startswith("min") else None,
                is_share=kind.endswith("share"),
            )
            for scope, kind, amount in self.budgets
        )
        blackouts = tuple(Blackout(*each) for each in self.blackouts)
        return PlanRules(budgets, blackouts, self.fill, kinds_needed)

    def policy(self) -> DrainPolicy:
        """The pace at which drains are carried out."""
        return DrainPolicy(
            self.lead_us, self.moves, self.every_us, self.failed_share, self.take_back
        )


def plan_of(rules: PlanRules, policy: DrainPolicy) -> DrainPlan:
    """The canonical form of the rules and the policy of a calendar."""
    return DrainPlan(
        budgets=tuple(sorted({_budget_of(each) for each in rules.budgets})),
        blackouts=tuple(
            sorted({(each.name, each.start_us, each.end_us) for each in rules.blackouts})
        ),
        fill=rules.fill,
        lead_us=policy.lead_us,
        moves=policy.moves,
        every_us=policy.every_us,
        failed_share=policy.failed_share,
        take_back=policy.take_back,
    )


def _budget_of(budget: Budget) -> tuple[str, str, float]:
    suffix = "-share" if budget.is_share else ""
    if budget.max_unavailable is not None:
        return budget.scope.value, f"max{suffix}", float(budget.max_unavailable)
    return budget.scope.value, f"min{suffix}", float(budget.min_available or 0)


def plan_allows(a: DrainPlan, b: DrainPlan) -> bool:
    """Whether `b` allows all that `a` allows."""
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


def plan_intersection(a: DrainPlan, b: DrainPlan) -> DrainPlan:
    """What both allow."""
    return DrainPlan(
        budgets=tuple(sorted({*a.budgets, *b.budgets})),
        blackouts=tuple(sorted({*a.blackouts, *b.blackouts})),
        fill=min(a.fill, b.fill),
        lead_us=max(a.lead_us, b.lead_us),
        moves=min(a.moves, b.moves),
        every_us=max(a.every_us, b.every_us),
        failed_share=min(a.failed_share, b.failed_share),
        take_back=a.take_back or b.take_back,
    )


def window_of(series: Series) -> WindowRules:
    """The canonical form of a window."""
    zone_key = getattr(series.start.tzinfo, "key", "")
    start = series.start.replace(tzinfo=None) if zone_key else series.start
    return WindowRules(
        name=series.name,
        start=start.isoformat(),
        zone=zone_key,
        lasts_us=series.duration_us,
        each_us=series.each_us,
        repeats=series.rule,
        exceptions=tuple(each.isoformat() for each in series.exceptions),
        extra=tuple(each.isoformat() for each in series.extra),
        machines=tuple(
            (each.name, each.cell, each.zone, "=".join(each.label) if each.label else "")
            for each in series.selectors
        ),
        precedence=series.precedence,
        unsafe=series.unsafe.value,
    )


def series_of(window: WindowRules) -> Series:
    """The window of a canonical form; raises ValueError, TypeError or OverflowError for an invalid one."""
    start = datetime.fromisoformat(window.start)
    if window.zone:
        start = start.replace(tzinfo=time_zone(window.zone))
    if start.tzinfo is None:
        raise ValueError("a start without zone or offset")
    if not 0 < window.each_us <= window.lasts_us <= MAX_LENGTH_US:
        raise ValueError(
            "a length of at most 31 days, no shorter than each machine's turn, is wanted"
        )
    if max(len(window.exceptions), len(window.extra), len(window.machines)) > MAX_DATES:
        raise ValueError(f"more than {MAX_DATES} dates or machines")
    if window.repeats:
        check_rule(window.repeats, start)
    exceptions = tuple(_exception(each) for each in window.exceptions)
    extra = tuple(datetime.fromisoformat(each) for each in window.extra)
    selectors = tuple(_selector(*each) for each in window.machines)
    if not selectors or not -MAX_PRECEDENCE <= window.precedence <= MAX_PRECEDENCE:
        raise ValueError("machines, and a precedence of -1000 to 1000, are wanted")
    to_wall_us(start)
    return Series(
        window.name,
        start,
        window.lasts_us,
        window.each_us,
        window.repeats,
        exceptions,
        extra,
        selectors,
        window.precedence,
        UnsafePolicy(window.unsafe),
    )


def _exception(text: str) -> datetime | date:
    return date.fromisoformat(text) if len(text) == DATE_CHARS else datetime.fromisoformat(text)


def _selector(name: str, cell: str, failure_zone: str, label: str) -> Selector:
    key, _, value = label.partition("=")
    parts = (name, cell, failure_zone, label)
    if not all(isinstance(each, str) for each in parts) or (label and not (key and value)):
        raise ValueError("machines: a name, cell, zone or label (key=value) is wanted")
    selector = Selector(name, cell, failure_zone, (key, value) if label else None)
    if selector == Selector():
        raise ValueError("machines: one that names none")
    return selector


def read_window(value: dict[str, Any]) -> WindowRules:
    """Decode a window from a JSON object; raises ValueError, TypeError or KeyError for an invalid one."""
    value = dict(value)
    for name in ("exceptions", "extra"):
        value[name] = tuple(value[name])
    value["machines"] = tuple(tuple(each) for each in value["machines"])
    return WindowRules(**value)


def read_plan(value: dict[str, Any]) -> DrainPlan:
    """Decode a plan from a JSON object; raises ValueError, TypeError or KeyError for an invalid one."""
    value = dict(value)
    for name in ("budgets", "blackouts"):
        value[name] = tuple(tuple(each) for each in value[name])
    return DrainPlan(**value)


def check_drains(
    windows: tuple[WindowRules, ...],
    requested: tuple[AskedDrain, ...],
    cancelled: tuple[str, ...],
    plan: DrainPlan,
) -> list[str]:
    """Faults in the drains of a rule set, one sentence each; empty if there are none."""
    faults: list[str] = []
    if (
        len(windows) > MAX_WINDOWS
        or len(requested) > MAX_REQUESTED
        or len(cancelled) > MAX_CANCELLED
    ):
        faults.append(
            f"more than {MAX_WINDOWS} windows, {MAX_REQUESTED} drains asked for or {MAX_CANCELLED} taken back"
        )
    if len({each.name for each in windows}) != len(windows):
        faults.append("a window is named twice")
    faults.extend(fault for fault in map(_window_fault, windows) if fault)
    faults.extend(
        "a drain asked for: a machine, a start in whole seconds and a length of at most 31 days"
        for each in requested
        if not _is_valid_request(each)
    )
    if not all(isinstance(key, str) and 0 < len(key) <= MAX_KEY_CHARS for key in cancelled):
        faults.append("a drain taken back without its key")
    return faults + _plan_faults(plan)


def _window_fault(window: WindowRules) -> str:
    """What is wrong with a window; "" if it is valid."""
    prefix = f"window {str(window.name)[:MAX_NAME_CHARS_SHOWN]}: "
    if not window.name or window.name.startswith(REQUESTED_PREFIX):
        return f"{prefix}a name that does not begin with now- is wanted"
    try:
        series_of(window)
    except (ValueError, TypeError, OverflowError) as error:
        return prefix + str(error)[:MAX_REASON_CHARS]
    return ""


def _is_valid_request(drain: AskedDrain) -> bool:
    return (
        isinstance(drain.machine, str)
        and 0 < len(drain.machine) <= MAX_NAME_CHARS
        and type(drain.start_us) is int
        and type(drain.lasts_us) is int
        and 0 < drain.lasts_us <= MAX_LENGTH_US
        and 0 <= drain.start_us < MAX_EXACT_INT
        and drain.start_us % SECOND_US == 0
    )


def _plan_faults(plan: DrainPlan) -> list[str]:
    try:
        plan.rules(())
        is_valid = _has_valid_pace(plan) and _has_valid_budgets(plan)
    except (ValueError, TypeError) as error:
        return [f"drains' plan: {str(error)[:MAX_REASON_CHARS]}"]
    return [] if is_valid else ["drains' plan: a figure out of its bounds"]


def _has_valid_pace(plan: DrainPlan) -> bool:
    return (
        MIN_FILL <= plan.fill <= 1
        and 0 <= plan.lead_us <= MAX_LENGTH_US
        and 1 <= plan.moves <= MAX_MOVES
        and 1 <= plan.every_us <= MAX_LENGTH_US
        and MIN_FAILED_SHARE <= plan.failed_share <= 1
        and isinstance(plan.take_back, bool)
    )


def _has_valid_budgets(plan: DrainPlan) -> bool:
    return (
        len(plan.budgets) <= MAX_BUDGETS
        and len(plan.blackouts) <= MAX_BLACKOUTS
        and all(
            kind in BUDGET_KINDS and 0 <= amount <= MAX_BUDGET for _, kind, amount in plan.budgets
        )
        and all(
            type(start_us) is int and type(end_us) is int and start_us < end_us
            for _, start_us, end_us in plan.blackouts
        )
    )


def without_expired(
    requested: tuple[AskedDrain, ...],
    cancelled: tuple[str, ...],
    wall_us: int,
) -> tuple[tuple[AskedDrain, ...], tuple[str, ...]]:
    """The requested drains that have not ended, and the cancellations of drains that may not have ended."""
    return (
        tuple(each for each in requested if each.start_us + each.lasts_us > wall_us),
        tuple(key for key in cancelled if _may_be_due(key, wall_us)),
    )


def _may_be_due(key: str, wall_us: int) -> bool:
    start_s = key.partition("@")[2].partition("/")[0]
    return not start_s.isdecimal() or int(start_s) * SECOND_US + CANCELLED_KEPT_US > wall_us
