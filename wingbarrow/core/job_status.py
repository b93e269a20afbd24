"""The status of a Job that its owner reads (batch/v1 JobStatus), computed from the Job's counts of tasks by state."""

from __future__ import annotations

from typing import Any

from wingbarrow.core.job_store import JobRecord, State
from wingbarrow.kube.names import short_time


def update_job_status(job: JobRecord, wall_us: int) -> None:
    """Update `job.value["status"]` at the Unix time `wall_us`.

    A condition is added once and kept; only those in `job.conditions` are replaced when they change.
    """
    counts, status = job.counts, job.value.setdefault("status", {})
    counters = {
        "active": job.open_tasks,
        "ready": counts[State.PLACED] + counts[State.ADOPTED],
        "succeeded": counts[State.DONE],
        "failed": counts[State.REFUSED] + counts[State.FAILED] + counts[State.LOST],
    }
    for name, count in counters.items():
        if count or name in status:
            status[name] = count
    for kind, (reason, message) in job.conditions.items():
        old = next((each for each in status.get("conditions", ()) if each["type"] == kind), None)
        if old is not None and (old["reason"], old["message"]) != (reason, message):
            status["conditions"].remove(old)
        _add_condition(status, kind, reason, message, wall_us)
    if job.unanswered:
        return
    if job.adopted and not job.conditions:
        _add_condition(
            status,
            "wingbarrow.io/Adopted",
            "FoundRunning",
            "found running after a restart of the placer",
            wall_us,
        )
    if counts[State.ADOPTED] and not job.adopted:
        _add_condition(
            status,
            "wingbarrow.io/FoundRunning",
            "FoundRunning",
            "a task whose start was in doubt was found running",
            wall_us,
        )
    failed = next((state for state in (State.FAILED, State.REFUSED) if state in job.causes), None)
    # An adopted Job was answered by an earlier incarnation: a task that ends badly now is lost, not answered again.
    if failed is not None and not job.adopted and not _has_condition(status, "Placed"):
        reason = (
            ("LeaseLost" if job.lease_lost else "Failed") if failed is State.FAILED else "Refused"
        )
        _add_condition(status, "Failed", reason, _failure_message(job, failed), wall_us)
    elif not job.adopted:
        _add_condition(
            status,
            "Placed",
            "AllPlaced",
            f"{job.request.count} of {job.request.count} tasks were placed",
            wall_us,
        )
    # Where a Job's lease has ended, its additional conditions say what happened to it.
    if (
        job.open_tasks
        or _has_condition(status, "Failed")
        or (job.lease is not None and not job.lease.session)
    ):
        return
    if counts[State.DONE] == job.request.count:
        _add_condition(
            status, "SuccessCriteriaMet", "CompletionsReached", "all tasks ended well", wall_us
        )
        _add_condition(status, "Complete", "CompletionsReached", "all tasks ended well", wall_us)
        status["completionTime"] = short_time(wall_us)
    elif failed is not None or State.LOST in job.causes:
        _add_condition(
            status,
            "Failed",
            "Lost",
            _failure_message(job, State.LOST if State.LOST in job.causes else failed),
            wall_us,
        )


def _failure_message(job: JobRecord, state: State | None) -> str:
    if state is None:
        return ""
    total = job.request.count
    summary = (
        f"{job.counts[state]} of {total} tasks {state.value}"
        if total > 1
        else f"the task was {state.value}"
    )
    cause = job.causes.get(state, "")
    return f"{summary}: {cause}" if cause else summary


def _has_condition(status: dict[str, Any], kind: str) -> bool:
    return any(each["type"] == kind for each in status.get("conditions", ()))


def _add_condition(
    status: dict[str, Any], kind: str, reason: str, message: str, wall_us: int
) -> None:
    if not _has_condition(status, kind):
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
