"""Simulation of session leases on a virtual clock: placers send while their lease allows it, and some hold records of
others' sessions. In true time it checks that nobody sends, and no machine runs tasks, for a session that has ended.
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
from wingbarrow.lab.fleet.fault_schedules import rules
from wingbarrow.lab.fleet.simulation import SECOND

STEP_US = 50_000  # interval of the checks of all placers
MAX_SEND_HOLD_US = 10_000  # longest delay of a byte between the lease check and the socket
MAX_CLOCK_ERROR = 5e-4  # share by which a machine's clock may be slow
HOLDERS_PER_SESSION = 2
MAX_LATE_DELAY_US = 2_500_000
FAULT_KINDS = (
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
LOSS_ALLOWANCE_US = 1_500_000  # beyond the stated bound, for lease requests lost to random loss


class RecordingSubsystem(SessionSubsystem):
    """A voter's session subsystem that reports when the end of a session is decided."""

    def __init__(self, owner: SessionSimulation, lease_us: int) -> None:
        super().__init__(lease_us)
        self._owner = owner

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Apply an entry and report it if it ends a session."""
        super().apply(kind, value)
        if kind == "ended":
            self._owner.on_decided(parse_session(value["session"]), tuple(value["successors"]))


@dataclass(slots=True)
class SessionHistory:
    """What happened to a session, in true time (microseconds; 0: never)."""

    sent_us: int = 0  # latest time at which a first byte may leave
    machine_until_us: int = 0  # until when a machine may run a task of the session
    requested_us: int = 0  # when the request was sent that renewed the lease last
    decided_us: int | None = None
    notified_us: int | None = None  # when the first other placer was notified of the end


@dataclass(slots=True)
class IdlePeriod:
    """Since when no event has postponed the end of an open session."""

    since_us: int
    has_holder: bool


class SessionSimulation(CoordinationSimulation):
    """`count` placers spread evenly over `regions` regions; the first `voters` placers vote.

    `violations` collects the texts of all broken guarantees. `after_us` is the delay before successors act.
    """

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
        # By holder and session: when the holder was notified of the session's end (0: open).
        self.held_by: dict[str, dict[Session, int]] = {}
        self.leases: dict[str, SessionLease] = {}
        self.histories: dict[Session, SessionHistory] = {}
        self.violations: list[str] = []
        self.ends = self.ends_with_successor = self.watched_longest_us = self.sends = 0
        self.late_share = 0.0  # share of the messages that take up to `MAX_LATE_DELAY_US`
        self._idle: dict[Session, IdlePeriod] = {}
        self._last_leadership: tuple[str, int] = "", 0
        self._subsystems: dict[str, SessionSubsystem] = {}
        super().__init__(count, voters, seed, times)
        self._delay_us = self._delayed_us
        self.at(0, self._step)

    def _delayed_us(self, rng: random.Random) -> int:
        return (
            rng.randrange(MAX_LATE_DELAY_US)
            if rng.random() < self.late_share
            else 200 + rng.randrange(800)
        )

    def region(self, name: str) -> str:
        """The region of a placer."""
        return self.regions[self.names.index(name) % len(self.regions)]

    def make(self, name: str, now_us: int) -> Coordinator:
        """Create a coordinator with sessions; records held by an earlier incarnation are lost."""
        lease, self.held_by[name] = SessionLease(name, self.region(name)), {}
        self.leases[name] = lease
        lease.set_report_sources(
            count_leased=lambda: 1,
            held_records=lambda: tuple(
                HeldRecords(session, 1, self.after_us) for session in sorted(self.held_by[name])
            ),
        )
        subsystems = (RecordingSubsystem(self, self.lease_us),) if name in self.voters else ()
        if subsystems:
            self._subsystems[name] = subsystems[0]
        disk = copy.deepcopy(self.disks[name]) if name in self.disks else None
        return Coordinator(
            LocalPlacer(name, self.incarnations[name]),
            CoordinationSettings(self.voters, self.times),
            disk,
            self.random.randrange(1 << 30),
            Subsystems(subsystems, (lease,)),
        )

    def bootstrap(self) -> None:
        """Elect a leader, propose the first rules and open a session for every placer."""
        self.run_until(lambda: self.leader() is not None, 20 * SECOND)
        self.propose(rules(len(self.names)))
        self.run_until(self.all_may_send, 20 * SECOND)

    def all_may_send(self) -> bool:
        """Whether every placer may send."""
        return len(self.members) == len(self.names) and all(
            lease.may_send(self.clock_us(name)) for name, lease in self.leases.items()
        )

    def voters_agree(self) -> bool:
        """Whether all voters have the same replicated state."""
        return len({self._subsystems[name].snapshot() for name in self.voters}) == 1

    def leader_subsystem(self) -> SessionSubsystem:
        """The session subsystem of the leader, or of the first voter while there is none."""
        return self._subsystems[self.leader() or self.voters[0]]

    # -- checks on events

    def history(self, session: Session) -> SessionHistory:
        """The history of a session, empty at first."""
        return self.histories.setdefault(session, SessionHistory())

    def on_decided(self, session: Session, successors: tuple[str, ...]) -> None:
        """Record that a voter applied the end of a session; only the first voter to do so counts."""
        history = self.history(session)
        if history.decided_us is not None:
            return
        history.decided_us = self.now_us
        self.ends += 1
        self.ends_with_successor += bool(successors)
        self._idle.pop(session, None)
        if self.now_us < max(history.sent_us, history.machine_until_us):
            self.violations.append(
                f"{self.now_us}: {session.text()} ended, but it may send until {history.sent_us} and "
                f"its tasks may run until {history.machine_until_us}"
            )
        present = self.incarnations[session.placer] == session.life
        if present and history.requested_us and self.now_us < history.requested_us + self.after_us:
            self.violations.append(
                f"{self.now_us}: {session.text()} ended sooner than `after_us` after its last renewal"
            )

    def act(self, name: str, effects: list[Effect]) -> None:  # type: ignore[override]
        """Carry out effects, and check the notifications of ended sessions."""
        for each in effects:
            if isinstance(each, Notify) and each.event == "session-ended":
                self._on_notified(name, parse_session(each.fields["session"]))
        super().act(name, effects)

    def _on_notified(self, name: str, session: Session) -> None:
        history = self.history(session)
        if name != session.placer and history.notified_us is None:
            history.notified_us = self.now_us
        if history.decided_us is None:
            self.violations.append(
                f"{self.now_us}: {name} was notified of the end of {session.text()}, which is not decided"
            )
        if session in self.held_by[name] and not self.held_by[name][session]:
            self.held_by[name][session] = self.now_us

    # -- periodic steps

    def _step(self) -> None:
        for name in self.members:
            if name not in self.stopped:
                self._send_task(name)
                self._assign_holders(name)
        self._check_overdue_ends()
        self.at(self.now_us + STEP_US, self._step)

    def _send_task(self, name: str) -> None:
        lease, local = self.leases[name], self.clock_us(name)
        session = lease.session
        if session is None or not lease.may_send(local):
            return
        history = self.history(session)
        self.sends += 1
        history.sent_us = self.now_us + MAX_SEND_HOLD_US
        history.requested_us = self.now_us - (local - lease.requested_us)
        history.machine_until_us = max(
            history.machine_until_us,
            self.now_us + int((lease.machine_lease_until_us - local) / (1 - MAX_CLOCK_ERROR)),
        )
        if history.notified_us is not None or history.decided_us is not None:
            self.violations.append(
                f"{self.now_us}: {session.text()} sends, but its end was decided at "
                f"{history.decided_us} and notified at {history.notified_us}"
            )

    def _assign_holders(self, name: str) -> None:
        """Choose two connected holders in other regions, as replication does; drop records 20 s after an end."""
        held = self.held_by[name]
        for expired in [each for each, at in held.items() if at and at + 20 * SECOND < self.now_us]:
            del held[expired]
        session = self.leases[name].session
        if session is None:
            return
        candidates = [
            each
            for each in self.names
            if each in self.members
            and self.region(each) != self.region(name)
            and self.connected(name, each)
        ]
        holders = [each for each in candidates if session in self.held_by[each]]
        for each in [each for each in candidates if each not in holders][
            : max(0, HOLDERS_PER_SESSION - len(holders))
        ]:
            self.held_by[each][session] = 0

    def connected(self, one: str, other: str) -> bool:
        """Whether two placers run and messages pass between them in both directions."""
        return all(
            each in self.members and each not in self.stopped for each in (one, other)
        ) and not (self.cut(one, other) or self.cut(other, one))

    def reaches_leader(self, name: str, leader: str) -> bool:
        """Whether requests and grants pass between a placer and the leader, directly or through a voter."""
        return self.connected(name, leader) or any(
            self.connected(name, each) and self.connected(each, leader) for each in self.voters
        )

    # -- bound on the time to an end

    def _check_overdue_ends(self) -> None:
        """Record a violation if no event postponed the end of an open session for longer than the stated bound."""
        leader = self.leader()
        raft = self.members[leader].raft if leader is not None else None
        leadership = (
            (leader, raft.persistent.term) if leader is not None and raft is not None else ("", 0)
        )
        reachable = [
            each for each in self.voters if leader is not None and self.connected(leader, each)
        ]
        if (
            leadership != self._last_leadership
            or leader is None
            or 2 * len(reachable) <= len(self.voters)
            or self.late_share
        ):
            self._last_leadership = leadership
            self._idle.clear()
            return
        log = self._subsystems[leader].log
        for session in log.open:
            name = session.placer
            superseded = log.latest[name].session != session
            renewable = (
                name in self.members
                and self.incarnations[name] == log.latest[name].process
                and self.reaches_leader(name, leader)
                and not superseded
            )
            has_holder = any(
                session in self.held_by[each] and self.reaches_leader(each, leader)
                for each in self.members
            )
            idle = self._idle.get(session)
            if renewable or idle is None or idle.has_holder != has_holder:
                self._idle[session] = IdlePeriod(self.now_us, has_holder)
                continue
            max_us = ended_within_us(
                self.lease_us, 0 if superseded else self.after_us if has_holder else None
            )
            if name in self.members and any(
                not self.cut(name, each) and (each == leader or self.connected(each, leader))
                for each in self.voters
            ):
                # Its requests may arrive while grants do not reach it.
                max_us += one_way_renewal_us(self.lease_us)
            idle_us = self.now_us - idle.since_us
            if idle_us > max_us + LOSS_ALLOWANCE_US:
                self.violations.append(
                    f"{self.now_us}: {session.text()} is open {idle_us} us after the last event that "
                    f"postponed its end; the stated bound is {max_us} us"
                )
                idle.since_us = self.now_us
        for gone in self._idle.keys() - log.open.keys():
            del self._idle[gone]


def inject_faults(simulation: SessionSimulation, seed: int, fault_count: int = 20) -> Iterator[str]:
    """Inject partitions of regions (one-way, pairwise, flapping), loss, delays, pauses, kills, restarts; then heal.

    Yields the kind of each of the `fault_count` faults, then "healed" once all is checked.
    """
    rng = random.Random(f"leases/{seed}")
    simulation.duplication = 0.1
    span = 2 * (simulation.lease_us + simulation.after_us)
    for _ in range(fault_count):
        target, region = rng.choice(simulation.names), rng.choice(simulation.regions)
        side = {name for name in simulation.names if simulation.region(name) == region}
        kind = rng.choices(FAULT_KINDS, (4, 2, 2, 4, 1, 2, 4, 3, 1, 4, 2))[0]
        if kind in ("cut", "one way"):
            one = kind == "one way"
            simulation.cut = lambda a, b, side=side, one=one: (  # type: ignore[misc]
                (a in side and b not in side) or (not one and b in side and a not in side)
            )
        elif kind == "between":
            other_region = rng.choice(simulation.regions)
            other = {
                name for name in simulation.names if simulation.region(name) == other_region
            } - side
            simulation.cut = lambda a, b, side=side, other=other: (  # type: ignore[misc]
                (a in side and b in other) or (b in side and a in other)
            )
        elif kind == "heal":
            simulation.cut, simulation.loss, simulation.late_share = (lambda a, b: False), 0.0, 0.0
        elif kind == "late":
            simulation.late_share = rng.choice((0.02, 0.1))
        elif kind == "lose":
            simulation.loss = rng.choice((0.1, 0.3))
        elif kind == "stop" and target in simulation.members and target not in simulation.stopped:
            simulation.stop(target, rng.randrange(span))
        elif kind in ("kill", "kill region"):
            for name in [target] if kind == "kill" else sorted(side):
                if name in simulation.members and len(simulation.members) > 1:
                    simulation.kill(name)
        elif kind == "return":
            for name in sorted(set(simulation.names) - set(simulation.members)):
                simulation.start(name)
        elif kind == "flap":
            for _ in range(6):  # shorter than the lease
                simulation.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
                simulation.run(simulation.now_us + rng.randrange(simulation.lease_us // 2))
                simulation.cut = lambda a, b: False
                simulation.run(simulation.now_us + rng.randrange(simulation.lease_us // 4))
        simulation.run(simulation.now_us + rng.randrange(span // 2))
        yield kind
    simulation.cut, simulation.loss, simulation.late_share = (lambda a, b: False), 0.0, 0.0
    for name in sorted(set(simulation.names) - set(simulation.members)):
        simulation.start(name)
    simulation.run(simulation.now_us + span + 10 * SECOND)
    if not simulation.run_until(simulation.all_may_send, 30 * SECOND):
        simulation.violations.append(
            f"{simulation.now_us}: not all placers have a session after all faults were healed"
        )
    if not simulation.run_until(simulation.voters_agree, 5 * SECOND):
        simulation.violations.append(f"{simulation.now_us}: the states of the voters differ")
    yield "healed"


def run_simulation(
    count: int, voters: int, seed: int, fault_count: int = 20, **settings: Any
) -> SessionSimulation:
    """Run a simulation from a seed until its end or the first violation."""
    simulation = SessionSimulation(count, voters, seed, **settings)
    simulation.bootstrap()
    for _ in inject_faults(simulation, seed, fault_count):
        if simulation.violations:
            break
    return simulation
