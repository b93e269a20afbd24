"""A Job's status as its owner reads it (batch/v1 JobStatus), computed from the book's counts."""

from __future__ import annotations

from typing import Any

from wingbarrow.core.job_store import JobRecord, State
from wingbarrow.kube.names import short_time


def update_job_status(job: JobRecord, wall_us: int) -> None:
    """Bring `job.value["status"]` up to date; conditions are added once and stay."""
    counts, status = job.counts, job.value.setdefault("status", {})
    figures = {
        "active": job.open_tasks,
        "ready": counts[State.PLACED] + counts[State.ADOPTED],
        "succeeded": counts[State.DONE],
        "failed": counts[State.REFUSED] + counts[State.FAILED] + counts[State.LOST],
    }
    for name, figure in figures.items():
        if figure or name in status:
            status[name] = figure
    for kind, (reason, words) in job.conditions.items():
        held = next((each for each in status.get("conditions", ()) if each["type"] == kind), None)
        if held is not None and (held["reason"], held["message"]) != (reason, words):
            status["conditions"].remove(held)
        _add(status, kind, reason, words, wall_us)
    if job.unanswered:
        return
    if job.adopted and not job.conditions:
        _add(
            status,
            "wingbarrow.io/Adopted",
            "FoundRunning",
            "found running after a restart of the placer",
            wall_us,
        )
    if counts[State.ADOPTED] and not job.adopted:
        _add(
            status,
            "wingbarrow.io/FoundRunning",
            "FoundRunning",
            "a task whose start was in doubt was found running",
            wall_us,
        )
    failed = next((state for state in (State.FAILED, State.REFUSED) if state in job.causes), None)
    # An adopted Job had its answer in a former life: what becomes of it later is a loss, never another answer.
    if failed is not None and not job.adopted and not _has(status, "Placed"):
        reason = (
            ("LeaseLost" if job.lease_lost else "Failed") if failed is State.FAILED else "Refused"
        )
        _add(status, "Failed", reason, _words(job, failed), wall_us)
    elif not job.adopted:
        _add(
            status,
            "Placed",
            "AllPlaced",
            f"{job.request.count} of {job.request.count} tasks were placed",
            wall_us,
        )
    if (
        job.open_tasks
        or _has(status, "Failed")
        or (job.lease is not None and not job.lease.session)
    ):
        return  # of a Job whose lease was ended, its notes tell what became of it
    if counts[State.DONE] == job.request.count:
        _add(status, "SuccessCriteriaMet", "CompletionsReached", "all tasks ended well", wall_us)
        _add(status, "Complete", "CompletionsReached", "all tasks ended well", wall_us)
        status["completionTime"] = short_time(wall_us)
    elif failed is not None or State.LOST in job.causes:
        _add(
            status,
            "Failed",
            "Lost",
            _words(job, State.LOST if State.LOST in job.causes else failed),
            wall_us,
        )


def _words(job: JobRecord, state: State | None) -> str:
    if state is None:
        return ""
    total = job.request.count
    told = (
        f"{job.counts[state]} of {total} tasks {state.value}"
        if total > 1
        else f"the task was {state.value}"
    )
    cause = job.causes.get(state, "")
    return f"{told}: {cause}" if cause else told


def _has(status: dict[str, Any], kind: str) -> bool:
    return any(each["type"] == kind for each in status.get("conditions", ()))


def _add(status: dict[str, Any], kind: str, reason: str, message: str, wall_us: int) -> None:
    if not _has(status, kind):
        now = short_time(wall_us)
        status.setdefault("conditions", []).append(
            {
                "type": kind,
                "status": "True",
                "reason": reason,
                "message": message,
                "lastProbeTime": now,
                "lastTransitionTime": now,
            }
        )
