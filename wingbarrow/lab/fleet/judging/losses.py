"""Judges whether the leased safe work of a lost region runs again elsewhere within the stated time.

A region is lost while none of its placers can get a grant. A loss is judged only if the placers of all other regions
were undisturbed from one lease before it until the stated time after it: a replica holder that was killed or cut off at
that time may have been lost together with the region's own copies.
"""

from __future__ import annotations

from wingbarrow.config import PlacerSettings
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.interface import Effect
from wingbarrow.lab.fleet.judging.connectivity import Reachability
from wingbarrow.lab.fleet.judging.formulas import max_reissue_delay_us
from wingbarrow.lab.fleet.judging.jobs import Job, Jobs
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict

CAPACITY_REASONS = ("OutOfcpu", "OutOfmemory", "TooManyRequests")


def judge_losses(
    run: Run, out: Verdict, settings: PlacerSettings, jobs: Jobs, reachability: Reachability
) -> None:
    """Judge each loss of a region."""
    safe = {
        name for name, each in settings.classes.items() if each.task_class.effect is Effect.SAFE
    }
    leased = [
        job
        for job in jobs.by_uid.values()
        if job.task_class in safe and run.specs.get(job.spec, {}).get("after_us")
    ]
    after_us = max((run.specs[job.spec]["after_us"] for job in leased), default=0)
    stated_us = max_reissue_delay_us(run.lease_us, after_us, 0, Timing())
    for region, names in run.regions.items():
        if len(run.regions) < 2 or not any(place[0] == region for place in run.machines.values()):
            continue
        for begin, end in intersect_spans([reachability.unreachable_spans(name) for name in names]):
            region_jobs = [
                job
                for job in leased
                if run.region_of(job.placer) == region
                and job.at_us < begin
                and _ran_only_in(run, job, region)
            ]
            within_us = (
                max_reissue_delay_us(run.lease_us, after_us, len(region_jobs), Timing())
                + run.slack_us
            )
            stated_us = max(stated_us, within_us)
            if (
                begin
                and min(end, run.end_us) >= begin + within_us
                and _others_undisturbed(run, reachability, region, begin, begin + within_us)
            ):
                for job in region_jobs:
                    _judge_reissue(out, jobs, job, begin, within_us)
    out.stated_reissue_ms = stated_us // 1000


def _judge_reissue(out: Verdict, jobs: Jobs, job: Job, lost_us: int, within_us: int) -> None:
    end = lost_us + within_us
    restarted_us = min(
        (one.at_us for one in job.task_runs if one.epoch and one.at_us > lost_us), default=NEVER
    )
    if restarted_us != NEVER:
        out.longest_reissue_ms = max(out.longest_reissue_ms, (restarted_us - lost_us) // 1000)
    finished = any(
        one.end_reason in ("done", "") and one.end_us <= end for one in job.task_runs
    ) or any(at <= end and what != "placed" for at, _, what in job.answers)
    out_of_capacity = any(
        jobs.refused.get(each.data["pod"]) in CAPACITY_REASONS
        for each in job.offers
        if each.data.get("epoch")
    )
    if restarted_us > end and not finished and not out_of_capacity:
        out.breach(
            "lost_runs",
            f"{lost_us}: {job.task} of {job.placer} was not started again within "
            f"{within_us // 1000} ms",
        )


def _ran_only_in(run: Run, job: Job, region: str) -> bool:
    """Whether all runs of a Job under its first epoch were in a region: it was not handed over to another one."""
    return all(
        run.machines.get(one.machine, [""])[0] == region for one in job.task_runs if not one.epoch
    )


def _others_undisturbed(
    run: Run, reachability: Reachability, region: str, lost_us: int, end_us: int
) -> bool:
    """Whether all placers of other regions were reachable with unimpaired links, from a lease before the loss."""
    begin = lost_us - run.lease_us
    others = [name for name in run.names if name not in run.regions[region]]
    return not any(
        gap[0] <= end_us and begin <= gap[1]
        for name in others
        for gap in reachability.unreachable_spans(name)
    ) and not any(
        each.placer in others and each.other_placer in others and each.overlaps(begin, end_us)
        for each in run.impaired_links
    )


def intersect_spans(spans: list[list[tuple[int, int]]]) -> list[tuple[int, int]]:
    """The periods that lie in a span of every list."""
    out = spans[0] if spans else []
    for other in spans[1:]:
        out = [(max(a, c), min(b, d)) for a, b in out for c, d in other if max(a, c) < min(b, d)]
    return out
