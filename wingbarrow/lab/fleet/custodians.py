"""Placers of several regions with leased Jobs, on a virtual clock: custody, loss of regions, reissue.

Each placer is a custodian and a small core: it takes Jobs, sends them to its region's machines by the order that
custody asks for, renews their leases, and starts what it takes over. `custodyplay` judges what machines and owners saw.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer
from wingbarrow.decide.replication.records import ReplicationLimits, ReplicationTerms
from wingbarrow.decide.replication.replicator import Replicator, ReplicatorSettings
from wingbarrow.decide.sessions.failover import StartOrder
from wingbarrow.decide.sessions.failover_pace import FailoverPace, FailoverTimes, reissue_within_us
from wingbarrow.decide.sessions.lease_times import holder_lease_us, voter_lease_us
from wingbarrow.decide.sessions.leased_job_record import RECORD_FORMAT, KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import MachineReport
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.lab.fleet.simulated_machines import SessionVoters, SimulatedMachine, TaskStart
from wingbarrow.lab.fleet.swarm import SECOND, Virtual

LEASE_US, AFTER_US, TURN_US = 4 * SECOND, 6 * SECOND, SECOND // 10
ASK_US = LEASE_US // 3
WINDOW_US = 12 * SECOND  # of a key: longer than a take-over needs
WAIT_US = 5 * SECOND  # for a keeper's word
FAR_US = 10_000  # one way between regions
RECKONED_US = voter_lease_us(LEASE_US, TURN_US)
SOUGHT_US = 500_000  # between a placer's looks at who is there
UNSEEN_US = 3 * SECOND  # until one that is cut off is not seen any more


def stated_us(jobs: int) -> int:
    """From a region's loss to the last start of its safe Jobs elsewhere, where there is room, all at one successor."""
    times = FailoverTimes(
        lease_us=LEASE_US,
        max_turn_us=TURN_US,
        after_us=AFTER_US,
        request_interval_us=ASK_US,
        election_us=0,
        one_way_us=2 * FAR_US,
    )
    return reissue_within_us(times, jobs, FailoverPace())


@dataclass(slots=True)
class Task:
    """One task as its placer knows it."""

    machine: str = ""
    phase: str = "none"
    since_us: int = 0


@dataclass(slots=True)
class Held:
    """A Job at its placer."""

    record: LeasedJobRecord
    epoch: int
    accepted: bool = False
    tasks: dict[int, Task] = field(default_factory=dict)


