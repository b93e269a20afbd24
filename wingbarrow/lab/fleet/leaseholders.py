"""Sessions by the dozen on a virtual clock: each placer sends while it may, keepers say what they keep, and a judge
looks at true time: who sent, or had a machine run, when somebody else already knew that the session was over.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.effects import Effect, Notify
from wingbarrow.decide.sessions.lease_times import ended_within_us, one_way_renewal_us
from wingbarrow.decide.sessions.messages import HeldRecords
from wingbarrow.decide.sessions.session import Session, parse_session
from wingbarrow.decide.sessions.session_lease import SessionLease
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.lab.fleet.coordination_simulation import CoordinationSimulation
from wingbarrow.lab.fleet.schedules import rules
from wingbarrow.lab.fleet.simulation import SECOND

TURN_US = 50_000  # between looks at all placers
HOLD_US = 10_000  # the longest that a byte may wait between the gate and the socket
SLOW = 5e-4  # of a machine's clock, at worst
KEEPERS = 2
LATE_US = 2_500_000
KINDS = (
    "cut",
    "one way",
    "between",
    "heal",
    "lose",
    "late",
    "stop",
    "kill",
    "kill region",
    "return",
    "flap",
)
SLACK_US = 1_500_000  # for asks that are lost now and then, beyond the formula


class Decided(SessionSubsystem):
    """A voter's part that says when an end is decided."""

    def __init__(self, owner: Leaseholders, lease_us: int) -> None:
        super().__init__(lease_us)
        self._owner = owner

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """As it is, and told."""
        super().apply(kind, value)
        if kind == "ended":
            self._owner.on_decided(parse_session(value["session"]), tuple(value["successors"]))


@dataclass(slots=True)
class Life:
    """What truly became of a session, in true time."""

    sent_us: int = 0  # the latest first byte, as late as it may leave
    runs_us: int = 0  # until when a machine may run for it
    asked_us: int = 0  # for what renewed it last
    decided_us: int | None = None
    told_us: int | None = None  # when the first other placer heard of the end


@dataclass(slots=True)
class Watched:
    """Since when nothing has happened that puts off the end of an open session."""

    since_us: int
    kept: bool


