"""Replication of job records: this placer as holder of leased Jobs, keeper of other regions' records, and successor.

What is decided stands in `decide.replication.replicator`; this carries it out: letters by the host of what placers say
to each other, tokens as waits that end by themselves, who lives by membership, ends by the voters' log.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.effects import Effect, Notify, Send
from wingbarrow.decide.replication.replicator import Replicator
from wingbarrow.decide.sessions.failover import StartOrder
from wingbarrow.decide.sessions.failover_pace import FailoverPace
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import (
    MachineQuery,
    MachineReport,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
)
from wingbarrow.decide.sessions.recovery import OwnJob
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub, Signal

NAME = "custody"
KINDS = (
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
    MachineQuery,
    MachineReport,
)
LOOK_US = 200_000  # between two looks at who lives
PACE = FailoverPace(
    8, 25_000, 16, 5_000
)  # what is done in one go holds up all else: a start 0.6 ms, a take-over 0.4 ms
OVERDUE_US = 2_000_000  # after its deadline a token counts as not good, whatever holds its word up
Then = Callable[[str], None]
Fields = Mapping[str, Any]


class RecordReplication:
    """A token's word is "" where a record is where it must be, else why it is not. `on` is what the core hears.

    Of `on`: `session-over`, `startable`, `stop`, `ask-machine`, `settled`, `reissue`, as
    `decide.replication.replicator` says.
    """

    def __init__(self, hub: Hub, settings: PlacerSettings, life: int, peering: Peering) -> None:
        self._hub, self._peering = hub, peering
        self.custodian = Replicator(
            settings.name, life, settings.region, settings.seed * 31 + life, pace=PACE
        )
        self._then: dict[int, Then] = {}
        self._alive: dict[str, tuple[str, int]] = {}
        self.on: dict[str, Callable[[Fields], None]] = {}
        self.own: Callable[[Session], Mapping[str, OwnJob]] = (
            lambda session: {}
        )  # Jobs of a session of this placer's
        peering.host(NAME, self, KINDS)
        peering.lease.report_jobs(
            count_leased=lambda: len(self.custodian.custody.jobs),
            held_records=self.custodian.keeping.kept,
        )
        peering.on_session, peering.on_ended = self._session, self._ended

    def run(self) -> None:
        """Follow who lives, until cancelled."""
        while True:
            self.look()
            self._hub.sleep(LOOK_US)

    def look(self) -> None:
        """Take in who lives now."""
        alive = {
            each.word.ident: (each.word.region, each.word.life)
            for each in self._peering.membership.table.living()
            if each.word.region
        }
        if alive != self._alive:
            self._alive = alive
            self.give(self.custodian.members(self._hub.now_us(), alive))

    # -- what the core asks of its keepers

    def hold(
        self,
        record: LeasedJobRecord,
        allowed: Collection[str],
        copies: int,
        deadline_us: int,
        then: Then,
    ) -> None:
        """Have a Job's record at its keepers; where it is not, `drop` it."""
        self._ask(
            self.custodian.custody.hold(self._hub.now_us(), record, allowed, copies, deadline_us),
            then,
        )

    def about(self, uid: str, known: KnownTask, deadline_us: int, then: Then) -> None:
        """An attempt is about to be sent."""
        self._ask(self.custodian.custody.about(self._hub.now_us(), uid, known, deadline_us), then)

    def placed(self, uid: str, known: KnownTask, deadline_us: int, then: Then) -> None:
        """A task stands on a machine."""
        self._ask(self.custodian.custody.placed(self._hub.now_us(), uid, known, deadline_us), then)

    def back(self, uid: str, index: int) -> None:
        """An attempt is proven not to run."""
        now = self._hub.now_us()
        if uid in self.custodian.custody.jobs:
            self._heard(self.custodian.custody.back(now, uid, index, now)[1])

    def over(self, uid: str, index: int) -> None:
        """A task is over."""
        now = self._hub.now_us()
        if uid in self.custodian.custody.jobs:
            self._heard(self.custodian.custody.ended(now, uid, index, now)[1])

    def answered(self, uid: str, answer: str) -> None:
        """What the owner was told."""
        now = self._hub.now_us()
        if uid in self.custodian.custody.jobs:
            self._heard(self.custodian.custody.answered(now, uid, answer, now)[1])

    def drop(self, uid: str) -> None:
        """A Job needs no keeping any more."""
        self.give(self.custodian.drop(self._hub.now_us(), uid))

    def wait(self, ask: Callable[[Then], None], until_us: int) -> str:
        """Ask for something, and wait for its word: for a bounded time, whatever goes wrong."""
        words: list[str] = []
        done = Signal(self._hub)

        def then(why: str) -> None:
            words.append(why)
            done.notify()

        ask(then)
        if not words:
            with self._hub.limit(max(0, until_us - self._hub.now_us()) + OVERDUE_US):
                done.wait()
        return words[0] if words else "no word of custody itself"

    def _ask(self, asked: tuple[int, list[Effect]], then: Then) -> None:
        number, effects = asked
        self._then[number] = then
        self._heard(effects)

    # -- what the core takes over, and says of machines

    def next(
        self, cores: float, memory: float, may: Callable[[LeasedJobRecord], bool]
    ) -> list[StartOrder]:
        """What may be started now, in order, within that room."""
        starts, effects = self.custodian.next(self._hub.now_us(), cores, memory, may)
        self.give(effects)
        return starts

    def operator(self, uid: str) -> None:
        """An operator answers for it that an unknown Job never ran."""
        self.give(self.custodian.operator(self._hub.now_us(), uid))

    def say(self, ident: str, message: MachineReport) -> None:
        """What a machine told, to who asked."""
        self.give([Send(ident, "", message)])

    # -- what the host of peers calls

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """A letter."""
        if isinstance(message, ReplicateResponse) and message.over:
            self.own(self.custodian.custody.session)  # what it has of it is gone with that answer
        return self._sift(self.custodian.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer."""
        return self._sift(self.custodian.on_timer(now_us, key))

    def give(self, effects: Iterable[Effect]) -> None:
        """Carry out what is asked for."""
        self._peering.act(NAME, self._sift(effects))

    def _heard(self, effects: list[Effect]) -> None:
        """Of a call on the holder's side alone: the other sides hear of it first."""
        self.give(self.custodian.carry(self._hub.now_us(), effects))

    def _sift(self, effects: Iterable[Effect]) -> list[Effect]:
        """What is left for the host once what concerns this placer's own components is done."""
        out: list[Effect] = []
        for each in effects:
            if isinstance(each, Notify) and each.event == "kept":
                then, why = self._then.pop(each.fields["token"], None), str(each.fields["why"])
                if then is not None:
                    then(why)
                elif why:
                    self._peering.counts["custody:" + why.partition(" from ")[0][:60]] += 1
                continue
            out.append(each)
            if isinstance(each, Notify) and each.event in self.on:
                self.on[each.event](each.fields)
        return out

    # -- sessions

    def _session(self, session: Session, may: bool, epoch: int) -> None:
        if may and session != self.custodian.custody.session:
            self.give(self.custodian.begin(self._hub.now_us(), session))

    def _ended(self, ended: EndedSession) -> None:
        runs = {uid for uid, own in self.own(ended.session).items() if own.is_running}
        self.give(self.custodian.over(self._hub.now_us(), ended, runs))
