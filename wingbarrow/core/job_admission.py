"""The desk: what fronts ask of the core, by whatever protocol they speak."""

from __future__ import annotations

from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.drain_schedule import DrainSchedule
from wingbarrow.core.intake import job_value, read_job
from wingbarrow.core.job_store import OPEN, JobStore, State, Step, TaskRecord
from wingbarrow.core.leased_jobs import LeaseCandidate, LeasedJobs
from wingbarrow.core.remote_regions import Elsewhere
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide import retries as again
from wingbarrow.decide.overload import Door, TurnedAway
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, not_found


def _named(value: dict[str, Any]) -> str:
    """The federation spec that a Job names, "" for none."""
    return str((value["metadata"].get("annotations") or {}).get(names.FEDERATION, ""))


class JobAdmission:
    """Owns the door; every limit on what comes in is asked here."""

    def __init__(
        self,
        base: Base,
        book: JobStore,
        attempts: Attempts,
        board: ApiObjects,
        requests: Requests,
        runs: Runs,
        stops: Stops,
        drain_schedule: DrainSchedule,
        rulebook: ActiveRules,
        leaseholder: LeasedJobs | None = None,
        elsewhere: Elsewhere | None = None,
    ) -> None:
        self._rulebook, self._leaseholder, self._elsewhere = rulebook, leaseholder, elsewhere
        self._base, self._book, self._attempts, self._board = base, book, attempts, board
        self._requests, self._runs, self._stops, self._drain_schedule = (
            requests,
            runs,
            stops,
            drain_schedule,
        )
        self._door = Door(base.settings.scheduler.tick_us)

    def look_at_door(self, came_us: int) -> None:
        """Asked of each Job before its body is read: ApiError 429 where the placer is behind."""
        away = self._door.on_wait(
            self._base.hub.now_us(), came_us, self._base.hub.lag_us(), self._book.unanswered
        )
        if away is not None:
            raise self._turned_away(away)

    def _turned_away(self, away: TurnedAway) -> ApiError:
        what = "turned_away:" + away.why.name.lower()
        self._base.counts[what] += 1
        if self._base.counts[what] % 1000 == 1:
            self._base.log(
                "job-turned-away",
                level="warning",
                why=away.why.value,
                so_far=self._base.counts[what],
            )
        return ApiError(429, away.why.value, retry_after_s=away.retry_after_s)

    def submit(
        self,
        value: dict[str, Any],
        namespace: str,
        dry_run: bool,
        came_us: int | None = None,
        handed: bool = False,
    ) -> dict[str, Any]:
        """Accept a Job; ApiError says why not, and then nothing of it is kept.

        Its owner's patience runs from `came_us`, when it had not come yet; without that from now. `handed`: by another
        placer, so that it goes no further.
        """
        base = self._base
        self._rulebook.check_contact()
        fresh = f"{base.random.randrange(36**5):05x}"[-5:]
        asked = read_job(value, namespace, base.settings.classes, base.settings.limits, fresh)
        key = f"{namespace}/{asked.name}"
        self._look_at_name(key, asked.name)
        now = base.hub.now_us()
        due = self._door.due_us(
            now,
            now if came_us is None else came_us,
            asked.patience_us,
            base.hub.lag_us(),
            self._book.unanswered,
            self._book.answers.total(),
        )
        if isinstance(due, TurnedAway):
            raise self._turned_away(due)
        self._look_at_room(namespace, asked.count)
        beyond = (
            None
            if dry_run
            else self._rulebook.use_quota_or_wait(
                namespace,
                asked.task_class.task_class.name,
                asked.count,
                now + max(0, due - now) // 3,
            )
        )
        if beyond is not None:
            base.counts["turned_away:limit"] += 1
            # Spread, so that those turned away together do not come back together.
            raise ApiError(
                429,
                f"limit {beyond.key} of the whole fleet: {beyond.most}"
                + (f" in {beyond.window_us / 1e6:g} s" if beyond.window_us else " at once"),
                retry_after_s=base.random.randrange(1, 5),
            )
        if base.hub.now_us() > now:  # it has waited for rights: others may have come meanwhile
            self._look_at_name(key, asked.name)
            self._look_at_room(namespace, asked.count)
        spec = (
            self._leaseholder.spec_for(asked, _named(value))
            if self._leaseholder is not None
            else None
        )
        here = region = base.settings.region
        if spec is not None and self._elsewhere is not None and not dry_run:
            region = self._elsewhere.route(asked, spec, handed)
        uid = names.uid(
            base.settings.name,
            base.incarnation,
            key,
            self._board.store.version,
            base.random.random(),
        )
        shown = job_value(value, asked, uid, base.hub.clock.wall_us())
        if dry_run:
            return shown
        leased = None
        if (
            spec is not None
            and spec.failover is not None
            and region == here
            and self._leaseholder is not None
        ):
            manifest = names.encode(
                {key: part for key, part in shown.items() if key != "status"}
            ).decode()
            candidate = LeaseCandidate(key, uid, asked, spec, manifest)
            leased = self._leaseholder.replicate(candidate, due)
        job = self._book.add(key, uid, asked, shown)
        if leased is not None and self._leaseholder is not None:
            self._leaseholder.accept(job, leased)
        self._board.show_new(job)
        if region != here and spec is not None and self._elsewhere is not None:
            self._elsewhere.give(job, due, region, spec.name)
            return shown
        for task in job.tasks:
            self._requests.submit(task, due)
        return shown

    def _look_at_name(self, key: str, name: str) -> None:
        if key in self._book.jobs or (
            self._leaseholder is not None and key in self._leaseholder.awaiting_replica
        ):
            raise ApiError(
                409, f'jobs.batch "{name}" already exists', "AlreadyExists", name=name, kind="jobs"
            )

    def _look_at_room(self, namespace: str, count: int) -> None:
        too_many = self._book.admission.check(namespace, count, self._stops.pending)
        if too_many is not None:
            self._base.counts["turned_away"] += 1
            self._base.log(
                "job-turned-away", level="warning", what=too_many.what, most=too_many.most
            )
            raise ApiError(
                429,
                f"more than {too_many.most} {too_many.what}",
                retry_after_s=too_many.retry_after_s,
            )

    def delete_job(self, key: str) -> dict[str, Any]:
        """Delete a Job and stop what of it runs or is on its way; the Job as it last was."""
        job = self._book.jobs.get(key)
        if job is None:
            raise not_found("jobs.batch", key.rpartition("/")[2])
        self._book.delete(job)
        for task in job.tasks:
            self._withdraw(task)
        last = self._board.jobs.delete(key)
        self._base.counts["jobs_deleted"] += 1
        return last.value if last else job.value

    def _withdraw(self, task: TaskRecord) -> None:
        state = task.state
        if state not in OPEN:
            return
        attempt = self._attempts.of(task.request)
        self._book.transition(task, Step.STOP)
        if self._elsewhere is not None and self._elsewhere.withdraw(task):
            return
        if state is State.RETRYING:
            self._runs.cancel_again(task)
        elif state is State.ASKED:
            self._requests.withdraw(task)
            if attempt is None:
                return
            attempt.abandoned = True
            if attempt.confirming and self._leaseholder is not None:
                self._leaseholder.stop(attempt)
            elif attempt.stage is Stage.SENT:
                # Danger: the offer is on its way; what it starts must not run on without an owner. One stop ends it
                # on the machine, and the offer is answered by that.
                attempt.stopping = again.End.STOPPED
                self._stops.request(
                    attempt.link,
                    task.job.request.namespace,
                    attempt.key,
                    settled=lambda: attempt.stage is Stage.ENDED,
                )
            elif attempt.scope is not None:
                attempt.scope.cancel()  # nothing went out: no call is owed
        elif attempt is not None:
            self._runs.stop(attempt, again.End.STOPPED)

    def evict(self, pod: str) -> None:
        """Move one task by its pod's name (the Eviction API); ApiError where it cannot be."""
        attempt = self._attempts.by_key.get(pod)
        if attempt is None or attempt.stage is not Stage.PLACED:
            raise not_found("pods", pod)
        if attempt.task.job.request.task_class.task_class.effect is api.Effect.UNSAFE:
            raise ApiError(
                429,
                f"{pod} is of a class that must not start twice; it is never moved",
                retry_after_s=60,
            )
        self._drain_schedule.move_task(attempt.request, "evicted through the API")

    def namespaces(self) -> list[str]:
        """Those of present Jobs, and `default`."""
        return sorted({"default", *(job.request.namespace for job in self._book.jobs.values())})

    def uid_of(self, key: str) -> str | None:
        """A Job's uid, None where there is none of that key."""
        job = self._book.jobs.get(key)
        return job.uid if job is not None else None
