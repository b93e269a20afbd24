"""What becomes of Jobs whose session has ended: those of others that are run here, and this placer's own.

What is decided stands in `decide.replication.replicator`. A Job that is taken over is a *run* of wanted work: its
owner was answered by the placer that took it, or was not; no answer is owed here. It is shown under its name, with the
session that held it, and asked of the module like a lost task, within what this region has free, until it stands.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from wingbarrow import interface as api
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts, Stage
from wingbarrow.core.base import Base
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.intake import read_job
from wingbarrow.core.job_store import (
    RUNNING,
    JobLease,
    JobRecord,
    JobStore,
    State,
    Step,
    TaskRecord,
)
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.link import MachineLink
from wingbarrow.core.machines import Machines
from wingbarrow.core.pods import PodStatus
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops
from wingbarrow.decide.federation.spec import Federation, Spec, allowed
from wingbarrow.decide.sessions.failover import StartOrder
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.messages import MachineReport
from wingbarrow.decide.sessions.recovery import OwnJob
from wingbarrow.decide.sessions.session import Session, parse_session
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError, not_found

PENDING_MOST = 64  # runs that were taken over and are not placed yet
ASKS_MOST = 64  # machines that are asked about a Job at a time
ENDED_MOST = 8  # sessions of its own that a placer remembers the Jobs of
AGAIN_US, AGAIN_MOST_US = (
    500_000,
    30_000_000,
)  # a run that found no room is asked for again: doubles, spread by half
SHOWN_US = 20_000  # what became of Jobs is shown for all that are told of in that time
TAKEN, ENDED, UNKNOWN = (names.PREFIX + each for each in ("TakenOver", "LeaseEnded", "Unknown"))
FROM = names.PREFIX + "taken-over-from"
Fields = Mapping[str, Any]


class JobFailover:
    """Hears what the replication of records tells, and carries it out in the book, at machines and with the module."""

    def __init__(
        self,
        base: Base,
        book: JobStore,
        attempts: Attempts,
        board: ApiObjects,
        machines: Machines,
        fleet: Fleet,
        requests: Requests,
        runs: Runs,
        stops: Stops,
        holder: LeasedJobs,
    ) -> None:
        self._base, self._book, self._attempts, self._board = base, book, attempts, board
        self._machines, self._fleet, self._requests, self._runs, self._stops = (
            machines,
            fleet,
            requests,
            runs,
            stops,
        )
        self._holder, self._records = holder, holder.records
        self._asking = 0
        self._showing = False
        self._given_up: dict[
            str, dict[str, tuple[OwnJob, JobRecord]]
        ] = {}  # by session: what it had when that ended
        self._pending: dict[str, TaskRecord] = {}  # runs that were taken over and do not stand yet
        self._told: set[tuple[str, str]] = set()  # strays that were told of
        holder.goes_on = self.goes_on
        records = self._records
        records.on = {
            "startable": self._startable,
            "reissue": self._decided,
            "ask-machine": self._ask_machine,
            "stop": self._lost,
            "settled": self._settled,
            "session-over": self._over,
        }
        records.own, records.custodian.terms = self._own, self._terms
        book.state_listeners.append(self._stepped)

    # -- others' Jobs

    def _spec(self, record: LeasedJobRecord, federation: Federation) -> Spec | None:
        """As it stands now; a name that stood between two versions only gives way to what its Job and class name."""
        found = federation.named.get(record.spec)
        if found is None:
            try:
                meta = names.decode(record.manifest)["metadata"]
                named = str((meta.get("annotations") or {}).get(names.FEDERATION, ""))
                found = federation.spec_for(
                    str((meta.get("labels") or {}).get(names.CLASS, "")), named
                )
            except (ValueError, KeyError, TypeError, AttributeError):
                return None
        return found

    def _terms(self, record: LeasedJobRecord) -> tuple[tuple[str, ...], int]:
        federation = self._holder.federation()
        spec = self._spec(record, federation)
        if spec is None or spec.failover is None:
            return (), 1
        return allowed(spec, federation), spec.failover.copies

    def _may(self, record: LeasedJobRecord, free: tuple[float, float]) -> bool:
        """Whether its spec has it run here after its region's loss, as specs stand now."""
        federation, here = self._holder.federation(), self._base.settings.region
        spec = self._spec(record, federation)
        if spec is None or spec.failover is None or "lost" not in spec.failover.on:
            return False
        if here not in spec.targets(record.region) or here not in allowed(spec, federation):
            return False
        part = spec.failover.room / 100
        return (
            record.cores * record.count <= free[0] * part
            and record.memory * record.count <= free[1] * part
            and self._book.admission.check(record.key.partition("/")[0], record.count) is None
        )

    def _room_here(self) -> tuple[float, float]:
        """Cores and memory that nobody has asked for, by what this region's list says."""
        cores = memory = 0.0
        for entry in self._fleet.held.values():
            listed = entry.listed
            if listed.phase is api.Phase.RUNNING and math.isfinite(
                listed.free_cores + listed.free_memory
            ):
                cores, memory = (
                    cores + max(0.0, listed.free_cores),
                    memory + max(0.0, listed.free_memory),
                )
        return cores, memory

    def _startable(self, told: Fields) -> None:
        free = cores, memory = self._room_here()
        for task in self._pending.values():
            cores, memory = cores - task.job.request.cores, memory - task.job.request.memory
        if len(self._pending) >= PENDING_MOST:
            cores = memory = 0.0  # what is ready is told of again
        for start in self._records.next(cores, memory, lambda record: self._may(record, free)):
            self._start(start)
        self._board.flush()

    def _stepped(self, task: TaskRecord, before: State) -> None:
        if task.job.leased is not None and task.job.leased.previous_session:
            if task.state in (State.ASKED, State.RETRYING):
                self._pending[task.name] = task
            else:
                self._pending.pop(task.name, None)

    def _start(self, start: StartOrder) -> None:
        record, session = start.record, self._records.custodian.custody.session
        job = self._shown(record)
        if job is None:
            return
        job.leased = JobLease(record.spec, session.text(), start.epoch, record.session.text())
        if UNKNOWN in job.conditions:
            job.conditions[UNKNOWN] = "Released", "an operator said that it never ran"
        job.conditions[TAKEN] = (
            "Run",
            f"run here at epoch {start.epoch}; {record.session.text()} held it",
        )
        self._holder.jobs[record.uid] = job
        self._base.counts["taken over"] += 1
        for index in start.indexes:
            task = job.tasks[index]
            task.last_outcome = ""
            if self._book.transition(task, Step.TAKE_OVER):
                self._requests.submit(task)
        self._board.mark(job)

    def _shown(self, record: LeasedJobRecord) -> JobRecord | None:
        """A Job in the book, as its record says; None, and told, where it cannot be read here."""
        held = self._book.jobs.get(record.key)
        if held is not None and held.uid == record.uid:
            return held
        namespace, _, name = record.key.partition("/")
        settings = self._base.settings
        try:
            value = names.decode(record.manifest)
            if held is not None:  # an owner of this region has a Job of that name
                name = value["metadata"]["name"] = f"{name[:50]}-{record.uid[:8]}"
            asked = read_job(value, namespace, settings.classes, settings.limits, "")
        except (ApiError, ValueError, KeyError, TypeError) as error:
            self._base.counts["taken over:unreadable"] += 1
            self._base.log(
                "taken-over-unreadable",
                level="error",
                job=record.key,
                uid=record.uid,
                why=str(error)[:300],
            )
            return None
        meta = value["metadata"]
        meta["annotations"] = {**(meta.get("annotations") or {}), FROM: record.session.text()}
        value["status"] = {"startTime": names.short_time(self._base.hub.clock.wall_us())}
        job = self._book.add(f"{namespace}/{name}", record.uid, asked, value, adopted=True)
        self._board.show_new(job)
        return job

    def goes_on(self, task: TaskRecord) -> bool:
        """Whether a run is asked for again: one that was taken over, or was stopped as its lease lapsed."""
        leased = task.job.leased
        if leased is None or not (
            leased.previous_session or (task.was_placed and not self._holder.may_send(task.job))
        ):
            return False
        effect = task.job.request.task_class.task_class.effect
        if task.state is State.FAILED and effect is api.Effect.UNSAFE and task.may_have_run:
            # Danger: it may have started.
            task.job.conditions[UNKNOWN] = (
                "InDoubt",
                f"it may have started, and is not tried again: {task.last_outcome}",
            )
            return False
        after = min(AGAIN_MOST_US, AGAIN_US << min(task.losses, 10))
        task.losses += 1
        after = after // 2 + self._base.random.randrange(after // 2 + 1)
        if task.state is State.FAILED and effect is api.Effect.KEYED and task.may_have_run:
            after += task.job.request.task_class.task_class.window_us
        if not self._book.transition(task, Step.SCHEDULE_RETRY):
            return False
        self._runs.schedule_retry(task, after)
        return True

    def _decided(self, told: Fields) -> None:
        """A verdict on tasks of a Job: those that are run come by `startable`."""
        uid, verdict = str(told["uid"]), told["verdict"]
        self._base.log(
            "reissue",
            job=told["key"],
            uid=uid,
            verdict=verdict,
            epoch=told["epoch"],
            why=told["why"],
        )
        self._base.counts["reissue:" + verdict] += 1
        if verdict == "unknown":
            record = self._records.custodian.record(uid)
            job = self._shown(record) if record is not None else None
            if job is not None and record is not None:
                job.conditions[UNKNOWN] = (
                    "Unknown",
                    (
                        f"{told['why']}; {record.session.text()} held it; neither started nor "
                        "given up until an operator says that it never ran, or did"
                    ),
                )
                self._board.mark(job)
                self._board.flush()
        elif verdict == "nothing" and self._records.custodian.fate(uid) == verdict:
            self._base.spawn(lambda: self._records.drop(uid), "lets a Job go that is over")

    # -- the operator's list

    def unknown(self) -> list[dict[str, Any]]:
        """Jobs that must not start twice, and of which nobody knows whether they did."""
        return [
            {
                "job": each.key,
                "uid": each.uid,
                "heldBy": each.session.text(),
                "region": each.region,
                "class": each.effect,
                "acceptedSecondsAgo": each.born_age_us // 1_000_000,
                "tasks": [
                    {
                        "index": task.index,
                        "phase": task.phase,
                        "machine": task.machine,
                        "pod": task.attempt,
                    }
                    for task in each.tasks
                ],
            }
            for each in self._records.custodian.unknown()
        ]

    def release(self, key: str, ran: bool) -> None:
        """An operator's word: it never ran, and is started; or it did, and is kept no longer. ApiError 404."""
        record = next((each for each in self._records.custodian.unknown() if each.key == key), None)
        if record is None:
            raise not_found("unknown", key)
        self._base.log("unknown-released", level="warning", job=key, uid=record.uid, ran=ran)
        if not ran:
            self._records.operator(record.uid)
            return
        self._records.drop(record.uid)
        for job in [each for each in self._book.jobs.values() if each.uid == record.uid]:
            job.conditions[TAKEN] = "Ran", "an operator said that it ran"
            self._board.mark(job)
        self._board.flush()

    # -- machines of this region

    def _ask_machine(self, told: Fields) -> None:
        link = self._machines.links.get(str(told["machine"]))
        if self._asking >= ASKS_MOST:
            self._base.counts["fences dropped"] += 1
            return  # it is asked again
        self._asking += 1

        def ask() -> None:
            try:
                fenced = (
                    link.fence(str(told["uid"]), int(told["epoch"])) if link is not None else None
                )
            finally:
                self._asking -= 1
            # Danger: a machine that does not remember all of its time says nothing about what it does not hold.
            up_us = fenced.up_us if fenced is not None and fenced.sure else 0
            self._records.say(
                str(told["to"]),
                MachineReport(
                    int(told["number"]),
                    str(told["machine"]),
                    str(told["uid"]),
                    fenced is not None,
                    bool(fenced.holds) if fenced is not None else False,
                    up_us,
                ),
            )

        self._base.spawn(ask, "asks a machine")

    # -- this placer's own Jobs, once it has no say over them

    def _own(self, session: Session) -> Mapping[str, OwnJob]:
        if session.placer != self._base.settings.name:
            return {}
        text = session.text()
        had = self._given_up.setdefault(text, {})
        custody = self._records.custodian.custody
        for job in self._holder.jobs.values():
            held = custody.jobs.get(job.uid) or custody.former.get(job.uid)
            if job.leased is not None and job.leased.session == text and held is not None:
                had[job.uid] = (
                    OwnJob(held.record, any(task.state in RUNNING for task in job.tasks)),
                    job,
                )
        while len(self._given_up) > ENDED_MOST:
            del self._given_up[next(iter(self._given_up))]
        return {uid: own for uid, (own, _) in had.items()}

    def _over(self, told: Fields) -> None:
        """This session has ended: all that was held under it is a successor's to decide."""
        self._own(parse_session(str(told["session"])))
        for job in list(self._holder.jobs.values()):
            self.give_up(
                job,
                ENDED,
                "SessionEnded",
                f"the lease {told['session']} was ended, others may run it by now",
            )
        self._board.flush()

    def _lost(self, told: Fields) -> None:
        """Another holds a Job by a later word."""
        job = self._holder.jobs.get(str(told["uid"]))
        if job is not None:
            self.give_up(job, TAKEN, "TakenOver", f"{told['by']} holds it by now")
            self._board.flush()

    def give_up(self, job: JobRecord, kind: str, reason: str, words: str) -> None:
        """Nothing more of a Job leaves. Its copies are stopped, but what must not start twice runs on.

        Danger: a stop in the middle of what must not start twice does harm that no order is worth.
        """
        unsafe = job.request.task_class.task_class.effect is api.Effect.UNSAFE
        self._holder.jobs.pop(job.uid, None)
        if job.leased is not None:
            job.leased = replace(job.leased, session="")
        job.conditions[kind] = reason, words
        for task in job.tasks:
            attempt = self._attempts.of(task.request) if task.request else None
            task.last_outcome = words
            if task.state is State.ASKED:
                job.lease_lost = True
                if attempt is None:
                    self._requests.fail(task)
                elif unsafe and attempt.stage is Stage.SENT and not attempt.confirming:
                    self._requests.fail(task)
                    self._base.counts["leases:left in doubt"] += 1
                else:
                    self._holder.lose(attempt, words)
            elif task.state is State.RETRYING:
                self._runs.cancel_retry(task)
                self._book.transition(task, Step.STOP)
            elif task.state in RUNNING and attempt is not None:
                if unsafe:
                    self._base.counts["leases:left running"] += 1
                else:
                    self._book.transition(task, Step.LOSE)
                    self._holder.stop(attempt)
        self._board.mark(job)

    def _settled(self, told: Fields) -> None:
        """A successor said what became of a Job of this placer's ended session."""
        uid = str(told["uid"])
        self._base.counts["healed:" + str(told["fate"])] += 1
        for had in self._given_up.values():
            if uid in had and not had[uid][1].deleted:
                by = (
                    f"{told['by']} has it at epoch {told['epoch']}"
                    if told["by"]
                    else "nobody has it"
                )
                job = had[uid][1]
                job.conditions[TAKEN] = (
                    str(told["fate"]).title().replace(" ", ""),
                    f"{by}; {told['why']}",
                )
                self._board.mark(job)
        self._show_soon()

    def _show_soon(self) -> None:
        """Many are told of at a time."""
        if not self._showing:
            self._showing = True

            def due() -> None:
                self._showing = False
                self._board.flush()

            self._base.hub.call_at(self._base.hub.now_us() + SHOWN_US, due)

    # -- what is found running

    def stray(self, link: MachineLink, sight: PodStatus) -> bool:
        """A leased task that no Job of this life accounts for: True where nothing more is to be done with it.

        It is a former life's, or of a session that has ended. It is never adopted: its machine stops it once its lease
        has passed there, and others decide what becomes of its Job.
        """
        leased = sight.session
        if not leased:
            return False
        session = self._records.custodian.custody.session.text()
        job = self._holder.jobs.get(sight.job_uid)
        if leased == session and job is not None and not self._records.custodian.custody.over:
            return False
        labels = sight.value["metadata"].get("labels") or {}
        settings = self._base.settings.classes.get(str(labels.get(names.CLASS, "")))
        unsafe = settings is None or settings.task_class.effect is api.Effect.UNSAFE
        if not unsafe and self._holder.ended(leased):
            self._stops.request(link, sight.namespace, sight.name)
            self._base.counts["leases:strays stopped"] += 1
        elif (leased, sight.name) not in self._told and len(self._told) < 4096:
            self._told.add((leased, sight.name))
            self._base.log(
                "leased-stray",
                level="warning",
                machine=link.name,
                job=sight.job_key,
                pod=sight.name,
                session=leased,
                left="running" if unsafe else "until its lease passes",
            )
        return True
