"""Limits of the whole fleet, and verdicts that closed machines."""

from __future__ import annotations

from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.outliers.health import OutlierSettings
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict
from wingbarrow.lab.fleet.quota_checks import (
    is_unfounded_closure,
    limit_violations,
    loosest_limits,
    overallocated_limits,
)


def judge_limits(run: Run, out: Verdict) -> None:
    """Whether one was passed at the sockets, or more is held at the end than there is."""
    limits = loosest_limits(run.texts.values())
    last = {
        name: [
            each["shares"]
            for each in lines
            if each["what"] == "rights" and each["at_us"] <= run.end_us
        ]
        for name, lines in run.histories.items()
    }
    shares = {
        name: found[-1]
        for name, found in last.items()
        if found and run.up[name][-1].end_us == NEVER
    }
    for words in (*limit_violations(limits, run.records), *overallocated_limits(limits, shares)):
        out.breach("limit_overs", words)
    out.turned_away = sum(
        each.what == "turned-away" and each.data["code"] == 429 for each in run.records
    )


def judge_closures(run: Run, out: Verdict) -> None:
    """Whether machines failed at as many placers as a verdict wants."""
    terms = OutlierSettings()
    window = (
        terms.window_us
        + 2 * Timing().grant_us
        + (terms.base_ejection_us << terms.max_doublings)
        + run.slack_us
    )
    first: dict[str, int] = {}  # when a verdict that still holds was heard of first
    for name, each in run.lines("verdicts"):
        at = each["at_us"]
        for machine in each["machines"]:
            out.closures += 1
            if at - first.get(machine, -NEVER) <= window - terms.window_us:
                continue  # one that came to others before, or again after its prober's turn
            first[machine] = at
            if is_unfounded_closure(
                machine,
                at,
                terms.window_us + 2 * Timing().grant_us + run.slack_us,
                terms.min_reporters,
                run.records,
            ):
                out.breach(
                    "unfounded_closures",
                    f"{at}: {name} leaves {machine} alone, which hardly anybody saw fail",
                )