class Leaseholders(CoordinationSimulation):
    """`count` placers in `regions` regions, dealt out evenly; the first voters are of all regions."""

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        regions: int = 3,
        lease_us: int = 4 * SECOND,
        after_us: int = 6 * SECOND,
        times: Timing = Timing(),
    ) -> None:
        self.lease_us, self.after_us = lease_us, after_us
        self.regions = [f"region-{index}" for index in range(regions)]
        self.kept: dict[
            str, dict[Session, int]
        ] = {}  # by keeper: what for, since when it knows of the end (0: open)
        self.leases: dict[str, SessionLease] = {}
        self.histories: dict[Session, Life] = {}
        self.faults: list[str] = []
        self.ends = self.with_successor = self.watched_longest_us = self.sends = 0
        self.late = 0.0  # share of the mail that takes up to `LATE_US`
        self._watched: dict[Session, Watched] = {}
        self._led: tuple[str, int] = "", 0
        self._cores: dict[str, SessionSubsystem] = {}
        super().__init__(count, voters, seed, times)
        self._delay_us = self._delayed_us
        self.at(0, self._turn)

    def _delayed_us(self, rng: random.Random) -> int:
        return rng.randrange(LATE_US) if rng.random() < self.late else 200 + rng.randrange(800)

    def region(self, name: str) -> str:
        """Where a placer stands."""
        return self.regions[self.names.index(name) % len(self.regions)]

    def make(self, name: str, now_us: int) -> Coordinator:
        """An agreement with sessions; what a life kept for others is gone with it."""
        lease, self.kept[name] = SessionLease(name, self.region(name)), {}
        self.leases[name] = lease
        lease.set_report_sources(
            count_leased=lambda: 1,
            held_records=lambda: tuple(
                HeldRecords(session, 1, self.after_us) for session in sorted(self.kept[name])
            ),
        )
        chapters = (Decided(self, self.lease_us),) if name in self.voters else ()
        if chapters:
            self._cores[name] = chapters[0]
        disk = copy.deepcopy(self.disks[name]) if name in self.disks else None
        return Coordinator(
            LocalPlacer(name, self.incarnations[name]),
            CoordinationSettings(self.voters, self.times),
            disk,
            self.random.randrange(1 << 30),
            Subsystems(chapters, (lease,)),
        )

    def found(self) -> None:
        """Have a leader, first rules, and a session for everybody."""
        self.run_until(lambda: self.leader() is not None, 20 * SECOND)
        self.propose(rules(len(self.names)))
        self.run_until(self.all_open, 20 * SECOND)

    def all_open(self) -> bool:
        """Whether every placer may send."""
        return len(self.members) == len(self.names) and all(
            lease.may_send(self.clock_us(name)) for name, lease in self.leases.items()
        )

    def one_log(self) -> bool:
        """Whether all voters have the same state."""
        return len({self._cores[name].snapshot() for name in self.voters}) == 1

    def log(self) -> SessionSubsystem:
        """The leader's part."""
        return self._cores[self.leader() or self.voters[0]]

    # -- what is seen

    def life(self, session: Session) -> Life:
        """What is known of a session."""
        return self.histories.setdefault(session, Life())

    def on_decided(self, session: Session, successors: tuple[str, ...]) -> None:
        """A voter has an end in its log as decided; the first to do so counts."""
        life = self.life(session)
        if life.decided_us is not None:
            return
        life.decided_us = self.now_us
        self.ends += 1
        self.with_successor += bool(successors)
        self._watched.pop(session, None)
        if self.now_us < max(life.sent_us, life.runs_us):
            self.faults.append(
                f"{self.now_us}: {session.text()} ended, though it sends until {life.sent_us} and runs "
                f"until {life.runs_us}"
            )
        present = self.incarnations[session.placer] == session.life
        if present and life.asked_us and self.now_us < life.asked_us + self.after_us:
            self.faults.append(f"{self.now_us}: {session.text()} ended sooner than after `after`")

    def act(self, name: str, effects: list[Effect]) -> None:  # type: ignore[override]
        """Effects, with what is told about ends looked at."""
        for each in effects:
            if isinstance(each, Notify) and each.event == "session-ended":
                self._on_told(name, parse_session(each.fields["session"]))
        super().act(name, effects)

    def _on_told(self, name: str, session: Session) -> None:
        life = self.life(session)
        if name != session.placer and life.told_us is None:
            life.told_us = self.now_us
        if life.decided_us is None:
            self.faults.append(
                f"{self.now_us}: {name} heard of the end of {session.text()}, which is not decided"
            )
        if session in self.kept[name] and not self.kept[name][session]:
            self.kept[name][session] = self.now_us

    # -- what happens all the time

    def _turn(self) -> None:
        for name in self.members:
            if name not in self.stopped:
                self._send_one(name)
                self._keep(name)
        self._watch()
        self.at(self.now_us + TURN_US, self._turn)

    def _send_one(self, name: str) -> None:
        lease, local = self.leases[name], self.clock_us(name)
        session = lease.session
        if session is None or not lease.may_send(local):
            return
        life = self.life(session)
        self.sends += 1
        life.sent_us = self.now_us + HOLD_US
        life.asked_us = self.now_us - (local - lease.requested_us)
        life.runs_us = max(
            life.runs_us, self.now_us + int((lease.machine_lease_until_us - local) / (1 - SLOW))
        )
        if life.told_us is not None or life.decided_us is not None:
            self.faults.append(
                f"{self.now_us}: {session.text()} sends, though its end was decided at "
                f"{life.decided_us} and told at {life.told_us}"
            )

    def _keep(self, name: str) -> None:
        """As custody does it: two keepers of other regions, in touch; what was taken over is let go in the end."""
        mine = self.kept[name]
        for over in [each for each, at in mine.items() if at and at + 20 * SECOND < self.now_us]:
            del mine[over]
        session = self.leases[name].session
        if session is None:
            return
        some = [
            each
            for each in self.names
            if each in self.members
            and self.region(each) != self.region(name)
            and self.in_touch(name, each)
        ]
        held = [each for each in some if session in self.kept[each]]
        for each in [each for each in some if each not in held][: max(0, KEEPERS - len(held))]:
            self.kept[each][session] = 0

    def in_touch(self, one: str, other: str) -> bool:
        """Whether two that run hear each other."""
        return all(
            each in self.members and each not in self.stopped for each in (one, other)
        ) and not (self.cut(one, other) or self.cut(other, one))

    def reaches(self, name: str, leader: str) -> bool:
        """Whether asks and grants pass between a placer and the leader, by way of a voter where not else."""
        return self.in_touch(name, leader) or any(
            self.in_touch(name, each) and self.in_touch(each, leader) for each in self.voters
        )

    # -- ends in time

    def _watch(self) -> None:
        """Count for how long nothing has put off the end of each open session; longer than stated is a fault."""
        leader = self.leader()
        raft = self.members[leader].raft if leader is not None else None
        led = (leader, raft.persistent.term) if leader is not None and raft is not None else ("", 0)
        touched = [
            each for each in self.voters if leader is not None and self.in_touch(leader, each)
        ]
        if led != self._led or leader is None or 2 * len(touched) <= len(self.voters) or self.late:
            self._led = led
            self._watched.clear()
            return
        log = self._cores[leader].log
        for session in log.open:
            name = session.placer
            superseded = log.latest[name].session != session
            heard = (
                name in self.members
                and self.incarnations[name] == log.latest[name].process
                and self.reaches(name, leader)
                and not superseded
            )
            kept = any(
                session in self.kept[each] and self.reaches(each, leader) for each in self.members
            )
            held = self._watched.get(session)
            if heard or held is None or held.kept != kept:
                self._watched[session] = Watched(self.now_us, kept)
                continue
            most = ended_within_us(
                self.lease_us, 0 if superseded else self.after_us if kept else None
            )
            if name in self.members and any(
                not self.cut(name, each) and (each == leader or self.in_touch(each, leader))
                for each in self.voters
            ):
                most += one_way_renewal_us(self.lease_us)  # it may be heard, and not hear
            spent = self.now_us - held.since_us
            if spent > most + SLACK_US:
                self.faults.append(
                    f"{self.now_us}: {session.text()} is open {spent} us after all was still; {most} "
                    "are stated"
                )
                held.since_us = self.now_us
        for gone in self._watched.keys() - log.open.keys():
            del self._watched[gone]


