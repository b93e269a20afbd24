"""From owners' messages to the module: set-ups, what they take back, tests, tasks that stand already."""

from __future__ import annotations

from wingbarrow import interface as api
from wingbarrow.core.host import Host
from wingbarrow.core.life import Life
from wingbarrow.core.stages import Stage
from wingbarrow.decide.crowd import Crowd
from wingbarrow.decide.overload import OverloadControl, Rejected
from wingbarrow.decide.retries import RunEnd
from wingbarrow.relay import setup
from wingbarrow.relay.links import Attempt, Attempts, Links
from wingbarrow.relay.message import Cause, Code, Kind, Message, with_cause
from wingbarrow.relay.offers import Offers
from wingbarrow.relay.owners import Owner, Owners, refusal
from wingbarrow.relay.tasks import RequestTable, State, Step, Task
from wingbarrow.relay.trace import Trace

OPEN_IN_ALL = 2048  # set-ups that may wait for their final answer
MAX_HELD = 8192  # attempts at machines, beyond which no task is taken in as running already


class Admission:
    """What owners ask; `ready` is what a test is answered."""

    def __init__(
        self,
        life: Life,
        host: Host,
        requests: RequestTable,
        attempts: Attempts,
        links: Links,
        offers: Offers,
        crowd: Crowd,
        settings: api.Settings,
        stay_away_most_us: int,
        deadline_us: int,
        trace: Trace,
    ) -> None:
        self._life, self._host, self._requests, self._attempts = life, host, requests, attempts
        self._links, self._offers, self._crowd = links, offers, crowd
        self._trace = trace
        self._classes = {each.name: each for each in settings.classes}
        self._bounds = setup.Bounds.of(settings, deadline_us)
        self._door = OverloadControl(settings.tick_us)
        self._stay_away = b"%d" % max(1, min(stay_away_most_us, 1_000_000) // 1000)
        self.ready = False
        self.owners: Owners

    def take(self, owner: Owner, message: Message, came_us: int) -> None:
        """One message of an owner."""
        kind = message.kind
        if owner.retired and kind != Kind.RELEASE:
            self._life.counts["crossed_a_close"] += (
                1  # nothing can be answered there: its client asks elsewhere
            )
        elif kind == Kind.SET_UP:
            self._set_up(owner, message, came_us)
        elif kind == Kind.RELEASE:
            self._released(owner, message)
        elif kind == Kind.TEST:
            owner.write(with_cause(Kind.TESTED, message.task, int(self.ready)))
        # All else wants no answer and means nothing here.

    def _set_up(self, owner: Owner, message: Message, came_us: int) -> None:
        held = self._requests.by_ident.get(message.task)
        try:
            asked = setup.read(message, self._classes, self._bounds)
        except setup.BadSetUp as error:
            self._turn_away(owner, message.task, Cause.ERROR, f"bad: {error}", held)
            return
        if asked.at is not None:
            if held is None:
                self._found(owner, asked, asked.at)
            return
        if held is not None:
            self._turn_away(owner, message.task, Cause.ERROR, "id in use", held)
            return
        now, lag, pending = self._life.hub.now_us(), self._life.hub.lag_us(), self._requests.pending
        due = self._door.check_wait(now, came_us, lag, pending)
        due_us = due or self._door.due_us(
            now, came_us, asked.patience_us, lag, pending, self._requests.answered
        )
        if isinstance(due_us, Rejected):
            self._turn_away(owner, message.task, Cause.BUSY, due_us.why.name.lower(), held)
        elif pending >= OPEN_IN_ALL or not self._crowd.may_open(owner.guest, len(owner.tasks)):
            self._turn_away(owner, message.task, Cause.BUSY, "too many open", held)
        else:
            request = self._requests.next_request()
            task = Task(
                request,
                asked.ident,
                asked.cls,
                asked.arrival(request, due_us),
                owner,
                asked.passed_on,
            )
            self._requests.add(task)
            owner.tasks[task.ident] = task
            self._life.counts["set_ups"] += 1
            self._trace(task.ident, "asked", owner=owner.number, effect=task.cls.effect.value)
            self._host.feed(task.arrival)

    def _turn_away(self, owner: Owner, ident: int, cause: int, why: str, held: Task | None) -> None:
        """A refusal or failure that leaves no trace."""
        self._life.counts["turned_away:" + why.partition(":")[0]] += 1
        self._life.log("turned-away", why=why)
        if held is not None and held.ident in owner.tasks:
            # Danger: an answer under this id would end the open set-up in its owner's eyes.
            self.owners.close(owner, "id twice")
            return
        if held is not None:
            owner.foreign.append(ident)
        more = {int(Code.STAY_AWAY): self._stay_away} if cause == Cause.BUSY else None
        owner.write(refusal(ident, cause, more))

    def _found(self, owner: Owner, asked: setup.SetUp, at: str) -> None:
        """A task that a machine holds already comes under this placer's care."""
        request, now = self._requests.next_request(), self._life.hub.now_us()
        link = self._links.by_name.get(at)
        self._life.counts["found" if link else "found_nowhere"] += 1
        if link is None or link.closed or asked.ident in link.running:
            self._life.log("found-nowhere", level="warning", machine=at)
            if link is None or link.closed:
                owner.write(refusal(asked.ident, Cause.RESET))
            return
        if len(self._attempts) >= MAX_HELD:
            # Danger: nobody else bounds them, and only its machine knows whether a task is there at all.
            self._turn_away(owner, asked.ident, Cause.RESET, "too many held", None)
            return
        cause = self._offers.take_early_release(link, asked.ident)
        if cause is not None:
            self._trace(asked.ident, "found ended", owner=owner.number, machine=at)
            self.owners.proven(owner)
            self.owners.release(asked.ident, cause)
            return
        task = Task(
            request, asked.ident, asked.cls, asked.arrival(request, now), None, {}, State.RUNNING, 1
        )
        self._requests.add(task)
        attempt = Attempt(
            request, 0, task, link, f"{task.ident:016x}/0", now, now, Stage.PLACED, now
        )
        self._attempts.add(attempt)
        link.orphans.pop(task.ident, None)
        link.running[task.ident] = attempt
        self.owners.proven(owner)
        self._trace(task.ident, "found", owner=owner.number, machine=at)
        self._host.feed(api.TaskFound(task.arrival, link.ident))

    def _released(self, owner: Owner, message: Message) -> None:
        task = self._requests.by_ident.get(message.task)
        # Danger: who was turned away under another's id may take it back, and would end the other's task.
        if (
            task is None
            or (task.state is State.PENDING and task.owner is not owner)
            or task.ident in owner.foreign
        ):
            self._life.counts["releases_unknown"] += 1
            self._trace(message.task, "release unknown", owner=owner.number, cause=message.cause)
            return
        self._trace(message.task, "released by its owner", owner=owner.number, cause=message.cause)
        self._withdraw(task, message.cause)

    def _withdraw(self, task: Task, cause: int) -> None:
        attempt, stood = self._attempts.of(task.request), task.state is State.RUNNING
        owner = task.owner
        if not self._requests.step(task, Step.WITHDRAW):
            return
        if owner is not None:
            owner.tasks.pop(task.ident, None)
        self._life.counts["withdrawn"] += 1
        self._host.cancel_timer(task.request)
        self._host.feed(api.TaskWithdrawn(task.request))
        if attempt is None:
            return
        if stood:
            self._offers.stop(attempt, RunEnd.STOPPED, cause)
        else:
            self._offers.abandon(attempt, api.Outcome.CANCELLED)

    def left(self, owner: Owner) -> None:
        """Its connection has ended: nobody waits for what was open on it."""
        for task in list(owner.tasks.values()):
            self._trace(task.ident, "its connection ended", owner=owner.number)
            self._withdraw(task, Cause.GIVEN_UP)

    def refuse(self, request: int) -> None:
        """The module's final answer: trying again is harmless."""
        self._answer(request, Step.REFUSE, Cause.BUSY)

    def fail(self, request: int) -> None:
        """The module's final answer: no promise as to the effect."""
        self._answer(request, Step.FAIL, Cause.ERROR)

    def _answer(self, request: int, step: Step, cause: int) -> None:
        task = self._requests.by_request.get(request)
        if task is None:
            self._life.counts["answers_dropped"] += 1
        else:
            self._offers.answer(task, step, cause)

    def move(self, request: int) -> None:
        """Stop a running task; its owner comes again."""
        task, attempt = self._requests.by_request.get(request), self._attempts.of(request)
        if (
            task is None
            or attempt is None
            or attempt.stopping is not None
            or not self._requests.step(task, Step.MOVE)
        ):
            self._life.counts["moves_dropped"] += 1
            return
        self._life.counts["moves"] += 1
        self.owners.told_to_move(task.ident)
        self._offers.stop(attempt, RunEnd.MOVED)
