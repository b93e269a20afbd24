"""Offers: from the module's Bind through the gate to the machine's answer."""

from __future__ import annotations

from typing import Protocol

from wingbarrow import interface as api
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.host import Host
from wingbarrow.core.job_store import JobStore, State
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.pods import Ended, pod_text
from wingbarrow.core.requests import Requests
from wingbarrow.decide import retries as again
from wingbarrow.decide.gate import Held, Offer, SendGate
from wingbarrow.transport import CancelScope

ANEW_MOST = 8  # times that a task is asked for anew


class ColdOffers(Protocol):
    """A placer's share of what cold machines may be sent."""

    def chosen(self, link: MachineLink) -> None:
        """The module has chosen a machine for an offer that is under way from now on."""

    def left(self, link: MachineLink) -> bool:
        """Whether one more offer may go to a machine now."""

    def sent(self, attempt: Attempt) -> None:
        """The first byte of an offer goes out."""


class Offers:
    """Owns the gate that every offer passes right before its first byte."""

    def __init__(
        self,
        base: Base,
        host: Host,
        book: JobStore,
        attempts: Attempts,
        machines: Machines,
        requests: Requests,
        strays: Orphans,
        rulebook: ActiveRules,
        leaseholder: LeasedJobs | None = None,
    ) -> None:
        self._rulebook, self._leaseholder = rulebook, leaseholder
        self._base, self._host, self._book, self._attempts, self._machines = (
            base,
            host,
            book,
            attempts,
            machines,
        )
        self._requests, self._strays = requests, strays
        rules = base.settings.scheduler
        self._gate = SendGate(rules.cold_us, rules.fall_us)
        self.cold: ColdOffers | None = None  # where placers hold subsets of the machines

    def bind(self, bind: api.Bind) -> None:
        """The module chose a machine: an attempt begins."""
        task, link = self._book.by_request.get(bind.request), self._machines.of(bind.machine)
        if task is None or link is None:
            # The module binds open requests to listed machines alone; should it not, the offer counts as unsent.
            self._base.counts["binds_dropped"] += 1
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
        pod = f"t{self._base.incarnation}-{bind.request}-{number}"
        attempt = Attempt(
            bind.request, number, task, link, pod, self._base.hub.now_us(), bind.give_up_us
        )
        attempt.rules, attempt.launched_us = self._rulebook.label, link.launched_us
        self._attempts.add(attempt)
        self._base.counts["binds"] += 1
        if self.cold is not None:
            self.cold.chosen(link)
        self._base.spawn(lambda: self._offer(attempt), "offer")

    def _may_send(self, attempt: Attempt) -> bool:
        """Every offer passes here right before its first byte; see decide.gate."""
        task, link, now = attempt.task, attempt.link, self._base.hub.now_us()
        held: Held | None = self._gate.check(
            now,
            Offer(
                attempt.decided_us,
                attempt.deadline_us,
                task.state is State.ASKED and task.request == attempt.request,
                attempt.stage is Stage.WAITING
                and not attempt.abandoned
                and self._attempts.of(attempt.request) is attempt,
                link.phase is api.Phase.RUNNING,
                link.launched_us,
                self._rulebook.objection_to(
                    now,
                    attempt.rules,
                    task.job.request.task_class.task_class.name,
                    link.name,
                    attempt.decided_us,
                ),
                task.job.leased is None
                or (self._leaseholder is not None and self._leaseholder.may_send(task.job)),
                chosen_launched_us=attempt.launched_us,
                cold_share_left=self.cold is None or self.cold.left(link),
            ),
        )
        if held is not None:
            self._base.counts["held:" + held.name.lower()] += 1
            attempt.held = held
            return False
        self._attempts.advance(attempt, Stage.SENT)
        link.offered_us = now
        if self.cold is not None:
            self.cold.sent(attempt)
        task.may_have_run = True
        return True

    def _offer(self, attempt: Attempt) -> None:
        task, link = attempt.task, attempt.link

        def body() -> bytes:
            return pod_text(
                task,
                attempt.key,
                self._base.settings.name,
                link.name,
                attempt.deadline_us - self._base.hub.now_us(),
                attempt.rules,
                self._leaseholder.expiry(attempt) if self._leaseholder is not None else "",
            )

        ended: Ended | None = Ended(
            api.Outcome.CANCELLED, api.Reason.UNTOLD, "withdrawn by its owner"
        )
        with CancelScope(self._base.hub) as scope:
            attempt.scope = scope
            ended = (
                self._leaseholder.before_send(attempt) if self._leaseholder is not None else None
            )
            if ended is None:
                ended = link.offer(
                    task.job.request.namespace,
                    body,
                    attempt.deadline_us,
                    lambda: self._may_send(attempt),
                )
        attempt.scope = None
        if attempt.stage is Stage.PLACED or attempt.stage is Stage.ENDED:
            return  # the machine's news was faster than its answer
        if (
            ended is not None
            and attempt.stage is Stage.WAITING
            and ended.outcome is api.Outcome.CANCELLED
        ):
            ended = Ended(api.Outcome.NOT_SENT, ended.reason, ended.words)
        elif ended is not None and attempt.stopping is again.End.STOPPED:
            # Danger: the machine's answer to a stopped offer is not its judgement; it would be rested for that.
            ended = Ended(api.Outcome.CANCELLED, ended.reason, "withdrawn by its owner")
        if ended is None:
            self.runs(attempt)
        elif self._costs_nothing(attempt):
            self._base.counts["asked_anew"] += 1
            self._requests.resubmit(attempt)
        else:
            self._failed(attempt, ended)

    def _costs_nothing(self, attempt: Attempt) -> bool:
        """Whether an offer was held for want of a share, chosen in one turn with others that used it up.

        Danger: a few of those would use up all attempts of a task for which no machine was ever asked.
        """
        task = attempt.task
        return (
            attempt.held is Held.COLD_SHARE
            and attempt.stage is Stage.WAITING
            and not task.may_have_run
            and task.job.leased is None
            and task.resubmissions < ANEW_MOST
            and task.state is State.ASKED
            and task.request == attempt.request
            and self._base.hub.now_us() < task.deadline_us
        )

    def runs(self, attempt: Attempt) -> None:
        """The machine says that the task runs."""
        task, now = attempt.task, self._base.hub.now_us()
        if task.request != attempt.request or task.state is not State.ASKED:
            # The request was answered otherwise while the offer was out: what runs now is a stray.
            self._requests.on_attempt_ended(
                attempt, api.Outcome.TIMED_OUT, api.Reason.UNTOLD, now - attempt.decided_us
            )
            self._base.counts["answers_late"] += 1
            self._strays.resolve(attempt.link, attempt.key, task.job.request.namespace, task, None)
            return
        if self._requests.may_answer_placed(attempt) and self._attempts.advance(
            attempt, Stage.PLACED
        ):
            attempt.placed_us = now
            self._requests.on_placed(attempt)

    def _failed(self, attempt: Attempt, ended: Ended) -> None:
        attempt.task.last_outcome = f"{attempt.link.name}: {ended.words}"[:300]
        self._base.counts[f"offer:{ended.outcome.value}"] += 1
        self._base.log(
            "offer-ended",
            level="debug",
            request=attempt.request,
            attempt=attempt.number,
            machine=attempt.link.name,
            outcome=ended.outcome.value,
            why=ended.words,
        )
        self._requests.on_attempt_ended(
            attempt,
            ended.outcome,
            ended.reason,
            self._base.hub.now_us() - attempt.decided_us,
            ended.words,
        )