def trouble(holders: Leaseholders, seed: int, moments: int = 20) -> Iterator[str]:
    """Regions cut off, one way, from each other, flapping; placers and regions killed, stopped, back; all heals."""
    rng = random.Random(f"leases/{seed}")
    holders.duplication = 0.1
    span = 2 * (holders.lease_us + holders.after_us)
    for _ in range(moments):
        some, region = rng.choice(holders.names), rng.choice(holders.regions)
        side = {name for name in holders.names if holders.region(name) == region}
        what = rng.choices(KINDS, (4, 2, 2, 4, 1, 2, 4, 3, 1, 4, 2))[0]
        if what in ("cut", "one way"):
            one = what == "one way"
            holders.cut = lambda a, b, side=side, one=one: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif what == "between":
            third = rng.choice(holders.regions)
            other = {name for name in holders.names if holders.region(name) == third} - side
            holders.cut = lambda a, b, side=side, other=other: (  # type: ignore[misc]
                (a in side and b in other) or (b in side and a in other)
            )
        elif what == "heal":
            holders.cut, holders.loss, holders.late = (lambda a, b: False), 0.0, 0.0
        elif what == "late":
            holders.late = rng.choice((0.02, 0.1))
        elif what == "lose":
            holders.loss = rng.choice((0.1, 0.3))
        elif what == "stop" and some in holders.members and some not in holders.stopped:
            holders.stop(some, rng.randrange(span))
        elif what in ("kill", "kill region"):
            for name in [some] if what == "kill" else sorted(side):
                if name in holders.members and len(holders.members) > 1:
                    holders.kill(name)
        elif what == "return":
            for name in sorted(set(holders.names) - set(holders.members)):
                holders.start(name)
        elif what == "flap":
            for _ in range(6):  # faster than the lease
                holders.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
                holders.run(holders.now_us + rng.randrange(holders.lease_us // 2))
                holders.cut = lambda a, b: False
                holders.run(holders.now_us + rng.randrange(holders.lease_us // 4))
        holders.run(holders.now_us + rng.randrange(span // 2))
        yield what
    holders.cut, holders.loss, holders.late = (lambda a, b: False), 0.0, 0.0
    for name in sorted(set(holders.names) - set(holders.members)):
        holders.start(name)
    holders.run(holders.now_us + span + 10 * SECOND)
    if not holders.run_until(holders.all_open, 30 * SECOND):
        holders.faults.append(f"{holders.now_us}: not all have a session after all healed")
    if not holders.run_until(holders.one_log, 5 * SECOND):
        holders.faults.append(f"{holders.now_us}: voters have decided different things")
    yield "healed"


def played(count: int, voters: int, seed: int, moments: int = 20, **terms: Any) -> Leaseholders:
    """A play from a seed; its faults are the verdict."""
    holders = Leaseholders(count, voters, seed, **terms)
    holders.found()
    for _ in trouble(holders, seed, moments):
        if holders.faults:
            break
    return holders
