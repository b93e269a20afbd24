"""Turns played on the virtual clock: placers with work, machines that refuse, workers that come, stay away and return.

Placers that go by a floor send to machines that are closed, as they know no better. What workers do and what machines
hold is written down in true time; `maintenance_judge` looks at it, and at what the voters decided.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.effects import Notify
from wingbarrow.decide.maintenance.messages import RegionView, SlotRequest
from wingbarrow.decide.maintenance.participant import MachineReply, MaintenanceMember, TrialOutcome
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.slots import Slot
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.lab.fleet.coordination_simulation import CoordinationSimulation
from wingbarrow.lab.fleet.swarm import SECOND
from wingbarrow.lab.turnguard import TurnGuard

STEP_US = 50_000
WALL_US = 1_800_000_000 * SECOND
TASK_US = 6 * SECOND
WORKER_LEASE_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class Bench:
    """A machine: tasks on it by number, each with its owner and end."""

    name: str
    region: str
    zone: str
    cell: str
    up: bool = True
    down_us: int = 0  # since when it is lost
    tasks: dict[int, tuple[str, int]] = field(default_factory=dict)
    guard: TurnGuard = field(init=False)

    def __post_init__(self) -> None:
        self.guard = TurnGuard(lambda: bool(self.tasks))


@dataclass(frozen=True, slots=True)
class Entry:
    """One decided entry that changed a turn, with the state it came to; once for all voters."""

    at_us: int
    version: int
    turns: tuple[Slot, ...]


@dataclass(frozen=True, slots=True)
class Work:
    """One moment of a worker's work."""

    at_us: int
    number: int
    machine: str
    holds: int  # tasks on the machine
    state: str  # of its turn, by the log as far as any voter knows it decided


class _Eyes:
    """What a placer of the workshop knows."""

    def __init__(self, shop: Workshop, me: str, region: str) -> None:
        self._shop, self._me, self._region = shop, me, region
        self.words: dict[int, str] = {}
        self.out: dict[str, int] = {}  # offers under way, by machine
        self.known: dict[int, str] = {}  # own tasks, as it knows: number -> machine
        self.tried: dict[int, str] = {}
        self.wanted: list[SlotRequest] = []

    def is_listed(self, machine: str) -> bool:
        bench = self._shop.benches.get(machine)
        return bench is not None and bench.region == self._region

    def place_of(self, machine: str) -> tuple[str, str] | None:
        bench = self._shop.benches.get(machine)
        return (
            (bench.zone, bench.cell) if bench is not None and bench.region == self._region else None
        )

    def own_tasks_at(self, machine: str) -> int:
        return self.out.get(machine, 0) + sum(each == machine for each in self.known.values())

    def reply_for(self, number: int) -> MachineReply:
        return MachineReply(self.words.get(number, ""))

    def trial_outcome(self, number: int) -> TrialOutcome:
        return TrialOutcome(self.tried.get(number, ""))

    def region_view(self) -> RegionView | None:
        mine = [each for each in self._shop.benches.values() if each.region == self._region]
        cells: dict[tuple[str, str], int] = {}
        for each in mine:
            cells[each.zone, each.cell] = cells.get((each.zone, each.cell), 0) + 1
        return RegionView(
            tuple((zone, cell, count) for (zone, cell), count in sorted(cells.items())),
            tuple((each.name, each.zone, each.cell) for each in mine if not each.up),
        )

    def slot_requests(self) -> Sequence[SlotRequest]:
        return self.wanted


