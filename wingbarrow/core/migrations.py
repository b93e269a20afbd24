"""Runs that go to another region: stopped here first, then handed over; what nobody takes is asked for here again."""

from __future__ import annotations

from collections import Counter

from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.job_store import OPEN, JobStore, State, TaskRecord
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.remote_regions import RemoteRegions
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.decide.federation.moving import Run, moves

SCAN_INTERVAL_US = 1_000_000
MAX_SCANNED = 512  # runs that are looked at in one turn
ABANDON_AFTER_US = 30_000_000  # a move that has come to nothing for so long is forgotten


class Migrations:
    """Owns which tasks are on their way, by name."""

    def __init__(
        self,
        base: Base,
        book: JobStore,
        attempts: Attempts,
        requests: Requests,
        runs: Runs,
        holder: LeasedJobs,
        elsewhere: RemoteRegions,
    ) -> None:
        self._base, self._attempts, self._requests, self._runs = base, attempts, requests, runs
        self._leased_jobs, self._remote_regions = holder, elsewhere
        self._migrating: dict[
            str, tuple[TaskRecord, str, str, int]
        ] = {}  # task, spec, region, since when
        self._scan_offset = 0  # where the next look at all runs begins
        requests.try_forward = self._try_forward
        book.state_listeners.append(self._on_state_change)

    def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            self._base.hub.sleep(SCAN_INTERVAL_US)
            self.start_due()

    def start_due(self) -> None:
        """Have go what is to go now."""
        now, federation = self._base.hub.now_us(), self._leased_jobs.federation()
        self._migrating = {
            name: each for name, each in self._migrating.items() if now - each[3] < ABANDON_AFTER_US
        }
        jobs = list(self._leased_jobs.jobs.values())
        if not jobs or not any(
            each.back.when != "never"
            or (each.failover is not None and ({"closed", "refusing"} & set(each.failover.on)))
            for each in federation.specs
        ):
            return
        begin = self._scan_offset % len(jobs)
        some = (jobs[begin:] + jobs[:begin])[:MAX_SCANNED]
        self._scan_offset = begin + len(some)
        standing: list[tuple[TaskRecord, Run]] = []
        for job in some:
            if job.leased is None:
                continue
            afar = self._remote_regions.is_from_other_region(job.key)
            for task in job.tasks:
                if (
                    task.state in (State.PLACED, State.ADOPTED)
                    and task.name not in self._migrating
                    and not task.answer_uncertain
                ):
                    standing.append(
                        (
                            task,
                            Run(
                                task.request,
                                job.leased.spec,
                                job.request.cores,
                                job.request.memory,
                                job.request.task_class.task_class.effect.value,
                                afar,
                            ),
                        )
                    )
        by_number = {run.number: task for task, run in standing}
        under_way = Counter(spec for _, spec, _, _ in self._migrating.values())
        for move in moves(
            (run for _, run in standing),
            federation,
            self._base.settings.region,
            self._remote_regions.region_news(now),
            under_way,
        ):
            task, attempt = by_number[move.number], self._attempts.of(move.number)
            if attempt is None or attempt.stage is not Stage.PLACED or attempt.stopping is not None:
                continue
            leased = task.job.leased
            self._migrating[task.name] = (
                task,
                leased.spec if leased is not None else "",
                move.region,
                now,
            )
            self._base.counts[f"moved to another region: {move.why}"] += 1
            self._base.log(
                "moves-region", job=task.job.key, task=task.index, region=move.region, why=move.why
            )
            self._runs.move(move.number)

    def _try_forward(self, task: TaskRecord) -> bool:
        """A task is asked for again: whether it is handed over instead."""
        bound = self._migrating.get(task.name)
        if bound is None or task.state is not State.ASKED:
            return False
        _, spec, region, _ = bound
        due = self._base.hub.now_us() + task.job.request.patience_us
        return self._remote_regions.forward_task(task, due, region, spec)

    def _on_state_change(self, task: TaskRecord, before: State) -> None:
        if task.name in self._migrating and (
            task.state not in OPEN or (task.state is State.PLACED and before is State.ASKED)
        ):
            del self._migrating[task.name]
            if (
                task.state is State.PLACED
                and self._remote_regions.is_forwarded(task)
                and all(
                    self._remote_regions.is_forwarded(each) or each.state not in OPEN
                    for each in task.job.tasks
                )
            ):
                self._leased_jobs.release(task.job)  # who took it leases it by itself
