"""Judges limits of the whole fleet, and outlier verdicts that closed machines."""

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
    """Judge whether the records exceed a limit, and whether more rights are held at the end than exist."""
    limits = loosest_limits(run.rule_sets.values())
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
        if found and run.lifetimes[name][-1].end_us == NEVER
    }
    for note in (*limit_violations(limits, run.records), *overallocated_limits(limits, shares)):
        out.breach("limit_overs", note)
    out.turned_away = sum(
        each.what == "turned-away" and each.data["code"] == 429 for each in run.records
    )


def judge_closures(run: Run, out: Verdict) -> None:
    """Judge whether a closed machine had start failures at as many placers as a verdict requires."""
    settings = OutlierSettings()
    window = (
        settings.window_us
        + 2 * Timing().grant_us
        + (settings.base_ejection_us << settings.max_doublings)
        + run.slack_us
    )
    first_seen: dict[str, int] = {}  # by machine: first entry of the current verdict
    for name, each in run.history_entries("verdicts"):
        at = each["at_us"]
        for machine in each["machines"]:
            out.closures += 1
            if at - first_seen.get(machine, -NEVER) <= window - settings.window_us:
                continue  # the same verdict: another placer's entry, or one renewed after a probe
            first_seen[machine] = at
            if is_unfounded_closure(
                machine,
                at,
                settings.window_us + 2 * Timing().grant_us + run.slack_us,
                settings.min_reporters,
                run.records,
            ):
                out.breach(
                    "unfounded_closures",
                    f"{at}: {name} closed {machine}, which failed at too few placers",
                )
