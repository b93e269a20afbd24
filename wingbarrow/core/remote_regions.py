"""Forwards Jobs to other regions by their federation spec, and admits Jobs that other regions' placers forward here.

`decide.federation.region_choice` chooses the region and `decide.regions.forwarding` is the protocol; this component
connects them with the Job store. Both placers keep a record of a forwarded task: the sender gives its client the final
answer; the receiver keeps a Job of its own, named after the forwarding ident, and reports its state changes to the
sender.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Protocol

from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.context import CoreContext
from wingbarrow.core.job_manifest import JobRequest
from wingbarrow.core.job_store import JobRecord, JobStore, State, Step, TaskRecord
from wingbarrow.core.requests import Requests
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.federation.region_choice import (
    RegionChoice,
    RegionRequest,
    RegionStatus,
    choose_region,
)
from wingbarrow.decide.federation.spec import Federation, Spec, allowed_regions
from wingbarrow.decide.regions import forwarding
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError

# Reserved within the owner's patience for returning the final answer.
ANSWER_MARGIN_US = 100_000
# The receiver's patience is shorter by this, as its answer has to cross regions.
RECEIVER_MARGIN_US = 250_000


class ForwardedJobAdmission(Protocol):
    """The part of Job admission that forwarded Jobs use."""

    def submit_forwarded(self, value: dict[str, Any], namespace: str) -> None:
        """Admit a Job. Raises ApiError where it is rejected."""

    def delete_job(self, key: str) -> dict[str, Any]:
        """Delete a Job and stop its tasks."""


class RemoteRegions:
    """Forwards tasks to placers of other regions, and admits what these forward.

    The placer sets these callbacks while it builds its components: `carry_out` sends the protocol's effects to peers,
    `region_statuses` gives the status of each region by name, `targets` the live members among the names given,
    `federation` the federation rules in force. It also sets `admission`.
    """

    def __init__(
        self,
        context: CoreContext,
        jobs: JobStore,
        objects: ApiObjects,
        requests: Requests,
        incarnation: int,
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._objects = objects
        self._requests = requests
        self.sender = forwarding.ForwardSender(context.settings.name, incarnation)
        self.receiver = forwarding.ForwardReceiver(incarnation)
        self.budget = forwarding.ForwardBudget()
        self.region_statuses: Callable[[int], Mapping[str, RegionStatus]] = lambda now_us: {}
        self.targets: Callable[[tuple[str, ...]], list[forwarding.ForwardTarget]] = lambda names: []
        self.federation: Callable[[], Federation] = Federation
        self.carry_out: Callable[[list[Effect]], None] = lambda effects: None
        self.admission: ForwardedJobAdmission | None = None
        self._forwarded: dict[str, TaskRecord] = {}  # by ident
        self._ident_by_task: dict[str, str] = {}  # by the task's name
        self._ident_by_job: dict[str, str] = {}  # of received Jobs, by key
        self._job_by_ident: dict[str, str] = {}
        # Idents whose stop arrived while their Job was being admitted.
        self._stopped_early: set[str] = set()
        jobs.state_listeners.append(self._on_state_change)

    # -- to other regions

    def route(self, request: JobRequest, spec: Spec, is_forwarded: bool) -> str:
        """Choose the region of a new Job. Raises ApiError 503 with the reason where its spec allows none now.

        A Job that was forwarded here stays here or is rejected: no Job is forwarded twice.
        """
        context, federation = self._context, self.federation()
        here = context.settings.region
        if is_forwarded:
            if here not in allowed_regions(spec, federation):
                raise ApiError(
                    503,
                    f"federation {spec.name!r} does not allow region {here}",
                    "ServiceUnavailable",
                )
            return here
        self.budget.on_first_attempt()
        choice: RegionChoice = choose_region(
            spec,
            federation,
            RegionRequest(
                request.cores, request.memory, request.task_class.task_class.effect.value, here
            ),
            self.region_statuses(context.hub.now_us()),
            context.random.random(),
        )
        if not choice.region:
            context.counts["turned_away:no region"] += 1
            raise ApiError(
                503,
                f"federation {spec.name!r} leaves no region now: {choice.reason}",
                "ServiceUnavailable",
                retry_after_s=context.random.randrange(1, 5),
            )
        if choice.region != here and not self.budget.try_acquire():
            context.counts["handing:over the budget"] += 1
            if here in allowed_regions(spec, federation):
                return here
            raise ApiError(
                503,
                "too many Jobs are handed over to other regions now",
                "ServiceUnavailable",
                retry_after_s=context.random.randrange(1, 5),
            )
        return choice.region

    def forward_job(self, job: JobRecord, due_us: int, region: str, spec: str) -> None:
        """Forward all tasks of a Job; tasks for which no target is known are rejected."""
        for task in job.tasks:
            if not self.forward_task(task, due_us, region, spec):
                task.last_outcome = f"no placer of region {region} is known"
                self._requests.reject_or_fail(self._jobs.open_request(task, due_us), Step.REFUSE)

    def forward_task(self, task: TaskRecord, due_us: int, region: str, spec: str) -> bool:
        """Forward one task; False where no placer of that region is known to be alive."""
        job = task.job
        status = self.region_statuses(self._context.hub.now_us()).get(region)
        targets = self.targets(status.placers if status is not None else ())
        self._context.random.shuffle(targets)
        is_idempotent = job.request.task_class.task_class.effect.value == "safe"
        forwarded = forwarding.ForwardedJob(
            _manifest(job), spec, is_idempotent, due_us - ANSWER_MARGIN_US
        )
        ident, effects = self.sender.begin(self._context.hub.now_us(), forwarded, targets)
        if not ident:
            return False
        self._jobs.open_request(task, due_us)
        self._forwarded[ident] = task
        self._ident_by_task[task.name] = ident
        self.carry_out(effects)
        return True

    def is_forwarded(self, task: TaskRecord) -> bool:
        """Whether a task was forwarded to another region and has not ended."""
        return task.name in self._ident_by_task

    def is_from_other_region(self, key: str) -> bool:
        """Whether a Job was forwarded to this placer."""
        return key in self._ident_by_job

    def withdraw(self, task: TaskRecord) -> bool:
        """Have the other region stop a task that its owner deleted. False where it was not forwarded."""
        ident = self._ident_by_task.pop(task.name, None)
        if ident is None:
            return False
        self._forwarded.pop(ident, None)
        self._jobs.close_request(task)
        self.carry_out(self.sender.cancel(self._context.hub.now_us(), ident))
        return True

    def _on_forward_status(self, ident: str, state: str, machine: str, words: str) -> None:
        task = self._forwarded.get(ident)
        if task is None:
            return
        task.last_outcome = words or task.last_outcome
        if state == forwarding.PLACED:
            task.machine = machine
            self._jobs.close_request(task)
            self._jobs.transition(task, Step.PLACE)
            self._context.counts["placed_elsewhere"] += 1
        elif state in (forwarding.REJECTED, forwarding.FAILED) and task.answered:
            # No receiver accepted this migration. The owner already has its answer: the task is requested here again.
            del self._forwarded[ident]
            del self._ident_by_task[task.name]
            self._jobs.close_request(task)
            self._requests.submit(task, self._context.hub.now_us() + task.job.request.patience_us)
            return
        elif state in (forwarding.REJECTED, forwarding.FAILED):
            self._requests.reject_or_fail(
                task.request, Step.REFUSE if state == forwarding.REJECTED else Step.FAIL
            )
        elif state in forwarding.RAN:
            self._jobs.transition(task, Step.DONE if state == forwarding.DONE else Step.LOSE)
        if state in forwarding.FINAL:
            del self._forwarded[ident]
            self._ident_by_task.pop(task.name, None)
        self._objects.mark_changed(task.job)
        self._objects.flush()

    # -- from other regions

    def _receive(self, ident: str, manifest: str, left_us: int) -> None:
        """Admit a forwarded Job. Runs in a task of its own, as admission may wait for a replica's acknowledgement."""
        assert self.admission is not None, "the placer sets it before anything runs"
        now = self._context.hub.now_us()
        try:
            value = names.decode(manifest)
            meta = value["metadata"]
            meta["name"] = f"handed-{names.ident(ident):013x}"
            annotations = meta.setdefault("annotations", {})
            annotations |= {
                names.HANDED: ident,
                names.PATIENCE: f"{max(0, left_us - RECEIVER_MARGIN_US) // 1000}ms",
            }
            namespace = str(meta["namespace"])
            key = f"{namespace}/{meta['name']}"
            self._ident_by_job[key] = ident
            self._job_by_ident[ident] = key
            self.admission.submit_forwarded(value, namespace)
        except (ApiError, ValueError, KeyError, TypeError, AttributeError) as error:
            self._forget(ident)
            self.carry_out(
                self.receiver.report_status(now, ident, forwarding.REJECTED, "", str(error))
            )
            return
        if ident in self._stopped_early:
            self._on_stop(ident)

    def _on_stop(self, ident: str) -> None:
        assert self.admission is not None, "the placer sets it before anything runs"
        key = self._job_by_ident.get(ident)
        if key is None:
            return
        if key not in self._jobs.jobs:
            self._stopped_early.add(ident)  # it is still being admitted
            return
        self._forget(ident)
        self.admission.delete_job(key)
        self.carry_out(
            self.receiver.report_status(
                self._context.hub.now_us(), ident, forwarding.FAILED, "", "stopped"
            )
        )

    def _forget(self, ident: str) -> None:
        self._stopped_early.discard(ident)
        key = self._job_by_ident.pop(ident, None)
        if key is not None:
            self._ident_by_job.pop(key, None)

    def _on_state_change(self, task: TaskRecord, before: State) -> None:
        """Report a task's new state to the sender of its Job, if the Job was forwarded here."""
        ident = self._ident_by_job.get(task.job.key)
        if ident is None or task.state is before:
            return
        state = {
            State.PLACED: forwarding.PLACED,
            State.ADOPTED: forwarding.PLACED,
            State.REFUSED: forwarding.REJECTED,
            State.FAILED: forwarding.FAILED,
            State.DONE: forwarding.DONE,
            State.LOST: forwarding.LOST,
            State.STOPPED: forwarding.LOST,
        }.get(task.state)
        if state is None or (state == forwarding.PLACED and before is State.RETRYING):
            return
        if state in forwarding.FINAL:
            self._forget(ident)
        where = f"{self._context.settings.region}/{task.machine}" if task.machine else ""
        self.carry_out(
            self.receiver.report_status(
                self._context.hub.now_us(), ident, state, where, task.last_outcome
            )
        )

    # -- `peers.host.Machine`

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Handle a message of the forwarding protocol."""
        if isinstance(message, forwarding.ForwardStatus):
            return self._carry_out_here(self.sender.on_message(now_us, ident, address, message))
        return self._carry_out_here(self.receiver.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handle one of the sender's timers."""
        return self._carry_out_here(self.sender.on_timer(now_us, key))

    def _carry_out_here(self, effects: list[Effect]) -> list[Effect]:
        """Handle the notifications among the effects; return the other effects for the host."""
        out: list[Effect] = []
        for each in effects:
            if not isinstance(each, Notify):
                out.append(each)
            elif each.event == "handed":
                self._on_forward_status(**each.fields)
            elif each.event == "take":
                fields = each.fields
                self._context.spawn(
                    partial(self._receive, fields["ident"], fields["manifest"], fields["left_us"]),
                    "admit a forwarded Job",
                )
            else:
                self._on_stop(each.fields["ident"])
        return out


def _manifest(job: JobRecord) -> str:
    """Encode the Job of one task, for the receiver to submit."""
    meta = job.value["metadata"]
    metadata = {key: meta[key] for key in ("labels", "annotations") if key in meta}
    spec = {
        key: part
        for key, part in job.value["spec"].items()
        if key not in ("parallelism", "completions", "completionMode")
    }
    return names.encode(
        {
            "apiVersion": "batch/v1",
            "kind": "Job",
            "metadata": {"namespace": job.request.namespace, **metadata},
            "spec": spec,
        }
    ).decode()
