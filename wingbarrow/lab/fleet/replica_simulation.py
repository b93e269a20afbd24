"""Simulation, on a virtual clock, of placers in several regions that replicate the records of leased Jobs.

Each placer accepts Jobs, replicates their records, sends tasks to machines of its region in the order that replication
requires, renews leases, and starts Jobs that it takes over from ended sessions.
`replica_scenarios` checks the starts that machines recorded and the Jobs that placers know of.
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
from wingbarrow.lab.fleet.simulation import SECOND, Simulation

LEASE_US = 4 * SECOND
REISSUE_AFTER_US = 6 * SECOND  # a session ends at the earliest this long after its last renewal
MAX_MESSAGE_DELAY_US = SECOND // 10  # longest delay of a message between a placer and a machine
LEASE_REQUEST_INTERVAL_US = LEASE_US // 3  # between two lease requests of a placer
KEY_WINDOW_US = 12 * SECOND  # validity of an idempotency key; longer than a failover takes
ACK_TIMEOUT_US = 5 * SECOND  # for acknowledgements of replica holders
MIN_REGION_DELAY_US = 10_000  # least one-way delay between regions
VOTER_LEASE_US = voter_lease_us(LEASE_US, MAX_MESSAGE_DELAY_US)  # lease as the voters count it
MEMBERSHIP_INTERVAL_US = 500_000  # between two membership updates of a placer
UNREACHABLE_TIMEOUT_US = 3 * SECOND  # until an unreachable placer leaves the membership


def reissue_bound_us(jobs: int) -> int:
    """Bound from the loss of a region to the last start of its `jobs` safe Jobs elsewhere.

    Holds where there is enough capacity, even if one successor takes over all Jobs.
    """
    times = FailoverTimes(
        lease_us=LEASE_US,
        max_turn_us=MAX_MESSAGE_DELAY_US,
        after_us=REISSUE_AFTER_US,
        request_interval_us=LEASE_REQUEST_INTERVAL_US,
        election_us=0,
        one_way_us=2 * MIN_REGION_DELAY_US,
    )
    return reissue_within_us(times, jobs, FailoverPace())


@dataclass(slots=True)
class Task:
    """State of a task as its placer knows it."""

    machine: str = ""
    phase: str = "none"
    since_us: int = 0


@dataclass(slots=True)
class HeldJob:
    """A Job at its primary placer."""

    record: LeasedJobRecord
    epoch: int
    accepted: bool = False
    tasks: dict[int, Task] = field(default_factory=dict)


class SimulatedPlacer:
    """One incarnation of a placer."""

    def __init__(self, world: ReplicaSimulation, name: str, region: str, life: int) -> None:
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
        self.jobs: dict[str, HeldJob] = {}
        self.seen_changes = 0  # changes of session ends that it has processed
        self.lease_until_us = 0
        self._waiting: dict[int, Callable[[int, bool, str], list[Effect]]] = {}

    def start(self, now_us: int) -> list[Effect]:
        """Requests the first lease and reads the membership."""
        return self._request_lease(now_us) + self._update_membership(now_us)

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """Handles a message of another placer."""
        return self._process(now_us, self.replicator.on_message(now_us, ident, address, message))

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Handles a timer that has expired."""
        if key == "grant":
            return self._request_lease(now_us)
        if key == "look":
            return self._update_membership(now_us)
        if key.startswith("retry/"):
            _, uid, index = key.split("/")
            return self._send(now_us, uid, int(index))
        return self._process(now_us, self.replicator.on_timer(now_us, key))

    # -- membership and sessions

    def _update_membership(self, now_us: int) -> list[Effect]:
        out = self._process(
            now_us, self.replicator.on_membership(now_us, self.world.live_members(self.name))
        )
        return [*out, SetTimer("look", now_us + MEMBERSHIP_INTERVAL_US)]

    def _request_lease(self, now_us: int) -> list[Effect]:
        out: list[Effect] = [SetTimer("grant", now_us + LEASE_REQUEST_INTERVAL_US)]
        world = self.world
        if not world.reaches_majority(self.name):
            return out
        session, changed_ends, self.seen_changes = world.voters.renew_session(
            now_us,
            self.session,
            len(self.jobs),
            self.replicator.replica.summary(),
            self.seen_changes,
        )
        for ended in changed_ends:
            out += self._on_session_ended(now_us, ended)
        if session != self.session:
            self.session = session
            out += self._process(now_us, self.replicator.begin_session(now_us, session))
        self.lease_until_us = now_us + LEASE_US
        world.renew(self)
        return out + self._resend_stopped_tasks(now_us)

    def _resend_stopped_tasks(self, now_us: int) -> list[Effect]:
        """Sends tasks of safe Jobs again that their machines no longer run."""
        out: list[Effect] = []
        for uid, held in self.jobs.items():
            for index, task in held.tasks.items():
                missing = task.phase == "placed" or (
                    task.phase == "about" and now_us > task.since_us + ACK_TIMEOUT_US
                )
                if (
                    missing
                    and held.record.effect == "safe"
                    and not self.world.runs_on(task.machine, uid, index)
                ):
                    task.phase = "none"
                    out += self._send(now_us, uid, index)
        return out

    def _on_session_ended(self, now_us: int, ended: EndedSession) -> list[Effect]:
        runs: set[str] = set()
        if ended.session == self.session:
            runs = set(self.jobs)
            self.jobs.clear()
        return self._process(now_us, self.replicator.on_session_ended(now_us, ended, runs))

    def knows(self) -> set[str]:
        """Uids of Jobs that it holds as primary or has a replica record of."""
        primary = self.replicator.primary
        return {*self.jobs, *primary.jobs, *primary.former_jobs, *self.replicator.replica.entries}

    # -- Jobs and tasks

    def accept_job(self, now_us: int, record: LeasedJobRecord) -> list[Effect]:
        """Accepts a new Job: replicates its record, then sends its tasks."""

        def on_replicated(now: int, good: bool, why: str) -> list[Effect]:
            if not good:
                self.world.counts[f"turned away: {why.split(' from ')[0]}"] += 1
                self.jobs.pop(record.uid, None)
                return self._process(now, self.replicator.remove(now, record.uid))
            self.world.accepted[record.uid] = self.world.now_us, record, self.name
            self.jobs[record.uid].accepted = True
            return self._send_tasks(now, record.uid, range(record.count))

        self.jobs[record.uid] = HeldJob(record, 0)
        token, effects = self.replicator.primary.replicate(
            now_us, record, self.terms, now_us + ACK_TIMEOUT_US
        )
        self._waiting[token] = on_replicated
        return self._process(now_us, effects)

    def _send_tasks(self, now_us: int, uid: str, indexes: Any) -> list[Effect]:
        return [each for index in indexes for each in self._send(now_us, uid, index)]

    def _send(self, now_us: int, uid: str, index: int) -> list[Effect]:
        held = self.jobs.get(uid)
        if held is None or held.tasks.setdefault(index, Task()).phase != "none":
            return []
        machine = self.world.pick_machine(self.region)
        retry = SetTimer(f"retry/{uid}/{index}", now_us + SECOND)
        if machine is None:
            return [retry]

        def on_send_recorded(now: int, good: bool, why: str) -> list[Effect]:
            if self.jobs.get(uid) is not held:
                return []
            # The lease is checked directly before the first byte is sent.
            if good and now < self.lease_until_us - LEASE_US + holder_lease_us(LEASE_US):
                self.world.offer(self, held, index, machine)
                return []
            held.tasks[index].phase = "none"
            if good and held.record.effect == "unsafe":
                # The replica holders have recorded a send that did not take place.
                token, effects = self.replicator.primary.record_not_running(
                    now, uid, index, now + ACK_TIMEOUT_US
                )
                return [*self._process(now, effects), SetTimer(retry.key, now + SECOND)]
            return [SetTimer(retry.key, now + SECOND)]

        held.tasks[index] = Task(machine.name, "about", now_us)
        if held.record.effect != "unsafe" or self.world.sends_before_ack:
            return on_send_recorded(now_us, True, "")
        known = KnownTask(index, "about", machine.name, f"{uid}-{index}")
        token, effects = self.replicator.primary.record_send(
            now_us, uid, known, now_us + ACK_TIMEOUT_US
        )
        self._waiting[token] = on_send_recorded
        return self._process(now_us, effects)

    def on_answer(self, now_us: int, uid: str, index: int, why: str) -> list[Effect]:
        """Handles a machine's answer to an offer; `why` is empty if the machine accepted."""
        held = self.jobs.get(uid)
        if held is None:
            return []
        if why:
            held.tasks[index].phase = "none"
            token, effects = self.replicator.primary.record_not_running(
                now_us, uid, index, now_us + ACK_TIMEOUT_US
            )
            return [
                *self._process(now_us, effects),
                SetTimer(f"retry/{uid}/{index}", now_us + SECOND),
            ]
        held.tasks[index].phase = "placed"
        if self.world.sends_before_ack and held.record.effect == "unsafe":
            return []
        token, effects = self.replicator.primary.record_placed(
            now_us,
            uid,
            KnownTask(index, "placed", held.tasks[index].machine, f"{uid}-{index}"),
            now_us + ACK_TIMEOUT_US,
        )
        return self._process(now_us, effects)

    def _start_reissued(self, now_us: int, start: StartOrder) -> list[Effect]:
        self.jobs[start.record.uid] = HeldJob(start.record, start.epoch, True)
        self.world.reissued.append((self.world.now_us, start.record.uid, start.epoch, self.name))
        return self._send_tasks(now_us, start.record.uid, start.indexes)

    def _process(self, now_us: int, effects: list[Effect]) -> list[Effect]:
        out: list[Effect] = []
        for effect in effects:
            out.append(effect)
            if not isinstance(effect, Notify):
                continue
            fields = effect.fields
            if effect.event == "kept":
                waiting = self._waiting.pop(fields["token"], None)
                out += waiting(now_us, fields["good"], fields["why"]) if waiting is not None else []
            elif effect.event == "startable":
                starts, more = self.replicator.next_starts(now_us, 1e9, 1e9)
                out += self._process(now_us, more)
                for start in starts:
                    out += self._start_reissued(now_us, start)
            elif effect.event == "stop":
                self.jobs.pop(fields["uid"], None)
                self.world.stop_runs(fields["uid"], self.region)
            elif effect.event == "settled" and fields["mine"] == "stopped":
                self.world.stop_runs(fields["uid"], self.region)
            elif effect.event == "ask-machine":
                out += self.world.ask_machine(self, fields)
        return out


