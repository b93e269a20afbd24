"""Sends offers: from the decision module's Bind action through the send gate to the machine's response."""

from __future__ import annotations

from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.context import CoreContext
from wingbarrow.core.host import Host
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.machine_link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.pods import OfferFailure, encode_pod
from wingbarrow.core.requests import Requests
from wingbarrow.decide import retries
from wingbarrow.decide.gate import HoldReason, Offer, SendGate
from wingbarrow.transport import CancelScope

MAX_RESUBMISSIONS = 8  # per task


class SlowStartLimit(Protocol):
    """Limits this placer's offers to cold machines; implemented by `core.slow_start`."""

    def on_chosen(self, link: MachineLink) -> None:
        """The decision module has bound a task to a machine; the offer is now waiting to be sent."""

    def has_share(self, link: MachineLink) -> bool:
        """Whether one more offer may be sent to the machine now."""

    def on_sent(self, attempt: Attempt) -> None:
        """The first byte of an offer is about to be sent."""


class Offers:
    """Owns the gate that checks each offer before its first byte is sent.

    `slow_start` is set only where placers hold subsets of the machines.
    """

    def __init__(
        self,
        context: CoreContext,
        host: Host,
        jobs: JobStore,
        attempts: Attempts,
        machines: Machines,
        requests: Requests,
        orphans: Orphans,
        active_rules: ActiveRules,
        leased_jobs: LeasedJobs | None = None,
    ) -> None:
        self._context = context
        self._host = host
        self._jobs = jobs
        self._attempts = attempts
        self._machines = machines
        self._requests = requests
        self._orphans = orphans
        self._active_rules = active_rules
        self._leased_jobs = leased_jobs
        rules = context.settings.scheduler
        self._gate = SendGate(rules.cold_us, rules.fall_us)
        self.slow_start: SlowStartLimit | None = None

    def bind(self, bind: api.Bind) -> None:
        """Begin an attempt: the decision module chose a machine for a task."""
        task, link = self._jobs.by_request.get(bind.request), self._machines.by_ident(bind.machine)
        if task is None or link is None:
            # The module binds only open requests to listed machines. Any other bind is reported to it as not sent.
            self._context.counts["binds_dropped"] += 1
            self._host.feed(
                api.AttemptEnded(
                    bind.request,
                    task.attempts_made if task else 0,
                    bind.machine,
                    api.Outcome.NOT_SENT,
                    api.Reason.UNTOLD,
                    task is None,
                    0,
                    None,
                )
            )
            if task is not None:
                task.attempts_made += 1
            return
        number, task.attempts_made = task.attempts_made, task.attempts_made + 1
        pod = f"t{self._context.incarnation}-{bind.request}-{number}"
        attempt = Attempt(
            bind.request, number, task, link, pod, self._context.hub.now_us(), bind.give_up_us
        )
        attempt.rules_label, attempt.launched_us = self._active_rules.label, link.launched_us
        self._attempts.add(attempt)
        self._context.counts["binds"] += 1
        if self.slow_start is not None:
            self.slow_start.on_chosen(link)
        self._context.spawn(lambda: self._offer(attempt), "offer")

    def _may_send(self, attempt: Attempt) -> bool:
        """Whether the gate (`decide.gate`) lets an offer through; called immediately before its first byte is sent."""
        task, link, now = attempt.task, attempt.link, self._context.hub.now_us()
        held: HoldReason | None = self._gate.check(
            now,
            Offer(
                attempt.decided_us,
                attempt.deadline_us,
                task.state is State.PENDING and task.request == attempt.request,
                attempt.stage is Stage.WAITING
                and not attempt.abandoned
                and self._attempts.of(attempt.request) is attempt,
                link.phase is api.Phase.RUNNING,
                link.launched_us,
                self._active_rules.hold_reason(
                    now,
                    attempt.rules_label,
                    task.job.request.task_class.task_class.name,
                    link.name,
                    attempt.decided_us,
                ),
                task.job.lease is None
                or (self._leased_jobs is not None and self._leased_jobs.may_send(task.job)),
                chosen_launched_us=attempt.launched_us,
                cold_share_left=self.slow_start is None or self.slow_start.has_share(link),
            ),
        )
        if held is not None:
            self._context.counts["held:" + held.name.lower()] += 1
            attempt.hold_reason = held
            return False
        self._attempts.advance(attempt, Stage.SENT)
        link.last_offer_us = now
        if self.slow_start is not None:
            self.slow_start.on_sent(attempt)
        task.may_have_run = True
        return True

    def _offer(self, attempt: Attempt) -> None:
        task, link = attempt.task, attempt.link

        def body() -> bytes:
            return encode_pod(
                task,
                attempt.key,
                self._context.settings.name,
                link.name,
                attempt.deadline_us - self._context.hub.now_us(),
                attempt.rules_label,
                self._leased_jobs.expiry(attempt) if self._leased_jobs is not None else "",
            )

        failure: OfferFailure | None = OfferFailure(
            api.Outcome.CANCELLED, api.Reason.UNTOLD, "withdrawn by its owner"
        )
        with CancelScope(self._context.hub) as scope:
            attempt.scope = scope
            failure = (
                self._leased_jobs.before_send(attempt) if self._leased_jobs is not None else None
            )
            if failure is None:
                failure = link.offer(
                    task.job.request.namespace,
                    body,
                    attempt.deadline_us,
                    lambda: self._may_send(attempt),
                )
        attempt.scope = None
        if attempt.stage is Stage.PLACED or attempt.stage is Stage.ENDED:
            return  # the machine's watch event arrived before its response
        if (
            failure is not None
            and attempt.stage is Stage.WAITING
            and failure.outcome is api.Outcome.CANCELLED
        ):
            failure = OfferFailure(api.Outcome.NOT_SENT, failure.reason, failure.details)
        elif failure is not None and attempt.stopping is retries.RunEnd.STOPPED:
            # Danger: the response to an offer that was stopped is not a refusal. Reported as one, it would make the
            # module back off from the machine.
            failure = OfferFailure(api.Outcome.CANCELLED, failure.reason, "withdrawn by its owner")
        if failure is None:
            self.on_running(attempt)
        elif self._may_resubmit(attempt):
            self._context.counts["asked_anew"] += 1
            self._requests.resubmit(attempt)
        else:
            self._on_failed(attempt, failure)

    def _may_resubmit(self, attempt: Attempt) -> bool:
        """Whether the gate held the offer only because others, bound in the same module event, used up the cold share.

        Danger: counted as attempts, a few such offers would use up all attempts of a task that was never offered to
        any machine.
        """
        task = attempt.task
        return (
            attempt.hold_reason is HoldReason.COLD_SHARE
            and attempt.stage is Stage.WAITING
            and not task.may_have_run
            and task.job.lease is None
            and task.resubmissions < MAX_RESUBMISSIONS
            and task.state is State.PENDING
            and task.request == attempt.request
            and self._context.hub.now_us() < task.deadline_us
        )

    def on_running(self, attempt: Attempt) -> None:
        """Handle the machine's report that the attempt's task is running."""
        task, now = attempt.task, self._context.hub.now_us()
        if task.request != attempt.request or task.state is not State.PENDING:
            # The request got another final answer while the offer was in flight: the running pod is an orphan.
            self._requests.on_attempt_ended(
                attempt, api.Outcome.TIMED_OUT, api.Reason.UNTOLD, now - attempt.decided_us
            )
            self._context.counts["answers_late"] += 1
            self._orphans.resolve(attempt.link, attempt.key, task.job.request.namespace, task, None)
            return
        if self._requests.may_answer_placed(attempt) and self._attempts.advance(
            attempt, Stage.PLACED
        ):
            attempt.placed_us = now
            self._requests.on_placed(attempt)

    def _on_failed(self, attempt: Attempt, failure: OfferFailure) -> None:
        attempt.task.last_outcome = f"{attempt.link.name}: {failure.details}"[:300]
        self._context.counts[f"offer:{failure.outcome.value}"] += 1
        self._context.log(
            "offer-failed",
            level="debug",
            request=attempt.request,
            attempt=attempt.number,
            machine=attempt.link.name,
            outcome=failure.outcome.value,
            why=failure.details,
        )
        self._requests.on_attempt_ended(
            attempt,
            failure.outcome,
            failure.reason,
            self._context.hub.now_us() - attempt.decided_us,
            failure.details,
        )
