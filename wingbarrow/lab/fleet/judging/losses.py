"""What becomes of the leased safe work of a region that is lost: it runs again elsewhere within the stated time.

A region is lost while none of its placers could be granted anything. It is judged where everybody else was well from a
lease before it until the stated time after: a keeper that was killed, or cut off, may have gone with the region.
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
    run: Run, out: Verdict, settings: PlacerSettings, jobs: Jobs, reach: Reachability
) -> None:
    """Each region's losses."""
    safe = {
        name for name, each in settings.classes.items() if each.task_class.effect is Effect.SAFE
    }
    leased = [
        job
        for job in jobs.jobs.values()
        if job.task_class in safe and run.specs.get(job.spec, {}).get("after_us")
    ]
    after_us = max((run.specs[job.spec]["after_us"] for job in leased), default=0)
    stated = max_reissue_delay_us(run.lease_us, after_us, 0, Timing())
    for region, names in run.regions.items():
        if len(run.regions) < 2 or not any(place[0] == region for place in run.machines.values()):
            continue
        for begin, end in intersect_spans([reach.unreachable_spans(name) for name in names]):
            held = [
                job
                for job in leased
                if run.region_of(job.placer) == region
                and job.at_us < begin
                and _ran_only_in(run, job, region)
            ]
            within = (
                max_reissue_delay_us(run.lease_us, after_us, len(held), Timing()) + run.slack_us
            )
            stated = max(stated, within)
            if (
                begin
                and min(end, run.end_us) >= begin + within
                and _others_undisturbed(run, reach, region, begin, begin + within)
            ):
                for job in held:
                    _judge_reissue(out, jobs, job, begin, within)
    out.stated_reissue_ms = stated // 1000


def _judge_reissue(out: Verdict, jobs: Jobs, job: Job, lost_us: int, within_us: int) -> None:
    end = lost_us + within_us
    again = min(
        (one.at_us for one in job.task_runs if one.epoch and one.at_us > lost_us), default=NEVER
    )
    if again != NEVER:
        out.longest_reissue_ms = max(out.longest_reissue_ms, (again - lost_us) // 1000)
    over = any(
        one.end_reason in ("done", "") and one.end_us <= end for one in job.task_runs
    ) or any(at <= end and what != "placed" for at, _, what in job.answers)
    full = any(
        jobs.refused.get(each.data["pod"]) in CAPACITY_REASONS
        for each in job.offers
        if each.data.get("epoch")
    )
    if again > end and not over and not full:
        out.breach(
            "lost_runs",
            f"{lost_us}: {job.task} of {job.placer} was not started again within "
            f"{within_us // 1000} ms",
        )


def _ran_only_in(run: Run, job: Job, region: str) -> bool:
    """Whether it was not handed over to another region before."""
    return all(
        run.machines.get(one.machine, [""])[0] == region for one in job.task_runs if not one.epoch
    )


def _others_undisturbed(
    run: Run, reach: Reachability, region: str, lost_us: int, end_us: int
) -> bool:
    """Whether everybody else was, all the time that counts."""
    begin = lost_us - run.lease_us
    others = [name for name in run.names if name not in run.regions[region]]
    return not any(
        gap[0] <= end_us and begin <= gap[1]
        for name in others
        for gap in reach.unreachable_spans(name)
    ) and not any(
        each.placer in others and each.other_placer in others and each.overlaps(begin, end_us)
        for each in run.impaired_links
    )


def intersect_spans(spans: list[list[tuple[int, int]]]) -> list[tuple[int, int]]:
    """The times that lie in one span of each list."""
    out = spans[0] if spans else []
    for some in spans[1:]:
        out = [(max(a, c), min(b, d)) for a, b in out for c, d in some if max(a, c) < min(b, d)]
    return out