class ReplicaSimulation(Simulation[SimulatedPlacer]):
    """Simulates `each` placers and as many machines in each region, with `copies` replicas of a Job's record."""

    # Fault that tests inject: tasks of unsafe Jobs are sent before replica holders acknowledged the send.
    sends_before_ack = False
    placer_type: type[SimulatedPlacer] = SimulatedPlacer

    def __init__(
        self,
        seed: int,
        regions: tuple[str, ...] = ("north", "south", "west"),
        each: int = 2,
        copies: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.regions = {f"{region}-{index}": region for region in regions for index in range(each)}
        super().__init__(
            list(self.regions),
            seed,
            loss,
            lambda rng: MIN_REGION_DELAY_US + rng.randrange(MIN_REGION_DELAY_US),
        )
        self.allowed, self.copies = regions, copies
        self.bounds = ReplicationLimits()
        self.voters = SessionVoters(VOTER_LEASE_US, REISSUE_AFTER_US)
        self.machines = {
            f"m-{name}": SimulatedMachine(f"m-{name}", region)
            for name, region in self.regions.items()
        }
        self.begins: list[TaskStart] = []
        self.accepted: dict[str, tuple[int, LeasedJobRecord, str]] = {}
        self.reissued: list[tuple[int, str, int, str]] = []
        self.counts: Counter[str] = Counter()
        self.lost: dict[str, int] = {}  # region -> time of its loss
        # Jobs whose last record was lost when a placer was killed.
        self.unrecoverable: set[str] = set()
        self._unreachable_since: dict[tuple[str, str], int] = {}
        for name in self.names:
            self.start(name)

    def make(self, name: str, now_us: int) -> SimulatedPlacer:
        """Creates an incarnation of a placer without any state."""
        return self.placer_type(self, name, self.regions[name], self.incarnations[name])

    def kill(self, name: str) -> None:
        """Kills a placer. Jobs of which no other placer has a record are counted as unrecoverable."""
        known = self.members[name].knows()
        super().kill(name)
        self.unrecoverable |= known - {
            uid for placer in self.members.values() for uid in placer.knows()
        }

    # -- network and membership

    def reaches(self, one: str, other: str) -> bool:
        """Whether messages pass in both directions."""
        return not self.cut(one, other) and not self.cut(other, one)

    def reaches_majority(self, name: str) -> bool:
        """Whether a placer reaches placers of a majority of regions."""
        reachable_regions = {
            self.regions[other]
            for other in self.members
            if other not in self.stopped and (other == name or self.reaches(name, other))
        }
        return 2 * len(reachable_regions) > len(set(self.regions.values()))

    def live_members(self, name: str) -> dict[str, tuple[str, int]]:
        """Live members as a placer sees them, with region and incarnation.

        A placer that is unreachable or stopped for longer than `UNREACHABLE_TIMEOUT_US` is left out.
        """
        out = {}
        for other in self.members:
            if other != name and (other in self.stopped or not self.reaches(name, other)):
                if (
                    self.now_us - self._unreachable_since.setdefault((name, other), self.now_us)
                    > UNREACHABLE_TIMEOUT_US
                ):
                    continue
            else:
                self._unreachable_since.pop((name, other), None)
            out[other] = self.regions[other], self.incarnations[other]
        return out

    def pick_machine(self, region: str) -> SimulatedMachine | None:
        """Draws a machine of a region that is up; None if there is none."""
        available = [each for each in self.machines.values() if each.region == region and each.up]
        return self.random.choice(available) if available else None

    def renew(self, placer: SimulatedPlacer) -> None:
        """Sends the new end of the session's lease to the machines of its region, each with a random delay."""
        until, session = self.now_us + LEASE_US, placer.session
        for machine in self.machines.values():
            if machine.region == placer.region and machine.up:
                self.at(
                    self.now_us + self.random.randrange(MAX_MESSAGE_DELAY_US),
                    lambda machine=machine: machine.renew(self.now_us, session, until),  # type: ignore[misc]
                )

    def offer(
        self, placer: SimulatedPlacer, held: HeldJob, index: int, machine: SimulatedMachine
    ) -> None:
        """Sends a task to a machine, and its answer back. Either may be late or lost."""
        begin = TaskStart(
            0, held.record.uid, index, held.epoch, placer.session, placer.region, machine.name
        )
        until, name, life = placer.lease_until_us, placer.name, self.incarnations[placer.name]

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
            self.at(self.now_us + self.random.randrange(MAX_MESSAGE_DELAY_US), lambda: back(why))

        def back(why: str) -> None:
            if (
                name in self.members
                and self.incarnations[name] == life
                and name not in self.stopped
            ):
                self.act(
                    name, self.members[name].on_answer(self.clock_us(name), begin.uid, index, why)
                )

        self.at(self.now_us + self.random.randrange(MAX_MESSAGE_DELAY_US), arrive)

    def ask_machine(self, placer: SimulatedPlacer, fields: dict[str, Any]) -> list[Effect]:
        """A placer queries a machine of its own region for another placer and reports the answer."""
        machine = self.machines.get(fields["machine"])
        reached = machine is not None and machine.up and machine.region == placer.region
        holds = (
            machine.fence(self.now_us, fields["uid"], fields["epoch"])
            if machine is not None and reached
            else False
        )
        boot = self.now_us - machine.boot_us if machine is not None else 0
        return [
            Send(
                fields["to"],
                "",
                MachineReport(
                    fields["number"], fields["machine"], fields["uid"], reached, holds, boot
                ),
            )
        ]

    def runs_on(self, machine: str, uid: str, index: int) -> bool:
        """Whether a task runs on a machine."""
        held = self.machines[machine]
        held.stop_expired(self.now_us)
        return held.up and (uid, index) in held.runs

    def stop_runs(self, uid: str, region: str) -> None:
        """Stops all runs of a Job on machines of a region."""
        for machine in self.machines.values():
            if machine.region == region:
                for key in [key for key in machine.runs if key[0] == uid]:
                    del machine.runs[key]

    # -- faults and Jobs

    def kill_region(self, region: str, machines: bool = True) -> None:
        """Kills all placers of a region and, if `machines` is set, its machines."""
        self.lost[region] = self.now_us
        for name in [name for name in self.members if self.regions[name] == region]:
            self.kill(name)
        for machine in self.machines.values():
            if machine.region == region and machines:
                machine.up = False

    def restart_region(self, region: str) -> None:
        """Restarts machines and placers of a region that are down, without any state."""
        for machine in self.machines.values():
            if machine.region == region and not machine.up:
                machine.restart(self.now_us)
        for name, where in self.regions.items():
            if where == region and name not in self.members:
                self.start(name)

    def submit_job(self, name: str, effect: str, count: int = 1, priority: int = 0) -> str:
        """Submits a Job to a placer and returns its uid."""
        uid = f"{effect}-{self.counts['jobs']}"
        self.counts["jobs"] += 1
        if name in self.members and name not in self.stopped:
            placer = self.members[name]
            record = LeasedJobRecord(
                RECORD_FORMAT,
                uid,
                f"shop/{uid}",
                placer.session,
                0,
                1,
                placer.region,
                "spread",
                effect,
                "all",
                KEY_WINDOW_US,
                REISSUE_AFTER_US,
                priority,
                1.0,
                1.0,
                count,
                "{}",
                (),
                "",
                0,
            )
            self.act(name, placer.accept_job(self.clock_us(name), record))
        return uid

    # -- questions

    def running(self) -> set[str]:
        """Uids of Jobs that have a task running now."""
        out = set()
        for machine in self.machines.values():
            machine.stop_expired(self.now_us)
            out |= {uid for uid, _ in machine.runs} if machine.up else set()
        return out

    def unknown(self) -> set[str]:
        """Uids of Jobs that a placer lists as unknown, for an operator to decide."""
        return {
            record.uid
            for placer in self.members.values()
            for record in placer.replicator.unknown_jobs()
        }
