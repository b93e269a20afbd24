"""Handles owners' messages: admits or rejects set-ups, withdraws tasks, adopts running ones, answers tests."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.attempt_table import Stage
from wingbarrow.core.host import Host
from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.decide.connection_limits import ConnectionLimits
from wingbarrow.decide.memory_budget import MemoryBudget
from wingbarrow.decide.overload import OverloadControl, Rejected
from wingbarrow.decide.retries import RunEnd
from wingbarrow.decide.task_ownership import EndAuthority, authority_to_end
from wingbarrow.relay import setup
from wingbarrow.relay.hand_overs import MAX_WAIT_US, HandOvers
from wingbarrow.relay.link import Attempt, Attempts
from wingbarrow.relay.links import Links
from wingbarrow.relay.message import Cause, Code, Kind, Message, with_cause
from wingbarrow.relay.offers import Offers
from wingbarrow.relay.owners import Owner, Owners, refusal
from wingbarrow.relay.tasks import RequestTable, State, Step, Task
from wingbarrow.relay.trace import Trace

MAX_PENDING_TASKS = 2048  # set-ups without a final answer, over all connections
MAX_ATTEMPTS = 8192  # no running task is adopted beyond this number of attempts


class Admission:
    """Admission of set-ups; `ready` is the result that TEST messages are answered with."""

    def __init__(
        self,
        runtime: PlacerRuntime,
        host: Host,
        requests: RequestTable,
        attempts: Attempts,
        links: Links,
        offers: Offers,
        limits: ConnectionLimits,
        memory: MemoryBudget,
        settings: api.Settings,
        max_retry_after_us: int,
        deadline_us: int,
        trace: Trace,
    ) -> None:
        self._runtime, self._host, self._requests, self._attempts = (
            runtime,
            host,
            requests,
            attempts,
        )
        self._links, self._offers, self._limits = links, offers, limits
        self._memory = memory
        self._trace = trace
        self._classes = {each.name: each for each in settings.classes}
        self._bounds = setup.Bounds.of(settings, deadline_us)
        self._overload = OverloadControl(settings.tick_us)
        self._retry_after_ms = b"%d" % max(1, min(max_retry_after_us, 1_000_000) // 1000)
        self._hand_overs: HandOvers[tuple[Owner, setup.SetUp]] = HandOvers()
        self.ready = False
        self.owners: Owners

    def on_message(self, owner: Owner, message: Message, came_us: int) -> None:
        """Handle a message; at `came_us` (hub's clock) it had certainly not arrived yet. Unknown kinds are ignored."""
        kind = message.kind
        if owner.retired and kind != Kind.RELEASE:
            # A retired connection cannot carry an answer; its client retries on another.
            self._runtime.counts["crossed_a_close"] += 1
        elif kind == Kind.SET_UP:
            self._set_up(owner, message, came_us)
        elif kind == Kind.RELEASE:
            self._on_release(owner, message)
        elif kind == Kind.TEST:
            owner.write(with_cause(Kind.TESTED, message.task, int(self.ready)))

    def _set_up(self, owner: Owner, message: Message, came_us: int) -> None:
        existing = self._requests.by_ident.get(message.task)
        try:
            set_up = setup.read(message, self._classes, self._bounds)
        except setup.BadSetUp as error:
            self._reject(owner, message.task, Cause.ERROR, f"bad: {error}", existing)
            return
        owner.activity.sent_set_up = True
        if set_up.running_on is not None:
            if existing is None:
                self._adopt(owner, set_up, set_up.running_on)
            return
        if existing is not None:
            self._reject(owner, message.task, Cause.ERROR, "id in use", existing)
            return
        now, lag, pending = (
            self._runtime.hub.now_us(),
            self._runtime.hub.lag_us(),
            self._requests.pending,
        )
        rejection = self._overload.check_wait(now, came_us, lag, pending)
        due_us = rejection or self._overload.due_us(
            now, came_us, set_up.patience_us, lag, pending, self._requests.answered
        )
        if isinstance(due_us, Rejected):
            self._reject(owner, message.task, Cause.BUSY, due_us.why.name.lower(), existing)
        elif pending >= MAX_PENDING_TASKS or not self._limits.may_open_set_up(
            owner.activity, len(owner.tasks)
        ):
            self._reject(owner, message.task, Cause.BUSY, "too many open", existing)
        elif not self._memory.may_open(
            self._requests.open_bytes, set_up.held_bytes, owner.activity.proven
        ):
            self._reject(owner, message.task, Cause.BUSY, "too many bytes open", existing)
        else:
            request = self._requests.next_request()
            task = Task(
                request,
                set_up.ident,
                set_up.cls,
                set_up.arrival(request, due_us),
                owner,
                owner.number,
                set_up.passed_on,
            )
            self._requests.add(task)
            owner.tasks[task.ident] = task
            self._runtime.counts["set_ups"] += 1
            self._trace(task.ident, "asked", owner=owner.number, effect=task.cls.effect.value)
            self._host.feed(task.arrival)

    def _reject(
        self, owner: Owner, ident: int, cause: int, why: str, existing: Task | None
    ) -> None:
        """Answer a set-up with a refusal or failure, without recording a task."""
        self._runtime.counts["turned_away:" + why.partition(":")[0]] += 1
        self._runtime.log("turned-away", why=why)
        if existing is not None and existing.ident in owner.tasks:
            # Danger: the owner would take an answer with this id for the answer to its open set-up.
            self.owners.close(owner, "id twice")
            return
        if existing is not None and existing.asked_on != owner.number:
            owner.activity.asked_under_used_id = True
        parameters = {int(Code.STAY_AWAY): self._retry_after_ms} if cause == Cause.BUSY else None
        owner.write(refusal(ident, cause, parameters))

    def _adopt(self, owner: Owner, set_up: setup.SetUp, machine_name: str) -> None:
        """Adopt a task that already runs on a machine: track it and release it when it ends."""
        request, now = self._requests.next_request(), self._runtime.hub.now_us()
        link = self._links.by_name.get(machine_name)
        if set_up.ident in self._hand_overs:
            return
        if link is None and self._hand_overs.add(now, set_up.ident, machine_name, (owner, set_up)):
            self._runtime.counts["found_unlisted"] += 1
            self._runtime.hub.call_at(now + MAX_WAIT_US, self._reject_unlisted)
            return
        self._runtime.counts["found" if link else "found_nowhere"] += 1
        if link is None or link.closed or set_up.ident in link.running:
            if link is None or link.closed:
                self._reject_adoption(owner, set_up.ident, machine_name)
            return
        if len(self._attempts) >= MAX_ATTEMPTS:
            # Danger: nothing else bounds adopted tasks, and only the machine knows whether such a task exists.
            self._reject(owner, set_up.ident, Cause.RESET, "too many held", None)
            return
        cause = self._offers.take_early_release(link, set_up.ident)
        if cause is not None:
            self._trace(set_up.ident, "found ended", owner=owner.number, machine=machine_name)
            owner.activity.proven = True
            self.owners.delivery.release(set_up.ident, cause)
            return
        task = Task(
            request,
            set_up.ident,
            set_up.cls,
            set_up.arrival(request, now),
            None,
            owner.number,
            {},
            State.RUNNING,
            1,
        )
        self._requests.add(task)
        attempt = Attempt(
            request, 0, task, link, f"{task.ident:016x}/0", now, now, Stage.PLACED, now
        )
        self._attempts.add(attempt)
        link.orphans.pop(task.ident, None)
        link.running[task.ident] = attempt
        owner.activity.proven = True
        self._trace(task.ident, "found", owner=owner.number, machine=machine_name)
        self._host.feed(api.TaskFound(task.arrival, link.ident))

    def _reject_adoption(self, owner: Owner, ident: int, machine_name: str) -> None:
        """Say that a task runs nowhere, to who handed it over, or else to any owner."""
        self._runtime.log("adoption-rejected", level="warning", machine=machine_name)
        if not owner.write(refusal(ident, Cause.RESET)):
            self.owners.delivery.release(ident, Cause.RESET)

    def _reject_unlisted(self) -> None:
        for each in self._hand_overs.take_expired(self._runtime.hub.now_us()):
            self._runtime.counts["found_nowhere"] += 1
            owner, _ = each.content
            self._reject_adoption(owner, each.ident, each.machine)

    def on_listed(self, machines: set[str]) -> None:
        """The list names these machines: adopt what was handed over there and waits."""
        for each in self._hand_overs.take_listed(machines):
            owner, set_up = each.content
            if each.ident not in self._requests.by_ident:
                self._adopt(owner, set_up, each.machine)

    def _on_release(self, owner: Owner, message: Message) -> None:
        self._hand_overs.take(message.task)  # its owner has ended it before it was adopted
        task = self._requests.by_ident.get(message.task)
        authority = EndAuthority.NONE
        if task is not None:
            authority = authority_to_end(
                owner.activity, task.asked_on == owner.number, task.state is State.PENDING
            )
        if task is None or authority is EndAuthority.NONE:
            self._runtime.counts["releases_unknown"] += 1
            self._trace(message.task, "release unknown", owner=owner.number, cause=message.cause)
            return
        self._trace(message.task, "released by its owner", owner=owner.number, cause=message.cause)
        self._withdraw(task, message.cause)
        if authority is EndAuthority.POSSIBLE_OWNER:
            # Danger: the client may be a stranger, and the owner would believe for good that its task runs.
            self._runtime.counts["releases_by_possible_owners"] += 1
            self.owners.delivery.release(task.ident, Cause.CANCELLED)

    def _withdraw(self, task: Task, cause: int) -> None:
        attempt, was_running = self._attempts.of(task.request), task.state is State.RUNNING
        owner = task.owner
        if not self._requests.step(task, Step.WITHDRAW):
            return
        if owner is not None:
            owner.tasks.pop(task.ident, None)
        self._runtime.counts["withdrawn"] += 1
        self._host.cancel_timer(task.request)
        self._host.feed(api.TaskWithdrawn(task.request))
        if attempt is None:
            return
        if was_running:
            self._offers.stop(attempt, RunEnd.STOPPED, cause)
        else:
            self._offers.abandon(attempt, api.Outcome.CANCELLED)

    def on_disconnect(self, owner: Owner) -> None:
        """Withdraw the open set-ups of a connection that has ended."""
        for task in list(owner.tasks.values()):
            self._trace(task.ident, "its connection ended", owner=owner.number)
            self._withdraw(task, Cause.GIVEN_UP)

    def refuse_open(self, owner: Owner) -> bool:
        """Refuse all open set-ups of a connection; False, and none is refused, if one may have reached a machine."""
        tasks = list(owner.tasks.values())
        if any(self._may_have_reached_a_machine(task) for task in tasks):
            return False
        for task in tasks:
            self._offers.answer(task, Step.REFUSE, Cause.BUSY)
            self._host.feed(api.TaskWithdrawn(task.request))
        return True

    def _may_have_reached_a_machine(self, task: Task) -> bool:
        attempt = self._attempts.of(task.request)
        is_out = attempt is not None and attempt.stage is not Stage.WAITING
        return is_out or bool(task.may_have_run_on)

    def refuse(self, request: int) -> None:
        """Answer a request as refused: it had no effect, so a retry is safe."""
        self._answer(request, Step.REFUSE, Cause.BUSY)

    def fail(self, request: int) -> None:
        """Answer a request as failed: it may have had an effect."""
        self._answer(request, Step.FAIL, Cause.ERROR)

    def _answer(self, request: int, step: Step, cause: int) -> None:
        task = self._requests.by_request.get(request)
        if task is None:
            self._runtime.counts["answers_dropped"] += 1
        else:
            self._offers.answer(task, step, cause)

    def move(self, request: int) -> None:
        """Stop a running task and tell its owner to submit it again."""
        task, attempt = self._requests.by_request.get(request), self._attempts.of(request)
        if (
            task is None
            or attempt is None
            or attempt.stopping is not None
            or not self._requests.step(task, Step.MOVE)
        ):
            self._runtime.counts["moves_dropped"] += 1
            return
        self._runtime.counts["moves"] += 1
        self.owners.delivery.move(task.ident)
        self._offers.stop(attempt, RunEnd.MOVED)
