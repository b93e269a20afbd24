"""The target of the capacity page as typed constants with units, and what follows from it by arithmetic.

Nothing here is measured. A worked figure is an expression over named quantities; the page prints the expression with
its numbers, so that a reader (and a test) can work it out again.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cache

DAY_S = 86_400
HOUR_S = 3_600


@dataclass(frozen=True, slots=True)
class Quantity:
    """A named number with its unit; `reading` says how an open term is taken, "" where nothing is open."""

    topic: str
    ident: str
    what: str
    value: float
    unit: str
    reading: str = ""


@dataclass(frozen=True, slots=True)
class Worked:
    """A figure that follows from others: `expression` names them."""

    ident: str
    what: str
    expression: str
    unit: str


@dataclass(frozen=True, slots=True)
class Scale:
    """One column of the tables: a share of the target, or the fleet of the standing test."""

    ident: str
    title: str
    share: float  # of the target


LOAD, PROMISED, CONTROL, TROUBLE, TODAY, ASSUMPTION = (
    "Load",
    "Promised",
    "Control",
    "Trouble",
    "Today",
    "Assumed",
)

TARGET = (
    Quantity(LOAD, "workers", "machines that run work", 13_000, "machines"),
    Quantity(LOAD, "jobs_day", "Jobs in a day", 240_000, "Jobs/day"),
    Quantity(LOAD, "starts_peak", "task starts at the peak", 9_200, "starts/s"),
    Quantity(LOAD, "running", "tasks that run", 310_000, "tasks"),
    Quantity(LOAD, "gang", "largest gang", 512, "tasks", "all start or none does"),
    Quantity(
        LOAD, "teams", "teams with quotas", 370, "teams", "a quota limits a namespace's open tasks"
    ),
    Quantity(
        LOAD,
        "regions",
        "regions",
        3,
        "regions",
        "of equal size, though equal zones do not divide so",
    ),
    Quantity(LOAD, "zones", "zones over all regions", 7, "zones", "of equal size"),
    Quantity(
        PROMISED,
        "urgent_s",
        "urgent work starts within",
        2.3,
        "s",
        "from POST to start, also at the peak",
    ),
    Quantity(
        PROMISED,
        "changes_day",
        "changes of configuration",
        14_000,
        "changes/day",
        "each is a version of the agreed rules",
    ),
    Quantity(
        PROMISED,
        "force_s",
        "a change is in force everywhere within",
        11,
        "s",
        "at each placer that is in touch with a majority of the voters; see the questions",
    ),
    Quantity(
        CONTROL,
        "control_core",
        "processor of a placer",
        0.02,
        "cores",
        "for control: membership, agreement, records; not the list, links to machines, owners",
    ),
    Quantity(CONTROL, "control_memory", "memory", 32, "MB", "held by what is for control"),
    Quantity(CONTROL, "control_bytes", "traffic", 15_000, "B/s", "sent and received together"),
    Quantity(CONTROL, "set_aside", "machines set aside", 17, "machines"),
    Quantity(TROUBLE, "failed_day", "machines that fail on an ordinary day", 160, "machines/day"),
    Quantity(
        TROUBLE,
        "replaced_day",
        "machines restarted or replaced",
        3_900,
        "machines/day",
        "each comes back cold",
    ),
    Quantity(TROUBLE, "rack_lost_days", "a rack or switch goes every", 7, "days"),
    Quantity(TROUBLE, "zone_lost_days", "a zone every", 61, "days"),
    Quantity(TROUBLE, "cut_s", "regions lose each other for", 3_600, "s"),
)

ASSUMED = (
    Quantity(TODAY, "today_machines", "machines of the standing test", 400, "machines"),
    Quantity(TODAY, "today_placers", "its placers", 16, "placers"),
    Quantity(ASSUMPTION, "day_s", "a day", DAY_S, "s"),
    Quantity(ASSUMPTION, "rack", "a rack has", 40, "machines", "the target does not say"),
    Quantity(ASSUMPTION, "switch", "a switch", 640, "machines", "the target does not say"),
    Quantity(
        ASSUMPTION,
        "changes_peak",
        "changes at their peak over the mean",
        4,
        "times",
        "as they are measured",
    ),
    Quantity(ASSUMPTION, "cold_s", "a machine is cold for", 18, "s", "as in `docs/operating.md`"),
    Quantity(ASSUMPTION, "cold_offers", "and bears then, of all placers", 20, "offers", "the same"),
    Quantity(ASSUMPTION, "cold_window_s", "within a window of", 2, "s", "the same"),
    Quantity(
        ASSUMPTION,
        "descriptors_soft",
        "a process may open",
        1_024,
        "descriptors",
        "a usual soft limit",
    ),
)

WORKED = (
    Worked(
        "placers",
        "placers, at today's ratio of machines to placers",
        "workers * today_placers / today_machines",
        "placers",
    ),
    Worked("region_placers", "placers of a region", "placers / regions", "placers"),
    Worked(
        "region_machines",
        "machines of a region, which are all that its placers list",
        "workers / regions",
        "machines",
    ),
    Worked(
        "starts_placer", "starts at the peak, for each placer", "starts_peak / placers", "starts/s"
    ),
    Worked(
        "starts_machine",
        "starts at the peak, for each machine",
        "starts_peak / workers",
        "starts/s",
    ),
    Worked("tasks_machine", "tasks that run on a machine", "running / workers", "tasks"),
    Worked("tasks_placer", "tasks that run for each placer", "running / placers", "tasks"),
    Worked("jobs_s", "Jobs a second, mean of the day", "jobs_day / day_s", "Jobs/s"),
    Worked(
        "peak_jobs",
        "starts at the peak for one Job of the mean: peak over mean times tasks in a Job",
        "starts_peak / jobs_s",
        "tasks",
    ),
    Worked(
        "peak_least",
        "peak over mean, were each Job a gang of the largest size: the least that it can be",
        "peak_jobs / gang",
        "times",
    ),
    Worked(
        "job_task_s",
        "tasks in a Job times the seconds that each runs (Little's law)",
        "running / jobs_s",
        "task-seconds",
    ),
    Worked(
        "run_s",
        "seconds that a task runs, were each Job a gang of the largest size",
        "job_task_s / gang",
        "s",
    ),
    Worked("tasks_team", "tasks that run of a team, mean", "running / teams", "tasks"),
    Worked(
        "change_s",
        "seconds from one change to the next, mean of the day",
        "day_s / changes_day",
        "s",
    ),
    Worked("changes_s", "changes a second, mean of the day", "changes_day / day_s", "changes/s"),
    Worked(
        "changes_open",
        "changes under way at a time, if each takes all the time it may",
        "force_s / change_s",
        "changes",
    ),
    Worked("failed_hour", "machines that fail in an hour", "failed_day / 24", "machines/h"),
    Worked(
        "replaced_hour",
        "machines restarted or replaced in an hour",
        "replaced_day / 24",
        "machines/h",
    ),
    Worked("zone", "machines of a zone", "workers / zones", "machines"),
    Worked("zone_tasks", "tasks that run in a zone", "running / zones", "tasks"),
    Worked("zone_placers", "placers of a zone", "placers / zones", "placers"),
    Worked(
        "placers_control",
        "placers for each machine that is set aside",
        "placers / set_aside",
        "placers",
    ),
)

SCALES = (
    Scale("today", "today (400 machines)", 400 / 13_000),
    Scale("tenth", "1/10", 0.1),
    Scale("third", "1/3", 1 / 3),
    Scale("all", "all", 1.0),
)

# What a quantity that is varied comes to at the whole target. A third of it is also one region of three.
WHOLE = {
    "machines": "workers",
    "placers": "placers",
    "tasks": "tasks_placer",
    "teams": "teams",
    "changes": "changes_day",
    "gang": "gang",
}
CONSTANT = frozenset(
    {"tasks"}
)  # of one placer: as many at each scale, as placers grow with machines

_OPERATIONS: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}


def evaluate(expression: str, known: Mapping[str, float]) -> float:
    """The value of an expression of numbers, names, + - * / ** and brackets; KeyError names what is not known."""
    return _value(ast.parse(expression, mode="eval").body, known)


def names_of(expression: str) -> list[str]:
    """The names in it, in the order in which they stand."""
    found = [
        node for node in ast.walk(ast.parse(expression, mode="eval")) if isinstance(node, ast.Name)
    ]
    return list(dict.fromkeys(node.id for node in sorted(found, key=lambda node: node.col_offset)))


def work_out(worked: tuple[Worked, ...], known: Mapping[str, float]) -> dict[str, float]:
    """All that is known, and what follows from it, each by those before it."""
    out = dict(known)
    for each in worked:
        out[each.ident] = evaluate(each.expression, out)
    return out


def figures() -> dict[str, float]:
    """The target, what is assumed, and all that follows from both, by name."""
    return dict(_figures())


@cache
def _figures() -> dict[str, float]:
    return work_out(WORKED, {each.ident: each.value for each in (*TARGET, *ASSUMED)})


def size_at(varies: str, scale: Scale) -> int:
    """How large what is varied is at a scale, rounded up; ValueError where the target says nothing of it."""
    if varies not in WHOLE:
        raise ValueError(f"the target says nothing of what is varied here: {varies!r}")
    whole = _figures()[WHOLE[varies]]
    exact = whole if varies in CONSTANT else whole * scale.share
    return -int(-round(exact, 6) // 1)


def _value(node: ast.expr, known: Mapping[str, float]) -> float:
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
        return float(node.value)
    if isinstance(node, ast.Name):
        return known[node.id]
    if isinstance(node, ast.BinOp) and type(node.op) in _OPERATIONS:
        return _OPERATIONS[type(node.op)](_value(node.left, known), _value(node.right, known))
    raise ValueError(f"not an expression of numbers and names: {ast.dump(node)[:80]}")
