"""One placer: it tells the decision module what happens and carries out what the module decides.

All machine choices, attempts, refusals and moves come from the module. Here is the order in which things
happen: an event goes into a queue, the queue is run empty, each action starts what it names.
"""

from __future__ import annotations

import math
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.config import PlacerSettings
from wingbarrow.core import saved
from wingbarrow.core.attempts import Attempt, Attempts, Stage
from wingbarrow.core.book import OPEN, Book, JobRecord, State, Step, TaskRecord
from wingbarrow.core.drainer import Drainer
from wingbarrow.core.events import Events, event_fields
from wingbarrow.core.handover import Page, Shares
from wingbarrow.core.heartbeats import Heartbeats
from wingbarrow.core.intake import JobRequest, read_job
from wingbarrow.core.jobstatus import write_status
from wingbarrow.core.learner import Learner
from wingbarrow.core.link import MachineLink
from wingbarrow.core.nodes import NodeEntry, read_node
from wingbarrow.core.pods import Ended, Phase, PodSight, expected_left_us, pod_resources, pod_text, read_pod
from wingbarrow.core.reflector import Reflector
from wingbarrow.core.stops import Stops
from wingbarrow.decide import again, learning, strays
from wingbarrow.decide.admission import Admission
from wingbarrow.decide.door import Door, TurnedAway
from wingbarrow.decide.draining import Held as HeldDrain
from wingbarrow.decide.draining import Running
from wingbarrow.decide.drains import MachineState
from wingbarrow.decide.gate import Held, Offer, SendGate
from wingbarrow.decide.learning import Sight
from wingbarrow.decide.rebirth import Rebirth
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, not_found
from wingbarrow.kube.store import Store
from wingbarrow.logic import Scheduler
from wingbarrow.transport import CancelScope, Hub, Nursery, Timer

SAVE_EVERY_US = 5_000_000
ALIVE_EVERY_US = 1_000_000
REOPEN_US = 50_000
PROBES_OUT = 32
GONE_KEPT = 1024
_USES = {"cores": api.NoteKind.CORES_USED, "memory": api.NoteKind.MEMORY_USED, "served": api.NoteKind.SERVED,
         "machine": api.NoteKind.MACHINE_MEMORY}


