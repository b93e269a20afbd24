"""One placer's part in custody, whole: holder, keeper, and successor of sessions that ended; what the core talks to.

`hold`, `about`, `placed`, `back`, `ended`, `answered` are called on `custody` itself; all else here, as it concerns
more than one part. Tells for the core: `kept` (a token), `session-over`, `reissue`, `startable` (call `next`),
`stop` (a Job that another holds by a later word: `fate` says whether it was started here), `ask-machine` (a machine
of this region is to be fenced and asked, its answer sent back as `MachineSays`), `settled`, `orphans`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.primary import TIMER as CUSTODY
from wingbarrow.decide.replication.primary import Primary
from wingbarrow.decide.replication.records import ReplicationLimits, doubted
from wingbarrow.decide.replication.replica import UNKNOWN_HERE, Replica, Taking
from wingbarrow.decide.sessions.failover import (
    FailoverState,
    SessionFailover,
    StartOrder,
    start_order_key,
)
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import LeasedJobRecord
from wingbarrow.decide.sessions.machine_queries import NUMBERS_PER_EPOCH
from wingbarrow.decide.sessions.messages import (
    MAX_RESOLVE_UIDS,
    MachineQuery,
    Message,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
)
from wingbarrow.decide.sessions.recovery import OwnJob, SessionRecovery
from wingbarrow.decide.sessions.reissue import ReissueDecision
from wingbarrow.decide.sessions.session import EndedSession, Session

CLAIM_US = 10_000_000  # until a claim's token is renewed
WATCH_US = 3_000_000  # between looks at what others are to take over
IDLE_US = 1_000_000  # until the core is asked again that took nothing of what is ready
LAST_US = 30_000_000  # after it, what nobody takes over is taken over by whoever keeps it
STARTABLE, WATCH, TAKING = "startable", "watch", "taking"


class Replicator:
    """One placer's. `terms`: the regions that a Job's spec allows now, and how many keepers it wants."""

    def __init__(
        self,
        me: str,
        life: int,
        region: str,
        seed: int,
        bounds: ReplicationLimits = ReplicationLimits(),
        pace: FailoverPace = FailoverPace(),
    ) -> None:
        self.me, self.region, self.pace = me, region, pace
        self.custody = Primary(me, life, region, seed, bounds)
        self.keeping = Replica(me, life, bounds)
        self.custody.started = (
            lambda uid: self.keeping.taken.get(uid, (0, ""))[1] == ReissueDecision.RUN.value
        )
        self.terms: Callable[[LeasedJobRecord], tuple[tuple[str, ...], int]] = lambda record: (
            (),
            1,
        )
        self.takeovers: dict[Session, SessionFailover] = {}
        self.healings: dict[Session, SessionRecovery] = {}
        self._alive: dict[str, tuple[str, int]] = {}
        self._claims: dict[int, str] = {}  # tokens of Jobs taken over
        self._where: dict[str, SessionFailover] = {}  # by uid
        self._heap: list[tuple[int, int, str, str]] = []
        self._next_us = 0  # when the core may have more
        self._startable_us: int | None = None
        self._watch_us: int | None = None
        self._taking: dict[Session, EndedSession] = {}  # ends of which more is to be taken over
        self._heard: dict[Session, int] = {}  # when an end was heard of
        self._settles: dict[int, str] = {}
        self._number = 0

    # -- what is heard

    def members(self, now_us: int, alive: Mapping[str, tuple[str, int]]) -> list[Effect]:
        """Placers by name that are alive by membership: region and life."""
        self._alive = dict(alive)
        out = self._go(now_us, self.custody.members(now_us, alive))
        for takeover in self.takeovers.values():
            out += self._go(now_us, takeover.on_placers(now_us, self._askers(takeover)))
        return out

    def over(self, now_us: int, ended: EndedSession, runs: Collection[str] = ()) -> list[Effect]:
        """The voters ended a session, or it has more successors; to be said in the order of epochs.

        `runs`: where it was this placer's, the Jobs of which something still runs on its machines.
        """
        out = self._go(now_us, self.custody.buried(now_us, ended.session, ended.epoch))
        if ended.session.placer == self.me:
            healing = self.healings.get(ended.session)
            if (
                healing is None
                and self.custody.former_session == ended.session
                and self.custody.former
            ):
                jobs = {
                    uid: OwnJob(job.said(now_us), uid in runs)
                    for uid, job in self.custody.former.items()
                }
                healing = self.healings[ended.session] = SessionRecovery(
                    self.me, ended.session, jobs
                )
            return out + (
                self._go(now_us, healing.on_session_ended(now_us, ended))
                if healing is not None
                else []
            )
        out += self._succeed(now_us, ended)
        if ended.session in self.keeping.ends:
            self._heard.setdefault(ended.session, now_us)
        return out + self._watch(now_us)

    def _succeed(self, now_us: int, ended: EndedSession) -> list[Effect]:
        """Take over so many, and the rest in later turns."""
        takings = self.keeping.ended(now_us, ended, self.pace.max_claims)
        if len(takings) < self.pace.max_claims:
            self._taking.pop(ended.session, None)
        else:
            self._taking[ended.session] = ended
        out = self._take(now_us, ended.session, ended.epoch, takings)
        return (
            [*out, SetTimer(TAKING, now_us + self.pace.claim_interval_us)] if self._taking else out
        )

    def begin(self, now_us: int, session: Session) -> list[Effect]:
        """This placer's former session was ended, and it has this one: it holds nothing, and succeeds nobody."""
        out = self._go(now_us, self.custody.begin(now_us, session))
        self.keeping.own_end(session, self.custody.former)
        self.takeovers.clear()
        self._taking.clear()
        self._where.clear()
        self._claims.clear()
        self._heap.clear()
        return out

    def drop(self, now_us: int, uid: str) -> list[Effect]:
        """A Job is over, deleted, or was never accepted: nobody needs to keep it."""
        if uid in self._where:
            self._where.pop(uid).remove(uid)
            self.keeping.let_go(uid)
            self._prune()
        return self._go(now_us, self.custody.drop(now_us, uid))

    def operator(self, now_us: int, uid: str) -> list[Effect]:
        """An operator answers for it that an unknown Job never ran."""
        return (
            self._go(now_us, self._where[uid].on_operator_confirmation(now_us, uid))
            if uid in self._where
            else []
        )

    def record(self, uid: str) -> LeasedJobRecord | None:
        """What is known here of a Job that is being taken over."""
        return self._where[uid].cases[uid].record if uid in self._where else None

    def fate(self, uid: str) -> str:
        """Of a Job that is being taken over; "" of any other."""
        return self._where[uid].cases[uid].state.value if uid in self._where else ""

    def unknown(self) -> list[LeasedJobRecord]:
        """Jobs that are kept as unknown, for the operator's list; those of a session of before, too, until settled."""
        healing = [
            own.record
            for each in self.healings.values()
            for own in each.jobs.values()
            if own.record.effect != "safe"
        ]
        return healing + [
            case.record
            for takeover in self.takeovers.values()
            for case in takeover.cases.values()
            if case.state is FailoverState.UNKNOWN
        ]

    def on_message(self, now_us: int, ident: str, address: str, message: Message) -> list[Effect]:
        """Mail came."""
        if isinstance(message, ReplicateRequest):
            return self._go(now_us, self.keeping.on_keep(now_us, ident, message))
        if isinstance(message, ReplicateResponse):
            return self._go(now_us, self.custody.on_message(now_us, ident, message))
        if isinstance(message, ResolveRequest):
            return self.keeping.settle(ident, message, self._held(message))
        if isinstance(message, ResolveResponse):
            return self._settled(now_us, ident, message)
        if isinstance(message, MachineQuery):
            return [
                Notify(
                    "ask-machine",
                    {
                        "to": ident,
                        "number": message.number,
                        "machine": message.machine,
                        "uid": message.uid,
                        "epoch": message.epoch,
                    },
                )
            ]
        takeover = next(
            (
                each
                for each in self.takeovers.values()
                if each.epoch == message.number // NUMBERS_PER_EPOCH
            ),
            None,
        )
        return (
            self._go(now_us, takeover.on_machine_report(now_us, message))
            if takeover is not None
            else []
        )

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer is due."""
        if key == CUSTODY:
            return self._go(now_us, self.custody.on_timer(now_us))
        if key == STARTABLE:
            self._startable_us = None
            return [Notify("startable", {"jobs": len(self._heap)})] if self._heap else []
        if key == TAKING:
            return self._succeed(now_us, next(iter(self._taking.values()))) if self._taking else []
        if key == WATCH:
            self._watch_us = None
            return self._watch(now_us, ask=True)
        self.healings = {
            session: each for session, each in self.healings.items() if not each.is_done
        }
        parts: list[SessionFailover | SessionRecovery] = [
            *self.takeovers.values(),
            *self.healings.values(),
        ]
        return [
            effect
            for each in parts
            if each.timer == key
            for effect in self._go(now_us, each.on_timer(now_us))
        ]

    # -- what the core takes

    def next(
        self,
        now_us: int,
        cores: float,
        memory: float,
        may: Callable[[LeasedJobRecord], bool] = lambda record: True,
    ) -> tuple[list[StartOrder], list[Effect]]:
        """What may be started now, in order, within that room; `may`: whether its spec allows it here, now."""
        out: list[StartOrder] = []
        left: list[tuple[int, int, str, str]] = []
        while (
            now_us >= self._next_us
            and self._heap
            and len(out) < self.pace.max_starts
            and len(left) < 8 * self.pace.max_starts
        ):
            entry = heapq.heappop(self._heap)
            takeover = self._where.get(entry[3])
            if takeover is None or entry[3] not in takeover.ready:
                continue
            record = takeover.cases[entry[3]].record
            tasks = len(takeover.cases[entry[3]].start_indexes)
            if record.cores * tasks > cores or record.memory * tasks > memory or not may(record):
                left.append(entry)
                continue
            cores, memory = cores - record.cores * tasks, memory - record.memory * tasks
            out.append(takeover.start(record.uid))
            self.keeping.fate(record.uid, ReissueDecision.RUN.value)
        for entry in left:
            heapq.heappush(self._heap, entry)
        if out:
            self._next_us = now_us + self.pace.start_interval_us
        return out, self._call(now_us, 0 if out else IDLE_US)

    def _call(self, now_us: int, after_us: int = 0) -> list[Effect]:
        """Have the core come for what is ready."""
        if not self._heap or self._startable_us is not None:
            return []
        self._startable_us = max(
            self._next_us, now_us + max(after_us, self.pace.start_interval_us // 4)
        )
        return [SetTimer(STARTABLE, self._startable_us)]

    def carry(self, now_us: int, effects: list[Effect]) -> list[Effect]:
        """Of a call on `custody` itself: what concerns the other parts is heard there; the rest is to be done."""
        return self._go(now_us, effects)

    # -- inside

    def _askers(self, takeover: SessionFailover) -> list[str]:
        regions = {case.record.region for case in takeover.cases.values()}
        return [name for name, (region, _) in self._alive.items() if region in regions]

    def _must(self, taking: Taking) -> tuple[str, ...]:
        """Danger: one that is dead by the voters never answers; one that is there, or stands in a batch, has to."""
        end = self.keeping.ends.get(taking.record.session)
        named = {name for batch in end.batches for name in batch} if end is not None else set()
        return tuple(
            name
            for name in taking.must
            if name in self._alive or name in named or name not in self.keeping.latest
        )

    def _take(
        self, now_us: int, session: Session, epoch: int, takings: list[Taking]
    ) -> list[Effect]:
        if not takings:
            return []
        takeover = self.takeovers.get(session)
        if takeover is None:
            takeover = self.takeovers[session] = SessionFailover(session, epoch)
        self._where |= {taking.record.uid: takeover for taking in takings}
        out = self._go(now_us, takeover.add(now_us, takings))
        out += self._go(now_us, takeover.on_placers(now_us, self._askers(takeover)))
        for taking in takings:
            record = taking.record
            allowed, copies = self.terms(record)
            record = replace(record, epoch=taking.epoch, version=record.version + 1)
            must = self._must(taking)
            token, effects = self.custody.hold(
                now_us, record, allowed, copies, now_us + CLAIM_US, must, alone=True
            )
            self._claims[token] = record.uid
            out += self._go(now_us, effects)
        return out

    def _go(self, now_us: int, effects: list[Effect]) -> list[Effect]:
        """What the parts tell each other is heard here; the rest goes out, in order."""
        out: list[Effect] = []
        for effect in effects:
            if not isinstance(effect, Notify):
                out.append(effect)
                continue
            said = effect.fields
            uid = said.get("uid", "")
            if effect.event == "kept" and said["token"] in self._claims:
                out += self._claim(now_us, self._claims.pop(said["token"]), said)
            elif effect.event == "later":
                record: LeasedJobRecord = said["record"]
                if record.uid in self._where:
                    takeover = self._where[record.uid]
                    out += self._go(now_us, takeover.on_replica_record(now_us, record))
                    if record.uid in takeover.cases:
                        tasks = takeover.cases[record.uid].record.tasks
                        out += self.custody.learn(now_us, record.uid, tasks)
            elif effect.event in ("superseded", "taken"):
                out += self._lost(now_us, uid, said)
            elif effect.event == "settled":
                self.custody.former.pop(uid, None)
                out += [
                    effect,
                    *(self._again(now_us, said["own"], said["epoch"]) if not said["by"] else []),
                ]
            elif effect.event == "reissue":
                self.keeping.fate(uid, said["verdict"])
                out.append(effect)
                takeover = self._where[uid]
                if said["verdict"] == ReissueDecision.RUN.value and uid in takeover.ready:
                    heapq.heappush(self._heap, (*start_order_key(takeover.cases[uid]), uid))
                    out += self._call(now_us)
            else:
                out.append(effect)
        return out

    def _claim(self, now_us: int, uid: str, said: Mapping[str, Any]) -> list[Effect]:
        takeover = self._where.get(uid)
        if takeover is None or said["why"] in ("taken", "dropped", "session over"):
            return []
        if said["good"]:
            return self._go(now_us, takeover.on_claimed(now_us, uid))
        every = takeover.cases[uid].record.effect != "safe"
        token, effects = self.custody.again(now_us, uid, now_us + CLAIM_US, every)
        if uid in self.custody.jobs:
            self._claims[token] = uid
        return self._go(now_us, effects)

    def _lost(self, now_us: int, uid: str, said: Mapping[str, Any]) -> list[Effect]:
        """Another holds a Job by a later word."""
        takeover = self._where.pop(uid, None)
        fate = "run"
        if takeover is not None and uid in takeover.cases:
            fate = takeover.cases[uid].state.value
            takeover.remove(uid)
            self.keeping.let_go(uid)
            self._prune()
        out = self._go(now_us, self.custody.drop(now_us, uid))
        return [*out, Notify("stop", {"uid": uid, "fate": fate, "by": said["by"]})]

    def _prune(self) -> None:
        self.takeovers = {session: each for session, each in self.takeovers.items() if each.cases}
        self._heard = {
            session: at for session, at in self._heard.items() if session in self.keeping.ends
        }

    def _again(self, now_us: int, own: OwnJob, epoch: int) -> list[Effect]:
        """Nobody knows a Job of this placer's former session: it succeeds itself."""
        if own.record.uid in self.custody.jobs:
            return []
        must = {*own.record.keepers, *own.record.others} - {self.me}
        taking = Taking(doubted(own.record), epoch, tuple(sorted(must)))
        self.keeping.taken[own.record.uid] = epoch, ReissueDecision.WAIT.value
        return self._take(now_us, own.record.session, taking.epoch, [taking])

    def _watch(self, now_us: int, ask: bool = False) -> list[Effect]:
        """Jobs kept here that others are to take over: whether they do."""
        out: list[Effect] = []
        others = self.keeping.others()
        for name, uids in sorted(others.items()) if ask else ():
            by_session: dict[Session, list[str]] = {}
            for uid in uids:
                by_session.setdefault(self.keeping.entries[uid].record.session, []).append(uid)
            for session, some in by_session.items():
                if name:
                    self._number += 1
                    self._settles[self._number] = name
                    out.append(
                        Send(
                            name,
                            "",
                            ResolveRequest(self._number, session, tuple(some[:MAX_RESOLVE_UIDS])),
                        )
                    )
                elif now_us >= self._heard.get(session, now_us) + LAST_US:
                    out.append(Notify("orphans", {"session": session.text(), "jobs": len(some)}))
                    out += self._take_each(now_us, some)
        while len(self._settles) > 1024:
            del self._settles[next(iter(self._settles))]
        if others and self._watch_us is None:
            self._watch_us = now_us + WATCH_US
            out.append(SetTimer(WATCH, self._watch_us))
        return out

    def _take_each(self, now_us: int, uids: list[str]) -> list[Effect]:
        out: list[Effect] = []
        for uid in uids:
            taking = self.keeping.take(now_us, uid)
            if taking is not None:
                out += self._take(now_us, taking.record.session, taking.epoch, [taking])
        return out

    def _held(self, ask: ResolveRequest) -> dict[str, tuple[int, str]]:
        """Of these Jobs, those that this placer holds, or held under a session that is being healed."""
        out = {}
        for uid in ask.uids:
            job = self.custody.jobs.get(uid)
            if job is not None and ask.session != self.custody.session:
                out[uid] = job.record.epoch, ReissueDecision.RUN.value
            for healing in self.healings.values():
                own = healing.jobs.get(uid)
                if own is not None and healing.session != ask.session:
                    out[uid] = own.record.epoch, ReissueDecision.WAIT.value
        return out

    def _settled(self, now_us: int, ident: str, message: ResolveResponse) -> list[Effect]:
        healing = self.healings.get(message.session)
        if healing is not None:
            out = self._go(now_us, healing.on_resolve_response(now_us, ident, message))
            if healing.is_done:
                del self.healings[message.session]
            return out
        if self._settles.pop(message.number, "") != ident:
            return []
        out = []
        for uid, epoch, fate in message.fates:
            entry = self.keeping.entries.get(uid)
            if entry is not None and fate != UNKNOWN_HERE and epoch > entry.record.epoch:
                self.keeping.known_elsewhere(uid)
            elif entry is not None and fate == UNKNOWN_HERE and not entry.doubt:
                out += self._take_each(now_us, [uid])
        return out
