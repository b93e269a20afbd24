"""Sends the decision module's Binds to machines as offers, and handles the machines' replies and failures."""

from __future__ import annotations

from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.attempt_table import Stage
from wingbarrow.core.host import Host
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide import orphans
from wingbarrow.decide.gate import HoldReason, Offer, SendGate
from wingbarrow.decide.idempotency import EarlierAttempt, may_repeat
from wingbarrow.decide.retries import RunEnd
from wingbarrow.relay.early_releases import EarlyReleases
from wingbarrow.relay.link import Attempt, Attempts, Connection, Link
from wingbarrow.relay.links import Links
from wingbarrow.relay.message import BadMessage, Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.relay.outcomes import (
    AFTER_ANSWER,
    BEFORE_ANSWER,
    NOTES,
    EarlyRelease,
    classify_early_release,
    reason_of,
)
from wingbarrow.relay.owners import Owners, refusal
from wingbarrow.relay.probes import Probes
from wingbarrow.relay.tasks import RequestTable, State, Step, Task
from wingbarrow.relay.trace import Trace
from wingbarrow.settings_parser import parse_report

LIST_RECHECK_US = 2_000  # between checks whether an offer that waits for the list may be sent
# The owner of an ended task must be notified within 1 s of the machine's release ("The rules on sockets").
END_NOTICE_DELAY_US = 800_000
# Outcomes of attempts whose task certainly did not run.
NEVER_RAN = (api.Outcome.REFUSED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT)