class Core:
    """One life of a placer."""

    def __init__(self, world: Custodians, name: str, region: str, life: int) -> None:
        self.world, self.name, self.region = world, name, region
        self.session = Session(name, life, 0)
        self.terms = ReplicationTerms(world.allowed, world.copies)
        self.replicator = Replicator(
            self.session,
            region,
            world.random.randrange(1 << 30),
            lambda record: self.terms,
            ReplicatorSettings(world.bounds),
        )
        self.jobs: dict[str, Held] = {}
        self.heard = 0
        self.until_us = 0  # of its lease
        self._waiting: dict[int, Callable[[int, bool, str], list[Effect]]] = {}

    def start(self, now_us: int) -> list[Effect]:
        """Begin."""
        return self._grant(now_us) + self._look(now_us)

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Mail came."""
        return self._do(now_us, self.replicator.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer is due."""
        if key == "grant":
            return self._grant(now_us)
        if key == "look":
            return self._look(now_us)
        if key.startswith("retry/"):
            _, uid, index = key.split("/")
            return self._send(now_us, uid, int(index))
        return self._do(now_us, self.replicator.on_timer(now_us, key))

    # -- what it hears of others

    def _look(self, now_us: int) -> list[Effect]:
        out = self._do(now_us, self.replicator.on_membership(now_us, self.world.seen(self.name)))
        return [*out, SetTimer("look", now_us + SOUGHT_US)]

    def _grant(self, now_us: int) -> list[Effect]:
        out: list[Effect] = [SetTimer("grant", now_us + ASK_US)]
        world = self.world
        if not world.majority(self.name):
            return out
        session, news, self.heard = world.voters.renew_session(
            now_us, self.session, len(self.jobs), self.replicator.replica.summary(), self.heard
        )
        for ended in news:
            out += self._over(now_us, ended)
        if session != self.session:
            self.session = session
            out += self._do(now_us, self.replicator.begin_session(now_us, session))
        self.until_us = now_us + LEASE_US
        world.renew(self)
        return out + self._look_after(now_us)

    def _look_after(self, now_us: int) -> list[Effect]:
        """What its machines hold no more runs again, where it may repeat."""
        out: list[Effect] = []
        for uid, held in self.jobs.items():
            for index, task in held.tasks.items():
                gone = task.phase == "placed" or (
                    task.phase == "about" and now_us > task.since_us + WAIT_US
                )
                if (
                    gone
                    and held.record.effect == "safe"
                    and not self.world.stands(task.machine, uid, index)
                ):
                    task.phase = "none"
                    out += self._send(now_us, uid, index)
        return out

    def _over(self, now_us: int, ended: EndedSession) -> list[Effect]:
        runs: set[str] = set()
        if ended.session == self.session:
            runs = set(self.jobs)
            self.jobs.clear()
        return self._do(now_us, self.replicator.on_session_ended(now_us, ended, runs))

    def knows(self) -> set[str]:
        """Jobs that it holds or keeps."""
        custody = self.replicator.primary
        return {*self.jobs, *custody.jobs, *custody.former_jobs, *self.replicator.replica.entries}

    # -- its work

    def take(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """A new Job."""

        def kept(now: int, good: bool, why: str) -> list[Effect]:
            if not good:
                self.world.counts[f"turned away: {why.split(' from ')[0]}"] += 1
                self.jobs.pop(record.uid, None)
                return self._do(now, self.replicator.remove(now, record.uid))
            self.world.accepted[record.uid] = self.world.now_us, record, self.name
            self.jobs[record.uid].accepted = True
            return self._run(now, record.uid, range(record.count))

        self.jobs[record.uid] = Held(record, 0)
        token, effects = self.replicator.primary.replicate(
            now_us, record, self.terms, now_us + WAIT_US
        )
        self._waiting[token] = kept
        return self._do(now_us, effects)

    def _run(self, now_us: int, uid: str, indexes: Any) -> list[Effect]:
        return [each for index in indexes for each in self._send(now_us, uid, index)]

    def _send(self, now_us: int, uid: str, index: int) -> list[Effect]:
        held = self.jobs.get(uid)
        if held is None or held.tasks.setdefault(index, Task()).phase != "none":
            return []
        machine = self.world.machine_of(self.region)
        retry = SetTimer(f"retry/{uid}/{index}", now_us + SECOND)
        if machine is None:
            return [retry]

        def go(now: int, good: bool, why: str) -> list[Effect]:
            if self.jobs.get(uid) is not held:
                return []
            if good and now < self.until_us - LEASE_US + holder_lease_us(
                LEASE_US
            ):  # the gate, right before the first byte
                self.world.offer(self, held, index, machine)
                return []
            held.tasks[index].phase = "none"
            if good and held.record.effect == "unsafe":  # its keepers believe that it left
                token, effects = self.replicator.primary.record_not_running(
                    now, uid, index, now + WAIT_US
                )
                return [*self._do(now, effects), SetTimer(retry.key, now + SECOND)]
            return [SetTimer(retry.key, now + SECOND)]

        held.tasks[index] = Task(machine.name, "about", now_us)
        if held.record.effect != "unsafe" or self.world.careless:
            return go(now_us, True, "")
        known = KnownTask(index, "about", machine.name, f"{uid}-{index}")
        token, effects = self.replicator.primary.record_send(now_us, uid, known, now_us + WAIT_US)
        self._waiting[token] = go
        return self._do(now_us, effects)

    def answered(self, now_us: int, uid: str, index: int, why: str) -> list[Effect]:
        """A machine answered an offer."""
        held = self.jobs.get(uid)
        if held is None:
            return []
        if why:
            held.tasks[index].phase = "none"
            token, effects = self.replicator.primary.record_not_running(
                now_us, uid, index, now_us + WAIT_US
            )
            return [*self._do(now_us, effects), SetTimer(f"retry/{uid}/{index}", now_us + SECOND)]
        held.tasks[index].phase = "placed"
        if self.world.careless and held.record.effect == "unsafe":
            return []
        token, effects = self.replicator.primary.record_placed(
            now_us,
            uid,
            KnownTask(index, "placed", held.tasks[index].machine, f"{uid}-{index}"),
            now_us + WAIT_US,
        )
        return self._do(now_us, effects)

    def _began(self, now_us: int, start: StartOrder) -> list[Effect]:
        self.jobs[start.record.uid] = Held(start.record, start.epoch, True)
        self.world.reissued.append((self.world.now_us, start.record.uid, start.epoch, self.name))
        return self._run(now_us, start.record.uid, start.indexes)

    def _do(self, now_us: int, effects: list[Effect]) -> list[Effect]:
        out: list[Effect] = []
        for effect in effects:
            out.append(effect)
            if not isinstance(effect, Notify):
                continue
            said = effect.fields
            if effect.event == "kept":
                waiting = self._waiting.pop(said["token"], None)
                out += waiting(now_us, said["good"], said["why"]) if waiting is not None else []
            elif effect.event == "startable":
                starts, more = self.replicator.next_starts(now_us, 1e9, 1e9)
                out += self._do(now_us, more)
                for start in starts:
                    out += self._began(now_us, start)
            elif effect.event == "stop":
                self.jobs.pop(said["uid"], None)
                self.world.stop_runs(said["uid"], self.region)
            elif effect.event == "settled" and said["mine"] == "stopped":
                self.world.stop_runs(said["uid"], self.region)
            elif effect.event == "ask-machine":
                out += self.world.ask_machine(self, said)
        return out


class Custodians(Virtual[Core]):
    """`each` placers and machines in each region."""

    careless = False  # planted: what must not start twice leaves without its keepers' word
    core: type[Core] = Core

    def __init__(
        self,
        seed: int,
        regions: tuple[str, ...] = ("north", "south", "west"),
        each: int = 2,
        copies: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.regions = {f"{region}-{index}": region for region in regions for index in range(each)}
        super().__init__(list(self.regions), seed, loss, lambda rng: FAR_US + rng.randrange(FAR_US))
        self.allowed, self.copies = regions, copies
        self.bounds = ReplicationLimits()
        self.voters = SessionVoters(RECKONED_US, AFTER_US)
        self.machines = {
            f"m-{name}": SimulatedMachine(f"m-{name}", region)
            for name, region in self.regions.items()
        }
        self.begins: list[TaskStart] = []
        self.accepted: dict[str, tuple[int, LeasedJobRecord, str]] = {}
        self.reissued: list[tuple[int, str, int, str]] = []
        self.counts: Counter[str] = Counter()
        self.lost: dict[str, int] = {}  # region: since when
        self.extinct: set[str] = set()  # Jobs of which the last that knew was killed
        self._apart: dict[tuple[str, str], int] = {}
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> Core:
        """A new life, with nothing."""
        return self.core(self, name, self.regions[name], self.lives[name])

    def kill(self, name: str) -> None:
        """Jobs that nobody else knows of are nobody's."""
        known = self.members[name].knows()
        super().kill(name)
        self.extinct |= known - {uid for core in self.members.values() for uid in core.knows()}

    # -- the world

    def reaches(self, one: str, other: str) -> bool:
        """Whether mail passes both ways."""
        return not self.cut(one, other) and not self.cut(other, one)

    def majority(self, name: str) -> bool:
        """Whether a placer reaches placers of most regions."""
        with_it = {
            self.regions[other]
            for other in self.members
            if other not in self.stopped and (other == name or self.reaches(name, other))
        }
        return 2 * len(with_it) > len(set(self.regions.values()))

    def seen(self, name: str) -> dict[str, tuple[str, int]]:
        """Who is alive to a placer; one that is cut off or still is not seen any more a while after."""
        out = {}
        for other in self.members:
            if other != name and (other in self.stopped or not self.reaches(name, other)):
                if self.now_us - self._apart.setdefault((name, other), self.now_us) > UNSEEN_US:
                    continue
            else:
                self._apart.pop((name, other), None)
            out[other] = self.regions[other], self.lives[other]
        return out

    def machine_of(self, region: str) -> SimulatedMachine | None:
        """One that is up."""
        able = [each for each in self.machines.values() if each.region == region and each.up]
        return self.random.choice(able) if able else None

    def renew(self, core: Core) -> None:
        """Its region's machines hear until when its session holds; a mail may be late."""
        until, session = self.now_us + LEASE_US, core.session
        for machine in self.machines.values():
            if machine.region == core.region and machine.up:
                self.at(
                    self.now_us + self.random.randrange(TURN_US),
                    lambda machine=machine: machine.renew(self.now_us, session, until),  # type: ignore[misc]
                )

    def offer(self, core: Core, held: Held, index: int, machine: SimulatedMachine) -> None:
        """A send to a machine, and its answer; either may be late or lost."""
        begin = TaskStart(
            0, held.record.uid, index, held.epoch, core.session, core.region, machine.name
        )
        until, name, life = core.until_us, core.name, self.lives[core.name]

        def arrive() -> None:
            if not machine.up:
                return
            here = TaskStart(
                self.now_us,
                begin.uid,
                index,
                begin.epoch,
                begin.session,
                begin.region,
                machine.name,
            )
            known = (begin.uid, index) in machine.runs
            why = machine.start_task(self.now_us, here, until)
            if not why and not known:
                self.begins.append(here)
            self.at(self.now_us + self.random.randrange(TURN_US), lambda: back(why))

        def back(why: str) -> None:
            if name in self.members and self.lives[name] == life and name not in self.stopped:
                self.act(
                    name, self.members[name].answered(self.clock_us(name), begin.uid, index, why)
                )

        self.at(self.now_us + self.random.randrange(TURN_US), arrive)

    def ask_machine(self, core: Core, said: dict[str, Any]) -> list[Effect]:
        """A placer asks its own region's machine for another."""
        machine = self.machines.get(said["machine"])
        reached = machine is not None and machine.up and machine.region == core.region
        holds = (
            machine.fence(self.now_us, said["uid"], said["epoch"])
            if machine is not None and reached
            else False
        )
        boot = self.now_us - machine.boot_us if machine is not None else 0
        return [
            Send(
                said["to"],
                "",
                MachineReport(said["number"], said["machine"], said["uid"], reached, holds, boot),
            )
        ]

    def stands(self, machine: str, uid: str, index: int) -> bool:
        """Whether a task stands at a machine."""
        held = self.machines[machine]
        held.stop_expired(self.now_us)
        return held.up and (uid, index) in held.runs

    def stop_runs(self, uid: str, region: str) -> None:
        """A placer stops its copies."""
        for machine in self.machines.values():
            if machine.region == region:
                for key in [key for key in machine.runs if key[0] == uid]:
                    del machine.runs[key]

    # -- what happens

    def lose(self, region: str, machines: bool = True) -> None:
        """A whole region is killed, its machines too or not."""
        self.lost[region] = self.now_us
        for name in [name for name in self.members if self.regions[name] == region]:
            self.kill(name)
        for machine in self.machines.values():
            if machine.region == region and machines:
                machine.up = False

    def back(self, region: str) -> None:
        """It returns, with nothing."""
        for machine in self.machines.values():
            if machine.region == region and not machine.up:
                machine.restart(self.now_us)
        for name, where in self.regions.items():
            if where == region and name not in self.members:
                self.start(name)

    def job(self, name: str, effect: str, count: int = 1, priority: int = 0) -> str:
        """Give a placer a Job; its uid."""
        uid = f"{effect}-{self.counts['jobs']}"
        self.counts["jobs"] += 1
        if name in self.members and name not in self.stopped:
            core = self.members[name]
            record = LeasedJobRecord(
                RECORD_FORMAT,
                uid,
                f"shop/{uid}",
                core.session,
                0,
                1,
                core.region,
                "spread",
                effect,
                "all",
                WINDOW_US,
                AFTER_US,
                priority,
                1.0,
                1.0,
                count,
                "{}",
                (),
                "",
                0,
            )
            self.act(name, core.take(self.clock_us(name), record))
        return uid

    # -- questions

    def running(self) -> set[str]:
        """Jobs that stand on a machine now."""
        out = set()
        for machine in self.machines.values():
            machine.stop_expired(self.now_us)
            out |= {uid for uid, _ in machine.runs} if machine.up else set()
        return out

    def unknown(self) -> set[str]:
        """Jobs that somebody has on the operator's list."""
        return {
            record.uid
            for core in self.members.values()
            for record in core.replicator.unknown_jobs()
        }
