"""Judges maintenance turns: machines out at once against budgets, work on machines with tasks, and the order."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.decide.maintenance.drain_plan import PlanRules, Scope
from wingbarrow.lab.fleet.judging.formulas import MACHINE_STATE_DELAY_US
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict

URGENCY_AGE_US = 600_000_000  # each such period of waiting counts as one more level of urgency
CLOSED_STATES = ("closing", "empty", "out", "back")


@dataclass(slots=True)
class Turn:
    """A requested turn. `entered`: for each state the first time in any history."""

    number: int
    machine: str
    urgency: int
    asked_us: int
    wall_us: int  # time of the request by the queue's clock
    entered: dict[str, int] = field(default_factory=dict)

    def since_us(self, *states: str) -> int:
        """The earliest time at which it entered one of the states; `NEVER` if it did not."""
        return min(
            (self.entered[state] for state in states if state in self.entered), default=NEVER
        )


def judge_turns(run: Run, out: Verdict) -> None:
    """Judge all breaches that concern turns; without machines in the run's description none."""
    if not run.machines:
        return
    turns = {
        each["number"]: Turn(
            each["number"],
            each["machine"],
            each["urgency"],
            each["at_us"],
            each["told"].get("askedUs", 0),
        )
        for each in run.events
        if each["what"] == "turn-asked" and isinstance(each["number"], int)
    }
    out.turns = len(turns)
    for _, each in run.history_entries("turn"):
        turn = turns.setdefault(each["number"], Turn(each["number"], each["machine"], 0, NEVER, 0))
        turn.entered.setdefault("back" if each["state"] == "over" else each["state"], each["at_us"])
    for record in run.records:
        if record.what == "work-begin" and record.data["turn"] in turns:
            turns[record.data["turn"]].entered.setdefault("out", record.at_us)
    _judge_budgets(run, out, list(turns.values()))
    _judge_order(run, out, list(turns.values()))
    _judge_work(run, out)


def _judge_budgets(run: Run, out: Verdict, turns: list[Turn]) -> None:
    """Checks budgets whenever a machine goes out; machines lost for so long that any leader knows count as out."""
    for turn in turns:
        at = turn.since_us("out")
        if at == NEVER:
            continue
        machines_out = {
            each.machine
            for each in turns
            if each.since_us("out") <= at < each.since_us("back", "done")
        }
        machines_out |= _lost_machines(run, at)
        for budget in PlanRules().budgets:
            length = {Scope.CELL: 3, Scope.ZONE: 2}.get(budget.scope)
            if length is None:
                continue
            place = run.machines[turn.machine][:length]
            inside = [name for name, each in run.machines.items() if each[:length] == place]
            out_count = sum(name in machines_out for name in inside)
            max_out = budget.max_out(len(inside))
            if out_count > max_out:
                out.breach(
                    "turn_overs",
                    f"{at}: turn {turn.number} took {turn.machine} out, {out_count} of "
                    f"{'/'.join(place)} are out, {max_out} may be",
                )
                break


def _lost_machines(run: Run, at_us: int) -> set[str]:
    """Machines that had been down for at least `MACHINE_STATE_DELAY_US` at a time."""
    down: dict[str, int] = {}
    for each in run.records:
        if each.at_us > at_us:
            break
        if each.what == "die":
            down[each.where] = each.at_us
        elif each.what == "launch":
            down.pop(each.where, None)
    return {name for name, since in down.items() if since <= at_us - MACHINE_STATE_DELAY_US}


def _judge_order(run: Run, out: Verdict, turns: list[Turn]) -> None:
    """Checks that of two turns in one cell, which all budgets treat alike, the one earlier in the queue closes first.

    Judged only if both have waited for so long that any leader knows the machines' states, and neither the machines nor
    the placers of their region were disturbed lately.
    """
    for later in turns:
        at = later.since_us(*CLOSED_STATES)
        for other in turns if at != NEVER and later.asked_us != NEVER else ():
            if (
                other is later
                or run.machines[other.machine] != run.machines[later.machine]
                or other.machine == later.machine
            ):
                continue
            both_waited = (
                other.asked_us <= at - MACHINE_STATE_DELAY_US
                and other.since_us(*CLOSED_STATES, "given-back") > at + MACHINE_STATE_DELAY_US
            )
            if (
                both_waited
                and _queue_rank(other) < _queue_rank(later)
                and not any(_recently_disturbed(run, each.machine, at) for each in (other, later))
            ):
                out.breach(
                    "turn_disorder",
                    f"{at}: turn {later.number} of {later.machine} was closed before "
                    f"{other.number} of {other.machine}",
                )


def _queue_rank(turn: Turn) -> int:
    """The first part of the queue's sort key; a lower value is served first.

    Each level of urgency counts like a request made one `URGENCY_AGE_US` earlier.
    """
    return turn.wall_us // URGENCY_AGE_US - turn.urgency


def _recently_disturbed(run: Run, machine: str, at_us: int) -> bool:
    """Whether a machine, or a placer of its region, was down or had a fault lately."""
    names = run.regions.get(run.machines[machine][0], run.names)
    return any(
        each.where == machine
        and each.what in ("die", "launch")
        and at_us - 2 * MACHINE_STATE_DELAY_US <= each.at_us <= at_us
        for each in run.records
    ) or any(
        each.overlaps(at_us - 2 * MACHINE_STATE_DELAY_US, at_us, *names)
        for each in run.disturbances
    )


def _judge_work(run: Run, out: Verdict) -> None:
    """Finds work on a machine with a task, by its worker's report or by the machine's own starts and ends."""
    running: dict[str, set[str]] = {}
    worked: dict[str, int] = {}
    for each in run.records:
        where, data = each.where, each.data
        if each.what == "launch":
            running[where] = set()
        elif each.what == "start":
            running.setdefault(where, set()).add(data["pod"])
            if where in worked:
                out.breach(
                    "worked_on_busy",
                    f"{each.at_us}: {data['pod']} started on {where} in turn {worked[where]}",
                )
        elif each.what == "end":
            running.setdefault(where, set()).discard(data["pod"])
        elif each.what == "work-end":
            worked.pop(where, None)
        elif each.what == "work-begin":
            worked[where] = data["turn"]
            task_count = max(int(data["tasks"]), len(running.get(where, ())))
            if task_count:
                out.breach(
                    "worked_on_busy",
                    f"{each.at_us}: {where} was worked on in turn {data['turn']} with {task_count} "
                    "task(s) on it",
                )