class Offers:
    """All offers to machines; each passes the send gate immediately before its first byte is written."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        host: Host,
        requests: RequestTable,
        attempts: Attempts,
        links: Links,
        owners: Owners,
        settings: api.Settings,
        trace: Trace,
    ) -> None:
        self._trace = trace
        self._runtime, self._host, self._requests, self._attempts = (
            runtime,
            host,
            requests,
            attempts,
        )
        self._links, self._owners = links, owners
        self._gate, self._slack_us = SendGate(settings.cold_us, settings.fall_us), settings.tick_us
        self.probes = Probes(runtime, host, links)
        # Whether updates of the machine list may have arrived and not been read.
        self.list_has_stale_input: Callable[[int], bool] = lambda now_us: False
        # Whether updates may have been told that no answer of the service has brought yet.
        self.list_holds_sends: Callable[[int], bool] = lambda now_us: False
        self._early_releases = EarlyReleases()

    # -- the decision module's actions

    def bind(self, bind: api.Bind) -> None:
        """Start an attempt on the machine that the decision module chose."""
        task, link = self._requests.by_request.get(bind.request), self._links.of(bind.machine)
        number = task.binds if task else 0
        if task is None or link is None or link.closed:
            self._runtime.counts["binds_dropped"] += 1
            if task is not None:
                task.binds += 1
            # UNREACHABLE rather than NOT_SENT: the module then avoids the machine until the list updates it.
            self._host.feed(
                api.AttemptEnded(
                    bind.request,
                    number,
                    bind.machine,
                    api.Outcome.UNREACHABLE,
                    api.Reason.UNTOLD,
                    task is None,
                    0,
                    None,
                )
            )
            return
        task.binds += 1
        attempt = Attempt(
            bind.request,
            number,
            task,
            link,
            f"{task.ident:016x}/{number}",
            self._runtime.hub.now_us(),
            bind.give_up_us,
            launched_us=link.launched_us,
        )
        self._attempts.add(attempt)
        self._runtime.counts["binds"] += 1
        self._begin(attempt)

    def _begin(self, attempt: Attempt) -> None:
        link = attempt.link
        if attempt.stage is not Stage.WAITING:
            return
        connection = None if link.liveness.is_suspect else link.idle_connection()
        if connection is not None:
            self._send(attempt, connection)
        else:
            self._runtime.spawn(lambda: self._dial_and_send(attempt), "offer")

    def _dial_and_send(self, attempt: Attempt) -> None:
        link = attempt.link
        connection = link.connection_for_offer()
        if attempt.stage is not Stage.WAITING:
            return
        if connection is None:
            self._end_attempt(attempt, api.Outcome.UNREACHABLE)
        else:
            self._send(attempt, connection)

    def _may_send(self, attempt: Attempt) -> bool:
        """Whether the send gate admits the set-up; checked immediately before its first byte. See decide.gate."""
        task, link, now = attempt.task, attempt.link, self._runtime.hub.now_us()
        hold_reason: HoldReason | None = self._gate.check(
            now,
            Offer(
                attempt.decided_us,
                attempt.deadline_us,
                task.state is State.PENDING,
                attempt.stage is Stage.WAITING and self._attempts.of(attempt.request) is attempt,
                link.phase is api.Phase.RUNNING and not link.closed,
                link.launched_us,
                may_repeat=may_repeat(
                    now, task.cls, task.earlier_attempt, link.listed, self._slack_us
                ),
                chosen_launched_us=attempt.launched_us,
            ),
        )
        if hold_reason is not None:
            self._runtime.counts["held:" + hold_reason.name.lower()] += 1
        return hold_reason is None

    def _send(self, attempt: Attempt, connection: Connection) -> None:
        task, link = attempt.task, attempt.link
        if self.list_has_stale_input(self._runtime.hub.now_us()):
            # Danger (rule 3): a drain may have arrived unread. The next turn of the event loop reads the list first.
            self._runtime.counts["sends_behind_list"] += 1
            self._runtime.spawn(lambda: self._begin(attempt), "offer")
            return
        if self.list_holds_sends(self._runtime.hub.now_us()):
            # Danger (rule 3): a drain may have been told while this process stood still.
            self._runtime.counts["sends_held_for_list"] += 1
            retry_us = self._runtime.hub.now_us() + LIST_RECHECK_US
            self._runtime.hub.call_at(retry_us, lambda: self._begin(attempt))
            return
        if task.owner is not None and task.owner.has_stale_input(self._runtime.hub.now_us()):
            # Danger: the owner's close or release may have arrived unread. The attempt starts once that data is read.
            self._runtime.counts["sends_behind"] += 1
            task.owner.when_read(lambda: self._begin(attempt))
            return
        if not self._may_send(attempt):
            self._end_attempt(attempt, api.Outcome.NOT_SENT)
            return
        left_ms = max(1, (attempt.deadline_us - self._runtime.hub.now_us()) // 1000)
        values = {**task.passed_on, int(Code.PATIENCE): b"%d" % left_ms}
        self._attempts.advance(attempt, Stage.SENT)
        link.orphans.pop(task.ident, None)
        connection.open_attempts[task.ident] = attempt
        connection.used_us = self._runtime.hub.now_us()
        self._trace(
            task.ident, "sent", attempt=attempt.number, machine=link.name, line=connection.number
        )
        if not connection.write(encode(Kind.SET_UP, task.ident, values)):
            # Not written in full, so the machine cannot have received the whole message.
            connection.open_attempts.pop(task.ident, None)
            self._end_attempt(attempt, api.Outcome.UNREACHABLE)

    def abandon(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """End an attempt whose answer is no longer awaited; if it was sent, send the machine a release."""
        connection = self._connection_of(attempt)
        if attempt.stage is Stage.SENT:
            self._remember_orphan(attempt)
            data = with_cause(Kind.RELEASE, attempt.task.ident, Cause.GIVEN_UP)
            if connection is not None:
                connection.write(data)
        elif attempt.stage is Stage.WAITING:
            outcome = api.Outcome.NOT_SENT
        self._end_attempt(attempt, outcome)

    def _remember_orphan(self, attempt: Attempt) -> None:
        """Remember an abandoned offer's task, which may still run, where `decide.orphans` says to stop it."""
        if self._must_stop_orphan(attempt):
            attempt.link.remember_orphan(attempt.task.ident)

    def _must_stop_orphan(self, attempt: Attempt) -> bool:
        orphan = orphans.Orphan(attempt.task.cls.effect, True, True, False, False, False, False)
        return orphans.action_for(orphan) is orphans.OrphanAction.STOP

    def _connection_of(self, attempt: Attempt) -> Connection | None:
        ident = attempt.task.ident
        return next(
            (
                connection
                for connection in attempt.link.connections
                if connection.open_attempts.get(ident) is attempt
            ),
            None,
        )

    def _end_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason = api.Reason.UNTOLD,
        report: api.Report | None = None,
    ) -> None:
        """End an attempt and report it to the decision module; this closes the request unless its answer is pending."""
        placed, now = attempt.stage is Stage.PLACED, self._runtime.hub.now_us()
        connection = self._connection_of(attempt)
        if connection is not None:
            del connection.open_attempts[attempt.task.ident]
            connection.used_us = now
        if not self._attempts.advance(attempt, Stage.ENDED):
            return
        self._trace(
            attempt.task.ident,
            "attempt over",
            attempt=attempt.number,
            outcome=outcome.value,
            placed=placed,
        )
        attempt.link.running.pop(attempt.task.ident, None)
        if not placed and outcome not in NEVER_RAN:
            self._record_possible_run(attempt)
        if outcome is api.Outcome.ERROR and attempt.task.owner is not None:
            attempt.task.owner.activity.errors += 1
        self._runtime.counts[("run:" if placed else "offer:") + outcome.value] += 1
        closed = placed or attempt.task.state is not State.PENDING
        waited_us = now - (attempt.placed_us if placed else attempt.decided_us)
        self._host.feed(
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.link.ident,
                outcome,
                reason,
                closed,
                waited_us,
                report,
            )
        )

    def _record_possible_run(self, attempt: Attempt) -> None:
        """Remember that a task may have run, and where."""
        task, machine = attempt.task, attempt.link.listed
        task.may_have_run_on.add(machine.machine)
        if task.earlier_attempt is None:
            task.earlier_attempt = EarlierAttempt(attempt.decided_us, machine)

    # -- messages from machines

    def on_message(self, link: Link, connection: Connection, message: Message) -> bool:
        """Handle a machine's message; False for an unexpected one. Raises BadMessage if it is malformed."""
        kind, ident = message.kind, message.task
        if self._trace.enabled and kind in (Kind.ANSWER, Kind.RELEASE):
            self._trace(
                ident,
                "machine said",
                kind=int(kind),
                machine=link.name,
                line=connection.number,
                cause=int.from_bytes(message.values.get(Code.CAUSE, b""), "big"),
                codes=sorted(message.values),
            )
        attempt = connection.open_attempts.get(ident) or link.running.get(ident)
        if kind == Kind.TESTED:
            return self.probes.on_answer(link, message)
        if attempt is None:
            self._on_unknown_task(link, message)
            return False
        if kind == Kind.ANSWER and attempt.stage is not Stage.SENT:
            self._runtime.counts["answers_doubled"] += 1
            return False
        if kind == Kind.ANSWER:
            self._on_answer(attempt, connection, message)
        elif kind == Kind.RELEASE:
            self._on_release(attempt, message)
        elif kind == Kind.NOTE:
            self._on_note(attempt, message)
        return True

    def _on_answer(self, attempt: Attempt, connection: Connection, message: Message) -> None:
        description, task = message.values.get(Code.DESCRIPTION), attempt.task
        if description is None:
            raise BadMessage("the answer has no description parameter")
        del connection.open_attempts[task.ident]
        connection.used_us = self._runtime.hub.now_us()
        self._attempts.advance(attempt, Stage.PLACED)
        attempt.placed_us = connection.used_us
        attempt.link.running[task.ident] = attempt
        delivered = self._forward_answer(attempt, description)
        self._host.feed(
            api.TaskPlaced(
                task.request,
                attempt.number,
                attempt.link.ident,
                attempt.placed_us - attempt.decided_us,
            )
        )
        if not delivered and self._requests.step(task, Step.WITHDRAW):
            # The owner's connection broke in the same turn: the owner does not know that the task runs and would never
            # end it.
            self._runtime.counts["answers_unheard"] += 1
            self._host.feed(api.TaskWithdrawn(task.request))
            self.stop(attempt, RunEnd.STOPPED, Cause.GIVEN_UP)

    def _forward_answer(self, attempt: Attempt, description: bytes) -> bool:
        """Forward the machine's description to the owner, in the same turn of the event loop, as the final answer.

        False if the owner cannot have received it in full.
        """
        task, owner = attempt.task, attempt.task.owner
        self._requests.step(task, Step.START)
        self._host.cancel_timer(task.request)
        if owner is not None:
            owner.tasks.pop(task.ident, None)
            self._trace(task.ident, "answer passed on", owner=owner.number)
            if not owner.write(encode(Kind.ANSWER, task.ident, {Code.DESCRIPTION: description})):
                return False
            self._owners.on_answered(owner)
        return True

    def _on_release(self, attempt: Attempt, message: Message) -> None:
        cause = message.cause
        reason = reason_of(message)
        report = parse_report(message.text(Code.REPORT) or "-", ";")
        self._runtime.counts[f"release:{attempt.stage.name.lower()}:{cause}"] += 1
        task = attempt.task
        may_have_run_before = attempt.link.ident in task.may_have_run_on
        if attempt.stage is Stage.PLACED:
            self._end_run(
                attempt, AFTER_ANSWER.get(cause, api.Outcome.BROKEN), reason, cause, report
            )
            if may_have_run_before:
                # Danger: it may be the earlier run's release, and the later run would go on with nobody to end it.
                attempt.link.release(task.ident, Cause.CANCELLED)
            return
        meaning = classify_early_release(message, may_have_run_before)
        if meaning is EarlyRelease.AMBIGUOUS:
            # Danger (rule 2): the machine may still hold this attempt, and the next one would be out beside it.
            self._runtime.counts["releases_ambiguous"] += 1
            self.abandon(attempt, api.Outcome.BROKEN)
            return
        if meaning is EarlyRelease.ENDED_WITH_ANSWER:
            # Corresponds to the simulator's outcome "the task has ended", which closes the request.
            if task.state is State.PENDING:
                self._forward_answer(attempt, message.values[Code.DESCRIPTION])
                self._requests.step(task, Step.END)
                self._owners.delivery.release(task.ident, cause)
            self._end_attempt(attempt, api.Outcome.DONE, reason, report)
            return
        if meaning is EarlyRelease.STOPPED:
            self._runtime.counts["answers_overtaken"] += 1
            self._send_final_rejection(task, Step.FAIL, cause)
        elif meaning is EarlyRelease.ENDED:
            self._runtime.counts["answers_overtaken"] += 1
            self._schedule_end_notice(task)
        self._end_attempt(attempt, BEFORE_ANSWER.get(cause, api.Outcome.BROKEN), reason, report)

    def _schedule_end_notice(self, task: Task) -> None:
        """Notify the owner of the task's end in END_NOTICE_DELAY_US, unless another machine's reply comes first."""

        def notify() -> None:
            attempt = self._attempts.of(task.request)
            if task.state is not State.PENDING:
                return
            self._send_final_rejection(task, Step.FAIL, Cause.RESET)
            self._host.feed(api.TaskWithdrawn(task.request))
            if attempt is not None:
                self.abandon(attempt, api.Outcome.CANCELLED)

        self._runtime.hub.call_at(self._runtime.hub.now_us() + END_NOTICE_DELAY_US, notify)

    def _end_run(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason,
        cause: int,
        report: api.Report | None = None,
    ) -> None:
        """End a placed task; its owner is sent a release unless it stopped the task itself or has to resubmit it."""
        task = attempt.task
        if attempt.stopping is not None:
            outcome = api.Outcome.CANCELLED
        elif self._requests.step(task, Step.END):
            self._owners.delivery.release(task.ident, cause)
        self._end_attempt(attempt, outcome, reason, report)

    def _on_note(self, attempt: Attempt, message: Message) -> None:
        kind = NOTES.get(message.text(Code.REMARK) or "")
        try:
            level = float(message.text(Code.LEVEL) or "0")
        except ValueError:
            return
        if kind is not None:
            self._host.feed(
                api.TaskNote(attempt.request, attempt.number, attempt.link.ident, kind, level)
            )

    def _on_unknown_task(self, link: Link, message: Message) -> None:
        """Handle a message on a task without an attempt here: keep its release, stop an abandoned safe task."""
        ident = message.task
        if message.kind == Kind.RELEASE:
            link.orphans.pop(ident, None)
            cause = (message.values.get(Code.CAUSE) or bytes((Cause.RESET,)))[0]
            self._early_releases.add(self._runtime.hub.now_us(), link.ident, ident, cause)
        elif message.kind in (Kind.ANSWER, Kind.NOTE) and link.orphans.pop(ident, False) is None:
            self._runtime.counts["strays_stopped"] += 1
            link.release(ident, Cause.CANCELLED)

    def take_early_release(self, link: Link, ident: int) -> int | None:
        """Remove and return the cause of a release that came before the task was known here; None if there is none."""
        return self._early_releases.take(self._runtime.hub.now_us(), link.ident, ident)

    # -- connection failures

    def on_unanswered(self, attempt: Attempt, why: str) -> None:
        """The offer's connection ended before its answer, so the task may have run."""
        self._remember_orphan(attempt)
        self._runtime.counts["cut:" + why.partition(":")[0]] += 1
        self._end_attempt(attempt, api.Outcome.BROKEN)

    def on_unresponsive(self, link: Link) -> None:
        """End all open offers to the machine, which does not respond; placed tasks are kept."""
        self._runtime.log("machine-unresponsive", level="warning", machine=link.name)
        for connection in list(link.connections):
            link.drop(connection, "no connection comes up")

    def on_lost(self, link: Link, may_return: bool = False) -> None:
        """End all tasks on the machine; with `may_return`, queue stops for the safe ones in case it comes back."""
        if link.running:
            self._runtime.log(
                "machine-lost", level="warning", machine=link.name, running=len(link.running)
            )
        for connection in list(link.connections):
            link.drop(connection, "lost")
        for attempt in list(link.running.values()):
            self._end_run(attempt, api.Outcome.BROKEN, api.Reason.UNTOLD, Cause.RESET)
            if may_return and (attempt.stopping is not None or self._must_stop_orphan(attempt)):
                link.release(attempt.task.ident, Cause.CANCELLED)

    def on_restarted(self, link: Link, launched_us: int) -> None:
        """The machine has restarted at `launched_us`: end all tasks placed there before."""
        for attempt in list(link.running.values()):
            if attempt.placed_us < launched_us:
                self._end_run(attempt, api.Outcome.BROKEN, api.Reason.UNTOLD, Cause.RESET)

    def stop(self, attempt: Attempt, end: RunEnd, cause: int = Cause.CANCELLED) -> None:
        """Ask the machine to stop a placed task; its attempt ends with the machine's release."""
        attempt.stopping = end
        self._trace(attempt.task.ident, "stopped", machine=attempt.link.name, end=end.value)
        attempt.link.release(attempt.task.ident, cause)

    def answer(self, task: Task, step: Step, cause: int) -> None:
        """Send a negative final answer for a task that has not been placed, and abandon its attempt."""
        attempt = self._attempts.of(task.request)
        if self._send_final_rejection(task, step, cause) and attempt is not None:
            self.abandon(attempt, api.Outcome.TIMED_OUT)

    def _send_final_rejection(self, task: Task, step: Step, cause: int) -> bool:
        """Send a negative final answer for a task that has not been placed; False if it already has a final answer."""
        owner = task.owner
        if not self._requests.step(task, step):
            return False
        self._host.cancel_timer(task.request)
        if owner is not None:
            owner.tasks.pop(task.ident, None)
            owner.write(refusal(task.ident, cause))
        self._runtime.counts["answer:" + step.value] += 1
        self._trace(task.ident, "answer", step=step.value)
        return True
