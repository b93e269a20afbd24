"""The target of the capacity page as typed constants with units, and what follows from it by arithmetic.

Nothing here is measured. A worked figure is an expression over named quantities; the page prints the expression with its
numbers, so that a reader (and a test) can work it out again.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass

DAY_S = 86_400
HOUR_S = 3_600


@dataclass(frozen=True, slots=True)
class Quantity:
    """A named number with its unit; `reading` says how an open term is taken, "" where nothing is open."""

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


TARGET = (
    Quantity("workers", "machines that run work", 13_000, "machines"),
    Quantity("jobs_day", "Jobs in a day", 240_000, "Jobs/day"),
    Quantity("starts_peak", "task starts at the peak", 9_200, "starts/s"),
    Quantity("running", "tasks that run", 310_000, "tasks"),
    Quantity(
        "gang",
        "tasks of the largest gang",
        512,
        "tasks",
        "a gang starts whole or not at all; nothing says whether its tasks may share a machine",
    ),
    Quantity("teams", "teams with quotas", 370, "teams", "a quota is a limit on open tasks of a namespace"),
    Quantity(
        "urgent_s",
        "urgent work starts within",
        2.3,
        "s",
        "from the POST to the start, at the peak, for all urgent tasks",
    ),
    Quantity("regions", "regions", 3, "regions", "of equal size"),
    Quantity("zones", "zones", 7, "zones", "of equal size, over all regions"),
    Quantity(
        "changes_day",
        "changes of configuration in a day",
        14_000,
        "changes/day",
        "each is a version of the agreed rules",
    ),
    Quantity(
        "force_s",
        "a change is in force everywhere within",
        11,
        "s",
        "at each placer that is in touch with a majority of the voters; see the questions for one that is cut off",
    ),
    Quantity(
        "control_core",
        "a placer spends for control at most",
        0.02,
        "cores",
        "for control: mail between placers, agreement, membership and records; not the list, machines' links, or owners",
    ),
    Quantity("control_memory", "and", 32, "MB", "what is resident above a placer that agrees with nobody"),
    Quantity("control_bytes", "and", 15_000, "B/s", "received and sent together, 1 KB = 1,000 B"),
    Quantity("set_aside", "machines set aside for control", 17, "machines"),
    Quantity("failed_day", "machines that fail on an ordinary day", 160, "machines/day"),
    Quantity("replaced_day", "machines restarted or replaced", 3_900, "machines/day", "each is cold when it is back"),
    Quantity("rack_lost_day", "racks or switches lost", 1 / 7, "a day"),
    Quantity("zone_lost_day", "zones lost", 1 / 61, "a day"),
    Quantity("cut_s", "regions lose each other for", 3_600, "s"),
)

ASSUMED = (
    Quantity("day_s", "a day", DAY_S, "s"),
    Quantity("today_machines", "machines today: the fleet of the standing test", 400, "machines"),
    Quantity("today_placers", "placers today", 16, "placers"),
    Quantity("rack", "machines in a rack", 40, "machines", "assumed: the target does not say"),
    Quantity("cold_s", "a machine counts as cold for", 18, "s", "as in docs/operating.md"),
    Quantity(
        "cold_offers", "offers that it bears meanwhile, from all placers, within its window", 20, "offers", "the same"
    ),
    Quantity("cold_window_s", "that window", 2, "s", "the same"),
    Quantity(
        "descriptors_soft", "descriptors that a process may open", 1_024, "descriptors", "the usual soft limit of Linux"
    ),
    Quantity("switch", "machines behind a switch", 640, "machines", "assumed: so many machines as in 16 racks"),
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
        "region_machines", "machines of a region, which are all that its placers list", "workers / regions", "machines"
    ),
    Worked("starts_placer", "starts at the peak, for each placer", "starts_peak / placers", "starts/s"),
    Worked("starts_machine", "starts at the peak, for each machine", "starts_peak / workers", "starts/s"),
    Worked("tasks_machine", "tasks that run on a machine", "running / workers", "tasks"),
    Worked("tasks_placer", "tasks that run for each placer", "running / placers", "tasks"),
    Worked("jobs_s", "Jobs a second, mean of the day", "jobs_day / day_s", "Jobs/s"),
    Worked("jobs_placer_s", "the same, for each placer", "jobs_s / placers", "Jobs/s"),
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
    Worked("run_s", "seconds that a task runs, were each Job a gang of the largest size", "job_task_s / gang", "s"),
    Worked("jobs_team_day", "Jobs of a team in a day", "jobs_day / teams", "Jobs/day"),
    Worked("tasks_team", "tasks that run of a team, mean", "running / teams", "tasks"),
    Worked("change_s", "seconds from one change to the next, mean of the day", "day_s / changes_day", "s"),
    Worked("changes_s", "changes a second, mean of the day", "changes_day / day_s", "changes/s"),
    Worked(
        "changes_open",
        "changes under way at a time, if each takes all the time it may",
        "force_s / change_s",
        "changes",
    ),
    Worked("failed_hour", "machines that fail in an hour", "failed_day / 24", "machines/h"),
    Worked("replaced_hour", "machines restarted or replaced in an hour", "replaced_day / 24", "machines/h"),
    Worked(
        "replaced_share",
        "share of the fleet that is restarted or replaced in a day",
        "replaced_day / workers",
        "of all",
    ),
    Worked("rack_share", "share of the fleet in a rack", "rack / workers", "of all"),
    Worked("switch_share", "share of the fleet behind a switch", "switch / workers", "of all"),
    Worked("zone", "machines of a zone", "workers / zones", "machines"),
    Worked("zone_tasks", "tasks that run in a zone", "running / zones", "tasks"),
    Worked("zone_placers", "placers of a zone", "placers / zones", "placers"),
    Worked(
        "control_all", "budget for control of all placers together, bytes", "control_bytes * placers / 1000000", "MB/s"
    ),
    Worked("control_cores", "budget for control of all placers together, processor", "control_core * placers", "cores"),
    Worked("placers_control", "placers for each machine that is set aside", "placers / set_aside", "placers"),
    Worked("share_control", "share of machines that is set aside", "set_aside / workers", "of all"),
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
CONSTANT = frozenset({"tasks"})  # of one placer: as many at each scale, as placers grow with machines

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
    found = [node for node in ast.walk(ast.parse(expression, mode="eval")) if isinstance(node, ast.Name)]
    return list(dict.fromkeys(node.id for node in sorted(found, key=lambda node: node.col_offset)))


def work_out(worked: tuple[Worked, ...], known: Mapping[str, float]) -> dict[str, float]:
    """All that is known, and what follows from it, each by those before it."""
    out = dict(known)
    for each in worked:
        out[each.ident] = evaluate(each.expression, out)
    return out


def figures() -> dict[str, float]:
    """The target, what is assumed, and all that follows from both, by name."""
    return work_out(WORKED, {each.ident: each.value for each in (*TARGET, *ASSUMED)})


def size_at(varies: str, scale: Scale) -> int:
    """How large what is varied is at a scale, rounded up; ValueError where the target says nothing of it."""
    if varies not in WHOLE:
        raise ValueError(f"the target says nothing of what is varied here: {varies!r}")
    whole = figures()[WHOLE[varies]]
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
