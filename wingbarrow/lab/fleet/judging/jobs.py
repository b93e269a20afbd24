"""Jobs as owners and machines saw them: accepted by whom, answered how, and each start with its lease and end."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.record import Record


@dataclass(slots=True)
class TaskRun:
    """A start at a machine; `until_us`: the lease's end as the machine last told of it, 0 for none."""

    at_us: int
    machine: str
    pod: str
    uid: str
    task: str
    task_class: str
    session: str
    epoch: int
    lease_until_us: int
    end_us: int = NEVER
    end_reason: str = ""  # of its end


@dataclass(slots=True)
class Job:
    """Accepted by a placer. `spec`: the federation spec that it goes by; `answers`: (when, by whom, what)."""

    uid: str
    task: str
    task_class: str
    placer: str
    spec: str
    at_us: int
    answers: list[tuple[int, str, str]] = field(default_factory=list)
    task_runs: list[TaskRun] = field(default_factory=list)
    offers: list[Record] = field(default_factory=list)


class Jobs:
    """All of a run. What another region runs of a Job that was handed over is found by its owner's task."""

    def __init__(self, run: Run) -> None:
        self.jobs: dict[str, Job] = {}
        self.task_runs: list[TaskRun] = []
        self.refused: dict[str, str] = {}  # by pod: the reason of a machine's refusal
        self._tasks: dict[str, list[Job]] = {}
        self._first_seen: dict[str, int] = {}  # by session: when it was seen first
        running: dict[tuple[str, str], TaskRun] = {}
        for each in run.records:
            data = each.data
            if each.what == "accepted":
                job = Job(
                    data["uid"],
                    data["task"],
                    data["task_class"],
                    data["placer"],
                    data.get("federation") or run.class_specs.get(data["task_class"], ""),
                    each.at_us,
                )
                self.jobs[job.uid] = job
                self._tasks.setdefault(job.task, []).append(job)
            elif each.what == "answer" and each.where == "owner":
                if data["uid"] in self.jobs:
                    self.jobs[data["uid"]].answers.append(
                        (each.at_us, data["placer"], data["answer"])
                    )
            elif each.what == "answer" and data["status"] != 201:
                self.refused[data["pod"]] = data["reason"]
            elif each.what == "offer":
                self._first_seen.setdefault(data.get("session", ""), each.at_us)
            elif each.what == "start":
                task_run = TaskRun(
                    each.at_us,
                    each.where,
                    data["pod"],
                    _uid(data),
                    data["task"],
                    data["task_class"],
                    data.get("session", ""),
                    data.get("epoch", 0),
                    data.get("until_us", 0),
                )
                self._first_seen.setdefault(task_run.session, each.at_us)
                running[each.where, task_run.pod] = task_run
                self.task_runs.append(task_run)
            elif (
                each.what == "end"
                and (found := running.pop((each.where, data["pod"]), None)) is not None
            ):
                found.end_us, found.end_reason = each.at_us, data["why"]
                found.lease_until_us = max(found.lease_until_us, data.get("until_us", 0))
        for task_run in self.task_runs:
            owner_job = self.job_of(task_run.uid, task_run.task)
            if owner_job is not None:
                owner_job.task_runs.append(task_run)
        for each in run.records:
            if each.what == "offer" and not each.data["late"]:
                offered = self.job_of(_uid(each.data), each.data["task"])
                if offered is not None:
                    offered.offers.append(each)

    def job_of(self, uid: str, task: str) -> Job | None:
        """Whose a start is; None where that is not certain."""
        job = self.jobs.get(uid)
        if job is None:
            some = self._tasks.get(task, [])
            return some[0] if len(some) == 1 else None
        return job

    def first_seen_us(self, session: str) -> int:
        """When a session was seen first at a machine."""
        return self._first_seen.get(session, 0)


def _uid(data: dict[str, object]) -> str:
    return str(data.get("uid") or data["task"]).partition("/")[0]