class Placer:
    """The core of the program; fronts call `submit` and `delete_job` and read the store."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.hub = hub
        self.settings = settings
        self.log = log
        self.born_us = hub.clock.wall_us()
        # The wall clock lies above every version of an earlier life, at less than a change a microsecond.
        self.store = Store(self.born_us, settings.limits.window)
        self.jobs = self.store.collection("jobs")
        self.nodes = self.store.collection("nodes", _node_fields)
        self.events = Events(self.store.collection("events", event_fields), settings.name)
        self.book = Book(Admission(settings.limits.tasks_open, settings.limits.tasks_per_namespace),
                         settings.limits.jobs_kept)
        self.attempts = Attempts()
        self.counts: Counter[str] = Counter()
        self._former_us = saved.last_alive(Path(settings.state)) if settings.state else None
        self._begun_us = hub.now_us()
        self._shares_taken = False
        self._fleet = (0.5, 0.5)  # asked over size, as peers last told it
        self.ready = False  # a list of machines has come
        self.module_ns = 0  # processor time spent in the module
        self.failed: Exception | None = None
        self._random = random.Random(settings.seed * 1_000_003 + self.born_us)
        self._scheduler = Scheduler(settings.scheduler, self._random.randrange(1 << 48))
        rules = settings.scheduler
        self._gate = SendGate(rules.cold_us, rules.fall_us)
        self._queue: deque[api.Event] = deque()
        self._pumping = False
        self.stops = Stops(hub, random.Random(self._random.random()), self._spawn, self.counts)
        self.door = Door(rules.tick_us)
        self._dirty: dict[str, JobRecord] = {}
        self._timers: dict[str, Timer] = {}
        self._again: dict[str, Timer] = {}
        self.links: dict[str, MachineLink] = {}
        self._names: dict[int, str] = {}
        self._shown: dict[str, int] = {}  # the source's version of each Node that clients see
        self._sizes = {kind.name: (kind.cores, kind.memory) for kind in rules.kinds}
        self._nursery: Nursery | None = None
        self._probes_out = 0
        # Part of every pod name: two placers, and two lives of one, must never share a name.
        self._life = format(names.ident(f"{settings.name}/{self.born_us}"), "013x")
        self._distrust = learning.Distrust(settings.limits.machines)
        self._gone_versions: dict[str, int] = {}  # machines that left the list, for peers to hear of
        self._hearsay: dict[str, tuple[Sight, int, bool]] = {}  # not applied yet: sight, when it was true, clock good
        self._shares_us: int | None = None  # when a task last told of its use
        self.heartbeats = Heartbeats(hub, settings, self.born_us, self.announce, log)
        self.learner = Learner(hub, settings, self, self.born_us, log)
        self.reflector = Reflector(hub, settings.source_host, settings.source_port, f"wingbarrow/{settings.name}",
                                   random.Random(self._random.random()), settings.limits.machines, self._on_list,
                                   log)
        self.reflector.on_new_source = self._distrust.new_source
        needed = tuple(each.task_class.kind for each in settings.classes.values() if each.task_class.kind)
        self.drainer = Drainer(hub, settings.calendars, needed, rules.placers, settings.state, self, log)
        self._drain_conditions: dict[str, dict[str, str]] = {}
        self._closing: dict[str, int] = {}  # machines that close for long tasks: when, on the module's clock
        self._drained: frozenset[str] = frozenset()  # machines closed by the calendar
        self._rebirth = Rebirth(rules.classes)
        self._reopening = False

    # -- life

    def run(self) -> None:
        """Work until cancelled; a failure of the core itself ends it."""
        with Nursery(self.hub) as nursery:
            self._nursery = nursery
            self._load_saved()
            nursery.spawn(self.reflector.run, "reflector")
            nursery.spawn(self._give_up_waiting, "rebirth")
            nursery.spawn(self.learner.run, "learner")
            if self.settings.calendars:
                nursery.spawn(self.drainer.run, "drainer")
            nursery.spawn(self.heartbeats.run, "heartbeats")
            for link in list(self.links.values()):
                self._follow(link)
            if self.settings.state:
                nursery.spawn(self._keep_saving, "saving")
        if self.failed is not None:
            raise self.failed

    def _spawn(self, call: Callable[[], Any], name: str) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(call, name)

    def _load_saved(self) -> None:
        entries = []
        if self.settings.state:
            try:
                clock = self.hub.clock
                for value in saved.load(Path(self.settings.state)):
                    entry = read_node(value, clock.now_us() - clock.wall_us())
                    # Its figures of room are of an unknown age: they count as not told.
                    entries.append(replace(entry, listed=replace(entry.listed, free_cores=math.nan,
                                                                 free_memory=math.nan)))
            except ValueError as error:
                entries = []
                self.log("saved-list-unusable", level="error", why=str(error))
        self._on_list(api.ListForm.SAVED, entries, [])

    def _keep_saving(self) -> None:
        held: dict[str, int] = {}
        folder, saved_us = Path(self.settings.state or "."), self.hub.now_us()
        while True:
            try:
                saved.stamp_alive(folder, self.hub.clock.wall_us())
            except OSError as error:
                self.counts["stamps_failed"] += 1
                if self.counts["stamps_failed"] == 1:
                    self.log("stamp-not-saved", level="error", why=str(error))
            self.hub.sleep(ALIVE_EVERY_US)
            if self.hub.now_us() - saved_us < SAVE_EVERY_US:
                continue
            saved_us = self.hub.now_us()
            now = {name: entry.version for name, entry in self.reflector.held.items()}
            if now and now != held:
                try:
                    saved.save(folder,
                               [entry.value for entry in self.reflector.held.values()])
                    held = now
                except OSError as error:
                    self.log("list-not-saved", level="error", why=str(error))

    # -- events in, actions out

    def feed(self, event: api.Event) -> None:
        """Tell the module of an event, in order, and carry out what it answers."""
        self._queue.append(event)
        if self._pumping:
            return
        self._pumping = True
        try:
            while self._queue:
                happened = self._queue.popleft()
                begun = time.perf_counter_ns()
                actions = self._scheduler.handle(self.hub.now_us(), happened)
                self.module_ns += time.perf_counter_ns() - begun
                for action in actions:
                    self._carry_out(action)
        except Exception as error:
            # A core that failed halfway through an event must not go on placing: the whole placer ends.
            self.failed = error
            self.log("core-failed", level="error", why=f"{type(error).__name__}: {error}")
            if self._nursery is not None:
                self._nursery.cancel()
            raise
        finally:
            self._pumping = False
        self._flush()

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Bind():
                self._bind(action)
            case api.Refuse(request):
                self._answer(request, Step.REFUSE)
            case api.Fail(request):
                self._answer(request, Step.FAIL)
            case api.Move(request):
                self._move(request)
            case api.SetTimer(at_us, name):
                self._set_timer(at_us, name)
            case api.Probe(machine):
                self._probe(machine)
            case api.WatchList():
                self.counts["watch_list"] += 1  # the reflector watches for as long as the placer lives
            case api.Log(text):
                self.log("module", text=text)

    def _set_timer(self, at_us: int, name: str) -> None:
        def due() -> None:
            self._timers.pop(name, None)
            self.feed(api.TimerDue(name))
        # A request's own timer gives the final answer that is owed: it runs before all else that is due.
        timer = self.hub.call_at(at_us, due, owed=name.isdecimal())
        if name.isdecimal():
            self._timers[name] = timer

    def _flush(self) -> None:
        """Show what changed of Jobs, each once for all that one event brought about."""
        dirty, self._dirty = self._dirty, {}
        for job in dirty.values():
            if not job.deleted:
                write_status(job, self.hub.clock.wall_us())
                self.jobs.put(job.key, job.value)
        for job in self.book.surplus():
            self.book.delete(job)
            self.jobs.delete(job.key)
            self.counts["jobs_forgotten"] += 1

    def sees(self, machines: int) -> bool:
        """Whether the list names at least so many machines and each of them has told what it runs."""
        return len(self.reflector.held) >= machines and self._rebirth.waiting == 0 and all(
            link.reachable for link in self.links.values())

    def oddities(self) -> dict[str, int]:
        """Steps that the state tables lack, and how often each was met; empty unless something is wrong."""
        return dict(self.book.odd + self.attempts.odd)

    def take_settings(self, fresh: PlacerSettings) -> None:
        """Use a file's settings that was read again: patience, priorities, restarts and limits of what comes."""
        self.settings = fresh
        self.drainer.reload()
        self.book.take_limits(fresh.limits.jobs_kept, fresh.limits.tasks_open, fresh.limits.tasks_per_namespace)
        self.store.window_most = fresh.limits.window

    # -- what clients ask

    def look_at_door(self, came_us: int) -> None:
        """Asked of each Job before its body is read: ApiError 429 where the placer is behind."""
        away = self.door.on_wait(self.hub.now_us(), came_us)
        if away is not None:
            raise self._turned_away(away)

    def _turned_away(self, away: TurnedAway) -> ApiError:
        self.counts["turned_away:" + away.why.name.lower()] += 1
        if self.counts["turned_away:" + away.why.name.lower()] % 1000 == 1:
            self.log("job-turned-away", level="warning", why=away.why.value,
                     so_far=self.counts["turned_away:" + away.why.name.lower()])
        return ApiError(429, away.why.value, retry_after_s=away.retry_after_s)

    def submit(self, value: dict[str, Any], namespace: str, dry_run: bool,
               came_us: int | None = None) -> dict[str, Any]:
        """Accept a Job; ApiError says why not, and then nothing of it is kept.

        Its owner's patience runs from `came_us`, when it had not come yet; without that from now.
        """
        fresh = f"{self._random.randrange(36 ** 5):05x}"[-5:]
        asked = read_job(value, namespace, self.settings.classes, self.settings.limits, fresh)
        key = f"{namespace}/{asked.name}"
        if key in self.book.jobs:
            raise ApiError(409, f'jobs.batch "{asked.name}" already exists', "AlreadyExists", name=asked.name,
                           kind="jobs")
        now = self.hub.now_us()
        due = self.door.due_us(now, now if came_us is None else came_us, asked.patience_us, self.hub.lag_us())
        if isinstance(due, TurnedAway):
            raise self._turned_away(due)
        too_many = self.book.admission.check(namespace, asked.count, self.stops.owed)
        if too_many is not None:
            self.counts["turned_away"] += 1
            self.log("job-turned-away", level="warning", what=too_many.what, most=too_many.most)
            raise ApiError(429, f"more than {too_many.most} {too_many.what}", retry_after_s=too_many.retry_after_s)
        uid = names.uid(self.settings.name, self._life, key, self.store.version, self._random.random())
        job_value = self._job_value(value, asked, uid)
        if dry_run:
            return job_value
        job = self.book.add(key, uid, asked, job_value)
        write_status(job, self.hub.clock.wall_us())
        self.jobs.put(key, job_value)
        shown = job_value
        for task in job.tasks:
            self._ask(task, due)
        return shown

    def _job_value(self, value: dict[str, Any], asked: JobRequest, uid: str) -> dict[str, Any]:
        meta = {key: part for key, part in value["metadata"].items()
                if key in ("labels", "annotations", "generateName")}
        stamp = names.short_time(self.hub.clock.wall_us())
        spec = {"parallelism": asked.count, "completions": asked.count, "backoffLimit": asked.restarts,
                "completionMode": "NonIndexed", "suspend": False, **value["spec"]}
        return {"kind": "Job", "apiVersion": "batch/v1",
                "metadata": {"name": asked.name, "namespace": asked.namespace, "uid": uid, "generation": 1,
                             "creationTimestamp": stamp, **meta},
                "spec": spec, "status": {"startTime": stamp}}

    def delete_job(self, key: str) -> dict[str, Any]:
        """Delete a Job and stop what of it runs or is on its way; the Job as it last was."""
        job = self.book.jobs.get(key)
        if job is None:
            raise not_found("jobs.batch", key.rpartition("/")[2])
        self.book.delete(job)
        for task in job.tasks:
            self._withdraw(task)
        last = self.jobs.delete(key)
        self.counts["jobs_deleted"] += 1
        return last.value if last else job.value

    def _withdraw(self, task: TaskRecord) -> None:
        state, request = task.state, task.request
        if state not in OPEN:
            return
        self.book.step(task, Step.STOP)
        attempt = self.attempts.of(request)
        if state is State.AGAIN:
            self._cancel_again(task)
            return
        if state is State.ASKED:
            self._close_request(task)
            self.feed(api.TaskWithdrawn(request))
            if attempt is not None:
                attempt.abandoned = True
                if attempt.stage is Stage.SENT:
                    # Danger: the offer is on its way; what it starts must not run on without an owner. One stop
                    # ends it on the machine, and the offer is answered by that.
                    attempt.stopping = again.End.STOPPED
                    self.stops.owe(attempt.link, task.job.asked.namespace, attempt.pod,
                                   settled=lambda: attempt.stage is Stage.ENDED)
                elif attempt.scope is not None:
                    attempt.scope.cancel()  # nothing went out: no call is owed
        elif attempt is not None:
            attempt.stopping = again.End.STOPPED
            self._stop_attempt(attempt)

    # -- requests

    def _ask(self, task: TaskRecord, due_us: int | None = None) -> None:
        asked = task.job.asked
        request = self.book.open_request(task, self.hub.now_us() + asked.patience_us if due_us is None else due_us)
        self.feed(self._arrival(task, request, asked.expected_us))

    def _arrival(self, task: TaskRecord, request: int, left_us: int | None) -> api.TaskArrived:
        asked = task.job.asked
        return api.TaskArrived(request, asked.task_class.task_class.name, asked.service, task.name, asked.cores,
                               asked.memory, task.deadline_us, left_us)

    def _close_request(self, task: TaskRecord) -> None:
        timer = self._timers.pop(str(task.request), None)
        if timer is not None:
            timer.cancel()
        self.book.close_request(task)

    def _answer(self, request: int, step: Step) -> None:
        """The final answer to a request that is not placed."""
        task = self.book.by_request.get(request)
        if task is None or task.state is not State.ASKED:
            self.counts["answers_dropped"] += 1
            return
        attempt = self.attempts.of(request)
        if not task.last:
            task.last = ("an offer was out when the owner's patience ended" if attempt
                         else "no machine had room, or none was known, before the owner's patience ended")
        self._close_request(task)
        if attempt is not None:
            attempt.abandoned = True
        self.book.step(task, step)
        self._dirty[task.job.key] = task.job
        reason = "Refused" if step is Step.REFUSE else "Failed"
        self.events.tell(task.job, "Warning", reason, f"task {task.index}: {task.last}", self.hub.clock.wall_us())
        self.log("task-" + reason.lower(), request=request, job=task.job.key, task=task.index, why=task.last)

    # -- attempts

    def _bind(self, bind: api.Bind) -> None:
        task = self.book.by_request.get(bind.request)
        link = self.links.get(self._names.get(bind.machine, ""))
        if task is None or link is None:
            # The module binds open requests to listed machines alone; should it not, the offer counts as unsent.
            self.counts["binds_dropped"] += 1
            self._queue.append(api.AttemptEnded(bind.request, task.binds if task else 0, bind.machine,
                                                api.Outcome.NOT_SENT, api.Reason.UNTOLD, task is None, 0, None))
            if task is not None:
                task.binds += 1
            return
        number, task.binds = task.binds, task.binds + 1
        pod = f"t{self._life}-{bind.request}-{number}"
        attempt = Attempt(bind.request, number, task, link, pod, self.hub.now_us(), bind.give_up_us)
        self.attempts.add(attempt)
        self.counts["binds"] += 1
        self._spawn(lambda: self._offer(attempt), "offer")

    def _may_send(self, attempt: Attempt) -> bool:
        """Every offer passes here right before its first byte; see decide.gate."""
        task, link, now = attempt.task, attempt.link, self.hub.now_us()
        held: Held | None = self._gate.check(now, Offer(
            attempt.decided_us, attempt.deadline_us, task.state is State.ASKED and task.request == attempt.request,
            attempt.stage is Stage.WAITING and not attempt.abandoned and self.attempts.of(attempt.request) is attempt,
            link.phase is api.Phase.RUNNING, link.launched_us))
        if held is not None:
            self.counts["held:" + held.name.lower()] += 1
            return False
        self.attempts.advance(attempt, Stage.SENT)
        return True

    def _offer(self, attempt: Attempt) -> None:
        task, link = attempt.task, attempt.link

        def body() -> bytes:
            return pod_text(task, attempt.pod, self.settings.name, link.name,
                            attempt.deadline_us - self.hub.now_us())
        ended: Ended | None = Ended(api.Outcome.CANCELLED, api.Reason.UNTOLD, "withdrawn by its owner")
        with CancelScope(self.hub) as scope:
            attempt.scope = scope
            ended = link.offer(task.job.asked.namespace, body, attempt.deadline_us, lambda: self._may_send(attempt))
        attempt.scope = None
        if attempt.stage is Stage.PLACED or attempt.stage is Stage.ENDED:
            return  # the machine's news was faster than its answer
        if ended is not None and attempt.stage is Stage.WAITING and ended.outcome is api.Outcome.CANCELLED:
            ended = Ended(api.Outcome.NOT_SENT, ended.reason, ended.words)
        elif ended is not None and attempt.stopping is again.End.STOPPED:
            # Danger: the machine's answer to a stopped offer is not its judgement; it would be rested for that.
            ended = Ended(api.Outcome.CANCELLED, ended.reason, "withdrawn by its owner")
        if ended is None:
            self._runs(attempt)
        else:
            self._offer_failed(attempt, ended)

    def _runs(self, attempt: Attempt) -> None:
        """The machine says that the task runs."""
        task = attempt.task
        waited = self.hub.now_us() - attempt.decided_us
        if task.request != attempt.request or task.state is not State.ASKED:
            # The request was answered otherwise while the offer was out: what runs now is a stray.
            self._finish(attempt, api.Outcome.TIMED_OUT, api.Reason.UNTOLD, waited)
            self.counts["answers_late"] += 1
            self._stray(attempt.link, attempt.pod, task.job.asked.namespace, task, None)
            return
        if not self.attempts.advance(attempt, Stage.PLACED):
            return
        attempt.placed_us = self.hub.now_us()
        task.machine = attempt.link.name
        timer = self._timers.pop(str(attempt.request), None)
        if timer is not None:
            timer.cancel()
        self.book.step(task, Step.PLACE)
        self.counts["placed"] += 1
        self._dirty[task.job.key] = task.job
        self.log("task-placed", level="debug", request=attempt.request, attempt=attempt.number,
                 machine=attempt.link.name)
        self.feed(api.TaskPlaced(attempt.request, attempt.number, attempt.link.ident, waited))

    def _offer_failed(self, attempt: Attempt, ended: Ended) -> None:
        attempt.task.last = f"{attempt.link.name}: {ended.words}"[:300]
        self.counts[f"offer:{ended.outcome.value}"] += 1
        self.log("offer-ended", level="debug", request=attempt.request, attempt=attempt.number,
                 machine=attempt.link.name, outcome=ended.outcome.value, why=ended.words)
        self._finish(attempt, ended.outcome, ended.reason, self.hub.now_us() - attempt.decided_us)

    def _finish(self, attempt: Attempt, outcome: api.Outcome, reason: api.Reason, waited_us: int) -> None:
        """Tell the module that an attempt is over; the request too, unless its answer is still owed."""
        placed = attempt.stage is Stage.PLACED
        if not self.attempts.advance(attempt, Stage.ENDED):
            return
        closed = placed or attempt.task.request != attempt.request or attempt.task.state is not State.ASKED
        self.feed(api.AttemptEnded(attempt.request, attempt.number, attempt.link.ident, outcome, reason, closed,
                                   waited_us, None))

    # -- running tasks

    def _run_ended(self, attempt: Attempt, end: again.End, reason: api.Reason, words: str) -> None:
        """A placed task's run is over."""
        task, job = attempt.task, attempt.task.job
        if attempt.stage is not Stage.PLACED:
            return
        outcome = (api.Outcome.DONE if end is again.End.DONE else api.Outcome.CANCELLED
                   if end in (again.End.MOVED, again.End.STOPPED) else api.Outcome.BROKEN)
        task.last = words
        if task.request == attempt.request:
            self._close_request(task)
        self._dirty[job.key] = job
        if end is again.End.DONE:
            self.book.step(task, Step.DONE)
        elif end is not again.End.STOPPED:
            self._after_loss(task, end, words)
        self._finish(attempt, outcome, reason, self.hub.now_us() - attempt.placed_us)

    def _after_loss(self, task: TaskRecord, end: again.End, words: str) -> None:
        effect = task.job.asked.task_class.task_class.effect
        verdict = again.judge(end, effect, task.restarts_left, task.losses, self._random)
        wall = self.hub.clock.wall_us()
        self.counts["run:" + end.value] += 1
        # A task found running in this life had its answer from its owner's point of view: failed, or refused. One of a
        # former life was placed, and its Job still wants it, where it is sure that its owner was told so.
        answered_otherwise = task.state is State.FOUND and (not task.job.adopted or task.doubtful)
        if verdict.after_us is None or answered_otherwise:
            self.book.step(task, Step.LOSE)
            self.events.tell(task.job, "Warning", "Lost", f"task {task.index}: {words}; not asked for again", wall)
            return
        if verdict.counts:
            task.restarts_left -= 1
            task.losses += 1
        self.book.step(task, Step.WAIT)
        self.events.tell(task.job, "Normal", "Moved" if end is again.End.MOVED else "Lost",
                         f"task {task.index}: {words}; asked for again", wall)

        def due() -> None:
            self._again.pop(task.name, None)
            if self.book.step(task, Step.ASK):
                self._dirty[task.job.key] = task.job
                self._ask(task)
        self._again[task.name] = self.hub.call_at(self.hub.now_us() + verdict.after_us, due)

    def _cancel_again(self, task: TaskRecord) -> None:
        timer = self._again.pop(task.name, None)
        if timer is not None:
            timer.cancel()

    def _move(self, request: int) -> None:
        attempt = self.attempts.of(request)
        # Danger: a move of what is not asked for again would only stop it.
        if (attempt is None or attempt.stage is not Stage.PLACED or attempt.stopping is not None
                or attempt.task.doubtful):
            self.counts["moves_dropped"] += 1
            return
        self.counts["moves"] += 1
        attempt.stopping = again.End.MOVED
        self._stop_attempt(attempt)

    def _stop_attempt(self, attempt: Attempt) -> None:
        def stopped() -> None:
            if attempt.stopping is not None:
                self._run_ended(attempt, attempt.stopping, api.Reason.UNTOLD, f"{attempt.stopping.value}, "
                                f"stopped on {attempt.link.name}")
        self.stops.owe(attempt.link, attempt.task.job.asked.namespace, attempt.pod,
                       wanted=lambda: attempt.stage is Stage.PLACED, done=stopped)

    def _stop_pod(self, link: MachineLink, namespace: str, pod: str) -> None:
        if not self.stops.owes(link, pod):
            self.counts["strays_stopped"] += 1
            self.stops.owe(link, namespace, pod)

    # -- what machines tell

    def _follow(self, link: MachineLink) -> None:
        def listed(pods: list[dict[str, Any]], asked_us: int) -> None:
            seen = set()
            for value in pods:
                sight = self._read_pod(link, value)
                if sight is not None:
                    seen.add(sight.name)
                    self._pod_seen(link, sight)
            for attempt in self.attempts.on(link):
                if attempt.stage is Stage.PLACED and attempt.pod not in seen and attempt.placed_us < asked_us:
                    self._lost(attempt, "the machine no longer holds it")
            self._told(link.name)

        def event(kind: str, value: dict[str, Any]) -> None:
            sight = self._read_pod(link, value)
            if sight is None:
                return
            if kind == "DELETED":
                attempt = self.attempts.by_pod.get(sight.name)
                if attempt is not None and attempt.stage is Stage.PLACED:
                    self._lost(attempt, f"deleted on {link.name}")
            else:
                self._pod_seen(link, sight)
        self._spawn(lambda: link.follow(listed, event, self.log), f"follow {link.name}")

    def _read_pod(self, link: MachineLink, value: dict[str, Any]) -> PodSight | None:
        try:
            return read_pod(value)
        except ValueError as error:
            self.counts["bad_pods"] += 1
            self.log("bad-pod", level="warning", machine=link.name, field=str(error))
            return None

    def _lost(self, attempt: Attempt, words: str) -> None:
        end = attempt.stopping or again.End.LOST
        self._run_ended(attempt, end, api.Reason.UNTOLD, f"{words} ({attempt.link.name})")

    def _pod_seen(self, link: MachineLink, sight: PodSight) -> None:
        attempt = self.attempts.by_pod.get(sight.name)
        if attempt is None:
            self._unaccounted(link, sight)
            return
        if sight.phase is Phase.PENDING and attempt.stage is Stage.SENT:
            self.feed(api.TaskNote(attempt.request, attempt.number, link.ident, api.NoteKind.ARRIVED, 0.0))
        if sight.phase in (Phase.RUNNING, Phase.SUCCEEDED) and attempt.stage is Stage.SENT:
            self.counts["placed_by_news"] += 1
            self._runs(attempt)
            if attempt.scope is not None:
                attempt.scope.cancel()
        if attempt.stage is not Stage.PLACED:
            return
        if sight.phase is Phase.SUCCEEDED:
            self._run_ended(attempt, again.End.DONE, api.Reason.UNTOLD, "ended well")
        elif sight.phase is Phase.FAILED:
            reason = sight.gave_up
            end = attempt.stopping or again.end_of(reason)
            self._run_ended(attempt, end, reason, f"{link.name}: {sight.reason or 'failed'}")
        elif sight.use:
            use = tuple(sight.use.get(key, -1.0) for key in _USES)
            if use != attempt.use:
                attempt.use = use
                for kind, level in zip(_USES.values(), use, strict=True):
                    if level >= 0:
                        self.feed(api.TaskNote(attempt.request, attempt.number, link.ident, kind, level))
                self._shares_us = self.hub.now_us()

    def _unaccounted(self, link: MachineLink, sight: PodSight) -> None:
        if sight.phase is not Phase.RUNNING:
            return
        job = self.book.jobs.get(sight.job_key)
        if job is not None and job.uid == sight.job_uid and sight.index < len(job.tasks):
            self._stray(link, sight.name, sight.namespace, job.tasks[sight.index], sight)
        elif sight.name.startswith(f"t{self._life}-") or self.book.was_deleted(sight.job_uid):
            # Danger: what was deleted would come back. A pod of this life without a Job is nobody's; for those of a
            # former life the deleted Job's uid is remembered.
            self._stop_pod(link, sight.namespace, sight.name)
        else:
            self._adopt_job(link, sight)

    def _stray(self, link: MachineLink, pod: str, namespace: str, task: TaskRecord, sight: PodSight | None) -> None:
        job, state = task.job, task.state
        verdict = strays.judge(strays.Sight(
            job.asked.task_class.task_class.effect, True, not job.deleted, state in (State.ASKED, State.AGAIN),
            state is State.ASKED and self.attempts.of(task.request) is not None,
            state in (State.PLACED, State.FOUND), state in (State.DONE, State.STOPPED) and not job.adopted))
        self.counts["stray:" + verdict.value] += 1
        self.log("stray", level="warning", job=job.key, task=task.index, machine=link.name, verdict=verdict.value)
        if verdict is strays.Stray.STOP:
            self._stop_pod(link, namespace, pod)
        elif verdict is strays.Stray.ADOPT:
            self._adopt(link, pod, task, sight)
        elif verdict is strays.Stray.PLACE:
            self._place_late(link, pod, task, sight)

    def _place_late(self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None) -> None:
        """A copy runs that the open request can have as its own: it ends as placed."""
        if task.state is State.AGAIN:
            self._cancel_again(task)
            self.book.step(task, Step.ASK)
        else:
            request = task.request
            self._close_request(task)
            self.feed(api.TaskWithdrawn(request))
        self.book.step(task, Step.PLACE)
        self._hand_over(link, pod, task, sight)

    def _adopt(self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None) -> None:
        if self.book.step(task, Step.ADOPT):
            wall = self.hub.clock.wall_us()
            self.events.tell(task.job, "Normal", "FoundRunning", f"task {task.index} runs on {link.name}", wall)
            self._hand_over(link, pod, task, sight)

    def _hand_over(self, link: MachineLink, pod: str, task: TaskRecord, sight: PodSight | None) -> None:
        """Give a running task to the module as found; attempt 0 is deemed made."""
        now = self.hub.now_us()
        request = self.book.open_request(task, now)
        task.binds, task.machine = 1, link.name
        attempt = Attempt(request, 0, task, link, pod, now, now, Stage.PLACED, now)
        self.attempts.add(attempt)
        self._dirty[task.job.key] = task.job
        left = expected_left_us(sight.value) if sight else task.job.asked.expected_us
        self.feed(api.TaskFound(self._arrival(task, request, left), link.ident))

    def _adopt_job(self, link: MachineLink, sight: PodSight) -> None:
        """A former life's task: its Job is made anew from what the machine holds."""
        value = sight.value
        labels, notes = value["metadata"].get("labels") or {}, value["metadata"]["annotations"]
        settings = self.settings.classes.get(labels.get(names.CLASS, ""))
        namespace, _, name = sight.job_key.partition("/")
        try:
            cores, memory = pod_resources(value)
        except ValueError as error:
            settings = None
            self.log("bad-pod", level="warning", machine=link.name, field=str(error))
        if settings is None or sight.job_key in self.book.jobs:
            self.counts["not_adopted"] += 1
            self.log("not-adopted", level="error", machine=link.name, job=sight.job_key)
            return
        safe = settings.task_class.effect is not api.Effect.UNSAFE
        asked = JobRequest(namespace, name, settings, notes.get(names.SERVICE, sight.job_key), sight.job_size, cores,
                           memory, settings.patience_us, expected_left_us(value), settings.restarts if safe else 0)
        spec = {key: part for key, part in value["spec"].items() if key not in ("nodeName", "priority")}
        kept = {key: text for key, text in notes.items() if key in (names.RUNS_FOR, names.EXPECTED, names.PATIENCE)}
        job_value = self._job_value({"metadata": {"labels": {names.CLASS: labels[names.CLASS]}, "annotations": kept},
                                     "spec": {"template": {"spec": spec}}}, asked, sight.job_uid)
        job = self.book.add(sight.job_key, sight.job_uid, asked, job_value, adopted=True)
        self.counts["jobs_adopted"] += 1
        task = job.tasks[sight.index]
        task.doubtful = not again.was_answered(sight.started_us, self._former_us, self.born_us)
        self.counts["adopted_in_doubt"] += task.doubtful
        self._adopt(link, sight.name, task, sight)

    def _probe(self, machine: int) -> None:
        link = self.links.get(self._names.get(machine, ""))
        if link is None or self._probes_out >= PROBES_OUT:
            self.counts["probes_dropped"] += 1
            return
        entry = self.reflector.held.get(link.name)
        size = self._sizes.get(entry.listed.kind if entry else "", (1.0, 1.0))
        self.counts["probes"] += 1
        self._probes_out += 1

        def probe() -> None:
            try:
                report = link.probe(size)
            finally:
                self._probes_out -= 1
            outcome = api.Outcome.DONE if report else api.Outcome.TIMED_OUT
            self.feed(api.Probed(machine, outcome, report))
        self._spawn(probe, "probe")

    # -- drains by the calendar

    def machine_states(self) -> list[MachineState]:
        """The machines of the list as planning sees them; those that the list itself drains do not run."""
        asked = {each.machine: each.asked for each in self._scheduler.knowledge(self.hub.now_us()).machines}
        out = []
        for name, entry in self.reflector.held.items():
            labels = entry.value["metadata"].get("labels") or {}
            size = self._sizes.get(entry.listed.kind, (1.0, 1.0))
            out.append(MachineState(name, str(labels.get(names.CELL, name)), entry.listed.zone, entry.listed.kind,
                                    labels, size, asked.get(entry.listed.machine) or (0.0, 0.0),
                                    entry.listed.phase is api.Phase.RUNNING))
        return out

    def own_running(self) -> dict[str, list[Running]]:
        """Own tasks by machine, placed or offered, with when they end by their owner's hint."""
        out: dict[str, list[Running]] = {}
        wall = self.hub.clock.wall_us() - self.hub.now_us()
        for attempt in self.attempts.by_pod.values():
            if attempt.stage is not Stage.ENDED and attempt.stopping is None:
                asked = attempt.task.job.asked
                offered = attempt.stage is not Stage.PLACED
                began = attempt.decided_us if offered else attempt.placed_us
                ends = None if asked.expected_us is None else wall + began + asked.expected_us
                movable = (asked.task_class.task_class.effect is not api.Effect.UNSAFE
                           and not attempt.task.doubtful)
                out.setdefault(attempt.link.name, []).append(
                    Running(attempt.request, movable, ends, offered))
        return out

    def take_planned(self, closing: dict[str, int], closed: frozenset[str]) -> None:
        """Narrow the module: long tasks off machines that close, everything off those that are closed."""
        shift = self.hub.now_us() - self.hub.clock.wall_us()
        fresh = {name: at + shift for name, at in closing.items()}
        changes: dict[int, int | None] = {names.ident(name): at for name, at in fresh.items()
                                          if abs(self._closing.get(name, 0) - at) > 1_000}
        changes |= {names.ident(name): None for name in self._closing if name not in fresh}
        self._closing = fresh
        if changes:
            self.feed(api.Planned(changes))
        if closed != self._drained:
            touched = closed ^ self._drained
            self._drained = closed
            entries = [self.reflector.held[name] for name in sorted(touched) if name in self.reflector.held]
            for entry in entries:
                self._show_node(entry)
            self._narrow_again(entries)

    def move_task(self, request: int, why: str) -> None:
        """Stop a placed task and ask for it again; never one that must not start twice."""
        attempt = self.attempts.of(request)
        if attempt is None or attempt.task.job.asked.task_class.task_class.effect is api.Effect.UNSAFE:
            self.counts["moves_dropped"] += 1
            return
        self.counts["drain_moves"] += 1
        attempt.task.last = why
        self._move(request)

    def evict(self, pod: str) -> None:
        """Move one task by its pod's name (the Eviction API); ApiError where it cannot be."""
        attempt = self.attempts.by_pod.get(pod)
        if attempt is None or attempt.stage is not Stage.PLACED:
            raise not_found("pods", pod)
        if attempt.task.job.asked.task_class.task_class.effect is api.Effect.UNSAFE:
            raise ApiError(429, f"{pod} is of a class that must not start twice; it is never moved", retry_after_s=60)
        self.move_task(attempt.request, "evicted through the API")

    def tell_drain(self, held: HeldDrain) -> None:
        """A drain's phase for people: a line in the log, an Event and a condition of its Node."""
        self.counts["drains:" + held.phase.value] += 1
        name, wall = held.drain.machine, self.hub.clock.wall_us()
        reason = "Drain" + held.phase.value.title().replace(" ", "")
        self.events.tell_node(name, "Warning" if held.reason else "Normal", reason,
                              f"window {held.drain.window}: {held.reason or held.phase.value}, "
                              f"{held.moved} task(s) moved", wall)
        self._drain_conditions[name] = {
            "type": "wingbarrow.io/Drain", "status": str(held.phase.value in ("closed", "out")), "reason": reason,
            "message": held.reason or f"window {held.drain.window}", "lastTransitionTime": names.short_time(wall),
            "lastHeartbeatTime": names.short_time(wall)}
        if name in self.reflector.held:
            self._show_node(self.reflector.held[name])
        self.log("drain", window=held.drain.window, machine=held.drain.machine, phase=held.phase.value,
                 why=held.reason, moved=held.moved)

    # -- what other instances know

    def announce(self) -> learning.Announcement:
        """What this instance says of itself to others."""
        heard, now = self.reflector.heard_us, self.hub.now_us()
        return learning.Announcement(
            "", self.settings.name, self.born_us, self.settings.region, self.settings.cluster,
            now - self._begun_us, None if heard is None else now - heard, len(self.reflector.held), 0)

    def know(self) -> tuple[list[Sight], Shares]:
        """What this instance knows of machines, for a hand-over; never requests, never tasks."""
        now, known = self.hub.now_us(), self._scheduler.knowledge(self.hub.now_us())
        by_ident = {each.machine: each for each in known.machines}
        sights: list[Sight] = []
        for name, entry in self.reflector.held.items():
            link, each = self.links.get(name), by_ident.get(entry.listed.machine)
            if link is None or each is None:
                continue
            launched = now - link.launched_us if link.launched_us > 0 else None
            # What is closed by this placer's own start is no drain that others should hear of.
            phase = entry.listed.phase if self._rebirth.closed(entry.listed) else link.phase
            sights.append(Sight(name, max(entry.version, self._distrust.version(name)), phase, launched,
                                each.asked, each.asked_age_us, each.beyond, each.measured_age_us, each.warm_us,
                                each.rests_us))
        for name, version in self._gone_versions.items():
            sights.append(Sight(name, version, api.Phase.GONE, None, None, None, None, None, {}, {}))
        age = None if self._shares_us is None else now - self._shares_us
        return sights, Shares(known.ratio, known.notes, age)

    def _note_gone(self, name: str) -> None:
        self._gone_versions[name] = self.reflector.version
        if len(self._gone_versions) > GONE_KEPT:
            del self._gone_versions[next(iter(self._gone_versions))]

    def take_sights(self, sights: list[Sight], more_age_us: int, clock_good: bool) -> bool:
        """Take in a page of a peer's sights; False, and none is kept, where they are of another cluster."""
        idents = {name: entry.listed.machine for name, entry in self.reflector.held.items()}
        if learning.strangers(sights, idents):
            return False
        now, changed = self.hub.now_us(), []
        for sight in sights:
            entry = self.reflector.held.get(sight.machine)
            # A sight of a drain counts whatever the peer's clock does: versions order it, not ages.
            if self._distrust.saw(sight, entry.version if entry else None, now) and entry is not None:
                changed.append(entry)
            if len(self._hearsay) < self.settings.limits.machines or sight.machine in self._hearsay:
                self._hearsay[sight.machine] = sight, now - more_age_us, clock_good
        if changed:
            self._narrow_again(changed)
        else:
            self._apply_hearsay()
        return True

    def take_shares(self, page: Page, more_age_us: int, clock_good: bool) -> None:
        """Take in a peer's learned shares of use, once: later pages of the same peer repeat them."""
        if self._shares_taken:
            return
        shares = page.shares
        age = None if shares.age_us is None else shares.age_us + more_age_us
        weighed = [learning.weigh_ratio(ratio, notes, age, clock_good)
                   for ratio, notes in zip(shares.ratio, shares.notes, strict=True)]
        if any(notes > 0 for _, notes in weighed):
            self._shares_taken = True
            self.feed(api.Learned((), (weighed[0][0], weighed[1][0]), (weighed[0][1], weighed[1][1])))

    def _apply_hearsay(self) -> None:
        """Give the module what was heard of machines that our list has by now, and that it may send to."""
        if not self._hearsay or self._reopening:
            return
        now = self.hub.now_us()
        held = self.reflector.held
        ready = [name for name in self._hearsay if name in held and name in self.links
                 and not self._rebirth.closed(held[name].listed)]
        groups: dict[tuple[int, bool], list[Sight]] = {}
        for name in ready:
            sight, at_us, good = self._hearsay.pop(name)
            groups.setdefault((at_us, good), []).append(sight)
        for (at_us, good), sights in groups.items():
            names_here = [sight.machine for sight in sights]
            sizes = {name: self._sizes.get(held[name].listed.kind, (1.0, 1.0)) for name in names_here}
            self._fleet = learning.fleet_average(sights, sizes, self._fleet)
            weighed = learning.weigh(sights, now - at_us, sizes, {name: held[name].version for name in names_here},
                                     {name: held[name].listed.machine for name in names_here}, good, self._fleet)
            self.counts["machines_learned"] += len(weighed)
            if weighed:
                self.feed(api.Learned(tuple(weighed), (0.0, 0.0), (0.0, 0.0)))
        for name in [name for name, (_, at_us, _) in self._hearsay.items() if now - at_us > learning.USELESS_US]:
            del self._hearsay[name]

    # -- the list

    def _on_list(self, form: api.ListForm, entries: list[NodeEntry], gone: list[str]) -> None:
        if form is api.ListForm.FAILED:
            self.feed(api.MachineList(form, ()))
            return
        if form is not api.ListForm.SAVED:
            self.ready = True
        now = self.hub.now_us()
        for entry in entries:
            self._rebirth.saw(entry.name, entry.listed, now)
        # Every entry passes here, and so the guard against machines that a peer saw draining (rule 3).
        narrowed = {entry.name: self._narrow(entry) for entry in entries}
        listed = list(narrowed.values())
        for name in gone:
            link = self.links.get(name)
            stored = self.nodes.delete(name)
            self._shown.pop(name, None)
            self._drain_conditions.pop(name, None)
            self._note_gone(name)
            if link is None:
                continue
            link.phase = api.Phase.GONE
            if form is api.ListForm.CHANGES:
                listed.append(api.ListedMachine(link.ident, "", 0, "", api.Phase.GONE, link.launched_us, 0.0, 0.0)
                              if stored is None else self._gone(stored.value, link))
        fresh: list[MachineLink] = []
        for entry in entries:
            link = self._link(entry, fresh)
            link.phase, link.launched_us = narrowed[entry.name].phase, narrowed[entry.name].launched_us
            self._gone_versions.pop(entry.name, None)
            if self._shown.get(entry.name) != entry.version:
                self._shown[entry.name] = entry.version
                self._show_node(entry)
        self.feed(api.MachineList(form, tuple(listed)))
        self._rebirth.listed |= form is api.ListForm.FULL
        for link in fresh:
            self._follow(link)
        for name in gone:
            self._retire(name)
        self._apply_hearsay()

    def _give_up_waiting(self) -> None:
        """Machines that cannot be reached hold up their rack for a while only."""
        while not self._rebirth.over:
            if self._rebirth.give_up(self.hub.now_us()):
                self._reopen()
            if not self._rebirth.over:
                self.hub.sleep(REOPEN_US)

    def _told(self, name: str) -> None:
        """A machine has listed what it runs for this placer."""
        if self._rebirth.told(name):
            self._reopen()

    def _reopen(self) -> None:
        """Show the module the machines that may be sent to by now; soon, all that open in a while at once."""
        if self._reopening:
            return
        self._reopening = True

        def due() -> None:
            self._reopening = False
            self._narrow_again([entry for name, entry in self.reflector.held.items()
                                if name in self.links and self.links[name].phase is api.Phase.DRAINING
                                and entry.listed.phase is api.Phase.RUNNING])
        self.hub.call_at(self.hub.now_us() + REOPEN_US, due)

    def _narrow_again(self, entries: list[NodeEntry]) -> None:
        """Have entries pass the guards anew; their figures of room are no news and count as not told."""
        self._on_list(api.ListForm.CHANGES, [
            replace(entry, listed=replace(entry.listed, free_cores=math.nan, free_memory=math.nan))
            for entry in entries], [])

    def _narrow(self, entry: NodeEntry) -> api.ListedMachine:
        """A list's entry as the module may have it: peers and the calendar can only take from it."""
        listed = self._distrust.narrow(entry.name, entry.version, entry.listed)
        if listed.phase is api.Phase.RUNNING and self._rebirth.closed(entry.listed):
            # Danger (rule 5): a former life's tasks that are not known yet would not count.
            listed = replace(listed, phase=api.Phase.DRAINING)
        if entry.name in self._drained and listed.phase is api.Phase.RUNNING:
            listed = replace(listed, phase=api.Phase.DRAINING)
        return listed

    def _gone(self, value: dict[str, Any], link: MachineLink) -> api.ListedMachine:
        clock = self.hub.clock
        entry = read_node(value, clock.now_us() - clock.wall_us()).listed
        return api.ListedMachine(entry.machine, entry.kind, entry.cell, entry.zone, api.Phase.GONE,
                                 link.launched_us, entry.free_cores, entry.free_memory)

    def _show_node(self, entry: NodeEntry) -> None:
        value = {"kind": "Node", "apiVersion": "v1", **entry.value, "metadata": dict(entry.value["metadata"])}
        condition = self._drain_conditions.get(entry.name)
        if condition is not None:
            status = value["status"]
            others = [each for each in status.get("conditions") or [] if each.get("type") != condition["type"]]
            value["status"] = {**status, "conditions": [*others, condition]}
        if entry.name in self._drained:
            value["spec"] = {**(value.get("spec") or {}), "unschedulable": True}
            value["metadata"]["annotations"] = {**(value["metadata"].get("annotations") or {}),
                                                names.PREFIX + "drained-by": "calendar"}
        self.nodes.put(entry.name, value)

    def _link(self, entry: NodeEntry, fresh: list[MachineLink]) -> MachineLink:
        link = self.links.get(entry.name)
        if link is not None and (link.host, link.port) != (entry.host, entry.port):
            # The machine answers at another address: what was there is reached no more.
            link.retired = True
            link.close()
            link = None
        if link is None:
            link = MachineLink(self.hub, entry.name, entry.host, entry.port, self.settings.name,
                               self.settings.limits.per_machine, random.Random(self._random.random()))
            self.links[entry.name] = link
            self._names[link.ident] = entry.name
            fresh.append(link)
        return link

    def _retire(self, name: str) -> None:
        """A machine left the list: once it cannot be reached, what ran there is lost."""
        link = self.links.get(name)
        if link is None:
            return

        def wait() -> None:
            for _ in range(600):
                if link.phase is not api.Phase.GONE:
                    return
                mine = self.attempts.on(link)
                if not mine or not link.reachable:
                    break
                self.hub.sleep(1_000_000)
            if link.phase is not api.Phase.GONE:
                return
            for attempt in self.attempts.on(link):
                self._lost(attempt, "its machine is gone")
            if not self.attempts.on(link):
                link.retired = True
                link.close()
                if self.links.get(name) is link:
                    del self.links[name]
                    self._names.pop(link.ident, None)
        self._spawn(wait, "retire")


def _node_fields(value: dict[str, Any]) -> dict[str, str]:
    return {"metadata.name": value["metadata"]["name"],
            "spec.unschedulable": "true" if value.get("spec", {}).get("unschedulable") else "false"}
