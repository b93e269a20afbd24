"""New Jobs that their spec sends to another region, and those that other regions' placers handed over to this one.

Where a Job goes is decided in `decide.federation.route`, how it is handed over in `decide.regions.forwarding`; this
room carries it out. A handed task is in the book of both placers: here, where its owner asked, it is owed an answer;
there it is a Job of its own, named after its ident, whose answer goes back by mail.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.base import Base
from wingbarrow.core.intake import JobRequest
from wingbarrow.core.job_store import JobRecord, JobStore, State, Step, TaskRecord
from wingbarrow.core.requests import Requests
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.federation.route import Choice, RegionNews, Wanted, choose
from wingbarrow.decide.federation.spec import Federation, Spec, allowed
from wingbarrow.decide.regions import forwarding as handing
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError

ANSWER_US = 100_000  # of the owner's patience, kept for the answer's way back
KEPT_US = 250_000  # less for the receiver than for the giver: its answer crosses regions


class Elsewhere:
    """`act` carries out effects by mail; `submit` takes a handed Job in, within what is left of patience."""

    def __init__(
        self, base: Base, book: JobStore, board: ApiObjects, requests: Requests, life: int
    ) -> None:
        self._base, self._book, self._board, self._requests = base, book, board, requests
        self.giving, self.taking = (
            handing.ForwardSender(base.settings.name, life),
            handing.ForwardReceiver(life),
        )
        self.budget = handing.ForwardBudget()
        self.news: Callable[[int], Mapping[str, RegionNews]] = lambda now_us: {}
        self.targets: Callable[[tuple[str, ...]], list[handing.Target]] = (
            lambda names: []
        )  # those that live
        self.federation: Callable[[], Federation] = Federation
        self.act: Callable[[list[Effect]], None] = lambda effects: None
        self.submit: Callable[[dict[str, Any], str], object] = lambda value, namespace: None
        self.delete: Callable[[str], object] = lambda key: None
        self._given: dict[str, TaskRecord] = {}  # by ident
        self._idents: dict[str, str] = {}  # by the task's name
        self._taken: dict[str, str] = {}  # the ident by the key of the Job that was made of it
        self._keys: dict[str, str] = {}  # and the other way
        self._stopped: set[str] = set()  # idents whose stop came while their Job was being taken in
        book.state_listeners.append(self._stepped)

    # -- from here to another region

    def route(self, asked: JobRequest, spec: Spec, handed: bool = False) -> str:
        """The region for a new Job; ApiError 503 with the reason where its spec leaves none now.

        One that was handed over (`handed`) stays here, or is refused.
        """
        base, federation = self._base, self.federation()
        here = base.settings.region
        if handed:
            if here not in allowed(spec, federation):
                raise ApiError(
                    503,
                    f"federation {spec.name!r} does not allow region {here}",
                    "ServiceUnavailable",
                )
            return here
        self.budget.on_first_attempt()
        choice: Choice = choose(
            spec,
            federation,
            Wanted(asked.cores, asked.memory, asked.task_class.task_class.effect.value, here),
            self.news(base.hub.now_us()),
            base.random.random(),
        )
        if not choice.region:
            base.counts["turned_away:no region"] += 1
            raise ApiError(
                503,
                f"federation {spec.name!r} leaves no region now: {choice.reason}",
                "ServiceUnavailable",
                retry_after_s=base.random.randrange(1, 5),
            )
        if choice.region != here and not self.budget.try_take():
            base.counts["handing:over the budget"] += 1
            if here in allowed(spec, federation):
                return here
            raise ApiError(
                503,
                "too many Jobs are handed over to other regions now",
                "ServiceUnavailable",
                retry_after_s=base.random.randrange(1, 5),
            )
        return choice.region

    def give(self, job: JobRecord, due_us: int, region: str, spec: str) -> None:
        """Hand all tasks of a Job over; each is answered by this placer, whatever comes of it."""
        for task in job.tasks:
            if not self.give_task(task, due_us, region, spec):
                task.last_outcome = f"no placer of region {region} is known"
                self._requests.reject_or_fail(self._book.open_request(task, due_us), Step.REFUSE)

    def give_task(self, task: TaskRecord, due_us: int, region: str, spec: str) -> bool:
        """Hand one over that is asked for; False where nobody there can be asked."""
        news, job = self.news(self._base.hub.now_us()).get(region), task.job
        targets = self.targets(news.placers if news is not None else ())
        self._base.random.shuffle(targets)
        repeatable = job.request.task_class.task_class.effect.value == "safe"
        forwarded = handing.ForwardedJob(_manifest(job), spec, repeatable, due_us - ANSWER_US)
        ident, effects = self.giving.begin(self._base.hub.now_us(), forwarded, targets)
        if not ident:
            return False
        self._book.open_request(task, due_us)
        self._given[ident], self._idents[task.name] = task, ident
        self.act(effects)
        return True

    def has(self, task: TaskRecord) -> bool:
        """Whether another region has a task, or is asked for it."""
        return task.name in self._idents

    def came_from_afar(self, key: str) -> bool:
        """Whether a Job was handed over to this placer."""
        return key in self._taken

    def withdraw(self, task: TaskRecord) -> bool:
        """Its owner deleted it; False where it was not handed over."""
        ident = self._idents.pop(task.name, None)
        if ident is None:
            return False
        self._given.pop(ident, None)
        self._book.close_request(task)
        self.act(self.giving.withdraw(self._base.hub.now_us(), ident))
        return True

    def _handed(self, ident: str, state: str, machine: str, words: str) -> None:
        task = self._given.get(ident)
        if task is None:
            return
        task.last_outcome = words or task.last_outcome
        if state == handing.PLACED:
            task.machine = machine
            self._book.close_request(task)
            self._book.transition(task, Step.PLACE)
            self._base.counts["placed_elsewhere"] += 1
        elif state in (handing.REJECTED, handing.FAILED) and task.answered:
            # A run that was to move, and nobody took: its owner has had its answer, and wants it still.
            del self._given[ident]
            del self._idents[task.name]
            self._book.close_request(task)
            self._requests.submit(task, self._base.hub.now_us() + task.job.request.patience_us)
            return
        elif state in (handing.REJECTED, handing.FAILED):
            self._requests.reject_or_fail(
                task.request, Step.REFUSE if state == handing.REJECTED else Step.FAIL
            )
        elif state in handing.RAN:
            self._book.transition(task, Step.DONE if state == handing.DONE else Step.LOSE)
        if state in handing.FINAL:
            del self._given[ident]
            self._idents.pop(task.name, None)
        self._board.mark(task.job)
        self._board.flush()

    # -- from another region to here

    def _take(self, ident: str, manifest: str, left_us: int) -> None:
        """Runs in a task of its own: taking a Job in may wait for its keeper."""
        now = self._base.hub.now_us()
        try:
            value = names.decode(manifest)
            meta = value["metadata"]
            meta["name"] = f"handed-{names.ident(ident):013x}"
            notes = meta.setdefault("annotations", {})
            notes |= {names.HANDED: ident, names.PATIENCE: f"{max(0, left_us - KEPT_US) // 1000}ms"}
            namespace = str(meta["namespace"])
            key = f"{namespace}/{meta['name']}"
            self._taken[key], self._keys[ident] = ident, key
            self.submit(value, namespace)
        except (ApiError, ValueError, KeyError, TypeError, AttributeError) as error:
            self._forget(ident)
            self.act(self.taking.report_status(now, ident, handing.REJECTED, "", str(error)))
            return
        if ident in self._stopped:
            self._stop(ident)

    def _stop(self, ident: str) -> None:
        key = self._keys.get(ident)
        if key is None:
            return
        if key not in self._book.jobs:
            self._stopped.add(ident)  # it is still being taken in
            return
        self._forget(ident)
        self.delete(key)
        self.act(
            self.taking.report_status(self._base.hub.now_us(), ident, handing.FAILED, "", "stopped")
        )

    def _forget(self, ident: str) -> None:
        self._stopped.discard(ident)
        key = self._keys.pop(ident, None)
        if key is not None:
            self._taken.pop(key, None)

    def _stepped(self, task: TaskRecord, before: State) -> None:
        """A task of this placer's book has another state: its giver hears what concerns it."""
        ident = self._taken.get(task.job.key)
        if ident is None or task.state is before:
            return
        state = {
            State.PLACED: handing.PLACED,
            State.ADOPTED: handing.PLACED,
            State.REFUSED: handing.REJECTED,
            State.FAILED: handing.FAILED,
            State.DONE: handing.DONE,
            State.LOST: handing.LOST,
            State.STOPPED: handing.LOST,
        }.get(task.state)
        if state is None or (state == handing.PLACED and before is State.RETRYING):
            return
        if state in handing.FINAL:
            self._forget(ident)
        where = f"{self._base.settings.region}/{task.machine}" if task.machine else ""
        self.act(
            self.taking.report_status(
                self._base.hub.now_us(), ident, state, where, task.last_outcome
            )
        )

    # -- driven by the host of what placers say to each other

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """A letter about handing over."""
        if isinstance(message, handing.ForwardStatus):
            return self._carry(self.giving.on_message(now_us, ident, address, message))
        return self._carry(self.taking.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """One of the giver's timers."""
        return self._carry(self.giving.on_timer(now_us, key))

    def _carry(self, effects: list[Effect]) -> list[Effect]:
        """Do here what is told; the rest is the host's."""
        out: list[Effect] = []
        for each in effects:
            if not isinstance(each, Notify):
                out.append(each)
            elif each.event == "handed":
                self._handed(**each.fields)
            elif each.event == "take":
                ident, manifest, left = (
                    each.fields[name] for name in ("ident", "manifest", "left_us")
                )
                self._base.spawn(
                    lambda ident=ident, manifest=manifest, left=left: self._take(  # type: ignore[misc]
                        ident, manifest, left
                    ),
                    "takes a Job that was handed over",
                )
            else:
                self._stop(each.fields["ident"])
        return out


def _manifest(job: JobRecord) -> str:
    """A Job of one task as its receiver makes its own of it."""
    meta = job.value["metadata"]
    kept = {key: meta[key] for key in ("labels", "annotations") if key in meta}
    spec = {
        key: part
        for key, part in job.value["spec"].items()
        if key not in ("parallelism", "completions", "completionMode")
    }
    return names.encode(
        {
            "apiVersion": "batch/v1",
            "kind": "Job",
            "metadata": {"namespace": job.request.namespace, **kept},
            "spec": spec,
        }
    ).decode()
