"""Jobs as owners and machines recorded them: acceptance, answers, offers, and each run with its lease and end."""

from __future__ import annotations

from dataclasses import dataclass, field

from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.record import Record


@dataclass(slots=True)
class TaskRun:
    """A run of a task on a machine.

    `lease_until_us`: end of the lease as the machine last recorded it, 0 without a lease. `end_us`: `NEVER` while it
    runs.
    """

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
    end_reason: str = ""


@dataclass(slots=True)
class Job:
    """A Job that a placer accepted.

    `spec`: name of its federation spec, "" if it has none. `answers`: (time, placer, answer).
    """

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
    """All Jobs of a run, by uid.

    A task run whose record lacks the uid of an accepted Job, as after a handover to another region, is matched by its
    task's name.
    """

    def __init__(self, run: Run) -> None:
        self.by_uid: dict[str, Job] = {}
        self.task_runs: list[TaskRun] = []
        self.refused: dict[str, str] = {}  # reason of the machine's refusal, by pod
        self._jobs_by_task: dict[str, list[Job]] = {}
        self._first_seen: dict[str, int] = {}  # time, by session
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
                self.by_uid[job.uid] = job
                self._jobs_by_task.setdefault(job.task, []).append(job)
            elif each.what == "answer" and each.where == "owner":
                if data["uid"] in self.by_uid:
                    self.by_uid[data["uid"]].answers.append(
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
            owner_job = self.find_job(task_run.uid, task_run.task)
            if owner_job is not None:
                owner_job.task_runs.append(task_run)
        for each in run.records:
            if each.what == "offer" and not each.data["late"]:
                offered = self.find_job(_uid(each.data), each.data["task"])
                if offered is not None:
                    offered.offers.append(each)

    def find_job(self, uid: str, task: str) -> Job | None:
        """The Job with a uid, or else the only Job with a task's name; None where there is no such Job or several."""
        job = self.by_uid.get(uid)
        if job is None:
            candidates = self._jobs_by_task.get(task, [])
            return candidates[0] if len(candidates) == 1 else None
        return job

    def first_seen_us(self, session: str) -> int:
        """When a session first appeared in an offer or a start at a machine; 0 if it never did."""
        return self._first_seen.get(session, 0)


def _uid(data: dict[str, object]) -> str:
    return str(data.get("uid") or data["task"]).partition("/")[0]
