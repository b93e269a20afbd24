"""Owners: they submit Jobs to placers finished REST, watch for answers, and resubmit refused Jobs as real owners do."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.watching import call, list_all, watch
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.workload import PATIENCE_US, SECOND, Mix, TaskSpec, draw, job_value
from wingbarrow.transport import Domain, Hub, Nursery

__all__ = ["PATIENCE_US", "Mix", "Owners", "PlacerAddress", "TaskSpec", "draw", "job_value"]

RESUBMIT_DELAY_US = 1_500_000  # least delay before a task is resubmitted
MAX_SUBMISSIONS = 4  # of one task, the first included
MAX_REASON_CHARS = 200  # length at which a recorded refusal is cut


@dataclass(slots=True)
class _Submission:
    spec: TaskSpec
    name: str
    attempt: int
    answered: bool = False
    until_us: int = 0  # end of the owner's patience; 0 until its acceptance was read
    # The Job as a watch returned it before its acceptance was read.
    early: dict[str, Any] | None = None


@dataclass(slots=True)
class PlacerAddress:
    """The port on 127.0.0.1 at which a placer's front listens."""

    name: str
    port: int


class Owners:
    """All owners of a day; one watch for each placer reads the answers to all of them."""

    def __init__(self, hub: Hub, placers: list[PlacerAddress], seed: int, record: Recorder) -> None:
        self.hub = hub
        self._placers = placers
        self._random = random.Random(seed)
        self._record = record
        self._pools = [
            Pool(
                hub,
                "127.0.0.1",
                each.port,
                PoolLimits(connections=64, waiting=4096, first_byte_us=5 * SECOND),
                "owner",
            )
            for each in placers
        ]
        self._submissions: list[dict[str, _Submission]] = [{} for _ in placers]
        self.waiting: deque[TaskSpec] = deque()
        self.submitted = self.open = 0
        self.domain = Domain(hub, "owners")
        self._nursery: Nursery | None = None
        self.watch_cuts = 0
        self.relists = 0
        self.cut_watch_at_us: list[int] = []
        # Share of accepted Jobs that their owners delete within four seconds.
        self.delete_share = 0.0
        self._deletes = random.Random(seed + 1)
        self._surges = 0
        self.skip: set[int] = set()  # indexes of placers to which nothing is submitted for now
        self.on_answer: Callable[[str, str], None] = lambda _job, _answer: None

    def run(self, specs: list[TaskSpec], until_us: int) -> None:
        """Submit every task at its time; returns when all are answered, at the latest at `until_us`."""
        begin = self.hub.now_us()
        with Nursery(self.hub) as nursery:
            self._nursery = nursery
            for index in range(len(self._placers)):
                nursery.spawn(lambda index=index: self._watch(index), "owner watches")  # type: ignore[misc]
            for spec in specs:
                self.hub.sleep_until(begin + spec.at_us)
                nursery.spawn(lambda spec=spec: self._submit_task(spec, 0), "owner asks")  # type: ignore[misc]
            while self.open and self.hub.now_us() < until_us:
                self.hub.sleep(SECOND // 4)
            nursery.cancel()

    def _submit_task(self, spec: TaskSpec, attempt: int) -> None:
        self.open += 1
        try:
            for _ in range(3):
                index = self._random.choice(
                    [i for i in range(len(self._placers)) if i not in self.skip]
                )
                if self._submit(index, spec, attempt):
                    return
                self.hub.sleep(200_000 + self._random.randrange(200_000))
        finally:
            self.open -= 1

    def _submit(self, index: int, spec: TaskSpec, attempt: int) -> bool:
        """Submit a task to one placer; False if another placer may be tried.

        True if it was accepted, is invalid (422), or may have been accepted and must not start twice.
        """
        placer, patience = self._placers[index], PATIENCE_US[spec.task_class]
        self.submitted += 1
        name = f"{spec.ident}-{attempt}-{self.submitted}"
        submission = _Submission(spec, name, attempt)
        self._submissions[index][name] = submission
        body = names.encode(job_value(spec, name, patience))
        sent_us = self.hub.now_us()
        try:
            value = call(
                self._pools[index],
                "POST",
                "/apis/batch/v1/namespaces/default/jobs",
                body,
                sent_us + 2 * SECOND,
            )
        except ApiError as error:
            del self._submissions[index][name]
            self._record(
                "owner",
                "turned-away",
                placer=placer.name,
                job=name,
                code=error.code,
                why=str(error)[:MAX_REASON_CHARS],
            )
            return error.code == 422
        except CallFailed as error:
            self._record(
                "owner", "submit-failed", placer=placer.name, job=name, why=error.reason.name
            )
            # Unless nothing was sent, the placer may have accepted it: a task that must not start twice is then not
            # submitted to another placer.
            unsent = type(error).__name__ == "NotSent"
            del self._submissions[index][name]
            return not unsent and spec.task_class == "settlement"
        submission.until_us = sent_us + patience
        self.open += 1
        self._record(
            "owner",
            "accepted",
            placer=placer.name,
            job=name,
            uid=value["metadata"]["uid"],
            task=spec.ident,
            task_class=spec.task_class,
            patience_us=patience,
            sent_us=sent_us,
            federation=spec.federation,
        )
        self._process_status(index, submission.early or value)
        self._spawn(lambda: self._give_up(index, submission))
        if self.delete_share and self._deletes.random() < self.delete_share:
            uid, after = value["metadata"]["uid"], int(self._deletes.expovariate(2.0) * SECOND)
            self._spawn(lambda: self._delete(index, name, uid, min(after, 4 * SECOND)))
        return True

    def _delete(self, index: int, name: str, uid: str, after_us: int) -> None:
        """Delete a Job after a delay; retries until it is confirmed or the Job does not exist, at most 20 times."""
        self.hub.sleep(after_us)
        for _ in range(20):
            try:
                call(
                    self._pools[index],
                    "DELETE",
                    f"/apis/batch/v1/namespaces/default/jobs/{name}",
                    None,
                    self.hub.now_us() + 2 * SECOND,
                )
            except ApiError as error:
                if error.code == 404:
                    return
            except CallFailed:
                pass
            else:
                self._record(
                    "owner", "deleted", placer=self._placers[index].name, job=name, uid=uid
                )
                submission = self._submissions[index].pop(name, None)
                if submission is not None and not submission.answered:
                    submission.answered = True
                    self.open -= 1
                return
            self.hub.sleep(300_000)

    def surge(self, count: int, over_s: float, seed: int) -> None:
        """Submit about `count` more tasks within `over_s` seconds, half of the `web` tasks for four services."""
        self._surges += 1
        rng = random.Random(seed)
        for spec in draw(
            Mix(rate=count / max(0.1, over_s), services=60), over_s, seed, f"s{self._surges}-"
        ):
            concentrated = rng.random() < 0.5 and spec.task_class == "web"
            spec = replace(spec, service=f"web-{rng.randrange(4)}") if concentrated else spec
            self._spawn_at(self.hub.now_us() + spec.at_us, spec)

    def _spawn_at(self, at_us: int, spec: TaskSpec) -> None:
        def later() -> None:
            self.hub.sleep_until(at_us)
            self._submit_task(spec, 0)

        self._spawn(later)

    def _spawn(self, task: Callable[[], None]) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(task, "owner")

    def _give_up(self, index: int, submission: _Submission) -> None:
        """Stop waiting for an answer one second after the end of the owner's patience; resubmit where that is safe."""
        self.hub.sleep_until(submission.until_us + SECOND)
        if not submission.answered:
            submission.answered = True
            self.open -= 1
            self._record("owner", "gave-up", placer=self._placers[index].name, job=submission.name)
            self._submissions[index].pop(submission.name, None)
            if submission.spec.task_class != "settlement":
                self._resubmit_later(submission)

    def _watch(self, index: int) -> None:
        pool, version = self._pools[index], ""
        path = "/apis/batch/v1/jobs"
        while True:
            try:
                if not version:
                    self.relists += 1
                    items, version = list_all(pool, path, "", 500, self.hub.now_us() + 5 * SECOND)
                    for item in items:
                        self._process_status(index, item)
                target = f"{path}?watch=true&resourceVersion={version}&allowWatchBookmarks=true"
                for kind, value in watch(pool, target, self.hub.now_us() + 5 * SECOND):
                    version = value["metadata"]["resourceVersion"]
                    if kind in ("ADDED", "MODIFIED"):
                        self._process_status(index, value)
                    if self.cut_watch_at_us and self.hub.now_us() >= self.cut_watch_at_us[0]:
                        self.cut_watch_at_us.pop(0)
                        self.watch_cuts += 1
                        break
            except (CallFailed, ValueError):
                self.hub.sleep(200_000)
            except ApiError as error:
                if error.code == 410:
                    version = ""
                self.hub.sleep(200_000)

    def _process_status(self, index: int, value: dict[str, Any]) -> None:
        """Process a Job's status from a watch event, a list or the answer to its submission."""
        name = value["metadata"]["name"]
        submission = self._submissions[index].get(name)
        if submission is not None and not submission.until_us:
            submission.early = value
            return
        status = value.get("status", {})
        conditions = {each["type"]: each for each in status.get("conditions", [])}
        failed = conditions.get("Failed", {}).get("reason", "")
        answer = (
            "placed"
            if "Placed" in conditions
            else {"Refused": "refused", "Failed": "failed", "LeaseLost": "failed"}.get(failed, "")
        )
        if not answer:
            return
        self._record(
            "owner",
            "answer",
            placer=self._placers[index].name,
            job=name,
            uid=value["metadata"]["uid"],
            answer=answer,
            failed=failed,
        )
        if submission is None:
            return
        finished = "Complete" in conditions or failed
        if not submission.answered:
            submission.answered = True
            self.open -= 1
            self.on_answer(name, answer)
            if answer == "refused" or (
                answer == "failed" and submission.spec.task_class != "settlement"
            ):
                self._resubmit_later(submission)
        if finished:
            del self._submissions[index][name]

    def _resubmit_later(self, submission: _Submission) -> None:
        if submission.attempt + 1 < MAX_SUBMISSIONS:

            def later() -> None:
                self.hub.sleep(RESUBMIT_DELAY_US + self._random.randrange(SECOND))
                self._submit_task(submission.spec, submission.attempt + 1)

            self._spawn(later)
