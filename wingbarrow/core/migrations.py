"""Migration of running tasks to another region: stopped here first, then forwarded; run here again if none accepts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.job_store import OPEN, JobStore, State, TaskRecord
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.remote_regions import RemoteRegions
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.decide.federation.migration import Migration, MovableTask, due_migrations
from wingbarrow.decide.federation.spec import Federation

SCAN_INTERVAL_US = 1_000_000
MAX_SCANNED = 512  # Jobs in one scan
ABANDON_AFTER_US = 30_000_000  # a migration that was not completed within this is forgotten


@dataclass(frozen=True, slots=True)
class _Migration:
    """A task that migrates: the spec that asks for it, the target region, and the time of the decision."""

    task: TaskRecord
    spec: str
    region: str
    since_us: int


class Migrations:
    """Starts migrations that `decide.federation.migration` finds due, and owns those in progress, by task name."""

    def __init__(
        self,
        context: CoreContext,
        jobs: JobStore,
        attempts: Attempts,
        requests: Requests,
        runs: Runs,
        leased_jobs: LeasedJobs,
        remote_regions: RemoteRegions,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._requests = requests
        self._runs = runs
        self._leased_jobs = leased_jobs
        self._remote_regions = remote_regions
        self._migrating: dict[str, _Migration] = {}
        self._scan_offset = 0  # index in the list of leased Jobs at which the next scan starts
        requests.try_forward = self._try_forward
        jobs.state_listeners.append(self._on_state_change)

    def run(self) -> None:
        """Scan at intervals until cancelled."""
        while True:
            self._context.hub.sleep(SCAN_INTERVAL_US)
            self.start_due()

    def start_due(self) -> None:
        """Scan the next leased Jobs, and start the migrations that are due."""
        now = self._context.hub.now_us()
        federation = self._leased_jobs.federation()
        self._migrating = {
            name: each
            for name, each in self._migrating.items()
            if now - each.since_us < ABANDON_AFTER_US
        }
        if not self._leased_jobs.jobs or not _can_migrate(federation):
            return
        task_by_request: dict[int, TaskRecord] = {}
        runs: list[MovableTask] = []
        for task, run in self._movable_runs():
            task_by_request[run.request] = task
            runs.append(run)
        for move in due_migrations(
            runs,
            federation,
            self._context.settings.region,
            self._remote_regions.region_statuses(now),
            Counter(each.spec for each in self._migrating.values()),
        ):
            self._start(task_by_request[move.request], move, now)

    def _movable_runs(self) -> list[tuple[TaskRecord, MovableTask]]:
        """Tasks of the next MAX_SCANNED Jobs that run, do not migrate yet, and whose owner was surely answered."""
        jobs = list(self._leased_jobs.jobs.values())
        begin = self._scan_offset % len(jobs)
        scanned = (jobs[begin:] + jobs[:begin])[:MAX_SCANNED]
        self._scan_offset = begin + len(scanned)
        movable: list[tuple[TaskRecord, MovableTask]] = []
        for job in scanned:
            if job.lease is None:
                continue
            is_from_other_region = self._remote_regions.is_from_other_region(job.key)
            movable += [
                (
                    task,
                    MovableTask(
                        task.request,
                        job.lease.spec,
                        job.request.cores,
                        job.request.memory,
                        job.request.task_class.task_class.effect.value,
                        is_from_other_region,
                    ),
                )
                for task in job.tasks
                if task.state in (State.PLACED, State.ADOPTED)
                and task.name not in self._migrating
                and not task.answer_uncertain
            ]
        return movable

    def _start(self, task: TaskRecord, move: Migration, now_us: int) -> None:
        attempt = self._attempts.of(move.request)
        if attempt is None or attempt.stage is not Stage.PLACED or attempt.stopping is not None:
            return
        lease = task.job.lease
        self._migrating[task.name] = _Migration(
            task, lease.spec if lease is not None else "", move.region, now_us
        )
        self._context.counts[f"moved to another region: {move.cause}"] += 1
        self._context.log(
            "region-migration-started",
            job=task.job.key,
            task=task.index,
            region=move.region,
            why=move.cause,
        )
        self._runs.move(move.request)

    def _try_forward(self, task: TaskRecord) -> bool:
        """Forward a stopped task that is requested again, if it is migrating; whether it was forwarded."""
        migration = self._migrating.get(task.name)
        if migration is None or task.state is not State.PENDING:
            return False
        due_us = self._context.hub.now_us() + task.job.request.patience_us
        return self._remote_regions.forward_task(task, due_us, migration.region, migration.spec)

    def _on_state_change(self, task: TaskRecord, before: State) -> None:
        """Remove a migration that ended, and release the lease of a Job whose open tasks all run in another region."""
        is_placed_again = task.state is State.PLACED and before is State.PENDING
        if task.name not in self._migrating or (task.state in OPEN and not is_placed_again):
            return
        del self._migrating[task.name]
        if (
            task.state is State.PLACED
            and self._remote_regions.is_forwarded(task)
            and all(
                self._remote_regions.is_forwarded(each) or each.state not in OPEN
                for each in task.job.tasks
            )
        ):
            self._leased_jobs.release(task.job)  # the receiver holds a lease of its own


def _can_migrate(federation: Federation) -> bool:
    """Whether any spec allows running tasks to migrate."""
    return any(
        each.back.when != "never"
        or (each.failover is not None and ({"closed", "refusing"} & set(each.failover.on)))
        for each in federation.specs
    )
