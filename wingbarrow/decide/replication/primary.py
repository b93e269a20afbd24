"""The holder's side of custody: which record must be where before what leaves; which keeper; when one is replaced.

A Job's record goes to its keepers, placers of other regions that its spec allows, and each change of it again. A
change has a token; `Notify("kept")` settles each token once, at its deadline at the latest, and only by what keepers
have acknowledged. Two kinds of tokens: most want one keeper; that of an attempt that must not start twice, about to be
sent, wants *everybody* who may have the record. Danger: a keeper that was dropped as too slow and was told nothing
would believe that nothing had left, and start the Job again. So a dropped keeper of such a Job has to say that it
forgot, or the voters have to end its session, before anything more of the Job leaves.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.records import ReplicationLimits, size_of
from wingbarrow.decide.replication.replica_link import ReplicaLink
from wingbarrow.decide.replication.replica_set import ReplicaSet
from wingbarrow.decide.replication.replicated_job import ReplicatedJob, Tokens, settled
from wingbarrow.decide.sessions.leased_job_record import (
    MAX_RECORD_BYTES,
    KnownTask,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import ReplicateRequest, ReplicateResponse
from wingbarrow.decide.sessions.session import Session

TIMER = "custody"


class Primary:
    """One placer's, as a holder. The host calls it with mail and the timer `TIMER`, and carries out what it returns."""

    def __init__(
        self,
        me: str,
        life: int,
        region: str,
        seed: int,
        bounds: ReplicationLimits = ReplicationLimits(),
    ) -> None:
        self.session, self.region, self.bounds = Session(me, life, 0), region, bounds
        self.jobs: dict[str, ReplicatedJob] = {}
        self.former: dict[str, ReplicatedJob] = {}  # of the session before, `former_session`
        self.former_session = self.session
        self.over = False  # this session has ended; nothing is held under it any more
        self.started: Callable[[str], bool] = (
            lambda uid: False
        )  # whether a Job that was taken over runs
        self.keepers = ReplicaSet(me, region, seed, bounds)
        self._tokens = Tokens()
        self._timer_us: int | None = None

    # -- what the core asks; each returns a token and what is to happen

    def hold(
        self,
        now_us: int,
        record: LeasedJobRecord,
        allowed: Collection[str],
        copies: int,
        deadline_us: int,
        must: Collection[str] = (),
        alone: bool = False,
    ) -> tuple[int, list[Effect]]:
        """Have a Job's record at its keepers; where the token is not good, `drop` it.

        `must`: others that may have an older one of it (a taken-over Job's). `alone`: hold it where there is no keeper,
        too, until there is one.
        """
        number = self._tokens.next()
        size = size_of(record)
        why = (
            "session over"
            if self.over
            else "held already"
            if record.uid in self.jobs
            else f"record of {size} bytes, at most {MAX_RECORD_BYTES}"
            if size > MAX_RECORD_BYTES
            else ""
        )
        if why:
            return number, [settled(number, why)]
        chosen = self.keepers.choose(now_us, record.uid, allowed, copies, size)
        if not chosen and not alone:
            able = self.keepers.choose(now_us, record.uid, allowed, copies, 0)
            return number, [settled(number, "no room at any keeper" if able else "no keeper")]
        others = set(must) - {self.session.placer}
        since = {each.index: now_us - each.age_us for each in record.tasks}
        job = ReplicatedJob(
            replace(record, session=self.session, keepers=chosen, others=(), moves=0),
            born_us=now_us - record.born_age_us,
            since_us=since,
            allowed=tuple(allowed),
            size=size,
            chosen=list(chosen),
            others=others - set(chosen),
            heed=others,
            alone=not chosen,
            moved=record.version,
        )
        self.jobs[record.uid] = job
        self._tokens.wait(job, number, deadline_us, bool(must) and record.effect != "safe")
        for name in (*chosen, *sorted(job.others)):
            self.keepers.line(name).want(now_us, record.uid)
        for name in chosen:
            self.keepers.lines[name].charge(record.uid, size)
        if not chosen:
            self.keepers.lack(now_us, record.uid, "")
        return number, [*self._tokens.met(job), *self._next_effects(now_us)]

    def about(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """An attempt is about to be sent: not before the token is good."""
        return self._task(now_us, uid, replace(known, phase="about"), deadline_us)

    def placed(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """A task stands on a machine: the answer `placed` not before the token is good."""
        return self._task(now_us, uid, replace(known, phase="placed"), deadline_us)

    def back(self, now_us: int, uid: str, index: int, deadline_us: int) -> tuple[int, list[Effect]]:
        """An attempt is proven not to run: its machine refused it, or never heard of it and never will."""
        return self._task(now_us, uid, KnownTask(index, "none"), deadline_us)

    def ended(
        self, now_us: int, uid: str, index: int, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """A task is over: it is never to be started again."""
        return self._task(now_us, uid, KnownTask(index, "over"), deadline_us)

    def answered(
        self, now_us: int, uid: str, answer: str, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        """What the owner was told."""
        job = self.jobs.get(uid)
        record = replace(job.record, answered=answer) if job is not None else None
        return self._change(now_us, uid, record, deadline_us)

    def again(
        self, now_us: int, uid: str, deadline_us: int, every: bool
    ) -> tuple[int, list[Effect]]:
        """Wait once more for what is said of a Job already."""
        number, job = self._tokens.next(), self.jobs.get(uid)
        if job is None:
            return number, [settled(number, "session over" if self.over else "not held")]
        self._tokens.wait(job, number, deadline_us, every)
        return number, [*self._tokens.met(job), *self._next_effects(now_us)]

    def drop(self, now_us: int, uid: str) -> list[Effect]:
        """A Job needs no keeping any more."""
        self.former.pop(uid, None)
        job = self.jobs.pop(uid, None)
        if job is None:
            return []
        out = self._tokens.fail(job, "dropped")
        for name in (*job.chosen, *sorted(job.others)):
            self.keepers.line(name).free(uid)
            self.keepers.line(name).want(now_us, uid, gone=True)
        return out + self._next_effects(now_us)

    def learn(self, now_us: int, uid: str, tasks: tuple[KnownTask, ...]) -> list[Effect]:
        """Another keeper knew more of a Job that was taken over: its keepers here are to know it, too."""
        job = self.jobs.get(uid)
        if job is None or job.record.tasks == tasks:
            return []
        job.record = replace(job.record, tasks=tasks, version=job.record.version + 1)
        job.since_us |= {each.index: now_us - each.age_us for each in tasks}
        return self._spread(now_us, job)

    # -- who is there

    def members(self, now_us: int, alive: Mapping[str, tuple[str, int]]) -> list[Effect]:
        """Who keeps, by name, with region and life: alive by membership. Who is not in it is dropped as a keeper."""
        for line in self.keepers.members(alive):
            self._leave(now_us, line)
        for name, line in self.keepers.lines.items():
            if name in alive and alive[name][1] > line.life:
                self._renewed(now_us, line, alive[name][1], 0)
        return self._next_effects(now_us)

    def allow(
        self, now_us: int, allowed: Callable[[LeasedJobRecord], Collection[str]]
    ) -> list[Effect]:
        """Specs have changed: a keeper in a region that a Job's spec does not allow any more is replaced."""
        for uid, job in self.jobs.items():
            job.allowed = tuple(allowed(job.record))
            for name in job.chosen:
                if not self.keepers.stays(now_us, name, job.allowed):
                    self.keepers.move(now_us, uid, name)
        return self._next_effects(now_us)

    def buried(self, now_us: int, session: Session, epoch: int) -> list[Effect]:
        """The voters ended a session; to be said in the order of epochs.

        What was kept under it is no ground for anything any more. Danger: a placer that is to hear of a Job that was
        taken over may have had the record under a later session; only an end after the Job's own speaks for it.
        """
        if session.placer == self.session.placer:
            return self._finish() if session >= self.session and not self.over else []
        line = self.keepers.lines.get(session.placer)
        out: list[Effect] = []
        if line is not None:
            for job in self.jobs.values():
                if line.name in job.heed and epoch > job.record.epoch:
                    job.heed.discard(line.name)
            if (line.life, line.serial) <= (session.life, session.serial):
                self._renewed(now_us, line, session.life, session.serial + 1)
                if line.name not in self.keepers.where:
                    self._leave(now_us, line)
                else:
                    # Danger: it may be gone, and not be known to be: an attempt that waits for its word waits in vain.
                    line.rest_us = max(line.rest_us, now_us + self.bounds.rest_us)
            out = self._settle_all()
        return out + self._next_effects(now_us)

    def begin(self, now_us: int, session: Session) -> list[Effect]:
        """This placer has a new session, and holds nothing."""
        out = [] if self.over else self._finish()
        self.session, self.over = session, False
        return out + self._next_effects(now_us)

    # -- mail and time

    def on_message(self, now_us: int, ident: str, message: ReplicateResponse) -> list[Effect]:
        """A keeper answered."""
        line = self.keepers.lines.get(ident)
        if (
            self.over
            or message.session != self.session
            or line is None
            or line.out is None
            or line.out.keep.number != message.number
        ):
            return []
        if message.over:
            return self._finish()
        keep = line.out.keep
        line.reset()
        line.due_us = now_us
        out: list[Effect] = []
        if (message.life, message.serial) != (keep.life, keep.serial):
            self._say_again(now_us, line, keep)
            self._renewed(now_us, line, message.life, message.serial)
            out = self._settle_all()
        elif not message.good:
            self._say_again(now_us, line, keep)
            line.due_us = now_us + self.bounds.most_us
            out = [Notify("keeper-refused", {"keeper": ident, "why": message.why})]
            self._leave(now_us, line)
        else:
            out = self._kept(now_us, line, message, keep.records, keep.gone)
        return out + self._next_effects(now_us)

    def on_timer(self, now_us: int, key: str = TIMER) -> list[Effect]:
        """Something is due."""
        self._timer_us = None
        out: list[Effect] = []
        out += self._tokens.late(now_us, self.jobs)
        for line in self.keepers.lines.values():
            if (
                line.out is not None
                and now_us >= line.out.said_us + self.bounds.slow_us
                and line.rest_us < now_us
            ):
                self._leave(now_us, line)
        for uid, name in self.keepers.moves(now_us):
            self._move(now_us, uid, name)
        return out + self._next_effects(now_us)

    # -- ends

    def _settle_all(self) -> list[Effect]:
        """After a keeper was released from all that it had."""
        return [tell for job in self.jobs.values() if job.tokens for tell in self._tokens.met(job)]

    def _finish(self) -> list[Effect]:
        """This session is over."""
        out: list[Effect] = [
            tell for job in self.jobs.values() for tell in self._tokens.fail(job, "session over")
        ]
        self.over = True
        self.former, self.former_session, self.jobs = self.jobs, self.session, {}
        self._tokens.clear()
        self.keepers.clear()
        return [*out, Notify("session-over", {"session": self.session.text()})]

    # -- changes

    def _task(
        self, now_us: int, uid: str, known: KnownTask, deadline_us: int
    ) -> tuple[int, list[Effect]]:
        job = self.jobs.get(uid)
        if job is None or not 0 <= known.index < job.record.count:
            number = self._tokens.next()
            return number, [settled(number, "session over" if self.over else "not held")]
        record = job.changed(known, self.region)
        # Danger: of a Job that may repeat, one keeper is enough; of any other all that may start it have to know.
        every = known.phase == "about" and record.effect != "safe"
        return self._change(now_us, uid, record, deadline_us, every, known)

    def _change(
        self,
        now_us: int,
        uid: str,
        record: LeasedJobRecord | None,
        deadline_us: int,
        every: bool = False,
        known: KnownTask | None = None,
    ) -> tuple[int, list[Effect]]:
        number = self._tokens.next()
        job = self.jobs.get(uid)
        if job is None or record is None:
            return number, [settled(number, "session over" if self.over else "not held")]
        if size_of(record) > MAX_RECORD_BYTES:
            return number, [
                settled(number, f"record of {size_of(record)} bytes, at most {MAX_RECORD_BYTES}")
            ]
        if known is not None:
            job.since_us[known.index] = now_us - known.age_us
        job.record = replace(record, version=record.version + 1)
        self._tokens.wait(job, number, deadline_us, every)
        return number, self._spread(now_us, job)

    def _spread(self, now_us: int, job: ReplicatedJob) -> list[Effect]:
        """Say a change to all keepers."""
        for name in job.chosen:
            self.keepers.lines[name].want(now_us, job.record.uid)
        return self._next_effects(now_us)

    # -- keepers

    def _wanted(self, uid: str, name: str) -> bool:
        job = self.jobs.get(uid)
        return job is not None and (name in job.chosen or name in job.heed)

    def _say_again(self, now_us: int, line: ReplicaLink, keep: ReplicateRequest) -> None:
        """A mail was not taken."""
        for record in keep.records:
            if self._wanted(record.uid, line.name):
                line.want(now_us, record.uid)
        for uid in keep.gone:
            if uid not in line.dirty:
                line.want(now_us, uid, gone=True)

    def _kept(
        self,
        now_us: int,
        line: ReplicaLink,
        message: ReplicateResponse,
        records: tuple[LeasedJobRecord, ...],
        gone: tuple[str, ...],
    ) -> list[Effect]:
        out: list[Effect] = [Notify("later", {"record": each}) for each in message.later]
        for uid, epoch, holder in message.taken:
            job = self.jobs.get(uid)
            if job is None:
                continue
            # Danger: of two at one epoch each may be refused by the other's keepers, and both let go. One that has
            # started it goes by a later epoch, or by the word of a lesser name's own.
            first = holder != line.name or self.session.placer < holder
            if epoch <= job.record.epoch and first and self.started(uid):
                job.contested.add(line.name)
                self.keepers.lack(now_us, uid, line.name)
                continue
            out += self._tokens.fail(job, "taken")
            out += [Notify("taken", {"uid": uid, "by": holder}), *self.drop(now_us, uid)]
        refused = {uid for uid, _, _ in message.taken}
        for uid in gone:
            if (
                uid in self.jobs
                and uid not in line.dirty
                and line.name not in self.jobs[uid].chosen
            ):
                self.jobs[uid].others.discard(line.name)
                self.jobs[uid].acked.pop(line.name, None)
        for uid in gone:
            if uid in self.jobs:
                out += self._tokens.met(self.jobs[uid])
        for record in records:
            job = self.jobs.get(record.uid) if record.uid not in refused else None
            if job is not None:
                job.acked[line.name] = max(record.version, job.acked.get(line.name, -1))
                job.heed.discard(line.name)
                out += self._tokens.met(job)
                self._tidy(now_us, job)
        return out

    def _tidy(self, now_us: int, job: ReplicatedJob) -> None:
        """Have others forget, once a keeper has the record as it is without them."""
        if any(job.acked.get(name, -1) >= job.moved for name in job.chosen):
            for name in sorted(job.others):
                if name not in job.heed:
                    self.keepers.line(name).want(now_us, job.record.uid, gone=True)

    def _leave(self, now_us: int, line: ReplicaLink) -> None:
        """Drop a keeper: those of its Jobs that somebody waits for are moved first."""
        self.keepers.leave(now_us, line, lambda uid: bool(self.jobs[uid].tokens))

    def _move(self, now_us: int, uid: str, name: str) -> None:
        """Another keeper in place of one; where there is none, it stays, and counts by its own word alone."""
        job, line = self.jobs.get(uid), self.keepers.lines.get(name)
        if job is not None and name in job.contested:
            job.contested.discard(name)
            if self._wanted(uid, name):
                self.keepers.line(name).want(now_us, uid)
            return
        if (
            job is None
            or not (job.alone if line is None else name in job.chosen)
            or self.keepers.stays(now_us, name, job.allowed)
        ):
            return
        new = self.keepers.choose(now_us, uid, job.allowed, 1, job.size, {*job.chosen, *job.others})
        if not new:
            self.keepers.lack(now_us, uid, name)
            return
        if line is None:
            job.chosen, job.alone = list(new), False
        else:
            job.chosen[job.chosen.index(name)] = new[0]
            job.others.add(name)
            line.free(uid)
            if name not in job.heed:
                line.dirty.pop(uid, None)
        self.keepers.lines[new[0]].charge(uid, job.size)
        job.record = replace(
            job.record,
            keepers=tuple(job.chosen),
            version=job.record.version + 1,
            moves=job.record.moves + 1,
        )
        job.moved = job.record.version
        for each in (
            *job.chosen,
            *(name for name in sorted(job.others) if self._wanted(uid, name)),
        ):
            self.keepers.line(each).want(now_us, uid)

    def _renewed(self, now_us: int, line: ReplicaLink, life: int, serial: int) -> None:
        """A keeper has another session: what it had from this holder it has no more, or doubts."""
        line.life, line.serial = life, serial
        line.reset()
        for uid, job in self.jobs.items():
            job.acked.pop(line.name, None)
            if self._wanted(uid, line.name):
                line.want(now_us, uid)
            elif line.name in job.others:
                job.others.discard(line.name)
                line.want(now_us, uid, gone=True)

    # -- mail

    def _next_effects(self, now_us: int) -> list[Effect]:
        """What is due to be said, and the timer for what is next."""
        out: list[Effect] = []
        due = self._tokens.due()
        due += [self.keepers.move_us] if self.keepers.move_us is not None else []
        for line in self.keepers.lines.values():
            if line.out is None and line.due_us is not None and line.due_us <= now_us:
                line.due_us = None
                if line.dirty or line.gone:
                    records = line.take(lambda uid: self.jobs[uid].said(now_us))
                    out.append(Send(line.name, "", line.mail(now_us, self.session, records)))
            elif line.out is not None and line.out.again_us <= now_us:
                out.append(Send(line.name, "", line.again(now_us)))
            due += line.next_us(now_us, self.bounds.slow_us)
        if due and (self._timer_us is None or min(due) < self._timer_us):
            self._timer_us = max(now_us, min(due))
            out.append(SetTimer(TIMER, self._timer_us))
        return out
