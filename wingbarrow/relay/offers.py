"""From the module's Bind through the gate to the machine, and what machines say back to the module and owners."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.core.attempt_table import Stage
from wingbarrow.core.host import Host
from wingbarrow.core.life import Life
from wingbarrow.decide import orphans
from wingbarrow.decide.gate import HoldReason, Offer, SendGate
from wingbarrow.decide.idempotency import EarlierAttempt, may_repeat
from wingbarrow.decide.retries import RunEnd
from wingbarrow.relay.links import Attempt, Attempts, Line, Link, Links
from wingbarrow.relay.message import BadMessage, Cause, Code, Kind, Message, encode, with_cause
from wingbarrow.relay.outcomes import (
    AFTER_ANSWER,
    BEFORE_ANSWER,
    NOTES,
    Unanswered,
    reason_of,
    unanswered,
)
from wingbarrow.relay.owners import Owners, refusal
from wingbarrow.relay.probes import Probes
from wingbarrow.relay.tasks import RequestTable, State, Step, Task
from wingbarrow.relay.trace import Trace
from wingbarrow.settings_parser import parse_report

# After a start a machine may release a task before its owner has named it here.
EARLY_US, MAX_EARLY = 8_500_000, 1024
# What has stood and is over is told to its owner within 1 s of the machine's release ("The rules on sockets").
TOLD_US = 800_000
UNRUN = (
    api.Outcome.REFUSED,
    api.Outcome.UNREACHABLE,
    api.Outcome.NOT_SENT,
)  # what surely never ran


class Offers:
    """Owns the gate that every set-up passes right before its first byte."""

    def __init__(
        self,
        life: Life,
        host: Host,
        requests: RequestTable,
        attempts: Attempts,
        links: Links,
        owners: Owners,
        settings: api.Settings,
        trace: Trace,
    ) -> None:
        self._trace = trace
        self._life, self._host, self._requests, self._attempts = life, host, requests, attempts
        self._links, self._owners = links, owners
        self._gate, self._slack_us = SendGate(settings.cold_us, settings.fall_us), settings.tick_us
        self.probes = Probes(life, host, links)
        self.list_behind: Callable[[int], bool] = (
            lambda now_us: False
        )  # whether news of machines may lie unread
        # Releases of what nobody here knew, by machine and id: their cause, and until when they are remembered.
        self._early: OrderedDict[tuple[int, int], tuple[int, int]] = OrderedDict()

    # -- what the module decides

    def bind(self, bind: api.Bind) -> None:
        """The module chose a machine: an attempt begins."""
        task, link = self._requests.by_request.get(bind.request), self._links.of(bind.machine)
        number = task.binds if task else 0
        if task is None or link is None or link.closed:
            self._life.counts["binds_dropped"] += 1
            if task is not None:
                task.binds += 1
            # Out of reach, not just unsent: the module lets such a machine rest until the list tells more of it.
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
            self._life.hub.now_us(),
            bind.give_up_us,
            launched_us=link.launched_us,
        )
        self._attempts.add(attempt)
        self._life.counts["binds"] += 1
        self._begin(attempt)

    def _begin(self, attempt: Attempt) -> None:
        link = attempt.link
        if attempt.stage is not Stage.WAITING:
            return
        line = None if link.liveness.is_suspect else link.free_line()
        if line is not None:
            self._send(attempt, line)
        else:
            self._life.spawn(lambda: self._dial_and_send(attempt), "offer")

    def _dial_and_send(self, attempt: Attempt) -> None:
        link = attempt.link
        line = link.line_for_offer()
        if attempt.stage is not Stage.WAITING:
            return
        if line is None:
            self._over(attempt, api.Outcome.UNREACHABLE)
        else:
            self._send(attempt, line)

    def _may_send(self, attempt: Attempt) -> bool:
        """Every set-up passes here right before its first byte; see decide.gate."""
        task, link, now = attempt.task, attempt.link, self._life.hub.now_us()
        held: HoldReason | None = self._gate.check(
            now,
            Offer(
                attempt.decided_us,
                attempt.deadline_us,
                task.state is State.ASKED,
                attempt.stage is Stage.WAITING and self._attempts.of(attempt.request) is attempt,
                link.phase is api.Phase.RUNNING and not link.closed,
                link.launched_us,
                may_repeat=may_repeat(now, task.cls, task.earlier, link.listed, self._slack_us),
                chosen_launched_us=attempt.launched_us,
            ),
        )
        if held is not None:
            self._life.counts["held:" + held.name.lower()] += 1
        return held is None

    def _send(self, attempt: Attempt, line: Line) -> None:
        task, link = attempt.task, attempt.link
        if self.list_behind(self._life.hub.now_us()):
            # Danger (rule 3): a drain may lie unread; it is read before whatever is ready in the next turn.
            self._life.counts["sends_behind_list"] += 1
            self._life.spawn(lambda: self._begin(attempt), "offer")
            return
        if task.owner is not None and task.owner.has_stale_input(self._life.hub.now_us()):
            # Danger: its owner may have gone or given up, unread here; the attempt begins once that is known.
            self._life.counts["sends_behind"] += 1
            task.owner.when_read(lambda: self._begin(attempt))
            return
        if not self._may_send(attempt):
            self._over(attempt, api.Outcome.NOT_SENT)
            return
        left_ms = max(1, (attempt.deadline_us - self._life.hub.now_us()) // 1000)
        values = {**task.passed_on, int(Code.PATIENCE): b"%d" % left_ms}
        self._attempts.advance(attempt, Stage.SENT)
        link.strays.pop(task.ident, None)
        line.out[task.ident] = attempt
        line.used_us = self._life.hub.now_us()
        self._trace(task.ident, "sent", attempt=attempt.number, machine=link.name, line=line.number)
        if not line.write(encode(Kind.SET_UP, task.ident, values)):
            # Not wholly written: it cannot have come whole to the machine.
            line.out.pop(task.ident, None)
            self._over(attempt, api.Outcome.UNREACHABLE)

    def abandon(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Nobody waits for its answer any longer: given up on the wire, and over."""
        line = self._line_of(attempt)
        if attempt.stage is Stage.SENT:
            self._may_run(attempt)
            data = with_cause(Kind.RELEASE, attempt.task.ident, Cause.GIVEN_UP)
            if line is not None:
                line.write(data)
        elif attempt.stage is Stage.WAITING:
            outcome = api.Outcome.NOT_SENT
        self._over(attempt, outcome)

    def _may_run(self, attempt: Attempt) -> None:
        """An offer that nobody waits for may run all the same: should it show up, do what `decide.orphans` says."""
        if self._is_stopped(attempt):
            attempt.link.remember_stray(attempt.task.ident)

    def _is_stopped(self, attempt: Attempt) -> bool:
        sight = orphans.Orphan(attempt.task.cls.effect, True, True, False, False, False, False)
        return orphans.action_for(sight) is orphans.OrphanAction.STOP

    def _line_of(self, attempt: Attempt) -> Line | None:
        ident = attempt.task.ident
        return next((line for line in attempt.link.lines if line.out.get(ident) is attempt), None)

    def _over(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason = api.Reason.UNTOLD,
        report: api.Report | None = None,
    ) -> None:
        """Tell the module that an attempt is over; the request too, unless its answer is still pending."""
        placed, now = attempt.stage is Stage.PLACED, self._life.hub.now_us()
        line = self._line_of(attempt)
        if line is not None:
            del line.out[attempt.task.ident]
            line.used_us = now
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
        if not placed and outcome not in UNRUN and attempt.task.earlier is None:
            attempt.task.earlier = EarlierAttempt(attempt.decided_us, attempt.link.listed)
        if outcome is api.Outcome.ERROR and attempt.task.owner is not None:
            attempt.task.owner.connection.errors += 1
        self._life.counts[("run:" if placed else "offer:") + outcome.value] += 1
        closed = placed or attempt.task.state is not State.ASKED
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

    # -- what machines say

    def message(self, link: Link, line: Line, message: Message) -> None:
        """A machine's message; what is not expected changes nothing."""
        kind, ident = message.kind, message.task
        if self._trace.on and kind in (Kind.ANSWER, Kind.RELEASE):
            self._trace(
                ident,
                "machine said",
                kind=int(kind),
                machine=link.name,
                line=line.number,
                cause=int.from_bytes(message.values.get(Code.CAUSE, b""), "big"),
                codes=sorted(message.values),
            )
        attempt = line.out.get(ident) or link.running.get(ident)
        if kind == Kind.TESTED:
            self.probes.answered(link, message)
        elif attempt is None:
            self._stray(link, message)
        elif kind == Kind.ANSWER:
            self._answered(attempt, line, message)
        elif kind == Kind.RELEASE:
            self._released(attempt, message)
        elif kind == Kind.NOTE:
            self._note(attempt, message)

    def _answered(self, attempt: Attempt, line: Line, message: Message) -> None:
        if attempt.stage is not Stage.SENT:
            self._life.counts["answers_doubled"] += 1
            return
        description, task = message.values.get(Code.DESCRIPTION), attempt.task
        if description is None:
            raise BadMessage("an answer without a description")
        del line.out[task.ident]
        line.used_us = self._life.hub.now_us()
        self._attempts.advance(attempt, Stage.PLACED)
        attempt.placed_us = line.used_us
        attempt.link.running[task.ident] = attempt
        reached = self._pass_on(attempt, description)
        self._host.feed(
            api.TaskPlaced(
                task.request,
                attempt.number,
                attempt.link.ident,
                attempt.placed_us - attempt.decided_us,
            )
        )
        if not reached and self._requests.step(task, Step.WITHDRAW):
            # Its owner's connection broke in this very turn: nobody was told that it stands, and nobody would end it.
            self._life.counts["answers_unheard"] += 1
            self._host.feed(api.TaskWithdrawn(task.request))
            self.stop(attempt, RunEnd.STOPPED, Cause.GIVEN_UP)

    def _pass_on(self, attempt: Attempt, description: bytes) -> bool:
        """The final answer: the machine's description goes to the owner in the turn in which it came.

        False where it cannot have come whole to its owner.
        """
        task, owner = attempt.task, attempt.task.owner
        self._requests.step(task, Step.START)
        self._host.cancel_timer(task.request)
        if owner is not None:
            owner.tasks.pop(task.ident, None)
            self._trace(task.ident, "answer passed on", owner=owner.number)
            if not owner.write(encode(Kind.ANSWER, task.ident, {Code.DESCRIPTION: description})):
                return False
            self._owners.mark_proven(owner)
        return True

    def _released(self, attempt: Attempt, message: Message) -> None:
        cause = message.cause
        reason = reason_of(message)
        report = parse_report(message.text(Code.REPORT) or "-", ";")
        self._life.counts[f"release:{attempt.stage.name.lower()}:{cause}"] += 1
        if attempt.stage is Stage.PLACED:
            self._ended(attempt, AFTER_ANSWER.get(cause, api.Outcome.BROKEN), reason, cause, report)
            return
        task, meaning = attempt.task, unanswered(message)
        if meaning is Unanswered.ENDED_WITH_ANSWER:
            # It is the simulator's outcome "the task has ended", which closes the request.
            if task.state is State.ASKED:
                self._pass_on(attempt, message.values[Code.DESCRIPTION])
                self._requests.step(task, Step.END)
                self._owners.release(task.ident, cause)
            self._over(attempt, api.Outcome.DONE, reason, report)
            return
        if meaning is Unanswered.CUT:
            self._life.counts["answers_overtaken"] += 1
            self._close(task, Step.FAIL, cause)
        elif meaning is Unanswered.ENDED:
            self._life.counts["answers_overtaken"] += 1
            self._tell_end_in_time(task)
        self._over(attempt, BEFORE_ANSWER.get(cause, api.Outcome.BROKEN), reason, report)

    def _tell_end_in_time(self, task: Task) -> None:
        """Another machine may say that the task has come to its end, until the owner has to be told of it."""

        def due() -> None:
            attempt = self._attempts.of(task.request)
            if task.state is not State.ASKED:
                return
            self._close(task, Step.FAIL, Cause.RESET)
            self._host.feed(api.TaskWithdrawn(task.request))
            if attempt is not None:
                self.abandon(attempt, api.Outcome.CANCELLED)

        self._life.hub.call_at(self._life.hub.now_us() + TOLD_US, due)

    def _ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        reason: api.Reason,
        cause: int,
        report: api.Report | None = None,
    ) -> None:
        """A task that stood is over: its owner is told, unless it ended it or was told to come again."""
        task = attempt.task
        if attempt.stopping is not None:
            outcome = api.Outcome.CANCELLED
        elif self._requests.step(task, Step.END):
            self._owners.release(task.ident, cause)
        self._over(attempt, outcome, reason, report)

    def _note(self, attempt: Attempt, message: Message) -> None:
        kind = NOTES.get(message.text(Code.REMARK) or "")
        try:
            level = float(message.text(Code.LEVEL) or "0")
        except ValueError:
            return
        if kind is not None:
            self._host.feed(
                api.TaskNote(attempt.request, attempt.number, attempt.link.ident, kind, level)
            )

    def _stray(self, link: Link, message: Message) -> None:
        """News of what nobody here waits for: a safe task that was given up only takes room."""
        ident = message.task
        if message.kind == Kind.RELEASE:
            link.strays.pop(ident, None)
            now = self._life.hub.now_us()
            cause = (message.values.get(Code.CAUSE) or bytes((Cause.RESET,)))[0]
            self._early[link.ident, ident] = cause, now + EARLY_US
            while len(self._early) > MAX_EARLY or next(iter(self._early.values()))[1] <= now:
                self._early.popitem(last=False)
        elif message.kind in (Kind.ANSWER, Kind.NOTE) and link.strays.pop(ident, False) is None:
            self._life.counts["strays_stopped"] += 1
            link.release(ident, Cause.CANCELLED)

    def ended_early(self, link: Link, ident: int) -> int | None:
        """The cause with which a machine released a task before this placer heard of it; None where it did not."""
        cause, until_us = self._early.pop((link.ident, ident), (0, 0))
        return cause if self._life.hub.now_us() < until_us else None

    # -- what connections tell

    def unanswered(self, attempt: Attempt, why: str) -> None:
        """Its connection ended before its answer: it may have run."""
        self._may_run(attempt)
        self._life.counts["cut:" + why.partition(":")[0]] += 1
        self._over(attempt, api.Outcome.BROKEN)

    def cut(self, link: Link) -> None:
        """Offers out there will not be answered; what stands may yet be heard of."""
        self._life.log("machine-cut", level="warning", machine=link.name)
        for line in list(link.lines):
            link.drop(line, "no connection comes up")

    def lost(self, link: Link, may_return: bool = False) -> None:
        """What stood there is over; where the machine may come back, safe tasks are cut then."""
        if link.running:
            self._life.log(
                "machine-lost", level="warning", machine=link.name, running=len(link.running)
            )
        for line in list(link.lines):
            link.drop(line, "lost")
        for attempt in list(link.running.values()):
            self._ended(attempt, api.Outcome.BROKEN, api.Reason.UNTOLD, Cause.RESET)
            if may_return and (attempt.stopping is not None or self._is_stopped(attempt)):
                link.release(attempt.task.ident, Cause.CANCELLED)

    def restarted(self, link: Link, launched_us: int) -> None:
        """The machine has started anew: what stood there before is over."""
        for attempt in list(link.running.values()):
            if attempt.placed_us < launched_us:
                self._ended(attempt, api.Outcome.BROKEN, api.Reason.UNTOLD, Cause.RESET)

    def stop(self, attempt: Attempt, end: RunEnd, cause: int = Cause.CANCELLED) -> None:
        """Have a running task cut; its attempt is over once the machine says so."""
        attempt.stopping = end
        self._trace(attempt.task.ident, "stopped", machine=attempt.link.name, end=end.value)
        attempt.link.release(attempt.task.ident, cause)

    def answer(self, task: Task, step: Step, cause: int) -> None:
        """The final answer to a set-up that does not stand, at once."""
        attempt = self._attempts.of(task.request)
        if self._close(task, step, cause) and attempt is not None:
            self.abandon(attempt, api.Outcome.TIMED_OUT)

    def _close(self, task: Task, step: Step, cause: int) -> bool:
        """Give the final answer to a set-up that does not stand; False where it has had one."""
        owner = task.owner
        if not self._requests.step(task, step):
            return False
        self._host.cancel_timer(task.request)
        if owner is not None:
            owner.tasks.pop(task.ident, None)
            owner.write(refusal(task.ident, cause))
        self._life.counts["answer:" + step.value] += 1
        self._trace(task.ident, "answer", step=step.value)
        return True