class Workshop(CoordinationSimulation):
    """`count` placers dealt out over regions, `machines` for each region in cells of four and zones of eight."""

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        regions: int = 1,
        machines: int = 8,
        loss: float = 0.0,
        floor_sends: bool = True,
    ) -> None:
        self.eyes: dict[str, _Eyes] = {}
        self.chapters: dict[str, MaintenanceScheduler] = {}
        self.sides: dict[str, MaintenanceMember] = {}
        names = [f"r{index}" for index in range(regions)]
        self.region_of = {f"p{index:03d}": names[index % regions] for index in range(count)}
        self.benches = {
            f"{region}-m{index}": Bench(
                f"{region}-m{index}", region, f"z{index // 8}", f"c{index // 4}"
            )
            for region in names
            for index in range(machines)
        }
        self.entries: list[Entry] = []
        self.works: list[Work] = []
        self.lost_at: list[tuple[int, str, bool]] = []  # when which machine was lost, or came back
        self.trouble = random.Random(f"workshop/{seed}")
        self._next_task, self._seen = 0, 0
        self._turns_seen: dict[int, Slot] = {}
        self._floor_sends = floor_sends
        super().__init__(
            count, voters, seed, Timing(grant_us=SECOND, election_us=SECOND // 2), loss
        )
        self.at(0, self._live)

    def make(self, name: str, now_us: int) -> Coordinator:
        """An agreement with turns, and the eyes of its new life."""
        disk = copy.deepcopy(self.disks[name]) if name in self.disks else None
        region = self.region_of[name]
        eyes = self.eyes[name] = _Eyes(self, name, region)
        # A new life knows what runs of its former one once machines have told it; here at once.
        eyes.known = {
            number: bench.name
            for bench in self.benches.values()
            for number, (owner, _) in bench.tasks.items()
            if owner == name
        }
        drift = self.drifts.get(name)
        turns = self.chapters[name] = MaintenanceScheduler(
            name,
            lambda now: WALL_US + (drift.true_us(now) if drift is not None else now),
            MaintenanceTiming(
                SECOND,
                report_max_age_us=3 * SECOND,
                count_timeout_us=SECOND,
                lease_us=WORKER_LEASE_US,
                trial_us=3 * SECOND,
                unlisted_us=20 * SECOND,
            ),
        )
        side = self.sides[name] = MaintenanceMember(name, region, eyes)
        return Coordinator(
            LocalPlacer(name, self.lives[name], region),
            CoordinationSettings(self.voters, self.times),
            disk,
            self.random.randrange(1 << 30),
            Subsystems((turns,), (side,)),
        )

    # -- what goes on

    def _live(self) -> None:
        self._look_at_log()
        for bench in self.benches.values():
            for number in [
                number for number, (_, ends) in bench.tasks.items() if ends <= self.now_us
            ]:
                self._ends(bench, number)
        for name in self.members:
            if name not in self.stopped:
                self._speak(name)
                self._send_tasks(name)
        self.at(self.now_us + STEP_US, self._live)

    def _look_at_log(self) -> None:
        """What is decided, as far as any living voter has applied it."""
        newest = max(
            (each for name, each in self.chapters.items() if name in self.members),
            key=lambda each: each.queue.version,
            default=None,
        )
        if newest is None or newest.queue.version <= self._seen:
            return
        self._seen = newest.queue.version
        changed = tuple(
            each
            for number, each in sorted(newest.queue.slots.items())
            if self._turns_seen.get(number) != each
        )
        self._turns_seen = dict(newest.queue.slots)
        self.entries.append(Entry(self.now_us, self._seen, changed))

    def turn(self, number: int) -> Slot | None:
        """A turn as decided."""
        self._look_at_log()
        return self._turns_seen.get(number)

    def _ends(self, bench: Bench, number: int) -> None:
        owner, _ = bench.tasks.pop(number, ("", 0))

        def told() -> None:
            self.eyes[owner].known.pop(number, None)

        if owner in self.eyes:
            self.at(self.now_us + self._delay(), told)

    def _delay(self) -> int:
        return 1_000 + self.trouble.randrange(40_000)

    def _speak(self, name: str) -> None:
        """Ask machines of closing turns, move own tasks away, as a placer's room does."""
        side, eyes = self.sides[name], self.eyes[name]
        for turn in side.slots.values():
            bench = self.benches.get(turn.machine)
            if turn.state == "asked" or bench is None or not eyes.is_listed(turn.machine):
                continue
            if self.trouble.random() < (0.3 if turn.contact == name else 0.05):
                shut = turn.state != "back"
                if shut or turn.contact == name:
                    self.at(
                        self.now_us + self._delay(),
                        lambda bench=bench, number=turn.number, shut=shut:  # type: ignore[misc]
                        self._asked(name, eyes, bench, number, shut),
                    )
            mine = [number for number, machine in eyes.known.items() if machine == turn.machine]
            if turn.state != "back" and mine and self.trouble.random() < 0.2:
                self._ends(bench, mine[0])

    def _asked(self, name: str, eyes: _Eyes, bench: Bench, number: int, shut: bool) -> None:
        if not bench.up or self.trouble.random() < 0.05:
            return
        told = bench.guard.handle({"number": number, "shut": shut})
        if told["number"] == number:
            word = "open" if not told["shut"] else "empty" if told["empty"] else "shut"
            self.at(self.now_us + self._delay(), lambda: eyes.words.__setitem__(number, word))

    def _send_tasks(self, name: str) -> None:
        acting = self.members[name].rules_in_force(self.clock_us(name))
        if acting is None or self.trouble.random() > 0.3:
            return
        floor = acting.revision == 0 and self._floor_sends
        side, eyes = self.sides[name], self.eyes[name]
        found = [
            each
            for each in self.benches.values()
            if each.region == self.region_of[name] and (floor or not side.is_closed(each.name))
        ]
        if not found:
            return
        bench, eyes = self.trouble.choice(found), self.eyes[name]
        eyes.out[bench.name] = eyes.out.get(bench.name, 0) + 1
        number, self._next_task = self._next_task, self._next_task + 1
        trying = [
            turn.number
            for turn in side.slots.values()
            if turn.machine == bench.name and turn.state == "back" and turn.contact == name
        ]
        self.at(
            self.now_us + self._delay(), lambda: self._arrives(name, eyes, bench, number, trying)
        )

    def _arrives(
        self, name: str, eyes: _Eyes, bench: Bench, number: int, trying: list[int]
    ) -> None:
        taken = bench.up and not bench.guard.refuses()
        if taken:
            bench.tasks[number] = name, self.now_us + self.trouble.randrange(TASK_US)

        def answer() -> None:
            eyes.out[bench.name] -= 1
            if taken and number in bench.tasks:
                eyes.known[number] = bench.name
            for each in trying if taken else ():
                eyes.tried[each] = "well"

        self.at(self.now_us + self._delay(), answer)

    # -- requests and workers

    def ask(
        self,
        machine: str,
        urgency: int = 5,
        worker: str = "w",
        lasts_us: int = 2 * SECOND,
        ident: str = "",
    ) -> bool:
        """Ask the leader for a turn; False where nobody leads. What becomes of it is in the log."""
        leader, bench = self.leader(), self.benches[machine]
        if leader is None:
            return False
        ident = ident or f"ask-{self._next_task}-{machine}"
        self._next_task += 1
        return self.decide(
            leader,
            "ask",
            {
                "ident": ident,
                "machine": machine,
                "region": bench.region,
                "zone": bench.zone,
                "cell": bench.cell,
                "why": "operator",
                "urgency": urgency,
                "latest_us": 0,
                "lasts_us": lasts_us,
                "worker": worker,
            },
        )

    def decide(self, leader: str, kind: str, value: dict[str, object]) -> bool:
        """Have the leader propose an entry of turns."""
        now = self.clock_us(leader)
        wall = self.chapters[leader]._wall_us(now)
        self.act(
            leader, self.members[leader].propose(now, f"turns/{kind}", {**value, "at_us": wall})
        )
        return True

    def work(self, number: int, for_us: int, silent: bool = False) -> None:
        """A worker comes for a turn: works once it holds it, says so again and again, then gives the machine back;
        a silent one stays away for long in the middle of its work."""
        Worker(self, number, for_us, silent).come()

    def lose(self, machine: str, for_us: int) -> None:
        """A machine vanishes with its tasks, and comes back after a while."""
        bench = self.benches[machine]
        if not bench.up:
            return
        bench.up = False
        self.lost_at.append((self.now_us, machine, True))
        for number in list(bench.tasks):
            self._ends(bench, number)

        def back() -> None:
            bench.up = True
            self.lost_at.append((self.now_us, machine, False))

        self.at(self.now_us + for_us, back)

    def tells(self, what: str) -> list[Notify]:
        """What placers told, by kind."""
        return [Notify(each.what, each.fields) for each in self.told if each.what == what]


class Worker:
    """Whoever works on one machine. It may work for its lease from when it asked to hold the turn, by its own clock."""

    def __init__(self, shop: Workshop, number: int, for_us: int, silent: bool) -> None:
        self._shop, self._number, self._left_us, self._silent = shop, number, for_us, silent
        self._until_us = 0

    def come(self) -> None:
        """Every quarter of a second."""
        shop = self._shop
        turn = shop.turn(self._number)
        if turn is None or turn.state in ("back", "done", "given-back"):
            return
        if self._silent and self._until_us and self._left_us < SECOND:
            self._silent = False
            shop.at(shop.now_us + 3 * WORKER_LEASE_US, self.come)
            return
        leader = shop.leader()
        if leader is not None and shop.trouble.random() < 0.9:
            self._renew(leader)
        if shop.now_us < self._until_us:
            bench = shop.benches[turn.machine]
            shop.works.append(
                Work(shop.now_us, self._number, turn.machine, len(bench.tasks), turn.state)
            )
            self._left_us -= SECOND // 4
        if self._left_us <= 0 and leader is not None:
            shop.decide(leader, "back", {"number": self._number})
        shop.at(shop.now_us + SECOND // 4, self.come)

    def _renew(self, leader: str) -> None:
        """As the front does it: good once the leader knows that a majority followed it after it was asked."""
        shop, chapter, asked = self._shop, self._shop.chapters[leader], self._shop.now_us
        at_leader, life = shop.clock_us(leader), shop.lives[leader]
        chapter.renew(at_leader, self._number)

        def look(tries: int) -> None:
            if leader not in shop.members or shop.lives[leader] != life:
                return
            turn = chapter.queue.slots.get(self._number)
            if (
                chapter.is_leader
                and turn is not None
                and turn.state == "out"
                and (chapter.renewed_us(self._number) >= at_leader)
            ):
                self._until_us = max(self._until_us, asked + WORKER_LEASE_US)
            elif tries:
                shop.at(shop.now_us + SECOND // 10, lambda: look(tries - 1))

        look(10)
